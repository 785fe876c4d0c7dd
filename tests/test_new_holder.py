"""A holder in the moments before it knows its endpoints."""

import pytest

from fescueturn.scheduler import events
from fescueturn.scheduler import model
from tests import fleets


def just_chosen(fleet):
  """Has the holder of data centre a replaced; returns the next one at once."""
  owner = fleets.owner_of(fleet, "a")
  owner.apply(events.DrainStarted())
  others = [h for h in fleets.zone_hosts(fleet, "a") if h is not owner]
  while not any(h.state.owners for h in others):
    fleet.clock.run_until(fleet.clock.now + 0.0001)
  return fleets.owner_of(fleet, "a")


def test_new_holder_takes_jobs_while_it_asks_its_endpoints():
  fleet = fleets.fleet()
  host = just_chosen(fleet)
  (held,) = host.state.owners.values()
  assert held.awaiting_endpoints
  request = fleet.submit(host.name, fleets.job("j", 2, 200), [0.2] * 2)
  fleet.clock.run_until(fleet.clock.now + 1.0)
  assert fleet.answers[request].answer.outcome is model.Outcome.DONE
  starts = [e.info.data_centre for e in fleet.endpoints.values() if e.starts]
  assert set(starts) == {"a"}


@pytest.mark.parametrize("wait_s", [0.0, 0.004, 0.008, 0.009, 0.0095])
def test_new_holder_refuses_at_once_what_its_endpoints_can_never_do(wait_s):
  fleet = fleets.fleet()
  host = just_chosen(fleet)
  fleet.clock.run_until(fleet.clock.now + wait_s)
  wide = fleets.job("wide", 400, 1000)
  request = fleet.submit(host.name, wide, [1.0] * 400, deadline_s=3.0)
  fleet.clock.run_until(fleet.clock.now + 0.2)
  answered = fleet.answers[request].answer
  assert answered.outcome is model.Outcome.NOT_RUN
  assert answered.retry_after_s > 0
  assert not any(e.starts for e in fleet.endpoints.values())
