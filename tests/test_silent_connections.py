"""Connections that go silent, quotas of processor time, requests read late.

Callers send their jobs again, beside faults of all other kinds; the endpoints
have room for half of the load, for all of it or for twice as much.
"""

import dataclasses
import random

import pytest

from fescueturn.emulator import hosts as hosts_lib
from fescueturn.emulator import silence
from fescueturn.scheduler import model
from tests import fleets
from tests import returningcallers
from tests import test_kept_jobs

LOAD_S = 5.0
END_S = 8.5
# Tasks and their time (ms). The longest outlive the leases of lost holders, and
# those of callers that return.
KINDS = ((8, 60), (3, 900), (2, 1800), (2, 1800))
# The most idle connections to an endpoint or to the store.
MAX_IDLE = 5


class Faults(returningcallers.Faults):
  """Adds the faults that leave no trace at the other side."""

  def plan(self, load_s: float):
    """Schedules a series of faults on the fleet's clock."""
    newer = [getattr(self, name) for name in dir(Faults) if "_newer_" in name]
    few = self._rng.sample(self._faults, self._rng.randint(1, 5))
    few += self._rng.sample(newer, 3)
    few += [self.fault_newer_silent_host_loses_callers]
    few += [self.fault_newer_silent_host_is_killed]
    for _ in range(self._rng.randint(12, 36)):
      at = self._rng.uniform(1.5, load_s)
      self._fleet.clock.at(at, self._rng.choice(few))

  def _draw_loss(self) -> silence.Loss:
    if self._rng.random() < 0.5:
      return silence.BOTH_WAYS
    requests = self._rng.random() < 0.5
    return silence.Loss(requests, not requests)

  def _silence_links(self, host, share: float):
    for other in self._fleet.hosts:
      for pair in ((host.name, other), (other, host.name)):
        if self._rng.random() < share:
          self._fleet.silence_link(*pair, self._draw_loss())

  def _silence_calls(self, host, share: float):
    for endpoint in self._fleet.endpoints:
      if self._rng.random() < share:
        idle = self._rng.randint(0, MAX_IDLE)
        loss = self._draw_loss()
        self._fleet.silence_calls(host.name, endpoint, idle, loss)

  def _silence_store(self, host):
    idle = self._rng.randint(0, MAX_IDLE)
    watch_s = self._rng.uniform(0.5, silence.KEEPALIVE_S)
    self._fleet.silence_store(host.name, idle, watch_s, self._draw_loss())

  def fault_newer_links_silent(self):
    host = self._other()
    if host is not None:
      self._silence_links(host, self._rng.choice((0.3, 1.0)))

  def fault_newer_calls_silent(self):
    host = self._holder()
    if host is not None:
      self._silence_calls(host, self._rng.choice((0.3, 1.0)))

  def fault_newer_store_silent(self):
    host = self._holder()
    if host is not None:
      self._silence_store(host)

  def fault_newer_all_silent(self):
    for host in list(self._fleet.hosts.values()):
      self._silence_links(host, 0.5)
      self._silence_calls(host, 0.8)
      self._silence_store(host)

  def fault_newer_silent_host_is_killed(self):
    host = self._other()
    if host is not None:
      self._silence_links(host, 1.0)
      self._silence_calls(host, 1.0)
      self._after(0.0, 1.0, lambda: self._kill(host))

  def fault_newer_silent_host_loses_callers(self):
    host = self._other()
    if host is None:
      return
    self._silence_links(host, 1.0)
    self._silence_calls(host, 1.0)

    def lose_callers():
      for caller in self._callers:
        if caller.is_waiting_at(host) and self._rng.random() < 0.7:
          caller.lose_connection()

    self._after(0.0, 0.8, lose_callers)

  def fault_newer_silent_beside_stand_still(self):
    host, other = self._holder(), self._other()
    if host is not None:
      self._silence_links(host, 1.0)
      self._after(0.0, 0.5, lambda: self._stand_still(other))

  def fault_newer_suspended(self):
    host = self._holder()
    if host is None:
      return
    host.frozen = True
    seconds = self._rng.uniform(0.05, 3.0)

    def wake():
      host.clock_lag_s += seconds
      host.thaw(self._rng)

    self._fleet.clock.after(seconds, wake)

  def fault_newer_quotas(self):
    for host in list(self._fleet.hosts.values()):
      if self._rng.random() < 0.7:
        runs_s = self._rng.choice((0.004, 0.01, 0.03, 0.06))
        phase_s = self._rng.uniform(0.0, hosts_lib.QUOTA_PERIOD_S)
        quota = hosts_lib.Quota(runs_s, phase_s)
        self._set_for_a_while(host, "quota", quota, None)

  def fault_newer_requests_read_late(self):
    host = self._other()
    if host is not None:
      lag_s = self._rng.uniform(0.05, 1.5)
      self._set_for_a_while(host, "request_lag_s", lag_s, 0.0)


