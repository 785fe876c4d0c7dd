"""End-to-end tests: platform, 2 entry hosts and 2 endpoints as processes."""

import json

import curio
import pytest

from fescueturn import codes
from fescueturn import httpio
from fescueturn import messages
from fescueturn.lab import caller
from fescueturn.lab import launcher
from fescueturn.lab import workload

TIME_SCALE = 0.05


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
  lab = launcher.Launcher(
      str(tmp_path_factory.mktemp("dc")),
      entries=2,
      endpoints=2,
      time_scale=TIME_SCALE,
  )
  try:
    curio.run(lab.start)
    yield lab
  finally:
    lab.stop()


def run(coro, *args):
  return curio.run(coro, *args)


def pools(lab):
  return [httpio.Pool(lab.daemons[n].listen) for n in lab.names("entry")]


async def starts_by_key(lab):
  counts = {}
  for name in lab.names("endpoint"):
    stats = (await lab.get(name, "/v1/stats")).json()
    for key, count in stats["starts_by_key"].items():
      counts[key] = counts.get(key, 0) + count
  return counts


async def submit_all(lab, jobs):
  entry_pools = pools(lab)
  results = {}

  async def one(index, job):
    results[job.key] = await caller.submit(entry_pools[index % 2], job)

  async with curio.TaskGroup() as group:
    for index, job in enumerate(jobs):
      await group.spawn(one, index, job)
  return results


def test_both_teams_get_complete_answers_and_each_task_starts_once(cluster):
  jobs = workload.make_jobs(seed=7, per_team=5, max_tasks=12)
  results = run(submit_all, cluster, jobs)
  for job in jobs:
    answer = results[job.key].answer
    assert answer is not None and answer.complete, results[job.key].body
    assert [t.task_id for t in answer.tasks] == [t.task_id for t in job.tasks]
  starts = run(starts_by_key, cluster)
  expected = {f"{j.key}/{t.task_id}" for j in jobs for t in j.tasks}
  assert expected <= set(starts)
  assert all(starts[k] == 1 for k in expected)


def test_resubmitted_job_gets_same_answer_and_starts_nothing(cluster):
  job = workload.make_jobs(seed=8, per_team=1, max_tasks=6)[1]
  pool_a, pool_b = None, None

  async def scenario():
    nonlocal pool_a, pool_b
    pool_a, pool_b = pools(cluster)
    first = await caller.submit(pool_a, job)
    before = await starts_by_key(cluster)
    resubmitted = await caller.submit(pool_b, job)
    after = await starts_by_key(cluster)
    return first, resubmitted, before, after

  first, resubmitted, before, after = run(scenario)
  assert first.answer.complete
  assert resubmitted.answer == first.answer
  assert before == after


async def post(lab, body: bytes, key: str):
  pool = pools(lab)[0]
  headers = (("idempotency-key", key), ("content-type", "application/json"))
  return await pool.request("POST", "/v1/jobs", body, headers)


def job_body(team="altamaha", tasks=1, payload="speling"):
  return json.dumps(
      {
          "team": team,
          "job_id": "bad",
          "tasks": [
              {"id": f"t{i}", "kind": "spell", "payload": payload, "run_ms": 10}
              for i in range(tasks)
          ],
      }
  ).encode()


@pytest.mark.parametrize(
    ("body", "status", "code"),
    [
        (b"{not json", 400, codes.Code.BAD_JSON),
        (b'{"team": "altamaha"}', 400, codes.Code.BAD_FIELD),
        (job_body(team="nobody"), 404, codes.Code.UNKNOWN_TEAM),
        (job_body(tasks=191), 413, codes.Code.JOB_TOO_LARGE),
    ],
)
def test_bad_input_gets_its_error_code_and_starts_nothing(
    cluster, body, status, code
):
  async def scenario():
    before = await starts_by_key(cluster)
    response = await post(cluster, body, key=f"bad-{int(code)}")
    return before, response, await starts_by_key(cluster)

  before, response, after = run(scenario)
  assert response.status == status
  assert response.json()["code"] == int(code)
  assert before == after


@pytest.mark.parametrize(
    "target", ["/v1/jobs/k1", "/v1/jobs?team=altamaha", "/v1/jobs/?team=a"]
)
def test_bad_cancellation_gets_its_error_code(cluster, target):
  response = run(pools(cluster)[0].request, "DELETE", target)
  assert response.status == 400
  assert response.json()["code"] == int(codes.Code.BAD_FIELD)


def test_reused_key_with_other_payload_is_refused(cluster):
  async def scenario():
    first = await post(cluster, job_body(payload="recieve"), key="reused")
    before = await starts_by_key(cluster)
    second = await post(cluster, job_body(payload="other"), key="reused")
    return first, second, before, await starts_by_key(cluster)

  first, second, before, after = run(scenario)
  assert first.status == 200
  assert messages.answer_from_json(first.json()).complete
  assert second.status == 409
  assert second.json()["code"] == int(codes.Code.KEY_REUSED)
  assert before == after
