"""Admission: critical paths, objectives, and the chance of ending in time.

A caller's objective is a multiple of what its job really takes, and only the
declared run time is known beforehand. Whether a job that has to wait ends in
time is therefore a chance. With a wait w, on endpoints that take f times the
usual time, a job that takes x times its declared time d ends in time if

    w + f * x * d <= stretch * x * d + slo
"""

import heapq
import math
from collections.abc import Iterable
from typing import Protocol

from fescueturn.scheduler import model

# A job is accepted to wait if it ends in time with at least this chance. A late
# answer is worth little to its caller, and the room that it takes would serve
# another caller in time.
CHANCE_TO_ACCEPT = 0.9
# The same for a kept job. Its caller doesn't wait for it, and it is run in any
# case once it is accepted.
CHANCE_TO_KEEP = 0.5
# A waiting job is refused once its chance, if it began now, is lower than this.
# The time at which that happens is set when the job is accepted, and also
# orders waiting jobs of equal urgency. Kept jobs are never refused. It is below
# `CHANCE_TO_ACCEPT`, so that an accepted job may wait longer than forecast.
CHANCE_TO_BEGIN = 0.75
# A job that waits no longer than this is accepted and begun whatever its
# chance: it finds free room at once, so refusing it would leave that room
# unused.
FREE_ROOM_WAIT_S = 0.02
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


class RunTimes(Protocol):
  """The spread of the ratio of actual to declared run times, by queue."""

  def share_below(self, queue: str, ratio: float) -> float:
    """Returns the share of a queue's runs with a smaller ratio."""

  def quantile(self, queue: str, share: float) -> float:
    """Returns the ratio below which a share of a queue's runs is."""


def chance_in_time(
    job: model.Job,
    slots: int,
    wait_s: float,
    time_factor: float,
    run_times: RunTimes,
) -> float:
  """Returns the chance that a job ends within its objective.

  Args:
    job: the job.
    slots: the number of slots in total.
    wait_s: how long the job waits in all, from its arrival on (s).
    time_factor: how many times the usual time its tasks take.
    run_times: the spread of run times.
  """
  spare_s = wait_s - job.slo_ms / 1000
  gain_s = (job.stretch - time_factor) * critical_path_s(job, slots)
  if not gain_s:
    return float(spare_s <= 0)
  below = run_times.share_below(job.queue, spare_s / gain_s)
  return 1 - below if gain_s > 0 else below


def latest_wait_s(
    job: model.Job,
    slots: int,
    chance: float,
    time_factor: float,
    run_times: RunTimes,
) -> float:
  """Returns the longest wait that leaves a given chance of ending in time.

  Args:
    job: the job.
    slots: the number of slots in total.
    chance: the chance (0 to 1).
    time_factor: how many times the usual time its tasks take.
    run_times: the spread of run times.

  Returns:
    Seconds from the job's arrival; at least `FREE_ROOM_WAIT_S`.
  """
  gain_s = (job.stretch - time_factor) * critical_path_s(job, slots)
  share = 1 - chance if gain_s > 0 else chance
  wait_s = job.slo_ms / 1000 + gain_s * run_times.quantile(job.queue, share)
  return max(FREE_ROOM_WAIT_S, wait_s)


def expected_finish_s(
    slots: list[float],
    ahead: Iterable[float],
    count: int,
    run_s: float,
    now: float,
) -> float | None:
  """Returns when the last of `count` tasks would end, in seconds from now.

  Args:
    slots: when slots become free (s), soonest first.
    ahead: the expected run times (s) of the tasks queued before these.
    count: how many tasks are to run.
    run_s: how long each of them is expected to run (s).
    now: the time (s).

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
