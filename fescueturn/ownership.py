"""The holder's side of claims, across membership changes.

A holder accepts a claim only if the claimant has the same membership view, if
this host has a valid lease (or promises that replace it), and if no other
process claimed the key first. When the membership changes, a host that newly
holds partitions fetches their claims from every other host (a sync). Until the
sync is complete, it doesn't count as knowing every claim of those partitions.
"""

from fescueturn import claims
from fescueturn import events
from fescueturn import state as state_lib
from fescueturn import views

SYNC_TIMEOUT_S = 2.0
SYNC_RETRY_S = 0.05
PROBE_TIMEOUT_S = 2.0
# With this share of its lease left, a host has missed a renewal (the lease is
# renewed three times per TTL), so the platform is not answering it.
RENEWAL_OVERDUE_SHARE = 0.4


def answer_claim(
    state: state_lib.EntryState, request: claims.ClaimRequest
) -> claims.ClaimReply:
  """Decides on a claim, as one of the key's holders."""
  membership = state.membership
  claim = request.claim
  if membership.view is None or request.view != membership.view.digest:
    return claims.ClaimReply(claims.Verdict.STALE_VIEW)
  if not membership.may_accept_claims(state.now):
    return claims.ClaimReply(claims.Verdict.NOT_READY)
  trusted = membership.trusts(claim.key)
  held = state.claims.by_others(claim.key, claim.owner)
  if held:
    return claims.ClaimReply(claims.Verdict.HELD, trusted, held)
  state.claims.put(claim, state.now)
  return claims.ClaimReply(claims.Verdict.ACCEPTED, trusted)


def answer_sync(
    state: state_lib.EntryState, request: claims.SyncRequest
) -> claims.SyncReply:
  """Returns the claims that a new holder requests.

  A host that is no longer in the asker's view replies in any view. If it has
  not rejoined since, it fences itself: it accepts no more claims in its view.
  """
  membership = state.membership
  if request.departed_lease:
    me = state.member(state.name)
    if me is not None and me.lease == request.departed_lease:
      membership.fenced_view = membership.view.digest
  elif membership.view is None or membership.view.digest != request.view:
    return claims.SyncReply(ready=False)
  requested = state.claims.in_partitions(request.partitions, state.now)
  return claims.SyncReply(True, requested)


def answer_probe(
    state: state_lib.EntryState, request: claims.ProbeRequest
) -> claims.ProbeReply:
  """Decides on the promise that a host with an expired lease requests.

  The promise is not to accept claims in a view without the asker. It is given
  only in a platform outage: both hosts have the same view, and this host can't
  renew its lease either. A host that still reaches the platform gives none,
  because then only the asker is partitioned, and will soon be removed from
  this host's view.
  """
  membership = state.membership
  view = membership.view
  renewal_overdue_at = (
      membership.lease_until - RENEWAL_OVERDUE_SHARE * state.limits.lease_ttl_s
  )
  agrees = (
      view is not None
      and view.digest == request.view
      and state.now >= renewal_overdue_at
  )
  if agrees:
    membership.promises[request.asker] = state.now + views.PROMISE_S
  return claims.ProbeReply(agrees)


def handle_lease_renewal(
    state: state_lib.EntryState, event: events.LeaseRenewed
):
  """Stores the renewed lease and its expiry time."""
  state.membership.lease = event.lease
  state.membership.lease_until = event.until


def change_view(
    state: state_lib.EntryState, event: events.MembersChanged
) -> list:
  """Installs the next view and starts to sync the partitions newly held."""
  membership = state.membership
  before = membership.view
  membership.view = views.make_view(event.members)
  if event.gap:
    membership.trusted = frozenset()
  elif membership.view == before:
    return []
  if before is not None:
    _record_departed(state, before)
  for name in [n for n in membership.departed if membership.view.member(n)]:
    del membership.departed[name]
  mine = membership.view.partitions_of(state.name)
  membership.trusted &= mine
  state.endpoints.set_entry_hosts(membership.view.holder_names)
  return start_sync(state)


def _record_departed(state: state_lib.EntryState, before: views.View):
  """Records members that left the view without draining.

  Their processes may still run.
  """
  membership = state.membership
  grace = state.limits.lease_ttl_s
  for member in before.members:
    missing = membership.view.member(member.name) is None
    if missing and not member.leaving and member.name != state.name:
      membership.departed[member.name] = member
      state.schedule(state.now + grace, _expire_departed(member))


