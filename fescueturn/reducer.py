"""The entry host's decisions: one reducer over all events, effects as data.

`reduce(state, event)` updates an `EntryState` and returns the effects for the
I/O shell to carry out. It does no I/O and reads no clock: time comes in as
`events.Tick`. Rules it keeps:

* a job runs on the entry host that owns its key (`routing.owner`); others
  forward it there, so every retry of a key meets the same record;
* a task is sent again only when the endpoint said it did not start;
* a job's answer is complete, or failed with a truthful code per task, and
  is given at once to every caller waiting on the key;
* a team's settings only move forward in revision, never back.
"""

import collections
import dataclasses

from fescueturn import codes
from fescueturn import errors
from fescueturn import events
from fescueturn import messages
from fescueturn import routing
from fescueturn import settings

MAX_NOT_STARTED_RETRIES = 3
SUSPECT_S = 2.0


@dataclasses.dataclass(frozen=True)
class TeamEntry:
  """A team's settings and the KV revision they came from."""

  revision: int
  team_settings: settings.TeamSettings | None


class JobRecord:
  """What the owner keeps of one job while it runs and after it ends."""

  def __init__(self, job: messages.Job, deadline: float):
    self.job = job
    self.deadline = deadline
    self.waiters: list[int] = []
    self.answers: dict[str, messages.TaskAnswer] = {}
    self.in_flight: dict[str, str] = {}
    self.retries = 0
    self.final: messages.JobAnswer | None = None
    self.done_at = 0.0

  def task(self, task_id: str) -> messages.Task:
    """Returns the job's task with this id."""
    return next(t for t in self.job.tasks if t.task_id == task_id)


class EntryState:
  """All an entry host knows; changed only by `reduce`."""

  def __init__(
      self, name: str, retry_after_s: int = 1, answer_keep_s: float = 600.0
  ):
    self.name = name
    self.retry_after_s = retry_after_s
    self.answer_keep_s = answer_keep_s
    self.now = 0.0
    self.draining = False
    self.members: tuple[events.Member, ...] = ()
    self.endpoints: dict[str, events.EndpointInfo] = {}
    self.busy: collections.Counter[str] = collections.Counter()
    self.suspect_until: dict[str, float] = {}
    self.team_busy: collections.Counter[str] = collections.Counter()
    self.teams: dict[str, TeamEntry] = {}
    self.jobs: dict[str, JobRecord] = {}
    self.queue: collections.deque[tuple[str, str]] = collections.deque()
    self.counters: collections.Counter[str] = collections.Counter()

  def snapshot(self) -> dict:
    """Returns a JSON-ready dump of the state, for `fescueturn dump`."""
    return {
        "name": self.name,
        "now": self.now,
        "draining": self.draining,
        "members": [m.name for m in self.members],
        "endpoints": {
            n: {"leaving": e.leaving, "busy": self.busy[n]}
            for n, e in sorted(self.endpoints.items())
        },
        "teams": {t: e.revision for t, e in sorted(self.teams.items())},
        "jobs_in_flight": sum(1 for r in self.jobs.values() if not r.final),
        "jobs_kept": len(self.jobs),
        "queued_tasks": len(self.queue),
        "counters": dict(self.counters),
    }


def reduce(state: EntryState, event: events.Event) -> list[events.Effect]:
  """Applies one event to `state` and returns the effects to carry out."""
  handler = _HANDLERS[type(event)]
  return handler(state, event)


def _on_job(state: EntryState, event: events.JobArrived) -> list:
  job = event.job
  if not event.forwarded:
    owner = routing.owner(job.key, state.members)
    if owner is not None and owner.name != state.name:
      state.counters["forwarded"] += 1
      return [events.Forward(event.request_id, job, owner)]
  record = state.jobs.get(job.key)
  if record is not None:
    return _join(state, record, event)
  refusal = _check_new(state, job)
  if refusal is not None:
    return [events.Refuse(event.request_id, refusal, state.retry_after_s)]
  team = state.teams[job.team].team_settings
  deadline_ms = job.deadline_ms or team.deadline_ms
  record = JobRecord(job, state.now + deadline_ms / 1000)
  record.waiters.append(event.request_id)
  state.jobs[job.key] = record
  state.counters["jobs"] += 1
  if _pick_endpoint(state, team.service, any_slot=True) is None:
    return _give_up(state, record, codes.Code.TASK_NOT_RUN_NO_ENDPOINT)
  state.queue.extend((job.key, t.task_id) for t in job.tasks)
  return _dispatch(state)


