"""A virtual clock that runs scheduled actions in a reproducible order."""

import heapq
import itertools
from collections.abc import Callable


class VirtualClock:
  """Runs scheduled actions in order of their time, without waiting.

  Actions of the same time run in the order in which they were scheduled.
  """

  def __init__(self):
    self._now = 0.0
    self._queue: list[tuple[float, int, Callable[[], None]]] = []
    self._sequence = itertools.count()

  @property
  def now(self) -> float:
    """The current virtual time (s)."""
    return self._now

  def at(self, when: float, action: Callable[[], None]):
    """Schedules `action` for time `when` (s), or for now if that is past."""
    heapq.heappush(
        self._queue, (max(when, self._now), next(self._sequence), action)
    )

  def after(self, delay_s: float, action: Callable[[], None]):
    """Schedules `action` to run in `delay_s` seconds."""
    self.at(self._now + delay_s, action)

  def run_until(self, end: float):
    """Runs all actions due up to time `end` (s) and sets the clock to it."""
    while self._queue and self._queue[0][0] <= end:
      self._now, _, action = heapq.heappop(self._queue)
      action()
    self._now = end
