"""Periodic work of a shard's owner: timeouts, retries, handing back jobs.

A job's runs continue only while its coordinator sends heartbeats.
"""

import zlib

from fescueturn.scheduler import crashes
from fescueturn.scheduler import endpointruns
from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import events
from fescueturn.scheduler import keptjobs
from fescueturn.scheduler import leasecalls
from fescueturn.scheduler import leases
from fescueturn.scheduler import model
from fescueturn.scheduler import outcomes
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler import runcontrol
from fescueturn.scheduler import runpace
from fescueturn.scheduler import selffencing
from fescueturn.scheduler import stragglers
from fescueturn.scheduler import unclaimed
from fescueturn.scheduler import unplaceable

# How long a run found at an endpoint after a takeover may go without a known
# job before it is stopped. A coordinator learns of the new holder through the
# store's watch within about 10 ms and offers its jobs immediately.
ADOPT_WAIT_S = 0.25
# Retry interval of an unanswered stop, short because the task can't run again
# until the stop is confirmed. An endpoint that answers no calls at all is
# retried less often.
STOP_RETRY_S = 0.03
STOP_RETRY_SILENT_S = 0.25


def tick(owner: ownerstate.Owner):
  """Runs all work of the owner that is due."""
  if owner.fenced:
    return
  if owner.now >= owner.pause_grace_until:
    _end_jobs_of_silent_coordinators(owner)
  _end_overdue_jobs(owner)
  selffencing.tick(owner)
  hand_back_jobs(owner)
  unplaceable.tick(owner)
  for record in list(owner.endpoints.values()):
    _check_endpoint(owner, record)
  runpace.tick(owner)
  owner.expire_job_results()
  if owner.kept_records.loaded:
    _expire_early_results(owner)
  keptjobs.tick(owner)
  unclaimed.tick(owner)
  crashes.forget_old_crashes(owner)
  runcontrol.start_waiting_tasks(owner)


def _expire_early_results(owner):
  for task, early in list(owner.early_results.items()):
    if early.until < owner.now:
      del owner.early_results[task]


def _end_jobs_of_silent_coordinators(owner):
  silent = [p for p in owner.last_contact if owner.is_dead(p)]
  for process in silent:
    del owner.last_contact[process]
    orphaned = [
        job for job in owner.jobs.values() if job.key.process == process
    ]
    if not orphaned:
      continue  # A coordinator without jobs here may ping less often.
    owner.emit(
        events.log("coordinator_silent", host=process.host, jobs=len(orphaned))
    )
    for job in orphaned:
      outcomes.end_job(owner, job, model.Outcome.UNKNOWN, "coordinator_silent")


def _end_overdue_jobs(owner):
  for job in list(owner.jobs.values()):
    if job.deadline <= owner.now:
      outcome = model.Outcome.UNKNOWN if job.begun else model.Outcome.NOT_RUN
      outcomes.end_job(owner, job, outcome, "deadline")
    elif not (job.begun or job.job.kept) and job.latest_start < owner.now:
      outcomes.end_job(owner, job, model.Outcome.NOT_RUN, "no_room_in_time")


def hand_back_jobs(owner: ownerstate.Owner):
  """Hands back the jobs of an evacuated data centre that have tasks to start.

  Jobs whose tasks have all started are finished here.
  """
  if not owner.evacuated:
    return
  for job in list(owner.jobs.values()):
    recovering = owner.may_have_unknown_runs(job)
    if job.waiting and not (job.returning or recovering):
      outcomes.hand_back(owner, job)


def move_kept_jobs(owner: ownerstate.Owner, shards: list[model.Shard]):
  """Moves the kept jobs that can't be run here, or not now, to other shards.

  Args:
    owner: the owner.
    shards: the shards that accept jobs.
  """
  for job in list(owner.jobs.values()):
    if not job.job.kept or job.active:
      continue
    if not (job.returning or unplaceable.must_leave(owner, job)):
      continue
    targets = _targets(owner, job, shards)
    if targets and not job.returning:
      unplaceable.leave(owner, job, {s.data_centre for s in targets})
    if targets:
      shard_index = zlib.crc32(job.job.id.encode()) % len(targets)
      keptjobs.move(owner, job, targets[shard_index])
    elif not owner.evacuated and job.job.id not in owner.kept_records.moving:
      job.returning = False  # It stays here.


def _targets(
    owner, job: ownerstate.JobRecord, shards: list[model.Shard]
) -> list[model.Shard]:
  """Returns the shards to one of which a kept job is to move, if any."""
  fitting = unplaceable.destinations(owner, job)
  targets = [shard for shard in shards if shard.data_centre in fitting]
  if owner.evacuated:
    return targets or shards
  return targets if unplaceable.cant_go_on(owner, job) else []


def _check_endpoint(owner, record: endpointstate.EndpointRecord):
  """Retries unanswered calls to an endpoint and stops unwanted runs."""
  for run in list(record.runs.values()):
    _check_run(owner, record, run)
  stragglers.move_from_leaving(owner, record)
  if record.can_be_forgotten(owner.now):
    owner.emit(ownerstate.endpoint_log("endpoint_forgotten", record))
    leases.remove_endpoint(owner, record, crashed=False)
    return
  silent = record.silent_since is not None
  wants_call = (
      record.runs
      or silent
      or not record.runs_known
      or record.has_unsent_ack
      or record.is_idle(owner.now)
  )
  if record.call_pending:
    leasecalls.extend_lease_left_out(owner, record)
  elif wants_call and record.next_call_at <= owner.now:
    leasecalls.renew_lease(owner, record)


def _check_run(owner, record, run: endpointruns.Run):
  unwanted = (
      run.need is None
      and owner.kept_records.loaded
      and run.state is endpointruns.RunState.RUNNING
      and owner.now - run.started_at > ADOPT_WAIT_S
  )
  if unwanted or run.stuck(owner.now):
    why = "unwanted" if unwanted else "stuck"
    owner.counters[f"run_{why}"] += 1
    if not unwanted:
      record.exclusion.eject(owner.now)
    age_ms = int((owner.now - run.started_at) * 1000)
    owner.emit(
        ownerstate.run_log(
            f"run_{why}", record, run, percent=run.percent, age_ms=age_ms
        )
    )
    if unwanted:
      run.served_until = owner.now
    runcontrol.stop_run(owner, record, run)
    return
  silent = record.silent_since is not None
  retry_s = STOP_RETRY_SILENT_S if silent else STOP_RETRY_S
  retry_due = (
      run.stop_sent_at is not None and owner.now - run.stop_sent_at > retry_s
  )
  if retry_due:
    runcontrol.stop_run(owner, record, run)
  if run.abandoned or not record.has_lapsed(run, owner.now):
    return
  if silent:
    outcomes.requeue_lost_task(owner, record, run)
  elif run.id.task.job_id not in owner.by_id and not run.active:
    run.abandoned = True  # Its stop isn't confirmed, but it has ended.
