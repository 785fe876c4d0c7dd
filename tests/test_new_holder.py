"""A holder in the moments before it knows its endpoints."""

import pytest

from fescueturn.scheduler import events
from fescueturn.scheduler import model
from tests import fleets


def just_chosen(emulation):
  """Has the holder of data centre a replaced; returns the next one at once."""
  owner = fleets.owner_of(emulation, "a")
  owner.apply(events.DrainStarted())
  others = [h for h in fleets.zone_hosts(emulation, "a") if h is not owner]
  while not any(h.state.owners for h in others):
    emulation.clock.run_until(emulation.clock.now + 0.0001)
  return fleets.owner_of(emulation, "a")


def test_new_holder_takes_jobs_while_it_asks_its_endpoints():
  emulation = fleets.fleet()
  host = just_chosen(emulation)
  (held,) = host.state.owners.values()
  assert held.awaiting_endpoints
  request = emulation.submit(host.name, fleets.job("j", 2, 200), [0.2] * 2)
  emulation.clock.run_until(emulation.clock.now + 1.0)
  assert emulation.answers[request].answer.outcome is model.Outcome.DONE
  starts = [
      e.info.data_centre for e in emulation.endpoints.values() if e.starts
  ]
  assert set(starts) == {"a"}


@pytest.mark.parametrize("wait_s", [0.0, 0.004, 0.008, 0.009, 0.0095])
def test_new_holder_refuses_at_once_what_its_endpoints_can_never_do(wait_s):
  emulation = fleets.fleet()
  host = just_chosen(emulation)
  emulation.clock.run_until(emulation.clock.now + wait_s)
  wide = fleets.job("wide", 400, 1000)
  request = emulation.submit(host.name, wide, [1.0] * 400, deadline_s=3.0)
  emulation.clock.run_until(emulation.clock.now + 0.2)
  answered = emulation.answers[request].answer
  assert answered.outcome is model.Outcome.NOT_RUN
  assert answered.retry_after_s > 0
  assert not any(e.starts for e in emulation.endpoints.values())
