"""From a failed request's id to its cause, with `fescueturn explain`."""

import os
import signal
import subprocess
import sys

from tests import deployments


def explained(deployment, request: str) -> str:
  logs = [str(host.log_file) for host in deployment.hosts]
  command = [sys.executable, "-m", "fescueturn", "explain", request, *logs]
  return subprocess.run(
      command, cwd=deployments.ROOT, check=True, capture_output=True, text=True
  ).stdout


def test_story_of_a_job_refused_for_want_of_room(deployment):
  host = deployment.hosts[0]
  response, body = host.submit(deployments.job_id(0x30), tasks=400, run_s=1.0)
  assert (response.status, body["code"]) == (429, 211)
  request_timeline = explained(deployment, f"q-{deployments.job_id(0x30)}")
  assert request_timeline.count("declined: no room expected in time") == len(
      deployments.ZONES
  )
  assert (
      "its caller was answered 'not_run'" in request_timeline.splitlines()[-1]
  )


def test_story_of_a_job_given_up_when_its_holder_stood_still(deployment):
  owner = deployment.owner("south")
  other = deployment.other(owner)
  os.kill(owner.process.pid, signal.SIGSTOP)
  try:
    response, body = other.submit(deployments.job_id(0x31), deadline_ms=900)
  finally:
    os.kill(owner.process.pid, signal.SIGCONT)
  assert (response.status, body["code"]) == (504, 213)
  request_timeline = explained(deployment, f"q-{deployments.job_id(0x31)}")
  assert f"offered to {owner.name}, which holds south" in request_timeline
  assert (
      f"the holder of south, {owner.name}, was lost: silent" in request_timeline
  )
  assert "its caller was answered 'unknown'" in request_timeline
  deployments.wait_for(lambda: deployment.owner("south"), "an owner again")


def test_story_of_a_request_for_no_queue(deployment):
  host = deployment.hosts[0]
  headers = {"Host": deployments.HOST, "Request-Id": "q-nowhere"}
  response, body = deployments.call(
      host.callers, "GET", "/gone/", None, headers
  )
  assert (response.status, body["code"]) == (404, 215)
  request_timeline = explained(deployment, "q-nowhere")
  assert "no queue for GET /gone/ in configuration version" in request_timeline
  assert "last confirmed by the store" in request_timeline
