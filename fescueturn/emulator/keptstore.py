"""The emulated store's records of kept jobs.

The writes to a shard's records are executed in order, each at most once.
"""

import dataclasses

from fescueturn.scheduler import keptevents
from fescueturn.scheduler import model


@dataclasses.dataclass
class _Head:
  """The last write to a shard's records and the holder that made it.

  Attributes:
    revision: the write's revision.
    fence: the holder's fencing token.
    number: the write's number among the holder's.
    takeovers: how often the records were taken over after the first time.
  """

  revision: int = 0
  fence: int = 0
  number: int = 0
  takeovers: int = -1


class KeptStore:
  """The store's records of kept jobs.

  Attributes:
    states: the state of every known job, by id.
    open: by shard, the unfinished jobs by id.
    writes: the number of executed writes.
  """

  def __init__(self):
    self.states: dict[str, model.KeptJobState] = {}
    self.open: dict[model.Shard, dict[str, model.KeptJob]] = {}
    self.writes = 0
    # By job id, the shard in which the job finished.
    self._finished_in: dict[str, model.Shard] = {}
    self._heads: dict[model.Shard, _Head] = {}
    self._revision = 0

  def load(
      self, effect: keptevents.LoadKeptJobs, holder: model.Holder | None
  ) -> keptevents.KeptJobsLoaded:
    """Takes over a shard's records for its holder and returns the open jobs."""
    if holder is None or holder.fence != effect.fence:
      return keptevents.KeptJobsLoaded(
          effect.shard, effect.fence, replaced=True
      )
    head = self._heads.setdefault(effect.shard, _Head())
    self._revision += 1
    head.revision, head.fence, head.number = self._revision, effect.fence, 0
    head.takeovers += 1
    jobs = tuple(self.open.get(effect.shard, {}).values())
    return keptevents.KeptJobsLoaded(
        effect.shard,
        effect.fence,
        False,
        head.takeovers,
        head.revision,
        jobs,
    )

  def write(
      self, effect: keptevents.WriteKeptJobs, holder: model.Holder | None
  ) -> keptevents.KeptJobsWritten:
    """Executes a write by the current holder that follows the last write.

    Returns:
      The result: DONE if the write is executed now or was the last one to be
      executed, EXISTS if a job that it would store is known already, else
      REPLACED.
    """
    head = self._heads[effect.shard]
    result, existing = keptevents.WriteResult.REPLACED, ()
    if (head.fence, head.number) == (effect.fence, effect.number):
      result = keptevents.WriteResult.DONE
    elif holder and holder.fence == effect.fence:
      if head.revision == effect.after:
        existing = self._existing(effect)
        result = keptevents.WriteResult.EXISTS
        if not existing:
          self._execute(effect, head)
          result = keptevents.WriteResult.DONE
    return keptevents.KeptJobsWritten(
        effect.shard,
        effect.fence,
        effect.number,
        result,
        head.revision,
        existing,
    )

  def _existing(self, effect: keptevents.WriteKeptJobs) -> tuple[str, ...]:
    new = [c for c in effect.changes if isinstance(c, keptevents.StoreJob)]
    return tuple(c.job.id for c in new if c.job.id in self.states)

  def _execute(self, effect: keptevents.WriteKeptJobs, head: _Head):
    self.writes += 1
    self._revision += 1
    head.revision, head.number = self._revision, effect.number
    open_jobs = self.open.setdefault(effect.shard, {})
    for change in effect.changes:
      if isinstance(change, keptevents.StoreJob):
        open_jobs[change.job.id] = model.KeptJob(change.job, model.Progress())
        self.states[change.job.id] = model.KeptJobState.OPEN
      elif isinstance(change, keptevents.StoreProgress):
        job = open_jobs[change.job_id].job
        open_jobs[change.job_id] = model.KeptJob(job, change.progress)
      elif isinstance(change, keptevents.StoreEnd):
        del open_jobs[change.job_id]
        self.states[change.job_id] = change.state
        self._finished_in[change.job_id] = effect.shard
      elif isinstance(change, keptevents.MoveJob):
        del open_jobs[change.kept.job.id]
        moved_to = self.open.setdefault(change.to, {})
        moved_to[change.kept.job.id] = change.kept
      else:
        self.states.pop(change.job_id, None)

  def get_open_jobs(
      self, effect: keptevents.ListOpenJobs
  ) -> keptevents.OpenJobsListed:
    """Returns a shard's unfinished jobs."""
    jobs = tuple(self.open.get(effect.shard, {}).values())
    return keptevents.OpenJobsListed(effect.shard, effect.fence, jobs)

  def get_finished_jobs(
      self, effect: keptevents.ListEndedJobs
  ) -> keptevents.EndedJobsListed:
    """Returns a shard's finished jobs that are still known."""
    finished = [
        j for j, shard in self._finished_in.items() if shard == effect.shard
    ]
    known = tuple(j for j in finished if j in self.states)
    return keptevents.EndedJobsListed(effect.shard, effect.fence, known)
