"""Tests at which endpoints tasks are started, and which are asked first."""

import dataclasses

import pytest

from fescueturn.scheduler import events
from fescueturn.scheduler import keptevents
from fescueturn.scheduler import keptjobs
from fescueturn.scheduler import leases
from fescueturn.scheduler import model
from fescueturn.scheduler import runcontrol
from tests import test_leases

ENDPOINTS = tuple(
    dataclasses.replace(
        test_leases.ENDPOINT,
        id=f"i-{number}",
        address=dataclasses.replace(
            test_leases.ENDPOINT.address, host=f"10.0.1.{number}"
        ),
    )
    for number in range(1, 13)
)


def answer(owner, endpoint: model.Endpoint):
  record = owner.endpoints[endpoint.id]
  clock_ms = 5_000 + int(owner.now * 1000)
  leases.handle_lease_answer(
      owner,
      events.LeaseAnswered(
          endpoint.id, record.call_number, model.CallResult.OK, clock_ms
      ),
  )


def new_owner(endpoints):
  """Returns an owner whose endpoints answered when it began (0 s)."""
  owner = test_leases.new_owner()
  leases.handle_endpoint_list(owner, endpoints)
  for endpoint in endpoints:
    answer(owner, endpoint)
  return owner


def add_kept_job(owner, tasks: int):
  step = dataclasses.replace(test_leases.JOB.steps[0], count=tasks)
  job = dataclasses.replace(test_leases.JOB, steps=(step,), kept=True)
  stored = model.KeptJob(job, model.Progress())
  loaded = keptevents.KeptJobsLoaded(
      test_leases.SHARD, owner.fence, jobs=(stored,)
  )
  keptjobs.handle_records_loaded(owner, loaded)


def requests(owner, kind) -> list:
  return [e for e in owner.take_effects() if isinstance(e, kind)]


def test_kept_task_starts_only_once_its_endpoint_has_answered():
  owner = new_owner(ENDPOINTS[:1])
  owner.now = 1.0
  owner.take_effects()
  add_kept_job(owner, 1)
  effects = owner.take_effects()
  assert not [e for e in effects if isinstance(e, events.StartRun)]
  (call,) = [e for e in effects if isinstance(e, events.RenewLease)]
  assert call.wait_ms == 0
  owner.now = 1.002
  answer(owner, ENDPOINTS[0])
  assert len(requests(owner, events.StartRun)) == 1


def test_kept_task_starts_at_once_where_its_endpoint_has_just_answered():
  owner = new_owner(ENDPOINTS[:1])
  owner.now = 0.04
  owner.take_effects()
  add_kept_job(owner, 1)
  assert len(requests(owner, events.StartRun)) == 1


def test_best_effort_task_starts_without_a_call():
  owner = new_owner(ENDPOINTS[:1])
  owner.now = 1.0
  run = test_leases.start_job(owner, owner.endpoints[ENDPOINTS[0].id])
  assert run.started_at == owner.now


@pytest.mark.parametrize(
    ("tasks", "calls"), [(1, 1), (3, 3), (30, runcontrol.MAX_PROBES)]
)
def test_no_more_endpoints_are_asked_than_tasks_wait(tasks, calls):
  owner = new_owner(ENDPOINTS)
  owner.now = 1.0
  owner.take_effects()
  add_kept_job(owner, tasks)
  runcontrol.start_waiting_tasks(owner)
  assert len(requests(owner, events.RenewLease)) == calls


def test_endpoint_whose_ends_are_unsaved_is_asked_all_the_same():
  owner = new_owner(ENDPOINTS[:1])
  record = owner.endpoints[ENDPOINTS[0].id]
  record.ended.unsaved.add(1)
  owner.now = 0.06
  record.call_sent_at = 0.05
  owner.take_effects()
  add_kept_job(owner, 1)
  assert len(requests(owner, events.RenewLease)) == 1
