"""The stand-in of the users' platform for the soak, as a process of its own.

Run as ``python3 -m tests.soak.platform SETTINGS``. Each host has an address of
its own for the store, which shows it the addresses of the proxies on its paths
in place of the endpoints' and of the other hosts' addresses. ``/soak/...`` on
the control address changes the store and the endpoints, and reports what the
endpoints saw.
"""

import dataclasses
import functools
import json
import pathlib
import random
import sys
import time

import curio

from fescueturn import httpio
from fescueturn import kvtypes
from fescueturn import settings
from fescueturn.emulator import endpoint as endpoint_lib
from fescueturn.platform import claims
from fescueturn.platform import endpoints as platform_endpoints
from fescueturn.platform import wireserver
from fescueturn.scheduler import model
from fescueturn.standins import kvstore
from tests import fakeplatform

CAPACITY = model.Resources(64000, 131072, 0)
MEMORY_MB = 64
# An endpoint with more than this in use has no room for another large task.
FULL_CPU = CAPACITY.cpu - 27000
_PROXIED_PREFIXES = (platform_endpoints.PREFIX, claims.PREFIX)
_ORDERS = ("/-/run-start", "/-/run-stop")


class View:
  """The store as one host sees it, with the addresses of its proxies."""

  def __init__(self, store: kvstore.KvStore, addresses: dict[str, str]):
    self._store = store
    self._addresses = addresses

  def __getattr__(self, name):
    return getattr(self._store, name)

  def _show(self, item: kvtypes.Item | None) -> kvtypes.Item | None:
    if not item or not item.value or not item.key.startswith(_PROXIED_PREFIXES):
      return item
    value = item.value
    for address, proxy in self._addresses.items():
      value = value.replace(f'"{address}"'.encode(), f'"{proxy}"'.encode())
    return dataclasses.replace(item, value=value)

  def get(self, key):
    return self._show(self._store.get(key))

  def range(self, prefix):
    return [self._show(item) for item in self._store.range(prefix)]

  def changes(self, prefix, after):
    changed = self._store.changes(prefix, after)
    return changed and [self._show(item) for item in changed]


class _Wire(wireserver.WireServer):
  """One host's store calls; a change wakes the watches of all hosts."""

  def __init__(self, view: View, group: list):
    super().__init__(view, time.monotonic)
    self._group = group
    group.append(self)

  async def notify_watches(self):
    for wire in self._group:
      await wireserver.WireServer.notify_watches(wire)


class _Observed(endpoint_lib.EmulatedEndpoint):
  """An endpoint that records its starts and the acknowledgements of ends.

  A row is a time, task, attempt and id; whether it is full, or end and fence.
  """

  def __init__(self, platform, *args):
    super().__init__(*args)
    self._platform = platform

  def _row(self, run: model.RunId, *more) -> tuple:
    name = platform_endpoints.format_task_name(run.task)
    return (time.monotonic(), name, run.attempt, self.info.id, *more)

  def start(self, order):
    known = len(self.starts)
    result = super().start(order)
    if len(self.starts) > known:
      full = sum(run.need.cpu for run in self._runs.values()) > FULL_CPU
      self._platform.starts.append(self._row(order.run, full))
    return result

  def _acknowledge_results(self, last_seen):
    for unheard in self._unheard:
      ended = unheard.ended
      if ended.number <= last_seen:
        row = self._row(ended.run, ended.how.value, self._fence)
        self._platform.acknowledged.append(row)
    super()._acknowledge_results(last_seen)


