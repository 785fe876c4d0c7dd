"""The timer service: the only source of time in a process.

Components subscribe callbacks, which the service calls once per period with the
time of `hostclock` in seconds; the period may be extended while nothing is due.
Components never read the clock themselves, so that tests can drive them with
`fire` and a simulated time.
"""

import inspect
from collections.abc import Callable

import curio

from fescueturn import hostclock

Subscriber = Callable[[float], object]


class TimerService:
  """Calls all subscribers with the current time every `period_s` seconds."""

  def __init__(
      self, period_s: float, clock: Callable[[], float] = hostclock.now
  ):
    self._period_s = period_s
    self._clock = clock
    self._subscribers: list[Subscriber] = []
    self._task = None
    self._shortened = curio.Event()

  @property
  def period_s(self) -> float:
    """Seconds between ticks."""
    return self._period_s

  async def set_period(self, period_s: float):
    """Sets the period; a shorter one ends the current wait immediately."""
    shorter = period_s < self._period_s
    self._period_s = period_s
    if shorter:
      await self._shortened.set()

  def now(self) -> float:
    """Returns the service's current time in seconds."""
    return self._clock()

  def subscribe(self, callback: Subscriber):
    """Adds a synchronous or async callback that is called with the time."""
    self._subscribers.append(callback)

  async def fire(self, now: float | None = None):
    """Calls all subscribers once with `now`, by default the clock's time."""
    when = self._clock() if now is None else now
    for callback in list(self._subscribers):
      result = callback(when)
      if inspect.isawaitable(result):
        await result

  async def start(self):
    """Starts calling subscribers from a background task."""
    self._task = await curio.spawn(self._run, daemon=True)

  async def _run(self):
    while True:
      await curio.ignore_after(self._period_s, self._shortened.wait)
      self._shortened.clear()
      await self.fire()

  async def close(self):
    """Stops the background task."""
    if self._task is not None:
      await self._task.cancel()
      self._task = None
