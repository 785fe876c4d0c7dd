"""The proxies of a soak, as processes of their own: one alone would be too slow.

Run as ``python3 -m tests.soak.paths SETTINGS``. Each runs the paths of some hosts.
"""

import dataclasses
import json
import pathlib
import random
import sys

import curio

from fescueturn import httpio
from fescueturn import settings
from tests.soak import proxy

# Hosts whose paths one process runs.
HOSTS_AT_ONCE = 4


@dataclasses.dataclass(frozen=True)
class Row:
  """A path's client and server, its addresses, and the texts that it replaces."""

  client: str
  server: str
  address: str
  target: str
  seed: str
  texts: tuple[str, str] = ("", "")

  @property
  def name(self) -> tuple[str, str]:
    return self.client, self.server

  def new_path(self) -> proxy.Path:
    path = proxy.Path(
        self.name,
        settings.parse_address(self.address),
        settings.parse_address(self.target),
        random.Random(self.seed),
    )
    path.texts = tuple(text.encode() for text in self.texts)
    return path


class PathFaults:
  """Makes faults of paths, in the processes that run them."""

  def __init__(self):
    self._controls: dict[str, httpio.Pool] = {}

  def add_process(self, clients: set[str], control: httpio.Pool):
    self._controls.update(dict.fromkeys(clients, control))

  async def set(self, paths, key, fault: proxy.Fault | None):
    """Adds a fault of paths under a key, or removes it if it is None."""
    raw = fault and dataclasses.asdict(fault)
    await self._order(paths, what="fault", key=str(key), fault=raw)

  async def reset(self, paths):
    await self._order(paths, what="reset")

  async def silence(self, paths, share: float):
    """Makes a share of the paths' open connections silent for good."""
    await self._order(paths, what="silence", share=share)

  async def _order(self, paths, **order):
    names: dict[httpio.Pool, list] = {}
    for path in paths:
      names.setdefault(self._controls[path.client], []).append(path.name)
    for control, some in names.items():
      body = json.dumps({"names": some, **order}).encode()
      await control.request("POST", "/", body)


class _Paths:
  """Some paths, with the orders for them by name."""

  def __init__(self, raw: dict):
    rows = [Row(**row) for row in raw["paths"]]
    self._paths = {row.name: row.new_path() for row in rows}
    self._server = httpio.Server(
        settings.parse_address(raw["control"]), self._obey
    )

  async def run(self):
    for path in self._paths.values():
      await path.start()
    await self._server.start()
    await curio.Event().wait()

  async def _obey(self, request: httpio.Request) -> httpio.Response:
    order = request.json()
    for name in order["names"]:
      path = self._paths[tuple(name)]
      if order["what"] == "reset":
        await path.reset()
      elif order["what"] == "silence":
        path.silence(order["share"])
      else:
        raw = order["fault"]
        await path.set_fault(order["key"], raw and proxy.Fault(**raw))
    return httpio.json_response(200, {})


if __name__ == "__main__":
  curio.run(_Paths(json.loads(pathlib.Path(sys.argv[1]).read_text())).run)
