import dataclasses
import json

import curio
import pytest
from loguru import logger

from fescueturn import errors
from fescueturn import httpio
from fescueturn import kvtypes
from fescueturn.lab import ports
from fescueturn.platform import endpoints
from fescueturn.scheduler import events
from fescueturn.scheduler import leasecalls
from fescueturn.scheduler import model
from tests import test_leases


def item(name: str, **changed) -> kvtypes.Item:
  raw = {
      "service": "speller",
      "address": "10.128.0.9:8080",
      "zone": "north",
      "version": "v1",
      "slots": 8,
      "state": "ready",
      "coldRemainingMs": 0,
      "sequence": 4,
      "capacity": {"cpu": 64000, "memMb": 131072, "gpu": 0},
      "labels": ["a", "r1-3"],
      **changed,
  }
  return kvtypes.Item(endpoints.PREFIX + name, 5, json.dumps(raw).encode())


def test_entry_is_decoded_into_an_endpoint():
  endpoint = endpoints.decode_entry(item("i-1", state="draining"))
  assert endpoint.id == "i-1"
  assert endpoint.draining
  assert endpoint.capacity == model.Resources(64000, 131072, 0)
  assert endpoint.labels == ("a", "r1-3")


def test_start_of_an_endpoint_is_decoded():
  assert endpoints.decode_entry(item("i-1")).born_ms == 0
  born = endpoints.decode_entry(item("i-1", born=1_780_000_000_123))
  assert born.born_ms == 1_780_000_000_123


@pytest.mark.parametrize("born", [None, -1, 1.5, "8", True, [], 2**70])
def test_entry_with_an_invalid_start_is_rejected(born):
  with pytest.raises(errors.SettingsError, match="born"):
    endpoints.decode_entry(item("i-1", born=born))


def test_times_that_an_entry_announces_are_decoded():
  leaving = item("i-1", state="draining", remainingMs=1740.5, clockMs=48213)
  endpoint = endpoints.decode_entry(leaving)
  assert (endpoint.stays_ms, endpoint.clock_ms) == (1740, 48213)
  cold = endpoints.decode_entry(item("i-1", coldRemainingMs=900))
  assert (cold.cold_ms, cold.stays_ms, cold.clock_ms) == (900, None, None)
  ready = endpoints.decode_entry(item("i-1", remainingMs=1740))
  assert ready.stays_ms is None, "only a draining endpoint leaves"


@pytest.mark.parametrize("field", ("remainingMs", "clockMs"))
@pytest.mark.parametrize("wrong", (-1, 2**70, True, "8", [], {}))
def test_entry_with_a_wrong_time_yields_no_endpoint(field, wrong):
  bad = item("i-2", state="draining", **{field: wrong})
  with pytest.raises(errors.SettingsError, match="i-2"):
    endpoints.decode_entry(bad)
  listed = endpoints.EndpointList().update((item("i-1"), bad), 0.0)
  assert [e.id for e in listed] == ["i-1"]


def test_malformed_entry_is_skipped_and_the_others_are_used():
  bad = kvtypes.Item(endpoints.PREFIX + "i-2", 6, b"{}")
  with pytest.raises(errors.SettingsError):
    endpoints.decode_entry(bad)
  listed = endpoints.EndpointList().update((item("i-1"), bad), 0.0)
  assert [e.id for e in listed] == ["i-1"]


FIELDS = ("service", "address", "zone", "version", "slots", "state")
FIELDS += ("coldRemainingMs", "sequence", "capacity", "labels")
# Values of a type or range that is wrong for the fields of an entry, except for
# the pairs in VALID_EXCEPTIONS.
WRONG_VALUES = (
    None,
    -1,
    1.5,
    2**70,
    True,
    "",
    "8",
    [],
    ["a", 3],
    {},
    {"cpu": "1"},
)
VALID_EXCEPTIONS = {
    ("version", ""),
    ("version", "8"),
    ("zone", "8"),
    ("service", "8"),
    ("labels", "[]"),
}
UNREADABLE_VALUES = (
    b"",
    b"\xff\xfe",
    b"null",
    b"3",
    b'"text"',
    b"[]",
    b'["service"]',
    b"{",
    b"[" * 100_000,
    b"{}",
)


def bad_entries():
  for field in FIELDS:
    raw = json.loads(item("i-2").value)
    del raw[field]
    yield f"no {field}", json.dumps(raw).encode()
    for wrong in WRONG_VALUES:
      if (field, str(wrong)) in VALID_EXCEPTIONS and wrong not in (None, True):
        continue
      yield f"{field}={wrong!r}", item("i-2", **{field: wrong}).value
  yield "state", item("i-2", state="gone").value
  yield "address", item("i-2", address="nowhere:80").value
  yield "slots", item("i-2", slots=0).value
  yield "capacity", item("i-2", capacity={"cpu": 1, "memMb": 1}).value
  for value in UNREADABLE_VALUES:
    yield repr(value[:12]), value


BAD_ENTRIES = dict(bad_entries())


