"""Job offers to a shard's owner: acceptance, refusal and withdrawal."""

import dataclasses

from fescueturn.scheduler import endpointruns
from fescueturn.scheduler import events
from fescueturn.scheduler import forecast as forecast_lib
from fescueturn.scheduler import leases
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import outcomes
from fescueturn.scheduler import ownerroom
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler import runcontrol
from fescueturn.scheduler import unplaceable

# Retry delay that a holder in an evacuated data centre returns. An evacuation
# lasts minutes, and the job is offered to other data centres in the meantime.
EVACUATED_RETRY_MS = 5000
# Retry delay that a holder returns for a job that none of its endpoints can
# run. Entries that expired while the store was unavailable return within this.
NO_ENDPOINT_FITS_RETRY_MS = 2000
# A job that starts within this time counts as starting immediately. Asking
# another data centre takes a round trip of 1 to 2 ms and may find it full, too.
IMMEDIATE_START_S = 0.005
# An offer is of an earlier submission if that arrived this much before the one
# that is known. Callers send a job again after 1.3 s; the ages of the two are
# told by two clocks, and an offer may be read some 0.3 s late.
EARLIER_SUBMISSION_S = 0.65


def handle_offer(owner: ownerstate.Owner, offer: linkmessages.Offered):
  """Accepts or declines a job that ends when its caller stops waiting."""
  leases.record_contact(owner, offer.key.process, offer.at)
  known = owner.jobs.get(offer.key)
  if known is not None:
    known.offer_number = offer.number
    # It may be a new submission through the same host, whose caller waits longer.
    known.arrived = owner.now - offer.age_s
    known.deadline = owner.now + offer.remaining_s
    owner.send_to_coordinator(
        offer.key.process, linkmessages.Accepted(offer.key, offer.number)
    )
    return
  result = owner.job_result(offer)
  if result is not None:
    owner.send_to_coordinator(
        offer.key.process,
        linkmessages.JobEnded(
            offer.key, result.outcome, result.reason, offer.number
        ),
    )
    return
  earlier = owner.by_id.get(offer.job.id)
  if earlier is not None and _is_of_earlier_submission(owner, offer, earlier):
    _end_earlier_submission(owner, offer)
    return
  if earlier is not None:
    # The caller resubmitted the job through another host: this ends the first
    # submission.
    outcomes.end_job(owner, earlier, model.Outcome.UNKNOWN, "sent_again")
    offer = dataclasses.replace(offer, resumed=True)
  if not admit(owner, offer):
    return
  record = add_job(owner, offer)
  owner.counters["accepted"] += 1
  owner.send_to_coordinator(
      offer.key.process, linkmessages.Accepted(offer.key, offer.number)
  )
  adopt_existing_runs(owner, record)
  if offer.resumed:
    owner.emit(_resumed_log(owner, offer, record))
  runcontrol.start_waiting_tasks(owner)


def _resumed_log(
    owner, offer: linkmessages.Offered, job: ownerstate.JobRecord
) -> events.Log:
  """Returns the log line of an accepted job that may have run before."""
  tasks = job.tasks.values()
  return events.log(
      "job_resumed",
      job=job.job.id,
      coordinator=job.key.process.host,
      offer=offer.number,
      fence=owner.fence,
      waiting=len(job.waiting),
      at_work=sum(task.run is not None for task in tasks),
      stopping=sum(bool(task.previous_runs) for task in tasks),
      age_ms=int((owner.now - job.arrived) * 1000),
      left_ms=int((job.deadline - owner.now) * 1000),
  )


def _is_of_earlier_submission(
    owner, offer: linkmessages.Offered, known: ownerstate.JobRecord
) -> bool:
  """Returns whether a job was submitted before its known submission."""
  arrived = owner.now - offer.age_s
  return known.arrived - arrived > EARLIER_SUBMISSION_S


def _end_earlier_submission(owner, offer: linkmessages.Offered):
  """Ends a submission whose caller has sent the job to another host since."""
  owner.emit(
      events.log(
          "offer_outdated",
          job=offer.job.id,
          coordinator=offer.key.process.host,
          age_ms=int(1000 * offer.age_s),
          fence=owner.fence,
      )
  )
  owner.send_to_coordinator(
      offer.key.process,
      linkmessages.JobEnded(
          offer.key, model.Outcome.UNKNOWN, "sent_again", offer.number
      ),
  )


def admit(owner: ownerstate.Owner, offer: linkmessages.Offered) -> bool:
  """Returns whether to accept a job; declines it if it would end too late."""
  if owner.evacuated and not offer.resumed:
    owner.counters["declined"] += 1
    decline(owner, offer, "evacuated", EVACUATED_RETRY_MS)
    return False
  forecast_lib.record_demand(owner, offer)
  if offer.resumed or (owner.awaiting_endpoints and not owner.endpoints):
    return True
  if not unplaceable.accepts(owner, offer.job):
    _decline_unplaceable(owner, offer)
    return False
  forecast = forecast_lib.forecast(owner, offer)
  if forecast.late_s or _waits_too_long(offer, forecast):
    _decline_by_forecast(owner, offer, forecast)
    return False
  return True


