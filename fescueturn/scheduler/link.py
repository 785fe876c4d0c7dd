"""Connections between coordinators and holders: Cap'n Proto over TCP.

A coordinator opens one connection to each holder's host. Both ends send at any
time and never wait for the peer to read. A connection on which nothing arrives
within `RECEIVE_TIMEOUT_S` of a message is closed and reopened, since it may be
dead. Each loss of a connection is reported: the messages in flight are lost.
"""

import collections
import socket
from collections.abc import Awaitable
from collections.abc import Callable

import curio
from loguru import logger

from fescueturn import framing
from fescueturn import listener
from fescueturn import settings
from fescueturn.scheduler import linkcodec
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model

# Connecting within a region takes at most 2 ms, so an attempt that takes this
# long will not succeed.
CONNECT_TIMEOUT_S = 0.6
# Pings are sent every 100 ms and answered at once, so six in a row have gone
# unanswered by then.
RECEIVE_TIMEOUT_S = 0.6
# Limit on the data queued for one peer: some 3,000 jobs of 1,200 bytes. A peer
# that falls further behind reads too slowly to be of use.
MAX_QUEUED_BYTES = 4 * 1024 * 1024

# Connections are numbered modulo this, the range of the message's field.
_MAX_CONNECTIONS = 2**16
# For how many coordinators a server remembers the last connection: those of
# some days, at 2,500 restarts a day.
_MAX_COORDINATORS = 10_000

_HELLO_SHARD = model.Shard("")


class _Outbox:
  """Send queue of one connection; messages are sent in order.

  Attributes:
    number: the connection's number among those of its coordinator.
  """

  def __init__(self, sock):
    self.number = 0
    self._sock = sock
    self._waiting: collections.deque[bytes] = collections.deque()
    self._size = 0
    self._event = curio.Event()
    self._task = None

  async def start(self):
    """Starts the task that sends queued messages."""
    self._task = await curio.spawn(self._run, daemon=True)

  async def put(self, data: bytes) -> bool:
    """Queues a message; returns False if the queue is full."""
    if self._size + len(data) > MAX_QUEUED_BYTES:
      return False
    self._waiting.append(data)
    self._size += len(data)
    await self._event.set()
    return True

  async def _run(self):
    try:
      while True:
        await self._event.wait()
        self._event.clear()
        data = b"".join(self._waiting)
        self._waiting.clear()
        self._size = 0
        await self._sock.sendall(data)
    except OSError as exc:
      # The reader of the same connection also fails and reports the loss.
      logger.debug("event=link_send_failed error={!r}", exc)

  async def end(self):
    """Stops sending and ends the connection, whose reader then closes it.

    The event loop ends if a socket is closed while a task waits to read it and
    another one gets its number.
    """
    if self._task is not None:
      await self._task.cancel()
    try:
      await self._sock.shutdown(socket.SHUT_RDWR)
    except OSError as exc:
      logger.debug("event=link_end_failed error={!r}", exc)

  async def close(self):
    """Stops sending and closes the connection."""
    if self._task is not None:
      await self._task.cancel()
    await self._sock.close()


OnMessage = Callable[
    [linkmessages.HostProcess, model.Shard, object], Awaitable[None]
]


class LinkServer:
  """Accepts coordinators' connections between `start` and `close`.

  A coordinator's connection replaces its earlier ones. What still arrives on
  these is dropped, since the coordinator may have taken it back by a later
  message, even if the later connection has ended as well.
  """

  def __init__(self, address: settings.Address, on_message: OnMessage):
    self._on_message = on_message
    self._listener = listener.Listener(address, self._serve)
    self._outboxes: dict[linkmessages.HostProcess, _Outbox] = {}
    # The number of each coordinator's last connection, the latest at the end.
    self._last_numbers: dict[linkmessages.HostProcess, int] = {}

  async def start(self):
    """Starts listening for coordinators."""
    await self._listener.start()

  async def send(
      self, process: linkmessages.HostProcess, shard: model.Shard, message
  ):
    """Sends a message to a coordinator; drops it if that is not connected."""
    outbox = self._outboxes.get(process)
    if outbox is None:
      logger.debug("event=link_send_missed host={}", process.host)
      return
    if not await outbox.put(linkcodec.encode(shard, message)):
      logger.warning("event=link_overfull host={}", process.host)
      del self._outboxes[process]
      await outbox.end()

  async def _serve(self, sock):
    listener.enable_dead_peer_detection(sock)
    outbox = _Outbox(sock)
    process = None
    try:
      stream = sock.as_stream()
      _, hello = linkcodec.decode(await framing.read_message(stream), None)
      if not isinstance(hello, linkcodec.Hello):
        raise ConnectionError("first message on the link is not a hello")
      process, outbox.number = hello.process, hello.number
      if self._is_outdated(process, outbox.number):
        raise ConnectionError("older than the last connection")
      self._record_number(process, outbox.number)
      self._outboxes[process] = outbox
      await outbox.start()
      while True:
        data = await framing.read_message(stream)
        if self._outboxes.get(process) is not outbox:
          raise ConnectionError("replaced by a later connection")
        shard, message = linkcodec.decode(data, process)
        await self._on_message(process, shard, message)
    except (OSError, linkcodec.MalformedMessageError) as exc:
      host = process.host if process else "unknown"
      logger.info('event=link_closed peer={} error="{}"', host, exc)
    finally:
      if process is not None and self._outboxes.get(process) is outbox:
        del self._outboxes[process]
      await outbox.close()

  def _is_outdated(
      self, process: linkmessages.HostProcess, number: int
  ) -> bool:
    """Returns whether a coordinator has opened a later connection before.

    Connections of hosts of an earlier version have the number 0.
    """
    last = self._last_numbers.get(process, number)
    behind = (last - number) % _MAX_CONNECTIONS
    return number > 0 and 0 < behind < _MAX_CONNECTIONS // 2

  def _record_number(self, process: linkmessages.HostProcess, number: int):
    self._last_numbers.pop(process, None)
    self._last_numbers[process] = number
    if len(self._last_numbers) > _MAX_COORDINATORS:
      del self._last_numbers[next(iter(self._last_numbers))]

  async def close(self):
    """Stops accepting connections and ends the open ones."""
    await self._listener.close()
    for outbox in list(self._outboxes.values()):
      await outbox.end()
    self._outboxes.clear()


