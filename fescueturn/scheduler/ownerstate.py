"""What the owner of a shard knows: its endpoints and the jobs it took."""

import collections
import dataclasses
import enum

from fescueturn import settings
from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import evacuation
from fescueturn.scheduler import events
from fescueturn.scheduler import keptrecords
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import reservations
from fescueturn.scheduler import roster
from fescueturn.scheduler import suspicion
from fescueturn.scheduler import timeouts

# A new holder takes jobs unseen for so long, until it knows its endpoints: the
# store's list takes 6 ms and the endpoints' answers 2 ms, on a busy host 30.
OPTIMISTIC_ADMISSION_S = 0.1
# Ends found on taking over, of runs whose job is not known yet, are kept
# until the coordinators have offered their jobs.
EARLY_RESULT_TTL_S = 2.0
# Tasks that an earlier holder had and that are not found running wait this
# long: the list of endpoints may lack some whose entries have lapsed with a
# store that was away. The earlier holder is fenced off at its next lease call
# (within 0.5 s), and the last lease it asked for lasts 0.84 s more.
RECOVERY_TIMEOUT_S = 1.5
# Attempts of a kept job's task are numbered anew by each holder, from as many
# times this as there were holders before: no holder knows what the one before
# it ordered last.
ATTEMPTS_PER_HOLDER = 1000


class TaskState(enum.Enum):
  """Where a task of an accepted job stands."""

  BLOCKED = "blocked"
  WAITING = "waiting"
  # One run of it is ordered, at work or being settled.
  ACTIVE = "active"
  DONE = "done"


class TaskRecord:
  """One task of an accepted job."""

  def __init__(self, task: model.Task, step: model.Step):
    self.task = task
    self.step = step
    self.state = TaskState.BLOCKED
    self.attempt = 0
    # Attempts that failed.
    self.failed: set[int] = set()
    # Endpoints lost under it: those that surely crashed, and those in doubt.
    self.crashed: set[str] = set()
    self.lost_endpoints: dict[str, settings.Address] = {}
    self.run: model.RunId | None = None
    self.endpoint = ""
    # The endpoint where a run of it was stopped for being slow, if any.
    self.moved_from = ""
    # A run of an earlier try at the job that may still go on.
    self.previous_run: model.RunId | None = None

  @property
  def estimate_s(self) -> float:
    """How long it is expected to run."""
    return self.step.estimate_ms / 1000


class JobRecord:
  """An accepted job.

  Attributes:
    key: the job and its coordinator.
    job: what to run.
    arrived: when it reached its coordinator, on this host's clock (s).
    deadline: when its caller stops waiting (s).
    latest_start: its place in the queue: when its first tasks should start.
    tasks: its tasks by name.
    resumed: True if an earlier holder, or an earlier try, had it.
    begun: True once a run of it was ordered.
    offer_number: the last of its offers.
    returning: True once it is to be handed back as soon as none of it runs.
  """

  def __init__(
      self, offer: linkmessages.Offered, now: float, latest_start: float
  ):
    self._offer = offer
    self.key = offer.key
    self.job = offer.job
    self.arrived = now - offer.age_s
    self.deadline = now + offer.remaining_s
    self.latest_start = latest_start
    self.resumed = offer.resumed
    self.begun = offer.resumed
    self.offer_number = offer.number
    self.returning = False
    self.tasks: dict[model.Task, TaskRecord] = {}
    self.waiting: list[TaskRecord] = []
    self.unfinished = [step.count for step in self.job.steps]
    for number, step in enumerate(self.job.steps):
      for index in range(step.count):
        task = model.Task(self.job.id, number, index)
        self.tasks[task] = TaskRecord(task, step)
    self.release_steps()

  @property
  def done(self) -> bool:
    """True when every task has ended well."""
    return not any(self.unfinished)

  @property
  def active(self) -> bool:
    """True while a run of it may go on."""
    return any(
        task.state is TaskState.ACTIVE or task.previous_run is not None
        for task in self.tasks.values()
    )

  @property
  def started(self) -> bool:
    """True when a task of it is at work, or was done."""
    states = (TaskState.ACTIVE, TaskState.DONE)
    return any(task.state in states for task in self.tasks.values())

  def offer(self, now: float) -> linkmessages.Offered:
    """Returns the job as its coordinator would offer it now."""
    return dataclasses.replace(
        self._offer, age_s=now - self.arrived, remaining_s=self.deadline - now
    )

  def release_steps(self):
    """Makes the tasks wait whose earlier steps are all done."""
    for record in self.tasks.values():
      if record.state is TaskState.BLOCKED and not any(
          self.unfinished[i] for i in record.step.after
      ):
        record.state = TaskState.WAITING
        self.waiting.append(record)

  def task_done(self, record: TaskRecord):
    """Notes a task that ended well."""
    if record.state is TaskState.WAITING:
      self.waiting.remove(record)
    record.state = TaskState.DONE
    record.run = None
    self.unfinished[record.task.step] -= 1
    if not self.unfinished[record.task.step]:
      self.release_steps()

  def requeue_task(self, record: TaskRecord):
    """Has a task wait for another run."""
    record.state = TaskState.WAITING
    record.run = None
    self.waiting.insert(0, record)


