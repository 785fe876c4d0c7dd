"""The platform stand-in's key-value store, in memory.

It behaves as the platform's key-value service is specified: transactions that
are conditional on revisions, leases that delete their keys when they expire,
and watches from a revision on. `LaggingList` shows the items under one prefix
with a delay, as the platform's host list does.
"""

from fescueturn import kvtypes

HISTORY_LIMIT = 100_000


class KvStore:
  """Keys with revisions, leases and a history of changes; it does no I/O."""

  def __init__(self):
    self.revision = 0
    self._items: dict[str, kvtypes.Item] = {}
    self._lease_of: dict[str, int] = {}
    self._history: list[kvtypes.Item] = []
    self._lease_expiry: dict[int, float] = {}
    self._lease_ttl_s: dict[int, float] = {}
    self._next_lease = 1

  def get(self, key: str) -> kvtypes.Item | None:
    """Returns the key's item, or None."""
    return self._items.get(key)

  def lease_of(self, key: str) -> int:
    """Returns the lease to which a key is attached, or 0 if there is none."""
    return self._lease_of.get(key, 0)

  def range(self, prefix: str) -> list[kvtypes.Item]:
    """Returns the items whose keys start with `prefix`, in key order."""
    return [self._items[k] for k in sorted(self._items) if k.startswith(prefix)]

  def transact(self, wanted: kvtypes.Transaction) -> int:
    """Applies a transaction atomically.

    Returns:
      The revision that all its changes have.

    Raises:
      kvtypes.ConflictError: a key is not at its expected revision.
      kvtypes.LeaseGoneError: the transaction's lease does not exist any more.
    """
    for key, revision in wanted.expected.items():
      item = self._items.get(key)
      if (item.revision if item else 0) != revision:
        current_items = [
            self._items[k] for k in wanted.expected if k in self._items
        ]
        raise kvtypes.ConflictError(
            f"{key}: not at revision {revision}", tuple(current_items)
        )
    if wanted.lease and wanted.lease not in self._lease_expiry:
      raise kvtypes.LeaseGoneError(f"lease {wanted.lease} does not exist")
    self.revision += 1
    for key, value in wanted.puts.items():
      self._write(key, value, wanted.lease)
    for key, value in wanted.lasting.items():
      self._write(key, value, 0)
    for key in wanted.removes:
      self._remove(key)
    return self.revision

  def _write(self, key: str, value: bytes, lease: int):
    self._items[key] = kvtypes.Item(key, self.revision, value)
    self._lease_of[key] = lease
    self._record(self._items[key])

  def put(self, key: str, value: bytes, lease: int = 0) -> int:
    """Writes a key unconditionally; returns its new revision."""
    return self.transact(kvtypes.Transaction(puts={key: value}, lease=lease))

  def _remove(self, key: str):
    if self._items.pop(key, None) is not None:
      self._lease_of.pop(key, None)
      self._record(kvtypes.Item(key, self.revision, None))

  def _record(self, item: kvtypes.Item):
    self._history.append(item)
    if len(self._history) > HISTORY_LIMIT:
      del self._history[: HISTORY_LIMIT // 2]

  def changes(self, prefix: str, after: int) -> list[kvtypes.Item] | None:
    """Returns the changes under `prefix` with a revision above `after`.

    Returns:
      The changes in order, or None if the history doesn't reach back to
      `after`; the watcher must then read the prefix again.
    """
    if self._history and after < self._history[0].revision - 1:
      return None
    return [
        item
        for item in self._history
        if item.revision > after and item.key.startswith(prefix)
    ]

  def grant(self, ttl_s: float, now: float) -> int:
    """Grants a lease for `ttl_s` seconds; returns its id."""
    lease = self._next_lease
    self._next_lease += 1
    self._lease_expiry[lease] = now + ttl_s
    self._lease_ttl_s[lease] = ttl_s
    return lease

  def keep_alive(self, lease: int, now: float) -> bool:
    """Renews a lease; returns False if it has already ended."""
    if lease not in self._lease_expiry:
      return False
    self._lease_expiry[lease] = now + self._lease_ttl_s[lease]
    return True

  def revoke(self, lease: int) -> bool:
    """Ends a lease and deletes its keys.

    Returns:
      False if the lease had already ended.
    """
    self._lease_ttl_s.pop(lease, None)
    if self._lease_expiry.pop(lease, None) is None:
      return False
    self.revision += 1
    for key in [
        k for k, key_lease in self._lease_of.items() if key_lease == lease
    ]:
      self._remove(key)
    return True

  def expire(self, now: float) -> int:
    """Ends all expired leases; returns their number."""
    expired = [
        lease for lease, expiry in self._lease_expiry.items() if expiry <= now
    ]
    for lease in expired:
      self.revoke(lease)
    return len(expired)


class LaggingList:
  """A delayed view of the items under one prefix.

  It stands in for the platform's host list, which shows changes late.
  """

  def __init__(self, lag_s: float):
    self._lag_s = lag_s
    self._changes: list[tuple[float, kvtypes.Item]] = []

  def record_change(self, now: float, item: kvtypes.Item):
    """Records a change under the prefix at the time `now` (s)."""
    self._changes.append((now, item))

  def view(self, now: float) -> list[kvtypes.Item]:
    """Returns the items as they were `lag_s` seconds ago, in key order."""
    items: dict[str, kvtypes.Item] = {}
    for when, item in self._changes:
      if when > now - self._lag_s:
        break
      items.pop(item.key, None)
      if item.value is not None:
        items[item.key] = item
    return [items[key] for key in sorted(items)]
