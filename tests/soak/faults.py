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

# No fault begins sooner.
FIRST_S = 1.0
_PATH_KINDS = "delay reset silence cut_up cut_down refuse hang".split()
_HOST_KINDS = (
    "terminate terminate kill kill pause terminate_kill pause_kill"
    " pause_terminate reload"
).split()
_STORE_KINDS = (
    "store_down store_delay store_cut_down store_late store_silence store_reset"
    " config config config config_old"
).split()


_STORE_TROUBLES = "store_down store_delay store_cut_down store_silence".split()
PARTITION = "store_partition"
# Jobs a second with which a burst asks for about as much as all endpoints have.
FULL_JOBS_PER_S = 45
# Pauses that outlast the silence after which a holder counts as lost, not its lease.
_SHORT_PAUSE_S = (0.3, 0.8)
_LONG_PAUSE_S = (1.0, 3.0)
_PAUSE_GAP_S = (0.05, 0.6)


@dataclasses.dataclass(frozen=True)
class Fault:
  """One entry of a schedule, which begins `at` seconds after the start.

  It concerns the numbered hosts and endpoints; the amount is a share, a delay
  (s), a clock (ms) or a number of jobs, by kind.
  """

  at: float
  kind: str
  hosts: tuple[int, ...] = ()
  slots: tuple[int, ...] = ()
  for_s: float = 0.0
  amount: float = 0.0

  def disturbs_reads(self, site: cluster_lib.Site, slot: int) -> bool:
    """Returns whether hosts of an endpoint may not read the store in time."""
    near = any(site.are_near(host, slot) for host in self.hosts)
    disturbs = near and self.kind.startswith(("store", "pause"))
    return disturbs or self.kind == "store_down"


def schedule(
    seed: int,
    length_s: float,
    lossy_only: bool,
    partitions: bool = False,
    pauses: bool = False,
    size: int = 1,
) -> list[Fault]:
  site = cluster_lib.Site(size)
  draws = [(0.8, _path_fault), (2.5, _host_fault)]
  draws += [(3.5, _slot_fault), (3.0, _store_fault)]
  later = [(4.0, _burst)]
  if lossy_only:
    draws = [(2.0, _lossy)]
  elif partitions:
    draws = [(2.5, _partition), (6.0, _host_fault)]
  elif pauses:
    draws, later = [(3.0, _host_fault)], [(6.0, _restart)]
  else:
    later += [(3.0, _restart), (3.0, _leave), (5.0, _stops)]
  faults = _series(random.Random(f"{seed}/faults"), draws, site, length_s)
  # With numbers of their own, so that the kept seeds have their faults as well.
  faults += _series(random.Random(f"{seed}/hard load"), later, site, length_s)
  if pauses:
    faults += _pauses(random.Random(f"{seed}/pauses"), site, length_s)
  return sorted(faults, key=lambda fault: fault.at)


def _series(rng, draws, site, length_s: float) -> list[Fault]:
  faults = []
  for mean_s, draw in draws:
    at = FIRST_S
    while (at := at + rng.expovariate(1 / mean_s)) < length_s:
      faults.append(Fault(round(at, 3), *draw(rng, site)))
  return faults


def _pauses(rng, site, length_s: float) -> list[Fault]:
  """Pauses of several hosts in pairs and series, beside a lasting overload."""
  load_s = length_s - FIRST_S
  jobs = int(rng.uniform(1.5, 2.0) * site.size * FULL_JOBS_PER_S * load_s)
  faults = [Fault(FIRST_S, "burst", for_s=load_s, amount=jobs)]
  at = FIRST_S
  while (at := at + rng.expovariate(1 / 1.5)) < length_s:
    faults += _paused_group(rng, site, at)
  return faults


def _paused_group(rng, site, at: float) -> list[Fault]:
  hosts = rng.sample(site.hosts, rng.choice((2, 2, 3, len(site.hosts))))
  again = rng.random() < 0.3
  faults = []
  for host in hosts[:1] * 2 if again else hosts:
    bounds = _LONG_PAUSE_S if rng.random() < 0.1 else _SHORT_PAUSE_S
    for_s = rng.uniform(*bounds)
    faults.append(Fault(round(at, 3), "pause", (host,), (), for_s))
    at += rng.uniform(*_PAUSE_GAP_S) + (for_s if again else 0.0)
  return faults


def _some(rng, numbers) -> tuple[int, ...]:
  count = rng.choice((1, 1, 2, len(numbers)))
  return tuple(sorted(rng.sample(numbers, count)))


def _lossy(rng, site) -> tuple:
  some_hosts = rng.random() < 0.5
  hosts = _some(rng, site.hosts) if some_hosts else site.hosts
  slots = site.slots if some_hosts else _some(rng, site.slots)
  return "lossy", hosts, slots, rng.uniform(1.0, 5.0), rng.uniform(0.1, 0.4)


