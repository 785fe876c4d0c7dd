"""Kept (durable) jobs in an emulated fleet, under failures."""

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
  best_effort = fleets.job(name, count, run_ms)
  return dataclasses.replace(
      best_effort, kept=True, attempts=attempts, queue="q"
  )


def submit(
    emulation: fleet_lib.Fleet, host: str, kept_job: model.Job, run_s=None
):
  tasks = sum(step.count for step in kept_job.steps)
  seconds = run_s or kept_job.steps[0].estimate_ms / 1000
  return emulation.submit(host, kept_job, [seconds] * tasks, 3.0)


def load(emulation, hosts, seconds: float, per_s: float, prefix: str = "k"):
  """Submits kept jobs to hosts that are up; returns the requests by job id."""
  submitted: dict[str, list[int]] = {}
  start = emulation.clock.now
  for number in range(int(seconds * per_s)):

    def submit_one(name=f"{prefix}{number}"):
      live_hosts = [h for h in hosts() if h.up and not h.frozen]
      run_ms = emulation.rng.choice((100, 200, 600))
      kept_job = job(name, emulation.rng.randint(1, 4), run_ms)
      if live_hosts:
        host = emulation.rng.choice(live_hosts).name
        submitted.setdefault(name, []).append(submit(emulation, host, kept_job))

    emulation.clock.at(start + number / per_s, submit_one)
  return submitted


def hosts_of(emulation, data_centre: str):
  return lambda: fleets.hosts_in(emulation, data_centre)


def all_hosts(emulation):
  return lambda: list(emulation.hosts.values())


def outcome(emulation, request) -> model.Outcome | None:
  answered = emulation.answers.get(request)
  return answered.answer.outcome if answered else None


def assert_guarantees_hold(emulation, submitted):
  """Checks that accepted jobs are done, once, and refused ones never ran."""
  assert emulation.broken == []
  started = {
      run.task.job_id for e in emulation.endpoints.values() for run in e.starts
  }
  for name, requests in submitted.items():
    outcomes = [outcome(emulation, request) for request in requests]
    if model.Outcome.KEPT in outcomes:
      assert emulation.kept_store.states[name] is model.KeptJobState.DONE, name
    elif set(outcomes) == {model.Outcome.NOT_RUN}:
      assert name not in started and name not in emulation.kept_store.states


def accepted(emulation, submitted) -> int:
  return sum(
      outcome(emulation, request) is model.Outcome.KEPT
      for requests in submitted.values()
      for request in requests
  )


def test_job_is_stored_before_it_is_accepted_and_runs_without_its_caller():
  emulation = fleets.fleet()
  request = submit(emulation, "a0", job("k", 3, 200))
  emulation.clock.run_until(1.001)
  assert outcome(emulation, request) is None
  emulation.clock.run_until(1.05)
  assert outcome(emulation, request) is model.Outcome.KEPT
  assert emulation.answers[request].took_s < 0.03
  assert emulation.kept_store.states["k"] is model.KeptJobState.OPEN
  emulation.clock.run_until(1.4)
  assert emulation.kept_store.states["k"] is model.KeptJobState.DONE
  assert not emulation.kept_store.open[SHARD]
  assert emulation.broken == []


def test_results_are_acknowledged_once_they_are_stored():
  emulation = fleets.fleet()
  submit(emulation, "a0", job("k", 3, 200))
  emulation.clock.run_until(1.215)
  assert not emulation.acknowledged_done
  emulation.clock.run_until(1.6)
  assert len(emulation.acknowledged_done) == 3


@pytest.mark.parametrize("seed", range(4))
def test_next_owner_finishes_the_jobs_of_a_killed_one(seed):
  emulation = fleets.fleet(seed=seed)
  owner = fleets.owner_of(emulation, "a")
  submitted = load(emulation, hosts_of(emulation, "a"), 4, 25)
  emulation.clock.at(2.5, lambda: emulation.kill(owner.name))
  emulation.clock.run_until(14)
  assert_guarantees_hold(emulation, submitted)
  assert accepted(emulation, submitted) > 0.85 * len(submitted)


