"""Events, effects and messages about kept (durable) jobs.

All other events and effects are in `events`. A kept job is stored before it is
accepted. The holder of a shard writes its jobs' records in numbered writes,
one at a time. Each write is conditional on the holder's claim and on the
previous write, so that writes of a replaced holder and writes that the store
executes late have no effect.
"""

import dataclasses
import enum

from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model

# Changes that a write can contain.


@dataclasses.dataclass(frozen=True)
class StoreJob:
  """Store a new job, provided that no shard has a job of the same id."""

  job: model.Job


@dataclasses.dataclass(frozen=True)
class StoreProgress:
  """Store a job's current progress."""

  job_id: str
  progress: model.Progress


@dataclasses.dataclass(frozen=True)
class StoreEnd:
  """Store a job's final state."""

  job_id: str
  state: model.KeptJobState


@dataclasses.dataclass(frozen=True)
class DeleteJob:
  """Delete a job whose retention period after its end has passed."""

  job_id: str


@dataclasses.dataclass(frozen=True)
class MoveJob:
  """Move a job to another shard's records, where that shard's holder finds it.

  Attributes:
    kept: the job and its progress.
    to: the destination shard.
  """

  kept: model.KeptJob
  to: model.Shard


@dataclasses.dataclass(frozen=True)
class ForgetTakenJobs:
  """Delete records that name jobs which other shards' holders have taken over.

  Attributes:
    records: see `TakenJobs.revision`.
  """

  records: tuple[int, ...]


Change = (
    StoreJob | StoreProgress | StoreEnd | DeleteJob | MoveJob | ForgetTakenJobs
)


@dataclasses.dataclass(frozen=True)
class TakenJobs:
  """Jobs that the holder of another shard has taken over in one write.

  Attributes:
    revision: identifies the write: the revision of the shard's head record that
      it followed.
    job_ids: the jobs.
  """

  revision: int
  job_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class UnclaimedRecords:
  """The records of a shard that no host claims.

  Two that are equal show that no holder has read or written them in between.

  Attributes:
    shard: the shard.
    fence: the fencing token of the holder that last wrote them.
    number: the number of that write.
    takeovers: how often holders have taken the records over.
  """

  shard: model.Shard
  fence: int
  number: int
  takeovers: int


# Effects.


@dataclasses.dataclass(frozen=True)
class FindUnclaimedRecords:
  """Find the records that no host claims; the result is `UnclaimedFound`.

  Attributes:
    shard: the shard whose holder asks.
    fence: that holder's fencing token.
  """

  shard: model.Shard
  fence: int


@dataclasses.dataclass(frozen=True)
class TakeOverJobs:
  """Move the open jobs of unclaimed records; the result is `JobsTakenOver`.

  Attributes:
    shard: the shard that the jobs move to.
    fence: the fencing token of its holder.
    records: the records; nothing is moved if they have changed or are claimed.
  """

  shard: model.Shard
  fence: int
  records: UnclaimedRecords


@dataclasses.dataclass(frozen=True)
class LoadKeptJobs:
  """Take over the shard's records and read its unfinished jobs.

  The result arrives as `KeptJobsLoaded`.
  """

  shard: model.Shard
  fence: int


@dataclasses.dataclass(frozen=True)
class WriteKeptJobs:
  """Write changes atomically; the result arrives as `KeptJobsWritten`.

  Attributes:
    shard: the shard whose records change.
    fence: the owner's fencing token.
    number: rises with each write of this owner.
    after: the store's revision after the previous write.
    changes: the changes, at most `keptrecords.MAX_CHANGES`.
  """

  shard: model.Shard
  fence: int
  number: int
  after: int
  changes: tuple[Change, ...]


@dataclasses.dataclass(frozen=True)
class ListEndedJobs:
  """List a shard's finished jobs; the result is `EndedJobsListed`.

  Attributes:
    shard: the shard whose holder asks.
    fence: that holder's fencing token.
    of: the shard whose jobs are listed.
  """

  shard: model.Shard
  fence: int
  of: model.Shard


@dataclasses.dataclass(frozen=True)
class ListOpenJobs:
  """Read the shard's unfinished jobs; the result is `OpenJobsListed`."""

  shard: model.Shard
  fence: int


