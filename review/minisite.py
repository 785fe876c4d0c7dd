"""A small site on loopback for the cases of this review: store, minions, clients.

It uses the standard library only and follows the published protocol. The store
and the minions run in this process, the entry hosts as processes of their own,
with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
# A loopback address of its own for each run, so that no other process has its ports.
ADDRESS = ".".join(["127", *(str(random.randrange(2, 250)) for _ in range(3))])
HOST_NAME = "jobs.example"
PREFIX = "/batch/"
SERVICE = "uplift-orders"
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000,
    "recoveryS": 12, "maxHoldMs": 1000, "stopTimeoutMs": 50,
    "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
    "early_ms": 250, "finish_s": 14, "status_s": 120, "spreadFactor": 2,
    "checkpointIntervalS": 2, "restoreMs": 600, "noticeMs": 4500,
    "moveS": 1.5, "maintenanceS": 2, "fencingEnabled": True, "leaseMs": 3000,
    "thawSlackMs": 300, "paceMs": 100, "harmMs": 4000, "resendMs": 1300,
}  # fmt: skip
HEARTBEAT_S = 1.5
STORE_DELAY_S = 0.004
PAGE_ITEMS = 500
BACKLOG = 16
# The entry hosts set keep-alive probes of a second, and TCP_USER_TIMEOUT to 1.5 s:
# an idle connection ends with the second probe that isn't acknowledged.
PROBE_S = 1.0


def trouble() -> bool:
  """Returns whether the case is played with its disruption."""
  return os.environ.get("TROUBLE", "1") != "0"


class Record:
  """What was sent, answered and run, with the time in seconds."""

  def __init__(self, path: pathlib.Path):
    self._began = time.monotonic()
    self._file = path.open("w", encoding="utf-8")

  def __call__(self, text: str):
    now = time.monotonic() - self._began
    self._file.write(f"{now:9.3f} {text}\n")
    self._file.flush()


# HTTP.


async def _read_message(reader) -> tuple[str, dict, bytes] | None:
  try:
    head = await reader.readuntil(b"\r\n\r\n")
  except (asyncio.IncompleteReadError, ConnectionError):
    return None
  first, *lines = head.decode("latin-1").split("\r\n")
  headers = {}
  for line in lines:
    name, _, value = line.partition(":")
    headers[name.strip().lower()] = value.strip()
  size = int(headers.get("content-length", 0))
  body = await reader.readexactly(size) if size else b""
  return first, headers, body


async def serve(port: int, handler, writers: dict | None = None):
  """Serves HTTP; `handler(method, target, headers, body)` returns status, body.

  A handler that returns None leaves the call unanswered. `writers` holds the
  open connections' writers, with the time of the last data (s).
  """
  writers = {} if writers is None else writers

  async def on_connection(reader, writer):
    writers[writer] = time.monotonic()
    try:
      while (message := await _read_message(reader)) is not None:
        writers[writer] = time.monotonic()
        first, headers, body = message
        method, target, _ = first.split(" ", 2)
        answer = await handler(
            method, target, headers, json.loads(body) if body else {}
        )
        if answer is None:
          await asyncio.sleep(30)
          return
        status, value = answer
        data = b"" if value is None else json.dumps(value).encode()
        writer.write(
            f"HTTP/1.1 {status} x\r\ncontent-type: application/json\r\n"
            f"content-length: {len(data)}\r\n\r\n".encode()
            + data
        )
        await writer.drain()
        writers[writer] = time.monotonic()
    except (ConnectionError, asyncio.IncompleteReadError):
      pass
    finally:
      writers.pop(writer, None)
      writer.close()

  return await asyncio.start_server(
      on_connection, ADDRESS, port, backlog=BACKLOG
  )


async def call(port, method, path, body=None, headers=None, timeout_s=5.0):
  """Makes a client's call on a connection of its own.

  Returns:
    The status and the decoded body; (None, reason) if there was no answer.
  """
  try:
    async with asyncio.timeout(timeout_s):
      reader, writer = await asyncio.open_connection(ADDRESS, port)
      try:
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST_NAME}"]
        lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
        lines += ["Content-Type: application/json"]
        lines += [f"Content-Length: {len(data)}", "", ""]
        writer.write("\r\n".join(lines).encode() + data)
        message = await _read_message(reader)
        if message is None:
          return None, "connection broken"
        first, _, raw = message
        return int(first.split(" ")[1]), json.loads(raw) if raw else None
      finally:
        writer.close()
  except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
    return None, repr(exc)


_taken_ports: set[int] = set()


def free_ports(count: int) -> list[int]:
  """Returns `count` free ports in a row, which it returns only once."""
  for _ in range(1000):
    first = random.randrange(20000, 30000)
    ports = list(range(first, first + count))
    if not _taken_ports.isdisjoint(ports):
      continue
    socks = []
    try:
      for port in ports:
        sock = socket.socket()
        socks.append(sock)
        sock.bind((ADDRESS, port))
      _taken_ports.update(ports)
      return ports
    except OSError:
      continue
    finally:
      for sock in socks:
        sock.close()
  raise RuntimeError("no free ports")


# The platform's store.


class Store:
  """The platform's store in memory."""

  def __init__(self, port: int):
    self.port = port
    # By port, the answer that is given to each call in place of doing it.
    self.refusals: dict[int, tuple] = {}
    self.delay_s = STORE_DELAY_S
    self.revision = 10
    self.items: dict[str, dict] = {}
    self._history: list[dict] = []
    self._leases: dict[int, list] = {}
    self._changed = asyncio.Event()
    self._server = None

  async def serve_at(self, port: int):
    """Serves the store at a further port, for one host."""
    await serve(port, lambda *message: self._handle(port, *message))

  async def start(self):
    await self.serve_at(self.port)
    self._expiry = asyncio.create_task(self._expire())

  def put(self, key: str, value: bytes, lease: int = 0):
    self.revision += 1
    self._write(key, value, lease)
    self._notify()

  def remove(self, key: str):
    if key in self.items:
      self.revision += 1
      self._erase(key)
      self._notify()

  def _write(self, key, value, lease):
    old = self.items.get(key)
    self.items[key] = {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "revision": self.revision,
        "created": old["created"] if old else self.revision,
        "lease": lease,
    }
    self._history.append(dict(self.items[key]))

  def _erase(self, key):
    if self.items.pop(key, None) is not None:
      self._history.append(
          {"key": key, "revision": self.revision, "tombstone": True}
      )

  def _notify(self):
    event, self._changed = self._changed, asyncio.Event()
    event.set()

  async def _expire(self):
    while True:
      await asyncio.sleep(0.02)
      now = time.monotonic()
      for lease in [n for n, (end, _) in self._leases.items() if end < now]:
        self._end_lease(lease)

  def _end_lease(self, lease):
    del self._leases[lease]
    keys = [k for k, item in self.items.items() if item["lease"] == lease]
    if keys:
      self.revision += 1
      for key in keys:
        self._erase(key)
      self._notify()

  async def _handle(self, port, method, target, headers, body):
    del headers
    if port in self.refusals:
      return self.refusals[port]
    await asyncio.sleep(self.delay_s / 2)
    answer = await self._answer(method, target, body)
    await asyncio.sleep(self.delay_s / 2)
    return answer

  async def _answer(self, method, target, body):
    url = urllib.parse.urlsplit(target)
    query = dict(urllib.parse.parse_qsl(url.query))
    name, _, argument = url.path.removeprefix("/-/").partition("/")
    if name == "kv-key":
      item = self.items.get(query["key"])
      found = {"currentRev": self.revision}
      return (200, {**item, **found}) if item else (404, found)
    if name == "kv-range":
      return self._range(query)
    if name == "kv-watch":
      return await self._watch(query)
    if name == "kv-txn":
      return self._transact(body)
    if name == "kv-lease":
      lease = self.revision * 1000 + len(self._leases) + random.randrange(900)
      ttl_s = min(600.0, max(1.0, body["ttlMs"] / 1000))
      self._leases[lease] = [time.monotonic() + ttl_s, ttl_s]
      return 200, {"lease": lease, "ttlMs": int(ttl_s * 1000)}
    if name == "kv-keep":
      held = self._leases.get(int(argument))
      if held is None:
        return 404, {}
      held[0] = time.monotonic() + held[1]
      return 200, {"ttlMs": int(held[1] * 1000)}
    if name == "kv-lease-end":
      if int(argument) not in self._leases:
        return 404, {}
      self._end_lease(int(argument))
      return 200, {}
    del method
    return 404, {}

  def _range(self, query):
    keys = sorted(
        k
        for k in self.items
        if k.startswith(query["prefix"]) and k > query.get("after", "")
    )
    return 200, {
        "items": [self.items[k] for k in keys[:PAGE_ITEMS]],
        "hasMore": len(keys) > PAGE_ITEMS,
        "currentRev": self.revision,
    }

  async def _watch(self, query):
    prefix, after = query["prefix"], int(query["after"])
    end = time.monotonic() + min(30.0, int(query["waitMs"]) / 1000)
    while True:
      events = [
          e
          for e in self._history
          if e["revision"] > after and e["key"].startswith(prefix)
      ]
      left_s = end - time.monotonic()
      if events or left_s <= 0:
        return 200, {"events": events, "currentRev": self.revision}
      with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(left_s):
          await self._changed.wait()

  def _transact(self, body):
    expected = body.get("expected", [])
    current = {
        e["key"]: self.items.get(e["key"], {"key": e["key"], "revision": 0})
        for e in expected
    }
    if any(current[e["key"]]["revision"] != e["revision"] for e in expected):
      return 412, {"items": list(current.values())}
    puts = body.get("setKeys", [])
    if any(p.get("lease") and p["lease"] not in self._leases for p in puts):
      return 404, {}
    for key in [p["key"] for p in puts] + body.get("remove", []):
      if key.startswith(("op/", "servers/")):
        return 403, {}
    self.revision += 1
    for row in puts:
      value = base64.b64decode(row["value"])
      self._write(row["key"], value, row.get("lease", 0))
    for key in body.get("remove", []):
      self._erase(key)
    self._notify()
    return 200, {"revision": self.revision}


