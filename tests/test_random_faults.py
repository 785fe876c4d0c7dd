"""Random faults in the emulated fleet: no task may run twice at the same time.

Each seed generates a load and a series of overlapping faults: holders that are
killed, frozen, partitioned or cut off from the store; claims that expire;
endpoints that are unlisted, join, become unreachable, change capacity, lose
calls or crash with a task; planned shutdowns.
"""

import random

import pytest

from fescueturn.scheduler import events
from fescueturn.scheduler import model
from tests import fleets
from tests import test_kept_jobs

LOAD_S = 16
LOAD_PER_S = 60
END_S = 24
# Range of a fault's duration (s): from below to well above any lease's.
SHORT_S, LONG_S = 0.3, 5.0


class Faults:
  """Generates faults from a seed and injects them into a fleet.

  A seed picks from the `fault_` methods in the order of their names, so a new
  name changes the faults of every seed.
  """

  def __init__(self, emulation, seed: int):
    self._fleet = emulation
    self._rng = random.Random(seed)
    self._names = list(emulation.endpoints)
    self._faults = [
        getattr(self, name) for name in dir(self) if name.startswith("fault_")
    ]

  def plan(self):
    """Schedules a series of faults on the fleet's clock."""
    for _ in range(self._rng.randint(4, 12)):
      fault = self._rng.choice(self._faults)
      self._fleet.clock.at(self._rng.uniform(1.5, LOAD_S - 1), fault)

  def _after_random_delay(self, action):
    self._fleet.clock.after(self._rng.uniform(SHORT_S, LONG_S), action)

  def _random_host(self):
    """Returns a holder with 80% probability, else any running host."""
    hosts = [h for h in self._fleet.hosts.values() if h.up]
    holders = [h for h in hosts if h.state.owners]
    prefer_holder = holders and self._rng.random() < 0.8
    return self._rng.choice(holders if prefer_holder else hosts)

  def _random_subset(self, names) -> set[str]:
    share = self._rng.choice((0.2, 0.9))
    return {name for name in names if self._rng.random() < share}

  def fault_kill(self):
    host = self._random_host()
    self._fleet.kill(host.name)
    self._after_random_delay(
        lambda: self._fleet.add_host(host.name, host.data_centre)
    )

  def fault_freeze(self):
    host = self._random_host()
    host.frozen = True
    self._after_random_delay(host.thaw)

  def fault_disconnect(self):
    host, names = self._random_host(), [*self._fleet.hosts, *self._names]
    cut = self._random_subset(names)
    host.partitioned_from.update(cut)
    self._after_random_delay(
        lambda: host.partitioned_from.difference_update(cut)
    )

  def fault_store_unreachable(self):
    host = self._random_host()
    host.partitioned_from.add("store")
    self._after_random_delay(lambda: host.partitioned_from.discard("store"))

  def fault_claim_expires(self):
    self._fleet.delete_claim(model.Shard(self._rng.choice(fleets.DATA_CENTRES)))

  def fault_entries_expire(self):
    expired = self._random_subset(self._names)
    self._fleet.unlisted |= expired
    self._after_random_delay(
        lambda: self._fleet.unlisted.difference_update(expired)
    )

  def fault_endpoint_joins(self):
    zone = self._rng.choice(fleets.DATA_CENTRES)
    self._fleet.add_endpoint(f"new-{self._rng.random()}", zone)

  def fault_endpoint_goes_silent(self):
    endpoint = self._fleet.endpoints[self._rng.choice(self._names)]
    endpoint.unreachable = True
    self._after_random_delay(lambda: setattr(endpoint, "unreachable", False))

  def fault_messages_are_lost(self):
    endpoints = list(self._fleet.endpoints.values())
    for endpoint in endpoints:
      endpoint.loss_rate = 0.2

    def restore():
      for endpoint in endpoints:
        endpoint.loss_rate = 0.0

    self._after_random_delay(restore)

  def fault_task_crashes_its_endpoints(self):
    emulation = self._fleet
    host = self._rng.choice([h for h in emulation.hosts.values() if h.up])
    name = f"crash{self._rng.random()}"
    crashing_job = test_kept_jobs.job(name, 2, 200)
    crash_after_s = self._rng.choice((0.001, 0.1))
    emulation.submit(host.name, crashing_job, [0.2] * 2, 5.0, crash_after_s)

  def fault_capacity_changes(self):
    endpoint = self._fleet.endpoints[self._rng.choice(self._names)]
    old_capacity = endpoint.info.capacity
    cpu = self._rng.choice((0, 27000, 40000, 150000))
    endpoint.resize(model.Resources(cpu, old_capacity.mem_mb, old_capacity.gpu))
    self._after_random_delay(lambda: endpoint.resize(old_capacity))

  def fault_planned_shutdown(self):
    host = self._random_host()
    host.apply(events.DrainStarted())
    self._after_random_delay(lambda: self._fleet.kill(host.name))


@pytest.mark.parametrize("seed", range(8))
def test_invariants_hold_and_most_jobs_complete(seed):
  emulation = fleets.fleet(seed=seed)
  requests = fleets.submit_load(
      emulation, list(emulation.hosts.values()), LOAD_S, LOAD_PER_S
  )
  Faults(emulation, seed).plan()
  emulation.clock.run_until(END_S)
  assert emulation.broken == []
  answered = [emulation.answers[r] for r in requests if r in emulation.answers]
  done = sum(a.answer.outcome is model.Outcome.DONE for a in answered)
  assert done > 0.6 * len(requests)


def test_emulated_lease_expires_at_any_millisecond():
  """Guards against a lease that never expires because of rounding.

  With the lease's end rounded down, the expiry check ran while the lease was
  still valid, and the lease never ended.
  """
  emulation = fleets.fleet()
  endpoint = emulation.add_endpoint("e", "a")
  for number in range(300):
    task = model.Task(f"j{number}", 0, 0)
    emulation.task_profiles[task] = fleets.fleet_lib.endpoint_lib.TaskProfile(
        fleets.NEED, 60.0, False
    )
    run = model.RunId(task, 1)
    deadline_ms = endpoint.clock_ms + 7 + number % 3
    endpoint.start(events.StartRun(endpoint.info, run, "", deadline_ms, 9999))
    emulation.clock.run_until(emulation.clock.now + 0.013)
    assert not endpoint.running
