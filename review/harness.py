"""Starts a small deployment on loopback: entry hosts, the store and minions.

The entry hosts are started by the command of deploy/system.toml. Each process is
this script's child and is ended by `close`.
"""

import contextlib
import http.client
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

REVIEW = pathlib.Path(__file__).resolve().parent
ROOT = REVIEW.parent
SERVICE = "svc1"
ROUTE_HOST = "jobs.example"
PREFIX = "/q1/"
GRACE_S = 6.0
HEARTBEAT_MS = 1500
PORTS = (15000, 30000)
# Cases that run at the same time have addresses of their own.
LOOPBACK = "127.{}.{}.{}".format(*(random.randrange(1, 255) for _ in range(3)))
# The span for which LOST allows a job to have nothing at work.
IDLE_S = 3.0
# The longest that a case may take, which leaves time to end its processes.
LIMIT_S = 110
# `run.sh` turns EXIT_BROKEN into 1. An uncaught exception would exit with 1.
EXIT_HELD, EXIT_COULD_NOT_RUN, EXIT_BROKEN = 0, 2, 3
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "recoveryS": 12,
    "maxHoldMs": 1000,
    "stopTimeoutMs": 50,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "spreadFactor": 2,
    "checkpointIntervalS": 2,
    "restoreMs": 600,
    "noticeMs": 4500,
    "leaseMs": 3000,
    "thawSlackMs": 300,
    "resendMs": 1300,
}


class CannotRun(Exception):
  """The case could not be run."""


_given_ports: set[int] = set()


def free_ports(count):
  """Returns the first of `count` consecutive free ports."""
  for _ in range(500):
    # Below the ports that outgoing connections get.
    first = random.randrange(*PORTS)
    wanted = range(first, first + count)
    if _given_ports & set(wanted):
      continue
    with contextlib.ExitStack() as stack:
      try:
        for port in wanted:
          sock = stack.enter_context(socket.socket())
          sock.bind((LOOPBACK, port))
      except OSError:
        continue
    _given_ports.update(wanted)
    return first
  raise CannotRun("no free ports")


def call(address, method, path, body=None, headers=None, timeout=5.0):
  """Makes one request on a connection of its own; returns status and body."""
  host, port = address.split(":")
  connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
  with contextlib.closing(connection):
    data = json.dumps(body) if body is not None else None
    connection.request(method, path, data, headers or {})
    response = connection.getresponse()
    raw = response.read()
    try:
      return response.status, json.loads(raw) if raw else None
    except ValueError:
      return response.status, None


def wait_for(condition, what, limit_s=20.0):
  end = time.monotonic() + limit_s
  while time.monotonic() < end:
    with contextlib.suppress(OSError, http.client.HTTPException):
      if condition():
        return
    time.sleep(0.05)
  raise CannotRun(f"within {limit_s} s: {what}")


class Entry:
  """An entry host: its settings and its process."""

  def __init__(self, case, name, zone, zones):
    self.case, self.name, self.zone = case, name, zone
    front, ready = free_ports(1), free_ports(1)
    internal = free_ports(2)
    self.address = f"{LOOPBACK}:{front}"
    self.readiness = f"{LOOPBACK}:{ready}"
    self.metrics = f"{LOOPBACK}:{internal + 1}"
    self.file = case.folder / f"{name}.json"
    settings = {
        "node": name,
        "role": "entry",
        "machineClass": "frontend",
        "serves": ["frontend"],
        "ip": LOOPBACK,
        "zone": zone,
        "region": "r",
        "zones": {z: "r" for z in zones},
        "listen": {"frontend": self.address, "readiness": self.readiness},
        "internalPorts": [internal, internal + 1],
        "seeds": [],
        "bootstrap": True,
        "inTolerance": False,
        "limits": {
            "cpuShare": 0.537,
            "cores": 2,
            "memoryMb": 300,
            "maxFds": 4100,
            "linkMbps": 1000.0,
            "diskMb": 0,
        },
        "dataDir": None,
        "discovery": "platform",
        "entry": "vip",
        "heartbeatMs": HEARTBEAT_MS,
        "contracts": [
            "base",
            "drain",
            "config",
            "recover",
            "sched",
            "platform",
        ],
        "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
        "bounds": BOUNDS,
        "controlMode": "request",
        "platform": {
            "address": case.store,
            "form": "kv",
            "writesPerS": 400,
            "readsPerS": 2000,
            "historyS": 20,
            "valueBytes": 1048576,
            "minTtlMs": 1000,
        },
    }
    self.file.write_text(json.dumps(settings))
    self.process = None

  def start(self):
    env = {
        "PATH": os.environ.get("PATH", ""),
        "HOME": os.environ.get("HOME", "/"),
        "LANG": os.environ.get("LANG", "C.UTF-8"),
        "PYTHONPATH": str(ROOT / "target" / "deps"),
        "FESCUETURN_NODE_FILE": str(self.file),
    }
    log = open(self.case.folder / f"{self.name}.log", "ab")
    with log:
      self.process = subprocess.Popen(
          self.case.command, cwd=ROOT, env=env, stdout=log, stderr=log
      )

  @property
  def runs(self):
    return self.process is not None and self.process.poll() is None

  def ready(self):
    return self.runs and call(self.readiness, "GET", "/-/readyz")[0] == 200

  def dump(self):
    return call(self.metrics, "GET", "/dump")[1]

  def holds(self):
    """Returns whether it serves its zone's minions."""
    try:
      return self.runs and bool(self.dump()["scheduler"]["owned"])
    except (OSError, http.client.HTTPException, TypeError, KeyError):
      return False

  def terminate(self):
    self.process.send_signal(signal.SIGTERM)

  def kill(self):
    self.process.kill()
    self.process.wait()


