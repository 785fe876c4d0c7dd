"""Hosts' reducers joined in an emulated fleet, under failures."""

import pytest

from fescueturn.scheduler import events
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from tests import fleets


def test_one_host_a_data_centre_owns_its_endpoints():
  made = fleets.fleet()
  fences = set()
  for zone in fleets.ZONES:
    (owner,) = fleets.owner_of(made, zone).state.owners.values()
    assert set(owner.endpoints) == {f"e-{zone}{n}" for n in range(8)}
    fences.add(owner.fence)
  assert len(fences) == 3


def test_calm_load_is_answered_whole_and_in_time():
  made = fleets.fleet()
  requests = fleets.submit_load(made, list(made.hosts.values()), 10, 60)
  made.clock.run_until(15)
  assert made.broken == []
  found = fleets.count_outcomes(made, requests)
  assert found[model.Outcome.DONE] > 0.95 * len(requests)
  for request in requests:
    answer = made.answers[request].answer
    assert answer.retry_after_s or answer.outcome is not model.Outcome.NOT_RUN


@pytest.mark.parametrize("seed", range(4))
def test_takeover_from_a_living_owner_starts_no_task_twice(seed):
  made = fleets.fleet(seed=seed)
  requests = fleets.submit_load(made, fleets.zone_hosts(made, "a"), 6, 40)
  owner = fleets.owner_of(made, "a")
  # The store turns the owner away: its claim lapses, another host's holds.
  made.clock.at(2.0, lambda: owner.partitioned_from.add("store"))
  made.clock.run_until(12)
  assert fleets.owner_of(made, "a") is not owner
  assert made.broken == []
  found = fleets.count_outcomes(made, requests)
  assert found[model.Outcome.DONE] > 0.85 * len(requests)


@pytest.mark.parametrize("seed", range(4))
def test_killed_owner_is_replaced_and_its_runs_go_on(seed):
  made = fleets.fleet(seed=seed)
  owner = fleets.owner_of(made, "a")
  others = [h for h in fleets.zone_hosts(made, "a") if h is not owner]
  requests = fleets.submit_load(made, others, 6, 40)
  made.clock.at(3.0, lambda: made.kill(owner.name))
  made.clock.run_until(12)
  assert made.broken == []
  found = fleets.count_outcomes(made, requests)
  assert found[model.Outcome.DONE] > 0.85 * len(requests)
  (new_owner,) = fleets.owner_of(made, "a").state.owners.values()
  assert new_owner.counters["adopted"] > 0


@pytest.mark.parametrize("seed", range(4))
def test_frozen_owner_is_fenced_off_when_it_wakes(seed):
  made = fleets.fleet(seed=seed)
  owner = fleets.owner_of(made, "a")
  others = [h for h in fleets.zone_hosts(made, "a") if h is not owner]
  requests = fleets.submit_load(made, others, 8, 40)
  made.clock.at(3.0, lambda: setattr(owner, "frozen", True))
  made.clock.at(6.0, owner.thaw)
  made.clock.run_until(14)
  assert fleets.owner_of(made, "a") is not owner
  assert made.broken == []
  assert len(fleets.count_outcomes(made, requests)) >= 1
  assert len(made.answers) == len(requests)


@pytest.mark.parametrize("seed", range(4))
def test_coordinator_killed_its_runs_are_stopped_before_a_resend(seed):
  made = fleets.fleet(seed=seed)
  owner = fleets.owner_of(made, "a")
  first = fleets.other_host(made, owner)
  wanted = fleets.job("again", 4, 900)
  made.submit(first.name, wanted, [1.0] * 4, deadline_s=3.5)
  made.clock.run_until(1.1)
  made.kill(first.name)
  assert sum(len(e.running) for e in made.endpoints.values()) == 4
  made.clock.run_until(1.1 + 1.3)
  assert sum(len(e.running) for e in made.endpoints.values()) == 0
  second = made.submit(owner.name, wanted, [1.0] * 4, deadline_s=3.0)
  made.clock.run_until(6)
  assert made.answers[second].answer.outcome is model.Outcome.DONE
  assert made.broken == []


