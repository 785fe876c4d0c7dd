"""Short seeded soaks of the real programs, and tests of the soak's proxy."""

import collections
import dataclasses
import pathlib
import random
import subprocess
import sys
import time
import types

import curio
import pytest

from fescueturn import httpio
from fescueturn import listener
from fescueturn.lab import ports
from tests import deployments
from tests.soak import __main__ as soak
from tests.soak import callers
from tests.soak import checks
from tests.soak import cluster
from tests.soak import faults
from tests.soak import injector as injector_lib
from tests.soak import proxy
from tests.soak import run as run_lib


@pytest.mark.parametrize(
    "plan",
    (
        run_lib.Plan(1, 8.0, lossy_only=True),
        run_lib.Plan(2, 10.0),
        run_lib.Plan(3, 10.0, partitions=True),
        run_lib.Plan(7, 8.0, pauses=True),
        run_lib.Plan(9, 4.0, pauses=True, leaving=True),
        run_lib.Plan(12, 8.0, leaving=True, silent=True),
        run_lib.Plan(14, 10.0, leaving=True, centres=True),
    ),
)
def test_promises_hold_while_faults_are_injected(plan, tmp_path):
  verdict = curio.run(run_lib.run, plan, tmp_path, print)
  print(soak.format_verdict(plan, verdict))
  assert verdict.violations == []
  assert verdict.tested[checks.WHOLE]
  assert sum(count > 0 for count in verdict.tested.values()) >= 6


def test_short_seeds_bring_hard_load():
  kinds = {fault.kind for fault in faults.schedule(2, 10.0, False)}
  assert kinds >= {"burst", "leave", "restart"}
  assert any(kind.startswith("stops_") for kind in kinds)
  assert "burst" in {f.kind for f in faults.schedule(1, 8.0, True)}


def test_short_seed_of_pauses_overlaps_them_beside_an_overload():
  schedule = faults.schedule(7, 8.0, False, pauses=True)
  pauses = [fault for fault in schedule if fault.kind == "pause"]
  burst = next(fault for fault in schedule if fault.kind == "burst")
  full = faults.FULL_JOBS_PER_S * burst.for_s
  assert 1.5 * full - 1 <= burst.amount <= 2 * full
  assert any(
      0 <= second.at - first.at < first.for_s and second.hosts != first.hosts
      for first in pauses
      for second in pauses
  )
  assert {fault.kind for fault in schedule} & {"kill", "terminate", "reload"}


def test_larger_fleet_has_faults_of_all_its_hosts():
  site = cluster.Site(3)
  schedule = faults.schedule(1, 20.0, False, pauses=True, size=3)
  assert {host for f in schedule for host in f.hosts} == set(site.hosts)
  burst = next(fault for fault in schedule if fault.kind == "burst")
  full = site.size * faults.FULL_JOBS_PER_S * burst.for_s
  assert 1.5 * full - 3 <= burst.amount * site.run_factor <= 2 * full
  near = [slot for slot in site.slots if site.are_near(5, slot)]
  assert near == [slot for slot in site.slots if not site.are_near(6, slot)]


def test_silent_connections_and_upgrades_leave_a_seed_its_other_faults():
  plain = faults.schedule(1, 40.0, False)
  more = faults.schedule(1, 40.0, False, silent=True, upgrade=True)
  assert [fault for fault in more if fault in plain] == plain
  added = {fault.kind for fault in more if fault not in plain}
  assert added == {"mute", "peers_mute", "store_mute", faults.UPGRADE}


def test_upgraded_host_runs_the_next_checkout():
  started = []
  process = types.SimpleNamespace(poll=lambda: 0)
  files = types.SimpleNamespace(
      name="h", process=process, start=lambda: started.append(files.root)
  )
  host = cluster.Host(files, "", (("old",), ("new",)))
  host.start()
  host.upgrade()
  host.start()
  assert started == ["old", "new"] == [life.checkout for life in host.lives]


def test_start_between_a_refusal_and_the_next_try_breaks_it():
  answers = [(429, {}), (200, {"state": "succeeded"})]

  class Answered(callers.Caller):

    async def _request(self, *args):
      return answers.pop(0)

  host = types.SimpleNamespace(life=types.SimpleNamespace(terminated_at=None))
  job = callers.Job("0" * 16, False, 1, False, False)
  record = callers.Record({job.id: job})
  caller = Answered(types.SimpleNamespace(hosts=[host]), record, 1, 0)

  async def send_twice() -> float:
    job.statuses.append(await caller._submit(job, b"", 1000, 1.0))
    await curio.sleep(0.01)
    started_at = time.monotonic()
    await curio.sleep(0.01)
    job.statuses.append(await caller._submit(job, b"", 1000, 1.0))
    return started_at

  row = (curio.run(send_twice), f"{job.id}.0.0.0", 1, "i-0-1", False)
  history = {"violations": [], "acknowledged": [], "tokens": 0, "starts": [row]}
  verdict = checks.judge(
      history, record, injector_lib.Injector(None), [], False
  )
  assert verdict.violations == [
      f"job {job.id} refused ([429, 200]) but started"
  ]


