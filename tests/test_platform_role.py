"""Tests of entry hosts as real processes on a stand-in of the platform."""

import http.client
import json
import os
import signal
import threading
import time

from tests import deployments


def restart(host: deployments.Host):
  """Starts a host's process anew for the tests that follow."""
  host.process.kill()
  host.process.wait()
  host.start()
  deployments.wait_for(host.is_ready, f"{host.name} ready again")


def test_job_is_run_and_answered(deployment):
  for number, host in enumerate(deployment.hosts):
    response, body = host.submit(deployments.job_id(1 + number))
    assert (response.status, body) == (200, {"state": "succeeded"})
  report = deployment.report()
  assert report["broken"] == []
  assert len(report["starts"]) == 8


def test_failing_job_is_reported_failed_after_its_attempts(deployment):
  response, body = deployment.hosts[0].submit(
      deployments.job_id(0x20), tasks=1, run_s=0.02, fails=True
  )
  assert (response.status, body) == (200, {"state": "failed"})
  starts = [s for s in deployment.report()["starts"] if "0020." in s[0]]
  assert [s[1] for s in starts] == [1, 2, 3]


def test_unknown_queue_unknown_job_and_malformed_body(deployment):
  port = deployment.hosts[0].callers_port
  headers = {"Host": deployments.HOST}
  response, _ = deployments.call(
      port, "POST", "/nowhere/" + deployments.job_id(1), {}, headers
  )
  assert response.status == 404
  response, _ = deployments.call(
      port, "GET", deployments.PREFIX + deployments.job_id(1), None, headers
  )
  assert response.status == 410
  response, _ = deployments.call(
      port, "DELETE", deployments.PREFIX + deployments.job_id(1), None, headers
  )
  assert response.status == 410
  response, body = deployments.call(
      port, "GET", deployments.PREFIX, None, headers
  )
  assert (response.status, body) == (200, {"pending": 0})
  bad = {"bestEffort": True, "phases": [{"taskCount": -1}]}
  response, body = deployments.call(
      port, "POST", deployments.PREFIX + deployments.job_id(2), bad, headers
  )
  assert response.status == 400
  assert body["code"] == 201


def test_job_too_large_for_every_endpoint_is_refused_at_once(deployment):
  began = time.monotonic()
  port = deployment.hosts[0].callers_port
  body = {
      "bestEffort": True,
      "spec": "x",
      "phases": [{"taskCount": 1, "cpu": 900000, "estimateMs": 50}],
  }
  response, _ = deployments.call(
      port,
      "POST",
      deployments.PREFIX + deployments.job_id(4),
      body,
      {"Host": deployments.HOST},
  )
  assert response.status == 429
  assert time.monotonic() - began < 1.0


def test_newer_configuration_is_applied_and_an_older_one_ignored(deployment):
  host = deployment.hosts[-1]
  headers = {"Host": deployments.HOST}

  def status(path):
    return deployments.call(host.callers_port, "GET", path, None, headers)[
        0
    ].status

  deployment.put(
      "op/config", deployments.config(9, (deployments.PREFIX, "/new/"))
  )
  deployments.wait_for(lambda: status("/new/") == 200, "version 9", 2.0)
  deployment.put("op/config", deployments.config(5))
  time.sleep(0.3)
  assert status("/new/") == 200


def test_runs_of_a_disconnected_caller_are_stopped(deployment):
  host = deployment.hosts[0]
  body = {
      "bestEffort": True,
      "spec": json.dumps({"run_s": 3.0}),
      "phases": [{"taskCount": 2, "cpu": 27000, "estimateMs": 3000}],
  }
  connection = http.client.HTTPConnection("127.0.0.1", host.callers_port)
  connection.request(
      "POST",
      deployments.PREFIX + deployments.job_id(5),
      json.dumps(body),
      {"Host": deployments.HOST},
  )
  deployments.wait_for(
      lambda: deployment.report()["running"] == 2, "two runs", 3.0
  )
  connection.close()
  deployments.wait_for(
      lambda: deployment.report()["running"] == 0, "no runs", 1.5
  )


def test_killed_owner_is_replaced_and_its_job_answered(deployment):
  owner = deployment.owner("north")
  other_host = deployment.other_host(owner)
  answers = []

  def submit():
    answers.append(
        other_host.submit(deployments.job_id(6), run_s=1.0)[0].status
    )

  thread = threading.Thread(target=submit)
  thread.start()
  deployments.wait_for(
      lambda: deployment.report()["running"] == 2, "two runs", 3.0
  )
  try:
    owner.process.kill()
    owner.process.wait()
    thread.join()
    assert answers == [200]
    assert deployment.report()["broken"] == []
    starts = [s for s in deployment.report()["starts"] if "0006." in s[0]]
    assert len(starts) == 2, "the runs were adopted, not started again"
  finally:
    restart(owner)


