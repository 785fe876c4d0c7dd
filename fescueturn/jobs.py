"""The life cycle of a job at its coordinator, from request to final answer.

Invariants:

* A request for a known key joins the running job or gets its stored answer.
* A task is retried only if its endpoint certainly did not start it.
* A job's answer is either complete, or failed with an accurate code for each
  task. It is sent at once to every caller that waits for the key.
"""

from fescueturn import answers
from fescueturn import claims
from fescueturn import codes
from fescueturn import dispatch
from fescueturn import errors
from fescueturn import events
from fescueturn import messages
from fescueturn import state as state_lib

MAX_NOT_STARTED_RETRIES = 3
CANCEL_DEADLINE_S = 5.0
# Number of holders that get a copy of a finished job's answer. A cancellation
# is copied to all holders.
ANSWER_COPIES = 1
# Holders keep a claim until the job's deadline, when its last task may be sent,
# and then this much longer than the coordinator keeps its answer.
CLAIM_KEEP_EXTRA_S = 60.0
# A request is refused if its key could not be claimed within the lease TTL
# plus this time.
CLAIM_TIMEOUT_EXTRA_S = 1.0


def handle_request(
    state: state_lib.EntryState, waiter: state_lib.Waiter
) -> list:
  """Handles a job or cancellation, from a caller or forwarded by a peer."""
  record = state.jobs.get(waiter.key)
  if record is not None:
    return _join_job(state, record, waiter)
  if isinstance(waiter.request, messages.Cancel):
    job = messages.Job(waiter.request.team, "", waiter.key, (), "")
    deadline_s = CANCEL_DEADLINE_S
  else:
    job = waiter.request
    refusal = _validate(state, job)
    if refusal is not None:
      return [refuse(state, waiter, refusal)]
    team = state.team_settings(job.team)
    deadline_s = (job.deadline_ms or team.deadline_ms) / 1000
  if state.draining:
    return _forward_while_draining(state, waiter)
  record = _new_record(state, job, state.now + deadline_s)
  record.cancelled = isinstance(waiter.request, messages.Cancel)
  record.waiters.append(waiter)
  return state.admit(state, record)


def _new_record(state, job: messages.Job, deadline: float):
  record = state_lib.JobRecord(job, deadline, state.next_number())
  limit = state.limits.lease_ttl_s + CLAIM_TIMEOUT_EXTRA_S
  record.claim_deadline = min(deadline, state.now + limit)
  state.jobs[job.key] = record
  state.counters["jobs"] += 1
  state.schedule(deadline, lambda s: _handle_deadline(s, record))
  return record


def _validate(state, job: messages.Job) -> errors.FescueError | None:
  """Returns the error for which a new job is refused, or None to accept it."""
  team = state.team_settings(job.team)
  if team is None:
    return errors.BadRequestError(
        f"no settings for team {job.team!r}", codes.Code.UNKNOWN_TEAM
    )
  limit = team.max_tasks_per_job
  if len(job.tasks) > limit:
    return errors.BadRequestError(
        f"{len(job.tasks)} tasks, team limit {limit}", codes.Code.JOB_TOO_LARGE
    )
  return None


def refuse(
    state, waiter: state_lib.Waiter, error: errors.FescueError
) -> events.SendOutcome:
  """Returns the effect that refuses one request, with a retry-after time."""
  outcome = claims.Outcome(
      error=error, retry_after_s=state.limits.retry_after_s
  )
  return complete_request(state, waiter, outcome)


def complete_request(
    state, waiter: state_lib.Waiter, outcome: claims.Outcome
) -> events.SendOutcome:
  """Returns the effect that completes one request with its outcome.

  An outcome that leaves a job's key free says that nothing of the job ran. It
  is replaced by "unknown" if a forwarded copy of the job got no reply, because
  that copy may have run the job, or may still do so.
  """
  job = waiter.request
  if (
      waiter.forward_lost
      and isinstance(job, messages.Job)
      and answers.leaves_key_free(outcome)
  ):
    answer = answers.owner_lost(job, state.limits.retry_after_s)
    outcome = claims.Outcome(answer=answer)
  return events.SendOutcome(waiter.request_id, outcome)


def _forward_while_draining(state, waiter: state_lib.Waiter) -> list:
  """Forwards a new key to another entry host while draining, or refuses it.

  A request that was forwarded already is refused.
  """
  view = state.membership.view
  others = [n for n in (view.holder_names if view else ()) if n != state.name]
  if not others or waiter.hops:
    error = errors.FescueError("entry host is stopping", codes.Code.DRAINING)
    return [refuse(state, waiter, error)]
  target = next((n for n in view.holders(waiter.key) if n in others), others[0])
  return [forward(state, waiter, view.member(target))]


