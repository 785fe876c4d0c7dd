"""An owner and its endpoints: their list, their leases, what runs there.

Every answer of an endpoint comes in here. No endpoint is given more than its
capacity, orders without an answer counted.
"""

from fescueturn.scheduler import crashes
from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import events
from fescueturn.scheduler import model
from fescueturn.scheduler import outcomes
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler import roster
from fescueturn.scheduler import runcontrol
from fescueturn.scheduler import stragglers

# A lease call waits this long for an end; the next one then renews the lease
# with 500 of its 800 ms left for a lost call and its repeat.
LEASE_CALL_WAIT_MS = 300
# The same while calls are lost: the ends that a lost call would have told are
# known this much later, and the shortest tasks have 96 ms to spare.
LOSSY_CALL_WAIT_MS = 60
# Lease calls without an answer, one after the other, that make an endpoint count
# as silent: with three in ten calls lost, three are one time in forty.
MAX_UNANSWERED_CALLS = 3


def handle_endpoint_list(
    owner: ownerstate.Owner, listed: tuple[model.Endpoint, ...]
):
  """Takes the platform's list; new endpoints are asked what runs there."""
  owner.listed_at = owner.now
  owner.set_endpoint_sizes(listed)
  own = {e.id: e for e in listed if e.data_centre == owner.shard.data_centre}
  owner.dead_incarnations &= {(e.id, e.address) for e in own.values()}
  for job in crashes.confirm_replaced_endpoints(owner, own.values()):
    outcomes.end_job_if_finished(owner, job)
  for name, info in own.items():
    record = owner.endpoints.get(name)
    if record is None and (name, info.address) in owner.dead_incarnations:
      continue
    if record is None:
      record = endpointstate.EndpointRecord(info, owner.now)
      if owner.roster.must_delay_join(name, owner.now):
        record.exclude_until(owner.now + roster.JOIN_DELAY_S)
      owner.endpoints[name] = record
      owner.emit(ownerstate.endpoint_log("endpoint_seen", record))
      renew_lease(owner, record)
      continue
    if record.info.draining != info.draining or not record.listed:
      owner.emit(
          ownerstate.endpoint_log("endpoint_changed", record, now=info.draining)
      )
    record.update(info)
  for name, record in list(owner.endpoints.items()):
    if name not in own and record.listed:
      record.listed = False
      owner.emit(ownerstate.endpoint_log("endpoint_unlisted", record))
    if not record.listed and not record.runs and not record.call_pending:
      del owner.endpoints[name]
      if not record.info.draining:
        owner.roster.record_removal(name, owner.now)
  runcontrol.start_waiting_tasks(owner)


def renew_lease(
    owner: ownerstate.Owner,
    record: endpointstate.EndpointRecord,
    now: bool = False,
):
  """Renews the endpoint's lease and asks for its runs, unless a call is out.

  Args:
    owner: the owner.
    record: the endpoint.
    now: True to have the answer at once; a call that waits for an end is then
      made anew without a wait, and its own answer ignored.
  """
  if record.call_pending and not (now and record.call_is_long_poll):
    return
  since_s = owner.now - record.call_sent_at
  if record.unsaved_ends and since_s < endpointstate.UNSAVED_CALL_INTERVAL_S:
    return
  record.call_number += 1
  record.call_pending = True
  record.call_sent_at = owner.now
  record.last_sent_ack = record.ack_number
  wait_ms = 0 if now else _call_wait_ms(owner, record)
  record.call_is_long_poll = wait_ms > 0
  owner.emit(
      events.RenewLease(
          record.info,
          record.call_number,
          record.last_sent_ack,
          _lease_end(owner, record),
          wait_ms,
          owner.fence,
      )
  )


def _call_wait_ms(owner, record: endpointstate.EndpointRecord) -> int:
  """Returns how long a call waits for an end: not for runs being settled."""
  if not record.runs_known or not record.runs or record.awaits_stop_result:
    return 0
  return (
      LOSSY_CALL_WAIT_MS if owner.call_losses.is_lossy else LEASE_CALL_WAIT_MS
  )


def _lease_end(owner, record) -> int | None:
  """Returns the lease's new end, or None to let it be.

  The lease of an endpoint that doesn't answer is left to run out, so that its
  tasks can be run elsewhere; so is one where all runs are yet unknown, since
  their coordinator may be dead.
  """
  wanted = any(run.need is not None for run in record.runs.values())
  if not wanted or record.silent_since is not None:
    return None
  return record.extend_lease(owner.now)


