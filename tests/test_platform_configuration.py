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
# How soon after a silence of the store its changes must be in force.
CONVERGENCE_S = 3.0


def value(version, routes=(ROUTE,)) -> bytes:
  return json.dumps({"version": version, "routes": list(routes)}).encode()


class FakeClient:
  """A store at revision 100 that knows its history since revision 90."""

  def __init__(self):
    self.calls = []
    self.changes = []
    # Requests to evacuate data centres.
    self.asked = []

  async def range(self, prefix):
    self.calls.append(("range", prefix))
    item = kvtypes.Item(configuration.CONFIG_KEY, 2, value(1))
    return kvtypes.Changes(100, (item, *self.asked))

  async def watch(self, prefix, after, wait_ms):
    self.calls.append(("watch", after))
    await curio.sleep(0.01)
    if after < 90:
      raise kvtypes.HistoryGoneError("gone")
    if self.changes:
      return self.changes.pop(0)
    return kvtypes.Changes(after, ())


def watch_both(client, seconds: float):
  """Returns the configurations told, and the evacuations."""
  found, evacuated = [], []

  async def on_config(config):
    found.append(config)

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
  return found, evacuated


def watch_for(client, seconds: float) -> list[model.Config]:
  return watch_both(client, seconds)[0]


def test_watch_goes_on_from_the_stores_revision_not_the_items():
  """The configuration may be older than the history that the store keeps."""
  client = FakeClient()
  found = watch_for(client, 0.3)
  assert [c.version for c in found] == [1]
  assert [c for c in client.calls if c[0] == "range"] == [("range", "op/")]
  assert client.calls[1] == ("watch", 100)


def test_change_and_malformed_change():
  client = FakeClient()
  key = configuration.CONFIG_KEY
  client.changes = [
      kvtypes.Changes(101, (kvtypes.Item(key, 101, b"{"),)),
      kvtypes.Changes(102, (kvtypes.Item(key, 102, value(5)),)),
  ]
  assert [c.version for c in watch_for(client, 0.3)] == [1, 5]


def test_newest_configuration_of_one_answer_is_told_alone():
  """A host that was cut off during a storm of changes reads the last one."""
  client = FakeClient()
  key = configuration.CONFIG_KEY
  client.changes = [
      kvtypes.Changes(
          109, tuple(kvtypes.Item(key, 100 + n, value(n)) for n in range(2, 9))
      ),
      kvtypes.Changes(
          111,
          (
              kvtypes.Item(key, 110, value(10)),
              kvtypes.Item(key, 111, b"{"),
          ),
      ),
  ]
  assert [c.version for c in watch_for(client, 0.3)] == [1, 8, 10]


def test_store_without_history_is_not_asked_without_end():
  client = FakeClient()

  async def gone(prefix, after, wait_ms):
    client.calls.append(("watch", after))
    raise kvtypes.HistoryGoneError("gone")

  client.watch = gone
  watch_for(client, 1.0)
  assert len(client.calls) < 12


def test_decoding_names_the_field_that_is_wrong():
  config = configuration.decode(value(7))
  (queue,) = config.queues
  assert (queue.host, queue.prefix, queue.attempts) == (
      "jobs.example",
      "/a/",
      3,
  )
  with pytest.raises(errors.SettingsError, match="version"):
    configuration.decode(b'{"routes": []}')
  with pytest.raises(errors.SettingsError, match="prefix"):
    configuration.decode(value(7, ({"name": "r", "host": "h"},)))


@pytest.mark.parametrize("advice", [True, {"decisionMs": 30}, "10.0.0.1:80"])
def test_queue_under_a_policy_is_known_however_the_policy_is_written(advice):
  route = {"name": "r", "host": "h", "prefix": "/a/", "service": "s"}
  (queue,) = configuration.decode(
      value(7, ({**route, "advice": advice},))
  ).queues
  assert queue.needs_advice


def test_item_of_the_wire_is_decoded_once():
  raw = {"key": "k", "revision": 3, "value": base64.b64encode(b"x").decode()}
  gone = {"key": "k", "revision": 4, "tombstone": True}
  unreadable = {"key": "k", "revision": 5, "value": "x"}
  body = json.dumps({"currentRev": 5, "events": [raw, gone, unreadable]})
  reply = wire.decode(wire.watch_replies, body, "watch", errors.KvError)
  assert [store._item(event) for event in reply.events] == [
      kvtypes.Item("k", 3, b"x"),
      kvtypes.Item("k", 4, None),
      kvtypes.Item("k", 5, b""),
  ]


