"""Handles the answers of endpoints to start and stop requests.

A request that got no answer may still be carried out, whatever became of its
retry. Its run ends only by what the endpoint lists, or with its lease.
"""

from fescueturn.scheduler import endpointruns
from fescueturn.scheduler import events
from fescueturn.scheduler import leasecalls
from fescueturn.scheduler import leases
from fescueturn.scheduler import model
from fescueturn.scheduler import outcomes
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler import runcontrol


def handle_start_answer(owner: ownerstate.Owner, event: events.StartAnswered):
  """Handles the answer to a start request."""
  record = owner.endpoints.get(event.endpoint)
  run = record.runs.get(event.run) if record else None
  if record is not None:
    leases.handle_order_answer(owner, record, event)
  if run is None:
    return
  if event.result is model.CallResult.OK:
    if event.born_ms in (0, record.born_ms):
      run.is_confirmed = True
    _confirm_start(owner, record, run)
    return
  _handle_failed_start(owner, record, run, event.result)
  runcontrol.start_waiting_tasks(owner)


def _confirm_start(owner, record, run: endpointruns.Run):
  """Marks a run as started: the next lease call lists it or its end."""
  if run.state is endpointruns.RunState.ORDERED:
    run.state = endpointruns.RunState.RUNNING
  run.listed_from_call = run.listed_from_call or record.call_number + 1
  leasecalls.renew_lease(owner, record)


def _handle_failed_start(
    owner, record, run: endpointruns.Run, result: model.CallResult
):
  owner.counters[f"start_{result.value}"] += 1
  owner.emit(
      ownerstate.run_log(
          "start_failed",
          record,
          run,
          result=result.value,
          sends=run.sends,
          age_ms=int((owner.now - run.started_at) * 1000),
          fence=owner.fence,
      )
  )
  if result is model.CallResult.FENCED:
    leases.step_down(owner, record)
    return
  if result is model.CallResult.GONE:
    leases.remove_old_incarnation(owner, record)
    return
  if result is model.CallResult.OLD_ATTEMPT and run.was_resent:
    # An earlier request was carried out and the run has ended, or was stopped.
    _confirm_start(owner, record, run)
    return
  if result is model.CallResult.NO_ANSWER:
    leases.handle_lost_request(owner, record, run.sent_at)
    record.unanswered_starts.record(run)
    is_listed = run.state is endpointruns.RunState.RUNNING
    if not (is_listed or runcontrol.resend_start(owner, record, run)):
      runcontrol.stop_possible_run(owner, record, run)
    return
  if result is model.CallResult.NOT_SENT:
    leases.mark_silent(owner, record)
  elif result is not model.CallResult.LATE:
    record.exclusion.back_off(owner.now)
  if run.state is not endpointruns.RunState.ORDERED:
    return
  if run.was_resent:
    # An earlier request may still be carried out.
    runcontrol.stop_possible_run(owner, record, run)
  else:
    outcomes.finish_run(owner, record, run, model.RunOutcome.LOST, result.value)


def handle_stop_answer(owner: ownerstate.Owner, event: events.StopAnswered):
  """Handles the answer to a stop request."""
  record = owner.endpoints.get(event.endpoint)
  if record is None:
    return
  leases.handle_order_answer(owner, record, event)
  run = record.runs.get(event.run)
  if event.result is model.CallResult.OK:
    if run is not None:
      # The next call lists it as running or ended, or doesn't list it at all.
      run.state = endpointruns.RunState.STOPPING
      run.listed_from_call = record.call_number + 1
      run.stop_sent_at = None
    leasecalls.renew_lease(owner, record, now=True)
    return
  if run is not None:
    _log_failed_stop(owner, record, run, event.result)
  if event.result is model.CallResult.FENCED:
    leases.step_down(owner, record)
  elif event.result is model.CallResult.GONE:
    leases.remove_old_incarnation(owner, record)
  elif event.result is model.CallResult.NOT_SENT:
    leases.mark_silent(owner, record)
  elif event.result is model.CallResult.NO_ANSWER and run is not None:
    leases.handle_lost_request(owner, record, run.stop_sent_at)
    if record.silent_since is None:
      runcontrol.stop_run(owner, record, run)


def _log_failed_stop(owner, record, run, result: model.CallResult):
  """Logs a run's first failed stop request; it is retried until answered."""
  owner.counters[f"stop_{result.value}"] += 1
  run.stop_failures += 1
  if run.stop_failures > 1:
    return
  owner.emit(
      ownerstate.run_log(
          "stop_failed",
          record,
          run,
          result=result.value,
          state=run.state.value,
          age_ms=int((owner.now - run.started_at) * 1000),
          fence=owner.fence,
      )
  )