# Events.


class WriteResult(enum.Enum):
  """Result of a `WriteKeptJobs`, which is retried until its result is known."""

  DONE = "done"
  # Nothing was written because the store already has some new jobs' ids.
  EXISTS = "exists"
  # Nothing was or will be written because another holder owns the records.
  REPLACED = "replaced"


@dataclasses.dataclass(frozen=True)
class KeptJobsLoaded:
  """A `LoadKeptJobs` completed.

  Attributes:
    shard: the shard.
    fence: the fencing token of the `LoadKeptJobs`.
    replaced: True if another holder owns the shard by now; the remaining
      fields are then empty.
    takeovers: how often the records were taken over before.
    revision: the store's revision, which the first write depends on.
    jobs: the unfinished jobs.
    taken: the jobs that holders of other shards have taken over while no host
      claimed this one.
  """

  shard: model.Shard
  fence: int
  replaced: bool = False
  takeovers: int = 0
  revision: int = 0
  jobs: tuple[model.KeptJob, ...] = ()
  taken: tuple[TakenJobs, ...] = ()


@dataclasses.dataclass(frozen=True)
class KeptJobsWritten:
  """A `WriteKeptJobs` completed.

  Attributes:
    shard: the shard.
    fence: the fencing token of the write.
    number: the number of the write.
    result: the write's result.
    revision: the store's revision, which the next write depends on.
    existing: ids of new jobs that the store already has.
  """

  shard: model.Shard
  fence: int
  number: int
  result: WriteResult
  revision: int = 0
  existing: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class UnclaimedFound:
  """A `FindUnclaimedRecords` completed.

  Attributes:
    shard: the shard whose holder asked.
    fence: that holder's fencing token.
    records: the unclaimed records; None if the store didn't answer.
    arrivals: the store's revision of the last move of a job to the asking
      holder's shard by another one's; 0 if there was none.
  """

  shard: model.Shard
  fence: int
  records: tuple[UnclaimedRecords, ...] | None
  arrivals: int = 0


@dataclasses.dataclass(frozen=True)
class JobsTakenOver:
  """A `TakeOverJobs` ended.

  Attributes:
    shard: the shard that the jobs moved to.
    fence: the fencing token of its holder.
    records: the records that they were in.
    count: how many moved for sure; some more may have.
    complete: True if no open job is left in the records.
  """

  shard: model.Shard
  fence: int
  records: UnclaimedRecords
  count: int
  complete: bool


@dataclasses.dataclass(frozen=True)
class EndedJobsListed:
  """A shard's finished jobs that are still in the store."""

  shard: model.Shard
  fence: int
  job_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class OpenJobsListed:
  """A shard's unfinished jobs, including any that were moved to it.

  Attributes:
    shard: the shard.
    fence: its holder's fencing token.
    jobs: the jobs; none if the store didn't answer.
    failed: True if the store didn't answer.
  """

  shard: model.Shard
  fence: int
  jobs: tuple[model.KeptJob, ...]
  failed: bool = False


@dataclasses.dataclass(frozen=True)
class KeptJobQueryArrived:
  """A caller queries a kept job's state or requests its cancellation.

  Attributes:
    request_id: number that the I/O shell assigned to the request.
    job_id: the job.
    shard: the shard whose records contain the job.
    cancel: True to cancel the job, False to query its state.
    deadline_s: how long the caller waits, in seconds from now.
    trace_id: the caller's own id for the request, for the logs.
  """

  request_id: int
  job_id: str
  shard: model.Shard
  cancel: bool
  deadline_s: float
  trace_id: str = ""


# Messages between a coordinator and a holder.


@dataclasses.dataclass(frozen=True)
class KeptJobQuery:
  """A coordinator queries a kept job's state or requests its cancellation."""

  shard: model.Shard
  process: linkmessages.HostProcess
  job_id: str
  cancel: bool


@dataclasses.dataclass(frozen=True)
class KeptJobReply:
  """A holder's reply to a `KeptJobQuery`.

  Attributes:
    job_id: the job.
    cancel: the query's `cancel`.
    state: the job's state; None if the holder does not know the job.
  """

  job_id: str
  cancel: bool
  state: model.KeptJobState | None
