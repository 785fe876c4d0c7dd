"""A holder that is suspended for a moment, beside a coordinator that dies.

Its caller sends the job again 1.3 s after the coordinator's death. By then no run
of the first submission may be active, though no stop reaches the runs.
"""

import pytest

from fescueturn.scheduler import events
from tests import fleets

RETURN_S = 1.3
RUN_S = 3.0
# The coordinator dies this long before the holder is suspended, so that the
# holder has read all its messages.
DEAD_BEFORE_S = 0.03


def suspend(emulation, host, seconds: float, clock_counts: bool):
  """Suspends a host now; endpoints' answers are what it reads first after it."""
  host.frozen = True

  def wake():
    if not clock_counts:
      host.clock_lag_s += seconds
    host._deferred.sort(key=lambda e: not isinstance(e, events.LeaseAnswered))
    host.thaw()

  emulation.clock.after(seconds, wake)


def play(suspended_s: float, start_s: float, clock_counts: bool):
  """Returns the invariants that were broken.

  Args:
    suspended_s: how long the holder is suspended (s).
    start_s: when the job is submitted (s).
    clock_counts: whether the holder's clock counts the suspension.
  """
  emulation = fleets.fleet(hosts=2)
  emulation.clock.run_until(start_s)
  owner = fleets.owner_of(emulation, "a")
  coordinator = fleets.other_host(emulation, owner)
  job = fleets.job("long", 2, int(1000 * RUN_S))
  emulation.submit(coordinator.name, job, [RUN_S] * 2, 6.0)
  emulation.clock.run_until(start_s + 0.2)
  for endpoint in emulation.endpoints.values():
    if endpoint.running:
      endpoint.order_delay_s = 5.0
  dies_at = start_s + 0.5 - DEAD_BEFORE_S
  emulation.clock.at(dies_at, lambda: emulation.kill(coordinator.name))
  emulation.clock.at(
      dies_at + RETURN_S, lambda: emulation.submit("b0", job, [RUN_S] * 2, 6.0)
  )
  emulation.clock.run_until(start_s + 0.5)
  suspend(emulation, owner, suspended_s, clock_counts)
  emulation.clock.run_until(dies_at + RETURN_S + 1.0)
  return emulation.broken


@pytest.mark.parametrize("start_s", [3.0, 3.4, 3.5])
@pytest.mark.parametrize(
    "suspended_s", [0.05, 0.17, 0.19, 0.22, 0.3, 0.5, 0.8, 1.2, 3.0]
)
def test_suspended_holder_whose_clock_counts_serves_no_dead_coordinator(
    suspended_s, start_s
):
  assert play(suspended_s, start_s, clock_counts=True) == []


def test_clock_that_stands_still_makes_a_dead_coordinator_seem_alive():
  """Shows that the play above is one that can break."""
  assert play(0.19, 3.4, clock_counts=False)
  assert play(0.5, 3.4, clock_counts=False)
