"""Tests failures of real processes: kills, pauses, outages, races."""

import json
import signal
import time

import curio
import pytest

from fescueturn import codes
from fescueturn import errors
from fescueturn import httpio
from fescueturn import messages
from fescueturn import teamconfig
from fescueturn.lab import caller
from fescueturn.lab import launcher
from fescueturn.standins import control

TIME_SCALE = 0.5
LAG_S = 1.0
# A leaving endpoint gets no new task after "a few seconds": the host list lags
# by LAG_S, entry hosts poll it every 0.5 s, and 1.5 s is margin.
LEAVING_BOUND_S = LAG_S + 0.5 + 1.5
# How long entry hosts may take to take up the jobs of a test.
JOBS_TAKEN_UP_S = 10.0
# When a caller sends its job again after its connection broke.
RETURN_AFTER_S = 1.3


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
  return httpio.Pool(lab.daemons[name].listen)


async def stats(lab, name):
  return (await lab.get(name, "/v1/stats")).json()


async def find_coordinator(lab):
  """Returns the entry host that coordinates the one job in flight."""
  for name in lab.names("entry"):
    if (await lab.get(name, "/dump")).json()["state"]["jobs_in_flight"]:
      return name
  return None


async def wait_for_jobs(lab, count: int):
  """Waits until the entry hosts have taken up so many jobs."""
  deadline = time.monotonic() + JOBS_TAKEN_UP_S
  in_flight = 0
  while in_flight < count:
    assert time.monotonic() < deadline, f"{in_flight} of {count} jobs taken up"
    await curio.sleep(0.05)
    dumps = [(await lab.get(n, "/dump")).json() for n in lab.names("entry")]
    states = [dump["state"] for dump in dumps]
    in_flight = sum(s["jobs_in_flight"] - s["jobs_claiming"] for s in states)


async def starts(lab):
  total = {}
  for name in lab.names("endpoint"):
    if lab.alive(name):
      for key, count in (await stats(lab, name))["starts_by_key"].items():
        total[key] = total.get(key, 0) + count
  return total


def test_endpoint_killed_mid_job_gives_complete_accurate_codes(cluster):
  async def scenario():
    submitted_job = job("kill-endpoint", tasks=9, run_ms=2000)
    task = await curio.spawn(
        caller.submit, pool(cluster, "entry-1"), submitted_job
    )
    await curio.sleep(0.4)
    cluster.signal("endpoint-1", signal.SIGKILL)
    result = await task.join()
    return submitted_job, result, await starts(cluster)

  submitted_job, result, start_counts = curio.run(scenario)
  answer = result.answer
  assert answer is not None and len(answer.tasks) == len(submitted_job.tasks)
  assert answer.code == codes.Code.JOB_FAILED and answer.retry_after_s >= 1
  assert any(t.ran == codes.Ran.UNKNOWN for t in answer.tasks)
  for t in answer.tasks:
    key = f"{submitted_job.key}/{t.task_id}"
    assert start_counts.get(key, 0) <= 1
    if t.ran == codes.Ran.NOT_RUN:
      assert start_counts.get(key, 0) == 0


def test_killed_daemon_is_not_reported_alive(cluster):
  """Checks `alive` right after a kill.

  The connections of a killed daemon are closed before its process has ended.
  """
  cluster.signal("endpoint-1", signal.SIGKILL)
  assert not cluster.alive("endpoint-1")


def test_platform_down_entry_hosts_keep_serving(cluster):
  async def scenario():
    platform_control = control.PlatformControl(cluster.platform)
    await platform_control.set_fault("down")
    await curio.sleep(1.0)
    results = [
        await caller.submit(pool(cluster, n), job(f"down-{n}", run_ms=100))
        for n in cluster.names("entry")
    ]
    await platform_control.set_fault("none")
    await platform_control.close()
    return results

  for result in curio.run(scenario):
    assert result.answer is not None and result.answer.complete


