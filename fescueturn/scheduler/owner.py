"""The owner of a shard of endpoints: takes jobs, places and watches runs.

Promises kept here:
- a task has one run at a time: another starts only when the one before has
  ended, surely will never start, or its lease is over;
- no endpoint is given more than its capacity, orders without an answer
  counted;
- a job's runs go on only while its coordinator is heard from.
"""

import collections
import dataclasses
import enum

from fescueturn.scheduler import admission
from fescueturn.scheduler import events
from fescueturn.scheduler import ledger
from fescueturn.scheduler import model

# A lease call waits this long for an end; the next one then renews the lease
# with more than half of its 1,000 ms left for a lost call and its repeat.
LEASE_CALL_WAIT_MS = 300
# Runs found at an endpoint on taking it over wait this long for their
# coordinator to name them: a coordinator learns of the new holder from the
# store's watch within some 10 ms and offers its jobs at once.
ADOPT_WAIT_S = 0.25
# A coordinator that is silent for this long has its jobs' runs stopped. It
# sends a ping every 100 ms. See `ledger.LEASE_MS` for what it adds up to.
COORDINATOR_SILENCE_S = 0.35
# After a pause of this process, what has come in meanwhile is read first.
AFTER_PAUSE_S = 0.05
# A stop without an answer is sent again after this.
STOP_AGAIN_S = 0.25
# Ends found on taking over, of runs whose job is not known yet, are kept
# until the coordinators have offered their jobs.
EARLY_ENDS_KEEP_S = 2.0
# Tasks that an earlier holder had and that are not found running wait this
# long: the list of endpoints may lack some whose entries have lapsed with a
# store that was away. The earlier holder is fenced off at its next lease call
# (within 0.5 s), and the last lease it asked for lasts 0.84 s more.
SETTLE_S = 1.5
# A task is not started again when its caller waits no longer than this.
MIN_LEFT_S = 0.02


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
    self.failures = 0
    self.run: model.RunId | None = None
    self.endpoint = ""
    # A run of an earlier try at the job that may still go on.
    self.previous: model.RunId | None = None

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
  """

  def __init__(self, offer: events.Offered, now: float, latest_start: float):
    self.key = offer.key
    self.job = offer.job
    self.arrived = now - offer.age_s
    self.deadline = now + offer.left_s
    self.latest_start = latest_start
    self.resumed = offer.resumed
    self.begun = offer.resumed
    self.tasks: dict[model.Task, TaskRecord] = {}
    self.waiting: list[TaskRecord] = []
    self.left = [step.count for step in self.job.steps]
    for number, step in enumerate(self.job.steps):
      for index in range(step.count):
        task = model.Task(self.job.id, number, index)
        self.tasks[task] = TaskRecord(task, step)
    self.release_steps()

  @property
  def done(self) -> bool:
    """True when every task has ended well."""
    return not any(self.left)

  def release_steps(self):
    """Makes the tasks wait whose earlier steps are all done."""
    for record in self.tasks.values():
      if record.state is TaskState.BLOCKED and not any(
          self.left[i] for i in record.step.after
      ):
        record.state = TaskState.WAITING
        self.waiting.append(record)

  def task_done(self, record: TaskRecord):
    """Notes a task that ended well."""
    if record.state is TaskState.WAITING:
      self.waiting.remove(record)
    record.state = TaskState.DONE
    record.run = None
    self.left[record.task.step] -= 1
    if not self.left[record.task.step]:
      self.release_steps()

  def task_waits(self, record: TaskRecord):
    """Has a task wait for another run."""
    record.state = TaskState.WAITING
    record.run = None
    self.waiting.insert(0, record)


@dataclasses.dataclass(frozen=True)
class _EarlyEnd:
  """An end listed before its job was known here."""

  attempt: int
  how: model.EndHow
  until: float


class Owner:
  """The state of one shard's owner; lives from claim to loss of the shard."""

  def __init__(self, shard: model.Shard, fence: int, now: float):
    self.shard = shard
    self.fence = fence
    self.now = now
    self.endpoints: dict[str, ledger.EndpointRecord] = {}
    self.all_endpoints: tuple[model.Endpoint, ...] = ()
    self.jobs: dict[events.JobKey, JobRecord] = {}
    self.by_id: dict[str, JobRecord] = {}
    self.heard: dict[events.Party, float] = {}
    self.early_ends: dict[model.Task, _EarlyEnd] = {}
    self.fenced = False
    self.patient_until = now
    self.taken_at = now
    self.counters: collections.Counter[str] = collections.Counter()
    self.effects: list[events.Effect] = []

  @property
  def settled(self) -> bool:
    """True once all that an earlier holder started is known, or over."""
    return self.now - self.taken_at > SETTLE_S

  def out(self, *effects: events.Effect):
    """Adds effects to carry out."""
    self.effects += effects

  def take_effects(self) -> list[events.Effect]:
    """Returns the effects gathered since the last call."""
    effects, self.effects = self.effects, []
    return effects

  def tell(self, party: events.Party, message):
    """Has a message sent to a coordinator."""
    self.out(events.TellCoordinator(party, self.shard, message))

  def snapshot(self) -> dict:
    """Returns a JSON-ready dump."""
    return {
        "shard": [self.shard.data_centre, self.shard.number],
        "fence": self.fence,
        "jobs": len(self.jobs),
        "waiting_tasks": sum(len(j.waiting) for j in self.jobs.values()),
        "coordinators": {
            p.host: round(self.now - at, 3) for p, at in self.heard.items()
        },
        "endpoints": {
            name: record.snapshot(self.now)
            for name, record in sorted(self.endpoints.items())
        },
        "counters": dict(self.counters),
    }


