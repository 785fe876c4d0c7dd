"""HTTP server of the platform's key-value store API, for stand-ins and tests."""

import base64
import json
import urllib.parse
from collections.abc import Callable
from typing import Protocol

import curio

from fescueturn import httpio
from fescueturn import kvtypes

# The longest wait of a watch, whatever it requests.
MAX_WATCH_S = 30.0
_UNAVAILABLE = httpio.json_response(503, {"error": "down"})


class ServedStore(Protocol):
  """The interface of a served store, as `standins.kvstore.KvStore` has it."""

  revision: int

  def get(self, key: str) -> kvtypes.Item | None:
    """Returns a key's item, or None."""

  def lease_of(self, key: str) -> int:
    """Returns the lease that a key is bound to, or 0."""

  def range(self, prefix: str) -> list[kvtypes.Item]:
    """Returns the items under a prefix."""

  def changes(self, prefix: str, after: int) -> list[kvtypes.Item] | None:
    """Returns the changes since a revision, or None if they were dropped."""

  def transact(self, wanted: kvtypes.Transaction) -> int:
    """Makes changes atomically; returns the new revision."""

  def grant(self, ttl_s: float, now: float) -> int:
    """Returns a new lease."""

  def keep_alive(self, lease: int, now: float) -> bool:
    """Renews a lease; returns whether it exists."""

  def revoke(self, lease: int) -> bool:
    """Revokes a lease; returns whether it existed."""


class WireServer:
  """HTTP handler of the store's calls.

  After the store has been changed from outside, `notify_watches` must be
  called.

  Attributes:
    down: True to answer every call with 503, including the waiting watches.
  """

  def __init__(self, store: ServedStore, now: Callable[[], float]):
    self.down = False
    self._store = store
    self._now = now
    self._changes = curio.Event()

  async def notify_watches(self):
    """Notifies the waiting watches, which then check for changes."""
    previous, self._changes = self._changes, curio.Event()
    await previous.set()

  async def handle(self, request: httpio.Request) -> httpio.Response | None:
    """Answers a call; returns None if the path is not a call of the store."""
    url = urllib.parse.urlsplit(request.target)
    query = dict(urllib.parse.parse_qsl(url.query))
    name, _, argument = url.path.removeprefix("/-/").partition("/")
    method = _HANDLERS.get((request.method, name))
    if method is None:
      return None
    if self.down:
      return _UNAVAILABLE
    body = json.loads(request.body) if request.body else {}
    response = await method(self, {**query, **body, "argument": argument})
    return _UNAVAILABLE if self.down else response

  async def _key(self, call: dict) -> httpio.Response:
    item = self._store.get(call["key"])
    if item is None:
      return httpio.json_response(404, {"currentRev": self._store.revision})
    row = {**self._row(item), "currentRev": self._store.revision}
    return httpio.json_response(200, row)

  async def _range(self, call: dict) -> httpio.Response:
    items = [
        self._row(item)
        for item in self._store.range(call["prefix"])
        if item.key > call.get("after", "")
    ]
    answer = {"items": items, "hasMore": False}
    answer["currentRev"] = self._store.revision
    return httpio.json_response(200, answer)

  def _row(self, item: kvtypes.Item) -> dict:
    row = {"key": item.key, "revision": item.revision}
    if item.value is None:
      return {**row, "tombstone": True}
    value = base64.b64encode(item.value).decode()
    return {**row, "value": value, "lease": self._store.lease_of(item.key)}

  async def _watch(self, call: dict) -> httpio.Response:
    prefix, after = call["prefix"], int(call["after"])
    wait_s = min(MAX_WATCH_S, int(call["waitMs"]) / 1000)
    await curio.ignore_after(wait_s, self._wait, prefix, after)
    changed_items = self._store.changes(prefix, after)
    if changed_items is None:
      return httpio.json_response(410, {})
    events = [self._row(item) for item in changed_items]
    answer = {"events": events, "currentRev": self._store.revision}
    return httpio.json_response(200, answer)

  async def _wait(self, prefix: str, after: int):
    while not self.down and self._store.changes(prefix, after) == []:
      await self._changes.wait()

  async def _transact(self, call: dict) -> httpio.Response:
    entries = call.get("setKeys", ())
    leased = [row for row in entries if row.get("lease")]
    lasting = [row for row in entries if not row.get("lease")]
    wanted = kvtypes.Transaction(
        {row["key"]: row["revision"] for row in call.get("expected", ())},
        {row["key"]: base64.b64decode(row["value"]) for row in leased},
        tuple(call.get("remove", ())),
        max((row["lease"] for row in leased), default=0),
        {row["key"]: base64.b64decode(row["value"]) for row in lasting},
    )
    try:
      revision = self._store.transact(wanted)
    except kvtypes.ConflictError as exc:
      items = [self._row(item) for item in exc.items.values()]
      return httpio.json_response(412, {"items": items})
    except kvtypes.LeaseGoneError:
      return httpio.json_response(404, {})
    await self.notify_watches()
    return httpio.json_response(200, {"revision": revision})

  async def _grant(self, call: dict) -> httpio.Response:
    lease = self._store.grant(call["ttlMs"] / 1000, self._now())
    answer = {"lease": lease, "ttlMs": call["ttlMs"]}
    return httpio.json_response(200, answer)

  async def _keep_alive(self, call: dict) -> httpio.Response:
    renewed = self._store.keep_alive(int(call["argument"]), self._now())
    return httpio.json_response(200 if renewed else 404, {})

  async def _revoke(self, call: dict) -> httpio.Response:
    revoked = self._store.revoke(int(call["argument"]))
    await self.notify_watches()
    return httpio.json_response(200 if revoked else 404, {})


_HANDLERS = {
    ("GET", "kv-key"): WireServer._key,
    ("GET", "kv-range"): WireServer._range,
    ("GET", "kv-watch"): WireServer._watch,
    ("POST", "kv-txn"): WireServer._transact,
    ("POST", "kv-lease"): WireServer._grant,
    ("POST", "kv-keep"): WireServer._keep_alive,
    ("DELETE", "kv-lease-end"): WireServer._revoke,
}
