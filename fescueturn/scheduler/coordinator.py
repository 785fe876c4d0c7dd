"""The coordinator of a job: the host that received it from the caller.

It offers the job to the holder of its own data centre's endpoints, then to
those of the other data centres, and answers the caller once. A job that was
accepted stays with its holder. If that holder is lost, the next holder of the
same shard takes over the job with its running tasks, or the job is given up.
"""

import dataclasses

from fescueturn.scheduler import coordinatorstate
from fescueturn.scheduler import endpointlist
from fescueturn.scheduler import events
from fescueturn.scheduler import jobdispatch
from fescueturn.scheduler import jobqueries
from fescueturn.scheduler import keptevents
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import timebudget

# Period of the heartbeats to a holder that has a job of this host's: three
# pings within the 0.35 s after which the holder takes a coordinator for lost.
PING_PERIOD_S = 0.1
# Period for a holder of this data centre that has no job of this host's: two
# and a half pings within `jobdispatch.HOLDER_TIMEOUT_S` (0.5 s).
IDLE_PING_PERIOD_S = 0.19
# Period for a holder of another data centre that has no job of this host's. Its
# answers give the number of jobs that wait there; callers may get a count that
# is 2 s old.
REMOTE_PING_PERIOD_S = 1.0
# Period of the requests for all holders' room while jobs of this host can't
# start in its data centre: the time of two or three runs. A holder's report
# takes some 230 bytes, and those of three holders 1.4 KB/s.
ROOM_PERIOD_S = 0.5
# How long a job that has not started waits for a holder when there is none: a
# planned stop hands a shard over in some 30 ms, and the shard of a killed
# holder is taken over within 0.2 s.
HELD_TIMEOUT_S = 0.3
# How long before its caller's deadline an unfinished job is answered: the time
# of a round trip to the caller and of a tick on a slow host.
ANSWER_MARGIN_S = 0.03
# How long after the end of a lost holder's claim the holder of another shard
# counts its kept jobs: it looks for them every second.
TAKEN_OVER_S = timebudget.UNCLAIMED_TIMEOUT_S + 3.0
_OUTCOMES_WITH_RESULT = (
    model.Outcome.DONE,
    model.Outcome.FAILED,
    model.Outcome.CANCELLED,
)


def handle_job(state: coordinatorstate.Coordinator, event: events.JobArrived):
  """Handles a job from a caller: registers it and offers it to a holder."""
  earlier = state.jobs.get(event.job.id)
  if earlier is not None:
    # The caller repeated its request: the newer one gets the job's answer.
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
    _join_request(state, record, earlier)
    return
  _register(state, record)
  jobdispatch.offer_next(state, record)


def _join_request(
    state,
    record: coordinatorstate.JobRecord,
    earlier: coordinatorstate.JobRecord,
):
  """Attaches a repeated request to the record of the job it repeats."""
  earlier.request_id = record.request_id
  earlier.trace_id = record.trace_id
  state.by_request[record.request_id] = earlier
  state.counters["joined"] += 1


def _register(state, record: coordinatorstate.JobRecord):
  state.jobs[record.job.id] = record
  # Late answers to its earlier submission have the same key.
  record.offer_number = state.last_offer_number(record.job.id)
  state.by_request[record.request_id] = record
  state.counters["jobs"] += 1


def handle_message(
    state: coordinatorstate.Coordinator, event: events.HolderMessageReceived
):
  """Handles a message from a holder; ignores those of an earlier process."""
  holder = state.holders.get(event.shard)
  if holder is None or holder.process != event.process:
    return
  holder.last_contact_at = state.now
  message = event.message
  if isinstance(message, linkmessages.Pong):
    _pong_received(state, event.shard, holder, message)
    return
  if isinstance(message, linkmessages.EndpointList):
    _list_received(state, event.shard, holder, message)
    return
  if isinstance(message, linkmessages.RoomReported):
    holder.room.update(message.report, message.at)
    return
  if isinstance(message, keptevents.KeptJobReply):
    jobqueries.handle_state_report(state, event.shard, message)
    return
  if isinstance(message, linkmessages.Withdrawn):
    state.withdrawals.pop(message.number, None)
    return
  record = state.jobs.get(message.key.job_id)
  if record is None or record.key != message.key:
    return
  if record.shard != event.shard or record.process != event.process:
    return
  _MESSAGE_HANDLERS[type(message)](state, record, message)


