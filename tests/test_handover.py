"""Shards move to hosts with enough CPU without disturbing their callers."""

import pytest

from fescueturn.scheduler import events
from fescueturn.scheduler import model
from tests import fleets

LOW_CPU_CORES = 0.516
FULL_CPU_CORES = 2.15


def fleet_of_low_cpu_hosts():
  emulation = fleets.fleet_lib.Fleet(3)
  for number in range(10):
    emulation.add_host(f"a{number}", "a", LOW_CPU_CORES)
  for number in range(8):
    emulation.add_endpoint(f"e-a{number}", "a", 96000)
  emulation.clock.run_until(1.0)
  return emulation


def test_shard_moves_once_to_a_host_with_enough_cpu():
  emulation = fleet_of_low_cpu_hosts()
  low_cpu_hosts = list(emulation.hosts.values())
  requests = fleets.submit_load(emulation, low_cpu_hosts, 10.0, 20)
  emulation.clock.at(
      5.0, lambda: emulation.add_host("big", "a", FULL_CPU_CORES)
  )
  emulation.clock.run_until(7.0)
  assert fleets.owner_of(emulation, "a").name == "big"
  emulation.clock.run_until(14.0)
  assert fleets.owner_of(emulation, "a").name == "big"
  outcome_counts = fleets.count_outcomes(emulation, requests)
  assert outcome_counts.get(model.Outcome.DONE, 0) > 0.97 * len(requests)
  assert emulation.broken == []
  takeovers = [
      line
      for h in low_cpu_hosts
      for line in h.log
      if line.event == "shard_taken"
  ]
  assert len(takeovers) == 1, "the shard moved more than once"


def test_shard_is_not_handed_over_while_the_store_is_unavailable():
  """Without the store no other host could claim a released shard."""
  emulation = fleet_of_low_cpu_hosts()
  holder = fleets.owner_of(emulation, "a")
  emulation.clock.run_until(3.0)
  emulation.add_host("big", "a", FULL_CPU_CORES)
  emulation.clock.run_until(3.3)
  emulation.store_up = False
  emulation.clock.run_until(8.0)
  assert fleets.owner_of(emulation, "a") is holder


def test_shard_is_not_handed_over_to_a_draining_host():
  emulation = fleet_of_low_cpu_hosts()
  holder = fleets.owner_of(emulation, "a")
  big = emulation.add_host("big", "a", FULL_CPU_CORES)
  emulation.clock.run_until(2.0)
  big.apply(events.DrainStarted())
  emulation.clock.run_until(6.0)
  assert fleets.owner_of(emulation, "a") is holder


def test_free_shard_goes_to_a_host_with_enough_cpu():
  for seed in range(20):
    emulation = fleets.fleet_lib.Fleet(seed)
    for number in range(10):
      emulation.add_host(f"small-{seed}-{number}", "a", LOW_CPU_CORES)
    for number in range(2):
      emulation.add_host(f"big-{seed}-{number}", "a", FULL_CPU_CORES)
    emulation.clock.run_until(1.0)
    assert fleets.owner_of(emulation, "a").name.startswith("big")
    emulation.kill(fleets.owner_of(emulation, "a").name)
    emulation.clock.run_until(2.0)
    assert fleets.owner_of(emulation, "a").name.startswith("big")
    takeovers = [
        line
        for host in emulation.hosts.values()
        for line in host.log
        if line.event == "shard_taken"
    ]
    assert len(takeovers) == 2


def test_host_without_a_usable_holder_is_not_ready():
  """Covers hosts with and without callers.

  The load balancer fails over only when no host of the data centre is ready.
  """
  emulation = fleets.fleet()
  emulation.evacuate("a")
  host, idle = emulation.hosts["a0"], emulation.hosts["a1"]
  for isolated in (host, idle):
    assert isolated.state.coordinator.serves
    isolated.partitioned_from.update(
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
  assert (
      emulation.answers[request].took_s < 0.01
  ), "the job was not refused at once"
  for isolated in (host, idle):
    isolated.partitioned_from.clear()
  emulation.clock.run_until(7.0)
  assert host.state.coordinator.serves
  assert idle.state.coordinator.serves


def holderless_s(emulation, until: float) -> float:
  """Runs the fleet up to a time; returns how long a had no holder (s)."""
  step_s, without = 0.005, 0
  while emulation.clock.now < until:
    emulation.clock.run_until(emulation.clock.now + step_s)
    without += not any(h.state.owners for h in fleets.hosts_in(emulation, "a"))
  return without * step_s


def slow_store_fleet(seed: int = 3):
  """Returns a fleet whose holder wants to hand over, at a slow store."""
  emulation = fleets.fleet_lib.Fleet(seed)
  for number in range(10):
    emulation.add_host(f"a{number}", "a", LOW_CPU_CORES)
  for number in range(8):
    emulation.add_endpoint(f"e-a{number}", "a", 96000)
  emulation.clock.run_until(1.0)
  emulation.add_host("big", "a", FULL_CPU_CORES)
  emulation.clock.run_until(2.0)
  emulation.store_delay_s = 0.18
  return emulation


def test_shard_is_not_handed_over_while_the_store_is_slow():
  """A release that takes 0.36 s and more may leave nobody to claim in time."""
  emulation = slow_store_fleet()
  holder = fleets.owner_of(emulation, "a")
  assert holderless_s(emulation, 9.0) == 0.0
  assert fleets.owner_of(emulation, "a") is holder
  emulation.store_delay_s = 0.002
  emulation.clock.run_until(12.0)
  assert fleets.owner_of(emulation, "a").name == "big"


@pytest.mark.parametrize("after_s", [0.005, 0.1, 0.2, 0.4, 0.6, 0.8])
@pytest.mark.parametrize("slow_after_s", [0.0, 0.001])
def test_handover_that_a_slow_store_and_a_cut_interrupt_leaves_a_holder(
    after_s, slow_after_s
):
  """The store turns slow as the shard is released; then a is cut off."""
  emulation = fleet_of_low_cpu_hosts()
  emulation.add_host("big", "a", FULL_CPU_CORES)
  holder = fleets.owner_of(emulation, "a")
  candidate = holder.state.candidates[model.Shard("a")]
  while emulation.clock.now >= candidate.yield_until:
    emulation.clock.run_until(emulation.clock.now + 0.001)
    assert emulation.clock.now < 8.0
  emulation.clock.run_until(emulation.clock.now + slow_after_s)
  emulation.store_delay_s = 0.18
  without_s = holderless_s(emulation, emulation.clock.now + after_s)
  for host in emulation.hosts.values():
    host.partitioned_from.add("store")
  cut_at = emulation.clock.now
  without_s += holderless_s(emulation, cut_at + 5.0)
  assert without_s == 0.0
  request = emulation.submit("a0", fleets.job("j", 2, 100), [0.1] * 2)
  emulation.clock.run_until(cut_at + 6.0)
  assert emulation.answers[request].answer.outcome is model.Outcome.DONE
  for host in emulation.hosts.values():
    host.partitioned_from.clear()
  emulation.clock.run_until(cut_at + 15.0)
  assert emulation.broken == []


def test_handover_names_its_successor():
  """Without a name, hosts with little CPU race for the shard as well."""
  emulation = fleet_of_low_cpu_hosts()
  emulation.add_host("big", "a", FULL_CPU_CORES)
  emulation.clock.run_until(8.0)
  released = [
      dict(line.fields)
      for host in emulation.hosts.values()
      for line in host.log
      if line.event == "shard_released"
  ]
  assert [r["successor"] for r in released] == ["big"]
  assert fleets.owner_of(emulation, "a").name == "big"
