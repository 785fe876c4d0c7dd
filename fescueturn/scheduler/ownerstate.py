"""State of a shard's owner: its endpoints and the jobs that it accepted."""

import collections
import dataclasses
import enum
import math

from fescueturn import settings
from fescueturn.scheduler import endpointlist
from fescueturn.scheduler import endpointruns
from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import evacuation
from fescueturn.scheduler import events
from fescueturn.scheduler import keptrecords
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import messageage
from fescueturn.scheduler import model
from fescueturn.scheduler import recordsearch
from fescueturn.scheduler import reservations
from fescueturn.scheduler import roster
from fescueturn.scheduler import succession
from fescueturn.scheduler import suspicion
from fescueturn.scheduler import timebudget
from fescueturn.scheduler import timeouts
from fescueturn.scheduler.decisions import placing
from fescueturn.scheduler.decisions import room
from fescueturn.scheduler.decisions import runtimes
from fescueturn.scheduler.decisions import speeds

# How long a coordinator whose messages seem to be old has to send another one,
# before its jobs end: a ping period and the delay of a busy host. Its host may
# have been suspended, which the second message shows.
NEXT_MESSAGE_S = 0.15
# For this long a new holder accepts jobs before it knows what its endpoints are
# running. The endpoint list takes 6 ms to arrive from the store and the
# endpoints' answers take 2 ms, or 30 ms on a busy host.
OPTIMISTIC_ADMISSION_S = 0.1
# How long the result of a job is kept for its coordinator, which may have lost
# it together with its link: that gives a job up 2 s after it lost the holder.
JOB_RESULT_TTL_S = 3.0
# How long the results of runs whose job is unknown are kept after a takeover,
# so that the coordinators have time to offer their jobs.
EARLY_RESULT_TTL_S = 2.0
# Each holder numbers the attempts of a kept job's tasks from this figure times
# the number of previous holders, because it doesn't know the last attempt that
# the holder before it started. A job that moves to another shard goes on above all
# numbers that the one before may have used.
ATTEMPTS_PER_HOLDER = 1000


class TaskState(enum.Enum):
  """The state of one task of an accepted job."""

  BLOCKED = "blocked"
  WAITING = "waiting"
  # A run of the task was requested or is running, or its result is not known.
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
    # Incarnations of endpoints that surely crashed: while they ran this task,
    # and those that may have crashed before its run was requested.
    self.crashed: set[str] = set()
    self.maybe_crashed_before: set[str] = set()
    # Endpoints by id that were lost, and may have crashed, while they ran it.
    self.lost_endpoints: dict[str, model.LostEndpoint] = {}
    self.run: model.RunId | None = None
    self.endpoint = ""
    # The endpoint where one of its runs was stopped for being slow, if any.
    self.moved_from = ""
    # Runs other than the current one that may still be active: a previous
    # holder started them, or this one for an earlier submission of the job.
    self.previous_runs: set[endpointruns.Run] = set()

  @property
  def estimate_s(self) -> float:
    """The expected run time (s)."""
    return self.step.estimate_ms / 1000

  def is_current(self, run: endpointruns.Run) -> bool:
    """Returns whether a run is the task's current one."""
    return self.run == run.id and self.endpoint == run.endpoint


