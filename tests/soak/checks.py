"""The promises that a soak checks, from what callers and endpoints saw."""

import bisect
import dataclasses
import re
import signal

import curio

from tests.soak import callers
from tests.soak import cluster as cluster_lib
from tests.soak import faults

DRAIN_LIMIT_S = 2.0
# An order that was delayed on its way expires on its endpoint after this.
ORDER_LIFE_S = 0.84
# The allowance for the platform process's own delay.
TOLERANCE_S = 0.05
# The times around a report within which hosts must be able to read it.
BEFORE_READ_S = 1.5
LOG_FAULTS = ("event=run_duplicate", "event=reducer_failed", "Traceback")
_VERSION = re.compile(
    rb"^fescueturn_config_version(?:\{.*\})? ([0-9.e+]+)", re.M
)
_STARTED = re.compile(r"event=started ")
_LOG_VERSION = re.compile(r"event=config_in_force version=(\d+)")

ONE_RUN = "no task has two runs at the same time"
NOT_AFTER_DONE = "no kept job's task starts after its end was acknowledged"
CAPACITY = "no endpoint is over its capacity"
REFUSED = "a job whose every try was refused never starts"
DRAINING = "a draining endpoint gets no start 2 s after its report"
KEPT = "accepted kept jobs end, and no query of them is answered 410"
CONFIG = "the configuration never goes back in one process"
STOPPING = "a host that gets SIGTERM answers the requests in flight"
SUCCEEDED = "a succeeded job has started each of its tasks"
LOGS = "no host logs a duplicate run, a failed reducer or a traceback"


@dataclasses.dataclass
class Verdict:
  """What a soak found.

  Attributes:
    tested: by promise, how often it was put to the test.
    violations: the broken promises.
  """

  tested: dict[str, int]
  violations: list[str]


async def watch_versions(hosts: list[cluster_lib.Host], violations: list[str]):
  """Checks forever that no process's configuration goes back."""
  while True:
    await curio.sleep(0.3)
    for host in hosts:
      if not host.running or host.paused:
        continue
      life = host.life
      response = await host.get(host.files.metrics_port, "/metrics")
      match = response and _VERSION.search(response.body)
      if not match or life is not host.life:
        continue
      version = int(float(match[1]))
      if version < life.version:
        violations.append(
            f"{host.name} process {life.number}: configuration {version} after"
            f" {life.version}"
        )
      life.version = max(life.version, version)


def judge(
    history: dict,
    record: callers.Record,
    injector: faults.Injector,
    hosts: list[cluster_lib.Host],
    cut_short: bool,
) -> Verdict:
  """Checks every promise on the records of a soak.

  Args:
    history: what the endpoints saw.
    record: what the callers saw.
    injector: the faults made.
    hosts: the hosts.
    cut_short: True if jobs were not awaited, since a promise was broken.
  """
  starts = history["starts"]
  violations = [*history["violations"], *record.violations]
  tested = {
      ONE_RUN: sum(attempt > 1 for _, _, attempt, _, _ in starts),
      NOT_AFTER_DONE: sum(
          name[:16] in record.jobs and record.jobs[name[:16]].kept
          for name in history["acknowledged"]
      ),
      CAPACITY: sum(full for *_, full in starts),
      REFUSED: 0,
      DRAINING: _check_drains(starts, injector, violations),
      KEPT: sum(job.accepted for job in record.jobs.values()),
      CONFIG: 0,
      STOPPING: record.in_flight_at_stop,
      SUCCEEDED: 0,
      LOGS: 0,
  }
  _check_jobs(starts, record, tested, violations, cut_short)
  for host in hosts:
    tested[LOGS] += len(host.lives)
    tested[CONFIG] += _check_log(host, violations)
    _check_exits(host, violations)
  return Verdict(tested, violations)


def _check_jobs(starts, record, tested, violations, cut_short: bool):
  started: dict[str, set[str]] = {}
  for _, name, *_ in starts:
    started.setdefault(name[:16], set()).add(name)
  for job in record.jobs.values():
    tasks = started.get(job.id, set())
    if job.refused:
      tested[REFUSED] += 1
      if tasks:
        violations.append(f"job {job.id} refused ({job.statuses}) but started")
    if job.state == "succeeded":
      tested[SUCCEEDED] += 1
      if len(tasks) != job.tasks:
        violations.append(f"job {job.id} succeeded with starts of {tasks}")
    if job.open and not cut_short:
      violations.append(f"accepted kept job {job.id} has not ended")


def _check_drains(starts, injector: faults.Injector, violations) -> int:
  """Returns the number of drains that could be judged."""
  judged = 0
  by_endpoint: dict[str, list[float]] = {}
  for at, _, _, endpoint, _ in starts:
    by_endpoint.setdefault(endpoint, []).append(at)
  for drain in injector.drains:
    until = drain.at + DRAIN_LIMIT_S
    disturbed = any(
        fault.disturbs_reads
        and begins < until
        and ends > drain.at - BEFORE_READ_S
        for fault, begins, ends in injector.applied
    )
    if disturbed:
      continue
    judged += 1
    times = by_endpoint.get(drain.endpoint, [])
    limit = until + ORDER_LIFE_S + TOLERANCE_S
    late = times[bisect.bisect(times, limit) :]
    if late:
      violations.append(
          f"{drain.endpoint} drains since {drain.at:.3f}, starts at {late}"
      )
  return judged


def _check_log(host: cluster_lib.Host, violations) -> int:
  """Checks a host's log; returns how often its configuration changed."""
  log = host.files.log_file.read_text(errors="replace")
  changes = 0
  for mark in LOG_FAULTS:
    lines = [line for line in log.splitlines() if mark in line]
    if lines:
      violations.append(f"{host.name} logged {len(lines)}: {lines[0]}")
  for life in _STARTED.split(log):
    versions = [int(v) for v in _LOG_VERSION.findall(life)]
    changes += max(0, len(versions) - 1)
    if versions != sorted(set(versions)):
      violations.append(f"{host.name} applied configurations {versions}")
  return changes


def _check_exits(host: cluster_lib.Host, violations):
  for life in host.lives:
    code = life.process.poll()
    early = (
        life.terminated_at is not None
        and life.terminated_at < life.started_at + cluster_lib.START_S
        and code == -signal.SIGTERM
    )
    if code and not life.disturbed and not early:
      violations.append(f"{host.name} process {life.number} exited with {code}")