def _decline_unplaceable(owner, offer: linkmessages.Offered):
  if unplaceable.may_be_back(owner, offer.job):
    _decline_by_forecast(owner, offer, forecast_lib.NO_ENDPOINT)
    return
  owner.counters["declined"] += 1
  reason = linkmessages.NO_ENDPOINT_FITS
  decline(owner, offer, reason, NO_ENDPOINT_FITS_RETRY_MS)


def _waits_too_long(
    offer: linkmessages.Offered, forecast: forecast_lib.Forecast
) -> bool:
  """Returns whether the job had better be offered elsewhere."""
  if not offer.immediate_only or forecast.wait_s <= IMMEDIATE_START_S:
    return False
  return _to_ms(forecast.wait_s) > offer.max_wait_ms


def recheck_admissions(owner: ownerstate.Owner):
  """Hands back jobs that can't be done in time by the listed endpoints.

  They were accepted before the owner knew its endpoints.
  """
  unstarted = [
      job for job in owner.jobs.values() if not (job.begun or job.job.kept)
  ]
  for job in unstarted:
    del owner.jobs[job.key]
  for job in unstarted:
    forecast = forecast_lib.forecast(owner, job.offer(owner.now))
    owner.jobs[job.key] = job
    if forecast.late_s:
      outcomes.hand_back(owner, job)


def _decline_by_forecast(
    owner, offer: linkmessages.Offered, forecast: forecast_lib.Forecast
):
  in_time = not forecast.late_s
  wait_ms = _to_ms(forecast.wait_s if in_time else forecast.late_s)
  owner.counters["put_off" if in_time else "declined"] += 1
  owner.emit(
      events.log(
          "job_put_off" if in_time else "job_declined",
          job=offer.job.id,
          coordinator=offer.key.process.host,
          wait_ms=wait_ms,
          waiting_jobs=sum(bool(j.waiting) for j in owner.jobs.values()),
          kept_for_wider=forecast.reserved_slots,
          fence=owner.fence,
      )
  )
  owner.send_to_coordinator(
      offer.key.process,
      linkmessages.Declined(
          offer.key,
          offer.number,
          wait_ms,
          in_time,
          room=ownerroom.report(owner),
      ),
  )


def _to_ms(wait_s: float) -> int:
  return max(1, int(1000 * wait_s))


def decline(
    owner: ownerstate.Owner,
    offer: linkmessages.Offered,
    reason: str,
    wait_ms: int,
    **inputs,
):
  """Declines a job for a reason other than a lack of free slots.

  Args:
    owner: the owner.
    offer: the job.
    reason: why, in one word.
    wait_ms: the retry delay to return.
    **inputs: further values behind the decision, for the log.
  """
  owner.emit(
      events.log(
          "job_declined",
          job=offer.job.id,
          coordinator=offer.key.process.host,
          why=reason,
          wait_ms=wait_ms,
          **inputs,
          fence=owner.fence,
      )
  )
  owner.send_to_coordinator(
      offer.key.process,
      linkmessages.Declined(offer.key, offer.number, wait_ms, reason=reason),
  )


def add_job(
    owner: ownerstate.Owner, offer: linkmessages.Offered
) -> ownerstate.JobRecord:
  """Adds an accepted job to the owner's jobs; returns its record."""
  record = ownerstate.JobRecord(
      offer, owner.now, forecast_lib.latest_start(owner, offer)
  )
  owner.jobs[offer.key] = record
  owner.by_id[offer.job.id] = record
  return record


def adopt_existing_runs(owner: ownerstate.Owner, job: ownerstate.JobRecord):
  """Adopts the runs and results that the job has from before.

  A previous holder started them, or the owner did for an earlier submission.
  """
  for record in owner.endpoints.values():
    for run in list(record.runs.values()):
      if run.id.task.job_id == job.job.id:
        _adopt_or_await(owner, job, record, run)
  for task in job.tasks:
    early = owner.early_results.pop(task, None)
    if early is not None:
      outcomes.apply_early_result(owner, job, task, early)
  outcomes.end_job_if_finished(owner, job)


def _adopt_or_await(
    owner, job: ownerstate.JobRecord, record, run: endpointruns.Run
):
  task = job.tasks.get(run.id.task)
  if task is None:
    return
  task.attempt = max(task.attempt, run.id.attempt)
  if run.need is None and run.state is endpointruns.RunState.RUNNING:
    leases.adopt_run(owner, record, run)
    return
  outcomes.complete_steps_before(owner, job, task, run.id)
  if not run.abandoned:
    # It is being stopped, and the next run of the task waits for its end.
    task.previous_runs.add(run)


def handle_withdrawal(owner: ownerstate.Owner, key: linkmessages.JobKey):
  """Stops a job that its coordinator has abandoned."""
  job = owner.jobs.get(key)
  if job is not None:
    outcomes.end_job(owner, job, None, "withdrawn")
    runcontrol.start_waiting_tasks(owner)
