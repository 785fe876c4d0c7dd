"""Client of the platform's key-value store, with one method per call.

It implements `kvtypes.Store`, which documents the errors that are raised. A
call that fails with a plain `errors.KvError` may have been carried out, or may
still be carried out seconds later.
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

# An answer takes 4 to 6 ms, or up to half a second when the store is slow. A
# call that is not answered in this time is retried on another connection.
CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
# How much later than its requested wait a watch may be answered.
WATCH_SLACK_S = 1.0
# Concurrent calls; further calls queue. A host makes writes for each kept job
# that it runs, and 16 concurrent calls to a store that answers in 5 ms are some
# 3,000 calls a second.
MAX_CALLS = 16
# Concurrent watches. Two are used: the configuration and the shards' holders.
MAX_WATCHES = 4


def _decode_item(raw: wire.KeyItem) -> kvtypes.Item:
  # A removed key has a tombstone flag instead of a value.
  if raw.tombstone or raw.value is None:
    return kvtypes.Item(raw.key, raw.revision, None)
  return kvtypes.Item(raw.key, raw.revision, _decode_value(raw.key, raw.value))


def _decode_value(key: str, text: str) -> bytes:
  try:
    return base64.b64decode(text)
  except binascii.Error as exc:
    # The reader of this key rejects the empty value; other items are
    # unaffected.
    logger.error('event=value_unreadable key={} error="{}"', key, exc)
    return b""


def _encode_puts(values: Mapping[str, bytes], lease: int) -> list[dict]:
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
  """Client of the store at one address."""

  def __init__(
      self,
      address: settings.Address,
      now: Callable[[], float],
      observe: hostmetrics.CallObserver | None = None,
  ):
    self._now = now
    self._observe = observe or (lambda *_: None)
    self._calls = _pool(address, MAX_CALLS)
    # Watches have a pool of their own, so that they never queue behind calls
    # that the store does not answer.
    self._watches = _pool(address, MAX_WATCHES)

  async def close(self):
    """Closes idle connections."""
    await self._calls.close()
    await self._watches.close()

  async def _call(self, method, path, query=None, body=None):
    return await self._request(
        self._calls, CALL_TIMEOUT_S, method, path, query, body
    )

  async def _request(
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
      # The pool's idle connections may be dead as well.
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

    A watch must continue from the store's revision, not from the item's: the
    store may no longer have the history since an old item was written.
    """
    response = await self._call("GET", "/-/kv-key", {"key": key})
    raw = _decode(wire.key_replies, response, "/-/kv-key")
    items = ()
    if response.status == 200 and raw.key is not None:
      value = None if raw.value is None else _decode_value(raw.key, raw.value)
      items = (kvtypes.Item(raw.key, raw.revision, value),)
    return kvtypes.Changes(raw.current_rev, items)

  async def range(self, prefix: str) -> kvtypes.Changes:
    """Returns all items under `prefix`.

    The items are read in pages, which are not a consistent snapshot. A watch
    from the returned revision reports every change since the first page.
    """
    items: list[kvtypes.Item] = []
    query: dict[str, object] = {"prefix": prefix}
    revision = None
    while True:
      response = await self._call("GET", "/-/kv-range", query)
      page = _decode(wire.range_replies, response, "/-/kv-range")
      items += [_decode_item(raw) for raw in page.items]
      # A watch from the first page's revision misses no later change.
      revision = page.current_rev if revision is None else revision
      if not page.has_more or not page.items:
        return kvtypes.Changes(revision, tuple(items))
      query["after"] = items[-1].key

  async def watch(
      self, prefix: str, after: int, wait_ms: int
  ) -> kvtypes.Changes:
    """Returns what changed under `prefix` since revision `after`.

    Raises:
      kvtypes.HistoryGoneError: the store has dropped that part of its history.
      errors.KvError: no answer came, or the store refused the call.
    """
    query = {"prefix": prefix, "after": after, "waitMs": wait_ms}
    timeout_s = wait_ms / 1000 + WATCH_SLACK_S
    response = await self._request(
        self._watches, timeout_s, "GET", "/-/kv-watch", query
    )
    if response.status == 410:
      raise kvtypes.HistoryGoneError(f"watch {prefix} after {after}")
    raw = _decode(wire.watch_replies, response, "/-/kv-watch")
    return kvtypes.Changes(
        raw.current_rev, tuple(_decode_item(event) for event in raw.events)
    )

  async def transact(self, wanted: kvtypes.Transaction) -> int:
    """Makes changes atomically; returns the store's new revision.

    Raises:
      kvtypes.ConflictError: a condition does not hold.
      kvtypes.LeaseGoneError: there is no such lease.
      errors.KvError: no answer came (the changes may still be made), or the
        store refused the call.
    """
    body = {
        "expected": [
            {"key": key, "revision": revision}
            for key, revision in wanted.expected.items()
        ],
        "setKeys": [
            *_encode_puts(wanted.puts, wanted.lease),
            *_encode_puts(wanted.lasting, 0),
        ],
        "remove": list(wanted.removes),
    }
    response = await self._call("POST", "/-/kv-txn", body=body)
    if response.status == 412:
      raw = _decode(wire.conflict_replies, response, "/-/kv-txn")
      items = tuple(
          _decode_item(item)
          for item in raw.items
          if item.revision and item.value is not None
      )
      raise kvtypes.ConflictError(
          f"revisions differ from the expected {wanted.expected}", items
      )
    if response.status == 404:
      raise kvtypes.LeaseGoneError(f"lease {wanted.lease}")
    return _decode(wire.transact_replies, response, "/-/kv-txn").revision

  async def grant(self, ttl_ms: int) -> int:
    """Creates a lease that expires `ttl_ms` after its last renewal."""
    response = await self._call("POST", "/-/kv-lease", body={"ttlMs": ttl_ms})
    return _decode(wire.lease_replies, response, "/-/kv-lease").lease

  async def keep_alive(self, lease: int):
    """Renews a lease.

    Raises:
      kvtypes.LeaseGoneError: the lease has expired.
      errors.KvError: no answer came, or the store refused the call.
    """
    response = await self._call("POST", f"/-/kv-keep/{lease}")
    if response.status == 404:
      raise kvtypes.LeaseGoneError(str(lease))

  async def revoke(self, lease: int):
    """Revokes a lease, which removes its keys."""
    await self._call("DELETE", f"/-/kv-lease-end/{lease}")
