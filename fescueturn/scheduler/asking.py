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
    model.KeptState.OPEN: model.Outcome.KEPT,
    model.KeptState.DONE: model.Outcome.DONE,
    model.KeptState.FAILED: model.Outcome.FAILED,
    model.KeptState.CANCELLED: model.Outcome.CANCELLED,
}


def question_arrived(
    state: coordinatorstate.Coordinator, event: keptevents.QuestionArrived
):
  """Takes a caller's question."""
  key = (event.job_id, event.cancel)
  question = state.questions.get(key)
  if question is None:
    question = coordinatorstate.Question(
        event.job_id, event.shard, event.cancel
    )
    state.questions[key] = question
  patience_s = event.deadline_s
  if not event.cancel:
    patience_s = min(patience_s, STATE_PATIENCE_S)
  question.requests[event.request_id] = state.now + patience_s
  if event.cancel:
    state.out(
        events.log(
            "cancel_asked",
            job=event.job_id,
            request=event.trace,
            data_centre=event.shard.data_centre,
        )
    )
  _ask(state, question)


def _ask(state, question: coordinatorstate.Question):
  holder = state.holders.get(question.shard)
  if holder is None or holder.lost:
    return
  question.asked_at = state.now
  asked = keptevents.Asked(
      question.shard, state.me, question.job_id, question.cancel
  )
  state.tell(question.shard, asked)


def told(state: coordinatorstate.Coordinator, message: keptevents.Told):
  """Takes a holder's word."""
  question = state.questions.pop((message.job_id, message.cancel), None)
  if question is None:
    return
  outcome = model.Outcome.UNKNOWN
  if message.state is not None:
    outcome = _OUTCOMES[message.state]
  for request_id in question.requests:
    _answer(state, question, request_id, outcome, "told")


def tick(state: coordinatorstate.Coordinator):
  """Asks again, and gives up what nobody waits for any more."""
  for key, question in list(state.questions.items()):
    overdue = [i for i, end in question.requests.items() if end <= state.now]
    for request_id in overdue:
      del question.requests[request_id]
      _answer(state, question, request_id, model.Outcome.UNKNOWN, "deadline")
    if not question.requests:
      del state.questions[key]
    elif state.now - question.asked_at > ASK_AGAIN_S:
      _ask(state, question)


def give_up_all(state: coordinatorstate.Coordinator):
  """Answers every caller that still waits: this process ends."""
  for question in state.questions.values():
    for request_id in question.requests:
      _answer(state, question, request_id, model.Outcome.UNKNOWN, "stopping")
  state.questions.clear()


def _answer(
    state,
    question: coordinatorstate.Question,
    request_id: int,
    outcome: model.Outcome,
    why: str,
):
  state.out(events.Answer(request_id, outcome, reason=why))
  if question.cancel:
    state.out(
        events.log(
            "cancel_answered",
            job=question.job_id,
            data_centre=question.shard.data_centre,
            outcome=outcome.value,
            reason=why,
        )
    )
