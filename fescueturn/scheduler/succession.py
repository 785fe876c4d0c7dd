"""Planned stop of a holder: when it releases its shard, and to whom.

A claim that is released while the store is away, or while no other host of the
data centre could take the shard over, leaves a data centre without a holder
although its endpoints work. Such a holder goes on serving until a successor can
claim the shard, at the latest until its process ends.
"""

import dataclasses
import math
from collections.abc import Mapping

from fescueturn.scheduler import linkmessages

# Maximum age of a host's last ping for it to count as alive: two and a half
# idle ping periods (0.19 s), the timeout by which hosts judge a holder.
ALIVE_S = 0.5
# Minimum uptime of a successor that has others to compare with: by then it has
# read the claims and the configuration from the store.
MIN_UPTIME_S = 1.0
# Maximum age of the last list of endpoints from the store: one of the last two
# reads succeeded, so that the release and the next claim will, too.
MAX_LIST_AGE_S = 1.5
# A store that takes longer than this to answer is slow; it usually takes 6 ms.
PROMPT_ANSWER_S = 0.1


@dataclasses.dataclass(frozen=True)
class LocalHost:
  """What a holder knows of a host of its data centre from its last ping.

  Attributes:
    pinged_at: when the ping arrived (s).
    can_hold: whether the host has the CPU of a holder and isn't draining.
    draining: whether the host is being shut down.
    uptime_s: for how long its process has run (s); 0 if it doesn't say.
  """

  pinged_at: float
  can_hold: bool
  draining: bool
  uptime_s: float

  def alive(self, now: float) -> bool:
    """Returns whether the host can be expected to run."""
    return now - self.pinged_at < ALIVE_S


@dataclasses.dataclass(frozen=True)
class FenceRange:
  """Fencing tokens that a holder may grant: numbers that the store has spent.

  Attributes:
    first: the lowest.
    limit: the highest; below `first` if there are none.
  """

  first: int
  limit: int

  def split(self) -> tuple["FenceRange", "FenceRange"]:
    """Returns the part to grant to a successor, and the rest."""
    middle = (self.first + self.limit) // 2
    return FenceRange(self.first, middle), FenceRange(middle + 1, self.limit)

  def __bool__(self) -> bool:
    return self.first <= self.limit


NO_FENCES = FenceRange(1, 0)


class Claimants:
  """The other hosts of a data centre, as one of them knows them.

  They are those that have held the shard or pinged this host as its holder.
  Each may claim the shard, however long it hasn't been heard from: it may be cut
  off from this host alone.
  """

  def __init__(self):
    self._heard_at: dict[str, float] = {}

  def record(self, host: str, now: float):
    """Records that a host has pinged this one or holds the shard."""
    self._heard_at[host] = now

  def mark_silent(self):
    """Records that no host has been heard from for an unknown time."""
    self._heard_at = dict.fromkeys(self._heard_at, -math.inf)

  def silent(self, now: float, seconds: float = ALIVE_S) -> list[str]:
    """Returns the hosts that were not heard from for some seconds."""
    return sorted(
        host for host, at in self._heard_at.items() if now - at >= seconds
    )


def record(
    hosts: dict[linkmessages.HostProcess, LocalHost],
    process: linkmessages.HostProcess,
    host: LocalHost,
):
  """Records a host's ping, and forgets the hosts that have ended."""
  if process not in hosts:
    for ended in [p for p in hosts if not hosts[p].alive(host.pinged_at)]:
      del hosts[ended]
  hosts[process] = host


def choose_successor(
    hosts: Mapping[linkmessages.HostProcess, LocalHost], now: float
) -> linkmessages.HostProcess | None:
  """Returns the host that should take the shard over; None if there is none.

  Hosts with enough CPU come first, and among them the one that was started
  last: in a rolling restart it is the last to be stopped again.
  """
  live = {
      process: host
      for process, host in hosts.items()
      if not host.draining and host.alive(now)
  }
  if not live:
    return None

  def rank(process: linkmessages.HostProcess):
    host = live[process]
    is_started = host.uptime_s >= MIN_UPTIME_S
    return host.can_hold, is_started, -host.uptime_s, process.host

  return max(live, key=rank)


def store_answers(listed_at: float | None, now: float) -> bool:
  """Returns whether the store can be expected to answer.

  Args:
    listed_at: when the list of endpoints was last read from it (s), if ever.
    now: the time (s).
  """
  return listed_at is not None and now - listed_at <= MAX_LIST_AGE_S