def test_leaving_endpoint_gets_no_new_work_after_a_few_seconds(cluster):
  async def scenario():
    cluster.signal("endpoint-1", signal.SIGTERM)
    entry_pools = [pool(cluster, n) for n in cluster.names("entry")]
    for wave in range(8):
      batch = [job(f"leave-{wave}-{i}", tasks=4, run_ms=200) for i in range(4)]
      async with curio.TaskGroup() as group:
        for i, item in enumerate(batch):
          await group.spawn(caller.submit, entry_pools[i % 2], item)
    return await stats(cluster, "endpoint-1")

  endpoint_stats = curio.run(scenario)
  assert endpoint_stats["leaving_since"] is not None
  if endpoint_stats["starts_while_leaving"]:
    assert (
        endpoint_stats["last_start"] - endpoint_stats["leaving_since"]
        < LEAVING_BOUND_S
    )


def test_graceful_stop_finishes_all_jobs_in_flight(cluster):
  async def scenario():
    jobs = [job(f"drain-{i}", tasks=3, run_ms=1500) for i in range(6)]
    entry1_pool = pool(cluster, "entry-1")
    tasks = [await curio.spawn(caller.submit, entry1_pool, j) for j in jobs]
    await curio.sleep(0.3)
    cluster.signal("entry-1", signal.SIGTERM)
    results = [await t.join() for t in tasks]
    code = cluster.wait("entry-1")
    after = await caller.submit(
        pool(cluster, "entry-2"), job("after-drain", run_ms=100)
    )
    return results, code, after

  results, code, after = curio.run(scenario)
  assert code == 0
  assert all(r.answer is not None and r.answer.complete for r in results)
  assert after.answer is not None and after.answer.complete


def test_racing_operators_and_lost_reply_never_revert_settings(cluster):
  text = launcher.TEAM_SETTINGS["altamaha"]

  async def scenario():
    kv, platform_control = cluster.client(), control.PlatformControl(
        cluster.platform
    )
    current = await teamconfig.get(kv, "altamaha")
    first_revision = await teamconfig.put(
        kv, "altamaha", text.replace("15000", "9000"), current.revision
    )
    with pytest.raises(errors.KvConflictError):
      await teamconfig.put(
          kv, "altamaha", text.replace("15000", "8000"), current.revision
      )
    await platform_control.set_fault("lose_reply")
    lost_revision = await teamconfig.put(
        kv, "altamaha", text.replace("15000", "7000"), first_revision
    )
    await platform_control.set_fault("none")
    stored = await teamconfig.get(kv, "altamaha")
    await kv.close()
    await platform_control.close()
    revisions = []
    for _ in range(100):
      dumps = [
          (await cluster.get(n, "/dump")).json() for n in cluster.names("entry")
      ]
      revisions = [d["state"]["teams"]["altamaha"] for d in dumps]
      if all(r == lost_revision for r in revisions):
        break
      await curio.sleep(0.05)
    return stored, lost_revision, revisions

  stored, lost_revision, revisions = curio.run(scenario)
  assert "7000" in stored.text and stored.revision == lost_revision
  assert revisions == [lost_revision, lost_revision]


def test_resubmission_after_coordinator_kill_starts_no_task_twice(cluster):
  async def scenario():
    submitted_job = job(
        "kill-owner",
        tasks=6,
        run_ms=2000,
        kind="fuel_release",
        idempotent=False,
    )
    entry_pools = {n: pool(cluster, n) for n in cluster.names("entry")}
    first = await curio.spawn(
        caller.submit, entry_pools["entry-1"], submitted_job
    )
    await curio.sleep(0.3)
    coordinator = await find_coordinator(cluster)
    cluster.signal(coordinator, signal.SIGKILL)
    other = next(n for n in entry_pools if n != coordinator)
    await curio.sleep(4.0)  # The coordinator's lease (3 s) expires; keys move.
    resubmitted = await caller.submit(entry_pools[other], submitted_job)
    await first.cancel()
    return submitted_job, resubmitted, await starts(cluster)

  submitted_job, resubmitted, start_counts = curio.run(scenario)
  assert resubmitted.answer is not None and len(
      resubmitted.answer.tasks
  ) == len(submitted_job.tasks)
  assert all(
      start_counts.get(f"{submitted_job.key}/t{i}", 0) <= 1 for i in range(6)
  )


