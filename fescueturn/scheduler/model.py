"""What the scheduler knows of jobs, endpoints and routes: frozen types.

Adapters build these from whatever an outside system speaks; nothing in here
depends on a wire format. Times are in the unit that a field's name ends in.
"""

import dataclasses
import enum

from fescueturn import settings


@dataclasses.dataclass(frozen=True)
class Resources:
  """Resources of an endpoint, or what one task needs of them.

  Attributes:
    cpu: thousandths of a core.
    mem_mb: memory in MB.
    gpu: whole accelerators.
  """

  cpu: int = 0
  mem_mb: int = 0
  gpu: int = 0

  def fits(self, need: "Room") -> bool:
    """Returns whether `need` is within this room."""
    return (
        need.cpu <= self.cpu
        and need.mem_mb <= self.mem_mb
        and need.gpu <= self.gpu
    )

  def minus(self, need: "Room") -> "Room":
    """Returns what is left once `need` is taken."""
    return Resources(
        self.cpu - need.cpu, self.mem_mb - need.mem_mb, self.gpu - need.gpu
    )

  def count(self, need: "Room") -> int:
    """Returns how many tasks of `need` fit side by side."""
    pairs = (
        (self.cpu, need.cpu),
        (self.mem_mb, need.mem_mb),
        (self.gpu, need.gpu),
    )
    counts = [have // want for have, want in pairs if want > 0]
    return max(0, min(counts)) if counts else 1


@dataclasses.dataclass(frozen=True)
class Endpoint:
  """One life of a machine that runs tasks.

  Attributes:
    id: names this life; a restarted machine has another.
    address: where it takes orders.
    service: the pool it belongs to.
    data_centre: where it stands.
    slots: how many tasks it runs at once, whatever their size.
    draining: True once it is leaving; it gets no new tasks.
    capacity: its resources.
    labels: its kind and rack, for tasks that require one.
  """

  id: str
  address: settings.Address
  service: str
  data_centre: str
  slots: int
  draining: bool
  capacity: Resources
  labels: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Step:
  """Tasks of a job that are alike.

  Attributes:
    count: how many tasks.
    need: what each takes of an endpoint.
    estimate_ms: the caller's rough guess of a task's run time.
    after: numbers of the steps that must be done first.
    requires: a label that the endpoint must have; "" for none.
    near: the rack whose endpoints run it fastest; "" for any.
    most_per_endpoint: most of its tasks on one endpoint; 0 for no limit.
  """

  count: int
  need: Resources
  estimate_ms: int
  after: tuple[int, ...] = ()
  requires: str = ""
  near: str = ""
  most_per_endpoint: int = 0


@dataclasses.dataclass(frozen=True)
class Job:
  """A caller's job with the terms of its queue at the time it came.

  Attributes:
    id: the caller's id; a resubmission has the same.
    service: the pool of endpoints that runs it.
    spec: what the tasks run, passed on as it came.
    steps: its tasks.
    attempts: runs of one task that may fail before the job fails.
    stretch: the objective in multiples of the longest chain of work.
    slo_ms: the objective's fixed part.
    queue: the queue's name.
    kept: True for a job that is stored before it is accepted and outlives
      every host; False for one that lives while its caller waits.
  """

  id: str
  service: str
  spec: str
  steps: tuple[Step, ...]
  attempts: int = 1
  stretch: float = 1.0
  slo_ms: int = 0
  queue: str = ""
  kept: bool = False

  @property
  def task_count(self) -> int:
    """How many tasks the job has."""
    return sum(step.count for step in self.steps)


@dataclasses.dataclass(frozen=True)
class Task:
  """One task of a job: its step and its number in it."""

  job_id: str
  step: int
  index: int


@dataclasses.dataclass(frozen=True)
class RunId:
  """One run of a task; `attempt` tells the task's runs apart."""

  task: Task
  attempt: int


class KeptJobState(enum.Enum):
  """How far a kept job is, as the store has it."""

  OPEN = "open"
  DONE = "done"
  FAILED = "failed"
  CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True)
