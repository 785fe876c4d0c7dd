"""Forecasts how long an offered job would wait, and whether it ends in time."""

import dataclasses
import math
from collections.abc import Mapping

from fescueturn.scheduler import model
from fescueturn.scheduler.decisions import admission
from fescueturn.scheduler.decisions import order

# Retry delay (s) that a holder without a usable endpoint returns.
NO_ENDPOINT_RETRY_S = 1.0
# More urgent jobs that arrive later are assumed to leave at least this part of
# the room that becomes free. It bounds the forecast wait if their demand alone
# fills all slots; the slots guaranteed to the job's own urgency are counted
# separately (`_wait_in_guaranteed`).
MIN_PART_LEFT = 0.1


@dataclasses.dataclass(frozen=True)
class Slot:
  """Room for one task of the offered job's size.

  Attributes:
    free_at: when it becomes free (s); the present time if it is free.
    priority: the urgency of the job that uses it; None if it is free.
  """

  free_at: float
  priority: int | None = None


@dataclasses.dataclass(frozen=True)
class Room:
  """The room of one service at one owner, and who waits for it.

  Attributes:
    slots: the slots for tasks of the offered job's size, soonest first.
    waiting: the waiting jobs.
    in_use: how many slots the jobs of each urgency use.
    total: how many slots all data centres have together.
    time_factor: how many times the usual time a task takes at its endpoints.
    urgent_slots: how many slots more urgent jobs will use, by their demand.
    reserved_slots: how many slots the job must leave to wider jobs.
    run_times: the spread of run times.
  """

  slots: tuple[Slot, ...]
  waiting: tuple[order.WaitingJob, ...]
  in_use: Mapping[int, int]
  total: int
  time_factor: float
  urgent_slots: float
  reserved_slots: int
  run_times: admission.RunTimes


@dataclasses.dataclass(frozen=True)
class Forecast:
  """What is expected of a job at one owner.

  Attributes:
    wait_s: how long from now the last of its first tasks would wait (s).
    late_s: by how much it would wait too long (s); 0 if it is to be accepted.
    chance: the chance that it ends in time.
    free_slots: how many of its tasks could start now.
    tasks_ahead: how many waiting tasks would start before its own.
    reserved_slots: how many slots the job must leave to wider jobs.
  """

  wait_s: float
  late_s: float
  chance: float = 0.0
  free_slots: int = 0
  tasks_ahead: int = 0
  reserved_slots: int = 0


_NO_ENDPOINT = Forecast(NO_ENDPOINT_RETRY_S, NO_ENDPOINT_RETRY_S)


def forecast(
    room: Room,
    job: model.Job,
    age_s: float,
    remaining_s: float,
    now: float,
) -> Forecast:
  """Forecasts an offered job's delay behind the running and waiting tasks.

  Args:
    room: the owner's room.
    job: the job.
    age_s: the time since it arrived (s).
    remaining_s: the time until its caller stops waiting (s).
    now: the time (s).
  """
  chance = admission.CHANCE_TO_KEEP if job.kept else admission.CHANCE_TO_ACCEPT
  latest_wait_s = admission.latest_wait_s(
      job, room.total, chance, room.time_factor, room.run_times
  )
  latest_start = now - age_s + latest_begin_s(room, job)
  waits = [_wait_in_turn(room, job, latest_start, now)]
  if len(_guaranteed(room, job.priority)) > 1:
    waits.append(_wait_in_guaranteed(room, job, latest_start, now))
  wait_s = min((s for s in waits if s is not None), default=None)
  if wait_s is None:
    return _NO_ENDPOINT
  late_s = age_s + wait_s - latest_wait_s
  if not job.kept:
    # It must also end before its caller stops waiting.
    path_s = admission.critical_path_s(job, room.total)
    late_s = max(late_s, wait_s + path_s - remaining_s)
  chance = admission.chance_in_time(
      job, room.total, age_s + wait_s, room.time_factor, room.run_times
  )
  return Forecast(
      wait_s,
      max(0.0, late_s),
      chance,
      sum(slot.priority is None for slot in room.slots),
      sum(len(waiting.run_s) for waiting in room.waiting),
      room.reserved_slots,
  )


def latest_begin_s(room: Room, job: model.Job) -> float:
  """Returns how long after its arrival (s) a job may still begin."""
  return admission.latest_wait_s(
      job,
      room.total,
      admission.CHANCE_TO_BEGIN,
      room.time_factor,
      room.run_times,
  )


def _guaranteed(room: Room, priority: int) -> dict[int, float]:
  """Returns the slots that are guaranteed to each urgency that has jobs."""
  waiting = {job.priority for job in room.waiting}
  return order.guaranteed_slots(
      {priority, *room.in_use, *waiting}, len(room.slots)
  )


def _wait_in_turn(
    room: Room, job: model.Job, latest_start: float, now: float
) -> float | None:
  """Returns how long (s) a job waits that gets room in its turn.

  More urgent jobs that arrive while it waits go before it.
  """
  ahead = order.tasks_ahead(
      room.waiting,
      job.priority,
      latest_start,
      room.in_use,
      _guaranteed(room, job.priority),
  )
  slots = [slot.free_at for slot in room.slots[room.reserved_slots :]]
  wait_s = _last_start_s(room, slots, ahead, job, now)
  if wait_s is None:
    return None
  part_left = 1 - room.urgent_slots / len(room.slots)
  return wait_s / max(MIN_PART_LEFT, part_left)


def _wait_in_guaranteed(
    room: Room, job: model.Job, latest_start: float, now: float
) -> float | None:
  """Returns how long (s) a job waits in what its urgency is guaranteed.

  These are the slots that its urgency uses, and the next ones that become free.
  """
  count = math.ceil(_guaranteed(room, job.priority)[job.priority])
  own = [s.free_at for s in room.slots if s.priority == job.priority]
  others = [s.free_at for s in room.slots if s.priority != job.priority]
  lacking = max(0, count - len(own))
  slots = sorted(own + others[:lacking])[:count]
  ahead = [
      run_s
      for other in room.waiting
      if other.priority == job.priority
      and (other.begun or other.latest_start <= latest_start)
      for run_s in other.run_s
  ]
  return _last_start_s(room, slots, ahead, job, now)


def _last_start_s(
    room: Room,
    slots: list[float],
    ahead: list[float],
    job: model.Job,
    now: float,
) -> float | None:
  """Returns how long (s) the last of a job's first tasks waits for a slot.

  If a job has more tasks than there are slots at all, the time in which they
  wait for each other doesn't count.
  """
  first_steps = [s for s in job.steps if not s.after]
  run_s = max(s.estimate_ms for s in first_steps) / 1000
  count = sum(s.count for s in first_steps)
  finish_s = admission.expected_finish_s(slots, ahead, count, run_s, now)
  if finish_s is None:
    return None
  waves = -(-count // max(1, len(room.slots) - room.reserved_slots))
  return max(0.0, finish_s - run_s * waves)
