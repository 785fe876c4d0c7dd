"""Tests ends of kept jobs' runs that a former holder couldn't store."""

import dataclasses

import pytest

from fescueturn.scheduler import events
from fescueturn.scheduler import keptevents
from fescueturn.scheduler import keptjobs
from fescueturn.scheduler import leases
from fescueturn.scheduler import model
from fescueturn.scheduler import ownerstate
from tests import test_leases

JOB = dataclasses.replace(test_leases.JOB, kept=True, queue="q", attempts=3)
TASK = model.Task(JOB.id, 0, 0)
# The endpoints of the former holder's runs.
ACTIVE = test_leases.ENDPOINT
FAILED = test_leases.OTHER_ENDPOINT
FAILED_ENDS = tuple(
    model.EndedRun(number, model.RunId(TASK, number), model.RunOutcome.FAILED)
    for number in (1, 2)
)
ACTIVE_RUN = model.RunId(TASK, 3)


def answer(owner, endpoint: model.Endpoint, **lists):
  record = owner.endpoints[endpoint.id]
  leases.handle_lease_answer(
      owner,
      events.LeaseAnswered(
          endpoint.id, record.call_number, model.CallResult.OK, 5_000, **lists
      ),
  )


def load_records(owner):
  stored = model.KeptJob(JOB, model.Progress())
  keptjobs.handle_records_loaded(
      owner,
      keptevents.KeptJobsLoaded(test_leases.SHARD, owner.fence, jobs=(stored,)),
  )


def list_active_run(owner):
  answer(owner, ACTIVE, running=(model.ActiveRun(ACTIVE_RUN, 20),))


def list_failed_runs(owner):
  answer(owner, FAILED, ended=FAILED_ENDS)


# Guards against failed attempts that the next holder forgets, as the task has
# another run by then, but acknowledges.
@pytest.mark.parametrize(
    "steps",
    [
        (list_failed_runs, list_active_run, load_records),
        (list_active_run, list_failed_runs, load_records),
        (list_failed_runs, load_records, list_active_run),
        (list_active_run, load_records, list_failed_runs),
        (load_records, list_active_run, list_failed_runs),
    ],
)
def test_failed_attempts_count_although_the_next_run_is_active(steps):
  roster = frozenset((ACTIVE.id, FAILED.id))
  owner = ownerstate.Owner(test_leases.SHARD, 7, 0.0, previous_roster=roster)
  leases.handle_endpoint_list(owner, (ACTIVE, FAILED))
  for step in steps:
    step(owner)
  (task,) = owner.by_id[JOB.id].tasks.values()
  assert task.run == ACTIVE_RUN
  assert task.failed == {1, 2}
  owner.take_effects()
  third = model.EndedRun(1, ACTIVE_RUN, model.RunOutcome.FAILED)
  answer(owner, ACTIVE, ended=(third,))
  started = [e for e in owner.take_effects() if isinstance(e, events.StartRun)]
  assert not started
  unsaved = owner.kept_records.unsaved_states
  assert unsaved[JOB.id] is model.KeptJobState.FAILED