class Minion:
  """A minion's machine: its address; each boot has an id of its own."""

  def __init__(self, case, number, zone, cpu, slots, kind):
    self.case, self.number, self.zone = case, number, zone
    self.boot = 0
    port = free_ports(1)
    self.entry = {
        "service": SERVICE,
        "address": f"{LOOPBACK}:{port}",
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "state": "ready",
        "coldRemainingMs": 0,
        "capacity": {"cpu": cpu, "memMb": 65536, "gpu": 0},
        "labels": [kind, f"r-{zone}"],
    }
    self.process = None

  @property
  def id(self):
    return f"i-{self.number}-{self.boot}"

  def start(self):
    """Starts its next boot, under a new id."""
    self.boot += 1
    settings = {
        "id": self.id,
        "entry": self.entry,
        "heartbeatMs": HEARTBEAT_MS,
        "admin": self.case.admin,
        "log": str(self.case.folder / "minions.jsonl"),
    }
    file = self.case.folder / f"{self.id}.json"
    file.write_text(json.dumps(settings))
    self.process = self.case.standin("minion", str(file))

  def crash(self):
    """Ends its process; what it ran ends with it."""
    self.case.note("crash", minion=self.id)
    self.process.kill()
    self.process.wait()
    self.case.minion_downs[self.id] = time.monotonic()


