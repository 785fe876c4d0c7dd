"""An owner's calls to endpoints: lost, in vain, or to a life that is over."""

from fescueturn import settings
from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import events
from fescueturn.scheduler import leases
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import offers
from fescueturn.scheduler import owner as owner_lib
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler import runcontrol

SHARD = model.Shard("north")
ENDPOINT = model.Endpoint(
    "i-1",
    settings.Address("10.0.0.1", 80),
    "speller",
    "north",
    8,
    False,
    model.Resources(64000, 131072, 0),
)

PARTY = linkmessages.HostProcess("host-1", "boot-1")
JOB_KEY = linkmessages.JobKey(PARTY, "j")
JOB = model.Job(
    "j",
    "speller",
    "spec",
    (model.Step(1, model.Resources(27000, 64, 0), 200),),
    3,
    1.6,
    2000,
)


def new_owner() -> ownerstate.Owner:
  """Returns an owner that has nothing to learn from the store."""
  return ownerstate.Owner(SHARD, 7, 0.0, previous_roster=frozenset())


def calls_in(
    seconds: float, result: model.CallResult, endpoint=ENDPOINT
) -> list[float]:
  """Returns when an endpoint is called that answers each call with `result`."""
  owner = ownerstate.Owner(SHARD, 7, 0.0)
  called, step = [], 0.02
  for number in range(int(seconds / step)):
    owner.now = number * step
    if number % 35 == 0:
      leases.handle_endpoint_list(owner, (endpoint,))
    owner_lib.tick(owner)
    for effect in owner.take_effects():
      if isinstance(effect, events.RenewLease):
        called.append(owner.now)
        leases.handle_lease_answer(
            owner,
            events.LeaseAnswered(endpoint.id, effect.number, result, None),
        )
  return called


def test_life_that_is_over_is_asked_once_however_long_it_is_listed():
  assert len(calls_in(10.0, model.CallResult.GONE)) == 1


def test_address_where_nothing_ever_answered_is_called_once_a_second():
  called = calls_in(10.0, model.CallResult.NOT_SENT)
  assert len(called) <= 14
  assert max(b - a for a, b in zip(called, called[1:], strict=False)) < 1.1


def ordered(owner, record):
  """Returns a run that was ordered for a job that waits."""
  offer = linkmessages.Offered(SHARD, JOB_KEY, JOB, 0.0, 5.0)
  offers.handle_offer(owner, offer)
  (run,) = record.runs.values()
  owner.take_effects()
  return run


def known_endpoint(owner, now=0.0):
  owner.now = now
  leases.handle_endpoint_list(owner, (ENDPOINT,))
  record = owner.endpoints[ENDPOINT.id]
  answer(owner, record, now)
  return record


def answer(owner, record, now, result=model.CallResult.OK, **lists):
  owner.now = now
  clock_ms = 1000 + int(now * 1000) if result is model.CallResult.OK else None
  leases.handle_lease_answer(
      owner,
      events.LeaseAnswered(
          ENDPOINT.id, record.call_number, result, clock_ms, **lists
      ),
  )


def start_lost(owner, run, now):
  owner.now = now
  lost = model.CallResult.NO_ANSWER
  leases.handle_start_answer(
      owner, events.StartAnswered(ENDPOINT.id, run.id, lost, None)
  )
  return owner.take_effects()


def test_order_without_answer_is_sent_again_and_its_endpoint_asked():
  owner = new_owner()
  record = known_endpoint(owner)
  run = ordered(owner, record)
  effects = start_lost(owner, run, 0.025)
  again = [e for e in effects if isinstance(e, events.StartRun)]
  assert [e.run for e in again] == [run.id]
  looks = [e for e in effects if isinstance(e, events.RenewLease)]
  assert [e.wait_ms for e in looks] == [0]
  assert not record.usable(0.025), "nothing new goes there before it is heard"
  answer(owner, record, 0.027)
  assert record.usable(0.027)


def test_run_whose_order_gets_no_answer_three_times_is_stopped():
  owner = new_owner()
  record = known_endpoint(owner)
  run = ordered(owner, record)
  for number in range(1, runcontrol.MAX_SENDS):
    effects = start_lost(owner, run, 0.025 * number)
    assert any(isinstance(e, events.StartRun) for e in effects)
  effects = start_lost(owner, run, 0.1)
  assert not any(isinstance(e, events.StartRun) for e in effects)
  assert any(isinstance(e, events.StopRun) for e in effects)
  assert run.state is endpointstate.RunState.UNSURE
  assert not record.fits(model.Resources(64000, 1, 0)), "it keeps its room"


def test_order_sent_again_whose_run_is_over_is_not_run_anew():
  """The first order was carried out, and the run ended before the second."""
  owner = new_owner()
  record = known_endpoint(owner)
  run = ordered(owner, record)
  start_lost(owner, run, 0.025)
  old = model.CallResult.OLD_ATTEMPT
  leases.handle_start_answer(
      owner, events.StartAnswered(ENDPOINT.id, run.id, old, 1050)
  )
  answer(owner, record, 0.03)
  owner.take_effects()
  answer(
      owner,
      record,
      0.05,
      ended=(model.EndedRun(1, run.id, model.RunOutcome.DONE),),
  )
  effects = owner.take_effects()
  ended = [
      e.message
      for e in effects
      if isinstance(e, events.SendToCoordinator)
      and isinstance(e.message, linkmessages.JobEnded)
  ]
  assert [e.outcome for e in ended] == [model.Outcome.DONE]


def test_endpoint_counts_as_silent_after_three_calls_without_answer():
  owner = new_owner()
  record = known_endpoint(owner)
  run = ordered(owner, record)
  start_lost(owner, run, 0.025)
  lost = model.CallResult.NO_ANSWER
  answer(owner, record, 0.05, lost)
  answer(owner, record, 0.075, lost)
  assert record.silent_since is None
  answer(owner, record, 0.1, lost)
  assert record.silent_since is not None
