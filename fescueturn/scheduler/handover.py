"""Planned handover of a shard from a holder with too little CPU.

With a holder that had half a core, a data centre answered jobs of 200 ms in a
median of 225 to 310 ms; others took 170 to 200 ms. The handover takes some
100 ms, during which running tasks continue.
"""

from fescueturn.scheduler import election
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler import succession

# Minimum time for which a host keeps a shard. The takeover is complete by then,
# and a host that restarts repeatedly doesn't move the shard each time.
MIN_TENURE_S = 3.0
# Maximum age of the successor's last ping: three ping periods, so it is up now.
SUCCESSOR_TIMEOUT_S = 0.3
# How long the releasing host doesn't claim the shard itself. If the store
# missed the release, the host retries it after this time.
YIELD_S = 1.0


def choose_successor(
    owner: ownerstate.Owner, cores: float
) -> linkmessages.HostProcess | None:
  """Returns the host with enough CPU to which the shard should move now.

  Args:
    owner: the shard's owner.
    cores: the CPU of this host, in cores of the usual speed.

  Returns:
    The host; None if the shard should stay.
  """
  if cores >= election.HOLDER_CORES or not owner.recovered:
    return None
  if owner.now - owner.taken_at < MIN_TENURE_S:
    return None
  if not _store_is_prompt(owner) or owner.kept_records.has_unsaved_changes:
    return None
  roomy = {
      process: host
      for process, host in owner.local_hosts.items()
      if host.can_hold and owner.now - host.pinged_at < SUCCESSOR_TIMEOUT_S
  }
  return succession.choose_successor(roomy, owner.now)


def _store_is_prompt(owner: ownerstate.Owner) -> bool:
  """Returns whether the store will answer the successor's claim soon.

  Otherwise the shard is better left with a host with too little CPU.
  """
  answers = succession.store_answers(owner.listed_at, owner.now)
  return answers and owner.list_took_s <= succession.PROMPT_ANSWER_S
