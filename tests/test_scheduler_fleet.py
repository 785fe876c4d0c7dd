"""The schedulers of all hosts of an emulated fleet, under failures."""

import pytest

from fescueturn.scheduler import events
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from tests import fleets


def test_one_host_in_each_data_centre_owns_its_endpoints():
  emulation = fleets.fleet()
  fences = set()
  for data_centre in fleets.DATA_CENTRES:
    (owner,) = fleets.owner_of(emulation, data_centre).state.owners.values()
    assert set(owner.endpoints) == {f"e-{data_centre}{n}" for n in range(8)}
    fences.add(owner.fence)
  assert len(fences) == 3


def test_light_load_is_answered_completely_and_in_time():
  emulation = fleets.fleet()
  requests = fleets.submit_load(
      emulation, list(emulation.hosts.values()), 10, 60
  )
  emulation.clock.run_until(15)
  assert emulation.broken == []
  outcome_counts = fleets.count_outcomes(emulation, requests)
  assert outcome_counts[model.Outcome.DONE] > 0.95 * len(requests)
  for request in requests:
    answer = emulation.answers[request].answer
    assert answer.retry_after_s or answer.outcome is not model.Outcome.NOT_RUN


@pytest.mark.parametrize("seed", range(4))
def test_takeover_from_a_live_owner_starts_no_task_twice(seed):
  emulation = fleets.fleet(seed=seed)
  requests = fleets.submit_load(
      emulation, fleets.hosts_in(emulation, "a"), 6, 40
  )
  owner = fleets.owner_of(emulation, "a")
  # The owner is cut off from the store: its claim expires and another host
  # takes the shard.
  emulation.clock.at(2.0, lambda: owner.partitioned_from.add("store"))
  emulation.clock.run_until(12)
  assert fleets.owner_of(emulation, "a") is not owner
  assert emulation.broken == []
  outcome_counts = fleets.count_outcomes(emulation, requests)
  assert outcome_counts[model.Outcome.DONE] > 0.85 * len(requests)


@pytest.mark.parametrize("seed", range(4))
def test_killed_owner_is_replaced_and_its_runs_are_adopted(seed):
  emulation = fleets.fleet(seed=seed)
  owner = fleets.owner_of(emulation, "a")
  others = [h for h in fleets.hosts_in(emulation, "a") if h is not owner]
  requests = fleets.submit_load(emulation, others, 6, 40)
  emulation.clock.at(3.0, lambda: emulation.kill(owner.name))
  emulation.clock.run_until(12)
  assert emulation.broken == []
  outcome_counts = fleets.count_outcomes(emulation, requests)
  assert outcome_counts[model.Outcome.DONE] > 0.85 * len(requests)
  (new_owner,) = fleets.owner_of(emulation, "a").state.owners.values()
  assert new_owner.counters["adopted"] > 0


@pytest.mark.parametrize("seed", range(4))
def test_frozen_owner_is_fenced_off_when_it_wakes(seed):
  emulation = fleets.fleet(seed=seed)
  owner = fleets.owner_of(emulation, "a")
  others = [h for h in fleets.hosts_in(emulation, "a") if h is not owner]
  requests = fleets.submit_load(emulation, others, 8, 40)
  emulation.clock.at(3.0, lambda: setattr(owner, "frozen", True))
  emulation.clock.at(6.0, owner.thaw)
  emulation.clock.run_until(14)
  assert fleets.owner_of(emulation, "a") is not owner
  assert emulation.broken == []
  assert len(fleets.count_outcomes(emulation, requests)) >= 1
  assert len(emulation.answers) == len(requests)


