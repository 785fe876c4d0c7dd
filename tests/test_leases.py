"""An owner and endpoints whose entries lead nowhere."""

from fescueturn import settings
from fescueturn.scheduler import events
from fescueturn.scheduler import leases
from fescueturn.scheduler import model
from fescueturn.scheduler import owner as owner_lib
from fescueturn.scheduler import ownerstate

SHARD = model.Shard("north")
ENDPOINT = model.Endpoint(
    "i-1",
    settings.Address("10.0.0.1", 80),
    "speller",
    "north",
    8,
    False,
    model.Room(64000, 131072, 0),
)


def calls_in(
    seconds: float, result: model.CallResult, endpoint=ENDPOINT
) -> list[float]:
  """Returns when an endpoint is called that answers each call with `result`."""
  owner = ownerstate.Owner(SHARD, 7, 0.0)
  called, step = [], 0.02
  for number in range(int(seconds / step)):
    owner.now = number * step
    if number % 35 == 0:
      leases.endpoints_listed(owner, (endpoint,))
    owner_lib.tick(owner)
    for effect in owner.take_effects():
      if isinstance(effect, events.RenewLease):
        called.append(owner.now)
        leases.lease_answered(
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
