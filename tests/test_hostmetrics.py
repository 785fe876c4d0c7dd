import statsd

from fescueturn.scheduler import hostmetrics
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import state


def new_state() -> state.HostState:
  process = linkmessages.HostProcess("host-1", "boot-1")
  return state.HostState(state.HostIdentity(process, "a", (model.Shard("a"),)))


class Collector(statsd.StatsClient):
  """Keeps what it is told."""

  def __init__(self):
    self.told = []

  def timing(self, stat, delta, rate=1):
    self.told.append((stat, delta))


def test_page_and_collector_have_the_same_jobs_and_calls():
  collector = Collector()
  made = hostmetrics.HostMetrics(new_state(), collector)
  made.observe_job("word-check", "done", 0.25)
  made.observe_call("store_kv-txn", "200", 0.004)
  page = made.render().decode()
  assert 'job_seconds_sum{outcome="done",queue="word-check"} 0.25' in page
  assert collector.told == [
      ("job_ms.done", 250.0),
      ("call_ms.store_kv-txn.200", 4.0),
  ]


def test_page_says_how_long_ago_the_store_told_the_configuration():
  made = hostmetrics.HostMetrics(new_state())
  made.set_config_age(lambda: 2.5)
  assert b"fescueturn_config_unheard_seconds 2.5" in made.render()


def test_page_needs_no_collector():
  made = hostmetrics.HostMetrics(new_state())
  made.observe_job("word-check", "done", 0.25)
  assert b"fescueturn_jobs_coordinated 0.0" in made.render()
