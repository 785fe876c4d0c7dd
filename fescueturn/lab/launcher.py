"""Runs a data centre's daemons on loopback for the demo, benchmarks and tests.

This is a development tool and no part of a deployment. It writes each daemon's
settings file, starts each daemon as a process of its own (``python -m
fescueturn ROLE``), waits until the entry hosts see all others, and sends
signals to the daemons (to stop, kill or freeze them).
"""

import dataclasses
import os
import signal
import subprocess
import sys

import curio

from fescueturn import hostclock
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
  """A daemon of the data centre, started or not.

  Attributes:
    name: its name.
    role: the subcommand of fescueturn that runs it.
    listen: the address at which it serves.
    settings_path: the path of its settings file.
  """

  name: str
  role: str
  listen: settings.Address
  settings_path: str


class Launcher:
  """One data centre on loopback.

  Attributes:
    platform: the platform stand-in's address.
    daemons: the daemons by name.
  """

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
    """Writes the settings files of all daemons; `start` starts them.

    Args:
      workdir: the directory of the settings files and logs.
      entries: the number of entry hosts.
      endpoints: the number of endpoints.
      data_centre: the data centre's name.
      host_list_lag_s: delay (s) with which the platform lists hosts.
      time_scale: factor on the endpoints' run times.
      endpoint_drain_s: the endpoints' drain time (s).
      entry_options: further lines for the [entry] section of the settings.
    """
    self._workdir = workdir
    self._data_centre = data_centre
    self._host_list_lag_s = host_list_lag_s
    self._time_scale = time_scale
    self._endpoint_drain_s = endpoint_drain_s
    self._entry_options = entry_options
    self.platform = ports.free_address()
    self.daemons: dict[str, Daemon] = {}
    self._processes: dict[str, subprocess.Popen] = {}
    self._write_settings(entries, endpoints)

  def _write_settings(self, entries: int, endpoints: int):
    self._add_daemon(
        "platform",
        "platform",
        self.platform,
        f"[platform]\nlisten = {self.platform}\nhost_list_lag_s = {self._host_list_lag_s}\n",
    )
    for i in range(1, endpoints + 1):
      listen = ports.free_address()
      body = (
          f"[endpoint]\nlisten = {listen}\nplatform = {self.platform}\n"
          f"time_scale = {self._time_scale}\ndrain_s = {self._endpoint_drain_s}\n"
      )
      self._add_daemon(f"endpoint-{i}", "endpoint", listen, body)
    for i in range(1, entries + 1):
      listen, peer = ports.free_address(), ports.free_address()
      body = f"[entry]\nlisten = {listen}\npeer_listen = {peer}\nplatform = {self.platform}\n{self._entry_options}"
      self._add_daemon(f"entry-{i}", "entry", listen, body)

  def _add_daemon(
      self, name: str, role: str, listen: settings.Address, body: str
  ):
    path = os.path.join(self._workdir, f"{name}.ini")
    with open(path, "w", encoding="utf-8") as file:
      file.write(
          f"[process]\nname = {name}\ndata_centre = {self._data_centre}\n{body}"
      )
    self.daemons[name] = Daemon(name, role, listen, path)

  def names(self, role: str) -> list[str]:
    """Returns the names of the daemons of one role, in order."""
    return [d.name for d in self.daemons.values() if d.role == role]

  def spawn(self, name: str):
    """Starts (or restarts) one daemon as its own process."""
    daemon = self.daemons[name]
    log = open(os.path.join(self._workdir, f"{name}.log"), "ab")
    command = [
        sys.executable,
        "-m",
        "fescueturn",
        daemon.role,
        "--settings",
        daemon.settings_path,
    ]
    self._processes[name] = subprocess.Popen(command, stdout=log, stderr=log)
    log.close()

  async def start(self, teams: dict[str, str] | None = None):
    """Starts all daemons, writes team settings and waits until all are ready.

    Args:
      teams: the teams' settings by team, `TEAM_SETTINGS` if None.

    Raises:
      RuntimeError: a daemon has exited or did not become ready in time.
    """
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
    return store.StoreClient(self.platform, hostclock.now)

  async def get(self, name: str, path: str) -> httpio.Response:
    """Sends a GET request for `path` to a daemon."""
    pool = httpio.Pool(self.daemons[name].listen, limit=1)
    try:
      return await pool.request("GET", path, timeout_s=5)
    finally:
      await pool.close()

  async def _wait_ready(self, name: str, path: str, check=lambda body: True):
    last_reply = "no answer"
    for _ in range(MAX_READY_POLLS):
      try:
        response = await self.get(name, path)
        last_reply = response.body.decode()
        if response.status == 200 and check(response.json()):
          return
      except (httpio.NotSentError, httpio.LostReplyError):
        pass
      if self._processes[name].poll() is not None:
        raise RuntimeError(
            f"{name} exited with {self._processes[name].returncode}"
        )
      await curio.sleep(READY_POLL_S)
    raise RuntimeError(f"{name} not ready: {last_reply}")

  async def wait_entry_ready(self, name: str):
    """Waits until an entry host sees all running entry hosts and endpoints."""
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
    """Sends a signal to a daemon.

    After SIGKILL it returns only when the process has ended: the system closes
    a killed process's connections before the process counts as ended, and in
    between it must not be taken for a running one.

    Args:
      name: the daemon's name.
      sig: the signal: SIGTERM stops, SIGKILL kills and SIGSTOP freezes it.
    """
    self._processes[name].send_signal(sig)
    if sig == signal.SIGKILL:
      self._processes[name].wait(STOP_TIMEOUT_S)

  def wait(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
    """Waits until a daemon exits; returns its exit code."""
    return self._processes[name].wait(timeout_s)

  def pid(self, name: str) -> int:
    """Returns the process id of a started daemon."""
    return self._processes[name].pid

  def alive(self, name: str) -> bool:
    """Returns True if a daemon's process is running."""
    return name in self._processes and self._processes[name].poll() is None

  def stop(self):
    """Stops all daemons: first entry hosts, then endpoints, then the platform.

    Each daemon gets SIGCONT, since it may be frozen, and SIGTERM; if it has not
    exited within `STOP_TIMEOUT_S`, it gets SIGKILL.
    """
    for group in (self.names("entry"), self.names("endpoint"), ["platform"]):
      for name in group:
        if self.alive(name):
          self._processes[name].send_signal(signal.SIGCONT)
          self._processes[name].send_signal(signal.SIGTERM)
      for name in group:
        process = self._processes.get(name)
        if process is None:
          continue
        try:
          process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
          process.kill()
          process.wait()
