"""The capacity bench: measured slopes for docs/CAPACITY.md.

It runs small data centres on loopback with endpoints that take no time
(``time_scale = 0``), so what is measured is the entry hosts' own cost, and
records three series:

* ``load``: 2 entry hosts at several job rates (10 tasks a job) and several
  job sizes: processor time and KV calls against jobs and tasks a second;
* ``idle``: 1, 2, 4 and 8 entry hosts with no load: each one's control cost
  (processor, memory, KV calls a second);
* ``settings``: 2 entry hosts under several rates of settings changes.

Each series is fitted with a least-squares line (`statistics`), and `report`
turns the saved JSON into the page's tables.
"""

import dataclasses
import json
import statistics
import tempfile
import time

import curio

from fescueturn import caller
from fescueturn import httpio
from fescueturn import kvclient
from fescueturn import launcher
from fescueturn import messages
from fescueturn import procstat
from fescueturn import teamconfig
from fescueturn import workload

STEP_S = 5.0
SETTLE_S = 1.0
JOB_RATES = (20, 40, 80)
JOB_SIZES = (5, 10, 20)
SIZE_RATE = 40
ENTRY_COUNTS = (1, 2, 4, 8)
CHANGE_RATES = (1, 4, 8)


@dataclasses.dataclass(frozen=True)
class Point:
  """One measured step: the load offered and what the entry hosts spent."""

  series: str
  entries: int
  jobs_per_s: float
  tasks_per_s: float
  changes_per_s: float
  cpu_per_entry: float
  rss_kb_per_entry: float
  kv_calls_per_s: float
  kv_bytes_per_s: float
  complete: int
  jobs: int
  spread_ms_max: float = 0.0


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


class _Meter:
  """Measures entry hosts' processor time and the platform's calls."""

  def __init__(self, lab: launcher.Launcher, kv: kvclient.KvClient):
    self._lab = lab
    self._kv = kv

  async def begin(self):
    self._t0 = time.monotonic()
    self._cpu0 = {
        n: procstat.sample(self._lab.pid(n)).cpu_s
        for n in self._lab.names("entry")
    }
    stats = await self._kv.stats()
    self._calls0 = stats["total"]
    self._bytes0 = stats["bytes_in"] + stats["bytes_out"]

  async def end(self) -> tuple[float, float, float, float]:
    """Returns CPU cores and RSS KB per entry host, KV calls/s and bytes/s."""
    elapsed = time.monotonic() - self._t0
    samples = {
        n: procstat.sample(self._lab.pid(n)) for n in self._lab.names("entry")
    }
    stats = await self._kv.stats()
    calls = stats["total"] - self._calls0
    traffic = stats["bytes_in"] + stats["bytes_out"] - self._bytes0
    cpu = statistics.mean(
        (samples[n].cpu_s - self._cpu0[n]) / elapsed for n in samples
    )
    rss = statistics.mean(s.rss_kb for s in samples.values())
    return cpu, rss, calls / elapsed, traffic / elapsed


async def _with_lab(entries: int, body):
  with tempfile.TemporaryDirectory(prefix="fescueturn-bench-") as workdir:
    lab = launcher.Launcher(
        workdir, entries=entries, endpoints=4, time_scale=0.0
    )
    try:
      await lab.start()
      kv = kvclient.KvClient(lab.platform)
      await curio.sleep(SETTLE_S)
      points = await body(lab, kv, _Meter(lab, kv))
      await kv.close()
      return points
    finally:
      lab.stop()


async def _load_series(lab, kv, meter) -> list[Point]:
  del kv
  pools = [httpio.Pool(lab.procs[n].listen) for n in lab.names("entry")]
  points = []
  steps = [(rate, 10) for rate in JOB_RATES] + [
      (SIZE_RATE, size) for size in JOB_SIZES if size != 10
  ]
  for number, (rate, size) in enumerate(steps):
    await meter.begin()
    jobs, complete = await _offer(pools, rate, size, f"load{number}")
    cpu, rss, calls, traffic = await meter.end()
    points.append(
        Point(
            "load",
            2,
            jobs / STEP_S,
            jobs * size / STEP_S,
            0.0,
            cpu,
            rss,
            calls,
            traffic,
            complete,
            jobs,
        )
    )
  return points