class Progress:
  """What is over of a kept job.

  Attributes:
    done: its tasks that ended well.
    failed: its runs that failed.
    crashed: its tasks and the endpoints that crashed under each.
    lost: its tasks and the endpoints lost under each that may have crashed, with
      their addresses.
  """

  done: tuple[Task, ...] = ()
  failed: tuple[RunId, ...] = ()
  crashed: tuple[tuple[Task, str], ...] = ()
  lost: tuple[tuple[Task, str, settings.Address], ...] = ()


@dataclasses.dataclass(frozen=True)
class KeptJob:
  """A kept job that is not over, as the store has it."""

  job: Job
  progress: Progress


class Outcome(enum.Enum):
  """How a job ended, as its caller is told."""

  DONE = "done"
  FAILED = "failed"
  # Nothing of it ran and nothing will.
  NOT_RUN = "not_run"
  # Given up after something may have run.
  UNKNOWN = "unknown"
  # Stored: it will run, whatever becomes of its caller.
  KEPT = "kept"
  # It was cancelled: nothing of it starts any more.
  CANCELLED = "cancelled"


class RunOutcome(enum.Enum):
  """How a run ended at its endpoint."""

  DONE = "done"
  FAILED = "failed"
  # Stopped, its lease over, or broken off for another reason.
  LOST = "lost"


class CallResult(enum.Enum):
  """What came of a call to an endpoint."""

  OK = "ok"
  # A host with a higher fence number has taken the endpoint over.
  FENCED = "fenced"
  # A run of the task with this or a higher number has been there.
  OLD_ATTEMPT = "old_attempt"
  # The call's deadline had passed on the endpoint's clock.
  LATE = "late"
  NO_ROOM = "no_room"
  # The endpoint is unhealthy and did nothing.
  BUSY = "busy"
  REJECTED = "rejected"
  # Another life of the machine answered: this one is gone.
  GONE = "gone"
  # No connection: the endpoint surely did nothing.
  NOT_SENT = "not_sent"
  # The call may have been carried out, or may still be.
  NO_ANSWER = "no_answer"


@dataclasses.dataclass(frozen=True)
class ActiveRun:
  """A run that an endpoint lists as running; `percent` of it is done."""

  run: RunId
  percent: int


@dataclasses.dataclass(frozen=True)
class EndedRun:
  """A run that an endpoint lists as ended; `number` rises by endpoint."""

  number: int
  run: RunId
  how: RunOutcome


@dataclasses.dataclass(frozen=True)
class Holder:
  """The host that owns a shard of endpoints, as the store names it.

  Attributes:
    host: its name.
    boot: its process, to tell it from one restarted under the same name.
    peer: where it takes messages from other hosts.
    fence: the store's revision of its claim; rises with each new holder.
  """

  host: str
  boot: str
  peer: settings.Address
  fence: int


@dataclasses.dataclass(frozen=True)
class Shard:
  """A part of a data centre's endpoints that is owned as one."""

  data_centre: str
  number: int = 0


@dataclasses.dataclass(frozen=True)
class Queue:
  """A queue of jobs: where its requests come in and on what terms they run."""

  name: str
  host: str
  prefix: str
  service: str
  attempts: int
  stretch: float
  slo_ms: int
  timeout_ms: int
  priority: int = 0
  needs_advice: bool = False


@dataclasses.dataclass(frozen=True)
class Evacuation:
  """The operator's request that nothing more starts in a data centre.

  Attributes:
    data_centre: which one.
    revision: the store's revision of the request.
  """

  data_centre: str
  revision: int


@dataclasses.dataclass(frozen=True)
class RequestLimits:
  """Limits of the caller's HTTP requests that the operator sets."""

  header_bytes: int = 16384
  body_bytes: int = 262144
  header_ms: int = 3000
  idle_ms: int = 15000


@dataclasses.dataclass(frozen=True)
class Config:
  """The operator's configuration; a higher version replaces a lower one."""

  version: int
  queues: tuple[Queue, ...] = ()
  limits: RequestLimits = RequestLimits()
  # Every pool of endpoints that it names.
  services: frozenset[str] = frozenset()
