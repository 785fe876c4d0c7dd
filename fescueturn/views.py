"""Membership views, and an entry host's state within the membership.

A view is the set of entry hosts of the data centre at one store revision.
`Membership` holds this host's current view, the partitions of which it knows
every claim (trusted), the lease that permits it to accept claims, and the
promises that replace leases during a platform outage.
"""

import dataclasses
import hashlib

from fescueturn import claims
from fescueturn import events
from fescueturn import routing

# How long a peer's promise is valid, and how often a host with an expired lease
# requests promises.
PROMISE_S = 5.0
PROBE_INTERVAL_S = 2.0


@dataclasses.dataclass(frozen=True)
class View:
  """The entry hosts of a data centre at one store revision.

  Attributes:
    members: all entry hosts, sorted by name.
    digest: a hash of the members, equal on all entry hosts with this view.
    hosts: the members that hold claims (all except the leaving ones).
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
    """Returns True if the process `token` is a member."""
    member = self.member(token.name)
    return member is not None and member.boot == token.boot

  def holders(self, key: str) -> tuple[str, ...]:
    """Returns the names of the holders of `key`, highest-ranked first."""
    return routing.holder_table(self.hosts)[routing.partition(key)]

  def partitions_of(self, name: str) -> frozenset[int]:
    """Returns the partition numbers that the entry host `name` holds."""
    if name not in self.holder_names:
      return frozenset()
    table = routing.holder_table(self.hosts)
    return frozenset(p for p, held in enumerate(table) if name in held)


def make_view(members) -> View:
  """Returns the view of `members`, which may be in any order."""
  ordered = tuple(sorted(members, key=lambda m: m.name))
  text = repr([(m.name, m.boot, m.lease, m.leaving, m.rack) for m in ordered])
  digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
  holding = tuple(
      routing.Host(m.name, m.rack) for m in ordered if not m.leaving
  )
  return View(ordered, int.from_bytes(digest, "big"), holding)


class SyncRound:
  """A sync in progress.

  Attributes:
    number: the round's number.
    wanted: the partitions whose claims are requested.
    awaiting: the hosts that have not sent their claims yet, by name.
  """

  def __init__(
      self,
      number: int,
      wanted: frozenset[int],
      hosts: dict[str, events.Member],
  ):
    self.number = number
    self.wanted = wanted
    self.awaiting = dict(hosts)


class ProbeRound:
  """A round of promise requests in progress.

  Attributes:
    number: the round's number.
    view: digest of the view in which the requests were sent.
    sent_at: when they were sent.
    awaiting: names of the members that have not promised yet.
  """

  def __init__(
      self, number: int, view: int, sent_at: float, awaiting: set[str]
  ):
    self.number = number
    self.view = view
    self.sent_at = sent_at
    self.awaiting = awaiting


class Membership:
  """This entry host's membership state; changed only by the reducer.

  Attributes:
    me: this process.
    view: the current view; None before the first.
    lease: id of this host's lease.
    lease_until: when the lease expires, by this host's clock.
    promised_until: until when the promises of all peers replace the lease.
    promises: expiry times of the promises given to other processes.
    fenced_view: digest of a view in which this host accepts no claims.
    trusted: the partitions of which this host knows every claim.
    departed: members that left the view without draining and may still run,
      by name.
    sync: the sync in progress, or None.
    probe: the last round of promise requests, or None.
    next_probe: the earliest time for the next such round.
  """

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
    """The members of the current view; empty before the first view."""
    return self.view.members if self.view else ()

  @property
  def is_member(self) -> bool:
    """True if this process is a member of the current view."""
    return self.view is not None and self.view.runs(self.me)

  def others(self) -> list[events.Member]:
    """Returns the other members of the current view."""
    return [m for m in self.members if m.name != self.me.name]

  def lease_expired(self, now: float) -> bool:
    """Returns True if the lease has expired by this host's clock."""
    return now >= self.lease_until

  def may_accept_claims(self, now: float) -> bool:
    """Returns True if this host may accept claims at `now`.

    It must be an unfenced member with a valid lease or valid promises from all
    peers. Every peer to which it gave a promise that is still valid must be in
    its view.
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
    """Returns True if this host knows every claim of the key's partition."""
    return routing.partition(key) in self.trusted

  def snapshot(self, now: float) -> dict:
    """Returns a JSON-serialisable dump."""
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
