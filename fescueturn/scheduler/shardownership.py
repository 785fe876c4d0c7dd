"""Who holds this host's shards: taken, given up, or left to another host."""

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


def handle_holder_change(state, event: events.HolderChanged) -> list:
  """Takes it that the store names another holder of one of these shards."""
  candidate = state.candidates.get(event.shard)
  if candidate is None:
    return []
  election.handle_holder_change(
      candidate, event.holder, state.now, event.unreadable_revision
  )
  holder = candidate.holder
  if holder is None and state.now < candidate.yield_until:
    return drop_owner(state, event.shard, "roomier_host")
  if holder is None:
    return []
  mine = linkmessages.HostProcess(holder.host, holder.boot) == state.me.process
  if holder.host == state.me.process.host and not mine:
    # This host's own process of before, which is gone.
    election.mark_holder_stale(candidate, state.now)
  owner = state.owners.get(event.shard)
  if not mine:
    if owner is not None and owner.fence < holder.fence:
      return drop_owner(state, event.shard, "replaced")
    return []
  if owner is not None and owner.fence >= holder.fence:
    return []
  if owner is not None and not keptjobs.has_kept_jobs(owner):
    keptjobs.replace_fence(owner, holder.fence)
    return []
  # Another holder may have written kept jobs' records between the two claims.
  lost = drop_owner(state, event.shard, "claimed_anew")
  if holder.fence <= candidate.stepped_down_fence:
    return []
  return lost + _take_shard(state, event.shard, holder.fence, event.follows)


def _take_shard(state, shard: model.Shard, fence: int, follows: int) -> list:
  # A list from before may show endpoints as ready that are draining by now;
  # the shell fetches a fresh one as soon as a shard is owned.
  left = roster.inherited_endpoints(
      state.coordinator.holders.get(shard), follows, state.now
  )
  state.owners[shard] = ownerstate.Owner(
      shard,
      fence,
      state.now,
      state.me.ended_job_retention_s,
      left,
      state.evacuations,
  )
  return [
      events.log(
          "shard_taken",
          data_centre=shard.data_centre,
          fence=fence,
          follows=follows,
          endpoints_to_ask=len(left) if left is not None else "unknown",
      ),
      keptevents.LoadKeptJobs(shard, fence),
  ]


def step_down(state, owner: ownerstate.Owner, why: str):
  """Gives up ownership at once; its coordinators wait for the next holder."""
  for process in owner.last_contact:
    owner.send_to_coordinator(process, linkmessages.Pong(holding=False))
  owner.emit(
      events.log(
          "shard_lost",
          data_centre=owner.shard.data_centre,
          fence=owner.fence,
          why=why,
          jobs=len(owner.jobs),
      )
  )
  state.candidates[owner.shard].stepped_down_fence = owner.fence
  # The last effects are taken by the caller, then nothing refers to it.
  state.owners.pop(owner.shard, None)


def drop_owner(state, shard: model.Shard, why: str) -> list[events.Effect]:
  """Gives up a shard, if it is held here; returns the effects of that."""
  owner = state.owners.get(shard)
  if owner is None:
    return []
  step_down(state, owner, why)
  return owner.take_effects()


def mark_holder_stale(
    state, shard, process: linkmessages.HostProcess, grace_s: float
):
  """The process that the store names as holder surely isn't one any more."""
  candidate = state.candidates.get(shard)
  holder = candidate.holder if candidate else None
  if holder is None or process == state.me.process:
    return
  if linkmessages.HostProcess(holder.host, holder.boot) == process:
    election.mark_holder_stale(candidate, state.now, grace_s)


def handle_suspected_holder(state, doubt: linkmessages.SuspectedHolder):
  """Enough hosts don't hear a holder: it is replaced, if this one doesn't."""
  candidate = state.candidates.get(doubt.shard)
  record = state.coordinator.holders.get(doubt.shard)
  if candidate is None or candidate.holder is None or record is None:
    return
  mine = doubt.shard in state.owners
  same = candidate.holder.fence == record.holder.fence == doubt.fence
  if not same or mine or not election.may_suspect(candidate, state.now):
    return
  if coordinator.silent(state.coordinator, record):
    election.mark_holder_stale(candidate, state.now)


def hand_over_shards(state) -> list:
  """Releases the claims of shards that another host is better able to carry.

  The shards are served until the store says that the claims are gone.
  """
  effects = []
  for shard, owner in state.owners.items():
    candidate = state.candidates[shard]
    yields = state.now < candidate.yield_until
    if not yields and handover.should_hand_over(owner, state.me.cores):
      candidate.yield_until = state.now + handover.YIELD_S
      effects.append(events.ReleaseShard(shard, owner.fence))
  return effects


def decide(state, candidate: election.Candidate) -> events.ClaimShard | None:
  """Returns the claim to make of a shard now, if any."""
  holder = state.coordinator.holders.get(candidate.shard)
  heard = holder is not None and coordinator.alive(state.coordinator, holder)
  return election.decide(
      candidate,
      state.now,
      candidate.shard in state.owners,
      state.draining,
      heard and candidate.shard not in state.owners,
  )
