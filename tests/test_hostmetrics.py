import statsd

from fescueturn.scheduler import hostmetrics
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import state
from tests import test_leases


def new_state() -> state.HostState:
  process = linkmessages.HostProcess("host-1", "boot-1")
  return state.HostState(state.HostIdentity(process, "a", (model.Shard("a"),)))


class Collector(statsd.StatsClient):
  """Records the timings that are sent to it."""

  def __init__(self):
    self.timings = []

  def timing(self, stat, delta, rate=1):
    self.timings.append((stat, delta))


def test_jobs_and_calls_are_exported_to_prometheus_and_statsd():
  collector = Collector()
  metrics = hostmetrics.HostMetrics(new_state(), collector)
  metrics.observe_job("word-check", "done", 0.25)
  metrics.observe_call("store_kv-txn", "200", 0.004)
  page = metrics.render().decode()
  assert 'job_seconds_sum{outcome="done",queue="word-check"} 0.25' in page
  assert collector.timings == [
      ("job_ms.done", 250.0),
      ("call_ms.store_kv-txn.200", 4.0),
  ]


def test_metrics_include_the_age_of_the_configuration():
  metrics = hostmetrics.HostMetrics(new_state())
  metrics.set_config_age(lambda: 2.5)
  assert b"fescueturn_config_unheard_seconds 2.5" in metrics.render()


def test_statsd_collector_is_optional():
  metrics = hostmetrics.HostMetrics(new_state())
  metrics.observe_job("word-check", "done", 0.25)
  assert b"fescueturn_jobs_coordinated 0.0" in metrics.render()


def test_metrics_include_run_times_and_speeds():
  host_state = new_state()
  owner = test_leases.new_owner()
  record = test_leases.known_endpoint(owner)
  record.speed.set_faulty(3.0)
  for number in range(200):
    owner.run_times.record("word-check", 1.25, number / 100)
  host_state.owners[owner.shard] = owner
  page = hostmetrics.HostMetrics(host_state).render().decode()
  labels = 'queue="word-check",shard="north/0"'
  assert f"fescueturn_run_time_evidence{{{labels}}} 19" in page
  ratio = f'ratio{{quantile="0.5",{labels}}} '
  assert 1.2 < float(page.partition(ratio)[2].split()[0]) < 1.3
  assert 'speed_factor{endpoint="i-1",shard="north/0"} 3.0' in page
  snapshot = owner.snapshot()
  assert snapshot["run_times"]["word-check"]["median"] > 1.2
  assert snapshot["endpoints"]["i-1"]["slowness"] == 3.0
  assert snapshot["endpoints"]["i-1"]["speed_evidence"] == 0.0
