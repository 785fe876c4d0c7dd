"""The lease that an owner keeps at an endpoint, on the endpoint's own clock."""

import math

from fescueturn.scheduler import timebudget

# The longest lease that the platform allows.
MAX_LEASE_MS = 1000
# How long after it was sent a start request may keep a run alive at another
# incarnation than the one it was meant for, whose clock began anew: a connection
# may take 0.25 s to open, a lost packet 0.2 s to be sent again, and the run has
# the longest lease.
OTHER_INCARNATION_S = (
    0.25 + 0.2 + MAX_LEASE_MS / 1000 / timebudget.MIN_CLOCK_RATE
)


class Lease:
  """An endpoint's lease, and the estimate of the clock that it ends by.

  Attributes:
    end_ms: the latest end that it may have, on the endpoint's clock.
  """

  def __init__(self):
    self.end_ms = 0
    self._clock_ms: int | None = None
    self._clock_at = 0.0

  def record_clock(self, clock_ms: int, now: float):
    """Records the endpoint's clock from an answer."""
    self._clock_ms = clock_ms
    self._clock_at = now

  def clock_ms(self, now: float) -> int | None:
    """Returns the endpoint's clock, estimated from below; None if unknown."""
    if self._clock_ms is None:
      return None
    elapsed_ms = (now - self._clock_at) * 1000
    return self._clock_ms + int(elapsed_ms * timebudget.MIN_CLOCK_RATE)

  def latest_clock_ms(self, now: float) -> int | None:
    """Returns the endpoint's clock, estimated from above; None if unknown."""
    if self._clock_ms is None:
      return None
    elapsed_ms = (now - self._clock_at) * 1000
    return self._clock_ms + math.ceil(
        elapsed_ms * (2 - timebudget.MIN_CLOCK_RATE)
    )

  def clock_gain_ms(self, clock_ms: int | None, now: float) -> float:
    """Returns by how much an answer's clock exceeds any that is possible."""
    if clock_ms is None or self._clock_ms is None:
      return 0.0
    elapsed_ms = (now - self._clock_at) * 1000
    return (
        clock_ms - self._clock_ms - elapsed_ms * (2 - timebudget.MIN_CLOCK_RATE)
    )

  def expired(self, now: float) -> bool:
    """Returns whether the endpoint's lease has surely expired."""
    clock = self.clock_ms(now)
    return (
        clock is not None
        and clock > self.end_ms + timebudget.LEASE_EXPIRY_MARGIN_MS
    )

  def cover_earlier(self, clock_ms: int):
    """Takes into account that earlier holders may have extended the lease.

    Args:
      clock_ms: the endpoint's clock when it answered this holder's first call;
        it has refused the calls of earlier holders since.
    """
    self.end_ms = max(self.end_ms, clock_ms + MAX_LEASE_MS)

  def extend(self, now: float) -> int | None:
    """Extends the lease by its full length from now.

    Returns:
      The end of the lease on the endpoint's clock, to be requested from the
      endpoint; None if the clock is unknown.
    """
    clock = self.clock_ms(now)
    if clock is None:
      return None
    end = clock + timebudget.LEASE_MS
    self.end_ms = max(self.end_ms, end)
    return end
