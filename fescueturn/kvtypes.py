"""What the key-value service and its host list hold: items, changes, hosts."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Item:
  """A key's value, the revision that last wrote it and its lease (or 0)."""

  key: str
  value: str
  revision: int
  lease: int = 0


@dataclasses.dataclass(frozen=True)
class Change:
  """One write or delete in revision order; `value` None for a delete."""

  revision: int
  key: str
  value: str | None


@dataclasses.dataclass(frozen=True)
class HostRecord:
  """A host on the platform's host list."""

  name: str
  address: str
  role: str
  data_centre: str
  services: tuple[str, ...] = ()
  slots: int = 0
  leaving: bool = False
