from fescueturn.scheduler import timeouts


def test_answers_within_two_ms_give_the_shortest_timeout():
  timeout = timeouts.AnswerTimeout()
  for _ in range(50):
    timeout.record_answer(0.002)
  assert timeout.call_timeout_s == timeouts.MIN_S


def test_losing_30_percent_of_calls_does_not_raise_the_timeout():
  timeout = timeouts.AnswerTimeout()
  for number in range(300):
    if number % 10 in (0, 1, 5):
      timeout.record_miss()
    else:
      timeout.record_answer(0.002)
    assert timeout.call_timeout_s < 1.01 * timeouts.MIN_S


def test_timeout_grows_if_no_call_is_answered_in_time():
  timeout = timeouts.AnswerTimeout()
  for _ in range(24):
    timeout.record_miss()
  assert timeout.call_timeout_s > 0.1
  timeout.record_answer(0.08)
  assert timeout.call_timeout_s > 0.08


def test_timeout_grows_on_a_busy_host_and_recovers():
  """With too short a timeout, a busy host restarts runs and adds to its load."""
  timeout = timeouts.AnswerTimeout()
  for _ in range(5):
    timeout.record_answer(0.04)
  assert timeout.call_timeout_s > 0.08
  for _ in range(60):
    timeout.record_answer(0.002)
  assert timeout.call_timeout_s < 0.03


def test_timeout_has_a_maximum():
  timeout = timeouts.AnswerTimeout()
  for _ in range(50):
    timeout.record_answer(3.0)
  assert timeout.call_timeout_s == timeouts.MAX_S
  for _ in range(5000):
    timeout.record_miss()
  assert timeout.call_timeout_s == timeouts.MAX_S
