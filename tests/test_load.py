"""Queueing, admission and placement under load, in virtual time.

The load has the mix of jobs on the users' data sheets.
"""

import pytest

from fescueturn.emulator import load


def share_in_time(report: load.Report) -> float:
  submitted = sum(kind.asked for kind in report.kinds)
  return sum(kind.in_time for kind in report.kinds) / submitted


@pytest.mark.parametrize("seed", (1, 2))
def test_few_jobs_are_late_at_two_thirds_of_the_capacity(seed):
  """Guards against jobs that wait although another data centre has free slots.

  A job that can't start at once in one data centre is offered to the others in
  turn, so that three data centres serve the load as well as one. When a job
  waited in its own data centre while others had free slots, 15.2 of 1,500 jobs
  were late (mean of six seeds of 20 s); now 3.7 are.
  """
  report = load.simulate(load.Plan(seed=seed, seconds=20, jobs_per_s=75))
  assert report.broken == ()
  assert sum(kind.late for kind in report.kinds) <= 9


@pytest.mark.parametrize("seed", (1, 2))
def test_light_load_is_served_in_time(seed):
  report = load.simulate(load.Plan(seed=seed, seconds=15, jobs_per_s=50))
  assert report.broken == ()
  assert share_in_time(report) > 0.97


@pytest.mark.parametrize("seed", (1, 2))
def test_excess_jobs_are_refused_before_they_run(seed):
  """120 jobs a second demand 1.2 times the endpoints' capacity."""
  report = load.simulate(load.Plan(seed=seed, seconds=15, jobs_per_s=120))
  assert report.broken == ()
  assert share_in_time(report) > 0.6
  refused = sum(kind.refused for kind in report.kinds)
  failed = sum(kind.failed for kind in report.kinds)
  assert refused > 20 * failed
  assert report.stops < 0.01 * report.starts


@pytest.mark.parametrize("seed", (1, 2))
def test_wide_jobs_are_not_starved_by_narrow_ones_in_an_overload(seed):
  """130 jobs a second demand 1.3 times the endpoints' capacity.

  When slots were given out first come, first served, 0.34 of the wide jobs,
  0.64 of the long and 0.78 of the narrow ones were served in time (mean of 16
  seeds); with slots reserved for wide jobs it is 0.60, 0.86 and 0.63.
  """
  report = load.simulate(load.Plan(seed=seed, seconds=15, jobs_per_s=130))
  assert report.broken == ()
  in_time = {kind.kind: kind.in_time / kind.asked for kind in report.kinds}
  assert in_time["wide"] > 0.5
  assert in_time["narrow"] > 0.45
  assert in_time["long"] > 0.75


@pytest.mark.parametrize("seed", (1, 2, 3))
@pytest.mark.parametrize("loss_rate, min_share", ((0.1, 0.9), (0.3, 0.67)))
def test_lost_calls_delay_few_jobs(seed, loss_rate, min_share):
  """With 10% of the calls lost, over 90% of the jobs are served in time.

  With 30% lost, over two thirds are. Guards against slow recovery from a lost
  call: with a fixed answer timeout of 150 ms during which the endpoint was not
  used, and a stop confirmed only by the lease call after the current one, 0.45
  to 0.58 (10% lost) and 0.09 to 0.12 (30%) of the jobs were served in time.
  Without these faults it is 0.96 to 0.98 and 0.75 to 0.77.
  """
  plan = load.Plan(seed=seed, seconds=12, jobs_per_s=60, lost_orders=loss_rate)
  report = load.simulate(plan)
  assert report.broken == ()
  assert share_in_time(report) > min_share


def test_same_seed_gives_the_same_report():
  plan = load.Plan(seed=7, seconds=3, jobs_per_s=60)
  assert load.simulate(plan) == load.simulate(plan)


def test_burst_raises_the_load_of_one_kind_in_one_data_centre():
  # Long and large enough that the random draws, which differ between the two
  # runs, can't hide it.
  burst = load.Burst(0.0, 3.0, 4.0, kind="wide", data_centre="dc0")
  plan = load.Plan(seed=3, seconds=3, jobs_per_s=60, bursts=(burst,))
  usual = load.simulate(load.Plan(seed=3, seconds=3, jobs_per_s=60))
  raised = load.simulate(plan)
  asked = {kind.kind: kind.asked for kind in raised.kinds}
  before = {kind.kind: kind.asked for kind in usual.kinds}
  assert asked["wide"] > 1.3 * before["wide"]
  assert sum(asked.values()) < 1.5 * sum(before.values())


def test_report_covers_the_jobs_submitted_between_two_times():
  plan = load.Plan(seed=3, seconds=3, jobs_per_s=60)
  report = load.simulate_between(plan, 1.0, 2.0)
  assert sum(kind.asked for kind in report.kinds) == 60
