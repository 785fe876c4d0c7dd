"""A holder's roster: every endpoint where something may run by its orders.

A holder tells it to the hosts of its data centre, one of which is the shard's
next holder. That one has asked everywhere as soon as each endpoint of the roster
has answered it, some 20 ms after its claim; without a roster it has to wait
until every lease of the holder before is over (`ownerstate.RECOVERY_TIMEOUT_S`).

Tasks of a job that a lost holder had, and that are not found running, then
begin again after some 20 ms instead of 1.5 s.
"""

import dataclasses
from collections.abc import Iterable

from fescueturn.scheduler import coordinatorstate

# How old a roster may be when the next holder takes over: a claim that lapses
# does so 1.5 s after its last renewal, the roster was told up to 0.1 s before,
# and the next claim takes up to 0.2 s.
MAX_AGE_S = 2.0
# An endpoint that joins gets its first order this long after it entered the
# roster: by then each roster without it is too old, with half a second for an
# order to be stopped by a fence elsewhere.
JOIN_DELAY_S = 2.5
# An endpoint stays in the roster for so long after it was dropped: entries that
# lapse with the store are back within seconds, and need not join anew.
REMOVED_RETENTION_S = 10.0


@dataclasses.dataclass(frozen=True)
class RosterUpdate:
  """What a host is told of a roster.

  Attributes:
    version: the one in force; 0 while nothing can be said.
    endpoints: the roster; None if the host has this version.
  """

  version: int
  endpoints: tuple[str, ...] | None = None


NO_UPDATE = RosterUpdate(0)


class Roster:
  """The endpoints of one holder, in versions that rise with each change."""

  def __init__(self):
    self._version = 0
    self._endpoints: frozenset[str] = frozenset()
    self._dropped: dict[str, float] = {}

  def record_removal(self, endpoint: str, now: float):
    """Notes an endpoint that the holder has dropped for now."""
    self._dropped[endpoint] = now + REMOVED_RETENTION_S

  def must_delay_join(self, endpoint: str, now: float) -> bool:
    """Returns whether hosts may know a roster without an endpoint that joins."""
    return self._version > 0 and self._dropped.get(endpoint, 0.0) <= now

  def update_for(
      self, known: int, in_use: Iterable[str], now: float
  ) -> RosterUpdate:
    """Returns what to tell a host that knows the version `known`.

    Args:
      known: the version.
      in_use: the holder's endpoints.
      now: the time (s).
    """
    self._dropped = {e: t for e, t in self._dropped.items() if t > now}
    endpoints = frozenset(in_use).union(self._dropped)
    if not endpoints and not self._version:
      return NO_UPDATE  # The list of endpoints has not been read yet.
    if endpoints != self._endpoints:
      self._endpoints = endpoints
      self._version += 1
    if known == self._version:
      return RosterUpdate(self._version)
    return RosterUpdate(self._version, tuple(sorted(self._endpoints)))


def inherited_endpoints(
    before: coordinatorstate.HolderRecord | None, follows: int, now: float
) -> frozenset[str] | None:
  """Returns where things of the holder before may run; None if unknown.

  Args:
    before: what this host knows of the last holder it knew.
    follows: the fence number of the holder just before, where that is sure.
    now: the time (s).
  """
  if before is None or not follows or before.holder.fence != follows:
    return None
  if not before.roster_version or now - before.roster_valid_at > MAX_AGE_S:
    return None
  return before.roster
