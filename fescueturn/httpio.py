"""HTTP/1.1 server and client on curio sockets.

h11 implements the protocol; this module only moves bytes between it and the
sockets. `Server` passes each `Request` to a handler that returns a `Response`.
`Pool` is a client with up to `limit` keep-alive connections to one address.
"""

import dataclasses
import functools
import json
import select
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import curio
import h11

from fescueturn import closewatch
from fescueturn import codes
from fescueturn import errors
from fescueturn import listener
from fescueturn import settings

READ_SIZE = 65536
DEFAULT_MAX_BODY = 4 * 1024 * 1024
CONNECT_TIMEOUT_S = 5.0
# Number of validated request heads in the cache: enough for three calls to each
# of 100 endpoints with bodies of about five lengths. Without the cache, h11's
# validation of the head takes 40 us of the 260 us that a call costs.
REQUEST_HEAD_CACHE_SIZE = 2048
# How often a connection with pipelined input is checked for a disconnect.
POLL_PERIOD_S = 0.2


@dataclasses.dataclass(frozen=True)
class Request:
  """An HTTP request with its complete body; header names are in lower case.

  Attributes:
    method: the method.
    target: the request's target.
    headers: the headers.
    body: the body.
    fileno: the socket that a server read it from; None for a client's request.
  """

  method: str
  target: str
  headers: dict[str, str]
  body: bytes = b""
  fileno: int | None = None

  def json(self) -> Any:
    """Returns the body parsed as JSON; raises ValueError if it is invalid."""
    return json.loads(self.body)


@dataclasses.dataclass(frozen=True)
class Response:
  """An HTTP response with its complete body."""

  status: int
  body: bytes = b""
  headers: tuple[tuple[str, str], ...] = ()

  def json(self) -> Any:
    """Returns the body parsed as JSON; raises ValueError if it is invalid."""
    return json.loads(self.body)


Handler = Callable[[Request], Awaitable[Response]]


@dataclasses.dataclass(frozen=True)
class Limits:
  """Limits that a server applies to each connection.

  Attributes:
    max_body: maximum length of a request's body in bytes.
    idle_s: timeout in seconds for the first byte of the next request; None
      disables this timeout and `read_s`.
    read_s: timeout in seconds for receiving one request.
    answer_to_leavers: if set, a POST's handler is cancelled when the caller
      closes the connection, and this is the answer, as a caller that closed
      only its own side still reads. Other requests are handled to their end.
  """

  max_body: int = DEFAULT_MAX_BODY
  idle_s: float | None = None
  read_s: float = 30.0
  answer_to_leavers: Response | None = None


class NotSentError(errors.FescueError):
  """The request was not sent, so the server cannot have acted on it."""

  code = codes.Code.UNREACHABLE


class ExpiredError(errors.FescueError):
  """A request was no longer to be sent once there was a connection for it."""

  code = codes.Code.UNREACHABLE


class LostReplyError(errors.FescueError):
  """No complete response arrived; the server may have acted on the request."""

  code = codes.Code.REPLY_LOST


def json_response(status: int, obj: Any, headers=()) -> Response:
  """Returns a response with `obj` as a JSON body."""
  body = json.dumps(obj, separators=(",", ":")).encode()
  head = (("content-type", "application/json"),) + tuple(headers)
  return Response(status, body, head)


def with_connection_close(response: Response) -> Response:
  """Returns `response` with the header ``connection: close`` added."""
  return dataclasses.replace(
      response, headers=response.headers + (("connection", "close"),)
  )


async def _receive(sock, conn: h11.Connection, counts=None) -> Any:
  while True:
    event = conn.next_event()
    if event is not h11.NEED_DATA:
      return event
    data = await sock.recv(READ_SIZE)
    if counts is not None:
      counts[0] += len(data)
    conn.receive_data(data)


async def _read_request(sock, conn, max_body: int, counts) -> Request | None:
  event = await _receive(sock, conn, counts)
  if isinstance(event, h11.ConnectionClosed):
    return None
  if not isinstance(event, h11.Request):
    raise h11.RemoteProtocolError(f"unexpected {type(event).__name__}")
  headers = {k.decode().lower(): v.decode() for k, v in event.headers}
  body = bytearray()
  while True:
    part = await _receive(sock, conn, counts)
    if isinstance(part, h11.EndOfMessage):
      break
    if not isinstance(part, h11.Data):
      return None
    body += part.data
    if len(body) > max_body:
      raise h11.RemoteProtocolError("body too large", error_status_hint=413)
  return Request(
      event.method.decode(),
      event.target.decode(),
      headers,
      bytes(body),
      sock.fileno(),
  )