def handle_lease_answer(owner: ownerstate.Owner, event: events.LeaseAnswered):
  """Takes an endpoint's list of runs and ends."""
  record = owner.endpoints.get(event.endpoint)
  if record is None or event.number != record.call_number:
    return
  record.call_pending = False
  owner.call_losses.record_call(event.result is model.CallResult.NO_ANSWER)
  record.update_clock(event.clock_ms, owner.now)
  if event.result is model.CallResult.OK:
    _take_lists(owner, record, event)
  else:
    _call_failed(owner, record, event.result)
  runcontrol.start_waiting_tasks(owner)


def _take_lists(owner, record, event: events.LeaseAnswered):
  newly_known = not record.runs_known
  record.runs_known = True
  crashes.discard_losses(owner, record.info.id)
  for ended in event.ended:
    if ended.number > record.last_end_number:
      record.last_end_number = ended.number
      outcomes.handle_listed_end(owner, record, ended)
  listed = {r.run for r in event.running}
  for running in event.running:
    _run_listed(owner, record, running)
  for run in list(record.runs.values()):
    shown = run.listed_from_call and event.number >= run.listed_from_call
    if shown and run.id not in listed:
      # It ended, and its end was acknowledged by an earlier holder's call.
      outcomes.finish_run(
          owner, record, run, model.RunOutcome.LOST, "not_listed"
      )
  if newly_known:
    owner.endpoint_reported(record.info.id)
    owner.emit(ownerstate.endpoint_log("endpoint_known", record))
  if record.runs:
    renew_lease(owner, record)


def _run_listed(owner, record, running: model.ActiveRun):
  run = record.runs.get(running.run)
  if run is None:
    run = endpointstate.Run(
        running.run, None, endpointstate.RunState.RUNNING, owner.now
    )
    run.listed_from_call = record.call_number
    record.add(run)
    adopt_run(owner, record, run)
  elif run.state is endpointstate.RunState.ORDERED:
    run.state = endpointstate.RunState.RUNNING
    run.listed_from_call = record.call_number
  if running.percent > run.percent:
    run.percent = running.percent
    run.progressed_at = owner.now
    stragglers.handle_progress(owner, record, run)


def adopt_run(owner, record, run: endpointstate.Run):
  """Gives a run found at an endpoint to its job, if that is known here."""
  job = owner.by_id.get(run.id.task.job_id)
  if job is None:
    return
  task = job.tasks.get(run.id.task)
  if task is None or task.state is not ownerstate.TaskState.WAITING:
    return
  record.adopt(run, task.step.need, task.step.estimate_ms)
  job.waiting.remove(task)
  task.state = ownerstate.TaskState.ACTIVE
  task.run = run.id
  task.attempt = max(task.attempt, run.id.attempt)
  task.endpoint = record.info.id
  owner.counters["adopted"] += 1
  renew_lease(owner, record)
  owner.emit(ownerstate.run_log("run_adopted", record, run))


def _call_failed(owner, record, result: model.CallResult):
  """A lease call was not answered as it should be."""
  if result is model.CallResult.FENCED:
    _stand_down(owner, record)
  elif result is model.CallResult.GONE:
    _other_life(owner, record)
  elif result is model.CallResult.NOT_SENT:
    _unreached(owner, record)
  elif result is model.CallResult.NO_ANSWER:
    _lease_call_lost(owner, record)
  else:
    record.back_off(owner.now)
    record.delay_next_call(owner.now)


def _order_lost(owner, record, sent_at: float | None):
  """An order got no answer: it was lost, or the endpoint is silent.

  One that answered another call meanwhile has only lost this one. Else a call
  tells, and it gets no new tasks until then.
  """
  owner.call_losses.record_call(True)
  if sent_at is not None and record.last_answer_at > sent_at:
    owner.counters["calls_lost"] += 1
    return
  record.suspected_since = owner.now
  renew_lease(owner, record, now=True)


def _lease_call_lost(owner, record):
  """A lease call got no answer: it is made again, or the endpoint is silent."""
  if record.last_answer_at > record.call_sent_at:
    owner.counters["calls_lost"] += 1
    renew_lease(owner, record)
    return
  record.calls_unanswered += 1
  if not record.runs_known or record.calls_unanswered >= MAX_UNANSWERED_CALLS:
    _unreached(owner, record)
    return
  record.suspected_since = owner.now
  renew_lease(owner, record, now=True)


def _unreached(owner, record):
  if record.silent_since is None:
    owner.emit(ownerstate.endpoint_log("endpoint_silent", record))
  record.mark_silent(owner.now)
  record.back_off(owner.now)
  record.delay_next_call(owner.now)


