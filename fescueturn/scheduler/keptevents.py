"""Events, messages and effects about kept jobs; `events` has all others.

A kept job is stored before it is accepted. The holder of a shard writes its
jobs' records in numbered writes, one after the other; each depends on its
claim and on the write before, so that nothing of a holder that was replaced,
and no write that the store carries out late, takes effect.
"""

import dataclasses
import enum

from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model

# Changes in one write.


@dataclasses.dataclass(frozen=True)
class StoreJob:
  """A new job; only if no shard has one of its id."""

  job: model.Job


@dataclasses.dataclass(frozen=True)
class StoreProgress:
  """What is over of a job by now."""

  job_id: str
  progress: model.Progress


@dataclasses.dataclass(frozen=True)
class StoreEnd:
  """A job is over."""

  job_id: str
  state: model.KeptJobState


@dataclasses.dataclass(frozen=True)
class DeleteJob:
  """A job that has long been over is not known any more."""

  job_id: str


@dataclasses.dataclass(frozen=True)
class MoveJob:
  """A job goes over to another shard's records, whose holder will find it there.

  Attributes:
    kept: the job, and what is over of it.
    to: the shard.
  """

  kept: model.KeptJob
  to: model.Shard


Change = StoreJob | StoreProgress | StoreEnd | DeleteJob | MoveJob

# Effects.


@dataclasses.dataclass(frozen=True)
class LoadKeptJobs:
  """Take the shard's records over and read them; see `KeptJobsLoaded`."""

  shard: model.Shard
  fence: int


@dataclasses.dataclass(frozen=True)
class WriteKeptJobs:
  """Write changes, all or none; see `KeptJobsWritten`.

  Attributes:
    shard: whose records.
    fence: the owner's fence number.
    number: rises with each write of this owner.
    after: the store's revision at the write before.
    changes: at most `keeping.MAX_CHANGES`.
  """

  shard: model.Shard
  fence: int
  number: int
  after: int
  changes: tuple[Change, ...]


@dataclasses.dataclass(frozen=True)
class ListEndedJobs:
  """Find the shard's jobs that are over; see `EndedJobsListed`."""

  shard: model.Shard
  fence: int


@dataclasses.dataclass(frozen=True)
class ListOpenJobs:
  """Read the shard's jobs that are not over; see `OpenJobsListed`."""

  shard: model.Shard
  fence: int


# Events.


class WriteResult(enum.Enum):
  """What came of a `WriteKeptJobs`; while none is known it is tried again."""

  DONE = "done"
  # Nothing was written: some of the new jobs' ids are in the store already.
  EXISTS = "exists"
  # Nothing was written, nor will be: another holder writes there.
  REPLACED = "replaced"


@dataclasses.dataclass(frozen=True)
class KeptJobsLoaded:
  """A shard's records were taken over.

  Attributes:
    shard: which.
    fence: of the `LoadKeptJobs`.
    replaced: True if another holder has the shard by now; the rest is empty.
    takeovers: how often the records were taken over before.
    revision: the store's, for the first write.
    jobs: those that are not over.
  """

  shard: model.Shard
  fence: int
  replaced: bool = False
  takeovers: int = 0
  revision: int = 0
  jobs: tuple[model.KeptJob, ...] = ()


@dataclasses.dataclass(frozen=True)
class KeptJobsWritten:
  """What came of a `WriteKeptJobs`.

  Attributes:
    shard: which.
    fence: of the write.
    number: the write's.
    result: what came of it.
    revision: the store's, for the next write.
    existing: new jobs' ids that are in the store already.
  """

  shard: model.Shard
  fence: int
  number: int
  result: WriteResult
  revision: int = 0
  existing: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class EndedJobsListed:
  """Jobs of a shard that are over and still in the store."""

  shard: model.Shard
  fence: int
  job_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class OpenJobsListed:
  """A shard's jobs that are not over; some may have been moved there."""

  shard: model.Shard
  fence: int
  jobs: tuple[model.KeptJob, ...]


@dataclasses.dataclass(frozen=True)
class KeptJobQueryArrived:
  """A caller asks for a kept job's state, or to cancel it.

  Attributes:
    request_id: the shell's number for the request.
    job_id: the job.
    shard: whose holder has it.
    cancel: True to cancel it.
    deadline_s: how long the caller waits.
    trace: the caller's own id for the request, for the logs.
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
  """A coordinator asks a holder for a kept job's state, or to cancel it."""

  shard: model.Shard
  process: linkmessages.HostProcess
  job_id: str
  cancel: bool


@dataclasses.dataclass(frozen=True)
class KeptJobReply:
  """A holder's word on it: how far the job is, or None if it isn't there."""

  job_id: str
  cancel: bool
  state: model.KeptJobState | None
