"""Shards go to hosts that can carry them, and callers don't notice."""

from fescueturn.scheduler import events
from fescueturn.scheduler import model
from tests import fleets

SMALL = 0.516
ROOMY = 2.15


def fleet_of_small_hosts():
  fleet = fleets.fleet_lib.Fleet(3)
  for number in range(10):
    fleet.add_host(f"a{number}", "a", SMALL)
  for number in range(8):
    fleet.add_endpoint(f"e-a{number}", "a", 96000)
  fleet.clock.run_until(1.0)
  return fleet


def test_shard_moves_to_a_roomy_host_that_comes_up_and_stays_there():
  fleet = fleet_of_small_hosts()
  small = list(fleet.hosts.values())
  requests = fleets.load(fleet, small, 10.0, 20)
  fleet.clock.at(5.0, lambda: fleet.add_host("big", "a", ROOMY))
  fleet.clock.run_until(7.0)
  assert fleets.owner_of(fleet, "a").name == "big"
  fleet.clock.run_until(14.0)
  assert fleets.owner_of(fleet, "a").name == "big"
  found = fleets.outcomes(fleet, requests)
  assert found.get(model.Outcome.DONE, 0) > 0.97 * len(requests)
  assert fleet.broken == []
  taken = [line for h in small for line in h.log if line.event == "shard_taken"]
  assert len(taken) == 1, "no back and forth"


def test_shard_stays_where_it_is_while_the_store_is_away():
  """Given up then, nobody could claim it."""
  fleet = fleet_of_small_hosts()
  holder = fleets.owner_of(fleet, "a")
  fleet.clock.run_until(3.0)
  fleet.add_host("big", "a", ROOMY)
  fleet.clock.run_until(3.3)
  fleet.store_up = False
  fleet.clock.run_until(8.0)
  assert fleets.owner_of(fleet, "a") is holder


def test_shard_does_not_go_to_a_host_that_is_stopping():
  fleet = fleet_of_small_hosts()
  holder = fleets.owner_of(fleet, "a")
  big = fleet.add_host("big", "a", ROOMY)
  fleet.clock.run_until(2.0)
  big.apply(events.DrainStarted())
  fleet.clock.run_until(6.0)
  assert fleets.owner_of(fleet, "a") is holder


def test_free_shard_goes_to_one_of_two_roomy_hosts_among_ten_small_ones():
  for seed in range(20):
    fleet = fleets.fleet_lib.Fleet(seed)
    for number in range(10):
      fleet.add_host(f"small-{seed}-{number}", "a", SMALL)
    for number in range(2):
      fleet.add_host(f"big-{seed}-{number}", "a", ROOMY)
    fleet.clock.run_until(1.0)
    assert fleets.owner_of(fleet, "a").name.startswith("big")
    fleet.kill(fleets.owner_of(fleet, "a").name)
    fleet.clock.run_until(2.0)
    assert fleets.owner_of(fleet, "a").name.startswith("big")
    claims = [
        line
        for host in fleet.hosts.values()
        for line in host.log
        if line.event == "shard_taken"
    ]
    assert len(claims) == 2


def test_host_that_can_have_no_job_run_says_it_is_not_ready():
  """Callers or none: the balancer moves on when no host of the place is ready."""
  fleet = fleets.fleet()
  fleet.evacuate("a")
  host, idle = fleet.hosts["a0"], fleet.hosts["a1"]
  for cut in (host, idle):
    assert cut.state.coordinator.serves
    cut.cut.update(n for n in fleet.hosts if not n.startswith("a"))
  fleet.clock.run_until(1.2)
  for number in range(3):
    fleet.submit("a0", fleets.job(f"j{number}", 2, 100), [0.1] * 2)
  fleet.clock.run_until(4.5)
  assert not host.state.coordinator.serves
  assert not idle.state.coordinator.serves
  request = fleet.submit("a0", fleets.job("last", 2, 100), [0.1] * 2)
  fleet.clock.run_until(4.6)
  assert fleet.answers[request].answer.outcome is model.Outcome.NOT_RUN
  assert fleet.answers[request].took_s < 0.01, "it is known already"
  for cut in (host, idle):
    cut.cut.clear()
  fleet.clock.run_until(7.0)
  assert host.state.coordinator.serves
  assert idle.state.coordinator.serves