@pytest.mark.parametrize("load_s", (0.02, 0.1, 0.4))
def test_run_that_ends_while_the_records_are_read_is_not_run_again(load_s):
  emulation = fleets.fleet()
  emulation.kept_load_delay_s = load_s
  submitted = load(emulation, hosts_of(emulation, "a"), 2, 25)
  owner = fleets.owner_of(emulation, "a")
  emulation.clock.at(2.0, lambda: owner.apply(events.DrainStarted()))
  emulation.clock.run_until(10)
  assert_guarantees_hold(emulation, submitted)
  assert accepted(emulation, submitted) > 0.85 * len(submitted)


@pytest.mark.parametrize("seed", range(4))
def test_best_effort_jobs_end_while_the_records_are_read(seed):
  """Their results must not be stored, whenever the jobs are offered again."""
  emulation = fleets.fleet(seed=seed)
  emulation.kept_load_delay_s = 0.3
  requests = fleets.submit_load(
      emulation, fleets.hosts_in(emulation, "a"), 3, 30
  )
  submitted = load(emulation, hosts_of(emulation, "a"), 3, 10)
  owner = fleets.owner_of(emulation, "a")
  emulation.clock.at(2.0, lambda: owner.apply(events.DrainStarted()))
  emulation.clock.run_until(10)
  assert_guarantees_hold(emulation, submitted)
  outcome_counts = fleets.count_outcomes(emulation, requests)
  assert outcome_counts[model.Outcome.DONE] > 0.85 * len(requests)


@pytest.mark.parametrize("seed", range(4))
def test_all_hosts_lose_power_and_every_accepted_job_is_done(seed):
  emulation = fleets.fleet(seed=seed)
  submitted = load(emulation, all_hosts(emulation), 3, 40)

  def restart():
    for host in list(emulation.hosts.values()):
      emulation.add_host(host.name, host.data_centre)

  def power_off():
    for host in emulation.hosts.values():
      emulation.kill(host.name)

  emulation.clock.at(2.5, power_off)
  emulation.clock.at(3.2, restart)
  emulation.clock.run_until(16)
  assert_guarantees_hold(emulation, submitted)
  assert accepted(emulation, submitted) > 0.4 * len(submitted)


@pytest.mark.parametrize("seed", range(4))
def test_frozen_owner_that_wakes_writes_nothing_more(seed):
  emulation = fleets.fleet(seed=seed)
  owner = fleets.owner_of(emulation, "a")
  others = [h for h in fleets.hosts_in(emulation, "a") if h is not owner]
  submitted = load(emulation, lambda: others, 4, 20)
  emulation.clock.at(2.0, lambda: setattr(owner, "frozen", True))
  emulation.clock.at(4.5, owner.thaw)
  emulation.clock.run_until(16)
  assert fleets.owner_of(emulation, "a") is not owner
  assert_guarantees_hold(emulation, submitted)


def test_unavailable_store_refuses_new_jobs_and_finishes_accepted_ones():
  emulation = fleets.fleet()
  submitted = load(emulation, all_hosts(emulation), 7, 30)
  emulation.clock.at(2.0, lambda: setattr(emulation, "store_up", False))
  emulation.clock.at(6.0, lambda: setattr(emulation, "store_up", True))
  emulation.clock.run_until(20)
  assert_guarantees_hold(emulation, submitted)
  late = [r for name, (r,) in submitted.items() if 100 < int(name[1:]) < 140]
  assert all(outcome(emulation, r) is model.Outcome.NOT_RUN for r in late)
  assert all(emulation.answers[r].took_s < 0.2 for r in late)
  assert all(emulation.answers[r].answer.retry_after_s > 0 for r in late)


