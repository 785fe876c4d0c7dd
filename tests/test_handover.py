"""Shards go to hosts that can carry them, and callers don't notice."""

from fescueturn.scheduler import events
from fescueturn.scheduler import model
from tests import fleets

SMALL = 0.516
ROOMY = 2.15


def fleet_of_small_hosts():
  emulation = fleets.fleet_lib.Fleet(3)
  for number in range(10):
    emulation.add_host(f"a{number}", "a", SMALL)
  for number in range(8):
    emulation.add_endpoint(f"e-a{number}", "a", 96000)
  emulation.clock.run_until(1.0)
  return emulation


def test_shard_moves_to_a_roomy_host_that_comes_up_and_stays_there():
  emulation = fleet_of_small_hosts()
  small = list(emulation.hosts.values())
  requests = fleets.submit_load(emulation, small, 10.0, 20)
  emulation.clock.at(5.0, lambda: emulation.add_host("big", "a", ROOMY))
  emulation.clock.run_until(7.0)
  assert fleets.owner_of(emulation, "a").name == "big"
  emulation.clock.run_until(14.0)
  assert fleets.owner_of(emulation, "a").name == "big"
  found = fleets.count_outcomes(emulation, requests)
  assert found.get(model.Outcome.DONE, 0) > 0.97 * len(requests)
  assert emulation.broken == []
  taken = [line for h in small for line in h.log if line.event == "shard_taken"]
  assert len(taken) == 1, "no back and forth"


def test_shard_stays_where_it_is_while_the_store_is_away():
  """Given up then, nobody could claim it."""
  emulation = fleet_of_small_hosts()
  holder = fleets.owner_of(emulation, "a")
  emulation.clock.run_until(3.0)
  emulation.add_host("big", "a", ROOMY)
  emulation.clock.run_until(3.3)
  emulation.store_up = False
  emulation.clock.run_until(8.0)
  assert fleets.owner_of(emulation, "a") is holder


def test_shard_does_not_go_to_a_host_that_is_stopping():
  emulation = fleet_of_small_hosts()
  holder = fleets.owner_of(emulation, "a")
  big = emulation.add_host("big", "a", ROOMY)
  emulation.clock.run_until(2.0)
  big.apply(events.DrainStarted())
  emulation.clock.run_until(6.0)
  assert fleets.owner_of(emulation, "a") is holder


def test_free_shard_goes_to_one_of_two_roomy_hosts_among_ten_small_ones():
  for seed in range(20):
    emulation = fleets.fleet_lib.Fleet(seed)
    for number in range(10):
      emulation.add_host(f"small-{seed}-{number}", "a", SMALL)
    for number in range(2):
      emulation.add_host(f"big-{seed}-{number}", "a", ROOMY)
    emulation.clock.run_until(1.0)
    assert fleets.owner_of(emulation, "a").name.startswith("big")
    emulation.kill(fleets.owner_of(emulation, "a").name)
    emulation.clock.run_until(2.0)
    assert fleets.owner_of(emulation, "a").name.startswith("big")
    claims = [
        line
        for host in emulation.hosts.values()
        for line in host.log
        if line.event == "shard_taken"
    ]
    assert len(claims) == 2


def test_host_that_can_have_no_job_run_says_it_is_not_ready():
  """Callers or none: the balancer moves on when no host of the place is ready."""
  emulation = fleets.fleet()
  emulation.evacuate("a")
  host, idle = emulation.hosts["a0"], emulation.hosts["a1"]
  for cut in (host, idle):
    assert cut.state.coordinator.serves
    cut.partitioned_from.update(
        n for n in emulation.hosts if not n.startswith("a")
    )
  emulation.clock.run_until(1.2)
  for number in range(3):
    emulation.submit("a0", fleets.job(f"j{number}", 2, 100), [0.1] * 2)
  emulation.clock.run_until(4.5)
  assert not host.state.coordinator.serves
  assert not idle.state.coordinator.serves
  request = emulation.submit("a0", fleets.job("last", 2, 100), [0.1] * 2)
  emulation.clock.run_until(4.6)
  assert emulation.answers[request].answer.outcome is model.Outcome.NOT_RUN
  assert emulation.answers[request].took_s < 0.01, "it is known already"
  for cut in (host, idle):
    cut.partitioned_from.clear()
  emulation.clock.run_until(7.0)
  assert host.state.coordinator.serves
  assert idle.state.coordinator.serves
