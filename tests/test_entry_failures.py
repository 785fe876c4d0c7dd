"""Failures acting on real processes: kills, freezes, outages, races."""

import signal

import curio
import pytest

from fescueturn import caller
from fescueturn import codes
from fescueturn import errors
from fescueturn import httpio
from fescueturn import kvclient
from fescueturn import launcher
from fescueturn import messages
from fescueturn import teamconfig

TIME_SCALE = 0.5
LAG_S = 1.0
# The host list lags LAG_S, entry hosts poll it every 0.5 s: "a few seconds".
LEAVING_BOUND_S = LAG_S + 0.5 + 1.5


@pytest.fixture
def cluster(tmp_path):
  lab = launcher.Launcher(
      str(tmp_path),
      entries=2,
      endpoints=3,
      host_list_lag_s=LAG_S,
      time_scale=TIME_SCALE,
      endpoint_drain_s=4.0,
  )
  try:
    curio.run(lab.start)
    yield lab
  finally:
    lab.stop()


def job(
    key,
    tasks=6,
    run_ms=1000,
    team="consortium",
    kind="quote_check",
    idempotent=True,
):
  items = tuple(
      messages.Task(f"t{i}", kind, f"stand={i}", run_ms, idempotent)
      for i in range(tasks)
  )
  draft = messages.Job(team, f"job-{key}", key, items, "")
  return messages.Job(
      team,
      draft.job_id,
      key,
      items,
      messages.fingerprint(messages.job_to_json(draft)),
  )


def pool(lab, name):
  return httpio.Pool(lab.procs[name].listen)


async def stats(lab, name):
  return (await lab.get(name, "/v1/stats")).json()


async def starts(lab):
  total = {}
  for name in lab.names("endpoint"):
    if lab.alive(name):
      for key, count in (await stats(lab, name))["starts_by_key"].items():
        total[key] = total.get(key, 0) + count
  return total


def test_endpoint_killed_mid_job_gives_whole_truthful_answer(cluster):
  async def go():
    the_job = job("kill-endpoint", tasks=9, run_ms=2000)
    task = await curio.spawn(caller.submit, pool(cluster, "entry-1"), the_job)
    await curio.sleep(0.4)
    cluster.signal("endpoint-1", signal.SIGKILL)
    result = await task.join()
    return the_job, result, await starts(cluster)

  the_job, result, seen = curio.run(go)
  answer = result.answer
  assert answer is not None and len(answer.tasks) == len(the_job.tasks)
  assert answer.code == codes.Code.JOB_FAILED and answer.retry_after_s >= 1
  assert any(t.ran == codes.Ran.UNKNOWN for t in answer.tasks)
  for t in answer.tasks:
    key = f"{the_job.key}/{t.task_id}"
    assert seen.get(key, 0) <= 1
    if t.ran == codes.Ran.NOT_RUN:
      assert seen.get(key, 0) == 0


def test_platform_down_entry_hosts_keep_serving(cluster):
  async def go():
    kv = kvclient.KvClient(cluster.platform)
    await kv.fault("down")
    await curio.sleep(1.0)
    results = [
        await caller.submit(pool(cluster, n), job(f"down-{n}", run_ms=100))
        for n in cluster.names("entry")
    ]
    await kv.fault("none")
    await kv.close()
    return results

  for result in curio.run(go):
    assert result.answer is not None and result.answer.complete


def test_leaving_endpoint_gets_no_new_work_after_a_few_seconds(cluster):
  async def go():
    cluster.signal("endpoint-1", signal.SIGTERM)
    entries = [pool(cluster, n) for n in cluster.names("entry")]
    for wave in range(8):
      batch = [job(f"leave-{wave}-{i}", tasks=4, run_ms=200) for i in range(4)]
      async with curio.TaskGroup() as group:
        for i, item in enumerate(batch):
          await group.spawn(caller.submit, entries[i % 2], item)
    return await stats(cluster, "endpoint-1")

  seen = curio.run(go)
  assert seen["leaving_since"] is not None
  if seen["starts_while_leaving"]:
    assert seen["last_start"] - seen["leaving_since"] < LEAVING_BOUND_S


def test_planned_stop_cuts_off_nothing_in_flight(cluster):
  async def go():
    jobs = [job(f"drain-{i}", tasks=3, run_ms=1500) for i in range(6)]
    entry1 = pool(cluster, "entry-1")
    tasks = [await curio.spawn(caller.submit, entry1, j) for j in jobs]
    await curio.sleep(0.3)
    cluster.signal("entry-1", signal.SIGTERM)
    results = [await t.join() for t in tasks]
    code = cluster.wait("entry-1")
    after = await caller.submit(
        pool(cluster, "entry-2"), job("after-drain", run_ms=100)
    )
    return results, code, after

  results, code, after = curio.run(go)
  assert code == 0
  assert all(r.answer is not None and r.answer.complete for r in results)
  assert after.answer is not None and after.answer.complete


def test_racing_operators_and_lost_reply_never_revert_settings(cluster):
  text = launcher.TEAM_SETTINGS["altamaha"]

  async def go():
    kv = kvclient.KvClient(cluster.platform)
    current = await teamconfig.get(kv, "altamaha")
    first = await teamconfig.put(
        kv, "altamaha", text.replace("15000", "9000"), current.revision
    )
    with pytest.raises(errors.KvConflictError):
      await teamconfig.put(
          kv, "altamaha", text.replace("15000", "8000"), current.revision
      )
    await kv.fault("lose_reply")
    lost = await teamconfig.put(
        kv, "altamaha", text.replace("15000", "7000"), first
    )
    await kv.fault("none")
    stored = await teamconfig.get(kv, "altamaha")
    await kv.close()
    revisions = []
    for _ in range(100):
      dumps = [
          (await cluster.get(n, "/dump")).json() for n in cluster.names("entry")
      ]
      revisions = [d["state"]["teams"]["altamaha"] for d in dumps]
      if all(r == lost for r in revisions):
        break
      await curio.sleep(0.05)
    return stored, lost, revisions

  stored, lost, revisions = curio.run(go)
  assert "7000" in stored.text and stored.revision == lost
  assert revisions == [lost, lost]


def test_owner_killed_mid_job_then_resubmitted_starts_no_task_twice(cluster):
  async def go():
    the_job = job(
        "kill-owner",
        tasks=6,
        run_ms=2000,
        kind="fuel_release",
        idempotent=False,
    )
    entries = {n: pool(cluster, n) for n in cluster.names("entry")}
    first = await curio.spawn(caller.submit, entries["entry-1"], the_job)
    await curio.sleep(0.3)
    owner = None
    for name in entries:
      if (await cluster.get(name, "/dump")).json()["state"]["jobs_in_flight"]:
        owner = name
    cluster.signal(owner, signal.SIGKILL)
    other = next(n for n in entries if n != owner)
    await curio.sleep(4.0)  # The owner's lease (3 s) lapses; keys move.
    again = await caller.submit(entries[other], the_job)
    await first.cancel()
    return the_job, again, await starts(cluster)

  the_job, again, seen = curio.run(go)
  assert again.answer is not None and len(again.answer.tasks) == len(
      the_job.tasks
  )
  assert all(seen.get(f"{the_job.key}/t{i}", 0) <= 1 for i in range(6))
