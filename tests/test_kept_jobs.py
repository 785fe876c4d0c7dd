"""Kept jobs in an emulated fleet: stored, run once, whatever fails."""

import dataclasses

import pytest

from fescueturn.emulator import fleet as fleet_lib
from fescueturn.emulator import hosts as hosts_lib
from fescueturn.scheduler import coordinator
from fescueturn.scheduler import events
from fescueturn.scheduler import model
from tests import fleets

SHARD = model.Shard("a")


def job(name: str, count: int, run_ms: int, attempts: int = 3) -> model.Job:
  made = fleets.job(name, count, run_ms)
  return dataclasses.replace(made, kept=True, attempts=attempts, queue="q")


def submit(made: fleet_lib.Fleet, host: str, wanted: model.Job, run_s=None):
  tasks = sum(step.count for step in wanted.steps)
  seconds = run_s or wanted.steps[0].estimate_ms / 1000
  return made.submit(host, wanted, [seconds] * tasks, 3.0)


def load(made, hosts, seconds: float, per_s: float, prefix: str = "k"):
  """Hands kept jobs in at hosts that are up; returns requests by job id."""
  asked: dict[str, list[int]] = {}
  start = made.clock.now
  for number in range(int(seconds * per_s)):

    def hand_in(name=f"{prefix}{number}"):
      up = [h for h in hosts() if h.up and not h.frozen]
      run_ms = made.rng.choice((100, 200, 600))
      wanted = job(name, made.rng.randint(1, 4), run_ms)
      if up:
        host = made.rng.choice(up).name
        asked.setdefault(name, []).append(submit(made, host, wanted))

    made.clock.at(start + number / per_s, hand_in)
  return asked


def of_zone(made, zone: str):
  return lambda: fleets.zone_hosts(made, zone)


def all_hosts(made):
  return lambda: list(made.hosts.values())


def outcome(made, request) -> model.Outcome | None:
  given = made.answers.get(request)
  return given.answer.outcome if given else None


def assert_guarantees_hold(made, asked):
  """What was accepted is done; what was refused never ran; nothing twice."""
  assert made.broken == []
  started = {
      run.task.job_id for e in made.endpoints.values() for run in e.starts
  }
  for name, requests in asked.items():
    found = [outcome(made, request) for request in requests]
    if model.Outcome.KEPT in found:
      assert made.kept_store.states[name] is model.KeptJobState.DONE, name
    elif set(found) == {model.Outcome.NOT_RUN}:
      assert name not in started and name not in made.kept_store.states


def accepted(made, asked) -> int:
  return sum(
      outcome(made, request) is model.Outcome.KEPT
      for requests in asked.values()
      for request in requests
  )


def test_job_is_stored_before_it_is_accepted_and_runs_without_its_caller():
  made = fleets.fleet()
  request = submit(made, "a0", job("k", 3, 200))
  made.clock.run_until(1.001)
  assert outcome(made, request) is None
  made.clock.run_until(1.05)
  assert outcome(made, request) is model.Outcome.KEPT
  assert made.answers[request].took_s < 0.03
  assert made.kept_store.states["k"] is model.KeptJobState.OPEN
  made.clock.run_until(1.4)
  assert made.kept_store.states["k"] is model.KeptJobState.DONE
  assert not made.kept_store.open[SHARD]
  assert made.broken == []


def test_ends_are_forgotten_at_endpoints_once_they_are_stored():
  made = fleets.fleet()
  submit(made, "a0", job("k", 3, 200))
  made.clock.run_until(1.215)
  assert not made.acknowledged_done
  made.clock.run_until(1.6)
  assert len(made.acknowledged_done) == 3


@pytest.mark.parametrize("seed", range(4))
def test_owner_killed_its_jobs_are_finished_by_the_next(seed):
  made = fleets.fleet(seed=seed)
  owner = fleets.owner_of(made, "a")
  asked = load(made, of_zone(made, "a"), 4, 25)
  made.clock.at(2.5, lambda: made.kill(owner.name))
  made.clock.run_until(14)
  assert_guarantees_hold(made, asked)
  assert accepted(made, asked) > 0.85 * len(asked)


@pytest.mark.parametrize("load_s", (0.02, 0.1, 0.4))
def test_run_that_ends_while_the_records_are_read_is_not_run_again(load_s):
  made = fleets.fleet()
  made.kept_load_delay_s = load_s
  asked = load(made, of_zone(made, "a"), 2, 25)
  owner = fleets.owner_of(made, "a")
  made.clock.at(2.0, lambda: owner.apply(events.DrainStarted()))
  made.clock.run_until(10)
  assert_guarantees_hold(made, asked)
  assert accepted(made, asked) > 0.85 * len(asked)


