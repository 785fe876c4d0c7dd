"""The processes of a soak: the platform's stand-in, hosts, and proxies."""

import atexit
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
from tests.soak import paths as paths_lib

STORE = "store"
# The prefixes of the callers' queues, by priority; 0 is the most urgent.
QUEUES = ("/first/", deployments.PREFIX, "/last/")
MAX_CLOCK_MS = 10_000_000
# Time from SIGTERM to SIGKILL, as the hosts' settings files have it.
GRACE_S = 6.0
# A process that gets a signal sooner may not handle it yet.
START_S = 3.0
START_LIMIT_S = 60.0
# So many hosts start at a time: imports keep a processor busy.
_STARTS_AT_ONCE = 4
_LOST = (httpio.NotSentError, httpio.LostReplyError)
# The checkouts that hosts run, before and after an upgrade.
OWN_BUILD = ((deployments.ROOT,), (deployments.ROOT,))


@dataclasses.dataclass(frozen=True)
class Site:
  """The hosts and endpoints by number; a size of 2 has twice as many as 1."""

  size: int = 1

  @property
  def hosts(self) -> tuple[int, ...]:
    return tuple(range(len(deployments.DATA_CENTRES) * self.hosts_per_centre))

  @property
  def hosts_per_centre(self) -> int:
    return 2 * self.size

  @property
  def slots(self) -> tuple[int, ...]:
    return tuple(range(6 * self.size))

  @property
  def run_factor(self) -> int:
    """How much longer runs are than in the smallest fleet.

    So larger ones are full with jobs that the soak's own process can send.
    """
    return 1 if self.size == 1 else 3

  def are_near(self, host: int, slot: int) -> bool:
    """Returns whether they are in one data centre."""
    centres = len(deployments.DATA_CENTRES)
    return host // self.hosts_per_centre == slot % centres


def slot_name(number: int) -> str:
  return f"slot-{number}"


def own_loopback(number: int = 0) -> str:
  """Returns a numbered loopback address that no other soak uses.

  All have the same length.
  """
  pid = os.getpid()
  return f"127.{100 + number}.{pid >> 8 & 255}.{pid & 255}"


def _ran_queued_s(pid: int) -> tuple[float, float]:
  """Returns how long a main thread ran, and was ready without a processor."""
  try:
    text = pathlib.Path(f"/proc/{pid}/schedstat").read_text()
  except OSError:
    return 0.0, 0.0
  ran_ns, queued_ns, _ = text.split()
  return int(ran_ns) / 1e9, int(queued_ns) / 1e9


def _queued_s(pid: int) -> float:
  return _ran_queued_s(pid)[1]


@dataclasses.dataclass
class Life:
  """One process of a host; a disturbed one may cut requests off.

  `queued_s` tells for how long its main thread waited for a processor before it
  got SIGTERM, `grace_queued_s` for how long after that.
  """

  number: int
  process: subprocess.Popen
  started_at: float
  checkout: str = ""
  terminated_at: float | None = None
  disturbed: bool = False
  queued_s: float = 0.0
  grace_queued_s: float = 0.0

  @property
  def running(self) -> bool:
    return self.process.poll() is None


class Host:
  """A host whose processes, its `lives`, follow one another.

  Each runs one of its checkouts at random, after an upgrade one of the next.
  """

  def __init__(self, files: deployments.Host, ip: str, builds=OWN_BUILD):
    self.files = files
    self.ip = ip
    self._checkouts, self._next_checkouts = builds
    self._rng = random.Random(f"{ip}/{files.name}")
    self.name = files.name
    self.lives: list[Life] = []
    self.pauses = 0

  @property
  def life(self) -> Life:
    return self.lives[-1]

  def start(self):
    if self.lives and self.life.running:
      return
    self.pauses = 0
    self.files.root = self._rng.choice(self._checkouts)
    self.files.start()
    process, checkout = self.files.process, str(self.files.root)
    life = Life(len(self.lives), process, time.monotonic(), checkout)
    self.lives.append(life)

  def upgrade(self):
    self._checkouts = self._next_checkouts

  def terminate(self):
    life, now = self.life, time.monotonic()
    if life.running and life.terminated_at is None:
      life.terminated_at = now
      life.disturbed |= now < life.started_at + START_S
      life.queued_s = _queued_s(life.process.pid)
      life.process.send_signal(signal.SIGTERM)

  def kill(self):
    self._disturb(signal.SIGKILL)

  def pause(self):
    """Stops the process with SIGSTOP; each pause needs a `resume`."""
    self.pauses += 1
    self._disturb(signal.SIGSTOP)

  def _disturb(self, number: signal.Signals):
    if self.life.running:
      self.life.disturbed = True
      self.life.process.send_signal(number)

  def resume(self):
    self.pauses = max(0, self.pauses - 1)
    if not self.pauses:
      self.life.process.send_signal(signal.SIGCONT)

  def reload(self):
    if time.monotonic() > self.life.started_at + START_S:
      self.life.process.send_signal(signal.SIGHUP)

  async def is_ready(self) -> bool:
    pool = httpio.Pool(settings.Address(self.ip, self.files.readiness_port))
    try:
      response = await pool.request("GET", "/-/readyz", timeout_s=1.0)
    except _LOST:
      return False
    await pool.close()
    return response.status == 200