# Endpoints: listing, leases, what runs there.


def endpoints_listed(owner: Owner, listed: tuple[model.Endpoint, ...]):
  """Takes the platform's list; new endpoints are asked what runs there."""
  owner.all_endpoints = listed
  own = {e.id: e for e in listed if e.data_centre == owner.shard.data_centre}
  for name, info in own.items():
    record = owner.endpoints.get(name)
    if record is None:
      record = ledger.EndpointRecord(info, owner.now)
      owner.endpoints[name] = record
      owner.out(_endpoint_log("endpoint_seen", record))
      _call_lease(owner, record)
      continue
    if record.info.draining != info.draining or not record.listed:
      owner.out(_endpoint_log("endpoint_changed", record, now=info.draining))
    record.update(info)
  for name, record in list(owner.endpoints.items()):
    if name not in own and record.listed:
      record.listed = False
      owner.out(_endpoint_log("endpoint_unlisted", record))
    if not record.listed and not record.runs and not record.call_waits:
      del owner.endpoints[name]
  _place(owner)


def _endpoint_log(event: str, record: ledger.EndpointRecord, **fields):
  return events.log(
      event,
      endpoint=record.info.id,
      draining=record.info.draining,
      runs=len(record.runs),
      **fields,
  )


def _call_lease(owner: Owner, record: ledger.EndpointRecord):
  """Renews the endpoint's lease and asks for its runs, unless one is out."""
  if record.call_waits:
    return
  record.call_number += 1
  record.call_waits = True
  record.call_sent_at = owner.now
  owner.out(
      events.RenewLease(
          record.info,
          record.call_number,
          record.last_seen,
          _lease_end(owner, record),
          LEASE_CALL_WAIT_MS if record.known and record.runs else 0,
          owner.fence,
      )
  )


def _lease_end(owner, record) -> int | None:
  """Returns the lease's new end, or None to let it be.

  The lease of an endpoint that doesn't answer is left to run out, so that its
  tasks can be run elsewhere; so is one where all runs are yet unknown, since
  their coordinator may be dead.
  """
  wanted = any(run.need is not None for run in record.runs.values())
  if not wanted or record.silent_since is not None:
    return None
  return record.extend_lease(owner.now)


def lease_answered(owner: Owner, event: events.LeaseAnswered):
  """Takes an endpoint's list of runs and ends."""
  record = owner.endpoints.get(event.endpoint)
  if record is None or event.number != record.call_number:
    return
  record.call_waits = False
  record.note_clock(event.clock_ms, owner.now)
  if event.result is model.CallResult.OK:
    _take_lists(owner, record, event)
  else:
    _call_failed(owner, record, event.result)
  _place(owner)


