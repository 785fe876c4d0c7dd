"""Runs one soak: processes, callers, faults and checks, from one seed."""

import collections
import dataclasses
import json
import pathlib
import random
import time

import curio

from tests import deployments
from tests.soak import callers
from tests.soak import checks
from tests.soak import cluster as cluster_lib
from tests.soak import faults
from tests.soak import injector as injector_lib

REPORT_PERIOD_S = 1.0
# Accepted kept jobs must have ended this long after the last fault.
SETTLE_S = 25.0
# After a broken promise the processes go on for this long, for their logs.
AFTERMATH_S = 0.5
# A soak of the smallest fleet that takes this much longer than its faults hangs.
LIMIT_S = 90.0


@dataclasses.dataclass(frozen=True)
class Plan:
  """A seed, for how long faults begin (s), and which.

  If there is a checkout `beside`, hosts change from one build to the other, or
  each of their processes runs either.
  """

  seed: int
  seconds: float
  lossy_only: bool = False
  partitions: bool = False
  pauses: bool = False
  leaving: bool = False
  size: int = 1
  silent: bool = False
  beside: str = ""
  centres: bool = False

  def builds(self) -> tuple[tuple[pathlib.Path, ...], ...]:
    """Returns the checkouts that hosts run before and after an upgrade."""
    if not self.beside:
      return cluster_lib.OWN_BUILD
    own, other = (deployments.ROOT,), (pathlib.Path(self.beside),)
    both = own + other
    ways = (other, own), (other, own), (own, other), (both, both)
    return random.Random(f"{self.seed}/builds").choice(ways)


async def run(plan: Plan, directory: pathlib.Path, echo) -> checks.Verdict:
  """Runs a soak; its schedule, logs and verdict stay in the empty directory.

  Each line of progress goes to `echo`.
  """
  site = cluster_lib.Site(plan.size)
  schedule = faults.schedule(
      plan.seed,
      plan.seconds,
      plan.lossy_only,
      plan.partitions,
      plan.pauses,
      plan.size,
      plan.silent,
      bool(plan.beside),
      plan.centres,
  )
  _write(directory / "schedule.json", [plan, *schedule])
  cluster = cluster_lib.Cluster(directory, plan.seed, site, plan.builds())
  try:
    await cluster.start()
    verdict = await curio.timeout_after(
        plan.seconds + LIMIT_S * plan.size,
        _soak,
        plan,
        cluster,
        schedule,
        directory,
        echo,
    )
  finally:
    await cluster.close()
  _write(directory / "verdict.json", [verdict])
  return verdict


async def _soak(plan, cluster, schedule, directory, echo) -> checks.Verdict:
  record = callers.Record()
  options = plan.leaving, cluster.site.run_factor
  *clients, crowd = [
      callers.Caller(cluster, record, plan.seed, number, *options)
      for number in range(callers.CALLERS * plan.size + 1)
  ]
  injector = injector_lib.Injector(cluster, crowd.burst)
  began = time.monotonic()
  stopped = curio.Event()
  supervisor = await curio.spawn(cluster.supervise)
  tasks = [await curio.spawn(client.run, stopped) for client in clients]
  injection = await curio.spawn(injector.run, schedule)
  broken = False
  while not injection.terminated or time.monotonic() < began + plan.seconds:
    await curio.sleep(REPORT_PERIOD_S)
    report = await cluster.platform("report")
    echo(_progress(time.monotonic() - began, record, report, injector))
    broken = bool(report["violations"] or record.violations)
    if broken:
      await curio.sleep(AFTERMATH_S)
      await injection.cancel()
      break
  await stopped.set()
  if not broken:
    await injection.join()
    await _settle(cluster, record, tasks)
  history = await cluster.platform("history")
  for task in [*tasks, supervisor]:
    await task.cancel()
  rows = [{**_row(f), "from": a, "to": b} for f, a, b in injector.applied]
  _write(directory / "faults_made.json", rows)
  _write(directory / "starts.json", history["starts"])
  _write(directory / "acknowledged.json", history["acknowledged"])
  _write(directory / "jobs.json", record.jobs.values())
  _write(directory / "lives.json", _life_rows(cluster))
  verdict = checks.judge(history, record, injector, cluster.hosts, broken)
  verdict.waited = cluster.waited_share()
  return verdict


async def _settle(cluster, record: callers.Record, tasks):
  """Waits until the callers are done and the accepted kept jobs have ended."""
  for task in tasks:
    await task.join()
  for host in cluster.hosts:
    host.start()
  end = time.monotonic() + SETTLE_S
  while time.monotonic() < end:
    if not any(job.open for job in record.jobs.values()):
      return
    await curio.sleep(0.1)


def _life_rows(cluster) -> list[dict]:
  """Returns the processes of the hosts, with how they ended."""
  rows = []
  for host in cluster.hosts:
    for life in host.lives:
      row = {"host": host.name, "code": life.process.poll(), **vars(life)}
      del row["process"]
      rows.append(row)
  return rows


def _progress(at: float, record: callers.Record, report, injector) -> str:
  statuses = collections.Counter(
      status for job in record.jobs.values() for status in job.statuses
  )
  counts = " ".join(f"{s}:{n}" for s, n in sorted(statuses.items()))
  return (
      f"{at:5.1f} s  faults over {len(injector.applied)}"
      f"  jobs {len(record.jobs)}  starts {report['starts']}  answers {counts}"
  )


def _row(value):
  return dataclasses.asdict(value) if dataclasses.is_dataclass(value) else value


def _write(path: pathlib.Path, rows):
  path.write_text("\n".join(json.dumps(_row(row)) for row in rows) + "\n")
