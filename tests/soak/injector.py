"""Makes the faults of a soak."""

import dataclasses
import time

import curio

from tests.soak import cluster as cluster_lib
from tests.soak import faults as faults_lib
from tests.soak import proxy


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
    self.applied: list[tuple[faults_lib.Fault, float, float]] = []
    self.site = cluster.site if cluster else cluster_lib.Site()
    self._cluster = cluster
    self._burst = burst
    self._busy_slots: set[int] = set()

  async def run(self, faults: list[faults_lib.Fault]):
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

  async def _apply(self, fault: faults_lib.Fault):
    begins = time.monotonic()
    make = _MAKERS.get(fault.kind, Injector._fail_paths)
    if fault.kind.startswith("stops_"):
      make = Injector._stop_in_series
    try:
      await make(self, fault)
    finally:
      self.applied.append((fault, begins, time.monotonic()))

  async def _fail_paths(self, fault: faults_lib.Fault):
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
    if kind == "mute":
      await self._cluster.path_faults.silence(chosen, fault.amount)
      await curio.sleep(fault.for_s)
      return
    path_fault = _on_path(kind, fault.amount)
    if path_fault is None:
      await self._cluster.path_faults.reset(chosen)
      return
    await self._cluster.path_faults.set(chosen, fault, path_fault)
    await curio.sleep(fault.for_s)
    await self._cluster.path_faults.set(chosen, fault, None)

  async def _partition(self, fault: faults_lib.Fault):
    hosts = {self._cluster.hosts[number].name for number in fault.hosts}
    side = hosts | {cluster_lib.slot_name(number) for number in fault.slots}
    chosen = [
        path
        for path in self._cluster.paths.values()
        if len(side & set(path.name)) == 1
    ]
    await self._cluster.path_faults.set(chosen, fault, _on_path("silence", 0.0))
    await curio.sleep(fault.for_s)
    await self._cluster.path_faults.set(chosen, fault, None)

  async def _signal_hosts(self, fault: faults_lib.Fault):
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

  async def _stop_in_series(self, fault: faults_lib.Fault):
    trouble = dataclasses.replace(fault, kind=fault.kind.removeprefix("stops_"))
    store = await curio.spawn(self._apply, trouble)
    try:
      for host in fault.hosts:
        await self._signal_hosts(
            faults_lib.Fault(fault.at, "terminate", (host,))
        )
      await store.join()
    finally:
      await store.cancel()

  async def _upgrade_hosts(self, fault: faults_lib.Fault):
    for number in fault.hosts:
      self._cluster.hosts[number].upgrade()
      step = dataclasses.replace(fault, kind="terminate", hosts=(number,))
      await self._signal_hosts(step)

  async def _submit_burst(self, fault: faults_lib.Fault):
    await self._burst(fault.amount, fault.for_s)

  async def _replace_endpoint(self, fault: faults_lib.Fault):
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
    await self._cluster.path_faults.set(paths, fault, proxy.Fault(refuse=True))
    await self._cluster.path_faults.reset(paths)
    await curio.sleep(down_s)
    if fault.kind == "restart":
      await self._cluster.platform("restart", slot=slot)
    else:
      clock_ms = fault.amount
      await self._cluster.platform("return", slot=slot, clock_ms=clock_ms)
    await self._cluster.path_faults.set(paths, fault, None)
    self._busy_slots.discard(slot)

  async def _obey_late(self, fault: faults_lib.Fault):
    for share, for_s in ((fault.amount, fault.for_s), (0.0, 0.0)):
      for slot in fault.slots:
        await self._cluster.platform("late", slot=slot, share=share)
      await curio.sleep(for_s)

  async def _configure(self, fault: faults_lib.Fault):
    """Writes a newer configuration; sometimes an older one before it."""
    if fault.kind == "config_old":
      await self._cluster.configure(newer=False)
      await curio.sleep(fault.for_s)
    await self._cluster.configure(newer=True)

  async def _stop_store(self, fault: faults_lib.Fault):
    await self._cluster.platform("down", down=True)
    await curio.sleep(fault.for_s)
    await self._cluster.platform("down", down=False)


_MAKERS = {
    **dict.fromkeys(faults_lib.HOST_KINDS, Injector._signal_hosts),
    "drain": Injector._replace_endpoint,
    "crash": Injector._replace_endpoint,
    "leave": Injector._replace_endpoint,
    "restart": Injector._replace_endpoint,
    "burst": Injector._submit_burst,
    "late": Injector._obey_late,
    "config": Injector._configure,
    "config_old": Injector._configure,
    "store_down": Injector._stop_store,
    faults_lib.PARTITION: Injector._partition,
    faults_lib.UPGRADE: Injector._upgrade_hosts,
}
