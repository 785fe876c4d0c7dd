"""Learns per queue how long runs take compared to their declared run times.

Callers declare the run time of a task roughly. Each queue has a histogram of
the ratio of actual to declared time, whose counts decay. Until it has enough
runs, the spread that is assumed of an unknown queue fills it up.
"""

import bisect
import dataclasses
import itertools
import math

# The range of the histogram; ratios beyond it count at its ends. Such ratios
# say nothing about estimates: smaller ones are runs that end at once, larger
# ones runs that are stuck.
MIN_RATIO = 0.1
MAX_RATIO = 20.0
# The number of buckets. Each is 9% wide, less than the difference between the
# tasks of one job (up to 15%).
BUCKETS = 60
# Declared times are assumed to be up to 40% off in either direction, evenly, so
# that ratios are between 0.71 and 1.67 with a median of 1.
ASSUMED_ERROR = 0.4
# The number of runs from which on a queue's own spread is used alone. A share
# of one in ten is then known to within 5%.
ENOUGH_RUNS = 30.0
# The time (s) in which a run's weight is halved. A queue's callers and inputs
# change over minutes, and a queue with 3 jobs a second keeps enough runs.
HALF_LIFE_S = 30.0
# Minimum time (s) between two decays of the counts, which bounds the work for
# each run.
DECAY_STEP_S = 1.0
# A queue without a run for this long is forgotten: ten half-lives.
IDLE_S = 300.0
# The highest number of queues; with more, the longest idle one is forgotten.
# One takes 4 KB.
MAX_QUEUES = 512

_LOG_MIN = math.log(MIN_RATIO)
_LOG_WIDTH = (math.log(MAX_RATIO) - _LOG_MIN) / BUCKETS


def assumed_share_below(ratio: float) -> float:
  """Returns the share of an unknown queue's runs with a smaller ratio."""
  if ratio <= 0:
    return 0.0
  share = (1 + ASSUMED_ERROR - 1 / ratio) / (2 * ASSUMED_ERROR)
  return min(1.0, max(0.0, share))


# The assumed share below the upper edge of each bucket.
_ASSUMED = tuple(
    assumed_share_below(math.exp(_LOG_MIN + _LOG_WIDTH * (n + 1)))
    for n in range(BUCKETS)
)


def _position(ratio: float) -> float:
  """Returns where a ratio is in the histogram, in buckets from its start."""
  clipped = min(MAX_RATIO, max(MIN_RATIO, ratio))
  return (math.log(clipped) - _LOG_MIN) / _LOG_WIDTH


def _ratio_at(position: float) -> float:
  return math.exp(_LOG_MIN + _LOG_WIDTH * position)


@dataclasses.dataclass(frozen=True)
class Spread:
  """What is known of the run times of a queue.

  Attributes:
    median: the median ratio of actual to declared time.
    p90: its 90th percentile.
    evidence: the number of runs that this rests on, decayed.
  """

  median: float
  p90: float
  evidence: float


class _Histogram:
  """The decaying histogram of one queue."""

  def __init__(self, now: float):
    self.used_at = now
    self.total = 0.0
    self._counts = [0.0] * BUCKETS
    self._decayed_at = now
    # The share of runs below the upper edge of each bucket; empty if outdated.
    self._shares: list[float] = []

  @property
  def shares(self) -> list[float]:
    """The share of runs below each bucket's upper edge, filled up."""
    if not self._shares:
      missing = max(0.0, ENOUGH_RUNS - self.total)
      whole = self.total + missing
      below = itertools.accumulate(self._counts)
      self._shares = [
          min(1.0, (own + missing * assumed) / whole)
          for own, assumed in zip(below, _ASSUMED, strict=True)
      ]
    return self._shares

  def add(self, ratio: float, now: float):
    """Counts a run."""
    self.used_at = now
    if now - self._decayed_at >= DECAY_STEP_S:
      self._decay(now)
    self._counts[min(BUCKETS - 1, int(_position(ratio)))] += 1.0
    self.total += 1.0
    self._shares = []

  def _decay(self, now: float):
    kept = 0.5 ** ((now - self._decayed_at) / HALF_LIFE_S)
    self._decayed_at = now
    self._counts = [count * kept for count in self._counts]
    self.total = sum(self._counts)

  def share_below(self, ratio: float) -> float:
    """Returns the share of runs with a smaller ratio."""
    position = _position(ratio)
    bucket = min(BUCKETS - 1, int(position))
    low = self.shares[bucket - 1] if bucket else 0.0
    part = min(1.0, position - bucket)
    return min(1.0, low + (self.shares[bucket] - low) * part)

  def quantile(self, share: float) -> float:
    """Returns the ratio below which a share of the runs is."""
    bucket = min(BUCKETS - 1, bisect.bisect_left(self.shares, share))
    low = self.shares[bucket - 1] if bucket else 0.0
    width = self.shares[bucket] - low
    part = (share - low) / width if width > 0 else 0.0
    return _ratio_at(bucket + min(1.0, max(0.0, part)))


class RunTimes:
  """The spread of actual to declared run times, by queue."""

  def __init__(self):
    self._queues: dict[str, _Histogram] = {}
    self._unknown = _Histogram(0.0)

  def record(self, queue: str, ratio: float, now: float):
    """Records a run.

    Args:
      queue: the queue of its job.
      ratio: its actual to its declared time, on an endpoint of mean speed.
      now: the time (s).
    """
    histogram = self._queues.get(queue)
    if histogram is not None and now - histogram.used_at > IDLE_S:
      histogram = None
    if histogram is None:
      self._make_room(now)
      histogram = self._queues[queue] = _Histogram(now)
    histogram.add(ratio, now)

  def _make_room(self, now: float):
    """Forgets idle queues, and the longest idle one if there are too many."""
    self._queues = {
        name: histogram
        for name, histogram in self._queues.items()
        if now - histogram.used_at <= IDLE_S
    }
    if len(self._queues) >= MAX_QUEUES:
      del self._queues[min(self._queues, key=self._used_at)]

  def _used_at(self, queue: str) -> float:
    return self._queues[queue].used_at

  def share_below(self, queue: str, ratio: float) -> float:
    """Returns the share of a queue's runs with a smaller ratio."""
    return self._queues.get(queue, self._unknown).share_below(ratio)

  def quantile(self, queue: str, share: float) -> float:
    """Returns the ratio below which a share of a queue's runs is."""
    return self._queues.get(queue, self._unknown).quantile(share)

  def evidence(self, queue: str) -> float:
    """Returns how many runs, decayed, the spread of a queue rests on."""
    return self._queues.get(queue, self._unknown).total

  def spreads(self) -> dict[str, Spread]:
    """Returns what is known of each queue."""
    return {
        queue: Spread(h.quantile(0.5), h.quantile(0.9), h.total)
        for queue, h in sorted(self._queues.items())
    }

  def snapshot(self) -> dict:
    """Returns a JSON-ready dump."""
    return {
        queue: {
            "median": round(spread.median, 2),
            "p90": round(spread.p90, 2),
            "evidence": round(spread.evidence, 1),
        }
        for queue, spread in self.spreads().items()
    }
