import base64
import json

import curio
import pytest

from fescueturn import errors
from fescueturn import kvtypes
from fescueturn.platform import configuration
from fescueturn.platform import store
from fescueturn.platform import wire
from fescueturn.scheduler import model

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


def value(version, routes=(ROUTE,)) -> bytes:
  return json.dumps({"version": version, "routes": list(routes)}).encode()


class FakeClient:
  """A store at revision 100 that knows its history since revision 90."""

  def __init__(self):
    self.calls = []
    self.changes = []

  async def get(self, key):
    self.calls.append(("get", key))
    item = kvtypes.Item(key, 2, value(1))
    return kvtypes.Changes(100, (item,))

  async def watch(self, prefix, after, wait_ms):
    self.calls.append(("watch", after))
    await curio.sleep(0.01)
    if after < 90:
      raise kvtypes.HistoryGoneError("gone")
    if self.changes:
      return self.changes.pop(0)
    return kvtypes.Changes(after, ())


def watch_for(client, seconds: float) -> list[model.Config]:
  found = []

  async def on_config(config):
    found.append(config)

  async def run():
    await curio.ignore_after(
        seconds, configuration.watch_loop, client, on_config
    )

  curio.run(run)
  return found


def test_watch_goes_on_from_the_stores_revision_not_the_items():
  """The configuration may be older than the history that the store keeps."""
  client = FakeClient()
  found = watch_for(client, 0.3)
  assert [c.version for c in found] == [1]
  assert [c for c in client.calls if c[0] == "get"] == [("get", "op/config")]
  assert client.calls[1] == ("watch", 100)


def test_change_and_malformed_change():
  client = FakeClient()
  key = configuration.KEY
  client.changes = [
      kvtypes.Changes(101, (kvtypes.Item(key, 101, b"{"),)),
      kvtypes.Changes(102, (kvtypes.Item(key, 102, value(5)),)),
  ]
  assert [c.version for c in watch_for(client, 0.3)] == [1, 5]


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
