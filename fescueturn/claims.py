"""Claims on idempotency keys, and the messages between entry hosts.

Before an entry host (the job's coordinator) sends any task, it claims the
job's idempotency key at the key's holders, two entry hosts chosen by
rendezvous hashing (`fescueturn.routing`). A holder accepts the first claim of
a key and answers every later claimant with the earlier claim. The messages are
sent over `fescueturn.peer`. `ClaimTable` stores the claims an entry host knows:
its own and those it holds for others.
"""

import collections
import dataclasses
import enum

from fescueturn import errors
from fescueturn import messages
from fescueturn import routing


@dataclasses.dataclass(frozen=True, order=True)
class Token:
  """Identifies one process of an entry host; `boot` differs at every start."""

  name: str
  boot: str


@dataclasses.dataclass(frozen=True)
class Claim:
  """A coordinator's claim of a key.

  Attributes:
    key: the job's idempotency key.
    fingerprint: the job's fingerprint, "" for a cancellation.
    owner: the coordinator's process.
    number: the coordinator's sequence number; orders its claims and releases
      of a key.
    keep_s: how long from now the holders must keep the claim, in seconds.
    answer: the job's final answer, once its coordinator has replicated it.
  """

  key: str
  fingerprint: str
  owner: Token
  number: int
  keep_s: float = 0.0
  answer: messages.JobAnswer | None = None


class Verdict(enum.IntEnum):
  """A holder's decision on a claim."""

  ACCEPTED = 1
  HELD = 2  # Another coordinator claimed the key first.
  STALE_VIEW = 3  # Holder and claimant have different membership views.
  NOT_READY = 4  # The holder may not accept claims: its lease expired.


@dataclasses.dataclass(frozen=True)
class ClaimRequest:
  """Asks a holder to accept `claim`; `view` is the claimant's view digest."""

  view: int
  claim: Claim


@dataclasses.dataclass(frozen=True)
class ClaimReply:
  """A holder's reply to a `ClaimRequest`.

  Attributes:
    verdict: the holder's decision.
    trusted: True if the holder is certain to know every claim of the key's
      partition (False on a new holder that has not synced yet).
    held: with verdict `HELD`, every claim of the key by other processes.
  """

  verdict: Verdict
  trusted: bool = False
  held: tuple[Claim, ...] = ()


@dataclasses.dataclass(frozen=True)
class Release:
  """Releases a claim whose coordinator started no task. One-way."""

  key: str
  owner: Token
  number: int


@dataclasses.dataclass(frozen=True)
class AnswerCopy:
  """Replicates a finished job's claim and answer to a holder. One-way."""

  claim: Claim


@dataclasses.dataclass(frozen=True)
class SyncRequest:
  """Requests every claim of the partitions that the asker newly holds.

  Attributes:
    view: digest of the asker's membership view; a member replies only if its
      own view is the same.
    asker: the requesting process.
    departed_lease: 0 if the receiver is a member of the asker's view. Otherwise
      the lease that the receiver last had there: it then replies in any view,
      and if it still has that lease, accepts no more claims in its own view.
    partitions: the requested partition numbers.
  """

  view: int
  asker: Token
  departed_lease: int
  partitions: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class SyncReply:
  """The requested claims; `ready` is False if the asker must retry later."""

  ready: bool
  claims: tuple[Claim, ...] = ()


@dataclasses.dataclass(frozen=True)
class ProbeRequest:
  """Asks a peer for a promise (see `ProbeReply`); the asker's lease expired.

  `view` is the digest of the asker's membership view.
  """

  view: int
  asker: Token


@dataclasses.dataclass(frozen=True)
class ProbeReply:
  """Reply to a probe.

  If `agrees` is True, the peer promises for `views.PROMISE_S` seconds not to
  accept claims in a view without the asker.
  """

  agrees: bool


@dataclasses.dataclass(frozen=True)
class ForwardJob:
  """Forwards a job to another entry host, usually its key's coordinator."""

  job: messages.Job
  hops: int


