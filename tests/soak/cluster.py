"""The processes of a soak: the platform's stand-in, hosts, and proxies."""

import dataclasses
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import time

import curio

from fescueturn import httpio
from fescueturn import settings
from fescueturn.lab import ports
from tests import deployments
from tests.soak import proxy

SLOTS = 6
HOSTS_PER_DATA_CENTRE = 2
# Time from SIGTERM to SIGKILL, as the hosts' settings files have it.
GRACE_S = 6.0
# A process that gets a signal sooner may not handle it yet.
START_S = 3.0
START_LIMIT_S = 20.0
STORE = "store"
MAX_CLOCK_MS = 10_000_000
_LOST = (httpio.NotSentError, httpio.LostReplyError)


def own_loopback() -> str:
  """Returns a loopback address that no other process uses."""
  pid = os.getpid()
  return f"127.{64 + (pid >> 16)}.{pid >> 8 & 255}.{pid & 255}"


def slot_name(number: int) -> str:
  return f"slot-{number}"


@dataclasses.dataclass
class Life:
  """One process of a host.

  Attributes:
    number: counts the host's processes.
    process: the process.
    started_at: when it was started, in monotonic time (s).
    terminated_at: when it got SIGTERM (s), or None.
    disturbed: True if it was paused or killed, so that it may cut requests off.
    exited_at: when its exit was seen (s), or None.
    version: the newest version of the configuration that it has shown.
  """

  number: int
  process: subprocess.Popen
  started_at: float
  terminated_at: float | None = None
  disturbed: bool = False
  exited_at: float | None = None
  version: int = -1


class Host:
  """A host whose processes follow one another.

  Attributes:
    files: its settings file, log and ports.
    ip: the address that it listens on.
    lives: its processes, in order.
    paused: the number of pauses that go on.
  """

  def __init__(self, files: deployments.Host, ip: str):
    self.files = files
    self.ip = ip
    self.name = files.name
    self.lives: list[Life] = []
    self.paused = 0
    self._pools: dict[int, httpio.Pool] = {}

  @property
  def life(self) -> Life:
    return self.lives[-1]

  @property
  def running(self) -> bool:
    return bool(self.lives) and self.life.process.poll() is None

  def start(self):
    """Starts a process, unless one runs."""
    if self.running:
      return
    self.paused = 0
    self.files.start()
    self.lives.append(
        Life(len(self.lives), self.files.process, time.monotonic())
    )

  def terminate(self):
    """Asks the process to stop."""
    if self.running and self.life.terminated_at is None:
      self.life.terminated_at = time.monotonic()
      self.life.process.send_signal(signal.SIGTERM)

  def kill(self):
    """Kills the process."""
    if self.running:
      self.life.disturbed = True
      self.life.process.kill()

  def pause(self):
    """Stops the process with SIGSTOP; each pause needs a `resume`."""
    self.paused += 1
    if self.running:
      self.life.disturbed = True
      self.life.process.send_signal(signal.SIGSTOP)

  def resume(self):
    """Ends a pause."""
    self.paused = max(0, self.paused - 1)
    if self.running and not self.paused:
      self.life.process.send_signal(signal.SIGCONT)

  def reload(self):
    """Asks the process to read its settings file."""
    if self.running and time.monotonic() > self.life.started_at + START_S:
      self.life.process.send_signal(signal.SIGHUP)

  async def get(self, port: int, path: str) -> httpio.Response | None:
    """Returns the answer to a GET request, or None."""
    address = settings.Address(self.ip, port)
    pool = self._pools.setdefault(port, httpio.Pool(address, connect_s=1.0))
    try:
      return await pool.request("GET", path, timeout_s=1.0)
    except _LOST:
      return None

  async def is_ready(self) -> bool:
    response = await self.get(self.files.readiness_port, "/-/readyz")
    return response is not None and response.status == 200


def config(version: int, ip: str) -> dict:
  """Returns a configuration; each odd version has one more queue."""
  prefixes = [deployments.PREFIX] + ["/more/"] * (version % 2)
  raw = deployments.config(version, prefixes)
  # The callers' connections name the address in the Host header.
  routes = [{**route, "host": ip} for route in raw["routes"]]
  return {**raw, "routes": routes}