def _partition(rng, site) -> tuple:
  """A host and an endpoint of its data centre are cut off from all others."""
  host = rng.choice(site.hosts)
  near = [slot for slot in site.slots if site.are_near(host, slot)]
  return PARTITION, (host,), (rng.choice(near),), rng.uniform(1.0, 6.0)


def _path_fault(rng, site) -> tuple:
  if rng.random() < 0.4:
    return _lossy(rng, site)
  kind, slots = rng.choice(_PATH_KINDS), _some(rng, site.slots)
  if rng.random() < 0.33:
    kind, slots = f"peers_{kind}", ()
  for_s = rng.uniform(0.1, rng.choice((0.8, 4.0)))
  return kind, _some(rng, site.hosts), slots, for_s, rng.uniform(0.01, 0.3)


def _host_fault(rng, site) -> tuple:
  kind, hosts = rng.choice(_HOST_KINDS), (rng.choice(site.hosts),)
  if rng.random() < 0.07:
    hosts, kind = site.hosts, rng.choice(("kill", "terminate"))
  return kind, hosts, (), rng.uniform(0.2, 3.0), rng.uniform(0.0, 2.0)


def _slot_fault(rng, site) -> tuple:
  kind = rng.choice(("drain", "drain", "crash", "late"))
  for_s = rng.uniform(3.0, 6.0) if kind == "drain" else rng.uniform(0.2, 4.0)
  if kind == "late":
    return kind, (), _some(rng, site.slots), for_s, rng.uniform(0.05, 0.3)
  clock_ms = rng.randrange(cluster_lib.MAX_CLOCK_MS)
  return kind, (), (rng.choice(site.slots),), for_s, clock_ms


def _burst(rng, site) -> tuple:
  for_s = rng.uniform(0.5, 1.5)
  jobs = int(rng.uniform(2.0, 4.0) * site.size * FULL_JOBS_PER_S * for_s)
  return "burst", (), (), for_s, jobs


def _restart(rng, site) -> tuple:
  return "restart", (), (rng.choice(site.slots),), rng.uniform(0.05, 1.5)


def _leave(rng, site) -> tuple:
  """An endpoint leaves at or after the end of its notice (ms)."""
  for_s = rng.choice((0.0, rng.uniform(0.0, 2.0)))
  return "leave", (), (rng.choice(site.slots),), for_s, rng.randint(1700, 2000)


def _stops(rng, site) -> tuple:
  """Stops in series while the store is away, of a data centre or of all."""
  hosts, half = site.hosts, site.hosts_per_centre
  centre = rng.choice((hosts[:half], hosts[half:], hosts))
  hosts = tuple(rng.sample(centre, len(centre)))
  kind = f"stops_{rng.choice(_STORE_TROUBLES)}"
  return kind, hosts, (), rng.uniform(2.0, 7.0), rng.uniform(0.2, 0.6)


def _store_fault(rng, site) -> tuple:
  kind = rng.choice(_STORE_KINDS)
  late = kind == "store_late"
  amount = rng.uniform(1.0, 4.0) if late else rng.uniform(0.02, 0.6)
  return kind, _some(rng, site.hosts), (), rng.uniform(0.3, 3.0), amount


def _on_path(kind: str, amount: float) -> proxy.Fault | None:
  """Returns a kind's fault of a path; None resets its connections."""
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
  }[kind]


