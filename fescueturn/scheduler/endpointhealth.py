"""Which endpoints get no new tasks for a while, and what shows them as slow."""

import collections
from collections.abc import Iterable

from fescueturn.scheduler import endpointruns

# An endpoint is ejected after failed runs of this many jobs without a
# successful run. One run in 500 fails by its own fault and a bad job fails on
# every endpoint, so three such jobs mean that the endpoint is at fault.
FAILED_JOBS_TO_EJECT = 3
# How long an endpoint stays ejected. The time doubles while failures go on,
# since endpoint failures last 4 to 7 s.
EJECT_MIN_S = 1.0
EJECT_MAX_S = 8.0
# An endpoint that refuses a request or can't be reached gets no tasks for this
# long. That is the time of five usual tasks, and short compared to such a
# failure.
BACK_OFF_S = 0.25
# An endpoint counts as slow after slowed runs of this many jobs. A single job
# may take longer than its estimate on any endpoint.
SLOW_JOBS = 2
# How many of an endpoint's last runs in time are remembered: enough for those
# that end while a slowed one goes on.
RUNS_IN_TIME = 8


class Exclusion:
  """Until when an endpoint gets no new tasks, and the failures behind it.

  Attributes:
    until: until when it gets no new tasks (s).
    ejections: how often it was ejected without a successful run in between.
    failed_jobs: jobs whose runs have failed there since the last success.
  """

  def __init__(self):
    self.until = 0.0
    self.ejections = 0
    self.failed_jobs: set[str] = set()

  def back_off(self, now: float):
    """Excludes the endpoint from new tasks for the backoff time."""
    self.exclude_until(now + BACK_OFF_S)

  def exclude_until(self, until: float):
    """Excludes the endpoint from new tasks until a time (s)."""
    self.until = max(self.until, until)

  def record_failed_run(self, job_id: str, now: float) -> bool:
    """Records a failed run; returns whether that ejects the endpoint."""
    self.failed_jobs.add(job_id)
    if len(self.failed_jobs) < FAILED_JOBS_TO_EJECT:
      return False
    self.eject(now)
    # One more failed job after the ejection ejects it again.
    self.failed_jobs.pop()
    return True

  def eject(self, now: float):
    """Excludes the endpoint from new tasks, for longer with each ejection."""
    pause_s = min(EJECT_MAX_S, EJECT_MIN_S * 2**self.ejections)
    self.exclude_until(now + pause_s)
    self.ejections += 1

  def clear_failures(self):
    """Forgets all failures, as a successful run shows that it isn't failing."""
    self.failed_jobs.clear()
    self.ejections = 0


class SlowEvidence:
  """What an endpoint's runs tell of whether it is slow.

  Attributes:
    jobs: jobs with slowed runs there since a run last ended in time.
  """

  def __init__(self):
    self.jobs: set[str] = set()
    # When the last runs in time began and ended (s).
    self._in_time: collections.deque[tuple[float, float]] = collections.deque(
        maxlen=RUNS_IN_TIME
    )

  def add(self, run: endpointruns.Run):
    """Counts the job of a slowed run."""
    self.jobs.add(run.id.task.job_id)

  def slowed_jobs(self, run: endpointruns.Run) -> int:
    """Returns how many jobs had slowed runs since one was in time.

    Args:
      run: a slowed run, whose job is counted too.
    """
    return len(self.jobs | {run.id.task.job_id})

  def record_in_time(self, run: endpointruns.Run, now: float):
    """Records a run that took no longer than expected."""
    self.jobs.clear()
    self._in_time.append((run.started_at, now))

  def share_in_time(
      self,
      run: endpointruns.Run,
      runs: Iterable[endpointruns.Run],
      now: float,
  ) -> float:
    """Returns for which part of a run's time others there were in time.

    Args:
      run: the run.
      runs: all runs there, which may include it.
      now: the time (s).
    """
    spans = list(self._in_time)
    spans += [
        (other.started_at, other.in_time_until)
        for other in runs
        if other is not run
    ]
    covered_s = sum(
        max(0.0, end - max(start, run.started_at)) for start, end in spans
    )
    return covered_s / max(endpointruns.PROGRESS_MIN_S, now - run.started_at)
