"""Handles the ends of runs: frees their resources, updates their task and job.

A task has one run at a time: another starts only when the one before has ended,
surely will never start, or had its lease expire.
"""

from fescueturn.scheduler import crashes
from fescueturn.scheduler import endpointruns
from fescueturn.scheduler import events
from fescueturn.scheduler import keptends
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler import runcontrol
from fescueturn.scheduler import runpace

_KEPT_STATES = {
    model.Outcome.DONE: model.KeptJobState.DONE,
    model.Outcome.FAILED: model.KeptJobState.FAILED,
    model.Outcome.CANCELLED: model.KeptJobState.CANCELLED,
}


def finish_run(
    owner, record, run: endpointruns.Run, how: model.RunOutcome, reason: str
):
  """Handles a run that surely ended: frees its resources, updates its task.

  Args:
    owner: the owner.
    record: the endpoint that had the run.
    run: the run.
    how: how it ended.
    reason: the reason, for the log.
  """
  runpace.handle_end(owner, record, run, how)
  record.remove(run.id)
  if how is model.RunOutcome.DONE:
    record.exclusion.clear_failures()
  elif how is model.RunOutcome.FAILED and record.exclusion.record_failed_run(
      run.id.task.job_id, owner.now
  ):
    owner.counters["ejected"] += 1
    owner.emit(
        ownerstate.endpoint_log(
            "endpoint_ejected",
            record,
            for_s=round(record.exclusion.until - owner.now, 2),
        )
    )
  job = owner.by_id.get(run.id.task.job_id)
  task = job.tasks.get(run.id.task) if job else None
  if task is None:
    return
  if not task.is_current(run):
    _finish_previous_run(owner, job, task, run, how)
    return
  if how is not model.RunOutcome.DONE:
    owner.emit(
        ownerstate.run_log(
            "run_ended",
            record,
            run,
            how=how.value,
            why=reason,
            state=run.state.value,
            sends=run.sends,
        )
    )
  if how is model.RunOutcome.FAILED:
    task.failed.add(run.id.attempt)
  _update_task_after_run(owner, job, task, how)


def _finish_previous_run(
    owner,
    job: ownerstate.JobRecord,
    task: ownerstate.TaskRecord,
    run: endpointruns.Run,
    how: model.RunOutcome,
):
  """Handles the end of a run that isn't its task's current one."""
  if how is model.RunOutcome.DONE:
    _complete_task(owner, job, task)
    end_job_if_finished(owner, job)
  if run in task.previous_runs:
    task.previous_runs.remove(run)
    hand_back_if_idle(owner, job)


def attempts_exhausted(
    job: ownerstate.JobRecord, task: ownerstate.TaskRecord
) -> bool:
  """Returns whether a task has no attempts left."""
  return len(task.failed) >= job.job.attempts


def _update_task_after_run(
    owner,
    job: ownerstate.JobRecord,
    task: ownerstate.TaskRecord,
    how: model.RunOutcome,
):
  owner.counters[f"run_{how.value}"] += 1
  if how is model.RunOutcome.DONE:
    job.task_done(task)
  else:
    job.requeue_task(task)
  end_job_if_finished(owner, job)
  hand_back_if_idle(owner, job)


def _complete_task(
    owner, job: ownerstate.JobRecord, task: ownerstate.TaskRecord
):
  """Ends a task by the success of a run that isn't its current one, if any.

  That run was started by an earlier holder or had been taken as lost. The
  current one is stopped, and the job stays active until it has ended.
  """
  if task.state is ownerstate.TaskState.DONE:
    return
  current = owner.current_run(task)
  if current is not None:
    runcontrol.stop_task(owner, task)
    task.previous_runs.add(current)
  if task.previous_runs and job.job.kept:
    runs = owner.kept_records.duplicate_runs.setdefault(job.job.id, set())
    runs.update(run.id for run in task.previous_runs)
  job.task_done(task)