@pytest.mark.parametrize("name", BAD_ENTRIES)
def test_invalid_new_entry_yields_no_endpoint_and_the_others_are_used(name):
  bad = kvtypes.Item(endpoints.PREFIX + "i-2", 6, BAD_ENTRIES[name])
  with pytest.raises(errors.SettingsError, match="i-2"):
    endpoints.decode_entry(bad)
  listed = endpoints.EndpointList().update((item("i-1"), bad, item("i-3")), 0.0)
  assert [e.id for e in listed] == ["i-1", "i-3"]


@pytest.mark.parametrize("name", BAD_ENTRIES)
def test_known_endpoint_with_an_invalid_entry_is_kept_as_draining(name):
  endpoint_list = endpoints.EndpointList()
  before = endpoint_list.update((item("i-1"), item("i-2")), 0.0)[1]
  bad = kvtypes.Item(endpoints.PREFIX + "i-2", 6, BAD_ENTRIES[name])
  for now in (1.0, 9.0):
    kept = endpoint_list.update((item("i-1"), bad), now)
    assert kept[1] == dataclasses.replace(before, draining=True)
  assert endpoint_list.update((item("i-1"), item("i-2")), 9.5)[1] == before


def test_endpoint_of_an_unconfigured_service_is_not_used():
  reader = endpoints.EntryReader(lambda service: service == "speller")
  endpoint_list = endpoints.EndpointList(reader)
  listed = endpoint_list.update(
      (item("i-1"), item("i-2", service="other")), 0.0
  )
  assert [e.id for e in listed] == ["i-1"]


def test_endpoint_whose_address_changes_is_kept_as_draining():
  """An endpoint keeps its address for its lifetime.

  Guards against looking for its runs at the address of another endpoint.
  """
  endpoint_list = endpoints.EndpointList()
  before = endpoint_list.update((item("i-1"),), 0.0)[0]
  after = endpoint_list.update((item("i-1", address="10.128.0.10:8080"),), 1.0)[
      0
  ]
  assert after == dataclasses.replace(before, draining=True)


def test_later_incarnation_under_the_same_id_may_have_another_address():
  endpoint_list = endpoints.EndpointList()
  endpoint_list.update((item("i-1", born=5),), 0.0)
  moved = item("i-1", born=6, address="10.128.0.10:8080")
  (endpoint,) = endpoint_list.update((moved,), 1.0)
  assert not endpoint.draining
  assert str(endpoint.address) == "10.128.0.10:8080"


def test_rejected_entry_is_logged_once():
  reader, lines = endpoints.EntryReader(), []
  sink = logger.add(lines.append, format="{message}")
  bad = kvtypes.Item(endpoints.PREFIX + "i-2", 6, b"{}")
  for _ in range(3):
    assert reader.read(bad, None) is None
  logger.remove(sink)
  assert len(lines) == 1 and "service" in lines[0]


def test_endpoint_with_a_missing_entry_is_kept_for_the_grace_period():
  """Entries that expire in an outage of the store are back within 2 s."""
  endpoint_list = endpoints.EndpointList()
  endpoint_list.update((item("i-1"), item("i-2")), 10.0)
  names = lambda listed: sorted(e.id for e in listed)  # noqa: E731
  assert names(endpoint_list.update((item("i-1"),), 11.0)) == ["i-1", "i-2"]
  assert names(endpoint_list.update((item("i-1"),), 12.0)) == ["i-1", "i-2"]
  assert names(endpoint_list.update((item("i-1"),), 13.3)) == ["i-1"]


def test_grace_period_restarts_after_an_entry_returns():
  endpoint_list = endpoints.EndpointList()
  endpoint_list.update((item("i-1"),), 10.0)
  endpoint_list.update((), 11.0)
  endpoint_list.update((item("i-1"),), 12.0)
  assert [e.id for e in endpoint_list.update((), 13.5)] == ["i-1"]


@pytest.mark.parametrize(
    ("name", "task"),
    [
        ("5c0e7a21d94b36f8.0.1.17", model.Task("5c0e7a21d94b36f8", 1, 17)),
        ("5c0e7a21d94b36f8.3.0.2", model.Task("5c0e7a21d94b36f8.3", 0, 2)),
    ],
)
def test_run_name_is_parsed_and_formatted(name, task):
  assert endpoints.parse_task_name(name) == task
  assert endpoints.format_task_name(task) == name


def renew_once(responses: dict, call_of) -> list[events.LeaseAnswered]:
  """Returns the answers to a lease call at each of the responses' addresses."""

  async def play():
    servers, answers = [], []
    calls = endpoints.EndpointCalls(lambda: 0.0)
    for address, body in responses.items():

      async def handle(request, body=body):
        del request
        return httpio.Response(200, body)

      servers.append(httpio.Server(address, handle))
      await servers[-1].start()
      answers.append(await calls.renew(call_of(address)))
    await calls.close()
    for server in servers:
      await server.close()
    return answers

  return curio.run(play)


def lease_call(address, **changed) -> events.RenewLease:
  listed = item("i-1", address=str(address), **changed)
  return events.RenewLease(endpoints.decode_entry(listed), 1, 0, None, 0, 7)


