"""Immutable domain types of the scheduler: jobs, endpoints, shards, routes.

The types are independent of any wire or storage format; adapters convert
between them and external representations. A field's suffix gives its unit.
"""

import dataclasses
import enum

from fescueturn import settings

# The priority of the least urgent queues; messages between hosts carry no more.
LEAST_URGENT = 2**16 - 1


@dataclasses.dataclass(frozen=True)
class Resources:
  """Resources that an endpoint provides or that a task requires.

  Attributes:
    cpu: thousandths of a core.
    mem_mb: memory in MB.
    gpu: number of accelerators.
  """

  cpu: int = 0
  mem_mb: int = 0
  gpu: int = 0

  def fits(self, need: "Resources") -> bool:
    """Returns whether these resources cover `need`."""
    return (
        need.cpu <= self.cpu
        and need.mem_mb <= self.mem_mb
        and need.gpu <= self.gpu
    )

  def minus(self, need: "Resources") -> "Resources":
    """Returns the resources that remain after subtracting `need`."""
    return Resources(
        self.cpu - need.cpu, self.mem_mb - need.mem_mb, self.gpu - need.gpu
    )

  def count(self, need: "Resources") -> int:
    """Returns how many tasks that need `need` each fit at the same time."""
    pairs = (
        (self.cpu, need.cpu),
        (self.mem_mb, need.mem_mb),
        (self.gpu, need.gpu),
    )
    counts = [have // want for have, want in pairs if want > 0]
    return max(0, min(counts)) if counts else 1


@dataclasses.dataclass(frozen=True)
class Endpoint:
  """One incarnation of a server that runs tasks.

  Attributes:
    id: identifies the endpoint; a restarted server may get a new one.
    address: where the endpoint accepts requests.
    service: the pool that the endpoint belongs to.
    data_centre: the data centre that the endpoint is in.
    slots: maximum number of concurrent tasks, regardless of their resources.
    draining: True once the endpoint is being shut down; it gets no new tasks.
    capacity: the endpoint's total resources.
    labels: the server's kind and rack, matched by `Step.requires` and
      `Step.near`.
    born_ms: when this incarnation started (Unix time, ms), which tells apart
      those with one id; 0 if it isn't known.
    stays_ms: the least time (ms) that it stays, counted from when it wrote its
      entry; None if it hasn't announced that it leaves.
    cold_ms: for how much longer it is slow after its start (ms), counted from
      when it wrote its entry.
    clock_ms: its clock (ms) when it wrote its entry; None if that isn't known.
  """

  id: str
  address: settings.Address
  service: str
  data_centre: str
  slots: int
  draining: bool
  capacity: Resources
  labels: tuple[str, ...] = ()
  born_ms: int = 0
  stays_ms: int | None = None
  cold_ms: int = 0
  clock_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class Step:
  """A group of identical tasks of a job.

  Attributes:
    count: number of tasks.
    need: resources that each task occupies on its endpoint.
    estimate_ms: the caller's estimate of a task's run time.
    after: indices of the steps that must complete before this one.
    requires: a label that the endpoint must have; "" for none.
    near: the rack whose endpoints run the tasks fastest; "" for any.
    most_per_endpoint: maximum number of the step's tasks on one endpoint; 0
      for no limit.
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
  """A caller's job, with its queue's terms at the time of submission.

  Attributes:
    id: the caller's id; a resubmission has the same.
    service: the pool of endpoints that runs the job.
    spec: what the tasks run, passed on unchanged.
    steps: the job's tasks.
    attempts: how many runs of one task may fail before the job fails.
    stretch: latency objective as a multiple of the job's critical path.
    slo_ms: constant part of the latency objective.
    queue: the queue's name.
    kept: True for a kept job, which is durable: it is stored before it is
      accepted and survives the loss of any host. False for a job that is
      dropped when its caller stops waiting.
    priority: its queue's priority; 0 is the most urgent.
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
  priority: int = 0

  @property
  def task_count(self) -> int:
    """Total number of tasks in all steps."""
    return sum(step.count for step in self.steps)


@dataclasses.dataclass(frozen=True)
class Task:
  """Identifies a task of a job by its step and its index in the step."""

  job_id: str
  step: int
  index: int


@dataclasses.dataclass(frozen=True)
class RunId:
  """Identifies one run of a task; `attempt` rises with each run."""

  task: Task
  attempt: int


class KeptJobState(enum.Enum):
  """State of a kept job in the store."""

  OPEN = "open"
  DONE = "done"
  FAILED = "failed"
  CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True)
