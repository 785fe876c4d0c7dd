"""Reports which events kept a host's event loop busy.

The reducer handles events one at a time and without pause, so that an event
that takes long delays everything else: answers, pings, timeouts.
"""

import collections
from collections.abc import Callable

from fescueturn.scheduler import events

# An event that takes this long is slow: half of the tick period, by which
# timeouts are late anyway.
SLOW_S = 0.01
REPORT_PERIOD_S = 1.0


class SlowEvents:
  """Slow events since the last report."""

  def __init__(self, now: Callable[[], float]):
    self._now = now
    self._reported_at = now()
    self._counts: collections.Counter[str] = collections.Counter()
    self._total_s = 0.0
    self._worst_s = 0.0
    self._worst = ""

  def record(self, event: events.Event, began_at: float):
    """Records an event whose handling has just ended."""
    took_s = self._now() - began_at
    if took_s < SLOW_S:
      return
    name = type(event).__name__
    self._counts[name] += 1
    self._total_s += took_s
    if took_s > self._worst_s:
      self._worst, self._worst_s = name, took_s

  def take_report(self) -> events.Log | None:
    """Returns the log line that is due, if any, and begins a new count."""
    now = self._now()
    if not self._counts or now - self._reported_at < REPORT_PERIOD_S:
      return None
    line = events.log(
        "events_slow",
        total_ms=round(1000 * self._total_s),
        worst=self._worst,
        worst_ms=round(1000 * self._worst_s),
        by_event=",".join(f"{k}:{n}" for k, n in sorted(self._counts.items())),
    )
    self._reported_at = now
    self._counts.clear()
    self._total_s = self._worst_s = 0.0
    return line
