"""Copies of the list of endpoints at the hosts of a data centre."""

import dataclasses

import pytest

from fescueturn import settings
from fescueturn.scheduler import endpointlist
from fescueturn.scheduler import events
from fescueturn.scheduler import linkcodec
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from tests import fleets

SHARD = model.Shard("a")
READY = model.Endpoint(
    "e", settings.Address("10.0.0.1", 1), "s", "a", 8, False, fleets.NEED
)


def host(name: str) -> linkmessages.HostProcess:
  return linkmessages.HostProcess(name, "b")


def ping(name: str, now: float, version: int) -> linkmessages.Ping:
  return linkmessages.Ping(SHARD, host(name), now, 0, list_version=version)


def test_entries_that_only_count_down_leave_the_copies_valid():
  """A copy is confirmed by each pong as long as its version stays."""
  shared = endpointlist.SharedList()
  for at, cold_ms, clock_ms in ((1.0, 9000, 50), (2.0, 8000, 1050)):
    entry = dataclasses.replace(READY, cold_ms=cold_ms, clock_ms=clock_ms)
    shared.update((entry,), at)
  assert shared.version == 1
  shared.update((dataclasses.replace(READY, draining=True),), 3.0)
  assert shared.version == 2


def test_age_of_a_list_counts_from_when_the_store_was_asked():
  """Its copies serve for `endpointlist.SAFE_AGE_S` without the store."""
  emulation = fleets.fleet()
  host = fleets.owner_of(emulation, "a")
  (owner,) = host.state.owners.values()
  listed = tuple(record.info for record in owner.endpoints.values())
  host.apply(events.EndpointsListed(listed, 0.8))
  assert owner.shared_list.age_s(owner.now) == pytest.approx(0.8)


def test_version_rises_exactly_with_what_the_message_holds():
  fields = {f.name for f in dataclasses.fields(model.Endpoint)}
  changes = {
      "slots": 9,
      "draining": True,
      "labels": ("x",),
      "capacity": model.Resources(1, 1, 1),
      "address": settings.Address("10.0.0.2", 1),
      "service": "t",
      "data_centre": "b",
      "id": "f",
      "born_ms": 5,
      "stays_ms": 5,
      "cold_ms": 5,
      "clock_ms": 5,
  }
  assert set(changes) == fields
  for field, value in changes.items():
    shared = endpointlist.SharedList()
    shared.update((READY,), 1.0)
    before = shared.message_for(ping("x", 1.0, 0), 1.0)
    shared.update((dataclasses.replace(READY, **{field: value}),), 2.0)
    after = shared.message_for(ping("y", 2.0, 0), 2.0)
    encoded = [
        linkcodec.encode(
            SHARD, dataclasses.replace(m, at=0, age_s=0, version=0)
        )
        for m in (before, after)
    ]
    assert (shared.version == 2) is (encoded[0] != encoded[1]), field


def test_list_is_not_sent_to_all_hosts_of_a_new_holder_at_once():
  shared = endpointlist.SharedList()
  count = 500
  entries = [dataclasses.replace(READY, id=f"e{n}") for n in range(count)]
  shared.update(tuple(entries), 1.0)
  list_bytes = count * endpointlist.ENDPOINT_BYTES
  sent_at = {}
  for step in range(200):
    now = 1.0 + step * 0.1
    for name in (f"h{number}" for number in range(10)):
      if name in sent_at:
        continue
      if shared.message_for(ping(name, now, 0), now) is not None:
        sent_at[name] = now
  assert len(sent_at) == 10
  spent_s = max(sent_at.values()) - min(sent_at.values())
  assert spent_s >= 9 * list_bytes / 100_000 - 1e-3