def test_frozen_owner_is_fenced_when_it_resumes(deployment):
  owner = deployment.owner("south")
  other_host = deployment.other_host(owner)
  os.kill(owner.process.pid, signal.SIGSTOP)
  try:
    deployments.wait_for(other_host.owns, "takeover", 6.0)
    assert (
        other_host.submit(deployments.job_id(7), deadline_ms=5000)[0].status
        == 200
    )
  finally:
    os.kill(owner.process.pid, signal.SIGCONT)
  deployments.wait_for(
      lambda: not owner.owns(), "the resumed owner gives up its shard", 3.0
  )
  assert owner.submit(deployments.job_id(8), deadline_ms=5000)[0].status == 200
  assert deployment.report()["broken"] == []


def test_planned_stop_cuts_off_no_request(deployment):
  """Clients keep sending requests on an open connection until it is closed.

  A request that has been pending for more than 0.1 s must be answered. A
  connection that is not yet accepted when the process exits is reset at once,
  which is allowed.
  """
  owner = deployment.owner("north")
  statuses, cut_off = [], []

  def keep_sending(client: int):
    connection = http.client.HTTPConnection("127.0.0.1", owner.callers_port)
    body = {
        "bestEffort": True,
        "spec": json.dumps({"run_s": 0.3}),
        "phases": [{"taskCount": 1, "cpu": 27000, "estimateMs": 300}],
    }
    number = 0x700
    while True:
      number += 1
      path = deployments.PREFIX + deployments.job_id(number + client * 0x10000)
      sent_at = time.monotonic()
      try:
        connection.request(
            "POST", path, json.dumps(body), {"Host": deployments.HOST}
        )
      except OSError:
        return
      try:
        response = connection.getresponse()
        response.read()
      except (OSError, http.client.HTTPException) as exc:
        cut_off.append((time.monotonic() - sent_at, exc))
        return
      statuses.append(response.status)
      # If the response closes the connection, the client opens a new one.

  threads = [
      threading.Thread(target=keep_sending, args=(client,))
      for client in range(1, 4)
  ]
  for thread in threads:
    thread.start()
  time.sleep(0.5)
  try:
    owner.process.send_signal(signal.SIGTERM)
    for thread in threads:
      thread.join(10)
    assert owner.process.wait(10) == 0
    assert set(statuses) <= {200, 503}
    assert statuses.count(200) > 3
    assert [c for c in cut_off if c[0] > 0.1] == []
    assert "event=stopped" in owner.log()
  finally:
    restart(owner)


def test_settings_file_is_reloaded_on_sighup(deployment):
  host = deployment.hosts[0]
  host.process.send_signal(signal.SIGHUP)
  deployments.wait_for(
      lambda: "event=reloaded" in host.log(), "reload line", 3.0
  )


def test_metrics_page_counts_jobs_and_calls(deployment):
  host = deployment.hosts[0]
  assert host.submit(deployments.job_id(9))[0].status == 200
  connection = http.client.HTTPConnection("127.0.0.1", host.metrics_port)
  connection.request("GET", "/metrics")
  page = connection.getresponse().read().decode()
  connection.close()
  assert 'fescueturn_job_seconds_count{outcome="done",queue="r0"}' in page
  assert 'fescueturn_call_seconds_bucket{dependency="store_kv-range"' in page
  assert 'fescueturn_coordinator_total{what="answer_done"}' in page
  assert "fescueturn_config_version" in page


def test_change_of_settings_while_a_process_exits_does_not_kill_it(deployment):
  process = deployment.hosts[0].process
  process.send_signal(signal.SIGTERM)
  deadline = time.monotonic() + 20.0
  while process.poll() is None and time.monotonic() < deadline:
    process.send_signal(signal.SIGHUP)
    time.sleep(0.0005)
  assert process.wait(1.0) == 0


def test_holder_that_stops_while_the_store_is_away_grants_its_shard(deployment):
  for host in deployment.hosts:
    if host.process.poll() is not None:
      host.start()
      deployments.wait_for(host.is_ready, f"{host.name} ready")
  deployment.await_owners()
  owner = deployment.owner("north")
  heir = deployment.other_host(owner)
  for number in range(5):
    deployment.put(f"other/{number}", number)
  deployments.wait_for(
      lambda: owner.spare_fences() > 1, "revisions that others have spent"
  )
  try:
    deployment.set_store_answers(False)
    try:
      time.sleep(2.0)
      owner.process.send_signal(signal.SIGTERM)
      while owner.process.poll() is None:
        response, _ = heir.submit(deployments.job_id(time.monotonic_ns()))
        assert response.status == 200
      assert "event=shard_granted" in owner.log()
      assert heir.holds_by_grant()
      assert heir.submit(deployments.job_id(0x77))[0].status == 200
    finally:
      deployment.set_store_answers(True)
    deployments.wait_for(
        lambda: not heir.holds_by_grant(), "claim in the store"
    )
    assert heir.submit(deployments.job_id(0x78))[0].status == 200
    assert deployment.report()["broken"] == []
  finally:
    restart(owner)
