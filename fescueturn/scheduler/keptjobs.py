"""An owner's kept (durable) jobs: takeover, storing, cancelling and moving."""

import dataclasses
import math

from fescueturn.scheduler import crashes
from fescueturn.scheduler import events
from fescueturn.scheduler import keptends
from fescueturn.scheduler import keptevents
from fescueturn.scheduler import keptrecords
from fescueturn.scheduler import leasecalls
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import offers
from fescueturn.scheduler import outcomes
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler import runcontrol
from fescueturn.scheduler import succession

# Retry delay that a holder returns while it can't write to the store.
STORE_RETRY_MS = 1000
# Offers are declined when the records have not been read this long after a
# takeover.
LOAD_TIMEOUT_S = 0.5


def handle_offer(owner: ownerstate.Owner, offer: linkmessages.Offered):
  """Queues an offered job for storing, or declines it."""
  kept_records = owner.kept_records
  if not kept_records.loaded:
    kept_records.early_offers.append(offer)
  elif offer.job.id in owner.by_id or kept_records.is_finished(offer.job.id):
    _send_accepted(owner, offer)
  elif offer.job.id in kept_records.unsaved_offers:
    kept_records.unsaved_offers[offer.job.id].append(offer)
  elif not kept_records.accepts_new(owner.now):
    _decline_for_store(owner, offer)
  elif offers.admit(owner, offer):
    kept_records.unsaved_offers[offer.job.id] = [offer]


def _send_accepted(owner, offer: linkmessages.Offered):
  owner.send_to_coordinator(
      offer.key.process, linkmessages.Accepted(offer.key, offer.number)
  )


def _decline_for_store(owner, offer: linkmessages.Offered):
  reason = (
      "store_away" if owner.kept_records.stalled(owner.now) else "store_busy"
  )
  owner.counters[reason] += 1
  arriving = len(owner.kept_records.unsaved_offers)
  offers.decline(owner, offer, reason, STORE_RETRY_MS, arriving=arriving)


def handle_records_loaded(
    owner: ownerstate.Owner, event: keptevents.KeptJobsLoaded
):
  """Takes over the jobs that previous holders have stored."""
  if event.fence != owner.fence:
    return
  if event.replaced:
    owner.emit(events.log("kept_not_loaded", fence=owner.fence))
    return
  kept_records = owner.kept_records
  kept_records.mark_loaded(event)
  owner.emit(
      events.log(
          "kept_loaded",
          data_centre=owner.shard.data_centre,
          fence=owner.fence,
          takeovers=event.takeovers,
          jobs=len(event.jobs),
      )
  )
  for kept in event.jobs:
    _start_job(owner, kept.job, kept.progress, resumed=True)
  _assign_early_results(owner)
  early, kept_records.early_offers = kept_records.early_offers, []
  for offer in early:
    handle_offer(owner, offer)
  for job_id in list(kept_records.pending_queries):
    _process_queries(owner, job_id)
  runcontrol.start_waiting_tasks(owner)


def _assign_early_results(owner):
  """Handles the results that were listed before the records were read.

  Those of kept jobs are stored, all others acknowledged. Those of jobs that
  another shard has taken over wait.
  """
  kept_records = owner.kept_records
  for job_id, results in kept_records.early_results.items():
    job = owner.by_id.get(job_id)
    if job_id in kept_records.unsaved_states or (
        job is not None and job.job.kept
    ):
      kept_records.unsaved_results.setdefault(job_id, set()).update(results)
    elif job_id in kept_records.taken:
      for endpoint, number in results:
        keptends.hold(owner, endpoint, number)
    else:
      _acknowledge_results(owner, job_id, results)
  kept_records.early_results.clear()


def _start_job(
    owner, job: model.Job, progress: model.Progress, resumed: bool, age_s=0.0
):
  """Adds a stored job to the owner's jobs, with its progress so far."""
  key = keptrecords.job_key(job.id)
  offer = linkmessages.Offered(owner.shard, key, job, age_s, math.inf, resumed)
  record = offers.add_job(owner, offer)
  record.earlier_attempts = progress.attempts
  first_attempt = progress.attempts
  first_attempt += owner.kept_records.takeovers * ownerstate.ATTEMPTS_PER_HOLDER
  for task in record.tasks.values():
    task.attempt = first_attempt
  for run in progress.failed:
    task = record.tasks[run.task]
    task.failed.add(run.attempt)
    # An earlier version doesn't tell which numbers another shard has used.
    task.attempt = max(task.attempt, run.attempt)
  for task, endpoint in progress.crashed:
    record.tasks[task].crashed.add(endpoint)
  for lost in progress.lost:
    record.tasks[lost.task].lost_endpoints[lost.endpoint] = lost
  crashes.resume_losses(owner, record)
  for task in progress.done:
    record.task_done(record.tasks[task])
  offers.adopt_existing_runs(owner, record)


