"""Client of the platform's key-value service and host list (JSON over HTTP).

Every method is one call to the service. Failures are raised as
`errors.KvError` (code 301): the caller decides whether to retry, knowing
that a lost reply may follow a write that took effect.
"""

import json
import urllib.parse

from fescueturn import codes
from fescueturn import errors
from fescueturn import httpio
from fescueturn import kvtypes
from fescueturn import settings

WATCH_TIMEOUT_S = 10.0


class KvClient:
  """Calls the platform at one address; `close` drops its connections."""

  def __init__(self, address: settings.Address, timeout_s: float = 5.0):
    self._pool = httpio.Pool(address, limit=8)
    self._timeout_s = timeout_s

  async def close(self):
    """Closes idle connections."""
    await self._pool.close()

  async def _call(
      self, method: str, path: str, body=None, query=None, timeout_s=None
  ):
    target = path
    if query:
      target += "?" + urllib.parse.urlencode(query)
    data = b"" if body is None else json.dumps(body).encode()
    try:
      response = await self._pool.request(
          method, target, data, timeout_s=timeout_s or self._timeout_s
      )
    except (httpio.NotSentError, httpio.LostReplyError) as exc:
      raise errors.KvError(str(exc)) from exc
    if response.status == 503:
      raise errors.KvError(f"{path}: platform unavailable")
    return response

  async def get(self, key: str) -> kvtypes.Item | None:
    """Returns the key's item, or None if it is absent."""
    response = await self._call("GET", "/v1/kv", query={"key": key})
    if response.status == 404:
      return None
    return kvtypes.Item(**response.json())

  async def prefix(self, prefix: str) -> tuple[int, list[kvtypes.Item]]:
    """Returns the store's revision and the items under `prefix`."""
    response = await self._call("GET", "/v1/kv", query={"prefix": prefix})
    body = response.json()
    return body["revision"], [kvtypes.Item(**i) for i in body["items"]]

  async def put(
      self, key: str, value: str, expect: int | None = None, lease: int = 0
  ) -> int:
    """Writes `key` if its revision is `expect` (0: absent; None: any).

    Returns:
      The new revision.

    Raises:
      errors.KvConflictError: the revision was not `expect` (code 300).
      errors.KvError: the service failed; the write may have applied.
    """
    body = {"key": key, "value": value, "lease": lease}
    if expect is not None:
      body["expect"] = expect
    response = await self._call("PUT", "/v1/kv", body)
    if response.status == 409:
      found = response.json()["revision"]
      raise errors.KvConflictError(
          f"{key}: revision is {found}, expected {expect}"
      )
    return response.json()["revision"]

  async def delete(self, key: str, expect: int | None = None) -> int | None:
    """Deletes `key`; returns the new revision, or None if nothing matched."""
    body = {"key": key}
    if expect is not None:
      body["expect"] = expect
    response = await self._call("POST", "/v1/kv/delete", body)
    if response.status == 409:
      return None
    return response.json()["revision"]

  async def grant(self, ttl_s: float) -> int:
    """Grants a lease of `ttl_s` seconds; returns its id."""
    response = await self._call("POST", "/v1/lease/grant", {"ttl_s": ttl_s})
    return response.json()["lease"]

  async def keep_alive(self, lease: int) -> bool:
    """Renews a lease; False if it lapsed already."""
    response = await self._call("POST", "/v1/lease/keepalive", {"lease": lease})
    return response.status == 200

  async def revoke(self, lease: int) -> None:
    """Ends a lease; its keys are deleted."""
    await self._call("POST", "/v1/lease/revoke", {"lease": lease})

  async def watch(
      self, prefix: str, after: int, timeout_s: float = WATCH_TIMEOUT_S
  ):
    """Waits for changes under `prefix` after revision `after`.

    Returns:
      The store's revision and the list of `kvtypes.Change`, possibly empty
      when `timeout_s` passed with none.

    Raises:
      errors.KvError: the service failed, or (code 302) the history no
        longer reaches `after` and the prefix must be read afresh.
    """
    query = {"prefix": prefix, "after": after, "timeout_s": timeout_s}
    response = await self._call(
        "GET", "/v1/watch", query=query, timeout_s=timeout_s + 5
    )
    if response.status == 410:
      raise errors.KvError("watch history compacted", codes.Code.KV_NOT_FOUND)
    body = response.json()
    return body["revision"], [kvtypes.Change(**c) for c in body["changes"]]

  async def hosts(self) -> list[kvtypes.HostRecord]:
    """Returns the platform's (lagging) list of live and leaving hosts."""
    response = await self._call("GET", "/v1/hosts")
    return [_host(h) for h in response.json()["hosts"]]

  async def set_host(self, record: kvtypes.HostRecord | None, name: str = ""):
    """Puts a host on the list, or (record None) takes `name` off it."""
    if record is None:
      body = {"name": name, "gone": True}
    else:
      body = {
          "name": record.name,
          "address": record.address,
          "role": record.role,
          "data_centre": record.data_centre,
          "services": list(record.services),
          "slots": record.slots,
          "leaving": record.leaving,
      }
    await self._call("PUT", "/v1/hosts", body)

  async def fault(self, mode: str, slow_ms: int = 0) -> None:
    """Tells the stand-in to inject a fault (stand-in only)."""
    await self._call("POST", "/v1/fault", {"mode": mode, "slow_ms": slow_ms})

  async def stats(self) -> dict:
    """Returns the stand-in's call counts (stand-in only)."""
    return (await self._call("GET", "/v1/stats")).json()


def _host(obj: dict) -> kvtypes.HostRecord:
  obj = dict(obj)
  obj["services"] = tuple(obj.get("services", ()))
  return kvtypes.HostRecord(**obj)
