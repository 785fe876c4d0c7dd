"""Kept jobs of data centres that are lost or cut off, in an emulated fleet.

Guards against kept jobs that stay open for ever because all hosts that may claim
their shard are gone, and against two runs of a task where these hosts were only
cut off, or stood still.
"""

import dataclasses

import pytest

from fescueturn.emulator import endpointcalls
from fescueturn.scheduler import events
from fescueturn.scheduler import model
from fescueturn.scheduler import timebudget
from tests import fleets
from tests import test_kept_jobs
from tests import test_late_messages
from tests import test_succession

LOST_AT = 6.1
# By then a lost data centre's jobs have been taken over: its claim expires after
# 1.5 s, and the search is repeated every second.
TAKEN_AFTER_S = 1.5 + timebudget.UNCLAIMED_TIMEOUT_S + 2.5
SMALL = model.Resources(1000, 64, 0)
STEP = model.Step(2, SMALL, 300)
# Jobs by shape: steps that wait for each other, or are bound to endpoints.
SHAPES = {
    "one": (model.Step(1, SMALL, 300),),
    "wide": (model.Step(24, SMALL, 300),),
    "chain": (STEP, dataclasses.replace(STEP, after=(0,))),
    "fork": (
        STEP,
        dataclasses.replace(STEP, after=(0,)),
        dataclasses.replace(STEP, after=(0,)),
        model.Step(1, SMALL, 300, (1, 2)),
    ),
    "spread": (model.Step(3, SMALL, 300, most_per_endpoint=1),),
    "near": (model.Step(2, SMALL, 300, near="rack-a"),),
}


def kept(name: str, steps, run_ms: int = 300) -> model.Job:
  steps = tuple(dataclasses.replace(s, estimate_ms=run_ms) for s in steps)
  return model.Job(name, "s", "spec", steps, 3, 1.6, 60, "q", True)


def submit(emulation, host: str, job: model.Job):
  run_s = [s.estimate_ms / 1000 for s in job.steps for _ in range(s.count)]
  return emulation.submit(host, job, run_s, 3.0)


def endpoints_in(emulation, data_centre: str):
  return [
      e
      for e in emulation.endpoints.values()
      if e.info.data_centre == data_centre
  ]


def lose_hosts(emulation, data_centre: str = "a"):
  for host in fleets.hosts_in(emulation, data_centre):
    emulation.kill(host.name)


def lose_endpoints(emulation, data_centre: str = "a"):
  for endpoint in endpoints_in(emulation, data_centre):
    endpoint.crash()
    emulation.unlisted.add(endpoint.info.id)


def bring_back(emulation, data_centre: str = "a"):
  for host in fleets.hosts_in(emulation, data_centre):
    emulation.add_host(host.name, data_centre)


def fleet_with_jobs(
    shape: str = "chain", run_ms: int = 300, seed: int = 0, jobs: int = 4
):
  """Returns a fleet at `LOST_AT`, with kept jobs that a has just accepted."""
  emulation = fleets.fleet(seed=seed)
  emulation.clock.run_until(LOST_AT - 0.1)
  host = fleets.owner_of(emulation, "a").name
  for number in range(jobs):
    submit(emulation, host, kept(f"k{number}", SHAPES[shape], run_ms))
  emulation.clock.run_until(LOST_AT)
  return emulation


def states(emulation) -> set[model.KeptJobState]:
  return set(emulation.kept_store.states.values())


def lines(emulation, event: str) -> list[events.Log]:
  return [
      line
      for host in emulation.hosts.values()
      for line in host.log
      if line.event == event
  ]


def starts_in(emulation, data_centre: str, job_id: str = "k"):
  return [
      run
      for endpoint in endpoints_in(emulation, data_centre)
      for run in endpoint.starts
      if run.task.job_id.startswith(job_id)
  ]


def check_done(emulation, until: float):
  emulation.clock.run_until(until)
  assert states(emulation) == {model.KeptJobState.DONE}
  assert emulation.broken == []