def test_caller_that_leaves_comes_back_until_its_last_try(monkeypatch):
  monkeypatch.setattr(callers, "RESEND_S", 0.01)
  monkeypatch.setattr(callers, "_LEAVES_AFTER_S", (0.01, 0.02))
  address = ports.free_address()
  files = types.SimpleNamespace(callers_port=address.port)
  life = types.SimpleNamespace(terminated_at=None, disturbed=False)
  hosts = [
      types.SimpleNamespace(name=name, ip=address.host, files=files, life=life)
      for name in ("a", "b")
  ]
  record, ids, closed = callers.Record(), [], []
  caller = callers.Caller(
      types.SimpleNamespace(hosts=hosts), record, 1, 0, leaving=True
  )

  async def serve(client, _):
    data = b""
    while b"}" not in data:
      data += await client.recv(65536)
    ids.append(data.split()[1])
    try:
      closed.append(await client.recv(65536))
    except ConnectionResetError:
      closed.append("reset")

  async def main():
    server = await curio.spawn(
        curio.tcp_server, address.host, address.port, serve
    )
    await curio.sleep(0.05)
    for _ in range(10):
      await caller._run_job()
    await server.cancel()

  # Nothing is answered here, so each job's caller must leave.
  monkeypatch.setattr(callers, "_MANY_LEAVING_SHARE", 1.0)
  curio.run(main)
  tries = callers.MAX_TRIES
  assert len(record.jobs) == 10 and record.violations == []
  for job in record.jobs.values():
    assert job.statuses == [callers.LEFT] * tries
    assert not job.refused
  counts = collections.Counter(ids)
  assert set(counts.values()) == {tries}
  assert {b"", "reset", callers._NEXT_REQUEST} <= set(closed)


def test_job_is_not_refused_if_its_caller_left_a_try():
  left, refused = callers.LEFT, callers.REFUSED[0]
  job = callers.Job("0" * 16, False, 1, False, True, [left, refused])
  job.tried = True
  assert not job.refused
  job.statuses = [refused, refused]
  assert job.refused


def test_busy_processes_end_with_the_soak():
  with soak._busy_processes(2) as processes:
    assert [process.poll() for process in processes] == [None, None]
  assert all(process.poll() is not None for process in processes)


def test_busy_processes_end_with_a_soak_that_is_killed():
  code = (
      "import os, signal, sys\n"
      "from tests.soak import __main__ as soak\n"
      "with soak._busy_processes(1) as processes:\n"
      "  print(processes[0].pid, flush=True)\n"
      "  os.kill(os.getpid(), signal.SIGKILL)\n"
  )
  command = [sys.executable, "-c", code]
  done = subprocess.run(
      command, cwd=deployments.ROOT, stdout=subprocess.PIPE, check=False
  )
  process = pathlib.Path(f"/proc/{int(done.stdout)}")
  while process.exists():
    time.sleep(0.05)


def test_kept_seeds_can_be_read():
  assert len(soak.read_regressions()) > 0


def test_kept_seed_may_have_several_modes(monkeypatch, tmp_path):
  lines = tmp_path / "regressions.txt"
  lines.write_text(
      "5 16 pauses-leaving why\n6 20 all why\n7 9 lossy-silent why\n"
  )
  monkeypatch.setattr(soak, "REGRESSIONS", lines)
  both, every, silent = soak.read_regressions()
  assert both == run_lib.Plan(5, 16.0, pauses=True, leaving=True)
  assert every == run_lib.Plan(6, 20.0)
  assert silent == run_lib.Plan(7, 9.0, lossy_only=True, silent=True)


def run_with_proxy(scenario):
  """Runs a scenario with a path, its server's requests, and a client.

  The client returns a status; None if it is unknown, 0 if nothing was sent.
  """
  target, address = ports.free_address(), ports.free_address()
  path = proxy.Path(("a", "b"), address, target, random.Random(1))
  pool = httpio.Pool(address, connect_s=1.0)
  requests = []

  async def handle(request):
    requests.append(request.target)
    return httpio.json_response(200, {})

  async def get(name, timeout_s=5.0) -> int | None:
    try:
      return (await pool.request("GET", name, timeout_s=timeout_s)).status
    except httpio.NotSentError:
      return 0
    except httpio.LostReplyError:
      return None

  async def main():
    server = httpio.Server(target, handle)
    await server.start()
    await path.start()
    await scenario(path, requests, get)
    await path.close()
    await server.close()

  curio.run(main)


