"""One reducer over all of a host's events, with effects as data.

`reduce(state, event, now)` changes a `state.HostState` and returns the effects
for the I/O shell to carry out, in order. It does no I/O and reads no clock.
"""

from fescueturn.scheduler import asking
from fescueturn.scheduler import coordinator
from fescueturn.scheduler import election
from fescueturn.scheduler import events
from fescueturn.scheduler import holding
from fescueturn.scheduler import keptevents
from fescueturn.scheduler import keptjobs
from fescueturn.scheduler import leases
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import offering
from fescueturn.scheduler import offers
from fescueturn.scheduler import orders
from fescueturn.scheduler import owner as owner_lib
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler import roster
from fescueturn.scheduler import state as state_lib

# A tick that comes this late shows that the process stood still, so that the
# silence of others meanwhile says nothing of them.
PAUSE_S = 0.2


def reduce(
    state: state_lib.HostState, event: events.Event, now: float
) -> list[events.Effect]:
  """Applies one event to `state` and returns the effects to carry out.

  Args:
    state: the host's state; changed in place.
    event: what happened.
    now: the timer service's time in seconds.
  """
  state.now = now
  state.coordinator.now = now
  for owner in state.owners.values():
    owner.now = now
  extra = _HANDLERS[type(event)](state, event) or []
  effects = state.coordinator.take_effects()
  for owner in list(state.owners.values()):
    if owner.fenced:
      holding.stand_down(state, owner, "fenced")
    else:
      keptjobs.flush(owner)
    effects += owner.take_effects()
  return effects + extra


def _for_coordinator(function):
  def handle(state, event):
    function(state.coordinator, event)

  return handle


def _on_caller_gone(state, event: events.CallerGone):
  coordinator.caller_gone(state.coordinator, event.request_id)


def _on_job_cancelled(state, event: events.JobCancelled):
  coordinator.job_cancelled(state.coordinator, event.job_id)


def _on_holder_changed(state, event: events.HolderChanged) -> list:
  extra = holding.holder_changed(state, event)
  coordinator.holder_changed(state.coordinator, event)
  return extra


def _on_link_lost(state, event: events.LinkLost):
  if event.refused:
    holding.holder_gone(state, event.shard, event.party, 0.0)
  coordinator.link_lost(state.coordinator, event)


def _on_heard(state, event: events.Heard):
  pong = event.message if isinstance(event.message, linkmessages.Pong) else None
  if pong is not None and not pong.holding:
    # The holder stood down, or another process runs at its address.
    grace_s = election.NOT_HOLDING_GRACE_S
    holding.holder_gone(state, event.shard, event.party, grace_s)
  elif pong is not None and event.shard in state.candidates:
    election.holder_present(state.candidates[event.shard])
  coordinator.heard(state.coordinator, event)
  for doubt in pong.agreed if pong is not None else ():
    holding.holder_doubted(state, doubt)


def _on_listed(state, event: events.EndpointsListed):
  for owner in state.owners.values():
    listed_first = owner.listed_at is None
    leases.endpoints_listed(owner, event.endpoints)
    if listed_first:
      offers.review(owner)


def _on_offered(state, event: linkmessages.Offered) -> list:
  owner = state.owners.get(event.shard)
  if owner is None:
    # The decline first: it says that this very offer was not taken.
    party = event.key.party
    decline = linkmessages.Declined(event.key, event.number, 0)
    return [
        events.TellCoordinator(party, event.shard, decline),
        _not_holding(party, event.shard),
    ]
  take = keptjobs.offered if event.job.kept else offers.offered
  take(owner, event)
  return []


def _not_holding(party: linkmessages.Party, shard: model.Shard):
  return events.TellCoordinator(party, shard, linkmessages.Pong(holding=False))


def _on_withdrawn(state, event: linkmessages.Withdrawn):
  owner = state.owners.get(event.shard)
  if owner is not None:
    offers.withdrawn(owner, event.key)


def _on_ping(state, event: linkmessages.Ping) -> list:
  owner = state.owners.get(event.shard)
  if owner is None:
    return [_not_holding(event.party, event.shard)]
  owner.heard[event.party] = state.now
  if event.can_hold:
    owner.successors[event.party] = state.now
  else:
    owner.successors.pop(event.party, None)
  owner.doubts.note(event.party, event.doubts, state.now)
  owner.tell(event.party, _pong(owner, event))
  return []


