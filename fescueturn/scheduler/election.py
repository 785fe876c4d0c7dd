"""Which host owns a shard: when to claim it in the store, and when to stop.

The claim is a key that a lease keeps alive, written by compare-and-swap; the
revision at which it was written is the holder's fence number, so no two
holders ever share one. A claim is taken over only when its key is gone, or
its holder's process surely is (its port refuses connections).
"""

import zlib

from fescueturn.scheduler import events
from fescueturn.scheduler import model

# Hosts of a data centre claim a free shard one after the other, so that most
# claims don't collide: the round trip to the store takes 4 to 6 ms.
STAGGER_S = 0.05
# What the holder of a data centre takes of a processor at the heaviest: some
# 180 jobs of 3.6 tasks a second, at 1.5 ms a task on the holder's side.
HOLDER_CORES = 1.0
# How much longer a host with no processor at all would wait; others in
# proportion to what they lack of `HOLDER_CORES`. One of 0.516 cores waits 121 ms:
# by then a roomy one has claimed (50 ms of stagger, a tick of 20 ms, 6 ms of the
# store), and its claim is known (10 to 40 ms on a busy host). With 48 ms the two
# claimed in the same millisecond.
LOW_CPU_DELAY_S = 0.25
# A claim is tried again after this, if the shard is still free: three claims'
# usual time, few calls while the store is down.
CLAIM_RETRY_S = 0.3
# A claim younger than this is not doubted: its holder may be silent for seconds
# while it takes a thousand endpoints over, and each further change of holder
# begins that work anew. Twice as long for each change just before, up to 24 s.
DOUBTED_MIN_S = 3.0
DOUBTED_MAX_DOUBLINGS = 3
# Changes of holder that follow each other sooner count as a series.
FLAPPING_WINDOW_S = 30.0
# A host that is stopping claims only what nobody else takes.
DRAINING_PATIENCE_S = 0.6
# A holder that is heard from renews its own lost claim in this time; the
# others leave it alone meanwhile. A store that turns it away for longer
# leaves its shard without a claim, but not without a holder.
HOLDER_PATIENCE_S = 1.0
# A host that says it holds nothing may only not have heard yet that its claim
# was made: a store's answer and a watch differ by some 10 ms.
NOT_HOLDING_GRACE_S = 0.1
# A host that has not seen any holder since it started leaves a shard free for
# this long: its holder may live, and only its claim be gone with a store that
# was away. Such a holder claims its shard again within 20 ms of the store's.
NEWCOMER_PATIENCE_S = 0.3


class Candidate:
  """This host's part in the election of one shard's holder."""

  def __init__(
      self, shard: model.Shard, host: str, cores: float = HOLDER_CORES
  ):
    self.shard = shard
    self.holder: model.Holder | None = None
    # The revision of a claim that names no holder; a claim replaces it.
    self.unreadable_revision = 0
    self.free_since: float | None = 0.0
    self.holder_stale = False
    self.claiming_since: float | None = None
    self.last_claim_at = -CLAIM_RETRY_S
    self.stepped_down_fence = 0
    # When the holder last changed, and how many changes came just before.
    self.holder_changed_at = -FLAPPING_WINDOW_S
    self.recent_changes = 0
    # Until when this host leaves the shard to others (s).
    self.yield_until = 0.0
    self.store_read = False
    # The fence number of the last holder known.
    self.last_fence = 0
    # True until a holder was seen.
    self.no_holder_seen = True
    spread = zlib.crc32(f"{host}/{shard.data_centre}/{shard.number}".encode())
    self._stagger_s = STAGGER_S * (spread % 1000) / 1000
    lacking = max(0.0, 1.0 - cores / HOLDER_CORES)
    self._stagger_s += LOW_CPU_DELAY_S * lacking

  def delay_s(
      self, is_owner: bool, draining: bool, holder_alive: bool
  ) -> float:
    """Returns how long the shard must have been free for a claim."""
    if is_owner:
      return 0.0
    delay = self._stagger_s
    if self.no_holder_seen:
      delay += NEWCOMER_PATIENCE_S
    if draining:
      delay += DRAINING_PATIENCE_S
    if holder_alive:
      delay += HOLDER_PATIENCE_S
    return delay


def handle_holder_change(
    candidate: Candidate,
    holder: model.Holder | None,
    now: float,
    unreadable_revision: int = 0,
):
  """Takes what the store says of the shard's claim."""
  candidate.unreadable_revision = unreadable_revision
  first = not candidate.store_read
  candidate.store_read = True
  if holder is None:
    if first or candidate.free_since is None or candidate.holder is not None:
      candidate.free_since = now
    candidate.holder = None
    return
  if candidate.holder and candidate.holder.fence >= holder.fence:
    return
  series = now - candidate.holder_changed_at < FLAPPING_WINDOW_S
  candidate.recent_changes = candidate.recent_changes + 1 if series else 0
  candidate.holder_changed_at = now
  candidate.holder = holder
  candidate.last_fence = max(candidate.last_fence, holder.fence)
  candidate.no_holder_seen = False
  candidate.holder_stale = False
  candidate.free_since = None


def mark_holder_stale(candidate: Candidate, now: float, grace_s: float = 0.0):
  """Notes that the process that the store names as holder isn't one any more.

  Args:
    candidate: this host's part in the election.
    now: the time (s).
    grace_s: how long to leave it the shard all the same.
  """
  if candidate.holder is not None and not candidate.holder_stale:
    candidate.holder_stale = True
    candidate.free_since = now + grace_s


def may_suspect(candidate: Candidate, now: float) -> bool:
  """Returns whether the holder has had the time to be heard from."""
  doublings = min(candidate.recent_changes, DOUBTED_MAX_DOUBLINGS)
  return now - candidate.holder_changed_at >= DOUBTED_MIN_S * 2**doublings


def mark_holder_alive(candidate: Candidate):
  """Notes that the holder was heard from: nothing to claim."""
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
    candidate: this host's part in the election.
    now: the time (s).
    is_owner: whether this host serves as holder now.
    draining: whether this host is stopping.
    heard: whether the shard's last holder is still heard from.
  """
  if not candidate.store_read or candidate.free_since is None:
    return None
  if candidate.claiming_since is not None or now < candidate.yield_until:
    return None
  if now - candidate.last_claim_at < CLAIM_RETRY_S:
    return None
  if now - candidate.free_since < candidate.delay_s(
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


def handle_claim_answer(candidate: Candidate, now: float):
  """A claim ended, one way or the other; the watch tells which."""
  candidate.claiming_since = None
  candidate.last_claim_at = now