@dataclasses.dataclass(frozen=True)
class ForwardCancel:
  """Forwards a cancellation to another entry host, as `ForwardJob`."""

  cancel: messages.Cancel
  hops: int


@dataclasses.dataclass(frozen=True)
class Outcome:
  """The outcome of a caller's request: an answer, or a refusal."""

  answer: messages.JobAnswer | None = None
  error: errors.FescueError | None = None
  retry_after_s: int = 0


Request = (
    ClaimRequest
    | Release
    | AnswerCopy
    | SyncRequest
    | ProbeRequest
    | ForwardJob
    | ForwardCancel
)
Reply = ClaimReply | SyncReply | ProbeReply | Outcome
ONE_WAY = (Release, AnswerCopy)


def _version(claim: Claim) -> tuple[int, bool]:
  """Returns what orders a coordinator's claims of one key, oldest first."""
  return claim.number, claim.answer is not None


class ClaimTable:
  """Claims by key and coordinator, with expiry.

  A key can have several claims: a holder that has not synced yet accepts a
  claim without knowing an earlier one, which a sync adds later. Each claim
  stays until it expires or its own coordinator releases it.
  """

  def __init__(self):
    self._claims: dict[str, dict[Token, Claim]] = {}
    self._expiry: dict[tuple[str, Token], float] = {}
    self._by_partition: dict[int, set[str]] = collections.defaultdict(set)
    self._expiry_queue: collections.deque = collections.deque()

  def __len__(self) -> int:
    return len(self._expiry)

  def by_others(self, key: str, owner: Token) -> tuple[Claim, ...]:
    """Returns the claims of `key` by processes other than `owner`."""
    claims = self._claims.get(key, {})
    return tuple(c for token, c in claims.items() if token != owner)

  def put(self, claim: Claim, now: float):
    """Stores `claim`; it expires `claim.keep_s` seconds after `now`.

    A late copy of a claim doesn't replace a later claim of the same coordinator
    or the claim's answer.
    """
    held = self._claims.get(claim.key, {}).get(claim.owner)
    if held is not None and _version(held) > _version(claim):
      return
    until = now + claim.keep_s
    self._claims.setdefault(claim.key, {})[claim.owner] = claim
    self._expiry[claim.key, claim.owner] = until
    self._by_partition[routing.partition(claim.key)].add(claim.key)
    self._expiry_queue.append((until, claim.key, claim.owner))

  def _remove(self, key: str, owner: Token):
    del self._claims[key][owner]
    del self._expiry[key, owner]
    if not self._claims[key]:
      del self._claims[key]
      self._by_partition[routing.partition(key)].discard(key)

  def release(self, release: Release):
    """Removes the released claim, unless its coordinator made a later one."""
    held = self._claims.get(release.key, {}).get(release.owner)
    if held is not None and held.number <= release.number:
      self._remove(release.key, release.owner)

  def merge(self, claim: Claim, now: float):
    """Stores a claim received from a peer, unless it adds nothing.

    It adds something if this table has no claim of the same coordinator, or
    one without the answer that `claim` has.
    """
    held = self._claims.get(claim.key, {}).get(claim.owner)
    if held is None or (held.answer is None and claim.answer is not None):
      self.put(claim, now)

  def in_partitions(self, partitions, now: float) -> tuple[Claim, ...]:
    """Returns the claims of `partitions`, with `keep_s` as the time left."""
    return tuple(
        dataclasses.replace(
            claim, keep_s=max(0.0, self._expiry[key, owner] - now)
        )
        for number in partitions
        for key in sorted(self._by_partition.get(number, ()))
        for owner, claim in self._claims[key].items()
    )

  def expire(self, now: float):
    """Removes every expired claim."""
    while self._expiry_queue and self._expiry_queue[0][0] <= now:
      _, key, owner = self._expiry_queue.popleft()
      if self._expiry.get((key, owner), now + 1) <= now:
        self._remove(key, owner)
