from hypothesis import given
from hypothesis import strategies

from fescueturn.scheduler.decisions import room

ENDPOINTS = strategies.lists(
    strategies.tuples(
        strategies.integers(1, 200_000),
        strategies.integers(0, 200_000),
        strategies.integers(0, 8),
    ),
    min_size=1,
    max_size=20,
)


def endpoint(free_cpu: int, remaining_ms=(), cpu=96000) -> room.EndpointRoom:
  return room.EndpointRoom("s", cpu, free_cpu, 8, tuple(remaining_ms))


def service_room(endpoints, waiting=()) -> room.ServiceRoom:
  return room.report(endpoints, waiting).of("s")


@given(ENDPOINTS, strategies.integers(1, 100_000))
def test_true_number_of_free_tasks_lies_between_the_bounds(sizes, need):
  endpoints = [
      room.EndpointRoom("s", cpu, min(cpu, free), slots)
      for cpu, free, slots in sizes
  ]
  free = sum(min(e.free_cpu // need, e.free_slots) for e in endpoints)
  told = service_room(endpoints)
  assert free <= told.at_most_free(need)
  # An endpoint may have the CPU for more tasks than slots, so that the lower
  # bound holds for the CPU alone.
  by_cpu = sum(e.free_cpu // need for e in endpoints if e.free_slots)
  assert told.at_least_free(need) <= by_cpu


def test_each_endpoints_tasks_are_counted_to_within_one():
  told = service_room([endpoint(96000), endpoint(64000), endpoint(20000)])
  assert told.at_least_free(32000) == 4
  assert told.at_most_free(32000) == 5


def test_work_ahead_excludes_less_urgent_tasks():
  waiting = [room.WaitingWork("s", p, 100) for p in (0, 1, 3, 9)]
  told = service_room([endpoint(0)], waiting)
  assert [told.work_ahead_ms(p) for p in (0, 1, 2, 3, 50)] == [
      100,
      200,
      200,
      400,
      400,
  ]


def test_wait_grows_with_the_work_ahead_and_own_offers_since():
  busy = [endpoint(0, (100, 100)) for _ in range(4)]
  empty_queue = service_room(busy)
  queue = service_room(busy, [room.WaitingWork("s", 0, 4000)])
  waits = [
      empty_queue.expected_wait_ms(32000, 2, 1, 0, 0),
      empty_queue.expected_wait_ms(32000, 2, 1, 6, 2400),
      queue.expected_wait_ms(32000, 2, 1, 6, 2400),
  ]
  assert 0 < waits[0] < waits[1] < waits[2]
  assert (
      service_room([endpoint(96000)]).expected_wait_ms(32000, 3, 1, 0, 0) == 0
  )


def test_report_is_bounded_and_tells_of_the_largest_services():
  names = [f"service-{n}" for n in range(20)]
  endpoints = [
      room.EndpointRoom(name, 1000, 1000, 10**6)
      for n, name in enumerate(names)
      for _ in range(n + 1)
  ]
  told = room.report(endpoints, [])
  assert len(told.services) == room.MAX_SERVICES
  assert told.services[0].service == "service-19"
  assert told.of("service-0") is None
  assert max(s.free_slots for s in told.services) == room.MAX_COUNT
