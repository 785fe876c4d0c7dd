"""An owner and its jobs: taken, declined, or given up by their coordinator."""

import dataclasses

from fescueturn.scheduler import events
from fescueturn.scheduler import leases
from fescueturn.scheduler import ledger
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import orders
from fescueturn.scheduler import outcomes
from fescueturn.scheduler import outlook as outlook_lib
from fescueturn.scheduler import ownerstate

# What a holder in an evacuated data centre says of when to come back: such a
# request stands for minutes, and other data centres are asked meanwhile.
EVACUATED_WAIT_MS = 5000
# A job that begins this soon counts as begun at once: asking another data
# centre takes a round trip of 1 to 2 ms and may find no more room.
AT_ONCE_S = 0.005


def offered(owner: ownerstate.Owner, offer: linkmessages.Offered):
  """Takes or declines a job."""
  owner.heard[offer.key.party] = owner.now
  known = owner.jobs.get(offer.key)
  if known is not None:
    known.offer_number = offer.number
    owner.tell(offer.key.party, linkmessages.Accepted(offer.key, offer.number))
    return
  earlier = owner.by_id.get(offer.job.id)
  if earlier is not None:
    # The caller came back through another host: its first try is over.
    outcomes.end_job(owner, earlier, model.Outcome.UNKNOWN, "sent_again")
    offer = dataclasses.replace(offer, resumed=True)
  if not fits(owner, offer):
    return
  record = new_record(owner, offer)
  owner.counters["accepted"] += 1
  owner.tell(offer.key.party, linkmessages.Accepted(offer.key, offer.number))
  find_runs(owner, record)
  orders.place(owner)


def fits(owner: ownerstate.Owner, offer: linkmessages.Offered) -> bool:
  """Returns whether a job would be done in time; declines it if not."""
  if owner.evacuated and not offer.resumed:
    owner.counters["declined"] += 1
    refuse(owner, offer, "evacuated", EVACUATED_WAIT_MS)
    return False
  outlook_lib.note_demand(owner, offer)
  if offer.resumed or (owner.just_taken and not owner.endpoints):
    return True
  outlook = outlook_lib.outlook(owner, offer)
  must_wait = outlook.wait_s > AT_ONCE_S
  if outlook.late_s or (offer.at_once and must_wait):
    _decline(owner, offer, outlook)
    return False
  return True


def review(owner: ownerstate.Owner):
  """Hands back jobs taken unseen that the listed endpoints can't do in time."""
  unseen = [
      job for job in owner.jobs.values() if not (job.begun or job.job.kept)
  ]
  for job in unseen:
    del owner.jobs[job.key]
  for job in unseen:
    outlook = outlook_lib.outlook(owner, job.offer(owner.now))
    owner.jobs[job.key] = job
    if outlook.late_s:
      outcomes.hand_back(owner, job)


def _decline(owner, offer: linkmessages.Offered, outlook: outlook_lib.Outlook):
  in_time = not outlook.late_s
  wait_ms = max(1, int(1000 * (outlook.wait_s if in_time else outlook.late_s)))
  owner.counters["put_off" if in_time else "declined"] += 1
  owner.out(
      events.log(
          "job_put_off" if in_time else "job_declined",
          job=offer.job.id,
          coordinator=offer.key.party.host,
          wait_ms=wait_ms,
          waiting_jobs=sum(bool(j.waiting) for j in owner.jobs.values()),
          kept_for_wider=outlook.kept,
          fence=owner.fence,
      )
  )
  owner.tell(
      offer.key.party,
      linkmessages.Declined(offer.key, offer.number, wait_ms, in_time),
  )


def refuse(
    owner: ownerstate.Owner,
    offer: linkmessages.Offered,
    reason: str,
    wait_ms: int,
    **inputs,
):
  """Declines a job whatever room there is.

  Args:
    owner: the owner.
    offer: the job.
    reason: why, in one word.
    wait_ms: when it may come back.
    **inputs: what else decided it, for the log.
  """
  owner.out(
      events.log(
          "job_declined",
          job=offer.job.id,
          coordinator=offer.key.party.host,
          why=reason,
          wait_ms=wait_ms,
          **inputs,
          fence=owner.fence,
      )
  )
  owner.tell(
      offer.key.party,
      linkmessages.Declined(offer.key, offer.number, wait_ms, reason=reason),
  )


def new_record(
    owner: ownerstate.Owner, offer: linkmessages.Offered
) -> ownerstate.JobRecord:
  """Notes a job that is taken."""
  record = ownerstate.JobRecord(
      offer, owner.now, outlook_lib.latest_start(owner, offer)
  )
  owner.jobs[offer.key] = record
  owner.by_id[offer.job.id] = record
  return record


def find_runs(owner: ownerstate.Owner, job: ownerstate.JobRecord):
  """Takes up what an earlier holder, or an earlier try, started of the job."""
  for record in owner.endpoints.values():
    for run in list(record.runs.values()):
      if run.id.task.job_id == job.job.id:
        _take_up(owner, job, record, run)
  for task in job.tasks:
    early = owner.early_ends.pop(task, None)
    if early is not None:
      outcomes.take_early_end(job, task, early)
  outcomes.end_if_over(owner, job)


def _take_up(owner, job: ownerstate.JobRecord, record, run: ledger.Run):
  task = job.tasks.get(run.id.task)
  if task is None:
    return
  task.attempt = max(task.attempt, run.id.attempt)
  if run.need is None and run.state is ledger.RunState.RUNNING:
    leases.adopt(owner, record, run)
  elif not run.given_back:
    # It is being stopped: the next run of the task waits for its end.
    task.previous = run.id


def withdrawn(owner: ownerstate.Owner, key: linkmessages.JobKey):
  """The coordinator gave the job up."""
  job = owner.jobs.get(key)
  if job is not None:
    outcomes.end_job(owner, job, None, "withdrawn")
    orders.place(owner)
