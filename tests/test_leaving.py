"""Tests endpoints that announce that they leave, and endpoints still cold."""

import dataclasses

from fescueturn.scheduler import endpointruns
from fescueturn.scheduler import model
from fescueturn.scheduler.decisions import leaving
from tests import fleets
from tests import test_placing

NOTICE_S = 1.8


def log_lines(emulation, event: str) -> list[dict]:
  return [
      dict(line.fields)
      for host in emulation.hosts.values()
      for line in host.log
      if line.event == event
  ]


def run_until_started(emulation, job_id: str):
  """Runs until the job's only task runs; returns its endpoint."""
  task = model.Task(job_id, 0, 0)
  while not emulation.running_on.get(task):
    emulation.clock.run_until(emulation.clock.now + 0.01)
  (name,) = emulation.running_on[task]
  return emulation.endpoints[name]


def test_task_that_would_be_lost_with_its_endpoint_is_moved_in_time():
  emulation = fleets.fleet()
  job = fleets.job("j", 1, 2000)
  request = emulation.submit("a0", job, [2.0], 6.0)
  endpoint = run_until_started(emulation, "j")
  emulation.announce_leave(endpoint.info.id, NOTICE_S)
  emulation.clock.run_until(6.0)
  answer = emulation.answers[request]
  assert answer.answer.outcome is model.Outcome.DONE
  assert answer.took_s < 1.6 * 2.0 + 0.06, "the job's objective"
  (line,) = log_lines(emulation, "run_moved")
  assert line["why"] == "leaving"
  assert emulation.broken == []


def test_task_that_ends_before_its_endpoint_leaves_is_not_moved():
  emulation = fleets.fleet()
  request = emulation.submit("a0", fleets.job("j", 1, 900), [0.9], 6.0)
  endpoint = run_until_started(emulation, "j")
  emulation.announce_leave(endpoint.info.id, NOTICE_S)
  emulation.clock.run_until(4.0)
  assert emulation.answers[request].took_s < 1.0
  assert endpoint.stops == 0


def test_task_stays_where_it_is_while_no_other_endpoint_has_room():
  emulation = fleets.fleet(endpoints=1)
  request = emulation.submit("a0", fleets.job("j", 1, 1700), [1.7], 6.0)
  endpoint = run_until_started(emulation, "j")
  emulation.announce_leave(endpoint.info.id, 1.5)
  emulation.clock.run_until(2.4)
  assert endpoint.stops == 0
  assert request not in emulation.answers


def test_room_of_leaving_endpoints_counts_for_no_new_job():
  emulation = fleets.fleet(endpoints=1)
  for name in emulation.endpoints:
    emulation.announce_leave(name, 5.0)
  emulation.clock.run_until(2.0)
  request = emulation.submit("a0", fleets.job("j", 1, 60), [0.06])
  emulation.clock.run_until(2.1)
  answer = emulation.answers[request].answer
  assert answer.outcome is model.Outcome.NOT_RUN


def entry(**fields) -> model.Endpoint:
  return dataclasses.replace(test_placing.endpoint("e0"), **fields)


def test_time_to_leave_counts_from_when_the_entry_was_written():
  record = test_placing.known_record(entry())
  record.update_clock(10_000, 5.0)
  leaving.record_entry(
      record, entry(draining=True, stays_ms=1800, clock_ms=9_600), 5.0
  )
  assert record.leaves_at == 5.0 + 1.8 - 0.4


def test_time_to_leave_is_shorter_if_the_age_of_the_entry_is_unknown():
  record = test_placing.known_record(entry())
  info = entry(draining=True, stays_ms=1800)
  leaving.record_entry(record, info, 5.0)
  record.update(info)
  assert record.leaves_at == 5.0 + 1.8 - leaving.ENTRY_AGE_S
  leaving.record_entry(record, info, 7.0)
  assert record.leaves_at == 5.8, "the same entry read again tells nothing new"
  leaving.record_entry(record, entry(), 8.0)
  assert record.leaves_at is None, "it stays after all"


def test_run_without_known_progress_is_judged_by_its_estimate():
  record = test_placing.known_record(entry())
  run = endpointruns.Run(
      model.RunId(model.Task("j", 0, 0), 1),
      fleets.NEED,
      endpointruns.RunState.RUNNING,
      1.0,
      900,
  )
  record.add(run)
  assert not leaving.ends_too_late(record, run, 1.5), "it stays"
  record.leaves_at = 1.8
  assert leaving.ends_too_late(record, run, 1.5)
  run.percent, run.progressed_at = 90, 1.5
  assert not leaving.ends_too_late(record, run, 1.5), "it is nearly done"
  record.leaves_at = 1.55
  assert leaving.ends_too_late(record, run, 1.5)
  assert not leaving.ends_too_late(record, run, 1.52), "a stop takes as long"
