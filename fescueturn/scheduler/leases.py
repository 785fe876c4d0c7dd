"""Handles an owner's endpoints: the platform's list, leases and listed runs.

A run counts against its endpoint's capacity from its start request on, answered
or not, so that no endpoint is overcommitted.
"""

from fescueturn.scheduler import crashes
from fescueturn.scheduler import endpointlist
from fescueturn.scheduler import endpointruns
from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import events
from fescueturn.scheduler import leasecalls
from fescueturn.scheduler import model
from fescueturn.scheduler import outcomes
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler import roster
from fescueturn.scheduler import runcontrol
from fescueturn.scheduler import runpace
from fescueturn.scheduler import stragglers
from fescueturn.scheduler.decisions import leaving

# An endpoint counts as silent after this many consecutive lease calls without
# an answer. With 30% of the calls lost, three in a row are lost one time in
# forty.
MAX_UNANSWERED_CALLS = 3
# After a pause of this process, heartbeat timeouts are suspended and no task is
# started for this long. Messages that arrived during the pause are read first,
# and endpoints tell whether another host has taken the shard over.
PAUSE_GRACE_S = 0.05
# This host was suspended if an endpoint's clock gained this much on its own. An
# answer is read at most half a second late, and a holder that stood still for a
# second is not replaced, with its tasks started again, within that second.
SUSPENDED_MIN_MS = 1000
# The same for a coordinator's clock. If a message was only read late before,
# tasks wait for the next pings, and kept jobs for the store's claims.
SUSPENDED_MIN_S = 0.2


def handle_endpoint_list(
    owner: ownerstate.Owner,
    listed: tuple[model.Endpoint, ...],
    took_s: float = 0.0,
    shows_claims: bool = True,
):
  """Applies the platform's list; asks new endpoints which runs they have.

  Args:
    owner: the owner.
    listed: the endpoints.
    took_s: how long ago the store was asked for them (s).
    shows_claims: False if the store may not tell of other hosts' claims.
  """
  owner.listed_at = owner.now
  if shows_claims:
    owner.record_store_answer(took_s)
  own_endpoints = {
      e.id: e for e in listed if e.data_centre == owner.shard.data_centre
  }
  owner.listed_elsewhere = tuple(
      e for e in listed if e.data_centre != owner.shard.data_centre
  )
  # The store may have answered at once, and the answer have waited to be read.
  read_at = owner.now - took_s
  owner.shared_list.update(tuple(own_endpoints.values()), read_at)
  owner.dead_incarnations &= {
      (e.id, e.address, e.born_ms) for e in own_endpoints.values()
  }
  for job in crashes.confirm_replaced_endpoints(owner, own_endpoints.values()):
    outcomes.end_job_if_finished(owner, job)
  _apply_list(owner, listed, own_endpoints)


def use_inherited_list(owner: ownerstate.Owner, known: endpointlist.KnownList):
  """Serves from a copy of the previous holder's list, without the store's.

  It may be older than what the store knows, so it confirms no crash.
  """
  owner.emit(
      events.log(
          "list_inherited",
          data_centre=owner.shard.data_centre,
          fence=owner.fence,
          endpoints=len(known.endpoints),
          age_ms=int((owner.now - known.read_at) * 1000),
      )
  )
  owner.counters["list_inherited"] += 1
  owner.shared_list.update(known.endpoints, known.read_at)
  _apply_list(owner, known.endpoints, {e.id: e for e in known.endpoints})


