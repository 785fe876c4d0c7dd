"""An owner and its jobs: taken, declined, or given up by their coordinator."""

import collections
import dataclasses

from fescueturn.scheduler import admission
from fescueturn.scheduler import events
from fescueturn.scheduler import leases
from fescueturn.scheduler import ledger
from fescueturn.scheduler import model
from fescueturn.scheduler import orders
from fescueturn.scheduler import outcomes
from fescueturn.scheduler import ownerstate

# What a host without a usable endpoint says of when to come back.
NO_PLACE_WAIT_S = 1.0
# A job that begins this soon counts as begun at once: asking another data
# centre takes a round trip of 1 to 2 ms and may find no more room.
AT_ONCE_S = 0.005


def offered(owner: ownerstate.Owner, offer: events.Offered):
  """Takes or declines a job."""
  owner.heard[offer.key.party] = owner.now
  if offer.key in owner.jobs:
    owner.tell(offer.key.party, events.Accepted(offer.key, offer.number))
    return
  earlier = owner.by_id.get(offer.job.id)
  if earlier is not None:
    # The caller came back through another host: its first try is over.
    outcomes.end_job(owner, earlier, model.Outcome.UNKNOWN, "sent_again")
    offer = dataclasses.replace(offer, resumed=True)
  _note_demand(owner, offer)
  if not offer.resumed and not owner.just_taken:
    outlook = _outlook(owner, offer)
    must_wait = outlook.wait_s > AT_ONCE_S
    if outlook.late_s or (offer.at_once and must_wait):
      _decline(owner, offer, outlook)
      return
  _accept(owner, offer)
  orders.place(owner)


def _note_demand(owner: ownerstate.Owner, offer: events.Offered):
  """Counts a job where it is offered first, and only there."""
  if offer.number > 1 or offer.resumed:
    return
  job = offer.job
  work_s = sum(step.count * step.estimate_ms for step in job.steps) / 1000
  owner.demand.add(job.queue, job.task_count, work_s, owner.now)


def _places(owner: ownerstate.Owner, need: model.Room, service: str) -> int:
  """Returns how many tasks of `need` all listed endpoints run at once."""
  return sum(
      min(e.slots, e.capacity.count(need))
      for e in owner.all_endpoints
      if e.service == service
  )


@dataclasses.dataclass(frozen=True)
class _Outlook:
  """What a job could expect here.

  Attributes:
    wait_s: how much longer it would take than with all places free.
    late_s: by how much it would be late; 0 if in time.
    kept: how many places it must leave to wider jobs.
  """

  wait_s: float
  late_s: float
  kept: int = 0


_NO_PLACE = _Outlook(NO_PLACE_WAIT_S, NO_PLACE_WAIT_S)


def _outlook(owner: ownerstate.Owner, offer: events.Offered) -> _Outlook:
  """Plays what is at work and what waits against the job's tasks."""
  job = offer.job
  first = [s for s in job.steps if not s.after]
  widest = max(first, key=lambda s: s.estimate_ms)
  count = sum(s.count for s in first)
  records = [
      r
      for r in owner.endpoints.values()
      if r.usable(owner.now) and r.info.service == job.service
  ]
  places = admission.free_times(records, widest.need, owner.now)
  kept = _kept_for_wider(owner, job, len(places))
  del places[:kept]
  total = _places(owner, widest.need, job.service)
  chain_s = admission.chain_s(job, total)
  run_s = widest.estimate_ms / 1000
  ahead = _work_ahead(owner, _latest_start(owner, offer))
  finish_s = admission.expected_finish_s(places, ahead, count, run_s, owner.now)
  if finish_s is None:
    return _NO_PLACE
  unhindered_s = run_s * _waves(count, len(places))
  wait_s = finish_s - unhindered_s
  finish_s += max(0.0, chain_s - unhindered_s)
  # No longer than its objective allows, nor than its caller waits.
  allowed_s = admission.latest_finish_s(job, total) - offer.age_s
  late_s = finish_s - min(allowed_s, offer.left_s)
  return _Outlook(wait_s, max(0.0, late_s), kept)


def _kept_for_wider(owner, job: model.Job, total: int) -> int:
  in_use: collections.Counter[str] = collections.Counter()
  for other in owner.jobs.values():
    in_use[other.job.queue] += sum(other.left)
  return owner.demand.kept_for_wider(job.queue, job.task_count, in_use, total)


def _waves(count: int, places: int) -> int:
  return -(-count // max(1, places))


def _work_ahead(owner: ownerstate.Owner, latest_start: float) -> list[float]:
  """Returns the run times (s) of waiting tasks that go before a new job's."""
  return [
      task.estimate_s
      for job in owner.jobs.values()
      if job.latest_start <= latest_start and (owner.settled or not job.resumed)
      for task in job.waiting
  ]


def _latest_start(owner: ownerstate.Owner, offer: events.Offered) -> float:
  need = offer.job.steps[0].need
  total = _places(owner, need, offer.job.service)
  spare_s = admission.objective_s(offer.job, total) - admission.chain_s(
      offer.job, total
  )
  return owner.now - offer.age_s + spare_s


def _decline(owner, offer: events.Offered, outlook: _Outlook):
  in_time = not outlook.late_s
  wait_ms = max(1, int(1000 * (outlook.wait_s if in_time else outlook.late_s)))
  owner.counters["put_off" if in_time else "declined"] += 1
  owner.out(
      events.log(
          "job_put_off" if in_time else "job_declined",
          job=offer.job.id,
          coordinator=offer.key.party.host,
          wait_ms=wait_ms,
          waiting_jobs=sum(bool(j.waiting) for j in owner.jobs.values()),
          kept_for_wider=outlook.kept,
          fence=owner.fence,
      )
  )
  owner.tell(
      offer.key.party,
      events.Declined(offer.key, offer.number, wait_ms, in_time),
  )


def _accept(owner, offer: events.Offered):
  record = ownerstate.JobRecord(offer, owner.now, _latest_start(owner, offer))
  owner.jobs[offer.key] = record
  owner.by_id[offer.job.id] = record
  owner.counters["accepted"] += 1
  owner.tell(offer.key.party, events.Accepted(offer.key, offer.number))
  _find_runs(owner, record)


def _find_runs(owner, job: ownerstate.JobRecord):
  """Takes up what an earlier holder, or an earlier try, started of the job."""
  for record in owner.endpoints.values():
    for run in list(record.runs.values()):
      if run.id.task.job_id == job.job.id:
        _take_up(owner, job, record, run)
  for task in list(job.tasks.values()):
    early = owner.early_ends.pop(task.task, None)
    if early is None or task.state is not ownerstate.TaskState.WAITING:
      continue
    task.attempt = max(task.attempt, early.attempt)
    if early.how is model.EndHow.DONE:
      job.task_done(task)
  if job.done:
    outcomes.end_job(owner, job, model.Outcome.DONE, "done")


def _take_up(owner, job: ownerstate.JobRecord, record, run: ledger.Run):
  task = job.tasks.get(run.id.task)
  if task is None:
    return
  task.attempt = max(task.attempt, run.id.attempt)
  if run.need is None and run.state is ledger.RunState.RUNNING:
    leases.adopt(owner, record, run)
  elif not run.given_back:
    # It is being stopped: the next run of the task waits for its end.
    task.previous = run.id


def withdrawn(owner: ownerstate.Owner, key: events.JobKey):
  """The coordinator gave the job up."""
  job = owner.jobs.get(key)
  if job is not None:
    outcomes.end_job(owner, job, None, "withdrawn")
    orders.place(owner)
