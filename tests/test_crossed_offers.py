"""Offers, their answers and withdrawals that cross between two hosts."""

import pytest

from fescueturn.scheduler import events
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from tests import fleets
from tests import test_refused_jobs as refused_jobs

# How long after a broken connection a caller sends its job again.
RETURN_S = 1.3


def wake_and_submit_again(emulation, host, request: int, job, run_s) -> int:
  """Resumes a host that reads its callers' connections before its links."""
  host.frozen = False
  emulation.disconnect_caller(host.name, request)
  again = emulation.submit(host.name, job, run_s, 4.0)
  host.thaw()
  return again


def test_end_of_an_earlier_submission_does_not_end_the_next():
  emulation = fleets.fleet()
  owner = fleets.owner_of(emulation, "a")
  host = fleets.other_host(emulation, owner)
  job = fleets.job("j", 2, 2000)
  request = emulation.submit(host.name, job, [2.0] * 2, 4.0)
  emulation.clock.run_until(1.2)
  host.frozen = True
  emulation.clock.run_until(1.2 + RETURN_S)
  again = wake_and_submit_again(emulation, host, request, job, [2.0] * 2)
  emulation.clock.run_until(6.5)
  assert emulation.answers[again].answer.outcome is model.Outcome.DONE
  assert emulation.broken == []


def test_refusal_of_an_earlier_submission_does_not_refuse_the_next():
  emulation = fleets.fleet()
  for data_centre in ("b", "c"):
    emulation.evacuate(data_centre)
  owner = fleets.owner_of(emulation, "a")
  host = fleets.other_host(emulation, owner)
  refused_jobs.fill(emulation, "a", declared_s=0.3, run_s=1.8)
  emulation.clock.run_until(1.1)
  # Its decline tells that the holder is full, so the next is queued at once.
  emulation.submit(host.name, fleets.job("k", 2, 500, 600), [0.5] * 2, 4.0)
  emulation.clock.run_until(1.11)
  job = fleets.job("j", 2, 500, 600)
  request = emulation.submit(host.name, job, [0.5] * 2, 4.0)
  emulation.clock.run_until(1.15)
  (shard_owner,) = owner.state.owners.values()
  emulation.clock.run_until(shard_owner.by_id["j"].latest_start - 0.1)
  host.frozen = True
  emulation.clock.run_until(emulation.clock.now + RETURN_S)
  again = wake_and_submit_again(emulation, host, request, job, [0.5] * 2)
  emulation.clock.run_until(emulation.clock.now + 2.0)
  assert emulation.answers[again].answer.outcome is model.Outcome.DONE
  assert emulation.broken == []


def test_decline_of_an_earlier_submission_does_not_move_the_next():
  emulation = fleets.fleet()
  owner = fleets.owner_of(emulation, "a")
  host = fleets.other_host(emulation, owner)
  refused_jobs.fill(emulation, "a", declared_s=1.0, run_s=1.0)
  emulation.clock.run_until(1.2)
  job = fleets.job("j", 2, 500, 900)
  request = emulation.submit(host.name, job, [0.5] * 2, 4.0)
  host.frozen = True
  emulation.clock.run_until(1.2 + RETURN_S)
  wake_and_submit_again(emulation, host, request, job, [0.5] * 2)
  emulation.clock.run_until(6.0)
  assert emulation.broken == []


def test_numbers_of_offers_go_on_if_a_job_is_submitted_again():
  emulation = fleets.fleet()
  owner = fleets.owner_of(emulation, "a")
  host = fleets.other_host(emulation, owner)
  coordinator = host.state.coordinator
  for name, number in (("j", 1), ("j", 2), ("k", 1)):
    emulation.submit(host.name, fleets.job(name, 2, 200), [0.2] * 2)
    assert coordinator.jobs[name].offer_number == number
    emulation.clock.run_until(emulation.clock.now + 1.0)
  emulation.clock.run_until(emulation.clock.now + 10.0)
  assert coordinator.last_offer_number("j") == 0


def test_offer_numbers_stay_within_the_range_of_their_field():
  emulation = fleets.fleet()
  owner = fleets.owner_of(emulation, "a")
  host = fleets.other_host(emulation, owner)
  host.partitioned_from.add(owner.name)
  request = emulation.submit(host.name, fleets.job("j", 2, 200), [0.2] * 2)
  record = host.state.coordinator.jobs["j"]
  record.offer_number = 2**16 - 1
  emulation.reset_link(host.name, owner.name)
  host.partitioned_from.clear()
  emulation.clock.run_until(2.5)
  assert emulation.answers[request].answer.outcome is model.Outcome.DONE
  assert record.offer_number == 1


def test_job_that_ran_before_it_was_handed_back_is_not_refused():
  emulation = fleets.fleet()
  for data_centre in ("b", "c"):
    refused_jobs.fill(emulation, data_centre, declared_s=0.3, run_s=1.3)
  emulation.clock.run_until(1.1)
  steps = (
      model.Step(1, fleets.NEED, 100),
      model.Step(1, fleets.NEED, 300, after=(0,)),
  )
  job = model.Job("j", "s", "spec", steps, 3, 1.6, 600)
  request = emulation.submit("a0", job, [0.1, 0.3], 4.0)
  emulation.clock.run_until(1.15)
  emulation.evacuate("a")
  emulation.clock.run_until(4.0)
  assert emulation.answers[request].answer.outcome is model.Outcome.UNKNOWN
  assert emulation.broken == []