def handle_write_result(
    owner: ownerstate.Owner, event: keptevents.KeptJobsWritten
):
  """Handles the store's answer to a write."""
  kept_records = owner.kept_records
  write = kept_records.in_flight
  if write is None or (write.fence, write.number) != (
      event.fence,
      event.number,
  ):
    return
  if event.result is keptevents.WriteResult.REPLACED:
    owner.emit(events.log("kept_write_replaced", fence=event.fence))
    owner.fenced = True
    return
  changes = kept_records.complete_write(event)
  if event.result is keptevents.WriteResult.EXISTS:
    for job_id in event.existing:
      for offer in kept_records.unsaved_offers.pop(job_id, ()):
        _send_accepted(owner, offer)
    return
  for change in changes:
    _ON_WRITTEN[type(change)](owner, change)
  runcontrol.start_waiting_tasks(owner)


def _job_written(owner, change: keptevents.StoreJob):
  saved_offers = owner.kept_records.unsaved_offers.pop(change.job.id, [])
  first = saved_offers[0]
  for offer in saved_offers:
    _send_accepted(owner, offer)
  owner.counters["accepted"] += 1
  _start_job(owner, change.job, model.Progress(), first.resumed, first.age_s)
  if change.job.id in owner.kept_records.pending_queries:
    _process_queries(owner, change.job.id)


def _progress_written(owner, change: keptevents.StoreProgress):
  saved = owner.kept_records.pop_saved_results(change.job_id)
  _acknowledge_results(owner, change.job_id, saved)


def _end_written(owner, change: keptevents.StoreEnd):
  kept_records = owner.kept_records
  results = kept_records.pop_all_results(change.job_id)
  _acknowledge_results(owner, change.job_id, results)
  state = kept_records.unsaved_states.pop(change.job_id)
  until = owner.now + owner.ended_job_retention_s
  kept_records.finished_jobs[change.job_id] = keptrecords.FinishedJob(
      state, until
  )
  owner.emit(
      events.log(
          "kept_job_over",
          job=change.job_id,
          state=state.value,
          fence=owner.fence,
      )
  )
  _answer_queries(owner, change.job_id, state)


def move(owner: ownerstate.Owner, job: ownerstate.JobRecord, to: model.Shard):
  """Queues the move of a job without active runs to another shard's records."""
  kept_records = owner.kept_records
  if (
      not kept_records.may_move(job.job.id)
      or job.job.id in kept_records.unsaved_states
  ):
    return
  progress = after_shard(_progress(owner, job.job.id), kept_records.takeovers)
  kept = model.KeptJob(job.job, progress)
  kept_records.moving[job.job.id] = keptevents.MoveJob(kept, to)


def after_shard(progress: model.Progress, takeovers: int) -> model.Progress:
  """Returns a job's progress for the shard that it moves to.

  Args:
    progress: the progress.
    takeovers: how often the records that it leaves were taken over.
  """
  used = (takeovers + 1) * ownerstate.ATTEMPTS_PER_HOLDER
  return dataclasses.replace(progress, attempts=progress.attempts + used)


def _job_moved(owner, change: keptevents.MoveJob):
  job_id = change.kept.job.id
  owner.kept_records.moving.pop(job_id)
  owner.kept_records.moved.add(job_id)
  owner.moved_jobs.append((job_id, change.to))
  results = owner.kept_records.pop_all_results(job_id)
  _acknowledge_results(owner, job_id, results)
  job = owner.by_id.pop(job_id)
  owner.jobs.pop(job.key)
  owner.emit(
      events.log(
          "kept_job_moved",
          job=job_id,
          to=change.to.data_centre,
          done=len(change.kept.progress.done),
          fence=owner.fence,
      )
  )
  # This owner no longer knows the job; the store names its new shard.
  _answer_queries(owner, job_id, None)


def _taken_forgotten(owner, change: keptevents.ForgetTakenJobs):
  owner.kept_records.taken_records -= set(change.records)


def _record_deleted(owner, change: keptevents.DeleteJob):
  owner.kept_records.finished_jobs.pop(change.job_id, None)


_ON_WRITTEN = {
    keptevents.StoreJob: _job_written,
    keptevents.StoreProgress: _progress_written,
    keptevents.StoreEnd: _end_written,
    keptevents.DeleteJob: _record_deleted,
    keptevents.MoveJob: _job_moved,
    keptevents.ForgetTakenJobs: _taken_forgotten,
}


