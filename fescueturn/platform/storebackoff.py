"""Whether the store is reached: logged once a change, with a pause to retry.

A call that a silent store swallowed is given up, and made again after a pause.
What a watch may wait is what these leave of the host's convergence time.
"""

from collections.abc import Callable

import curio
from loguru import logger

from fescueturn import errors
from fescueturn.platform import store

# First and longest pause after a call that failed: a store answers some 100
# calls in the longest, and a host that must be back within 3 s can afford it.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.4
# For the call that is answered in the end: a new connection, the answer of a
# slow store (up to 0.2 s), and what the host does with it.
ANSWER_S = 0.3
# The shortest wait of a watch: with less, hosts do little else than ask.
WATCH_MIN_S = 0.5


def watch_wait_ms(convergence_s: float) -> int:
  """Returns how long a watch may wait at the store, in ms.

  Given up, paused for and made again, a watch that was swallowed in a silence's
  last moment is answered within `convergence_s` of its end.
  """
  left_s = convergence_s - store.WATCH_SLACK_S - RETRY_MAX_S - ANSWER_S
  return int(max(WATCH_MIN_S, left_s) * 1000)


class StoreBackoff:
  """One loop's view of the store; `what` names in logs what it reads."""

  def __init__(self, what: str, now: Callable[[], float]):
    self._what = what
    self._now = now
    self._reached = True
    self._pause_s = RETRY_MIN_S
    self._heard_at = now()

  @property
  def unanswered_s(self) -> float:
    """Seconds since the store last answered this loop."""
    return self._now() - self._heard_at

  def record_success(self, revision: int, anew: bool = False):
    """A call was answered, at this revision of the store.

    Args:
      revision: the store's.
      anew: True for a reading from scratch, which must not become a habit: it
        leaves the pause before the next as it is.
    """
    if not self._reached:
      logger.info(
          "event=store_regained what={} revision={} unheard_ms={}",
          self._what,
          revision,
          _ms(self.unanswered_s),
      )
    self._reached = True
    self._heard_at = self._now()
    if not anew:
      self._pause_s = RETRY_MIN_S

  async def handle_failure(self, error: errors.KvError):
    """A call failed: waits before the next, twice as long each time."""
    if self._reached:
      logger.warning(
          'event=store_lost what={} unheard_ms={} error="{}"',
          self._what,
          _ms(self.unanswered_s),
          error,
      )
    self._reached = False
    await self.pause()

  async def pause(self):
    """Waits before the next call."""
    await curio.sleep(self._pause_s)
    self._pause_s = min(RETRY_MAX_S, 2 * self._pause_s)

  async def handle_history_gone(self, after: int):
    """The store has dropped its history since revision `after`.

    Reading anew is paused for as after a failed call, so that a store that
    keeps no history at all isn't asked without end.
    """
    logger.info("event=history_gone what={} after={}", self._what, after)
    await self.pause()


def _ms(seconds: float) -> int:
  return int(seconds * 1000)
