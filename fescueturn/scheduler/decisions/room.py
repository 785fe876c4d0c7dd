"""Room reports: what a shard's holder tells coordinators of its free capacity.

A report is small enough to go with each answer to a ping. It lets a coordinator
estimate, for any size of task, how many tasks could start now and how long a
job would wait. It is a hint: the holder decides on each offer.
"""

import collections
import dataclasses
from collections.abc import Iterable

# Endpoints are counted by their free CPU in steps of 1/16 of the largest
# endpoint's: a task takes a quarter to a half of an endpoint, so that the
# number of tasks that fit is known to within one on most endpoints.
STEPS = 16
# Waiting work is told for these priorities, 0 to 3; the last includes all that
# are less urgent. Deployments have two or three priorities.
PRIORITIES = 4
# Largest number of services in a report, which bounds its size to some 700
# bytes. For a service that is left out the holder is asked as without a report.
MAX_SERVICES = 8
# The largest number that a report can hold.
MAX_COUNT = 2**16 - 1
_MAX_MS = 2**32 - 1


@dataclasses.dataclass(frozen=True)
class EndpointRoom:
  """What one endpoint that takes new tasks contributes to a report.

  Attributes:
    service: the endpoint's service.
    cpu: its CPU capacity, in thousandths of a core.
    free_cpu: its free CPU, in the same unit.
    free_slots: how many more tasks it may run at once.
    remaining_ms: for each of its runs, the expected time to its end (ms).
    slowness: the ratio of run times to estimates there.
  """

  service: str
  cpu: int
  free_cpu: int
  free_slots: int
  remaining_ms: tuple[int, ...] = ()
  slowness: float = 1.0


@dataclasses.dataclass(frozen=True)
class WaitingWork:
  """Tasks that wait at a holder.

  Attributes:
    service: the service they need.
    priority: their job's priority.
    work_ms: the sum of their estimated run times (ms).
  """

  service: str
  priority: int
  work_ms: int


@dataclasses.dataclass(frozen=True)
class ServiceRoom:
  """The free capacity and the waiting work of one service at a holder.

  Attributes:
    service: the service.
    step_cpu: width of the steps of `endpoints_by_room`, in thousandths of a
      core.
    endpoints_by_room: the number of endpoints by their free CPU; the first
      entry counts those with less than `step_cpu`, or without a free slot.
    free_slots: how many more tasks all endpoints may run, whatever their CPU.
    running: the number of running tasks.
    remaining_ms: the sum of the expected times to their ends (ms).
    waiting_ms: the work (ms) of the waiting tasks by priority.
    slowness_percent: mean ratio of run times to estimates.
  """

  service: str
  step_cpu: int
  endpoints_by_room: tuple[int, ...]
  free_slots: int
  running: int = 0
  remaining_ms: int = 0
  waiting_ms: tuple[int, ...] = (0,) * PRIORITIES
  slowness_percent: int = 100

  def at_least_free(self, cpu: int) -> int:
    """Returns the least number of tasks of `cpu` that fit now by their CPU."""
    return self._count(cpu, extra_cpu=0)

  def at_most_free(self, cpu: int) -> int:
    """Returns the greatest number of tasks of `cpu` that may fit now."""
    return self._count(cpu, extra_cpu=self.step_cpu - 1)

  def _count(self, cpu: int, extra_cpu: int) -> int:
    if cpu <= 0:
      return self.free_slots
    fitting = sum(
        count * ((step * self.step_cpu + extra_cpu) // cpu)
        for step, count in enumerate(self.endpoints_by_room)
    )
    return min(fitting, self.free_slots)

  def work_ahead_ms(self, priority: int) -> int:
    """Returns the waiting work (ms) of at least this urgency."""
    return sum(self.waiting_ms[: min(priority, PRIORITIES - 1) + 1])

  def expected_wait_ms(
      self, cpu: int, tasks: int, priority: int, taken: int, taken_ms: int
  ) -> int:
    """Returns how long the last of `tasks` tasks would wait (ms).

    The ends of the runs are assumed to be spread evenly over twice their mean
    remaining time.

    Args:
      cpu: the CPU of one task, in thousandths of a core.
      tasks: the number of tasks.
      priority: their job's priority.
      taken: the number of tasks offered since the report was made.
      taken_ms: the sum of their estimated run times (ms).
    """
    free = self.at_least_free(cpu)
    ahead_ms = self.work_ahead_ms(priority)
    missing = tasks + taken - free
    if missing <= 0 and not ahead_ms:
      return 0
    slots = max(1, free + self.running)
    mean_remaining_ms = self.remaining_ms / max(1, self.running)
    until_free_ms = 2 * mean_remaining_ms * min(1.0, max(0, missing) / slots)
    queued_ms = ahead_ms + (taken_ms if missing > 0 else 0)
    slowness = self.slowness_percent / 100
    return int(until_free_ms + slowness * queued_ms / slots)


@dataclasses.dataclass(frozen=True)
class RoomReport:
  """The free capacity and the waiting work of a shard, by service."""

  services: tuple[ServiceRoom, ...] = ()

  def of(self, service: str) -> ServiceRoom | None:
    """Returns a service's room; None if the report doesn't tell it."""
    return next((s for s in self.services if s.service == service), None)


def report(
    endpoints: Iterable[EndpointRoom], waiting: Iterable[WaitingWork]
) -> RoomReport:
  """Returns the report on a shard's usable endpoints and waiting work."""
  by_service = collections.defaultdict(list)
  for endpoint in endpoints:
    by_service[endpoint.service].append(endpoint)
  work = collections.defaultdict(lambda: [0] * PRIORITIES)
  for row in waiting:
    priority = min(row.priority, PRIORITIES - 1)
    work[row.service][priority] += row.work_ms
  largest = sorted(by_service, key=lambda s: (-len(by_service[s]), s))
  return RoomReport(
      tuple(
          _service_room(service, by_service[service], work[service])
          for service in largest[:MAX_SERVICES]
      )
  )


def _service_room(
    service: str, endpoints: list[EndpointRoom], waiting_ms: list[int]
) -> ServiceRoom:
  # Rounded up, so that the last step holds the largest endpoint's whole CPU.
  step_cpu = max(1, -(-max(e.cpu for e in endpoints) // STEPS))
  counts = [0] * (STEPS + 1)
  for endpoint in endpoints:
    has_room = endpoint.free_slots > 0 and endpoint.free_cpu > 0
    step = min(STEPS, endpoint.free_cpu // step_cpu) if has_room else 0
    counts[step] += 1
  remaining = [ms for e in endpoints for ms in e.remaining_ms]
  slowness = sum(e.slowness for e in endpoints) / len(endpoints)
  return ServiceRoom(
      service,
      step_cpu,
      tuple(min(count, MAX_COUNT) for count in counts),
      min(sum(max(0, e.free_slots) for e in endpoints), MAX_COUNT),
      min(len(remaining), MAX_COUNT),
      min(sum(remaining), _MAX_MS),
      tuple(min(ms, _MAX_MS) for ms in waiting_ms),
      min(int(100 * slowness), MAX_COUNT),
  )
