"""Guards of the index against faults found in a review."""

from fescueturn.scheduler import model
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler import runpace
from fescueturn.scheduler.decisions import placing
from tests import test_placing


def test_comparing_speeds_leaves_unchanged_places_in_the_index():
  owner = ownerstate.Owner(model.Shard("dc"), 1, 0.0)
  for number in range(200):
    info = test_placing.endpoint(f"e{number}")
    owner.endpoints[info.id] = test_placing.known_record(info)
  wanted = test_placing.wanted(1000)
  owner.endpoints.choose(wanted, 0.0)
  moved = []
  owner.endpoints._remove_place = moved.append
  owner.now = 2.0
  runpace.tick(owner)
  owner.endpoints.choose(wanted, 2.0)
  assert not moved


def test_endpoint_whose_cold_time_is_extended_counts_as_warm_afterwards():
  table = test_placing.table_of(
      test_placing.endpoint("a"), test_placing.endpoint("b", cpu=32000)
  )
  wanted = test_placing.wanted(1000)
  table["a"].cold_until = 1.0
  assert table.choose(wanted, 0.0).info.id == "b"
  table["a"].cold_until = 2.0
  assert table.choose(wanted, 1.5).info.id == "b"
  assert table.choose(wanted, 2.1).info.id == "a"


def test_endpoints_without_a_free_slot_are_not_looked_at(monkeypatch):
  table = placing.EndpointTable()
  for number in range(100):
    info = test_placing.endpoint(f"e{number}")
    table[info.id] = test_placing.known_record(info)
    for run in range(test_placing.SLOTS):
      test_placing.add_run(table[info.id], 10, run)
  looked_at = []
  allows = placing.allows
  monkeypatch.setattr(
      placing,
      "allows",
      lambda record, *args: looked_at.append(record) or allows(record, *args),
  )
  assert table.choose(test_placing.wanted(10), 1.0) is None
  assert not looked_at
  record = table["e7"]
  record.remove(next(iter(record.runs)))
  assert table.choose(test_placing.wanted(10), 1.0) is record
