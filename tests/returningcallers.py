"""Callers that send their jobs again, and faults drawn from a seed.

A caller whose connection breaks, whose job may have run or whose wait ends sends
the job again 1.3 s later, to any host: by then no run of its first submission may
be active.
"""

import random

from fescueturn.scheduler import events
from fescueturn.scheduler import model
from tests import fleets

RETURN_S = 1.3
POLL_S = 0.01
MAX_SUBMISSIONS = 5
# How long callers wait for an answer (s).
MIN_WAIT_S, MAX_WAIT_S = 1.0, 3.5
# After how long a link on a dead path is closed by its coordinator (s).
LINK_TIMEOUT_S = 0.6
# The longest time for which TCP holds back what it can't deliver (s).
MAX_STALL_S = 1.5
# Tasks and their time (ms).
KINDS = ((8, 60), (2, 200), (3, 900))


class Caller:
  """Submits one job, and again after each answer or loss that leaves it open."""

  def __init__(self, emulation, rng, job, run_s):
    self._fleet = emulation
    self._rng = rng
    self._job = job
    self._run_s = run_s
    self._host = None
    self._request = 0
    self._until = 0.0
    self._wait_s = rng.uniform(MIN_WAIT_S, MAX_WAIT_S)
    self._submissions = 0
    self.done = False

  def submit(self):
    """Submits the job to any host whose port is open, though it stand still."""
    emulation = self._fleet
    hosts = [h for h in emulation.hosts.values() if h.up]
    if not hosts:
      self._submit_after(RETURN_S)
      return
    self._submissions += 1
    self._host = self._rng.choice(hosts)
    self._request = emulation.submit(
        self._host.name, self._job, self._run_s, self._wait_s
    )
    self._until = emulation.clock.now + self._wait_s
    if self._rng.random() < 0.05:
      self._until -= self._rng.uniform(0.0, self._wait_s)
    self._poll(self._request)

  def _poll(self, request: int):
    if request != self._request:
      return
    answered = self._fleet.answers.get(request)
    outcome = answered.answer.outcome if answered else None
    is_lost = not self._host.up or self._fleet.clock.now > self._until
    if outcome is None and not is_lost:
      self._fleet.clock.after(POLL_S, lambda: self._poll(request))
    elif outcome is None or outcome is model.Outcome.UNKNOWN:
      self.lose_connection()
    else:
      self.done = outcome is model.Outcome.DONE
      self._request = 0
      if outcome is model.Outcome.NOT_RUN:
        self._submit_after(self._rng.choice((0.05, 1.0)))

  def is_waiting_at(self, host) -> bool:
    """Returns whether the caller waits for an answer of a host's process."""
    return bool(self._request) and self._host is host

  def lose_connection(self):
    """Closes the connection and sends the job again later."""
    request, self._request = self._request, 0
    if self._fleet.hosts[self._host.name] is self._host:
      self._fleet.disconnect_caller(self._host.name, request)
    self._submit_after(RETURN_S)

  def _submit_after(self, seconds: float):
    if self._submissions < MAX_SUBMISSIONS:
      self._fleet.clock.after(seconds, self.submit)


