"""Dispatch: waiting tasks go to endpoints with free slots, within quotas."""

from fescueturn import codes
from fescueturn import events
from fescueturn import messages
from fescueturn import state as state_lib

# A task is overdue after this many times its job's longest declared run time
# and this much more.
OVERDUE_FACTOR = 2
OVERDUE_EXTRA_S = 0.5


def dispatch(state: state_lib.EntryState) -> list:
  """Sends waiting tasks to free slots, team by team, within quotas."""
  effects = []
  stuck = set()
  while True:
    teams = [t for t in state.queue.teams if t not in stuck]
    if not teams:
      return effects
    for team in teams:
      sent = _send_next(state, team)
      if sent is None:
        stuck.add(team)
      effects += sent or []


def _send_next(state, team: str) -> list | None:
  """Sends the team's next task; None when it has to wait."""
  key, task_id = state.queue.peek(team)
  record = state.jobs.get(key)
  if record is None or record.phase is not state_lib.Phase.RUNNING:
    state.queue.take(team)
    return []
  team_settings = state.team_settings(team)
  if team_settings is None:
    return None
  if state.queue.busy[team] >= _quota_share(state, team_settings):
    return None
  endpoint = state.endpoints.pick(team_settings.service, state.now)
  if endpoint is None:
    return None
  state.queue.take(team)
  return [_send(state, record, task_id, endpoint)]


def _quota_share(state, team_settings) -> int:
  """This entry host's even part of the team's quota in the data centre."""
  view = state.membership.view
  hosts = len(view.holder_names) if view else 1
  return max(1, team_settings.max_tasks_in_flight // max(1, hosts))


def _send(state, record, task_id: str, endpoint) -> events.SendTask:
  state.endpoints.record_start(endpoint.name)
  state.queue.busy[record.job.team] += 1
  state.counters["sends"] += 1
  record.in_flight[task_id] = state_lib.InFlightTask(endpoint.name, state.now)
  return events.SendTask(
      key=record.job.key,
      team=record.job.team,
      task=record.tasks[task_id],
      endpoint=endpoint,
      downstream_key=f"{record.job.key}/{task_id}",
  )


def _patience_s(job: messages.Job) -> float:
  """How long after its sending a task of this job is overdue, in seconds."""
  longest_ms = max(t.run_ms for t in job.tasks)
  return OVERDUE_FACTOR * longest_ms / 1000 + OVERDUE_EXTRA_S


def schedule_overdue_check(state, record):
  """Looks, in a while, for tasks of the job that take much too long."""
  state.schedule(
      state.now + _patience_s(record.job), lambda s: _check_overdue(s, record)
  )


def _check_overdue(state, record) -> list:
  """Leaves out endpoints that sit on a task much longer than declared."""
  late = state.now - _patience_s(record.job)
  for sent in record.in_flight.values():
    if sent.sent_at <= late:
      state.endpoints.mark_unreachable(sent.endpoint, state.now)
  if not record.done or record.in_flight:
    schedule_overdue_check(state, record)
  return []


def record_task_outcome(state, record, event: events.TaskFinished):
  """Tells the endpoint table how one of the job's tasks went."""
  table = state.endpoints
  if event.code == codes.Code.TASK_DONE:
    declared_ms = record.tasks[event.task_id].run_ms
    table.record_success(event.endpoint, event.elapsed_ms, declared_ms)
  elif event.code == codes.Code.TASK_NOT_RUN:
    table.mark_unreachable(event.endpoint, state.now)
  elif event.code in (codes.Code.TASK_FAILED, codes.Code.TASK_UNKNOWN_LOST):
    table.record_failure(event.endpoint, event.key, state.now)
