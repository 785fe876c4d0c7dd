"""Tests lost and failed calls to endpoints, and calls to dead incarnations."""

import dataclasses

from fescueturn import settings
from fescueturn.scheduler import events
from fescueturn.scheduler import leases
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import offers
from fescueturn.scheduler import owner as owner_lib
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler import runanswers

SHARD = model.Shard("north")
ENDPOINT = model.Endpoint(
    "i-1",
    settings.Address("10.0.0.1", 80),
    "speller",
    "north",
    8,
    False,
    model.Resources(64000, 131072, 0),
)

PROCESS = linkmessages.HostProcess("host-1", "boot-1")
JOB_KEY = linkmessages.JobKey(PROCESS, "j")
JOB = model.Job(
    "j",
    "speller",
    "spec",
    (model.Step(1, model.Resources(27000, 64, 0), 200),),
    3,
    1.6,
    2000,
)


def new_owner() -> ownerstate.Owner:
  """Returns an owner without a previous holder whose runs it would wait for."""
  return ownerstate.Owner(SHARD, 7, 0.0, previous_roster=frozenset())


def lease_call_times(
    seconds: float, result: model.CallResult, endpoint=ENDPOINT
) -> list[float]:
  """Returns the times of lease calls to an endpoint that answers `result`."""
  owner = ownerstate.Owner(SHARD, 7, 0.0)
  call_times, step = [], 0.02
  for number in range(int(seconds / step)):
    owner.now = number * step
    if number % 35 == 0:
      leases.handle_endpoint_list(owner, (endpoint,))
    owner_lib.tick(owner)
    for effect in owner.take_effects():
      if isinstance(effect, events.RenewLease):
        call_times.append(owner.now)
        leases.handle_lease_answer(
            owner,
            events.LeaseAnswered(endpoint.id, effect.number, result, None),
        )
  return call_times


def test_dead_incarnation_is_called_once_while_it_stays_listed():
  assert len(lease_call_times(10.0, model.CallResult.GONE)) == 1


def test_endpoint_that_never_answered_is_called_once_a_second():
  call_times = lease_call_times(10.0, model.CallResult.NOT_SENT)
  assert len(call_times) <= 14
  assert (
      max(b - a for a, b in zip(call_times, call_times[1:], strict=False)) < 1.1
  )


def start_job(owner, record):
  """Offers a job to the owner and returns the run that is started for it."""
  offer = linkmessages.Offered(SHARD, JOB_KEY, JOB, 0.0, 5.0)
  offers.handle_offer(owner, offer)
  (run,) = record.runs.values()
  owner.take_effects()
  return run


def known_endpoint(owner, now=0.0):
  owner.now = now
  leases.handle_endpoint_list(owner, (ENDPOINT,))
  record = owner.endpoints[ENDPOINT.id]
  answer(owner, record, now)
  return record


def answer(owner, record, now, result=model.CallResult.OK, **lists):
  owner.now = now
  clock_ms = 1000 + int(now * 1000) if result is model.CallResult.OK else None
  leases.handle_lease_answer(
      owner,
      events.LeaseAnswered(
          record.info.id, record.call_number, result, clock_ms, **lists
      ),
  )


def lose_start_request(owner, run, now):
  owner.now = now
  no_answer = model.CallResult.NO_ANSWER
  runanswers.handle_start_answer(
      owner, events.StartAnswered(ENDPOINT.id, run.id, no_answer, None)
  )
  return owner.take_effects()


def test_endpoint_counts_as_silent_after_three_calls_without_answer():
  owner = new_owner()
  record = known_endpoint(owner)
  run = start_job(owner, record)
  lose_start_request(owner, run, 0.025)
  no_answer = model.CallResult.NO_ANSWER
  answer(owner, record, 0.05, no_answer)
  answer(owner, record, 0.075, no_answer)
  assert record.silent_since is None
  answer(owner, record, 0.1, no_answer)
  assert record.silent_since is not None


def logged(effects, event: str) -> list[dict]:
  """Returns the fields of the log lines of an event."""
  lines = [e for e in effects if isinstance(e, events.Log) and e.event == event]
  return [dict(line.fields) for line in lines]


