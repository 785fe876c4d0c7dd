"""The entry host's reducer: applies events to the state, returns effects.

`reduce(state, event, now)` updates an `EntryState` and returns the effects
for the I/O shell to execute. It does no I/O and reads no clock. The decisions
are made in these modules: `jobs` and `dispatch` (a job at its coordinator),
`claiming` (the coordinator's claims), `ownership` (claims held for other
hosts, membership changes) and `placement` (endpoints and the task queue).
"""

from fescueturn import baseline
from fescueturn import claiming
from fescueturn import claims
from fescueturn import dispatch
from fescueturn import events
from fescueturn import jobs
from fescueturn import ownership
from fescueturn import state as state_lib


def new_state(
    name: str,
    boot: str = "",
    limits: state_lib.Limits | None = None,
    naive: bool = False,
) -> state_lib.EntryState:
  """Returns the state of an entry host that has just started.

  Args:
    name: the entry host's name.
    boot: id of this process, different from earlier ones of the same name.
    limits: the settings that the reducer uses.
    naive: True for the benchmark's baseline (see `baseline`).
  """
  limits = limits or state_lib.Limits()
  if naive:
    return baseline.new_state(name, boot, limits)
  return state_lib.EntryState(name, boot, limits, claiming.start_claim_round)


def reduce(
    state: state_lib.EntryState, event: events.Event, now: float | None = None
) -> list[events.Effect]:
  """Applies one event to `state` and returns the effects to execute.

  Args:
    state: the entry host's state; changed in place.
    event: the event to apply.
    now: the timer service's time in seconds; None leaves `state.now` as is.

  Returns:
    The effects, in the order in which to execute them.
  """
  if now is not None:
    state.now = now
  # A host that was paused must end the jobs whose deadline has passed before it
  # acts on what it received meanwhile: their claims may have lapsed.
  effects = _run_due_timers(state)
  effects = effects + _HANDLERS[type(event)](state, event)
  if state.draining and jobs.is_idle(state):
    effects = effects + [events.Drained()]
  return effects


def _run_due_timers(state) -> list:
  effects = []
  while (callback := state.pop_due_timer()) is not None:
    effects += callback(state)
  return effects


def _on_job(state, event: events.JobArrived) -> list:
  waiter = state_lib.Waiter(event.request_id, event.job, event.hops)
  return jobs.handle_request(state, waiter)


def _on_cancel(state, event: events.CancelArrived) -> list:
  waiter = state_lib.Waiter(event.request_id, event.cancel, event.hops)
  return jobs.handle_request(state, waiter)


def _on_peer_request(state, event: events.PeerRequestReceived) -> list:
  """Handles a message from a peer."""
  message = event.message
  if isinstance(message, claims.ForwardJob):
    waiter = state_lib.Waiter(event.request_id, message.job, message.hops)
    return jobs.handle_request(state, waiter)
  if isinstance(message, claims.ForwardCancel):
    waiter = state_lib.Waiter(event.request_id, message.cancel, message.hops)
    return jobs.handle_request(state, waiter)
  if isinstance(message, claims.Release):
    state.claims.release(message)
    return []
  if isinstance(message, claims.AnswerCopy):
    state.claims.merge(message.claim, state.now)
    return []
  reply = _REQUEST_HANDLERS[type(message)](state, message)
  return [events.SendPeerReply(event.request_id, reply)]


_REQUEST_HANDLERS = {
    claims.ClaimRequest: ownership.answer_claim,
    claims.SyncRequest: ownership.answer_sync,
    claims.ProbeRequest: ownership.answer_probe,
}


def _on_peer_reply(state, event: events.PeerReplyReceived) -> list:
  return _REPLY_HANDLERS[type(event.peer_request.message)](state, event)


_REPLY_HANDLERS = {
    claims.ClaimRequest: claiming.handle_claim_reply,
    claims.SyncRequest: ownership.handle_sync_reply,
    claims.ProbeRequest: ownership.handle_probe_reply,
    claims.ForwardJob: claiming.handle_forward_reply,
    claims.ForwardCancel: claiming.handle_forward_reply,
}


def _on_tick(state, event: events.Tick) -> list:
  state.now = event.now
  effects = _run_due_timers(state)
  ownership.remove_expired(state)
  return effects + ownership.start_probe(state) + dispatch.dispatch(state)


def _on_endpoints(state, event: events.EndpointsChanged) -> list:
  state.endpoints.update(event.endpoints)
  return dispatch.dispatch(state)


def _on_members(state, event: events.MembersChanged) -> list:
  before = state.membership.view
  effects = ownership.change_view(state, event)
  if state.membership.view != before:
    effects = effects + claiming.handle_view_change(state)
  return effects + dispatch.dispatch(state)


def _on_lease(state, event: events.LeaseRenewed) -> list:
  ownership.handle_lease_renewal(state, event)
  return []


def _on_team(state, event: events.TeamChanged) -> list:
  current = state.teams.get(event.team)
  if current is not None and current.revision >= event.revision:
    state.counters["stale_settings"] += 1
    return []
  # A removal stays as a tombstone: an older revision that arrives later must
  # not restore the settings.
  entry = state_lib.TeamEntry(event.revision, event.team_settings)
  state.teams[event.team] = entry
  return dispatch.dispatch(state)


def _on_drain(state, event: events.DrainStarted) -> list:
  del event
  state.draining = True
  return []


_HANDLERS = {
    events.JobArrived: _on_job,
    events.CancelArrived: _on_cancel,
    events.PeerRequestReceived: _on_peer_request,
    events.PeerReplyReceived: _on_peer_reply,
    events.StoreClaimed: baseline.store_claimed,
    events.TaskFinished: jobs.task_finished,
    events.EndpointsChanged: _on_endpoints,
    events.MembersChanged: _on_members,
    events.LeaseRenewed: _on_lease,
    events.TeamChanged: _on_team,
    events.Tick: _on_tick,
    events.DrainStarted: _on_drain,
}