def asked(name, revision, wanted=b"{}") -> kvtypes.Item:
  return kvtypes.Item(configuration.EVACUATE_PREFIX + name, revision, wanted)


def test_evacuations_are_told_at_once_and_with_each_change():
  client = FakeClient()
  client.asked = [asked("north", 7)]
  client.changes = [
      kvtypes.Changes(101, (asked("south", 101),)),
      kvtypes.Changes(
          102, (kvtypes.Item(configuration.CONFIG_KEY, 102, value(2)),)
      ),
      kvtypes.Changes(103, (asked("north", 103, None),)),
  ]
  _, told = watch_both(client, 0.3)
  assert told == [{"north": 7}, {"north": 7, "south": 101}, {"south": 101}]


def test_evacuation_holds_by_its_key_whatever_its_value():
  client = FakeClient()
  client.asked = [asked("north", 7, b"\xff{")]
  _, told = watch_both(client, 0.1)
  assert told == [{"north": 7}]


def test_evacuation_taken_back_while_the_history_was_dropped_is_over():
  client = FakeClient()
  client.asked = [asked("north", 7)]
  pages = iter([client.asked, []])

  async def range_(prefix):
    del prefix
    return kvtypes.Changes(80, tuple(next(pages, [])))

  client.range = range_
  _, told = watch_both(client, 0.5)
  assert told[:2] == [{"north": 7}, {}]


def test_none_is_told_before_the_store_was_read():
  """A host that can't read the requests must not take it that there is none."""
  client = FakeClient()

  async def away(prefix):
    raise errors.KvError(prefix)

  client.range = away
  assert watch_both(client, 0.5) == ([], [])


# As long as a few watches and the pauses between them.
SILENCES_S = [0.25 * n for n in range(1, 33)]


class SilentStore:
  """A store behind its wire; calls that meet a silence are never answered."""

  def __init__(self, port: int):
    self._silent = False
    self._silences = 0
    self._store = kvstore.KvStore()
    self._wire = wireserver.WireServer(self._store, time.monotonic)
    self._server = httpio.Server(
        settings.Address("127.0.0.1", port), self._handle
    )

  async def _handle(self, request):
    silences = self._silences
    swallowed = self._silent
    response = await self._wire.handle(request)
    if swallowed or silences != self._silences:
      await curio.sleep(3600.0)
    return response

  def fall_silent(self):
    self._silent = True
    self._silences += 1

  def answer_again(self):
    self._silent = False

  async def start(self):
    await self._server.start()
    await self.put(1)

  async def put(self, version):
    self._store.put(configuration.CONFIG_KEY, value(version))
    await self._wire.notify_watches()

  async def close(self):
    await self._server.close()


async def time_unheard(port: int, silence_s: float) -> float:
  """Returns how long after a silence a change made at its end is in force."""
  silent_store = SilentStore(port)
  await silent_store.start()
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
  silent_store.fall_silent()
  await curio.sleep(silence_s)
  silent_store.answer_again()
  ended = time.monotonic()
  await silent_store.put(2)
  while 2 not in in_force:
    await curio.sleep(0.01)
  await watch.cancel()
  await client.close()
  await silent_store.close()
  return in_force[2] - ended


def test_change_is_in_force_in_time_however_long_the_store_was_silent():
  free = ports.free_ports(len(SILENCES_S))

  async def run():
    async with curio.TaskGroup() as group:
      tasks = [
          await group.spawn(time_unheard, port, silence_s)
          for port, silence_s in zip(free, SILENCES_S, strict=True)
      ]
    return [task.result for task in tasks]

  elapsed_by_silence = dict(zip(SILENCES_S, curio.run(run), strict=True))
  assert {
      s: t for s, t in elapsed_by_silence.items() if t > CONVERGENCE_S
  } == {}


def test_configuration_does_not_wait_for_the_evacuations_beside_it():
  """What an evacuation changes in a host's decisions can take its time."""
  found = []

  async def on_config(config):
    found.append(config.version)

  async def stuck(event):
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
      stuck,
      lambda: None,
  )
  assert found == [1]