async def _idle_series(lab, kv, meter) -> list[Point]:
  del kv
  await meter.begin()
  await curio.sleep(STEP_S)
  cpu, rss, calls, traffic = await meter.end()
  entries = len(lab.names("entry"))
  return [Point("idle", entries, 0.0, 0.0, 0.0, cpu, rss, calls, traffic, 0, 0)]


async def _settings_series(lab, kv, meter) -> list[Point]:
  points = []
  for rate in CHANGE_RATES:
    await meter.begin()
    changes = await _change(kv, rate)
    cpu, rss, calls, traffic = await meter.end()
    spread = await _spread_ms(lab, kv)
    points.append(
        Point(
            "settings",
            2,
            0.0,
            0.0,
            changes / STEP_S,
            cpu,
            rss,
            calls,
            traffic,
            0,
            0,
            spread,
        )
    )
  return points


def fit(points: list[Point], x: str, y: str) -> dict:
  """Least-squares line of `y` against `x`; returns slope and intercept."""
  xs = [getattr(p, x) for p in points]
  ys = [getattr(p, y) for p in points]
  line = statistics.linear_regression(xs, ys)
  return {"x": x, "y": y, "slope": line.slope, "intercept": line.intercept}


async def _run() -> dict:
  points = await _with_lab(2, _load_series)
  for count in ENTRY_COUNTS:
    points += await _with_lab(count, _idle_series)
  points += await _with_lab(2, _settings_series)
  load = [p for p in points if p.series == "load"]
  by_rate = [p for p in load if p.tasks_per_s / max(p.jobs_per_s, 1) == 10]
  by_size = [p for p in load if p.jobs_per_s == SIZE_RATE]
  idle = [p for p in points if p.series == "idle"]
  changes = [p for p in points if p.series == "settings"]
  fits = {
      "cpu_per_job": fit(by_rate, "jobs_per_s", "cpu_per_entry"),
      "cpu_per_task": fit(by_size, "tasks_per_s", "cpu_per_entry"),
      "kv_per_entry": fit(idle, "entries", "kv_calls_per_s"),
      "idle_cpu_per_entry": fit(idle, "entries", "cpu_per_entry"),
      "kv_per_change": fit(changes, "changes_per_s", "kv_calls_per_s"),
      "cpu_per_change": fit(changes, "changes_per_s", "cpu_per_entry"),
      "kv_per_job": fit(by_rate, "jobs_per_s", "kv_calls_per_s"),
      "kv_bytes_per_entry": fit(idle, "entries", "kv_bytes_per_s"),
      "kv_bytes_per_change": fit(changes, "changes_per_s", "kv_bytes_per_s"),
  }
  return {"points": [dataclasses.asdict(p) for p in points], "fits": fits}


def run(out_path: str) -> dict:
  """Runs every series and writes the points and fits to `out_path`."""
  result = curio.run(_run)
  with open(out_path, "w", encoding="utf-8") as file:
    json.dump(result, file, indent=2)
  return result


def report(result: dict) -> str:
  """Returns the measured points and fitted slopes as Markdown tables."""
  lines = [
      "| series | entry hosts | jobs/s | tasks/s | changes/s | CPU per entry host (cores) | RSS per entry host (MB) | KV calls/s | KV KB/s | complete/jobs | settings in force everywhere (ms) |",
      "|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|",
  ]
  for p in result["points"]:
    lines.append(
        f"| {p['series']} | {p['entries']} | {p['jobs_per_s']:.0f} | {p['tasks_per_s']:.0f} | {p['changes_per_s']:.1f} | "
        f"{p['cpu_per_entry']:.4f} | {p['rss_kb_per_entry'] / 1024:.1f} | {p['kv_calls_per_s']:.1f} | {p['kv_bytes_per_s'] / 1024:.2f} | "
        f"{p['complete']}/{p['jobs']} | {p['spread_ms_max']:.0f} |"
    )
  lines += [
      "",
      "| slope | of | against | slope | intercept |",
      "|---|---|---|---:|---:|",
  ]
  for name, f in result["fits"].items():
    lines.append(
        f"| {name} | {f['y']} | {f['x']} | {f['slope']:.6f} | {f['intercept']:.4f} |"
    )
  return "\n".join(lines)
