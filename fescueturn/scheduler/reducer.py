"""The reducer that handles all of a host's events.

`reduce(state, event, now)` updates a `state.HostState` and returns effects as
data, which the I/O shell executes in order. It does no I/O and reads no clock.
"""

from fescueturn.scheduler import coordinator
from fescueturn.scheduler import election
from fescueturn.scheduler import endpointlist
from fescueturn.scheduler import events
from fescueturn.scheduler import grants
from fescueturn.scheduler import jobdispatch
from fescueturn.scheduler import jobqueries
from fescueturn.scheduler import keptevents
from fescueturn.scheduler import keptjobs
from fescueturn.scheduler import leases
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import offers
from fescueturn.scheduler import owner as owner_lib
from fescueturn.scheduler import ownerroom
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler import roster
from fescueturn.scheduler import runanswers
from fescueturn.scheduler import runcontrol
from fescueturn.scheduler import selffencing
from fescueturn.scheduler import shardownership
from fescueturn.scheduler import state as state_lib
from fescueturn.scheduler import succession
from fescueturn.scheduler import unclaimed

# A gap of this length between ticks shows that this process was paused, so
# missing messages during the gap do not indicate that other hosts failed.
PAUSE_MIN_S = 0.2


def reduce(
    state: state_lib.HostState, event: events.Event, now: float
) -> list[events.Effect]:
  """Applies one event to `state` and returns the effects to execute.

  Args:
    state: the host's state; changed in place.
    event: what happened.
    now: the timer service's time in seconds.
  """
  state.now = now
  state.coordinator.now = now
  if state.coordinator.started_at is None:
    state.coordinator.started_at = now
    state.coordinator.callers_seen_at = now  # There are none yet.
  for owner in state.owners.values():
    owner.now = now
  _handle_own_pause(state, is_tick=isinstance(event, events.Tick))
  extra = _HANDLERS[type(event)](state, event) or []
  effects = state.coordinator.take_effects()
  for owner in list(state.owners.values()):
    if owner.fenced:
      shardownership.step_down(state, owner, "fenced")
    else:
      keptjobs.flush(owner)
    effects += owner.take_effects()
  return effects + extra


def _for_coordinator(function):
  def handle(state, event):
    function(state.coordinator, event)

  return handle


def _on_caller_gone(state, event: events.CallerGone):
  coordinator.handle_caller_disconnect(state.coordinator, event.request_id)


def _on_caller_silent(state, event: events.CallerSilent):
  coordinator.handle_caller_silence(state.coordinator, event.request_id)


def _on_job_cancelled(state, event: events.JobCancelled):
  coordinator.handle_cancellation(state.coordinator, event.job_id)


def _on_holder_changed(state, event: events.HolderChanged) -> list:
  extra = shardownership.handle_holder_change(state, event)
  coordinator.handle_holder_change(state.coordinator, event)
  if event.holder is None and event.shard not in state.candidates:
    for owner in state.owners.values():
      unclaimed.handle_claim_end(owner)
  candidate = state.candidates.get(event.shard)
  if candidate is not None and election.is_named(candidate, state.now):
    extra += _claims(state, [candidate])
  return extra


def _on_shard_released(state, event: events.ShardReleased) -> list:
  holder = state.candidates[event.shard].holder
  if holder is None or holder.fence != event.fence:
    return []  # The watch has reported this, and perhaps the next holder.
  return _on_holder_changed(state, events.HolderChanged(event.shard, None))


def _claims(state, candidates) -> list[events.ClaimShard]:
  claims = [shardownership.decide(state, c) for c in candidates]
  return [claim for claim in claims if claim is not None]


def _on_link_lost(state, event: events.LinkLost):
  if event.refused:
    shardownership.mark_holder_stale(state, event.shard, event.process, 0.0)
  coordinator.handle_link_lost(state.coordinator, event)


def _on_holder_message(state, event: events.HolderMessageReceived) -> list:
  pong = event.message if isinstance(event.message, linkmessages.Pong) else None
  if pong is not None and not pong.holding:
    # The holder stepped down, or another process now runs at its address.
    grace_s = election.NOT_HOLDING_GRACE_S
    shardownership.mark_holder_stale(state, event.shard, event.process, grace_s)
  elif pong is not None and event.shard in state.candidates:
    candidate = state.candidates[event.shard]
    named = candidate.holder
    has_replaced_it = event.shard in state.owners  # By a grant.
    if named and event.process.boot == named.boot and not has_replaced_it:
      election.mark_holder_alive(candidate)
    if pong.successor:
      election.name_successor(candidate, state.now)
      shardownership.mark_holder_stale(state, event.shard, event.process, 0.0)
  if isinstance(event.message, linkmessages.ShardGranted):
    return grants.handle_grant(state, event.shard, event.process, event.message)
  if isinstance(event.message, linkmessages.HolderMoved):
    grants.handle_moved(state, event.shard, event.process, event.message)
    return []
  coordinator.handle_message(state.coordinator, event)
  for suspect in pong.confirmed_suspects if pong is not None else ():
    shardownership.handle_suspected_holder(state, suspect)
  return []


