import collections

from hypothesis import given
from hypothesis import strategies

from fescueturn.scheduler.decisions import retrydelay


def refuse(returns, count, now, priority=1, wait_s=0.05) -> list[int]:
  return [
      returns.delay_s(f"{now}-{n}", priority, wait_s, now) for n in range(count)
  ]


def serve(returns, per_s: int, until: float):
  for n in range(int(until * per_s)):
    returns.record_served(n / per_s)


@given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0, 1),
            strategies.integers(0, 9),
            strategies.floats(0, 100),
            strategies.booleans(),
        ),
        max_size=60,
    )
)
def test_delay_is_whole_seconds_within_its_bounds(steps):
  returns, now = retrydelay.Returns(), 0.0
  for number, (pause_s, priority, wait_s, served) in enumerate(steps):
    now += pause_s
    if served:
      returns.record_served(now)
    delay_s = returns.delay_s(f"j{number}", priority, wait_s, now)
    assert isinstance(delay_s, int)
    assert retrydelay.MIN_DELAY_S <= delay_s <= retrydelay.MAX_DELAY_S


def test_single_refusals_are_told_the_shortest_delay():
  returns = retrydelay.Returns()
  serve(returns, 50, 4.0)
  assert refuse(returns, 10, 4.0) == [1] * 10


def test_callers_refused_together_return_one_after_the_other():
  """200 callers come back at the rate of 50 jobs a second."""
  returns = retrydelay.Returns()
  serve(returns, 50, 10.0)
  delays = collections.Counter(refuse(returns, 200, 10.0))
  assert max(delays) >= 4
  assert max(delays.values()) <= 120


def test_delay_rises_with_the_refusals_and_falls_after_them():
  returns = retrydelay.Returns()
  serve(returns, 50, 10.0)
  before = sum(refuse(returns, 20, 10.0))
  refuse(returns, 300, 10.0)
  during = sum(refuse(returns, 20, 10.1))
  after = sum(refuse(returns, 20, 30.0))
  assert before < during
  assert after <= during / 2


def test_urgent_callers_do_not_wait_for_less_urgent_ones():
  returns = retrydelay.Returns()
  serve(returns, 50, 10.0)
  refuse(returns, 400, 10.0, priority=2)
  assert max(refuse(returns, 20, 10.0, priority=0)) == 1
  assert min(refuse(returns, 20, 10.0, priority=2)) > 1


def test_delay_covers_the_wait_for_capacity():
  assert min(refuse(retrydelay.Returns(), 20, 0.0, wait_s=3.0)) >= 3


def test_state_is_bounded():
  returns = retrydelay.Returns()
  for second in range(100):
    refuse(returns, 50, float(second))
  assert len(returns._due) <= (retrydelay.MAX_DELAY_S + 1) / retrydelay.STEP_S
