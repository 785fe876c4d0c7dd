"""What a coordinator does with one job: offers, withdraws, answers it."""

import zlib

from fescueturn.scheduler import coordinatorstate
from fescueturn.scheduler import events
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model

# A holder that is silent for this long gets no new jobs: five pings' answers.
HOLDER_TIMEOUT_S = 0.5
# A holder of another data centre is taken to be there for so long without word:
# two of the pings that it gets while no job is there, one a second.
FAR_SILENCE_S = 2.2
# When to come back, for a job refused for want of room: a burst of more than
# the endpoints can do fades within a second or two.
RETRY_AFTER_S = 1
# The same while every data centre is evacuated: the operator takes them back one
# by one, after minutes.
EVACUATED_RETRY_AFTER_S = 5
_EVACUATED = "evacuated"


def usable(state, shard: model.Shard) -> bool:
  """Returns whether the shard's holder may be offered jobs."""
  evacuated = state.evacuations.evacuated(shard.data_centre)
  return not evacuated and reachable(state, shard)


def reachable(state, shard: model.Shard) -> bool:
  """Returns whether the shard's holder is taken to be there."""
  record = state.holders[shard]
  expects = _expects_word(state, shard)
  patience_s = HOLDER_TIMEOUT_S if expects else FAR_SILENCE_S
  return not record.lost and state.now - record.last_contact_at < patience_s


def _expects_word(state, shard: model.Shard) -> bool:
  """Returns whether pings go to the shard's holder now."""
  return shard.data_centre == state.data_centre or any(
      job.shard == shard for job in state.jobs.values()
  )


def offer_next(state, record: coordinatorstate.JobRecord):
  """Offers the job to the next holder, or refuses it.

  The holders are first asked one after the other to begin it at once, the
  nearest first; then the one with the shortest wait is asked to let it wait.
  """
  shard = _next_unasked(state, record)
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
  """Returns what a job is answered that its caller no longer waits for.

  An offer without an answer may have been taken up already.
  """
  offered = record.phase is coordinatorstate.Phase.OFFERED
  may_run = offered or record.may_be_running or record.may_have_run
  return model.Outcome.UNKNOWN if may_run else model.Outcome.NOT_RUN


def _shortest_wait(
    state, record: coordinatorstate.JobRecord
) -> model.Shard | None:
  """Returns the shard that would begin the job soonest, if any would."""
  waits = {
      s: ms for s, ms in record.wait_ms_by_shard.items() if usable(state, s)
  }
  return min(
      waits,
      key=lambda s: (waits[s], s.data_centre != state.data_centre),
      default=None,
  )


def _next_unasked(
    state, record: coordinatorstate.JobRecord
) -> model.Shard | None:
  """Returns the nearest shard that has not declined the job yet."""
  open_shards = [
      s
      for s in state.holders
      if s not in record.declined_by
      and s not in record.wait_ms_by_shard
      and usable(state, s)
  ]
  if not open_shards:
    return None
  return min(
      open_shards,
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
    shard: whose holder it is offered to.
    resumed: whether it may have begun.
    immediate_only: whether it is to be taken only if nothing of it has to wait.
  """
  holder = state.holders[shard]
  if not _expects_word(state, shard):
    holder.last_contact_at = state.now
  record.shard = shard
  record.process = holder.process
  record.phase = coordinatorstate.Phase.OFFERED
  record.offer_count += 1
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
  """Gives the caller its final answer."""
  retry_after_s = 0
  if outcome is model.Outcome.NOT_RUN:
    closed = reason == _EVACUATED and _all_evacuated(state)
    retry_after_s = EVACUATED_RETRY_AFTER_S if closed else RETRY_AFTER_S
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


def withdraw(state, record: coordinatorstate.JobRecord):
  """Tells the job's holder, if it still is one, that nobody wants it.

  A kept job is wanted whatever becomes of its caller.
  """
  if record.job.kept:
    return
  holder = state.holders.get(record.shard) if record.shard else None
  if holder is not None and holder.process == record.process:
    state.send_to_holder(
        record.shard, linkmessages.Withdrawn(record.shard, record.key)
    )
