"""Assigns keys to holders, and shares of endpoint slots to entry hosts.

Keys map to a fixed number of partitions. Rendezvous (highest random weight)
hashing over the entry hosts of the data centre assigns each partition its
holders, on different racks. Every submission of a key therefore reaches the
same holders without a store write, and a membership change moves only the
partitions of the host that joined or left. The same hashing divides each
endpoint's slots among the entry hosts.
"""

import dataclasses
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
  """Returns the rendezvous weight of the host `name` for each partition."""
  return tuple(_hash(f"{name}\0{p}") for p in range(PARTITIONS))


@dataclasses.dataclass(frozen=True)
class Host:
  """An entry host that may hold claims; `rack` "" counts as its own rack."""

  name: str
  rack: str = ""


@functools.lru_cache(maxsize=8)
def holder_table(hosts: tuple[Host, ...]) -> tuple[tuple[str, ...], ...]:
  """Returns each partition's holders, in partition order.

  Args:
    hosts: the entry hosts that may hold claims.

  Returns:
    Per partition at most `HOLDERS` names, the highest-ranked first, on
    different racks where there are enough; fewer when there are fewer hosts.
  """
  if not hosts:
    return ((),) * PARTITIONS
  columns = zip(*(_weights(h.name) for h in hosts), strict=True)
  return tuple(_pick_holders(weights, hosts) for weights in columns)


def _pick_holders(weights: tuple[int, ...], hosts) -> tuple[str, ...]:
  """Returns a partition's holders by weight, on different racks if possible."""
  ranked = [hosts[weights.index(w)] for w in sorted(weights, reverse=True)]
  chosen, racks = [], set()
  for host in ranked:
    if not host.rack or host.rack not in racks:
      chosen.append(host)
      racks.add(host.rack)
      if len(chosen) == HOLDERS:
        break
  chosen += [h for h in ranked if h not in chosen][: HOLDERS - len(chosen)]
  return tuple(h.name for h in chosen)


def slot_share(endpoint: str, slots: int, names: Sequence[str], me: str) -> int:
  """Returns how many of an endpoint's slots the entry host `me` may fill.

  The shares of all `names` add up to `slots`: each host gets an equal part, and
  the remainder goes to the hosts with the highest rendezvous rank. With more
  entry hosts than slots, some hosts get no slot of this endpoint, and use
  other endpoints.
  """
  if me not in names:
    return 0
  equal_part, remainder = divmod(slots, len(names))
  if not remainder:
    return equal_part
  ranked = sorted(names, key=lambda n: _hash(f"{endpoint}\0{n}"), reverse=True)
  return equal_part + (ranked.index(me) < remainder)
