"""Client of the platform's key-value store: one method per call.

It is a `kvtypes.Store`, which says what can be raised. A call that ends in a
plain `errors.KvError` may have been carried out, or may be seconds later.
"""

import base64
import binascii
import urllib.parse
from collections.abc import Callable
from collections.abc import Mapping

import msgspec
from loguru import logger

from fescueturn import errors
from fescueturn import httpio
from fescueturn import kvtypes
from fescueturn import listener
from fescueturn import settings
from fescueturn.platform import wire
from fescueturn.scheduler import hostmetrics

# An answer takes 4 to 6 ms, and up to half a second when the store is slow;
# a call without one by then is tried again on another connection.
CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
# What a watch may be late by beyond the time it was asked to wait.
WATCH_SLACK_S = 1.0
# Calls under way at once; more wait their turn. A host writes for each kept job
# that it runs, and a store that answers in 5 ms does 3,000 such calls a second.
MAX_CALLS = 16
# There are two watches, of the configuration and of the shards' holders.
MAX_WATCHES = 4


def _item(raw: wire.KeyItem) -> kvtypes.Item:
  # A removal comes as a key and revision with a flag in place of a value.
  if raw.tombstone or raw.value is None:
    return kvtypes.Item(raw.key, raw.revision, None)
  return kvtypes.Item(raw.key, raw.revision, _value(raw.key, raw.value))


def _value(key: str, text: str) -> bytes:
  try:
    return base64.b64decode(text)
  except binascii.Error as exc:
    # Whoever reads this key rejects an empty value; the others hold.
    logger.error('event=value_unreadable key={} error="{}"', key, exc)
    return b""


def _rows(values: Mapping[str, bytes], lease: int) -> list[dict]:
  return [
      {
          "key": key,
          "value": base64.b64encode(value).decode(),
          "lease": lease,
      }
      for key, value in values.items()
  ]


def _decode(decoder: msgspec.json.Decoder, response: httpio.Response, path):
  return wire.decode(decoder, response.body, path, errors.KvError)


def _pool(address: settings.Address, limit: int) -> httpio.Pool:
  return httpio.Pool(
      address,
      limit=limit,
      connect_s=CONNECT_TIMEOUT_S,
      prepare=listener.enable_dead_peer_detection,
  )


class StoreClient:
  """Calls the store at one address; `close` drops its connections."""

  def __init__(
      self,
      address: settings.Address,
      now: Callable[[], float],
      observe: hostmetrics.CallObserver | None = None,
  ):
    self._now = now
    self._observe = observe or (lambda *_: None)
    self._calls = _pool(address, MAX_CALLS)
    # Watches never wait for the turn of calls that go unanswered.
    self._watches = _pool(address, MAX_WATCHES)

  async def close(self):
    """Closes idle connections."""
    await self._calls.close()
    await self._watches.close()

  async def _call(self, method, path, query=None, body=None):
    return await self._ask(
        self._calls, CALL_TIMEOUT_S, method, path, query, body
    )

  async def _ask(
      self, pool: httpio.Pool, timeout_s, method, path, query=None, body=None
  ) -> httpio.Response:
    target = f"{path}?{urllib.parse.urlencode(query)}" if query else path
    data = b"" if body is None else msgspec.json.encode(body)
    headers = (("content-type", "application/json"),) if data else ()
    began = self._now()
    result = "no_answer"
    try:
      response = await pool.request(method, target, data, headers, timeout_s)
      result = str(response.status)
    except httpio.NotSentError as exc:
      raise errors.KvError(f"{path}: {exc}") from exc
    except httpio.LostReplyError as exc:
      # Idle connections may have gone silent along with this one.
      await self.close()
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
    raw = _decode(wire.key_replies, response, "/-/kv-key")
    items = ()
    if response.status == 200 and raw.key is not None:
      value = None if raw.value is None else _value(raw.key, raw.value)
      items = (kvtypes.Item(raw.key, raw.revision, value),)
    return kvtypes.Changes(raw.current_rev, items)

  async def range(self, prefix: str) -> kvtypes.Changes:
    """Returns all items under `prefix`; the pages are not one snapshot."""
    items: list[kvtypes.Item] = []
    query: dict[str, object] = {"prefix": prefix}
    revision = None
    while True:
      response = await self._call("GET", "/-/kv-range", query)
      page = _decode(wire.range_replies, response, "/-/kv-range")
      items += [_item(raw) for raw in page.items]
      # Watching from the first page's revision misses nothing after it.
      revision = page.current_rev if revision is None else revision
      if not page.has_more or not page.items:
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
    timeout_s = wait_ms / 1000 + WATCH_SLACK_S
    response = await self._ask(
        self._watches, timeout_s, "GET", "/-/kv-watch", query
    )
    if response.status == 410:
      raise kvtypes.HistoryGoneError(f"watch {prefix} after {after}")
    raw = _decode(wire.watch_replies, response, "/-/kv-watch")
    return kvtypes.Changes(
        raw.current_rev, tuple(_item(event) for event in raw.events)
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
            *_rows(wanted.puts, wanted.lease),
            *_rows(wanted.lasting, 0),
        ],
        "remove": list(wanted.removes),
    }
    response = await self._call("POST", "/-/kv-txn", body=body)
    if response.status == 412:
      raw = _decode(wire.conflict_replies, response, "/-/kv-txn")
      items = tuple(
          _item(item)
          for item in raw.items
          if item.revision and item.value is not None
      )
      raise kvtypes.ConflictError(f"not as expected: {wanted.expected}", items)
    if response.status == 404:
      raise kvtypes.LeaseGoneError(f"lease {wanted.lease}")
    return _decode(wire.transact_replies, response, "/-/kv-txn").revision

  async def grant(self, ttl_ms: int) -> int:
    """Returns a new lease of `ttl_ms`."""
    response = await self._call("POST", "/-/kv-lease", body={"ttlMs": ttl_ms})
    return _decode(wire.lease_replies, response, "/-/kv-lease").lease

  async def keep_alive(self, lease: int):
    """Renews a lease; raises `kvtypes.LeaseGoneError` once it has ended."""
    response = await self._call("POST", f"/-/kv-keep/{lease}")
    if response.status == 404:
      raise kvtypes.LeaseGoneError(str(lease))

  async def revoke(self, lease: int):
    """Ends a lease; its keys are removed."""
    await self._call("DELETE", f"/-/kv-lease-end/{lease}")
