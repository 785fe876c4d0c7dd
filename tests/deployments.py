"""The role as processes against a stand-in of the platform, for tests."""

import contextlib
import http.client
import json
import os
import pathlib
import subprocess
import sys
import time

from fescueturn.lab import ports

ROOT = pathlib.Path(__file__).resolve().parent.parent
ZONES = ("north", "south")
ENDPOINTS = 6
HOST = "jobs.example"
PREFIX = "/check/"


def call(port, method, path, body=None, headers=None, timeout=10.0):
  connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
  with contextlib.closing(connection):
    data = json.dumps(body) if body is not None else None
    connection.request(method, path, data, headers or {})
    response = connection.getresponse()
    raw = response.read()
    return response, json.loads(raw) if raw else None


def wait_for(check, what: str, limit_s: float = 20.0):
  end = time.monotonic() + limit_s
  while time.monotonic() < end:
    with contextlib.suppress(OSError, http.client.HTTPException):
      if check():
        return
    time.sleep(0.05)
  raise AssertionError(f"not in {limit_s} s: {what}")


def config(version: int, prefixes=(PREFIX,)) -> dict:
  routes = [
      {
          "name": f"r{i}",
          "host": HOST,
          "prefix": prefix,
          "service": "speller",
          "timeoutMs": 1500,
          "sloMs": 60,
          "attempts": 3,
          "stretch": 1.6,
      }
      for i, prefix in enumerate(prefixes)
  ]
  return {"version": version, "routes": routes, "services": [], "limits": {}}


class Host:
  """One role process."""

  def __init__(self, directory, name: str, zone: str, store_port: int):
    callers, ready, links, metrics = ports.free_ports(4)
    self.name, self.zone = name, zone
    self.callers, self.ready, self.metrics = callers, ready, metrics
    self.file = directory / f"{name}.json"
    self.log_file = directory / f"{name}.log"
    self.file.write_text(
        json.dumps(
            {
                "node": name,
                "ip": "127.0.0.1",
                "zone": zone,
                "listen": {
                    "frontend": f"127.0.0.1:{callers}",
                    "readiness": f"127.0.0.1:{ready}",
                },
                "internalPorts": [links, links + 1],
                "platform": {
                    "address": f"127.0.0.1:{store_port}",
                    "minTtlMs": 1000,
                },
                "bounds": {"graceS": 6},
            }
        )
    )
    self.process = None

  def start(self):
    with self.log_file.open("ab") as log:
      self.process = subprocess.Popen(
          [sys.executable, "-m", "fescueturn.platform.role"],
          cwd=ROOT,
          env={**os.environ, "FESCUETURN_NODE_FILE": str(self.file)},
          stdout=log,
          stderr=log,
      )

  def is_ready(self) -> bool:
    return call(self.ready, "GET", "/-/readyz")[0].status == 200

  def owns(self) -> bool:
    _, dump = call(self.metrics, "GET", "/dump")
    owned = dump["scheduler"]["owned"]
    return bool(owned) and all(
        e["known"] for o in owned for e in o["endpoints"].values()
    )

  def knows_owner(self, zone: str, owner: "Host | None") -> bool:
    _, dump = call(self.metrics, "GET", "/dump")
    known = dump["scheduler"]["coordinator"]["holders"].get(f"{zone}/0")
    if owner is None or known is None or known["lost"]:
      return False
    return known["host"] == owner.name

  def submit(
      self,
      job_id: str,
      tasks=2,
      run_s=0.1,
      deadline_ms=3000,
      kept=False,
      **spec,
  ):
    body = {
        "bestEffort": not kept,
        "spec": json.dumps({"run_s": run_s, **spec}),
        "phases": [
            {
                "taskCount": tasks,
                "cpu": 27000,
                "memMb": 64,
                "estimateMs": int(run_s * 1000),
            }
        ],
    }
    headers = {
        "Host": HOST,
        "Deadline-Ms": str(deadline_ms),
        "Request-Id": f"q-{job_id}",
    }
    return call(self.callers, "POST", PREFIX + job_id, body, headers)

  def state(self, job_id: str) -> tuple[int, str | None]:
    response, body = call(
        self.callers, "GET", PREFIX + job_id, None, {"Host": HOST}
    )
    return response.status, body.get("state")

  def cancel(self, job_id: str) -> int:
    headers = {"Host": HOST, "Deadline-Ms": "3000"}
    return call(self.callers, "DELETE", PREFIX + job_id, None, headers)[
        0
    ].status

  def pending(self) -> int:
    return call(self.callers, "GET", PREFIX, None, {"Host": HOST})[1]["pending"]

  def log(self) -> str:
    return self.log_file.read_text()


class Deployment:
  """The stand-in platform and two hosts in each of two data centres."""

  def __init__(self, directory):
    self.store_port, endpoint_port, *_ = ports.free_ports(1 + ENDPOINTS)
    self.platform = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "tests.fakeplatform",
            str(self.store_port),
            str(endpoint_port),
            str(ENDPOINTS),
            *ZONES,
        ],
        cwd=ROOT,
    )
    wait_for(self._platform_up, "platform")
    self.put("op/config", config(3))
    self.hosts = [
        Host(directory, f"{zone}-{i}", zone, self.store_port)
        for zone in ZONES
        for i in range(2)
    ]
    for host in self.hosts:
      host.start()
    for host in self.hosts:
      wait_for(host.is_ready, f"{host.name} ready")
    self.await_owners()

  def await_owners(self):
    """Waits until every host knows a living owner of each data centre."""
    for zone in ZONES:
      for host in self.hosts:
        wait_for(
            lambda z=zone, h=host: h.knows_owner(z, self.owner(z)),
            f"owner of {zone} at {host.name}",
        )

  def _platform_up(self):
    return call(self.store_port, "GET", "/test/report")[0].status == 200

  def put(self, key, value):
    call(self.store_port, "POST", "/test/put", {"key": key, "value": value})

  def report(self) -> dict:
    return call(self.store_port, "GET", "/test/report")[1]

  def owner(self, zone: str) -> Host | None:
    for host in self.hosts:
      if host.zone == zone and host.process.poll() is None and host.owns():
        return host
    return None

  def other(self, owner: Host) -> Host:
    return next(
        h for h in self.hosts if h.zone == owner.zone and h is not owner
    )

  def close(self):
    processes = [h.process for h in self.hosts] + [self.platform]
    for process in processes:
      if process.poll() is None:
        process.kill()
    for process in processes:
      process.wait()


def job_id(number: int) -> str:
  return f"{number:016x}"
