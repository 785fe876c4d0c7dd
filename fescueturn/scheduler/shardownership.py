"""Ownership of this data centre's shards: acquire, give up, hand over."""

import math

from fescueturn.scheduler import coordinator
from fescueturn.scheduler import election
from fescueturn.scheduler import events
from fescueturn.scheduler import handover
from fescueturn.scheduler import keptevents
from fescueturn.scheduler import keptjobs
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler import roster
from fescueturn.scheduler import succession


def handle_holder_change(state, event: events.HolderChanged) -> list:
  """Handles a change of a shard's holder in the store.

  Returns:
    The effects to carry out.
  """
  candidate = state.candidates.get(event.shard)
  if candidate is None:
    return []
  election.handle_holder_change(
      candidate, event.holder, state.now, event.unreadable_revision
  )
  holder = candidate.holder
  if holder is None:
    is_owner = event.shard in state.owners
    if is_owner and state.now < candidate.yield_until:
      return _log_slow_release(state, candidate)
    return []
  if holder.host != state.me.process.host:
    candidate.claimants.record(holder.host, state.now)
  is_mine = (
      linkmessages.HostProcess(holder.host, holder.boot) == state.me.process
  )
  if holder.host == state.me.process.host and not is_mine:
    # The claim is of an earlier process of this host, which has exited.
    election.mark_holder_stale(candidate, state.now)
  owner = state.owners.get(event.shard)
  if not is_mine:
    if owner is not None and owner.fence < holder.fence:
      return drop_owner(state, event.shard, "replaced")
    return []
  if owner is not None and owner.fence >= holder.fence:
    return []
  claim_took_s = silent_s = candidate.last_claim_s(state.now)
  if owner is not None and owner.by_grant:
    silent_s += state.now - owner.taken_at
  # The earlier holder, or this one, may have granted the shard to yet another
  # host, which has held it between the two claims.
  keeps_jobs = owner is not None and not (owner.by_grant or owner.last_granted)
  # 0 if the watch reports the claim, which doesn't tell what it follows.
  if keeps_jobs and event.follows not in (0, owner.fence):
    keeps_jobs = False  # That host's runs are not known here.
  if keeps_jobs and not keptjobs.has_kept_jobs(owner):
    keptjobs.replace_fence(owner, holder.fence, claim_took_s)
    return []
  # Another holder may have written records of kept jobs between the two claims,
  # so the owner's copy of them may be out of date.
  effects_of_drop = drop_owner(state, event.shard, "claimed_anew")
  if holder.fence <= candidate.stepped_down_fence:
    return []
  effects = effects_of_drop + _take_shard(
      state, event.shard, holder.fence, event.follows, silent_s
  )
  state.owners[event.shard].claim_confirmed_at = state.now - claim_took_s
  return effects


def _log_slow_release(state, candidate: election.Candidate) -> list:
  """Logs that the store took long to report a release.

  The releasing host serves the shard until the next claim is reported, as the
  store may turn slow or be cut off before it answers that claim.
  """
  took_s = state.now - candidate.released_at
  if took_s <= succession.PROMPT_ANSWER_S:
    return []
  return [
      events.log(
          "release_slow",
          data_centre=candidate.shard.data_centre,
          took_ms=int(took_s * 1000),
      )
  ]


def _take_shard(
    state, shard: model.Shard, fence: int, follows: int, store_silent_s: float
) -> list:
  # The new owner starts without endpoints: an earlier list may show endpoints
  # as ready that are draining by now, and the I/O shell fetches a fresh one as
  # soon as a shard is owned. The copy of the earlier one is used only if the
  # store doesn't answer.
  endpoints_to_query = roster.inherited_endpoints(
      state.coordinator.holders.get(shard), follows, state.now
  )
  owner = ownerstate.Owner(
      shard,
      fence,
      state.now,
      state.me.ended_job_retention_s,
      endpoints_to_query,
      state.evacuations,
      state.coordinator.endpoint_lists.get(shard),
      store_silent_s,
      state.candidates[shard].claimants,
  )
  state.owners[shard] = owner
  return [
      events.log(
          "shard_taken",
          data_centre=shard.data_centre,
          fence=fence,
          follows=follows,
          endpoints_to_ask=len(endpoints_to_query)
          if endpoints_to_query is not None
          else "unknown",
      ),
      keptevents.LoadKeptJobs(shard, fence),
  ]


def take_granted_shard(
    state,
    shard: model.Shard,
    grant: linkmessages.ShardGranted,
    before: model.Holder,
) -> list:
  """Takes over a shard that its holder, `before`, has granted to this host."""
  effects = drop_owner(state, shard, "replaced")
  effects += _take_shard(state, shard, grant.fence, before.fence, math.inf)
  owner = state.owners[shard]
  owner.by_grant = True
  owner.spare_fences = succession.FenceRange(grant.fence + 1, grant.limit)
  # A host that claims the shard next may know the earlier holder's roster only.
  owner.roster.continue_from(owner.unreported or (), state.now)
  return effects


