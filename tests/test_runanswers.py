"""Tests answers to start and stop requests that are lost, late or refused."""

import pytest

from fescueturn.scheduler import endpointruns
from fescueturn.scheduler import events
from fescueturn.scheduler import leasecalls
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import owner as owner_lib
from fescueturn.scheduler import runanswers
from fescueturn.scheduler import runcontrol
from fescueturn.scheduler import timebudget
from tests import test_leases


def test_start_request_without_answer_is_resent_and_endpoint_probed():
  owner = test_leases.new_owner()
  record = test_leases.known_endpoint(owner)
  run = test_leases.start_job(owner, record)
  effects = test_leases.lose_start_request(owner, run, 0.025)
  resent = [e for e in effects if isinstance(e, events.StartRun)]
  assert [e.run for e in resent] == [run.id]
  lease_calls = [e for e in effects if isinstance(e, events.RenewLease)]
  assert [e.wait_ms for e in lease_calls] == [0]
  assert not record.usable(0.025), "gets no new tasks before it answers"
  test_leases.answer(owner, record, 0.027)
  assert record.usable(0.027)


def test_run_is_stopped_after_three_start_requests_without_answer():
  owner = test_leases.new_owner()
  record = test_leases.known_endpoint(owner)
  run = test_leases.start_job(owner, record)
  for number in range(1, runcontrol.MAX_SENDS):
    effects = test_leases.lose_start_request(owner, run, 0.025 * number)
    assert any(isinstance(e, events.StartRun) for e in effects)
  effects = test_leases.lose_start_request(owner, run, 0.1)
  assert not any(isinstance(e, events.StartRun) for e in effects)
  assert any(isinstance(e, events.StopRun) for e in effects)
  assert run.state is endpointruns.RunState.UNSURE
  assert not record.fits(model.Resources(64000, 1, 0)), "keeps its resources"


def test_run_that_ended_before_its_request_was_resent_is_not_repeated():
  """The first request was carried out; its run ended before the second came."""
  owner = test_leases.new_owner()
  record = test_leases.known_endpoint(owner)
  run = test_leases.start_job(owner, record)
  test_leases.lose_start_request(owner, run, 0.025)
  old_attempt = model.CallResult.OLD_ATTEMPT
  runanswers.handle_start_answer(
      owner,
      events.StartAnswered(test_leases.ENDPOINT.id, run.id, old_attempt, 1050),
  )
  test_leases.answer(owner, record, 0.03)
  owner.take_effects()
  test_leases.answer(
      owner,
      record,
      0.05,
      ended=(model.EndedRun(1, run.id, model.RunOutcome.DONE),),
  )
  effects = owner.take_effects()
  ended = [
      e.message
      for e in effects
      if isinstance(e, events.SendToCoordinator)
      and isinstance(e.message, linkmessages.JobEnded)
  ]
  assert [e.outcome for e in ended] == [model.Outcome.DONE]


def test_failed_start_is_logged_with_the_number_of_its_sends():
  owner = test_leases.new_owner()
  record = test_leases.known_endpoint(owner)
  run = test_leases.start_job(owner, record)
  test_leases.lose_start_request(owner, run, 0.025)
  effects = test_leases.lose_start_request(owner, run, 0.05)
  (fields,) = test_leases.logged(effects, "start_failed")
  assert (fields["sends"], fields["age_ms"]) == (2, 50)


def test_only_the_first_failed_stop_of_a_run_is_logged():
  owner = test_leases.new_owner()
  record = test_leases.known_endpoint(owner)
  run = test_leases.start_job(owner, record)
  runcontrol.stop_run(owner, record, run)
  failed = events.StopAnswered(
      test_leases.ENDPOINT.id, run.id, model.CallResult.NO_ANSWER, None
  )
  for expected_lines in (1, 0):
    owner.take_effects()
    runanswers.handle_stop_answer(owner, failed)
    assert (
        len(test_leases.logged(owner.take_effects(), "stop_failed"))
        == expected_lines
    )


# Results that prove that the request they belong to was not carried out.
NOT_CARRIED_OUT = (
    model.CallResult.NOT_SENT,
    model.CallResult.BUSY,
    model.CallResult.LATE,
    model.CallResult.NO_ROOM,
    model.CallResult.REJECTED,
)


def start_answered(owner, run, result: model.CallResult):
  runanswers.handle_start_answer(
      owner, events.StartAnswered(test_leases.ENDPOINT.id, run.id, result, None)
  )


@pytest.mark.parametrize("result", NOT_CARRIED_OUT)
def test_failed_retry_does_not_free_a_task_whose_first_start_may_run(result):
  owner = test_leases.new_owner()
  record = test_leases.known_endpoint(owner)
  run = test_leases.start_job(owner, record)
  test_leases.lose_start_request(owner, run, 0.025)
  start_answered(owner, run, result)
  assert run.id in record.runs, "keeps its resources"
  (job,) = owner.jobs.values()
  assert not job.waiting, "its task waits for the end of the run"