def test_late_orders_overfill_no_endpoint_and_start_no_task_twice():
  made = fleets.fleet()
  fleets.submit_load(made, list(made.hosts.values()), 20, 70)
  for number, name in enumerate(made.endpoints):
    endpoint = made.endpoints[name]
    begin = 2.0 + number * 0.6
    made.clock.at(begin, lambda e=endpoint: setattr(e, "late_s", 3.0))
    made.clock.at(begin + 0.4, lambda e=endpoint: setattr(e, "late_s", 0.0))
  made.clock.run_until(30)
  assert made.broken == []


def test_draining_endpoint_gets_no_new_task():
  made = fleets.fleet()
  fleets.submit_load(made, fleets.zone_hosts(made, "a"), 8, 30)
  made.clock.at(3.0, lambda: made.drain("e-a0"))
  made.clock.run_until(4.2)
  before = len(made.endpoints["e-a0"].starts)
  made.clock.run_until(10)
  assert before > 0
  assert len(made.endpoints["e-a0"].starts) == before


def test_caller_that_hangs_up_frees_its_room():
  made = fleets.fleet()
  request = made.submit("a0", fleets.job("gone", 4, 900), [0.9] * 4)
  made.clock.run_until(1.2)
  assert sum(len(e.running) for e in made.endpoints.values()) == 4
  made.disconnect_caller("a0", request)
  made.clock.run_until(1.3)
  assert sum(len(e.running) for e in made.endpoints.values()) == 0


def test_store_away_changes_nothing_for_callers():
  made = fleets.fleet()
  requests = fleets.submit_load(made, list(made.hosts.values()), 8, 50)
  made.clock.at(2.0, lambda: setattr(made, "store_up", False))
  made.clock.run_until(14)
  assert made.broken == []
  found = fleets.count_outcomes(made, requests)
  assert found[model.Outcome.DONE] > 0.95 * len(requests)


def test_claim_taken_away_from_a_living_owner_comes_back_to_it():
  made = fleets.fleet()
  owner = fleets.owner_of(made, "a")
  requests = fleets.submit_load(made, fleets.zone_hosts(made, "a"), 4, 30)
  made.clock.at(2.0, lambda: made.delete_claim(model.Shard("a")))
  made.clock.run_until(8)
  assert fleets.owner_of(made, "a") is owner
  assert made.broken == []
  found = fleets.count_outcomes(made, requests)
  assert found[model.Outcome.DONE] > 0.95 * len(requests)


def test_crashed_endpoints_task_runs_again_elsewhere():
  made = fleets.fleet()
  request = made.submit("a0", fleets.job("j", 2, 200, 3000), [0.4] * 2, 3.5)
  made.clock.run_until(1.1)
  victim = next(e for e in made.endpoints.values() if e.running)
  victim.crash()
  made.clock.run_until(6)
  assert made.answers[request].answer.outcome is model.Outcome.DONE
  assert made.broken == []


def test_failing_endpoint_is_left_out():
  made = fleets.fleet()
  made.endpoints["e-a0"].failing = True
  # At all data centres: one alone would pass its jobs on rather than let
  # them wait, and keep the endpoints that it compares with idle.
  requests = fleets.submit_load(made, list(made.hosts.values()), 6, 60)
  made.clock.run_until(12)
  found = fleets.count_outcomes(made, requests)
  assert found[model.Outcome.DONE] > 0.95 * len(requests)
  starts = {n: len(e.starts) for n, e in made.endpoints.items()}
  assert starts["e-a0"] < 0.3 * starts["e-a1"]


def test_stuck_run_is_stopped_and_run_elsewhere():
  made = fleets.fleet()
  made.endpoints["e-a0"].hanging = True
  requests = fleets.submit_load(made, fleets.zone_hosts(made, "a"), 6, 30)
  made.clock.run_until(12)
  assert made.broken == []
  found = fleets.count_outcomes(made, requests)
  assert found[model.Outcome.DONE] > 0.9 * len(requests)


