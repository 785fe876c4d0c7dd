import base64
import json
import time

import curio
import pytest

from fescueturn import errors
from fescueturn import httpio
from fescueturn import kvtypes
from fescueturn import settings
from fescueturn.lab import ports
from fescueturn.platform import configuration
from fescueturn.platform import store
from fescueturn.platform import wire
from fescueturn.platform import wireserver
from fescueturn.scheduler import model
from fescueturn.standins import kvstore

ROUTE = {
    "name": "r",
    "host": "Jobs.Example",
    "prefix": "/a/",
    "service": "speller",
    "attempts": 3,
    "stretch": 1.6,
    "sloMs": 60,
    "timeoutMs": 1500,
}
# How soon after an outage of the store its changes must be in force.
CONVERGENCE_S = 3.0


def encode_config(version, routes=(ROUTE,)) -> bytes:
  return json.dumps({"version": version, "routes": list(routes)}).encode()


class FakeClient:
  """A store at revision 100 that has its history since revision 90."""

  def __init__(self):
    self.calls = []
    self.changes = []
    # Items that request the evacuation of a data centre.
    self.requests = []

  async def range(self, prefix):
    self.calls.append(("range", prefix))
    item = kvtypes.Item(configuration.CONFIG_KEY, 2, encode_config(1))
    return kvtypes.Changes(100, (item, *self.requests))

  async def watch(self, prefix, after, wait_ms):
    self.calls.append(("watch", after))
    await curio.sleep(0.01)
    if after < 90:
      raise kvtypes.HistoryGoneError("gone")
    if self.changes:
      return self.changes.pop(0)
    return kvtypes.Changes(after, ())


def watch_both(client, seconds: float):
  """Returns the reported configurations and evacuations."""
  configs, evacuated = [], []

  async def on_config(config):
    configs.append(config)

  async def on_evacuations(event):
    evacuated.append({e.data_centre: e.revision for e in event.evacuations})

  async def run():
    await curio.ignore_after(
        seconds,
        configuration.watch_loop,
        client,
        time.monotonic,
        CONVERGENCE_S,
        on_config,
        on_evacuations,
        lambda: None,
    )

  curio.run(run)
  return configs, evacuated


def watch_configs(client, seconds: float) -> list[model.Config]:
  return watch_both(client, seconds)[0]


def test_watch_continues_from_the_stores_revision_not_the_items():
  """The configuration may be older than the history that the store keeps."""
  client = FakeClient()
  configs = watch_configs(client, 0.3)
  assert [c.version for c in configs] == [1]
  assert [c for c in client.calls if c[0] == "range"] == [("range", "op/")]
  assert client.calls[1] == ("watch", 100)


def test_malformed_change_is_skipped_and_the_next_is_reported():
  client = FakeClient()
  key = configuration.CONFIG_KEY
  client.changes = [
      kvtypes.Changes(101, (kvtypes.Item(key, 101, b"{"),)),
      kvtypes.Changes(102, (kvtypes.Item(key, 102, encode_config(5)),)),
  ]
  assert [c.version for c in watch_configs(client, 0.3)] == [1, 5]


def test_only_the_newest_configuration_of_one_answer_is_reported():
  """A host that was cut off during many changes needs the last one only."""
  client = FakeClient()
  key = configuration.CONFIG_KEY
  client.changes = [
      kvtypes.Changes(
          109,
          tuple(
              kvtypes.Item(key, 100 + n, encode_config(n)) for n in range(2, 9)
          ),
      ),
      kvtypes.Changes(
          111,
          (
              kvtypes.Item(key, 110, encode_config(10)),
              kvtypes.Item(key, 111, b"{"),
          ),
      ),
  ]
  assert [c.version for c in watch_configs(client, 0.3)] == [1, 8, 10]


def test_store_without_history_is_not_polled_in_a_tight_loop():
  client = FakeClient()

  async def drop_history(prefix, after, wait_ms):
    client.calls.append(("watch", after))
    raise kvtypes.HistoryGoneError("gone")

  client.watch = drop_history
  watch_configs(client, 1.0)
  assert len(client.calls) < 12


def test_decoding_error_names_the_invalid_field():
  config = configuration.decode(encode_config(7))
  (queue,) = config.queues
  assert (queue.host, queue.prefix, queue.attempts) == (
      "jobs.example",
      "/a/",
      3,
  )
  with pytest.raises(errors.SettingsError, match="version"):
    configuration.decode(b'{"routes": []}')
  with pytest.raises(errors.SettingsError, match="prefix"):
    configuration.decode(encode_config(7, ({"name": "r", "host": "h"},)))


@pytest.mark.parametrize("advice", [True, {"decisionMs": 30}, "10.0.0.1:80"])
def test_any_form_of_policy_marks_its_queue(advice):
  route = {"name": "r", "host": "h", "prefix": "/a/", "service": "s"}
  (queue,) = configuration.decode(
      encode_config(7, ({**route, "advice": advice},))
  ).queues
  assert queue.needs_advice


