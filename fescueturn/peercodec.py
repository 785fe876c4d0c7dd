"""Codec of the messages between entry hosts (schema: peer.capnp).

`encode_request` and `encode_reply` convert the dataclasses of
`fescueturn.claims` to Cap'n Proto messages with standard stream framing;
`decode_request` and `decode_reply` convert them back.
"""

import os

import capnp

from fescueturn import claims
from fescueturn import codes
from fescueturn import errors
from fescueturn import messages

schema = capnp.load(os.path.join(os.path.dirname(__file__), "peer.capnp"))

# The request id of a one-way request.
NO_REPLY = 0
_MS_PER_S = 1000
_MAX_UINT32 = 2**32 - 1


def _put_job(slot, job: messages.Job):
  slot.team = job.team
  slot.jobId = job.job_id
  slot.key = job.key
  slot.fingerprint = job.fingerprint
  slot.deadlineMs = job.deadline_ms
  tasks = slot.init("tasks", len(job.tasks))
  for out, task in zip(tasks, job.tasks, strict=True):
    out.taskId = task.task_id
    out.kind = task.kind
    out.payload = task.payload
    out.runMs = task.run_ms
    out.idempotent = task.idempotent


def _get_job(slot) -> messages.Job:
  return messages.Job(
      team=slot.team,
      job_id=slot.jobId,
      key=slot.key,
      tasks=tuple(
          messages.Task(t.taskId, t.kind, t.payload, t.runMs, t.idempotent)
          for t in slot.tasks
      ),
      fingerprint=slot.fingerprint,
      deadline_ms=slot.deadlineMs,
  )


def _put_answer(slot, answer: messages.JobAnswer):
  slot.key = answer.key
  slot.jobId = answer.job_id
  slot.code = int(answer.code)
  slot.retryAfterS = answer.retry_after_s
  tasks = slot.init("tasks", len(answer.tasks))
  for out, task in zip(tasks, answer.tasks, strict=True):
    out.taskId = task.task_id
    out.code = int(task.code)
    out.result = task.result


def _get_answer(slot) -> messages.JobAnswer:
  return messages.JobAnswer(
      key=slot.key,
      job_id=slot.jobId,
      code=codes.Code(slot.code),
      tasks=tuple(
          messages.TaskAnswer(t.taskId, codes.Code(t.code), t.result)
          for t in slot.tasks
      ),
      retry_after_s=slot.retryAfterS,
  )


def _put_token(slot, token: claims.Token):
  slot.name = token.name
  slot.boot = token.boot


def _get_token(slot) -> claims.Token:
  return claims.Token(slot.name, slot.boot)


def _put_claim(slot, claim: claims.Claim):
  slot.key = claim.key
  slot.fingerprint = claim.fingerprint
  _put_token(slot.owner, claim.owner)
  slot.number = claim.number
  slot.keepMs = min(int(claim.keep_s * _MS_PER_S), _MAX_UINT32)
  if claim.answer is not None:
    _put_answer(slot.init("answer"), claim.answer)


def _get_claim(slot) -> claims.Claim:
  answer = _get_answer(slot.answer) if slot._has("answer") else None
  return claims.Claim(
      key=slot.key,
      fingerprint=slot.fingerprint,
      owner=_get_token(slot.owner),
      number=slot.number,
      keep_s=slot.keepMs / _MS_PER_S,
      answer=answer,
  )


def _put_claims(slots, items):
  for slot, claim in zip(slots, items, strict=True):
    _put_claim(slot, claim)


def _put_forward_job(msg, forward: claims.ForwardJob):
  slot = msg.init("forwardJob")
  slot.hops = forward.hops
  _put_job(slot.init("job"), forward.job)


def _put_forward_cancel(msg, forward: claims.ForwardCancel):
  slot = msg.init("forwardCancel")
  slot.team = forward.cancel.team
  slot.key = forward.cancel.key
  slot.hops = forward.hops


def _put_claim_request(msg, request: claims.ClaimRequest):
  slot = msg.init("claim")
  slot.view = request.view
  _put_claim(slot.init("claim"), request.claim)


def _put_release(msg, release: claims.Release):
  slot = msg.init("release")
  slot.key = release.key
  slot.number = release.number
  _put_token(slot.owner, release.owner)


def _put_answer_copy(msg, copy: claims.AnswerCopy):
  _put_claim(msg.init("answerCopy"), copy.claim)


def _put_sync(msg, request: claims.SyncRequest):
  slot = msg.init("sync")
  slot.view = request.view
  slot.departedLease = request.departed_lease
  slot.partitions = list(request.partitions)
  _put_token(slot.asker, request.asker)