@pytest.mark.parametrize("seed", range(4))
def test_takeover_with_entries_lapsed_starts_no_task_twice(seed):
  """A new holder's first list may lack endpoints that run its jobs' tasks."""
  made = fleets.fleet(seed=seed)
  owner = fleets.owner_of(made, "a")
  others = [h for h in fleets.zone_hosts(made, "a") if h is not owner]
  fleets.submit_load(made, others, 6, 60)
  made.clock.at(2.9, lambda: made.unlisted.update(("e-a0", "e-a1", "e-a2")))
  made.clock.at(3.0, lambda: made.kill(owner.name))
  made.clock.at(4.5, made.unlisted.clear)
  made.clock.run_until(12)
  assert made.broken == []


def test_all_hosts_killed_and_back_serve_within_half_a_second():
  """The claims in the store name processes that are gone."""
  made = fleets.fleet()
  names = [(h.name, h.data_centre) for h in made.hosts.values()]
  for name, _ in names:
    made.kill(name)
  made.clock.run_until(1.2)
  for name, zone in names:
    made.add_host(name, zone)
  requests = fleets.submit_load(made, list(made.hosts.values()), 1.0, 60)
  made.clock.run_until(1.6)
  assert all(fleets.owner_of(made, zone) for zone in fleets.ZONES)
  made.clock.run_until(6)
  assert made.broken == []
  found = fleets.count_outcomes(made, requests)
  assert found[model.Outcome.DONE] > 0.9 * len(requests)
  assert model.Outcome.UNKNOWN not in found


def test_one_order_in_ten_lost_takes_no_endpoint_out_of_use():
  made = fleets.fleet()
  for endpoint in made.endpoints.values():
    endpoint.loss_rate = 0.1
  requests = fleets.submit_load(made, list(made.hosts.values()), 8, 50)
  made.clock.run_until(14)
  assert made.broken == []
  found = fleets.count_outcomes(made, requests)
  assert found[model.Outcome.DONE] > 0.9 * len(requests)


def test_host_just_started_leaves_a_claim_to_its_living_holder():
  """The store was away: the claim lapsed, the holder did not."""
  made = fleets.fleet()
  owner = fleets.owner_of(made, "a")
  made.clock.run_until(2.0)
  made.delete_claim(model.Shard("a"))
  # The holder hears of it late, and a host starts meanwhile.
  made.add_host("a9", "a")
  made.clock.run_until(6)
  assert fleets.owner_of(made, "a") is owner


def test_decline_of_an_earlier_offer_does_not_move_a_job_on():
  """The job was offered again after a pause; the first answer comes late."""
  made = fleets.fleet()
  owner = fleets.owner_of(made, "a")
  host = fleets.other_host(made, owner)
  request = made.submit(host.name, fleets.job("j", 2, 200), [0.2] * 2)
  record = host.state.coordinator.jobs["j"]
  record.offer_count += 1  # As if it had been offered again meanwhile.
  late = linkmessages.Declined(record.key, 1, 100)
  host.apply(
      events.HolderMessageReceived(model.Shard("a"), owner.process, late)
  )
  assert record.shard == model.Shard("a")
  assert request not in made.answers


def test_ending_process_answers_whoever_waits():
  made = fleets.fleet()
  request = made.submit(
      "a0", fleets.job("long", 2, 3000), [3.0] * 2, deadline_s=9.0
  )
  made.clock.run_until(1.5)
  made.hosts["a0"].apply(events.DrainStarted())
  made.clock.run_until(2.5)
  assert request not in made.answers
  made.hosts["a0"].apply(events.ProcessEnding())
  assert made.answers[request].answer.outcome is model.Outcome.UNKNOWN
  made.clock.run_until(3.0)
  assert sum(len(e.running) for e in made.endpoints.values()) == 0


