"""Jobs that their coordinator gives up while their holder goes on.

Their callers send them again to other hosts, which may offer them to other data
centres: by then no task of the first submission may still run.
"""

import pytest

from fescueturn.scheduler import events
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import reducer
from tests import fleets

# How long after a broken connection a caller sends its job again.
RETURN_S = 1.3


def active_runs(emulation, data_centre: str) -> int:
  return sum(
      len(e.running)
      for e in emulation.endpoints.values()
      if e.info.data_centre == data_centre
  )


def submit_long_job(emulation, host_name: str, deadline_s: float = 6.0):
  """Submits a job that runs to its caller's deadline."""
  job = fleets.job("long", 2, int(1000 * deadline_s))
  return job, emulation.submit(
      host_name, job, [deadline_s] * 2, 1.2 * deadline_s
  )


@pytest.mark.parametrize("resets", [1, 3])
def test_withdrawal_lost_with_its_link_does_not_let_a_job_run_on(resets):
  emulation = fleets.fleet()
  owner = fleets.owner_of(emulation, "a")
  first = fleets.other_host(emulation, owner)
  job, request = submit_long_job(emulation, first.name)
  emulation.clock.run_until(1.2)
  assert active_runs(emulation, "a") == 2
  emulation.disconnect_caller(first.name, request)
  for number in range(resets):
    emulation.clock.at(
        1.2 + 0.1 * number,
        lambda: emulation.reset_link(first.name, owner.name),
    )
  emulation.clock.run_until(1.2 + RETURN_S)
  assert active_runs(emulation, "a") == 0
  emulation.submit("b0", job, [6.0] * 2, 7.0)
  emulation.clock.run_until(4.0)
  assert active_runs(emulation, "b") == 2
  assert emulation.broken == []


def test_job_sent_again_to_its_host_survives_its_earlier_withdrawal():
  emulation = fleets.fleet()
  owner = fleets.owner_of(emulation, "a")
  first = fleets.other_host(emulation, owner)
  job = fleets.job("j", 2, 900)
  request = emulation.submit(first.name, job, [0.9] * 2, 5.0)
  emulation.clock.run_until(1.2)
  first.partitioned_from.add(owner.name)
  emulation.disconnect_caller(first.name, request)
  first.partitioned_from.clear()
  again = emulation.submit(first.name, job, [0.9] * 2, 5.0)
  emulation.clock.run_until(4.0)
  assert emulation.answers[again].answer.outcome is model.Outcome.DONE
  assert first.state.coordinator.withdrawals == {}
  assert emulation.broken == []


def test_withdrawal_is_repeated_until_it_is_confirmed_and_not_longer():
  emulation = fleets.fleet()
  owner = fleets.owner_of(emulation, "a")
  first = fleets.other_host(emulation, owner)
  _, request = submit_long_job(emulation, first.name)
  emulation.clock.run_until(1.2)
  first.partitioned_from.add(owner.name)
  emulation.disconnect_caller(first.name, request)
  emulation.clock.run_until(1.6)
  assert len(first.state.coordinator.withdrawals) == 1
  first.partitioned_from.clear()
  emulation.clock.run_until(1.8)
  assert first.state.coordinator.withdrawals == {}


def test_withdrawal_without_a_confirmation_ends_with_the_job():
  """A holder of an earlier version confirms none."""
  emulation = fleets.fleet()
  owner = fleets.owner_of(emulation, "a")
  first = fleets.other_host(emulation, owner)
  _, request = submit_long_job(emulation, first.name, deadline_s=1.0)
  emulation.clock.run_until(1.2)
  first.partitioned_from.add(owner.name)
  emulation.disconnect_caller(first.name, request)
  emulation.clock.run_until(7.1)
  assert len(first.state.coordinator.withdrawals) == 1
  emulation.clock.run_until(7.4)
  assert first.state.coordinator.withdrawals == {}


def test_only_numbered_withdrawals_are_confirmed():
  """A coordinator of an earlier version can't read a confirmation."""
  emulation = fleets.fleet()
  owner = fleets.owner_of(emulation, "a")
  first = fleets.other_host(emulation, owner)
  key = linkmessages.JobKey(first.process, "j")
  for host in (owner, first):
    for number, confirmed in ((0, False), (7, True)):
      message = linkmessages.Withdrawn(model.Shard("a"), key, number)
      sent = reducer.reduce(host.state, message, emulation.clock.now)
      assert any(getattr(e, "message", None) == message for e in sent) == (
          confirmed
      )