def fuel_release_job(key, run_ms=2000):
  return job(key, run_ms=run_ms, kind="fuel_release", idempotent=False)


def assert_each_started_at_most_once(submitted_job, start_counts):
  for t in submitted_job.tasks:
    assert start_counts.get(f"{submitted_job.key}/{t.task_id}", 0) <= 1


def test_coordinator_paused_past_its_lease_repeats_nothing(cluster):
  async def scenario():
    submitted_job = fuel_release_job("freeze")
    entry_pools = {n: pool(cluster, n) for n in cluster.names("entry")}
    first = await curio.spawn(
        caller.submit, entry_pools["entry-1"], submitted_job
    )
    await curio.sleep(0.3)
    cluster.signal("entry-1", signal.SIGSTOP)
    await curio.sleep(4.5)  # Its lease (3 s) expires.
    result_while_paused = await caller.submit(
        entry_pools["entry-2"], submitted_job
    )
    other = await caller.submit(
        entry_pools["entry-2"], job("other", run_ms=100)
    )
    cluster.signal("entry-1", signal.SIGCONT)
    late = await first.join()
    await cluster.wait_entry_ready("entry-1")
    resubmitted = await caller.submit(entry_pools["entry-1"], submitted_job)
    return (
        submitted_job,
        result_while_paused,
        other,
        late,
        resubmitted,
        await starts(cluster),
    )

  submitted_job, result_while_paused, other, late, resubmitted, start_counts = (
      curio.run(scenario)
  )
  assert_each_started_at_most_once(submitted_job, start_counts)
  assert all(
      t.ran == codes.Ran.UNKNOWN for t in result_while_paused.answer.tasks
  )
  assert other.answer.complete
  assert late.answer == resubmitted.answer and len(late.answer.tasks) == 6


def test_same_key_at_both_entry_hosts_at_once_starts_once(cluster):
  async def scenario():
    jobs = [fuel_release_job(f"both-{i}", run_ms=200) for i in range(10)]
    entry_pools = [pool(cluster, n) for n in cluster.names("entry")]
    tasks = [
        await curio.spawn(caller.submit, entry_pool, j)
        for j in jobs
        for entry_pool in entry_pools
    ]
    results = [await t.join() for t in tasks]
    return jobs, results, await starts(cluster)

  jobs, results, start_counts = curio.run(scenario)
  for i, submitted_job in enumerate(jobs):
    one, two = results[2 * i], results[2 * i + 1]
    assert one.answer.complete and one.answer == two.answer
    assert all(
        start_counts[f"{submitted_job.key}/{t.task_id}"] == 1
        for t in submitted_job.tasks
    )


def test_entry_host_killed_while_the_platform_is_down(cluster):
  async def scenario():
    platform_control = control.PlatformControl(cluster.platform)
    done = await caller.submit(
        pool(cluster, "entry-1"), fuel_release_job("o", 100)
    )
    await platform_control.set_fault("down")
    await curio.sleep(4.0)  # All leases expire by their holders' clocks.
    cluster.signal("entry-1", signal.SIGKILL)
    cluster.wait("entry-1")
    entry2_pool = pool(cluster, "entry-2")
    resubmitted = await caller.submit(entry2_pool, fuel_release_job("o", 100))
    new = await caller.submit(entry2_pool, job("outage-new", run_ms=100))
    await platform_control.set_fault("none")
    cluster.spawn("entry-1")
    await cluster.wait_entry_ready("entry-1")
    after = await caller.submit(
        pool(cluster, "entry-1"), fuel_release_job("o", 100)
    )
    await platform_control.close()
    return done, resubmitted, new, after, await starts(cluster)

  done, resubmitted, new, after, start_counts = curio.run(scenario)
  assert done.answer.complete and new.answer.complete
  assert resubmitted.answer == done.answer == after.answer
  assert_each_started_at_most_once(fuel_release_job("o", 100), start_counts)


