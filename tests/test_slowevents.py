from fescueturn.scheduler import events
from fescueturn.scheduler import slowevents


def test_slow_events_are_reported_once_a_second_with_the_worst():
  """An operator must see what kept a host busy when answers are late."""
  clock = [10.0]
  slow = slowevents.SlowEvents(lambda: clock[0])

  def handle(event, took_s: float):
    began_at = clock[0]
    clock[0] += took_s
    slow.record(event, began_at)

  handle(events.Tick(), 0.002)
  assert slow.take_report() is None
  handle(events.EndpointsListed(()), 0.03)
  handle(events.Tick(), 0.012)
  handle(events.EndpointsListed(()), 0.02)
  assert slow.take_report() is None
  clock[0] += 1.0
  assert dict(slow.take_report().fields) == {
      "total_ms": 62,
      "worst": "EndpointsListed",
      "worst_ms": 30,
      "by_event": "EndpointsListed:2,Tick:1",
  }
  clock[0] += 1.0
  assert slow.take_report() is None
