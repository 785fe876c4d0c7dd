"""Tests endpoints that are restarted under the same id."""

import dataclasses

import pytest

from fescueturn.scheduler import endpointruns
from fescueturn.scheduler import events
from fescueturn.scheduler import keptevents
from fescueturn.scheduler import leasecalls
from fescueturn.scheduler import leases
from fescueturn.scheduler import model
from fescueturn.scheduler import owner as owner_lib
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler import runanswers
from fescueturn.scheduler import runcontrol
from tests import fleets
from tests import test_kept_jobs as kept
from tests import test_leases

BORN = dataclasses.replace(test_leases.ENDPOINT, born_ms=1000)
RESTARTED = dataclasses.replace(BORN, born_ms=5000)


def answer(owner, record, now, born_ms, clock_ms, number=None, **lists):
  owner.now = now
  leases.handle_lease_answer(
      owner,
      events.LeaseAnswered(
          BORN.id,
          number or record.call_number,
          model.CallResult.OK,
          clock_ms,
          born_ms=born_ms,
          **lists,
      ),
  )


def known_endpoint(owner):
  leases.handle_endpoint_list(owner, (BORN,))
  record = owner.endpoints[BORN.id]
  answer(owner, record, 0.0, BORN.born_ms, 900_000)
  return record


def started_run(owner, record):
  run = test_leases.start_job(owner, record)
  runanswers.handle_start_answer(
      owner,
      events.StartAnswered(BORN.id, run.id, model.CallResult.OK, 900_001),
  )
  answer(
      owner,
      record,
      0.05,
      BORN.born_ms,
      900_050,
      running=(model.ActiveRun(run.id, 20),),
  )
  owner.take_effects()
  return run


def started(effects) -> list[model.RunId]:
  return [e.run for e in effects if isinstance(e, events.StartRun)]


def stopped(effects) -> list[model.RunId]:
  return [e.run for e in effects if isinstance(e, events.StopRun)]


def test_runs_of_the_earlier_incarnation_are_started_again_at_once():
  owner = test_leases.new_owner()
  record = known_endpoint(owner)
  run = started_run(owner, record)
  answer(owner, record, 0.1, RESTARTED.born_ms, 20)
  effects = owner.take_effects()
  assert started(effects) == [model.RunId(run.id.task, 2)]
  (line,) = test_leases.logged(effects, "endpoint_restarted")
  assert line["lost"] == 1
  (start,) = [e for e in effects if isinstance(e, events.StartRun)]
  assert start.deadline_ms < 2000, "on the new clock"


def test_ends_are_numbered_anew():
  owner = test_leases.new_owner()
  record = known_endpoint(owner)
  run = started_run(owner, record)
  record.ended.last_number = 70
  answer(owner, record, 0.1, RESTARTED.born_ms, 20)
  (next_run,) = record.runs
  ended = model.EndedRun(1, next_run, model.RunOutcome.DONE)
  answer(owner, record, 0.2, RESTARTED.born_ms, 120, ended=(ended,))
  outcomes = test_leases.job_outcomes(owner.take_effects())
  assert outcomes == [model.Outcome.DONE]
  assert (record.ended.last_number, run.id.attempt) == (1, 1)


def test_run_that_the_new_incarnation_has_is_not_started_again():
  """Its start request was carried out after the restart."""
  owner = test_leases.new_owner()
  record = known_endpoint(owner)
  run = test_leases.start_job(owner, record)
  listed = (model.ActiveRun(run.id, 1),)
  answer(owner, record, 0.1, RESTARTED.born_ms, 20, running=listed)
  assert started(owner.take_effects()) == []
  assert list(record.runs) == [run.id]


def test_unanswered_start_is_kept_until_its_answer():
  owner = test_leases.new_owner()
  record = known_endpoint(owner)
  run = test_leases.start_job(owner, record)
  answer(owner, record, 0.1, RESTARTED.born_ms, 20)
  assert started(owner.take_effects()) == []
  assert list(record.runs) == [run.id]


