"""The store's client against a stand-in that answers some calls only."""

import time

import curio
import pytest

from fescueturn import errors
from fescueturn import httpio
from fescueturn import settings
from fescueturn.lab import ports
from fescueturn.platform import store
from fescueturn.platform import wireserver
from fescueturn.standins import kvstore

TTL_MS = 5000


class Front:
  """What takes a store's connections, and can fall silent on them for good."""

  def __init__(self, address, wire):
    self._wire = wire
    self._silent = False
    self._server = httpio.Server(address, self._handle)

  async def start(self):
    await self._server.start()

  async def _handle(self, request):
    if self._silent:
      await curio.sleep(3600.0)
    await curio.sleep(0.05)
    return await self._wire.handle(request)

  async def fall_silent(self):
    self._silent = True
    await self._server.close()


def test_connections_that_fell_silent_together_cost_one_call():
  (port,) = ports.free_ports(1)
  address = settings.Address("127.0.0.1", port)
  wire = wireserver.WireServer(kvstore.KvStore(), time.monotonic)

  async def run():
    before, after = Front(address, wire), Front(address, wire)
    await before.start()
    client = store.StoreClient(address, time.monotonic)
    async with curio.TaskGroup() as group:
      for _ in range(4):
        await group.spawn(client.grant, TTL_MS)
    await before.fall_silent()
    await after.start()
    with pytest.raises(errors.KvError):
      await client.grant(TTL_MS)
    lease = await client.grant(TTL_MS)
    await client.close()
    return lease

  assert curio.run(run)


def test_watch_is_not_held_up_by_calls_that_a_silent_store_swallowed():
  (port,) = ports.free_ports(1)
  address = settings.Address("127.0.0.1", port)
  wire = wireserver.WireServer(kvstore.KvStore(), time.monotonic)
  watched = curio.Event()

  async def handle(request):
    if "kv-watch" in request.target:
      await watched.set()
    elif "kv-lease" in request.target:
      await curio.sleep(3600.0)
    return await wire.handle(request)

  async def run():
    server = httpio.Server(address, handle)
    await server.start()
    client = store.StoreClient(address, time.monotonic)
    async with curio.TaskGroup(wait=None) as group:
      for _ in range(200):
        await group.spawn(client.grant, TTL_MS)
      await curio.sleep(0.1)
      await group.spawn(client.watch, "op/", 0, 1000)
      await curio.ignore_after(store.CALL_TIMEOUT_S, watched.wait)
    return watched.is_set()

  assert curio.run(run)