def _take_lists(owner, record, event: events.LeaseAnswered):
  newly_known = not record.known
  record.known = True
  for ended in event.ended:
    if ended.number > record.last_seen:
      record.last_seen = ended.number
      _run_ended(owner, record, ended)
  listed = {r.run for r in event.running}
  for running in event.running:
    _run_listed(owner, record, running)
  for run in list(record.runs.values()):
    shown = run.settled_at and event.number >= run.settled_at
    if shown and run.id not in listed:
      # It ended, and its end was acknowledged by an earlier holder's call.
      _run_over(owner, record, run, model.EndHow.LOST, "not_listed")
  if newly_known:
    owner.out(_endpoint_log("endpoint_known", record))
  if record.runs:
    _call_lease(owner, record)


def _run_listed(owner, record, running: model.Running):
  run = record.runs.get(running.run)
  if run is None:
    run = ledger.Run(running.run, None, ledger.RunState.RUNNING, owner.now)
    run.settled_at = record.call_number
    record.add(run)
    _adopt(owner, record, run)
  elif run.state in (ledger.RunState.ORDERED,):
    run.state = ledger.RunState.RUNNING
    run.settled_at = record.call_number
  if running.percent > run.percent:
    run.percent = running.percent
    run.moved_at = owner.now


def _adopt(owner, record, run: ledger.Run):
  """Gives a run found at an endpoint to its job, if that is known here."""
  job = owner.by_id.get(run.id.task.job_id)
  if job is None:
    return
  task = job.tasks.get(run.id.task)
  if task is None or task.state is not TaskState.WAITING:
    return
  record.adopt(run, task.step.need, task.step.estimate_ms)
  job.waiting.remove(task)
  task.state = TaskState.ACTIVE
  task.run = run.id
  task.attempt = max(task.attempt, run.id.attempt)
  task.endpoint = record.info.id
  owner.counters["adopted"] += 1
  _call_lease(owner, record)
  owner.out(_run_log("run_adopted", job, record, run))


def _run_log(event: str, job: JobRecord, record, run: ledger.Run, **fields):
  task = run.id.task
  return events.log(
      event,
      job=job.job.id,
      step=task.step,
      task=task.index,
      attempt=run.id.attempt,
      endpoint=record.info.id,
      **fields,
  )


def _run_ended(owner, record, ended: model.Ended):
  run = record.runs.get(ended.run)
  if run is None:
    _end_of_unknown(owner, ended)
    return
  _run_over(owner, record, run, ended.how, "listed")


def _end_of_unknown(owner, ended: model.Ended):
  """Keeps an end whose job may still be offered after a takeover."""
  owner.early_ends[ended.run.task] = _EarlyEnd(
      ended.run.attempt, ended.how, owner.now + EARLY_ENDS_KEEP_S
  )


def _run_over(owner, record, run: ledger.Run, how: model.EndHow, why: str):
  """A run surely goes on no longer: frees its room, settles its task."""
  record.remove(run.id)
  if how is model.EndHow.DONE:
    record.run_done(run, owner.now)
  elif how is model.EndHow.FAILED and record.run_failed(
      run.id.task.job_id, owner.now
  ):
    owner.counters["ejected"] += 1
    owner.out(
        _endpoint_log(
            "endpoint_ejected",
            record,
            for_s=round(record.out_until - owner.now, 2),
        )
    )
  job = owner.by_id.get(run.id.task.job_id)
  task = job.tasks.get(run.id.task) if job else None
  if task is None:
    return
  if task.previous == run.id:
    task.previous = None
  if task.run != run.id:
    return
  if how is not model.EndHow.DONE:
    owner.out(_run_log("run_ended", job, record, run, how=how.value, why=why))
  _task_over(owner, job, task, how)


def _task_over(owner, job: JobRecord, task: TaskRecord, how: model.EndHow):
  owner.counters[f"run_{how.value}"] += 1
  if how is model.EndHow.DONE:
    job.task_done(task)
    if job.done:
      _end_job(owner, job, model.Outcome.DONE, "done")
    return
  if how is model.EndHow.FAILED:
    task.failures += 1
    if task.failures >= job.job.attempts:
      _end_job(owner, job, model.Outcome.FAILED, "attempts_used")
      return
  job.task_waits(task)


