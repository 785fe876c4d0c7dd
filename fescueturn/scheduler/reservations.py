"""Places that narrow jobs leave to wide ones when there are too few for all.

The load this answers: jobs of 8 tasks of 60 ms beside jobs of 2 tasks of
200 ms, on 18 places a data centre. A wide job has to find its places within
some 100 ms; without a reserve the narrow jobs take each place as it comes up.
At 1.3 times what the endpoints can do, 34% of the wide jobs and 78% of the
narrow ones were then served in time, with a reserve 60% and 63%, and 64% and
86% of those of four long tasks (16 seeds of the emulated load).
"""

import dataclasses
import math

# Over how long a queue's demand is averaged: long against its jobs' run times
# (60 ms to 1 s), short against a burst of 4 s.
WINDOW_S = 2.0
# A queue is forgotten when its last job counts for so little: after some 14 s.
FORGOTTEN_JOBS = 0.001
# How many times its mean demand a queue of wide jobs finds kept: they come in
# bunches. The emulated loads of 110 and 130 jobs a second (1.1 and 1.3 times
# what the endpoints can do) were served 0.78 and 0.61 of their worth without a
# reserve, 0.81 and 0.67 at 1.0, 0.82 and 0.71 at 1.5.
PEAK_FACTOR = 1.5
# The most that is kept: narrow jobs have at least 2 of 5 places, whatever the
# load. At 220 jobs a second (2.2 times what the endpoints can do) a quarter
# of them are served.
MOST_KEPT = 0.6


@dataclasses.dataclass
class _QueueDemand:
  """What a queue's jobs asked for of late; decays with time.

  Attributes:
    jobs: how many jobs.
    tasks: how many tasks.
    work_s: how many seconds of one place.
  """

  jobs: float = 0.0
  tasks: float = 0.0
  work_s: float = 0.0

  @property
  def width(self) -> float:
    """The mean count of a job's tasks."""
    return self.tasks / self.jobs

  @property
  def places(self) -> float:
    """How many places its jobs would keep at work."""
    return self.work_s / WINDOW_S

  def decay(self, factor: float):
    """Lets the past count for less."""
    self.jobs *= factor
    self.tasks *= factor
    self.work_s *= factor


class Demand:
  """How much work each queue asked for of late."""

  def __init__(self):
    self._queues: dict[str, _QueueDemand] = {}
    self._at = 0.0

  def add(self, queue: str, tasks: int, work_s: float, now: float):
    """Notes a job of `tasks` tasks that asks for `work_s` of one place."""
    factor = math.exp(-max(0.0, now - self._at) / WINDOW_S)
    self._at = now
    for name, other in list(self._queues.items()):
      other.decay(factor)
      if other.jobs < FORGOTTEN_JOBS:
        del self._queues[name]
    demand = self._queues.setdefault(queue, _QueueDemand())
    demand.jobs += 1
    demand.tasks += tasks
    demand.work_s += work_s

  def reserved_for_wider(
      self, queue: str, tasks: int, in_use: dict[str, int], total: int
  ) -> int:
    """Returns how many places a job must leave to queues of wider ones.

    None while the demand of all queues doesn't exceed the places.

    Args:
      queue: the job's queue.
      tasks: how many tasks it has.
      in_use: by queue, how many tasks of its jobs are at work or wait.
      total: how many places there are.
    """
    if sum(demand.places for demand in self._queues.values()) < total:
      # All find room. Keeping places here as well cost a load of 0.9 times
      # what the endpoints can do 0.013 of its worth.
      return 0
    own = self._queues.get(queue)
    width = own.width if own else tasks
    kept = sum(
        max(0.0, PEAK_FACTOR * demand.places - in_use.get(other, 0))
        for other, demand in self._queues.items()
        if demand.width > width
    )
    return int(min(kept, MOST_KEPT * total))
