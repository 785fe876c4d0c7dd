"""The coordinator: the host that a caller's job reached, until its answer.

It offers the job to the holder of its own data centre's endpoints, then to
those of the other data centres, and answers the caller once. A job that was
accepted stays with its holder; if that holder is lost, the next holder of the
same shard gets it with its running tasks, or the job is given up.
"""

from fescueturn.scheduler import coordinatorstate
from fescueturn.scheduler import events
from fescueturn.scheduler import jobdispatch
from fescueturn.scheduler import jobqueries
from fescueturn.scheduler import keptevents
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model

# A coordinator tells a holder this often that it is alive: three pings within
# the holder's patience of 0.35 s.
PING_PERIOD_S = 0.1
# A holder of this data centre that has no job of this host's is told less often:
# two and a half pings within the silence (0.5 s) that makes a holder unusable.
IDLE_PING_PERIOD_S = 0.19
# Holders of other data centres are asked how many jobs wait there this often,
# while no job of this host is there: callers may be told a count 2 s old.
FAR_PING_PERIOD_S = 1.0
# A job whose holder is lost waits this long for the shard's next one: the
# claim in the store lapses 1.5 s after its last renewal, and the next holder
# needs some 50 ms. No other shard may start the job meanwhile, since its runs
# may go on for 0.4 s of silence and a lease of 0.8 s.
ORPHAN_PATIENCE_S = 2.0
# A job that has not begun waits this long for a holder when there is none: a
# planned stop hands a shard over in some 30 ms, a killed holder's is taken over
# within 0.2 s.
HELD_PATIENCE_S = 0.3
# A caller gets its answer this long before it stops waiting: a round trip to
# the client and a slow host's tick.
ANSWER_MARGIN_S = 0.03


def handle_job(state: coordinatorstate.Coordinator, event: events.JobArrived):
  """Takes a caller's job and offers it."""
  earlier = state.jobs.get(event.job.id)
  if earlier is not None:
    # The caller sent the job again: the newer request gets the answer.
    jobdispatch.answer(
        state, earlier, model.Outcome.UNKNOWN, "sent_again", keep_record=True
    )
  key = linkmessages.JobKey(state.me, event.job.id)
  record = coordinatorstate.JobRecord(
      event.request_id,
      key,
      event.job,
      state.now,
      event.deadline_s,
      event.trace_id,
  )
  if earlier is not None:
    _continue(state, record, earlier)
    return
  _register(state, record)
  jobdispatch.offer_next(state, record)


def _continue(
    state,
    record: coordinatorstate.JobRecord,
    earlier: coordinatorstate.JobRecord,
):
  """A job sent again goes on where its first request was."""
  earlier.request_id = record.request_id
  earlier.trace_id = record.trace_id
  state.by_request[record.request_id] = earlier
  state.counters["joined"] += 1


def _register(state, record: coordinatorstate.JobRecord):
  state.jobs[record.job.id] = record
  state.by_request[record.request_id] = record
  state.counters["jobs"] += 1


def handle_message(
    state: coordinatorstate.Coordinator, event: events.HolderMessageReceived
):
  """Takes a message from a holder."""
  holder = state.holders.get(event.shard)
  if holder is None or holder.process != event.process:
    return
  holder.last_contact_at = state.now
  message = event.message
  if isinstance(message, linkmessages.Pong):
    _ponged(state, event.shard, holder, message)
    return
  if isinstance(message, keptevents.KeptJobReply):
    jobqueries.handle_state_report(state, message)
    return
  record = state.jobs.get(message.key.job_id)
  if record is None or record.key != message.key:
    return
  if record.shard != event.shard or record.process != event.process:
    return
  _ON_MESSAGE[type(message)](state, record, message)


def _ponged(
    state,
    shard,
    holder: coordinatorstate.HolderRecord,
    message: linkmessages.Pong,
):
  holder.pending = dict(message.pending)
  holder.update_roster(message)
  if not message.holding:
    _holder_lost(state, shard, "stood_down")
    return
  if holder.lost:
    holder.lost = False
    state.emit(
        events.log(
            "holder_regained",
            data_centre=shard.data_centre,
            holder=holder.holder.host,
            fence=holder.holder.fence,
        )
    )
    _offer_again(state, shard)
  else:
    _offer_orphans(state, shard)


def _offer_orphans(state, shard: model.Shard):
  """Offers the shard's holder, which is alive, jobs that still wait for it."""
  for record in list(state.jobs.values()):
    if (
        record.shard == shard
        and record.phase is coordinatorstate.Phase.ORPHANED
    ):
      jobdispatch.offer(state, record, shard, resumed=True)


