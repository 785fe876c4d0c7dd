"""The owner of a shard as time passes: what is repeated, and what given up.

A job's runs go on only while its coordinator is heard from.
"""

import zlib

from fescueturn.scheduler import crashes
from fescueturn.scheduler import events
from fescueturn.scheduler import keptjobs
from fescueturn.scheduler import leases
from fescueturn.scheduler import ledger
from fescueturn.scheduler import model
from fescueturn.scheduler import orders
from fescueturn.scheduler import outcomes
from fescueturn.scheduler import ownerstate

# Runs found at an endpoint on taking it over wait this long for their
# coordinator to name them: a coordinator learns of the new holder from the
# store's watch within some 10 ms and offers its jobs at once.
ADOPT_WAIT_S = 0.25
# A coordinator that is silent for this long has its jobs' runs stopped. It
# sends a ping every 100 ms. See `ledger.LEASE_MS` for what it adds up to.
COORDINATOR_SILENCE_S = 0.35
# After a pause of this process, what has come in meanwhile is read first.
AFTER_PAUSE_S = 0.05
# A stop without an answer is sent again after this: its task waits for it. An
# endpoint that is silent altogether is asked less often.
STOP_AGAIN_S = 0.03
STOP_SILENT_AGAIN_S = 0.25


def tick(owner: ownerstate.Owner):
  """Looks after everything that waits for a time."""
  if owner.fenced:
    return
  if owner.now >= owner.patient_until:
    _drop_silent_coordinators(owner)
  _end_overdue_jobs(owner)
  hand_back_jobs(owner)
  for record in list(owner.endpoints.values()):
    _tend(owner, record)
  if owner.keeper.loaded:
    _drop_early_ends(owner)
  keptjobs.tick(owner)
  crashes.forget_old(owner)
  orders.place(owner)


def _drop_early_ends(owner):
  for task, early in list(owner.early_ends.items()):
    if early.until < owner.now:
      del owner.early_ends[task]


def _drop_silent_coordinators(owner):
  silent = [
      party
      for party, at in owner.heard.items()
      if owner.now - at > COORDINATOR_SILENCE_S
  ]
  for party in silent:
    del owner.heard[party]
    mine = [job for job in owner.jobs.values() if job.key.party == party]
    if not mine:
      continue  # It may ping less often while it has no job here.
    owner.out(events.log("coordinator_silent", host=party.host, jobs=len(mine)))
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
    unsure = job.resumed and not owner.settled
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
      place = zlib.crc32(job.job.id.encode()) % len(shards)
      keptjobs.move(owner, job, shards[place])
    elif not owner.evacuated and job.job.id not in owner.keeper.moving:
      job.returning = False  # It may go on here.


def _tend(owner, record: ledger.EndpointRecord):
  """Repeats calls without an answer, stops runs that nobody wants."""
  for run in list(record.runs.values()):
    _tend_run(owner, record, run)
  if record.forgotten(owner.now):
    owner.out(ownerstate.endpoint_log("endpoint_forgotten", record))
    leases.endpoint_gone(owner, record, crashed=False)
    return
  silent = record.silent_since is not None
  wants_call = record.runs or silent or not record.known or record.acknowledges
  if (
      wants_call
      and not record.call_waits
      and (record.call_again_at <= owner.now)
  ):
    leases.call_lease(owner, record)


def _tend_run(owner, record, run: ledger.Run):
  unwanted = (
      run.need is None
      and owner.keeper.loaded
      and run.state is ledger.RunState.RUNNING
      and owner.now - run.since > ADOPT_WAIT_S
  )
  if unwanted or run.stuck(owner.now):
    why = "unwanted" if unwanted else "stuck"
    owner.counters[f"run_{why}"] += 1
    if not unwanted:
      record.eject(owner.now)
    age_ms = int((owner.now - run.since) * 1000)
    owner.out(
        ownerstate.run_log(
            f"run_{why}", record, run, percent=run.percent, age_ms=age_ms
        )
    )
    orders.stop(owner, record, run)
    return
  silent = record.silent_since is not None
  again_s = STOP_SILENT_AGAIN_S if silent else STOP_AGAIN_S
  again = (
      run.stop_sent_at is not None and owner.now - run.stop_sent_at > again_s
  )
  if again:
    orders.stop(owner, record, run)
  if silent and not run.given_back and record.lapsed(owner.now):
    outcomes.give_task_back(owner, record, run)
