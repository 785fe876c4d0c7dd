"""Checks that a job of which every submission was refused has no run."""

import collections

from fescueturn.scheduler import model


class RefusedJobs:
  """The submissions of jobs and their answers.

  Attributes:
    broken: the list to which a line is added for each refused job that runs.
  """

  def __init__(self, broken: list[str]):
    self.broken = broken
    # By job, the number of submissions that were not answered.
    self._open: collections.Counter[str] = collections.Counter()
    # Jobs with a submission that was answered otherwise than by a refusal.
    self._served: set[str] = set()
    self._started: set[str] = set()

  def record_submission(self, job_id: str):
    """Records that a caller submits a job."""
    self._open[job_id] += 1

  def record_answer(self, job_id: str, outcome: model.Outcome):
    """Records the answer to one submission of a job."""
    self._open[job_id] -= 1
    if outcome is not model.Outcome.NOT_RUN:
      self._served.add(job_id)
    self._check(job_id)

  def record_start(self, run: model.RunId):
    """Records that a run was started."""
    self._started.add(run.task.job_id)
    self._check(run.task.job_id)

  def _check(self, job_id: str):
    is_refused = not self._open[job_id] and job_id not in self._served
    if is_refused and job_id in self._started:
      self.broken.append(f"job {job_id} was refused as not run, and runs")
