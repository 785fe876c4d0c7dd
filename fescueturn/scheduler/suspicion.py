"""Holders that hosts of their data centre no longer hear, as told elsewhere.

A host whose holder is silent tells so to the holders of other data centres. Where
two of them tell the same, the silence isn't theirs, and the shard is taken over:
0.7 s after the last word of a holder that lost its power, instead of the 1.5 s
after which its claim lapses; and of one that is cut off from the other hosts but
not from the store, whose claim never does. Fences keep a holder that lives from
doing harm.
"""

from fescueturn.scheduler import linkmessages

# How many hosts must say so. One may be cut off itself; two that both reach
# another data centre are not.
AGREEING_HOSTS = 2
# A doubt is repeated with each ping, every 0.1 s, and counts for three of them.
KEPT_S = 0.35


class SuspicionTracker:
  """Who doubts which holder, and since when (s) each last said so."""

  def __init__(self):
    self._told: dict[
        linkmessages.SuspectedHolder, dict[linkmessages.HostProcess, float]
    ] = {}

  def report(
      self,
      process: linkmessages.HostProcess,
      doubts: tuple[linkmessages.SuspectedHolder, ...],
      now: float,
  ):
    """Takes the doubts that a host tells."""
    for doubt in doubts:
      self._told.setdefault(doubt, {})[process] = now

  def confirmed(self, now: float) -> tuple[linkmessages.SuspectedHolder, ...]:
    """Returns the doubts that enough hosts share."""
    for doubt, parties in list(self._told.items()):
      fresh = {p: at for p, at in parties.items() if now - at < KEPT_S}
      if fresh:
        self._told[doubt] = fresh
      else:
        del self._told[doubt]
    return tuple(
        doubt
        for doubt, parties in self._told.items()
        if len(parties) >= AGREEING_HOSTS
    )
