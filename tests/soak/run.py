"""Runs one soak: processes, callers, faults and checks, from one seed."""

import collections
import dataclasses
import json
import pathlib
import time

import curio

from tests.soak import callers
from tests.soak import checks
from tests.soak import cluster as cluster_lib
from tests.soak import faults

REPORT_PERIOD_S = 1.0
# Accepted kept jobs must have ended this long after the last fault.
SETTLE_S = 25.0
# A soak that takes this much longer than its faults hangs.
LIMIT_S = 90.0
# After a broken promise the processes go on for this long, for their logs.
AFTERMATH_S = 0.5


@dataclasses.dataclass(frozen=True)
class Plan:
  """What to run.

  Attributes:
    seed: everything random comes from it.
    seconds: how long faults begin (s).
    lossy_only: True for paths that lose packets and no other faults.
  """

  seed: int
  seconds: float
  lossy_only: bool = False


async def run(plan: Plan, directory: pathlib.Path, echo) -> checks.Verdict:
  """Runs a soak; its schedule, logs and verdict stay in the directory.

  Args:
    plan: what to run.
    directory: an empty directory.
    echo: called with each line of progress.
  """
  schedule = faults.schedule(plan.seed, plan.seconds, plan.lossy_only)
  rows = [dataclasses.asdict(fault) for fault in schedule]
  _write(
      directory / "schedule.json", {**dataclasses.asdict(plan), "faults": rows}
  )
  cluster = cluster_lib.Cluster(directory, plan.seed)
  try:
    await cluster.start()
    verdict = await curio.timeout_after(
        plan.seconds + LIMIT_S,
        _run_started,
        plan,
        cluster,
        schedule,
        directory,
        echo,
    )
  finally:
    await cluster.close()
  _write(directory / "verdict.json", dataclasses.asdict(verdict))
  return verdict


async def _run_started(plan, cluster, schedule, directory, echo):
  record = callers.Record()
  injector = faults.Injector(cluster)
  began = time.monotonic()
  begins = []

  def on_fault(fault):
    begins.append(
        {"monotonic_s": time.monotonic(), **dataclasses.asdict(fault)}
    )

  stopped = curio.Event()
  helpers = [
      await curio.spawn(cluster.supervise, daemon=True),
      await curio.spawn(
          checks.watch_versions, cluster.hosts, record.violations, daemon=True
      ),
  ]
  clients = []
  for number in range(callers.CALLERS):
    caller = callers.Caller(cluster, record, plan.seed, number)
    clients.append(await curio.spawn(caller.run, stopped))
  injection = await curio.spawn(injector.run, schedule, on_fault)
  while not injection.terminated or time.monotonic() < began + plan.seconds:
    await curio.sleep(REPORT_PERIOD_S)
    report = await cluster.platform("report")
    echo(_progress(time.monotonic() - began, record, report, len(begins)))
    if report["violations"] or record.violations:
      await curio.sleep(AFTERMATH_S)
      await injection.cancel()
      break
  else:
    await injection.join()
  await stopped.set()
  ended = record.violations or report["violations"]
  if not ended:
    await _settle(cluster, record, clients)
  history = await cluster.platform("history")
  for task in [*clients, *helpers]:
    await task.cancel()
  _write(directory / "faults_made.json", begins)
  _write(directory / "starts.json", history["starts"])
  jobs = [dataclasses.asdict(job) for job in record.jobs.values()]
  _write(directory / "jobs.json", jobs)
  return checks.judge(history, record, injector, cluster.hosts, bool(ended))


async def _settle(cluster, record: callers.Record, clients):
  """Waits until the callers are done and the accepted kept jobs have ended."""
  for task in clients:
    await task.join()
  for host in cluster.hosts:
    host.start()
  end = time.monotonic() + SETTLE_S
  while time.monotonic() < end:
    if not any(job.open for job in record.jobs.values()):
      return
    await curio.sleep(0.1)


def _progress(at: float, record: callers.Record, report, faults_made) -> str:
  statuses = collections.Counter(
      status for job in record.jobs.values() for status in job.statuses
  )
  counts = " ".join(f"{s}:{n}" for s, n in sorted(statuses.items()))
  return (
      f"{at:5.1f} s  faults {faults_made}  jobs {len(record.jobs)}"
      f"  starts {report['starts']}  answers {counts}"
  )


def _write(path: pathlib.Path, value):
  path.write_text(json.dumps(value, indent=1, default=str))