OnLost = Callable[[bool], Awaitable[None]]


class Link:
  """A coordinator's connection to one holder's host, opened on demand."""

  def __init__(
      self,
      address: settings.Address,
      me: linkmessages.HostProcess,
      now: Callable[[], float],
      on_message: Callable[[model.Shard, object], Awaitable[None]],
      on_lost: OnLost,
  ):
    self._address = address
    self._me = me
    self._now = now
    self._on_message = on_message
    self._on_lost = on_lost
    self._outbox: _Outbox | None = None
    self._opening = False
    self._waiting: list[bytes] = []
    # When the first message was sent that nothing was received after.
    self._unanswered_since: float | None = None
    self._reader = None
    self._connections = 0

  async def send(self, shard: model.Shard, message):
    """Sends a message, or queues it until the connection is open."""
    data = linkcodec.encode(shard, message)
    if self._outbox is not None and self._is_unanswered:
      await self._lose("no answer")
    if self._outbox is not None:
      if self._unanswered_since is None:
        self._unanswered_since = self._now()
      if not await self._outbox.put(data):
        await self._lose("queue full")
      return
    self._waiting.append(data)
    if not self._opening:
      self._opening = True
      await curio.spawn(self._open, daemon=True)

  @property
  def _is_unanswered(self) -> bool:
    """True if nothing has been received for too long after a message."""
    since = self._unanswered_since
    return since is not None and self._now() - since > RECEIVE_TIMEOUT_S

  async def _open(self):
    try:
      sock = await curio.timeout_after(
          CONNECT_TIMEOUT_S,
          curio.open_connection,
          self._address.host,
          self._address.port,
      )
    except (OSError, curio.TaskTimeout) as exc:
      self._waiting.clear()
      self._opening = False
      logger.debug("event=link_failed peer={} error={!r}", self._address, exc)
      await self._on_lost(isinstance(exc, ConnectionRefusedError))
      return
    listener.enable_dead_peer_detection(sock)
    outbox = _Outbox(sock)
    await outbox.start()
    self._connections += 1
    hello = linkcodec.Hello(self._me, self._connections % _MAX_CONNECTIONS)
    await outbox.put(linkcodec.encode(_HELLO_SHARD, hello))
    self._unanswered_since = self._now()
    self._outbox = outbox
    self._opening = False
    waiting, self._waiting = self._waiting, []
    all_queued = all([await outbox.put(data) for data in waiting])
    self._reader = await curio.spawn(self._read, sock, outbox, daemon=True)
    if not all_queued and self._outbox is outbox:
      await self._lose("queue full")

  async def _read(self, sock, outbox: _Outbox):
    stream = sock.as_stream()
    try:
      while True:
        data = await framing.read_message(stream)
        self._unanswered_since = None
        shard, message = linkcodec.decode(data, self._me)
        await self._on_message(shard, message)
    except (OSError, linkcodec.MalformedMessageError) as exc:
      logger.info('event=link_closed peer={} error="{}"', self._address, exc)
    if self._outbox is outbox:
      self._outbox = None
      await outbox.close()
      await self._on_lost(False)

  async def _lose(self, error: str):
    """Closes the current connection and reports its loss."""
    logger.info('event=link_closed peer={} error="{}"', self._address, error)
    await self._drop()
    await self._on_lost(False)

  async def _drop(self):
    """Closes the current connection without reporting its loss."""
    outbox, self._outbox = self._outbox, None
    if self._reader is not None:
      await self._reader.cancel(blocking=False)
    await outbox.close()

  async def close(self):
    """Closes the connection."""
    if self._outbox is not None:
      await self._drop()