@pytest.mark.parametrize("with_endpoints", [True, False])
@pytest.mark.parametrize("shape", SHAPES)
def test_kept_jobs_of_a_lost_data_centre_run_elsewhere(shape, with_endpoints):
  emulation = fleet_with_jobs(shape, 2000)
  lose_hosts(emulation)
  if with_endpoints:
    lose_endpoints(emulation)
  check_done(emulation, LOST_AT + TAKEN_AFTER_S + 8.0)
  assert lines(emulation, "kept_jobs_taken_over")


@pytest.mark.parametrize("with_endpoints", [True, False])
@pytest.mark.parametrize("lost_after_s", [0.0, 0.1, 0.2, 0.25, 0.3, 0.4, 0.55])
def test_kept_jobs_are_taken_over_at_any_moment_of_their_course(
    lost_after_s, with_endpoints
):
  """Stored, queued, running, between steps, or ended unheard."""
  emulation = fleet_with_jobs("chain")
  emulation.clock.run_until(LOST_AT - 0.1 + lost_after_s)
  lose_hosts(emulation)
  if with_endpoints:
    lose_endpoints(emulation)
  check_done(emulation, LOST_AT + TAKEN_AFTER_S + 4.0)


def test_queued_kept_jobs_are_taken_over():
  emulation = fleet_with_jobs("wide", 3000, jobs=8)
  lose_hosts(emulation)
  lose_endpoints(emulation)
  check_done(emulation, LOST_AT + TAKEN_AFTER_S + 16.0)


def test_many_kept_jobs_run_in_the_data_centres_that_are_left():
  emulation = fleet_with_jobs("one", 500, jobs=60)
  lose_hosts(emulation)
  lose_endpoints(emulation)
  check_done(emulation, LOST_AT + TAKEN_AFTER_S + 8.0)


@pytest.mark.parametrize("after_s", [1.0, 4.0, 7.0, 8.0, 9.0, 10.0, 12.0, 20.0])
@pytest.mark.parametrize("with_endpoints", [True, False])
def test_hosts_that_come_back_run_what_was_not_taken_over(
    after_s, with_endpoints
):
  emulation = fleet_with_jobs("fork", 1000)
  lose_hosts(emulation)
  if with_endpoints:
    lose_endpoints(emulation)
  emulation.clock.run_until(LOST_AT + after_s)
  bring_back(emulation)
  check_done(emulation, LOST_AT + after_s + TAKEN_AFTER_S + 8.0)


CUTS_S = (1.0, 3.0, 5.0, 6.0, 7.0, 7.6, 8.2, 9.0, 9.6, 10.5, 12.0, 18.0)


@pytest.mark.parametrize("cut_s", CUTS_S)
@pytest.mark.parametrize("run_ms", [400, 1500, 30000])
def test_no_task_runs_twice_if_a_data_centre_was_only_cut_off(run_ms, cut_s):
  """Its runs end late, beside best-effort runs, and the ends are heard late."""
  emulation = fleet_with_jobs("chain", run_ms)
  test_succession.cut_off(emulation, "a")
  hosts = fleets.hosts_in(emulation, "a")
  fleets.submit_load(emulation, hosts, cut_s + 8.0, 40)
  emulation.clock.run_until(LOST_AT + cut_s)
  test_succession.cut_off(emulation, "a", restored=True)
  limit_s = TAKEN_AFTER_S + 8.0 + 3 * run_ms / 1000
  check_done(emulation, LOST_AT + cut_s + limit_s)


def test_ends_that_are_listed_before_the_records_are_read_are_held_back():
  """The jobs have been taken over, and their tasks run there now."""
  emulation = fleet_with_jobs("one", 400)
  test_succession.cut_off(emulation, "a")
  hosts = fleets.hosts_in(emulation, "a")
  fleets.submit_load(emulation, hosts, 20.0, 40)
  emulation.clock.run_until(LOST_AT + 12.0)
  emulation.kept_load_delay_s = 1.0
  test_succession.cut_off(emulation, "a", restored=True)
  check_done(emulation, LOST_AT + 12.0 + TAKEN_AFTER_S + 8.0)
  assert lines(emulation, "kept_end_held")