def complete_steps_before(
    owner,
    job: ownerstate.JobRecord,
    task: ownerstate.TaskRecord,
    run_id: model.RunId,
):
  """Marks the steps before a task as done, as a run of it was found.

  No task is started before they are. The ends of their runs may have been
  acknowledged to an earlier holder, which was lost before they were stored.
  """
  before = job.steps_before(task.task.step)
  missing = [
      other
      for other in job.tasks.values()
      if other.task.step in before
      and other.state is not ownerstate.TaskState.DONE
  ]
  if not missing:
    return
  for other in missing:
    _complete_task(owner, job, other)
  owner.emit(
      events.log(
          "steps_found_done",
          job=job.job.id,
          step=task.task.step,
          task=task.task.index,
          attempt=run_id.attempt,
          tasks=len(missing),
          fence=owner.fence,
      )
  )


def apply_early_result(
    owner,
    job: ownerstate.JobRecord,
    name: model.Task,
    early: ownerstate.EarlyResult,
):
  """Applies the ends of a task's runs that an earlier holder started."""
  task = job.tasks.get(name)
  if task is None:
    return
  run_id = model.RunId(name, early.attempt)
  complete_steps_before(owner, job, task, run_id)
  if early.how is model.RunOutcome.DONE:
    _complete_task(owner, job, task)
    return
  # The task may have another run by now, which an earlier holder started.
  task.attempt = max(task.attempt, early.attempt)
  if job.job.kept:
    task.failed |= early.failed


def handle_listed_end(owner, record, ended: model.EndedRun):
  """Handles the end of a run that an endpoint lists."""
  _delay_ack(owner, record, ended)
  run = record.runs.get(ended.run)
  known = run is not None and ended.run.task.job_id in owner.by_id
  if run is not None:
    finish_run(owner, record, run, ended.how, "listed")
  if not known:
    _handle_early_end(owner, ended)


def _delay_ack(owner, record, ended: model.EndedRun):
  """Delays the acknowledgement of a kept job's end until it is in the store."""
  if ended.how is model.RunOutcome.LOST:
    return
  kept_records = owner.kept_records
  job_id = ended.run.task.job_id
  job = owner.by_id.get(job_id)
  is_kept = job is not None and job.job.kept
  if is_kept or job_id in kept_records.unsaved_states:
    ends_by_job = kept_records.unsaved_results
  elif not kept_records.loaded:
    ends_by_job = kept_records.early_results
  elif job_id in kept_records.taken:
    keptends.hold(owner, record.info.id, ended.number)
    return
  else:
    return
  record.ended.unsaved.add(ended.number)
  ends = ends_by_job.setdefault(job_id, set())
  ends.add((record.info.id, ended.number))


def _handle_early_end(owner, ended: model.EndedRun):
  """Handles the end of a run that an earlier holder started.

  It is applied to its job if that has been offered already, and remembered for
  a later offer otherwise.
  """
  task, attempt, how = ended.run.task, ended.run.attempt, ended.how
  failed = frozenset((attempt,) if how is model.RunOutcome.FAILED else ())
  earlier = owner.early_results.get(task)
  if earlier is not None:
    attempt = max(attempt, earlier.attempt)
    failed |= earlier.failed
    if earlier.how is model.RunOutcome.DONE:
      how = earlier.how
  until = owner.now + ownerstate.EARLY_RESULT_TTL_S
  early = ownerstate.EarlyResult(attempt, how, until, failed)
  job = owner.by_id.get(task.job_id)
  if job is None:
    owner.early_results[task] = early
    return
  apply_early_result(owner, job, task, early)
  end_job_if_finished(owner, job)


def end_job_if_finished(owner, job: ownerstate.JobRecord):
  """Ends a job that is done, or that has a task without attempts left.

  A job with a task that crashes its endpoints is failed as well.
  """
  if job.done:
    end_job(owner, job, model.Outcome.DONE, "done")
  elif any(attempts_exhausted(job, task) for task in job.tasks.values()):
    end_job(owner, job, model.Outcome.FAILED, "attempts_used")
  elif any(crashes.is_poison(job, task) for task in job.tasks.values()):
    owner.emit(crashes.give_up_log(job))
    end_job(owner, job, model.Outcome.FAILED, crashes.REASON)