def _stand_down(owner, record):
  """A host with a higher fence number holds the endpoint: stop at once."""
  if not owner.fenced:
    owner.fenced = True
    owner.emit(ownerstate.endpoint_log("fenced", record, fence=owner.fence))


def _other_life(owner, record):
  """Another life answered at its address: this one is not asked for again."""
  owner.dead_incarnations.add((record.info.id, record.info.address))
  owner.endpoint_reported(record.info.id)
  remove_endpoint(owner, record, crashed=True)


def remove_endpoint(owner, record, crashed: bool):
  """Nothing of this life of a machine is left.

  Args:
    owner: the owner.
    record: the endpoint.
    crashed: False if it was last heard so long ago that it can't be told.
  """
  owner.emit(ownerstate.endpoint_log("endpoint_gone", record, crashed=crashed))
  record.listed = False
  for run in list(record.runs.values()):
    crashes.record_loss(owner, record, run)
    outcomes.finish_run(
        owner, record, run, model.RunOutcome.LOST, "endpoint_gone"
    )
  owner.endpoints.pop(record.info.id, None)
  if not crashed:
    crashes.discard_losses(owner, record.info.id)
    return
  info = record.info
  for job in crashes.confirm_crash(owner, info.id, info.address):
    outcomes.end_job_if_finished(owner, job)


def handle_start_answer(owner: ownerstate.Owner, event: events.StartAnswered):
  """Takes the answer to an order to start."""
  record = owner.endpoints.get(event.endpoint)
  run = record.runs.get(event.run) if record else None
  if record is not None:
    record.update_clock(event.clock_ms, owner.now)
  if run is None:
    return
  if event.result is model.CallResult.OK:
    _settle(owner, record, run)
    return
  _start_failed(owner, record, run, event.result)
  runcontrol.start_waiting_tasks(owner)


def _settle(owner, record, run: endpointstate.Run):
  """A run was surely begun: the next lease call shows it, or its end."""
  if run.state is endpointstate.RunState.ORDERED:
    run.state = endpointstate.RunState.RUNNING
  run.listed_from_call = run.listed_from_call or record.call_number + 1
  renew_lease(owner, record)


def _start_failed(
    owner, record, run: endpointstate.Run, result: model.CallResult
):
  owner.counters[f"start_{result.value}"] += 1
  owner.emit(
      events.log(
          "start_failed",
          job=run.id.task.job_id,
          step=run.id.task.step,
          task=run.id.task.index,
          attempt=run.id.attempt,
          endpoint=record.info.id,
          result=result.value,
          fence=owner.fence,
      )
  )
  if result is model.CallResult.FENCED:
    _stand_down(owner, record)
    return
  if result is model.CallResult.GONE:
    _other_life(owner, record)
    return
  if result is model.CallResult.OLD_ATTEMPT and run.sends > 1:
    # The first order was carried out, and the run is over by now.
    _settle(owner, record, run)
    return
  if result is model.CallResult.NO_ANSWER:
    _order_lost(owner, record, run.sent_at)
    if runcontrol.resend_start(owner, record, run):
      return
    if run.state is endpointstate.RunState.ORDERED:
      run.state = endpointstate.RunState.UNSURE
    runcontrol.stop_run(owner, record, run)
    return
  if result is model.CallResult.NOT_SENT:
    _unreached(owner, record)
  elif result is not model.CallResult.LATE:
    record.back_off(owner.now)
  if run.state is endpointstate.RunState.ORDERED:
    outcomes.finish_run(owner, record, run, model.RunOutcome.LOST, result.value)


def handle_stop_answer(owner: ownerstate.Owner, event: events.StopAnswered):
  """Takes the answer to an order to stop."""
  record = owner.endpoints.get(event.endpoint)
  if record is None:
    return
  record.update_clock(event.clock_ms, owner.now)
  run = record.runs.get(event.run)
  if event.result is model.CallResult.OK:
    if run is not None:
      # The next call shows it running, ended or not there at all.
      run.state = endpointstate.RunState.STOPPING
      run.listed_from_call = record.call_number + 1
      run.stop_sent_at = None
    renew_lease(owner, record, now=True)
    return
  if event.result is model.CallResult.FENCED:
    _stand_down(owner, record)
  elif event.result is model.CallResult.GONE:
    _other_life(owner, record)
  elif event.result is model.CallResult.NOT_SENT:
    _unreached(owner, record)
  elif event.result is model.CallResult.NO_ANSWER and run is not None:
    _order_lost(owner, record, run.stop_sent_at)
    if record.silent_since is None:
      runcontrol.stop_run(owner, record, run)