# Minions.


class _Run:

  def __init__(self, task, attempt, spec):
    self.task, self.attempt = task, attempt
    self.took_s = spec["run_s"]
    self.how = spec.get("how", "done")
    self.began = time.monotonic()
    self.stop_at = None

  @property
  def ends_at(self):
    return self.began + self.took_s

  @property
  def percent(self):
    share = (time.monotonic() - self.began) / max(0.001, self.took_s)
    return min(99, int(100 * share))


class Minion:
  """One life of a minion.

  A task's spec is JSON: `run_s`, how long it runs, and `how`, its end.

  Attributes:
    up: False once it has crashed.
  """

  def __init__(self, site: "Site", zone: str, rack: str, port: int, cpu: int):
    self.kind = "a"
    self.id = f"{random.getrandbits(48):012x}"
    self.site, self.zone, self.rack, self.port = site, zone, rack, port
    self.capacity = {"cpu": cpu, "memMb": 65536, "gpu": 0}
    self.up = True
    self.runs: dict[tuple, _Run] = {}
    self.ends: list[list] = []
    self.last_seen = 0
    self._clock_began = time.monotonic() - random.uniform(100, 900)
    self._fence = 0
    self._lease_ms = 0
    # How often the lease has lapsed.
    self.lapses = 0
    self._is_lapsed = True
    self._revoked: dict[str, int] = {}
    self._count = 0
    self._lapses_at_end: dict[int, int] = {}
    self._sequence = 0
    self._ended = asyncio.Event()

  @property
  def clock_ms(self) -> int:
    return int((time.monotonic() - self._clock_began) * 1000)

  async def start(self):
    self._writers: dict = {}
    self._server = await serve(self.port, self._handle, self._writers)
    self._tasks = [
        asyncio.create_task(self._work()),
        asyncio.create_task(self._beat()),
    ]

  async def lose_power(self, for_s: float):
    """Loses power: it answers nothing, and connections to it hang.

    After `for_s` another life starts at its address. A connection that was open
    ends when keep-alive probes show the other side that it is dead.
    """
    self.site.record(f"minion {self.id} ({self.zone}) loses power")
    self.up = False
    for run in self.runs.values():
      self.site.on_lost(run)
    self.runs.clear()
    self._tasks[0].cancel()
    loop = asyncio.get_running_loop()
    now = time.monotonic()
    for writer, last in self._writers.items():
      next_probe_s = PROBE_S - (now - last) % PROBE_S
      loop.call_later(next_probe_s + PROBE_S, writer.transport.abort)
    loop.remove_reader(self._server.sockets[0].fileno())
    waiting = []
    for _ in range(2 * BACKLOG):  # No connection fits into the queue any more.
      sock = socket.socket()
      sock.setblocking(False)
      sock.connect_ex((ADDRESS, self.port))
      waiting.append(sock)
    await asyncio.sleep(for_s)
    for sock in waiting:
      sock.close()
    self._server.close()
    following = Minion(
        self.site, self.zone, self.rack, self.port, self.capacity["cpu"]
    )
    following.kind = self.kind
    self.site.minions[self.site.minions.index(self)] = following
    await following.start()
    self.site.record(f"minion {following.id} starts in place of {self.id}")

  async def _beat(self):
    last = 0.0
    key = f"servers/{self.id}"
    while True:
      if self.up:
        self._sequence += 1
        last = time.monotonic()
        entry = {
            "service": SERVICE, "address": f"{ADDRESS}:{self.port}",
            "zone": self.zone, "version": "v1", "slots": 8, "state": "ready",
            "capacity": self.capacity, "labels": [self.kind, self.rack],
            "coldRemainingMs": 0, "sequence": self._sequence,
            "clockMs": self.clock_ms,
        }  # fmt: skip
        self.site.store.put(key, json.dumps(entry).encode())
      elif time.monotonic() - last > 3 * HEARTBEAT_S:
        self.site.store.remove(key)
      await asyncio.sleep(HEARTBEAT_S)

  async def _work(self):
    while True:
      await asyncio.sleep(0.005)
      now = time.monotonic()
      lapsed = self._check_lease()
      for run in list(self.runs.values()):
        if lapsed:
          self._end(run, "lapsed")
        elif run.stop_at is not None and now >= run.stop_at:
          self._end(run, "stopped")
        elif now >= run.ends_at:
          self._end(run, run.how)

  def _check_lease(self) -> bool:
    """Returns whether the lease has lapsed, and counts it."""
    lapsed = self.clock_ms > self._lease_ms
    if lapsed and not self._is_lapsed:
      self.lapses += 1
    self._is_lapsed = lapsed
    return lapsed

  def _end(self, run: _Run, how: str):
    del self.runs[run.task, run.attempt]
    self._revoke(run.task, run.attempt)
    self._count += 1
    self.ends.append([self._count, run.task, run.attempt, how, ""])
    self._lapses_at_end[self._count] = self.lapses
    self.site.on_end(self, run, how)
    event, self._ended = self._ended, asyncio.Event()
    event.set()

  def _revoke(self, task, attempt):
    self._revoked[task] = max(self._revoked.get(task, 0), attempt)

  async def _handle(self, method, target, headers, body):
    del method
    if not self.up:
      return None
    answer = await self._answer(target, headers, body)
    return answer if self.up else None

  async def _answer(self, target, headers, body):
    if headers.get("expect-instance", self.id) != self.id:
      return 421, None
    fence = body.get("fencingToken", 0)
    if fence < self._fence:
      return 409, {"clockMs": self.clock_ms, "reason": "fence"}
    self._fence = fence
    if target == "/-/hold":
      return await self._hold(body)
    task, attempt = body["task"], body["attempt"]
    if target == "/-/run-stop":
      run = self.runs.get((task, attempt))
      if run is not None and run.stop_at is None:
        run.stop_at = time.monotonic() + 0.03
      elif run is None:
        self._revoke(task, attempt)
      return 200, {"clockMs": self.clock_ms}
    if body["deadlineMs"] <= self.clock_ms:
      return 409, {"clockMs": self.clock_ms, "reason": "late"}
    self._extend(body["deadlineMs"])
    if (task, attempt) in self.runs:
      return 200, {"clockMs": self.clock_ms}
    if attempt <= self._revoked.get(task, 0):
      return 409, {"clockMs": self.clock_ms, "reason": "old"}
    run = _Run(task, attempt, json.loads(body["spec"]))
    self.runs[task, attempt] = run
    self.site.on_start(self, run)
    return 200, {"clockMs": self.clock_ms}

  def _extend(self, deadline_ms: int):
    self._check_lease()
    limit = self.clock_ms + BOUNDS["maxHoldMs"]
    self._lease_ms = max(self._lease_ms, min(deadline_ms, limit))
    self._is_lapsed = self.clock_ms > self._lease_ms

  async def _hold(self, body):
    self._check_lease()
    if "deadlineMs" in body:
      self._extend(body["deadlineMs"])
    seen = body.get("lastSeen", 0)
    for end in self.ends:
      if end[0] <= seen:
        lapsed = self._lapses_at_end[end[0]] != self.lapses
        self.site.on_noted(self, end, lapsed)
    self.ends = [end for end in self.ends if end[0] > seen]
    if body.get("waitMs") and not self.ends:
      with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(body["waitMs"] / 1000):
          await self._ended.wait()
    running = [
        [r.task, r.attempt, "", r.percent, 1000] for r in self.runs.values()
    ]
    return 200, {
        "clockMs": self.clock_ms,
        "running": running,
        "finished": self.ends[:500],
    }


