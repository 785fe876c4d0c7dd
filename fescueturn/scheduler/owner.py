"""The owner of a shard as time passes: what is repeated, and what given up.

A job's runs go on only while its coordinator is heard from.
"""

import zlib

from fescueturn.scheduler import crashes
from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import events
from fescueturn.scheduler import keptjobs
from fescueturn.scheduler import leases
from fescueturn.scheduler import model
from fescueturn.scheduler import outcomes
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler import runcontrol

# Runs found at an endpoint on taking it over wait this long for their
# coordinator to name them: a coordinator learns of the new holder from the
# store's watch within some 10 ms and offers its jobs at once.
ADOPT_WAIT_S = 0.25
# A coordinator that is silent for this long has its jobs' runs stopped. It
# sends a ping every 100 ms. See `endpointstate.LEASE_MS` for what it adds up to.
COORDINATOR_SILENCE_S = 0.35
# After a pause of this process, what has come in meanwhile is read first.
PAUSE_GRACE_S = 0.05
# A stop without an answer is sent again after this: its task waits for it. An
# endpoint that is silent altogether is asked less often.
STOP_AGAIN_S = 0.03
STOP_SILENT_AGAIN_S = 0.25


def tick(owner: ownerstate.Owner):
  """Looks after everything that waits for a time."""
  if owner.fenced:
    return
  if owner.now >= owner.ignore_silence_until:
    _drop_silent_coordinators(owner)
  _end_overdue_jobs(owner)
  hand_back_jobs(owner)
  for record in list(owner.endpoints.values()):
    _tend(owner, record)
  if owner.kept_records.loaded:
    _drop_early_ends(owner)
  keptjobs.tick(owner)
  crashes.forget_old_crashes(owner)
  runcontrol.start_waiting_tasks(owner)


def _drop_early_ends(owner):
  for task, early in list(owner.early_results.items()):
    if early.until < owner.now:
      del owner.early_results[task]


def _drop_silent_coordinators(owner):
  silent = [
      process
      for process, at in owner.last_contact.items()
      if owner.now - at > COORDINATOR_SILENCE_S
  ]
  for process in silent:
    del owner.last_contact[process]
    mine = [job for job in owner.jobs.values() if job.key.process == process]
    if not mine:
      continue  # It may ping less often while it has no job here.
    owner.emit(
        events.log("coordinator_silent", host=process.host, jobs=len(mine))
    )
    for job in mine:
      outcomes.end_job(owner, job, model.Outcome.UNKNOWN, "coordinator_silent")


def _end_overdue_jobs(owner):
  for job in list(owner.jobs.values()):
    if job.deadline <= owner.now:
      outcome = model.Outcome.UNKNOWN if job.begun else model.Outcome.NOT_RUN
      outcomes.end_job(owner, job, outcome, "deadline")
    elif not (job.begun or job.job.kept) and job.latest_start < owner.now:
      outcomes.end_job(owner, job, model.Outcome.NOT_RUN, "no_room_in_time")


def hand_back_jobs(owner: ownerstate.Owner):
  """In an evacuated data centre, gives back jobs with tasks left to start.

  Jobs whose tasks all run end here.
  """
  if not owner.evacuated:
    return
  for job in list(owner.jobs.values()):
    unsure = job.resumed and not owner.recovered
    if job.waiting and not (job.returning or unsure):
      outcomes.hand_back(owner, job)


def move_kept_jobs(owner: ownerstate.Owner, shards: list[model.Shard]):
  """Has kept jobs that are handed back go over to other shards.

  Args:
    owner: the owner.
    shards: those that take jobs.
  """
  for job in list(owner.jobs.values()):
    if not (job.returning and job.job.kept) or job.active:
      continue
    if shards and owner.evacuated:
      shard_index = zlib.crc32(job.job.id.encode()) % len(shards)
      keptjobs.move(owner, job, shards[shard_index])
    elif not owner.evacuated and job.job.id not in owner.kept_records.moving:
      job.returning = False  # It may go on here.


def _tend(owner, record: endpointstate.EndpointRecord):
  """Repeats calls without an answer, stops runs that nobody wants."""
  for run in list(record.runs.values()):
    _tend_run(owner, record, run)
  if record.can_be_forgotten(owner.now):
    owner.emit(ownerstate.endpoint_log("endpoint_forgotten", record))
    leases.remove_endpoint(owner, record, crashed=False)
    return
  silent = record.silent_since is not None
  wants_call = (
      record.runs or silent or not record.runs_known or record.has_unsent_ack
  )
  if (
      wants_call
      and not record.call_pending
      and (record.next_call_at <= owner.now)
  ):
    leases.renew_lease(owner, record)


def _tend_run(owner, record, run: endpointstate.Run):
  unwanted = (
      run.need is None
      and owner.kept_records.loaded
      and run.state is endpointstate.RunState.RUNNING
      and owner.now - run.started_at > ADOPT_WAIT_S
  )
  if unwanted or run.stuck(owner.now):
    why = "unwanted" if unwanted else "stuck"
    owner.counters[f"run_{why}"] += 1
    if not unwanted:
      record.eject(owner.now)
    age_ms = int((owner.now - run.started_at) * 1000)
    owner.emit(
        ownerstate.run_log(
            f"run_{why}", record, run, percent=run.percent, age_ms=age_ms
        )
    )
    runcontrol.stop_run(owner, record, run)
    return
  silent = record.silent_since is not None
  again_s = STOP_SILENT_AGAIN_S if silent else STOP_AGAIN_S
  again = (
      run.stop_sent_at is not None and owner.now - run.stop_sent_at > again_s
  )
  if again:
    runcontrol.stop_run(owner, record, run)
  if silent and not run.abandoned and record.leases_expired(owner.now):
    outcomes.requeue_lost_task(owner, record, run)
