"""The spread of actual to declared run times that is assumed of any queue."""

# Callers declare the run time of a task with an error of up to this part.
DECLARED_ERROR = 0.4


class AssumedRunTimes:
  """Run times of queues of which nothing is known."""

  def share_below(self, queue: str, ratio: float) -> float:
    """Returns the share of runs whose time is below `ratio` times declared."""
    del queue  # The same is assumed of all.
    if ratio <= 0:
      return 0.0
    share = (1 + DECLARED_ERROR - 1 / ratio) / (2 * DECLARED_ERROR)
    return min(1.0, max(0.0, share))

  def quantile(self, queue: str, share: float) -> float:
    """Returns the ratio below which a share of the runs ends."""
    del queue
    return 1 / (1 + DECLARED_ERROR - 2 * DECLARED_ERROR * share)
