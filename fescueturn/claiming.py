"""The coordinator's side of claiming a key, before it sends any task.

The coordinator sends its claim to all holders of the key at once. It may start
the job only if all of them accepted in the same view (a holder whose process
has certainly ended is skipped) and at least one of them is certain to know
every earlier claim. If a holder reports the claim of another coordinator, the
request is forwarded there; if that coordinator is lost, the request gets the
replicated answer, or an answer that says the outcome is unknown.
"""

import dataclasses

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
# Two coordinators can each be accepted by one of a key's two holders. The one
# that the second holder accepted yields at once; the one that the first holder
# accepted retries up to this many times, so that the other has time to yield,
# and then yields as well.
MAX_CONFLICTS = 4
MAX_HOPS = 5


def start_claim_round(
    state: state_lib.EntryState, record: state_lib.JobRecord
) -> list:
  """Sends claims of a record's key to its holders in the current view."""
  membership = state.membership
  if not membership.is_member:
    return _retry_later(state, record)
  names = membership.view.holders(record.job.key)
  if not names:
    return _retry_later(state, record)
  number = state.next_number()
  record.round = state_lib.ClaimRound(number, membership.view, names)
  claim = jobs.make_claim(state, record)
  request = claims.ClaimRequest(membership.view.digest, claim)
  effects = []
  for name in names:
    if name == state.name:
      record.round.replies[name] = ownership.answer_claim(state, request)
    else:
      member = membership.view.member(name)
      effects.append(
          events.SendPeerRequest(
              member, request, CLAIM_TIMEOUT_S, round_number=number
          )
      )
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
  """Handles one holder's reply to a claim, or the lack of one."""
  request = event.peer_request.message
  record = state.jobs.get(request.claim.key)
  if record is None or record.phase is not state_lib.Phase.CLAIMING:
    return []
  round_ = record.round
  if round_ is None or round_.number != event.peer_request.round_number:
    return []
  if record.number != request.claim.number:
    return []
  name = event.peer_request.member.name
  round_.replies[name] = event.reply
  if event.dead:
    round_.dead.add(name)
  return _decide(state, record) if round_.complete else []


def _decide(state, record) -> list:
  """Starts the job, yields, or retries, once all requests have ended."""
  round_ = record.round
  if round_.view != state.membership.view:
    return start_claim_round(state, record)
  live = [n for n in round_.holders if n not in round_.dead]
  replies = [round_.replies[n] for n in live]
  retriable = (claims.Verdict.STALE_VIEW, claims.Verdict.NOT_READY)
  if any(r is None or r.verdict in retriable for r in replies):
    return _retry_later(state, record)
  held = [claim for r in replies for claim in r.held]
  if held:
    held_by_first = replies[0].verdict is claims.Verdict.HELD
    if not held_by_first and record.conflicts < MAX_CONFLICTS:
      record.conflicts += 1
      return _retry_later(state, record)
    return _yield_to(state, record, held)
  if not any(r.trusted for r in replies):
    return _retry_later(state, record)
  _store_own_claim(state, record)
  return jobs.start_tasks(state, record)


def _store_own_claim(state, record):
  """Stores the claim on this host too, for hosts that sync from it."""
  state.claims.put(jobs.make_claim(state, record), state.now)


def _yield_to(state, record, held: list[claims.Claim]) -> list:
  """Yields to another process that claimed the key first.

  Uses that claim's replicated answer if there is one; otherwise forwards the
  requests to its coordinator, or ends them if the coordinator is lost.
  """
  state.counters["yielded"] += 1
  view = state.membership.view
  own_fingerprint = record.job.fingerprint

  def same_job(claim: claims.Claim) -> bool:
    return (
        not (own_fingerprint and claim.fingerprint)
        or claim.fingerprint == own_fingerprint
    )

  def is_alive(claim: claims.Claim) -> bool:
    return view.runs(claim.owner) and claim.owner not in state.dead

  best = max(
      held, key=lambda c: (c.answer is not None, same_job(c), is_alive(c))
  )
  if not same_job(best):
    error = errors.BadRequestError(
        "Idempotency-Key was used for another job", codes.Code.KEY_REUSED
    )
    return jobs.refuse_all(state, record, error)
  if best.answer is not None:
    return jobs.finish_job(state, record, best.answer)
  if is_alive(best):
    member = view.member(best.owner.name)
    waiters = list(record.waiters)
    effects = jobs.discard_record(state, record)
    for waiter in waiters:
      effects += forward_or_fail(state, waiter, member)
    return effects
  if record.cancelled:
    return jobs.refuse_all(state, record, _owner_lost_error(record.job.key))
  return _answer_owner_lost(state, record)


def _answer_owner_lost(state, record) -> list:
  """Answers that the outcome is unknown; keeps no record of this answer.

  The coordinator may only be silent: it may go on with the job, and then knows
  the answer.
  """
  outcome = claims.Outcome(answer=_owner_lost_answer(state, record.job))
  effects = [jobs.complete_request(state, w, outcome) for w in record.waiters]
  record.waiters.clear()
  return effects + jobs.discard_record(state, record)


def _owner_lost_answer(state, job: messages.Job) -> messages.JobAnswer:
  return answers.owner_lost(job, state.limits.retry_after_s)


def _owner_lost_error(key: str) -> errors.FescueError:
  return errors.FescueError(
      f"the entry host that took key {key!r} is gone; its tasks may have run",
      codes.Code.OWNER_LOST,
  )


def forward_or_fail(
    state, waiter: state_lib.Waiter, member: events.Member
) -> list:
  """Forwards a request, or ends it as owner lost after `MAX_HOPS` hops."""
  if waiter.hops < MAX_HOPS:
    return [jobs.forward(state, waiter, member)]
  if isinstance(waiter.request, messages.Cancel):
    return [jobs.refuse(state, waiter, _owner_lost_error(waiter.key))]
  answer = _owner_lost_answer(state, waiter.request)
  return [jobs.complete_request(state, waiter, claims.Outcome(answer=answer))]


def handle_forward_reply(
    state: state_lib.EntryState, event: events.PeerReplyReceived
) -> list:
  """Handles the outcome of a forwarded request.

  Without a reply, the request is handled here like a new one.
  """
  forwarded = state.forwarded_requests.get(event.peer_request.request_id)
  if forwarded is None or forwarded.member != event.peer_request.member:
    return []
  del state.forwarded_requests[event.peer_request.request_id]
  waiter = forwarded.waiter
  if event.reply is not None:
    return [jobs.complete_request(state, waiter, event.reply)]
  if event.dead:
    state.dead.add(event.peer_request.member.token)
  state.counters["forward_lost"] += 1
  retried = dataclasses.replace(waiter, hops=waiter.hops + 1, forward_lost=True)
  return jobs.handle_request(state, retried)


def handle_view_change(state: state_lib.EntryState) -> list:
  """Restarts open claims, and requests forwarded to hosts that are lost."""
  effects = []
  for record in list(state.jobs.values()):
    if record.phase is state_lib.Phase.CLAIMING:
      effects += start_claim_round(state, record)
  view = state.membership.view
  state.dead = {t for t in state.dead if view.runs(t)}
  for request_id, forwarded in list(state.forwarded_requests.items()):
    if not view.runs(forwarded.member.token):
      del state.forwarded_requests[request_id]
      retried = dataclasses.replace(forwarded.waiter, forward_lost=True)
      effects += jobs.handle_request(state, retried)
  return effects