def _acknowledge_results(owner, job_id: str, results):
  """Acknowledges results to their endpoints, which then forget them.

  No task may start once its end has been acknowledged, so results are held
  while the start request of another run may still be carried out.
  """
  if _may_have_duplicate_starts(owner, job_id):
    owner.kept_records.held_results.setdefault(job_id, set()).update(results)
    return
  for endpoint, number in results:
    record = owner.endpoints.get(endpoint)
    if record is not None and number != keptrecords.ENDPOINT_LOST:
      record.ended.record_saved(number)
      if not record.ended.unsaved:
        leasecalls.renew_lease(owner, record)


def _has_duplicate_starts(owner, job_id: str) -> bool:
  """Returns whether another run of one of a job's done tasks may start."""
  kept_records = owner.kept_records
  runs = kept_records.duplicate_runs.get(job_id)
  if runs is None:
    return False
  runs = {run for run in runs if _may_start(owner, run)}
  if runs:
    kept_records.duplicate_runs[job_id] = runs
  else:
    del kept_records.duplicate_runs[job_id]
  return bool(runs)


def _may_have_duplicate_starts(owner, job_id: str) -> bool:
  """Returns the same, including runs that the previous holder may have ordered."""
  is_inherited = job_id in owner.kept_records.inherited
  if is_inherited and not owner.kept_recovered:
    return True
  return _has_duplicate_starts(owner, job_id)


def _may_start(owner, run_id: model.RunId) -> bool:
  # A start request expires with the lease that it carries.
  return any(
      run_id in record.runs
      and not record.runs[run_id].abandoned
      and not record.has_lapsed(record.runs[run_id], owner.now)
      for record in owner.endpoints.values()
  )


def _acknowledge_held_results(owner):
  held = owner.kept_records.held_results
  for job_id in list(held):
    if not _may_have_duplicate_starts(owner, job_id):
      _acknowledge_results(owner, job_id, held.pop(job_id))


def handle_state_query(owner: ownerstate.Owner, event: keptevents.KeptJobQuery):
  """Answers a query for a job's state, or a request to cancel the job.

  The answer is sent once the state that it names has been stored.
  """
  owner.kept_records.pending_queries.setdefault(event.job_id, []).append(event)
  if owner.kept_records.loaded:
    _process_queries(owner, event.job_id)


def _process_queries(owner, job_id: str):
  kept_records = owner.kept_records
  if job_id in kept_records.moving:
    return  # The queries are answered when the job has moved.
  job = owner.by_id.get(job_id)
  cancel = any(query.cancel for query in kept_records.pending_queries[job_id])
  if cancel and job is not None and job.job.kept:
    outcomes.end_job(owner, job, model.Outcome.CANCELLED, "cancelled")
    runcontrol.start_waiting_tasks(owner)
  if job_id in kept_records.unsaved_states or (
      cancel and job_id in kept_records.unsaved_offers
  ):
    return  # The queries are answered when the state is stored.
  state = _state_of(owner, job_id)
  if state is None:
    # Another shard's holder may have moved it here.
    request_open_list(owner)
  _answer_queries(owner, job_id, state)


def _state_of(owner, job_id: str) -> model.KeptJobState | None:
  ended = owner.kept_records.finished_jobs.get(job_id)
  if ended is not None:
    return ended.state
  return model.KeptJobState.OPEN if job_id in owner.by_id else None


def _answer_queries(owner, job_id: str, state: model.KeptJobState | None):
  for query in dict.fromkeys(
      owner.kept_records.pending_queries.pop(job_id, ())
  ):
    reply = keptevents.KeptJobReply(job_id, query.cancel, state)
    owner.send_to_coordinator(query.process, reply)


def handle_ended_list(
    owner: ownerstate.Owner, event: keptevents.EndedJobsListed
):
  """Schedules the deletion of finished jobs that previous holders left."""
  for job_id in event.job_ids:
    kept_records = owner.kept_records
    if job_id not in owner.by_id and not kept_records.is_finished(job_id):
      until = owner.now + owner.ended_job_retention_s
      kept_records.finished_jobs[job_id] = keptrecords.FinishedJob(None, until)


def request_open_list(owner: ownerstate.Owner):
  """Requests the list of open jobs, to find those that were moved here."""
  kept_records = owner.kept_records
  due = (
      owner.now - kept_records.open_list_requested_at
      >= keptrecords.LIST_OPEN_PERIOD_S
  )
  if kept_records.open_list_pending or not kept_records.loaded or not due:
    return
  kept_records.open_list_wanted = False
  kept_records.open_list_pending = True
  kept_records.open_list_requested_at = owner.now
  kept_records.moved.clear()
  owner.emit(keptevents.ListOpenJobs(owner.shard, owner.fence))


