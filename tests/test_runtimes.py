"""Tests what is learnt of queues' run times."""

import random

import hypothesis
import pytest
from hypothesis import strategies

from fescueturn.scheduler.decisions import runtimes

SHARES = strategies.floats(0.0, 1.0)
RATIOS = strategies.floats(0.01, 100.0)


def recorded(ratios, per_s: float = 50.0) -> runtimes.RunTimes:
  run_times = runtimes.RunTimes()
  for number, ratio in enumerate(ratios):
    run_times.record("q", ratio, number / per_s)
  return run_times


def test_unknown_queue_has_the_assumed_spread():
  run_times = runtimes.RunTimes()
  assert run_times.quantile("q", 0.5) == pytest.approx(1.0, rel=0.02)
  assert run_times.quantile("q", 0.02) == pytest.approx(0.72, rel=0.05)
  assert run_times.quantile("q", 0.98) == pytest.approx(1.6, rel=0.05)
  assert run_times.share_below("q", 1.7) == pytest.approx(1.0, abs=0.01)
  assert run_times.share_below("q", 0.7) == pytest.approx(0.0, abs=0.01)
  assert run_times.evidence("q") == 0.0


def test_few_runs_are_filled_up_with_the_assumed_spread():
  run_times = recorded([3.0] * 10)
  assert run_times.quantile("q", 0.5) < 1.4
  assert run_times.share_below("q", 2.0) == pytest.approx(20 / 30, abs=0.01)
  assert run_times.quantile("other", 0.5) == pytest.approx(1.0, rel=0.02)


def test_spread_of_a_queue_is_learnt():
  rng = random.Random(1)
  errors = [rng.uniform(0.85, 1.15) for _ in range(500)]
  long = [7 * e if rng.random() < 0.1 else e for e in errors]
  run_times = recorded(long)
  assert run_times.quantile("q", 0.5) == pytest.approx(1.02, abs=0.05)
  assert run_times.share_below("q", 2.5) == pytest.approx(0.9, abs=0.04)
  assert run_times.quantile("q", 0.97) > 5.0


def test_old_runs_decay():
  run_times = recorded([4.0] * 100)
  for number in range(100):
    run_times.record("q", 1.0, 150.0 + number / 50)
  assert run_times.share_below("q", 2.0) > 0.95


def test_queue_without_runs_is_forgotten():
  run_times = recorded([4.0] * 100)
  run_times.record("q", 1.0, 2.0 + runtimes.IDLE_S + 1.0)
  assert run_times.evidence("q") == 1.0


def test_number_of_queues_is_bounded():
  run_times = runtimes.RunTimes()
  for number in range(2 * runtimes.MAX_QUEUES):
    run_times.record(f"q{number}", 1.0, number / 100)
  spreads = run_times.spreads()
  assert len(spreads) == runtimes.MAX_QUEUES
  assert f"q{2 * runtimes.MAX_QUEUES - 1}" in spreads


@hypothesis.given(strategies.lists(RATIOS, max_size=80), RATIOS, RATIOS)
def test_share_rises_with_the_ratio(ratios, first, second):
  run_times = recorded(ratios)
  low, high = sorted((first, second))
  shares = run_times.share_below("q", low), run_times.share_below("q", high)
  assert 0.0 <= shares[0] <= shares[1] <= 1.0


@hypothesis.given(strategies.lists(RATIOS, max_size=80), SHARES, SHARES)
def test_quantile_rises_with_the_share_and_is_bounded(ratios, first, second):
  run_times = recorded(ratios)
  low, high = (run_times.quantile("q", s) for s in sorted((first, second)))
  assert runtimes.MIN_RATIO * 0.99 <= low <= high
  assert high <= runtimes.MAX_RATIO * 1.01


@hypothesis.given(
    strategies.lists(RATIOS, max_size=80), strategies.floats(0.01, 0.99)
)
def test_quantile_is_the_inverse_of_the_share(ratios, share):
  run_times = recorded(ratios)
  ratio = run_times.quantile("q", share)
  assert run_times.share_below("q", ratio * 1.001) >= share - 0.001
  assert run_times.share_below("q", ratio * 0.999) <= share + 0.001