def _pong_received(
    state,
    shard,
    holder: coordinatorstate.HolderRecord,
    message: linkmessages.Pong,
):
  if message.holding and message.pending is not None:
    holder.pending = dict(message.pending)
  holder.update_roster(message)
  clock_was_known = holder.clock_ahead_s is not None
  holder.record_clock(message, state.now)
  if holder.clock_ahead_s is not None and not clock_was_known:
    _ping_holder(state, shard, holder)
  if message.list_version and message.list_version == holder.list_version:
    _confirm_list(state, shard, message)
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
    _reoffer_jobs(state, shard)
  else:
    _offer_orphans(state, shard)


def _confirm_list(state, shard: model.Shard, pong: linkmessages.Pong):
  """Records that the holder's list of endpoints is still the copied one."""
  known = state.endpoint_lists[shard]
  state.endpoint_lists[shard] = dataclasses.replace(
      known, read_at=pong.at - pong.list_age_s
  )


def _list_received(
    state,
    shard: model.Shard,
    holder: coordinatorstate.HolderRecord,
    message: linkmessages.EndpointList,
):
  holder.list_version = message.version
  state.endpoint_lists[shard] = endpointlist.KnownList(
      message.endpoints, message.at - message.age_s
  )


def handle_pause(state: coordinatorstate.Coordinator, seconds: float):
  """Handles a pause of this process: holders were not silent meanwhile."""
  state.offers_paused_until = state.now + coordinatorstate.PAUSE_GRACE_S
  for holder in state.holders.values():
    holder.last_contact_at += seconds


def _resume_offers(state: coordinatorstate.Coordinator):
  """Offers the jobs that a pause of this process has held up."""
  until = state.offers_paused_until
  if until is None or state.now < until:
    return
  state.offers_paused_until = None
  offer_held_jobs(state)


def _offer_orphans(state, shard: model.Shard):
  """Offers orphaned jobs of the shard to its holder, which is alive."""
  if state.offers_paused:
    return  # The holder's next message is answered with the offers.
  for record in list(state.jobs.values()):
    if (
        record.shard == shard
        and record.phase is coordinatorstate.Phase.ORPHANED
    ):
      jobdispatch.offer(state, record, shard, resumed=True)


def _reoffer_jobs(state, shard: model.Shard):
  """Offers the shard's holder the held jobs and those of an earlier holder."""
  for record in list(state.jobs.values()):
    if record.phase is coordinatorstate.Phase.HELD:
      if not state.offers_paused:
        jobdispatch.offer(state, record, shard, resumed=False)
    elif record.shard == shard and state.offers_paused:
      _orphan(state, record)
    elif record.shard == shard:
      # The earlier holder may have accepted an offer that it didn't answer.
      record.may_be_running = True
      jobdispatch.offer(state, record, shard, resumed=True)


def offer_held_jobs(state: coordinatorstate.Coordinator):
  """Offers held jobs anew, since another shard may accept them now."""
  for record in list(state.jobs.values()):
    if record.phase is coordinatorstate.Phase.HELD:
      jobdispatch.offer_next(state, record)


def _offer_accepted(
    state, record: coordinatorstate.JobRecord, message: linkmessages.Accepted
):
  if record.job.kept:
    # The job is stored and no longer depends on this coordinator.
    jobdispatch.answer(state, record, model.Outcome.KEPT, "stored")
    return
  if message.number != record.offer_number:
    return
  record.phase = coordinatorstate.Phase.ACCEPTED
  record.accepted_offer = message.number
  record.may_be_running = True
  record.orphaned_at = 0.0


