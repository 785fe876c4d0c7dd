"""A holder that several hosts suspect is replaced before its claim expires."""

from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import suspicion
from tests import fleets

SHARD = model.Shard("a")
SUSPECT = linkmessages.SuspectedHolder(SHARD, 7)
FIRST = linkmessages.HostProcess("a1", "b1")
SECOND = linkmessages.HostProcess("a2", "b2")


def test_two_hosts_form_a_quorum_and_one_does_not():
  tracker = suspicion.SuspicionTracker()
  tracker.report(FIRST, (SUSPECT,), 1.0)
  tracker.report(FIRST, (SUSPECT,), 1.1)
  assert tracker.confirmed(1.1) == ()
  tracker.report(SECOND, (SUSPECT,), 1.2)
  assert tracker.confirmed(1.2) == (SUSPECT,)


def test_reports_of_another_claim_or_expired_reports_do_not_count():
  tracker = suspicion.SuspicionTracker()
  tracker.report(FIRST, (SUSPECT,), 1.0)
  tracker.report(SECOND, (linkmessages.SuspectedHolder(SHARD, 8),), 1.0)
  assert tracker.confirmed(1.0) == ()
  tracker.report(SECOND, (SUSPECT,), 1.5)
  assert tracker.confirmed(1.5) == ()


def holder_after(emulation, seconds: float):
  emulation.clock.run_until(emulation.clock.now + seconds)
  return fleets.owner_of(emulation, "a")


def test_holder_that_lost_power_is_replaced_before_its_claim_expires():
  """A job of 0.9 s ends 0.8 s sooner than if the claim first had to expire."""
  emulation = fleets.fleet()
  emulation.clock.run_until(3.0)
  old_holder = fleets.owner_of(emulation, "a")
  caller = fleets.other_host(emulation, old_holder)
  job = fleets.job("j", 4, 900, 2000)
  request = emulation.submit(caller.name, job, [0.9] * 4, 5.0)
  emulation.clock.run_until(3.3)
  old_holder.frozen = True
  assert holder_after(emulation, 0.8) is not old_holder
  emulation.clock.run_until(6.0)
  assert emulation.answers[request].answer.outcome is model.Outcome.DONE
  assert emulation.answers[request].took_s < 2.0
  assert emulation.broken == []


def test_holder_cut_off_from_all_hosts_is_replaced_though_its_claim_is_kept():
  emulation = fleets.fleet()
  emulation.clock.run_until(3.0)
  old_holder = fleets.owner_of(emulation, "a")
  others = [h for h in emulation.hosts.values() if h is not old_holder]
  old_holder.partitioned_from.update(h.name for h in others)
  emulation.clock.run_until(4.0)
  holders = [
      h
      for h in fleets.hosts_in(emulation, "a")
      if h.state.owners and h != old_holder
  ]
  assert len(holders) == 1
  # The store or a fencing token has ended the old holder's tenure.
  assert not old_holder.state.owners, "the replaced holder still owns the shard"
  requests = fleets.submit_load(emulation, others, 3.0, 30)
  emulation.clock.run_until(9.0)
  outcome_counts = fleets.count_outcomes(emulation, requests)
  assert outcome_counts.get(model.Outcome.DONE, 0) > 0.95 * len(requests)
  assert emulation.broken == []


def test_host_cut_off_only_from_its_holder_does_not_take_over():
  emulation = fleets.fleet()
  old_holder = fleets.owner_of(emulation, "a")
  fleets.other_host(emulation, old_holder).partitioned_from.add(old_holder.name)
  assert holder_after(emulation, 4.0) is old_holder


def test_data_centre_cut_off_from_the_others_keeps_its_holder():
  emulation = fleets.fleet()
  old_holder = fleets.owner_of(emulation, "a")
  local_hosts = fleets.hosts_in(emulation, "a")
  for host in local_hosts:
    host.partitioned_from.update(
        n for n in emulation.hosts if not n.startswith("a")
    )
  assert holder_after(emulation, 4.0) is old_holder
