"""Takes into account what runs show of declared times and endpoints' speeds.

Both the progress of a run and its end are compared to what was declared, to the
other tasks of its job and to the other runs on its endpoint. That gives the
spread of its queue (`owner.run_times`), the speed of its endpoint, and
endpoints that are slow for a while.
"""

import collections
import math

from fescueturn.scheduler import endpointruns
from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import model
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler.decisions import slowruns
from fescueturn.scheduler.decisions import speeds

# Progress counts once this part of a run's work was done since it last counted.
# It is reported in whole percents, so its time is then known to 5%.
MIN_SHARE = 0.2
# Minimum interval at which the speeds of all endpoints are compared. It is
# short since a new holder's figures change with each run. With over 500
# endpoints it grows with their number, so that comparing them (12 us an
# endpoint) takes at most 3% of a core.
COMPARE_PERIOD_S = 0.25
COMPARE_PERIOD_S_PER_ENDPOINT = 0.0005


def tick(owner: ownerstate.Owner):
  """Lets what is known of endpoints' speeds fade, and compares them."""
  period_s = max(
      COMPARE_PERIOD_S, len(owner.endpoints) * COMPARE_PERIOD_S_PER_ENDPOINT
  )
  if owner.now - owner.speeds_compared_at < period_s:
    return
  owner.speeds_compared_at = owner.now
  by_service = collections.defaultdict(list)
  for record in owner.endpoints.values():
    record.speed.fade(owner.now)
    by_service[record.info.service].append(record.speed)
  for endpoint_speeds in by_service.values():
    speeds.centre(endpoint_speeds)
  for record in owner.endpoints.values():
    record.on_change()


def _job_and_task(owner, run: endpointruns.Run):
  """Returns the job and task whose current run this is; None without one."""
  job = owner.by_id.get(run.id.task.job_id)
  task = job.tasks.get(run.id.task) if job else None
  return (job, task) if task is not None and task.is_current(run) else None


def _is_away(record, task: ownerstate.TaskRecord) -> bool:
  """Returns whether a task runs far from its data, which slows it."""
  near = task.step.near
  return bool(near) and near not in record.info.labels


def runs_away(owner, record, run: endpointruns.Run) -> bool:
  """Returns whether the task of a run runs far from its data."""
  found = _job_and_task(owner, run)
  return found is not None and _is_away(record, found[1])


def _is_comparable(owner, record, run: endpointruns.Run, task) -> bool:
  """Returns whether the time of a run depends on its task and endpoint only."""
  start_known = not (run.adopted or run.was_resent)
  return (
      bool(run.estimate_ms)
      and start_known
      and not owner.call_losses.is_lossy
      and not _is_away(record, task)
  )


def _declared_error(owner, job, task) -> tuple[float, float]:
  """Returns the error of a task's declared time, and the figure's variance."""
  typical = math.log(owner.run_times.quantile(job.job.queue, 0.5))
  return job.paces[task.task.step].error(typical)


def slowdown(owner: ownerstate.Owner, run: endpointruns.Run) -> float:
  """Returns how many times its expected time a run takes; 0 if not slowed.

  A declaration that is too long doesn't lower what is expected.
  """
  found = _job_and_task(owner, run)
  if found is None or run.adopted:
    return 0.0
  error, _ = _declared_error(owner, *found)
  ratio = run.observed_slowdown(owner.now) / math.exp(max(0.0, error))
  return ratio if ratio > endpointruns.SLOW_RATIO else 0.0


def handle_progress(
    owner: ownerstate.Owner,
    record: endpointstate.EndpointRecord,
    run: endpointruns.Run,
):
  """Takes the progress of a run into account."""
  found = _job_and_task(owner, run)
  if found is None or not _is_comparable(owner, record, run, found[1]):
    return
  error, variance = _declared_error(owner, *found)
  _observe_speed(owner, record, run, error, variance, run.percent / 100)
  predicted_s = run.predicted_duration_s(owner.now)
  if predicted_s is None:
    return
  ratio = predicted_s * 1000 / run.estimate_ms / math.exp(max(0.0, error))
  if ratio <= endpointruns.SLOW_RATIO:
    run.in_time_until = owner.now
  else:
    _record_slow_run(owner, record, run, ratio)


