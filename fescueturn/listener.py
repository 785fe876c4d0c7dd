"""Accepting TCP connections on one address, each served by its own task."""

import socket
from collections.abc import Awaitable
from collections.abc import Callable

import curio
import curio.network

from fescueturn import settings


def no_delay(sock):
  """Has small messages sent at once (TCP_NODELAY)."""
  sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class Listener:
  """Listens on one address; `start` begins, `close` stops accepting.

  Connections accepted before `close` run to their end.
  """

  def __init__(
      self,
      address: settings.Address,
      serve: Callable[[curio.io.Socket], Awaitable[None]],
  ):
    self._address = address
    self._serve = serve
    self._sock = None
    self._accepter = None

  async def start(self):
    """Binds the address and starts accepting connections."""
    self._sock = curio.network.tcp_server_socket(
        self._address.host, self._address.port, reuse_address=True
    )
    self._accepter = await curio.spawn(self._accept_loop, daemon=True)

  async def _accept_loop(self):
    while True:
      client, _ = await self._sock.accept()
      no_delay(client)
      await curio.spawn(self._serve, client, daemon=True)

  async def close(self):
    """Stops accepting connections."""
    if self._accepter is not None:
      await self._accepter.cancel()
      self._accepter = None
    if self._sock is not None:
      await self._sock.close()
      self._sock = None
