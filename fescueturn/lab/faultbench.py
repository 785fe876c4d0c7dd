"""The fault benchmark: both teams' jobs under faults, against the baseline.

Each scenario runs one data centre on loopback under an open-loop load of seeded
jobs and injects one fault. A caller whose answer is lost submits the job again
under its key, to an entry host drawn at random; after a refusal it waits for the
time in the "retry-after" header and tries again. Each scenario runs in two
modes, with fescueturn's own dispatcher ("claims") and with the naive one of
`fescueturn.baseline` ("naive"), and the table shows both.
"""

import dataclasses
import json
import random
import signal
import tempfile
import time
from collections.abc import Awaitable
from collections.abc import Callable

import curio

from fescueturn import codes
from fescueturn import httpio
from fescueturn import messages
from fescueturn.lab import caller
from fescueturn.lab import demo
from fescueturn.lab import launcher
from fescueturn.lab import workload
from fescueturn.standins import control

SEED = 1
ENTRIES = 3
ENDPOINTS = 4
JOBS_PER_S = 15.0
RUN_S = 16.0
MAX_TASKS = 8
RUN_TIME_SCALE = 0.3
FAULT_AT_S = 4.0
FAULT_FOR_S = 5.0
ATTEMPTS = 6
RESUBMIT_AFTER_S = 0.2
# The modes' names and the lines that they add to the entry hosts' settings.
MODES = (("claims", ""), ("naive", "naive = true\n"))

Fault = Callable[[launcher.Launcher, control.PlatformControl], Awaitable[None]]


async def _no_fault(cluster, platform_control):
  del cluster, platform_control


def _signal_fault(name: str, sig: int) -> Fault:
  """Returns a fault that signals a daemon and later restarts or resumes it."""

  async def fault(cluster, platform_control):
    del platform_control
    cluster.signal(name, sig)
    await curio.sleep(FAULT_FOR_S)
    if sig == signal.SIGSTOP:
      cluster.signal(name, signal.SIGCONT)
    else:
      cluster.spawn(name)

  return fault


def _platform_fault(mode: str) -> Fault:
  """Returns a fault of the platform stand-in that lasts for `FAULT_FOR_S`."""

  async def fault(cluster, platform_control):
    del cluster
    await platform_control.set_fault(mode)
    await curio.sleep(FAULT_FOR_S)
    await platform_control.set_fault("none")

  return fault


async def _fail_all_tasks(cluster, platform_control):
  del platform_control
  await _set_endpoint_fault(cluster, "fail_all")
  await curio.sleep(FAULT_FOR_S)
  await _set_endpoint_fault(cluster, "none")


async def _set_endpoint_fault(cluster, mode: str):
  pool = httpio.Pool(cluster.daemons["endpoint-1"].listen, limit=1)
  body = json.dumps({"mode": mode}).encode()
  await pool.request("POST", "/v1/fault", body)
  await pool.close()


SCENARIOS: dict[str, Fault] = {
    "quiet": _no_fault,
    "entry host killed": _signal_fault("entry-1", signal.SIGKILL),
    "entry host frozen": _signal_fault("entry-1", signal.SIGSTOP),
    "entry host stopped": _signal_fault("entry-1", signal.SIGTERM),
    "platform down": _platform_fault("down"),
    "platform loses replies": _platform_fault("lose_reply"),
    "endpoint killed": _signal_fault("endpoint-1", signal.SIGKILL),
    "endpoint frozen": _signal_fault("endpoint-1", signal.SIGSTOP),
    "endpoint fails all": _fail_all_tasks,
}


@dataclasses.dataclass(frozen=True)
class Row:
  """The result of one scenario in one mode.

  Attributes:
    scenario: the scenario's name.
    mode: the mode's name.
    jobs: the number of jobs.
    complete: jobs whose tasks are all done.
    failed: jobs that were fully answered but are not complete.
    refused: jobs without a full answer.
    p50_ratio: median ratio of a complete job's response time to its ideal one.
    p99_ratio: 99th percentile of that ratio.
    tasks: the number of tasks in all jobs.
    starts: the number of task starts.
    duplicate_starts: the number of repeated starts.
    false_not_run: tasks answered as not run that an endpoint had started.
    kv_calls_per_1000_jobs: calls to the platform's store per 1,000 jobs.
  """

  scenario: str
  mode: str
  jobs: int
  complete: int
  failed: int
  refused: int
  p50_ratio: float
  p99_ratio: float
  tasks: int
  starts: int
  duplicate_starts: int
  false_not_run: int
  kv_calls_per_1000_jobs: float


async def _submit_with_retries(
    pools, rng, job: messages.Job
) -> caller.Result | None:
  """Submits a job, with retries after a lost reply or a retry-after header.

  Returns:
    The last reply, or None if none arrived in `ATTEMPTS` attempts.
  """
  result = None
  for _ in range(ATTEMPTS):
    try:
      result = await caller.submit(rng.choice(pools), job)
    except (httpio.NotSentError, httpio.LostReplyError):
      await curio.sleep(RESUBMIT_AFTER_S)
      continue
    if result.answer is not None or not result.retry_after_s:
      return result
    await curio.sleep(result.retry_after_s)
  return result


