"""State of a holder's search for kept jobs' records that no host claims."""

import math

from fescueturn.scheduler import keptevents


class Search:
  """A holder's search for unclaimed records.

  Attributes:
    asked_at: when the store was last asked for them (s).
    pending: True while it hasn't answered.
    since: since when each of the records has been unclaimed and unchanged (s).
    retry_at: when the jobs in records are to be taken over again (s). None was
      left, but a holder that hasn't noticed the loss may have moved one there.
    taking: the records whose jobs are being taken over, if any.
    in_doubt: True if the last takeover may have moved jobs that it doesn't know
      of.
    arrivals: the store's revision of the last move to the holder's own records;
      0 if there was none.
  """

  def __init__(self):
    self.asked_at = -math.inf
    self.pending = False
    self.since: dict[keptevents.UnclaimedRecords, float] = {}
    self.retry_at: dict[keptevents.UnclaimedRecords, float] = {}
    self.taking: keptevents.UnclaimedRecords | None = None
    self.in_doubt = False
    self.arrivals = 0

  def forget(self):
    """Begins the waits anew, as the store may have been away."""
    self.since = {}
    self.retry_at = {}

  def snapshot(self, now: float) -> dict:
    """Returns a JSON-ready dump."""
    return {
        f"{records.shard.data_centre}/{records.shard.number}": {
            "unclaimed_s": round(now - since, 3),
            "emptied": records in self.retry_at,
        }
        for records, since in self.since.items()
    }
