"""What an owner's decisions on waiting jobs look at, as frozen values."""

import collections
from collections.abc import Iterable

from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler.decisions import admission
from fescueturn.scheduler.decisions import forecast
from fescueturn.scheduler.decisions import order

# A run is expected to go on for at least this part of its estimate, even if it
# has taken longer than the estimate: most of these end within another third.
OVERDUE_PART = 0.2


def room_for(owner: ownerstate.Owner, job: model.Job) -> forecast.Room:
  """Returns the room for a job's first tasks, and who waits for it."""
  first_steps = [s for s in job.steps if not s.after]
  need = max(first_steps, key=lambda s: s.estimate_ms).need
  records = [
      r
      for r in owner.endpoints.values()
      if r.info.service == job.service
      and (
          r.usable(owner.now)
          or (owner.awaiting_endpoints and r.may_have_capacity)
      )
  ]
  slots = slots_for(owner, records, need)
  unfinished: collections.Counter[str] = collections.Counter()
  for other in owner.jobs.values():
    unfinished[other.job.queue] += sum(other.unfinished)
  return forecast.Room(
      slots,
      _waiting(owner, job.service),
      owner.slots_in_use(job.service),
      owner.total_slots(job.service, need),
      time_factor(records),
      owner.demand.more_urgent_slots(job.priority),
      owner.demand.reserved_for_wider(
          job.queue, job.task_count, unfinished, len(slots), job.priority
      ),
      owner.run_times,
  )


def waiting_job(job: ownerstate.JobRecord) -> order.WaitingJob:
  """Returns the waiting tasks of a job."""
  return order.WaitingJob(
      job.key,
      job.job.priority,
      job.begun,
      job.latest_start,
      tuple(task.estimate_s for task in job.waiting),
  )


def _waiting(
    owner: ownerstate.Owner, service: str
) -> tuple[order.WaitingJob, ...]:
  waiting = [
      waiting_job(job)
      for job in owner.jobs.values()
      if job.waiting
      and job.job.service == service
      and not owner.may_have_unknown_runs(job)
  ]
  unsaved = [
      _unsaved_job(owner, offers[0])
      for offers in owner.kept_records.unsaved_offers.values()
      if offers[0].job.service == service
  ]
  return tuple(waiting + unsaved)


def _unsaved_job(
    owner: ownerstate.Owner, offer: linkmessages.Offered
) -> order.WaitingJob:
  """Returns a kept job that is about to be accepted, as if it waited."""
  run_s = tuple(
      step.estimate_ms / 1000
      for step in offer.job.steps
      for _ in range(step.count)
  )
  return order.WaitingJob(
      offer.key, offer.job.priority, False, owner.now, run_s
  )


def chance_now(owner: ownerstate.Owner, job: ownerstate.JobRecord) -> float:
  """Returns the chance that a job ends in time if it begins now."""
  records = [
      r for r in owner.endpoints.values() if r.info.service == job.job.service
  ]
  need = job.job.steps[0].need
  return admission.chance_in_time(
      job.job,
      owner.total_slots(job.job.service, need),
      owner.now - job.arrived,
      time_factor(records),
      owner.run_times,
  )


def time_factor(records: Iterable[endpointstate.EndpointRecord]) -> float:
  """Returns how many times the usual time a task takes at some endpoints."""
  factors = [record.slowness for record in records]
  return sum(factors) / len(factors) if factors else 1.0


def slots_for(
    owner: ownerstate.Owner,
    records: Iterable[endpointstate.EndpointRecord],
    need: model.Resources,
) -> tuple[forecast.Slot, ...]:
  """Returns the slots for tasks of `need`, those that are free first."""
  slots = []
  for record in records:
    slots += _endpoint_slots(owner, record, need)
  slots.sort(key=lambda slot: slot.free_at)
  return tuple(slots)


def _endpoint_slots(
    owner: ownerstate.Owner,
    record: endpointstate.EndpointRecord,
    need: model.Resources,
) -> list[forecast.Slot]:
  """Returns the slots of one endpoint as its runs end one after the other."""
  unused = record.info.slots - len(record.runs)
  free = record.free
  count = max(0, min(free.count(need), unused))
  slots = [forecast.Slot(owner.now)] * count
  ends = sorted(
      (
          (_expected_end(record, run, owner.now), run)
          for run in record.runs.values()
      ),
      key=lambda pair: pair[0],
  )
  for end, run in ends:
    unused += 1
    used = run.need or record.info.capacity
    free = model.Resources(
        free.cpu + used.cpu, free.mem_mb + used.mem_mb, free.gpu + used.gpu
    )
    now_fit = max(count, min(free.count(need), unused))
    priority = _priority(owner, run)
    slots += [forecast.Slot(end, priority)] * (now_fit - count)
    count = now_fit
  return slots


def _expected_end(record, run: endpointstate.Run, now: float) -> float:
  soon = now + OVERDUE_PART * run.estimate_ms / 1000
  return max(run.expected_end(record.slowness), soon)


def _priority(owner: ownerstate.Owner, run: endpointstate.Run) -> int:
  job = owner.by_id.get(run.id.task.job_id)
  return job.job.priority if job else model.LEAST_URGENT