def test_calls_follow_an_endpoint_to_its_new_address():
  """An endpoint that is restarted under its id may have another address."""
  first, second = ports.free_address(), ports.free_address()
  answers = renew_once(
      {
          first: b'{"clockMs": 9, "born": 5}',
          second: b'{"clockMs": 2, "born": 6}',
      },
      lease_call,
  )
  assert [a.born_ms for a in answers] == [5, 6]


@pytest.mark.parametrize(
    "body", [b"", b"{}", b'{"running": [], "finished": []}']
)
def test_lease_answer_without_a_clock_does_not_show_that_runs_ended(body):
  (answer,) = renew_once({ports.free_address(): body}, lease_call)
  assert answer.result is model.CallResult.NO_ANSWER


@pytest.mark.parametrize(
    "last_seen,late_s,is_sent",
    ((40, 0.05, True), (40, 0.3, False), (0, 0.3, True)),
)
def test_ended_runs_are_not_acknowledged_by_a_call_that_is_sent_late(
    last_seen, late_s, is_sent
):
  """Guards against ends of a new incarnation that are forgotten unseen."""
  seen = []

  async def play():
    address = ports.free_address()

    async def handle(request):
      seen.append(request.json()["lastSeen"])
      return httpio.Response(200, b'{"clockMs": 9, "born": 5}')

    server = httpio.Server(address, handle)
    await server.start()
    calls = endpoints.EndpointCalls(lambda: 7.0 + late_s)
    call = dataclasses.replace(lease_call(address), last_seen=last_seen, at=7.0)
    result = (await calls.renew(call)).result
    await calls.renew(dataclasses.replace(call, last_seen=41, at=7.0 + late_s))
    await calls.close()
    await server.close()
    return result

  result = curio.run(play)
  assert seen == ([last_seen, 41] if is_sent else [41])
  assert (result is model.CallResult.OK) == is_sent


async def answer_few(address, born_ms: int, seen: list, count: int = 1):
  """Answers calls on one connection, then ends; the connection closes with it."""
  server = curio.socket.socket()
  server.setsockopt(curio.socket.SOL_SOCKET, curio.socket.SO_REUSEADDR, 1)
  server.bind((address.host, address.port))
  server.listen(1)
  client, _ = await server.accept()
  body = b'{"clockMs": 9, "born": %d}' % born_ms
  head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
  for _ in range(count):
    request = await client.recv(10_000)
    if not request:
      break
    asked = json.loads(request.partition(b"\r\n\r\n")[2])
    seen.append(asked["task"] if "task" in asked else asked["lastSeen"])
    await client.sendall(head + body)
  await client.close()
  await server.close()


def test_ended_runs_are_not_acknowledged_to_an_endpoint_that_closed_connections():
  """Guards against ends of a new incarnation that are forgotten unseen."""
  seen = []

  async def play():
    address = ports.free_address()
    call = lease_call(address)
    calls = endpoints.EndpointCalls(lambda: 0.0)
    results = []
    for born_ms, numbers in ((5, (40,)), (6, (41, 0))):
      endpoint = await curio.spawn(answer_few, address, born_ms, seen)
      await curio.sleep(0.05)
      for last_seen in numbers:
        answer = await calls.renew(
            dataclasses.replace(call, last_seen=last_seen)
        )
        results.append((answer.result, answer.born_ms))
      await endpoint.join()
    await calls.close()
    return results

  assert curio.run(play) == [
      (model.CallResult.OK, 5),
      (model.CallResult.NO_ANSWER, 0),
      (model.CallResult.OK, 6),
  ]
  assert seen == [40, 0]


@pytest.mark.parametrize(
    "born_ms,result",
    ((5, model.CallResult.OK), (6, model.CallResult.NOT_SENT)),
)
def test_start_is_not_sent_to_another_incarnation_after_a_closed_connection(
    born_ms, result
):
  """Guards against runs that outlive the lease that their start asked for."""
  seen = []

  async def play():
    address = ports.free_address()
    call = lease_call(address)
    run = model.RunId(model.Task("j", 0, 0), 1)
    calls = endpoints.EndpointCalls(lambda: 0.0)
    first = await curio.spawn(answer_few, address, 5, seen)
    await curio.sleep(0.05)
    await calls.renew(call)
    await first.join()
    second = await curio.spawn(answer_few, address, born_ms, seen, 2)
    await curio.sleep(0.05)
    answer = await calls.start(
        events.StartRun(call.endpoint, run, "spec", 809, 7, born_ms=5)
    )
    await calls.close()
    await second.join()
    return answer

  answer = curio.run(play)
  assert (answer.result, answer.born_ms) == (result, born_ms)
  started = ["j.0.0.0"] if result is model.CallResult.OK else []
  assert seen == [0, 0, *started]


def test_lease_call_says_when_it_was_requested():
  owner = test_leases.new_owner()
  record = test_leases.known_endpoint(owner, now=3.0)
  owner.take_effects()
  owner.now = 4.0
  leasecalls.renew_lease(owner, record)
  (call,) = owner.take_effects()
  assert call.at == 4.0
