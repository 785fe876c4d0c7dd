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
  fleet = suspicion.SuspicionTracker()
  fleet.report(FIRST, (DOUBT,), 1.0)
  fleet.report(FIRST, (DOUBT,), 1.1)
  assert fleet.confirmed(1.1) == ()
  fleet.report(SECOND, (DOUBT,), 1.2)
  assert fleet.confirmed(1.2) == (DOUBT,)


def test_doubts_of_another_claim_or_of_long_ago_do_not_count():
  fleet = suspicion.SuspicionTracker()
  fleet.report(FIRST, (DOUBT,), 1.0)
  fleet.report(SECOND, (linkmessages.SuspectedHolder(SHARD, 8),), 1.0)
  assert fleet.confirmed(1.0) == ()
  fleet.report(SECOND, (DOUBT,), 1.5)
  assert fleet.confirmed(1.5) == ()


def holder_after(fleet, seconds: float):
  fleet.clock.run_until(fleet.clock.now + seconds)
  return fleets.owner_of(fleet, "a")


def test_holder_that_lost_its_power_is_replaced_before_its_claim_lapses():
  """A job of 0.9 s that it had is done 0.8 s sooner than after a lapse."""
  fleet = fleets.fleet()
  fleet.clock.run_until(3.0)
  before = fleets.owner_of(fleet, "a")
  caller = fleets.other_than(fleet, before)
  job = fleets.job("j", 4, 900, 2000)
  request = fleet.submit(caller.name, job, [0.9] * 4, 5.0)
  fleet.clock.run_until(3.3)
  before.frozen = True
  assert holder_after(fleet, 0.8) is not before
  fleet.clock.run_until(6.0)
  assert fleet.answers[request].answer.outcome is model.Outcome.DONE
  assert fleet.answers[request].took_s < 2.0
  assert fleet.broken == []


def test_holder_cut_off_from_all_hosts_is_replaced_though_its_claim_is_kept():
  fleet = fleets.fleet()
  fleet.clock.run_until(3.0)
  before = fleets.owner_of(fleet, "a")
  others = [h for h in fleet.hosts.values() if h is not before]
  before.cut.update(h.name for h in others)
  fleet.clock.run_until(4.0)
  holders = [
      h for h in fleets.zone_hosts(fleet, "a") if h.state.owners and h != before
  ]
  assert len(holders) == 1
  assert not before.state.owners, "it was told by the store, or by a fence"
  requests = fleets.load(fleet, others, 3.0, 30)
  fleet.clock.run_until(9.0)
  found = fleets.outcomes(fleet, requests)
  assert found.get(model.Outcome.DONE, 0) > 0.95 * len(requests)
  assert fleet.broken == []


def test_host_cut_off_from_its_holder_alone_takes_nothing_over():
  fleet = fleets.fleet()
  before = fleets.owner_of(fleet, "a")
  fleets.other_than(fleet, before).cut.add(before.name)
  assert holder_after(fleet, 4.0) is before


def test_data_centre_cut_off_from_the_others_keeps_its_holder():
  fleet = fleets.fleet()
  before = fleets.owner_of(fleet, "a")
  near = fleets.zone_hosts(fleet, "a")
  for host in near:
    host.cut.update(n for n in fleet.hosts if not n.startswith("a"))
  assert holder_after(fleet, 4.0) is before
