"""Tests what is learnt of endpoints' speeds."""

import math
import random

import pytest

from fescueturn.scheduler.decisions import runtimes
from fescueturn.scheduler.decisions import speeds

FACTORS = (0.6, 1.0, 1.6)
TYPICAL = 0.0
JOB_VARIANCE = speeds.JOB_DEVIATION**2


def observe(speed, ratio: float, now: float, variance=JOB_VARIANCE):
  speed.observe(math.log(ratio), variance, 1.0, now)


def learn(jobs: int, long_share: float, seed: int):
  """Returns the speeds learnt from jobs of four tasks, and the run times."""
  rng = random.Random(seed)
  learnt = [speeds.Speed(0.0) for _ in FACTORS]
  run_times = runtimes.RunTimes()
  for number in range(jobs):
    now = number * 0.1
    pace, error = speeds.JobPace(), 1 / rng.uniform(0.6, 1.4)
    for _ in range(4):
      index = rng.randrange(len(FACTORS))
      ratio = error * rng.uniform(0.85, 1.15) * FACTORS[index]
      if rng.random() < long_share:
        ratio *= 7
      typical = math.log(run_times.quantile("q", 0.5))
      expected, variance = pace.error(typical)
      own = math.log(ratio) - learnt[index].log_factor
      learnt[index].observe(math.log(ratio) - expected, variance, 1.0, now)
      pace.add(own, typical)
      run_times.record("q", math.exp(own), now)
    speeds.centre(learnt)
  return learnt, run_times


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("long_share", (0.0, 0.03))
def test_speeds_are_learnt_apart_from_errors_of_declarations(seed, long_share):
  learnt, run_times = learn(150, long_share, seed)
  mean = math.prod(FACTORS) ** (1 / len(FACTORS))
  for speed, factor in zip(learnt, FACTORS, strict=True):
    assert speed.factor == pytest.approx(factor / mean, rel=0.2)
  assert run_times.quantile("q", 0.5) == pytest.approx(1.0, rel=0.2)
  assert run_times.share_below("q", 2.5) == pytest.approx(
      1 - long_share, abs=0.03
  )


def test_long_task_does_not_make_an_endpoint_slow():
  speed = speeds.Speed(0.0)
  for number in range(20):
    observe(speed, 1.0, number * 0.1)
  observe(speed, 7.0, 2.0)
  assert speed.factor < 1.1


def test_siblings_tell_more_than_the_queue():
  """A job declared at half its time doesn't slow its endpoint's factor."""
  pace = speeds.JobPace()
  for _ in range(3):
    pace.add(math.log(2.0), TYPICAL)
  error, variance = pace.error(TYPICAL)
  assert math.exp(error) > 1.7
  assert variance < JOB_VARIANCE / 5


def test_fault_is_forgotten_at_the_next_run_in_time():
  speed = speeds.Speed(0.0)
  speed.set_faulty(6.0)
  assert speed.factor == 6.0
  observe(speed, 1.0, 0.1)
  assert speed.factor < 1.5


def test_suspected_endpoint_is_slower_until_a_run_in_time():
  speed = speeds.Speed(0.0)
  for number in range(20):
    observe(speed, 1.0, number * 0.1)
  speed.suspect()
  assert speed.factor > 1.4
  observe(speed, 1.0, 2.1)
  assert speed.factor < 1.3


def test_speed_of_an_idle_endpoint_fades():
  speed = speeds.Speed(0.0)
  for number in range(50):
    observe(speed, 1.6, number * 0.1)
  learnt = speed.factor
  speed.fade(10.0)
  assert 1.3 < speed.factor < learnt
  speed.fade(200.0)
  assert speed.factor < 1.01 and speed.evidence < 1
  speed.set_faulty(6.0)
  speed.fade(206.0)
  assert speed.factor < 2.0


def test_mean_factor_is_one_and_faults_do_not_count():
  learnt = [speeds.Speed(0.0) for _ in range(4)]
  for speed, ratio in zip(learnt, (1.2, 1.2, 1.5, 1.0), strict=True):
    for number in range(30):
      observe(speed, ratio, number * 0.1)
  learnt[3].set_faulty(8.0)
  speeds.centre(learnt)
  usual = [s.log_factor for s in learnt[:3]]
  assert sum(usual) == pytest.approx(0.0, abs=0.01)
  assert learnt[3].factor == pytest.approx(8.0)


def test_endpoints_without_runs_count_as_mean_ones():
  known, unknown = speeds.Speed(0.0), speeds.Speed(0.0)
  observe(known, 1.5, 0.1)
  speeds.centre([known, unknown])
  assert unknown.factor == 1.0
