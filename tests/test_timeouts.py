from fescueturn.scheduler import timeouts


def test_answers_that_take_two_ms_are_waited_for_the_least():
  made = timeouts.AnswerTimeout()
  for _ in range(50):
    made.record_answer(0.002)
  assert made.call_timeout_s == timeouts.MIN_S


def test_third_lost_does_not_stretch_the_wait():
  made = timeouts.AnswerTimeout()
  for number in range(300):
    if number % 10 in (0, 1, 5):
      made.record_miss()
    else:
      made.record_answer(0.002)
    assert made.call_timeout_s < 1.01 * timeouts.MIN_S


def test_endpoints_that_all_answer_later_than_waited_for_are_waited_for_longer():
  made = timeouts.AnswerTimeout()
  for _ in range(24):
    made.record_miss()
  assert made.call_timeout_s > 0.1
  made.record_answer(0.08)
  assert made.call_timeout_s > 0.08


def test_host_that_reads_late_waits_longer_and_recovers():
  """Else it would stop and start anew what runs, and be busier still."""
  made = timeouts.AnswerTimeout()
  for _ in range(5):
    made.record_answer(0.04)
  assert made.call_timeout_s > 0.08
  for _ in range(60):
    made.record_answer(0.002)
  assert made.call_timeout_s < 0.03


def test_wait_has_a_bound():
  made = timeouts.AnswerTimeout()
  for _ in range(50):
    made.record_answer(3.0)
  assert made.call_timeout_s == timeouts.MAX_S
  for _ in range(5000):
    made.record_miss()
  assert made.call_timeout_s == timeouts.MAX_S
