"""Starts a data centre's processes on loopback, for the demo, bench and tests.

This is a tool, not a system process: it writes each daemon's settings file,
starts each daemon as its own process (``python -m fescueturn ROLE``), waits
until they see one another, signals them (stop, kill, freeze) and stops them.
"""

import dataclasses
import os
import signal
import subprocess
import sys
import time

import curio

from fescueturn import httpio
from fescueturn import settings
from fescueturn import teamconfig
from fescueturn.lab import ports
from fescueturn.lab import workload
from fescueturn.platform import store

MAX_READY_POLLS = 200
READY_POLL_S = 0.05
STOP_TIMEOUT_S = 30.0

TEAM_SETTINGS = {
    workload.ALTAMAHA: "[team]\nservice = speller\nmax_tasks_per_job = 190\nmax_tasks_in_flight = 2000\ndeadline_ms = 15000\n",
    workload.CONSORTIUM: "[team]\nservice = uplift-orders\nmax_tasks_per_job = 190\nmax_tasks_in_flight = 2000\ndeadline_ms = 15000\n",
}


@dataclasses.dataclass(frozen=True)
class Daemon:
  """A started daemon: its name, role, address and settings file."""

  name: str
  role: str
  listen: settings.Address
  settings_path: str


class Launcher:
  """One data centre on loopback; `start` brings it up, `stop` ends it."""

  def __init__(
      self,
      workdir: str,
      entries: int = 2,
      endpoints: int = 3,
      data_centre: str = "savannah",
      host_list_lag_s: float = 1.0,
      time_scale: float = 1.0,
      endpoint_drain_s: float = 3.0,
      entry_options: str = "",
  ):
    self._workdir = workdir
    self._dc = data_centre
    self._lag = host_list_lag_s
    self._time_scale = time_scale
    self._drain_s = endpoint_drain_s
    self._entry_options = entry_options
    self.platform = ports.free_address()
    self.daemons: dict[str, Daemon] = {}
    self._popen: dict[str, subprocess.Popen] = {}
    self._plan(entries, endpoints)

  def _plan(self, entries: int, endpoints: int):
    self._add(
        "platform",
        "platform",
        self.platform,
        f"[platform]\nlisten = {self.platform}\nhost_list_lag_s = {self._lag}\n",
    )
    for i in range(1, endpoints + 1):
      listen = ports.free_address()
      body = (
          f"[endpoint]\nlisten = {listen}\nplatform = {self.platform}\n"
          f"time_scale = {self._time_scale}\ndrain_s = {self._drain_s}\n"
      )
      self._add(f"endpoint-{i}", "endpoint", listen, body)
    for i in range(1, entries + 1):
      listen, peer = ports.free_address(), ports.free_address()
      body = f"[entry]\nlisten = {listen}\npeer_listen = {peer}\nplatform = {self.platform}\n{self._entry_options}"
      self._add(f"entry-{i}", "entry", listen, body)

  def _add(self, name: str, role: str, listen: settings.Address, body: str):
    path = os.path.join(self._workdir, f"{name}.ini")
    with open(path, "w", encoding="utf-8") as file:
      file.write(f"[process]\nname = {name}\ndata_centre = {self._dc}\n{body}")
    self.daemons[name] = Daemon(name, role, listen, path)

  def names(self, role: str) -> list[str]:
    """Returns the names of the daemons of one role, in order."""
    return [p.name for p in self.daemons.values() if p.role == role]

  def spawn(self, name: str):
    """Starts (or restarts) one daemon as its own process."""
    proc = self.daemons[name]
    log = open(os.path.join(self._workdir, f"{name}.log"), "ab")
    command = [
        sys.executable,
        "-m",
        "fescueturn",
        proc.role,
        "--settings",
        proc.settings_path,
    ]
    self._popen[name] = subprocess.Popen(command, stdout=log, stderr=log)
    log.close()

  async def start(self, teams: dict[str, str] | None = None):
    """Starts every daemon, writes team settings, waits until all are ready."""
    self.spawn("platform")
    await self._wait_ready("platform", "/test/stats")
    client = self.client()
    for team, text in (TEAM_SETTINGS if teams is None else teams).items():
      await teamconfig.put(client, team, text, expect=0)
    await client.close()
    for name in self.names("endpoint") + self.names("entry"):
      self.spawn(name)
    for name in self.names("endpoint"):
      await self._wait_ready(name, "/v1/stats")
    for name in self.names("entry"):
      await self.wait_entry_ready(name)

  def client(self) -> store.StoreClient:
    """Returns a client of the platform stand-in's store."""
    return store.StoreClient(self.platform, time.monotonic)

  async def get(self, name: str, path: str) -> httpio.Response:
    """GETs `path` from a daemon."""
    pool = httpio.Pool(self.daemons[name].listen, limit=1)
    try:
      return await pool.request("GET", path, timeout_s=5)
    finally:
      await pool.close()

  async def _wait_ready(self, name: str, path: str, check=lambda body: True):
    seen = "no answer"
    for _ in range(MAX_READY_POLLS):
      try:
        response = await self.get(name, path)
        seen = response.body.decode()
        if response.status == 200 and check(response.json()):
          return
      except (httpio.NotSentError, httpio.LostReplyError):
        pass
      if self._popen[name].poll() is not None:
        raise RuntimeError(f"{name} exited with {self._popen[name].returncode}")
      await curio.sleep(READY_POLL_S)
    raise RuntimeError(f"{name} not ready: {seen}")

  async def wait_entry_ready(self, name: str):
    """Waits until an entry host sees every entry host and endpoint."""
    members = sum(self.alive(n) for n in self.names("entry"))
    endpoints = len(self.names("endpoint"))

    def ready(body):
      return (
          body["members"] == members
          and body["ready"]
          and body["endpoints"] >= endpoints
          and body["teams"] >= 1
      )

    await self._wait_ready(name, "/health", ready)

  def signal(self, name: str, sig: int):
    """Sends a signal to one daemon (SIGTERM stops, SIGKILL kills, SIGSTOP freezes).

    A killed daemon is gone when this returns: its connections are closed before
    it counts as ended, and it must not be taken for a living one in between.
    """
    self._popen[name].send_signal(sig)
    if sig == signal.SIGKILL:
      self._popen[name].wait(STOP_TIMEOUT_S)

  def wait(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
    """Waits for one daemon to exit; returns its exit code."""
    return self._popen[name].wait(timeout_s)

  def pid(self, name: str) -> int:
    """Returns the process id of a started daemon."""
    return self._popen[name].pid

  def alive(self, name: str) -> bool:
    """Tells whether a daemon's process is still running."""
    return name in self._popen and self._popen[name].poll() is None

  def stop(self):
    """Stops every daemon, entry hosts first and the platform last.

    Each gets SIGTERM (after SIGCONT, should it be frozen), then SIGKILL if
    it has not ended within the wait.
    """
    for group in (self.names("entry"), self.names("endpoint"), ["platform"]):
      for name in group:
        if self.alive(name):
          self._popen[name].send_signal(signal.SIGCONT)
          self._popen[name].send_signal(signal.SIGTERM)
      for name in group:
        popen = self._popen.get(name)
        if popen is None:
          continue
        try:
          popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
          popen.kill()
          popen.wait()
