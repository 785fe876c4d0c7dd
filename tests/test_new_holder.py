"""A new holder that has not received its endpoints' answers yet."""

import pytest

from fescueturn.scheduler import events
from fescueturn.scheduler import model
from tests import fleets


def replace_holder(emulation):
  """Drains the holder of data centre a; returns the next one at once."""
  owner = fleets.owner_of(emulation, "a")
  owner.apply(events.DrainStarted())
  others = [h for h in fleets.hosts_in(emulation, "a") if h is not owner]
  while not any(h.state.owners for h in others):
    emulation.clock.run_until(emulation.clock.now + 0.0001)
  return fleets.owner_of(emulation, "a")


def test_new_holder_accepts_jobs_while_it_queries_its_endpoints():
  emulation = fleets.fleet()
  host = replace_holder(emulation)
  (owner_state,) = host.state.owners.values()
  assert owner_state.awaiting_endpoints
  request = emulation.submit(host.name, fleets.job("j", 2, 200), [0.2] * 2)
  emulation.clock.run_until(emulation.clock.now + 1.0)
  assert emulation.answers[request].answer.outcome is model.Outcome.DONE
  starts = [
      e.info.data_centre for e in emulation.endpoints.values() if e.starts
  ]
  assert set(starts) == {"a"}


@pytest.mark.parametrize("wait_s", [0.0, 0.004, 0.008, 0.009, 0.0095])
def test_new_holder_refuses_at_once_a_job_beyond_its_endpoints_capacity(wait_s):
  emulation = fleets.fleet()
  host = replace_holder(emulation)
  emulation.clock.run_until(emulation.clock.now + wait_s)
  wide = fleets.job("wide", 400, 1000)
  request = emulation.submit(host.name, wide, [1.0] * 400, deadline_s=3.0)
  emulation.clock.run_until(emulation.clock.now + 0.2)
  answered = emulation.answers[request].answer
  assert answered.outcome is model.Outcome.NOT_RUN
  assert answered.retry_after_s > 0
  assert not any(e.starts for e in emulation.endpoints.values())
