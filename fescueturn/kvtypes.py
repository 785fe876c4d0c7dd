"""What the platform's key-value store holds and takes, and the client's shape.

The product sees the store through `Store`; `platform.store` speaks its wire.
"""

import dataclasses
import json
from collections.abc import Mapping
from typing import Protocol

from fescueturn import errors


@dataclasses.dataclass(frozen=True)
class Item:
  """A key's value; `value` is None once the key is removed.

  Attributes:
    key: its name.
    revision: the store's when it was written last.
    value: its bytes.
  """

  key: str
  revision: int
  value: bytes | None


@dataclasses.dataclass(frozen=True)
class Changes:
  """What a watch or a range returned, up to the store's `revision`."""

  revision: int
  items: tuple[Item, ...]


@dataclasses.dataclass(frozen=True)
class Transaction:
  """Changes made all or none.

  Attributes:
    expected: the revision of each key that must hold; 0: no such key.
    puts: values to write.
    removes: keys to remove.
    lease: what holds the written keys; 0 for nothing.
    lasting: values to write that no lease holds.
  """

  expected: Mapping[str, int] = dataclasses.field(default_factory=dict)
  puts: Mapping[str, bytes] = dataclasses.field(default_factory=dict)
  removes: tuple[str, ...] = ()
  lease: int = 0
  lasting: Mapping[str, bytes] = dataclasses.field(default_factory=dict)


class HistoryGoneError(errors.KvError):
  """The store has dropped the history a watch asked for: read anew."""


class LeaseGoneError(errors.KvError):
  """The lease has ended, or never was."""


class ConflictError(errors.KvConflictError):
  """A condition of a transaction did not hold: nothing was done.

  Attributes:
    items: the keys of all its conditions that exist, by name.
  """

  def __init__(self, message: str, items: tuple[Item, ...] = ()):
    super().__init__(message)
    self.items = {item.key: item for item in items}


class Store(Protocol):
  """A client of the store.

  Every failure is an `errors.KvError`; of one that is none of the above
  nothing says whether the call was, or will be, carried out.
  """

  async def get(self, key: str) -> Changes:
    """Returns a key's item, if there is one, and the store's revision."""

  async def range(self, prefix: str) -> Changes:
    """Returns all items under `prefix`."""

  async def watch(self, prefix: str, after: int, wait_ms: int) -> Changes:
    """Returns what changed under `prefix` since revision `after`."""

  async def transact(self, wanted: Transaction) -> int:
    """Makes changes, all or none; returns the store's new revision."""

  async def grant(self, ttl_ms: int) -> int:
    """Returns a new lease of `ttl_ms`."""

  async def keep_alive(self, lease: int):
    """Renews a lease."""

  async def revoke(self, lease: int):
    """Ends a lease; its keys are removed."""

  async def close(self):
    """Closes idle connections."""


HOSTS_PREFIX = "/hosts/"


@dataclasses.dataclass(frozen=True)
class HostRecord:
  """An endpoint on the product's own list of hosts."""

  name: str
  address: str
  data_centre: str
  services: tuple[str, ...] = ()
  slots: int = 0
  leaving: bool = False

  @property
  def key(self) -> str:
    """Where the store has it."""
    return HOSTS_PREFIX + self.name

  def encode(self) -> bytes:
    """Returns its value in the store."""
    return json.dumps(dataclasses.asdict(self)).encode()


def decode_host(value: bytes) -> HostRecord:
  """Returns the host in an item's value.

  Raises:
    errors.SettingsError: it is none.
  """
  try:
    raw = json.loads(value)
    raw["services"] = tuple(raw.get("services", ()))
    return HostRecord(**raw)
  except (TypeError, ValueError, AttributeError) as exc:
    raise errors.SettingsError(f"host record: {exc!r}") from exc
