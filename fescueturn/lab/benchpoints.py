"""What the capacity bench measures: points, fitted slopes, tables."""

import dataclasses
import statistics

KB = 1024


@dataclasses.dataclass(frozen=True)
class Load:
  """What a step offers: per second, to the whole data centre."""

  jobs_per_s: float = 0.0
  tasks_per_s: float = 0.0
  changes_per_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Cost:
  """What a step cost: means over the entry hosts, and the platform's calls.

  Attributes:
    cpu_per_entry: processor cores in use.
    rss_kb_per_entry: resident memory.
    peer_bytes_per_entry: bytes a second from and to peers.
    kv_calls_per_s: calls that the platform counted.
    kv_bytes_per_s: bytes from and to the platform.
  """

  cpu_per_entry: float
  rss_kb_per_entry: float
  peer_bytes_per_entry: float
  kv_calls_per_s: float
  kv_bytes_per_s: float


@dataclasses.dataclass(frozen=True)
class Point:
  """One measured step of a series."""

  series: str
  entries: int
  load: Load
  cost: Cost
  complete: int = 0
  jobs: int = 0
  kept_claims: int = 0
  sync_bytes: int = 0
  ms: float = 0.0

  def value(self, name: str) -> float:
    """Returns the figure called `name`, here or in the load or cost."""
    for part in (self, self.load, self.cost):
      if hasattr(part, name):
        return getattr(part, name)
    raise AttributeError(name)


def fit(points: list[Point], x: str, y: str) -> dict:
  """Least-squares line of `y` against `x`; returns slope and intercept."""
  line = statistics.linear_regression(
      [p.value(x) for p in points], [p.value(y) for p in points]
  )
  return {"x": x, "y": y, "slope": line.slope, "intercept": line.intercept}


def fits(points: list[Point], size_rate: float) -> dict:
  """Returns every fitted slope; `size_rate` is the job sizes' jobs a second."""

  def of(series: str) -> list[Point]:
    return [p for p in points if p.series == series]

  load = of("load")
  by_rate = [p for p in load if p.load.tasks_per_s == 10 * p.load.jobs_per_s]
  by_size = [p for p in load if p.load.jobs_per_s == size_rate]
  chosen = {
      "cpu_per_job": (by_rate, "jobs_per_s", "cpu_per_entry"),
      "cpu_per_task": (by_size, "tasks_per_s", "cpu_per_entry"),
      "peer_bytes_per_job": (by_rate, "jobs_per_s", "peer_bytes_per_entry"),
      "peer_bytes_per_task": (by_size, "tasks_per_s", "peer_bytes_per_entry"),
      "kv_per_job": (by_rate, "jobs_per_s", "kv_calls_per_s"),
      "kv_per_entry": (of("idle"), "entries", "kv_calls_per_s"),
      "kv_bytes_per_entry": (of("idle"), "entries", "kv_bytes_per_s"),
      "idle_cpu": (of("idle"), "entries", "cpu_per_entry"),
      "kv_per_change": (of("settings"), "changes_per_s", "kv_calls_per_s"),
      "kv_bytes_per_change": (
          of("settings"),
          "changes_per_s",
          "kv_bytes_per_s",
      ),
      "cpu_per_change": (of("settings"), "changes_per_s", "cpu_per_entry"),
      "outage_cpu": (of("outage"), "entries", "cpu_per_entry"),
      "outage_peer_bytes": (of("outage"), "entries", "peer_bytes_per_entry"),
      "sync_bytes_per_claim": (of("restart"), "kept_claims", "sync_bytes"),
      "ready_ms_per_claim": (of("restart"), "kept_claims", "ms"),
  }
  return {name: fit(*args) for name, args in chosen.items()}


def report(result: dict) -> str:
  """Returns the measured points and fitted slopes as Markdown tables."""
  lines = [
      "| series | entry hosts | jobs/s | tasks/s | changes/s | cores | RSS MB |"
      " peer KB/s | KV calls/s | KV KB/s | complete/jobs | claims kept |"
      " sync KB | ms |",
      "|---|" + "---:|" * 13,
  ]
  for p in result["points"]:
    load, cost = p["load"], p["cost"]
    lines.append(
        f"| {p['series']} | {p['entries']} | {load['jobs_per_s']:.0f} |"
        f" {load['tasks_per_s']:.0f} | {load['changes_per_s']:.1f} |"
        f" {cost['cpu_per_entry']:.4f} | {cost['rss_kb_per_entry'] / KB:.1f} |"
        f" {cost['peer_bytes_per_entry'] / KB:.2f} |"
        f" {cost['kv_calls_per_s']:.1f} | {cost['kv_bytes_per_s'] / KB:.2f} |"
        f" {p['complete']}/{p['jobs']} | {p['kept_claims']} |"
        f" {p['sync_bytes'] / KB:.1f} | {p['ms']:.0f} |"
    )
  lines += [
      "",
      "| slope | of | against | slope | intercept |",
      "|---|---|---|---:|---:|",
  ]
  for name, f in result["fits"].items():
    lines.append(
        f"| {name} | {f['y']} | {f['x']} | {f['slope']:.6f} |"
        f" {f['intercept']:.4f} |"
    )
  return "\n".join(lines)