def test_start_that_may_be_carried_out_late_is_revoked():
  owner = test_leases.new_owner()
  record = known_endpoint(owner)
  run = test_leases.start_job(owner, record)
  test_leases.lose_start_request(owner, run, 0.02)
  answer(owner, record, 0.1, RESTARTED.born_ms, 20)
  effects = owner.take_effects()
  assert stopped(effects) == [run.id]
  assert started(effects) == [], "not before the stop is confirmed"


def test_listed_restart_is_asked_for_its_runs_and_gets_no_tasks_before():
  owner = test_leases.new_owner()
  record = known_endpoint(owner)
  owner.take_effects()
  leases.handle_endpoint_list(owner, (RESTARTED,))
  assert not record.usable(owner.now)
  calls = [e for e in owner.take_effects() if isinstance(e, events.RenewLease)]
  assert len(calls) == 1
  answer(owner, record, 0.1, RESTARTED.born_ms, 20)
  assert record.usable(owner.now)


def test_answer_of_the_earlier_incarnation_is_ignored():
  owner = test_leases.new_owner()
  record = known_endpoint(owner)
  answer(owner, record, 0.1, RESTARTED.born_ms, 20)
  found = model.ActiveRun(model.RunId(model.Task("x", 0, 0), 1), 9)
  owner_lib.tick(owner)
  answer(owner, record, 0.2, BORN.born_ms, 900_200, running=(found,))
  assert not record.runs
  assert record.born_ms == RESTARTED.born_ms
  assert record.lease.clock_ms(0.2) < 1000


def test_speed_and_failures_are_forgotten():
  owner = test_leases.new_owner()
  record = known_endpoint(owner)
  record.speed.set_faulty(6.0)
  record.exclusion.failed_jobs.update(("j", "k"))
  answer(owner, record, 0.1, RESTARTED.born_ms, 20)
  assert record.speed_factor == 1.0
  assert not record.slow and not record.exclusion.failed_jobs


def test_end_to_be_stored_does_not_acknowledge_one_of_the_new_incarnation():
  """Guards against forgetting an end that is not in the store yet."""
  owner = test_leases.new_owner()
  record = known_endpoint(owner)
  kept_records = owner.kept_records
  kept_records.mark_loaded(keptevents.KeptJobsLoaded(test_leases.SHARD, 7))
  kept_records.unsaved_results["k"] = {(BORN.id, 1), ("other", 1)}
  record.ended.unsaved.add(1)
  answer(owner, record, 0.1, RESTARTED.born_ms, 20)
  assert kept_records.unsaved_results == {"k": {("other", 1)}}
  assert not record.has_unsent_ack


def test_restart_confirms_the_crash_that_a_task_is_suspected_of():
  owner = test_leases.new_owner()
  record = known_endpoint(owner)
  started_run(owner, record)
  answer(owner, record, 0.1, RESTARTED.born_ms, 20)
  (job,) = owner.jobs.values()
  (task,) = job.tasks.values()
  assert task.crashed == {f"{BORN.id}/{BORN.born_ms}"}
  assert not task.lost_endpoints


def test_endpoint_that_answered_again_did_not_crash():
  owner = test_leases.new_owner()
  record = known_endpoint(owner)
  run = started_run(owner, record)
  owner.suspected_crashes[BORN.id] = ownerstate.SuspectedCrash(
      BORN.address, 0.0, BORN.born_ms
  )
  listed = (model.ActiveRun(run.id, 30),)
  answer(owner, record, 0.1, BORN.born_ms, 900_100, running=listed)
  assert not owner.suspected_crashes


