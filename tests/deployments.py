"""Starts entry hosts as processes on a stand-in of the platform, for tests."""

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
DATA_CENTRES = ("north", "south")
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


def wait_for(condition, description: str, limit_s: float = 20.0):
  end = time.monotonic() + limit_s
  while time.monotonic() < end:
    with contextlib.suppress(OSError, http.client.HTTPException):
      if condition():
        return
    time.sleep(0.05)
  raise AssertionError(f"did not happen within {limit_s} s: {description}")


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
  """The process of one entry host.

  Attributes:
    callers_port: where it listens for callers' requests.
    readiness_port: where it listens for readiness probes.
    metrics_port: where it serves metrics and its state.
    root: the checkout that its next process runs.
  """

  def __init__(self, directory, name: str, data_centre: str, store_port: int):
    callers_port, readiness_port, peer_port, metrics_port = ports.free_ports(4)
    self.name, self.data_centre = name, data_centre
    self.root = ROOT
    self.callers_port, self.readiness_port, self.metrics_port = (
        callers_port,
        readiness_port,
        metrics_port,
    )
    self.settings_file = directory / f"{name}.json"
    self.log_file = directory / f"{name}.log"
    self.settings_file.write_text(
        json.dumps(
            {
                "node": name,
                "ip": "127.0.0.1",
                "zone": data_centre,
                "listen": {
                    "frontend": f"127.0.0.1:{callers_port}",
                    "readiness": f"127.0.0.1:{readiness_port}",
                },
                "internalPorts": [peer_port, peer_port + 1],
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
          cwd=self.root,
          env={**os.environ, "FESCUETURN_NODE_FILE": str(self.settings_file)},
          stdout=log,
          stderr=log,
      )

  def is_ready(self) -> bool:
    return call(self.readiness_port, "GET", "/-/readyz")[0].status == 200

  def owns(self) -> bool:
    """Returns whether it owns a shard and knows all endpoints' runs."""
    _, dump = call(self.metrics_port, "GET", "/dump")
    owned = dump["scheduler"]["owned"]
    return bool(owned) and all(
        e["known"] for o in owned for e in o["endpoints"].values()
    )

  def spare_fences(self) -> int:
    """Returns how many numbers it may grant as fencing tokens."""
    _, dump = call(self.metrics_port, "GET", "/dump")
    ranges = [o["spare_fences"] for o in dump["scheduler"]["owned"]]
    return sum(limit + 1 - first for first, limit in ranges)

  def holds_by_grant(self) -> bool:
    _, dump = call(self.metrics_port, "GET", "/dump")
    return any(o["by_grant"] for o in dump["scheduler"]["owned"])

  def knows_owner(self, data_centre: str, owner: "Host | None") -> bool:
    _, dump = call(self.metrics_port, "GET", "/dump")
    known = dump["scheduler"]["coordinator"]["holders"].get(f"{data_centre}/0")
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
    return call(self.callers_port, "POST", PREFIX + job_id, body, headers)

  def state(self, job_id: str) -> tuple[int, str | None]:
    response, body = call(
        self.callers_port, "GET", PREFIX + job_id, None, {"Host": HOST}
    )
    return response.status, body.get("state")

  def cancel(self, job_id: str) -> int:
    headers = {"Host": HOST, "Deadline-Ms": "3000"}
    return call(self.callers_port, "DELETE", PREFIX + job_id, None, headers)[
        0
    ].status

  def pending(self) -> int:
    return call(self.callers_port, "GET", PREFIX, None, {"Host": HOST})[1][
        "pending"
    ]

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
            *DATA_CENTRES,
        ],
        cwd=ROOT,
    )
    wait_for(self._platform_answers, "platform")
    self.put("op/config", config(3))
    self.hosts = [
        Host(directory, f"{data_centre}-{i}", data_centre, self.store_port)
        for data_centre in DATA_CENTRES
        for i in range(2)
    ]
    for host in self.hosts:
      host.start()
    for host in self.hosts:
      wait_for(host.is_ready, f"{host.name} ready")
    self.await_owners()

  def await_owners(self):
    """Waits until every host knows a running owner of each data centre."""
    for data_centre in DATA_CENTRES:
      for host in self.hosts:
        wait_for(
            lambda z=data_centre, h=host: h.knows_owner(z, self.owner(z)),
            f"owner of {data_centre} at {host.name}",
        )

  def _platform_answers(self):
    return call(self.store_port, "GET", "/test/report")[0].status == 200

  def put(self, key, value):
    call(self.store_port, "POST", "/test/put", {"key": key, "value": value})

  def set_store_answers(self, answers: bool):
    call(self.store_port, "POST", "/test/store", {"answers": answers})

  def report(self) -> dict:
    return call(self.store_port, "GET", "/test/report")[1]

  def owner(self, data_centre: str) -> Host | None:
    for host in self.hosts:
      if (
          host.data_centre == data_centre
          and host.process.poll() is None
          and host.owns()
      ):
        return host
    return None

  def other_host(self, owner: Host) -> Host:
    return next(
        h
        for h in self.hosts
        if h.data_centre == owner.data_centre and h is not owner
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
