"""Learns the speed of an endpoint, apart from its callers' wrong estimates.

A run's time is its declared time times the error of its job's declaration,
times the speed factor of its endpoint, times what its task differs by. The
tasks of one job share the error of the declaration, so a run is compared to its
siblings on other endpoints and, without any, to its queue's typical run.

All figures are logarithms of ratios. A single long task isn't taken for a slow
endpoint: what is far too slow doesn't count here (see `endpointruns`).
"""

import math
from collections.abc import Iterable

# The deviations below are standard deviations of logarithms of ratios.

# How much the errors of a queue's declared times differ from its typical error.
# Errors of up to 40%, spread evenly, have this standard deviation.
JOB_DEVIATION = 0.25
# How much the run times of one job's tasks differ from each other: up to 15%,
# spread evenly, and some milliseconds for their calls.
TASK_DEVIATION = 0.12
# How much the speeds of endpoints differ before anything is known of them.
SPEED_DEVIATION = 0.3
# An endpoint's speed is never known better than this, so that it is followed
# within some ten runs when it changes.
MIN_DEVIATION = 0.05
# The variance that is added in each second, since speeds change: a speed that
# was known to 5% is known to 20% after 20 s without a run.
DRIFT_PER_S = 0.002
# Time constant (s) with which the speed of an idle endpoint returns to the
# mean.
FADE_S = 30.0
# The same for an endpoint that a fault has made slow. Such faults last for
# seconds, and it gets few runs that would show their end.
FAULT_FADE_S = 5.0
# A run that seems this many times slower than its endpoint has been is ignored
# in the endpoint's speed: the task is long, or a fault has begun. Errors of
# declarations reach 1.7 and tasks of one job differ by 1.2.
OUTLIER_RATIO = 2.0
# The deviation of a speed that a fault has just changed: so large that the next
# run in time almost replaces it.
FAULT_DEVIATION = 1.0
# Endpoints differ by less than this many times unless one has a fault.
FAULT_RATIO = 2.5
# An endpoint that is suspected of a fault counts as this many times slower, so
# that others get the next tasks.
SUSPECT_RATIO = 1.5

# The mean is left as it is while its logarithm is closer to 0 than this.
MIN_SHIFT = 0.002

_OUTLIER = math.log(OUTLIER_RATIO)


class JobPace:
  """How the ended runs of one job compare to their declared time.

  The error of the job's declaration is estimated from it.
  """

  def __init__(self):
    self._runs = 0
    self._sum = 0.0

  def error(self, typical: float) -> tuple[float, float]:
    """Returns the error of the job's declaration, and that figure's variance.

    Args:
      typical: the typical error in the job's queue.
    """
    own = self._runs / TASK_DEVIATION**2
    prior = 1 / JOB_DEVIATION**2
    mean = self._sum / self._runs if self._runs else 0.0
    return (prior * typical + own * mean) / (prior + own), 1 / (prior + own)

  def add(self, ratio: float, typical: float):
    """Adds the ratio of a run, without the speed factor of its endpoint."""
    self._runs += 1
    self._sum += typical + min(_OUTLIER, max(-_OUTLIER, ratio - typical))


class Speed:
  """What is known of one endpoint's speed."""

  def __init__(self, now: float):
    self._at = now
    self._log_factor = 0.0
    # Stored as well as its logarithm, since it is read for each placement.
    self._factor = 1.0
    self._variance = SPEED_DEVIATION**2
    # Runs that this rests on, in shares of their work.
    self._evidence = 0.0

  @property
  def factor(self) -> float:
    """Time that work takes here against a mean endpoint; above 1 is slower."""
    return self._factor

  @property
  def log_factor(self) -> float:
    """The logarithm of the factor."""
    return self._log_factor

  @property
  def evidence(self) -> float:
    """How many runs this rests on, decayed."""
    return self._evidence

  def _set(self, log_factor: float):
    self._log_factor = log_factor
    self._factor = math.exp(log_factor)

  def fade(self, now: float):
    """Lets what is known fade with the time."""
    elapsed_s = now - self._at
    if elapsed_s <= 0:
      return
    faulty = self.factor > FAULT_RATIO
    kept = math.exp(-elapsed_s / (FAULT_FADE_S if faulty else FADE_S))
    self._at = now
    self._set(self._log_factor * kept)
    self._evidence *= kept
    self._variance = min(
        max(self._variance, SPEED_DEVIATION**2),
        self._variance + DRIFT_PER_S * elapsed_s,
    )

  def observe(self, ratio: float, variance: float, share: float, now: float):
    """Takes a run, or a part of one, into account.

    Args:
      ratio: its time against that expected on a mean endpoint.
      variance: that of the expected time.
      share: which part of the run's work it is.
      now: the time (s).
    """
    self.fade(now)
    off = ratio - self._log_factor
    if off > _OUTLIER or share <= 0:
      return
    noise = (variance + TASK_DEVIATION**2) / share
    gain = self._variance / (self._variance + noise)
    self._set(self._log_factor + gain * off)
    self._variance = max(MIN_DEVIATION**2, (1 - gain) * self._variance)
    self._evidence += share

  def shift(self, amount: float):
    """Adds an amount to the logarithm of the factor."""
    self._set(self._log_factor + amount)

  def suspect(self):
    """Counts the endpoint as slower, until a run shows that it isn't."""
    self._set(self._log_factor + math.log(SUSPECT_RATIO))
    self._variance = max(self._variance, SPEED_DEVIATION**2)

  def set_faulty(self, factor: float):
    """Sets the speed of an endpoint that a fault has made slow."""
    self._set(math.log(factor))
    self._variance = FAULT_DEVIATION**2
    self._evidence = 0.0


def centre(speeds: Iterable[Speed]):
  """Makes the mean factor of endpoints 1.

  Runs only tell how endpoints compare with each other. Without this, all
  factors and the typical error of declarations could drift apart.
  """
  known = [(s, s.evidence / (1 + s.evidence)) for s in speeds if s.evidence]
  usual = [(s, weight) for s, weight in known if s.factor <= FAULT_RATIO]
  total = sum(weight for _, weight in usual)
  if not total:
    return
  mean = sum(s.log_factor * weight for s, weight in usual) / total
  if abs(mean) < MIN_SHIFT:
    return
  for speed, _ in known:
    speed.shift(-mean)