def _apply_list(
    owner,
    listed: tuple[model.Endpoint, ...],
    own_endpoints: dict[str, model.Endpoint],
):
  owner.set_endpoint_sizes(listed)
  for name, info in own_endpoints.items():
    record = owner.endpoints.get(name)
    incarnation = (name, info.address, info.born_ms)
    if record is None and incarnation in owner.dead_incarnations:
      continue
    if record is None:
      record = endpointstate.EndpointRecord(info, owner.now)
      if owner.roster.must_delay_join(name, owner.now):
        record.exclusion.exclude_until(owner.now + roster.JOIN_DELAY_S)
      leaving.record_entry(record, info, owner.now)
      owner.endpoints[name] = record
      owner.emit(ownerstate.endpoint_log("endpoint_seen", record))
      leasecalls.renew_lease(owner, record)
      continue
    if record.info.draining != info.draining or not record.listed:
      owner.emit(
          ownerstate.endpoint_log("endpoint_changed", record, now=info.draining)
      )
    leaving.record_entry(record, info, owner.now)
    record.update(info)
    if record.restart_listed:
      leasecalls.renew_lease(owner, record, now=True)
    stragglers.move_from_leaving(owner, record)
  for name, record in list(owner.endpoints.items()):
    if name not in own_endpoints and record.listed:
      record.listed = False
      owner.emit(ownerstate.endpoint_log("endpoint_unlisted", record))
    if not record.listed and not record.runs and not record.call_pending:
      del owner.endpoints[name]
      if not record.info.draining:
        owner.roster.record_removal(name, owner.now)
  runcontrol.start_waiting_tasks(owner)


def handle_lease_answer(owner: ownerstate.Owner, event: events.LeaseAnswered):
  """Handles a lease call's answer: the endpoint's active and ended runs."""
  record = owner.endpoints.get(event.endpoint)
  if record is None or event.number != record.call_number:
    return
  record.call_pending = False
  owner.call_losses.record_call(event.result is model.CallResult.NO_ANSWER)
  if event.born_ms and event.born_ms < record.born_ms:
    # An earlier incarnation's answer, which came after a later one's.
    leasecalls.renew_lease(owner, record)
    return
  if event.result is model.CallResult.OK:
    record.record_answered_call()
  else:
    record.record_failed_request()
  _detect_restart(owner, record, event)
  update_clock(owner, record, event.clock_ms)
  if event.result is model.CallResult.OK:
    _handle_run_lists(owner, record, event)
  else:
    _handle_failed_call(owner, record, event.result)
  runcontrol.start_waiting_tasks(owner)


def _detect_restart(owner, record, event: events.LeaseAnswered):
  """Begins another incarnation if an endpoint was restarted under its id.

  Its earlier incarnation holds and runs nothing any more. An answer that
  doesn't say when its endpoint started is taken for that of the listed one.
  """
  answered = event.result is model.CallResult.OK
  born_ms = event.born_ms or (record.info.born_ms if answered else 0)
  if born_ms <= record.born_ms:
    return
  if not record.born_ms:
    record.born_ms = born_ms  # The first that is heard of it.
    return
  listed = {running.run for running in event.running}
  lost = [
      run
      for run in record.runs.values()
      if 0 < run.listed_from_call <= event.number and run.id not in listed
  ]
  owner.emit(
      ownerstate.endpoint_log(
          "endpoint_restarted", record, lost=len(lost), born_ms=born_ms
      )
  )
  owner.counters["endpoint_restarted"] += 1
  # Runs that it hasn't confirmed may have crashed the earlier incarnation, too.
  for run in record.runs.values():
    if not (run.id in listed or run.is_at_later_incarnation):
      crashes.record_loss(owner, record, run)
  owner.kept_records.forget_result_numbers(record.info.id)
  record.begin_incarnation(born_ms, owner.now)
  _revoke_late_starts(owner, record)


def _revoke_late_starts(owner, record):
  """Stops runs whose start request may still be carried out, late.

  The earlier incarnation would have refused a second copy of the request, or
  one whose run was stopped; this one knows of neither.
  """
  for late in record.unanswered_starts.recent(owner.now):
    run = record.runs.get(late.run)
    if run is None:
      state = endpointruns.RunState.UNSURE
      run = endpointruns.Run(late.run, late.need, state, owner.now)
      record.add(run)
    runcontrol.stop_possible_run(owner, record, run)


def handle_pause(owner: ownerstate.Owner):
  """Handles a pause of this process: asks all endpoints for their runs."""
  owner.pause_grace_until = owner.now + PAUSE_GRACE_S
  for record in owner.endpoints.values():
    leasecalls.renew_lease(owner, record, now=True)


def _handle_suspension(owner: ownerstate.Owner, seconds: float):
  """Handles a pause that this host's clock doesn't show.

  Nor does it show how old the messages are that are read after it.
  """
  handle_pause(owner)
  owner.record_suspension(seconds)


