"""The faults of a soak: a schedule drawn from the seed, and how each is made.

Faults of one kind come in series of their own, so that those of different
kinds overlap.
"""

import dataclasses
import random
import time

import curio

from tests.soak import cluster as cluster_lib
from tests.soak import proxy

HOSTS = tuple(range(4))
SLOTS = tuple(range(cluster_lib.SLOTS))
# Time for a host to come up before the first fault.
FIRST_S = 1.0


@dataclasses.dataclass(frozen=True)
class Fault:
  """One entry of a schedule.

  Attributes:
    at: when it begins (s after the start).
    kind: what happens; see `_KINDS`.
    hosts: the numbers of the hosts that it concerns.
    slots: the numbers of the endpoints that it concerns.
    for_s: how long it lasts (s).
    amount: a share, a delay or a number, by kind.
  """

  at: float
  kind: str
  hosts: tuple[int, ...] = ()
  slots: tuple[int, ...] = ()
  for_s: float = 0.0
  amount: float = 0.0

  @property
  def disturbs_reads(self) -> bool:
    """True if hosts may not read the store in time while it lasts."""
    return self.kind.startswith(("store", "pause", "kill", "terminate"))


def schedule(seed: int, length_s: float, lossy_only: bool) -> list[Fault]:
  """Returns the faults of a seed, in order of time."""
  rng = random.Random(f"{seed}/faults")
  if lossy_only:
    faults = _series(rng, length_s, 2.0, _draw_lossy)
  else:
    faults = [
        *_series(rng, length_s, 0.8, _draw_path_fault),
        *_series(rng, length_s, 2.5, _draw_host_fault),
        *_series(rng, length_s, 3.5, _draw_slot_fault),
        *_series(rng, length_s, 3.0, _draw_store_fault),
    ]
  return sorted(faults, key=lambda fault: fault.at)


def _series(rng, length_s: float, mean_s: float, draw) -> list[Fault]:
  faults, at = [], FIRST_S
  while (at := at + rng.expovariate(1 / mean_s)) < length_s:
    faults.append(draw(rng, round(at, 3)))
  return faults


def _some(rng, numbers) -> tuple[int, ...]:
  count = rng.choice((1, 1, 2, len(numbers)))
  return tuple(sorted(rng.sample(numbers, count)))


def _draw_lossy(rng, at) -> Fault:
  hosts, slots = rng.choice(
      ((HOSTS, _some(rng, SLOTS)), (_some(rng, HOSTS), SLOTS))
  )
  for_s, share = rng.uniform(1.0, 5.0), rng.uniform(0.1, 0.4)
  return Fault(at, "lossy", hosts, slots, for_s, share)


def _draw_path_fault(rng, at) -> Fault:
  if rng.random() < 0.4:
    return _draw_lossy(rng, at)
  kind = rng.choice(
      ("delay", "reset", "silence", "cut_up", "cut_down", "refuse", "hang")
  )
  where = rng.choice(("slots", "slots", "peers"))
  if where == "peers":
    kind = f"peers_{kind}"
  for_s = rng.choice((rng.uniform(0.1, 0.8), rng.uniform(0.8, 4.0)))
  amount = rng.uniform(0.01, 0.3)
  slots = _some(rng, SLOTS) if where == "slots" else ()
  return Fault(at, kind, _some(rng, HOSTS), slots, for_s, amount)


def _draw_host_fault(rng, at) -> Fault:
  kind = rng.choice(
      ("terminate", "kill", "pause", "terminate_kill", "pause_kill")
      + ("pause_terminate", "reload", "terminate", "kill")
  )
  host = (rng.choice(HOSTS),)
  if rng.random() < 0.07:
    host, kind = HOSTS, rng.choice(("kill", "terminate"))
  return Fault(at, kind, host, (), rng.uniform(0.2, 3.0), rng.uniform(0.0, 2.0))


