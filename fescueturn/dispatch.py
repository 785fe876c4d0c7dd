"""Sends waiting tasks to endpoints with free slots, within team quotas."""

from fescueturn import codes
from fescueturn import events
from fescueturn import messages
from fescueturn import state as state_lib

# A task counts as taking its slot for at least this long: the calls around it
# take some milliseconds, whatever its caller declares.
MIN_SLOT_S = 0.01
# A task is overdue after OVERDUE_FACTOR times the longest declared run time in
# its job, plus OVERDUE_EXTRA_S.
OVERDUE_FACTOR = 2
OVERDUE_EXTRA_S = 0.5


def dispatch(state: state_lib.EntryState) -> list:
  """Sends waiting tasks to free slots, taking the teams in turn by weight."""
  effects = []
  blocked = set()
  while (team := state.queue.next_team(blocked)) is not None:
    sent = _send_next(state, team)
    if sent is None:
      blocked.add(team)
    effects += sent or []
  return effects


def _send_next(state, team: str) -> list | None:
  """Sends the team's next task.

  Returns:
    The effects (none if the task's job has ended); None if the task must wait.
  """
  record, task_id = state.queue.peek(team)
  if record.phase is not state_lib.Phase.RUNNING:
    state.queue.take(team, 0.0)
    return []
  team_settings = state.team_settings(team)
  if team_settings is None:
    return None
  if state.queue.busy[team] >= _quota_share(state, team_settings):
    return None
  endpoint = state.endpoints.pick(team_settings.service, state.now)
  if endpoint is None:
    return None
  state.queue.take(team, _slot_s(record, task_id))
  return [_send(state, record, task_id, endpoint)]


def _slot_s(record, task_id: str) -> float:
  """Returns for how long a task takes a slot, as declared (s)."""
  return max(MIN_SLOT_S, record.tasks[task_id].run_ms / 1000)


def _quota_share(state, team_settings) -> int:
  """Returns this entry host's equal share of the team's quota."""
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


def _overdue_after_s(job: messages.Job) -> float:
  """Returns how long after sending a task of `job` is overdue, in seconds."""
  longest_ms = max(t.run_ms for t in job.tasks)
  return OVERDUE_FACTOR * longest_ms / 1000 + OVERDUE_EXTRA_S


def schedule_overdue_check(state, record):
  """Schedules a check for overdue tasks of the job."""
  state.schedule(
      state.now + _overdue_after_s(record.job),
      lambda s: _check_overdue(s, record),
  )


def _check_overdue(state, record) -> list:
  """Temporarily excludes endpoints that have an overdue task of the job."""
  sent_before = state.now - _overdue_after_s(record.job)
  for sent in record.in_flight.values():
    if sent.sent_at <= sent_before:
      state.endpoints.mark_unreachable(sent.endpoint, state.now)
  if not record.done or record.in_flight:
    schedule_overdue_check(state, record)
  return []


def record_task_outcome(state, record, event: events.TaskFinished):
  """Records the result of one of the job's tasks in the endpoint table."""
  table = state.endpoints
  if event.code == codes.Code.TASK_DONE:
    declared_ms = record.tasks[event.task_id].run_ms
    table.record_success(event.endpoint, event.elapsed_ms, declared_ms)
  elif event.code == codes.Code.TASK_NOT_RUN:
    table.mark_unreachable(event.endpoint, state.now)
  elif event.code in (codes.Code.TASK_FAILED, codes.Code.TASK_UNKNOWN_LOST):
    table.record_failure(event.endpoint, event.key, state.now)