class JobRecord:
  """An accepted job.

  Attributes:
    key: the job and its coordinator.
    job: what to run.
    arrived: when it reached its coordinator, on this host's clock (s).
    deadline: when its caller stops waiting (s).
    latest_start: when its first tasks should start to meet the objective (s);
      jobs are started in this order.
    tasks: its tasks by name.
    waiting: its tasks that can start now.
    unfinished: how many tasks of each step are not done.
    paces: what the ended runs of each step tell of its declared time.
    resumed: True if a previous holder had it, or it was submitted before.
    begun: True once the start of a run was requested.
    offer_number: the number of the latest offer of it.
    returning: True if it is to be handed back once none of its runs is active.
    stranded_since: since when no endpoint here can run what is left of it (s);
      None while one can.
    earlier_attempts: see `model.Progress.attempts`.
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
    self.stranded_since: float | None = None
    self.earlier_attempts = 0
    self.tasks: dict[model.Task, TaskRecord] = {}
    self.waiting: list[TaskRecord] = []
    self.unfinished = [step.count for step in self.job.steps]
    self.paces = [speeds.JobPace() for _ in self.job.steps]
    for number, step in enumerate(self.job.steps):
      for index in range(step.count):
        task = model.Task(self.job.id, number, index)
        self.tasks[task] = TaskRecord(task, step)
    self.release_steps()

  @property
  def done(self) -> bool:
    """True when every task has succeeded."""
    return not any(self.unfinished)

  @property
  def active(self) -> bool:
    """True while one of its runs may still be active."""
    return any(
        task.state is TaskState.ACTIVE or task.previous_runs
        for task in self.tasks.values()
    )

  @property
  def started(self) -> bool:
    """True when one of its tasks is active or done."""
    states = (TaskState.ACTIVE, TaskState.DONE)
    return any(task.state in states for task in self.tasks.values())

  def offer(self, now: float) -> linkmessages.Offered:
    """Returns the offer that its coordinator would make now."""
    return dataclasses.replace(
        self._offer, age_s=now - self.arrived, remaining_s=self.deadline - now
    )

  def steps_before(self, number: int) -> set[int]:
    """Returns the steps that must be done before a step can start."""
    before: set[int] = set()
    to_visit = list(self.job.steps[number].after)
    while to_visit:
      earlier = to_visit.pop()
      if earlier not in before:
        before.add(earlier)
        to_visit += self.job.steps[earlier].after
    return before

  def steps_to_start(self) -> set[int]:
    """Returns the steps with tasks that wait, or that are blocked."""
    waiting = {task.task.step for task in self.waiting}
    blocked = {
        number
        for number, step in enumerate(self.job.steps)
        if any(self.unfinished[i] for i in step.after)
    }
    return waiting | blocked

  def release_steps(self):
    """Queues the blocked tasks whose preceding steps are all done."""
    for record in self.tasks.values():
      if record.state is TaskState.BLOCKED and not any(
          self.unfinished[i] for i in record.step.after
      ):
        record.state = TaskState.WAITING
        self.waiting.append(record)

  def task_done(self, record: TaskRecord):
    """Marks a task as done."""
    if record.state is TaskState.WAITING:
      self.waiting.remove(record)
    record.state = TaskState.DONE
    record.run = None
    self.unfinished[record.task.step] -= 1
    if not self.unfinished[record.task.step]:
      self.release_steps()

  def requeue_task(self, record: TaskRecord):
    """Puts a task at the head of the queue for another run."""
    record.state = TaskState.WAITING
    record.run = None
    self.waiting.insert(0, record)


class SuspectedCrash:
  """An endpoint that may have crashed while it ran tasks.

  Attributes:
    address: the endpoint's address.
    since: when it was lost (s).
    born_ms: when the lost incarnation started (Unix time, ms), 0 if unknown.
    tasks: the tasks that it was running.
  """

  def __init__(self, address: settings.Address, since: float, born_ms: int = 0):
    self.address = address
    self.since = since
    self.born_ms = born_ms
    self.tasks: set[model.Task] = set()


@dataclasses.dataclass(frozen=True)
class EarlyResult:
  """Results of a task that were reported before its job was known here.

  Attributes:
    attempt: the highest attempt that ended.
    how: how that attempt ended, or DONE if any attempt succeeded.
    until: when to forget the results (s).
    failed: the attempts that failed.
  """

  attempt: int
  how: model.RunOutcome
  until: float
  failed: frozenset[int] = frozenset()


@dataclasses.dataclass(frozen=True)
class JobResult:
  """The result of an ended job.

  Attributes:
    outcome: how it ended.
    reason: why, in one word.
    ended_at: when it ended (s).
  """

  outcome: model.Outcome
  reason: str
  ended_at: float


@dataclasses.dataclass(frozen=True)
class _EndpointSize:
  """How many tasks, and which resources, an endpoint offers at once."""

  slots: int
  capacity: model.Resources


class Owner:
  """The state of one shard's owner, from claiming the shard to losing it."""

  def __init__(
      self,
      shard: model.Shard,
      fence: int,
      now: float,
      ended_job_retention_s: float = 0.0,
      previous_roster: frozenset[str] | None = None,
      evacuations: evacuation.Evacuations | None = None,
      inherited: endpointlist.KnownList | None = None,
      store_silent_s: float = 0.0,
      claimants: succession.Claimants | None = None,
  ):
    self.shard = shard
    self.fence = fence
    # The fencing token of its first claim; it keeps its state if it claims the
    # shard again.
    self.first_fence = fence
    self.now = now
    self._evacuations = evacuations or evacuation.Evacuations(loaded=True)
    self.roster = roster.Roster()
    # Endpoints that may run tasks of the previous holder and have not reported
    # yet; None if it is unknown which they are.
    self.unreported = None if previous_roster is None else set(previous_roster)
    # How long finished kept jobs stay known (s).
    self.ended_job_retention_s = ended_job_retention_s
    self.kept_records = keptrecords.KeptRecords()
    # The search for kept jobs of data centres that have lost all their hosts.
    self.unclaimed = recordsearch.Search()
    # Kept jobs moved to other shards, whose holders aren't told of them yet.
    self.moved_jobs: list[tuple[str, model.Shard]] = []
    self.endpoints = placing.EndpointTable()
    # Incarnations that are listed although another one answers at the address.
    self.dead_incarnations: set[tuple[str, settings.Address, int]] = set()
    # The other data centres' endpoints, as last listed.
    self.listed_elsewhere: tuple[model.Endpoint, ...] = ()
    # When it was last checked whether the jobs can be run here (s).
    self.jobs_checked_at = now
    # The number of listed endpoints of each size, by service.
    self._sizes: dict[str, collections.Counter[_EndpointSize]] = {}
    self.jobs: dict[linkmessages.JobKey, JobRecord] = {}
    self.by_id: dict[str, JobRecord] = {}
    # The results of the jobs that ended last, in the order of their ends.
    self.job_results: dict[linkmessages.JobKey, JobResult] = {}
    # When each coordinator sent its last message (s).
    self.last_contact: dict[linkmessages.HostProcess, float] = {}
    # When each coordinator's last message was read (s).
    self._last_read: dict[linkmessages.HostProcess, float] = {}
    # Coordinators that may be dead: it isn't known when the messages were sent
    # that were read right after a pause.
    self._unproven: set[linkmessages.HostProcess] = set()
    self._message_ages: dict[
        linkmessages.HostProcess, messageage.MessageAges
    ] = {}
    # Coordinators that have not bounded the age of a message yet, but will.
    self._newly_heard: set[linkmessages.HostProcess] = set()
    # When each coordinator first sent a message to this owner (s).
    self.first_contacts: dict[linkmessages.HostProcess, float] = {}
    # The other hosts of the data centre that have pinged this owner.
    self.local_hosts: dict[linkmessages.HostProcess, succession.LocalHost] = {}
    # The other hosts that may claim the shard.
    self.claimants = claimants or succession.Claimants()
    # True while another host may hold the shard, so that no kept job runs.
    self.self_fenced = False
    # The host that is to claim the shard once this one releases it.
    self.successor: linkmessages.HostProcess | None = None
    # Numbers that it may grant as fencing tokens, the highest that it has
    # granted, and when it last did (s).
    self.spare_fences = succession.NO_FENCES
    self.last_granted = 0
    self.granted_at = -math.inf
    # True if it holds the shard by a grant, without a claim in the store.
    self.by_grant = False
    # Coordinators that understand who has taken the shard over.
    self.knows_moves: set[linkmessages.HostProcess] = set()
    # True once it was logged that a planned stop can't release the shard yet.
    self.release_put_off = False
    # Its list of endpoints, for the hosts of the data centre.
    self.shared_list = endpointlist.SharedList()
    # This host's copy of the previous holder's list, until a list is in use.
    self.inherited = inherited
    # How long the store had left this host without an answer when it took the
    # shard over (s).
    self.store_silent_s = store_silent_s
    # Holders of other data centres that hosts there report as silent.
    self.holder_suspicions = suspicion.SuspicionTracker()
    self.call_losses = timeouts.CallLossRate()
    # When the endpoint list was last received.
    self.listed_at: float | None = None
    # How long the store took to answer with it (s).
    self.list_took_s = 0.0
    # The store has answered since (s).
    self.store_answered_at = now
    # When the store was last asked that then named this host as the holder (s).
    self.claim_confirmed_at = now
    self.early_results: dict[model.Task, EarlyResult] = {}
    # Endpoints lost while running tasks that may or may not have crashed.
    self.suspected_crashes: dict[str, SuspectedCrash] = {}
    # When an endpoint at the address last crashed.
    self.crashed_at: dict[settings.Address, float] = {}
    self.demand = reservations.Demand()
    self.run_times = runtimes.RunTimes()
    # When the speeds of the endpoints were last compared (s).
    self.speeds_compared_at = now
    # The last room report, and when it was made (s).
    self.room_report: tuple[float, room.RoomReport | None] = (now, None)
    self.fenced = False
    # Until when it takes into account that this process was paused (s).
    self.pause_grace_until = now
    self.taken_at = now
    self.counters: collections.Counter[str] = collections.Counter()
    self.effects: list[events.Effect] = []

  @property
  def evacuated(self) -> bool:
    """True while the operator has this data centre evacuated."""
    return self._evacuations.evacuated(self.shard.data_centre)

  @property
  def may_start(self) -> bool:
    """True if neither an evacuation nor a pause keeps tasks from starting."""
    evacuated = not self._evacuations.may_start(self.shard.data_centre)
    return not evacuated and self.now >= self.pause_grace_until

  @property
  def recovered(self) -> bool:
    """True once all runs of the previous holder are known or have expired."""
    return self._has_recovered_after(timebudget.RECOVERY_TIMEOUT_S)

  @property
  def kept_recovered(self) -> bool:
    """True once that holds for the runs of kept jobs."""
    return self._has_recovered_after(timebudget.KEPT_RECOVERY_TIMEOUT_S)

  def _has_recovered_after(self, timeout_s: float) -> bool:
    if self.unreported is not None and not self.unreported:
      return True
    return self.now - self.taken_at > timeout_s

  @property
  def claim_is_doubtful(self) -> bool:
    """True if another data centre may have taken over its kept jobs."""
    unconfirmed_s = self.now - self.claim_confirmed_at
    return unconfirmed_s > timebudget.CLAIM_UNCONFIRMED_S

  def confirm_claim(self, took_s: float):
    """Records that the store has named this host as the shard's holder.

    Args:
      took_s: how long ago the store was asked (s).
    """
    self.claim_confirmed_at = max(self.claim_confirmed_at, self.now - took_s)

  def record_store_answer(self, took_s: float):
    """Records that the store has answered a request.

    It may have answered at once, and the answer have waited to be read.

    Args:
      took_s: how long ago the request was sent (s).
    """
    self.store_answered_at = max(self.store_answered_at, self.now - took_s)

  def record_contact(
      self,
      process: linkmessages.HostProcess,
      sent_at: float = 0.0,
      holder_at: float = 0.0,
  ) -> float:
    """Records that a coordinator has sent a message.

    Args:
      process: the coordinator.
      sent_at: when it did, on its own clock (s); 0 if it doesn't say.
      holder_at: a time on this host's clock that had passed then (s), modulo
        `linkmessages.CLOCK_PERIOD_S`; 0 if it isn't known.

    Returns:
      What its clock has gained on this host's (s).
    """
    age_s = gain_s = 0.0
    if self.now >= self.pause_grace_until:
      self._unproven.discard(process)
    elif process not in self._message_ages:
      self._unproven.add(process)
    if sent_at:
      if process not in self._message_ages:
        self._newly_heard.add(process)
      ages = self._message_ages.setdefault(process, messageage.MessageAges())
      max_age_s = None
      if holder_at:
        max_age_s = linkmessages.clock_difference(self.now, holder_at)
      age_s = ages.record(sent_at, self.now, max_age_s)
      gain_s = ages.clock_gain_s
    self.last_contact[process] = self.now - age_s
    self._last_read[process] = self.now
    self.first_contacts.setdefault(process, self.now)
    return gain_s

  def trust(self, ping: linkmessages.Ping) -> bool:
    """Returns whether a ping shows that its coordinator may be served now.

    The age of a coordinator's first messages isn't known: not until one bounds
    it, which those of an earlier version never do.
    """
    is_bounded = ping.holder_at or not ping.tells_holder_at
    if not is_bounded or ping.process not in self._newly_heard:
      return False
    self._newly_heard.remove(ping.process)
    return True

  def record_suspension(self, seconds: float):
    """Records that this host's clock has lost time.

    All that it was told before is older than its clock tells: it serves no
    coordinator, and takes no host for alive, until that speaks again.

    Args:
      seconds: the time, at least (s).
    """
    self._unproven.update(self.last_contact)
    self.store_answered_at = min(self.store_answered_at, self.now - seconds)
    self.claim_confirmed_at -= seconds
    self.claimants.mark_silent()

  def record_claimant(self, process: linkmessages.HostProcess):
    """Records that a host that may claim the shard has sent its last message."""
    if process not in self._unproven:
      self.claimants.record(process.host, self.last_contact[process])

  def is_silent(self, process: linkmessages.HostProcess) -> bool:
    """Returns whether a coordinator has sent nothing for too long."""
    contact_at = self.last_contact.get(process)
    return (
        contact_at is None
        or self.now - contact_at > timebudget.COORDINATOR_TIMEOUT_S
    )

  def is_dead(self, process: linkmessages.HostProcess) -> bool:
    """Returns whether a silent coordinator won't be heard any more."""
    read_at = self._last_read.get(process, -math.inf)
    return self.is_silent(process) and self.now - read_at > NEXT_MESSAGE_S

  def lacks_coordinator(self, job: JobRecord) -> bool:
    """Returns whether a job may run only if its coordinator speaks again."""
    process = job.key.process
    is_missed = (
        process in self._unproven
        or process in self._newly_heard
        or self.is_silent(process)
    )
    return is_missed and not job.job.kept

  def must_let_lapse(self, record: endpointstate.EndpointRecord) -> bool:
    """Returns whether an endpoint's lease may not be extended now.

    A lease is one for all runs of its endpoint: extended for one of them, it
    keeps the others running, stopped or not.
    """
    return record.must_lapse or any(
        self._is_unserved(run) for run in record.runs.values()
    )

  def _is_unserved(self, run: endpointruns.Run) -> bool:
    """Returns whether a run's caller may have left, to send its job again."""
    if run.abandoned:
      return False  # It has ended with an earlier lease.
    job = self.by_id.get(run.id.task.job_id)
    if job is None:
      # Nothing is known of the caller of a run that was found there.
      return run.need is None or self.now > run.served_until
    return self.lacks_coordinator(job)

  def end_service(self, job: JobRecord):
    """Limits for how long leases are extended beside an ended job's runs.

    Each of them may still be active until its end is known.
    """
    if job.job.kept:
      return  # Its caller doesn't wait for it.
    until = -math.inf
    if not self.lacks_coordinator(job):
      heard_at = self.last_contact[job.key.process]
      until = heard_at + timebudget.COORDINATOR_TIMEOUT_S
    for task in job.tasks.values():
      for previous in task.previous_runs:
        previous.served_until = until
      current = self.current_run(task)
      if current is not None:
        current.served_until = until

  def current_run(self, task: TaskRecord) -> endpointruns.Run | None:
    """Returns a task's current run, if it has one."""
    record = self.endpoints.get(task.endpoint)
    return record.runs.get(task.run) if record else None

  def record_job_result(
      self, key: linkmessages.JobKey, outcome: model.Outcome, reason: str
  ):
    """Records the result of a job that has ended."""
    self.job_results.pop(key, None)
    self.job_results[key] = JobResult(outcome, reason, self.now)

  def job_result(self, offer: linkmessages.Offered) -> JobResult | None:
    """Returns the result of an offered job if it has ended here already.

    A job that its caller submitted after that end is a new one.
    """
    result = self.job_results.get(offer.key)
    submitted_at = self.now - offer.age_s
    if result is None or not offer.resumed or submitted_at > result.ended_at:
      return None
    return result

  def expire_job_results(self):
    """Removes the results that no coordinator asks for any more."""
    while self.job_results:
      key = next(iter(self.job_results))
      if self.now - self.job_results[key].ended_at < JOB_RESULT_TTL_S:
        return
      del self.job_results[key]

  def may_have_unknown_runs(self, job: JobRecord) -> bool:
    """Returns whether a job may have runs that are not known here.

    An earlier holder that is cut off together with some endpoints runs the job
    until its coordinator turns to this holder. It then stops the runs, or their
    leases expire, as it no longer hears from the coordinator.
    """
    all_reported = self.unreported is not None and not self.unreported
    if not job.resumed or all_reported:
      return False
    since = self.first_contacts.get(job.key.process, self.taken_at)
    timeout_s = (
        timebudget.KEPT_RECOVERY_TIMEOUT_S
        if job.job.kept
        else timebudget.RECOVERY_TIMEOUT_S
    )
    return self.now - since <= timeout_s

  def must_hold_back(self, job: JobRecord) -> bool:
    """Returns whether no task of a job may be started now."""
    return (
        job.returning
        or self.lacks_coordinator(job)
        or (job.job.kept and (self.self_fenced or self.claim_is_doubtful))
        or self.may_have_unknown_runs(job)
    )

  @property
  def awaiting_endpoints(self) -> bool:
    """True until an endpoint has answered this new holder, for a short time."""
    return self.now - self.taken_at < OPTIMISTIC_ADMISSION_S and not any(
        record.runs_known for record in self.endpoints.values()
    )

  def set_endpoint_sizes(self, listed: tuple[model.Endpoint, ...]):
    """Records the sizes of all endpoints, including those of other shards."""
    self._sizes = {}
    for endpoint in listed:
      size = _EndpointSize(endpoint.slots, endpoint.capacity)
      counts = self._sizes.setdefault(endpoint.service, collections.Counter())
      counts[size] += 1

  def total_slots(self, service: str, need: model.Resources) -> int:
    """Returns how many tasks of `need` all listed endpoints can run at once."""
    counts = self._sizes.get(service, {})
    return sum(
        count * min(size.slots, size.capacity.count(need))
        for size, count in counts.items()
    )

  def endpoint_reported(self, endpoint: str):
    """Records that an endpoint has listed its runs, or no longer exists."""
    if self.unreported is not None:
      self.unreported.discard(endpoint)

  def emit(self, *effects: events.Effect):
    """Queues effects for the I/O shell to carry out."""
    self.effects += effects

  def take_effects(self) -> list[events.Effect]:
    """Returns the effects queued since the last call."""
    effects, self.effects = self.effects, []
    return effects

  def send_to_coordinator(self, process: linkmessages.HostProcess, message):
    """Queues a message to a coordinator."""
    self.emit(events.SendToCoordinator(process, self.shard, message))

  def snapshot(self) -> dict:
    """Returns a JSON-ready dump."""
    return {
        "shard": [self.shard.data_centre, self.shard.number],
        "fence": self.fence,
        "settled": self.recovered,
        "successor": self.successor.host if self.successor else None,
        "by_grant": self.by_grant,
        "self_fenced": self.self_fenced,
        "spare_fences": [self.spare_fences.first, self.spare_fences.limit],
        "list_age_s": round(self.shared_list.age_s(self.now), 3)
        if self.shared_list.version
        else None,
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
        "run_times": self.run_times.snapshot(),
        "kept": self.kept_records.snapshot(),
        "unclaimed": self.unclaimed.snapshot(self.now),
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


def run_log(event: str, record, run: endpointruns.Run, **fields):
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