def _draw_slot_fault(rng, at) -> Fault:
  kind = rng.choice(("drain", "drain", "crash", "late"))
  slots = (rng.choice(SLOTS),) if kind != "late" else _some(rng, SLOTS)
  for_s = rng.uniform(3.0, 6.0) if kind == "drain" else rng.uniform(0.2, 4.0)
  amount = rng.uniform(0.05, 0.3)
  if kind != "late":
    amount = float(rng.randrange(cluster_lib.MAX_CLOCK_MS))
  return Fault(at, kind, (), slots, for_s, amount)


def _draw_store_fault(rng, at) -> Fault:
  kind = rng.choice(
      ("config", "config", "config_old", "store_down", "store_delay")
      + ("store_cut_down", "store_late", "store_silence", "store_reset")
  )
  amount = rng.uniform(0.02, 0.6)
  if kind == "store_late":
    amount = rng.uniform(1.0, 4.0)
  return Fault(at, kind, _some(rng, HOSTS), (), rng.uniform(0.3, 3.0), amount)


def _path_fault(kind: str, amount: float) -> proxy.Fault | None:
  """Returns the fault of a path for a kind; None resets its connections."""
  name = kind.removeprefix("peers_").removeprefix("store_")
  return {
      "lossy": proxy.Fault(stall_share=amount, hang_share=amount),
      "delay": proxy.Fault(delay_up_s=amount, delay_down_s=amount),
      "silence": proxy.Fault(hold_up=True, hold_down=True, hang_share=1.0),
      "cut_up": proxy.Fault(hold_up=True, hang_share=1.0),
      "cut_down": proxy.Fault(hold_down=True),
      "refuse": proxy.Fault(refuse=True),
      "hang": proxy.Fault(hang_share=1.0),
      # Requests are carried out after their callers have given up.
      "late": proxy.Fault(delay_up_s=amount),
      "reset": None,
  }[name]


@dataclasses.dataclass(frozen=True)
class Drain:
  """An endpoint's report that it is draining.

  Attributes:
    endpoint: the endpoint's id.
    at: when it was in the store, in monotonic time (s).
  """

  endpoint: str
  at: float