@pytest.mark.parametrize("seed", range(4))
def test_best_effort_jobs_end_while_the_records_are_read(seed):
  """Their ends are nobody's to write, whenever they are offered again."""
  made = fleets.fleet(seed=seed)
  made.kept_load_delay_s = 0.3
  requests = fleets.submit_load(made, fleets.zone_hosts(made, "a"), 3, 30)
  asked = load(made, of_zone(made, "a"), 3, 10)
  owner = fleets.owner_of(made, "a")
  made.clock.at(2.0, lambda: owner.apply(events.DrainStarted()))
  made.clock.run_until(10)
  assert_guarantees_hold(made, asked)
  found = fleets.count_outcomes(made, requests)
  assert found[model.Outcome.DONE] > 0.85 * len(requests)


@pytest.mark.parametrize("seed", range(4))
def test_all_hosts_lose_power_and_every_accepted_job_is_done(seed):
  made = fleets.fleet(seed=seed)
  asked = load(made, all_hosts(made), 3, 40)

  def restart():
    for host in list(made.hosts.values()):
      made.add_host(host.name, host.data_centre)

  def power_off():
    for host in made.hosts.values():
      made.kill(host.name)

  made.clock.at(2.5, power_off)
  made.clock.at(3.2, restart)
  made.clock.run_until(16)
  assert_guarantees_hold(made, asked)
  assert accepted(made, asked) > 0.4 * len(asked)


@pytest.mark.parametrize("seed", range(4))
def test_frozen_owner_that_wakes_writes_nothing_more(seed):
  made = fleets.fleet(seed=seed)
  owner = fleets.owner_of(made, "a")
  others = [h for h in fleets.zone_hosts(made, "a") if h is not owner]
  asked = load(made, lambda: others, 4, 20)
  made.clock.at(2.0, lambda: setattr(owner, "frozen", True))
  made.clock.at(4.5, owner.thaw)
  made.clock.run_until(16)
  assert fleets.owner_of(made, "a") is not owner
  assert_guarantees_hold(made, asked)


def test_store_away_refuses_new_jobs_and_finishes_what_it_has():
  made = fleets.fleet()
  asked = load(made, all_hosts(made), 7, 30)
  made.clock.at(2.0, lambda: setattr(made, "store_up", False))
  made.clock.at(6.0, lambda: setattr(made, "store_up", True))
  made.clock.run_until(20)
  assert_guarantees_hold(made, asked)
  late = [r for name, (r,) in asked.items() if 100 < int(name[1:]) < 140]
  assert all(outcome(made, r) is model.Outcome.NOT_RUN for r in late)
  assert all(made.answers[r].took_s < 0.2 for r in late)
  assert all(made.answers[r].answer.retry_after_s > 0 for r in late)


@pytest.mark.parametrize("seed", range(6))
def test_lost_and_late_writes_lose_and_repeat_nothing(seed):
  made = fleets.fleet(seed=seed)
  made.store_reply_loss_rate, made.store_late_write_rate = 0.1, 0.05
  asked = load(made, all_hosts(made), 6, 30)
  owner = fleets.owner_of(made, "b")
  made.clock.at(4.0, lambda: made.kill(owner.name))
  made.clock.run_until(12)
  made.store_reply_loss_rate = made.store_late_write_rate = 0.0
  made.clock.run_until(24)
  assert_guarantees_hold(made, asked)
  assert accepted(made, asked) > 0.3 * len(asked)


def test_claim_taken_away_from_a_living_owner_loses_no_job():
  made = fleets.fleet()
  asked = load(made, of_zone(made, "a"), 4, 20)
  made.clock.at(2.0, lambda: made.delete_claim(SHARD))
  made.clock.run_until(14)
  assert_guarantees_hold(made, asked)


def test_same_job_at_two_data_centres_is_one_job():
  made = fleets.fleet()
  wanted = job("k", 4, 200)
  first = submit(made, "a0", wanted)
  second = submit(made, "b0", wanted)
  made.clock.run_until(3)
  assert outcome(made, first) is outcome(made, second) is model.Outcome.KEPT
  assert sum(len(e.starts) for e in made.endpoints.values()) == 4
  assert made.broken == []


@pytest.mark.parametrize("host", ("a0", "a1", "c2"))
def test_job_sent_again_after_its_end_is_accepted_and_starts_nothing(host):
  made = fleets.fleet()
  wanted = job("k", 2, 100)
  submit(made, "a0", wanted)
  made.clock.run_until(3)
  again = submit(made, host, wanted)
  made.clock.run_until(5)
  assert outcome(made, again) is model.Outcome.KEPT
  assert sum(len(e.starts) for e in made.endpoints.values()) == 2
  assert made.kept_store.states["k"] is model.KeptJobState.DONE