def test_request_arrives_after_its_caller_gave_up():
  async def scenario(path, requests, get):
    assert await get("1") == 200
    await path.set_fault("late", proxy.Fault(delay_up_s=1.0))
    assert await get("2", timeout_s=0.1) is None
    assert requests == ["1"]
    await path.set_fault("hang", proxy.Fault(hang_share=1.0))
    assert await get("3") == 0
    await curio.sleep(1.0)
    assert requests == ["1", "2"]
    await path.set_fault("hang", None)
    assert await get("4") == 200

  run_with_proxy(scenario)


def test_refusal_lets_open_connections_go_on():
  async def scenario(path, requests, get):
    assert await get("1") == 200
    await path.set_fault("refuse", proxy.Fault(refuse=True))
    assert await get("2") == 200
    await path.reset()
    await curio.sleep(0.5)
    assert await get("3") == 0
    assert requests == ["1", "2"]

  run_with_proxy(scenario)


def test_silent_connection_is_given_up_by_its_user_while_new_ones_work():
  async def scenario(path, requests, get):
    assert await get("1") == 200
    path.silence(1.0)
    await path.reset()
    began = time.monotonic()
    assert await get("2", timeout_s=0.5) is None
    assert time.monotonic() - began >= 0.5
    assert await get("3") == 200
    assert requests == ["1", "3"]

  run_with_proxy(scenario)


def test_silent_connection_is_found_by_the_keep_alive_of_its_user():
  async def scenario(path, requests, get):
    sock = await curio.open_connection(*dataclasses.astuple(path._address))
    listener.enable_dead_peer_detection(sock)
    while not path._connections:
      await curio.sleep(0.01)
    await curio.sleep(0.1)
    path.silence(1.0)
    with pytest.raises(TimeoutError):
      await sock.recv(1)
    await sock.close()

  run_with_proxy(scenario)


def test_texts_are_replaced_on_the_way():
  async def scenario(path, requests, get):
    path.texts = (b"/here", b"/away")
    assert await get("/here/1") == 200
    assert requests == ["/away/1"]

  run_with_proxy(scenario)


def test_one_way_cut_loses_the_answer_and_ends_the_connection():
  async def scenario(path, requests, get):
    await path.set_fault("cut", proxy.Fault(hold_down=True))
    began = time.monotonic()
    assert await get("1") is None
    assert requests == ["1"]
    assert time.monotonic() - began >= proxy.MAX_HOLD_S

  run_with_proxy(scenario)


def test_checks_find_each_broken_promise(tmp_path):
  log = tmp_path / "host.log"
  version = "event=config_in_force version="
  taken = "event=shard_taken data_centre=south fence=7\n"
  log.write_text(
      f"{taken}event=started \n{taken}{version}2\n{version}1\nTraceback"
  )
  process = types.SimpleNamespace(poll=lambda: 1, returncode=1)
  host = cluster.Host(types.SimpleNamespace(name="h", log_file=log), "")
  host.lives.append(cluster.Life(0, process, 0.0))
  ids = [f"{number:016x}" for number in range(4)]
  jobs = [callers.Job(job_id, True, 1, False, False) for job_id in ids]
  jobs[0].statuses, jobs[0].tried = [429, 503], True
  jobs[3].statuses, jobs[3].refused_until = [429, 200], 9.5
  jobs[1].state = "succeeded"
  jobs[2].state, jobs[2].accepted = "running", True
  record = callers.Record(dict(zip(ids, jobs, strict=True)), ["cut off"])
  injector = injector_lib.Injector(None)
  injector.drains.append((0, "i-0-1", 1.0))
  history = {"violations": ["two runs"], "acknowledged": [], "tokens": 0}
  history["starts"] = [
      (9.0, f"{job_id}.0.0.0", 1, "i-0-1", True) for job_id in ids[::3]
  ]
  verdict = checks.judge(history, record, injector, [host], False)
  found = "\n".join(verdict.violations)
  assert found.count("but started") == 2
  for words in ("two runs", "cut off", "refused", "succeeded", "not ended"):
    assert words in found
  for words in (
      "drains since",
      "one token",
      "configurations [2, 1]",
      "Traceback",
      "exited",
  ):
    assert words in found
