"""Tests endpoints behind paths that lose packets.

A call may then arrive after its timeout, and the retry may fail to connect.
"""

import pytest

from fescueturn.scheduler import model
from tests import fleets
from tests import test_kept_jobs as kept

# Three packets in ten are lost.
LOSS_RATE = 0.3
LOAD_S = 12
LOAD_PER_S = 50


def lose_packets(emulation, share: float, begin: float, end: float):
  """Makes the paths to a share of the endpoints lossy for a time (s)."""
  endpoints = list(emulation.endpoints.values())
  lossy = emulation.rng.sample(endpoints, int(share * len(endpoints)))

  def set_rate(rate: float):
    for endpoint in lossy:
      endpoint.packet_loss_rate = rate

  emulation.clock.at(begin, lambda: set_rate(LOSS_RATE))
  emulation.clock.at(end, lambda: set_rate(0.0))


def failed_retries(emulation) -> int:
  """Returns how many start requests were lost and then could not be resent."""
  lines = [e for host in emulation.hosts.values() for e in host.log]
  failed = [dict(e.fields) for e in lines if e.event == "start_failed"]
  return sum(f["result"] == "not_sent" and f["sends"] > 1 for f in failed)


@pytest.mark.parametrize("seed", range(6))
def test_lossy_paths_run_no_task_twice_and_overfill_no_endpoint(seed):
  emulation = fleets.fleet(seed=seed)
  requests = fleets.submit_load(
      emulation, list(emulation.hosts.values()), LOAD_S, LOAD_PER_S
  )
  lose_packets(emulation, 0.4, 3.0, 8.0)
  lose_packets(emulation, 0.3, 9.0, 12.0)
  emulation.clock.run_until(LOAD_S + 6)
  assert emulation.broken == []
  outcomes = fleets.count_outcomes(emulation, requests)
  assert outcomes[model.Outcome.DONE] > 0.6 * len(requests)
  assert failed_retries(emulation) > 0


@pytest.mark.parametrize(
    "loss_rate,packet_loss_rate,seed",
    ((0.0, 0.3, 5), (0.0, 0.45, 4), (0.0, 0.45, 11), (0.2, 0.2, 8)),
)
def test_kept_task_does_not_start_after_its_end_was_acknowledged(
    loss_rate, packet_loss_rate, seed
):
  emulation = fleets.fleet(seed=seed)
  for endpoint in emulation.endpoints.values():
    endpoint.loss_rate = loss_rate
    endpoint.packet_loss_rate = packet_loss_rate
  emulation.clock.run_until(3.0)
  hosts = list(emulation.hosts.values())
  kept.load(emulation, lambda: hosts, 6.0, 30)
  emulation.clock.run_until(16.0)
  assert emulation.broken == []
