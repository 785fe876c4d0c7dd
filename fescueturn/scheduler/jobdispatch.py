"""Dispatch of a coordinator's job: offer it, withdraw it, answer its caller."""

import zlib
from collections.abc import Callable

from fescueturn.scheduler import coordinatorstate
from fescueturn.scheduler import events
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model

# A holder that sends nothing for this long gets no new jobs: five ping periods.
HOLDER_TIMEOUT_S = 0.5
# The same for a holder of another data centre that has no job of this host's:
# two of the pings that it gets once a second.
REMOTE_HOLDER_TIMEOUT_S = 2.2
# Retry-After of a job refused for lack of capacity: a burst above the
# endpoints' capacity passes within a second or two.
RETRY_AFTER_S = 1
# Retry-After while every data centre is evacuated: the operator ends
# evacuations one by one, after minutes.
EVACUATED_RETRY_AFTER_S = 5
# A holder ends a job at its caller's deadline, counted from the arrival of the
# offer. No offer arrives later than this: a connection fails when data stays
# unacknowledged for 1.5 s.
MAX_OFFER_DELAY_S = 2.0
# The largest number of a withdrawal that a message can hold.
_MAX_WITHDRAWAL = 2**16 - 1
_EVACUATED = "evacuated"


def usable(state, shard: model.Shard) -> bool:
  """Returns whether the shard's holder may be offered jobs."""
  evacuated = state.evacuations.evacuated(shard.data_centre)
  return not evacuated and reachable(state, shard)


def reachable(state, shard: model.Shard) -> bool:
  """Returns whether the shard's holder is presumed reachable."""
  record = state.holders[shard]
  is_pinged = _is_pinged(state, shard)
  timeout_s = HOLDER_TIMEOUT_S if is_pinged else REMOTE_HOLDER_TIMEOUT_S
  return not record.lost and state.now - record.last_contact_at < timeout_s


def _is_pinged(state, shard: model.Shard) -> bool:
  """Returns whether the shard's holder is pinged several times a second now."""
  return shard.data_centre == state.data_centre or any(
      job.shard == shard for job in state.jobs.values()
  )


def offer_next(state, record: coordinatorstate.JobRecord):
  """Offers the job to the next holder; holds or refuses it if there is none.

  The job is first offered to the holders one after the other, the nearest
  first, and each accepts it only if it can start at once. Then it is offered to
  the holder with the shortest wait, to be queued there.
  """
  shard = _nearest_untried(state, record)
  if shard is not None:
    immediate_only = not record.may_be_running
    offer(state, record, shard, record.may_be_running, immediate_only)
    return
  shard = _shortest_wait(state, record)
  if shard is not None:
    offer(state, record, shard, record.may_be_running)
    return
  record.phase = coordinatorstate.Phase.HELD
  reason = record.reason
  if not reason and _all_evacuated(state):
    reason = _EVACUATED
  if not reason and not state.serves:
    reason = "no_holder"
  if reason or record.may_be_running or record.may_have_run:
    answer(state, record, unserved_outcome(record), reason or "no_holder")


def _all_evacuated(state) -> bool:
  """Returns whether every data centre that has a holder is evacuated."""
  return bool(state.holders) and all(
      state.evacuations.evacuated(shard.data_centre) for shard in state.holders
  )


def unserved_outcome(record: coordinatorstate.JobRecord) -> model.Outcome:
  """Returns the outcome of a job that is given up without a result.

  An offer without an answer may have been accepted already, so the outcome of
  such a job is unknown.
  """
  is_offered = record.phase is coordinatorstate.Phase.OFFERED
  may_run = is_offered or record.may_be_running or record.may_have_run
  return model.Outcome.UNKNOWN if may_run else model.Outcome.NOT_RUN


def _shortest_wait(
    state, record: coordinatorstate.JobRecord
) -> model.Shard | None:
  """Returns the shard that would start the job soonest, if any would."""
  waits = {
      s: ms for s, ms in record.wait_ms_by_shard.items() if usable(state, s)
  }
  return min(
      waits,
      key=lambda s: (waits[s], s.data_centre != state.data_centre),
      default=None,
  )


def _nearest_untried(
    state, record: coordinatorstate.JobRecord
) -> model.Shard | None:
  """Returns the nearest usable shard that has not declined the job yet."""
  untried = [
      s
      for s in state.holders
      if s not in record.declined_by
      and s not in record.wait_ms_by_shard
      and usable(state, s)
  ]
  if not untried:
    return None
  return min(
      untried,
      key=lambda s: (
          s.data_centre != state.data_centre,
          zlib.crc32(f"{record.job.id}{s.data_centre}{s.number}".encode()),
      ),
  )


