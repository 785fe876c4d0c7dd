"""The capacity bench: measured slopes for docs/CAPACITY.md.

It runs small data centres on loopback with endpoints that take no time
(``time_scale = 0``), so what is measured is the entry hosts' own cost, and
records these series:

* ``load``: 2 entry hosts at several job rates (10 tasks a job) and several
  job sizes: processor time, messages and KV calls against jobs and tasks;
* ``idle``: 1, 2, 4 and 8 entry hosts with no load: each one's control cost;
* ``settings``: 2 entry hosts under several rates of settings changes;
* ``outage``: 2, 4 and 8 entry hosts with no load and no platform: what the
  promises that stand in for leases cost;
* ``restart``: an entry host killed and started again while its peer keeps
  more and more claims: the size of a sync, and the time to be ready.

`fescueturn.benchpoints` fits each series and prints the page's tables.
"""

import dataclasses
import json
import signal
import tempfile
import time

import curio

from fescueturn import httpio
from fescueturn import messages
from fescueturn import teamconfig
from fescueturn.lab import benchpoints
from fescueturn.lab import caller
from fescueturn.lab import launcher
from fescueturn.lab import procstat
from fescueturn.lab import workload
from fescueturn.standins import control

STEP_S = 5.0
SETTLE_S = 1.0
JOB_RATES = (20, 40, 80)
JOB_SIZES = (5, 10, 20)
SIZE_RATE = 40
ENTRY_COUNTS = (1, 2, 4, 8)
CHANGE_RATES = (1, 4, 8)
OUTAGE_COUNTS = (2, 4, 8)
OUTAGE_S = 8.0
# Long enough for every lease to lapse and the promises to begin.
OUTAGE_SETTLE_S = 6.0
RESTART_JOBS = (100, 400, 800)
# Long enough for the killed host's lease to lapse.
RESTART_SETTLE_S = 4.0


def _job(team: str, key: str, tasks: int) -> messages.Job:
  items = tuple(
      messages.Task(f"t{i}", "quote_check", f"n={i}", 1) for i in range(tasks)
  )
  draft = messages.Job(team, key, key, items, "")
  return messages.Job(
      team, key, key, items, messages.fingerprint(messages.job_to_json(draft))
  )


async def _offer(
    entries, rate: float, tasks: int, prefix: str
) -> tuple[int, int]:
  """Sends jobs at `rate` a second for STEP_S; returns (jobs, complete)."""
  count = int(rate * STEP_S)
  done = []

  async def one(index: int):
    job = _job(workload.CONSORTIUM, f"{prefix}-{index}", tasks)
    try:
      result = await caller.submit(entries[index % len(entries)], job)
      done.append(result.answer is not None and result.answer.complete)
    except (httpio.NotSentError, httpio.LostReplyError):
      done.append(False)

  start = time.monotonic()
  async with curio.TaskGroup() as group:
    for index in range(count):
      await curio.sleep(max(0.0, start + index / rate - time.monotonic()))
      await group.spawn(one, index)
  return count, sum(done)


async def _change(kv, rate: float) -> int:
  """Rewrites a team's settings `rate` times a second for STEP_S."""
  count = int(rate * STEP_S)
  start = time.monotonic()
  text = launcher.TEAM_SETTINGS[workload.ALTAMAHA]
  for index in range(count):
    await curio.sleep(max(0.0, start + index / rate - time.monotonic()))
    current = await teamconfig.get(kv, workload.ALTAMAHA)
    await teamconfig.put(
        kv,
        workload.ALTAMAHA,
        text.replace("15000", str(15000 + index)),
        current.revision,
    )
  return count


SPREAD_POLL_S = 0.005
SPREAD_LIMIT_S = 10.0


async def _spread_ms(lab, kv) -> float:
  """Writes one change; returns ms until every entry host holds it."""
  current = await teamconfig.get(kv, workload.ALTAMAHA)
  text = launcher.TEAM_SETTINGS[workload.ALTAMAHA].replace("15000", "14999")
  start = time.monotonic()
  revision = await teamconfig.put(kv, workload.ALTAMAHA, text, current.revision)
  while time.monotonic() - start < SPREAD_LIMIT_S:
    held = [
        (await lab.get(n, "/dump"))
        .json()["state"]["teams"]
        .get(workload.ALTAMAHA)
        for n in lab.names("entry")
    ]
    if all(r == revision for r in held):
      return (time.monotonic() - start) * 1000
    await curio.sleep(SPREAD_POLL_S)
  return SPREAD_LIMIT_S * 1000


async def _peer_bytes(lab, name: str) -> int:
  shell = (await lab.get(name, "/dump")).json()["shell"]
  return shell["peer_bytes_in"] + shell["peer_bytes_out"]


