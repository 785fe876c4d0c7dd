"""Tests the detection of slow endpoints, and the moves of their runs."""

import dataclasses

import pytest

from fescueturn.scheduler import endpointruns
from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import events
from fescueturn.scheduler import leases
from fescueturn.scheduler import model
from fescueturn.scheduler import stragglers
from tests import fleets
from tests import test_leases


def record_with_runs(*jobs: str) -> endpointstate.EndpointRecord:
  record = endpointstate.EndpointRecord(test_leases.ENDPOINT, 0.0)
  record.runs_known = True
  for name in jobs:
    run = model.RunId(model.Task(name, 0, 0), 1)
    state = endpointruns.RunState.RUNNING
    record.add(endpointruns.Run(run, fleets.NEED, state, 0.0, 900))
  return record


def test_slowdown_is_computed_from_progress_and_estimate():
  (run,) = record_with_runs("j").runs.values()
  assert not run.observed_slowdown(0.3), "no progress is known yet"
  run.percent = 4
  assert round(run.observed_slowdown(0.3), 1) == 8.3
  run.percent = 20
  assert not run.observed_slowdown(0.3), "a slowdown of 1.7 is below SLOW_RATIO"


def test_endpoint_counts_as_slow_after_slow_runs_of_two_jobs():
  record = record_with_runs("j", "k")
  first, second = record.runs.values()
  assert not record.record_slow_run(first, 8.0)
  assert not record.record_slow_run(first, 8.0)
  assert record.speed_factor == 1.0
  assert record.record_slow_run(second, 6.0)
  assert record.speed_factor == 6.0
  assert not record.usable(0.3), "gets no tasks while it has runs"


def test_run_on_a_slow_endpoint_is_restarted_elsewhere():
  emulation = fleets.fleet()
  slow = emulation.endpoints["e-a0"]
  slow.slowdown = 8.0
  requests = [
      emulation.submit("a0", fleets.job(f"j{n}", 4, 900), [0.9] * 4, 5.0)
      for n in range(3)
  ]
  emulation.clock.run_until(4.0)
  assert slow.starts
  for request in requests:
    assert emulation.answers[request].answer.outcome is model.Outcome.DONE
    assert (
        emulation.answers[request].took_s < 1.5
    ), "limit: 1.6 x 0.9 s and 60 ms"
  assert emulation.broken == []


def test_run_is_moved_at_most_once():
  """Tasks that are slow on every endpoint must not be moved repeatedly."""
  emulation = fleets.fleet()
  request = emulation.submit("a0", fleets.job("j", 2, 200), [2.0] * 2, 5.0)
  emulation.clock.run_until(6.0)
  assert emulation.answers[request].answer.outcome is model.Outcome.DONE
  starts = sum(len(e.starts) for e in emulation.endpoints.values())
  assert starts <= 4
  assert emulation.broken == []


def test_log_line_of_an_expired_job_names_its_unfinished_tasks():
  emulation = fleets.fleet()
  emulation.submit("a0", fleets.job("j", 2, 900), [0.9, 9.0], 2.0)
  emulation.clock.run_until(4.0)
  (line,) = [
      dict(line.fields)
      for host in emulation.hosts.values()
      for line in host.log
      if line.event == "job_over"
  ]
  assert (line["at_work"], line["waiting"]) == (1, 0)
  assert line["longest_at"] in emulation.endpoints
  assert 0 < line["longest_percent"] < 50


def stops(emulation) -> int:
  return sum(e.stops for e in emulation.endpoints.values())


def learn_long_tasks(emulation, jobs: int):
  """Runs jobs of which one in ten has a task of seven times its estimate."""
  for number in range(jobs):
    run_s = [0.1] * 4
    run_s[0] *= 7 if number % 10 == 0 else 1
    job = fleets.job(f"learn{number}", 4, 100, slo_ms=2000)
    start = lambda job=job, run_s=run_s: emulation.submit(  # noqa: E731
        "a0", job, run_s, 5.0
    )
    emulation.clock.after(0.1 * number, start)
  emulation.clock.run_until(emulation.clock.now + 0.1 * jobs + 2.0)