def _put_probe(msg, request: claims.ProbeRequest):
  slot = msg.init("probe")
  slot.view = request.view
  _put_token(slot.asker, request.asker)


_PUT_REQUEST = {
    claims.ForwardJob: _put_forward_job,
    claims.ForwardCancel: _put_forward_cancel,
    claims.ClaimRequest: _put_claim_request,
    claims.Release: _put_release,
    claims.AnswerCopy: _put_answer_copy,
    claims.SyncRequest: _put_sync,
    claims.ProbeRequest: _put_probe,
}


def encode_request(request_id: int, request: claims.Request) -> bytes:
  """Returns the framed request; the id `NO_REPLY` makes it one-way."""
  msg = schema.Request.new_message(requestId=request_id)
  _PUT_REQUEST[type(request)](msg, request)
  return msg.to_bytes()


def _get_cancel(slot) -> messages.Cancel:
  return messages.Cancel(slot.team, slot.key)


_GET_REQUEST = {
    "forwardJob": lambda s: claims.ForwardJob(_get_job(s.job), s.hops),
    "forwardCancel": lambda s: claims.ForwardCancel(_get_cancel(s), s.hops),
    "claim": lambda s: claims.ClaimRequest(s.view, _get_claim(s.claim)),
    "release": lambda s: claims.Release(s.key, _get_token(s.owner), s.number),
    "answerCopy": lambda s: claims.AnswerCopy(_get_claim(s)),
    "sync": lambda s: claims.SyncRequest(
        s.view, _get_token(s.asker), s.departedLease, tuple(s.partitions)
    ),
    "probe": lambda s: claims.ProbeRequest(s.view, _get_token(s.asker)),
}


def decode_request(data: bytes) -> tuple[int, claims.Request]:
  """Decodes a framed request; returns its id and the request.

  Raises:
    capnp.KjException: the data is not a valid request.
  """
  with schema.Request.from_bytes(data) as msg:
    kind = msg.which()
    return msg.requestId, _GET_REQUEST[str(kind)](getattr(msg, str(kind)))


def _put_outcome(msg, outcome: claims.Outcome):
  if outcome.answer is not None:
    _put_answer(msg.init("answer"), outcome.answer)
    return
  refusal = msg.init("refusal")
  refusal.code = int(outcome.error.code)
  refusal.message = str(outcome.error.args[0])
  refusal.retryAfterS = outcome.retry_after_s


def _put_claim_reply(msg, reply: claims.ClaimReply):
  slot = msg.init("claim")
  slot.verdict = int(reply.verdict)
  slot.trusted = reply.trusted
  _put_claims(slot.init("held", len(reply.held)), reply.held)


def _put_sync_reply(msg, reply: claims.SyncReply):
  slot = msg.init("sync")
  slot.ready = reply.ready
  _put_claims(slot.init("claims", len(reply.claims)), reply.claims)


def _put_probe_reply(msg, reply: claims.ProbeReply):
  msg.probeAgrees = reply.agrees


_PUT_REPLY = {
    claims.Outcome: _put_outcome,
    claims.ClaimReply: _put_claim_reply,
    claims.SyncReply: _put_sync_reply,
    claims.ProbeReply: _put_probe_reply,
}


def encode_reply(request_id: int, boot: str, reply: claims.Reply) -> bytes:
  """Returns the framed reply; `boot` identifies the replying process."""
  msg = schema.Reply.new_message(requestId=request_id, boot=boot)
  _PUT_REPLY[type(reply)](msg, reply)
  return msg.to_bytes()


def _get_refusal(slot) -> claims.Outcome:
  error = errors.FescueError(slot.message, codes.Code(slot.code))
  return claims.Outcome(error=error, retry_after_s=slot.retryAfterS)


def _get_claim_reply(slot) -> claims.ClaimReply:
  held = tuple(_get_claim(c) for c in slot.held)
  return claims.ClaimReply(claims.Verdict(slot.verdict), slot.trusted, held)


_GET_REPLY = {
    "answer": lambda s: claims.Outcome(answer=_get_answer(s)),
    "refusal": _get_refusal,
    "claim": _get_claim_reply,
    "sync": lambda s: claims.SyncReply(
        s.ready, tuple(_get_claim(c) for c in s.claims)
    ),
    "probeAgrees": claims.ProbeReply,
}


def decode_reply(data: bytes) -> tuple[int, str, claims.Reply]:
  """Decodes a framed reply.

  Returns:
    The request's id, the replying process's `boot` and the reply.

  Raises:
    capnp.KjException: the data is not a valid reply.
  """
  with schema.Reply.from_bytes(data) as msg:
    kind = str(msg.which())
    return msg.requestId, msg.boot, _GET_REPLY[kind](getattr(msg, kind))
