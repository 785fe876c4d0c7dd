"""Tests that `fescueturn explain` finds the cause of a failed request."""

import os
import signal
import subprocess
import sys

from tests import deployments


def explain(deployment, request_id: str) -> str:
  logs = [str(host.log_file) for host in deployment.hosts]
  command = [sys.executable, "-m", "fescueturn", "explain", request_id, *logs]
  return subprocess.run(
      command, cwd=deployments.ROOT, check=True, capture_output=True, text=True
  ).stdout


def test_explanation_of_a_job_refused_for_lack_of_capacity(deployment):
  host = deployment.hosts[0]
  response, body = host.submit(deployments.job_id(0x30), tasks=400, run_s=1.0)
  assert (response.status, body["code"]) == (429, 211)
  explanation = explain(deployment, f"q-{deployments.job_id(0x30)}")
  assert explanation.count("declined: no room expected in time") == len(
      deployments.DATA_CENTRES
  )
  assert "its caller was answered 'not_run'" in explanation.splitlines()[-1]


def test_explanation_of_a_job_whose_holder_froze(deployment):
  owner = deployment.owner("south")
  other_host = deployment.other_host(owner)
  os.kill(owner.process.pid, signal.SIGSTOP)
  try:
    response, body = other_host.submit(
        deployments.job_id(0x31), deadline_ms=900
    )
  finally:
    os.kill(owner.process.pid, signal.SIGCONT)
  assert (response.status, body["code"]) == (504, 213)
  explanation = explain(deployment, f"q-{deployments.job_id(0x31)}")
  assert f"offered to {owner.name}, which holds south" in explanation
  assert f"the holder of south, {owner.name}, was lost: silent" in explanation
  assert "its caller was answered 'unknown'" in explanation
  deployments.wait_for(lambda: deployment.owner("south"), "an owner again")


def test_explanation_of_a_request_without_a_queue(deployment):
  host = deployment.hosts[0]
  headers = {"Host": deployments.HOST, "Request-Id": "q-nowhere"}
  response, body = deployments.call(
      host.callers_port, "GET", "/gone/", None, headers
  )
  assert (response.status, body["code"]) == (404, 215)
  explanation = explain(deployment, "q-nowhere")
  assert "no queue for GET /gone/ in configuration version" in explanation
  assert "last confirmed by the store" in explanation
