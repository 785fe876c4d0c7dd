"""A holder that several hosts don't hear is replaced before its claim lapses."""

from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import suspicion
from tests import fleets

SHARD = model.Shard("a")
DOUBT = linkmessages.SuspectedHolder(SHARD, 7)
FIRST = linkmessages.HostProcess("a1", "b1")
SECOND = linkmessages.HostProcess("a2", "b2")


def test_two_hosts_agree_and_one_does_not():
  emulation = suspicion.SuspicionTracker()
  emulation.report(FIRST, (DOUBT,), 1.0)
  emulation.report(FIRST, (DOUBT,), 1.1)
  assert emulation.confirmed(1.1) == ()
  emulation.report(SECOND, (DOUBT,), 1.2)
  assert emulation.confirmed(1.2) == (DOUBT,)


def test_doubts_of_another_claim_or_of_long_ago_do_not_count():
  emulation = suspicion.SuspicionTracker()
  emulation.report(FIRST, (DOUBT,), 1.0)
  emulation.report(SECOND, (linkmessages.SuspectedHolder(SHARD, 8),), 1.0)
  assert emulation.confirmed(1.0) == ()
  emulation.report(SECOND, (DOUBT,), 1.5)
  assert emulation.confirmed(1.5) == ()


def holder_after(emulation, seconds: float):
  emulation.clock.run_until(emulation.clock.now + seconds)
  return fleets.owner_of(emulation, "a")


def test_holder_that_lost_its_power_is_replaced_before_its_claim_lapses():
  """A job of 0.9 s that it had is done 0.8 s sooner than after a lapse."""
  emulation = fleets.fleet()
  emulation.clock.run_until(3.0)
  before = fleets.owner_of(emulation, "a")
  caller = fleets.other_host(emulation, before)
  job = fleets.job("j", 4, 900, 2000)
  request = emulation.submit(caller.name, job, [0.9] * 4, 5.0)
  emulation.clock.run_until(3.3)
  before.frozen = True
  assert holder_after(emulation, 0.8) is not before
  emulation.clock.run_until(6.0)
  assert emulation.answers[request].answer.outcome is model.Outcome.DONE
  assert emulation.answers[request].took_s < 2.0
  assert emulation.broken == []


def test_holder_cut_off_from_all_hosts_is_replaced_though_its_claim_is_kept():
  emulation = fleets.fleet()
  emulation.clock.run_until(3.0)
  before = fleets.owner_of(emulation, "a")
  others = [h for h in emulation.hosts.values() if h is not before]
  before.partitioned_from.update(h.name for h in others)
  emulation.clock.run_until(4.0)
  holders = [
      h
      for h in fleets.zone_hosts(emulation, "a")
      if h.state.owners and h != before
  ]
  assert len(holders) == 1
  assert not before.state.owners, "it was told by the store, or by a fence"
  requests = fleets.submit_load(emulation, others, 3.0, 30)
  emulation.clock.run_until(9.0)
  found = fleets.count_outcomes(emulation, requests)
  assert found.get(model.Outcome.DONE, 0) > 0.95 * len(requests)
  assert emulation.broken == []


def test_host_cut_off_from_its_holder_alone_takes_nothing_over():
  emulation = fleets.fleet()
  before = fleets.owner_of(emulation, "a")
  fleets.other_host(emulation, before).partitioned_from.add(before.name)
  assert holder_after(emulation, 4.0) is before


def test_data_centre_cut_off_from_the_others_keeps_its_holder():
  emulation = fleets.fleet()
  before = fleets.owner_of(emulation, "a")
  near = fleets.zone_hosts(emulation, "a")
  for host in near:
    host.partitioned_from.update(
        n for n in emulation.hosts if not n.startswith("a")
    )
  assert holder_after(emulation, 4.0) is before