class Injector:
  """Makes the faults of a schedule, and notes their times and the drains.

  A burst is made by `burst`, from a number of jobs and a time (s).
  """

  def __init__(self, cluster: cluster_lib.Cluster, burst=None):
    self.drains: list[tuple[int, str, float]] = []
    self.applied: list[tuple[Fault, float, float]] = []
    self.site = cluster.site if cluster else cluster_lib.Site()
    self._cluster = cluster
    self._burst = burst
    self._busy_slots: set[int] = set()

  async def run(self, faults: list[Fault]):
    began = time.monotonic()
    tasks = []
    try:
      for fault in faults:
        await curio.sleep(max(0.0, began + fault.at - time.monotonic()))
        tasks.append(await curio.spawn(self._apply, fault))
      for task in tasks:
        await task.join()
    finally:
      for task in tasks:
        await task.cancel()

  async def _apply(self, fault: Fault):
    begins = time.monotonic()
    make = _MAKERS.get(fault.kind, Injector._fail_paths)
    if fault.kind.startswith("stops_"):
      make = Injector._stop_in_series
    try:
      await make(self, fault)
    finally:
      self.applied.append((fault, begins, time.monotonic()))

  async def _fail_paths(self, fault: Fault):
    names = [host.name for host in self._cluster.hosts]
    clients = {names[number] for number in fault.hosts}
    servers = {cluster_lib.slot_name(number) for number in fault.slots}
    paths = self._cluster.paths.values()
    if fault.kind.startswith("peers_"):
      # The paths from and to these hosts.
      kind = fault.kind.removeprefix("peers_")
      chosen = [
          p for p in paths if p.name[1] in names and clients & set(p.name)
      ]
    else:
      kind = fault.kind.removeprefix("store_")
      servers = {cluster_lib.STORE} if kind != fault.kind else servers
      chosen = [
          p for p in paths if p.name[0] in clients and p.name[1] in servers
      ]
    path_fault = _on_path(kind, fault.amount)
    if path_fault is None:
      for path in chosen:
        await path.reset()
      return
    for path in chosen:
      await path.set_fault(fault, path_fault)
    await curio.sleep(fault.for_s)
    for path in chosen:
      await path.set_fault(fault, None)

  async def _partition(self, fault: Fault):
    hosts = {self._cluster.hosts[number].name for number in fault.hosts}
    side = hosts | {cluster_lib.slot_name(number) for number in fault.slots}
    chosen = [
        path
        for path in self._cluster.paths.values()
        if len(side & set(path.name)) == 1
    ]
    for path in chosen:
      await path.set_fault(fault, _on_path("silence", 0.0))
    await curio.sleep(fault.for_s)
    for path in chosen:
      await path.set_fault(fault, None)

  async def _signal_hosts(self, fault: Fault):
    hosts = [self._cluster.hosts[number] for number in fault.hosts]
    for number, step in enumerate(fault.kind.split("_")):
      await curio.sleep(fault.amount if number else 0)
      for host in hosts:
        getattr(host, step)()
    lives = [host.life for host in hosts]
    if fault.kind.startswith("pause"):
      await curio.sleep(fault.for_s)
      for host in hosts:
        host.resume()
    if fault.kind in ("pause", "reload"):
      return
    while any(life.running for life in lives):
      await curio.sleep(0.02)
    await curio.sleep(fault.for_s / 2)
    for host in hosts:
      host.start()

  async def _stop_in_series(self, fault: Fault):
    trouble = dataclasses.replace(fault, kind=fault.kind.removeprefix("stops_"))
    store = await curio.spawn(self._apply, trouble)
    try:
      for host in fault.hosts:
        await self._signal_hosts(Fault(fault.at, "terminate", (host,)))
      await store.join()
    finally:
      await store.cancel()

  async def _submit_burst(self, fault: Fault):
    await self._burst(fault.amount, fault.for_s)

  async def _replace_endpoint(self, fault: Fault):
    """An endpoint drains, leaves, crashes or restarts, and comes back.

    It then has a new id, except after a restart.
    """
    (slot,) = fault.slots
    if slot in self._busy_slots:
      return
    self._busy_slots.add(slot)
    down_s, ends = fault.for_s, "crash"
    if fault.kind in ("drain", "leave"):
      notice = {}
      if fault.kind == "leave":
        notice, ends = {"remainingMs": fault.amount}, "gone"
      answer = await self._cluster.platform("drain", slot=slot, **notice)
      self.drains.append((slot, answer["id"], answer["at"]))
      await curio.sleep(fault.for_s + notice.get("remainingMs", 0) / 1000)
      down_s = 0.3
    name = cluster_lib.slot_name(slot)
    paths = [p for p in self._cluster.paths.values() if p.name[1] == name]
    await self._cluster.platform(ends, slot=slot)
    for path in paths:
      await path.set_fault(fault, proxy.Fault(refuse=True))
      await path.reset()
    await curio.sleep(down_s)
    if fault.kind == "restart":
      await self._cluster.platform("restart", slot=slot)
    else:
      clock_ms = fault.amount
      await self._cluster.platform("return", slot=slot, clock_ms=clock_ms)
    for path in paths:
      await path.set_fault(fault, None)
    self._busy_slots.discard(slot)

  async def _obey_late(self, fault: Fault):
    for share, for_s in ((fault.amount, fault.for_s), (0.0, 0.0)):
      for slot in fault.slots:
        await self._cluster.platform("late", slot=slot, share=share)
      await curio.sleep(for_s)

  async def _configure(self, fault: Fault):
    """Writes a newer configuration; sometimes an older one before it."""
    if fault.kind == "config_old":
      await self._cluster.configure(newer=False)
      await curio.sleep(fault.for_s)
    await self._cluster.configure(newer=True)

  async def _stop_store(self, fault: Fault):
    await self._cluster.platform("down", down=True)
    await curio.sleep(fault.for_s)
    await self._cluster.platform("down", down=False)


_MAKERS = {
    **dict.fromkeys(_HOST_KINDS, Injector._signal_hosts),
    "drain": Injector._replace_endpoint,
    "crash": Injector._replace_endpoint,
    "leave": Injector._replace_endpoint,
    "restart": Injector._replace_endpoint,
    "burst": Injector._submit_burst,
    "late": Injector._obey_late,
    "config": Injector._configure,
    "config_old": Injector._configure,
    "store_down": Injector._stop_store,
    PARTITION: Injector._partition,
}
