"""Claiming a key: the coordinator's side, before it sends any task.

The coordinator asks every holder of the key at once. It may start only when
all of them accepted in one view (a holder whose process surely no longer
runs is passed over) and at least one of them surely knows every earlier
claim. If a holder names another coordinator, the request goes there, or, if
that coordinator is gone, gets its copied answer or a truthful "unknown".
"""

from fescueturn import answers
from fescueturn import claims
from fescueturn import codes
from fescueturn import errors
from fescueturn import events
from fescueturn import jobs
from fescueturn import messages
from fescueturn import ownership
from fescueturn import state as state_lib

CLAIM_TIMEOUT_S = 1.0
CLAIM_RETRY_DELAY_S = 0.02
# Rounds in which a later holder named another claimant before yielding to
# it: two coordinators may each hold one holder, and the one that has the
# first holder waits for the other to yield.
MAX_CONFLICTS = 4
MAX_HOPS = 5


def start_claim_round(
    state: state_lib.EntryState, record: state_lib.JobRecord
) -> list:
  """Starts a round of claims for a record's key in the present view."""
  membership = state.membership
  if not membership.is_member:
    return _retry_later(state, record)
  names = membership.view.holders(record.job.key)
  if not names:
    return _retry_later(state, record)
  record.round = state_lib.ClaimRound(membership.view, names)
  claim = jobs.make_claim(state, record)
  request = claims.ClaimRequest(membership.view.digest, claim)
  effects = []
  for name in names:
    if name == state.name:
      record.round.replies[name] = ownership.answer_claim(state, request)
    else:
      member = membership.view.member(name)
      effects.append(events.SendPeerRequest(member, request, CLAIM_TIMEOUT_S))
  if record.round.complete:
    effects += _decide(state, record)
  return effects


def _retry_later(state, record) -> list:
  if state.now >= record.claim_deadline:
    return jobs.refuse_all(state, record, jobs.unclaimed_error(record))
  if not record.retry_pending:
    record.retry_pending = True
    state.schedule(state.now + CLAIM_RETRY_DELAY_S, lambda s: _retry(s, record))
  return []


def _retry(state, record) -> list:
  record.retry_pending = False
  if record.phase is not state_lib.Phase.CLAIMING:
    return []
  return start_claim_round(state, record)


def handle_claim_reply(
    state: state_lib.EntryState, event: events.PeerReplyReceived
) -> list:
  """Takes one holder's verdict, or its silence."""
  request = event.peer_request.message
  record = state.jobs.get(request.claim.key)
  if record is None or record.phase is not state_lib.Phase.CLAIMING:
    return []
  round_ = record.round
  if round_ is None or round_.view.digest != request.view:
    return []
  if record.number != request.claim.number:
    return []
  name = event.peer_request.member.name
  round_.replies[name] = event.reply
  if event.dead:
    round_.dead.add(name)
  return _decide(state, record) if round_.complete else []


def _decide(state, record) -> list:
  """Every holder has answered: start, yield, or try again."""
  round_ = record.round
  if round_.view != state.membership.view:
    return start_claim_round(state, record)
  live = [n for n in round_.asked if n not in round_.dead]
  replies = [round_.replies[n] for n in live]
  waiting = (claims.Verdict.STALE_VIEW, claims.Verdict.NOT_READY)
  if any(r is None or r.verdict in waiting for r in replies):
    return _retry_later(state, record)
  held = [claim for r in replies for claim in r.held]
  if held:
    first = replies[0].verdict is claims.Verdict.HELD
    if not first and record.conflicts < MAX_CONFLICTS:
      record.conflicts += 1
      return _retry_later(state, record)
    return _yield_to(state, record, held)
  if not any(r.trusted for r in replies):
    return _retry_later(state, record)
  _keep_own(state, record)
  return jobs.start_tasks(state, record)


def _keep_own(state, record):
  """Lists the claim here too, for hosts that sync from this one."""
  state.claims.put(jobs.make_claim(state, record), state.now)


def _yield_to(state, record, held: list[claims.Claim]) -> list:
  """Another process claimed the key first; what it decides holds."""
  state.counters["yielded"] += 1
  view = state.membership.view
  ours = record.job.fingerprint

  def same_job(claim: claims.Claim) -> bool:
    return not (ours and claim.fingerprint) or claim.fingerprint == ours

  def lives(claim: claims.Claim) -> bool:
    return view.runs(claim.owner) and claim.owner not in state.dead

  best = max(held, key=lambda c: (c.answer is not None, same_job(c), lives(c)))
  if not same_job(best):
    error = errors.BadRequestError(
        "Idempotency-Key was used for another job", codes.Code.KEY_REUSED
    )
    return jobs.refuse_all(state, record, error)
  if best.answer is not None:
    return jobs.finish_job(state, record, best.answer)
  if lives(best):
    member = view.member(best.owner.name)
    waiters = list(record.waiters)
    effects = jobs.discard_record(state, record)
    for waiter in waiters:
      effects += forward_or_fail(state, waiter, member)
    return effects
  if record.cancelled:
    return jobs.refuse_all(state, record, _owner_lost(record.job.key))
  answer = _unknown(state, record.job)
  return jobs.finish_job(state, record, answer)


def _unknown(state, job: messages.Job) -> messages.JobAnswer:
  return answers.owner_lost(job, state.limits.retry_after_s)


def _owner_lost(key: str) -> errors.FescueError:
  return errors.FescueError(
      f"the entry host that took key {key!r} is gone; its tasks may have run",
      codes.Code.OWNER_LOST,
  )


def forward_or_fail(
    state, waiter: state_lib.Waiter, member: events.Member
) -> list:
  """Forwards a request, or ends it truthfully after too many hops."""
  if waiter.hops < MAX_HOPS:
    return [jobs.forward(state, waiter, member)]
  if isinstance(waiter.request, messages.Cancel):
    return [jobs.refuse(state, waiter, _owner_lost(waiter.key))]
  answer = _unknown(state, waiter.request)
  return [events.SendOutcome(waiter.request_id, claims.Outcome(answer=answer))]


def handle_forward_reply(
    state: state_lib.EntryState, event: events.PeerReplyReceived
) -> list:
  """A forwarded request came back: its outcome, or a lost coordinator."""
  parked = state.forwarded_requests.get(event.peer_request.request_id)
  if parked is None or parked.member != event.peer_request.member:
    return []
  del state.forwarded_requests[event.peer_request.request_id]
  waiter = parked.waiter
  if event.reply is not None:
    return [events.SendOutcome(waiter.request_id, event.reply)]
  if event.dead:
    state.dead.add(event.peer_request.member.token)
  state.counters["forward_lost"] += 1
  again = state_lib.Waiter(waiter.request_id, waiter.request, waiter.hops + 1)
  return jobs.handle_request(state, again)


def handle_view_change(state: state_lib.EntryState) -> list:
  """In a new view, claims start over and lost coordinators are noticed."""
  effects = []
  for record in list(state.jobs.values()):
    if record.phase is state_lib.Phase.CLAIMING:
      effects += start_claim_round(state, record)
  view = state.membership.view
  state.dead = {t for t in state.dead if view.runs(t)}
  for request_id, parked in list(state.forwarded_requests.items()):
    if not view.runs(parked.member.token):
      del state.forwarded_requests[request_id]
      effects += jobs.handle_request(state, parked.waiter)
  return effects