def hand_back(owner, job: ownerstate.JobRecord):
  """Stops a job's runs and returns it, to be run in another data centre.

  Its coordinator gets it back once none of its tasks runs here. A task that was
  done here may run again there, but never two runs of it at the same time.
  """
  job.returning = True
  for task in job.tasks.values():
    if task.run is not None:
      runcontrol.stop_task(owner, task)
  hand_back_if_idle(owner, job)


def hand_back_if_idle(owner, job: ownerstate.JobRecord):
  """Returns a job that `hand_back` marked, once none of its tasks runs."""
  if not job.returning or job.active or job.key not in owner.jobs:
    return
  if job.job.kept:
    return  # A kept job moves with its records, by a write to the store.
  end_job(owner, job, None, "handed_back")
  owner.send_to_coordinator(
      job.key.process,
      linkmessages.Returned(job.key, job.offer_number, job.begun),
  )


def requeue_lost_task(owner, record, run: endpointruns.Run):
  """Queues a task again whose run surely ended because its lease expired.

  The run still counts against the endpoint's capacity: a start request without
  an answer may be carried out late, and only the endpoint can rule that out.
  """
  job = owner.by_id.get(run.id.task.job_id)
  task = job.tasks.get(run.id.task) if job else None
  if task is not None and run in task.previous_runs:
    task.previous_runs.remove(run)
    hand_back_if_idle(owner, job)
  if task is None or not task.is_current(run):
    return
  owner.emit(
      ownerstate.run_log("run_ended", record, run, how="lost", why="lapsed")
  )
  crashes.record_loss(owner, record, run)
  run.abandoned = True
  if run.state is not endpointruns.RunState.STOPPING:
    run.state = endpointruns.RunState.UNSURE
    runcontrol.stop_run(owner, record, run)
  _update_task_after_run(owner, job, task, model.RunOutcome.LOST)


def _unfinished_fields(owner, job: ownerstate.JobRecord) -> dict[str, object]:
  """Returns log fields on the unfinished tasks of a job and the longest run."""
  active = [t for t in job.tasks.values() if t.run is not None]
  fields: dict[str, object] = {
      "waiting": len(job.waiting),
      "at_work": len(active),
  }
  runs = [(owner.current_run(task), task) for task in active]
  active_runs = [(run.started_at, run, t) for run, t in runs if run is not None]
  if active_runs:
    since, run, task = min(active_runs, key=lambda entry: entry[0])
    fields |= {
        "longest_at": task.endpoint,
        "longest_task": task.task.index,
        "longest_ms": int((owner.now - since) * 1000),
        "longest_percent": run.percent,
        "estimate_ms": run.estimate_ms,
    }
  return fields


def end_job(
    owner, job: ownerstate.JobRecord, outcome: model.Outcome | None, reason: str
):
  """Ends a job: stops its runs and reports its outcome.

  The outcome of a kept job is written to the store; that of any other job is
  sent to its coordinator.

  Args:
    owner: the owner.
    job: the job.
    outcome: how it ended; None if it is handed back to its coordinator.
    reason: the reason, for the log and the coordinator.
  """
  unfinished_fields = (
      _unfinished_fields(owner, job)
      if outcome is not model.Outcome.DONE
      else {}
  )
  owner.end_service(job)
  owner.jobs.pop(job.key, None)
  if owner.by_id.get(job.job.id) is job:
    del owner.by_id[job.job.id]
  for task in job.tasks.values():
    if task.run is not None:
      runcontrol.stop_task(owner, task)
  owner.counters[f"job_{reason}"] += 1
  if outcome is not model.Outcome.DONE:
    owner.emit(
        events.log(
            "job_over",
            job=job.job.id,
            coordinator=job.key.process.host,
            why=reason,
            begun=job.begun,
            age_ms=int((owner.now - job.arrived) * 1000),
            **unfinished_fields,
        )
    )
  if job.job.kept:
    owner.kept_records.unsaved_states[job.job.id] = _KEPT_STATES[outcome]
  elif outcome is not None:
    if outcome in (model.Outcome.DONE, model.Outcome.FAILED):
      owner.record_job_result(job.key, outcome, reason)
    owner.send_to_coordinator(
        job.key.process,
        linkmessages.JobEnded(job.key, outcome, reason, job.offer_number),
    )
