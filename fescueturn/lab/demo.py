"""The demo: runs both teams' jobs in one data centre on loopback and reports.

It starts the platform stand-in, two entry hosts and three endpoints as separate
processes, sends a seeded workload to the entry hosts in turn (as a load
balancer would) and resubmits some jobs under their keys. For each team it
prints how many jobs were submitted, complete, failed and fully answered (column
"whole"), and the median and the 99th percentile of the response times, in ms
and as ratios to the ideal ones. For all jobs together it prints the number of
wasted messages (repeated sends and duplicate starts) and of KV calls per job.
"""

import dataclasses
import tempfile
import time

import curio
import hdrh.histogram

from fescueturn import httpio
from fescueturn import messages
from fescueturn.lab import caller
from fescueturn.lab import launcher
from fescueturn.lab import workload
from fescueturn.standins import control

ROUND_TRIP_MS = 1.0
CONCURRENT_JOBS = 16
RESUBMITTED_JOBS = 4
HISTOGRAM_MAX_MS = 600_000


@dataclasses.dataclass(frozen=True)
class Outcome:
  """A job's result and response time.

  Attributes:
    job: the job.
    result: the entry host's reply, or None if there was none.
    elapsed_ms: the time (ms) from the submission to the reply or the error.
  """

  job: messages.Job
  result: caller.Result | None
  elapsed_ms: float

  @property
  def fully_answered(self) -> bool:
    """True if the answer has a code for every task of the job."""
    answer = self.result.answer if self.result else None
    return answer is not None and len(answer.tasks) == len(self.job.tasks)


async def run_jobs(
    entries: list[httpio.Pool], jobs: list[messages.Job], clock
) -> list[Outcome]:
  """Submits `jobs` to the entry hosts in turn.

  At most `CONCURRENT_JOBS` are in flight at a time.

  Args:
    entries: the entry hosts' connection pools.
    jobs: the jobs.
    clock: returns the time (s).

  Returns:
    The outcomes, in the order in which the jobs ended.
  """
  limit = curio.Semaphore(CONCURRENT_JOBS)
  outcomes: list[Outcome] = []

  async def submit_job(index: int, job: messages.Job):
    async with limit:
      started = clock()
      result = None
      try:
        result = await caller.submit(entries[index % len(entries)], job)
      except (httpio.NotSentError, httpio.LostReplyError):
        pass
      outcomes.append(Outcome(job, result, (clock() - started) * 1000))

  async with curio.TaskGroup() as group:
    for index, job in enumerate(jobs):
      await group.spawn(submit_job, index, job)
  return outcomes


def _histogram(values) -> hdrh.histogram.HdrHistogram:
  histogram = hdrh.histogram.HdrHistogram(1, HISTOGRAM_MAX_MS, 3)
  for value in values:
    histogram.record_value(max(1, int(value)))
  return histogram


def ratio_histogram(
    outcomes: list[Outcome],
) -> hdrh.histogram.HdrHistogram:
  """Returns the jobs' response times in percent of each job's ideal time."""
  return _histogram(
      100 * o.elapsed_ms / workload.ideal_ms(o.job, ROUND_TRIP_MS)
      for o in outcomes
  )


@dataclasses.dataclass(frozen=True)
class TeamReport:
  """One row of the demo's table.

  Attributes:
    team: the team.
    jobs: the number of jobs.
    complete: jobs whose tasks are all done.
    failed: all other jobs.
    fully_answered: jobs whose answer has a code for every task.
    p50_ms: median response time (ms).
    p99_ms: 99th percentile of the response time (ms).
    p50_ratio: median of the response times' ratio to the ideal ones.
    p99_ratio: 99th percentile of that ratio.
  """

  team: str
  jobs: int
  complete: int
  failed: int
  fully_answered: int
  p50_ms: float
  p99_ms: float
  p50_ratio: float
  p99_ratio: float


def team_report(team: str, outcomes: list[Outcome]) -> TeamReport:
  """Summarises one team's outcomes."""
  of_team = [o for o in outcomes if o.job.team == team]
  times = _histogram(o.elapsed_ms for o in of_team)
  ratios = ratio_histogram(of_team)
  complete = sum(
      1 for o in of_team if o.fully_answered and o.result.answer.complete
  )
  fully_answered = sum(1 for o in of_team if o.fully_answered)
  return TeamReport(
      team=team,
      jobs=len(of_team),
      complete=complete,
      failed=len(of_team) - complete,
      fully_answered=fully_answered,
      p50_ms=times.get_value_at_percentile(50),
      p99_ms=times.get_value_at_percentile(99),
      p50_ratio=ratios.get_value_at_percentile(50) / 100,
      p99_ratio=ratios.get_value_at_percentile(99) / 100,
  )