# Entry hosts.


class Host:
  """The process of an entry host."""

  def __init__(self, site: "Site", name: str, zone: str):
    self.site, self.name, self.zone = site, name, zone
    ports = free_ports(8)
    self.callers, self.readiness, self.control, self.store, *internal = ports
    self._settings = site.directory / f"{name}.json"
    self._settings.write_text(
        json.dumps({
            "node": name, "role": "entry", "machineClass": "frontend",
            "serves": ["frontend"], "ip": ADDRESS, "zone": zone,
            "region": "r", "zones": dict.fromkeys(site.zones, "r"),
            "listen": {
                "frontend": f"{ADDRESS}:{self.callers}",
                "readiness": f"{ADDRESS}:{self.readiness}",
                "control": f"{ADDRESS}:{self.control}",
            },
            "internalPorts": [internal[0], internal[-1]],
            "seeds": [], "bootstrap": True, "inTolerance": False,
            "limits": {
                "cpuShare": 0.537, "cores": 2, "memoryMb": 300,
                "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0,
            },
            "dataDir": None, "discovery": "platform", "entry": "vip",
            "heartbeatMs": int(1000 * HEARTBEAT_S),
            "contracts": [
                "base", "drain", "config", "cost", "recover", "sched",
                "platform", "advice", "upkeep", "sharing",
            ],
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS, "controlMode": "request", "advice": "",
            "platform": {
                "address": f"{ADDRESS}:{self.store}", "form": "kv",
                "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                "valueBytes": 1048576, "minTtlMs": 1000,
            },
        })
    )  # fmt: skip
    self.process = None

  async def start(self):
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    program, *arguments = deploy["roles"]["entry"]["run"].split()
    env = {
        name: os.environ[name]
        for name in ("PATH", "HOME", "LANG")
        if name in os.environ
    }
    env["FESCUETURN_NODE_FILE"] = str(self._settings)
    env["PYTHONPATH"] = str(ROOT / "target/deps")
    log = (self.site.directory / f"{self.name}.log").open("ab")
    self.process = await asyncio.create_subprocess_exec(
        sys.executable if program == "python3" else program,
        *arguments,
        cwd=ROOT,
        env=env,
        stdout=log,
        stderr=log,
    )
    log.close()

  async def is_ready(self) -> bool:
    status, _ = await call(self.readiness, "GET", "/-/readyz", timeout_s=1.0)
    return status == 200

  def signal(self, number: signal.Signals):
    self.site.record(f"signal {number.name} to {self.name}")
    self.process.send_signal(number)

  def log(self) -> str:
    return (self.site.directory / f"{self.name}.log").read_text()

  async def end(self):
    if self.process is not None and self.process.returncode is None:
      with contextlib.suppress(ProcessLookupError):
        self.process.kill()
      await self.process.wait()