class Cluster:
  """All processes of a soak; `start` starts them, `close` ends them.

  Attributes:
    hosts: the hosts.
    paths: the proxies, by the names of their client and server.
  """

  def __init__(self, directory: pathlib.Path, seed: int):
    self.hosts: list[Host] = []
    self.paths: dict[tuple[str, str], proxy.Path] = {}
    self._directory = directory
    self._seed = seed
    self._rng = random.Random(f"{seed}/cluster")
    self._ip = own_loopback()
    self._control_address = self._free_address()
    self._control = httpio.Pool(self._control_address)
    self._platform = None
    self._version = 0

  def _free_address(self) -> settings.Address:
    (port,) = ports.free_ports(1)
    return settings.Address(self._ip, port)

  async def start(self):
    """Starts the platform, the proxies and the hosts; waits for them."""
    endpoint_addresses = [self._free_address() for _ in range(SLOTS)]
    views = []
    names = [
        (f"{data_centre}-{i}", data_centre)
        for data_centre in deployments.DATA_CENTRES
        for i in range(HOSTS_PER_DATA_CENTRE)
    ]
    for name, data_centre in names:
      store, store_proxy = self._free_address(), self._free_address()
      views.append({"listen": str(store), "addresses": {}})
      self._add_path(name, STORE, store_proxy, store)
      files = deployments.Host(
          self._directory, name, data_centre, store_proxy.port
      )
      text = files.settings_file.read_text()
      files.settings_file.write_text(text.replace(ports.LOOPBACK, self._ip))
      self.hosts.append(Host(files, self._ip))
    for view, host in zip(views, self.hosts, strict=True):
      targets = [(slot_name(i), a) for i, a in enumerate(endpoint_addresses)]
      for other in self.hosts:
        if other is not host:
          peer = settings.Address(self._ip, other.files.metrics_port - 1)
          targets.append((other.name, peer))
      for name, target in targets:
        address = self._free_address()
        self._add_path(host.name, name, address, target)
        view["addresses"][str(target)] = str(address)
    for path in self.paths.values():
      await path.start()
    await self._start_platform(views, endpoint_addresses)
    await self.configure(newer=True)
    for host in self.hosts:
      host.start()
    await self.wait_ready()

  def _add_path(self, client, server, address, target):
    name = (client, server)
    rng = random.Random(f"{self._seed}/{client}/{server}")
    self.paths[name] = proxy.Path(name, address, target, rng)

  async def _start_platform(self, views, endpoint_addresses):
    centres = deployments.DATA_CENTRES
    raw = {
        "seed": self._seed,
        "control": str(self._control_address),
        "views": views,
        "endpoints": [
            {
                "address": str(address),
                "data_centre": centres[i % len(centres)],
                "clock_ms": self._rng.randrange(MAX_CLOCK_MS),
            }
            for i, address in enumerate(endpoint_addresses)
        ],
    }
    settings_file = self._directory / "platform.json"
    settings_file.write_text(json.dumps(raw))
    with (self._directory / "platform.log").open("wb") as log:
      self._platform = subprocess.Popen(
          [sys.executable, "-m", "tests.soak.platform", str(settings_file)],
          cwd=deployments.ROOT,
          stdout=log,
          stderr=log,
      )

    async def answers():
      try:
        await self.platform("report")
      except _LOST:
        return False
      return True

    await _wait_for(answers, "the platform's stand-in answers")

  async def platform(self, what: str, **arguments) -> dict:
    """Makes a control call to the stand-in of the platform."""
    body = json.dumps(arguments).encode()
    response = await self._control.request(
        "POST", f"/soak/{what}", body, timeout_s=10.0
    )
    return response.json()

  async def configure(self, newer: bool):
    """Writes the next version of the configuration, or an older one."""
    if newer:
      self._version += 1
    version = self._version if newer else max(1, self._version - 1)
    value = config(version, self._ip)
    await self.platform("put", key="op/config", value=value)

  async def wait_ready(self):
    """Waits until every host is ready."""
    for host in self.hosts:
      await _wait_for(host.is_ready, f"{host.name} is ready")

  async def supervise(self):
    """Notes exits, and kills processes whose grace period is over."""
    while True:
      await curio.sleep(0.02)
      for host in self.hosts:
        if not host.lives:
          continue
        life, now = host.life, time.monotonic()
        if life.exited_at is None and not host.running:
          life.exited_at = now
        overdue = (
            life.terminated_at is not None
            and now > life.terminated_at + GRACE_S
        )
        if host.running and overdue:
          life.process.kill()

  async def close(self):
    """Ends every process and closes the proxies."""
    processes = [life.process for host in self.hosts for life in host.lives]
    if self._platform is not None:
      processes.append(self._platform)
    for process in processes:
      if process.poll() is None:
        process.kill()
      process.wait()
    for path in self.paths.values():
      await path.close()


async def _wait_for(condition, description: str):
  end = time.monotonic() + START_LIMIT_S
  while not await condition():
    if time.monotonic() > end:
      raise TimeoutError(f"not within {START_LIMIT_S} s: {description}")
    await curio.sleep(0.05)