@pytest.mark.parametrize("seed", range(4))
def test_runs_of_a_killed_coordinator_are_stopped_before_a_resubmission(seed):
  emulation = fleets.fleet(seed=seed)
  owner = fleets.owner_of(emulation, "a")
  first = fleets.other_host(emulation, owner)
  repeated_job = fleets.job("again", 4, 900)
  emulation.submit(first.name, repeated_job, [1.0] * 4, deadline_s=3.5)
  emulation.clock.run_until(1.1)
  emulation.kill(first.name)
  assert sum(len(e.running) for e in emulation.endpoints.values()) == 4
  emulation.clock.run_until(1.1 + 1.3)
  assert sum(len(e.running) for e in emulation.endpoints.values()) == 0
  second = emulation.submit(owner.name, repeated_job, [1.0] * 4, deadline_s=3.0)
  emulation.clock.run_until(6)
  assert emulation.answers[second].answer.outcome is model.Outcome.DONE
  assert emulation.broken == []


def test_late_orders_overload_no_endpoint_and_start_no_task_twice():
  emulation = fleets.fleet()
  fleets.submit_load(emulation, list(emulation.hosts.values()), 20, 70)
  for number, name in enumerate(emulation.endpoints):
    endpoint = emulation.endpoints[name]
    begin = 2.0 + number * 0.6
    emulation.clock.at(
        begin, lambda e=endpoint: setattr(e, "order_delay_s", 3.0)
    )
    emulation.clock.at(
        begin + 0.4, lambda e=endpoint: setattr(e, "order_delay_s", 0.0)
    )
  emulation.clock.run_until(30)
  assert emulation.broken == []


def test_draining_endpoint_gets_no_new_task():
  emulation = fleets.fleet()
  fleets.submit_load(emulation, fleets.hosts_in(emulation, "a"), 8, 30)
  emulation.clock.at(3.0, lambda: emulation.drain("e-a0"))
  emulation.clock.run_until(4.2)
  before = len(emulation.endpoints["e-a0"].starts)
  emulation.clock.run_until(10)
  assert before > 0
  assert len(emulation.endpoints["e-a0"].starts) == before


def test_caller_that_disconnects_frees_its_resources():
  emulation = fleets.fleet()
  request = emulation.submit("a0", fleets.job("gone", 4, 900), [0.9] * 4)
  emulation.clock.run_until(1.2)
  assert sum(len(e.running) for e in emulation.endpoints.values()) == 4
  emulation.disconnect_caller("a0", request)
  emulation.clock.run_until(1.3)
  assert sum(len(e.running) for e in emulation.endpoints.values()) == 0


def test_unavailable_store_changes_nothing_for_callers():
  emulation = fleets.fleet()
  requests = fleets.submit_load(
      emulation, list(emulation.hosts.values()), 8, 50
  )
  emulation.clock.at(2.0, lambda: setattr(emulation, "store_up", False))
  emulation.clock.run_until(14)
  assert emulation.broken == []
  outcome_counts = fleets.count_outcomes(emulation, requests)
  assert outcome_counts[model.Outcome.DONE] > 0.95 * len(requests)


def test_live_owner_that_loses_its_claim_gets_it_back():
  emulation = fleets.fleet()
  owner = fleets.owner_of(emulation, "a")
  requests = fleets.submit_load(
      emulation, fleets.hosts_in(emulation, "a"), 4, 30
  )
  emulation.clock.at(2.0, lambda: emulation.delete_claim(model.Shard("a")))
  emulation.clock.run_until(8)
  assert fleets.owner_of(emulation, "a") is owner
  assert emulation.broken == []
  outcome_counts = fleets.count_outcomes(emulation, requests)
  assert outcome_counts[model.Outcome.DONE] > 0.95 * len(requests)


def test_crashed_endpoints_task_runs_again_elsewhere():
  emulation = fleets.fleet()
  request = emulation.submit(
      "a0", fleets.job("j", 2, 200, 3000), [0.4] * 2, 3.5
  )
  emulation.clock.run_until(1.1)
  victim = next(e for e in emulation.endpoints.values() if e.running)
  victim.crash()
  emulation.clock.run_until(6)
  assert emulation.answers[request].answer.outcome is model.Outcome.DONE
  assert emulation.broken == []