def record_contact(
    owner: ownerstate.Owner, process, sent_at: float, holder_at: float = 0.0
):
  """Records a coordinator's message, which may show a suspension of this host.

  Args:
    owner: the owner.
    process: the coordinator.
    sent_at: when it was sent, on its clock (s); 0 if it doesn't say.
    holder_at: a time on this host's clock that had passed then (s), modulo
      `linkmessages.CLOCK_PERIOD_S`; 0 if it isn't known.
  """
  gain_s = owner.record_contact(process, sent_at, holder_at)
  if gain_s > SUSPENDED_MIN_S:
    _handle_suspension(owner, gain_s)


def update_clock(owner, record, clock_ms: int | None):
  """Records an endpoint's clock, which may show that this host was suspended.

  The host's own clock may not count the time for which it was suspended.
  """
  gain_ms = record.lease.clock_gain_ms(clock_ms, owner.now)
  record.update_clock(clock_ms, owner.now)
  if gain_ms > SUSPENDED_MIN_MS:
    _handle_suspension(owner, gain_ms / 1000)


def handle_order_answer(
    owner, record, event: events.StartAnswered | events.StopAnswered
):
  """Handles what a start or stop request's answer tells of its endpoint.

  A later incarnation than the known one is asked for its runs at once: the
  numbers of its ends and its clock began anew.
  """
  if event.born_ms in (0, record.born_ms) or not record.born_ms:
    update_clock(owner, record, event.clock_ms)
  elif event.born_ms > record.born_ms:
    record.record_failed_request()
    leasecalls.renew_lease(owner, record, now=True)


def _handle_run_lists(owner, record, event: events.LeaseAnswered):
  first_report = not record.runs_known
  if first_report and event.clock_ms is not None:
    record.lease.cover_earlier(event.clock_ms)
  record.runs_known = True
  record.ended.record_heard_ack()
  for job in crashes.settle_losses(owner, record):
    outcomes.end_job_if_finished(owner, job)
  for ended in event.ended:
    if ended.number > record.ended.last_number:
      record.ended.last_number = ended.number
      outcomes.handle_listed_end(owner, record, ended)
  listed = {r.run for r in event.running}
  progressed = [
      run
      for running in event.running
      if (run := _update_listed_run(owner, record, running)) is not None
  ]
  for run in progressed:
    runpace.handle_progress(owner, record, run)
  for run in progressed:
    stragglers.handle_progress(owner, record, run)
  for run in list(record.runs.values()):
    must_be_listed = (
        run.listed_from_call and event.number >= run.listed_from_call
    )
    if must_be_listed and run.id not in listed:
      # It ended, and an earlier holder acknowledged its end.
      outcomes.finish_run(
          owner, record, run, model.RunOutcome.LOST, "not_listed"
      )
  if first_report:
    owner.endpoint_reported(record.info.id)
    owner.emit(ownerstate.endpoint_log("endpoint_known", record))
  if record.runs:
    leasecalls.renew_lease(owner, record)


def _update_listed_run(
    owner, record, running: model.ActiveRun
) -> endpointruns.Run | None:
  """Updates a run as listed; returns it if it has progressed."""
  run = record.runs.get(running.run)
  if run is None:
    run = endpointruns.Run(
        running.run, None, endpointruns.RunState.RUNNING, owner.now
    )
    run.listed_from_call = record.call_number
    record.add(run)
    adopt_run(owner, record, run)
  elif run.state is endpointruns.RunState.ORDERED:
    run.state = endpointruns.RunState.RUNNING
    run.listed_from_call = record.call_number
  run.is_confirmed = True
  _log_duplicate(owner, record, run)
  if running.percent <= run.percent:
    return None
  run.percent = running.percent
  run.progressed_at = owner.now
  return run


def _log_duplicate(owner, record, run: endpointruns.Run):
  """Logs once that an endpoint runs a task that has another run or is done."""
  job = owner.by_id.get(run.id.task.job_id)
  task = job.tasks.get(run.id.task) if job else None
  if task is None or run.duplicate_logged:
    return
  is_own = run.need is not None
  if task.is_current(run) or (is_own and run in task.previous_runs):
    return
  if task.run is None and task.state is not ownerstate.TaskState.DONE:
    return
  run.duplicate_logged = True
  owner.counters["run_duplicate"] += 1
  owner.emit(
      ownerstate.run_log(
          "run_duplicate",
          record,
          run,
          sends=run.sends,
          abandoned=run.abandoned,
          current_attempt=task.attempt,
          current_endpoint=task.endpoint,
          task_state=task.state.value,
      )
  )


