import json

import pytest

from fescueturn import codes
from fescueturn import errors
from fescueturn import settings
from fescueturn.platform import nodefile
from fescueturn.scheduler import election

RAW = {
    "node": "entry-1",
    "ip": "10.1.0.13",
    "zone": "north",
    "listen": {"frontend": "10.1.0.13:8161", "readiness": "10.1.0.13:8167"},
    "internalPorts": [7720, 7735],
    "platform": {"address": "10.200.1.7:8169", "minTtlMs": 1000},
    "bounds": {"graceS": 6},
    "limits": {"cpuShare": 0.717, "cores": 3},
    "something": "new",
}


def test_fields_are_decoded_and_unknown_ones_ignored():
  node = nodefile.decode(json.dumps(RAW))
  assert node.host == "entry-1"
  assert node.data_centre == "north"
  assert node.callers_address == settings.Address("10.1.0.13", 8161)
  assert node.peer_address == settings.Address("10.1.0.13", 7720)
  assert node.metrics_address == settings.Address("10.1.0.13", 7721)
  assert node.grace_s == 6.0
  assert node.cores == pytest.approx(2.151)
  assert node.convergence_s == 3.0


def test_convergence_time_is_read_from_the_bounds():
  bounds = {**RAW["bounds"], "contactMs": 4500}
  node = nodefile.decode(json.dumps({**RAW, "bounds": bounds}))
  assert node.convergence_s == 4.5


@pytest.mark.parametrize("limits", [None, {}, {"cpuShare": 0.5, "cores": None}])
def test_host_without_processor_limits_counts_as_large(limits):
  node = nodefile.decode(json.dumps({**RAW, "limits": limits}))
  assert node.cores == election.HOLDER_CORES


@pytest.mark.parametrize("name", ["node", "zone", "listen", "platform"])
def test_missing_field_raises_a_numbered_error_that_names_it(name):
  raw = {k: v for k, v in RAW.items() if k != name}
  with pytest.raises(errors.SettingsError, match=name) as caught:
    nodefile.decode(json.dumps(raw))
  assert caught.value.code is codes.Code.SETTINGS_BAD_VALUE


@pytest.mark.parametrize("text", ["", "{", "[]", '{"listen": 3}'])
def test_malformed_file_is_a_settings_error(text):
  with pytest.raises(errors.SettingsError):
    nodefile.decode(text)


def test_missing_file_is_a_settings_error(monkeypatch, tmp_path):
  monkeypatch.setenv(nodefile.PATH_VARIABLE, str(tmp_path / "none"))
  with pytest.raises(errors.SettingsError):
    nodefile.load()


def test_statsd_address_is_read_from_the_environment(monkeypatch):
  monkeypatch.delenv(nodefile.STATSD_VARIABLE, raising=False)
  assert nodefile.statsd_address() is None
  monkeypatch.setenv(nodefile.STATSD_VARIABLE, "10.0.0.9:8125")
  assert nodefile.statsd_address() == settings.Address("10.0.0.9", 8125)
  monkeypatch.setenv(nodefile.STATSD_VARIABLE, "nowhere")
  with pytest.raises(errors.SettingsError):
    nodefile.statsd_address()