class Cluster:
  """All processes of a soak, and the proxies by their clients and servers."""

  def __init__(
      self, directory: pathlib.Path, seed: int, site=Site(), builds=OWN_BUILD
  ):
    self.site = site
    self.hosts: list[Host] = []
    self.paths: dict[tuple[str, str], paths_lib.Row] = {}
    self._directory = directory
    self._seed = seed
    self._builds = builds
    self._rng = random.Random(f"{seed}/cluster")
    self._ip = own_loopback()
    self._control_address = self._free_address()
    self._control = httpio.Pool(self._control_address, connect_s=START_LIMIT_S)
    self._processes: list[subprocess.Popen] = []
    self.path_faults = paths_lib.PathFaults()
    self._version = 0
    # For a soak that is stopped by a signal.
    atexit.register(self.end_processes)

  def _free_address(self) -> settings.Address:
    return settings.Address(self._ip, ports.free_address().port)

  async def start(self):
    centres = deployments.DATA_CENTRES
    numbers = range(self.site.hosts_per_centre)
    names = [(f"{centre}-{i}", centre) for centre in centres for i in numbers]
    servers = [(slot_name(i), self._free_address()) for i in self.site.slots]
    endpoints = [
        {
            "address": str(address),
            "data_centre": centres[i % len(centres)],
            "clock_ms": self._rng.randrange(MAX_CLOCK_MS),
            "listens": {},
        }
        for i, (_, address) in enumerate(servers)
    ]
    views = []
    for name, centre in names:
      store = self._free_address()
      store_proxy = self._add_path(name, STORE, store)
      views.append({"listen": str(store), "addresses": {}})
      host = self._new_host(name, centre, store_proxy.port)
      self.hosts.append(host)
      peer_port = host.files.metrics_port - 1
      servers.append((name, settings.Address(self._ip, peer_port)))
    self._add_host_paths(views, servers, endpoints)
    at_once = paths_lib.HOSTS_AT_ONCE
    for first in range(0, len(self.hosts), at_once):
      await self._start_paths(self.hosts[first : first + at_once])
    await self._start_platform(views, endpoints)
    await self.configure(newer=True)
    for first in range(0, len(self.hosts), _STARTS_AT_ONCE):
      group = self.hosts[first : first + _STARTS_AT_ONCE]
      for host in group:
        host.start()
      for host in group:
        await _wait_for(host.is_ready, f"{host.name} is ready")

  def _add_host_paths(self, views: list, servers: list, endpoints: list):
    """Adds the paths from hosts to endpoints and to other hosts.

    An endpoint is shown at an address that differs between hosts in the IP
    only, which the paths between hosts replace: hosts tell each other where
    endpoints are. It tells hosts apart by the address that their path reaches.
    """
    listens = {slot_name(i): e["listens"] for i, e in enumerate(endpoints)}
    ips = {h.name: own_loopback(i + 1) for i, h in enumerate(self.hosts)}
    for view, host in zip(views, self.hosts, strict=True):
      for name, address in servers:
        if name == host.name:
          continue
        if name in listens:
          target = self._free_address()
          listens[name][host.name] = str(target)
          shown = settings.Address(ips[host.name], address.port)
          self._add_path(host.name, name, target, shown)
        else:
          texts = ips[host.name], ips[name]
          shown = self._add_path(host.name, name, address, texts=texts)
        view["addresses"][str(address)] = str(shown)

  def _add_path(
      self, client: str, server: str, target, address=None, texts=("", "")
  ) -> settings.Address:
    address = address or self._free_address()
    seed = f"{self._seed}/{client}/{server}"
    row = paths_lib.Row(client, server, str(address), str(target), seed, texts)
    self.paths[row.name] = row
    return address

  async def _start_paths(self, hosts: list[Host]):
    """Starts a process that runs the paths from some hosts."""
    names = {host.name for host in hosts}
    rows = [row for row in self.paths.values() if row.client in names]
    address = self._free_address()
    raw = {"control": str(address), "paths": [*map(dataclasses.asdict, rows)]}
    self._start_process("paths", f"paths-{hosts[0].name}", raw)
    control = httpio.Pool(address, connect_s=START_LIMIT_S)
    self.path_faults.add_process(names, control)

    async def answers() -> bool:
      try:
        return bool(await control.request("POST", "/", b'{"names": []}'))
      except _LOST:
        return False

    await _wait_for(answers, f"the paths of {sorted(names)} are there")

  def _start_process(self, module: str, name: str, raw: dict):
    settings_file = self._directory / f"{name}.json"
    settings_file.write_text(json.dumps(raw))
    command = [sys.executable, "-m", f"tests.soak.{module}", str(settings_file)]
    with (self._directory / f"{name}.log").open("wb") as log:
      process = subprocess.Popen(
          command, cwd=deployments.ROOT, stdout=log, stderr=log
      )
    self._processes.append(process)

  def _new_host(self, name: str, data_centre: str, store_port: int) -> Host:
    files = deployments.Host(self._directory, name, data_centre, store_port)
    text = files.settings_file.read_text()
    files.settings_file.write_text(text.replace(ports.LOOPBACK, self._ip))
    return Host(files, self._ip, self._builds)

  async def _start_platform(self, views: list, endpoints: list):
    raw = {"seed": self._seed, "views": views, "endpoints": endpoints}
    raw["control"] = str(self._control_address)
    self._start_process("platform", "platform", raw)
    await _wait_for(self._platform_answers, "the platform's stand-in answers")

  async def _platform_answers(self) -> bool:
    try:
      return bool(await self.platform("report"))
    except _LOST:
      return False

  async def platform(self, what: str, **arguments) -> dict:
    body = json.dumps(arguments).encode()
    response = await self._control.request("POST", f"/soak/{what}", body)
    return response.json()

  async def configure(self, newer: bool):
    """Writes the next version of the configuration, or an older one."""
    self._version += newer
    version = self._version if newer else max(1, self._version - 1)
    # Each odd version has one more queue.
    prefixes = [*QUEUES, *["/more/"] * (version % 2)]
    value = deployments.config(version, prefixes)
    for priority, route in enumerate(value["routes"]):
      route["priority"] = priority % len(QUEUES)
      # The callers' connections name the address in the Host header.
      route["host"] = self._ip
    await self.platform("put", key="op/config", value=value)

  async def supervise(self):
    while True:
      await curio.sleep(0.02)
      for life in [host.life for host in self.hosts]:
        since = life.terminated_at
        if since is None or not life.running:
          continue
        queued_s = _queued_s(life.process.pid) - life.queued_s
        life.grace_queued_s = max(life.grace_queued_s, queued_s)
        if time.monotonic() > since + GRACE_S:
          life.process.kill()

  def waited_share(self) -> float:
    """Returns what part of the time wanted the running hosts had to wait."""
    times = [_ran_queued_s(host.life.process.pid) for host in self.hosts]
    wanted_s = sum(ran_s + queued_s for ran_s, queued_s in times)
    return (
        sum(queued_s for _, queued_s in times) / wanted_s if wanted_s else 0.0
    )

  def end_processes(self):
    processes = [life.process for host in self.hosts for life in host.lives]
    for process in [*processes, *self._processes]:
      process.kill()
      process.wait()

  async def close(self):
    self.end_processes()
    atexit.unregister(self.end_processes)


async def _wait_for(condition, description: str):
  end = time.monotonic() + START_LIMIT_S
  while not await condition():
    if time.monotonic() > end:
      raise TimeoutError(f"not within {START_LIMIT_S} s: {description}")
    await curio.sleep(0.05)