def _offer_declined(
    state, record: coordinatorstate.JobRecord, message: linkmessages.Declined
):
  if message.number != record.offer_number:
    # A later offer to the same holder may have been accepted.
    return
  room = state.holders[record.shard].room
  # A job that no endpoint there can run tells nothing of the room for others.
  is_unfit = message.reason == linkmessages.NO_ENDPOINT_FITS
  was_likely = record.choice is not None and record.choice.likely
  was_likely = was_likely and not is_unfit
  room.record_decline(record.job, was_likely, state.now)
  room.update(message.room, record.offered_at)
  answer = "offers_put_off" if message.in_time else "offers_declined"
  state.counters[answer] += 1
  if record.may_be_running:
    # The job's runs may continue, and only the shard's next holder may take
    # them over. The host that declined may not know yet that it is that holder.
    _orphan(state, record)
    return
  if message.in_time:
    record.wait_ms_by_shard[record.shard] = message.wait_ms
    jobdispatch.offer_next(state, record)
    return
  record.wait_ms_by_shard.pop(record.shard, None)
  record.declined_by.add(record.shard)
  if is_unfit:
    record.reason = record.reason or message.reason
  elif message.wait_ms:
    record.reason = message.reason
    record.wait_ms = max(record.wait_ms, message.wait_ms)
    best_ms = record.best_wait_ms
    record.best_wait_ms = min(message.wait_ms, best_ms or message.wait_ms)
  jobdispatch.offer_next(state, record)


def _job_returned(
    state, record: coordinatorstate.JobRecord, message: linkmessages.Returned
):
  """Offers a job that its holder handed back to other data centres."""
  if message.number != record.offer_number:
    return  # A later offer to the same holder is under way.
  record.may_have_run = record.may_have_run or message.may_have_run
  record.may_be_running = False
  record.wait_ms_by_shard.clear()
  record.declined_by = {record.shard}
  jobdispatch.offer_next(state, record)


def _job_ended(
    state, record: coordinatorstate.JobRecord, message: linkmessages.JobEnded
):
  if _ended_before_offer(record, message):
    state.emit(
        events.log(
            "job_end_outdated",
            job=record.job.id,
            request=record.trace_id,
            outcome=message.outcome.value,
            reason=message.reason,
            ended_offer=message.number,
            offer=record.offer_number,
        )
    )
    if message.outcome not in _OUTCOMES_WITH_RESULT:
      return  # The last offer may be accepted, and its tasks run.
    jobdispatch.withdraw(state, record)
  outcome = message.outcome
  if outcome is model.Outcome.NOT_RUN and record.may_have_run:
    outcome = model.Outcome.UNKNOWN  # At the holder that handed it back.
  jobdispatch.answer(state, record, outcome, message.reason)


def _ended_before_offer(
    record: coordinatorstate.JobRecord, message: linkmessages.JobEnded
) -> bool:
  """Returns whether the holder ended the job before it got the last offer."""
  if message.number:
    return message.number != record.offer_number
  # A holder accepts an offer before it ends the job.
  return record.accepted_offer != record.offer_number


_MESSAGE_HANDLERS = {
    linkmessages.Accepted: _offer_accepted,
    linkmessages.Declined: _offer_declined,
    linkmessages.JobEnded: _job_ended,
    linkmessages.Returned: _job_returned,
}


def handle_caller_disconnect(
    state: coordinatorstate.Coordinator, request_id: int
):
  """Withdraws the job of a caller that closed its connection."""
  record = state.by_request.pop(request_id, None)
  if record is None:
    return
  state.remove_job(record)
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


def handle_caller_silence(state: coordinatorstate.Coordinator, request_id: int):
  """Gives up the job of a caller that may have sent it to another host."""
  record = state.by_request.get(request_id)
  if record is not None:
    state.counters["caller_silent"] += 1
    jobdispatch.give_up(state, record, "caller_silent")


def handle_cancellation(state: coordinatorstate.Coordinator, job_id: str):
  """Withdraws a job that its caller cancelled, and answers the caller."""
  record = state.jobs.get(job_id)
  if record is not None:
    jobdispatch.withdraw(state, record)
    jobdispatch.answer(state, record, model.Outcome.UNKNOWN, "cancelled")


