"""Stand-ins of the platform's store and of minions, as PROTOCOL.md has them.

Each runs as a process of its own, with the standard library only:

    python3 standins.py store HOST PORT ADMIN_PORT
    python3 standins.py minion SETTINGS.json

A minion is one boot: to crash it, kill its process; its next boot is another
process with another id at the same address. It appends what it has begun and
ended to a file of JSON lines, with the time of the machine's monotonic clock.
The store has a second port, for the operator and the minions, whose keys the
system may not write.
"""

import asyncio
import base64
import json
import os
import sys
import time
import urllib.parse
import urllib.request

STORE_ANSWER_S = 0.004
HISTORY_S = 20.0
RANGE_ITEMS = 500
ENTRY_LAPSE_BEATS = 3
MAX_HOLD_MS = 1000
STOP_S = 0.03
LISTED_ENDS = 500


async def _read_request(reader):
  head = await reader.readuntil(b"\r\n\r\n")
  lines = head.decode("latin-1").split("\r\n")
  method, target, _ = lines[0].split(" ", 2)
  headers = {}
  for line in lines[1:]:
    if line:
      name, _, value = line.partition(":")
      headers[name.strip().lower()] = value.strip()
  body = await reader.readexactly(int(headers.get("content-length", 0)))
  return method, target, headers, body


async def serve(address, handle):
  """Serves HTTP/1.1 on kept-alive connections; `handle` returns the answer."""

  async def serve_connection(reader, writer):
    try:
      while True:
        method, target, headers, body = await _read_request(reader)
        status, answer = await handle(method, target, headers, body)
        data = json.dumps(answer).encode() if answer is not None else b""
        writer.write(
            b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\n"
            b"content-length: %d\r\n\r\n%s" % (status, len(data), data)
        )
        await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
      pass
    finally:
      writer.close()

  host, port = address
  server = await asyncio.start_server(serve_connection, host, port, backlog=256)
  return server


