"""Failure detection of holders by a quorum of the hosts in their data centre.

A host that no longer hears its data centre's holder reports it as suspected to
the holders of other data centres. Once two hosts report the same holder, the
fault is the holder's and not theirs, and its shard is taken over. A holder that
lost power is replaced 0.7 s after its last message instead of the 1.5 s after
which its claim expires. A holder that is cut off from the other hosts but not
from the store is replaced too, although its claim never expires. Fencing tokens
keep a holder that is still alive from doing harm.
"""

from fescueturn.scheduler import linkmessages

# How many hosts must suspect a holder. A single host may be cut off itself; two
# that both reach another data centre are not.
QUORUM = 2
# How long a report counts: three pings, as each ping (every 0.1 s) repeats it.
REPORT_TTL_S = 0.35


class SuspicionTracker:
  """The suspected holders, and when each host last reported them (s)."""

  def __init__(self):
    self._reports: dict[
        linkmessages.SuspectedHolder, dict[linkmessages.HostProcess, float]
    ] = {}

  def report(
      self,
      process: linkmessages.HostProcess,
      suspects: tuple[linkmessages.SuspectedHolder, ...],
      now: float,
  ):
    """Records the holders that a host suspects."""
    for suspect in suspects:
      self._reports.setdefault(suspect, {})[process] = now

  def confirmed(self, now: float) -> tuple[linkmessages.SuspectedHolder, ...]:
    """Returns the holders that a quorum of hosts suspects."""
    for suspect, reporters in list(self._reports.items()):
      recent = {p: at for p, at in reporters.items() if now - at < REPORT_TTL_S}
      if recent:
        self._reports[suspect] = recent
      else:
        del self._reports[suspect]
    return tuple(
        suspect
        for suspect, reporters in self._reports.items()
        if len(reporters) >= QUORUM
    )
