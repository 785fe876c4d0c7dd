"""The role as real processes against a stand-in of the platform."""

import contextlib
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
ZONES = ("north", "south")
ENDPOINTS = 6
# Ports handed out, in use by now or later.
TAKEN: set[int] = set()
HOST = "jobs.example"
PREFIX = "/check/"


def is_free(port: int) -> bool:
  with contextlib.closing(socket.socket()) as sock:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
      sock.bind(("127.0.0.1", port))
    except OSError:
      return False
  return True


def free_ports(count: int) -> list[int]:
  """Returns ports in a row that are free, and stay so.

  They lie below the range from which the system gives outgoing connections
  theirs, so that none of these takes one before its server is started.
  """
  while True:
    first = random.randrange(20_000, 32_000)
    ports = list(range(first, first + count))
    if TAKEN.isdisjoint(ports) and all(is_free(port) for port in ports):
      TAKEN.update(ports)
      return ports


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
    callers, ready, links, metrics = free_ports(4)
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

  def submit(self, job_id: str, tasks=2, run_s=0.1, deadline_ms=3000, **spec):
    body = {
        "bestEffort": True,
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

  def log(self) -> str:
    return self.log_file.read_text()


class Deployment:
  """The stand-in platform and two hosts in each of two data centres."""

  def __init__(self, directory):
    self.store_port, endpoint_port, *_ = free_ports(1 + ENDPOINTS)
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
    for zone in ZONES:
      wait_for(lambda z=zone: self.owner(z), f"owner of {zone}")

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


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
  made = Deployment(tmp_path_factory.mktemp("role"))
  yield made
  made.close()


def job_id(number: int) -> str:
  return f"{number:016x}"


def test_job_is_run_and_answered_whole(deployment):
  for number, host in enumerate(deployment.hosts):
    response, body = host.submit(job_id(1 + number))
    assert (response.status, body) == (200, {"state": "succeeded"})
  report = deployment.report()
  assert report["broken"] == []
  assert len(report["starts"]) == 8


def test_failing_job_is_shown_failed_after_its_attempts(deployment):
  response, body = deployment.hosts[0].submit(
      job_id(0x20), tasks=1, run_s=0.02, fails=True
  )
  assert (response.status, body) == (200, {"state": "failed"})
  starts = [s for s in deployment.report()["starts"] if "0020." in s[0]]
  assert [s[1] for s in starts] == [1, 2, 3]


def test_unknown_queue_unknown_job_and_bad_body(deployment):
  port = deployment.hosts[0].callers
  headers = {"Host": HOST}
  response, _ = call(port, "POST", "/nowhere/" + job_id(1), {}, headers)
  assert response.status == 404
  response, _ = call(port, "GET", PREFIX + job_id(1), None, headers)
  assert response.status == 410
  response, _ = call(port, "DELETE", PREFIX + job_id(1), None, headers)
  assert response.status == 410
  response, body = call(port, "GET", PREFIX, None, headers)
  assert (response.status, body) == (200, {"pending": 0})
  bad = {"bestEffort": True, "phases": [{"taskCount": -1}]}
  response, body = call(port, "POST", PREFIX + job_id(2), bad, headers)
  assert response.status == 400
  assert body["code"] == 201


def test_job_that_must_be_kept_is_refused_truthfully(deployment):
  port = deployment.hosts[0].callers
  kept = {"spec": "x", "phases": [{"taskCount": 1, "cpu": 1000}]}
  response, _ = call(port, "POST", PREFIX + job_id(3), kept, {"Host": HOST})
  assert response.status == 503
  assert response.headers["retry-after"] == "1"


def test_job_too_large_for_every_endpoint_is_refused_at_once(deployment):
  began = time.monotonic()
  port = deployment.hosts[0].callers
  body = {
      "bestEffort": True,
      "spec": "x",
      "phases": [{"taskCount": 1, "cpu": 900000, "estimateMs": 50}],
  }
  response, _ = call(port, "POST", PREFIX + job_id(4), body, {"Host": HOST})
  assert response.status == 429
  assert time.monotonic() - began < 1.0


def test_configuration_is_followed_and_never_goes_back(deployment):
  host = deployment.hosts[-1]
  headers = {"Host": HOST}

  def status(path):
    return call(host.callers, "GET", path, None, headers)[0].status

  deployment.put("op/config", config(9, (PREFIX, "/new/")))
  wait_for(lambda: status("/new/") == 200, "version 9", 2.0)
  deployment.put("op/config", config(5))
  time.sleep(0.3)
  assert status("/new/") == 200


def test_caller_that_hangs_up_has_its_runs_stopped(deployment):
  host = deployment.hosts[0]
  body = {
      "bestEffort": True,
      "spec": json.dumps({"run_s": 3.0}),
      "phases": [{"taskCount": 2, "cpu": 27000, "estimateMs": 3000}],
  }
  connection = http.client.HTTPConnection("127.0.0.1", host.callers)
  connection.request(
      "POST", PREFIX + job_id(5), json.dumps(body), {"Host": HOST}
  )
  wait_for(lambda: deployment.report()["running"] == 2, "two runs", 3.0)
  connection.close()
  wait_for(lambda: deployment.report()["running"] == 0, "no runs", 1.5)


def test_killed_owner_is_replaced_and_the_job_answered(deployment):
  owner = deployment.owner("north")
  other = deployment.other(owner)
  answers = []

  def submit():
    answers.append(other.submit(job_id(6), run_s=1.0)[0].status)

  thread = threading.Thread(target=submit)
  thread.start()
  wait_for(lambda: deployment.report()["running"] == 2, "two runs", 3.0)
  owner.process.kill()
  owner.process.wait()
  thread.join()
  assert answers == [200]
  assert deployment.report()["broken"] == []
  starts = [s for s in deployment.report()["starts"] if "0006." in s[0]]
  assert len(starts) == 2, "the runs were adopted, not started again"
  owner.start()
  wait_for(owner.is_ready, "back")


def test_frozen_owner_wakes_fenced_off(deployment):
  owner = deployment.owner("south")
  other = deployment.other(owner)
  os.kill(owner.process.pid, signal.SIGSTOP)
  try:
    wait_for(other.owns, "takeover", 6.0)
    assert other.submit(job_id(7), deadline_ms=5000)[0].status == 200
  finally:
    os.kill(owner.process.pid, signal.SIGCONT)
  wait_for(lambda: not owner.owns(), "stands down", 3.0)
  assert owner.submit(job_id(8), deadline_ms=5000)[0].status == 200
  assert deployment.report()["broken"] == []


def test_planned_stop_cuts_off_no_request(deployment):
  """Requests keep coming on an open connection until it is closed.

  A connection that still waits to be accepted when the process ends is reset
  at once; one that was being served for a while must get its answer.
  """
  owner = deployment.owner("north")
  statuses, cut = [], []

  def keep_sending():
    connection = http.client.HTTPConnection("127.0.0.1", owner.callers)
    body = {
        "bestEffort": True,
        "spec": json.dumps({"run_s": 0.3}),
        "phases": [{"taskCount": 1, "cpu": 27000, "estimateMs": 300}],
    }
    number = 0x700
    while True:
      number += 1
      path = PREFIX + job_id(number + threading.get_ident() % 97 * 0x10000)
      sent_at = time.monotonic()
      try:
        connection.request("POST", path, json.dumps(body), {"Host": HOST})
      except OSError:
        return
      try:
        response = connection.getresponse()
        response.read()
      except (OSError, http.client.HTTPException) as exc:
        cut.append((time.monotonic() - sent_at, exc))
        return
      statuses.append(response.status)
      # The answer may ask to close; the client then opens a new one.

  threads = [threading.Thread(target=keep_sending) for _ in range(3)]
  for thread in threads:
    thread.start()
  time.sleep(0.5)
  owner.process.send_signal(signal.SIGTERM)
  for thread in threads:
    thread.join(10)
  assert owner.process.wait(10) == 0
  assert set(statuses) <= {200, 503}
  assert statuses.count(200) > 3
  assert [c for c in cut if c[0] > 0.1] == []
  assert "event=stopped" in owner.log()
  owner.start()
  wait_for(owner.is_ready, "back")


def test_settings_file_read_again_on_sighup(deployment):
  host = deployment.hosts[0]
  host.process.send_signal(signal.SIGHUP)
  wait_for(lambda: "event=reloaded" in host.log(), "reload line", 3.0)


def test_metrics_page_counts_jobs_and_calls(deployment):
  host = deployment.hosts[0]
  assert host.submit(job_id(9))[0].status == 200
  connection = http.client.HTTPConnection("127.0.0.1", host.metrics)
  connection.request("GET", "/metrics")
  page = connection.getresponse().read().decode()
  connection.close()
  assert 'fescueturn_job_seconds_count{outcome="done",queue="r0"}' in page
  assert 'fescueturn_call_seconds_bucket{dependency="store_kv-range"' in page
  assert 'fescueturn_coordinator_total{what="answer_done"}' in page
  assert "fescueturn_config_version" in page


def explained(deployment, request: str) -> str:
  logs = [str(host.log_file) for host in deployment.hosts]
  command = [sys.executable, "-m", "fescueturn", "explain", request, *logs]
  return subprocess.run(
      command, cwd=ROOT, check=True, capture_output=True, text=True
  ).stdout


def test_story_of_a_job_refused_for_want_of_room(deployment):
  host = deployment.hosts[0]
  response, body = host.submit(job_id(0x30), tasks=400, run_s=1.0)
  assert (response.status, body["code"]) == (429, 211)
  story = explained(deployment, f"q-{job_id(0x30)}")
  assert story.count("declined: no room expected in time") == len(ZONES)
  assert "its caller was answered 'not_run'" in story.splitlines()[-1]


def test_story_of_a_job_given_up_when_its_holder_stood_still(deployment):
  owner = deployment.owner("south")
  other = deployment.other(owner)
  os.kill(owner.process.pid, signal.SIGSTOP)
  try:
    response, body = other.submit(job_id(0x31), deadline_ms=900)
  finally:
    os.kill(owner.process.pid, signal.SIGCONT)
  assert (response.status, body["code"]) == (504, 213)
  story = explained(deployment, f"q-{job_id(0x31)}")
  assert f"offered to {owner.name}, which holds south" in story
  assert f"the holder of south, {owner.name}, was lost: silent" in story
  assert "its caller was answered 'unknown'" in story
  wait_for(lambda: deployment.owner("south"), "an owner again")


def test_story_of_a_request_for_no_queue(deployment):
  host = deployment.hosts[0]
  headers = {"Host": HOST, "Request-Id": "q-nowhere"}
  response, body = call(host.callers, "GET", "/gone/", None, headers)
  assert (response.status, body["code"]) == (404, 215)
  story = explained(deployment, "q-nowhere")
  assert "no queue for GET /gone/ in configuration version" in story