def _on_endpoints_listed(state, event: events.EndpointsListed):
  for owner in state.owners.values():
    is_first_list = owner.listed_at is None
    owner.list_took_s = event.took_s
    leases.handle_endpoint_list(
        owner, event.endpoints, event.took_s, event.shows_claims
    )
    if is_first_list:
      offers.recheck_admissions(owner)


def _use_inherited_list(owner: ownerstate.Owner):
  """Serves from a copy of the list of endpoints if the store doesn't answer."""
  waited_s = owner.now - owner.taken_at
  known = owner.inherited
  if known is None or waited_s < endpointlist.STORE_WAIT_S:
    return
  if owner.listed_at is not None:
    owner.inherited = None
  elif known.usable(owner.now, waited_s + owner.store_silent_s):
    owner.inherited = None
    leases.use_inherited_list(owner, known)
    offers.recheck_admissions(owner)


def _on_offered(state, event: linkmessages.Offered) -> list:
  owner = state.owners.get(event.shard)
  if owner is None:
    # The decline goes first because only it names the offer that was declined.
    process = event.key.process
    decline = linkmessages.Declined(event.key, event.number, 0)
    return [
        events.SendToCoordinator(process, event.shard, decline),
        _not_holding_reply(process, event.shard),
    ]
  handle = keptjobs.handle_offer if event.job.kept else offers.handle_offer
  handle(owner, event)
  return []


def _not_holding_reply(process: linkmessages.HostProcess, shard: model.Shard):
  return events.SendToCoordinator(
      process, shard, linkmessages.Pong(holding=False)
  )


def _on_withdrawn(state, event: linkmessages.Withdrawn) -> list:
  owner = state.owners.get(event.shard)
  if owner is not None:
    offers.handle_withdrawal(owner, event.key)
  if not event.number:
    return []
  return [events.SendToCoordinator(event.key.process, event.shard, event)]


def _on_ping(state, event: linkmessages.Ping) -> list:
  owner = state.owners.get(event.shard)
  if owner is None:
    return [_not_holding_reply(event.process, event.shard)]
  leases.record_contact(owner, event.process, event.at, event.holder_at)
  if owner.trust(event):
    runcontrol.start_waiting_tasks(owner)
  if event.uptime_s:
    owner.knows_moves.add(event.process)
  is_local = event.roster is not None
  if is_local and event.process != state.me.process:
    host = succession.LocalHost(
        state.now, event.can_hold, event.draining, event.uptime_s
    )
    succession.record(owner.local_hosts, event.process, host)
    owner.record_claimant(event.process)
  owner.holder_suspicions.report(event.process, event.suspects, state.now)
  owner.send_to_coordinator(event.process, _pong(owner, event))
  endpoint_list = owner.shared_list.message_for(event, state.now)
  if endpoint_list is not None:
    owner.send_to_coordinator(event.process, endpoint_list)
  report = ownerroom.report(owner) if event.wants_room else None
  if report is not None:
    message = linkmessages.RoomReported(report, event.at)
    owner.send_to_coordinator(event.process, message)
  return []


def _pong(
    owner: ownerstate.Owner, ping: linkmessages.Ping
) -> linkmessages.Pong:
  """Returns the response to a ping."""
  update = roster.NO_UPDATE
  if ping.roster is not None and owner.recovered:
    # Before the owner has recovered, runs of the previous holder may be active
    # on endpoints that the roster does not contain.
    update = owner.roster.update_for(ping.roster, owner.endpoints, owner.now)
  return linkmessages.Pong(
      pending=keptjobs.pending(owner),
      at=ping.at,
      roster=update.version,
      endpoints=update.endpoints,
      confirmed_suspects=owner.holder_suspicions.confirmed(owner.now),
      list_version=owner.shared_list.version,
      list_age_s=owner.shared_list.age_s(owner.now),
      successor=ping.process == owner.successor,
      sent_at=owner.now,
  )


def _for_owner(function):
  def handle(state, event):
    owner = state.owners.get(event.shard)
    if owner is not None:
      function(owner, event)

  return handle


def _on_kept_job_query(state, event: keptevents.KeptJobQuery) -> list:
  owner = state.owners.get(event.shard)
  if owner is None:
    return [_not_holding_reply(event.process, event.shard)]
  keptjobs.handle_state_query(owner, event)
  return []


def _for_endpoint(function):
  def handle(state, event):
    for owner in state.owners.values():
      # An earlier owner's requests may name the same run or call number.
      own = event.fence >= owner.first_fence
      if own and event.endpoint in owner.endpoints:
        function(owner, event)

  return handle


def _on_kept_jobs_written(state, event: keptevents.KeptJobsWritten):
  owner = state.owners.get(event.shard)
  if owner is None:
    return
  keptjobs.handle_write_result(owner, event)
  moved, owner.moved_jobs = owner.moved_jobs, []
  for job_id, shard in moved:
    jobqueries.announce_move(state.coordinator, job_id, shard)


