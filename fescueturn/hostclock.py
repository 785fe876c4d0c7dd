"""The clock of a process: seconds that never go back.

It counts the time for which the host was suspended, as leases, messages and
callers grow older meanwhile. The platform's monotonic clock doesn't.
"""

import time


def _can_count_suspensions() -> bool:
  try:
    time.clock_gettime(time.CLOCK_BOOTTIME)
  except (AttributeError, OSError):
    return False
  return True


# False where the platform has no such clock: `now` then stands still while the
# host is suspended.
COUNTS_SUSPENSIONS = _can_count_suspensions()


def now() -> float:
  """Returns the time (s), suspensions of the host included."""
  if COUNTS_SUSPENSIONS:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
  return time.monotonic()
