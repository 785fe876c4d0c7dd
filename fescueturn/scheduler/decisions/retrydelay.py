"""The Retry-After of jobs that are refused for lack of capacity.

A refused caller is told to return when the work before it should be done. That
is after the shortest time in which a holder expects to accept such a job, plus
the time to serve the callers of at least its urgency that this host has already
told to return. Callers refused together thus return one after the other, and
the delay grows with an overload and shrinks after it.
"""

import math
import zlib

from fescueturn.scheduler.decisions import room

# Shortest delay (s): Retry-After is in whole seconds, and with 0 callers would
# return at once.
MIN_DELAY_S = 1
# Longest delay (s). Bursts above the capacity last 4 to 9 s; a caller that is
# told to wait longer would miss free capacity after one.
MAX_DELAY_S = 8
# Averaging time of the rate at which jobs are served: some ten of the usual
# tasks (200 ms), short compared with a burst.
RATE_WINDOW_S = 2.0
# Callers are counted by when they return in steps of this length (s).
STEP_S = 0.25
# The lowest rate (jobs a second) that is assumed: somewhat below what a host
# serves on the users' data sheets. A host that has just started has served
# nothing yet, and its callers find room again within a second or two.
MIN_SERVED_PER_S = 10.0


class Returns:
  """The rate of served jobs, and the callers that were told to return.

  It holds at most `room.PRIORITIES` counts for each `STEP_S` of `MAX_DELAY_S`, is
  kept in memory only, and needs no copy: without it the delays of a host's
  first refusals are short.
  """

  def __init__(self):
    self._served = 0.0
    self._served_at = 0.0
    self._due: dict[int, list[int]] = {}

  def record_served(self, now: float):
    """Records that a job was done."""
    self._decay(now)
    self._served += 1

  def delay_s(
      self, job_id: str, priority: int, wait_s: float, now: float
  ) -> int:
    """Returns a refused job's Retry-After (s) and counts its caller's return.

    Args:
      job_id: the job's id, which decides how a fraction is rounded.
      priority: the job's priority.
      wait_s: the shortest time (s) in which a holder expects to accept such a
        job.
      now: the time (s).
    """
    self._decay(now)
    per_s = max(MIN_SERVED_PER_S, self._served / RATE_WINDOW_S)
    level = min(priority, room.PRIORITIES - 1)
    ahead = sum(sum(row[: level + 1]) for row in self._due.values())
    exact_s = max(MIN_DELAY_S, wait_s + ahead / per_s)
    fraction = zlib.crc32(job_id.encode()) / 2**32
    delay_s = min(MAX_DELAY_S, math.floor(exact_s + fraction))
    step = int((now + delay_s) / STEP_S)
    self._due.setdefault(step, [0] * room.PRIORITIES)[level] += 1
    return delay_s

  def _decay(self, now: float):
    self._served *= math.exp(-max(0.0, now - self._served_at) / RATE_WINDOW_S)
    self._served_at = now
    first = int(now / STEP_S)
    for step in [s for s in self._due if s < first]:
      del self._due[step]