def _on_tick(state, event: events.Tick) -> list:
  seen_at = event.callers_seen_at
  coordinator.tick(state.coordinator, state.now if seen_at is None else seen_at)
  for owner in state.owners.values():
    _use_inherited_list(owner)
    owner_lib.tick(owner)
    _move_kept_jobs(state, owner)
  if state.draining:
    effects = shardownership.release_shards(state)
  else:
    effects = shardownership.hand_over_shards(state)
  if state.ending:
    effects += grants.grant_shards(state)
  return effects + _claims(state, state.candidates.values())


def _move_kept_jobs(state, owner: ownerstate.Owner):
  """Moves kept jobs that can't be run in their data centre, or not now.

  While data centres are evacuated, it also lists the shard's open jobs, to find
  jobs that were moved to it.
  """
  shards = [
      shard
      for shard in state.coordinator.holders
      if shard != owner.shard and jobdispatch.usable(state.coordinator, shard)
  ]
  owner_lib.move_kept_jobs(owner, sorted(shards, key=lambda s: s.data_centre))
  if state.evacuations.any_recent(state.now):
    keptjobs.request_open_list(owner)


def _handle_own_pause(state, is_tick: bool):
  """Handles a pause of this process, which shows in its first event after it.

  Other hosts were not silent meanwhile, and may have taken over its shards.
  """
  last = state.last_tick_at
  was_paused = last is not None and state.now - last >= PAUSE_MIN_S
  if is_tick or was_paused:
    state.last_tick_at = state.now
  if not was_paused:
    return
  for owner in state.owners.values():
    leases.handle_pause(owner)
  coordinator.handle_pause(state.coordinator, state.now - last)


def _on_evacuations_changed(state, event: events.EvacuationsChanged) -> list:
  lines = state.evacuations.update(event.evacuations, state.now)
  for owner in state.owners.values():
    owner_lib.hand_back_jobs(owner)
    runcontrol.start_waiting_tasks(owner)
  coordinator.offer_held_jobs(state.coordinator)
  return lines


def _on_claim_answered(state, event: events.ClaimAnswered):
  election.handle_claim_answer(state.candidates[event.shard], state.now)


def _on_drain_started(state, event: events.DrainStarted) -> list:
  """Releases the shards that other hosts can take over during a shutdown."""
  del event
  state.draining = True
  state.coordinator.draining = True
  state.coordinator.can_hold = False
  return shardownership.release_shards(state)


def _on_drain_ending(state, event: events.DrainEnding) -> list:
  del event
  state.ending = True
  return grants.grant_shards(state)


def _on_claims_read(state, event: events.ClaimsRead):
  grants.handle_claims_read(state, event)
  for shard, owner in state.owners.items():
    owner.record_store_answer(event.took_s)
    holder = state.candidates[shard].holder
    if holder is not None and holder.fence == owner.fence:
      owner.confirm_claim(event.took_s)
    selffencing.handle_claims_read(owner)


def _on_grant_taken(state, event: linkmessages.GrantTaken) -> list:
  return grants.handle_grant_taken(state, event)


def _on_process_ending(state, event: events.ProcessEnding) -> list:
  del event
  coordinator.abort_all(state.coordinator)
  return shardownership.give_up_shards(state)


_HANDLERS = {
    events.JobArrived: _for_coordinator(coordinator.handle_job),
    events.CallerGone: _on_caller_gone,
    events.CallerSilent: _on_caller_silent,
    events.JobCancelled: _on_job_cancelled,
    events.HolderChanged: _on_holder_changed,
    events.HolderMessageReceived: _on_holder_message,
    events.LinkLost: _on_link_lost,
    events.EndpointsListed: _on_endpoints_listed,
    linkmessages.Offered: _on_offered,
    linkmessages.Withdrawn: _on_withdrawn,
    linkmessages.Ping: _on_ping,
    events.StartAnswered: _for_endpoint(runanswers.handle_start_answer),
    events.StopAnswered: _for_endpoint(runanswers.handle_stop_answer),
    events.LeaseAnswered: _for_endpoint(leases.handle_lease_answer),
    events.Tick: _on_tick,
    events.ClaimAnswered: _on_claim_answered,
    events.ShardReleased: _on_shard_released,
    events.EvacuationsChanged: _on_evacuations_changed,
    events.DrainStarted: _on_drain_started,
    events.ClaimsRead: _on_claims_read,
    events.DrainEnding: _on_drain_ending,
    linkmessages.GrantTaken: _on_grant_taken,
    events.ProcessEnding: _on_process_ending,
    keptevents.KeptJobQueryArrived: _for_coordinator(jobqueries.handle_query),
    keptevents.KeptJobQuery: _on_kept_job_query,
    keptevents.KeptJobsLoaded: _for_owner(keptjobs.handle_records_loaded),
    keptevents.KeptJobsWritten: _on_kept_jobs_written,
    keptevents.EndedJobsListed: _for_owner(keptjobs.handle_ended_list),
    keptevents.OpenJobsListed: _for_owner(keptjobs.handle_open_list),
    keptevents.UnclaimedFound: _for_owner(unclaimed.handle_found),
    keptevents.JobsTakenOver: _for_owner(unclaimed.handle_taken_over),
}