@pytest.mark.parametrize("seed", range(6))
def test_lost_and_late_writes_lose_no_job_and_repeat_no_task(seed):
  emulation = fleets.fleet(seed=seed)
  emulation.store_reply_loss_rate, emulation.store_late_write_rate = 0.1, 0.05
  submitted = load(emulation, all_hosts(emulation), 6, 30)
  owner = fleets.owner_of(emulation, "b")
  emulation.clock.at(4.0, lambda: emulation.kill(owner.name))
  emulation.clock.run_until(12)
  emulation.store_reply_loss_rate = emulation.store_late_write_rate = 0.0
  emulation.clock.run_until(24)
  assert_guarantees_hold(emulation, submitted)
  assert accepted(emulation, submitted) > 0.3 * len(submitted)


def test_live_owner_that_loses_its_claim_loses_no_job():
  emulation = fleets.fleet()
  submitted = load(emulation, hosts_of(emulation, "a"), 4, 20)
  emulation.clock.at(2.0, lambda: emulation.delete_claim(SHARD))
  emulation.clock.run_until(14)
  assert_guarantees_hold(emulation, submitted)


def test_job_submitted_at_two_data_centres_runs_once():
  emulation = fleets.fleet()
  kept_job = job("k", 4, 200)
  first = submit(emulation, "a0", kept_job)
  second = submit(emulation, "b0", kept_job)
  emulation.clock.run_until(3)
  assert (
      outcome(emulation, first)
      is outcome(emulation, second)
      is model.Outcome.KEPT
  )
  assert sum(len(e.starts) for e in emulation.endpoints.values()) == 4
  assert emulation.broken == []


@pytest.mark.parametrize("host", ("a0", "a1", "c2"))
def test_job_resubmitted_after_its_end_is_accepted_and_starts_nothing(host):
  emulation = fleets.fleet()
  kept_job = job("k", 2, 100)
  submit(emulation, "a0", kept_job)
  emulation.clock.run_until(3)
  again = submit(emulation, host, kept_job)
  emulation.clock.run_until(5)
  assert outcome(emulation, again) is model.Outcome.KEPT
  assert sum(len(e.starts) for e in emulation.endpoints.values()) == 2
  assert emulation.kept_store.states["k"] is model.KeptJobState.DONE


def test_cancelled_job_is_stopped_and_not_restarted():
  emulation = fleets.fleet()
  submit(emulation, "a0", job("k", 4, 900))
  emulation.clock.run_until(1.3)
  request = emulation.query_kept_job("b1", "k", "a", cancel=True)
  emulation.clock.run_until(1.5)
  assert outcome(emulation, request) is model.Outcome.CANCELLED
  assert emulation.kept_store.states["k"] is model.KeptJobState.CANCELLED
  assert sum(len(e.running) for e in emulation.endpoints.values()) == 0
  emulation.kill(fleets.owner_of(emulation, "a").name)
  emulation.clock.run_until(6)
  assert sum(len(e.starts) for e in emulation.endpoints.values()) == 4


def test_cancel_of_a_finished_or_unknown_job_reports_that():
  emulation = fleets.fleet()
  submit(emulation, "a0", job("k", 1, 100))
  emulation.clock.run_until(2)
  finished = emulation.query_kept_job("a1", "k", "a", cancel=True)
  unknown = emulation.query_kept_job("a1", "nothing", "a", cancel=True)
  emulation.clock.run_until(3)
  assert outcome(emulation, finished) is model.Outcome.DONE
  assert outcome(emulation, unknown) is model.Outcome.UNKNOWN


