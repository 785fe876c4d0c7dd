"""A holder's roster: all endpoints where runs that it started may be active.

A holder replicates its roster to the hosts of its data centre, one of which
becomes the shard's next holder. The new holder knows all runs once every
endpoint of the roster has answered it, some 20 ms after its claim. Without a
roster it must wait until every lease of the previous holder has expired
(`timebudget.RECOVERY_TIMEOUT_S`).

So the tasks of a lost holder's jobs that are not found running are restarted
after some 20 ms instead of 1.5 s.
"""

import dataclasses
from collections.abc import Iterable

from fescueturn.scheduler import coordinatorstate

# The maximum age of a roster when the next holder takes over. A claim expires
# 1.5 s after its last renewal, the roster was received up to 0.1 s before that,
# and the next claim takes up to 0.2 s.
MAX_AGE_S = 2.0
# An endpoint that joins gets its first task this long after it entered the
# roster. By then every roster without it is too old to be used. The extra half
# second leaves time until fencing stops the requests of a replaced holder.
JOIN_DELAY_S = 2.5
# An endpoint stays in the roster for this long after its removal. Entries that
# expire while the store is unavailable return within seconds, and so need not
# wait for `JOIN_DELAY_S` again.
REMOVED_RETENTION_S = 10.0


@dataclasses.dataclass(frozen=True)
class RosterUpdate:
  """An update of a holder's roster for one host.

  Attributes:
    version: the current version; 0 while there is no roster yet.
    endpoints: the roster; None if the host has this version already.
  """

  version: int
  endpoints: tuple[str, ...] | None = None


NO_UPDATE = RosterUpdate(0)


class Roster:
  """The endpoints of one holder, in versions that rise with each change."""

  def __init__(self):
    self._version = 0
    self._endpoints: frozenset[str] = frozenset()
    self._removed_until: dict[str, float] = {}

  def continue_from(self, endpoints: Iterable[str], now: float):
    """Continues an earlier holder's roster, which other hosts may have."""
    self._version = 1
    for endpoint in endpoints:
      self.record_removal(endpoint, now)

  def record_removal(self, endpoint: str, now: float):
    """Records that the holder removed an endpoint, which may return soon."""
    self._removed_until[endpoint] = now + REMOVED_RETENTION_S

  def must_delay_join(self, endpoint: str, now: float) -> bool:
    """Returns whether hosts may have a roster without a joining endpoint."""
    return self._version > 0 and self._removed_until.get(endpoint, 0.0) <= now

  def update_for(
      self, known: int, in_use: Iterable[str], now: float
  ) -> RosterUpdate:
    """Returns the update for a host, and counts the version up on a change.

    Args:
      known: the version that the host has; 0 for none.
      in_use: the holder's endpoints.
      now: the time (s).
    """
    self._removed_until = {
        e: t for e, t in self._removed_until.items() if t > now
    }
    endpoints = frozenset(in_use).union(self._removed_until)
    if not endpoints and not self._version:
      return NO_UPDATE  # The list of endpoints has not been read yet.
    if endpoints != self._endpoints:
      self._endpoints = endpoints
      self._version += 1
    if known == self._version:
      return RosterUpdate(self._version)
    return RosterUpdate(self._version, tuple(sorted(self._endpoints)))


def inherited_endpoints(
    last_seen: coordinatorstate.HolderRecord | None, follows: int, now: float
) -> frozenset[str] | None:
  """Returns the endpoints where runs of the previous holder may be active.

  Args:
    last_seen: this host's record of the last holder that it has seen.
    follows: the fencing token of the immediately preceding holder; 0 if that
      isn't known.
    now: the time (s).

  Returns:
    The previous holder's roster; None if it is unknown, too old or another
    holder's.
  """
  if last_seen is None or not follows or last_seen.holder.fence != follows:
    return None
  if (
      not last_seen.roster_version
      or now - last_seen.roster_valid_at > MAX_AGE_S
  ):
    return None
  return last_seen.roster