def _join(state: EntryState, record: JobRecord, event: events.JobArrived):
  """A retry of a key the owner knows: same answer, nothing new starts."""
  if record.job.fingerprint != event.job.fingerprint:
    error = errors.BadRequestError(
        "Idempotency-Key was used for another job", codes.Code.KEY_REUSED
    )
    return [events.Refuse(event.request_id, error)]
  state.counters["joined"] += 1
  if record.final is not None:
    return [events.Reply(event.request_id, record.final)]
  record.waiters.append(event.request_id)
  return []


def _check_new(state: EntryState, job: messages.Job):
  """Returns why a new job is refused, or None to take it."""
  if state.draining:
    return errors.BadRequestError("entry host is stopping", codes.Code.DRAINING)
  entry = state.teams.get(job.team)
  if entry is None or entry.team_settings is None:
    return errors.BadRequestError(
        f"no settings for team {job.team!r}", codes.Code.UNKNOWN_TEAM
    )
  limit = entry.team_settings.max_tasks_per_job
  if len(job.tasks) > limit:
    return errors.BadRequestError(
        f"{len(job.tasks)} tasks, team limit {limit}", codes.Code.JOB_TOO_LARGE
    )
  return None


def _pick_endpoint(
    state: EntryState, service: str, any_slot: bool = False
) -> events.EndpointInfo | None:
  """Returns the least busy usable endpoint of `service` with a free slot.

  With `any_slot`, returns one even when all its slots are in use: the
  question is then only whether the service has an endpoint at all.
  """
  best = None
  best_load = None
  for name, info in sorted(state.endpoints.items()):
    if info.leaving or service not in info.services:
      continue
    if state.suspect_until.get(name, 0.0) > state.now:
      continue
    share = routing.slot_share(info.slots, len(state.members))
    if not any_slot and state.busy[name] >= share:
      continue
    load = state.busy[name] / share
    if best_load is None or load < best_load:
      best, best_load = info, load
  return best


def _dispatch(state: EntryState) -> list:
  """Sends queued tasks to endpoints with free slots, within team quotas."""
  effects = []
  waiting = collections.deque()
  while state.queue:
    key, task_id = state.queue.popleft()
    record = state.jobs.get(key)
    if record is None or record.final is not None:
      continue
    team = state.teams.get(record.job.team)
    if team is None or team.team_settings is None:
      waiting.append((key, task_id))
      continue
    quota = team.team_settings.max_tasks_in_flight
    endpoint = None
    if state.team_busy[record.job.team] < quota:
      endpoint = _pick_endpoint(state, team.team_settings.service)
    if endpoint is None:
      waiting.append((key, task_id))
      continue
    effects.append(_send(state, record, task_id, endpoint))
  state.queue = waiting
  return effects


def _send(state, record: JobRecord, task_id: str, endpoint) -> events.SendTask:
  state.busy[endpoint.name] += 1
  state.team_busy[record.job.team] += 1
  state.counters["sends"] += 1
  record.in_flight[task_id] = endpoint.name
  return events.SendTask(
      key=record.job.key,
      team=record.job.team,
      task=record.task(task_id),
      endpoint=endpoint,
      downstream_key=f"{record.job.key}/{task_id}",
  )


def _on_task(state: EntryState, event: events.TaskFinished) -> list:
  state.busy[event.endpoint] -= 1
  record = state.jobs.get(event.key)
  if record is None or event.task_id not in record.in_flight:
    return _dispatch(state)
  state.team_busy[record.job.team] -= 1
  del record.in_flight[event.task_id]
  if record.final is not None:
    state.counters["late_answers"] += 1
    return _dispatch(state) + _maybe_drained(state)
  effects = []
  if event.code == codes.Code.TASK_NOT_RUN:
    # The endpoint could not be reached: leave it out for a while.
    state.suspect_until[event.endpoint] = state.now + SUSPECT_S
  if codes.task_ran(event.code) == codes.Ran.NOT_RUN:
    effects = _not_started(state, record, event)
  else:
    record.answers[event.task_id] = messages.TaskAnswer(
        event.task_id, event.code, event.result
    )
    if event.code != codes.Code.TASK_DONE:
      effects = _give_up(state, record, codes.Code.TASK_NOT_RUN_CANCELLED)
    elif len(record.answers) == len(record.job.tasks):
      effects = _finish(state, record)
  return effects + _dispatch(state) + _maybe_drained(state)


