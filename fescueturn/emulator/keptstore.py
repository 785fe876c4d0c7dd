"""The emulated store's records of kept jobs.

The writes to a shard's records are executed in order, each at most once.
"""

import dataclasses

from fescueturn.scheduler import keptevents
from fescueturn.scheduler import keptjobs
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
    # By shard, the revision of the last move of a job to it.
    self._arrivals: dict[model.Shard, int] = {}
    # By shard, the jobs that were taken over, each write by its head's revision.
    self._taken: dict[model.Shard, dict[int, tuple[str, ...]]] = {}
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
        tuple(
            keptevents.TakenJobs(revision, job_ids)
            for revision, job_ids in self._taken.get(effect.shard, {}).items()
        ),
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
        self._arrivals[change.to] = self._revision
      elif isinstance(change, keptevents.ForgetTakenJobs):
        for revision in change.records:
          self._taken[effect.shard].pop(revision, None)
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
        j for j, shard in self._finished_in.items() if shard == effect.of
    ]
    known = tuple(j for j in finished if j in self.states)
    return keptevents.EndedJobsListed(effect.shard, effect.fence, known)

  def find_unclaimed(
      self,
      effect: keptevents.FindUnclaimedRecords,
      held: dict[model.Shard, model.Holder],
  ) -> keptevents.UnclaimedFound:
    """Returns the records of shards that no host claims."""
    records = tuple(
        _identify(shard, head)
        for shard, head in self._heads.items()
        if shard not in held
    )
    arrivals = self._arrivals.get(effect.shard, 0)
    return keptevents.UnclaimedFound(
        effect.shard, effect.fence, records, arrivals
    )

  def take_over(
      self,
      effect: keptevents.TakeOverJobs,
      held: dict[model.Shard, model.Holder],
  ) -> keptevents.JobsTakenOver:
    """Moves the open jobs of unclaimed records to another shard."""
    lost, holder = effect.records.shard, held.get(effect.shard)
    unchanged = _identify(lost, self._heads[lost]) == effect.records
    allowed = holder is not None and holder.fence == effect.fence
    complete = unchanged and allowed and lost not in held
    moved = self.open.pop(lost, {}) if complete else {}
    if moved:
      taken = self._taken.setdefault(lost, {})
      taken[self._heads[lost].revision] = tuple(moved)
      self._revision += 1
      self._heads[lost].revision = self._revision
      takeovers = effect.records.takeovers
      arrived = self.open.setdefault(effect.shard, {})
      for job_id, kept in moved.items():
        progress = keptjobs.after_shard(kept.progress, takeovers)
        arrived[job_id] = model.KeptJob(kept.job, progress)
    return keptevents.JobsTakenOver(
        effect.shard, effect.fence, effect.records, len(moved), complete
    )


def _identify(shard: model.Shard, head: _Head) -> keptevents.UnclaimedRecords:
  return keptevents.UnclaimedRecords(
      shard, head.fence, head.number, head.takeovers
  )
