"""Types of the platform's key-value store and the interface of its client.

The package uses the store through `Store`; `platform.store` implements it over
the platform's HTTP interface.
"""

import dataclasses
import json
from collections.abc import Mapping
from typing import Protocol

from fescueturn import errors


@dataclasses.dataclass(frozen=True)
class Item:
  """A key and its value, or the removal of a key.

  Attributes:
    key: the key's name.
    revision: the store's revision at the key's last change.
    value: the value's bytes; None if the key was removed.
  """

  key: str
  revision: int
  value: bytes | None


@dataclasses.dataclass(frozen=True)
class Changes:
  """The result of a read or a watch, complete up to the store's `revision`."""

  revision: int
  items: tuple[Item, ...]


@dataclasses.dataclass(frozen=True)
class Transaction:
  """A conditional set of changes that is applied atomically.

  Attributes:
    expected: conditions: the revision that each key must have; 0 means that
      the key must not exist.
    puts: values to write, by key; attached to `lease`.
    removes: keys to remove.
    lease: the lease whose end removes the keys in `puts`; 0 for none.
    lasting: values to write, by key, that are not attached to the lease.
  """

  expected: Mapping[str, int] = dataclasses.field(default_factory=dict)
  puts: Mapping[str, bytes] = dataclasses.field(default_factory=dict)
  removes: tuple[str, ...] = ()
  lease: int = 0
  lasting: Mapping[str, bytes] = dataclasses.field(default_factory=dict)


class HistoryGoneError(errors.KvError):
  """The history that a watch needs was compacted; read the keys again."""


class LeaseGoneError(errors.KvError):
  """The lease has expired, was revoked or never existed."""


class ConflictError(errors.KvConflictError):
  """A condition of a transaction failed, so no change was applied.

  Attributes:
    items: the current items of the keys in its conditions, by key; keys that
      do not exist are absent.
  """

  def __init__(self, message: str, items: tuple[Item, ...] = ()):
    super().__init__(message)
    self.items = {item.key: item for item in items}


class Store(Protocol):
  """Interface of the store's client.

  All failures are raised as `errors.KvError`. Unless the error is one of the
  subclasses above, the call may have taken effect, or may do so later.
  """

  async def get(self, key: str) -> Changes:
    """Returns the key's item, if it exists, and the store's revision."""

  async def range(self, prefix: str) -> Changes:
    """Returns all items under `prefix`."""

  async def watch(self, prefix: str, after: int, wait_ms: int) -> Changes:
    """Returns changes under `prefix` after revision `after`.

    Waits up to `wait_ms` milliseconds for a change.
    """

  async def transact(self, wanted: Transaction) -> int:
    """Applies the changes atomically; returns the store's new revision."""

  async def grant(self, ttl_ms: int) -> int:
    """Returns the id of a new lease of `ttl_ms` milliseconds."""

  async def keep_alive(self, lease: int):
    """Renews the lease for its full duration."""

  async def revoke(self, lease: int):
    """Revokes the lease, which removes the keys attached to it."""

  async def close(self):
    """Closes idle connections."""


HOSTS_PREFIX = "/hosts/"


@dataclasses.dataclass(frozen=True)
class HostRecord:
  """An endpoint's entry in the host list that the store keeps."""

  name: str
  address: str
  data_centre: str
  services: tuple[str, ...] = ()
  slots: int = 0
  leaving: bool = False

  @property
  def key(self) -> str:
    """The record's key in the store."""
    return HOSTS_PREFIX + self.name

  def encode(self) -> bytes:
    """Returns the record as it is stored."""
    return json.dumps(dataclasses.asdict(self)).encode()


def decode_host(value: bytes) -> HostRecord:
  """Returns the host record in a stored value.

  Raises:
    errors.SettingsError: the value is not a valid host record.
  """
  try:
    raw = json.loads(value)
    raw["services"] = tuple(raw.get("services", ()))
    return HostRecord(**raw)
  except (TypeError, ValueError, AttributeError) as exc:
    raise errors.SettingsError(f"invalid host record: {exc!r}") from exc
