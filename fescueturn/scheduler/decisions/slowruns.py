"""Decides whether a slowed run is its endpoint's fault or a long task.

A long task takes as long anywhere, so stopping it only throws its work away. A
run on a slow endpoint ends sooner elsewhere.
"""

import dataclasses

# The share of endpoints that are assumed to be slow for a while where none is
# known to be.
ASSUMED_SLOW_SHARE = 0.01
# An endpoint isn't slow if other runs there were in time for at least this part
# of a slowed run's duration. It is below a half, since endpoints run two or
# three tasks and there are gaps between these.
IN_TIME_OVERLAP = 0.4


@dataclasses.dataclass(frozen=True)
class SlowedRun:
  """What is known about a run that takes several times its expected time.

  Attributes:
    endpoint_slow: True if its endpoint counts as slow.
    in_time_beside: for which part of its duration other runs on the endpoint
      were in time; above 1 if several were at once.
    siblings_slowed: True if all tasks of its step are slowed, also on endpoints
      that don't count as slow.
    slowed_jobs: how many jobs, its own among them, had runs slowed there since
      one was in time.
    long_share: the share of its queue's runs that take this long.
    slow_share: the share of the endpoints that count as slow.
  """

  endpoint_slow: bool
  in_time_beside: float
  siblings_slowed: bool
  slowed_jobs: int
  long_share: float
  slow_share: float


def counts_against_endpoint(run: SlowedRun) -> bool:
  """Returns whether nothing shows that the endpoint isn't the cause."""
  if run.in_time_beside >= IN_TIME_OVERLAP:
    return False
  return run.endpoint_slow or not run.siblings_slowed


def endpoint_is_cause(run: SlowedRun) -> bool:
  """Returns whether the endpoint is the probable cause of a slowed run.

  It is if a slow endpoint is at least as probable as that each of the slowed
  jobs has a long task.
  """
  if not counts_against_endpoint(run):
    return False
  slow_share = max(ASSUMED_SLOW_SHARE, run.slow_share)
  all_long = run.long_share ** max(1, run.slowed_jobs)
  return run.endpoint_slow or slow_share >= all_long