class Faults:
  """Draws faults from a seed and injects them into a fleet."""

  def __init__(self, emulation, seed: int, callers: list[Caller]):
    self._fleet = emulation
    self._rng = random.Random(seed)
    self._callers = callers
    self._faults = [
        getattr(self, name) for name in dir(self) if name.startswith("fault_")
    ]

  def plan(self, load_s: float):
    """Schedules a series of faults on the fleet's clock."""
    few = self._rng.sample(self._faults, self._rng.randint(2, 6))
    few += [self.fault_pair_stands_still, self.fault_killed_beside_still_holder]
    for _ in range(self._rng.randint(6, 20)):
      at = self._rng.uniform(1.5, load_s)
      self._fleet.clock.at(at, self._rng.choice(few))

  # Helpers.

  def _up(self):
    return [h for h in self._fleet.hosts.values() if h.up and not h.frozen]

  def _holder(self):
    hosts = self._up()
    holders = [h for h in hosts if h.state.owners]
    return self._rng.choice(holders or hosts) if hosts else None

  def _other(self):
    hosts = self._up()
    return self._rng.choice(hosts) if hosts else None

  def _after(self, low_s: float, high_s: float, action):
    self._fleet.clock.after(self._rng.uniform(low_s, high_s), action)

  def _stand_still(self, host, low_s=0.2, high_s=3.0):
    if host is None or not host.up or host.frozen:
      return
    host.frozen = True
    seconds = self._rng.uniform(low_s, high_s)
    suspended = self._rng.random() < 0.25

    def wake():
      if suspended:
        host.clock_lag_s += seconds
      host.thaw(self._rng if self._rng.random() < 0.7 else None)

    self._fleet.clock.after(seconds, wake)

  def _kill(self, host):
    if host is None or not host.up:
      return
    self._fleet.kill(host.name)
    self._after(
        0.3, 3.0, lambda: self._fleet.add_host(host.name, host.data_centre)
    )

  # Faults.

  def fault_pair_stands_still(self):
    self._stand_still(self._holder())
    self._after(0.05, 0.6, lambda: self._stand_still(self._other()))

  def fault_killed_beside_still_holder(self):
    self._stand_still(self._holder())
    self._after(0.0, 1.0, lambda: self._kill(self._other()))

  def fault_data_centre_stands_still(self):
    name = self._rng.choice(fleets.DATA_CENTRES)
    for host in fleets.hosts_in(self._fleet, name):
      self._after(0.0, 0.3, lambda host=host: self._stand_still(host))

  def fault_many_stand_still(self):
    for host in self._up():
      if self._rng.random() < 0.5:
        self._stand_still(host, 0.2, 1.0)

  def fault_connections_reset(self):
    host = self._other()
    if host is None:
      return
    for caller in self._callers:
      if caller.is_waiting_at(host):
        caller.lose_connection()
    for name in self._fleet.hosts:
      self._fleet.reset_link(host.name, name)
      self._fleet.reset_link(name, host.name)

  def fault_callers_reset(self):
    host = self._other()
    for caller in self._callers:
      if host is not None and caller.is_waiting_at(host):
        caller.lose_connection()

  def fault_link_stalls(self):
    host, holder = self._other(), self._holder()
    if host is None or holder is None or host is holder:
      return
    seconds = self._rng.uniform(0.1, MAX_STALL_S)
    self._fleet.stall_link(host.name, holder.name, seconds)
    if seconds > LINK_TIMEOUT_S:
      self._fleet.clock.after(
          LINK_TIMEOUT_S, lambda: self._lose_link(host, holder)
      )
    if self._rng.random() < 0.3:
      self._after(0.0, seconds, lambda: self._kill(host))

  def _lose_link(self, host, holder):
    for shard, record in list(host.state.coordinator.holders.items()):
      if record.holder.host == holder.name:
        host.apply(events.LinkLost(shard, record.process, refused=False))

  def fault_cut_one_way(self):
    host = self._holder()
    if host is None:
      return
    names = [*self._fleet.hosts, *self._fleet.endpoints]
    share = self._rng.choice((0.2, 0.9))
    cut = {name for name in names if self._rng.random() < share}
    host.deaf_to |= cut
    self._after(0.2, 4.0, lambda: host.deaf_to.difference_update(cut))

  def fault_cut(self):
    host = self._holder()
    if host is None:
      return
    names = [*self._fleet.hosts, *self._fleet.endpoints]
    share = self._rng.choice((0.2, 0.9))
    cut = {name for name in names if self._rng.random() < share}
    host.partitioned_from |= cut
    self._after(0.2, 4.0, lambda: host.partitioned_from.difference_update(cut))

  def fault_data_centre_cut(self):
    name = self._rng.choice(fleets.DATA_CENTRES)
    inside = fleets.hosts_in(self._fleet, name)
    outside = {h.name for h in self._fleet.hosts.values()}
    outside -= {h.name for h in inside}
    if self._rng.random() < 0.5:
      outside.add("store")
    for host in inside:
      host.partitioned_from |= outside

    def heal():
      for host in inside:
        host.partitioned_from -= outside

    self._after(0.3, 5.0, heal)

  def _set_for_a_while(self, target, attribute: str, value, usual):
    setattr(target, attribute, value)
    self._after(0.5, 4.0, lambda: setattr(target, attribute, usual))

  def _some_endpoints(self):
    endpoints = list(self._fleet.endpoints.values())
    return [e for e in endpoints if self._rng.random() < 0.4]

  def fault_paths_lose_packets(self):
    for endpoint in self._some_endpoints():
      self._set_for_a_while(endpoint, "packet_loss_rate", 0.3, 0.0)

  def fault_orders_are_late(self):
    for endpoint in self._some_endpoints():
      self._set_for_a_while(endpoint, "loss_rate", 0.3, 0.0)

  def fault_endpoints_silent(self):
    for endpoint in self._some_endpoints():
      self._set_for_a_while(endpoint, "unreachable", True, False)

  def fault_endpoints_restart(self):
    for endpoint in self._some_endpoints()[:4]:
      endpoint.restart(int(1000 * self._fleet.clock.now))

  def fault_store_down(self):
    self._set_for_a_while(self._fleet, "store_up", False, True)

  def fault_store_slow(self):
    self._set_for_a_while(self._fleet, "store_delay_s", 0.25, 0.002)

  def fault_claim_expires(self):
    self._fleet.delete_claim(model.Shard(self._rng.choice(fleets.DATA_CENTRES)))

  def fault_rolling_restart(self):
    host = self._holder()
    if host is not None:
      host.apply(events.DrainStarted())
      self._after(0.5, 2.0, lambda: self._kill(host))