def _offer_again(state, shard: model.Shard):
  """Offers the shard's holder the jobs that an earlier one had."""
  for record in list(state.jobs.values()):
    if record.phase is coordinatorstate.Phase.HELD:
      jobdispatch.offer(state, record, shard, resumed=False)
    elif record.shard == shard:
      # An offer without an answer may have been taken up by that holder.
      record.may_be_running = True
      jobdispatch.offer(state, record, shard, resumed=True)


def offer_held_jobs(state: coordinatorstate.Coordinator):
  """Offers jobs that no holder could take: a data centre may be open again."""
  for record in list(state.jobs.values()):
    if record.phase is coordinatorstate.Phase.HELD:
      jobdispatch.offer_next(state, record)


def _accepted(
    state, record: coordinatorstate.JobRecord, message: linkmessages.Accepted
):
  if record.job.kept:
    # It is stored and runs on its own from now on.
    jobdispatch.answer(state, record, model.Outcome.KEPT, "stored")
    return
  if message.number != record.offer_count:
    return
  record.phase = coordinatorstate.Phase.ACCEPTED
  record.may_be_running = True
  record.orphaned_at = 0.0


def _declined(
    state, record: coordinatorstate.JobRecord, message: linkmessages.Declined
):
  if message.number != record.offer_count:
    # A later offer to the same holder may have been accepted.
    return
  if record.may_be_running:
    # Its runs may go on under the shard's next holder, and only there: a host
    # that was offered the job may not know yet that it is the holder.
    _orphan(state, record)
    return
  if message.in_time:
    record.wait_ms_by_shard[record.shard] = message.wait_ms
    jobdispatch.offer_next(state, record)
    return
  record.wait_ms_by_shard.pop(record.shard, None)
  record.declined_by.add(record.shard)
  if message.wait_ms:
    record.reason = message.reason
    record.wait_ms = max(record.wait_ms, message.wait_ms)
  jobdispatch.offer_next(state, record)


def _returned(
    state, record: coordinatorstate.JobRecord, message: linkmessages.Returned
):
  """The holder gave the job back: it may run afresh in another data centre."""
  if message.number != record.offer_count:
    return  # A later offer to the same holder is under way.
  record.may_have_run = record.may_have_run or message.may_have_run
  record.may_be_running = False
  record.wait_ms_by_shard.clear()
  record.declined_by = {record.shard}
  jobdispatch.offer_next(state, record)


def _job_ended(
    state, record: coordinatorstate.JobRecord, message: linkmessages.JobEnded
):
  jobdispatch.answer(state, record, message.outcome, message.reason)


_ON_MESSAGE = {
    linkmessages.Accepted: _accepted,
    linkmessages.Declined: _declined,
    linkmessages.JobEnded: _job_ended,
    linkmessages.Returned: _returned,
}


def handle_caller_disconnect(
    state: coordinatorstate.Coordinator, request_id: int
):
  """The caller hung up: nobody wants the job any more."""
  record = state.by_request.pop(request_id, None)
  if record is None:
    return
  state.jobs.pop(record.job.id, None)
  state.counters["caller_gone"] += 1
  state.emit(
      events.log(
          "caller_gone",
          job=record.job.id,
          request=record.trace_id,
          phase=record.phase.value,
          age_ms=int((state.now - record.arrived) * 1000),
      )
  )
  jobdispatch.withdraw(state, record)


def handle_cancellation(state: coordinatorstate.Coordinator, job_id: str):
  """The caller cancelled the job."""
  record = state.jobs.get(job_id)
  if record is not None:
    jobdispatch.withdraw(state, record)
    jobdispatch.answer(state, record, model.Outcome.UNKNOWN, "cancelled")


def abort_all(state: coordinatorstate.Coordinator):
  """Answers every caller that still waits: this process ends."""
  for record in list(state.jobs.values()):
    jobdispatch.withdraw(state, record)
    jobdispatch.answer(
        state, record, jobdispatch.unserved_outcome(record), "stopping"
    )
  jobqueries.abort_all(state)


def pending(state: coordinatorstate.Coordinator, queue: str) -> int:
  """Returns how many of a queue's jobs have not begun.

  They are the kept ones of all shards, as their holders last told, and those
  here that no holder has taken yet.
  """
  kept = sum(h.pending.get(queue, 0) for h in state.holders.values())
  here = sum(
      job.job.queue == queue and job.phase is coordinatorstate.Phase.OFFERED
      for job in state.jobs.values()
  )
  return kept + here


