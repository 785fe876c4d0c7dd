"""Planned handover of a shard from a holder with too little CPU.

With a holder that had half a core, a data centre answered jobs of 200 ms in a
median of 225 to 310 ms; others took 170 to 200 ms. The handover takes some
100 ms, during which running tasks continue.
"""

from fescueturn.scheduler import election
from fescueturn.scheduler import ownerstate

# Minimum time for which a host keeps a shard. The takeover is complete by then,
# and a host that restarts repeatedly doesn't move the shard each time.
MIN_TENURE_S = 3.0
# Maximum age of the successor's last ping: three ping periods, so it is up now.
SUCCESSOR_TIMEOUT_S = 0.3
# Maximum age of the list of endpoints: one of its last two reads succeeded, so
# the store is reachable for the release of the claim and the successor's claim.
MAX_LIST_AGE_S = 1.5
# How long the releasing host doesn't claim the shard itself. If the store
# missed the release, the host retries it after this time.
YIELD_S = 1.0


def should_hand_over(owner: ownerstate.Owner, cores: float) -> bool:
  """Returns whether the shard should move to a host with more CPU now.

  Args:
    owner: the shard's owner.
    cores: the CPU of this host, in cores of the usual speed.
  """
  if cores >= election.HOLDER_CORES or not owner.recovered:
    return False
  if owner.now - owner.taken_at < MIN_TENURE_S:
    return False
  if owner.listed_at is None or owner.now - owner.listed_at > MAX_LIST_AGE_S:
    return False
  if owner.kept_records.has_unsaved_changes:
    return False
  return any(
      owner.now - at < SUCCESSOR_TIMEOUT_S for at in owner.successors.values()
  )
