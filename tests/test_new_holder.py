"""A new holder that has not received its endpoints' answers yet."""

import pytest

from fescueturn.emulator import endpointcalls
from fescueturn.scheduler import events
from fescueturn.scheduler import model
from tests import fleets
from tests import test_kept_jobs


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


def test_new_holder_waits_for_the_lease_that_the_previous_one_renewed():
  emulation = fleets.fleet()
  emulation.clock.run_until(4.0)  # The roster of the holder is known by now.
  submitter = fleets.other_host(emulation, fleets.owner_of(emulation, "a"))
  test_kept_jobs.submit(
      emulation, submitter.name, test_kept_jobs.job("k", 1, 900)
  )
  emulation.clock.run_until(emulation.clock.now + 0.04)
  (endpoint,) = [e for e in emulation.endpoints.values() if e.running]
  emulation.kept_load_delay_s = 0.45
  host = replace_holder(emulation)
  (owner,) = host.state.owners.values()
  while (
      endpoint.info.id not in owner.endpoints
      or not owner.endpoints[endpoint.info.id].runs_known
  ):
    emulation.clock.run_until(emulation.clock.now + 0.0001)
  # The endpoint falls silent before the holder knows the job of the run.
  host.partitioned_from.add(endpoint.info.id)
  emulation.clock.run_until(emulation.clock.now + 1.0)
  assert emulation.broken == []


def test_failed_start_of_an_earlier_claim_does_not_end_the_new_claims_run(
    monkeypatch,
):
  """A host that claims its shard anew may start a run under the same id."""
  emulation = fleets.fleet()
  emulation.clock.run_until(4.0)
  host = fleets.owner_of(emulation, "a")
  test_kept_jobs.submit(emulation, host.name, test_kept_jobs.job("k", 1, 2000))
  emulation.clock.run_until(4.75)
  sent_at = emulation.clock.now
  monkeypatch.setattr(
      endpointcalls.EndpointCalls,
      "_connection_fails",
      lambda *_: emulation.clock.now < sent_at + 0.005,
  )
  emulation.submit(host.name, fleets.job("j", 1, 600), [0.6])
  emulation.clock.run_until(sent_at + 0.005)
  emulation.delete_claim(model.Shard("a"))
  # The new claim's start request is under way when the earlier one's fails.
  emulation.clock.run_until(sent_at + 0.1)
  for endpoint in emulation.endpoints.values():
    endpoint.order_delay_s = 0.05
  emulation.clock.run_until(sent_at + 0.235)
  emulation.poll_endpoints(host)
  emulation.clock.run_until(sent_at + 0.2499)
  for endpoint in emulation.endpoints.values():
    endpoint.order_delay_s = 0.0
  emulation.clock.run_until(sent_at + 1.0)
  assert emulation.broken == []
