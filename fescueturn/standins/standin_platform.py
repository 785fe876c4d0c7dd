"""The platform stand-in daemon: key-value service and host list over HTTP.

A small test stand-in for the platform the brief describes, speaking JSON
over HTTP/1.1 (h11). It counts every call (a waiting watch as one) and takes
faults on command: ``down`` (every KV call gets 503, waiting watches too;
leases go on running out), ``slow`` (each call
waits), ``lose_reply`` (writes apply, then the connection drops unanswered).

Paths (all JSON):
  GET  /v1/kv?key=K | ?prefix=P       PUT /v1/kv {key, value, expect?, lease?}
  POST /v1/kv/delete {key, expect?}   POST /v1/lease/grant {ttl_s}
  POST /v1/lease/keepalive {lease}    POST /v1/lease/revoke {lease}
  GET  /v1/watch?prefix=P&after=R&timeout_s=T
  GET  /v1/hosts                      PUT /v1/hosts {name, ...} | {name, gone}
  POST /v1/fault {mode, slow_ms?}     GET /v1/stats
"""

import collections
import dataclasses
import urllib.parse

import curio
from loguru import logger

from fescueturn import httpio
from fescueturn import kvtypes
from fescueturn import settings
from fescueturn import timer
from fescueturn.standins import kvstore

MAX_WATCH_S = 30.0
FAULT_MODES = ("none", "down", "slow", "lose_reply")


_DOWN = httpio.json_response(503, {"error": "platform down"})


class _DropConnectionError(ConnectionError):
  """Raised to end a connection without a reply (the lose_reply fault)."""