def test_store_items_are_decoded_from_the_wire():
  raw = {"key": "k", "revision": 3, "value": base64.b64encode(b"x").decode()}
  removed = {"key": "k", "revision": 4, "tombstone": True}
  unreadable = {"key": "k", "revision": 5, "value": "x"}
  body = json.dumps({"currentRev": 5, "events": [raw, removed, unreadable]})
  reply = wire.decode(wire.watch_replies, body, "watch", errors.KvError)
  assert [store._decode_item(event) for event in reply.events] == [
      kvtypes.Item("k", 3, b"x"),
      kvtypes.Item("k", 4, None),
      kvtypes.Item("k", 5, b""),
  ]


def evacuation_request(name, revision, body=b"{}") -> kvtypes.Item:
  return kvtypes.Item(configuration.EVACUATE_PREFIX + name, revision, body)


def test_evacuations_are_reported_at_the_start_and_at_each_change():
  client = FakeClient()
  client.requests = [evacuation_request("north", 7)]
  client.changes = [
      kvtypes.Changes(101, (evacuation_request("south", 101),)),
      kvtypes.Changes(
          102, (kvtypes.Item(configuration.CONFIG_KEY, 102, encode_config(2)),)
      ),
      kvtypes.Changes(103, (evacuation_request("north", 103, None),)),
  ]
  _, reported = watch_both(client, 0.3)
  assert reported == [{"north": 7}, {"north": 7, "south": 101}, {"south": 101}]


def test_evacuation_request_is_valid_with_any_value():
  client = FakeClient()
  client.requests = [evacuation_request("north", 7, b"\xff{")]
  _, reported = watch_both(client, 0.1)
  assert reported == [{"north": 7}]


def test_evacuation_withdrawn_while_the_history_was_dropped_ends():
  client = FakeClient()
  client.requests = [evacuation_request("north", 7)]
  pages = iter([client.requests, []])

  async def range_(prefix):
    del prefix
    return kvtypes.Changes(80, tuple(next(pages, [])))

  client.range = range_
  _, reported = watch_both(client, 0.5)
  assert reported[:2] == [{"north": 7}, {}]


def test_nothing_is_reported_before_the_store_was_read():
  """A host that can't read the requests must not assume that there are none."""
  client = FakeClient()

  async def fail(prefix):
    raise errors.KvError(prefix)

  client.range = fail
  assert watch_both(client, 0.5) == ([], [])


# Up to the duration of a few watches and the pauses between them.
OUTAGES_S = [0.25 * n for n in range(1, 33)]


class StoreWithOutages:
  """A store behind its HTTP API, with outages.

  Calls that are received or pending during an outage are never answered.
  """

  def __init__(self, port: int):
    self._in_outage = False
    self._outages = 0
    self._store = kvstore.KvStore()
    self._wire = wireserver.WireServer(self._store, time.monotonic)
    self._server = httpio.Server(
        settings.Address("127.0.0.1", port), self._handle
    )

  async def _handle(self, request):
    outages = self._outages
    unanswered = self._in_outage
    response = await self._wire.handle(request)
    if unanswered or outages != self._outages:
      await curio.sleep(3600.0)
    return response

  def begin_outage(self):
    self._in_outage = True
    self._outages += 1

  def end_outage(self):
    self._in_outage = False

  async def start(self):
    await self._server.start()
    await self.put(1)

  async def put(self, version):
    self._store.put(configuration.CONFIG_KEY, encode_config(version))
    await self._wire.notify_watches()

  async def close(self):
    await self._server.close()


async def measure_convergence(port: int, outage_s: float) -> float:
  """Returns how long after an outage a change made at its end is in force."""
  outage_store = StoreWithOutages(port)
  await outage_store.start()
  client = store.StoreClient(
      settings.Address("127.0.0.1", port), time.monotonic
  )
  in_force = {}

  async def on_config(config):
    in_force[config.version] = time.monotonic()

  async def ignore(event):
    del event

  watch = await curio.spawn(
      configuration.watch_loop,
      client,
      time.monotonic,
      CONVERGENCE_S,
      on_config,
      ignore,
      lambda: None,
      daemon=True,
  )
  await curio.sleep(0.2)
  outage_store.begin_outage()
  await curio.sleep(outage_s)
  outage_store.end_outage()
  outage_end = time.monotonic()
  await outage_store.put(2)
  while 2 not in in_force:
    await curio.sleep(0.01)
  await watch.cancel()
  await client.close()
  await outage_store.close()
  return in_force[2] - outage_end


def test_change_is_in_force_in_time_after_an_outage_of_any_length():
  server_ports = ports.free_ports(len(OUTAGES_S))

  async def run():
    async with curio.TaskGroup() as group:
      tasks = [
          await group.spawn(measure_convergence, port, outage_s)
          for port, outage_s in zip(server_ports, OUTAGES_S, strict=True)
      ]
    return [task.result for task in tasks]

  convergence_by_outage = dict(zip(OUTAGES_S, curio.run(run), strict=True))
  assert {
      s: t for s, t in convergence_by_outage.items() if t > CONVERGENCE_S
  } == {}


def test_configuration_does_not_wait_for_evacuations_in_the_same_answer():
  """The handler of evacuations may be slow or block."""
  versions = []

  async def on_config(config):
    versions.append(config.version)

  async def block(event):
    del event
    await curio.sleep(3600.0)

  curio.run(
      curio.ignore_after,
      0.1,
      configuration.watch_loop,
      FakeClient(),
      time.monotonic,
      CONVERGENCE_S,
      on_config,
      block,
      lambda: None,
  )
  assert versions == [1]