def test_state_of_a_finished_job_is_reported_once_it_is_stored():
  emulation = fleets.fleet()
  submit(emulation, "a0", job("k", 2, 200))
  emulation.clock.run_until(1.1)
  before_end = emulation.query_kept_job("b0", "k", "a", cancel=False)
  emulation.clock.run_until(1.11)
  assert outcome(emulation, before_end) is model.Outcome.KEPT
  # The tasks end at 1.207 s, are listed within 1 ms, stored after 4 more.
  emulation.clock.run_until(1.2085)
  assert emulation.kept_store.states["k"] is model.KeptJobState.OPEN
  at_end = emulation.query_kept_job("b0", "k", "a", cancel=False)
  emulation.clock.run_until(1.3)
  assert outcome(emulation, at_end) is model.Outcome.DONE
  assert emulation.answers[at_end].took_s < 0.03


def test_cancel_survives_a_crash_of_the_holder():
  emulation = fleets.fleet()
  owner = fleets.owner_of(emulation, "a")
  host = fleets.other_host(emulation, owner)
  submit(emulation, host.name, job("k", 4, 900))
  emulation.clock.run_until(1.3)
  request = emulation.query_kept_job(host.name, "k", "a", cancel=True)
  emulation.kill(owner.name)
  emulation.clock.run_until(4)
  assert outcome(emulation, request) is model.Outcome.CANCELLED
  assert emulation.kept_store.states["k"] is model.KeptJobState.CANCELLED
  assert emulation.broken == []


def test_result_of_a_cancelled_job_is_acknowledged_once_its_state_is_stored():
  """Otherwise the next holder neither knows of the cancellation nor the result."""
  emulation = fleets.fleet()
  owner = fleets.owner_of(emulation, "a")
  host = fleets.other_host(emulation, owner)
  # Every endpoint has another run, so that its lease is renewed.
  emulation.submit(host.name, fleets.job("o", 12, 1500), [1.5] * 12, 4.0)
  emulation.clock.run_until(1.01)
  submit(emulation, host.name, job("k", 1, 200))
  emulation.clock.run_until(1.1)
  owner.partitioned_from.add("store")
  for endpoint in emulation.endpoints.values():
    endpoint.order_delay_s = 1.0
  emulation.query_kept_job(host.name, "k", "a", cancel=True)
  emulation.clock.run_until(1.9)
  for endpoint in emulation.endpoints.values():
    endpoint.order_delay_s = 0.0
  emulation.kill(owner.name)
  emulation.kill(host.name)
  emulation.clock.run_until(6)
  assert emulation.broken == []
  assert emulation.kept_store.states["k"] is model.KeptJobState.DONE


@pytest.mark.parametrize("killed", (False, True))
def test_task_that_always_fails_is_attempted_as_often_as_allowed(killed):
  emulation = fleets.fleet()
  submit(emulation, "a0", job("k", 1, 100, attempts=3))
  emulation.task_profiles[model.Task("k", 0, 0)].fails = True
  if killed:
    emulation.clock.run_until(1.13)
    emulation.kill(fleets.owner_of(emulation, "a").name)
  emulation.clock.run_until(8)
  assert emulation.kept_store.states["k"] is model.KeptJobState.FAILED
  assert sum(len(e.starts) for e in emulation.endpoints.values()) == 3


def test_steps_run_in_order_across_a_change_of_holder():
  emulation = fleets.fleet()
  steps = (
      model.Step(2, fleets.NEED, 200),
      model.Step(2, fleets.NEED, 200, (0,)),
  )
  kept_job = dataclasses.replace(job("k", 1, 200), steps=steps)
  emulation.submit("a0", kept_job, [0.2] * 4, 3.0)
  emulation.clock.run_until(1.25)
  emulation.kill(fleets.owner_of(emulation, "a").name)
  emulation.clock.run_until(8)
  assert emulation.kept_store.states["k"] is model.KeptJobState.DONE
  assert sum(len(e.starts) for e in emulation.endpoints.values()) == 4
  assert emulation.broken == []