def offer(
    state,
    record: coordinatorstate.JobRecord,
    shard: model.Shard,
    resumed: bool,
    immediate_only: bool = False,
):
  """Offers the job to a shard's holder.

  Args:
    state: the coordinator's state.
    record: the job.
    shard: the shard to whose holder the job is offered.
    resumed: whether the job may have started before.
    immediate_only: whether to accept the job only if none of its tasks has to
      wait.
  """
  holder = state.holders[shard]
  if not _is_pinged(state, shard):
    holder.last_contact_at = state.now
  record.shard = shard
  record.process = holder.process
  record.phase = coordinatorstate.Phase.OFFERED
  record.offer_count += 1
  # The caller may have sent a withdrawn job again.
  forget_withdrawals(
      state,
      lambda w: (w.message.key, w.message.shard) == (record.key, shard),
  )
  state.emit(_offer_log(state, record, holder, resumed))
  state.send_to_holder(
      shard,
      linkmessages.Offered(
          shard,
          record.key,
          record.job,
          state.now - record.arrived,
          record.deadline - state.now,
          resumed,
          record.offer_count,
          immediate_only,
      ),
  )


def _offer_log(
    state,
    record: coordinatorstate.JobRecord,
    holder: coordinatorstate.HolderRecord,
    resumed: bool,
):
  return events.log(
      "job_offered",
      job=record.job.id,
      request=record.trace_id,
      queue=record.job.queue,
      data_centre=record.shard.data_centre,
      holder=holder.holder.host,
      fence=holder.holder.fence,
      holder_heard_ms_ago=int((state.now - holder.last_contact_at) * 1000),
      offer=record.offer_count,
      may_have_begun=resumed,
      age_ms=int((state.now - record.arrived) * 1000),
      left_ms=int((record.deadline - state.now) * 1000),
  )


def answer(
    state,
    record: coordinatorstate.JobRecord,
    outcome: model.Outcome,
    reason: str,
    keep_record: bool = False,
):
  """Sends the caller its final answer.

  Args:
    state: the coordinator's state.
    record: the job.
    outcome: how the job ended.
    reason: why, in one word, for the logs.
    keep_record: whether the job's record stays, for a repeated request.
  """
  retry_after_s = 0
  if outcome is model.Outcome.NOT_RUN:
    is_evacuated = reason == _EVACUATED and _all_evacuated(state)
    retry_after_s = EVACUATED_RETRY_AFTER_S if is_evacuated else RETRY_AFTER_S
  state.emit(
      events.Answer(record.request_id, outcome, retry_after_s, reason),
      events.log(
          "job_answered",
          job=record.job.id,
          request=record.trace_id,
          outcome=outcome.value,
          reason=reason,
          shard=record.shard.data_centre if record.shard else "",
          holder=record.process.host if record.process else "",
          tasks=record.job.task_count,
          age_ms=int((state.now - record.arrived) * 1000),
          wait_ms=record.wait_ms,
      ),
  )
  state.counters[f"answer_{outcome.value}"] += 1
  state.by_request.pop(record.request_id, None)
  if not keep_record:
    state.jobs.pop(record.job.id, None)


def give_up(state, record: coordinatorstate.JobRecord, reason: str):
  """Withdraws a job that has no result and answers its caller."""
  withdraw(state, record)
  answer(state, record, unserved_outcome(record), reason)


def withdraw(state, record: coordinatorstate.JobRecord):
  """Withdraws the job from its holder, if that still holds the shard.

  The withdrawal is repeated with each ping until the holder confirms it, since
  pings alone would let the job run on. A holder that gets neither ends the job.
  A kept job is not withdrawn: it runs whether or not its caller still waits.
  """
  if record.job.kept:
    return
  holder = state.holders.get(record.shard) if record.shard else None
  if holder is None or holder.process != record.process:
    return
  number = state.last_withdrawal % _MAX_WITHDRAWAL + 1
  state.last_withdrawal = number
  message = linkmessages.Withdrawn(record.shard, record.key, number)
  state.withdrawals[number] = coordinatorstate.Withdrawal(
      message, record.process, record.deadline + MAX_OFFER_DELAY_S
  )
  state.send_to_holder(record.shard, message)


def repeat_withdrawals(state, shard: model.Shard):
  """Sends the unconfirmed withdrawals to a shard's holder again."""
  holder = state.holders[shard]
  for withdrawal in state.withdrawals.values():
    message = withdrawal.message
    if message.shard == shard and withdrawal.process == holder.process:
      state.send_to_holder(shard, message)


def forget_withdrawals(
    state, is_over: Callable[[coordinatorstate.Withdrawal], bool]
):
  """Stops repeating the withdrawals for which `is_over` returns True."""
  state.withdrawals = {
      number: withdrawal
      for number, withdrawal in state.withdrawals.items()
      if not is_over(withdrawal)
  }