def _call_failed(owner, record, result: model.CallResult):
  """A lease call was not answered as it should be."""
  if result is model.CallResult.FENCED:
    _stand_down(owner, record)
  elif result is model.CallResult.GONE:
    _endpoint_gone(owner, record)
  elif result is model.CallResult.NOT_SENT:
    _unreached(owner, record)
  elif result is model.CallResult.NO_ANSWER:
    _no_answer(owner, record, record.call_sent_at)
  else:
    record.back_off(owner.now)
    record.call_later(owner.now)


def _no_answer(owner, record, sent_at: float | None):
  """A call got no answer: it was lost, or the endpoint is silent.

  An endpoint that answered another call meanwhile has only lost this one.
  """
  if sent_at is not None and record.heard_at > sent_at:
    owner.counters["calls_lost"] += 1
    return
  _unreached(owner, record)


def _unreached(owner, record):
  if record.silent_since is None:
    owner.out(_endpoint_log("endpoint_silent", record))
  record.silent(owner.now)
  record.back_off(owner.now)
  record.call_later(owner.now)


def _stand_down(owner, record):
  """A host with a higher fence number holds the endpoint: stop at once."""
  if not owner.fenced:
    owner.fenced = True
    owner.out(_endpoint_log("fenced", record, fence=owner.fence))


def _endpoint_gone(owner, record):
  """The machine runs another life by now: nothing of this one is left."""
  owner.out(_endpoint_log("endpoint_gone", record))
  record.listed = False
  for run in list(record.runs.values()):
    _run_over(owner, record, run, model.EndHow.LOST, "endpoint_gone")
  owner.endpoints.pop(record.info.id, None)


# Orders.


def _place(owner: Owner):
  """Starts waiting tasks wherever there is room, most urgent jobs first."""
  if owner.fenced:
    return
  usable = [r for r in owner.endpoints.values() if r.usable(owner.now)]
  if not usable:
    return
  waiting = [job for job in owner.jobs.values() if job.waiting]
  waiting.sort(key=lambda job: job.latest_start)
  for job in waiting:
    if job.deadline - owner.now < MIN_LEFT_S:
      continue
    if job.resumed and not owner.settled:
      continue
    for task in list(job.waiting):
      if task.previous is not None:
        continue
      record = _choose(owner, job, task, usable)
      if record is None:
        break
      _start(owner, job, task, record)


def _choose(owner, job, task: TaskRecord, usable):
  """Returns the quickest endpoint with room for the task, or None."""
  del owner
  step = task.step
  best, best_rank = None, None
  for record in usable:
    if record.info.service != job.job.service or not record.fits(step.need):
      continue
    if step.requires and step.requires not in record.info.labels:
      continue
    if step.most_per_endpoint and _of_step(record, task) >= (
        step.most_per_endpoint
    ):
      continue
    near = not step.near or step.near in record.info.labels
    rank = (not near, round(record.slowness, 1), -record.free.cpu)
    if best is None or rank < best_rank:
      best, best_rank = record, rank
  return best


def _of_step(record, task: TaskRecord) -> int:
  """Returns how many tasks of the same step the endpoint has."""
  of_step = (task.task.job_id, task.task.step)
  return sum((r.task.job_id, r.task.step) == of_step for r in record.runs)


def _start(owner, job: JobRecord, task: TaskRecord, record):
  deadline_ms = record.extend_lease(owner.now)
  task.attempt += 1
  run_id = model.RunId(task.task, task.attempt)
  run = ledger.Run(
      run_id,
      task.step.need,
      ledger.RunState.ORDERED,
      owner.now,
      task.step.estimate_ms,
      deadline_ms,
  )
  record.add(run)
  job.waiting.remove(task)
  task.state = TaskState.ACTIVE
  task.run = run_id
  task.endpoint = record.info.id
  if not job.begun:
    job.begun = True
    waited_ms = int((owner.now - job.arrived) * 1000)
    owner.out(
        events.log(
            "job_begun",
            job=job.job.id,
            coordinator=job.key.party.host,
            waited_ms=waited_ms,
            fence=owner.fence,
        )
    )
  owner.counters["starts"] += 1
  owner.out(
      events.StartRun(
          record.info, run_id, job.job.spec, deadline_ms, owner.fence
      )
  )


