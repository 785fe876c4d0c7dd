"""Kept jobs of an evacuated data centre go on in another one."""

import pytest

from fescueturn.scheduler import keptevents
from fescueturn.scheduler import keptrecords
from fescueturn.scheduler import model
from tests import fleets
from tests import test_evacuation
from tests import test_kept_jobs
from tests import test_random_faults


def two_steps(name: str) -> model.Job:
  steps = (
      model.Step(2, fleets.NEED, 200),
      model.Step(3, fleets.NEED, 200, (0,)),
  )
  return model.Job(name, "s", "spec", steps, 3, 1.6, 60, "q", True)


def all_done(made, names) -> bool:
  return all(
      made.kept_store.states[name] is model.KeptJobState.DONE for name in names
  )


def test_job_with_a_step_to_come_moves_with_what_is_done_of_it():
  made = fleets.fleet()
  request = made.submit("a0", two_steps("j"), [0.2] * 5, 3.0)
  made.clock.run_until(1.1)
  assert test_kept_jobs.outcome(made, request) is model.Outcome.KEPT
  zones = {e.info.data_centre for e in made.endpoints.values() if e.starts}
  assert zones == {"a"}
  made.evacuate("a")
  made.clock.run_until(5.0)
  assert all_done(made, ["j"])
  assert test_evacuation.starts_in(made, "a") == 2
  elsewhere = sum(test_evacuation.starts_in(made, z) for z in ("b", "c"))
  assert elsewhere == 3, "what was done is not run again"
  assert made.broken == []


@pytest.mark.parametrize("seed", range(4))
def test_holder_that_dies_half_way_loses_no_job_and_runs_none_twice(seed):
  made = fleets.fleet(seed=seed)
  made.store_reply_loss_rate, made.store_late_write_rate = 0.1, 0.1
  asked = test_kept_jobs.load(
      made, test_kept_jobs.all_hosts(made), 4.0, 20, "k"
  )
  made.clock.at(2.5, lambda: made.evacuate("a"))
  moment = 2.5 + made.rng.uniform(0.01, 0.4)
  made.clock.at(moment, lambda: made.kill(fleets.owner_of(made, "a").name))
  made.clock.run_until(3.5)
  before = test_evacuation.starts_in(made, "a")
  made.clock.run_until(30.0)
  assert test_evacuation.starts_in(made, "a") == before
  test_kept_jobs.assert_guarantees_hold(made, asked)
  assert made.broken == []


@pytest.mark.parametrize("seed", range(4))
def test_jobs_moved_to_and_fro_beside_random_faults(seed):
  """Data centres are evacuated one after the other, and taken back at once."""
  made = fleets.fleet(seed=seed)
  asked = test_kept_jobs.load(
      made, test_kept_jobs.all_hosts(made), 10.0, 15, "k"
  )
  test_random_faults.Faults(made, seed).plan()
  for number, zone in enumerate("abcabc"):
    mark_loaded = 1.5 + 1.7 * number
    made.clock.at(mark_loaded, lambda zone=zone: made.evacuate(zone))
    end = mark_loaded + made.rng.uniform(0.1, 2.5)
    made.clock.at(end, lambda zone=zone: made.evacuate(zone, wanted=False))
  made.clock.run_until(60.0)
  test_kept_jobs.assert_guarantees_hold(made, asked)
  assert made.broken == []


def test_job_stays_where_it_is_when_all_are_evacuated_and_goes_on_after():
  made = fleets.fleet()
  made.submit("a0", two_steps("j"), [0.2] * 5, 3.0)
  made.clock.run_until(1.1)
  for zone in fleets.ZONES:
    made.evacuate(zone)
  made.clock.run_until(4.0)
  assert made.kept_store.states["j"] is model.KeptJobState.OPEN
  made.evacuate("a", wanted=False)
  made.clock.run_until(8.0)
  assert all_done(made, ["j"])
  assert made.broken == []


def test_write_has_no_more_rows_than_the_store_takes():
  kept_records = keptrecords.KeptRecords()
  kept_records.mark_loaded(keptevents.KeptJobsLoaded(test_kept_jobs.SHARD, 7))
  for number in range(20):
    kept = model.KeptJob(two_steps(f"j{number}"), model.Progress())
    move = keptevents.MoveJob(kept, model.Shard("b"))
    kept_records.moving[kept.job.id] = move
  write = kept_records.next_write(
      test_kept_jobs.SHARD, 7, 1.0, lambda job_id: model.Progress()
  )
  # Its own head and claim take three rows, a move five.
  assert 3 + 5 * len(write.changes) <= 32
  assert len(write.changes) == 5