def forward(
    state, waiter: state_lib.Waiter, member: events.Member
) -> events.SendPeerRequest:
  """Returns the effect that forwards a request to `member`."""
  state.counters["forwarded"] += 1
  request, hops = waiter.request, waiter.hops + 1
  if isinstance(request, messages.Cancel):
    message = claims.ForwardCancel(request, hops)
    timeout_s = CANCEL_DEADLINE_S
  else:
    message = claims.ForwardJob(request, hops)
    team = state.team_settings(request.team)
    default_ms = team.deadline_ms if team else 0
    timeout_s = (request.deadline_ms or default_ms) / 1000
  state.forwarded_requests[waiter.request_id] = state_lib.ForwardedRequest(
      waiter, member
  )
  return events.SendPeerRequest(member, message, timeout_s, waiter.request_id)


def _join_job(
    state, record: state_lib.JobRecord, waiter: state_lib.Waiter
) -> list:
  """Handles a request for a key that this host coordinates already.

  Joining never starts another task.
  """
  request = waiter.request
  state.counters["joined"] += 1
  if isinstance(request, messages.Cancel):
    return _cancel(state, record, waiter)
  known = record.job.fingerprint
  if known and known != request.fingerprint:
    error = errors.BadRequestError(
        "Idempotency-Key was used for another job", codes.Code.KEY_REUSED
    )
    return [refuse(state, waiter, error)]
  if record.done:
    return [_reply(state, record, waiter)]
  record.waiters.append(waiter)
  return []


def _cancel(state, record, waiter: state_lib.Waiter) -> list:
  """Cancels a job; its unsent tasks never run.

  Tasks in flight are answered with TASK_UNKNOWN. A job that has no task in
  flight or ended is answered with JOB_CANCELLED and keeps its key, so that a
  late copy of its submission doesn't run it.
  """
  if record.done:
    return [_reply(state, record, waiter)]
  record.waiters.append(waiter)
  state.counters["cancelled"] += 1
  running = record.phase is state_lib.Phase.RUNNING
  if running and (record.in_flight or record.answers):
    return fail_job(state, record, codes.Code.TASK_NOT_RUN_CANCELLED)
  record.cancelled = True
  if running:
    return finish_job(state, record, answers.cancelled(record.job))
  # The holders must store the cancellation before it is acknowledged.
  record.number = state.next_number()
  return state.admit(state, record)


def _reply(state, record, waiter: state_lib.Waiter) -> events.SendOutcome:
  answer = record.final_answer
  request = waiter.request
  if not answer.tasks and isinstance(request, messages.Job):
    answer = answers.cancelled(request)
  return complete_request(state, waiter, claims.Outcome(answer=answer))


def start_tasks(
    state: state_lib.EntryState, record: state_lib.JobRecord
) -> list:
  """Queues the tasks of a job whose key is claimed, or ends a cancelled job."""
  record.phase = state_lib.Phase.RUNNING
  if record.cancelled:
    return finish_job(state, record, answers.cancelled(record.job))
  team = state.team_settings(record.job.team)
  if team is None or not state.endpoints.has_service(team.service):
    return fail_job(state, record, codes.Code.TASK_NOT_RUN_NO_ENDPOINT)
  job = record.job
  state.queue.add(job.team, record, (t.task_id for t in job.tasks))
  dispatch.schedule_overdue_check(state, record)
  return dispatch.dispatch(state)


def task_finished(
    state: state_lib.EntryState, event: events.TaskFinished
) -> list:
  """Handles the result of one task."""
  state.endpoints.record_finish(event.endpoint)
  record = state.jobs.get(event.key)
  if record is None or event.task_id not in record.in_flight:
    return dispatch.dispatch(state)
  state.queue.busy[record.job.team] -= 1
  del record.in_flight[event.task_id]
  dispatch.record_task_outcome(state, record, event)
  if record.done:
    state.counters["late_answers"] += 1
    return dispatch.dispatch(state)
  effects = []
  if codes.task_ran(event.code) == codes.Ran.NOT_RUN:
    effects = _retry_unstarted(state, record, event)
  else:
    record.answers[event.task_id] = messages.TaskAnswer(
        event.task_id, event.code, event.result
    )
    if event.code != codes.Code.TASK_DONE:
      effects = fail_job(state, record, codes.Code.TASK_NOT_RUN_JOB_FAILED)
    elif len(record.answers) == len(record.job.tasks):
      effects = _complete(state, record)
  return effects + dispatch.dispatch(state)


def _retry_unstarted(state, record, event: events.TaskFinished) -> list:
  """Requeues a task that its endpoint did not start, up to a retry limit."""
  record.retries += 1
  state.counters["not_started"] += 1
  if record.retries > MAX_NOT_STARTED_RETRIES * len(record.job.tasks):
    record.answers[event.task_id] = messages.TaskAnswer(
        event.task_id, codes.Code.TASK_NOT_RUN_REFUSED
    )
    return fail_job(state, record, codes.Code.TASK_NOT_RUN_JOB_FAILED)
  state.queue.requeue(record.job.team, record, event.task_id)
  return []


def _complete(state, record) -> list:
  state.counters["complete"] += 1
  return finish_job(state, record, answers.completed(record))