def test_long_task_is_not_moved_once_its_queue_is_known_to_have_some():
  emulation = fleets.fleet()
  learn_long_tasks(emulation, 60)
  before = stops(emulation)
  job = fleets.job("j", 4, 400, slo_ms=4000)
  request = emulation.submit("a0", job, [0.4, 0.4, 0.4, 2.8], 8.0)
  emulation.clock.run_until(emulation.clock.now + 6.0)
  assert emulation.answers[request].answer.outcome is model.Outcome.DONE
  assert emulation.answers[request].took_s < 2.9
  assert stops(emulation) == before


def test_long_task_beside_runs_in_time_is_not_moved():
  """It is the first of its queue, but others on its endpoint are in time."""
  emulation = fleets.fleet(endpoints=1)
  long_job = fleets.job("long", 1, 400, slo_ms=4000)
  request = emulation.submit("a0", long_job, [2.8], 8.0)
  for number in range(20):
    short = fleets.job(f"short{number}", 1, 100, slo_ms=4000)
    emulation.clock.after(
        0.11 * number,
        lambda job=short: emulation.submit("a0", job, [0.1], 8.0),
    )
  emulation.clock.run_until(emulation.clock.now + 6.0)
  assert emulation.answers[request].answer.outcome is model.Outcome.DONE
  assert stops(emulation) == 0


def test_runs_of_a_slow_endpoint_are_moved_although_long_tasks_are_known():
  """Two jobs with a long task at the same endpoint are less probable."""
  emulation = fleets.fleet(endpoints=4)
  learn_long_tasks(emulation, 60)
  slow = emulation.endpoints["e-a0"]
  slow.slowdown = 8.0
  first = len(slow.starts)
  requests = [
      emulation.submit("a0", fleets.job(f"j{n}", 2, 900, 600), [0.9] * 2, 5.0)
      for n in range(4)
  ]
  emulation.clock.run_until(emulation.clock.now + 5.0)
  assert len({run.task.job_id for run in slow.starts[first:]}) >= 2
  for request in requests:
    assert emulation.answers[request].answer.outcome is model.Outcome.DONE
    assert emulation.answers[request].took_s < 2.5, "not moved: 7.2 s"


def test_tasks_of_a_queue_declared_far_too_short_are_not_moved():
  emulation = fleets.fleet()
  for number in range(2):
    before = stops(emulation)
    job = fleets.job(f"j{number}", 4, 200, slo_ms=4000)
    request = emulation.submit("a0", job, [2.0] * 4, 8.0)
    emulation.clock.run_until(emulation.clock.now + 6.0)
    assert emulation.answers[request].answer.outcome is model.Outcome.DONE
  assert stops(emulation) == before, "the first job has shown it"


@pytest.mark.parametrize("near_has_room", (True, False))
def test_task_far_from_its_data_is_moved_only_to_room_near_it(near_has_room):
  owner = test_leases.new_owner()
  record = test_leases.known_endpoint(owner)
  run = test_leases.start_job(owner, record)
  (task,) = owner.by_id["j"].tasks.values()
  task.step = dataclasses.replace(task.step, near="r1")
  others = [
      dataclasses.replace(test_leases.OTHER_ENDPOINT, id="far"),
      dataclasses.replace(
          test_leases.OTHER_ENDPOINT,
          id="near",
          labels=("r1",),
          slots=8 if near_has_room else 0,
      ),
  ]
  leases.handle_endpoint_list(owner, (test_leases.ENDPOINT, *others))
  for other in others:
    owner.endpoints[other.id].runs_known = True
  owner.now = run.progressed_at = 0.3
  run.percent = 10
  run.state = endpointruns.RunState.RUNNING
  owner.take_effects()
  stragglers.handle_progress(owner, record, run)
  moved = [e for e in owner.take_effects() if isinstance(e, events.StopRun)]
  assert bool(moved) == near_has_room
