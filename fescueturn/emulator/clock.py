"""Virtual time: things happen in order, at once, and always the same way."""

import heapq
import itertools
from collections.abc import Callable


class VirtualClock:
  """Runs scheduled actions in the order of their time (s)."""

  def __init__(self):
    self._now = 0.0
    self._queue: list[tuple[float, int, Callable[[], None]]] = []
    self._numbers = itertools.count()

  @property
  def now(self) -> float:
    """The present time (s)."""
    return self._now

  def at(self, when: float, action: Callable[[], None]):
    """Has `action` run at time `when`."""
    heapq.heappush(
        self._queue, (max(when, self._now), next(self._numbers), action)
    )

  def after(self, delay_s: float, action: Callable[[], None]):
    """Has `action` run `delay_s` seconds from now."""
    self.at(self._now + delay_s, action)

  def run_until(self, end: float):
    """Runs everything due up to time `end`."""
    while self._queue and self._queue[0][0] <= end:
      self._now, _, action = heapq.heappop(self._queue)
      action()
    self._now = end
