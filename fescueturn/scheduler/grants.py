"""Handover of a shard between two hosts while the store is away.

A holder whose process is about to end, and that the store doesn't answer,
grants its shard to another host of its data centre, which otherwise nobody
there could claim. The fencing token of the grant is a number that the store had
spent while the holder's claim was in place: it is higher than the holder's, and
lower than that of any later claim, which still wins. The store isn't written;
the new holder claims the shard there as soon as the store answers.

`spec/succession.pml` is a model of the tokens.
"""

from fescueturn.scheduler import coordinator
from fescueturn.scheduler import election
from fescueturn.scheduler import events
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler import shardownership
from fescueturn.scheduler import succession

# A grant that is not confirmed within this time (s) is sent again, to the same
# host or another: ten round trips to a busy host.
RETRY_S = 0.2


def handle_claims_read(state, event: events.ClaimsRead):
  """Records the fencing tokens that each owner may grant.

  These are the revisions that the store has used while its claim was in place.
  """
  for shard, owner in state.owners.items():
    holder = state.candidates[shard].holder
    if holder is None or holder.fence != owner.fence:
      continue
    first = max(owner.fence, owner.last_granted) + 1
    owner.spare_fences = succession.FenceRange(first, event.revision)


def grant_shards(state) -> list[events.Effect]:
  """Grants the shards of a process that is about to end, without the store."""
  effects = []
  for owner in state.owners.values():
    if state.now - owner.granted_at < RETRY_S:
      continue
    if succession.store_answers(owner.listed_at, state.now):
      continue
    # A host of an earlier version would close the link on this message.
    hosts = {p: h for p, h in owner.local_hosts.items() if h.uptime_s}
    successor = succession.choose_successor(hosts, state.now)
    if successor is not None and owner.spare_fences:
      state.granting[owner.shard] = owner
      effects += _grant(owner, successor)
  return effects


def _grant(
    owner: ownerstate.Owner, successor: linkmessages.HostProcess
) -> list[events.Effect]:
  granted, owner.spare_fences = owner.spare_fences.split()
  owner.granted_at = owner.now
  owner.last_granted = granted.limit
  message = linkmessages.ShardGranted(granted.first, granted.limit)
  return [
      events.SendToCoordinator(successor, owner.shard, message),
      events.log(
          "shard_granted",
          data_centre=owner.shard.data_centre,
          fence=owner.fence,
          to=successor.host,
          granted=granted.first,
          limit=granted.limit,
      ),
  ]


def handle_grant(
    state,
    shard: model.Shard,
    process: linkmessages.HostProcess,
    grant: linkmessages.ShardGranted,
) -> list[events.Effect]:
  """Takes over a shard that its holder grants to this host."""
  record = state.coordinator.holders.get(shard)
  if shard not in state.candidates or record is None or state.draining:
    return []
  before = record.holder
  if record.process != process or grant.fence <= before.fence:
    return []  # Another host has taken the shard over meanwhile.
  me = state.me.process
  holder = model.Holder(me.host, me.boot, state.me.peer, grant.fence)
  taken = linkmessages.GrantTaken(shard, holder)
  effects = shardownership.take_granted_shard(state, shard, grant, before)
  moved = events.HolderChanged(shard, holder)
  coordinator.handle_holder_change(state.coordinator, moved)
  # The store still names the earlier holder, whose claim this host replaces.
  election.mark_holder_stale(state.candidates[shard], state.now)
  return [events.SendToHolder(shard, before, taken), *effects]


def handle_grant_taken(state, event: linkmessages.GrantTaken) -> list:
  """Reports the new holder of a granted shard to all coordinators.

  This host then stops serving the shard.
  """
  # The endpoints may have fenced it off already.
  owner = state.granting.get(event.shard)
  is_granted = (
      owner is not None
      and owner.fence < event.holder.fence <= owner.last_granted
  )
  if not is_granted:
    return []
  moved = linkmessages.HolderMoved(event.holder)
  coordinators = sorted(owner.knows_moves, key=lambda p: (p.host, p.boot))
  effects = [
      events.SendToCoordinator(process, event.shard, moved)
      for process in coordinators
  ]
  if state.owners.get(event.shard) is owner:
    effects += shardownership.drop_owner(state, event.shard, "granted")
  return effects


def handle_moved(
    state,
    shard: model.Shard,
    process: linkmessages.HostProcess,
    moved: linkmessages.HolderMoved,
):
  """Records that another host has taken a shard over from its holder."""
  record = state.coordinator.holders.get(shard)
  if record is not None and record.process == process:
    change = events.HolderChanged(shard, moved.holder)
    coordinator.handle_holder_change(state.coordinator, change)
