"""Claims: which entry host may start a job's tasks, and what its peers keep.

Before an entry host (the job's coordinator) sends any task it claims the
job's idempotency key at the key's holders, two entry hosts chosen by
rendezvous hashing (`fescueturn.routing`). A holder accepts the first claim
of a key and tells every later claimant who holds it. The messages here go
between entry hosts over `fescueturn.peer`; `ClaimTable` is one entry host's
memory of claims, its own and those it holds for others.
"""

import collections
import dataclasses
import enum

from fescueturn import errors
from fescueturn import messages
from fescueturn import routing


@dataclasses.dataclass(frozen=True, order=True)
class Token:
  """One process of an entry host; `boot` differs at every start."""

  name: str
  boot: str


@dataclasses.dataclass(frozen=True)
class Claim:
  """A coordinator's claim of a key.

  Attributes:
    key: the job's idempotency key.
    fingerprint: the job's fingerprint, "" for a cancellation.
    owner: the coordinator's process.
    number: the coordinator's own count of claims; orders a claim and its
      release.
    keep_s: seconds from now for which holders must remember the claim.
    answer: the job's final answer, once its coordinator has copied it.
  """

  key: str
  fingerprint: str
  owner: Token
  number: int
  keep_s: float = 0.0
  answer: messages.JobAnswer | None = None


class Verdict(enum.IntEnum):
  """A holder's answer to a claim."""

  ACCEPTED = 1
  HELD = 2  # Another coordinator claimed the key first.
  STALE_VIEW = 3  # Holder and claimant see different members.
  NOT_READY = 4  # The holder may not act now: its lease lapsed.


@dataclasses.dataclass(frozen=True)
class ClaimRequest:
  """Asks a holder to accept `claim`, made in the membership view `view`."""

  view: int
  claim: Claim


@dataclasses.dataclass(frozen=True)
class ClaimReply:
  """A holder's verdict.

  Attributes:
    verdict: what the holder decided.
    trusted: whether the holder surely knows every claim of the key's
      partition (False on a new holder that has not synced yet).
    held: every claim of the key by others, with verdict `HELD`.
  """

  verdict: Verdict
  trusted: bool = False
  held: tuple[Claim, ...] = ()


@dataclasses.dataclass(frozen=True)
class Release:
  """Gives a claim up: its coordinator sent nothing. No reply."""

  key: str
  owner: Token
  number: int


@dataclasses.dataclass(frozen=True)
class AnswerCopy:
  """A finished job's claim with its answer, for a holder. No reply."""

  claim: Claim


@dataclasses.dataclass(frozen=True)
class SyncRequest:
  """A new holder asks for every claim of the partitions it has gained.

  Attributes:
    view: the asker's membership view; members answer only in the same one.
    asker: the asking process.
    departed_lease: 0, or, when the asked host has gone from the asker's view,
      the lease it had there: the asked host then answers in any view, and
      stops acting in its own if it has that lease still.
    partitions: the partition numbers asked for.
  """

  view: int
  asker: Token
  departed_lease: int
  partitions: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class SyncReply:
  """The claims asked for, or `ready` False to be asked again later."""

  ready: bool
  claims: tuple[Claim, ...] = ()


@dataclasses.dataclass(frozen=True)
class ProbeRequest:
  """A host whose lease lapsed asks whether its peers still see its view."""

  view: int
  asker: Token


@dataclasses.dataclass(frozen=True)
class ProbeReply:
  """True promises not to act in a view without the asker for PROMISE_S."""

  agrees: bool


@dataclasses.dataclass(frozen=True)
class ForwardJob:
  """Passes a job to the entry host that coordinates its key already."""

  job: messages.Job
  hops: int


@dataclasses.dataclass(frozen=True)
class ForwardCancel:
  """Passes a cancellation to the entry host that coordinates the key."""

  cancel: messages.Cancel
  hops: int


@dataclasses.dataclass(frozen=True)
class Outcome:
  """What becomes of a caller's request: a whole answer, or a refusal."""

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


class ClaimTable:
  """Claims by key and coordinator, forgotten after their time.

  A key may have several: a holder that has not synced yet accepts a claim
  without knowing of an earlier one, and learns of it later. Each stays until
  its own coordinator releases it.
  """

  def __init__(self):
    self._claims: dict[str, dict[Token, Claim]] = {}
    self._until: dict[tuple[str, Token], float] = {}
    self._by_partition: dict[int, set[str]] = collections.defaultdict(set)
    self._queue: collections.deque = collections.deque()

  def __len__(self) -> int:
    return len(self._until)

  def by_others(self, key: str, owner: Token) -> tuple[Claim, ...]:
    """Returns the claims of `key` by every process but `owner`."""
    claims = self._claims.get(key, {})
    return tuple(c for token, c in claims.items() if token != owner)

  def put(self, claim: Claim, now: float):
    """Stores `claim`, to be forgotten `claim.keep_s` from `now`."""
    until = now + claim.keep_s
    self._claims.setdefault(claim.key, {})[claim.owner] = claim
    self._until[claim.key, claim.owner] = until
    self._by_partition[routing.partition(claim.key)].add(claim.key)
    self._queue.append((until, claim.key, claim.owner))

  def _remove(self, key: str, owner: Token):
    del self._claims[key][owner]
    del self._until[key, owner]
    if not self._claims[key]:
      del self._claims[key]
      self._by_partition[routing.partition(key)].discard(key)

  def release(self, release: Release):
    """Forgets the claim that `release` names, unless a later one came."""
    held = self._claims.get(release.key, {}).get(release.owner)
    if held is not None and held.number <= release.number:
      self._remove(release.key, release.owner)

  def merge(self, claim: Claim, now: float):
    """Adds a peer's claim unless the same coordinator's here says as much."""
    held = self._claims.get(claim.key, {}).get(claim.owner)
    if held is None or (held.answer is None and claim.answer is not None):
      self.put(claim, now)

  def in_partitions(self, partitions, now: float) -> tuple[Claim, ...]:
    """Returns the claims of `partitions`, each with the time left to keep."""
    return tuple(
        dataclasses.replace(
            claim, keep_s=max(0.0, self._until[key, owner] - now)
        )
        for number in partitions
        for key in sorted(self._by_partition.get(number, ()))
        for owner, claim in self._claims[key].items()
    )

  def expire(self, now: float):
    """Forgets every claim whose time is over."""
    while self._queue and self._queue[0][0] <= now:
      _, key, owner = self._queue.popleft()
      if self._until.get((key, owner), now + 1) <= now:
        self._remove(key, owner)