def _not_started(state, record: JobRecord, event: events.TaskFinished):
  """The endpoint did not start the task: it may go elsewhere, safely."""
  record.retries += 1
  state.counters["not_started"] += 1
  if record.retries > MAX_NOT_STARTED_RETRIES * len(record.job.tasks):
    record.answers[event.task_id] = messages.TaskAnswer(
        event.task_id, codes.Code.TASK_NOT_RUN_REFUSED
    )
    return _give_up(state, record, codes.Code.TASK_NOT_RUN_CANCELLED)
  state.queue.appendleft((record.job.key, event.task_id))
  return []


def _finish(state: EntryState, record: JobRecord) -> list:
  answer = messages.JobAnswer(
      key=record.job.key,
      job_id=record.job.job_id,
      code=codes.Code.JOB_COMPLETE,
      tasks=tuple(record.answers[t.task_id] for t in record.job.tasks),
  )
  state.counters["complete"] += 1
  return _settle(state, record, answer)


def _give_up(state: EntryState, record: JobRecord, not_run: codes.Code):
  """Ends a job as failed now: sent tasks are unknown, the rest not run."""
  answers = []
  for task in record.job.tasks:
    answer = record.answers.get(task.task_id)
    if answer is None:
      code = not_run
      if task.task_id in record.in_flight:
        code = codes.Code.TASK_UNKNOWN
      answer = messages.TaskAnswer(task.task_id, code)
    answers.append(answer)
  final = messages.JobAnswer(
      key=record.job.key,
      job_id=record.job.job_id,
      code=codes.Code.JOB_FAILED,
      tasks=tuple(answers),
      retry_after_s=state.retry_after_s,
  )
  state.counters["failed"] += 1
  return _settle(state, record, final)


def _settle(state: EntryState, record: JobRecord, answer: messages.JobAnswer):
  """Keeps the final answer and gives it to every waiting caller."""
  record.final = answer
  record.done_at = state.now
  replies = [events.Reply(r, answer) for r in record.waiters]
  record.waiters.clear()
  nothing_ran = all(t.ran == codes.Ran.NOT_RUN for t in answer.tasks)
  if nothing_ran:
    # Nothing started, so a retry may run the job afresh.
    del state.jobs[record.job.key]
  return replies


def _maybe_drained(state: EntryState) -> list:
  if not state.draining:
    return []
  if any(r.final is None or r.in_flight for r in state.jobs.values()):
    return []
  return [events.Drained()]


def _on_tick(state: EntryState, event: events.Tick) -> list:
  state.now = event.now
  effects = []
  for key, record in list(state.jobs.items()):
    if record.final is None and record.deadline <= state.now:
      effects += _give_up(state, record, codes.Code.TASK_NOT_RUN_DEADLINE)
    elif record.final is not None and not record.in_flight:
      if record.done_at + state.answer_keep_s <= state.now:
        del state.jobs[key]
  return effects + _dispatch(state) + _maybe_drained(state)


def _on_endpoints(state: EntryState, event: events.EndpointsChanged) -> list:
  state.endpoints = {e.name: e for e in event.endpoints}
  return _dispatch(state)


def _on_members(state: EntryState, event: events.MembersChanged) -> list:
  state.members = tuple(sorted(event.members, key=lambda m: m.name))
  return _dispatch(state)


def _on_team(state: EntryState, event: events.TeamChanged) -> list:
  current = state.teams.get(event.team)
  if current is not None and current.revision >= event.revision:
    state.counters["stale_settings"] += 1
    return []
  # A removal is kept as a tombstone so an older revision cannot revive it.
  state.teams[event.team] = TeamEntry(event.revision, event.team_settings)
  return _dispatch(state)


def _on_drain(state: EntryState, event: events.DrainStarted) -> list:
  del event
  state.draining = True
  return _maybe_drained(state)


_HANDLERS = {
    events.JobArrived: _on_job,
    events.TaskFinished: _on_task,
    events.EndpointsChanged: _on_endpoints,
    events.MembersChanged: _on_members,
    events.TeamChanged: _on_team,
    events.Tick: _on_tick,
    events.DrainStarted: _on_drain,
}