def test_failing_endpoint_is_quarantined():
  emulation = fleets.fleet()
  emulation.endpoints["e-a0"].failing = True
  # The load goes to all data centres. A single one would pass jobs on instead
  # of queueing them, and the endpoints compared below would stay idle.
  requests = fleets.submit_load(
      emulation, list(emulation.hosts.values()), 6, 60
  )
  emulation.clock.run_until(12)
  outcome_counts = fleets.count_outcomes(emulation, requests)
  assert outcome_counts[model.Outcome.DONE] > 0.95 * len(requests)
  starts = {n: len(e.starts) for n, e in emulation.endpoints.items()}
  assert starts["e-a0"] < 0.3 * starts["e-a1"]


def test_stuck_run_is_stopped_and_run_elsewhere():
  emulation = fleets.fleet()
  emulation.endpoints["e-a0"].hanging = True
  requests = fleets.submit_load(
      emulation, fleets.hosts_in(emulation, "a"), 6, 30
  )
  emulation.clock.run_until(12)
  assert emulation.broken == []
  outcome_counts = fleets.count_outcomes(emulation, requests)
  assert outcome_counts[model.Outcome.DONE] > 0.9 * len(requests)


@pytest.mark.parametrize("seed", range(4))
def test_takeover_with_expired_entries_starts_no_task_twice(seed):
  """A new holder's first endpoint list may lack some that run its tasks."""
  emulation = fleets.fleet(seed=seed)
  owner = fleets.owner_of(emulation, "a")
  others = [h for h in fleets.hosts_in(emulation, "a") if h is not owner]
  fleets.submit_load(emulation, others, 6, 60)
  emulation.clock.at(
      2.9, lambda: emulation.unlisted.update(("e-a0", "e-a1", "e-a2"))
  )
  emulation.clock.at(3.0, lambda: emulation.kill(owner.name))
  emulation.clock.at(4.5, emulation.unlisted.clear)
  emulation.clock.run_until(12)
  assert emulation.broken == []


def test_all_hosts_serve_half_a_second_after_a_restart():
  """The claims in the store name processes that no longer exist."""
  emulation = fleets.fleet()
  names = [(h.name, h.data_centre) for h in emulation.hosts.values()]
  for name, _ in names:
    emulation.kill(name)
  emulation.clock.run_until(1.2)
  for name, data_centre_name in names:
    emulation.add_host(name, data_centre_name)
  requests = fleets.submit_load(
      emulation, list(emulation.hosts.values()), 1.0, 60
  )
  emulation.clock.run_until(1.6)
  assert all(
      fleets.owner_of(emulation, data_centre_name)
      for data_centre_name in fleets.DATA_CENTRES
  )
  emulation.clock.run_until(6)
  assert emulation.broken == []
  outcome_counts = fleets.count_outcomes(emulation, requests)
  assert outcome_counts[model.Outcome.DONE] > 0.9 * len(requests)
  assert model.Outcome.UNKNOWN not in outcome_counts


def test_lost_orders_quarantine_no_endpoint():
  emulation = fleets.fleet()
  for endpoint in emulation.endpoints.values():
    endpoint.loss_rate = 0.1
  requests = fleets.submit_load(
      emulation, list(emulation.hosts.values()), 8, 50
  )
  emulation.clock.run_until(14)
  assert emulation.broken == []
  outcome_counts = fleets.count_outcomes(emulation, requests)
  assert outcome_counts[model.Outcome.DONE] > 0.9 * len(requests)


def test_host_just_started_leaves_a_claim_to_its_live_holder():
  """The claim expires while the store is unavailable, the holder is alive."""
  emulation = fleets.fleet()
  owner = fleets.owner_of(emulation, "a")
  emulation.clock.run_until(2.0)
  emulation.delete_claim(model.Shard("a"))
  # A host starts before the holder learns that its claim has ended.
  emulation.add_host("a9", "a")
  emulation.clock.run_until(6)
  assert fleets.owner_of(emulation, "a") is owner