class Case:
  """One run of a case: its processes and its record."""

  def __init__(self, name):
    self.folder = pathlib.Path(tempfile.mkdtemp(prefix="fescueturn-review-"))
    self.record_file = REVIEW / name / "record.txt"
    self.began = time.monotonic()
    self.trouble = os.environ.get("TROUBLE", "1") != "0"
    self.lines = []
    self.lock = threading.Lock()
    self.children = []
    self.minion_downs = {}
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    self.command = shlex.split(deploy["roles"]["entry"]["run"])
    if not (ROOT / "target" / "deps").is_dir():
      raise CannotRun(
          "target/deps is missing: run the build of the deploy file"
      )
    store, admin = free_ports(1), free_ports(1)
    self.store, self.admin = f"{LOOPBACK}:{store}", f"{LOOPBACK}:{admin}"
    self.entries = []
    self.minions = []
    self.kind_of = lambda number: "a"
    self.standin("store", LOOPBACK, str(store), str(admin))

  def hand_in(self, choose, job_id, body, deadline_ms, resend_s):
    """Sends a kept job until it is answered, as the users' clients do.

    Args:
      choose: returns the entry host for the next try.
      job_id: the job.
      body: the job.
      deadline_ms: how long the client waits for an answer.
      resend_s: after how long it sends a job again that got no answer.

    Returns:
      The entry host that accepted the job, or None.
    """
    for _ in range(4):
      entry = choose()
      status, _ = self.submit(entry, job_id, body, deadline_ms)
      if status == 200:
        return entry
      if status not in (0, 502, 504):
        return None
      time.sleep(resend_s)
    return None

  def standin(self, *arguments):
    log = open(self.folder / "standins.log", "ab")
    with log:
      process = subprocess.Popen(
          [sys.executable, str(REVIEW / "standins.py"), *arguments],
          stdout=log,
          stderr=log,
      )
    self.children.append(process)
    return process

  def put_config(self, version, attempts=3):
    route = {
        "name": "r-1",
        "host": ROUTE_HOST,
        "prefix": PREFIX,
        "type": "unsafe",
        "timeoutMs": 1500,
        "sloMs": 60,
        "priority": 0,
        "service": SERVICE,
        "attempts": attempts,
        "stretch": 1.6,
    }
    service = {
        "name": SERVICE,
        "healthPath": "/healthz",
        "maxConnections": 64,
        "protocol": "h1",
        "tls": False,
        "rejectsOverload": False,
        "standby": False,
    }
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 262144,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    config = {
        "version": version,
        "routes": [route],
        "services": [service],
        "limits": limits,
    }
    status, _ = call(
        self.admin, "POST", "/put", {"key": "op/config", "value": config}
    )
    if status != 200:
      raise CannotRun(f"config: {status}")

  def start(self, zones, entries_a_zone, minions_a_zone, cpu=16000, slots=8):
    wait_for(lambda: call(self.admin, "GET", "/")[0] == 200, "the store")
    self.put_config(7)
    for zone in zones:
      for number in range(minions_a_zone):
        kind = self.kind_of(number)
        minion = Minion(self, f"{zone}{number}", zone, cpu, slots, kind)
        self.minions.append(minion)
        minion.start()
      for number in range(entries_a_zone):
        self.entries.append(Entry(self, f"{zone}-{number}", zone, zones))
    for entry in self.entries:
      entry.start()
    for entry in self.entries:
      wait_for(entry.ready, f"{entry.name} ready", 30.0)
    for zone in zones:
      wait_for(lambda z=zone: self.holder(z) is not None, f"holder of {zone}")
    wait_for(self._all_known, "every minion known")

  def _all_known(self):
    known = 0
    for entry in self.entries:
      if entry.runs:
        for owned in entry.dump()["scheduler"]["owned"]:
          known += sum(e["known"] for e in owned["endpoints"].values())
    return known >= len(self.minions)

  def holder(self, zone):
    for entry in self.entries:
      if entry.zone == zone and entry.holds():
        return entry
    return None

  def note(self, what, **fields):
    """Adds a line to the record."""
    with self.lock:
      self.lines.append((time.monotonic(), what, fields))

  def submit(self, entry, job_id, body, deadline_ms, timeout=None):
    """Sends a job once; returns its status, 0 for a broken connection."""
    headers = {
        "Host": ROUTE_HOST,
        "Content-Type": "application/json",
        "Deadline-Ms": str(deadline_ms),
        "Request-Id": job_id,
    }
    timeout = timeout or deadline_ms / 1000 + 1.0
    self.note(
        "sent", job=job_id, to=entry.name, best_effort="bestEffort" in body
    )
    status, answer = 0, None
    with contextlib.suppress(OSError, http.client.HTTPException):
      status, answer = call(
          entry.address, "POST", PREFIX + job_id, body, headers, timeout
      )
    self.note("answered", job=job_id, by=entry.name, status=status, body=answer)
    return status, answer

  def get(self, entry, job_id):
    """Asks for a job's state; returns status and state."""
    status, answer = 0, None
    with contextlib.suppress(OSError, http.client.HTTPException):
      status, answer = call(
          entry.address,
          "GET",
          PREFIX + job_id,
          None,
          {"Host": ROUTE_HOST, "Deadline-Ms": "2000"},
          3.0,
      )
    state = answer.get("state") if isinstance(answer, dict) else None
    self.note("state", job=job_id, by=entry.name, status=status, state=state)
    return status, state

  def minion_lines(self):
    file = self.folder / "minions.jsonl"
    if not file.exists():
      return []
    return [json.loads(line) for line in file.read_text().splitlines()]

  def runs(self):
    """Returns the runs: (task, attempt, minion, begun, ended, how).

    A run that a crash has ended ends then; one that goes on has no end.
    """
    opened, runs = {}, []
    for line in self.minion_lines():
      if line["what"] == "start":
        opened[line["minion"], line["task"], line["attempt"]] = line["at"]
      elif line["what"] == "end":
        key = line["minion"], line["task"], line["attempt"]
        begun = opened.pop(key)
        runs.append((key[1], key[2], key[0], begun, line["at"], line["how"]))
    for (minion, task, attempt), begun in opened.items():
      end = self.minion_downs.get(minion)
      how = "crashed" if end else "runs"
      runs.append((task, attempt, minion, begun, end or float("inf"), how))
    return sorted(runs, key=lambda run: run[3])

  def write_record(self, verdict):
    """Writes what was sent, answered and run."""
    lines = [(at, what, fields) for at, what, fields in self.lines]
    for line in self.minion_lines():
      fields = {k: v for k, v in line.items() if k not in ("at", "what")}
      lines.append((line["at"], f"minion_{line['what']}", fields))
    lines.sort(key=lambda line: line[0])
    with open(self.record_file, "w", encoding="utf-8") as file:
      for at, what, fields in lines:
        text = " ".join(f"{k}={json.dumps(v)}" for k, v in fields.items())
        file.write(f"{at - self.began:9.3f} {what} {text}\n")
      file.write("\n".join(verdict) + "\n")

  def end_processes(self):
    """Ends all processes that were started."""
    processes = [e.process for e in self.entries if e.process] + self.children
    for process in processes:
      if process.poll() is None:
        process.kill()
    for process in processes:
      process.wait()

  def remove_folder(self):
    """Removes the temporary folder, which `KEEP=1` keeps."""
    if os.environ.get("KEEP") == "1":
      print(f"kept {self.folder}")
    else:
      shutil.rmtree(self.folder, ignore_errors=True)


