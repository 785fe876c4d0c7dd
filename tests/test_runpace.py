"""Tests which runs count for queues' run times and endpoints' speeds."""

import dataclasses

from fescueturn.scheduler import model
from fescueturn.scheduler import outcomes
from fescueturn.scheduler import runpace
from tests import test_leases

DONE = model.RunOutcome.DONE
LOST = model.RunOutcome.LOST


def started_run(job: model.Job = test_leases.JOB):
  """Returns an owner, its endpoint and a run with an estimate of 200 ms."""
  owner = test_leases.new_owner()
  record = test_leases.known_endpoint(owner)
  run = test_leases.start_job(owner, record)
  (task,) = owner.by_id["j"].tasks.values()
  task.step = dataclasses.replace(task.step, near=job.steps[0].near)
  return owner, record, run


def evidence(owner) -> float:
  return owner.run_times.evidence(test_leases.JOB.queue)


def test_end_in_time_counts_for_its_queue_and_endpoint():
  owner, record, run = started_run()
  owner.now = 0.3
  outcomes.finish_run(owner, record, run, DONE, "listed")
  assert evidence(owner) == 1.0
  assert record.speed.evidence == 1.0
  assert 1.0 < record.speed_factor < 1.5


def test_run_far_from_its_data_counts_for_neither():
  step = dataclasses.replace(test_leases.JOB.steps[0], near="rack-9")
  far_job = dataclasses.replace(test_leases.JOB, steps=(step,))
  owner, record, run = started_run(far_job)
  owner.now = 0.3
  outcomes.finish_run(owner, record, run, DONE, "listed")
  assert evidence(owner) == record.speed.evidence == 0.0


def test_run_whose_start_is_not_known_counts_for_neither():
  for attribute, value in (("adopted", True), ("sends", 2)):
    owner, record, run = started_run()
    setattr(run, attribute, value)
    owner.now = 0.3
    outcomes.finish_run(owner, record, run, DONE, "listed")
    assert evidence(owner) == record.speed.evidence == 0.0


def test_stopped_run_counts_by_its_progress():
  """Guards against knowing only the short ones of the tasks."""
  owner, record, run = started_run()
  run.percent, run.progressed_at = 50, 0.2
  owner.now = 0.25
  outcomes.finish_run(owner, record, run, LOST, "listed")
  assert evidence(owner) == 1.0
  assert owner.run_times.quantile("", 0.99) > 1.7


def test_run_stopped_without_progress_does_not_count():
  owner, record, run = started_run()
  owner.now = 0.1
  outcomes.finish_run(owner, record, run, LOST, "listed")
  assert evidence(owner) == 0.0


def test_progress_and_end_count_as_one_run():
  owner, record, run = started_run()
  for now, percent in ((0.1, 50), (0.15, 60), (0.19, 95)):
    owner.now, run.percent = now, percent
    runpace.handle_progress(owner, record, run)
  owner.now = 0.2
  outcomes.finish_run(owner, record, run, DONE, "listed")
  assert record.speed.evidence <= 1.0
  assert abs(record.speed_factor - 1.0) < 0.05