def test_decline_of_an_earlier_offer_does_not_reroute_a_job():
  """The job is offered again after a pause, then the first answer arrives."""
  emulation = fleets.fleet()
  owner = fleets.owner_of(emulation, "a")
  host = fleets.other_host(emulation, owner)
  request = emulation.submit(host.name, fleets.job("j", 2, 200), [0.2] * 2)
  record = host.state.coordinator.jobs["j"]
  record.offer_number += 1  # As if the job had been offered again meanwhile.
  late = linkmessages.Declined(record.key, 1, 100)
  host.apply(
      events.HolderMessageReceived(model.Shard("a"), owner.process, late)
  )
  assert record.shard == model.Shard("a")
  assert request not in emulation.answers


def test_ending_process_answers_all_waiting_callers():
  emulation = fleets.fleet()
  request = emulation.submit(
      "a0", fleets.job("long", 2, 3000), [3.0] * 2, deadline_s=9.0
  )
  emulation.clock.run_until(1.5)
  emulation.hosts["a0"].apply(events.DrainStarted())
  emulation.clock.run_until(2.5)
  assert request not in emulation.answers
  emulation.hosts["a0"].apply(events.ProcessEnding())
  assert emulation.answers[request].answer.outcome is model.Outcome.UNKNOWN
  emulation.clock.run_until(3.0)
  assert sum(len(e.running) for e in emulation.endpoints.values()) == 0


@pytest.mark.parametrize("seed", range(6))
def test_planned_stops_in_turn_start_no_task_twice(seed):
  emulation = fleets.fleet(seed=seed)
  hosts = list(emulation.hosts.values())
  requests = fleets.submit_load(emulation, hosts, 8, 70)
  for number, data_centre in enumerate(fleets.DATA_CENTRES * 2):
    stop_at = 1.5 + number

    def stop(data_centre=data_centre):
      owner = fleets.owner_of(emulation, data_centre)
      owner.apply(events.DrainStarted())
      hosts.remove(owner)

      def restart():
        assert owner.state.idle
        emulation.kill(owner.name)
        hosts.append(emulation.add_host(owner.name, data_centre))

      emulation.clock.after(2.6, restart)

    emulation.clock.at(stop_at, stop)
  emulation.clock.run_until(15)
  assert emulation.broken == []
  outcome_counts = fleets.count_outcomes(emulation, requests)
  assert outcome_counts[model.Outcome.DONE] > 0.93 * len(requests)


def test_job_offered_to_a_replaced_holder_is_never_reported_as_not_run():
  """The holder accepts the job and is replaced before its answer arrives."""
  emulation = fleets.fleet()
  owner = fleets.owner_of(emulation, "a")
  host = fleets.other_host(emulation, owner)
  request = emulation.submit(host.name, fleets.job("j", 2, 200), [0.2] * 2)
  record = host.state.coordinator.jobs["j"]
  shard = model.Shard("a")
  before = host.state.coordinator.holders[shard].holder
  after = model.Holder("a8", "a8.boot", before.peer, before.fence + 1)
  # The offer is unanswered; neither the next holder nor any other has capacity.
  emulation.hosts["a8"] = host
  record.declined_by.update((model.Shard("b"), model.Shard("c")))
  host.apply(events.HolderChanged(shard, after))
  decline = linkmessages.Declined(record.key, record.offer_number, 100)
  host.apply(
      events.HolderMessageReceived(
          shard, linkmessages.HostProcess("a8", "a8.boot"), decline
      )
  )
  answered = emulation.answers.get(request)
  assert (
      answered is None or answered.answer.outcome is not model.Outcome.NOT_RUN
  )


def test_job_with_an_unanswered_offer_is_never_reported_as_not_run():
  """The caller's deadline passes while the holder's answer is on its way."""
  emulation = fleets.fleet()
  owner = fleets.owner_of(emulation, "a")
  host = fleets.other_host(emulation, owner)
  request = emulation.submit(host.name, fleets.job("j", 2, 200), [0.2] * 2, 1.0)
  # The offer has been sent; no answer arrives.
  host.partitioned_from.add(owner.name)
  (record,) = host.state.coordinator.jobs.values()
  record.deadline = emulation.clock.now
  host.apply(events.Tick())
  assert emulation.answers[request].answer.outcome is model.Outcome.UNKNOWN