@pytest.mark.parametrize("seed", range(6))
def test_planned_stops_in_turn_start_no_task_twice(seed):
  made = fleets.fleet(seed=seed)
  hosts = list(made.hosts.values())
  requests = fleets.submit_load(made, hosts, 8, 70)
  for number, zone in enumerate(fleets.ZONES * 2):
    when = 1.5 + number

    def stop(zone=zone):
      owner = fleets.owner_of(made, zone)
      owner.apply(events.DrainStarted())
      hosts.remove(owner)

      def restart():
        assert owner.state.idle
        made.kill(owner.name)
        hosts.append(made.add_host(owner.name, zone))

      made.clock.after(2.6, restart)

    made.clock.at(when, stop)
  made.clock.run_until(15)
  assert made.broken == []
  found = fleets.count_outcomes(made, requests)
  assert found[model.Outcome.DONE] > 0.93 * len(requests)


def test_job_whose_offer_met_a_replaced_holder_is_never_said_not_to_have_run():
  """The holder took the job and was replaced before its answer came."""
  made = fleets.fleet()
  owner = fleets.owner_of(made, "a")
  host = fleets.other_host(made, owner)
  request = made.submit(host.name, fleets.job("j", 2, 200), [0.2] * 2)
  record = host.state.coordinator.jobs["j"]
  shard = model.Shard("a")
  before = host.state.coordinator.holders[shard].holder
  after = model.Holder("a8", "a8.boot", before.peer, before.fence + 1)
  # No answer to the offer yet; the next holder has no room, nor has any other.
  made.hosts["a8"] = host
  record.declined_by.update((model.Shard("b"), model.Shard("c")))
  host.apply(events.HolderChanged(shard, after))
  decline = linkmessages.Declined(record.key, record.offer_count, 100)
  host.apply(
      events.HolderMessageReceived(
          shard, linkmessages.HostProcess("a8", "a8.boot"), decline
      )
  )
  answered = made.answers.get(request)
  assert (
      answered is None or answered.answer.outcome is not model.Outcome.NOT_RUN
  )


def test_job_whose_offer_has_no_answer_yet_is_never_said_not_to_have_run():
  """The caller's time is over while the holder's word is on its way."""
  made = fleets.fleet()
  owner = fleets.owner_of(made, "a")
  host = fleets.other_host(made, owner)
  request = made.submit(host.name, fleets.job("j", 2, 200), [0.2] * 2, 1.0)
  host.partitioned_from.add(owner.name)  # The offer is out; no answer comes.
  (record,) = host.state.coordinator.jobs.values()
  record.deadline = made.clock.now
  host.apply(events.Tick())
  assert made.answers[request].answer.outcome is model.Outcome.UNKNOWN


def test_job_begins_at_once_in_another_data_centre_rather_than_wait():
  made = fleets.fleet()
  fill = made.submit("a0", fleets.job("fill", 18, 150), [0.15] * 18)
  made.clock.run_until(1.05)
  request = made.submit("a0", fleets.job("next", 2, 200), [0.2] * 2)
  made.clock.run_until(1.1)
  began = [
      e.info.data_centre
      for e in made.endpoints.values()
      for run in e.starts
      if run.task.job_id == "next"
  ]
  assert len(began) == 2 and "a" not in began
  made.clock.run_until(2.0)
  assert made.answers[request].took_s < 0.22
  assert made.answers[fill].answer.outcome is model.Outcome.DONE


def test_job_waits_where_it_waits_least():
  made = fleets.fleet()
  for zone, run_ms in zip(fleets.ZONES, (200, 100, 200), strict=True):
    filling = fleets.job(f"fill-{zone}", 18, run_ms)
    made.submit(f"{zone}0", filling, [run_ms / 1000] * 18)
  made.clock.run_until(1.05)
  request = made.submit("a0", fleets.job("next", 2, 200), [0.2] * 2)
  made.clock.run_until(2.0)
  assert made.answers[request].answer.outcome is model.Outcome.DONE
  assert made.answers[request].took_s < 0.3


def test_job_that_would_outlast_its_caller_is_refused_at_once():
  made = fleets.fleet()
  wide = fleets.job("wide", 400, 1000)
  request = made.submit("a0", wide, [1.0] * 400, deadline_s=3.0)
  made.clock.run_until(1.2)
  answered = made.answers[request].answer
  assert answered.outcome is model.Outcome.NOT_RUN
  assert answered.retry_after_s > 0
  assert not any(e.starts for e in made.endpoints.values())
