"""An owner and its endpoints: their list, their leases, what runs there.

Every answer of an endpoint comes in here. No endpoint is given more than its
capacity, orders without an answer counted.
"""

from fescueturn.scheduler import crashes
from fescueturn.scheduler import events
from fescueturn.scheduler import ledger
from fescueturn.scheduler import model
from fescueturn.scheduler import orders
from fescueturn.scheduler import outcomes
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler import progress
from fescueturn.scheduler import roster

# A lease call waits this long for an end; the next one then renews the lease
# with 500 of its 800 ms left for a lost call and its repeat.
LEASE_CALL_WAIT_MS = 300
# The same while calls are lost: the ends that a lost call would have told are
# known this much later, and the shortest tasks have 96 ms to spare.
LOSSY_CALL_WAIT_MS = 60
# Lease calls without an answer, one after the other, that make an endpoint count
# as silent: with three in ten calls lost, three are one time in forty.
CALLS_TO_SILENCE = 3


def endpoints_listed(
    owner: ownerstate.Owner, listed: tuple[model.Endpoint, ...]
):
  """Takes the platform's list; new endpoints are asked what runs there."""
  owner.listed_at = owner.now
  owner.list_sizes(listed)
  own = {e.id: e for e in listed if e.data_centre == owner.shard.data_centre}
  owner.gone &= {(e.id, e.address) for e in own.values()}
  for job in crashes.other_lives(owner, own.values()):
    outcomes.end_if_over(owner, job)
  for name, info in own.items():
    record = owner.endpoints.get(name)
    if record is None and (name, info.address) in owner.gone:
      continue
    if record is None:
      record = ledger.EndpointRecord(info, owner.now)
      if owner.roster.lacks(name, owner.now):
        record.hold_back(owner.now + roster.JOIN_WAIT_S)
      owner.endpoints[name] = record
      owner.out(ownerstate.endpoint_log("endpoint_seen", record))
      call_lease(owner, record)
      continue
    if record.info.draining != info.draining or not record.listed:
      owner.out(
          ownerstate.endpoint_log("endpoint_changed", record, now=info.draining)
      )
    record.update(info)
  for name, record in list(owner.endpoints.items()):
    if name not in own and record.listed:
      record.listed = False
      owner.out(ownerstate.endpoint_log("endpoint_unlisted", record))
    if not record.listed and not record.runs and not record.call_waits:
      del owner.endpoints[name]
      if not record.info.draining:
        owner.roster.dropped(name, owner.now)
  orders.place(owner)


def call_lease(
    owner: ownerstate.Owner, record: ledger.EndpointRecord, now: bool = False
):
  """Renews the endpoint's lease and asks for its runs, unless a call is out.

  Args:
    owner: the owner.
    record: the endpoint.
    now: True to have the answer at once; a call that waits for an end is then
      made anew without a wait, and its own answer ignored.
  """
  if record.call_waits and not (now and record.call_lingers):
    return
  since_s = owner.now - record.call_sent_at
  if record.unsaved and since_s < ledger.UNSAVED_CALL_S:
    return
  record.call_number += 1
  record.call_waits = True
  record.call_sent_at = owner.now
  record.told_seen = record.acknowledged
  wait_ms = 0 if now else _call_wait_ms(owner, record)
  record.call_lingers = wait_ms > 0
  owner.out(
      events.RenewLease(
          record.info,
          record.call_number,
          record.told_seen,
          _lease_end(owner, record),
          wait_ms,
          owner.fence,
      )
  )


def _call_wait_ms(owner, record: ledger.EndpointRecord) -> int:
  """Returns how long a call waits for an end: not for runs being settled."""
  if not record.known or not record.runs or record.settles_run:
    return 0
  return LOSSY_CALL_WAIT_MS if owner.losses.lossy else LEASE_CALL_WAIT_MS


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


def lease_answered(owner: ownerstate.Owner, event: events.LeaseAnswered):
  """Takes an endpoint's list of runs and ends."""
  record = owner.endpoints.get(event.endpoint)
  if record is None or event.number != record.call_number:
    return
  record.call_waits = False
  owner.losses.note(event.result is model.CallResult.NO_ANSWER)
  record.note_clock(event.clock_ms, owner.now)
  if event.result is model.CallResult.OK:
    _take_lists(owner, record, event)
  else:
    _call_failed(owner, record, event.result)
  orders.place(owner)


def _take_lists(owner, record, event: events.LeaseAnswered):
  newly_known = not record.known
  record.known = True
  crashes.endpoint_lives(owner, record.info.id)
  for ended in event.ended:
    if ended.number > record.last_seen:
      record.last_seen = ended.number
      outcomes.end_listed(owner, record, ended)
  listed = {r.run for r in event.running}
  for running in event.running:
    _run_listed(owner, record, running)
  for run in list(record.runs.values()):
    shown = run.settled_at and event.number >= run.settled_at
    if shown and run.id not in listed:
      # It ended, and its end was acknowledged by an earlier holder's call.
      outcomes.run_over(owner, record, run, model.EndHow.LOST, "not_listed")
  if newly_known:
    owner.heard_from(record.info.id)
    owner.out(ownerstate.endpoint_log("endpoint_known", record))
  if record.runs:
    call_lease(owner, record)