def step_down(state, owner: ownerstate.Owner, reason: str):
  """Gives up a shard at once; its coordinators wait for the next holder."""
  for process in owner.last_contact:
    owner.send_to_coordinator(process, linkmessages.Pong(holding=False))
  owner.emit(
      events.log(
          "shard_lost",
          data_centre=owner.shard.data_centre,
          fence=owner.fence,
          why=reason,
          jobs=len(owner.jobs),
      )
  )
  state.candidates[owner.shard].stepped_down_fence = owner.fence
  # The caller still takes the owner's last effects.
  state.owners.pop(owner.shard, None)


def drop_owner(state, shard: model.Shard, reason: str) -> list[events.Effect]:
  """Gives up a shard if this host owns it.

  Returns:
    The effects to carry out.
  """
  owner = state.owners.get(shard)
  if owner is None:
    return []
  step_down(state, owner, reason)
  return owner.take_effects()


def mark_holder_stale(
    state, shard, process: linkmessages.HostProcess, grace_s: float
):
  """Marks a shard's holder as stale if the store still names that process."""
  candidate = state.candidates.get(shard)
  holder = candidate.holder if candidate else None
  if holder is None or process == state.me.process:
    return
  if linkmessages.HostProcess(holder.host, holder.boot) == process:
    election.mark_holder_stale(candidate, state.now, grace_s)


def handle_suspected_holder(state, suspect: linkmessages.SuspectedHolder):
  """Marks a suspected holder as stale if it is silent to this host as well."""
  candidate = state.candidates.get(suspect.shard)
  record = state.coordinator.holders.get(suspect.shard)
  if candidate is None or candidate.holder is None or record is None:
    return
  is_mine = suspect.shard in state.owners
  same_claim = candidate.holder.fence == record.holder.fence == suspect.fence
  if (
      not same_claim
      or is_mine
      or not election.may_suspect(candidate, state.now)
  ):
    return
  if coordinator.silent(state.coordinator, record):
    election.mark_holder_stale(candidate, state.now)


def hand_over_shards(state) -> list:
  """Releases the claims of shards that a host with more CPU can take over.

  This host serves the shards until the store reports the next claims.
  """
  effects = []
  for shard, owner in state.owners.items():
    if state.now < state.candidates[shard].yield_until:
      continue
    successor = handover.choose_successor(owner, state.me.cores)
    if successor is not None:
      effects += _release_to(state, owner, successor)
  return effects


def release_shards(state) -> list:
  """Releases a draining host's shards once a successor can claim them.

  Until then this host serves them, at the latest until its process ends.
  """
  effects = []
  for shard, owner in state.owners.items():
    candidate = state.candidates[shard]
    if state.now < candidate.yield_until:
      continue
    answers = succession.store_answers(owner.listed_at, state.now)
    successor = succession.choose_successor(owner.local_hosts, state.now)
    if successor is None or not answers:
      effects += _log_kept_claim(owner, "no_host" if answers else "store_away")
      continue
    effects += _release_to(state, owner, successor)
  return effects


def _log_kept_claim(owner: ownerstate.Owner, why: str) -> list:
  if owner.release_put_off:
    return []
  owner.release_put_off = True
  return [
      events.log(
          "release_put_off",
          data_centre=owner.shard.data_centre,
          fence=owner.fence,
          why=why,
      )
  ]


def _release_to(
    state, owner: ownerstate.Owner, successor: linkmessages.HostProcess
) -> list:
  candidate = state.candidates[owner.shard]
  candidate.yield_until = state.now + handover.YIELD_S
  candidate.released_at = state.now
  owner.successor = successor
  named = linkmessages.Pong(pending=keptjobs.pending(owner), successor=True)
  effects = [
      events.SendToCoordinator(successor, owner.shard, named),
      events.log(
          "shard_released",
          data_centre=owner.shard.data_centre,
          fence=owner.fence,
          successor=successor.host,
          uptime_s=round(owner.local_hosts[successor].uptime_s, 1),
      ),
  ]
  if candidate.holder is not None:
    effects.append(events.ReleaseShard(owner.shard, owner.fence))
  return effects


def give_up_shards(state) -> list:
  """Gives up all shards, as this process ends."""
  effects = []
  for shard, owner in list(state.owners.items()):
    effects.append(events.ReleaseShard(shard, owner.fence))
    effects += drop_owner(state, shard, "stopping")
  return effects


def decide(state, candidate: election.Candidate) -> events.ClaimShard | None:
  """Returns the claim to make for a shard now, if any."""
  holder = state.coordinator.holders.get(candidate.shard)
  holder_alive = holder is not None and coordinator.alive(
      state.coordinator, holder
  )
  return election.decide(
      candidate,
      state.now,
      candidate.shard in state.owners,
      state.draining,
      holder_alive and candidate.shard not in state.owners,
  )