class Slot:
  """The address of an endpoint, with one incarnation after the other."""

  def __init__(self, platform, number: int, raw: dict):
    self._platform = platform
    self._number = number
    self._address = settings.parse_address(raw["address"])
    self._listens = raw["listens"]
    self._data_centre = raw["data_centre"]
    self._incarnations = 0
    self.late_share = 0.0
    self.begin(raw["clock_ms"])

  async def start(self):
    for host, address in self._listens.items():
      await _serve(address, functools.partial(self._handle, host))

  def begin(self, clock_ms: int):
    self._incarnations += 1
    platform = self._platform
    info = model.Endpoint(
        f"i-{self._number}-{self._incarnations}",
        self._address,
        fakeplatform.SERVICE,
        self._data_centre,
        fakeplatform.SLOTS,
        False,
        CAPACITY,
        born_ms=_unix_ms(),
    )
    self.endpoint = _Observed(
        platform,
        info,
        platform.clock,
        functools.partial(_task_profile, platform.specs),
        platform.violations,
        platform.running_on,
        platform.acknowledged_done,
        clock_ms,
    )
    self._fake = fakeplatform.FakeEndpoint(self.endpoint, platform.specs)
    self.list("ready")

  @property
  def key(self) -> str:
    return platform_endpoints.PREFIX + self.endpoint.info.id

  def restart(self):
    """Begins an incarnation with the same id; its clock starts at 0."""
    self.endpoint.restart(_unix_ms(), -int(time.monotonic() * 1000))
    self.list("ready")

  def list(self, state: str, **more):
    entry = fakeplatform.entry(self.endpoint.info, state)
    entry["born"] = self.endpoint.info.born_ms
    entry["clockMs"] = self.endpoint.clock_ms
    entry.update(more)
    self._platform.store.put(self.key, json.dumps(entry).encode())

  async def _handle(
      self, host: str, request: httpio.Request
  ) -> httpio.Response:
    rng, endpoint = self._platform.rng, self.endpoint
    born_ms = endpoint.info.born_ms
    self._check_token(host, request.json()["fencingToken"])
    if request.target in _ORDERS and rng.random() < self.late_share:
      await curio.sleep(rng.uniform(0.1, 3.0))
    # What an incarnation has received ends with it.
    if endpoint.unreachable or endpoint.info.born_ms != born_ms:
      raise ConnectionResetError("the endpoint is dead")
    response = await self._fake.handle(request)
    if endpoint.info.born_ms != born_ms:
      raise ConnectionResetError("the endpoint was restarted")
    if not response.body:
      return response
    body = {**response.json(), "born": born_ms}
    return httpio.json_response(response.status, body)

  def _check_token(self, host: str, fence: int):
    platform = self._platform
    holder = platform.holders.setdefault((self._number, fence), host)
    if holder != host:
      platform.violations.append(
          f"{time.monotonic():.3f} {self.endpoint.info.id}: {holder} and"
          f" {host} order with fencing token {fence}"
      )


def _unix_ms() -> int:
  return int(time.time() * 1000)


def _task_profile(specs, task) -> endpoint_lib.TaskProfile:
  spec = specs[task]
  need = model.Resources(spec["cpu"], MEMORY_MB, 0)
  return endpoint_lib.TaskProfile(
      need, spec["run_s"], spec["fails"], no_rerun=spec["kept"]
  )


class Platform:
  """The store, its views and the endpoints."""

  def __init__(self, raw: dict):
    self._raw = raw
    self.rng = random.Random(f"{raw['seed']}/platform")
    self.clock = fakeplatform.RealClock()
    self.store = kvstore.KvStore()
    self.specs, self.running_on, self.acknowledged_done = {}, {}, set()
    self.violations: list[str] = []
    self.starts: list[tuple] = []
    # Which host gave an endpoint orders, by slot and fencing token.
    self.holders: dict[tuple[int, int], str] = {}
    self.acknowledged: list[tuple] = []
    self._wires: list[_Wire] = []
    self._slots: list[Slot] = []

  async def run(self):
    for view in self._raw["views"]:
      wire = _Wire(View(self.store, view["addresses"]), self._wires)
      await _serve(view["listen"], wire.handle)
    for number, raw in enumerate(self._raw["endpoints"]):
      self._slots.append(Slot(self, number, raw))
      await self._slots[-1].start()
    await _serve(self._raw["control"], self._control)
    await curio.spawn(self.clock.run, daemon=True)
    while True:
      await curio.sleep(0.05)
      if self.store.expire(time.monotonic()):
        await self._wires[0].notify_watches()

  async def _control(self, request: httpio.Request) -> httpio.Response:
    name = request.target.removeprefix("/soak/")
    answer = getattr(self, f"_on_{name}")(**request.json()) or {}
    await self._wires[0].notify_watches()
    return httpio.json_response(200, answer)

  def _on_put(self, key: str, value):
    self.store.put(key, json.dumps(value).encode())

  def _on_down(self, down: bool):
    for wire in self._wires:
      wire.down = down

  def _on_drain(self, slot: int, **more) -> dict:
    self._slots[slot].list("draining", **more)
    return {"id": self._slots[slot].endpoint.info.id, "at": time.monotonic()}

  def _on_crash(self, slot: int):
    self._slots[slot].endpoint.crash()

  def _on_gone(self, slot: int):
    """An endpoint leaves, with all that runs there and its entry."""
    self._on_crash(slot)
    self._remove(slot)

  def _on_restart(self, slot: int):
    self._slots[slot].restart()

  def _remove(self, slot: int):
    key = self._slots[slot].key
    self.store.transact(kvtypes.Transaction(removes=(key,)))

  def _on_return(self, slot: int, clock_ms: int):
    self._remove(slot)
    self._slots[slot].begin(clock_ms)

  def _on_late(self, slot: int, share: float):
    self._slots[slot].late_share = share

  def _on_report(self) -> dict:
    return {"violations": self.violations, "starts": len(self.starts)}

  def _on_history(self) -> dict:
    rows = {"starts": self.starts, "acknowledged": self.acknowledged}
    rows["tokens"] = len(self.holders)
    return {"violations": self.violations, **rows}


async def _serve(address: str, handler):
  await httpio.Server(settings.parse_address(address), handler).start()


if __name__ == "__main__":
  curio.run(Platform(json.loads(pathlib.Path(sys.argv[1]).read_text())).run)