def test_names_of_jobs_that_were_taken_over_are_deleted():
  emulation = fleet_with_jobs("one", 400)
  lose_hosts(emulation)
  emulation.clock.run_until(LOST_AT + TAKEN_AFTER_S)
  bring_back(emulation)
  emulation.clock.run_until(LOST_AT + TAKEN_AFTER_S + 5.0)
  (owner,) = fleets.owner_of(emulation, "a").state.owners.values()
  assert len(owner.kept_records.taken) == 4
  assert owner.kept_records.taken_records
  emulation.clock.run_until(LOST_AT + TAKEN_AFTER_S + 35.0)
  assert not owner.kept_records.taken_records
  assert not any(emulation.kept_store._taken.values())


@pytest.mark.parametrize("cut_s", [8.0, 9.0, 12.0])
@pytest.mark.parametrize("stops_lost", [True, False])
def test_kept_runs_end_before_they_start_elsewhere(
    monkeypatch, stops_lost, cut_s
):
  """Best-effort jobs keep the leases of all endpoints alive meanwhile."""
  if stops_lost:
    monkeypatch.setitem(
        endpointcalls.EFFECT_HANDLERS, events.StopRun, lambda *_: None
    )
  emulation = fleet_with_jobs("wide", 20000)
  test_succession.cut_off(emulation, "a")
  fleets.submit_load(emulation, fleets.hosts_in(emulation, "a"), cut_s, 60)
  emulation.clock.run_until(LOST_AT + cut_s)
  assert not any(
      run.task.job_id.startswith("k")
      for endpoint in endpoints_in(emulation, "a")
      for run in endpoint.running
  )
  emulation.clock.run_until(LOST_AT + 20.0)
  assert len(starts_in(emulation, "b") + starts_in(emulation, "c")) == 96
  assert emulation.broken == []


@pytest.mark.parametrize("is_suspended", [True, False])
@pytest.mark.parametrize("still_s", [1.0, 4.0, 7.0, 9.0, 10.0, 14.0])
def test_hosts_that_stood_still_start_no_task_again(still_s, is_suspended):
  emulation = fleet_with_jobs("chain", 4000)
  for host in fleets.hosts_in(emulation, "a"):
    if is_suspended:
      test_late_messages.suspend(emulation, host, still_s)
    else:
      host.frozen = True
      emulation.clock.after(still_s, host.thaw)
  check_done(emulation, LOST_AT + still_s + TAKEN_AFTER_S + 14.0)


@pytest.mark.parametrize("after_s", [9.0, 9.3, 9.6, 9.9, 10.2, 10.5, 11.0])
@pytest.mark.parametrize("is_restarted", [True, False])
def test_another_host_goes_on_if_the_one_that_takes_over_is_lost(
    is_restarted, after_s
):
  emulation = fleet_with_jobs("chain", 1000)
  lose_hosts(emulation)
  lose_endpoints(emulation)
  emulation.clock.run_until(LOST_AT + after_s)
  taken = lines(emulation, "kept_jobs_taken_over")
  names = {"b", "c"} if not taken else {dict(taken[0].fields)["data_centre"]}
  for name in names:
    owner = fleets.owner_of(emulation, name)
    emulation.kill(owner.name)
    if is_restarted:
      emulation.add_host(owner.name, name)
  check_done(emulation, LOST_AT + after_s + 2.0 + 2 * TAKEN_AFTER_S)


def test_jobs_are_taken_over_although_answers_of_the_store_are_lost():
  emulation = fleet_with_jobs("chain", 1000)
  emulation.store_reply_loss_rate = 0.5
  lose_hosts(emulation)
  lose_endpoints(emulation)
  check_done(emulation, LOST_AT + 2 * TAKEN_AFTER_S + 20.0)


