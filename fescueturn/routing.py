"""Routing: which entry host owns a key, and which endpoint takes a task.

The owner of an idempotency key is chosen by rendezvous (highest random
weight) hashing over the live entry hosts of the data centre, so every retry
of a key reaches the same owner without a store write, and a membership
change moves only the keys of the host that came or went.
"""

import hashlib
from collections.abc import Sequence

from fescueturn import events


def _weight(member: str, key: str) -> int:
  digest = hashlib.blake2b(f"{member}\0{key}".encode(), digest_size=8).digest()
  return int.from_bytes(digest, "big")


def owner(key: str, members: Sequence[events.Member]) -> events.Member | None:
  """Returns the member that owns `key`, or None when there is none."""
  if not members:
    return None
  return max(members, key=lambda m: (_weight(m.name, key), m.name))


def slot_share(slots: int, members: int) -> int:
  """Returns this entry host's share of an endpoint's slots.

  Each of `members` entry hosts may keep this many tasks in flight on one
  endpoint, so together they stay within its `slots` (at least one each).
  """
  return max(1, slots // max(1, members))
