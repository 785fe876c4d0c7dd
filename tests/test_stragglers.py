"""Tests the detection of slow endpoints, and the moves of their runs."""

from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import model
from tests import fleets
from tests import test_leases


def record_with_runs(*jobs: str) -> endpointstate.EndpointRecord:
  record = endpointstate.EndpointRecord(test_leases.ENDPOINT, 0.0)
  record.runs_known = True
  for name in jobs:
    run = model.RunId(model.Task(name, 0, 0), 1)
    state = endpointstate.RunState.RUNNING
    record.add(endpointstate.Run(run, fleets.NEED, state, 0.0, 900))
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
  assert record.slowness == 1.0
  assert record.record_slow_run(second, 6.0)
  assert record.slowness == 6.0
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
