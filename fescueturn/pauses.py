"""Logs pauses of a process: suspensions of its host, and waits for a processor.

In both the process does nothing and reads nothing, and all that waits for it
grows older. They differ in what can be done about them.
"""

import dataclasses
import time
from collections.abc import Callable

from loguru import logger

from fescueturn import hostclock
from fescueturn import timer

# A tick that is this late shows a pause: two pings of a coordinator.
PAUSE_S = 0.1
# A suspension of this length shows by the clocks: half of the shortest tick
# period, by which timeouts are late anyway.
SUSPENDED_S = 0.01
REPORT_PERIOD_S = 1.0


@dataclasses.dataclass(frozen=True)
class Reading:
  """The clocks of a process at one moment.

  Attributes:
    at: the time of `hostclock` (s).
    steady_before: the clock that stands still in suspensions, read before (s).
    steady_after: the same clock, read after (s).
    cpu_s: how long the process has run on a processor (s).
  """

  at: float
  steady_before: float
  steady_after: float
  cpu_s: float


def read() -> Reading:
  """Reads the clocks."""
  steady_before = time.monotonic()
  at = hostclock.now()
  return Reading(at, steady_before, time.monotonic(), time.process_time())


class PauseLog:
  """Writes the pauses that show between two ticks, at most once a second."""

  def __init__(
      self,
      period_s: Callable[[], float],
      read_clocks: Callable[[], Reading] = read,
  ):
    self._period_s = period_s
    self._read_clocks = read_clocks
    self._last = read_clocks()
    self._last_period_s = period_s()
    self._reported_at = self._last.at - REPORT_PERIOD_S
    self._count = 0
    self._longest_s = self._suspended_s = self._cpu_s = self._waited_s = 0.0

  def tick(self, now: float):
    """Records the time since the last tick; writes a line if one is due."""
    del now  # A tick may have waited behind others.
    before, self._last = self._last, self._read_clocks()
    period_s = max(self._last_period_s, self._period_s())
    self._last_period_s = self._period_s()
    self._record(before, self._last, period_s)
    if self._count and self._last.at - self._reported_at >= REPORT_PERIOD_S:
      self._report()

  def _record(self, before: Reading, after: Reading, period_s: float):
    elapsed_s = after.at - before.at
    # The process may have been paused between the two clocks' readings.
    steady_s = after.steady_after - before.steady_before
    suspended_s = max(0.0, elapsed_s - steady_s)
    late_s = elapsed_s - period_s
    if late_s < PAUSE_S and suspended_s < SUSPENDED_S:
      return
    cpu_s = after.cpu_s - before.cpu_s
    self._count += 1
    self._longest_s = max(self._longest_s, elapsed_s)
    self._suspended_s += suspended_s
    self._cpu_s += cpu_s
    self._waited_s += max(0.0, late_s - suspended_s - cpu_s)

  def _report(self):
    logger.info(
        "event=process_paused count={} longest_ms={:.0f} suspended_ms={:.0f}"
        " waited_ms={:.0f} cpu_ms={:.0f}",
        self._count,
        1000 * self._longest_s,
        1000 * self._suspended_s,
        1000 * self._waited_s,
        1000 * self._cpu_s,
    )
    self._reported_at = self._last.at
    self._count = 0
    self._longest_s = self._suspended_s = self._cpu_s = self._waited_s = 0.0


def watch(clock: timer.TimerService):
  """Logs the pauses that show between a timer's ticks from now on."""
  if not hostclock.COUNTS_SUSPENSIONS:
    logger.warning("event=suspensions_uncounted")
  clock.subscribe(PauseLog(lambda: clock.period_s).tick)
