"""Callers that send their jobs again, while hosts lose connections and fail.

A caller whose connection breaks, or whose job may have run, sends the job again
1.3 s later to any host: by then no run of the first submission may be active.
"""

import random

import pytest

from fescueturn.scheduler import model
from tests import fleets
from tests import test_random_faults

RETURN_S = 1.3
POLL_S = 0.01
LOAD_S = 14
LOAD_PER_S = 40
END_S = 24
MAX_SUBMISSIONS = 4
# Longest time that a caller waits for an answer.
WAIT_S = 4.0


class Caller:
  """Submits one job, and again after each answer or loss that leaves it open."""

  def __init__(self, emulation, job, run_s):
    self._fleet = emulation
    self._job = job
    self._run_s = run_s
    self._host = None
    self._request = 0
    self._until = 0.0
    self._submissions = 0
    self.done = False

  def submit(self):
    """Submits the job to a host that is up."""
    emulation = self._fleet
    hosts = [h for h in emulation.hosts.values() if h.up and not h.frozen]
    if not hosts:
      emulation.clock.after(RETURN_S, self.submit)
      return
    self._submissions += 1
    self._host = emulation.rng.choice(hosts)
    self._request = emulation.submit(
        self._host.name, self._job, self._run_s, WAIT_S
    )
    self._until = emulation.clock.now + WAIT_S
    self._poll(self._request)

  def _poll(self, request: int):
    if request != self._request:
      return
    answered = self._fleet.answers.get(request)
    outcome = answered.answer.outcome if answered else None
    lost = not self._host.up or self._fleet.clock.now > self._until
    if outcome is None and not lost:
      self._fleet.clock.after(POLL_S, lambda: self._poll(request))
    elif outcome is None or outcome is model.Outcome.UNKNOWN:
      self.lose_connection()
    else:
      self.done = outcome is model.Outcome.DONE
      self._request = 0

  def is_waiting_at(self, host) -> bool:
    """Returns whether the caller waits for an answer of a host's process."""
    return bool(self._request) and self._host is host

  def lose_connection(self):
    """Closes the connection and sends the job again later."""
    request, self._request = self._request, 0
    if self._fleet.hosts[self._host.name] is self._host:
      self._fleet.disconnect_caller(self._host.name, request)
    if self._submissions < MAX_SUBMISSIONS:
      self._fleet.clock.after(RETURN_S, self.submit)


class Faults(test_random_faults.Faults):
  """Also breaks the connections of hosts that go on."""

  def __init__(self, emulation, seed: int, callers: list[Caller]):
    super().__init__(emulation, seed)
    self._callers = callers

  def break_connections(self):
    """Breaks all connections of a host: those of its callers and its links."""
    host = self._rng.choice([h for h in self._fleet.hosts.values() if h.up])
    for caller in self._callers:
      if caller.is_waiting_at(host):
        caller.lose_connection()
    for name in self._fleet.hosts:
      self._fleet.reset_link(host.name, name)
      self._fleet.reset_link(name, host.name)


def submit_jobs(emulation, callers: list[Caller]):
  """Submits jobs of the users' mix, some of them with runs of a second."""
  for number in range(LOAD_S * LOAD_PER_S):
    tasks, run_ms = emulation.rng.choice(((8, 60), (2, 200), (3, 900)))
    run_s = [run_ms / 1000 * emulation.rng.uniform(0.7, 1.4)] * tasks
    job = fleets.job(f"j{number}", tasks, run_ms, 600)
    caller = Caller(emulation, job, run_s)
    callers.append(caller)
    emulation.clock.at(1.0 + number / LOAD_PER_S, caller.submit)


@pytest.mark.parametrize("seed", [0, 1, 2, 3, 11, 14])
def test_callers_that_return_run_no_task_twice(seed):
  emulation = fleets.fleet(seed=seed)
  callers: list[Caller] = []
  submit_jobs(emulation, callers)
  faults = Faults(emulation, seed, callers)
  faults.plan()
  rng = random.Random(seed)
  for _ in range(30):
    emulation.clock.at(rng.uniform(1.5, LOAD_S), faults.break_connections)
  emulation.clock.run_until(END_S)
  assert emulation.broken == []
  assert sum(c.done for c in callers) > 0.6 * len(callers)
