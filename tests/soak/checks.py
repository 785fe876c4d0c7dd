"""The promises that a soak checks, from what callers and endpoints saw."""

import collections
import dataclasses
import re

from tests.soak import callers
from tests.soak import cluster as cluster_lib
from tests.soak import injector as injector_lib

DRAIN_LIMIT_S = 2.0
# An order that was delayed on its way expires on its endpoint after this.
ORDER_LIFE_S = 0.84
# The allowance for the delays of the stand-in's process.
TOLERANCE_S = 0.05
# How long before a report a disturbance may still delay its reading.
BEFORE_READ_S = 1.5
LOG_FAULTS = ("event=run_duplicate", "event=reducer_failed", "Traceback")
_TAKEN = re.compile(r"event=shard_taken data_centre=(\w+) fence=(\d+)")
_VERSION = re.compile(r"event=config_in_force version=(\d+)")

ONE_RUN = "no task has two runs at the same time"
NOT_AFTER_DONE = "no kept job's task starts after its end was acknowledged"
CAPACITY = "no endpoint is over its capacity"
REFUSED = "a job doesn't start while its every try is refused"
WHOLE = "answers are whole, and refusals name a Retry-After of 1 s or more"
TOKENS = "no two holders give an endpoint orders with one fencing token"
DRAINING = "a draining endpoint gets no start 2 s after its report"
KEPT = "accepted kept jobs end, and no query of them is answered 410"
CONFIG = "the configuration never goes back in one process"
STOPPING = "a host that gets SIGTERM answers the requests in flight"
SUCCEEDED = "a succeeded job has started each of its tasks"
LOGS = "no host logs a duplicate run, a failed reducer or a traceback"


@dataclasses.dataclass
class Verdict:
  """By promise, how often it was put to the test; and the broken promises.

  `waited` is the share of the time in which hosts wanted a processor and had none.
  """

  tested: dict[str, int]
  violations: list[str]
  waited: float = 0.0


def judge(
    history: dict,
    record: callers.Record,
    injector: injector_lib.Injector,
    hosts: list[cluster_lib.Host],
    cut_short: bool,
) -> Verdict:
  """Checks every promise on what endpoints and callers saw.

  If it was cut short, after a broken promise, jobs may not have ended.
  """
  starts, jobs = history["starts"], record.jobs
  violations = [*history["violations"], *record.violations]
  kept_ids = {job.id for job in jobs.values() if job.kept}
  tested = {
      ONE_RUN: sum(attempt > 1 for _, _, attempt, _, _ in starts),
      NOT_AFTER_DONE: sum(
          name[:16] in kept_ids and how == "done"
          for _, name, _, _, how, _ in history["acknowledged"]
      ),
      CAPACITY: sum(full for *_, full in starts),
      REFUSED: sum(job.refused_until > 0 for job in jobs.values()),
      WHOLE: record.refusals,
      TOKENS: history["tokens"] + _check_tokens(hosts, violations),
      DRAINING: _check_drains(starts, injector, violations),
      KEPT: sum(job.accepted for job in jobs.values()),
      CONFIG: sum(_check_host(host, violations) for host in hosts),
      STOPPING: record.answered_at_stop,
      SUCCEEDED: sum(job.state == "succeeded" for job in jobs.values()),
      LOGS: sum(len(host.lives) for host in hosts),
  }
  _check_jobs(starts, jobs, violations, cut_short)
  return Verdict(tested, violations)


def _check_jobs(starts, jobs: dict, violations: list[str], cut_short: bool):
  started: dict[str, list[tuple[float, str]]] = {}
  for at, name, *_ in starts:
    started.setdefault(name[:16], []).append((at, name))
  for job in jobs.values():
    rows = started.get(job.id, [])
    tasks = {name for _, name in rows}
    if any(job.refused or at < job.refused_until for at, _ in rows):
      violations.append(f"job {job.id} refused ({job.statuses}) but started")
    if job.state == "succeeded" and len(tasks) != job.tasks:
      violations.append(f"job {job.id} succeeded with starts of {tasks}")
    if job.open and not cut_short:
      violations.append(f"accepted kept job {job.id} has not ended")


def _check_drains(starts, injector: injector_lib.Injector, violations) -> int:
  """Returns the number of drains that could be judged.

  Hosts that don't reach the store or stand still can't know of a report.
  """
  judged = 0
  for slot, endpoint, at in injector.drains:
    until = at + DRAIN_LIMIT_S
    if any(
        fault.disturbs_reads(injector.site, slot)
        and begins < until
        and ends > at - BEFORE_READ_S
        for fault, begins, ends in injector.applied
    ):
      continue
    judged += 1
    limit = until + ORDER_LIFE_S + TOLERANCE_S
    late = [s[0] for s in starts if s[3] == endpoint and s[0] > limit]
    if late:
      violations.append(f"{endpoint} drains since {at:.3f}, starts at {late}")
  return judged


def _check_tokens(hosts: list[cluster_lib.Host], violations) -> int:
  """Returns how often a process became a holder, each with a token of its own."""
  taken = collections.Counter()
  for host in hosts:
    log = host.files.log_file.read_text(errors="replace")
    for text in log.split("event=started "):
      taken.update(set(_TAKEN.findall(text)))
  for token in [token for token, count in taken.items() if count > 1]:
    violations.append(f"two processes took a shard with one token: {token}")
  return taken.total()


def _check_host(host: cluster_lib.Host, violations) -> int:
  """Checks a host; returns how often its configuration changed."""
  log = host.files.log_file.read_text(errors="replace")
  changes = 0
  for mark in LOG_FAULTS:
    lines = [line for line in log.splitlines() if mark in line]
    if lines:
      violations.append(f"{host.name} logged {len(lines)}: {lines[0]}")
  for text in log.split("event=started "):
    versions = [int(v) for v in _VERSION.findall(text)]
    changes += max(0, len(versions) - 1)
    if versions != sorted(set(versions)):
      violations.append(f"{host.name} applied configurations {versions}")
  for life in host.lives:
    if life.process.poll() and not life.disturbed:
      code = life.process.returncode
      violations.append(
          f"{host.name} process {life.number} exited with {code}; it waited"
          f" {life.queued_s:.1f} s for a processor before its SIGTERM,"
          f" {life.grace_queued_s:.1f} s after it"
      )
  return changes