def _pong(
    owner: ownerstate.Owner, ping: linkmessages.Ping
) -> linkmessages.Pong:
  """Returns the answer to a ping."""
  told = roster.NOTHING_TOLD
  if ping.roster is not None and owner.settled:
    # Before that, runs of the holder before may go on elsewhere.
    told = owner.roster.tell(ping.roster, owner.endpoints, owner.now)
  return linkmessages.Pong(
      pending=tuple(sorted(keptjobs.pending(owner).items())),
      at=ping.at,
      roster=told.version,
      endpoints=told.endpoints,
      agreed=owner.doubts.agreed(owner.now),
  )


def _for_owner(function):
  def handle(state, event):
    owner = state.owners.get(event.shard)
    if owner is not None:
      function(owner, event)

  return handle


def _on_asked(state, event: keptevents.Asked) -> list:
  owner = state.owners.get(event.shard)
  if owner is None:
    return [_not_holding(event.party, event.shard)]
  keptjobs.asked(owner, event)
  return []


def _for_endpoint(function):
  def handle(state, event):
    for owner in state.owners.values():
      if event.endpoint in owner.endpoints:
        function(owner, event)

  return handle


def _on_tick(state, event: events.Tick) -> list:
  del event
  _forgive_pause(state)
  coordinator.tick(state.coordinator)
  for owner in state.owners.values():
    owner_lib.tick(owner)
    _move_kept(state, owner)
  effects = holding.hand_on(state)
  claims = [holding.decide(state, c) for c in state.candidates.values()]
  return effects + [claim for claim in claims if claim is not None]


def _move_kept(state, owner: ownerstate.Owner):
  """Moves kept jobs out of evacuated data centres, and takes up those moved."""
  if not state.evacuations.any_of_late(state.now):
    return
  shards = [
      shard
      for shard in state.coordinator.holders
      if shard != owner.shard and offering.usable(state.coordinator, shard)
  ]
  owner_lib.move_kept_jobs(owner, sorted(shards, key=lambda s: s.data_centre))
  keptjobs.list_open(owner)


def _forgive_pause(state):
  """Counts a pause of this process as nobody else's silence."""
  last, state.ticked_at = state.ticked_at, state.now
  if last is None or state.now - last < PAUSE_S:
    return
  for owner in state.owners.values():
    owner.patient_until = state.now + owner_lib.AFTER_PAUSE_S
  for holder in state.coordinator.holders.values():
    holder.heard_at += state.now - last


def _on_evacuations(state, event: events.EvacuationsChanged) -> list:
  lines = state.evacuations.take(event.evacuations, state.now)
  for owner in state.owners.values():
    owner_lib.hand_back_jobs(owner)
    orders.place(owner)
  coordinator.offer_held(state.coordinator)
  return lines


def _on_claim_answered(state, event: events.ClaimAnswered):
  election.claim_answered(state.candidates[event.shard], state.now)


def _on_drain(state, event: events.DrainStarted) -> list:
  """A planned stop: other hosts take the shards over while this one ends."""
  del event
  state.draining = True
  state.coordinator.can_hold = False
  effects = []
  for shard, owner in list(state.owners.items()):
    effects.append(events.ReleaseShard(shard, owner.fence))
    effects += holding.drop_owner(state, shard, "draining")
  return effects


def _on_ending(state, event: events.ProcessEnding):
  del event
  coordinator.give_up_all(state.coordinator)


_HANDLERS = {
    events.JobArrived: _for_coordinator(coordinator.job_arrived),
    events.CallerGone: _on_caller_gone,
    events.JobCancelled: _on_job_cancelled,
    events.HolderChanged: _on_holder_changed,
    events.Heard: _on_heard,
    events.LinkLost: _on_link_lost,
    events.EndpointsListed: _on_listed,
    linkmessages.Offered: _on_offered,
    linkmessages.Withdrawn: _on_withdrawn,
    linkmessages.Ping: _on_ping,
    events.StartAnswered: _for_endpoint(leases.start_answered),
    events.StopAnswered: _for_endpoint(leases.stop_answered),
    events.LeaseAnswered: _for_endpoint(leases.lease_answered),
    events.Tick: _on_tick,
    events.ClaimAnswered: _on_claim_answered,
    events.EvacuationsChanged: _on_evacuations,
    events.DrainStarted: _on_drain,
    events.ProcessEnding: _on_ending,
    keptevents.QuestionArrived: _for_coordinator(asking.question_arrived),
    keptevents.Asked: _on_asked,
    keptevents.KeptLoaded: _for_owner(keptjobs.loaded),
    keptevents.KeptWritten: _for_owner(keptjobs.written),
    keptevents.EndedListed: _for_owner(keptjobs.ended_listed),
    keptevents.OpenListed: _for_owner(keptjobs.open_listed),
}