class LostEndpoint:
  """An endpoint that was lost while it ran a task, and may have crashed.

  Attributes:
    task: the task.
    endpoint: the endpoint's id.
    address: its address.
    born_ms: when the lost incarnation started (Unix time, ms); 0 if unknown.
    was_up: False if it may have been down already when the run was requested.
      Kept jobs have no such losses.
  """

  task: Task
  endpoint: str
  address: settings.Address
  born_ms: int = 0
  was_up: bool = True

  @property
  def incarnation(self) -> str:
    """The name of the lost incarnation, if it is known when it started."""
    if not self.born_ms:
      return self.endpoint
    return f"{self.endpoint}/{self.born_ms}"


@dataclasses.dataclass(frozen=True)
class Progress:
  """Recorded progress of a kept job.

  Attributes:
    done: tasks that succeeded.
    failed: runs that failed.
    crashed: pairs of a task and an incarnation of an endpoint that crashed while
      running it.
    lost: the endpoints that were lost while running a task and may have crashed.
    attempts: no run that was started in a shard that had the job before has a
      higher number; 0 if no other shard had it.
  """

  done: tuple[Task, ...] = ()
  failed: tuple[RunId, ...] = ()
  crashed: tuple[tuple[Task, str], ...] = ()
  lost: tuple[LostEndpoint, ...] = ()
  attempts: int = 0


@dataclasses.dataclass(frozen=True)
class KeptJob:
  """An unfinished kept job as recorded in the store."""

  job: Job
  progress: Progress


class Outcome(enum.Enum):
  """Outcome of a job or of a request about it, as reported to the caller."""

  DONE = "done"
  FAILED = "failed"
  # No task ran and none will.
  NOT_RUN = "not_run"
  # The job was abandoned after some of its tasks may have run.
  UNKNOWN = "unknown"
  # The job is stored and will run even if its caller disconnects.
  KEPT = "kept"
  # The job was cancelled; no more of its tasks will start.
  CANCELLED = "cancelled"


class RunOutcome(enum.Enum):
  """Outcome of a run at its endpoint."""

  DONE = "done"
  FAILED = "failed"
  # Stopped, expired with its lease, or aborted for another reason.
  LOST = "lost"


class CallResult(enum.Enum):
  """Result of a call to an endpoint."""

  OK = "ok"
  # The endpoint has seen a higher fencing token, so another host owns it.
  FENCED = "fenced"
  # The endpoint has seen a run of the task with this or a higher attempt.
  OLD_ATTEMPT = "old_attempt"
  # The call's deadline had passed on the endpoint's clock.
  LATE = "late"
  NO_ROOM = "no_room"
  # The endpoint is unhealthy and rejected the call without executing it.
  BUSY = "busy"
  REJECTED = "rejected"
  # Another incarnation of the server answered; the one called has ended.
  GONE = "gone"
  # The connection failed, so the call certainly had no effect.
  NOT_SENT = "not_sent"
  # The response is missing; the call may have been or may still be executed.
  NO_ANSWER = "no_answer"


@dataclasses.dataclass(frozen=True)
class ActiveRun:
  """A run that an endpoint reports as running, with its progress."""

  run: RunId
  percent: int


@dataclasses.dataclass(frozen=True)
class EndedRun:
  """A run that an endpoint reports as ended.

  Attributes:
    number: sequence number of the end at this endpoint.
    run: the run that ended.
    how: the run's outcome.
  """

  number: int
  run: RunId
  how: RunOutcome


@dataclasses.dataclass(frozen=True)
class Holder:
  """The holder of a shard: the host whose claim on it is in the store.

  Attributes:
    host: the host's name.
    boot: identifies the process; changes when the process restarts.
    peer: address for messages from other hosts.
    fence: fencing token: the store's revision of the claim, which rises with
      each new holder.
  """

  host: str
  boot: str
  peer: settings.Address
  fence: int


@dataclasses.dataclass(frozen=True)
class Shard:
  """A subset of a data centre's endpoints that one host owns as a unit."""

  data_centre: str
  number: int = 0


@dataclasses.dataclass(frozen=True)
class Queue:
  """A job queue: its route, and the limits and objectives of its jobs.

  Attributes:
    name: the queue's name.
    host: value of the Host header that selects the queue.
    prefix: path prefix that selects the queue.
    service: the pool of endpoints that runs its jobs.
    attempts: see `Job.attempts`.
    stretch: see `Job.stretch`.
    slo_ms: see `Job.slo_ms`.
    timeout_ms: the configured timeout of its jobs.
    priority: the configured priority; 0 is the most urgent.
    needs_advice: True if the queue is under a policy, which is not supported;
      its jobs are refused.
  """

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
  """The operator's request to start no new tasks in a data centre.

  Attributes:
    data_centre: the data centre to evacuate.
    revision: the store's revision of the request.
  """

  data_centre: str
  revision: int


@dataclasses.dataclass(frozen=True)
class RequestLimits:
  """Limits on callers' HTTP requests, as configured by the operator."""

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
  # All pools of endpoints that the configuration mentions.
  services: frozenset[str] = frozenset()
