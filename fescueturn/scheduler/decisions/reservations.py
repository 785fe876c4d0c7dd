"""Slots reserved for jobs of many tasks when the demand exceeds the capacity.

A job's width is its number of tasks. A wide job has to find its slots within
about 100 ms; without a reservation narrow jobs take each slot as soon as it is
free. The reservation is designed for jobs of 8 tasks of 60 ms beside jobs of 2
tasks of 200 ms on 18 slots a data centre. It serves more of the wide jobs in
time, at the cost of some narrow ones.
"""

import dataclasses
import math
from collections.abc import Mapping

# Averaging time of a queue's demand: long compared with the run times of its
# jobs (60 ms to 1 s), short compared with a burst of 4 s.
WINDOW_S = 2.0
# A queue whose decayed job count falls below this is dropped, which takes about
# 14 s after its last job.
MIN_JOBS = 0.001
# The slots reserved for a queue of wide jobs, in multiples of its mean demand:
# these jobs arrive in bursts, so the mean alone reserves too little.
PEAK_FACTOR = 1.5
# Upper limit of the reservation, as a part of all slots. Narrow jobs can always
# use at least 2 of 5 slots, however high the demand of wide ones is.
MAX_RESERVED_FRACTION = 0.6
# The same for the slots reserved for wider jobs that are more urgent. They go
# first in any case, so the reservation only has to help bursts of them to find
# many slots at once. A higher limit would refuse jobs while slots stay unused.
MAX_RESERVED_FOR_URGENT = 0.2


@dataclasses.dataclass
class _QueueDemand:
  """The recent demand of one queue, as sums that decay exponentially.

  Attributes:
    jobs: the number of jobs.
    tasks: the number of tasks.
    work_s: the run time of all tasks (s).
    priority: the queue's urgency; 0 is the most urgent.
  """

  jobs: float = 0.0
  tasks: float = 0.0
  work_s: float = 0.0
  priority: int = 0

  @property
  def width(self) -> float:
    """The mean number of tasks of a job."""
    return self.tasks / self.jobs

  @property
  def mean_slots(self) -> float:
    """The mean number of slots that its jobs would occupy."""
    return self.work_s / WINDOW_S

  def decay(self, factor: float):
    """Multiplies the sums by a factor below 1."""
    self.jobs *= factor
    self.tasks *= factor
    self.work_s *= factor


class Demand:
  """The recent demand of each queue."""

  def __init__(self):
    self._queues: dict[str, _QueueDemand] = {}
    self._at = 0.0

  def add(
      self,
      queue: str,
      tasks: int,
      work_s: float,
      now: float,
      priority: int = 0,
  ):
    """Adds a job of `tasks` tasks that run for `work_s` in all."""
    factor = math.exp(-max(0.0, now - self._at) / WINDOW_S)
    self._at = now
    for name, other in list(self._queues.items()):
      other.decay(factor)
      if other.jobs < MIN_JOBS:
        del self._queues[name]
    demand = self._queues.setdefault(queue, _QueueDemand())
    demand.priority = priority
    demand.jobs += 1
    demand.tasks += tasks
    demand.work_s += work_s

  def more_urgent_slots(self, priority: int) -> float:
    """Returns how many slots the demand of more urgent queues would occupy."""
    return sum(
        demand.mean_slots
        for demand in self._queues.values()
        if demand.priority < priority
    )

  def reserved_for_wider(
      self,
      queue: str,
      tasks: int,
      in_use: Mapping[str, int],
      total: int,
      priority: int = 0,
  ) -> int:
    """Returns how many slots a job must leave to queues of wider jobs.

    Nothing is reserved for less urgent queues, since room is guaranteed to them
    (`order.guaranteed_slots`).

    Nothing is reserved while the demand of all queues is below the capacity.

    Args:
      queue: the job's queue.
      tasks: the number of its tasks.
      in_use: the number of running and waiting tasks, by queue.
      total: the number of slots.
      priority: its urgency; 0 is the most urgent.
    """
    if sum(demand.mean_slots for demand in self._queues.values()) < total:
      # There are slots for all; a reservation would only leave some unused.
      return 0
    own = self._queues.get(queue)
    width = own.width if own else tasks
    wider = [
        (other, demand)
        for other, demand in self._queues.items()
        if demand.width > width
    ]
    equal = sum(
        _lacking_slots(demand, in_use.get(other, 0))
        for other, demand in wider
        if demand.priority == priority
    )
    urgent = sum(
        _lacking_slots(demand, in_use.get(other, 0))
        for other, demand in wider
        if demand.priority < priority
    )
    reserved = equal + min(urgent, MAX_RESERVED_FOR_URGENT * total)
    return int(min(reserved, MAX_RESERVED_FRACTION * total))


def _lacking_slots(demand: _QueueDemand, in_use: int) -> float:
  """Returns how many slots a queue lacks at the peak of its demand."""
  return max(0.0, PEAK_FACTOR * demand.mean_slots - in_use)
