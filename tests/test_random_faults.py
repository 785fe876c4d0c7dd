"""Random faults over the emulated fleet: no task has two runs at a time.

A seed draws the load and a series of faults that overlap: holders killed,
frozen, cut off or turned away by the store; claims that end; endpoints that
leave the list, join, go dark or lose orders; planned stops.
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
# Faults last from a moment to more than any lease.
SHORT_S, LONG_S = 0.3, 5.0


class Faults:
  """Draws faults from a seed and plays them on a fleet."""

  def __init__(self, made, seed: int):
    self._made = made
    self._rng = random.Random(seed)
    self._names = list(made.endpoints)
    self._kinds = [
        getattr(self, name) for name in dir(self) if name.startswith("fault_")
    ]

  def plan(self):
    """Puts a series of faults on the fleet's clock."""
    for _ in range(self._rng.randint(4, 12)):
      kind = self._rng.choice(self._kinds)
      self._made.clock.at(self._rng.uniform(1.5, LOAD_S - 1), kind)

  def _later(self, action):
    self._made.clock.after(self._rng.uniform(SHORT_S, LONG_S), action)

  def _host(self):
    """Returns a holder four times in five, else any host."""
    hosts = [h for h in self._made.hosts.values() if h.up]
    holders = [h for h in hosts if h.state.owners]
    likely = holders and self._rng.random() < 0.8
    return self._rng.choice(holders if likely else hosts)

  def _some(self, names) -> set[str]:
    share = self._rng.choice((0.2, 0.9))
    return {name for name in names if self._rng.random() < share}

  def fault_kill(self):
    host = self._host()
    self._made.kill(host.name)
    self._later(lambda: self._made.add_host(host.name, host.data_centre))

  def fault_freeze(self):
    host = self._host()
    host.frozen = True
    self._later(host.thaw)

  def fault_cut(self):
    host, names = self._host(), [*self._made.hosts, *self._names]
    cut = self._some(names)
    host.partitioned_from.update(cut)
    self._later(lambda: host.partitioned_from.difference_update(cut))

  def fault_store_turns_away(self):
    host = self._host()
    host.partitioned_from.add("store")
    self._later(lambda: host.partitioned_from.discard("store"))

  def fault_claim_ends(self):
    self._made.delete_claim(model.Shard(self._rng.choice(fleets.ZONES)))

  def fault_entries_lapse(self):
    lapsed = self._some(self._names)
    self._made.unlisted |= lapsed
    self._later(lambda: self._made.unlisted.difference_update(lapsed))

  def fault_endpoint_joins(self):
    zone = self._rng.choice(fleets.ZONES)
    self._made.add_endpoint(f"new-{self._rng.random()}", zone)

  def fault_endpoint_goes_dark(self):
    endpoint = self._made.endpoints[self._rng.choice(self._names)]
    endpoint.dark = True
    self._later(lambda: setattr(endpoint, "dark", False))

  def fault_orders_are_lost(self):
    endpoints = list(self._made.endpoints.values())
    for endpoint in endpoints:
      endpoint.loss_rate = 0.2

    def mend():
      for endpoint in endpoints:
        endpoint.loss_rate = 0.0

    self._later(mend)

  def fault_task_crashes_its_endpoints(self):
    made = self._made
    host = self._rng.choice([h for h in made.hosts.values() if h.up])
    name = f"crash{self._rng.random()}"
    wanted = test_kept_jobs.job(name, 2, 200)
    crash_after_s = self._rng.choice((0.001, 0.1))
    made.submit(host.name, wanted, [0.2] * 2, 5.0, crash_after_s)

  def fault_capacity_moves(self):
    endpoint = self._made.endpoints[self._rng.choice(self._names)]
    before = endpoint.info.capacity
    cpu = self._rng.choice((0, 27000, 40000, 150000))
    endpoint.resize(model.Resources(cpu, before.mem_mb, before.gpu))
    self._later(lambda: endpoint.resize(before))

  def fault_planned_stop(self):
    host = self._host()
    host.apply(events.DrainStarted())
    self._later(lambda: self._made.kill(host.name))


@pytest.mark.parametrize("seed", range(8))
def test_no_rule_is_broken_and_most_jobs_are_done(seed):
  made = fleets.fleet(seed=seed)
  requests = fleets.submit_load(
      made, list(made.hosts.values()), LOAD_S, LOAD_PER_S
  )
  Faults(made, seed).plan()
  made.clock.run_until(END_S)
  assert made.broken == []
  answered = [made.answers[r] for r in requests if r in made.answers]
  done = sum(a.answer.outcome is model.Outcome.DONE for a in answered)
  assert done > 0.6 * len(requests)


def test_lease_of_an_emulated_endpoint_ends_at_any_millisecond():
  """A lease whose end was rounded down never ended."""
  made = fleets.fleet()
  endpoint = made.add_endpoint("e", "a")
  for number in range(300):
    task = model.Task(f"j{number}", 0, 0)
    made.task_profiles[task] = fleets.fleet_lib.endpoint_lib.TaskProfile(
        fleets.NEED, 60.0, False
    )
    run = model.RunId(task, 1)
    deadline_ms = endpoint.clock_ms + 7 + number % 3
    endpoint.start(events.StartRun(endpoint.info, run, "", deadline_ms, 9999))
    made.clock.run_until(made.clock.now + 0.013)
    assert not endpoint.running