def test_second_data_centre_that_is_lost_after_it_took_over_jobs():
  emulation = fleet_with_jobs("chain", 3000)
  lose_hosts(emulation)
  lose_endpoints(emulation)
  emulation.clock.run_until(LOST_AT + TAKEN_AFTER_S)
  (taken,) = lines(emulation, "kept_jobs_taken_over")
  name = dict(taken.fields)["data_centre"]
  lose_hosts(emulation, name)
  lose_endpoints(emulation, name)
  check_done(emulation, LOST_AT + 2 * TAKEN_AFTER_S + 12.0)


@pytest.mark.parametrize("away_s", [2.0, 6.0, 10.0, 30.0])
def test_store_that_is_away_moves_no_job(away_s):
  emulation = fleet_with_jobs("chain", 1500)
  emulation.store_up = False
  emulation.clock.run_until(LOST_AT + away_s)
  emulation.store_up = True
  check_done(emulation, LOST_AT + away_s + TAKEN_AFTER_S + 8.0)
  assert not lines(emulation, "kept_jobs_taken_over")
  assert not starts_in(emulation, "b") + starts_in(emulation, "c")


def test_store_that_is_away_after_a_loss_begins_the_wait_anew():
  """The claims of all holders may have expired meanwhile."""
  emulation = fleet_with_jobs("one", 500)
  lose_hosts(emulation)
  emulation.clock.run_until(LOST_AT + 5.0)
  emulation.store_up = False
  emulation.clock.run_until(LOST_AT + 15.0)
  emulation.store_up = True
  emulation.clock.run_until(LOST_AT + 15.0 + timebudget.UNCLAIMED_TIMEOUT_S)
  assert not lines(emulation, "kept_jobs_taken_over")
  check_done(emulation, LOST_AT + 15.0 + TAKEN_AFTER_S + 3.0)


def test_kept_jobs_go_on_in_an_outage_that_is_shorter_than_the_limit():
  emulation = fleet_with_jobs("one", 30000)
  emulation.store_up = False
  emulation.clock.run_until(LOST_AT + timebudget.CLAIM_UNCONFIRMED_S - 0.8)
  assert not lines(emulation, "self_fenced")
  assert len(starts_in(emulation, "a")) == 4
  running = [r for e in endpoints_in(emulation, "a") for r in e.running]
  assert len(running) == 4


def count_served(emulation, requests) -> int:
  return fleets.count_outcomes(emulation, requests).get(model.Outcome.DONE, 0)


@pytest.mark.parametrize("seed", range(3))
def test_best_effort_service_of_a_data_centre_that_is_cut_off(seed):
  """As many jobs are served as while the store shows the holder its claim."""
  served = []
  for is_stopped in (True, False):
    emulation = fleet_with_jobs("wide", 20000, seed, jobs=1)
    test_succession.cut_off(emulation, "a")
    hosts = fleets.hosts_in(emulation, "a")
    requests = fleets.submit_load(emulation, hosts, 12.0, 40)
    while emulation.clock.now < LOST_AT + 16.0:
      emulation.clock.run_until(emulation.clock.now + 0.05)
      for owner in fleets.owner_of(emulation, "a").state.owners.values():
        if not is_stopped:
          owner.confirm_claim(0.0)
    assert len(lines(emulation, "self_fenced")) == is_stopped
    served.append(count_served(emulation, requests))
  assert served[0] >= served[1]


def ask(emulation, host: str, data_centre: str, cancel: bool):
  request = emulation.query_kept_job(host, "k0", data_centre, cancel, 1.0)
  emulation.clock.run_until(emulation.clock.now + 1.1)
  return emulation.answers[request].answer.outcome