def _run_listed(owner, record, running: model.Running):
  run = record.runs.get(running.run)
  if run is None:
    run = ledger.Run(running.run, None, ledger.RunState.RUNNING, owner.now)
    run.settled_at = record.call_number
    record.add(run)
    adopt(owner, record, run)
  elif run.state is ledger.RunState.ORDERED:
    run.state = ledger.RunState.RUNNING
    run.settled_at = record.call_number
  if running.percent > run.percent:
    run.percent = running.percent
    run.moved_at = owner.now
    progress.note(owner, record, run)


def adopt(owner, record, run: ledger.Run):
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
  call_lease(owner, record)
  owner.out(ownerstate.run_log("run_adopted", record, run))


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
    record.call_later(owner.now)


def _order_lost(owner, record, sent_at: float | None):
  """An order got no answer: it was lost, or the endpoint is silent.

  One that answered another call meanwhile has only lost this one. Else a call
  tells, and it gets no new tasks until then.
  """
  owner.losses.note(True)
  if sent_at is not None and record.heard_at > sent_at:
    owner.counters["calls_lost"] += 1
    return
  record.doubted_since = owner.now
  call_lease(owner, record, now=True)


def _lease_call_lost(owner, record):
  """A lease call got no answer: it is made again, or the endpoint is silent."""
  if record.heard_at > record.call_sent_at:
    owner.counters["calls_lost"] += 1
    call_lease(owner, record)
    return
  record.calls_unanswered += 1
  if not record.known or record.calls_unanswered >= CALLS_TO_SILENCE:
    _unreached(owner, record)
    return
  record.doubted_since = owner.now
  call_lease(owner, record, now=True)


def _unreached(owner, record):
  if record.silent_since is None:
    owner.out(ownerstate.endpoint_log("endpoint_silent", record))
  record.silent(owner.now)
  record.back_off(owner.now)
  record.call_later(owner.now)


def _stand_down(owner, record):
  """A host with a higher fence number holds the endpoint: stop at once."""
  if not owner.fenced:
    owner.fenced = True
    owner.out(ownerstate.endpoint_log("fenced", record, fence=owner.fence))


def _other_life(owner, record):
  """Another life answered at its address: this one is not asked for again."""
  owner.gone.add((record.info.id, record.info.address))
  owner.heard_from(record.info.id)
  endpoint_gone(owner, record, crashed=True)


def endpoint_gone(owner, record, crashed: bool):
  """Nothing of this life of a machine is left.

  Args:
    owner: the owner.
    record: the endpoint.
    crashed: False if it was last heard so long ago that it can't be told.
  """
  owner.out(ownerstate.endpoint_log("endpoint_gone", record, crashed=crashed))
  record.listed = False
  for run in list(record.runs.values()):
    crashes.note_loss(owner, record, run)
    outcomes.run_over(owner, record, run, model.EndHow.LOST, "endpoint_gone")
  owner.endpoints.pop(record.info.id, None)
  if not crashed:
    crashes.endpoint_lives(owner, record.info.id)
    return
  info = record.info
  for job in crashes.endpoint_crashed(owner, info.id, info.address):
    outcomes.end_if_over(owner, job)


def start_answered(owner: ownerstate.Owner, event: events.StartAnswered):
  """Takes the answer to an order to start."""
  record = owner.endpoints.get(event.endpoint)
  run = record.runs.get(event.run) if record else None
  if record is not None:
    record.note_clock(event.clock_ms, owner.now)
  if run is None:
    return
  if event.result is model.CallResult.OK:
    _settle(owner, record, run)
    return
  _start_failed(owner, record, run, event.result)
  orders.place(owner)


def _settle(owner, record, run: ledger.Run):
  """A run was surely begun: the next lease call shows it, or its end."""
  if run.state is ledger.RunState.ORDERED:
    run.state = ledger.RunState.RUNNING
  run.settled_at = run.settled_at or record.call_number + 1
  call_lease(owner, record)


def _start_failed(owner, record, run: ledger.Run, result: model.CallResult):
  owner.counters[f"start_{result.value}"] += 1
  owner.out(
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
    if orders.start_again(owner, record, run):
      return
    if run.state is ledger.RunState.ORDERED:
      run.state = ledger.RunState.UNSURE
    orders.stop(owner, record, run)
    return
  if result is model.CallResult.NOT_SENT:
    _unreached(owner, record)
  elif result is not model.CallResult.LATE:
    record.back_off(owner.now)
  if run.state is ledger.RunState.ORDERED:
    outcomes.run_over(owner, record, run, model.EndHow.LOST, result.value)


def stop_answered(owner: ownerstate.Owner, event: events.StopAnswered):
  """Takes the answer to an order to stop."""
  record = owner.endpoints.get(event.endpoint)
  if record is None:
    return
  record.note_clock(event.clock_ms, owner.now)
  run = record.runs.get(event.run)
  if event.result is model.CallResult.OK:
    if run is not None:
      # The next call shows it running, ended or not there at all.
      run.state = ledger.RunState.STOPPING
      run.settled_at = record.call_number + 1
      run.stop_sent_at = None
    call_lease(owner, record, now=True)
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
      orders.stop(owner, record, run)
