"""Client of the platform's key-value store: one method per call.

It is a `kvtypes.Store`, which says what can be raised. A call that ends in a
plain `errors.KvError` may have been carried out, or may be seconds later.
"""

import base64
import json
import urllib.parse
from collections.abc import Callable

from fescueturn import errors
from fescueturn import httpio
from fescueturn import kvtypes
from fescueturn import listener
from fescueturn import settings
from fescueturn.scheduler import figures

# An answer takes 4 to 6 ms, and up to half a second when the store is slow;
# a call without one by then is tried again on another connection.
CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
# What a watch may be late by beyond the time it was asked to wait.
WATCH_SLACK_S = 1.0


def _item(raw: dict) -> kvtypes.Item:
  # A removal comes as a key and revision with a flag in place of a value.
  value = None if raw.get("tombstone") else base64.b64decode(raw["value"])
  return kvtypes.Item(raw["key"], raw["revision"], value)


class StoreClient:
  """Calls the store at one address; `close` drops its connections."""

  def __init__(
      self,
      address: settings.Address,
      now: Callable[[], float],
      observe: figures.Observer | None = None,
  ):
    self._now = now
    self._observe = observe or (lambda *_: None)
    self._pool = httpio.Pool(
        address,
        limit=16,
        connect_s=CONNECT_TIMEOUT_S,
        prepare=listener.impatient,
    )

  async def close(self):
    """Closes idle connections."""
    await self._pool.close()

  async def _call(
      self, method, path, query=None, body=None, timeout_s=CALL_TIMEOUT_S
  ):
    target = f"{path}?{urllib.parse.urlencode(query)}" if query else path
    data = b"" if body is None else json.dumps(body).encode()
    headers = (("content-type", "application/json"),) if data else ()
    began = self._now()
    result = "no_answer"
    try:
      response = await self._pool.request(
          method, target, data, headers, timeout_s
      )
      result = str(response.status)
    except (httpio.NotSentError, httpio.LostReplyError) as exc:
      raise errors.KvError(f"{path}: {exc}") from exc
    finally:
      name = "store_" + path.split("/")[2]
      self._observe(name, result, self._now() - began)
    if response.status in (200, 404, 410, 412):
      return response
    raise errors.KvError(f"{path}: status {response.status}")

  async def get(self, key: str) -> kvtypes.Changes:
    """Returns a key's item, if there is one, and the store's revision.

    A watch goes on from that revision, not from the item's: the history since
    an item that was written long ago may be gone.
    """
    response = await self._call("GET", "/-/kv-key", {"key": key})
    body = response.json()
    items = (_item(body),) if response.status == 200 else ()
    return kvtypes.Changes(body.get("currentRev", 0), items)

  async def range(self, prefix: str) -> kvtypes.Changes:
    """Returns all items under `prefix`; the pages are not one snapshot."""
    items: list[kvtypes.Item] = []
    query: dict[str, object] = {"prefix": prefix}
    revision = None
    while True:
      body = (await self._call("GET", "/-/kv-range", query)).json()
      items += [_item(raw) for raw in body["items"]]
      # Watching from the first page's revision misses nothing after it.
      revision = body["currentRev"] if revision is None else revision
      if not body.get("hasMore"):
        return kvtypes.Changes(revision, tuple(items))
      query["after"] = items[-1].key

  async def watch(
      self, prefix: str, after: int, wait_ms: int
  ) -> kvtypes.Changes:
    """Returns what changed under `prefix` since revision `after`.

    Raises:
      kvtypes.HistoryGoneError: the store no longer knows.
      errors.KvError: no answer came, or the store refused the call.
    """
    query = {"prefix": prefix, "after": after, "waitMs": wait_ms}
    response = await self._call(
        "GET",
        "/-/kv-watch",
        query,
        timeout_s=wait_ms / 1000 + WATCH_SLACK_S,
    )
    if response.status == 410:
      raise kvtypes.HistoryGoneError(f"watch {prefix} after {after}")
    body = response.json()
    events = body.get("events", ())
    return kvtypes.Changes(
        body["currentRev"], tuple(_item(raw) for raw in events)
    )

  async def transact(self, wanted: kvtypes.Transaction) -> int:
    """Makes changes, all or none; returns the store's new revision.

    Raises:
      kvtypes.ConflictError: a condition does not hold.
      kvtypes.LeaseGoneError: there is no such lease.
      errors.KvError: no answer came (it may be done yet), or it was refused.
    """
    body = {
        "expected": [
            {"key": key, "revision": revision}
            for key, revision in wanted.expected.items()
        ],
        "setKeys": [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "lease": wanted.lease,
            }
            for key, value in wanted.puts.items()
        ],
        "remove": list(wanted.removes),
    }
    response = await self._call("POST", "/-/kv-txn", body=body)
    if response.status == 412:
      items = tuple(
          _item(raw)
          for raw in response.json().get("items", ())
          if raw.get("revision") and "value" in raw
      )
      raise kvtypes.ConflictError(f"not as expected: {wanted.expected}", items)
    if response.status == 404:
      raise kvtypes.LeaseGoneError(f"lease {wanted.lease}")
    return response.json()["revision"]

  async def grant(self, ttl_ms: int) -> int:
    """Returns a new lease of `ttl_ms`."""
    response = await self._call("POST", "/-/kv-lease", body={"ttlMs": ttl_ms})
    return response.json()["lease"]

  async def keep(self, lease: int):
    """Renews a lease; raises `kvtypes.LeaseGoneError` once it has ended."""
    response = await self._call("POST", f"/-/kv-keep/{lease}")
    if response.status == 404:
      raise kvtypes.LeaseGoneError(str(lease))

  async def end(self, lease: int):
    """Ends a lease; its keys are removed."""
    await self._call("DELETE", f"/-/kv-lease-end/{lease}")