def handle_open_list(owner: ownerstate.Owner, event: keptevents.OpenJobsListed):
  """Takes over the jobs that another shard's holder has moved here."""
  kept_records = owner.kept_records
  kept_records.open_list_pending = False
  if event.failed or event.fence != owner.fence:
    kept_records.open_list_wanted = True
    return
  for kept in event.jobs:
    job_id = kept.job.id
    known = job_id in owner.by_id or job_id in kept_records.unsaved_offers
    if (
        known
        or kept_records.is_finished(job_id)
        or job_id in kept_records.moved
    ):
      continue
    owner.emit(events.log("kept_job_taken_up", job=job_id, fence=owner.fence))
    _start_job(owner, kept.job, kept.progress, resumed=False)
  runcontrol.start_waiting_tasks(owner)


def tick(owner: ownerstate.Owner):
  """Runs the work that is due."""
  kept_records = owner.kept_records
  _acknowledge_held_results(owner)
  for record in keptends.release_lapsed(owner):
    leasecalls.renew_lease(owner, record)
  if kept_records.early_offers and not kept_records.loaded:
    _decline_late_offers(owner)
  list_due = owner.now - owner.taken_at > keptrecords.LIST_ENDED_DELAY_S
  if kept_records.loaded and list_due:
    kept_records.forget_taken = True
    if not kept_records.ended_list_requested:
      kept_records.ended_list_requested = True
      owner.emit(
          keptevents.ListEndedJobs(owner.shard, owner.fence, owner.shard)
      )
  if kept_records.open_list_wanted:
    request_open_list(owner)


def _decline_late_offers(owner):
  if owner.now - owner.taken_at < LOAD_TIMEOUT_S:
    return
  early, owner.kept_records.early_offers = owner.kept_records.early_offers, []
  for offer in early:
    _decline_for_store(owner, offer)


def flush(owner: ownerstate.Owner):
  """Requests the next write to the store, if one may be sent now.

  The next holder doesn't know a job that is stored as finished, and so
  acknowledges the ends of its runs at once.
  """
  write = owner.kept_records.next_write(
      owner.shard,
      owner.fence,
      owner.now,
      lambda job_id: _progress(owner, job_id),
      lambda job_id: _has_duplicate_starts(owner, job_id),
  )
  if write is not None:
    owner.emit(write)


def _progress(owner, job_id: str) -> model.Progress:
  job = owner.by_id[job_id]
  done = [
      task.task
      for task in job.tasks.values()
      if task.state is ownerstate.TaskState.DONE
  ]
  failed = [
      model.RunId(task.task, attempt)
      for task in job.tasks.values()
      for attempt in sorted(task.failed)
  ]
  tasks = job.tasks.values()
  return model.Progress(
      tuple(done),
      tuple(failed),
      tuple((t.task, name) for t in tasks for name in sorted(t.crashed)),
      tuple(
          lost for t in tasks for _, lost in sorted(t.lost_endpoints.items())
      ),
      job.earlier_attempts,
  )


def pending(owner: ownerstate.Owner) -> tuple[tuple[str, int], ...] | None:
  """Returns each queue and the number of its kept jobs that have not started.

  None if the stored jobs have not been read yet.
  """
  if not owner.kept_records.loaded:
    return None
  counts: dict[str, int] = {}
  for job in owner.jobs.values():
    if job.job.kept and not job.started:
      counts[job.job.queue] = counts.get(job.job.queue, 0) + 1
  return tuple(sorted(counts.items()))


def replace_fence(owner: ownerstate.Owner, fence: int, took_s: float):
  """Adopts a new claim on the shard that directly follows the owner's old one.

  No other process has held the shard in between, so its jobs are kept.

  Args:
    owner: the owner.
    fence: the fencing token of the new claim.
    took_s: how long ago the store was asked for the claim (s).
  """
  owner.fence = fence
  owner.confirm_claim(took_s)
  owner.spare_fences = succession.NO_FENCES  # Those are below the new claim.
  owner.kept_records.loaded = False
  owner.emit(keptevents.LoadKeptJobs(owner.shard, fence))


def has_kept_jobs(owner: ownerstate.Owner) -> bool:
  """Returns whether the owner has kept jobs or changes to their records."""
  return owner.kept_records.has_unsaved_changes or any(
      job.job.kept for job in owner.jobs.values()
  )