async def _run_load(pools, jobs) -> list[demo.Outcome]:
  rng = random.Random(SEED)
  outcomes = []

  async def submit_job(job):
    started = time.monotonic()
    result = await _submit_with_retries(pools, rng, job)
    elapsed_ms = (time.monotonic() - started) * 1000
    outcomes.append(demo.Outcome(job, result, elapsed_ms))

  start = time.monotonic()
  async with curio.TaskGroup() as group:
    for index, job in enumerate(jobs):
      due = start + index / JOBS_PER_S
      await curio.sleep(max(0.0, due - time.monotonic()))
      await group.spawn(submit_job, job)
  return outcomes


async def _starts_by_key(cluster) -> dict[str, int]:
  total: dict[str, int] = {}
  for name in cluster.names("endpoint"):
    stats = (await cluster.get(name, "/v1/stats")).json()
    for key, count in stats["starts_by_key"].items():
      total[key] = total.get(key, 0) + count
  return total


def _false_not_run(outcomes, starts) -> int:
  """Returns the number of tasks answered as not run that were started."""
  return sum(
      starts.get(f"{o.job.key}/{t.task_id}", 0) > 0
      for o in outcomes
      if o.result is not None and o.result.answer is not None
      for t in o.result.answer.tasks
      if t.ran is codes.Ran.NOT_RUN
  )


async def _run_scenario(scenario: str, mode: str, options: str) -> Row:
  with tempfile.TemporaryDirectory(prefix="fescueturn-faults-") as workdir:
    cluster = launcher.Launcher(
        workdir, ENTRIES, ENDPOINTS, entry_options=options
    )
    try:
      await cluster.start()
      return await _measure(cluster, scenario, mode)
    finally:
      cluster.stop()


async def _measure(cluster, scenario: str, mode: str) -> Row:
  platform_control = control.PlatformControl(cluster.platform)
  pools = [
      httpio.Pool(cluster.daemons[n].listen) for n in cluster.names("entry")
  ]
  per_team = int(JOBS_PER_S * RUN_S / 2)
  jobs = workload.make_jobs(SEED, per_team, MAX_TASKS, RUN_TIME_SCALE)
  calls = (await platform_control.stats())["total"]
  fault = await curio.spawn(
      _inject, SCENARIOS[scenario], cluster, platform_control
  )
  outcomes = await _run_load(pools, jobs)
  await fault.join()
  calls = (await platform_control.stats())["total"] - calls
  await platform_control.close()
  starts = await _starts_by_key(cluster)
  answered = [o for o in outcomes if o.fully_answered]
  complete = [o for o in answered if o.result.answer.complete]
  ratios = demo.ratio_histogram(complete)
  return Row(
      scenario=scenario,
      mode=mode,
      jobs=len(jobs),
      complete=len(complete),
      failed=len(answered) - len(complete),
      refused=len(jobs) - len(answered),
      p50_ratio=ratios.get_value_at_percentile(50) / 100,
      p99_ratio=ratios.get_value_at_percentile(99) / 100,
      tasks=sum(len(j.tasks) for j in jobs),
      starts=sum(starts.values()),
      duplicate_starts=sum(n - 1 for n in starts.values()),
      false_not_run=_false_not_run(outcomes, starts),
      kv_calls_per_1000_jobs=1000 * calls / len(jobs),
  )


async def _inject(fault: Fault, cluster, platform_control):
  await curio.sleep(FAULT_AT_S)
  await fault(cluster, platform_control)


async def _run(names: list[str]) -> list[Row]:
  rows = []
  for name in names:
    for mode, options in MODES:
      rows.append(await _run_scenario(name, mode, options))
  return rows


def run(out_path: str, names: list[str]) -> list[dict]:
  """Runs the named scenarios in both modes.

  Args:
    out_path: the file to which the rows are written as JSON.
    names: the scenarios' names.

  Returns:
    The rows, one by scenario and mode.
  """
  rows = [dataclasses.asdict(r) for r in curio.run(_run, names)]
  with open(out_path, "w", encoding="utf-8") as file:
    json.dump(rows, file, indent=2)
  return rows


def report(rows: list[dict]) -> str:
  """Returns the rows as a Markdown table."""
  lines = [
      "| scenario | mode | jobs | complete | failed | refused | p50/ideal |"
      " p99/ideal | tasks | starts | duplicate starts | false not-run |"
      " KV calls/1,000 jobs |",
      "|---|---|" + "---:|" * 11,
  ]
  for r in rows:
    lines.append(
        f"| {r['scenario']} | {r['mode']} | {r['jobs']} | {r['complete']} |"
        f" {r['failed']} | {r['refused']} | {r['p50_ratio']:.2f} |"
        f" {r['p99_ratio']:.2f} | {r['tasks']} | {r['starts']} |"
        f" {r['duplicate_starts']} | {r['false_not_run']} |"
        f" {r['kv_calls_per_1000_jobs']:.0f} |"
    )
  return "\n".join(lines)
