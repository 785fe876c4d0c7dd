"""Metrics of a host, exported in Prometheus' text format.

Counters and gauges are read from the scheduler's state on each scrape.
Latencies are observed as they occur, and also sent to statsd if a collector is
configured. `docs/OPERATIONS.md` lists all metrics.
"""

from collections.abc import Callable
from collections.abc import Iterator

import prometheus_client
import statsd
from prometheus_client import core
from prometheus_client import registry as registry_lib

from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import state as state_lib

# Range: from half the shortest task's run time to a caller's longest wait.
JOB_BUCKETS_S = (0.03, 0.06, 0.12, 0.25, 0.5, 1.0, 2.0, 4.0)
# Range: from a round trip within a data centre to the longest timeout.
CALL_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.3, 1.0, 3.0)

# Called with a call's dependency, its result and its duration (s).
CallObserver = Callable[[str, str, float], None]


class HostMetrics(registry_lib.Collector):
  """A host's metrics; `render` returns them as text."""

  def __init__(
      self,
      state: state_lib.HostState,
      stats: statsd.StatsClient | None = None,
  ):
    self._state = state
    # Receives the durations of jobs and calls; None if there is no collector.
    self._stats = stats
    self._registry = prometheus_client.CollectorRegistry()
    self._registry.register(self)
    self._jobs = prometheus_client.Histogram(
        "fescueturn_job_seconds",
        "From a job's arrival to its answer.",
        ("queue", "outcome"),
        registry=self._registry,
        buckets=JOB_BUCKETS_S,
    )
    self._calls = prometheus_client.Histogram(
        "fescueturn_call_seconds",
        "Calls to what the host depends on, the wait asked for left out.",
        ("dependency", "result"),
        registry=self._registry,
        buckets=CALL_BUCKETS_S,
    )
    self._config = prometheus_client.Gauge(
        "fescueturn_config_version",
        "Version of the configuration in force.",
        registry=self._registry,
    )
    self._config_unheard = prometheus_client.Gauge(
        "fescueturn_config_unheard_seconds",
        "Since the store last told whether the configuration has changed.",
        registry=self._registry,
    )

  def observe_job(self, queue: str, outcome: str, took_s: float):
    """Records the outcome and duration of a job, at its response."""
    self._jobs.labels(queue, outcome).observe(took_s)
    if self._stats is not None:
      self._stats.timing(f"job_ms.{outcome}", took_s * 1000)

  def observe_call(self, dependency: str, result: str, took_s: float):
    """Records the result and duration of a call, completed or timed out."""
    self._calls.labels(dependency, result).observe(took_s)
    if self._stats is not None:
      self._stats.timing(f"call_ms.{dependency}.{result}", took_s * 1000)

  def set_config_version(self, version: int):
    """Records the version of the active configuration."""
    self._config.set(version)

  def set_config_age(self, seconds: Callable[[], float]):
    """Sets the source of the configuration's age.

    Args:
      seconds: returns the time since the store last confirmed the
        configuration.
    """
    self._config_unheard.set_function(seconds)

  def render(self) -> bytes:
    """Returns all metrics in Prometheus' text format."""
    return prometheus_client.generate_latest(self._registry)

  def describe(self) -> list:
    """Returns no metrics, since those of `collect` are not known in advance."""
    return []

  def collect(self) -> Iterator[core.Metric]:
    """Yields the counters and gauges read from the scheduler's state."""
    state = self._state
    yield _counters("coordinator", state.coordinator.counters)
    for owner in state.owners.values():
      yield _counters("owner", owner.counters)
    yield _gauge(
        "jobs_coordinated",
        "Jobs whose callers wait here.",
        len(state.coordinator.jobs),
    )
    yield _gauge(
        "jobs_owned",
        "Jobs taken by this host's shards.",
        sum(len(o.jobs) for o in state.owners.values()),
    )
    yield _gauge(
        "tasks_waiting",
        "Tasks that wait for room.",
        sum(
            len(j.waiting)
            for o in state.owners.values()
            for j in o.jobs.values()
        ),
    )
    yield _endpoint_gauge(state)
    yield from _run_time_gauges(state)
    yield from _speed_gauges(state)
    yield _gauge(
        "shards_owned", "Shards that this host holds.", len(state.owners)
    )


def _counters(part: str, counts) -> core.Metric:
  family = core.CounterMetricFamily(
      f"fescueturn_{part}",
      f"Decisions of the {part}, by kind.",
      labels=("what",),
  )
  for what, count in sorted(counts.items()):
    family.add_metric((what,), count)
  return family


def _gauge(name: str, text: str, value: float) -> core.Metric:
  return core.GaugeMetricFamily(f"fescueturn_{name}", text, value)


def _shard_label(owner) -> str:
  return f"{owner.shard.data_centre}/{owner.shard.number}"


def _run_time_gauges(state: state_lib.HostState) -> Iterator[core.Metric]:
  """Yields what owners know of the run times of their queues."""
  ratio = core.GaugeMetricFamily(
      "fescueturn_run_time_ratio",
      "Quantiles of the ratio of actual to declared run times.",
      labels=("shard", "queue", "quantile"),
  )
  evidence = core.GaugeMetricFamily(
      "fescueturn_run_time_evidence",
      "Recent runs, decayed, that the ratio rests on.",
      labels=("shard", "queue"),
  )
  for owner in state.owners.values():
    shard = _shard_label(owner)
    for queue, spread in owner.run_times.spreads().items():
      ratio.add_metric((shard, queue, "0.5"), spread.median)
      ratio.add_metric((shard, queue, "0.9"), spread.p90)
      evidence.add_metric((shard, queue), spread.evidence)
  yield ratio
  yield evidence


def _speed_gauges(state: state_lib.HostState) -> Iterator[core.Metric]:
  """Yields what owners know of the speeds of their endpoints."""
  factor = core.GaugeMetricFamily(
      "fescueturn_endpoint_speed_factor",
      "Time that work takes against a mean endpoint; above 1 is slower.",
      labels=("shard", "endpoint"),
  )
  evidence = core.GaugeMetricFamily(
      "fescueturn_endpoint_speed_evidence",
      "Recent runs, decayed, that the speed factor rests on.",
      labels=("shard", "endpoint"),
  )
  for owner in state.owners.values():
    for name, record in sorted(owner.endpoints.items()):
      labels = (_shard_label(owner), name)
      factor.add_metric(labels, record.speed_factor)
      evidence.add_metric(labels, record.speed.evidence)
  yield factor
  yield evidence


def _endpoint_gauge(state: state_lib.HostState) -> core.Metric:
  family = core.GaugeMetricFamily(
      "fescueturn_endpoints", "Owned endpoints, by state.", labels=("state",)
  )
  records = [r for o in state.owners.values() for r in o.endpoints.values()]
  for name, count in _count_states(records, state.now).items():
    family.add_metric((name,), count)
  return family


def _count_states(
    records: list[endpointstate.EndpointRecord], now: float
) -> dict[str, int]:
  counts = {
      "usable": 0,
      "draining": 0,
      "silent": 0,
      "left_out": 0,
      "unknown": 0,
  }
  for record in records:
    counts[_state_of(record, now)] += 1
  return counts


def _state_of(record: endpointstate.EndpointRecord, now: float) -> str:
  if not record.runs_known:
    return "unknown"
  if record.silent_since is not None:
    return "silent"
  if record.info.draining or not record.listed:
    return "draining"
  return "left_out" if record.exclusion.until > now else "usable"