def test_rolling_restart_of_entry_hosts_keeps_the_answers(cluster):
  async def scenario():
    jobs = [fuel_release_job(f"roll-{i}", run_ms=100) for i in range(8)]
    first = [
        await caller.submit(pool(cluster, f"entry-{i % 2 + 1}"), j)
        for i, j in enumerate(jobs)
    ]
    for name in cluster.names("entry"):
      cluster.signal(name, signal.SIGTERM)
      cluster.wait(name)
      cluster.spawn(name)
      await cluster.wait_entry_ready(name)
    resubmitted = [
        await caller.submit(pool(cluster, "entry-1"), j) for j in jobs
    ]
    return jobs, first, resubmitted, await starts(cluster)

  jobs, first, resubmitted, start_counts = curio.run(scenario)
  assert [r.answer for r in resubmitted] == [r.answer for r in first]
  for submitted_job in jobs:
    assert all(
        start_counts[f"{submitted_job.key}/{t.task_id}"] == 1
        for t in submitted_job.tasks
    )


@pytest.mark.parametrize("paused_s", [1.5, 4.5])
def test_caller_that_left_before_its_request_was_read_repeats_nothing(
    cluster, paused_s
):
  async def scenario():
    jobs = [fuel_release_job(f"left-{i}", run_ms=400) for i in range(10)]
    address = cluster.daemons["entry-1"].listen
    cluster.signal("entry-1", signal.SIGSTOP)
    for left_job in jobs:
      body = json.dumps(messages.job_to_json(left_job)).encode()
      head = (
          f"POST /v1/jobs HTTP/1.1\r\nhost: {address}\r\n"
          f"idempotency-key: {left_job.key}\r\n"
          f"content-length: {len(body)}\r\n\r\n"
      )
      sock = await curio.open_connection(address.host, address.port)
      await sock.sendall(head.encode() + body)
      await sock.close()
    await curio.sleep(RETURN_AFTER_S)
    entry2_pool = pool(cluster, "entry-2")
    returned = [await curio.spawn(caller.submit, entry2_pool, j) for j in jobs]
    await curio.sleep(paused_s - RETURN_AFTER_S)
    cluster.signal("entry-1", signal.SIGCONT)
    results = [await r.join() for r in returned]
    await cluster.wait_entry_ready("entry-1")
    await curio.sleep(1.0)
    return jobs, results, await starts(cluster)

  jobs, results, start_counts = curio.run(scenario)
  for left_job, result in zip(jobs, results, strict=True):
    assert_each_started_at_most_once(left_job, start_counts)
    if result.answer is not None and result.answer.complete:
      assert all(f"{left_job.key}/t{i}" in start_counts for i in range(6))
  assert start_counts


def test_burst_of_cancellations_is_not_lost(cluster):
  async def scenario():
    jobs = [fuel_release_job(f"wave-{i}", run_ms=4000) for i in range(30)]
    late = [fuel_release_job(f"late-{i}", run_ms=100) for i in range(10)]
    entry_pools = [pool(cluster, n) for n in cluster.names("entry")]
    running = [
        await curio.spawn(caller.submit, entry_pools[i % 2], j)
        for i, j in enumerate(jobs)
    ]
    # A cancellation that comes first is answered without the job's tasks.
    await wait_for_jobs(cluster, len(jobs))
    cancels = [
        await curio.spawn(
            caller.cancel, entry_pools[(i + 1) % 2], j.team, j.key
        )
        for i, j in enumerate(jobs + late)
    ]
    acks = [await c.join() for c in cancels]
    results = [await r.join() for r in running]
    before = await starts(cluster)
    cluster.signal("entry-1", signal.SIGKILL)
    resubmitted = [await caller.submit(entry_pools[1], j) for j in late]
    await curio.sleep(1.0)
    return acks, results, resubmitted, before, await starts(cluster)

  acks, results, resubmitted, before, after = curio.run(scenario)
  assert [a.error_code for a in acks if a.answer is None] == []
  assert all(not a.answer.complete for a in acks)
  assert [a.answer for a in acks[:30]] == [r.answer for r in results]
  assert all(r.answer.code == codes.Code.JOB_CANCELLED for r in resubmitted)
  assert before == after  # No task of a cancelled job starts later.
  for r in results:
    for t in r.answer.tasks:
      if t.ran == codes.Ran.NOT_RUN:
        assert f"{r.answer.key}/{t.task_id}" not in after
