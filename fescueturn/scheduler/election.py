"""Election of the host that holds a shard, by claims in the store.

A claim is a key attached to a lease and written by compare-and-swap. The
revision at which it was written is the holder's fencing token (`fence`), so no
two holders ever share one. A claim is replaced only when its key is deleted or
its holder is stale: its port refuses connections, it reports that it doesn't
hold the shard, or several hosts of its data centre no longer hear from it.
"""

import zlib

from fescueturn.scheduler import events
from fescueturn.scheduler import model
from fescueturn.scheduler import succession

# Upper bound of a host's fixed delay before it claims a free shard. Staggered
# hosts of a data centre rarely collide: the round trip to the store takes 4 to
# 6 ms.
STAGGER_S = 0.05
# CPU that the holder of a data centre needs under peak load: some 180 jobs per
# second with 3.6 tasks each, at 1.5 ms per task on the holder's side.
HOLDER_CORES = 1.0
# Extra delay before the claim of a host without any CPU; other hosts wait in
# proportion to what they lack of `HOLDER_CORES`. A host with 0.516 cores waits
# 121 ms: by then a host with enough CPU has claimed the shard (50 ms of
# stagger, a 20 ms tick and 6 ms in the store) and its claim is known (10 to 40
# ms on a busy host).
LOW_CPU_DELAY_S = 0.25
# Minimum interval at which a claim is retried while the shard is free: three
# times what a claim usually takes, and few calls while the store is down. It is
# longer where the last claim took longer.
CLAIM_RETRY_S = 0.3
# Minimum age of a claim before its holder may be suspected: a holder may be
# silent for seconds while it takes over a thousand endpoints, and each further
# change of holder restarts that work. The age doubles with each recent change,
# up to 24 s.
MIN_SUSPECT_AGE_S = 3.0
MAX_SUSPECT_AGE_DOUBLINGS = 3
# Changes of holder that follow each other within this time count as flapping.
FLAPPING_WINDOW_S = 30.0
# Extra delay of a draining host, so that it claims only shards that no other
# host claims.
DRAINING_DELAY_S = 0.6
# Extra delay of other hosts while the last holder is alive, in which it renews
# its own lost claim. A store that rejects it for longer leaves the shard
# without a claim, but not without a holder.
LIVE_HOLDER_DELAY_S = 1.0
# Grace period for a host that reports that it doesn't hold the shard: it may
# not know yet that its claim was written, since the store's answer and the
# watch differ by some 10 ms.
NOT_HOLDING_GRACE_S = 0.1
# Extra delay of a host that has not seen any holder since it started: the
# holder may be alive and only its claim have expired while the store was
# unavailable. Such a holder claims its shard again within 20 ms of the store's
# return.
NO_HOLDER_SEEN_DELAY_S = 0.3

# How long a host that its holder has named as successor claims the shard
# without delay: a slow store reports the release and answers the claim within
# this time, and if it doesn't, the other hosts claim the shard too.
NAMED_S = 3.0


class Candidate:
  """This host's state in the election of one shard's holder.

  Attributes:
    shard: the shard.
    holder: the holder that the store names, if any.
    unreadable_revision: the revision of a claim that names no holder, which a
      new claim replaces; 0 if there is no such claim.
    free_since: since when the shard may be claimed (s); None while it is held.
    holder_stale: whether `holder` is known not to hold the shard any more.
    claiming_since: when the claim under way was sent (s), if any.
    last_claim_at: when the last claim was answered (s).
    stepped_down_fence: the fencing token with which this host last stepped
      down.
    holder_changed_at: when the holder last changed (s).
    recent_changes: how many changes of holder preceded that one in a row, each
      within `FLAPPING_WINDOW_S` of the one before.
    yield_until: until when this host leaves the shard to others (s).
    store_read: whether the store's claim was read since this host started.
    last_fence: the fencing token of the last holder known.
    no_holder_seen: whether no holder was seen since this host started.
    claim_took_s: how long the store took to answer the last claim (s).
    named_until: until when this host claims the shard at once, because its
      holder has named it as its successor (s).
    released_at: when this host, as the holder, last asked the store to delete
      its claim (s).
    claimants: the other hosts that may claim the shard.
  """

  def __init__(
      self, shard: model.Shard, host: str, cores: float = HOLDER_CORES
  ):
    self.shard = shard
    self.holder: model.Holder | None = None
    self.unreadable_revision = 0
    self.free_since: float | None = 0.0
    self.holder_stale = False
    self.claiming_since: float | None = None
    self.last_claim_at = -CLAIM_RETRY_S
    self.stepped_down_fence = 0
    self.holder_changed_at = -FLAPPING_WINDOW_S
    self.recent_changes = 0
    self.yield_until = 0.0
    self.store_read = False
    self.last_fence = 0
    self.no_holder_seen = True
    self.claim_took_s = 0.0
    self.named_until = 0.0
    self.released_at = 0.0
    self.claimants = succession.Claimants()
    host_hash = zlib.crc32(
        f"{host}/{shard.data_centre}/{shard.number}".encode()
    )
    self._stagger_s = STAGGER_S * (host_hash % 1000) / 1000
    missing_cores = max(0.0, 1.0 - cores / HOLDER_CORES)
    self._stagger_s += LOW_CPU_DELAY_S * missing_cores

  def last_claim_s(self, now: float) -> float:
    """Returns how long the store took to answer the claim just won (s)."""
    if self.claiming_since is None:
      return self.claim_took_s
    return now - self.claiming_since

  def delay_s(
      self, is_owner: bool, draining: bool, holder_alive: bool
  ) -> float:
    """Returns how long the shard must have been free before a claim.

    Args:
      is_owner: whether this host serves as the shard's holder.
      draining: whether this host is draining.
      holder_alive: whether another host, the last holder, is still alive.
    """
    if is_owner and not draining:
      return 0.0
    delay = self._stagger_s
    if self.no_holder_seen:
      delay += NO_HOLDER_SEEN_DELAY_S
    if draining:
      delay += DRAINING_DELAY_S
    if holder_alive or is_owner:
      delay += LIVE_HOLDER_DELAY_S
    return delay