async def sum_counts(cluster: launcher.Launcher) -> dict[str, int]:
  """Sums task sends, forwarded requests and task starts over all daemons."""
  counts = {"sends": 0, "forwarded": 0, "starts": 0, "duplicate_starts": 0}
  for name in cluster.names("entry"):
    if cluster.alive(name):
      counters = (await cluster.get(name, "/dump")).json()["state"]["counters"]
      counts["sends"] += counters.get("sends", 0)
      counts["forwarded"] += counters.get("forwarded", 0)
  for name in cluster.names("endpoint"):
    if cluster.alive(name):
      stats = (await cluster.get(name, "/v1/stats")).json()
      counts["starts"] += stats["starts"]
      counts["duplicate_starts"] += stats["duplicate_starts"]
  return counts


async def count_platform_calls(cluster: launcher.Launcher) -> int:
  """Returns the number of calls that the platform stand-in has served."""
  platform_control = control.PlatformControl(cluster.platform)
  try:
    return (await platform_control.stats())["total"]
  finally:
    await platform_control.close()


def print_table(
    reports: list[TeamReport],
    counts: dict,
    tasks: int,
    kv_calls: int,
    jobs: int,
    resubmits_ok: int,
):
  """Prints the demo's report.

  Args:
    reports: the teams' rows.
    counts: the daemons' summed counts.
    tasks: the number of tasks in all jobs.
    kv_calls: the number of calls to the platform stand-in.
    jobs: the number of jobs.
    resubmits_ok: the number of resubmitted jobs that got the same answer.
  """
  print(
      f"{'team':<12}{'jobs':>6}{'complete':>10}{'failed':>8}{'whole':>7}{'p50 ms':>9}{'p99 ms':>9}{'p50/ideal':>11}{'p99/ideal':>11}"
  )
  for r in reports:
    print(
        f"{r.team:<12}{r.jobs:>6}{r.complete:>10}{r.failed:>8}{r.fully_answered:>7}{r.p50_ms:>9.0f}{r.p99_ms:>9.0f}{r.p50_ratio:>11.2f}{r.p99_ratio:>11.2f}"
    )
  wasted = max(0, counts["sends"] - tasks) + counts["duplicate_starts"]
  print(
      f"tasks {tasks}; sends {counts['sends']}; starts {counts['starts']}; duplicate starts {counts['duplicate_starts']}; wasted messages {wasted}"
  )
  print(
      f"requests passed to another entry host {counts['forwarded']}; KV calls during the run {kv_calls} ({kv_calls / max(1, jobs):.2f} per job, leases and watches included)"
  )
  print(
      f"resubmitted under the same key: {resubmits_ok}/{RESUBMITTED_JOBS} got the same answer with no new start"
  )


async def _demo(per_team: int, max_tasks: int, seed: int, workdir: str) -> int:
  cluster = launcher.Launcher(workdir)
  try:
    await cluster.start()
    entries = [
        httpio.Pool(cluster.daemons[n].listen) for n in cluster.names("entry")
    ]
    jobs = workload.make_jobs(seed, per_team, max_tasks)
    calls_before = await count_platform_calls(cluster)
    outcomes = await run_jobs(entries, jobs, time.monotonic)
    kv_calls = await count_platform_calls(cluster) - calls_before
    counts = await sum_counts(cluster)
    resubmits_ok = await _resubmit(
        entries, outcomes[:RESUBMITTED_JOBS], cluster, counts
    )
    reports = [
        team_report(t, outcomes)
        for t in (workload.ALTAMAHA, workload.CONSORTIUM)
    ]
    tasks = sum(len(j.tasks) for j in jobs)
    print_table(reports, counts, tasks, kv_calls, len(jobs), resubmits_ok)
    all_answered = (
        all(o.fully_answered for o in outcomes)
        and resubmits_ok == RESUBMITTED_JOBS
    )
    return 0 if all_answered else 1
  finally:
    cluster.stop()


async def _resubmit(entries, outcomes: list[Outcome], cluster, counts) -> int:
  """Resubmits jobs to the entry hosts in turn, beginning with the second.

  Returns:
    The number of jobs that got the same answer again; 0 if any task was started
    again.
  """
  same = 0
  for index, outcome in enumerate(outcomes):
    result = await caller.submit(
        entries[(index + 1) % len(entries)], outcome.job
    )
    if result.answer == outcome.result.answer:
      same += 1
  after = await sum_counts(cluster)
  if after["starts"] != counts["starts"]:
    return 0
  return same


def main(per_team: int, max_tasks: int, seed: int) -> int:
  """Runs the demo.

  Returns:
    The exit code: 0 if every job was fully answered and every resubmitted job
    got the same answer, else 1.
  """
  with tempfile.TemporaryDirectory(prefix="fescueturn-demo-") as workdir:
    return curio.run(_demo, per_team, max_tasks, seed, workdir)
