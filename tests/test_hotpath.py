from fescueturn.emulator import load
from fescueturn.lab import hotpath
from fescueturn.lab import placingbench


def test_a_job_logs_few_lines_under_light_load():
  """A job logs its offer, its start and its answer; some are offered again."""
  costs = hotpath.measure(load.Plan(seconds=3, jobs_per_s=50))
  assert costs.jobs == 150
  assert 3.0 <= costs.lines_per_job <= 4.0
  assert costs.us_per_run > 0 and costs.us_per_line > 0


def test_cost_of_choosing_an_endpoint_is_measured():
  costs = placingbench.measure(endpoints=20, tasks=50)
  assert costs.endpoints == 20
  assert costs.us_per_task > 0 and costs.us_per_scan > 0