def restart_some(emulation, every_s: float, until_s: float):
  """Restarts an endpoint of each data centre in turn, also with its clock back.

  The data centres take turns so that no task loses three endpoints by chance.
  """

  def restart_one(number: int):
    data_centre = fleets.DATA_CENTRES[number % len(fleets.DATA_CENTRES)]
    name = f"e-{data_centre}{emulation.rng.randrange(8)}"
    offset_ms = emulation.rng.choice((0, 0, 5_000_000))
    emulation.endpoints[name].restart(1000 + number, offset_ms)

  count = int(until_s / every_s)
  for number in range(1, count):
    emulation.clock.after(number * every_s, lambda n=number: restart_one(n))


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("loss_rate", (0.0, 0.1))
def test_no_task_runs_twice_while_endpoints_are_restarted(seed, loss_rate):
  emulation = fleets.fleet(seed=seed)
  for number, endpoint in enumerate(emulation.endpoints.values()):
    endpoint.info = dataclasses.replace(endpoint.info, born_ms=1 + number)
    endpoint.loss_rate = loss_rate
  emulation.clock.run_until(3.0)
  hosts = list(emulation.hosts.values())
  requests = fleets.submit_load(emulation, hosts, 6.0, 30)
  submitted = kept.load(emulation, lambda: hosts, 6.0, 10)
  restart_some(emulation, 0.3, 6.0)
  emulation.clock.run_until(30.0)
  outcomes = fleets.count_outcomes(emulation, requests)
  kept.assert_guarantees_hold(emulation, submitted)
  assert outcomes[model.Outcome.DONE] >= 0.8 * len(requests)


def acks(effects) -> list[int]:
  return [e.last_seen for e in effects if isinstance(e, events.RenewLease)]


def test_number_of_an_end_is_acknowledged_once_and_not_after_a_lost_call():
  """Guards against ends of a new incarnation that are forgotten unseen."""
  owner = test_leases.new_owner()
  record = known_endpoint(owner)
  record.ended.last_number = 40
  owner.take_effects()
  leasecalls.renew_lease(owner, record)
  answer(owner, record, 0.1, BORN.born_ms, 900_100)
  leasecalls.renew_lease(owner, record)
  answer(owner, record, 0.2, BORN.born_ms, 900_200)
  assert acks(owner.take_effects()) == [40, 0]
  record.ended.last_number = 41
  leasecalls.renew_lease(owner, record)
  test_leases.answer(owner, record, 0.3, model.CallResult.NO_ANSWER)
  assert acks(owner.take_effects()) == [41, 0]
  answer(owner, record, 0.4, BORN.born_ms, 900_400)
  leasecalls.renew_lease(owner, record)
  answer(owner, record, 0.5, BORN.born_ms, 900_500)
  leasecalls.renew_lease(owner, record)
  assert acks(owner.take_effects()) == [41, 0], "told again, then heard"


def test_endpoint_without_a_known_start_hears_the_number_in_each_call():
  owner = test_leases.new_owner()
  record = test_leases.known_endpoint(owner)
  record.ended.last_number = 40
  owner.take_effects()
  for now in (0.1, 0.2):
    leasecalls.renew_lease(owner, record)
    test_leases.answer(owner, record, now)
  assert acks(owner.take_effects()) == [40, 40]


def fail_lease_call(owner, record, result):
  test_leases.answer(owner, record, 0.1, result)


def fail_start(owner, record, result):
  run = test_leases.start_job(owner, record)
  owner.now = 0.1
  runanswers.handle_start_answer(
      owner, events.StartAnswered(BORN.id, run.id, result, None)
  )


def fail_stop(owner, record, result):
  run = test_leases.start_job(owner, record)
  runcontrol.stop_run(owner, record, run)
  owner.now = 0.1
  runanswers.handle_stop_answer(
      owner, events.StopAnswered(BORN.id, run.id, result, None)
  )


@pytest.mark.parametrize("fail", (fail_lease_call, fail_start, fail_stop))
@pytest.mark.parametrize(
    "result", (model.CallResult.NO_ANSWER, model.CallResult.NOT_SENT)
)
def test_no_number_is_sent_after_a_failed_request_until_a_call_is_answered(
    fail, result
):
  """Guards against ends of a new incarnation that are forgotten unseen."""
  owner = test_leases.new_owner()
  record = known_endpoint(owner)
  leasecalls.renew_lease(owner, record)
  sent_before = record.call_number
  record.ended.last_number = 40
  owner.take_effects()
  fail(owner, record, result)
  if record.call_pending and record.call_number == sent_before:
    answer(owner, record, 0.15, BORN.born_ms, 900_150)
  leasecalls.renew_lease(owner, record)
  assert set(acks(owner.take_effects())) == {0}
  answer(owner, record, 0.2, BORN.born_ms, 900_200)
  leasecalls.renew_lease(owner, record)
  assert acks(owner.take_effects()) == [40]


