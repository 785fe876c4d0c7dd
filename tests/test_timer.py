import curio

from fescueturn import timer


def test_shorter_period_takes_effect_immediately():
  clock = timer.TimerService(60.0)
  ticked = curio.Event()

  async def run():
    clock.subscribe(lambda now: ticked.set())
    await clock.start()
    await clock.set_period(0.01)
    await curio.timeout_after(5.0, ticked.wait)
    await clock.close()

  curio.run(run)
  assert clock.period_s == 0.01


def test_subscribers_are_called_with_the_given_time():
  clock = timer.TimerService(1.0)
  seen = []

  async def slow(now):
    seen.append(("slow", now))

  clock.subscribe(lambda now: seen.append(("plain", now)))
  clock.subscribe(slow)
  curio.run(clock.fire, 7.0)
  assert seen == [("plain", 7.0), ("slow", 7.0)]