class PlatformStandIn:
  """The stand-in's state and HTTP handler; `start` listens, `close` stops."""

  def __init__(
      self, config: settings.PlatformSettings, clock: timer.TimerService
  ):
    self._config = config
    self._timer = clock
    self._store = kvstore.KvStore()
    self._hosts = kvstore.HostList(config.host_list_lag_s)
    self._changed = curio.Event()
    self._fault = "none"
    self._slow_ms = 0
    self._calls: collections.Counter[str] = collections.Counter()
    self._server = httpio.Server(config.listen, self._handle)

  @property
  def calls(self) -> dict[str, int]:
    """Calls counted so far, by kind."""
    return dict(self._calls)

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
      await self._notify()

  async def _notify(self):
    await self._changed.set()
    self._changed = curio.Event()

  async def _handle(self, request: httpio.Request) -> httpio.Response:
    url = urllib.parse.urlsplit(request.target)
    query = dict(urllib.parse.parse_qsl(url.query))
    route = (request.method, url.path)
    if route == ("GET", "/v1/stats"):
      bytes_in, bytes_out = self._server.bytes_in_out
      return httpio.json_response(
          200,
          {
              "calls": self.calls,
              "total": sum(self._calls.values()),
              "bytes_in": bytes_in,
              "bytes_out": bytes_out,
          },
      )
    if route == ("POST", "/v1/fault"):
      response = self._set_fault(request.json())
      await self._notify()
      return response
    if route[1] == "/v1/hosts":
      return self._hosts_call(request)
    self._calls[url.path] += 1
    if self._fault == "down":
      return _DOWN
    if self._fault == "slow":
      await curio.sleep(self._slow_ms / 1000)
    handler = _ROUTES.get(route)
    if handler is None:
      return httpio.json_response(404, {"error": f"no route {route}"})
    try:
      return await handler(self, request, query)
    except (ValueError, KeyError, TypeError) as exc:
      return httpio.json_response(400, {"error": repr(exc)})

  def _set_fault(self, body) -> httpio.Response:
    mode = body.get("mode", "none")
    if mode not in FAULT_MODES:
      return httpio.json_response(400, {"error": f"mode one of {FAULT_MODES}"})
    self._fault = mode
    self._slow_ms = int(body.get("slow_ms", 0))
    logger.warning(
        "event=platform_fault mode={} slow_ms={}", mode, self._slow_ms
    )
    return httpio.json_response(200, {"mode": mode})

  def _wrote(self, response: httpio.Response) -> httpio.Response:
    if self._fault == "lose_reply":
      raise _DropConnectionError()
    return response

  async def _get(self, request, query) -> httpio.Response:
    del request
    if "prefix" in query:
      items = self._store.prefix(query["prefix"])
      return httpio.json_response(
          200,
          {
              "revision": self._store.revision,
              "items": [dataclasses.asdict(i) for i in items],
          },
      )
    item = self._store.get(query["key"])
    if item is None:
      return httpio.json_response(404, {"revision": self._store.revision})
    return httpio.json_response(200, dataclasses.asdict(item))

  async def _put(self, request, query) -> httpio.Response:
    del query
    body = request.json()
    expect = body.get("expect")
    revision = self._store.put(
        body["key"], str(body["value"]), expect, int(body.get("lease", 0))
    )
    if revision is None:
      current = self._store.get(body["key"])
      return httpio.json_response(
          409, {"revision": current.revision if current else 0}
      )
    await self._notify()
    return self._wrote(httpio.json_response(200, {"revision": revision}))

  async def _delete(self, request, query) -> httpio.Response:
    del query
    body = request.json()
    revision = self._store.delete(body["key"], body.get("expect"))
    if revision is None:
      return httpio.json_response(409, {"revision": self._store.revision})
    await self._notify()
    return self._wrote(httpio.json_response(200, {"revision": revision}))

  async def _grant(self, request, query) -> httpio.Response:
    del query
    lease = self._store.grant(float(request.json()["ttl_s"]), self._timer.now())
    return self._wrote(httpio.json_response(200, {"lease": lease}))

  async def _keep_alive(self, request, query) -> httpio.Response:
    del query
    alive = self._store.keep_alive(
        int(request.json()["lease"]), self._timer.now()
    )
    return httpio.json_response(200 if alive else 404, {"alive": alive})

  async def _revoke(self, request, query) -> httpio.Response:
    del query
    self._store.revoke(int(request.json()["lease"]))
    await self._notify()
    return self._wrote(httpio.json_response(200, {"revoked": True}))

  async def _watch(self, request, query) -> httpio.Response:
    del request
    prefix = query.get("prefix", "")
    after = int(query.get("after", 0))
    timeout_s = min(float(query.get("timeout_s", MAX_WATCH_S)), MAX_WATCH_S)
    await curio.ignore_after(timeout_s, self._wait_for_changes, prefix, after)
    if self._fault == "down":
      return _DOWN
    changes = self._store.changes(prefix, after)
    if changes is None:
      return httpio.json_response(410, {"revision": self._store.revision})
    return httpio.json_response(
        200,
        {
            "revision": self._store.revision,
            "changes": [dataclasses.asdict(c) for c in changes],
        },
    )

  async def _wait_for_changes(self, prefix: str, after: int):
    while self._fault != "down" and not self._has_news(prefix, after):
      await self._changed.wait()

  def _has_news(self, prefix: str, after: int) -> bool:
    return self._store.changes(prefix, after) != []

  def _hosts_call(self, request: httpio.Request) -> httpio.Response:
    now = self._timer.now()
    if request.method == "GET":
      self._calls["/v1/hosts"] += 1
      hosts = [dataclasses.asdict(h) for h in self._hosts.view(now)]
      return httpio.json_response(200, {"hosts": hosts})
    body = request.json()
    if body.get("gone"):
      self._hosts.set(now, body["name"], None)
    else:
      body["services"] = tuple(body.get("services", ()))
      self._hosts.set(now, body["name"], kvtypes.HostRecord(**body))
    return httpio.json_response(200, {"ok": True})


_ROUTES = {
    ("GET", "/v1/kv"): PlatformStandIn._get,
    ("PUT", "/v1/kv"): PlatformStandIn._put,
    ("POST", "/v1/kv/delete"): PlatformStandIn._delete,
    ("POST", "/v1/lease/grant"): PlatformStandIn._grant,
    ("POST", "/v1/lease/keepalive"): PlatformStandIn._keep_alive,
    ("POST", "/v1/lease/revoke"): PlatformStandIn._revoke,
    ("GET", "/v1/watch"): PlatformStandIn._watch,
}