async def _send_response(sock, conn: h11.Connection, response: Response) -> int:
  headers = list(response.headers) + [
      ("content-length", str(len(response.body)))
  ]
  data = conn.send(h11.Response(status_code=response.status, headers=headers))
  data += conn.send(h11.Data(data=response.body))
  data += conn.send(h11.EndOfMessage())
  await sock.sendall(data)
  return len(data)


async def _wait_closed(sock):
  """Waits until the other side has closed the connection."""
  while True:
    await curio.traps._read_wait(sock.fileno())
    if closewatch.is_closed(sock.fileno()):
      return
    # Unread pipelined input keeps the socket readable, so poll.
    await curio.sleep(POLL_PERIOD_S)


async def _handle(
    sock, handler: Handler, request: Request, limits: Limits
) -> Response:
  """Returns the response to a request."""
  if limits.answer_to_leavers is None or request.method != "POST":
    return await handler(request)
  async with curio.TaskGroup(wait=any) as group:
    handler_task = await group.spawn(handler, request)
    await group.spawn(_wait_closed, sock)
  if group.completed is not handler_task:
    return with_connection_close(limits.answer_to_leavers)
  return handler_task.result


async def _read_in_time(sock, conn, limits: Limits, counts) -> Request | None:
  """Reads the next request within the time limits.

  Returns:
    The request, or None if the caller closed the connection.

  Raises:
    curio.TaskTimeout: the request did not arrive in time.
  """
  if limits.idle_s is None:
    return await _read_request(sock, conn, limits.max_body, counts)
  if not conn.trailing_data[0]:
    await curio.timeout_after(
        limits.idle_s, curio.traps._read_wait, sock.fileno()
    )
  return await curio.timeout_after(
      limits.read_s, _read_request, sock, conn, limits.max_body, counts
  )


async def _serve_connection(sock, server: "Server"):
  conn = h11.Connection(h11.SERVER)
  handler, counts = server.handler, server.counts
  async with sock:
    while True:
      limits = server.limits()
      try:
        request = await _read_in_time(sock, conn, limits, counts)
      except curio.TaskTimeout:
        return
      except h11.RemoteProtocolError as exc:
        if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
          status = exc.error_status_hint
          await _send_response(
              sock, conn, json_response(status, {"error": str(exc)})
          )
        return
      if request is None:
        return
      response = await _handle(sock, handler, request, limits)
      counts[1] += await _send_response(sock, conn, response)
      if conn.our_state is h11.MUST_CLOSE or conn.their_state is h11.MUST_CLOSE:
        return
      conn.start_next_cycle()


class Server:
  """An HTTP server on one address.

  `close` stops accepting connections; requests in flight are completed.
  """

  def __init__(
      self,
      address: settings.Address,
      handler: Handler,
      max_body=DEFAULT_MAX_BODY,
      limits: Callable[[], Limits] | None = None,
  ):
    fixed = Limits(max_body)
    self.handler = handler
    self.limits = limits or (lambda: fixed)
    self.counts = [0, 0]  # Bytes received and bytes sent.
    self._listener = listener.Listener(address, self._run_client)
    self._open = 0

  @property
  def open_connections(self) -> int:
    """Number of open client connections."""
    return self._open

  @property
  def bytes_in_out(self) -> tuple[int, int]:
    """Total bytes of requests received and of responses sent."""
    return self.counts[0], self.counts[1]

  async def start(self):
    """Binds the address and starts accepting connections."""
    await self._listener.start()

  async def _run_client(self, client):
    self._open += 1
    try:
      await _serve_connection(client, self)
    except (ConnectionError, OSError):
      pass
    finally:
      self._open -= 1

  async def close(self):
    """Stops accepting connections; open ones continue to be served."""
    await self._listener.close()


@functools.lru_cache(maxsize=REQUEST_HEAD_CACHE_SIZE)
def _request_head(
    method: str, target: str, host: str, size: int, headers: tuple
) -> h11.Request:
  """Returns a validated request head, from the cache if it was sent before."""
  head = (("host", host), ("content-length", str(size)), *headers)
  return h11.Request(method=method, target=target, headers=head)