def test_finished_jobs_are_deleted_also_by_another_holder():
  emulation = fleets.fleet()
  submit(emulation, "a0", job("early", 1, 100))
  emulation.clock.run_until(3)
  emulation.kill(fleets.owner_of(emulation, "a").name)
  emulation.clock.run_until(5)
  host = fleets.owner_of(emulation, "a")
  submit(emulation, host.name, job("late", 1, 100))
  emulation.clock.run_until(hosts_lib.ENDED_JOB_TTL_S)
  assert set(emulation.kept_store.states) == {"early", "late"}
  emulation.clock.run_until(hosts_lib.ENDED_JOB_TTL_S + 45)
  assert not emulation.kept_store.states


def test_waiting_jobs_are_counted_at_every_host():
  emulation = fleets.fleet()
  submit(emulation, "a0", job("fill", 18, 3000))
  emulation.clock.run_until(1.2)
  for number in range(3):
    kept_job = job(f"k{number}", 2, 5000)
    emulation.hosts["a0"].state.coordinator.holders.pop(model.Shard("b"), None)
    emulation.hosts["a0"].state.coordinator.holders.pop(model.Shard("c"), None)
    submit(emulation, "a0", kept_job)
  emulation.clock.run_until(3.0)
  for host in emulation.hosts.values():
    assert coordinator.pending(host.state.coordinator, "q") == 3


def ordered_again(holder) -> list[str]:
  """Returns the endpoints that were ordered to run a further attempt."""
  return [
      name
      for owner in holder.state.owners.values()
      for name, record in owner.endpoints.items()
      for run in record.runs
      if run.task.job_id == "k" and run.attempt > 1
  ]


@pytest.mark.parametrize("delay_s", (0.5, 0.55, 0.6))
@pytest.mark.parametrize("is_heard", (False, True))
def test_order_of_a_killed_owner_is_not_carried_out_after_its_task_was_done(
    is_heard, delay_s
):
  """The first run's end is heard late or never; another one is ordered."""
  emulation = fleets.fleet()
  emulation.clock.run_until(6.0)
  owner = fleets.owner_of(emulation, "a")
  submit(emulation, owner.name, job("k", 1, 700))
  emulation.clock.run_until(6.1)
  (first,) = [e for e in emulation.endpoints.values() if e.running]
  submit(emulation, owner.name, job("others", 16, 4000))
  emulation.clock.run_until(6.25)
  owner.partitioned_from.add(first.info.id)
  for endpoint in emulation.endpoints.values():
    if endpoint is not first:
      endpoint.order_delay_s = delay_s
  while not ordered_again(owner):
    emulation.clock.run_until(emulation.clock.now + 0.01)
  (second,) = ordered_again(owner)
  if is_heard:
    owner.partitioned_from.clear()
  emulation.clock.run_until(emulation.clock.now + 0.2)
  emulation.kill(owner.name)
  for host in emulation.hosts.values():
    host.partitioned_from.add(second)
  emulation.clock.run_until(emulation.clock.now + 4.0)
  assert [r.task.job_id for r in emulation.endpoints[second].starts].count("k")
  assert emulation.broken == []
  assert model.Task("k", 0, 0) in emulation.acknowledged_done


def test_step_that_finds_no_endpoint_now_holds_no_other_step_back():
  """The only endpoint with enough free CPU for the first step is full."""
  emulation = fleets.fleet(endpoints=2)
  emulation.add_endpoint("z", "a", cpu=200000)
  emulation.clock.run_until(6.0)
  small = model.Step(1, model.Resources(1000, 64, 0), 100)
  wide = model.Step(1, model.Resources(200000, 64, 0), 800)
  full = dataclasses.replace(job("full", 1, 800), steps=(wide,))
  submit(emulation, "a0", full)
  emulation.clock.run_until(6.2)
  both = dataclasses.replace(job("j", 1, 800), steps=(wide, small))
  emulation.submit("a0", both, [0.8, 0.1], 3.0)
  emulation.clock.run_until(6.4)
  started = [r for e in emulation.endpoints.values() for r in e.starts]
  assert [r.task.step for r in started if r.task.job_id == "j"] == [1]