def start_answered(owner: Owner, event: events.StartAnswered):
  """Takes the answer to an order to start."""
  record = owner.endpoints.get(event.endpoint)
  run = record.runs.get(event.run) if record else None
  if record is not None:
    record.note_clock(event.clock_ms, owner.now)
  if run is None:
    return
  if event.result is model.CallResult.OK:
    if run.state is ledger.RunState.ORDERED:
      run.state = ledger.RunState.RUNNING
    run.settled_at = run.settled_at or record.call_number + 1
    _call_lease(owner, record)
    return
  _start_failed(owner, record, run, event.result)
  _place(owner)


def _start_failed(owner, record, run: ledger.Run, result: model.CallResult):
  owner.counters[f"start_{result.value}"] += 1
  owner.out(
      events.log(
          "start_failed",
          job=run.id.task.job_id,
          step=run.id.task.step,
          task=run.id.task.index,
          attempt=run.id.attempt,
          endpoint=record.info.id,
          result=result.value,
          fence=owner.fence,
      )
  )
  if result is model.CallResult.FENCED:
    _stand_down(owner, record)
    return
  if result is model.CallResult.GONE:
    _endpoint_gone(owner, record)
    return
  if result is model.CallResult.NO_ANSWER:
    _no_answer(owner, record, run.since)
    if run.state is ledger.RunState.ORDERED:
      run.state = ledger.RunState.UNSURE
    _stop(owner, record, run)
    return
  if result is model.CallResult.NOT_SENT:
    _unreached(owner, record)
  elif result is not model.CallResult.LATE:
    record.back_off(owner.now)
  if run.state is ledger.RunState.ORDERED:
    _run_over(owner, record, run, model.EndHow.LOST, result.value)


def _stop(owner, record, run: ledger.Run):
  """Orders a run to stop; it frees its room once its end is listed."""
  if run.state is not ledger.RunState.UNSURE:
    run.state = ledger.RunState.STOPPING
  run.settled_at = 0
  run.stop_sent_at = owner.now
  owner.counters["stops"] += 1
  owner.out(events.StopRun(record.info, run.id, owner.fence))


def stop_answered(owner: Owner, event: events.StopAnswered):
  """Takes the answer to an order to stop."""
  record = owner.endpoints.get(event.endpoint)
  if record is None:
    return
  record.note_clock(event.clock_ms, owner.now)
  run = record.runs.get(event.run)
  if event.result is model.CallResult.OK:
    if run is not None:
      # The next call shows it running, ended or not there at all.
      run.state = ledger.RunState.STOPPING
      run.settled_at = record.call_number + 1
      run.stop_sent_at = None
    _call_lease(owner, record)
    return
  if event.result is model.CallResult.FENCED:
    _stand_down(owner, record)
  elif event.result is model.CallResult.GONE:
    _endpoint_gone(owner, record)
  elif event.result is model.CallResult.NOT_SENT:
    _unreached(owner, record)
  elif event.result is model.CallResult.NO_ANSWER and run is not None:
    _no_answer(owner, record, run.stop_sent_at)


# Jobs.


def offered(owner: Owner, offer: events.Offered):
  """Takes or declines a job."""
  owner.heard[offer.key.party] = owner.now
  if offer.key in owner.jobs:
    owner.tell(offer.key.party, events.Accepted(offer.key, offer.number))
    return
  earlier = owner.by_id.get(offer.job.id)
  if earlier is not None:
    # The caller came back through another host: its first try is over.
    _end_job(owner, earlier, model.Outcome.UNKNOWN, "sent_again")
    offer = dataclasses.replace(offer, resumed=True)
  if not offer.resumed:
    wait_ms = _wait_ms(owner, offer)
    if wait_ms is not None:
      _decline(owner, offer, wait_ms)
      return
  _accept(owner, offer)
  _place(owner)


def _places(owner: Owner, need: model.Room, service: str) -> int:
  """Returns how many tasks of `need` all listed endpoints run at once."""
  return sum(
      min(e.slots, e.capacity.count(need))
      for e in owner.all_endpoints
      if e.service == service
  )