class _ClientConnection:
  """A keep-alive client connection; it carries one request at a time."""

  def __init__(self, sock, host: str):
    self.sock = sock
    self.host = host
    self.conn = h11.Connection(h11.CLIENT)

  async def request(self, method, target, body, headers) -> Response:
    head = _request_head(method, target, self.host, len(body), tuple(headers))
    data = self.conn.send(head)
    data += self.conn.send(h11.Data(data=body))
    data += self.conn.send(h11.EndOfMessage())
    await self.sock.sendall(data)
    event = await _receive(self.sock, self.conn)
    if not isinstance(event, h11.Response):
      raise LostReplyError(f"expected a response, got {type(event).__name__}")
    status = event.status_code
    out_headers = tuple((k.decode(), v.decode()) for k, v in event.headers)
    payload = bytearray()
    while True:
      part = await _receive(self.sock, self.conn)
      if isinstance(part, h11.EndOfMessage):
        break
      if not isinstance(part, h11.Data):
        raise LostReplyError("response body truncated")
      payload += part.data
    return Response(status, bytes(payload), out_headers)

  def is_alive(self) -> bool:
    """Returns False if the server closed the connection or sent extra data."""
    poller = select.poll()
    poller.register(self.sock.fileno(), select.POLLIN)
    return not poller.poll(0)

  def reusable(self) -> bool:
    """Resets the connection for the next request, if possible.

    Returns:
      False if the connection cannot be used again.
    """
    if (
        self.conn.our_state is not h11.DONE
        or self.conn.their_state is not h11.DONE
    ):
      return False
    self.conn.start_next_cycle()
    return True


class Pool:
  """A pool of at most `limit` keep-alive HTTP connections to one address."""

  def __init__(
      self,
      address: settings.Address,
      limit: int = 64,
      connect_s: float = CONNECT_TIMEOUT_S,
      prepare: Callable = listener.no_delay,
  ):
    self._address = address
    self._connect_s = connect_s
    self._prepare = prepare
    self._idle: list[_ClientConnection] = []
    self._limit = curio.Semaphore(limit)
    self._was_closed = False

  @property
  def was_closed(self) -> bool:
    """True if the server has closed a connection since it last answered.

    It may have been restarted.
    """
    if self._idle and not self._idle[-1].is_alive():
      self._was_closed = True
    return self._was_closed

  @property
  def address(self) -> settings.Address:
    """The address that its connections lead to."""
    return self._address

  async def request(
      self,
      method: str,
      target: str,
      body: bytes = b"",
      headers=(),
      timeout_s: float = 30.0,
      may_send: Callable[[], bool] = lambda: True,
  ) -> Response:
    """Sends one request and returns the complete response.

    Args:
      method: the method.
      target: the path.
      body: the body.
      headers: further headers.
      timeout_s: how long the response may take (s).
      may_send: called once there is a connection; returns whether the request
        is still to be sent.

    Raises:
      ExpiredError: the request was no longer to be sent.
      NotSentError: no connection could be made, so nothing was sent.
      LostReplyError: the connection failed or no complete response came within
        `timeout_s` seconds; the server may have acted on the request.
    """
    async with self._limit:
      client = await self._connect()
      if not may_send():
        self._idle.append(client)
        raise ExpiredError(f"{method} {target}: sent too late")
      try:
        response = await curio.timeout_after(
            timeout_s, client.request, method, target, body, headers
        )
      except (
          curio.TaskTimeout,
          OSError,
          h11.ProtocolError,
          LostReplyError,
      ) as exc:
        if not isinstance(exc, curio.TaskTimeout):
          self._was_closed = True
        await client.sock.close()
        raise LostReplyError(f"{method} {target}: {exc!r}") from exc
      self._was_closed = False
      if client.reusable():
        self._idle.append(client)
      else:
        await client.sock.close()
      return response

  async def _connect(self) -> _ClientConnection:
    while self._idle:
      client = self._idle.pop()
      if client.is_alive():
        return client
      self._was_closed = True
      await client.sock.close()
    try:
      sock = await curio.timeout_after(
          self._connect_s,
          curio.open_connection,
          self._address.host,
          self._address.port,
      )
    except (OSError, curio.TaskTimeout) as exc:
      raise NotSentError(f"cannot connect to {self._address}: {exc!r}") from exc
    self._prepare(sock)
    return _ClientConnection(sock, str(self._address))

  async def close(self):
    """Closes all idle connections; later requests open new ones."""
    while self._idle:
      await self._idle.pop().sock.close()
