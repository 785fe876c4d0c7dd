"""What a job offered to an owner can expect there: how long, and if in time."""

import collections
import dataclasses

from fescueturn.scheduler import admission
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import ownerstate

# What a host without a usable endpoint says of when to come back.
NO_PLACE_WAIT_S = 1.0


def record_demand(owner: ownerstate.Owner, offer: linkmessages.Offered):
  """Counts a job where it is offered first, and only there."""
  if offer.number > 1 or offer.resumed:
    return
  job = offer.job
  work_s = sum(step.count * step.estimate_ms for step in job.steps) / 1000
  owner.demand.add(job.queue, job.task_count, work_s, owner.now)


@dataclasses.dataclass(frozen=True)
class Forecast:
  """What a job could expect here.

  Attributes:
    wait_s: how much longer it would take than with all places free.
    late_s: by how much it would be late; 0 if in time.
    kept: how many places it must leave to wider jobs.
  """

  wait_s: float
  late_s: float
  reserved_slots: int = 0


_NO_PLACE = Forecast(NO_PLACE_WAIT_S, NO_PLACE_WAIT_S)


def forecast(owner: ownerstate.Owner, offer: linkmessages.Offered) -> Forecast:
  """Plays what is at work and what waits against the job's tasks."""
  job = offer.job
  first = [s for s in job.steps if not s.after]
  widest = max(first, key=lambda s: s.estimate_ms)
  count = sum(s.count for s in first)
  records = [
      r
      for r in owner.endpoints.values()
      if r.info.service == job.service
      and (
          r.usable(owner.now)
          or (owner.awaiting_endpoints and r.may_have_capacity)
      )
  ]
  free = admission.available_slots(records, widest.need)
  taken = sum(len(r.runs) for r in records)
  reserved_slots = _kept_for_wider(owner, job, free + taken)
  total = owner.total_slots(job.service, widest.need)
  critical_path_s = admission.critical_path_s(job, total)
  run_s = widest.estimate_ms / 1000
  ahead = _work_ahead(owner, latest_start(owner, offer))
  if free - reserved_slots - len(ahead) >= count:
    finish_s = run_s
  else:
    total_slots = admission.slot_free_times(records, widest.need, owner.now)[
        reserved_slots:
    ]
    finish_s = admission.expected_finish_s(
        total_slots, ahead, count, run_s, owner.now
    )
  if finish_s is None:
    return _NO_PLACE
  unhindered_s = run_s * _waves(count, free + taken - reserved_slots)
  wait_s = finish_s - unhindered_s
  finish_s += max(0.0, critical_path_s - unhindered_s)
  # No longer than its objective allows, nor than its caller waits.
  allowed_s = admission.latest_finish_s(job, total) - offer.age_s
  if not job.kept:
    allowed_s = min(allowed_s, offer.remaining_s)
  late_s = finish_s - allowed_s
  return Forecast(wait_s, max(0.0, late_s), reserved_slots)


def _kept_for_wider(owner, job: model.Job, total: int) -> int:
  in_use: collections.Counter[str] = collections.Counter()
  for other in owner.jobs.values():
    in_use[other.job.queue] += sum(other.unfinished)
  return owner.demand.reserved_for_wider(
      job.queue, job.task_count, in_use, total
  )


def _waves(count: int, total_slots: int) -> int:
  return -(-count // max(1, total_slots))


def _work_ahead(owner: ownerstate.Owner, latest_start: float) -> list[float]:
  """Returns the run times (s) of waiting tasks that go before a new job's."""
  arriving = [
      step.estimate_ms / 1000
      for offers in owner.kept_records.unsaved_offers.values()
      for step in offers[0].job.steps
      for _ in range(step.count)
  ]
  return arriving + [
      task.estimate_s
      for job in owner.jobs.values()
      if job.latest_start <= latest_start
      and (owner.recovered or not job.resumed)
      for task in job.waiting
  ]


def latest_start(owner: ownerstate.Owner, offer: linkmessages.Offered) -> float:
  """Returns when the job's first tasks should start, to end in time (s)."""
  need = offer.job.steps[0].need
  total = owner.total_slots(offer.job.service, need)
  spare_s = admission.objective_s(offer.job, total) - admission.critical_path_s(
      offer.job, total
  )
  return owner.now - offer.age_s + spare_s
