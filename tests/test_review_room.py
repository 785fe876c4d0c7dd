"""Time that room reports take a holder of many endpoints."""

import pytest

from fescueturn.scheduler import model
from fescueturn.scheduler import ownerroom
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler.decisions import room
from tests import test_placing


@pytest.mark.parametrize("count, reports", ((60, 100), (2000, 8)))
def test_reports_of_many_endpoints_are_made_less_often(
    count, reports, monkeypatch
):
  owner = ownerstate.Owner(model.Shard("dc"), 1, 0.0, 0.0, frozenset())
  for number in range(count):
    info = test_placing.endpoint(f"e{number}")
    owner.endpoints[info.id] = test_placing.known_record(info)
  made = []
  monkeypatch.setattr(
      ownerroom.room, "report", lambda *_: made.append(1) or object()
  )
  for step in range(1, 1001):
    owner.now = step * 0.001
    ownerroom.report(owner)
  assert abs(len(made) - reports) <= 10


@pytest.mark.parametrize("cpu", (1, 17, 31, 63, 255, 64000, 96001))
def test_report_shows_the_room_of_an_idle_endpoint_of_any_size(cpu):
  idle = room.EndpointRoom("s", cpu, cpu, 1)
  told = room.report([idle], []).of("s")
  assert told.at_most_free(cpu) == 1