class Site:
  """The store, the minions and the entry hosts of a small deployment.

  Attributes:
    starts: (time, minion, task, attempt) of each start.
    ends: (time, minion, task, attempt, how) of each end.
  """

  def __init__(self, folder: pathlib.Path, zones: dict[str, tuple[int, int]]):
    """Creates a site.

    Args:
      folder: the folder of the case, where `record.txt` is written.
      zones: the number of hosts and of minions by zone.
    """
    self.record = Record(folder / "record.txt")
    self.zones = list(zones)
    self._temporary = tempfile.TemporaryDirectory()
    self.directory = pathlib.Path(self._temporary.name)
    ports = free_ports(1 + sum(n for _, n in zones.values()))
    self.store = Store(ports.pop())
    self.hosts = [
        Host(self, f"frontend-{zone}-{n}", zone)
        for zone, (count, _) in zones.items()
        for n in range(count)
    ]
    self.minions = [
        Minion(self, zone, f"{zone}-rack-{n // 8}", ports.pop(), 16000)
        for zone, (_, count) in zones.items()
        for n in range(count)
    ]
    self.starts: list[tuple] = []
    self.ends: list[tuple] = []
    self.noted: list[tuple] = []
    self.lost_tasks: list[str] = []

  async def start(self, config: dict):
    await self.store.start()
    self.store.put("op/config", json.dumps(config).encode())
    for minion in self.minions:
      await minion.start()
    for host in self.hosts:
      await self.store.serve_at(host.store)
      await host.start()
    await self.wait_for(self._all_ready, 20)
    # The hosts are in touch 3 s (contactMs) after their start.
    await asyncio.sleep(4)

  async def _all_ready(self) -> bool:
    return all([await host.is_ready() for host in self.hosts])

  async def wait_for(self, condition, limit_s: float):
    """Waits for an asynchronous condition; raises TimeoutError without it."""
    async with asyncio.timeout(limit_s):
      while not await condition():
        await asyncio.sleep(0.05)

  def on_start(self, minion: Minion, run: _Run):
    self.starts.append((time.monotonic(), minion, run.task, run.attempt))
    self.record(
        f"minion {minion.id} ({minion.zone}) starts {run.task} run"
        f" {run.attempt}"
    )

  def on_end(self, minion: Minion, run: _Run, how: str):
    self.ends.append((time.monotonic(), minion, run.task, run.attempt, how))
    self.record(f"minion {minion.id} ends {run.task} run {run.attempt} {how}")

  def on_lost(self, run: _Run):
    self.lost_tasks.append(run.task)
    self.record(f"run {run.attempt} of {run.task} is lost with its minion")

  def on_noted(self, minion: Minion, end: list, lapsed: bool):
    self.noted.append((time.monotonic(), minion, *end[1:4], lapsed))
    self.record(
        f"minion {minion.id}: the end of {end[1]} run {end[2]} is noted"
        + (", after its lease had lapsed" if lapsed else "")
    )

  def zone_of(self, job_id: str) -> str:
    """Returns the zone whose records the store has a job in; "" for none."""
    item = self.store.items.get(f"fescueturn/jobs/{job_id}")
    return json.loads(base64.b64decode(item["value"]))[1] if item else ""

  def holder(self, zone: str) -> Host | None:
    """Returns the host that the store names as the holder of a zone."""
    item = self.store.items.get(f"fescueturn/holders/{zone}/0")
    if item is None:
      return None
    name = json.loads(base64.b64decode(item["value"]))["host"]
    return next(h for h in self.hosts if h.name == name)

  def save_logs(self):
    """Keeps the hosts' logs where the environment asks for them."""
    if "LOGS" in os.environ:
      for host in self.hosts:
        path = pathlib.Path(os.environ["LOGS"]) / f"{host.name}.log"
        path.write_text(host.log())

  async def close(self):
    for host in self.hosts:
      await host.end()
    self._temporary.cleanup()


