"""Tests of the store's client with a store that leaves calls unanswered."""

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


class SilenceableServer:
  """A store's HTTP server that can stop answering on its open connections."""

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

  async def stop_answering(self):
    self._silent = True
    await self._server.close()


def test_connections_that_died_together_fail_only_one_call():
  (port,) = ports.free_ports(1)
  address = settings.Address("127.0.0.1", port)
  wire = wireserver.WireServer(kvstore.KvStore(), time.monotonic)

  async def run():
    before, after = SilenceableServer(address, wire), SilenceableServer(
        address, wire
    )
    await before.start()
    client = store.StoreClient(address, time.monotonic)
    async with curio.TaskGroup() as group:
      for _ in range(4):
        await group.spawn(client.grant, TTL_MS)
    await before.stop_answering()
    await after.start()
    with pytest.raises(errors.KvError):
      await client.grant(TTL_MS)
    lease = await client.grant(TTL_MS)
    await client.close()
    return lease

  assert curio.run(run)


def test_watch_is_not_delayed_by_unanswered_calls():
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