def test_job_that_was_taken_over_is_cancelled_by_its_new_holder():
  emulation = fleet_with_jobs("one", 30000)
  lose_hosts(emulation)
  lose_endpoints(emulation)
  emulation.clock.run_until(LOST_AT + 4.0)
  assert ask(emulation, "b0", "a", True) is model.Outcome.UNKNOWN
  emulation.clock.run_until(LOST_AT + TAKEN_AFTER_S)
  (taken,) = lines(emulation, "kept_jobs_taken_over")
  name = dict(taken.fields)["data_centre"]
  assert ask(emulation, "b0", name, False) is model.Outcome.KEPT
  assert ask(emulation, "c0", name, True) is model.Outcome.CANCELLED
  assert emulation.kept_store.states["k0"] is model.KeptJobState.CANCELLED
  emulation.clock.run_until(emulation.clock.now + 1.0)
  assert emulation.broken == []


def test_ended_jobs_of_a_lost_data_centre_are_deleted():
  emulation = fleet_with_jobs("one", 200)
  emulation.clock.run_until(LOST_AT + 1.0)
  assert states(emulation) == {model.KeptJobState.DONE}
  lose_hosts(emulation)
  emulation.clock.run_until(LOST_AT + TAKEN_AFTER_S + 130.0)
  assert not emulation.kept_store.states


def test_evacuated_data_centre_takes_over_no_job():
  emulation = fleet_with_jobs("one", 1000)
  emulation.evacuate("b")
  lose_hosts(emulation)
  lose_endpoints(emulation)
  check_done(emulation, LOST_AT + TAKEN_AFTER_S + 4.0)
  assert not starts_in(emulation, "b")


@pytest.mark.parametrize("seed", range(4))
def test_moved_job_is_found_although_its_mover_is_lost_before_it_tells(seed):
  emulation = fleet_with_jobs("one", 1000, seed, jobs=0)
  submit(emulation, "a0", kept("k0", SHAPES["chain"], 2000))
  emulation.clock.run_until(LOST_AT + 1.0)
  mover = fleets.owner_of(emulation, "a")
  lose_endpoints(emulation)
  while "k0" in emulation.kept_store.open[model.Shard("a")]:
    emulation.clock.run_until(emulation.clock.now + 0.001)
  emulation.kill(mover.name)
  check_done(emulation, LOST_AT + 1.0 + 25.0)


def check_attempts_rise(emulation, left: str):
  """Checks that each task's runs elsewhere have higher numbers than in `left`."""
  last = {}
  for run in starts_in(emulation, left):
    last[run.task] = max(last.get(run.task, 0), run.attempt)
  elsewhere = [
      run
      for name in fleets.DATA_CENTRES
      if name != left
      for run in starts_in(emulation, name)
      if run.task in last
  ]
  assert elsewhere
  assert all(run.attempt > last[run.task] for run in elsewhere)


def test_attempts_of_jobs_that_are_taken_over_rise():
  emulation = fleet_with_jobs("chain", 3000)
  emulation.kill(fleets.owner_of(emulation, "a").name)
  emulation.clock.run_until(LOST_AT + 2.0)
  lose_hosts(emulation)
  lose_endpoints(emulation)
  check_done(emulation, LOST_AT + 2.0 + TAKEN_AFTER_S + 12.0)
  check_attempts_rise(emulation, "a")


def test_attempts_of_jobs_that_are_moved_rise():
  emulation = fleet_with_jobs("chain", 3000)
  lose_endpoints(emulation)
  check_done(emulation, LOST_AT + 20.0)
  check_attempts_rise(emulation, "a")


def test_waiting_jobs_of_a_lost_data_centre_are_counted_once():
  emulation = fleet_with_jobs("one", 1000, jobs=0)
  for endpoint in emulation.endpoints.values():
    endpoint.busy = True
  for number in range(3):
    submit(emulation, "a0", kept(f"k{number}", SHAPES["one"]))
  emulation.clock.run_until(LOST_AT + 2.0)
  lose_hosts(emulation)
  lose_endpoints(emulation)
  emulation.clock.run_until(LOST_AT + 2.0 + TAKEN_AFTER_S + 2.0)
  counts = [
      test_kept_jobs.coordinator.pending(host.state.coordinator, "q")
      for host in fleets.hosts_in(emulation, "b")
  ]
  assert counts == [3, 3, 3]
