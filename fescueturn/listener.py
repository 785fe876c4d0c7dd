"""Accepting TCP connections on one address, each served by its own task."""

import socket
from collections.abc import Awaitable
from collections.abc import Callable

import curio
import curio.network

from fescueturn import settings

# How long a peer may leave data or keep-alive probes unacknowledged: round
# trips take 0.2 to 7 ms, and a longer pause is an outage to work around.
USER_TIMEOUT_MS = 1500
# The shortest keep-alive period there is, so that a connection without traffic
# is found dead within two seconds.
KEEPALIVE_S = 1


def no_delay(sock):
  """Has small messages sent at once (TCP_NODELAY)."""
  sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def enable_dead_peer_detection(sock):
  """Sends at once, and gives up a peer that is silent (`USER_TIMEOUT_MS`)."""
  no_delay(sock)
  sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
  sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
  sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
  sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
  sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


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
