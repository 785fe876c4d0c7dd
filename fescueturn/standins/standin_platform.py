"""The platform stand-in daemon: a key-value service like the platform's.

It serves the platform's protocol (`platform.wireserver`) and counts all calls
(a waiting watch as one). Tests can set a fault: ``down`` (all calls, also
waiting watches, are answered with 503, while leases still expire), ``slow``
(each call is delayed) or ``lose_reply`` (writes are applied, then the
connection is closed without a reply). The list under `kvtypes.HOSTS_PREFIX`
lags behind.

Its test paths, for tests and benchmarks (see `control`):
  POST /test/fault {mode, slow_ms?}     GET /test/stats
  POST /test/put {key, text}
"""

import collections
import urllib.parse

import curio
from loguru import logger

from fescueturn import httpio
from fescueturn import kvtypes
from fescueturn import settings
from fescueturn import timer
from fescueturn.platform import wireserver
from fescueturn.standins import kvstore

FAULT_MODES = ("none", "down", "slow", "lose_reply")


class _DropConnectionError(ConnectionError):
  """Raised to close a connection without a reply (fault ``lose_reply``)."""


class _LaggingStore(kvstore.KvStore):
  """A store whose host list lags behind."""

  def __init__(self, lag_s: float, now):
    super().__init__()
    self._host_list = kvstore.LaggingList(lag_s)
    self._now = now

  def _record(self, item: kvtypes.Item):
    super()._record(item)
    if item.key.startswith(kvtypes.HOSTS_PREFIX):
      self._host_list.record_change(self._now(), item)

  def range(self, prefix: str) -> list[kvtypes.Item]:
    """Returns the items under a prefix; the host list lags behind."""
    if prefix == kvtypes.HOSTS_PREFIX:
      return self._host_list.view(self._now())
    return super().range(prefix)


class PlatformStandIn:
  """The stand-in's state and HTTP handler."""

  def __init__(
      self, config: settings.PlatformSettings, clock: timer.TimerService
  ):
    self._config = config
    self._timer = clock
    self._store = _LaggingStore(config.host_list_lag_s, clock.now)
    self._wire = wireserver.WireServer(self._store, clock.now)
    self._fault = "none"
    self._slow_ms = 0
    self._calls: collections.Counter[str] = collections.Counter()
    self._server = httpio.Server(config.listen, self._handle)

  async def start(self):
    """Starts the server and the expiry of leases."""
    self._timer.subscribe(self._expire)
    await self._server.start()
    logger.info("event=platform_started listen={}", self._config.listen)

  async def close(self):
    """Stops the server."""
    await self._server.close()

  async def _expire(self, now: float):
    if self._store.expire(now):
      await self._wire.notify_watches()

  async def _handle(self, request: httpio.Request) -> httpio.Response:
    path = urllib.parse.urlsplit(request.target).path
    try:
      if path.startswith("/test/"):
        return await self._control(request, path)
      return await self._call(request, path)
    except (ValueError, KeyError, TypeError) as exc:
      return httpio.json_response(400, {"error": repr(exc)})

  async def _control(
      self, request: httpio.Request, path: str
  ) -> httpio.Response:
    if path == "/test/stats":
      return httpio.json_response(200, self._stats())
    body = request.json()
    if path == "/test/put":
      self._store.put(body["key"], body["text"].encode())
    elif path == "/test/fault":
      self._set_fault(body)
    else:
      return httpio.json_response(404, {"error": f"no path {path}"})
    await self._wire.notify_watches()
    return httpio.json_response(200, {})

  def _stats(self) -> dict:
    bytes_in, bytes_out = self._server.bytes_in_out
    return {
        "calls": dict(self._calls),
        "total": sum(self._calls.values()),
        "bytes_in": bytes_in,
        "bytes_out": bytes_out,
    }

  def _set_fault(self, body: dict):
    mode = body.get("mode", "none")
    if mode not in FAULT_MODES:
      raise ValueError(f"mode one of {FAULT_MODES}")
    self._fault = mode
    self._wire.down = mode == "down"
    self._slow_ms = int(body.get("slow_ms", 0))
    logger.warning(
        "event=platform_fault mode={} slow_ms={}", mode, self._slow_ms
    )

  async def _call(self, request: httpio.Request, path: str) -> httpio.Response:
    self._calls[path.removeprefix("/-/").partition("/")[0]] += 1
    if self._fault == "slow":
      await curio.sleep(self._slow_ms / 1000)
    response = await self._wire.handle(request)
    if response is None:
      return httpio.json_response(404, {"error": f"no call {path}"})
    is_write = request.method != "GET" and response.status == 200
    if self._fault == "lose_reply" and is_write:
      raise _DropConnectionError()
    return response