def abort_all(state: coordinatorstate.Coordinator):
  """Withdraws every job and answers its caller, as the process is stopping."""
  for record in list(state.jobs.values()):
    jobdispatch.give_up(state, record, "stopping")
  jobqueries.abort_all(state)


def pending(state: coordinatorstate.Coordinator, queue: str) -> int:
  """Returns how many of a queue's jobs have not started.

  They are the kept jobs of all shards, as their holders last reported, and the
  jobs of this host whose offer no holder has answered yet.
  """
  kept = sum(
      holder.pending.get(queue, 0)
      for holder in state.holders.values()
      if not _was_taken_over(state, holder)
  )
  unaccepted = sum(
      job.job.queue == queue and job.phase is coordinatorstate.Phase.OFFERED
      for job in state.jobs.values()
  )
  return kept + unaccepted


def _was_taken_over(state, holder: coordinatorstate.HolderRecord) -> bool:
  """Returns whether another shard has the kept jobs of a lost holder by now."""
  since = holder.unclaimed_since
  return holder.lost and since is not None and state.now - since > TAKEN_OVER_S


def handle_holder_change(
    state: coordinatorstate.Coordinator, event: events.HolderChanged
):
  """Handles a change of a shard's holder in the store."""
  before = state.holders.get(event.shard)
  if event.holder is None:
    if before is not None and before.unclaimed_since is None:
      before.unclaimed_since = state.now
    if before is not None and not alive(state, before):
      _holder_lost(state, event.shard, "claim_ended")
    return
  if before is not None and before.holder.fence >= event.holder.fence:
    return
  after = coordinatorstate.HolderRecord(event.holder, state.now)
  if before is not None:
    # They are stored, so the next holder has them as well.
    after.pending = before.pending
  state.holders[event.shard] = after
  state.emit(
      events.log(
          "holder_changed",
          data_centre=event.shard.data_centre,
          holder=event.holder.host,
          fence=event.holder.fence,
      )
  )
  # It starts no task of this host's jobs before a ping tells its own age.
  _ping_holder(state, event.shard, after)
  if before is None or before.lost or before.process != after.process:
    _reoffer_jobs(state, event.shard)


def alive(
    state: coordinatorstate.Coordinator, record: coordinatorstate.HolderRecord
) -> bool:
  """Returns whether a holder is connected and answers."""
  return not record.lost and not silent(state, record)


def handle_link_lost(
    state: coordinatorstate.Coordinator, event: events.LinkLost
):
  """Handles the loss of the link to a holder."""
  holder = state.holders.get(event.shard)
  if holder is not None and holder.process == event.process:
    _holder_lost(state, event.shard, "refused" if event.refused else "link")


def _holder_lost(state, shard: model.Shard, reason: str):
  holder = state.holders[shard]
  if not holder.lost:
    state.emit(
        events.log(
            "holder_lost",
            data_centre=shard.data_centre,
            holder=holder.holder.host,
            fence=holder.holder.fence,
            why=reason,
            heard_ms_ago=int((state.now - holder.last_contact_at) * 1000),
        )
    )
  holder.lost = True
  for record in list(state.jobs.values()):
    if record.shard == shard and record.phase in coordinatorstate.AT_HOLDER:
      _orphan(state, record)


def _orphan(state, record: coordinatorstate.JobRecord):
  """Makes a job whose holder is lost wait for the shard's next holder."""
  record.may_be_running = True
  record.phase = coordinatorstate.Phase.ORPHANED
  record.orphaned_at = record.orphaned_at or state.now