def config(version: int, **queue) -> dict:
  """Returns a config with one queue."""
  route = {
      "name": "batch", "host": HOST_NAME, "prefix": PREFIX,
      "service": SERVICE, "timeoutMs": 5000, "priority": 0, "attempts": 3,
      "stretch": 1.6, "sloMs": 60, **queue,
  }  # fmt: skip
  services = [{"name": SERVICE, "rejectsOverload": False}]
  limits = {
      "maxHeaderBytes": 16384, "maxBodyBytes": 262144,
      "headerTimeoutMs": 5000, "idleTimeoutMs": 60000,
  }  # fmt: skip
  return {
      "version": version,
      "routes": [route],
      "services": services,
      "limits": limits,
  }


def job(run_s: float, tasks=1, cpu=4000, how="done", **phase_fields) -> dict:
  """Returns the body of a job with one step.

  Args:
    run_s: how long each task runs.
    tasks: the number of tasks.
    cpu: what each takes, in thousandths of a core.
    how: how every run of them ends.
    **phase_fields: further fields of the step.
  """
  phase = {
      "taskCount": tasks, "cpu": cpu, "memMb": 64,
      "estimateMs": int(1000 * run_s),
      **phase_fields,
  }  # fmt: skip
  spec = {"run_s": run_s, "how": how}
  return {"spec": json.dumps(spec), "phases": [phase]}


def new_id() -> str:
  return f"{random.getrandbits(64):016x}"


async def submit(site: Site, host: Host, job_id: str, body: dict):
  """Hands in a job; returns status and body."""
  headers = {"Deadline-Ms": "4000", "Request-Id": new_id()}
  status, answer = await call(
      host.callers, "POST", PREFIX + job_id, body, headers
  )
  site.record(f"POST {job_id} at {host.name}: {status} {answer}")
  return status, answer


def main(play):
  """Plays a case and exits with 0 (held), 1 (broken) or 2 (couldn't run)."""
  try:
    broken = asyncio.new_event_loop().run_until_complete(play())
  except Exception as exc:  # The case couldn't be played.
    print(f"not played: {exc!r}", flush=True)
    os._exit(2)
  sys.stdout.flush()
  os._exit(1 if broken else 0)  # Without waiting for open connections.
