"""Dispatch of a coordinator's job: offer it, withdraw it, answer its caller."""

import dataclasses
from collections.abc import Callable

from fescueturn.scheduler import coordinatorstate
from fescueturn.scheduler import events
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import refusals
from fescueturn.scheduler import shardroom
from fescueturn.scheduler.decisions import shardchoice

# A holder that sends nothing for this long gets no new jobs: five ping periods.
HOLDER_TIMEOUT_S = 0.5
# The same for a holder of another data centre that has no job of this host's:
# two of the pings that it gets once a second.
REMOTE_HOLDER_TIMEOUT_S = 2.2
# Retry-After of a job refused for another reason than a lack of capacity: a
# change of holder takes less than a second.
RETRY_AFTER_S = 1
# How long all holders are asked for their room after a job couldn't start in
# its own data centre: the time of several runs.
ROOM_WANTED_S = 1.0
# Retry-After while every data centre is evacuated: the operator ends
# evacuations one by one, after minutes.
EVACUATED_RETRY_AFTER_S = 5
# Retry-After of a job that no endpoint can run. Entries that expired while the
# store was unavailable return within this.
NO_ENDPOINT_FITS_RETRY_AFTER_S = 2
# A holder ends a job at its caller's deadline, counted from the arrival of the
# offer. No offer is read later than this: a connection fails when data stays
# unacknowledged for 1.5 s, and a host may stand still for 3 s before it reads
# what has arrived.
MAX_OFFER_DELAY_S = 5.0
# The largest number of an offer or a withdrawal that a message can hold.
_MAX_NUMBER = 2**16 - 1
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

  The job is first offered to the holders that may start it at once, its own
  data centre's first; each accepts it only if it can. Then it is offered to the
  holder with the shortest wait, to be queued there.
  """
  if state.offers_paused:
    record.phase = coordinatorstate.Phase.HELD
    return
  demand = shardroom.demand(record.job)
  choice = shardchoice.choose(demand, _shard_views(state, record))
  if choice is not None:
    _offer_by_choice(state, record, choice)
    return
  record.phase = coordinatorstate.Phase.HELD
  reason = record.reason
  if not reason and _all_evacuated(state):
    reason = _EVACUATED
  if not reason and not state.serves:
    reason = "no_holder"
  if reason or record.may_be_running or record.may_have_run:
    answer(state, record, unserved_outcome(record), reason or "no_holder")


def _shard_views(
    state, record: coordinatorstate.JobRecord
) -> list[shardchoice.ShardView]:
  """Returns the usable shards that haven't declined the job outright."""
  views = []
  for shard, holder in state.holders.items():
    if shard in record.declined_by or not usable(state, shard):
      continue
    is_local = shard.data_centre == state.data_centre
    view = holder.room.view(record.job, shard, is_local, state.now)
    put_off_ms = record.wait_ms_by_shard.get(shard)
    views.append(dataclasses.replace(view, put_off_ms=put_off_ms))
  return views


def _offer_by_choice(state, record, choice: shardchoice.Choice):
  is_local = choice.shard.data_centre == state.data_centre
  others_are_full = 0 < choice.max_wait_ms < shardchoice.ANY_WAIT_MS
  if others_are_full or not (is_local and choice.immediate_only):
    state.room_wanted_until = state.now + ROOM_WANTED_S
  immediate_only = choice.immediate_only and not record.may_be_running
  offer(
      state,
      record,
      choice.shard,
      record.may_be_running,
      immediate_only,
      choice,
  )


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


def offer(
    state,
    record: coordinatorstate.JobRecord,
    shard: model.Shard,
    resumed: bool,
    immediate_only: bool = False,
    choice: shardchoice.Choice | None = None,
):
  """Offers the job to a shard's holder.

  Args:
    state: the coordinator's state.
    record: the job.
    shard: the shard to whose holder the job is offered.
    resumed: whether the job may have started before.
    immediate_only: whether to accept the job only if none of its tasks has to
      wait.
    choice: why this shard was chosen; None if it had to be this one.
  """
  holder = state.holders[shard]
  if not _is_pinged(state, shard):
    holder.last_contact_at = state.now
  record.shard = shard
  record.process = holder.process
  record.phase = coordinatorstate.Phase.OFFERED
  record.offer_count += 1
  record.offer_number = record.offer_number % _MAX_NUMBER + 1
  record.offered_at = state.now
  record.choice = choice
  holder.room.record_offer(record.job, state.now)
  state.counters["offers"] += 1
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
          record.offer_number,
          immediate_only,
          choice.max_wait_ms if choice else 0,
          state.callers_seen_at,
      ),
  )


def _offer_log(
    state,
    record: coordinatorstate.JobRecord,
    holder: coordinatorstate.HolderRecord,
    resumed: bool,
):
  choice = record.choice
  return events.log(
      "job_offered",
      job=record.job.id,
      request=record.trace_id,
      queue=record.job.queue,
      data_centre=record.shard.data_centre,
      holder=holder.holder.host,
      fence=holder.holder.fence,
      holder_heard_ms_ago=int((state.now - holder.last_contact_at) * 1000),
      offer=record.offer_number,
      chosen=choice.why if choice else "same_shard",
      max_wait_ms=choice.max_wait_ms if choice else 0,
      expected_wait_ms=refusals.or_unknown(choice and choice.wait_ms),
      room_ms_ago=refusals.age_ms(choice and choice.age_s),
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
  refusal_fields = {}
  if outcome is model.Outcome.NOT_RUN:
    retry_after_s = _retry_after_s(state, record, reason)
    refusal_fields = refusals.log_fields(state, record, retry_after_s)
  elif outcome in (model.Outcome.DONE, model.Outcome.KEPT):
    state.returns.record_served(state.now)
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
          **refusal_fields,
      ),
  )
  state.counters[f"answer_{outcome.value}"] += 1
  state.by_request.pop(record.request_id, None)
  if not keep_record:
    state.remove_job(record)


def _retry_after_s(
    state, record: coordinatorstate.JobRecord, reason: str
) -> int:
  """Returns the Retry-After (s) of a refused job."""
  if reason == _EVACUATED and _all_evacuated(state):
    return EVACUATED_RETRY_AFTER_S
  if reason == linkmessages.NO_ENDPOINT_FITS:
    return NO_ENDPOINT_FITS_RETRY_AFTER_S
  return refusals.retry_after_s(state, record, reason) or RETRY_AFTER_S


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
  number = state.last_withdrawal % _MAX_NUMBER + 1
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
