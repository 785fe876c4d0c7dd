"""Routing: which entry hosts hold a key's claim, and whose slots are whose.

Keys fall into a fixed number of partitions. Rendezvous (highest random
weight) hashing over the entry hosts of the data centre gives each partition
its holders, so every submission of a key meets the same holders without a
store write, and a change of members moves only the partitions of the host
that came or went. The same hashing splits each endpoint's slots.
"""

import functools
import hashlib
from collections.abc import Sequence

PARTITIONS = 1024
HOLDERS = 2


def _hash(text: str) -> int:
  digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
  return int.from_bytes(digest, "big")


def partition(key: str) -> int:
  """Returns the partition (0 to PARTITIONS - 1) of an idempotency key."""
  return _hash(key) % PARTITIONS


@functools.lru_cache(maxsize=1024)
def _weights(name: str) -> tuple[int, ...]:
  """Returns `name`'s weight in every partition."""
  return tuple(_hash(f"{name}\0{p}") for p in range(PARTITIONS))


def holders(number: int, names: Sequence[str]) -> tuple[str, ...]:
  """Returns the entry hosts that hold partition `number`, first one first.

  Args:
    number: the partition.
    names: the names of the entry hosts that may hold claims.

  Returns:
    At most `HOLDERS` names, fewer when there are fewer entry hosts.
  """
  ranked = sorted(names, key=lambda n: (_weights(n)[number], n), reverse=True)
  return tuple(ranked[:HOLDERS])


@functools.lru_cache(maxsize=8)
def holder_table(names: tuple[str, ...]) -> tuple[tuple[str, ...], ...]:
  """Returns `holders` of every partition, in partition order."""
  return tuple(holders(p, names) for p in range(PARTITIONS))


def slot_share(endpoint: str, slots: int, names: Sequence[str], me: str) -> int:
  """Returns how many of an endpoint's slots the entry host `me` may fill.

  The shares of all of `names` add up to `slots`: each gets an even part,
  and the rest goes by rendezvous rank. With more entry hosts than slots,
  some get none of this endpoint and have their slots elsewhere.
  """
  if me not in names:
    return 0
  even, rest = divmod(slots, len(names))
  if not rest:
    return even
  ranked = sorted(names, key=lambda n: _hash(f"{endpoint}\0{n}"), reverse=True)
  return even + (ranked.index(me) < rest)