def test_job_given_up_while_its_holder_is_frozen_does_not_run_on_when_it_wakes():
  emulation = fleets.fleet()
  owner = fleets.owner_of(emulation, "a")
  first = fleets.other_host(emulation, owner)
  job, request = submit_long_job(emulation, first.name)
  emulation.clock.run_until(1.2)
  # Nobody can claim the shard meanwhile.
  emulation.store_up = False
  owner.frozen = True
  while request not in emulation.answers:
    emulation.clock.run_until(emulation.clock.now + 0.01)
  assert emulation.answers[request].answer.outcome is model.Outcome.UNKNOWN
  given_up_at = emulation.clock.now
  owner.thaw()
  emulation.clock.run_until(given_up_at + RETURN_S)
  assert active_runs(emulation, "a") == 0
  emulation.submit("b0", job, [6.0] * 2, 7.0)
  emulation.clock.run_until(given_up_at + RETURN_S + 1.0)
  assert active_runs(emulation, "b") == 2
  assert emulation.broken == []


def test_holder_that_wakes_reads_withdrawals_before_it_starts_tasks():
  """A run's lease has expired meanwhile, so its task could start elsewhere."""
  emulation = fleets.fleet()
  owner = fleets.owner_of(emulation, "a")
  first = fleets.other_host(emulation, owner)
  job, request = submit_long_job(emulation, first.name)
  emulation.clock.run_until(1.2)
  (shard,) = owner.state.owners.values()
  victim = next(e for e in emulation.endpoints.values() if e.running)
  victim.unreachable = True
  while shard.endpoints[victim.info.id].silent_since is None:
    emulation.clock.run_until(emulation.clock.now + 0.01)
  # Nobody can claim the shard meanwhile.
  emulation.store_up = False
  owner.frozen = True
  emulation.disconnect_caller(first.name, request)
  emulation.clock.run_until(emulation.clock.now + RETURN_S)
  emulation.submit("b0", job, [6.0] * 2, 7.0)
  emulation.clock.run_until(emulation.clock.now + 0.1)
  assert active_runs(emulation, "b") == 2
  # A tick may come before the messages that arrived meanwhile.
  owner.frozen = False
  owner.apply(events.Tick())
  owner.thaw()
  emulation.clock.run_until(emulation.clock.now + 1.0)
  assert emulation.broken == []


def test_repeated_offer_of_an_earlier_submission_does_not_end_the_newer_one():
  emulation = fleets.fleet()
  owner = fleets.owner_of(emulation, "a")
  first, second = (h for h in fleets.hosts_in(emulation, "a") if h is not owner)
  job = fleets.job("j", 2, 900)
  earlier = emulation.submit(first.name, job, [0.9] * 2, 5.0)
  emulation.clock.run_until(1.1)
  first.partitioned_from.add(owner.name)
  emulation.clock.run_until(1.1 + RETURN_S)
  newer = emulation.submit(second.name, job, [0.9] * 2, 5.0)
  emulation.clock.run_until(1.3 + RETURN_S)
  first.partitioned_from.clear()
  emulation.clock.run_until(5.0)
  outcomes = [emulation.answers[r].answer.outcome for r in (earlier, newer)]
  assert outcomes == [model.Outcome.UNKNOWN, model.Outcome.DONE]
  assert emulation.broken == []


def test_job_sent_again_to_its_host_before_the_withdrawal_gets_the_new_deadline():
  emulation = fleets.fleet()
  owner = fleets.owner_of(emulation, "a")
  first = fleets.other_host(emulation, owner)
  job = fleets.job("j", 2, 900)
  request = emulation.submit(first.name, job, [1.2] * 2, 1.0)
  emulation.clock.run_until(1.5)
  first.partitioned_from.add(owner.name)
  emulation.disconnect_caller(first.name, request)
  first.partitioned_from.clear()
  again = emulation.submit(first.name, job, [1.2] * 2, 5.0)
  emulation.clock.run_until(4.0)
  assert emulation.answers[again].answer.outcome is model.Outcome.DONE
  assert emulation.broken == []