def test_unnumbered_end_does_not_end_the_unanswered_offer_of_a_silent_holder():
  """A holder of an earlier version numbers no ends."""
  emulation = fleets.fleet()
  host, record, request = refused_jobs.offer_twice(emulation)
  lost = events.LinkLost(record.shard, record.process, refused=False)
  host.apply(lost)
  refused_jobs.end_job(host, record, model.Outcome.NOT_RUN, 0)
  assert request not in emulation.answers


def test_unnumbered_end_ends_a_job_that_a_silent_holder_accepted():
  """A holder of an earlier version numbers no ends."""
  emulation = fleets.fleet()
  host, record, request = refused_jobs.offer_twice(emulation)
  accepted = linkmessages.Accepted(record.key, 2)
  lost = events.LinkLost(record.shard, record.process, refused=False)
  host.apply(
      events.HolderMessageReceived(record.shard, record.process, accepted)
  )
  host.apply(lost)
  refused_jobs.end_job(host, record, model.Outcome.NOT_RUN, 0)
  assert emulation.answers[request].answer.outcome is model.Outcome.NOT_RUN


def test_offer_that_a_holder_reads_after_3_s_does_not_run_beside_the_next():
  """All messages since are lost, but those of the last connection."""
  emulation = fleets.fleet()
  owner = fleets.owner_of(emulation, "a")
  host = fleets.other_host(emulation, owner)
  # Nobody can claim the shard meanwhile.
  emulation.store_up = False
  owner.frozen = True
  frozen_at = emulation.clock.now
  job = fleets.job("j", 2, 600)
  emulation.submit(host.name, job, [0.6] * 2, 0.7)
  emulation.clock.run_until(frozen_at + 0.5)
  host.partitioned_from.add(owner.name)
  emulation.clock.run_until(frozen_at + 2.75)
  host.partitioned_from.clear()
  emulation.submit("b0", job, [0.6] * 2, 2.0)
  emulation.clock.run_until(frozen_at + 3.0)
  owner.thaw()
  emulation.clock.run_until(frozen_at + 5.0)
  assert emulation.broken == []


def run_until_ended(emulation, owner, job_id: str):
  """Runs until a holder has ended a job, whose end is then on its way."""
  emulation.clock.run_until(emulation.clock.now + 0.01)
  while job_id in owner.by_id:
    emulation.clock.run_until(emulation.clock.now + 0.0001)


def count_starts(emulation) -> int:
  return sum(len(e.starts) for e in emulation.endpoints.values())


@pytest.mark.parametrize(
    ("attempts", "outcome"),
    [(2, model.Outcome.DONE), (6, model.Outcome.FAILED)],
)
def test_result_lost_with_its_link_is_told_again_and_no_task_runs_again(
    attempts, outcome
):
  emulation = fleets.fleet()
  holder = fleets.owner_of(emulation, "a")
  host = fleets.other_host(emulation, holder)
  job = fleets.job("j", 2, 300)
  request = emulation.submit(host.name, job, [0.3] * 2, 4.0)
  for profile in emulation.task_profiles.values():
    profile.fails = outcome is model.Outcome.FAILED
  (owner,) = holder.state.owners.values()
  run_until_ended(emulation, owner, "j")
  assert request not in emulation.answers
  emulation.reset_link(host.name, holder.name)
  emulation.clock.run_until(4.0)
  assert emulation.answers[request].answer.outcome is outcome
  assert count_starts(emulation) <= attempts


def test_result_of_an_earlier_submission_is_not_told_to_the_next():
  emulation = fleets.fleet()
  holder = fleets.owner_of(emulation, "a")
  host = fleets.other_host(emulation, holder)
  job = fleets.job("j", 2, 300)
  emulation.submit(host.name, job, [0.3] * 2, 4.0)
  for profile in emulation.task_profiles.values():
    profile.fails = True
  (owner,) = holder.state.owners.values()
  run_until_ended(emulation, owner, "j")
  emulation.clock.run_until(emulation.clock.now + 0.1)
  request = emulation.submit(host.name, job, [0.3] * 2, 4.0)
  # The offer is lost, and made again.
  emulation.reset_link(host.name, holder.name)
  emulation.clock.run_until(emulation.clock.now + 2.0)
  assert emulation.answers[request].answer.outcome is model.Outcome.DONE


def test_results_of_jobs_are_not_kept_for_long():
  emulation = fleets.fleet()
  holder = fleets.owner_of(emulation, "a")
  emulation.submit(holder.name, fleets.job("j", 2, 300), [0.3] * 2, 4.0)
  (owner,) = holder.state.owners.values()
  emulation.clock.run_until(2.0)
  assert len(owner.job_results) == 1
  emulation.clock.run_until(5.0)
  assert owner.job_results == {}