def test_run_beside_the_current_run_of_its_task_is_logged_once():
  owner = new_owner()
  record = known_endpoint(owner)
  run = start_job(owner, record)
  other = model.ActiveRun(model.RunId(run.id.task, 9), 0)
  answer(owner, record, 0.01, running=(other,))
  (fields,) = logged(owner.take_effects(), "run_duplicate")
  assert (fields["attempt"], fields["current_attempt"]) == (9, 1)
  assert owner.counters["run_duplicate"] == 1
  answer(owner, record, 0.02, running=(other,))
  assert not logged(owner.take_effects(), "run_duplicate")


def test_adopted_run_is_not_restarted_while_its_starters_lease_may_hold():
  """The earlier holder may have renewed it just before it was replaced."""
  owner = new_owner()
  leases.handle_endpoint_list(owner, (ENDPOINT,))
  record = owner.endpoints[ENDPOINT.id]
  found = model.RunId(model.Task("j", 0, 0), 1)
  answer(owner, record, 0.0, running=(model.ActiveRun(found, 10),))
  answer(owner, record, 0.01, model.CallResult.NOT_SENT)
  assert record.silent_since is not None
  offer = linkmessages.Offered(SHARD, JOB_KEY, JOB, 0.0, 5.0, resumed=True)
  offers.handle_offer(owner, offer)
  (job,) = owner.jobs.values()
  for now, restarted in ((0.02, False), (0.99, False), (1.1, True)):
    owner.now = now
    owner.last_contact[PROCESS] = now
    owner_lib.tick(owner)
    assert bool(job.waiting) == restarted


OTHER_ENDPOINT = dataclasses.replace(
    ENDPOINT, id="i-2", address=settings.Address("10.0.0.2", 80)
)


def lose_first_run(owner, listed):
  """Lets the lease of a job's first run expire; returns its record and run."""
  record = known_endpoint(owner)
  run = start_job(owner, record)
  leases.handle_endpoint_list(owner, listed)
  answer(owner, record, 0.01, model.CallResult.NOT_SENT)
  owner.now = owner.last_contact[PROCESS] = 1.1
  owner_lib.tick(owner)
  assert run.abandoned
  return record, run


def job_outcomes(effects) -> list[model.Outcome]:
  messages = [
      e.message for e in effects if isinstance(e, events.SendToCoordinator)
  ]
  return [m.outcome for m in messages if isinstance(m, linkmessages.JobEnded)]


def test_success_of_a_run_taken_as_lost_ends_its_waiting_task():
  owner = new_owner()
  record, run = lose_first_run(owner, (ENDPOINT,))
  answer(
      owner,
      record,
      1.2,
      ended=(model.EndedRun(1, run.id, model.RunOutcome.DONE),),
  )
  effects = owner.take_effects()
  assert job_outcomes(effects) == [model.Outcome.DONE]
  assert not any(isinstance(e, events.StartRun) for e in effects)


def test_success_of_a_run_taken_as_lost_stops_the_next_run_of_its_task():
  owner = new_owner()
  record, run = lose_first_run(owner, (ENDPOINT, OTHER_ENDPOINT))
  other = owner.endpoints[OTHER_ENDPOINT.id]
  leases.handle_lease_answer(
      owner,
      events.LeaseAnswered(
          OTHER_ENDPOINT.id, other.call_number, model.CallResult.OK, 9000
      ),
  )
  (next_run,) = other.runs.values()
  owner.take_effects()
  answer(
      owner,
      record,
      1.2,
      ended=(model.EndedRun(1, run.id, model.RunOutcome.DONE),),
  )
  effects = owner.take_effects()
  assert job_outcomes(effects) == [model.Outcome.DONE]
  assert [e.run for e in effects if isinstance(e, events.StopRun)] == [
      next_run.id
  ]