def overlaps(runs):
  """Returns pairs of runs of one task that went on at the same time."""
  by_task = {}
  for run in runs:
    by_task.setdefault(run[0], []).append(run)
  pairs = []
  for same in by_task.values():
    for number, first in enumerate(same):
      for second in same[number + 1 :]:
        if second[3] < first[4]:
          pairs.append((first, second))
  return pairs


def states(case, jobs):
  """Asks the entry hosts that run for each job's state."""
  running = [entry for entry in case.entries if entry.runs]
  found = {}
  for job_id in jobs:
    for _ in range(3):
      found[job_id] = case.get(random.choice(running), job_id)
      if found[job_id][0] == 200:
        break
      time.sleep(0.2)
  return found


def judge_lost(case, accepted, task_cpu, job_cpu, can_run):
  """Checks LOST, `finish_s` after the end of the traffic.

  Args:
    case: the case.
    accepted: the accepted jobs, each with the entry host that accepted it.
    task_cpu: what one task needs.
    job_cpu: what all tasks of one job need.
    can_run: tells whether a minion may run the jobs.

  Returns:
    A line for each job that isn't known, or that has nothing at work for
    `IDLE_S` while there is capacity for it twice over and under half of the
    service's capacity is in use.
  """
  first = states(case, accepted)
  since = time.monotonic()
  time.sleep(IDLE_S + 0.5)
  until = time.monotonic()
  second = states(case, accepted)
  runs = case.runs()
  at_work = [r for r in runs if r[3] < until and r[4] > since]
  minions = [m for m in case.minions if m.process.poll() is None]
  capacity = sum(m.entry["capacity"]["cpu"] for m in minions)
  used = task_cpu * len(at_work)
  fit = [m for m in minions if can_run(m)]
  used_there = task_cpu * sum(r[2] in {m.id for m in fit} for r in at_work)
  free = sum(m.entry["capacity"]["cpu"] for m in fit) - used_there
  case.note("judged", capacity=capacity, used=used, free_for_them=free)
  broken = []
  for job_id, entry in accepted.items():
    if second[job_id][0] != 200:
      broken.append(f"LOST {job_id}: answered {second[job_id][0]}")
      continue
    is_open = {first[job_id][1], second[job_id][1]} <= {"queued", "running"}
    is_idle = not any(run[0].startswith(job_id) for run in at_work)
    has_room = free >= 2 * job_cpu and used < capacity / 2
    if is_open and is_idle and has_room:
      broken.append(
          f"LOST {job_id}, accepted by {entry.name}: {second[job_id][1]} with"
          f" nothing at work for {until - since:.1f} s, from"
          f" {since - case.began:.1f} s; {used} of {capacity} in use,"
          f" {free} free for it"
      )
  return broken


def _give_up(number, frame):
  del frame
  raise CannotRun(f"ended by signal {number}")


def main(name, play):
  """Runs a case and returns the exit status for `run.sh`.

  Args:
    name: the case's folder.
    play: a function of the `Case` that returns a line for each time that the
      rule was broken.
  """
  signal.signal(signal.SIGTERM, _give_up)
  signal.signal(signal.SIGINT, _give_up)
  signal.signal(signal.SIGALRM, _give_up)
  signal.alarm(LIMIT_S)
  case = None
  try:
    case = Case(name)
    broken = play(case)
    verdict = [f"BROKEN {line}" for line in broken] or ["HELD"]
    status = EXIT_BROKEN if broken else EXIT_HELD
  except Exception as exc:
    traceback.print_exc()
    verdict, status = [f"COULD NOT RUN {exc!r}"], EXIT_COULD_NOT_RUN
  signal.alarm(0)
  if case is not None:
    case.end_processes()
    case.write_record(verdict)
    case.remove_folder()
  print("\n".join(verdict[:10]))
  return status