@pytest.mark.parametrize("result", NOT_CARRIED_OUT)
def test_single_start_request_that_was_not_carried_out_frees_its_task(result):
  owner = test_leases.new_owner()
  record = test_leases.known_endpoint(owner)
  run = test_leases.start_job(owner, record)
  record.exclusion.exclude_until(10.0)
  start_answered(owner, run, result)
  assert not record.runs
  (job,) = owner.jobs.values()
  assert len(job.waiting) == 1


def stop_requests(effects) -> list[model.RunId]:
  return [e.run for e in effects if isinstance(e, events.StopRun)]


def test_failed_retry_stops_the_run_that_may_have_begun():
  owner = test_leases.new_owner()
  record = test_leases.known_endpoint(owner)
  run = test_leases.start_job(owner, record)
  test_leases.lose_start_request(owner, run, 0.025)
  start_answered(owner, run, model.CallResult.BUSY)
  assert stop_requests(owner.take_effects()) == [run.id]


@pytest.mark.parametrize("result", NOT_CARRIED_OUT)
def test_failed_retry_does_not_stop_a_run_that_is_listed_as_running(result):
  owner = test_leases.new_owner()
  record = test_leases.known_endpoint(owner)
  run = test_leases.start_job(owner, record)
  test_leases.lose_start_request(owner, run, 0.025)
  test_leases.answer(owner, record, 0.03, running=(model.ActiveRun(run.id, 1),))
  owner.take_effects()
  start_answered(owner, run, result)
  assert run.state is endpointruns.RunState.RUNNING
  assert not stop_requests(owner.take_effects())


def lose_all_start_requests(owner, run):
  for number in range(runcontrol.MAX_SENDS):
    test_leases.lose_start_request(owner, run, 0.025 * (number + 1))


def stop_answered(owner, run, result: model.CallResult):
  runanswers.handle_stop_answer(
      owner, events.StopAnswered(test_leases.ENDPOINT.id, run.id, result, None)
  )


def test_list_requested_before_a_stop_was_confirmed_does_not_end_the_run():
  """The run may have begun between that list and the stop."""
  owner = test_leases.new_owner()
  record = test_leases.known_endpoint(owner)
  run = test_leases.start_job(owner, record)
  lose_all_start_requests(owner, run)
  assert record.call_pending
  stop_answered(owner, run, model.CallResult.OK)
  test_leases.answer(owner, record, 0.08)
  assert run.id in record.runs
  test_leases.answer(owner, record, 0.081)
  assert run.id not in record.runs


def test_lost_stop_request_does_not_end_a_run_that_is_not_listed():
  owner = test_leases.new_owner()
  record = test_leases.known_endpoint(owner)
  run = test_leases.start_job(owner, record)
  lose_all_start_requests(owner, run)
  stop_answered(owner, run, model.CallResult.NO_ANSWER)
  for now in (0.11, 0.12, 0.13):
    test_leases.answer(owner, record, now)
    assert run.id in record.runs


def test_run_done_before_its_lease_expired_is_not_repeated():
  owner = test_leases.new_owner()
  record = test_leases.known_endpoint(owner)
  run = test_leases.start_job(owner, record)
  start_answered(owner, run, model.CallResult.OK)
  test_leases.answer(owner, record, 0.3, model.CallResult.NOT_SENT)
  while not run.abandoned:
    owner.now += 0.02
    owner.last_contact[test_leases.PROCESS] = owner.now
    owner_lib.tick(owner)
  done = model.EndedRun(1, run.id, model.RunOutcome.DONE)
  test_leases.answer(owner, record, owner.now + 0.02, ended=(done,))
  assert not owner.jobs, "its job is done"


def test_listed_run_goes_on_when_the_answer_to_its_start_is_lost():
  owner = test_leases.new_owner()
  record = test_leases.known_endpoint(owner)
  run = test_leases.start_job(owner, record)
  leasecalls.renew_lease(owner, record)
  test_leases.answer(
      owner, record, 0.02, running=(model.ActiveRun(run.id, 10),)
  )
  effects = test_leases.lose_start_request(owner, run, 0.025)
  assert run.state is endpointruns.RunState.RUNNING
  assert not stop_requests(effects)


def test_lost_start_is_not_sent_again_for_a_silent_coordinator():
  """Guards against runs that outlive their caller's connection by 1.3 s."""
  owner = test_leases.new_owner()
  record = test_leases.known_endpoint(owner)
  run = test_leases.start_job(owner, record)
  late = timebudget.COORDINATOR_TIMEOUT_S + 0.01
  effects = test_leases.lose_start_request(owner, run, late)
  assert not any(isinstance(e, events.StartRun) for e in effects)
  assert any(isinstance(e, events.StopRun) for e in effects)
