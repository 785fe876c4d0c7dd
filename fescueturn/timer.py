"""The timer service: a process's one source of time.

Parts subscribe a callback; the service calls each with the monotonic time
in seconds every period, which may be made longer while nothing is due. Parts never read the clock themselves, so a test can
drive them with `fire` and a made-up time.
"""

import inspect
import time
from collections.abc import Callable

import curio

Subscriber = Callable[[float], object]


class TimerService:
  """Calls every subscriber with the time, every `period_s` seconds."""

  def __init__(
      self, period_s: float, clock: Callable[[], float] = time.monotonic
  ):
    self._period_s = period_s
    self._clock = clock
    self._subscribers: list[Subscriber] = []
    self._task = None
    self._hurried = curio.Event()

  @property
  def period_s(self) -> float:
    """Seconds between ticks."""
    return self._period_s

  async def set_period(self, period_s: float):
    """Has ticks come every `period_s` seconds; a shorter period begins now."""
    shorter = period_s < self._period_s
    self._period_s = period_s
    if shorter:
      await self._hurried.set()

  def now(self) -> float:
    """Returns the service's current time in seconds (monotonic)."""
    return self._clock()

  def subscribe(self, callback: Subscriber):
    """Adds a callback (plain or async) to be called with the time."""
    self._subscribers.append(callback)

  async def fire(self, now: float | None = None):
    """Calls every subscriber once, with `now` or the clock's time."""
    when = self._clock() if now is None else now
    for callback in list(self._subscribers):
      result = callback(when)
      if inspect.isawaitable(result):
        await result

  async def start(self):
    """Starts ticking in a background task."""
    self._task = await curio.spawn(self._run, daemon=True)

  async def _run(self):
    while True:
      await curio.ignore_after(self._period_s, self._hurried.wait)
      self._hurried.clear()
      await self.fire()

  async def close(self):
    """Stops ticking."""
    if self._task is not None:
      await self._task.cancel()
      self._task = None
