"""TCP listener that serves each connection in its own task; socket options."""

import select
import socket
from collections.abc import Awaitable
from collections.abc import Callable

import curio
import curio.network

from fescueturn import settings

# A connection fails when the peer leaves data or keep-alive probes
# unacknowledged for this long. Round trips take 0.2 to 7 ms, so a longer
# silence is an outage.
USER_TIMEOUT_MS = 1500
# The shortest period that TCP allows, so that an idle connection is found dead
# within two seconds.
KEEPALIVE_S = 1
# The most connections that wait to be accepted.
BACKLOG = 100


def no_delay(sock):
  """Disables Nagle's algorithm so that small messages are sent immediately."""
  sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def enable_dead_peer_detection(sock):
  """Makes the connection fail soon when the peer stops acknowledging.

  Also disables Nagle's algorithm; see `USER_TIMEOUT_MS` and `KEEPALIVE_S`.
  """
  no_delay(sock)
  sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
  sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
  sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
  sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
  sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


def _is_readable(sock) -> bool:
  poller = select.poll()
  poller.register(sock.fileno(), select.POLLIN)
  return bool(poller.poll(0))


class Listener:
  """Listens on one address and serves each connection in its own task.

  Connections accepted before `close` are served until they end.
  """

  def __init__(
      self,
      address: settings.Address,
      serve: Callable[[curio.io.Socket], Awaitable[None]],
  ):
    self._address = address
    self._serve = serve
    self._sock = None
    self._accept_task = None

  async def start(self):
    """Binds the address and starts accepting connections."""
    self._sock = curio.network.tcp_server_socket(
        self._address.host,
        self._address.port,
        backlog=BACKLOG,
        reuse_address=True,
    )
    self._accept_task = await curio.spawn(self._accept_loop, daemon=True)

  async def _accept_loop(self):
    while True:
      await self._accept()

  async def _accept(self):
    client, _ = await self._sock.accept()
    no_delay(client)
    await curio.spawn(self._serve, client, daemon=True)

  async def close(self):
    """Stops accepting connections, after those that wait to be accepted."""
    if self._accept_task is not None:
      await self._accept_task.cancel()
      self._accept_task = None
    if self._sock is not None:
      await self._accept_waiting()
      await self._sock.close()
      self._sock = None

  async def _accept_waiting(self):
    """Accepts the connections that closing the socket would reset.

    No more than could be waiting when it began, as more may be opened meanwhile.
    """
    for _ in range(BACKLOG):
      if not _is_readable(self._sock):
        return
      await self._accept()
