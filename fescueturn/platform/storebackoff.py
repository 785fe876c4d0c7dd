"""Back-off between calls of the store, and logs of its outages.

A call that the store does not answer times out and is retried after a pause. A
watch may wait for the rest of the host's convergence time.
"""

from collections.abc import Callable

import curio
from loguru import logger

from fescueturn import errors
from fescueturn.platform import store

# First and longest pause after a failed call. The store answers some 100 calls
# in the longest pause, and a host that must converge within 3 s can spare that
# time.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.4
# Allowance for the call that succeeds: a new connection, the answer of a slow
# store (up to 0.2 s) and the host's handling of the answer.
ANSWER_ALLOWANCE_S = 0.3
# The shortest wait of a watch; with less, hosts would do little but poll.
MIN_WATCH_S = 0.5


def watch_wait_ms(convergence_s: float) -> int:
  """Returns how long a watch may wait at the store, in ms.

  A watch that is lost at the very end of an outage of the store times out, is
  retried after a pause and is answered within `convergence_s` of that end.
  """
  remaining_s = (
      convergence_s - store.WATCH_SLACK_S - RETRY_MAX_S - ANSWER_ALLOWANCE_S
  )
  return int(max(MIN_WATCH_S, remaining_s) * 1000)


class StoreBackoff:
  """Back-off of one loop that calls the store.

  Logs the beginning and the end of an outage once each. `what` names in the
  logs what the loop reads or writes.
  """

  def __init__(self, what: str, now: Callable[[], float]):
    self._what = what
    self._now = now
    self._available = True
    self._pause_s = RETRY_MIN_S
    self._answered_at = now()

  @property
  def unanswered_s(self) -> float:
    """Seconds since the store last answered this loop."""
    return self._now() - self._answered_at

  def record_success(self, revision: int, full_read: bool = False):
    """Records an answered call; resets the back-off.

    Args:
      revision: the store's revision in the answer.
      full_read: True for a read of all keys. It does not reset the back-off, so
        that the pauses between repeated full reads grow.
    """
    if not self._available:
      logger.info(
          "event=store_regained what={} revision={} unheard_ms={}",
          self._what,
          revision,
          _ms(self.unanswered_s),
      )
    self._available = True
    self._answered_at = self._now()
    if not full_read:
      self._pause_s = RETRY_MIN_S

  async def handle_failure(self, error: errors.KvError):
    """Waits after a failed call; doubles the wait, up to `RETRY_MAX_S`."""
    if self._available:
      logger.warning(
          'event=store_lost what={} unheard_ms={} error="{}"',
          self._what,
          _ms(self.unanswered_s),
          error,
      )
    self._available = False
    await self.pause()

  async def pause(self):
    """Waits before the next call, and doubles the next pause."""
    await curio.sleep(self._pause_s)
    self._pause_s = min(RETRY_MAX_S, 2 * self._pause_s)

  async def handle_history_gone(self, after: int):
    """Waits after the store has dropped its history since revision `after`.

    The next step is a read of all keys. The pause is that of a failed call, so
    that a store which keeps no history at all isn't polled in a tight loop.
    """
    logger.info("event=history_gone what={} after={}", self._what, after)
    await self.pause()


def _ms(seconds: float) -> int:
  return int(seconds * 1000)
