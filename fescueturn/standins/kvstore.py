"""The state of the platform stand-in: keys, revisions, leases, host list.

This is the test stand-in's memory, not a product store. It mimics what the
brief says the platform's key-value service offers: compare-and-swap on a
revision, leases that delete their keys when they lapse, watches from a
revision, and a host list that lags by a set number of seconds.
"""

from fescueturn import kvtypes

HISTORY_LIMIT = 100_000


class KvStore:
  """Keys with revisions, leases and a change history; no I/O."""

  def __init__(self):
    self.revision = 0
    self.items: dict[str, kvtypes.Item] = {}
    self.history: list[kvtypes.Change] = []
    self.leases: dict[int, float] = {}
    self.lease_ttl: dict[int, float] = {}
    self._next_lease = 1

  def get(self, key: str) -> kvtypes.Item | None:
    """Returns the key's item, or None."""
    return self.items.get(key)

  def prefix(self, prefix: str) -> list[kvtypes.Item]:
    """Returns the items whose keys start with `prefix`, in key order."""
    return [self.items[k] for k in sorted(self.items) if k.startswith(prefix)]

  def put(
      self, key: str, value: str, expect: int | None, lease: int
  ) -> int | None:
    """Writes `key` if its revision is `expect` (0: absent; None: any).

    Returns:
      The new revision, or None when the compare failed or the lease is gone.
    """
    current = self.items.get(key)
    if expect is not None and (current.revision if current else 0) != expect:
      return None
    if lease and lease not in self.leases:
      return None
    self.revision += 1
    self.items[key] = kvtypes.Item(key, value, self.revision, lease)
    self._record(kvtypes.Change(self.revision, key, value))
    return self.revision

  def delete(self, key: str, expect: int | None = None) -> int | None:
    """Deletes `key` if its revision is `expect`; returns the new revision."""
    current = self.items.get(key)
    if current is None:
      return None
    if expect is not None and current.revision != expect:
      return None
    del self.items[key]
    self.revision += 1
    self._record(kvtypes.Change(self.revision, key, None))
    return self.revision

  def _record(self, change: kvtypes.Change):
    self.history.append(change)
    if len(self.history) > HISTORY_LIMIT:
      del self.history[: HISTORY_LIMIT // 2]

  def changes(self, prefix: str, after: int) -> list[kvtypes.Change] | None:
    """Returns changes under `prefix` with revision > `after`.

    Returns None when the history no longer reaches back that far; the
    watcher must then read the prefix afresh.
    """
    if self.history and after < self.history[0].revision - 1:
      return None
    return [
        c
        for c in self.history
        if c.revision > after and c.key.startswith(prefix)
    ]

  def grant(self, ttl_s: float, now: float) -> int:
    """Grants a lease for `ttl_s` seconds; returns its id."""
    lease = self._next_lease
    self._next_lease += 1
    self.leases[lease] = now + ttl_s
    self.lease_ttl[lease] = ttl_s
    return lease

  def keep_alive(self, lease: int, now: float) -> bool:
    """Renews a lease; False if it has lapsed already."""
    if lease not in self.leases:
      return False
    self.leases[lease] = now + self.lease_ttl[lease]
    return True

  def revoke(self, lease: int) -> None:
    """Ends a lease and deletes its keys."""
    self.leases.pop(lease, None)
    self.lease_ttl.pop(lease, None)
    for item in [i for i in self.items.values() if i.lease == lease]:
      self.delete(item.key)

  def expire(self, now: float) -> int:
    """Ends every lease past its time; returns how many ended."""
    lapsed = [lease for lease, until in self.leases.items() if until <= now]
    for lease in lapsed:
      self.revoke(lease)
    return len(lapsed)


class HostList:
  """The platform's list of live and leaving hosts, read with a lag."""

  def __init__(self, lag_s: float):
    self._lag_s = lag_s
    self._changes: list[tuple[float, str, kvtypes.HostRecord | None]] = []

  def set(self, now: float, name: str, record: kvtypes.HostRecord | None):
    """Records a host joining, changing or (record None) going away."""
    self._changes.append((now, name, record))

  def view(self, now: float) -> list[kvtypes.HostRecord]:
    """Returns the list as the platform shows it at `now`: lagging."""
    hosts: dict[str, kvtypes.HostRecord] = {}
    for when, name, record in self._changes:
      if when > now - self._lag_s:
        break
      if record is None:
        hosts.pop(name, None)
      else:
        hosts[name] = record
    return [hosts[n] for n in sorted(hosts)]