def test_cancelled_job_is_stopped_and_stays_so():
  made = fleets.fleet()
  submit(made, "a0", job("k", 4, 900))
  made.clock.run_until(1.3)
  request = made.query_kept_job("b1", "k", "a", cancel=True)
  made.clock.run_until(1.5)
  assert outcome(made, request) is model.Outcome.CANCELLED
  assert made.kept_store.states["k"] is model.KeptJobState.CANCELLED
  assert sum(len(e.running) for e in made.endpoints.values()) == 0
  made.kill(fleets.owner_of(made, "a").name)
  made.clock.run_until(6)
  assert sum(len(e.starts) for e in made.endpoints.values()) == 4


def test_cancel_of_what_is_over_or_unknown_says_so():
  made = fleets.fleet()
  submit(made, "a0", job("k", 1, 100))
  made.clock.run_until(2)
  over = made.query_kept_job("a1", "k", "a", cancel=True)
  unknown = made.query_kept_job("a1", "nothing", "a", cancel=True)
  made.clock.run_until(3)
  assert outcome(made, over) is model.Outcome.DONE
  assert outcome(made, unknown) is model.Outcome.UNKNOWN


def test_state_of_a_job_just_over_is_told_once_it_is_stored():
  made = fleets.fleet()
  submit(made, "a0", job("k", 2, 200))
  made.clock.run_until(1.1)
  open_still = made.query_kept_job("b0", "k", "a", cancel=False)
  made.clock.run_until(1.11)
  assert outcome(made, open_still) is model.Outcome.KEPT
  # The tasks end at 1.207 s, are listed within 1 ms, stored after 4 more.
  made.clock.run_until(1.2085)
  assert made.kept_store.states["k"] is model.KeptJobState.OPEN
  just_over = made.query_kept_job("b0", "k", "a", cancel=False)
  made.clock.run_until(1.3)
  assert outcome(made, just_over) is model.Outcome.DONE
  assert made.answers[just_over].took_s < 0.03


def test_cancel_survives_the_holders_death():
  made = fleets.fleet()
  owner = fleets.owner_of(made, "a")
  host = fleets.other_host(made, owner)
  submit(made, host.name, job("k", 4, 900))
  made.clock.run_until(1.3)
  request = made.query_kept_job(host.name, "k", "a", cancel=True)
  made.kill(owner.name)
  made.clock.run_until(4)
  assert outcome(made, request) is model.Outcome.CANCELLED
  assert made.kept_store.states["k"] is model.KeptJobState.CANCELLED
  assert made.broken == []


@pytest.mark.parametrize("killed", (False, True))
def test_task_that_always_fails_is_tried_as_often_as_allowed(killed):
  made = fleets.fleet()
  submit(made, "a0", job("k", 1, 100, attempts=3))
  made.task_profiles[model.Task("k", 0, 0)].fails = True
  if killed:
    made.clock.run_until(1.13)
    made.kill(fleets.owner_of(made, "a").name)
  made.clock.run_until(8)
  assert made.kept_store.states["k"] is model.KeptJobState.FAILED
  assert sum(len(e.starts) for e in made.endpoints.values()) == 3


def test_steps_run_in_order_over_a_change_of_holder():
  made = fleets.fleet()
  steps = (
      model.Step(2, fleets.NEED, 200),
      model.Step(2, fleets.NEED, 200, (0,)),
  )
  wanted = dataclasses.replace(job("k", 1, 200), steps=steps)
  made.submit("a0", wanted, [0.2] * 4, 3.0)
  made.clock.run_until(1.25)
  made.kill(fleets.owner_of(made, "a").name)
  made.clock.run_until(8)
  assert made.kept_store.states["k"] is model.KeptJobState.DONE
  assert sum(len(e.starts) for e in made.endpoints.values()) == 4
  assert made.broken == []


def test_jobs_long_over_are_forgotten_also_by_another_holder():
  made = fleets.fleet()
  submit(made, "a0", job("early", 1, 100))
  made.clock.run_until(3)
  made.kill(fleets.owner_of(made, "a").name)
  made.clock.run_until(5)
  host = fleets.owner_of(made, "a")
  submit(made, host.name, job("late", 1, 100))
  made.clock.run_until(hosts_lib.ENDED_JOB_TTL_S)
  assert set(made.kept_store.states) == {"early", "late"}
  made.clock.run_until(hosts_lib.ENDED_JOB_TTL_S + 45)
  assert not made.kept_store.states


def test_jobs_that_wait_are_counted_at_every_host():
  made = fleets.fleet()
  submit(made, "a0", job("fill", 18, 3000))
  made.clock.run_until(1.2)
  for number in range(3):
    wanted = job(f"k{number}", 2, 5000)
    made.hosts["a0"].state.coordinator.holders.pop(model.Shard("b"), None)
    made.hosts["a0"].state.coordinator.holders.pop(model.Shard("c"), None)
    submit(made, "a0", wanted)
  made.clock.run_until(3.0)
  for host in made.hosts.values():
    assert coordinator.pending(host.state.coordinator, "q") == 3
