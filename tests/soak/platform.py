"""The stand-in of the users' platform for the soak, as a process of its own.

Run as ``python3 -m tests.soak.platform SETTINGS``. Each host has a port of its
own for the store, which shows it the addresses of the proxies on its paths in
place of the endpoints' and of the other hosts' addresses. ``/soak/...`` on the
control port changes the configuration, the endpoints and the store, and
reports what the endpoints saw.
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
SLOTS = 8
_PROXIED_PREFIXES = (platform_endpoints.PREFIX, claims.PREFIX)
_ORDERS = ("/-/run-start", "/-/run-stop")


class View:
  """The store as one host sees it, with the addresses of its proxies."""

  def __init__(self, store: kvstore.KvStore, addresses: dict[str, str]):
    self._store = store
    self._addresses = {
        json.dumps(k).encode(): json.dumps(v).encode()
        for k, v in addresses.items()
    }

  def __getattr__(self, name):
    return getattr(self._store, name)

  def _show(self, item: kvtypes.Item | None) -> kvtypes.Item | None:
    if not item or not item.value or not item.key.startswith(_PROXIED_PREFIXES):
      return item
    value = item.value
    for address, proxy in self._addresses.items():
      value = value.replace(address, proxy)
    return dataclasses.replace(item, value=value)

  def get(self, key: str) -> kvtypes.Item | None:
    return self._show(self._store.get(key))

  def range(self, prefix: str) -> list[kvtypes.Item]:
    return [self._show(item) for item in self._store.range(prefix)]

  def changes(self, prefix: str, after: int) -> list[kvtypes.Item] | None:
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


@dataclasses.dataclass(frozen=True)
class Start:
  """A start of a run, as its endpoint saw it.

  Attributes:
    at: the monotonic time (s).
    task: the task's name.
    attempt: the attempt's number.
    endpoint: the endpoint's id.
    full: True if no other run of half a place fits beside it.
  """

  at: float
  task: str
  attempt: int
  endpoint: str
  full: bool


class _Observed(endpoint_lib.EmulatedEndpoint):
  """An emulated endpoint that records when its runs start."""

  def __init__(self, records: list[Start], *args):
    super().__init__(*args)
    self._records = records

  def start(self, order):
    known = len(self.starts)
    result = super().start(order)
    if len(self.starts) > known:
      name = platform_endpoints.format_task_name(order.run.task)
      used = sum(run.need.cpu for run in self._runs.values())
      full = used > CAPACITY.cpu * 3 // 4
      self._records.append(
          Start(time.monotonic(), name, order.run.attempt, self.info.id, full)
      )
    return result


class Slot:
  """The address of an endpoint, with one incarnation after the other."""

  def __init__(self, platform, number: int, address: str, data_centre: str):
    self._platform = platform
    self._number = number
    self._address = settings.parse_address(address)
    self._data_centre = data_centre
    self._incarnations = 0
    self.late_share = 0.0
    self.endpoint: _Observed | None = None

  async def start(self, clock_ms: int):
    """Serves the first incarnation."""
    self.begin(clock_ms)
    await httpio.Server(self._address, self._handle).start()

  def begin(self, clock_ms: int):
    """Begins a new incarnation and lists it."""
    self._incarnations += 1
    platform = self._platform
    info = model.Endpoint(
        f"i-{self._number}-{self._incarnations}",
        self._address,
        fakeplatform.SERVICE,
        self._data_centre,
        SLOTS,
        False,
        CAPACITY,
    )
    self.endpoint = _Observed(
        platform.starts,
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

  def list(self, state: str):
    """Writes the endpoint's entry."""
    entry = {
        "service": fakeplatform.SERVICE,
        "address": str(self._address),
        "zone": self._data_centre,
        "version": "v1",
        "slots": SLOTS,
        "state": state,
        "capacity": {"cpu": CAPACITY.cpu, "memMb": CAPACITY.mem_mb, "gpu": 0},
        "labels": ["a", fakeplatform.RACK],
        "coldRemainingMs": 0,
        "sequence": 1,
    }
    key = platform_endpoints.PREFIX + self.endpoint.info.id
    self._platform.store.put(key, json.dumps(entry).encode())

  def unlist(self):
    """Removes the endpoint's entry."""
    key = platform_endpoints.PREFIX + self.endpoint.info.id
    self._platform.store.transact(kvtypes.Transaction(removes=(key,)))

  async def _handle(self, request: httpio.Request) -> httpio.Response:
    rng = self._platform.rng
    late = request.target in _ORDERS and rng.random() < self.late_share
    if late:
      await curio.sleep(rng.uniform(0.1, 3.0))
    if self.endpoint.unreachable:
      raise ConnectionResetError("the endpoint is dead")
    return await self._fake.handle(request)


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
    self.specs = {}
    self.violations: list[str] = []
    self.running_on = {}
    self.acknowledged_done = set()
    self.starts: list[Start] = []
    self._wires: list[_Wire] = []
    self._slots: list[Slot] = []

  async def run(self):
    for view in self._raw["views"]:
      wire = _Wire(View(self.store, view["addresses"]), self._wires)
      await self._serve(view["listen"], wire.handle)
    for number, raw in enumerate(self._raw["endpoints"]):
      slot = Slot(self, number, raw["address"], raw["data_centre"])
      await slot.start(raw["clock_ms"])
      self._slots.append(slot)
    await self._serve(self._raw["control"], self._control)
    await curio.spawn(self.clock.run, daemon=True)
    while True:
      await curio.sleep(0.05)
      if self.store.expire(time.monotonic()):
        await self._wires[0].notify_watches()

  async def _serve(self, address: str, handler):
    await httpio.Server(settings.parse_address(address), handler).start()

  async def _control(self, request: httpio.Request) -> httpio.Response:
    name = request.target.removeprefix("/soak/")
    body = request.json() if request.body else {}
    answer = getattr(self, f"_on_{name}")(**body) or {}
    await self._wires[0].notify_watches()
    return httpio.json_response(200, answer)

  def _on_put(self, key: str, value):
    self.store.put(key, json.dumps(value).encode())

  def _on_down(self, down: bool):
    for wire in self._wires:
      wire.down = down

  def _on_drain(self, slot: int) -> dict:
    self._slots[slot].list("draining")
    return {"id": self._slots[slot].endpoint.info.id, "at": time.monotonic()}

  def _on_crash(self, slot: int):
    self._slots[slot].endpoint.crash()

  def _on_unlist(self, slot: int):
    self._slots[slot].unlist()

  def _on_begin(self, slot: int, clock_ms: int):
    self._slots[slot].begin(clock_ms)

  def _on_late(self, slot: int, share: float):
    self._slots[slot].late_share = share

  def _on_report(self) -> dict:
    return {"violations": self.violations, "starts": len(self.starts)}

  def _on_history(self) -> dict:
    done = [
        platform_endpoints.format_task_name(t) for t in self.acknowledged_done
    ]
    return {
        "violations": self.violations,
        "starts": [dataclasses.astuple(start) for start in self.starts],
        "acknowledged": done,
    }


if __name__ == "__main__":
  curio.run(Platform(json.loads(pathlib.Path(sys.argv[1]).read_text())).run)
