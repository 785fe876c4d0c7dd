"""Tests of kept jobs on real processes: crashes of hosts and cancellations."""

import pytest

from tests import deployments

job_id = deployments.job_id


def has_state(host, number: int, state: str = "succeeded"):
  return lambda: host.state(job_id(number)) == (200, state)


def starts_of(deployment, number: int) -> list:
  return [
      s
      for s in deployment.report()["starts"]
      if s[0].startswith(job_id(number))
  ]


def test_kept_job_runs_and_its_state_is_available_at_every_host(deployment):
  response, body = deployment.hosts[0].submit(job_id(1), kept=True)
  assert (response.status, body) == (200, {"state": "queued"})
  for host in deployment.hosts:
    deployments.wait_for(has_state(host, 1), "done", 3.0)
  assert deployment.report()["broken"] == []


def test_kept_job_submitted_again_at_another_host_runs_once(deployment):
  for host in deployment.hosts:
    assert host.submit(job_id(2), kept=True)[0].status == 200
  deployments.wait_for(has_state(deployment.hosts[0], 2), "done", 3.0)
  assert deployment.hosts[-1].submit(job_id(2), kept=True)[0].status == 200
  assert len(starts_of(deployment, 2)) == 2


def test_failing_kept_job_is_reported_failed_after_its_attempts(deployment):
  host = deployment.hosts[0]
  host.submit(job_id(3), tasks=1, run_s=0.02, fails=True, kept=True)
  deployments.wait_for(has_state(host, 3, "failed"), "failed", 3.0)
  assert len(starts_of(deployment, 3)) == 3


def test_cancelled_kept_job_is_stopped_and_stays_cancelled(deployment):
  host = deployment.hosts[0]
  assert host.submit(job_id(4), run_s=5.0, kept=True)[0].status == 200
  deployments.wait_for(lambda: deployment.report()["running"] == 2, "two runs")
  assert deployment.hosts[-1].cancel(job_id(4)) == 200
  deployments.wait_for(lambda: deployment.report()["running"] == 0, "no runs")
  assert host.state(job_id(4)) == (200, "cancelled")
  assert host.cancel(job_id(4)) == 200
  assert host.cancel(job_id(0x99)) == 410
  assert host.state(job_id(0x99)) == (410, None)


def test_kept_job_of_a_killed_owner_is_finished_by_the_next_owner(deployment):
  owner = deployment.owner("north")
  other_host = deployment.other_host(owner)
  assert owner.submit(job_id(5), run_s=1.0, kept=True)[0].status == 200
  deployments.wait_for(lambda: deployment.report()["running"] == 2, "two runs")
  owner.process.kill()
  owner.process.wait()
  deployments.wait_for(has_state(other_host, 5), "done", 5.0)
  assert len(starts_of(deployment, 5)) == 2, "the runs were adopted"
  owner.start()
  deployments.wait_for(owner.is_ready, "host ready again")
  assert deployment.report()["broken"] == []


@pytest.mark.parametrize("number", (6, 7))
def test_accepted_job_is_finished_after_all_hosts_were_killed(
    deployment, number
):
  host = deployment.hosts[0]
  assert host.submit(job_id(number), run_s=0.6, kept=True)[0].status == 200
  for each in deployment.hosts:
    each.process.kill()
    each.process.wait()
  for each in deployment.hosts:
    each.start()
  for each in deployment.hosts:
    deployments.wait_for(each.is_ready, "host ready again")
  deployments.wait_for(has_state(host, number), "done", 8.0)
  assert deployment.report()["broken"] == []


def test_waiting_jobs_are_counted_at_every_host(deployment):
  # The jobs fill both data centres, and earlier tests may have just killed
  # hosts.
  deployment.await_owners()
  host = deployment.hosts[0]
  filling_jobs = [job_id(0x40 + n) for n in range(6)]
  for each in filling_jobs:
    assert host.submit(each, run_s=2.0, kept=True)[0].status == 200
  assert host.submit(job_id(8), run_s=4.0, kept=True)[0].status == 200
  for each in deployment.hosts:
    deployments.wait_for(lambda h=each: h.pending() == 1, "one job waits", 3.0)
  for each in [*filling_jobs, job_id(8)]:
    assert host.cancel(each) == 200
