"""A new holder that has not received its endpoints' answers yet."""

import dataclasses

import pytest

from fescueturn.emulator import endpointcalls
from fescueturn.scheduler import endpointruns
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
  (next_holder,) = [h for h in others if h.state.owners]
  return next_holder


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


def ordered_run(owner, job_id: str):
  """Returns a job's run that waits for the answer to its start request."""
  runs = [
      (name, run)
      for name, record in owner.endpoints.items()
      for run in record.runs.values()
      if run.id.task.job_id == job_id
      and run.state is endpointruns.RunState.ORDERED
  ]
  return runs[0] if runs else None


def test_answer_to_the_same_start_under_an_earlier_claim_frees_no_task():
  emulation = fleets.fleet()
  emulation.clock.run_until(4.0)
  holder = fleets.owner_of(emulation, "a")
  (earlier,) = holder.state.owners.values()
  test_kept_jobs.submit(emulation, "a0", test_kept_jobs.job("k", 1, 5000))
  emulation.clock.run_until(4.1)
  for endpoint in emulation.endpoints.values():
    endpoint.order_delay_s = 0.6
  coordinator = fleets.other_host(emulation, holder)
  emulation.submit(coordinator.name, fleets.job("j", 1, 900), [0.9], 3.5)
  emulation.clock.run_until(4.11)
  name, first = ordered_run(earlier, "j")
  emulation.delete_claim(model.Shard("a"))
  while holder.state.owners.get(model.Shard("a")) in (None, earlier) or (
      not ordered_run(holder.state.owners[model.Shard("a")], "j")
  ):
    emulation.clock.run_until(emulation.clock.now + 0.0001)
    assert emulation.clock.now < 7
  (owner,) = holder.state.owners.values()
  same_name, second = ordered_run(owner, "j")
  assert (same_name, second.id) == (name, first.id)
  not_sent = model.CallResult.NOT_SENT
  holder.apply(
      events.StartAnswered(name, first.id, not_sent, None, earlier.fence)
  )
  emulation.clock.run_until(8)
  assert emulation.broken == []


@pytest.mark.parametrize("clock_counts", [True, False])
def test_frozen_holder_that_resumes_starts_nothing_on_an_unlisted_endpoint(
    clock_counts,
):
  """The next holder doesn't know the endpoint, and so can't fence it off."""
  emulation = fleets.fleet()
  emulation.add_endpoint("z", "a", cpu=200000)
  emulation.clock.run_until(6.0)
  holder = fleets.owner_of(emulation, "a")
  coordinator = fleets.other_host(emulation, holder)
  emulation.unlisted.add("z")
  holder.frozen = True
  holder.partitioned_from.add("store")
  emulation.submit(coordinator.name, fleets.job("j", 1, 2000), [2.0], 5.0)
  emulation.clock.run_until(9.0)
  assert fleets.owner_of(emulation, "a") is not holder
  assert sum(len(e.running) for e in emulation.endpoints.values()) == 1
  if not clock_counts:
    holder.clock_lag_s = 3.0
  holder.thaw()
  emulation.clock.run_until(12.0)
  assert emulation.broken == []


def cut_off_rack(emulation, names: set[str]):
  """Cuts hosts and endpoints off from the store and all others."""
  others = {*emulation.hosts, *emulation.endpoints, "store"} - names
  for host in emulation.hosts.values():
    host.partitioned_from |= others if host.name in names else names


@pytest.mark.parametrize("has_roster", [True, False])
@pytest.mark.parametrize("listed", [True, False])
def test_job_of_a_coordinator_cut_off_with_its_holder_gets_no_second_run(
    listed, has_roster
):
  emulation = fleets.fleet()
  emulation.add_endpoint("z", "a", cpu=200000)
  emulation.clock.run_until(6.0)
  holder = fleets.owner_of(emulation, "a")
  coordinator = fleets.other_host(emulation, holder)
  cut_off_rack(emulation, {holder.name, coordinator.name, "z"})
  if not listed:
    emulation.unlisted.add("z")
  job = fleets.job("j", 1, 4000)
  emulation.clock.run_until(6.1)
  emulation.submit(coordinator.name, job, [4.0], 5.0)
  emulation.clock.run_until(9.0)
  assert emulation.endpoints["z"].running
  (next_owner,) = (
      owner
      for host in fleets.hosts_in(emulation, "a")
      if host is not holder
      for owner in host.state.owners.values()
  )
  if not has_roster:
    next_owner.unreported = None
  for host in emulation.hosts.values():
    host.partitioned_from.clear()
  emulation.clock.run_until(12.0)
  assert emulation.broken == []


def test_kept_job_of_a_holder_cut_off_with_an_endpoint_gets_no_second_run():
  emulation = fleets.fleet()
  emulation.add_endpoint("z", "a", cpu=200000)
  emulation.clock.run_until(6.0)
  holder = fleets.owner_of(emulation, "a")
  kept_job = test_kept_jobs.job("k", 1, 9000)
  test_kept_jobs.submit(emulation, holder.name, kept_job)
  emulation.clock.run_until(6.1)
  assert emulation.endpoints["z"].running
  cut_off_rack(emulation, {holder.name, "z"})
  emulation.clock.run_until(12.0)
  assert emulation.broken == []


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


@pytest.mark.parametrize(("between", "keeps_jobs"), [(0, True), (1, False)])
def test_owner_that_missed_another_holder_doesnt_go_on_with_its_jobs(
    between, keeps_jobs
):
  """It was cut off while another host claimed the shard and released it."""
  emulation = fleets.fleet()
  host = fleets.owner_of(emulation, "a")
  emulation.submit(host.name, fleets.job("j", 2, 900), [0.9] * 2)
  emulation.clock.run_until(1.2)
  shard = model.Shard("a")
  before = host.state.candidates[shard].holder
  follows = before.fence + between
  claim = dataclasses.replace(before, fence=follows + 1)
  host.apply(events.HolderChanged(shard, None))
  host.apply(events.HolderChanged(shard, claim, follows=follows))
  owner = host.state.owners[shard]
  assert owner.fence == claim.fence
  assert any(job.started for job in owner.jobs.values()) is keeps_jobs