def _expire_departed(member: events.Member) -> state_lib.TimerCallback:
  def expire(state: state_lib.EntryState) -> list:
    if state.membership.departed.get(member.name) == member:
      del state.membership.departed[member.name]
      return _stop_awaiting(state, member.name)
    return []

  return expire


def start_sync(state: state_lib.EntryState) -> list:
  """Requests the claims of partitions held here but not yet trusted."""
  membership = state.membership
  membership.sync = None
  if not membership.is_member:
    return []
  wanted = membership.view.partitions_of(state.name) - membership.trusted
  if not wanted:
    return []
  sync_hosts = {m.name: m for m in membership.others()} | membership.departed
  number = state.next_number()
  membership.sync = views.SyncRound(number, wanted, sync_hosts)
  state.counters["syncs"] += 1
  if not sync_hosts:
    return _complete_sync(state)
  return [_sync_request(state, member) for member in sync_hosts.values()]


def _sync_request(
    state: state_lib.EntryState, member: events.Member
) -> events.SendPeerRequest:
  membership = state.membership
  departed = member.name in membership.departed
  request = claims.SyncRequest(
      view=membership.view.digest,
      asker=state.me,
      departed_lease=member.lease if departed else 0,
      partitions=tuple(sorted(membership.sync.wanted)),
  )
  return events.SendPeerRequest(
      member, request, SYNC_TIMEOUT_S, round_number=membership.sync.number
  )


def handle_sync_reply(
    state: state_lib.EntryState, event: events.PeerReplyReceived
) -> list:
  """Stores one host's claims; retries if it did not reply or is not ready."""
  membership = state.membership
  for claim in event.reply.claims if event.reply is not None else ():
    state.claims.merge(claim, state.now)
  name = event.peer_request.member.name
  sync = membership.sync
  if sync is None or sync.number != event.peer_request.round_number:
    return []
  if event.dead or (event.reply is not None and event.reply.ready):
    membership.departed.pop(name, None)
    return _stop_awaiting(state, name)
  state.schedule(
      state.now + SYNC_RETRY_S, _retry_sync(sync, event.peer_request.member)
  )
  return []


def _retry_sync(sync, member: events.Member) -> state_lib.TimerCallback:
  def request(state: state_lib.EntryState) -> list:
    if state.membership.sync is sync and member.name in sync.awaiting:
      return [_sync_request(state, member)]
    return []

  return request


def _stop_awaiting(state: state_lib.EntryState, name: str) -> list:
  sync = state.membership.sync
  if sync is None:
    return []
  sync.awaiting.pop(name, None)
  return [] if sync.awaiting else _complete_sync(state)


def _complete_sync(state: state_lib.EntryState) -> list:
  membership = state.membership
  membership.trusted |= membership.sync.wanted
  membership.sync = None
  return []


def start_probe(state: state_lib.EntryState) -> list:
  """Requests promises from all other members while the lease is expired."""
  membership = state.membership
  if not (membership.is_member and membership.lease_expired(state.now)):
    return []
  if state.now < membership.next_probe:
    return []
  membership.next_probe = state.now + views.PROBE_INTERVAL_S
  others = membership.others()
  number = state.next_number()
  membership.probe = views.ProbeRound(
      number, membership.view.digest, state.now, {m.name for m in others}
  )
  state.counters["probes"] += 1
  _complete_probe(state)
  request = claims.ProbeRequest(membership.view.digest, state.me)
  return [
      events.SendPeerRequest(m, request, PROBE_TIMEOUT_S, round_number=number)
      for m in others
  ]


def handle_probe_reply(
    state: state_lib.EntryState, event: events.PeerReplyReceived
) -> list:
  """Records a promise, or that a member's process has certainly ended."""
  membership = state.membership
  round_ = membership.probe
  if round_ is None or round_.number != event.peer_request.round_number:
    return []
  if event.dead or (event.reply is not None and event.reply.agrees):
    round_.awaiting.discard(event.peer_request.member.name)
    _complete_probe(state)
  return []


def _complete_probe(state: state_lib.EntryState):
  membership = state.membership
  round_ = membership.probe
  if not round_.awaiting and round_.view == membership.view.digest:
    membership.promised_until = round_.sent_at + views.PROMISE_S


def remove_expired(state: state_lib.EntryState):
  """Removes expired claims and promises."""
  state.claims.expire(state.now)
  promises = state.membership.promises
  for token in [t for t, until in promises.items() if until <= state.now]:
    del promises[token]