def adopt_run(owner, record, run: endpointruns.Run):
  """Assigns a run found at an endpoint to its task, if its job is known.

  A task that needs no run, or has another one, waits for the end of this one
  before it is started again.
  """
  job = owner.by_id.get(run.id.task.job_id)
  task = job.tasks.get(run.id.task) if job else None
  if task is None:
    return
  outcomes.complete_steps_before(owner, job, task, run.id)
  if task.state is not ownerstate.TaskState.WAITING:
    task.previous_runs.add(run)
    return
  record.adopt(run, task.step.need, task.step.estimate_ms)
  job.waiting.remove(task)
  task.state = ownerstate.TaskState.ACTIVE
  task.run = run.id
  task.attempt = max(task.attempt, run.id.attempt)
  task.endpoint = record.info.id
  owner.counters["adopted"] += 1
  leasecalls.renew_lease(owner, record)
  owner.emit(ownerstate.run_log("run_adopted", record, run))


def _handle_failed_call(owner, record, result: model.CallResult):
  """Handles a lease call that failed or got no answer."""
  if result is model.CallResult.FENCED:
    step_down(owner, record)
  elif result is model.CallResult.GONE:
    remove_old_incarnation(owner, record)
  elif result is model.CallResult.NOT_SENT:
    mark_silent(owner, record)
  elif result is model.CallResult.NO_ANSWER:
    _handle_lost_lease_call(owner, record)
  else:
    record.exclusion.back_off(owner.now)
    record.delay_next_call(owner.now)


def handle_lost_request(owner, record, sent_at: float | None):
  """Handles a start or stop request without an answer.

  If the endpoint has answered another call since, only this one was lost.
  Otherwise the endpoint is suspected to be silent: it is probed with a lease
  call, and gets no new tasks until it answers.

  Args:
    owner: the owner.
    record: the endpoint.
    sent_at: when the request was sent (s); None if that isn't known.
  """
  owner.call_losses.record_call(True)
  if sent_at is not None and record.last_answer_at > sent_at:
    owner.counters["calls_lost"] += 1
    return
  record.suspected_since = owner.now
  record.record_failed_request()
  leasecalls.renew_lease(owner, record, now=True)


def _handle_lost_lease_call(owner, record):
  """Handles a lease call without an answer.

  The call is retried until the endpoint counts as silent. One that has never
  answered counts as silent at once.
  """
  if record.last_answer_at > record.call_sent_at:
    owner.counters["calls_lost"] += 1
    leasecalls.renew_lease(owner, record)
    return
  record.calls_unanswered += 1
  if not record.runs_known or record.calls_unanswered >= MAX_UNANSWERED_CALLS:
    mark_silent(owner, record)
    return
  record.suspected_since = owner.now
  leasecalls.renew_lease(owner, record, now=True)


def mark_silent(owner, record):
  """Marks an endpoint as silent; its lease is left to expire."""
  if record.silent_since is None:
    owner.emit(ownerstate.endpoint_log("endpoint_silent", record))
  record.mark_silent(owner.now)
  record.record_failed_request()
  record.exclusion.back_off(owner.now)
  record.delay_next_call(owner.now)


def step_down(owner, record):
  """Gives up the shard: a host with a higher fencing token has taken over."""
  if not owner.fenced:
    owner.fenced = True
    owner.emit(ownerstate.endpoint_log("fenced", record, fence=owner.fence))


def remove_old_incarnation(owner, record):
  """Removes an endpoint at whose address another incarnation has answered.

  The old incarnation is not called again while the platform still lists it.
  """
  info = record.info
  owner.dead_incarnations.add((info.id, info.address, info.born_ms))
  owner.endpoint_reported(record.info.id)
  remove_endpoint(owner, record, crashed=True)


def remove_endpoint(owner, record, crashed: bool):
  """Removes an endpoint whose runs can no longer be active.

  Args:
    owner: the owner.
    record: the endpoint.
    crashed: True if it surely crashed; False if it has been silent for so long
      that the cause is unknown.
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
