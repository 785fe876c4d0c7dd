"""The platform stand-in daemon: the key-value service the brief describes.

It speaks the platform's wire (`platform.wireserver`), counts every call (a
waiting watch as one) and takes faults on command: ``down`` (every call gets
503, waiting watches too; leases go on running out), ``slow`` (each call waits),
``lose_reply`` (writes apply, then the connection drops unanswered). What it
lists under `kvtypes.HOSTS_PREFIX` lags.

Its own paths, for tests and benches (see `control`):
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
  """Raised to end a connection without a reply (the lose_reply fault)."""


class _Store(kvstore.KvStore):
  """A store whose list of hosts lags."""

  def __init__(self, lag_s: float, now):
    super().__init__()
    self._hosts = kvstore.LaggingList(lag_s)
    self._now = now

  def _record(self, item: kvtypes.Item):
    super()._record(item)
    if item.key.startswith(kvtypes.HOSTS_PREFIX):
      self._hosts.record_change(self._now(), item)

  def range(self, prefix: str) -> list[kvtypes.Item]:
    """Returns the items under a prefix; those of hosts as they were."""
    if prefix == kvtypes.HOSTS_PREFIX:
      return self._hosts.view(self._now())
    return super().range(prefix)


class PlatformStandIn:
  """The stand-in's state and HTTP handler; `start` listens, `close` stops."""

  def __init__(
      self, config: settings.PlatformSettings, clock: timer.TimerService
  ):
    self._config = config
    self._timer = clock
    self._store = _Store(config.host_list_lag_s, clock.now)
    self._wire = wireserver.WireServer(self._store, clock.now)
    self._fault = "none"
    self._slow_ms = 0
    self._calls: collections.Counter[str] = collections.Counter()
    self._server = httpio.Server(config.listen, self._handle)

  async def start(self):
    """Starts serving and expiring leases."""
    self._timer.subscribe(self._expire)
    await self._server.start()
    logger.info("event=platform_started listen={}", self._config.listen)

  async def close(self):
    """Stops serving."""
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
    wrote = request.method != "GET" and response.status == 200
    if self._fault == "lose_reply" and wrote:
      raise _DropConnectionError()
    return response
