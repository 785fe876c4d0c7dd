"""Forecasts how long an offered job would wait, and whether it ends in time."""

import collections
import dataclasses

from fescueturn.scheduler import admission
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler import unplaceable
from fescueturn.scheduler.decisions import suitability

# Retry delay that a holder without a usable endpoint returns.
NO_ENDPOINT_RETRY_S = 1.0


def record_demand(owner: ownerstate.Owner, offer: linkmessages.Offered):
  """Adds a job to the demand if this holder is the first to be offered it."""
  if offer.number > 1 or offer.resumed:
    return
  job = offer.job
  work_s = sum(step.count * step.estimate_ms for step in job.steps) / 1000
  owner.demand.add(job.queue, job.task_count, work_s, owner.now)


@dataclasses.dataclass(frozen=True)
class Forecast:
  """The expected delay of a job at one owner.

  Attributes:
    wait_s: how much longer it would take than with all slots free.
    late_s: by how much it would be late; 0 if in time.
    reserved_slots: how many slots the job must leave to wider jobs.
  """

  wait_s: float
  late_s: float
  reserved_slots: int = 0


# That of an owner without a usable endpoint for the job.
NO_ENDPOINT = Forecast(NO_ENDPOINT_RETRY_S, NO_ENDPOINT_RETRY_S)


def forecast(owner: ownerstate.Owner, offer: linkmessages.Offered) -> Forecast:
  """Forecasts an offered job's delay behind the running and waiting tasks."""
  first_steps = [s for s in offer.job.steps if not s.after]
  if offer.job.kept:
    # The others are run in other data centres.
    first_steps = (
        unplaceable.runnable_first_steps(owner, offer.job) or first_steps
    )
  by_label: dict[str, list[model.Step]] = {}
  for step in first_steps:
    by_label.setdefault(step.requires, []).append(step)
  forecasts = [_forecast(owner, offer, steps) for steps in by_label.values()]
  return max(forecasts, key=lambda f: (f.late_s, f.wait_s))


def _forecast(
    owner, offer: linkmessages.Offered, steps: list[model.Step]
) -> Forecast:
  """Forecasts the delay by the first steps that require the same label."""
  job = offer.job
  longest = max(steps, key=lambda s: s.estimate_ms)
  count = sum(s.count for s in steps)
  records = [
      r
      for r in owner.endpoints.values()
      if suitability.can_run(r.info, job.service, longest)
      and (
          r.usable(owner.now)
          or (owner.awaiting_endpoints and r.may_have_capacity)
      )
  ]
  free = admission.available_slots(records, longest.need)
  taken = sum(len(r.runs) for r in records)
  reserved_slots = _reserved_for_wider(owner, job, free + taken)
  total = owner.total_slots(job.service, longest.need)
  critical_path_s = admission.critical_path_s(job, total)
  run_s = longest.estimate_ms / 1000
  ahead = _run_times_ahead(owner, latest_start(owner, offer))
  if free - reserved_slots - len(ahead) >= count:
    finish_s = run_s
  else:
    slot_times = admission.slot_free_times(records, longest.need, owner.now)[
        reserved_slots:
    ]
    finish_s = admission.expected_finish_s(
        slot_times, ahead, count, run_s, owner.now
    )
  if finish_s is None:
    return NO_ENDPOINT
  unqueued_s = run_s * _waves(count, free + taken - reserved_slots)
  wait_s = finish_s - unqueued_s
  finish_s += max(0.0, critical_path_s - unqueued_s)
  # The job must end within its objective and, unless it is kept, before its
  # caller stops waiting.
  allowed_s = admission.latest_finish_s(job, total) - offer.age_s
  if not job.kept:
    allowed_s = min(allowed_s, offer.remaining_s)
  late_s = finish_s - allowed_s
  return Forecast(wait_s, max(0.0, late_s), reserved_slots)


def _reserved_for_wider(owner, job: model.Job, total: int) -> int:
  in_use: collections.Counter[str] = collections.Counter()
  for other in owner.jobs.values():
    in_use[other.job.queue] += sum(other.unfinished)
  return owner.demand.reserved_for_wider(
      job.queue, job.task_count, in_use, total
  )


def _waves(count: int, slots: int) -> int:
  return -(-count // max(1, slots))


def _run_times_ahead(
    owner: ownerstate.Owner, latest_start: float
) -> list[float]:
  """Returns the run times (s) of the waiting tasks ahead of a new job's."""
  unsaved = [
      step.estimate_ms / 1000
      for offers in owner.kept_records.unsaved_offers.values()
      for step in offers[0].job.steps
      for _ in range(step.count)
  ]
  return unsaved + [
      task.estimate_s
      for job in owner.jobs.values()
      if job.latest_start <= latest_start
      and job.stranded_since is None
      and not owner.may_have_unknown_runs(job)
      for task in job.waiting
  ]


def latest_start(owner: ownerstate.Owner, offer: linkmessages.Offered) -> float:
  """Returns the latest time (s) to start the first tasks and end in time."""
  need = offer.job.steps[0].need
  total = owner.total_slots(offer.job.service, need)
  slack_s = admission.objective_s(offer.job, total) - admission.critical_path_s(
      offer.job, total
  )
  return owner.now - offer.age_s + slack_s
