"""Guards of the index against faults found in a review."""

from fescueturn.scheduler import model
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler import runpace
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