def fail_job(state, record, unsent: codes.Code) -> list:
  """Ends a running job now.

  Tasks in flight get TASK_UNKNOWN, tasks never sent the code `unsent`.
  """
  state.counters["failed"] += 1
  retry_after_s = state.limits.retry_after_s
  return finish_job(
      state, record, answers.incomplete(record, unsent, retry_after_s)
  )


def _holds_claim(state, record) -> bool:
  """Returns True if a job's key is certain to be claimed by this host.

  A host that was paused until its claims lapsed can't know which other host has
  claimed the key since, nor what that one has started. Half of the extra time
  that holders keep a claim allows for clocks that differ.
  """
  keep_s = state.limits.answer_keep_s + CLAIM_KEEP_EXTRA_S / 2
  running = record.phase is state_lib.Phase.RUNNING
  return running and state.now < record.deadline + keep_s


def finish_job(state, record, answer: messages.JobAnswer) -> list:
  """Sends the final answer to every waiter, stores it and replicates it."""
  claimed = _holds_claim(state, record)
  record.final_answer = answer
  record.phase = state_lib.Phase.DONE
  effects = [_reply(state, record, w) for w in record.waiters]
  record.waiters.clear()
  if claimed and answers.leaves_key_free(claims.Outcome(answer=answer)):
    # No task started, so a retry of the job may run from the beginning.
    return effects + discard_record(state, record)
  if claimed:
    # Replicate first: an answer that a caller has received must survive a
    # crash of this host.
    effects = _replicate_answer(state, record) + effects
  keep_until = state.now + state.limits.answer_keep_s
  state.schedule(keep_until, lambda s: _expire(s, record))
  return effects


def _replicate_answer(state, record) -> list:
  """Replicates the answer to holders, for retries after this host crashes."""
  claim = make_claim(state, record)
  state.claims.put(claim, state.now)
  remote = _remote_holders(state, claim.key)
  copies = len(remote) if record.cancelled else ANSWER_COPIES
  return [
      events.SendPeerNotice(m, claims.AnswerCopy(claim))
      for m in remote[:copies]
  ]


def _remote_holders(state, key: str) -> list[events.Member]:
  """Returns the key's other holders; those on other racks come first."""
  view = state.membership.view
  names = view.holders(key) if view else ()
  me = state.member(state.name)
  rack = me.rack if me else ""
  others = [view.member(n) for n in names if n != state.name]
  return sorted(others, key=lambda m: bool(rack) and m.rack == rack)


def make_claim(state, record) -> claims.Claim:
  """Returns the coordinator's current claim of a record's key."""
  may_run_s = 0.0 if record.done else max(0.0, record.deadline - state.now)
  keep_s = may_run_s + state.limits.answer_keep_s + CLAIM_KEEP_EXTRA_S
  return claims.Claim(
      key=record.job.key,
      fingerprint=record.job.fingerprint,
      owner=state.me,
      number=record.number,
      keep_s=keep_s,
      answer=record.final_answer,
  )


def discard_record(state, record) -> list:
  """Deletes the record of a job that started no task; releases its claim."""
  record.phase = state_lib.Phase.DONE
  if state.jobs.get(record.job.key) is record:
    del state.jobs[record.job.key]
  release = claims.Release(record.job.key, state.me, record.number)
  state.claims.release(release)
  return [
      events.SendPeerNotice(m, release)
      for m in _remote_holders(state, record.job.key)
  ]


def refuse_all(state, record, error: errors.FescueError) -> list:
  """Refuses every waiter of a job whose key was not claimed; deletes it."""
  effects = [refuse(state, w, error) for w in record.waiters]
  record.waiters.clear()
  state.counters["refused"] += len(effects)
  return effects + discard_record(state, record)


def _handle_deadline(state, record) -> list:
  if record.done:
    return []
  if record.phase is state_lib.Phase.RUNNING:
    unsent = (
        codes.Code.TASK_NOT_RUN_DEADLINE
        if _holds_claim(state, record)
        else codes.Code.TASK_UNKNOWN_OWNER_LOST
    )
    return fail_job(state, record, unsent)
  return refuse_all(state, record, unclaimed_error(record))


def unclaimed_error(record) -> errors.FescueError:
  """Returns the refusal of a request whose key could not be claimed."""
  return errors.FescueError(
      f"key {record.job.key!r} could not be claimed; this request started"
      " nothing",
      codes.Code.NO_OWNER,
  )


def _expire(state, record) -> list:
  """Deletes a finished job's record once none of its tasks is in flight."""
  if record.in_flight:
    retry = state.now + 1.0
    state.schedule(retry, lambda s: _expire(s, record))
  elif state.jobs.get(record.job.key) is record:
    del state.jobs[record.job.key]
  return []


def is_idle(state: state_lib.EntryState) -> bool:
  """Returns True when no job, task or forwarded request is in progress."""
  if state.forwarded_requests:
    return False
  return all(r.done and not r.in_flight for r in state.jobs.values())
