"""A coordinator's questions to holders about kept jobs: their state, cancels.

The store says which shard a job is at, and how far it is. Its holder knows a
little sooner: it is asked whether a job that is open in the store is over, and
to cancel one. It gives its word once the store has it so.
"""

from fescueturn.scheduler import coordinatorstate
from fescueturn.scheduler import events
from fescueturn.scheduler import keptevents
from fescueturn.scheduler import model

# A holder that has not told by now is asked again, or its successor is: a
# write to the store takes some 25 ms, a takeover 0.2 s.
ASK_AGAIN_S = 0.3
# A caller who only asks for a job's state is told what the store says after
# this: longer than a job that is over takes to be written as such.
STATE_PATIENCE_S = 0.25

_OUTCOMES = {
    model.KeptJobState.OPEN: model.Outcome.KEPT,
    model.KeptJobState.DONE: model.Outcome.DONE,
    model.KeptJobState.FAILED: model.Outcome.FAILED,
    model.KeptJobState.CANCELLED: model.Outcome.CANCELLED,
}


def handle_query(
    state: coordinatorstate.Coordinator, event: keptevents.KeptJobQueryArrived
):
  """Takes a caller's question."""
  key = (event.job_id, event.cancel)
  question = state.queries.get(key)
  if question is None:
    question = coordinatorstate.JobQuery(
        event.job_id, event.shard, event.cancel
    )
    state.queries[key] = question
  patience_s = event.deadline_s
  if not event.cancel:
    patience_s = min(patience_s, STATE_PATIENCE_S)
  question.requests[event.request_id] = state.now + patience_s
  if event.cancel:
    state.emit(
        events.log(
            "cancel_asked",
            job=event.job_id,
            request=event.trace_id,
            data_centre=event.shard.data_centre,
        )
    )
  _ask(state, question)


def _ask(state, question: coordinatorstate.JobQuery):
  holder = state.holders.get(question.shard)
  if holder is None or holder.lost:
    return
  question.last_sent_at = state.now
  asked = keptevents.KeptJobQuery(
      question.shard, state.me, question.job_id, question.cancel
  )
  state.send_to_holder(question.shard, asked)


def handle_state_report(
    state: coordinatorstate.Coordinator, message: keptevents.KeptJobReply
):
  """Takes a holder's word."""
  question = state.queries.pop((message.job_id, message.cancel), None)
  if question is None:
    return
  outcome = model.Outcome.UNKNOWN
  if message.state is not None:
    outcome = _OUTCOMES[message.state]
  for request_id in question.requests:
    _answer(state, question, request_id, outcome, "told")


def tick(state: coordinatorstate.Coordinator):
  """Asks again, and gives up what nobody waits for any more."""
  for key, question in list(state.queries.items()):
    overdue = [i for i, end in question.requests.items() if end <= state.now]
    for request_id in overdue:
      del question.requests[request_id]
      _answer(state, question, request_id, model.Outcome.UNKNOWN, "deadline")
    if not question.requests:
      del state.queries[key]
    elif state.now - question.last_sent_at > ASK_AGAIN_S:
      _ask(state, question)


def abort_all(state: coordinatorstate.Coordinator):
  """Answers every caller that still waits: this process ends."""
  for question in state.queries.values():
    for request_id in question.requests:
      _answer(state, question, request_id, model.Outcome.UNKNOWN, "stopping")
  state.queries.clear()


def _answer(
    state,
    question: coordinatorstate.JobQuery,
    request_id: int,
    outcome: model.Outcome,
    why: str,
):
  state.emit(events.Answer(request_id, outcome, reason=why))
  if question.cancel:
    state.emit(
        events.log(
            "cancel_answered",
            job=question.job_id,
            data_centre=question.shard.data_centre,
            outcome=outcome.value,
            reason=why,
        )
    )