class Injector:
  """Makes the faults of a schedule; `run` ends when all are over.

  Attributes:
    drains: the endpoints' reports.
    applied: the faults, each with its monotonic times of begin and end (s).
  """

  def __init__(self, cluster: cluster_lib.Cluster):
    self.drains: list[Drain] = []
    self.applied: list[tuple[Fault, float, float]] = []
    self._cluster = cluster
    self._busy_slots: set[int] = set()

  async def run(self, faults: list[Fault], on_fault=lambda fault: None):
    """Makes each fault at its time; they overlap."""
    began = time.monotonic()
    tasks = []
    try:
      for fault in faults:
        await curio.sleep(max(0.0, began + fault.at - time.monotonic()))
        on_fault(fault)
        tasks.append(await curio.spawn(self._apply, fault))
      for task in tasks:
        await task.join()
    finally:
      for task in tasks:
        await task.cancel()

  async def _apply(self, fault: Fault):
    begins = time.monotonic()
    if fault.kind in _KINDS:
      await _KINDS[fault.kind](self, fault)
    else:
      await self._fail_paths(fault)
    self.applied.append((fault, begins, time.monotonic()))

  def _paths(self, fault: Fault) -> list[proxy.Path]:
    names = [host.name for host in self._cluster.hosts]
    clients = {names[number] for number in fault.hosts}
    servers = {cluster_lib.slot_name(number) for number in fault.slots}
    if fault.kind.startswith("peers_"):
      # Both directions: the paths from and to these hosts.
      return [
          path
          for (client, server), path in self._cluster.paths.items()
          if server in names and (client in clients or server in clients)
      ]
    if fault.kind.startswith("store_"):
      servers = {cluster_lib.STORE}
    return [
        path
        for (client, server), path in self._cluster.paths.items()
        if client in clients and server in servers
    ]

  async def _fail_paths(self, fault: Fault):
    paths = self._paths(fault)
    path_fault = _path_fault(fault.kind, fault.amount)
    if path_fault is None:
      for path in paths:
        await path.reset()
      return
    for path in paths:
      await path.set_fault(fault, path_fault)
    await curio.sleep(fault.for_s)
    for path in paths:
      await path.set_fault(fault, None)

  async def _stop_host(self, fault: Fault):
    """Signals hosts in series, and starts them again after a while."""
    hosts = [self._cluster.hosts[number] for number in fault.hosts]
    for number, step in enumerate(fault.kind.split("_")):
      if number:
        await curio.sleep(fault.amount)
      for host in hosts:
        getattr(host, step)()
    lives = [host.life for host in hosts]
    if fault.kind.startswith("pause"):
      await curio.sleep(fault.for_s)
      for host in hosts:
        host.resume()
    if fault.kind == "pause":
      return
    for life in lives:
      while life.process.poll() is None:
        await curio.sleep(0.02)
    await curio.sleep(fault.for_s / 2)
    for host in hosts:
      host.start()

  async def _reload(self, fault: Fault):
    for number in fault.hosts:
      self._cluster.hosts[number].reload()

  async def _drain(self, fault: Fault):
    """Lets an endpoint drain, leave and come back with a new id."""
    (slot,) = fault.slots
    if slot in self._busy_slots:
      return
    self._busy_slots.add(slot)
    answer = await self._cluster.platform("drain", slot=slot)
    self.drains.append(Drain(answer["id"], answer["at"]))
    await curio.sleep(fault.for_s)
    await self._replace(slot, fault, 0.3)

  async def _crash(self, fault: Fault):
    """Crashes an endpoint; it comes back with a new id."""
    (slot,) = fault.slots
    if slot in self._busy_slots:
      return
    self._busy_slots.add(slot)
    await self._replace(slot, fault, fault.for_s)

  async def _replace(self, slot: int, fault: Fault, down_s: float):
    refusal = proxy.Fault(refuse=True)
    name = cluster_lib.slot_name(slot)
    paths = [p for p in self._cluster.paths.values() if p.name[1] == name]
    await self._cluster.platform("crash", slot=slot)
    for path in paths:
      await path.set_fault(fault, refusal)
      await path.reset()
    await curio.sleep(down_s)
    await self._cluster.platform("unlist", slot=slot)
    await self._cluster.platform("begin", slot=slot, clock_ms=int(fault.amount))
    for path in paths:
      await path.set_fault(fault, None)
    self._busy_slots.discard(slot)

  async def _answer_late(self, fault: Fault):
    for slot in fault.slots:
      await self._cluster.platform("late", slot=slot, share=fault.amount)
    await curio.sleep(fault.for_s)
    for slot in fault.slots:
      await self._cluster.platform("late", slot=slot, share=0.0)

  async def _configure(self, fault: Fault):
    del fault
    await self._cluster.configure(newer=True)

  async def _configure_old(self, fault: Fault):
    """Writes an older configuration, and soon a newer one again."""
    await self._cluster.configure(newer=False)
    await curio.sleep(fault.for_s)
    await self._cluster.configure(newer=True)

  async def _stop_store(self, fault: Fault):
    await self._cluster.platform("down", down=True)
    await curio.sleep(fault.for_s)
    await self._cluster.platform("down", down=False)


_KINDS = {
    "terminate": Injector._stop_host,
    "kill": Injector._stop_host,
    "pause": Injector._stop_host,
    "terminate_kill": Injector._stop_host,
    "pause_kill": Injector._stop_host,
    "pause_terminate": Injector._stop_host,
    "reload": Injector._reload,
    "drain": Injector._drain,
    "crash": Injector._crash,
    "late": Injector._answer_late,
    "config": Injector._configure,
    "config_old": Injector._configure_old,
    "store_down": Injector._stop_store,
}
