"""Turns between queues or client accounts that share room, by weight.

Start-time fair queueing: each name has a start tag, which grows by what its
turns cost divided by its weight; the lowest tag has the next turn. No tag is
below that of the last turn, so a name that was idle, or that could use no room,
has no lead.

The wait for a turn is bounded. While a name of weight w waits whose last turn
cost c, each other name of weight v gets at most v * c / w of room, plus the
cost of its most costly turn.
"""

import math
from collections.abc import Callable

DEFAULT_WEIGHT = 1.0
# The range of weights. Their ratio, 10,000 to 1, limits how long the lightest
# name waits, by the bound above.
MIN_WEIGHT = 0.01
MAX_WEIGHT = 100.0
# Names that are idle are dropped once there are this many, and when the number
# has doubled since.
CLEANUP_NAMES = 64


def parse_weight(text: str) -> float:
  """Returns the weight that a setting gives.

  Raises:
    ValueError: it is not a number between `MIN_WEIGHT` and `MAX_WEIGHT`.
  """
  weight = float(text)
  if not math.isfinite(weight) or not MIN_WEIGHT <= weight <= MAX_WEIGHT:
    raise ValueError(
        f"must be between {MIN_WEIGHT:g} and {MAX_WEIGHT:g}, got {text.strip()}"
    )
  return weight


class Turns:
  """Whose turn it is among the names that wait for shared room."""

  def __init__(self, weight_of: Callable[[str], float] | None = None):
    """Creates turns without any name.

    Args:
      weight_of: returns the present weight of a name; all are equal by default.
    """
    self._weight_of = weight_of or (lambda name: DEFAULT_WEIGHT)
    # By name, the tag at which its last turn ends.
    self._ends: dict[str, float] = {}
    # The highest start tag of a turn so far.
    self._level = 0.0
    self._next_cleanup = CLEANUP_NAMES

  def weight(self, name: str) -> float:
    """Returns the weight of a name."""
    return min(MAX_WEIGHT, max(MIN_WEIGHT, self._weight_of(name)))

  def key(self, name: str) -> float:
    """Returns the start tag of a name; the lowest has the next turn."""
    return max(self._level, self._ends.get(name, 0.0))

  def take(self, name: str, cost: float):
    """Counts a turn of a name; `cost` is the room that it takes."""
    start = self.key(name)
    self._level = start
    self._ends[name] = start + max(0.0, cost) / self.weight(name)
    if len(self._ends) >= self._next_cleanup:
      self._forget_idle_names()

  def _forget_idle_names(self):
    """Drops names that would begin at the present level anyway."""
    self._ends = {n: e for n, e in self._ends.items() if e > self._level}
    self._next_cleanup = max(CLEANUP_NAMES, 2 * len(self._ends))