def _wait_ms(owner: Owner, offer: events.Offered) -> int | None:
  """Returns None to take the job, or else when there may be room (ms)."""
  job = offer.job
  first = [s for s in job.steps if not s.after]
  widest = max(first, key=lambda s: s.estimate_ms)
  count = sum(s.count for s in first)
  records = [
      r
      for r in owner.endpoints.values()
      if r.usable(owner.now) and r.info.service == job.service
  ]
  places = admission.free_times(records, widest.need, owner.now)
  total = _places(owner, widest.need, job.service)
  chain_s = admission.chain_s(job, total)
  run_s = widest.estimate_ms / 1000
  ahead = _work_ahead(owner, _latest_start(owner, offer))
  finish_s = admission.expected_finish_s(places, ahead, count, run_s, owner.now)
  if finish_s is None:
    return NO_PLACE_WAIT_MS
  finish_s += max(0.0, chain_s - run_s * _waves(count, len(places)))
  spare_s = admission.latest_finish_s(job, total) - offer.age_s - finish_s
  return None if spare_s >= 0 else max(1, int(-spare_s * 1000))


# What a host without a usable endpoint says of when to come back.
NO_PLACE_WAIT_MS = 1000


def _waves(count: int, places: int) -> int:
  return -(-count // max(1, places))


def _work_ahead(owner: Owner, latest_start: float) -> list[float]:
  """Returns the run times (s) of waiting tasks that go before a new job's."""
  return [
      task.estimate_s
      for job in owner.jobs.values()
      if job.latest_start <= latest_start and (owner.settled or not job.resumed)
      for task in job.waiting
  ]


def _latest_start(owner: Owner, offer: events.Offered) -> float:
  need = offer.job.steps[0].need
  total = _places(owner, need, offer.job.service)
  spare_s = admission.objective_s(offer.job, total) - admission.chain_s(
      offer.job, total
  )
  return owner.now - offer.age_s + spare_s


def _decline(owner, offer: events.Offered, wait_ms: int):
  owner.counters["declined"] += 1
  owner.out(
      events.log(
          "job_declined",
          job=offer.job.id,
          coordinator=offer.key.party.host,
          wait_ms=wait_ms,
          waiting_jobs=sum(bool(j.waiting) for j in owner.jobs.values()),
          fence=owner.fence,
      )
  )
  owner.tell(offer.key.party, events.Declined(offer.key, offer.number, wait_ms))


def _accept(owner, offer: events.Offered):
  record = JobRecord(offer, owner.now, _latest_start(owner, offer))
  owner.jobs[offer.key] = record
  owner.by_id[offer.job.id] = record
  owner.counters["accepted"] += 1
  owner.tell(offer.key.party, events.Accepted(offer.key, offer.number))
  _find_runs(owner, record)


def _find_runs(owner, job: JobRecord):
  """Takes up what an earlier holder, or an earlier try, started of the job."""
  for record in owner.endpoints.values():
    for run in list(record.runs.values()):
      if run.id.task.job_id == job.job.id:
        _take_up(owner, job, record, run)
  for task in list(job.tasks.values()):
    early = owner.early_ends.pop(task.task, None)
    if early is None or task.state is not TaskState.WAITING:
      continue
    task.attempt = max(task.attempt, early.attempt)
    if early.how is model.EndHow.DONE:
      job.task_done(task)
  if job.done:
    _end_job(owner, job, model.Outcome.DONE, "done")


def _take_up(owner, job: JobRecord, record, run: ledger.Run):
  task = job.tasks.get(run.id.task)
  if task is None:
    return
  task.attempt = max(task.attempt, run.id.attempt)
  if run.need is None and run.state is ledger.RunState.RUNNING:
    _adopt(owner, record, run)
  elif not run.given_back:
    # It is being stopped: the next run of the task waits for its end.
    task.previous = run.id


def withdrawn(owner: Owner, key: events.JobKey):
  """The coordinator gave the job up."""
  job = owner.jobs.get(key)
  if job is not None:
    _end_job(owner, job, None, "withdrawn")
    _place(owner)


def _end_job(owner, job: JobRecord, outcome: model.Outcome | None, why: str):
  """Ends a job: stops what runs, tells the coordinator unless it knows."""
  owner.jobs.pop(job.key, None)
  if owner.by_id.get(job.job.id) is job:
    del owner.by_id[job.job.id]
  for task in job.tasks.values():
    if task.run is not None:
      _stop_task(owner, task)
  owner.counters[f"job_{why}"] += 1
  if outcome is not model.Outcome.DONE:
    owner.out(
        events.log(
            "job_over",
            job=job.job.id,
            coordinator=job.key.party.host,
            why=why,
            begun=job.begun,
            age_ms=int((owner.now - job.arrived) * 1000),
        )
    )
  if outcome is not None:
    owner.tell(job.key.party, events.JobEnded(job.key, outcome, why))


def _stop_task(owner, task: TaskRecord):
  record = owner.endpoints.get(task.endpoint)
  run = record.runs.get(task.run) if record else None
  if run is not None and run.state is not ledger.RunState.STOPPING:
    _stop(owner, record, run)


# Time.


def tick(owner: Owner):
  """Looks after everything that waits for a time."""
  if owner.fenced:
    return
  if owner.now >= owner.patient_until:
    _drop_silent_coordinators(owner)
  _end_overdue_jobs(owner)
  for record in list(owner.endpoints.values()):
    _tend(owner, record)
  for task, early in list(owner.early_ends.items()):
    if early.until < owner.now:
      del owner.early_ends[task]
  _place(owner)


def _drop_silent_coordinators(owner):
  silent = [
      party
      for party, at in owner.heard.items()
      if owner.now - at > COORDINATOR_SILENCE_S
  ]
  for party in silent:
    del owner.heard[party]
    mine = [job for job in owner.jobs.values() if job.key.party == party]
    owner.out(events.log("coordinator_silent", host=party.host, jobs=len(mine)))
    for job in mine:
      _end_job(owner, job, model.Outcome.UNKNOWN, "coordinator_silent")


def _end_overdue_jobs(owner):
  for job in list(owner.jobs.values()):
    if job.deadline <= owner.now:
      outcome = model.Outcome.UNKNOWN if job.begun else model.Outcome.NOT_RUN
      _end_job(owner, job, outcome, "deadline")
    elif not job.begun and job.latest_start < owner.now:
      _end_job(owner, job, model.Outcome.NOT_RUN, "no_room_in_time")


def _tend(owner, record: ledger.EndpointRecord):
  """Repeats calls without an answer, stops runs that nobody wants."""
  for run in list(record.runs.values()):
    _tend_run(owner, record, run)
  if record.forgotten(owner.now):
    owner.out(_endpoint_log("endpoint_forgotten", record))
    _endpoint_gone(owner, record)
    return
  silent = record.silent_since is not None
  wants_call = record.runs or silent or not record.known
  if (
      wants_call
      and not record.call_waits
      and (record.call_again_at <= owner.now)
  ):
    _call_lease(owner, record)


def _tend_run(owner, record, run: ledger.Run):
  unwanted = (
      run.need is None
      and run.state is ledger.RunState.RUNNING
      and owner.now - run.since > ADOPT_WAIT_S
  )
  if unwanted or run.stuck(owner.now):
    why = "unwanted" if unwanted else "stuck"
    owner.counters[f"run_{why}"] += 1
    if not unwanted:
      record.eject(owner.now)
    _log_run(owner, f"run_{why}", record, run)
    _stop(owner, record, run)
    return
  again = (
      run.stop_sent_at is not None
      and owner.now - run.stop_sent_at > STOP_AGAIN_S
  )
  if again:
    _stop(owner, record, run)
  silent = record.silent_since is not None
  if silent and not run.given_back and record.lapsed(owner.now):
    _give_task_back(owner, record, run)


def _log_run(owner, event: str, record, run: ledger.Run):
  owner.out(
      events.log(
          event,
          job=run.id.task.job_id,
          step=run.id.task.step,
          task=run.id.task.index,
          attempt=run.id.attempt,
          endpoint=record.info.id,
          percent=run.percent,
          age_ms=int((owner.now - run.since) * 1000),
      )
  )


def _give_task_back(owner, record, run: ledger.Run):
  """Frees a task whose run is surely over by its lease.

  The run keeps its room: an order that was never answered may still be
  carried out there, and only the endpoint can say.
  """
  job = owner.by_id.get(run.id.task.job_id)
  task = job.tasks.get(run.id.task) if job else None
  if task is not None and task.previous == run.id:
    task.previous = None
  if task is None or task.run != run.id:
    return
  owner.out(_run_log("run_ended", job, record, run, how="lost", why="lapsed"))
  run.given_back = True
  if run.state is not ledger.RunState.STOPPING:
    run.state = ledger.RunState.UNSURE
    _stop(owner, record, run)
  _task_over(owner, job, task, model.EndHow.LOST)
