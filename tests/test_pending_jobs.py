"""Tests the number of a queue's kept jobs that have not started."""

import dataclasses

import pytest

from fescueturn.emulator import hosts as hosts_lib
from fescueturn.scheduler import coordinator
from fescueturn.scheduler import events
from fescueturn.scheduler import keptjobs
from tests import fleets
from tests import test_kept_jobs as kept

WAITING = 10
QUEUE = "q"


def submit_waiting_jobs(emulation):
  """Submits jobs that wait, as the endpoints of all data centres are busy."""
  for host in ("a0", "b0", "c0"):
    long_job = kept.job(f"long-{host}", 2, 9000)
    emulation.submit(host, long_job, [9.0] * 2, 30.0)
  emulation.clock.run_until(emulation.clock.now + 0.5)
  for number in range(WAITING):
    patient = dataclasses.replace(kept.job(f"k{number}", 1, 500), slo_ms=60_000)
    emulation.submit("a0", patient, [0.5], 30.0)
  emulation.clock.run_until(emulation.clock.now + 2.5)


def holder_of_most(emulation) -> hosts_lib.EmulatedHost:
  """Returns the holder that has most of the waiting jobs."""

  def waiting(host) -> int:
    (owner,) = host.state.owners.values()
    return dict(keptjobs.pending(owner)).get(QUEUE, 0)

  holders = [fleets.owner_of(emulation, name) for name in fleets.DATA_CENTRES]
  return max(holders, key=waiting)


def pending_elsewhere(emulation, data_centre: str, seconds: float) -> set[int]:
  """Returns what the hosts of other data centres say in that time."""
  told = set()
  for _ in range(int(seconds / 0.02)):
    emulation.clock.run_until(emulation.clock.now + 0.02)
    for host in emulation.hosts.values():
      if host.data_centre != data_centre:
        told.add(coordinator.pending(host.state.coordinator, QUEUE))
  return told


# Guards against an error of a holder that counts jobs that it hasn't read.
def test_holder_may_be_stopped_before_it_has_read_the_stored_jobs():
  emulation = fleets.fleet(endpoints=1)
  emulation.kept_load_delay_s = 2.0
  submit_waiting_jobs(emulation)
  first = holder_of_most(emulation)
  data_centre = first.data_centre
  first.apply(events.DrainStarted())
  emulation.clock.run_until(emulation.clock.now + 0.3)
  second = fleets.owner_of(emulation, data_centre)
  second.apply(events.DrainStarted())
  assert pending_elsewhere(emulation, data_centre, 4.0) == {WAITING}
  assert fleets.owner_of(emulation, data_centre) not in (first, second)


# Guards against a next holder that counts no waiting jobs before it has read
# them from the store.
@pytest.mark.parametrize("load_s", [0.02, 0.3, 1.0])
@pytest.mark.parametrize("how", ["stopped", "killed"])
def test_waiting_jobs_are_pending_all_the_time_around_a_change_of_holder(
    how, load_s
):
  emulation = fleets.fleet(endpoints=1)
  emulation.kept_load_delay_s = load_s
  submit_waiting_jobs(emulation)
  holder = holder_of_most(emulation)
  assert pending_elsewhere(emulation, holder.data_centre, 0.1) == {WAITING}
  if how == "stopped":
    holder.apply(events.DrainStarted())
  else:
    emulation.kill(holder.name)
  assert pending_elsewhere(emulation, holder.data_centre, 4.0) == {WAITING}
