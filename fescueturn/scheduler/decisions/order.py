"""The order in which waiting jobs get room: by urgency, then by what is left.

A job's urgency is its queue's priority; 0 is the most urgent. While there is
too little room, the more urgent jobs go first, so that they wait the least. A
part of the room is guaranteed to the less urgent ones, however many urgent jobs
there are. A job that has begun is finished first: what it has done is lost if
its other tasks are late.
"""

import dataclasses
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

# The part of the room that is divided equally between the urgencies that have
# jobs; the rest goes to the most urgent. Without it, urgent jobs that alone
# exceed the room would leave nothing for the less urgent ones.
GUARANTEED_PART = 0.6


@dataclasses.dataclass(frozen=True)
class WaitingJob:
  """The tasks of a job that wait for room.

  Attributes:
    key: identifies the job to the caller of these functions.
    priority: its urgency; 0 is the most urgent.
    begun: True once one of its tasks was started.
    latest_start: when its tasks should have started, to end in time (s).
    run_s: the expected run time of each of its waiting tasks (s).
  """

  key: object
  priority: int
  begun: bool
  latest_start: float
  run_s: tuple[float, ...]


def guaranteed_slots(urgencies: Iterable[int], slots: int) -> dict[int, float]:
  """Returns how many of `slots` are guaranteed to each of some urgencies."""
  present = set(urgencies)
  return {
      priority: GUARANTEED_PART * slots / len(present) for priority in present
  }


def in_turn(
    waiting: Iterable[WaitingJob],
    in_use: Mapping[int, int],
    guaranteed: Mapping[int, float],
) -> Iterator[WaitingJob]:
  """Yields waiting jobs in the order in which they get room.

  Args:
    waiting: the jobs.
    in_use: how many slots the jobs of each urgency use. It is read before each
      job, so that the caller counts there what it starts.
    guaranteed: the slots that are guaranteed to each urgency.
  """
  by_urgency: dict[int, list[WaitingJob]] = {}
  begun = []
  for job in sorted(waiting, key=lambda j: (j.priority, j.latest_start)):
    if job.begun:
      begun.append(job)
    else:
      by_urgency.setdefault(job.priority, []).append(job)
  yield from begun
  queues = {p: iter(jobs) for p, jobs in by_urgency.items()}
  while queues:
    below = [
        p for p in queues if in_use.get(p, 0) + 1 <= guaranteed.get(p, 0.0)
    ]
    priority = min(below or queues)
    job = next(queues[priority], None)
    if job is None:
      del queues[priority]
    else:
      yield job


def tasks_ahead(
    waiting: Iterable[WaitingJob],
    priority: int,
    latest_start: float,
    in_use: Mapping[int, int],
    guaranteed: Mapping[int, float],
) -> list[float]:
  """Returns the run times (s) of the tasks that start before a new job's.

  Args:
    waiting: the waiting jobs.
    priority: the new job's urgency.
    latest_start: when the new job's tasks should have started (s).
    in_use: how many slots the jobs of each urgency use.
    guaranteed: the slots that are guaranteed to each urgency.
  """
  ahead: list[float] = []
  below = {
      p: max(0, int(slots - in_use.get(p, 0)))
      for p, slots in guaranteed.items()
      if p > priority
  }
  for job in sorted(waiting, key=lambda j: j.latest_start):
    if job.begun or (job.priority, job.latest_start) <= (
        priority,
        latest_start,
    ):
      ahead += job.run_s
    elif below.get(job.priority):
      taken = job.run_s[: below[job.priority]]
      below[job.priority] -= len(taken)
      ahead += taken
  return ahead