def test_success_of_an_earlier_holders_run_stops_the_next_run_of_its_task():
  owner = ownerstate.Owner(SHARD, 7, 0.0)
  known_endpoint(owner)
  leases.handle_endpoint_list(owner, (ENDPOINT, OTHER_ENDPOINT))
  offer = linkmessages.Offered(SHARD, JOB_KEY, JOB, 0.0, 5.0, resumed=True)
  offers.handle_offer(owner, offer)
  owner.now = owner.last_contact[PROCESS] = 1.6
  owner_lib.tick(owner)
  (next_run,) = owner.endpoints[ENDPOINT.id].runs.values()
  owner.take_effects()
  ended = model.EndedRun(1, next_run.id, model.RunOutcome.DONE)
  leases.handle_lease_answer(
      owner,
      events.LeaseAnswered(
          OTHER_ENDPOINT.id, 1, model.CallResult.OK, 9000, ended=(ended,)
      ),
  )
  effects = owner.take_effects()
  assert job_outcomes(effects) == [model.Outcome.DONE]
  assert [e.run for e in effects if isinstance(e, events.StopRun)] == [
      next_run.id
  ]


def test_lease_of_a_run_whose_stop_is_refused_is_not_renewed():
  """Guards against runs that outlive their coordinator by more than a lease."""
  owner = new_owner()
  record = known_endpoint(owner)
  run = start_job(owner, record)
  runanswers.handle_start_answer(
      owner,
      events.StartAnswered(ENDPOINT.id, run.id, model.CallResult.OK, 1001),
  )
  owner.now = 1.0
  owner_lib.tick(owner)
  assert not owner.jobs, "its coordinator is silent"
  busy = model.CallResult.BUSY
  runanswers.handle_stop_answer(
      owner, events.StopAnswered(ENDPOINT.id, run.id, busy, 2001)
  )
  owner.take_effects()
  answer(owner, record, 1.02, running=(model.ActiveRun(run.id, 40),))
  calls = [e for e in owner.take_effects() if isinstance(e, events.RenewLease)]
  assert [e.deadline_ms for e in calls] == [None]


def test_run_that_is_stopped_once_its_task_is_done_is_no_duplicate():
  owner = new_owner()
  record = known_endpoint(owner)
  run = start_job(owner, record)
  (job,) = owner.jobs.values()
  (task,) = job.tasks.values()
  job.task_done(task)
  task.previous_runs.add(run)
  answer(owner, record, 0.01, running=(model.ActiveRun(run.id, 10),))
  assert not logged(owner.take_effects(), "run_duplicate")


def run_found_elsewhere(owner, number: int):
  """Lists a run of the started job's task at another endpoint; returns it.

  An earlier holder has started it there, and counted its attempts anew.
  """
  other = dataclasses.replace(
      ENDPOINT, id=f"i-{number}", address=settings.Address("10.0.0.2", number)
  )
  listed = [record.info for record in owner.endpoints.values()]
  leases.handle_endpoint_list(owner, (*listed, other))
  record = owner.endpoints[other.id]
  run_id = model.RunId(model.Task("j", 0, 0), 1)
  answer(owner, record, 0.01, running=(model.ActiveRun(run_id, 40),))
  return record, record.runs[run_id]


def test_end_of_a_run_with_the_same_number_elsewhere_is_not_the_current_ones():
  """The endpoint that lists the end isn't the one that the task runs on."""
  owner = new_owner()
  record = known_endpoint(owner)
  current = start_job(owner, record)
  other, found = run_found_elsewhere(owner, 2)
  assert found.id == current.id
  ended = (model.EndedRun(1, found.id, model.RunOutcome.LOST),)
  owner.take_effects()
  answer(owner, other, 0.3, ended=ended)
  (job,) = owner.jobs.values()
  (task,) = job.tasks.values()
  assert task.state is ownerstate.TaskState.ACTIVE
  assert started(owner) == []


def started(owner) -> list[model.RunId]:
  effects = owner.take_effects()
  return [e.run for e in effects if isinstance(e, events.StartRun)]


def test_task_waits_for_the_ends_of_all_runs_that_were_found():
  """Earlier holders' runs of it go on at two endpoints, and end in turn."""
  owner = new_owner()
  record = known_endpoint(owner)
  current = start_job(owner, record)
  found = [run_found_elsewhere(owner, number) for number in (2, 3)]
  lost = model.RunOutcome.LOST
  answer(owner, record, 0.1, ended=(model.EndedRun(1, current.id, lost),))
  for other, run in found:
    assert started(owner) == []
    answer(owner, other, 0.2, ended=(model.EndedRun(1, run.id, lost),))
  assert len(started(owner)) == 1