class _Meter:
  """Measures the entry hosts' cost and the platform's calls of one step."""

  def __init__(self, lab: launcher.Launcher, kv: control.PlatformControl):
    self._lab = lab
    self._kv = kv

  async def _totals(self):
    names = self._lab.names("entry")
    samples = [procstat.sample(self._lab.pid(n)) for n in names]
    peers = [await _peer_bytes(self._lab, n) for n in names]
    stats = await self._kv.stats()
    return (
        sum(s.cpu_s for s in samples) / len(names),
        sum(s.rss_kb for s in samples) / len(names),
        sum(peers) / len(names),
        stats["total"],
        stats["bytes_in"] + stats["bytes_out"],
    )

  async def begin(self):
    """Starts a step."""
    self._before = await self._totals()
    self._t0 = time.monotonic()

  async def end(self) -> benchpoints.Cost:
    """Ends the step; returns what it cost a second."""
    elapsed = time.monotonic() - self._t0
    after = await self._totals()
    cpu, _, peers, calls, traffic = (
        (now - then) / elapsed
        for now, then in zip(after, self._before, strict=True)
    )
    return benchpoints.Cost(cpu, after[1], peers, calls, traffic)


async def _with_lab(entries: int, body):
  with tempfile.TemporaryDirectory(prefix="fescueturn-bench-") as workdir:
    lab = launcher.Launcher(
        workdir, entries=entries, endpoints=4, time_scale=0.0
    )
    try:
      await lab.start()
      kv = control.PlatformControl(lab.platform)
      await curio.sleep(SETTLE_S)
      points = await body(lab, kv, _Meter(lab, kv))
      await kv.close()
      return points
    finally:
      lab.stop()


async def _load_series(lab, kv, meter) -> list[benchpoints.Point]:
  del kv
  pools = [httpio.Pool(lab.procs[n].listen) for n in lab.names("entry")]
  points = []
  steps = [(rate, 10) for rate in JOB_RATES] + [
      (SIZE_RATE, size) for size in JOB_SIZES if size != 10
  ]
  for number, (rate, size) in enumerate(steps):
    await meter.begin()
    jobs, complete = await _offer(pools, rate, size, f"load{number}")
    cost = await meter.end()
    load = benchpoints.Load(jobs / STEP_S, jobs * size / STEP_S)
    points.append(benchpoints.Point("load", 2, load, cost, complete, jobs))
  return points


async def _idle_series(lab, kv, meter) -> list[benchpoints.Point]:
  del kv
  await meter.begin()
  await curio.sleep(STEP_S)
  entries = len(lab.names("entry"))
  return [
      benchpoints.Point("idle", entries, benchpoints.Load(), await meter.end())
  ]


async def _outage_series(lab, kv, meter) -> list[benchpoints.Point]:
  await kv.fault("down")
  await curio.sleep(OUTAGE_SETTLE_S)
  await meter.begin()
  await curio.sleep(OUTAGE_S)
  entries = len(lab.names("entry"))
  return [
      benchpoints.Point(
          "outage", entries, benchpoints.Load(), await meter.end()
      )
  ]


async def _settings_series(lab, kv, meter) -> list[benchpoints.Point]:
  del kv
  points = []
  client = lab.client()
  for rate in CHANGE_RATES:
    await meter.begin()
    changes = await _change(client, rate)
    cost = await meter.end()
    await curio.sleep(SETTLE_S)
    spread = await _spread_ms(lab, client)
    load = benchpoints.Load(changes_per_s=changes / STEP_S)
    points.append(benchpoints.Point("settings", 2, load, cost, ms=spread))
  await client.close()
  return points


async def _restart_series(lab, kv, meter) -> list[benchpoints.Point]:
  del kv
  pools = [httpio.Pool(lab.procs["entry-1"].listen)]
  points = []
  for number, jobs in enumerate(RESTART_JOBS):
    rate = jobs / STEP_S
    await _offer(pools, rate, 1, f"restart{number}")
    lab.signal("entry-2", signal.SIGKILL)
    lab.wait("entry-2")
    await curio.sleep(RESTART_SETTLE_S)
    dump = (await lab.get("entry-1", "/dump")).json()["state"]
    before = await _peer_bytes(lab, "entry-1")
    started = time.monotonic()
    lab.spawn("entry-2")
    await lab.wait_entry_ready("entry-2")
    ready_ms = (time.monotonic() - started) * 1000
    size = await _peer_bytes(lab, "entry-1") - before
    kept = dump["claims_held"]
    await meter.begin()
    await curio.sleep(SETTLE_S)
    cost = await meter.end()
    points.append(
        benchpoints.Point(
            "restart",
            2,
            benchpoints.Load(),
            cost,
            kept_claims=kept,
            sync_bytes=size,
            ms=ready_ms,
        )
    )
  return points


async def _run() -> dict:
  points = await _with_lab(2, _load_series)
  for count in ENTRY_COUNTS:
    points += await _with_lab(count, _idle_series)
  points += await _with_lab(2, _settings_series)
  for count in OUTAGE_COUNTS:
    points += await _with_lab(count, _outage_series)
  points += await _with_lab(2, _restart_series)
  return {
      "points": [dataclasses.asdict(p) for p in points],
      "fits": benchpoints.fits(points, SIZE_RATE),
  }


def run(out_path: str) -> dict:
  """Runs every series and writes the points and fits to `out_path`."""
  result = curio.run(_run)
  with open(out_path, "w", encoding="utf-8") as file:
    json.dump(result, file, indent=2)
  return result