def tick(state: coordinatorstate.Coordinator, callers_seen_at: float):
  """Pings holders and checks the timeouts of holders, queries and jobs.

  Args:
    state: the coordinator's state.
    callers_seen_at: when the callers' connections were last checked (s).
  """
  state.callers_seen_at = callers_seen_at
  jobdispatch.forget_withdrawals(state, lambda w: w.until < state.now)
  state.expire_last_offers()
  _ping(state)
  jobqueries.tick(state)
  _update_unserved_since(state)
  _resume_offers(state)
  for record in list(state.jobs.values()):
    if state.now > record.deadline - ANSWER_MARGIN_S:
      jobdispatch.give_up(state, record, "deadline")
    elif record.phase is coordinatorstate.Phase.HELD:
      is_overdue = state.now - record.arrived > HELD_TIMEOUT_S
      if is_overdue and not state.offers_paused:
        jobdispatch.answer(
            state, record, jobdispatch.unserved_outcome(record), "no_holder"
        )
    elif record.phase is coordinatorstate.Phase.ORPHANED:
      if state.now - record.orphaned_at > timebudget.ORPHAN_TIMEOUT_S:
        # The holder may be alive, and hear this host's pings again.
        jobdispatch.give_up(state, record, "holder_lost")
    elif not jobdispatch.reachable(state, record.shard):
      _holder_lost(state, record.shard, "silent")


def _update_unserved_since(state):
  """Sets `unserved_since` when no holder can be offered a job, or clears it."""
  if any(jobdispatch.usable(state, shard) for shard in state.holders):
    state.unserved_since = None
  elif state.unserved_since is None:
    state.unserved_since = state.now


def _ping(state):
  if state.now - state.pinged_at < PING_PERIOD_S:
    return
  state.pinged_at = state.now
  remote_due = state.now - state.remote_pinged_at >= REMOTE_PING_PERIOD_S
  room_due = _take_room_due(state)
  if remote_due:
    state.remote_pinged_at = state.now
  shards_with_jobs = {job.shard for job in state.jobs.values()}
  shards_with_jobs |= {w.message.shard for w in state.withdrawals.values()}
  suspects = _suspects(state)
  for shard, holder in state.holders.items():
    is_local = shard.data_centre == state.data_centre
    due = state.now - holder.pinged_at > IDLE_PING_PERIOD_S
    has_reports = bool(suspects) and not is_local
    if (
        (is_local and due)
        or remote_due
        or room_due
        or shard in shards_with_jobs
        or holder.lost
        or has_reports
    ):
      jobdispatch.repeat_withdrawals(state, shard)
      _ping_holder(state, shard, holder, suspects, room_due)


def _ping_holder(
    state,
    shard: model.Shard,
    holder: coordinatorstate.HolderRecord,
    suspects: tuple[linkmessages.SuspectedHolder, ...] = (),
    wants_room: bool = False,
):
  holder.pinged_at = state.now
  is_local = shard.data_centre == state.data_centre
  # Only a host of the same data centre may be the shard's next holder.
  roster = holder.roster_version if is_local else None
  state.send_to_holder(
      shard,
      linkmessages.Ping(
          shard,
          state.me,
          state.callers_seen_at,
          roster,
          is_local and state.can_hold,
          () if is_local else suspects,
          state.draining,
          state.now - (state.started_at or 0.0),
          holder.list_version if is_local else None,
          wants_room,
          holder.clock_at(state.callers_seen_at),
          tells_holder_at=True,
      ),
  )


def _take_room_due(state) -> bool:
  """Returns whether to ask for the holders' room now; notes that it is done."""
  since_s = state.now - state.room_asked_at
  if state.now >= state.room_wanted_until or since_s < ROOM_PERIOD_S:
    return False
  state.room_asked_at = state.now
  return True


def _suspects(state) -> tuple[linkmessages.SuspectedHolder, ...]:
  """Returns the holders of this data centre that this host suspects."""
  return tuple(
      linkmessages.SuspectedHolder(shard, record.holder.fence)
      for shard, record in state.holders.items()
      if shard.data_centre == state.data_centre and silent(state, record)
  )


def silent(state, record: coordinatorstate.HolderRecord) -> bool:
  """Returns whether a holder sent nothing for `HOLDER_TIMEOUT_S`."""
  return state.now - record.last_contact_at >= jobdispatch.HOLDER_TIMEOUT_S