def test_no_number_is_sent_to_an_endpoint_that_refused_calls_for_a_while():
  owner = test_leases.new_owner()
  record = known_endpoint(owner)
  record.ended.last_number = 40
  leasecalls.renew_lease(owner, record)
  owner.take_effects()
  test_leases.answer(owner, record, 0.1, model.CallResult.NO_ANSWER)
  for now in (0.2, 0.4):
    leasecalls.renew_lease(owner, record)
    test_leases.answer(owner, record, now, model.CallResult.NOT_SENT)
  leasecalls.renew_lease(owner, record)
  assert acks(owner.take_effects()) == [0, 0, 0]


def refuse_and_restart(emulation, every_s: float, until_s: float):
  """Ends endpoints; their addresses refuse connections until they restart."""

  def stop_one(number: int):
    data_centre = fleets.DATA_CENTRES[number % len(fleets.DATA_CENTRES)]
    name = f"e-{data_centre}{emulation.rng.randrange(8)}"
    endpoint = emulation.endpoints[name]
    if endpoint.refusing:
      return
    endpoint.crash()
    endpoint.refusing = True
    offset_ms = emulation.rng.choice((0, 0, 5_000_000))
    emulation.clock.after(
        emulation.rng.uniform(0.05, 0.6),
        lambda: endpoint.restart(1000 + number, offset_ms),
    )

  for number in range(1, int(until_s / every_s)):
    emulation.clock.after(number * every_s, lambda n=number: stop_one(n))


@pytest.mark.parametrize(
    "packet_loss_rate,seed", ((0.2, 12), (0.3, 13), (0.1, 0), (0.3, 1))
)
def test_kept_task_runs_once_on_endpoints_that_refuse_calls_and_restart(
    packet_loss_rate, seed
):
  emulation = fleets.fleet(seed=seed)
  for number, endpoint in enumerate(emulation.endpoints.values()):
    endpoint.info = dataclasses.replace(endpoint.info, born_ms=1 + number)
    endpoint.packet_loss_rate = packet_loss_rate
  emulation.clock.run_until(3.0)
  hosts = list(emulation.hosts.values())
  fleets.submit_load(emulation, hosts, 6.0, 30)
  kept.load(emulation, lambda: hosts, 6.0, 30)
  refuse_and_restart(emulation, 0.04, 6.0)
  emulation.clock.run_until(16.0)
  assert emulation.broken == []


@pytest.mark.parametrize(
    "kind,handle",
    (
        (events.StartAnswered, runanswers.handle_start_answer),
        (events.StopAnswered, runanswers.handle_stop_answer),
    ),
)
def test_order_answered_by_a_new_incarnation_asks_it_for_its_runs(kind, handle):
  """Guards against numbers and clocks that are taken for another's."""
  owner = test_leases.new_owner()
  record = known_endpoint(owner)
  run = started_run(owner, record)
  record.ended.last_number = 40
  owner.now = 0.1
  order_answer = kind(BORN.id, run.id, model.CallResult.OK, 20)
  handle(owner, dataclasses.replace(order_answer, born_ms=RESTARTED.born_ms))
  calls = [e for e in owner.take_effects() if isinstance(e, events.RenewLease)]
  assert [(c.last_seen, c.wait_ms) for c in calls] == [(0, 0)]
  assert record.lease.clock_ms(0.1) > 800_000
  handle(owner, dataclasses.replace(order_answer, born_ms=RESTARTED.born_ms))
  answer(owner, record, 0.2, RESTARTED.born_ms, 120)
  assert record.born_ms == RESTARTED.born_ms
  handle(owner, dataclasses.replace(order_answer, born_ms=BORN.born_ms))
  assert record.lease.clock_ms(0.2) == 120


def restart_all(emulation, data_centre: str):
  """Restarts the endpoints of a data centre; their clocks begin anew."""
  for endpoint in emulation.endpoints.values():
    if endpoint.info.data_centre == data_centre:
      endpoint.restart(100_000)