class Store:
  """Keys with revisions, leases and watches."""

  def __init__(self):
    self.revision = 100
    self.items = {}  # key: dict(value, revision, created, lease)
    self.leases = {}  # number: [ttl, end]
    self.next_lease = 70000
    self.history = []  # (time, event)
    self.dropped = self.revision
    self.changed = asyncio.Event()
    self.beats = {}  # key of an entry: (time, period)

  def _record(self, event):
    self.history.append((time.monotonic(), event))
    self.changed.set()
    self.changed = asyncio.Event()

  def put(self, key, value, lease=0):
    old = self.items.get(key)
    item = {
        "key": key,
        "value": value,
        "revision": self.revision,
        "created": old["created"] if old else self.revision,
        "lease": lease,
    }
    self.items[key] = item
    self._record(item)

  def remove(self, key):
    if self.items.pop(key, None) is not None:
      self._record({"key": key, "revision": self.revision, "tombstone": True})

  def txn(self, body, may_write_all=False):
    expected = body.get("expected", [])
    set_keys = body.get("setKeys", [])
    removed = body.get("remove", [])
    if len(expected) + len(set_keys) + len(removed) > 32:
      return 400, {"error": "too many entries"}
    keys = [row["key"] for row in set_keys] + list(removed)
    if not may_write_all and any(
        key.startswith(("op/", "servers/")) for key in keys
    ):
      return 403, {"error": "not the system's key"}
    for row in expected:
      item = self.items.get(row["key"])
      if (item["revision"] if item else 0) != row["revision"]:
        current = [
            self.items.get(r["key"], {"key": r["key"], "revision": 0})
            for r in expected
        ]
        return 412, {"items": current}
    for row in set_keys:
      if row.get("lease") and row["lease"] not in self.leases:
        return 404, {"error": "no such lease"}
    self.revision += 1
    for row in set_keys:
      self.put(row["key"], row["value"], row.get("lease", 0))
    for key in removed:
      self.remove(key)
    return 200, {"revision": self.revision}

  def end_lease(self, number):
    del self.leases[number]
    keys = [k for k, item in self.items.items() if item["lease"] == number]
    for key in keys:
      self.revision += 1
      self.remove(key)

  async def run(self):
    while True:
      await asyncio.sleep(0.02)
      now = time.monotonic()
      for number in [n for n, (_, end) in self.leases.items() if end <= now]:
        self.end_lease(number)
      for key, (at, period) in list(self.beats.items()):
        if now - at > ENTRY_LAPSE_BEATS * period:
          del self.beats[key]
          self.revision += 1
          self.remove(key)
      while self.history and now - self.history[0][0] > HISTORY_S:
        self.dropped = self.history.pop(0)[1]["revision"]

  async def handle(self, method, target, headers, body):
    del headers
    url = urllib.parse.urlsplit(target)
    query = dict(urllib.parse.parse_qsl(url.query))
    data = json.loads(body) if body else {}
    name, _, argument = url.path.removeprefix("/-/").partition("/")
    if name != "kv-watch":
      await asyncio.sleep(STORE_ANSWER_S)
    now = time.monotonic()
    if (method, name) == ("GET", "kv-key"):
      item = self.items.get(query["key"])
      if item is None:
        return 404, {"currentRev": self.revision}
      return 200, {**item, "currentRev": self.revision}
    if (method, name) == ("GET", "kv-range"):
      after = query.get("after", "")
      keys = sorted(
          k for k in self.items if k.startswith(query["prefix"]) and k > after
      )
      page = [self.items[k] for k in keys[:RANGE_ITEMS]]
      more = len(keys) > RANGE_ITEMS
      return 200, {
          "items": page,
          "hasMore": more,
          "currentRev": self.revision,
      }
    if (method, name) == ("GET", "kv-watch"):
      return await self._watch(query)
    if (method, name) == ("POST", "kv-txn"):
      return self.txn(data)
    if (method, name) == ("POST", "kv-lease"):
      self.next_lease += 1
      ttl_ms = min(max(data["ttlMs"], 1000), 600_000)
      self.leases[self.next_lease] = [ttl_ms / 1000, now + ttl_ms / 1000]
      return 200, {"lease": self.next_lease, "ttlMs": ttl_ms}
    if (method, name) == ("POST", "kv-keep"):
      lease = self.leases.get(int(argument))
      if lease is None:
        return 404, {"error": "no such lease"}
      lease[1] = now + lease[0]
      return 200, {"ttlMs": int(lease[0] * 1000)}
    if (method, name) == ("DELETE", "kv-lease-end"):
      if int(argument) not in self.leases:
        return 404, {"error": "no such lease"}
      self.end_lease(int(argument))
      return 200, {}
    return 404, {"error": "no such call"}

  async def _watch(self, query):
    prefix, after = query["prefix"], int(query["after"])
    end = time.monotonic() + min(30.0, int(query["waitMs"]) / 1000)
    while True:
      if after < self.dropped:
        return 410, {"error": "history gone"}
      events = [
          event
          for _, event in self.history
          if event["revision"] > after and event["key"].startswith(prefix)
      ]
      left = end - time.monotonic()
      if events or left <= 0:
        await asyncio.sleep(STORE_ANSWER_S)
        return 200, {"events": events, "currentRev": self.revision}
      changed = self.changed
      try:
        await asyncio.wait_for(changed.wait(), left)
      except asyncio.TimeoutError:
        pass

  async def handle_admin(self, method, target, headers, body):
    """Writes of the operator (`put`) and of minions (`beat`, `leave`)."""
    del headers
    if method == "GET":
      return 200, {"ok": True}
    data = json.loads(body)
    name = target.rsplit("/", 1)[1]
    key = data["key"]
    if name == "leave":
      self.beats.pop(key, None)
      self.revision += 1
      self.remove(key)
      return 200, {"revision": self.revision}
    value = base64.b64encode(json.dumps(data["value"]).encode()).decode()
    row = {"key": key, "value": value}
    if name == "beat":
      self.beats[key] = (time.monotonic(), data["period_s"])
    return self.txn({"setKeys": [row]}, may_write_all=True)


async def run_store(host, port, admin_port):
  store = Store()
  await serve((host, port), store.handle)
  await serve((host, admin_port), store.handle_admin)
  await store.run()


class Run:
  """One run at a minion."""

  def __init__(self, begun, work_s, timer):
    self.begun = begun
    self.work_s = work_s
    self.timer = timer
    self.stopping = False

  def percent(self, now):
    return min(99, int(100 * (now - self.begun) / self.work_s))


