"""Whether the store is reached: logged once a change, with a pause to retry."""

import curio
from loguru import logger

from fescueturn import errors

# First and longest pause after a call that failed: the store answers some
# 250 calls in the longest.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 1.0


class Reach:
  """One loop's view of the store; `what` names in logs what it reads."""

  def __init__(self, what: str):
    self._what = what
    self._reached = True
    self._pause_s = RETRY_MIN_S

  def found(self, revision: int, anew: bool = False):
    """A call was answered, at this revision of the store.

    Args:
      revision: the store's.
      anew: True for a reading from scratch, which must not become a habit: it
        leaves the pause before the next as it is.
    """
    if not self._reached:
      logger.info(
          "event=store_regained what={} revision={}", self._what, revision
      )
    self._reached = True
    if not anew:
      self._pause_s = RETRY_MIN_S

  async def lost(self, error: errors.KvError):
    """A call failed: waits before the next, twice as long each time."""
    if self._reached:
      logger.warning('event=store_lost what={} error="{}"', self._what, error)
    self._reached = False
    await self.pause()

  async def pause(self):
    """Waits before the next call."""
    await curio.sleep(self._pause_s)
    self._pause_s = min(RETRY_MAX_S, 2 * self._pause_s)

  async def history_gone(self, after: int):
    """The store has dropped its history since revision `after`.

    Reading anew is paused for as after a failed call, so that a store that
    keeps no history at all isn't asked without end.
    """
    logger.info("event=history_gone what={} after={}", self._what, after)
    await self.pause()