def fleet_of_restartable_endpoints(clock_rate: float = 1.0):
  emulation = fleets.fleet()
  for number, endpoint in enumerate(emulation.endpoints.values()):
    endpoint.info = dataclasses.replace(endpoint.info, born_ms=1 + number)
    endpoint.clock_rate = clock_rate
  emulation.clock.run_until(3.0)
  return emulation


@pytest.mark.parametrize("clock_rate", (1.0, 0.98))
@pytest.mark.parametrize("answered", (False, True))
def test_task_runs_once_if_an_endpoint_that_restarted_unnoticed_is_cut_off(
    clock_rate, answered
):
  """Its lease is the longest one: by its new clock the start isn't late."""
  emulation = fleet_of_restartable_endpoints(clock_rate)
  owner = fleets.owner_of(emulation, "a")
  coordinator = fleets.other_host(emulation, owner)
  restart_all(emulation, "a")
  emulation.clock.run_until(emulation.clock.now + 0.001)
  job = fleets.job("long", 2, 3000)
  emulation.submit(coordinator.name, job, [3.0] * 2, 6.0)

  def cut_off():
    at_work = [e.info.id for e in emulation.endpoints.values() if e.running]
    owner.partitioned_from.update(at_work)
    if not answered:
      owner.deaf_to.update(at_work)
    if not at_work:
      emulation.clock.after(0.0001, cut_off)

  cut_off()
  emulation.clock.run_until(emulation.clock.now + 4.0)
  assert emulation.broken == []
  assert sum(len(e.starts) for e in emulation.endpoints.values()) == 4


@pytest.mark.parametrize(
    "born_ms,is_confirmed,lapses_s",
    ((0, False, 1.065), (5, True, 1.065), (5, False, 1.475)),
)
def test_run_that_another_incarnation_may_have_ends_with_the_longest_lease(
    born_ms, is_confirmed, lapses_s
):
  record = known_endpoint(test_leases.new_owner())
  record.born_ms = born_ms
  run = endpointruns.Run(
      model.RunId(model.Task("j", 0, 0), 1),
      BORN.capacity,
      endpointruns.RunState.UNSURE,
      0.0,
  )
  run.is_confirmed = is_confirmed
  assert not record.has_lapsed(run, lapses_s - 0.01)
  assert record.has_lapsed(run, lapses_s + 0.01)


@pytest.mark.parametrize("clock_rate", (1.0, 0.98))
@pytest.mark.parametrize("waits_s", (0.2, 0.28, 0.3, 0.32, 0.34))
def test_run_at_a_restarted_endpoint_ends_before_its_caller_returns(
    waits_s, clock_rate
):
  """Its job waited, its coordinator died, and no stop reaches it."""
  emulation = fleet_of_restartable_endpoints(clock_rate)
  for endpoint in emulation.endpoints.values():
    endpoint.closes_connections = True
  holder = fleets.owner_of(emulation, "a")
  coordinator = fleets.other_host(emulation, holder)
  (owner,) = holder.state.owners.values()
  job = fleets.job("long", 2, 3000)
  emulation.clock.run_until(3.02)
  owner.pause_grace_until = 4.0  # Nothing is started.
  emulation.submit(coordinator.name, job, [3.0] * 2, 6.0)
  emulation.clock.run_until(3.1)
  state = coordinator.state.coordinator
  while state.now - state.pinged_at > 0.0001:
    emulation.clock.run_until(emulation.clock.now + 0.0005)
  looked_at = emulation.clock.now
  owner.pause_grace_until = looked_at + waits_s
  emulation.clock.run_until(looked_at + 0.001)
  emulation.kill(coordinator.name)
  restart_all(emulation, "a")

  def lose_stops():
    for endpoint in emulation.endpoints.values():
      if endpoint.running:
        endpoint.order_delay_s = 5.0
    emulation.clock.after(0.0002, lose_stops)

  lose_stops()
  emulation.clock.at(
      looked_at + 1.301,
      lambda: emulation.submit("b0", job, [3.0] * 2, 6.0),
  )
  emulation.clock.run_until(looked_at + 3.0)
  assert emulation.broken == []