def handle_end(
    owner: ownerstate.Owner,
    record: endpointstate.EndpointRecord,
    run: endpointruns.Run,
    how: model.RunOutcome,
):
  """Takes the end of a run into account, before its task is updated.

  A run that was stopped counts by its progress. Callers stop waiting for long
  tasks first, so without these runs short tasks would be overrepresented.
  """
  found = _job_and_task(owner, run)
  took_s = _time_of_ended_run(owner, run, how)
  if found is None or took_s is None:
    return
  job, task = found
  if not _is_comparable(owner, record, run, task):
    return
  error, variance = _declared_error(owner, job, task)
  ratio = math.log(max(1.0, took_s * 1000) / run.estimate_ms)
  on_mean_endpoint = ratio - record.speed.log_factor
  if how is model.RunOutcome.DONE:
    _observe_speed(owner, record, run, error, variance, 1.0)
    _record_pace(owner, record, run, math.exp(ratio - max(0.0, error)))
  if task.moved_from == record.info.id:
    return  # The next run of the task is counted instead.
  queue = job.job.queue
  if how is model.RunOutcome.DONE:
    typical = math.log(owner.run_times.quantile(queue, 0.5))
    job.paces[task.task.step].add(on_mean_endpoint, typical)
  owner.run_times.record(queue, math.exp(on_mean_endpoint), owner.now)


def _time_of_ended_run(
    owner, run: endpointruns.Run, how: model.RunOutcome
) -> float | None:
  """Returns how long a run took, or would have taken (s); None if unknown."""
  if how is model.RunOutcome.DONE:
    return owner.now - run.started_at
  if how is model.RunOutcome.LOST and run.percent >= 100 * MIN_SHARE:
    return run.predicted_duration_s(run.progressed_at)
  return None


def _record_pace(owner, record, run: endpointruns.Run, times: float):
  """Records whether a run that is done was in time on its endpoint."""
  if times <= endpointruns.SLOW_RATIO:
    record.slow_evidence.record_in_time(run, owner.now)
  else:
    _record_slow_run(owner, record, run, times)


def _observe_speed(owner, record, run, error: float, variance: float, done):
  """Counts the work of a run since its progress last counted."""
  share = done - run.observed_share
  took_ms = (owner.now - run.observed_at) * 1000
  if share < MIN_SHARE or took_ms <= 0:
    return
  run.observed_share = done
  run.observed_at = owner.now
  ratio = math.log(took_ms / (run.estimate_ms * share)) - error
  record.speed.observe(ratio, variance, share, owner.now)
  record.on_change()


def endpoint_is_cause(owner, record, run: endpointruns.Run) -> bool:
  """Returns whether its endpoint is the probable cause of a slowed run."""
  slowed = _describe(owner, record, run)
  return slowed is not None and slowruns.endpoint_is_cause(slowed)


def _describe(
    owner, record, run: endpointruns.Run
) -> slowruns.SlowedRun | None:
  """Returns what is known about a slowed run; None if its job is unknown."""
  found = _job_and_task(owner, run)
  if found is None:
    return None
  job, task = found
  below = owner.run_times.share_below(job.job.queue, endpointruns.SLOW_RATIO)
  return slowruns.SlowedRun(
      record.slow,
      record.slow_evidence.share_in_time(run, record.runs.values(), owner.now),
      _siblings_slowed(owner, job, task),
      record.slow_evidence.slowed_jobs(run),
      1 - below,
      _slow_share(owner),
  )


def _siblings_slowed(owner, job, task: ownerstate.TaskRecord) -> bool:
  """Returns whether all other tasks of its step are slowed, as far as known.

  Unfinished tasks on the same endpoint are ignored, and at least one of the
  slowed ones must run on an endpoint that doesn't count as slow.
  """
  slowed = False
  for other in job.tasks.values():
    if other.step is not task.step or other is task:
      continue
    if other.state is ownerstate.TaskState.DONE:
      return False
    record = owner.endpoints.get(other.endpoint)
    run = record.runs.get(other.run) if record else None
    if run is None or not run.percent or other.endpoint == task.endpoint:
      continue
    if not run.observed_slowdown(owner.now):
      return False
    slowed = slowed or not record.slow
  return slowed


def _slow_share(owner) -> float:
  slow = sum(record.slow for record in owner.endpoints.values())
  return slow / max(1, len(owner.endpoints))


def _record_slow_run(owner, record, run: endpointruns.Run, times: float):
  """Records a slowed run, unless its endpoint is certainly not the cause."""
  slowed = _describe(owner, record, run)
  if slowed is None or not slowruns.counts_against_endpoint(slowed):
    return
  if slowed.slowed_jobs == 1 and slowruns.endpoint_is_cause(slowed):
    record.suspect(run)
  if record.record_slow_run(run, times):
    owner.counters["endpoint_slow"] += 1
    owner.emit(
        ownerstate.endpoint_log("endpoint_slow", record, times=round(times, 1))
    )