class Minion:
  """One boot of a minion; `settings` has its entry and its addresses.

  A task's spec is JSON: `run_s`, the work of a task in seconds (a list: by
  step).
  """

  def __init__(self, settings):
    self.id = settings["id"]
    self.entry = settings["entry"]
    self.period_s = settings["heartbeatMs"] / 1000
    self.admin = settings["admin"]
    self.log = open(settings["log"], "a", buffering=1)
    self.booted = time.monotonic()
    self.born = int(time.time() * 1000)
    self.fence = 0
    self.deadline_ms = 0
    self.running = {}  # (task, attempt): Run
    self.barred = {}  # task: highest run that was stopped or has ended here
    self.ended = []
    self.ended_count = 0
    self.new_end = asyncio.Event()

  def clock_ms(self):
    return 100_000 + int((time.monotonic() - self.booted) * 1000)

  def _note(self, what, **fields):
    line = {"at": time.monotonic(), "minion": self.id, "what": what, **fields}
    self.log.write(json.dumps(line) + "\n")

  def _end(self, key, how):
    task, attempt = key
    self.running.pop(key).timer.cancel()
    self.barred[task] = max(self.barred.get(task, 0), attempt)
    self.ended_count += 1
    self.ended.append([self.ended_count, task, attempt, how, ""])
    self._note("end", task=task, attempt=attempt, how=how)
    self.new_end.set()
    self.new_end = asyncio.Event()

  def _finish(self, key):
    self._lapse()
    if key in self.running and not self.running[key].stopping:
      self._end(key, "done")

  def _stopped(self, key):
    if key in self.running:
      self._end(key, "stopped")

  def _lapse(self):
    if self.clock_ms() > self.deadline_ms:
      for key in list(self.running):
        self._end(key, "lapsed")

  def _take_deadline(self, deadline_ms):
    limit = self.clock_ms() + MAX_HOLD_MS
    self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit))

  def _answer(self, status, **fields):
    return status, {"clockMs": self.clock_ms(), "born": self.born, **fields}

  async def handle(self, method, target, headers, body):
    if method == "GET":
      return 200, {}
    if headers.get("expect-instance", self.id) != self.id:
      return 421, None
    data = json.loads(body)
    if data.get("fencingToken", 0) < self.fence:
      return self._answer(409, reason="fence")
    self.fence = data.get("fencingToken", 0)
    self._lapse()
    if target == "/-/run-start":
      return self._start(data)
    if target == "/-/run-stop":
      return self._stop(data)
    if target == "/-/hold":
      return await self._hold(data)
    return 400, {"clockMs": self.clock_ms()}

  def _start(self, data):
    key = task, attempt = data["task"], data["attempt"]
    if data["deadlineMs"] <= self.clock_ms():
      return self._answer(409, reason="late")
    self._take_deadline(data["deadlineMs"])
    if key in self.running:
      return self._answer(200)
    if attempt <= self.barred.get(task, 0):
      return self._answer(409, reason="old")
    work_s = json.loads(data["spec"])["run_s"]
    if isinstance(work_s, list):
      work_s = work_s[int(task.split(".")[2])]
    timer = asyncio.get_running_loop().call_later(work_s, self._finish, key)
    self.running[key] = Run(time.monotonic(), work_s, timer)
    self._note("start", task=task, attempt=attempt, fence=self.fence)
    return self._answer(200)

  def _stop(self, data):
    task, attempt = data["task"], data["attempt"]
    self.barred[task] = max(self.barred.get(task, 0), attempt)
    run = self.running.get((task, attempt))
    if run is not None and not run.stopping:
      run.stopping = True
      loop = asyncio.get_running_loop()
      loop.call_later(STOP_S, self._stopped, (task, attempt))
    return self._answer(200)

  async def _hold(self, data):
    last_seen = data.get("lastSeen", 0)
    for end in self.ended:
      if end[0] <= last_seen:
        self._note("taken", task=end[1], attempt=end[2], how=end[3])
    self.ended = [end for end in self.ended if end[0] > last_seen]
    if "deadlineMs" in data:
      self._take_deadline(data["deadlineMs"])
    wait_s = min(2000, data.get("waitMs", 0)) / 1000
    if wait_s and not self.ended:
      try:
        await asyncio.wait_for(self.new_end.wait(), wait_s)
      except asyncio.TimeoutError:
        pass
    now = time.monotonic()
    running = [
        [task, attempt, "", run.percent(now)]
        for (task, attempt), run in self.running.items()
    ]
    return self._answer(200, running=running, finished=self.ended[:LISTED_ENDS])

  async def run(self):
    host, port = self.entry["address"].split(":")
    await serve((host, int(port)), self.handle)
    self._note("boot")
    sequence, last_beat = 0, 0.0
    loop = asyncio.get_running_loop()
    while True:
      self._lapse()
      if time.monotonic() - last_beat >= self.period_s:
        last_beat, sequence = time.monotonic(), sequence + 1
        value = {
            **self.entry,
            "sequence": sequence,
            "clockMs": self.clock_ms(),
            "born": self.born,
        }
        beat = {
            "key": f"servers/{self.id}",
            "value": value,
            "period_s": self.period_s,
        }
        await loop.run_in_executor(None, self._beat, beat)
      await asyncio.sleep(0.01)

  def _beat(self, beat):
    request = urllib.request.Request(
        f"http://{self.admin}/beat", json.dumps(beat).encode()
    )
    try:
      urllib.request.urlopen(request, timeout=1.0).read()
    except OSError:
      pass


if __name__ == "__main__":
  if sys.argv[1] == "store":
    asyncio.run(run_store(sys.argv[2], int(sys.argv[3]), int(sys.argv[4])))
  else:
    with open(sys.argv[2], encoding="utf-8") as file:
      minion_settings = json.load(file)
    asyncio.run(Minion(minion_settings).run())
  os._exit(0)
