"""Estimates for admission control: critical paths, objectives, finish times.

They are designed for about 56 task slots on 24 endpoints. On a busy day a mean
of 40 are in use, so that bursts exceed the capacity for seconds. Jobs have 2 to
32 tasks, and their objective leaves a slack of 0.6 times their longest task
plus 60 ms.
"""

import heapq
import math
from collections.abc import Iterable

from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import model

# Part of its slack that a job may be expected to spend waiting. Estimated run
# times are up to 40% off in either direction, so a job that is expected to end
# just in time is late half of the time, and a late answer is better than none.
# With fractions of 0.8, 1.1 and 1.4, a light load earned 0.880, 0.934 and 0.915
# of its total value, a heavy one 0.684, 0.672 and 0.667.
SLACK_FRACTION = 1.0
# A task that has run longer than its estimate is expected to end within this
# fraction of the estimate: most of these end within another third of it.
OVERDUE_FRACTION = 0.2
# A step that needs more than this part of all slots is expected to run in
# waves, and the caller's objective allows for that.
WAVE_FRACTION = 0.25


def critical_path_s(job: model.Job, slots: int) -> float:
  """Returns the estimated critical path (s) with `slots` slots in total."""
  wave = max(1.0, WAVE_FRACTION * slots)
  ends: list[float] = []
  for step in job.steps:
    begin = max((ends[i] for i in step.after), default=0.0)
    waves = math.ceil(step.count / wave)
    ends.append(begin + waves * step.estimate_ms / 1000)
  return max(ends, default=0.0)


def objective_s(job: model.Job, slots: int) -> float:
  """Returns the time (s) within which the job should be answered."""
  return job.stretch * critical_path_s(job, slots) + job.slo_ms / 1000


def latest_finish_s(job: model.Job, slots: int) -> float:
  """Returns the latest expected finish (s) at which a job is accepted."""
  path_s = critical_path_s(job, slots)
  return path_s + SLACK_FRACTION * (objective_s(job, slots) - path_s)


def _available_at(
    record: endpointstate.EndpointRecord, need: model.Resources
) -> int:
  unused_slots = record.info.slots - len(record.runs)
  return max(0, min(record.free.count(need), unused_slots))


def available_slots(
    records: Iterable[endpointstate.EndpointRecord], need: model.Resources
) -> int:
  """Returns how many tasks of `need` could start now."""
  return sum(_available_at(record, need) for record in records)


def slot_free_times(
    records: Iterable[endpointstate.EndpointRecord],
    need: model.Resources,
    now: float,
) -> list[float]:
  """Returns when slots for tasks of `need` become free, soonest first.

  Args:
    records: the endpoints that accept new tasks.
    need: what one task takes.
    now: the time.

  Returns:
    One time (s) per slot: `now` for those free now, the expected end of the run
    for those in use.
  """
  times = []
  for record in records:
    times += [now] * _available_at(record, need)
    for run in record.runs.values():
      end = run.expected_end(record.speed_factor)
      soon = now + OVERDUE_FRACTION * run.estimate_ms / 1000
      times.append(max(end, soon))
  times.sort()
  return times


def expected_finish_s(
    slots: list[float],
    ahead: Iterable[float],
    count: int,
    run_s: float,
    now: float,
) -> float | None:
  """Returns when the last of `count` tasks would end, in seconds from now.

  Args:
    slots: when slots become free, as `slot_free_times` returns them.
    ahead: the expected run times (s) of the tasks queued before these.
    count: how many tasks are to run.
    run_s: how long each of them is expected to run.
    now: the time.

  Returns:
    Seconds; None if there are no slots at all.
  """
  if not slots:
    return None
  heap = list(slots)
  for ahead_s in ahead:
    heapq.heapreplace(heap, max(heap[0], now) + ahead_s)
  end = now
  for _ in range(count):
    end = max(heap[0], now) + run_s
    heapq.heapreplace(heap, end)
  return end - now