def test_job_starts_in_another_data_centre_rather_than_wait():
  emulation = fleets.fleet()
  fill = emulation.submit("a0", fleets.job("fill", 18, 150), [0.15] * 18)
  emulation.clock.run_until(1.05)
  request = emulation.submit("a0", fleets.job("next", 2, 200), [0.2] * 2)
  emulation.clock.run_until(1.1)
  started_in = [
      e.info.data_centre
      for e in emulation.endpoints.values()
      for run in e.starts
      if run.task.job_id == "next"
  ]
  assert len(started_in) == 2 and "a" not in started_in
  emulation.clock.run_until(2.0)
  assert emulation.answers[request].took_s < 0.22
  assert emulation.answers[fill].answer.outcome is model.Outcome.DONE


def test_job_waits_in_the_data_centre_with_the_shortest_wait():
  emulation = fleets.fleet()
  for data_centre, run_ms in zip(
      fleets.DATA_CENTRES, (200, 100, 200), strict=True
  ):
    filling = fleets.job(f"fill-{data_centre}", 18, run_ms)
    emulation.submit(f"{data_centre}0", filling, [run_ms / 1000] * 18)
  emulation.clock.run_until(1.05)
  request = emulation.submit("a0", fleets.job("next", 2, 200), [0.2] * 2)
  emulation.clock.run_until(2.0)
  assert emulation.answers[request].answer.outcome is model.Outcome.DONE
  assert emulation.answers[request].took_s < 0.3


def test_job_that_cannot_end_in_time_is_refused_immediately():
  emulation = fleets.fleet()
  wide = fleets.job("wide", 400, 1000)
  request = emulation.submit("a0", wide, [1.0] * 400, deadline_s=3.0)
  emulation.clock.run_until(1.2)
  reply = emulation.answers[request].answer
  assert reply.outcome is model.Outcome.NOT_RUN
  assert reply.retry_after_s > 0
  assert not any(e.starts for e in emulation.endpoints.values())


def slow_clocks(emulation):
  """Makes the clocks of all endpoints run as slowly as the platform allows."""
  for endpoint in emulation.endpoints.values():
    endpoint.clock_rate = 0.98


@pytest.mark.parametrize("idle_s", [5.0, 60.0])
def test_late_start_on_an_idle_endpoint_with_a_slow_clock_is_refused(idle_s):
  emulation = fleets.fleet()
  slow_clocks(emulation)
  emulation.clock.run_until(idle_s)
  for endpoint in emulation.endpoints.values():
    endpoint.order_delay_s = 0.86
  holder = fleets.owner_of(emulation, "a")
  emulation.submit(holder.name, fleets.job("j", 1, 1500), [1.5], 3.5)
  emulation.clock.run_until(idle_s + 0.001)
  (owner,) = holder.state.owners.values()
  (name,) = [n for n, record in owner.endpoints.items() if record.runs]
  holder.partitioned_from.add(name)
  for endpoint in emulation.endpoints.values():
    endpoint.order_delay_s = 0.0
  emulation.clock.run_until(idle_s + 3.0)
  assert emulation.broken == []
  started = [run for e in emulation.endpoints.values() for run in e.starts]
  assert len(started) == 1


def test_idle_endpoint_starts_a_task_at_the_first_request():
  emulation = fleets.fleet()
  emulation.clock.run_until(120.0)
  holder = fleets.owner_of(emulation, "a")
  emulation.submit(holder.name, fleets.job("j", 1, 100), [0.1])
  emulation.clock.run_until(121.0)
  started = [run for e in emulation.endpoints.values() for run in e.starts]
  assert [run.attempt for run in started] == [1]