def handle_holder_change(
    candidate: Candidate,
    holder: model.Holder | None,
    now: float,
    unreadable_revision: int = 0,
):
  """Handles the state of the shard's claim as read from the store."""
  candidate.unreadable_revision = unreadable_revision
  is_first_read = not candidate.store_read
  candidate.store_read = True
  if holder is None:
    if (
        is_first_read
        or candidate.free_since is None
        or candidate.holder is not None
    ):
      candidate.free_since = now
    candidate.holder = None
    return
  if candidate.holder and candidate.holder.fence >= holder.fence:
    return
  is_flapping = now - candidate.holder_changed_at < FLAPPING_WINDOW_S
  candidate.recent_changes = candidate.recent_changes + 1 if is_flapping else 0
  candidate.holder_changed_at = now
  candidate.holder = holder
  candidate.last_fence = max(candidate.last_fence, holder.fence)
  candidate.no_holder_seen = False
  candidate.holder_stale = False
  candidate.free_since = None


def mark_holder_stale(candidate: Candidate, now: float, grace_s: float = 0.0):
  """Marks the holder named in the store as stale, so that it is replaced.

  Args:
    candidate: this host's state in the election.
    now: the current time (s).
    grace_s: how long the shard is still left to the holder (s).
  """
  if candidate.holder is not None and not candidate.holder_stale:
    candidate.holder_stale = True
    candidate.free_since = now + grace_s


def may_suspect(candidate: Candidate, now: float) -> bool:
  """Returns whether the claim is old enough for its holder to be suspected."""
  doublings = min(candidate.recent_changes, MAX_SUSPECT_AGE_DOUBLINGS)
  return now - candidate.holder_changed_at >= MIN_SUSPECT_AGE_S * 2**doublings


def mark_holder_alive(candidate: Candidate):
  """Marks a holder that answered as alive, unless a claim is under way."""
  if candidate.holder_stale and candidate.claiming_since is None:
    candidate.holder_stale = False
    candidate.free_since = None


def decide(
    candidate: Candidate,
    now: float,
    is_owner: bool,
    draining: bool,
    holder_alive: bool,
) -> events.ClaimShard | None:
  """Returns the claim to make now, if any.

  Args:
    candidate: this host's state in the election.
    now: the current time (s).
    is_owner: whether this host serves as the shard's holder.
    draining: whether this host is draining.
    holder_alive: whether another host, the last holder, is still alive.
  """
  if not candidate.store_read or candidate.free_since is None:
    return None
  if candidate.claiming_since is not None or now < candidate.yield_until:
    return None
  retry_s = max(CLAIM_RETRY_S, candidate.claim_took_s)
  if now - candidate.last_claim_at < retry_s:
    return None
  must_wait = draining or not is_named(candidate, now)
  if must_wait and now - candidate.free_since < candidate.delay_s(
      is_owner, draining, holder_alive
  ):
    return None
  candidate.claiming_since = now
  replaces = (
      candidate.holder.fence
      if candidate.holder
      else candidate.unreadable_revision
  )
  return events.ClaimShard(candidate.shard, replaces, candidate.last_fence)


def name_successor(candidate: Candidate, now: float):
  """Handles the holder's message that this host is its successor."""
  candidate.named_until = now + NAMED_S


def is_named(candidate: Candidate, now: float) -> bool:
  """Returns whether this host claims the shard at once when it is free."""
  return now < candidate.named_until


def handle_claim_answer(candidate: Candidate, now: float):
  """Handles the answer to a claim; the watch reports whether it succeeded."""
  if candidate.claiming_since is not None:
    candidate.claim_took_s = now - candidate.claiming_since
  candidate.claiming_since = None
  candidate.last_claim_at = now