class SuspectedCrash:
  """An endpoint that fell silent under tasks: its address, when, and which."""

  def __init__(self, address: settings.Address, since: float):
    self.address = address
    self.since = since
    self.tasks: set[model.Task] = set()


@dataclasses.dataclass(frozen=True)
class EarlyResult:
  """Ends of a task that were listed before its job was known here.

  Attributes:
    attempt: the last of its runs that ended.
    how: how that one ended, or DONE if any was done.
    until: when to forget this (s).
    failed: attempts that failed.
  """

  attempt: int
  how: model.RunOutcome
  until: float
  failed: frozenset[int] = frozenset()


@dataclasses.dataclass(frozen=True)
class _Size:
  """What an endpoint takes at once: tasks, and their resources."""

  slots: int
  capacity: model.Resources


class Owner:
  """The state of one shard's owner; lives from claim to loss of the shard."""

  def __init__(
      self,
      shard: model.Shard,
      fence: int,
      now: float,
      ended_job_retention_s: float = 0.0,
      previous_roster: frozenset[str] | None = None,
      evacuations: evacuation.Evacuations | None = None,
  ):
    self.shard = shard
    self.fence = fence
    self.now = now
    self._evacuations = evacuations or evacuation.Evacuations(loaded=True)
    self.roster = roster.Roster()
    # Endpoints where something of the holder before may run, and that have not
    # told yet; None where it isn't known which.
    self.unreported = None if previous_roster is None else set(previous_roster)
    # How long kept jobs that are over stay known.
    self.ended_job_retention_s = ended_job_retention_s
    self.kept_records = keptrecords.KeptRecords()
    self.endpoints: dict[str, endpointstate.EndpointRecord] = {}
    # Lives that are over though they are listed: another answers there.
    self.dead_incarnations: set[tuple[str, settings.Address]] = set()
    # By service, how many listed endpoints of each size there are.
    self._sizes: dict[str, collections.Counter[_Size]] = {}
    self.jobs: dict[linkmessages.JobKey, JobRecord] = {}
    self.by_id: dict[str, JobRecord] = {}
    self.last_contact: dict[linkmessages.HostProcess, float] = {}
    # Hosts that could carry the shard, and when each was last heard from.
    self.successors: dict[linkmessages.HostProcess, float] = {}
    # Holders of other data centres that hosts there don't hear.
    self.holder_suspicions = suspicion.SuspicionTracker()
    self.call_losses = timeouts.CallLossRate()
    # When the list of endpoints was last read.
    self.listed_at: float | None = None
    self.early_results: dict[model.Task, EarlyResult] = {}
    # Endpoints lost under tasks, of which it is in doubt whether they crashed.
    self.suspected_crashes: dict[str, SuspectedCrash] = {}
    # When an endpoint last crashed at an address.
    self.crashed_at: dict[settings.Address, float] = {}
    self.demand = reservations.Demand()
    self.fenced = False
    self.ignore_silence_until = now
    self.taken_at = now
    self.counters: collections.Counter[str] = collections.Counter()
    self.effects: list[events.Effect] = []

  @property
  def evacuated(self) -> bool:
    """True while the operator wants nothing new to start here."""
    return self._evacuations.evacuated(self.shard.data_centre)

  @property
  def may_start(self) -> bool:
    """True if tasks may start here, as far as the operator is concerned."""
    return self._evacuations.may_start(self.shard.data_centre)

  @property
  def recovered(self) -> bool:
    """True once all that an earlier holder started is known, or over."""
    if self.unreported is not None and not self.unreported:
      return True
    return self.now - self.taken_at > RECOVERY_TIMEOUT_S

  @property
  def awaiting_endpoints(self) -> bool:
    """True while no endpoint has had the time to answer this new holder."""
    return self.now - self.taken_at < OPTIMISTIC_ADMISSION_S and not any(
        record.runs_known for record in self.endpoints.values()
    )

  def set_endpoint_sizes(self, listed: tuple[model.Endpoint, ...]):
    """Takes the sizes of all endpoints, those of other shards among them."""
    self._sizes = {}
    for endpoint in listed:
      size = _Size(endpoint.slots, endpoint.capacity)
      counts = self._sizes.setdefault(endpoint.service, collections.Counter())
      counts[size] += 1

  def total_slots(self, service: str, need: model.Resources) -> int:
    """Returns how many tasks of `need` all listed endpoints run at once."""
    counts = self._sizes.get(service, {})
    return sum(
        count * min(size.slots, size.capacity.count(need))
        for size, count in counts.items()
    )

  def endpoint_reported(self, endpoint: str):
    """Notes that an endpoint told what runs there, or that it is over."""
    if self.unreported is not None:
      self.unreported.discard(endpoint)

  def emit(self, *effects: events.Effect):
    """Adds effects to carry out."""
    self.effects += effects

  def take_effects(self) -> list[events.Effect]:
    """Returns the effects gathered since the last call."""
    effects, self.effects = self.effects, []
    return effects

  def send_to_coordinator(self, process: linkmessages.HostProcess, message):
    """Has a message sent to a coordinator."""
    self.emit(events.SendToCoordinator(process, self.shard, message))

  def snapshot(self) -> dict:
    """Returns a JSON-ready dump."""
    return {
        "shard": [self.shard.data_centre, self.shard.number],
        "fence": self.fence,
        "settled": self.recovered,
        "jobs": len(self.jobs),
        "waiting_tasks": sum(len(j.waiting) for j in self.jobs.values()),
        "coordinators": {
            p.host: round(self.now - at, 3)
            for p, at in self.last_contact.items()
        },
        "endpoints": {
            name: record.snapshot(self.now)
            for name, record in sorted(self.endpoints.items())
        },
        "kept": self.kept_records.snapshot(),
        "counters": dict(self.counters),
    }


def endpoint_log(event: str, record: endpointstate.EndpointRecord, **fields):
  """Returns a log line about an endpoint."""
  return events.log(
      event,
      endpoint=record.info.id,
      draining=record.info.draining,
      runs=len(record.runs),
      **fields,
  )


def run_log(event: str, record, run: endpointstate.Run, **fields):
  """Returns a log line about a run."""
  task = run.id.task
  return events.log(
      event,
      job=task.job_id,
      step=task.step,
      task=task.index,
      attempt=run.id.attempt,
      endpoint=record.info.id,
      **fields,
  )