def handle_holder_change(
    state: coordinatorstate.Coordinator, event: events.HolderChanged
):
  """The store names another holder of a shard."""
  before = state.holders.get(event.shard)
  if event.holder is None:
    if before is not None and not alive(state, before):
      _holder_lost(state, event.shard, "claim_ended")
    return
  if before is not None and before.holder.fence >= event.holder.fence:
    return
  after = coordinatorstate.HolderRecord(event.holder, state.now)
  state.holders[event.shard] = after
  state.emit(
      events.log(
          "holder_changed",
          data_centre=event.shard.data_centre,
          holder=event.holder.host,
          fence=event.holder.fence,
      )
  )
  if before is None or before.lost or before.process != after.process:
    _offer_again(state, event.shard)


def alive(
    state: coordinatorstate.Coordinator, record: coordinatorstate.HolderRecord
) -> bool:
  """Returns whether a holder was heard from of late."""
  return not record.lost and not silent(state, record)


def handle_link_lost(
    state: coordinatorstate.Coordinator, event: events.LinkLost
):
  """The link to a holder broke."""
  holder = state.holders.get(event.shard)
  if holder is not None and holder.process == event.process:
    _holder_lost(state, event.shard, "refused" if event.refused else "link")


def _holder_lost(state, shard: model.Shard, why: str):
  holder = state.holders[shard]
  if not holder.lost:
    state.emit(
        events.log(
            "holder_lost",
            data_centre=shard.data_centre,
            holder=holder.holder.host,
            fence=holder.holder.fence,
            why=why,
            heard_ms_ago=int((state.now - holder.last_contact_at) * 1000),
        )
    )
  holder.lost = True
  for record in list(state.jobs.values()):
    if record.shard == shard and record.phase in coordinatorstate.AT_HOLDER:
      _orphan(state, record)


def _orphan(state, record: coordinatorstate.JobRecord):
  """The job's holder is lost: it waits, or goes elsewhere if not begun."""
  record.may_be_running = True
  record.phase = coordinatorstate.Phase.ORPHANED
  record.orphaned_at = record.orphaned_at or state.now


def tick(state: coordinatorstate.Coordinator):
  """Pings holders, gives up offers and jobs whose time is over."""
  _ping(state)
  jobqueries.tick(state)
  _note_served(state)
  for record in list(state.jobs.values()):
    if state.now > record.deadline - ANSWER_MARGIN_S:
      jobdispatch.withdraw(state, record)
      jobdispatch.answer(
          state, record, jobdispatch.unserved_outcome(record), "deadline"
      )
    elif record.phase is coordinatorstate.Phase.HELD:
      if state.now - record.arrived > HELD_PATIENCE_S:
        jobdispatch.answer(
            state, record, jobdispatch.unserved_outcome(record), "no_holder"
        )
    elif record.phase is coordinatorstate.Phase.ORPHANED:
      if state.now - record.orphaned_at > ORPHAN_PATIENCE_S:
        jobdispatch.answer(
            state, record, jobdispatch.unserved_outcome(record), "holder_lost"
        )
    elif not jobdispatch.reachable(state, record.shard):
      _holder_lost(state, record.shard, "silent")


def _note_served(state):
  """Notes whether a job could be offered to any holder."""
  if any(jobdispatch.usable(state, shard) for shard in state.holders):
    state.unserved_since = None
  elif state.unserved_since is None:
    state.unserved_since = state.now


def _ping(state):
  if state.now - state.pinged_at < PING_PERIOD_S:
    return
  state.pinged_at = state.now
  far_too = state.now - state.remote_pinged_at >= FAR_PING_PERIOD_S
  if far_too:
    state.remote_pinged_at = state.now
  busy = {job.shard for job in state.jobs.values()}
  doubts = _doubts(state)
  for shard, holder in state.holders.items():
    near = shard.data_centre == state.data_centre
    due = state.now - holder.pinged_at > IDLE_PING_PERIOD_S
    tells = bool(doubts) and not near
    if (near and due) or far_too or shard in busy or holder.lost or tells:
      holder.pinged_at = state.now
      # Only a host of the same data centre may be the shard's next holder.
      roster = holder.roster_version if near else None
      can_hold = near and state.can_hold
      state.send_to_holder(
          shard,
          linkmessages.Ping(
              shard,
              state.me,
              state.now,
              roster,
              can_hold,
              () if near else doubts,
          ),
      )


def _doubts(state) -> tuple[linkmessages.SuspectedHolder, ...]:
  """Returns the holders of this data centre that are silent."""
  return tuple(
      linkmessages.SuspectedHolder(shard, record.holder.fence)
      for shard, record in state.holders.items()
      if shard.data_centre == state.data_centre and silent(state, record)
  )


def silent(state, record: coordinatorstate.HolderRecord) -> bool:
  """Returns whether nothing at all has come from a holder for a while."""
  return state.now - record.last_contact_at >= jobdispatch.HOLDER_TIMEOUT_S
