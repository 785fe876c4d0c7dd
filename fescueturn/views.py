"""Membership views: who the entry hosts are, and what this one may vouch for.

A view is the set of entry hosts of the data centre at one point of the
platform's revision order. `Membership` holds this host's present view, the
partitions whose claims it surely knows (trusted), the lease that lets it
act, and the promises that stand in for leases while the platform is away.
"""

import dataclasses
import hashlib

from fescueturn import claims
from fescueturn import events
from fescueturn import routing

# How long a peer's promise lasts, and how often a lapsed host asks for one.
PROMISE_S = 5.0
PROBE_INTERVAL_S = 2.0


@dataclasses.dataclass(frozen=True)
class View:
  """The entry hosts of a data centre at one point in the KV's order.

  Attributes:
    members: in order of name.
    digest: the same number in every entry host that sees these members.
    hosts: the members that hold claims (all but the leaving ones).
  """

  members: tuple[events.Member, ...]
  digest: int
  hosts: tuple[routing.Host, ...]

  @property
  def holder_names(self) -> tuple[str, ...]:
    """The names of the members that hold claims."""
    return tuple(h.name for h in self.hosts)

  def member(self, name: str) -> events.Member | None:
    """Returns the member with this name, or None."""
    return next((m for m in self.members if m.name == name), None)

  def runs(self, token: claims.Token) -> bool:
    """Tells whether this very process is a member."""
    member = self.member(token.name)
    return member is not None and member.boot == token.boot

  def holders(self, key: str) -> tuple[str, ...]:
    """Returns the names of the holders of `key`, first one first."""
    return routing.holder_table(self.hosts)[routing.partition(key)]

  def partitions_of(self, name: str) -> frozenset[int]:
    """Returns the partitions that the entry host `name` holds."""
    if name not in self.holder_names:
      return frozenset()
    table = routing.holder_table(self.hosts)
    return frozenset(p for p, held in enumerate(table) if name in held)


def make_view(members) -> View:
  """Returns the view of `members` (any order)."""
  ordered = tuple(sorted(members, key=lambda m: m.name))
  text = repr([(m.name, m.boot, m.lease, m.leaving, m.rack) for m in ordered])
  digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
  holding = tuple(
      routing.Host(m.name, m.rack) for m in ordered if not m.leaving
  )
  return View(ordered, int.from_bytes(digest, "big"), holding)


class SyncRound:
  """Fetching the claims of gained partitions: who still has to answer."""

  def __init__(self, wanted: frozenset[int], asked: dict[str, events.Member]):
    self.wanted = wanted
    self.awaiting = dict(asked)


class ProbeRound:
  """Asking every other member, at `sent_at`, for its promise."""

  def __init__(self, view: int, sent_at: float, awaiting: set[str]):
    self.view = view
    self.sent_at = sent_at
    self.awaiting = awaiting


class Membership:
  """This entry host's place among the others; changed only by the reducer."""

  def __init__(self, me: claims.Token):
    self.me = me
    self.view: View | None = None
    self.lease = 0
    self.lease_until = 0.0
    self.promised_until = 0.0
    self.promises: dict[claims.Token, float] = {}
    self.fenced_view: int | None = None
    self.trusted: frozenset[int] = frozenset()
    self.departed: dict[str, events.Member] = {}
    self.sync: SyncRound | None = None
    self.probe: ProbeRound | None = None
    self.next_probe = 0.0

  @property
  def members(self) -> tuple[events.Member, ...]:
    """The members of the present view, or none before the first."""
    return self.view.members if self.view else ()

  @property
  def is_member(self) -> bool:
    """True when the present view has this very process."""
    return self.view is not None and self.view.runs(self.me)

  def others(self) -> list[events.Member]:
    """Returns the other members of the present view."""
    return [m for m in self.members if m.name != self.me.name]

  def lease_expired(self, now: float) -> bool:
    """True when the lease is over by this host's own clock."""
    return now >= self.lease_until

  def may_accept_claims(self, now: float) -> bool:
    """Tells whether this host may accept claims at `now`.

    It must be a member, with a lease or every peer's promise in force; and
    no peer that it made a promise to may be missing from its view.
    """
    if not self.is_member or self.view.digest == self.fenced_view:
      return False
    if self.lease_expired(now) and now >= self.promised_until:
      return False
    return all(
        until <= now or self.view.runs(token)
        for token, until in self.promises.items()
    )

  def trusts(self, key: str) -> bool:
    """True when this host surely knows every claim of the key's partition."""
    return routing.partition(key) in self.trusted

  def snapshot(self, now: float) -> dict:
    """Returns a JSON-ready dump."""
    return {
        "view": f"{self.view.digest:016x}" if self.view else None,
        "is_member": self.is_member,
        "may_hold": self.may_accept_claims(now),
        "lease": self.lease,
        "lease_left_s": round(self.lease_until - now, 3),
        "promise_left_s": round(max(0.0, self.promised_until - now), 3),
        "trusted_partitions": len(self.trusted),
        "syncing_from": sorted(self.sync.awaiting) if self.sync else [],
        "departed": sorted(self.departed),
    }
