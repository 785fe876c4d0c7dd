"""A coordinator's queries to holders: state and cancellation of kept jobs.

The store names the shard of a kept job and records the job's state, but the
holder learns of a change a little earlier. The coordinator therefore asks the
holder whether a job that is open in the store has ended, or to cancel it. The
holder replies once the state is stored.
"""

from fescueturn.scheduler import coordinatorstate
from fescueturn.scheduler import events
from fescueturn.scheduler import keptevents
from fescueturn.scheduler import model

# Interval at which an unanswered query is sent again to the shard's current
# holder: a write to the store takes some 25 ms, a takeover 0.2 s.
QUERY_RETRY_DELAY_S = 0.3
# A caller that only asks for a job's state gets the stored state after this
# time, which is longer than it takes to store that a job has ended.
STATE_QUERY_TIMEOUT_S = 0.25

# How long the holder of a job's new shard is told of the job (s), after a move. A
# change of holder takes some seconds; the next one finds it in the store.
TELL_OF_MOVE_S = 30.0

_OUTCOMES = {
    model.KeptJobState.OPEN: model.Outcome.KEPT,
    model.KeptJobState.DONE: model.Outcome.DONE,
    model.KeptJobState.FAILED: model.Outcome.FAILED,
    model.KeptJobState.CANCELLED: model.Outcome.CANCELLED,
}


def handle_query(
    state: coordinatorstate.Coordinator, event: keptevents.KeptJobQueryArrived
):
  """Handles a caller's query: sends it to the shard's holder."""
  key = (event.job_id, event.cancel)
  query = state.queries.get(key)
  if query is None:
    query = coordinatorstate.JobQuery(event.job_id, event.shard, event.cancel)
    state.queries[key] = query
  query.shard = event.shard  # The job may have moved since the last request.
  timeout_s = event.deadline_s
  if not event.cancel:
    timeout_s = min(timeout_s, STATE_QUERY_TIMEOUT_S)
  query.requests[event.request_id] = state.now + timeout_s
  if event.cancel:
    state.emit(
        events.log(
            "cancel_asked",
            job=event.job_id,
            request=event.trace_id,
            data_centre=event.shard.data_centre,
        )
    )
  _send(state, query)


def announce_move(
    state: coordinatorstate.Coordinator, job_id: str, shard: model.Shard
):
  """Has the holder of a job's new shard look for it in the store."""
  until = state.now + TELL_OF_MOVE_S
  state.moved_jobs[job_id] = coordinatorstate.MovedJob(shard, until)
  _tell_of_moves(state)


def _tell_of_moves(state):
  """Queries moved jobs until the holders of their new shards know them."""
  for job_id, moved in list(state.moved_jobs.items()):
    if moved.until <= state.now:
      del state.moved_jobs[job_id]
    elif state.now - moved.told_at > QUERY_RETRY_DELAY_S:
      moved.told_at = state.now
      query = keptevents.KeptJobQuery(moved.shard, state.me, job_id, False)
      if moved.shard in state.holders:
        state.send_to_holder(moved.shard, query)


def _send(state, query: coordinatorstate.JobQuery):
  holder = state.holders.get(query.shard)
  if holder is None or holder.lost:
    return
  query.last_sent_at = state.now
  request = keptevents.KeptJobQuery(
      query.shard, state.me, query.job_id, query.cancel
  )
  state.send_to_holder(query.shard, request)


def handle_state_report(
    state: coordinatorstate.Coordinator,
    shard: model.Shard,
    message: keptevents.KeptJobReply,
):
  """Handles a holder's reply: answers the callers that wait for it."""
  moved = state.moved_jobs.get(message.job_id)
  if moved is not None and moved.shard == shard and message.state is not None:
    del state.moved_jobs[message.job_id]
  key = (message.job_id, message.cancel)
  query = state.queries.get(key)
  if query is None or query.shard != shard:
    return
  del state.queries[key]
  outcome = model.Outcome.UNKNOWN
  if message.state is not None:
    outcome = _OUTCOMES[message.state]
  for request_id in query.requests:
    _answer(state, query, request_id, outcome, "told")


def tick(state: coordinatorstate.Coordinator):
  """Retries queries, and drops those that no caller waits for any more."""
  _tell_of_moves(state)
  for key, query in list(state.queries.items()):
    expired = [i for i, end in query.requests.items() if end <= state.now]
    for request_id in expired:
      del query.requests[request_id]
      _answer(state, query, request_id, model.Outcome.UNKNOWN, "deadline")
    if not query.requests:
      del state.queries[key]
    elif state.now - query.last_sent_at > QUERY_RETRY_DELAY_S:
      _send(state, query)


def abort_all(state: coordinatorstate.Coordinator):
  """Answers every caller that still waits, since the process is stopping."""
  for query in state.queries.values():
    for request_id in query.requests:
      _answer(state, query, request_id, model.Outcome.UNKNOWN, "stopping")
  state.queries.clear()


def _answer(
    state,
    query: coordinatorstate.JobQuery,
    request_id: int,
    outcome: model.Outcome,
    cause: str,
):
  state.emit(events.Answer(request_id, outcome, reason=cause))
  if query.cancel:
    state.emit(
        events.log(
            "cancel_answered",
            job=query.job_id,
            data_centre=query.shard.data_centre,
            outcome=outcome.value,
            reason=cause,
        )
    )
