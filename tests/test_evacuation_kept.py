"""Kept jobs of an evacuated data centre are moved to another one."""

import pytest

from fescueturn.scheduler import events
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


def all_done(emulation, names) -> bool:
  return all(
      emulation.kept_store.states[name] is model.KeptJobState.DONE
      for name in names
  )


def test_job_with_a_step_left_moves_with_its_progress():
  emulation = fleets.fleet()
  request = emulation.submit("a0", two_steps("j"), [0.2] * 5, 3.0)
  emulation.clock.run_until(1.1)
  assert test_kept_jobs.outcome(emulation, request) is model.Outcome.KEPT
  started_in = {
      e.info.data_centre for e in emulation.endpoints.values() if e.starts
  }
  assert started_in == {"a"}
  emulation.evacuate("a")
  emulation.clock.run_until(5.0)
  assert all_done(emulation, ["j"])
  assert test_evacuation.starts_in(emulation, "a") == 2
  elsewhere = sum(test_evacuation.starts_in(emulation, z) for z in ("b", "c"))
  assert elsewhere == 3, "tasks that were done ran again"
  assert emulation.broken == []


@pytest.mark.parametrize("seed", range(4))
def test_holder_that_crashes_during_moves_loses_no_job_and_runs_none_twice(
    seed,
):
  emulation = fleets.fleet(seed=seed)
  emulation.store_reply_loss_rate, emulation.store_late_write_rate = 0.1, 0.1
  submitted = test_kept_jobs.load(
      emulation, test_kept_jobs.all_hosts(emulation), 4.0, 20, "k"
  )
  emulation.clock.at(2.5, lambda: emulation.evacuate("a"))
  moment = 2.5 + emulation.rng.uniform(0.01, 0.4)
  emulation.clock.at(
      moment, lambda: emulation.kill(fleets.owner_of(emulation, "a").name)
  )
  emulation.clock.run_until(3.5)
  before = test_evacuation.starts_in(emulation, "a")
  emulation.clock.run_until(30.0)
  assert test_evacuation.starts_in(emulation, "a") == before
  test_kept_jobs.assert_guarantees_hold(emulation, submitted)
  assert emulation.broken == []


@pytest.mark.parametrize("seed", range(4))
def test_jobs_are_moved_back_and_forth_under_random_faults(seed):
  """Data centres are evacuated in turn and reinstated after a short time."""
  emulation = fleets.fleet(seed=seed)
  submitted = test_kept_jobs.load(
      emulation, test_kept_jobs.all_hosts(emulation), 10.0, 15, "k"
  )
  test_random_faults.Faults(emulation, seed).plan()
  for number, data_centre in enumerate("abcabc"):
    begin = 1.5 + 1.7 * number
    emulation.clock.at(
        begin, lambda data_centre=data_centre: emulation.evacuate(data_centre)
    )
    end = begin + emulation.rng.uniform(0.1, 2.5)
    emulation.clock.at(
        end,
        lambda data_centre=data_centre: emulation.evacuate(
            data_centre, wanted=False
        ),
    )
  emulation.clock.run_until(60.0)
  test_kept_jobs.assert_guarantees_hold(emulation, submitted)
  assert emulation.broken == []


def test_job_stays_while_all_data_centres_are_evacuated_and_resumes_after():
  emulation = fleets.fleet()
  emulation.submit("a0", two_steps("j"), [0.2] * 5, 3.0)
  emulation.clock.run_until(1.1)
  for data_centre in fleets.DATA_CENTRES:
    emulation.evacuate(data_centre)
  emulation.clock.run_until(4.0)
  assert emulation.kept_store.states["j"] is model.KeptJobState.OPEN
  emulation.evacuate("a", wanted=False)
  emulation.clock.run_until(8.0)
  assert all_done(emulation, ["j"])
  assert emulation.broken == []


def test_write_has_no_more_rows_than_the_store_allows():
  kept_records = keptrecords.KeptRecords()
  kept_records.mark_loaded(keptevents.KeptJobsLoaded(test_kept_jobs.SHARD, 7))
  for number in range(20):
    kept = model.KeptJob(two_steps(f"j{number}"), model.Progress())
    move = keptevents.MoveJob(kept, model.Shard("b"))
    kept_records.moving[kept.job.id] = move
  write = kept_records.next_write(
      test_kept_jobs.SHARD,
      7,
      1.0,
      lambda job_id: model.Progress(),
      lambda job_id: False,
  )
  # The checks of the claim and of the previous write take three rows, a move
  # five.
  assert 3 + 5 * len(write.changes) <= 32
  assert len(write.changes) == 5


def move_long_job(emulation) -> str:
  """Has a kept job moved out of data centre a; returns where it is then."""
  steps = (
      model.Step(2, fleets.NEED, 200),
      model.Step(3, fleets.NEED, 3000, (0,)),
  )
  job = model.Job("j", "s", "spec", steps, 3, 1.6, 60, "q", True)
  emulation.submit("a0", job, [0.2] * 2 + [3.0] * 3, 3.0)
  emulation.clock.run_until(1.1)
  emulation.evacuate("a")
  emulation.clock.run_until(3.0)
  (data_centre,) = [
      owner.shard.data_centre
      for host in emulation.hosts.values()
      for owner in host.state.owners.values()
      if "j" in owner.by_id
  ]
  return data_centre


def test_cancellation_of_a_moved_job_isnt_sent_to_its_earlier_holder_only():
  emulation = fleets.fleet()
  emulation.hosts["c0"].partitioned_from.update(
      host.name for host in fleets.hosts_in(emulation, "a")
  )
  # Its caller sends it again when the job has moved.
  emulation.query_kept_job("c0", "j", "a", cancel=True, deadline_s=9.0)
  moved_to = move_long_job(emulation)
  assert moved_to != "a"
  again = emulation.query_kept_job("c0", "j", moved_to, cancel=True)
  emulation.clock.run_until(4.5)
  assert test_kept_jobs.outcome(emulation, again) is model.Outcome.CANCELLED


def test_reply_of_the_earlier_holder_doesnt_answer_for_a_moved_job():
  emulation = fleets.fleet()
  moved_to = move_long_job(emulation)
  host = emulation.hosts["c0"]
  shard = model.Shard("a")
  process = host.state.coordinator.holders[shard].process
  request = emulation.query_kept_job("c0", "j", moved_to, cancel=True)
  late = keptevents.KeptJobReply("j", True, None)
  host.apply(events.HolderMessageReceived(shard, process, late))
  assert request not in emulation.answers
  emulation.clock.run_until(4.0)
  assert test_kept_jobs.outcome(emulation, request) is model.Outcome.CANCELLED
