"""Whether a job can be started in time, and which waiting job goes next.

The load these answer: some 56 tasks at once on 24 endpoints, a mean of 40 at
work on a heavy day, so that bursts overfill the endpoints for seconds; jobs
of 2 to 32 tasks whose objective leaves them a wait of 0.6 times their longest
task and 60 ms more.
"""

import heapq
import math
from collections.abc import Iterable

from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import model

# Part of its spare time that a job may be expected to wait. Run times are
# guessed with an error of up to 40% either way, so that a job expected to end
# just in time does so every other time, and a late answer is better than none.
# At 0.8, 1.1 and 1.4 a calm day at Altamaha earned 0.880, 0.934 and 0.915 of
# what it could, a heavy one 0.684, 0.672 and 0.667 (one trial each).
WAIT_SHARE = 1.0
# A task whose estimate has passed is expected to end this soon: it has been
# underestimated, and most of these end within a third of the estimate more.
OVERDUE_SHARE = 0.2


# A step wider than this part of all places is expected to run in waves, and
# the caller's objective allows for it.
WAVE_SHARE = 0.25


def critical_path_s(job: model.Job, places: int) -> float:
  """Returns the longest chain of estimated work (s) with `places` in all."""
  wave = max(1.0, WAVE_SHARE * places)
  ends: list[float] = []
  for step in job.steps:
    begin = max((ends[i] for i in step.after), default=0.0)
    waves = math.ceil(step.count / wave)
    ends.append(begin + waves * step.estimate_ms / 1000)
  return max(ends, default=0.0)


def objective_s(job: model.Job, places: int) -> float:
  """Returns the time (s) in which the job should be answered."""
  return job.stretch * critical_path_s(job, places) + job.slo_ms / 1000


def latest_finish_s(job: model.Job, places: int) -> float:
  """Returns the expected time (s) up to which the job is worth taking."""
  chain = critical_path_s(job, places)
  return chain + WAIT_SHARE * (objective_s(job, places) - chain)


def _free_at(
    record: endpointstate.EndpointRecord, need: model.Resources
) -> int:
  free_slots = record.info.slots - len(record.runs)
  return max(0, min(record.free.count(need), free_slots))


def available_slots(
    records: Iterable[endpointstate.EndpointRecord], need: model.Resources
) -> int:
  """Returns how many tasks of `need` could start now."""
  return sum(_free_at(record, need) for record in records)


def slot_free_times(
    records: Iterable[endpointstate.EndpointRecord],
    need: model.Resources,
    now: float,
) -> list[float]:
  """Returns when room for tasks of `need` comes up, soonest first.

  Args:
    records: the endpoints that take new tasks.
    need: what one task takes.
    now: the time.

  Returns:
    One time (s) per place: `now` for places free now, then the expected end
    of each run under way.
  """
  times = []
  for record in records:
    times += [now] * _free_at(record, need)
    for run in record.runs.values():
      end = run.expected_end(record.slowness)
      soon = now + OVERDUE_SHARE * run.estimate_ms / 1000
      times.append(max(end, soon))
  times.sort()
  return times


def expected_finish_s(
    places: list[float],
    ahead: Iterable[float],
    count: int,
    run_s: float,
    now: float,
) -> float | None:
  """Returns when the last of `count` tasks would end, in seconds from now.

  Args:
    places: when places come up, as `slot_free_times` returns them.
    ahead: the expected run times (s) of the tasks that go first.
    count: how many tasks are to run.
    run_s: how long each of them is expected to run.
    now: the time.

  Returns:
    Seconds; None when there is no place at all.
  """
  if not places:
    return None
  heap = list(places)
  for ahead_s in ahead:
    heapq.heapreplace(heap, max(heap[0], now) + ahead_s)
  end = now
  for _ in range(count):
    end = max(heap[0], now) + run_s
    heapq.heapreplace(heap, end)
  return end - now
