"""Requests and replies between entry hosts, in Cap'n Proto over TCP.

One TCP connection per peer carries concurrent requests; each reply has its
request's id. `fescueturn.framing` delimits the messages and
`fescueturn.peercodec` encodes them.
"""

from collections.abc import Awaitable
from collections.abc import Callable

import capnp
import curio
from loguru import logger

from fescueturn import claims
from fescueturn import codes
from fescueturn import errors
from fescueturn import framing
from fescueturn import listener
from fescueturn import peercodec
from fescueturn import settings

CONNECT_TIMEOUT_S = 1.0

Handler = Callable[[claims.Request], Awaitable[claims.Reply | None]]


class PeerLostError(errors.FescueError):
  """No reply was received; the peer may have acted on the request."""

  code = codes.Code.NO_OWNER


class PeerRefusedError(errors.FescueError):
  """The peer's port refuses connections, so no process listens there."""

  code = codes.Code.NO_OWNER


class PeerServer:
  """Serves requests of other entry hosts, several per connection at once."""

  def __init__(self, address: settings.Address, boot: str, handler: Handler):
    self._boot = boot
    self._handler = handler
    self._listener = listener.Listener(address, self._serve)
    self._bytes = [0, 0]

  @property
  def bytes_in_out(self) -> tuple[int, int]:
    """Total bytes of requests received and of replies sent."""
    return self._bytes[0], self._bytes[1]

  async def start(self):
    """Starts accepting connections from peers."""
    await self._listener.start()

  async def _serve(self, client):
    lock = curio.Lock()
    stream = client.as_stream()
    async with client:
      try:
        while True:
          data = await framing.read_message(stream)
          self._bytes[0] += len(data)
          request_id, request = peercodec.decode_request(data)
          if request_id == peercodec.NO_REPLY:
            await self._handler(request)
          else:
            await curio.spawn(
                self._answer, client, lock, request_id, request, daemon=True
            )
      except (ConnectionError, OSError, capnp.KjException) as exc:
        logger.debug("event=peer_closed error={!r}", exc)

  async def _answer(self, client, lock, request_id: int, request):
    reply = await self._handler(request)
    data = peercodec.encode_reply(request_id, self._boot, reply)
    async with lock:
      try:
        await client.sendall(data)
        self._bytes[1] += len(data)
      except OSError as exc:
        logger.warning("event=peer_reply_lost error={!r}", exc)

  async def close(self):
    """Stops accepting connections from peers."""
    await self._listener.close()


class PeerClient:
  """One multiplexed connection to one peer entry host."""

  def __init__(self, address: settings.Address):
    self._address = address
    self._sock = None
    self._read_task = None
    self._pending: dict[int, curio.Queue] = {}
    self._next_id = peercodec.NO_REPLY + 1
    self._lock = curio.Lock()

  async def send_request(
      self, request: claims.Request, timeout_s: float
  ) -> tuple[str, claims.Reply]:
    """Sends a request and waits up to `timeout_s` seconds for its reply.

    Returns:
      The id of the process that replied (`claims.Token.boot`), and its reply.

    Raises:
      PeerRefusedError: no process listens at the peer's address.
      PeerLostError: no reply was received, for any other reason.
    """
    request_id = self._next_id
    self._next_id += 1
    reply_queue = curio.Queue()
    self._pending[request_id] = reply_queue
    try:
      reply = await curio.timeout_after(
          timeout_s, self._exchange, request_id, request, reply_queue
      )
    except curio.TaskTimeout as exc:
      raise PeerLostError(
          f"peer {self._address}: no reply within {timeout_s} s"
      ) from exc
    finally:
      self._pending.pop(request_id, None)
    if reply is None:
      await self._check_listening()
      raise PeerLostError(f"peer {self._address}: connection lost")
    return reply

  async def _exchange(self, request_id: int, request, reply_queue: curio.Queue):
    await self._send(peercodec.encode_request(request_id, request))
    return await reply_queue.get()

  async def send_notice(self, request: claims.Request):
    """Sends a one-way request, which is lost if the peer is unreachable."""
    data = peercodec.encode_request(peercodec.NO_REPLY, request)
    try:
      await curio.timeout_after(CONNECT_TIMEOUT_S, self._send, data)
    except (PeerLostError, PeerRefusedError, curio.TaskTimeout) as exc:
      logger.debug("event=peer_tell_lost error={!r}", exc)

  async def _connect(self):
    try:
      sock = await curio.timeout_after(
          CONNECT_TIMEOUT_S,
          curio.open_connection,
          self._address.host,
          self._address.port,
      )
    except ConnectionRefusedError as exc:
      raise PeerRefusedError(
          f"peer {self._address}: connection refused"
      ) from exc
    except (OSError, curio.TaskTimeout) as exc:
      raise PeerLostError(f"peer {self._address}: {exc!r}") from exc
    listener.no_delay(sock)
    return sock

  async def _check_listening(self):
    """Raises `PeerRefusedError` if no process listens at the address."""
    sock = await self._connect()
    await sock.close()

  async def _send(self, data: bytes):
    async with self._lock:
      if self._sock is None:
        sock = await self._connect()
        self._sock = sock
        self._read_task = await curio.spawn(self._read_loop, sock, daemon=True)
      try:
        await self._sock.sendall(data)
      except OSError as exc:
        self._sock = None
        raise PeerLostError(f"peer {self._address}: {exc!r}") from exc
      except curio.CancelledError:
        # Part of the message may be sent, and the peer would take the next
        # message for the rest. It drops that part when the stream ends.
        await self.close()
        raise

  async def _read_loop(self, sock):
    stream = sock.as_stream()
    try:
      while True:
        data = await framing.read_message(stream)
        request_id, boot, reply = peercodec.decode_reply(data)
        reply_queue = self._pending.get(request_id)
        if reply_queue is not None:
          await reply_queue.put((boot, reply))
    except (ConnectionError, OSError, capnp.KjException):
      if self._sock is sock:
        self._sock = None
      await sock.close()
      for reply_queue in list(self._pending.values()):
        await reply_queue.put(None)

  async def close(self):
    """Closes the connection."""
    if self._read_task is not None:
      await self._read_task.cancel()
    if self._sock is not None:
      await self._sock.close()
      self._sock = None
