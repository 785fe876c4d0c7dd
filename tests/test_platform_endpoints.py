import json

import pytest

from fescueturn import errors
from fescueturn import kvtypes
from fescueturn.platform import endpoints
from fescueturn.scheduler import model


def item(name: str, **changed) -> kvtypes.Item:
  raw = {
      "service": "speller",
      "address": "10.128.0.9:8080",
      "zone": "north",
      "slots": 8,
      "state": "ready",
      "capacity": {"cpu": 64000, "memMb": 131072, "gpu": 0},
      "labels": ["a", "r1-3"],
      **changed,
  }
  return kvtypes.Item(endpoints.PREFIX + name, 5, json.dumps(raw).encode())


def test_entry_is_decoded_into_an_endpoint():
  endpoint = endpoints.decode_entry(item("i-1", state="draining"))
  assert endpoint.id == "i-1"
  assert endpoint.draining
  assert endpoint.capacity == model.Room(64000, 131072, 0)
  assert endpoint.labels == ("a", "r1-3")


def test_malformed_entry_is_left_out_and_the_others_kept():
  bad = kvtypes.Item(endpoints.PREFIX + "i-2", 6, b"{}")
  with pytest.raises(errors.SettingsError):
    endpoints.decode_entry(bad)
  listed = endpoints.EndpointList().update((item("i-1"), bad), 0.0)
  assert [e.id for e in listed] == ["i-1"]


def test_missing_entry_is_kept_for_a_while():
  """Entries lapse with a store that is away, and are back within 2 s."""
  known = endpoints.EndpointList()
  known.update((item("i-1"), item("i-2")), 10.0)
  names = lambda listed: sorted(e.id for e in listed)  # noqa: E731
  assert names(known.update((item("i-1"),), 11.0)) == ["i-1", "i-2"]
  assert names(known.update((item("i-1"),), 12.0)) == ["i-1", "i-2"]
  assert names(known.update((item("i-1"),), 13.3)) == ["i-1"]


def test_entry_that_is_back_is_not_missing_any_more():
  known = endpoints.EndpointList()
  known.update((item("i-1"),), 10.0)
  known.update((), 11.0)
  known.update((item("i-1"),), 12.0)
  assert [e.id for e in known.update((), 13.5)] == ["i-1"]


@pytest.mark.parametrize(
    ("name", "task"),
    [
        ("5c0e7a21d94b36f8.0.1.17", model.Task("5c0e7a21d94b36f8", 1, 17)),
        ("5c0e7a21d94b36f8.3.0.2", model.Task("5c0e7a21d94b36f8.3", 0, 2)),
    ],
)
def test_run_names_go_both_ways(name, task):
  assert endpoints.parse_run_name(name) == task
  assert endpoints.run_name(task) == name
