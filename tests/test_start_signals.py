"""Tests of signals to real processes that start or exit."""

import dataclasses
import os
import signal
import subprocess
import sys
import threading
import time

import curio
import pytest

from fescueturn import timer
from fescueturn.lab import launcher
from fescueturn.lab import ports
from fescueturn.platform import nodefile
from fescueturn.platform import role
from tests import deployments

# Modules that the start loads, in this order.
ROLE_MODULES = (
    "curio",
    "h11",
    "msgspec",
    "fescueturn.scheduler.model",
    "capnp",
    "fescueturn.scheduler.reducer",
    "fescueturn.scheduler.host",
)


LIFE_LIMIT_S = 30.0


class StartingHost:
  """An entry host's process that reports each module once it is loaded."""

  def __init__(self, directory):
    (store_port,) = ports.free_ports(1)
    self.files = deployments.Host(directory, "north-0", "north", store_port)
    self.process = subprocess.Popen(
        [sys.executable, "-X", "importtime", "-m", "fescueturn.platform.role"],
        cwd=deployments.ROOT,
        env={
            **os.environ,
            "FESCUETURN_NODE_FILE": str(self.files.settings_file),
        },
        stdout=self.files.log_file.open("wb"),
        stderr=subprocess.PIPE,
        text=True,
    )

  def await_module(self, name: str):
    for line in self.process.stderr:
      if line.rpartition("|")[2].strip() == name:
        return
    raise AssertionError(f"{name} was not loaded")

  def await_started(self):
    deployments.wait_for(
        lambda: "event=started" in self.files.log(), "start of the host"
    )


@pytest.fixture
def host(tmp_path):
  starting = StartingHost(tmp_path)
  limit = threading.Timer(LIFE_LIMIT_S, starting.process.kill)
  limit.start()
  yield starting
  limit.cancel()
  starting.process.kill()
  starting.process.communicate()


@pytest.mark.parametrize("module", ROLE_MODULES)
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_stop_of_a_starting_process_is_not_a_crash(host, module, number):
  host.await_module(module)
  host.process.send_signal(number)
  _, errors = host.process.communicate(timeout=20)
  assert host.process.returncode == 0
  assert f"event=stopped_while_starting signal={number.value}" in errors
  assert "event=started" not in host.files.log()


def test_change_of_settings_does_not_end_a_starting_process(host):
  for module in ROLE_MODULES:
    host.await_module(module)
    host.process.send_signal(signal.SIGHUP)
  host.await_started()
  host.process.send_signal(signal.SIGTERM)
  host.process.communicate(timeout=20)
  assert host.process.returncode == 0


def test_settings_that_change_during_the_start_are_loaded_after_it(
    monkeypatch,
):
  address = ports.free_address()
  read = nodefile.NodeSettings(
      "a", "north", *[address] * 5, 1000, 2.0, 0.0, 60.0, 1.3, 1.0
  )
  changed = dataclasses.replace(read, grace_s=0.5)
  process = role.EntryProcess(read, timer.TimerService(1.0, lambda: 0.0))
  loaded = []

  def load() -> nodefile.NodeSettings:
    loaded.append(changed)
    process._on_signal(signal.SIGTERM, None)
    return changed

  async def drain(began):
    del began

  monkeypatch.setattr(nodefile, "load", load)
  monkeypatch.setattr(process, "_drain", drain)
  curio.run(curio.timeout_after, 5 * role.POLL_S, process.run)
  assert loaded == [changed]


def test_second_stop_does_not_kill_an_exiting_process(host):
  host.await_started()
  deadline = time.monotonic() + 20.0
  while host.process.poll() is None and time.monotonic() < deadline:
    host.process.send_signal(signal.SIGTERM)
    time.sleep(0.0005)
  assert host.process.wait(1.0) == 0


def start_daemon(lab: launcher.Launcher, role: str) -> subprocess.Popen:
  """Starts a daemon of the command line that reports each loaded module."""
  (name,) = lab.names(role)
  command = [sys.executable, "-X", "importtime", "-m", "fescueturn", role]
  return subprocess.Popen(
      [*command, "--settings", lab.daemons[name].settings_path],
      cwd=deployments.ROOT,
      stderr=subprocess.PIPE,
      text=True,
  )


@pytest.mark.parametrize("role", ["entry", "endpoint", "platform"])
def test_stop_of_a_starting_daemon_is_not_a_crash(tmp_path, role):
  lab = launcher.Launcher(str(tmp_path), entries=1, endpoints=1)
  process = start_daemon(lab, role)
  for line in process.stderr:
    if line.rpartition("|")[2].strip() == "curio":
      break
  process.send_signal(signal.SIGTERM)
  _, errors = process.communicate(timeout=20)
  assert process.returncode == 0
  assert "event=stopped_while_starting" in errors


def test_second_stop_does_not_kill_an_exiting_daemon(tmp_path):
  lab = launcher.Launcher(str(tmp_path), entries=0, endpoints=0)
  process = start_daemon(lab, "platform")
  deployments.wait_for(
      lambda: deployments.call(lab.platform.port, "GET", "/test/stats"),
      "the platform's stand-in answers",
  )
  deadline = time.monotonic() + 20.0
  while process.poll() is None and time.monotonic() < deadline:
    process.send_signal(signal.SIGTERM)
    time.sleep(0.0005)
  _, errors = process.communicate(timeout=1.0)
  assert process.returncode == 0
  assert "event=stopped_while_starting" not in errors