def play(seed: int):
  """Plays a load of returning callers and kept jobs with faults.

  Returns:
    The fleet and the callers.
  """
  rng = random.Random(seed)
  per_s = rng.choice((20.0, 45.0, 85.0))
  emulation = fleets.fleet(hosts=rng.choice((2, 3)), seed=seed)
  for endpoint in emulation.endpoints.values():
    # One that doesn't tell when it started can't be known to have restarted.
    endpoint.info = dataclasses.replace(endpoint.info, born_ms=1)
  if rng.random() < 0.3:
    for endpoint in emulation.endpoints.values():
      endpoint.clock_rate = rng.choice((0.98, 1.0, 1.02))
  callers: list[returningcallers.Caller] = []
  for number in range(int(LOAD_S * per_s)):
    tasks, run_ms = rng.choice(KINDS)
    run_s = [run_ms / 1000 * rng.uniform(0.7, 1.4)] * tasks
    job = fleets.job(f"j{number}", tasks, run_ms, rng.choice((60, 600, 2000)))
    caller = returningcallers.Caller(emulation, rng, job, run_s)
    callers.append(caller)
    emulation.clock.at(1.0 + number / per_s, caller.submit)
  if rng.random() < 0.5:
    hosts = test_kept_jobs.all_hosts(emulation)
    test_kept_jobs.load(emulation, hosts, LOAD_S, 12)
  Faults(emulation, seed, callers).plan(LOAD_S)
  emulation.clock.run_until(END_S)
  return emulation, callers


# 11 and 39 break the rule if coordinators are missed only after 1.0 s.
@pytest.mark.parametrize("seed", [0, 11, 39, 1003])
def test_no_task_runs_twice_while_open_connections_are_silent(seed):
  emulation, callers = play(seed)
  assert emulation.broken == []
  assert any(caller.done for caller in callers)


def submit_from_afar(emulation, run_s: float) -> tuple[str, str, int]:
  """Submits a job to a host that isn't the holder; returns both and it."""
  holder = fleets.owner_of(emulation, "a")
  coordinator = fleets.other_host(emulation, holder)
  job = fleets.job("j", 1, int(run_s * 1000))
  request = emulation.submit(coordinator.name, job, [run_s], 3.0)
  return coordinator.name, holder.name, request


@pytest.mark.parametrize(
    "loss", [silence.BOTH_WAYS, silence.Loss(answers=False)]
)
def test_silent_link_is_replaced_after_its_job_was_given_up(loss):
  """The holder waits for 0.35 s, and the link's time-out is 0.6 s."""
  emulation = fleets.fleet()
  coordinator, holder, request = submit_from_afar(emulation, 0.9)
  emulation.clock.run_until(1.1)
  emulation.silence_link(coordinator, holder, loss)
  emulation.clock.run_until(1.65)
  assert any(
      e.event == "coordinator_silent" for e in emulation.hosts[holder].log
  )
  emulation.clock.run_until(2.8)
  holders = emulation.hosts[coordinator].state.coordinator.holders
  record = holders[model.Shard("a")]
  assert not record.lost and emulation.clock.now - record.last_contact_at < 0.2
  emulation.clock.run_until(4.0)
  assert request in emulation.answers and emulation.broken == []


def test_calls_are_lost_until_all_idle_silent_connections_are_used_up():
  emulation = fleets.fleet()
  _, holder, _ = submit_from_afar(emulation, 1.5)
  emulation.clock.run_until(1.1)
  (running,) = [n for n, e in emulation.endpoints.items() if e.running]
  emulation.silence_calls(holder, running, 2, silence.BOTH_WAYS)
  emulation.clock.run_until(3.5)
  (owner,) = emulation.hosts[holder].state.owners.values()
  lines = emulation.hosts[holder].log
  silent = [e for e in lines if e.event == "endpoint_silent"]
  assert len(silent) == 1 and owner.endpoints[running].silent_since is None


def test_request_that_is_read_after_its_caller_left_is_not_run():
  emulation = fleets.fleet()
  emulation.hosts["a0"].request_lag_s = 0.3
  job = fleets.job("j", 1, 900)
  request = emulation.submit("a0", job, [0.9], 3.0)
  emulation.clock.run_until(1.2)
  emulation.disconnect_caller("a0", request)
  emulation.clock.run_until(2.0)
  assert not any(e.starts for e in emulation.endpoints.values())


def test_host_with_a_quota_acts_only_while_it_lasts():
  emulation = fleets.fleet()
  holder = fleets.owner_of(emulation, "a")
  holder.quota = hosts_lib.Quota(0.01)
  acted_at = []
  apply = holder._carry_out

  def record(event):
    acted_at.append(emulation.clock.now % hosts_lib.QUOTA_PERIOD_S)
    apply(event)

  holder._carry_out = record
  emulation.clock.run_until(2.0)
  assert len(acted_at) > 20 and max(acted_at) < 0.01
