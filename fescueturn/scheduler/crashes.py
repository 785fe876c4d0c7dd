"""Tasks that take their endpoints down: the endpoints lost under each are counted.

An endpoint that falls silent under a task may have crashed or be cut off: the
loss is doubtful until another life answers at its address, and forgotten if the
same life does. A task under which too many have crashed is given up.
"""

from collections.abc import Iterable

from fescueturn import settings
from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import events
from fescueturn.scheduler import keptrecords
from fescueturn.scheduler import model
from fescueturn.scheduler import ownerstate

# Why a job failed whose task was given up.
REASON = "endpoints_crashed"
# A task that lost so many endpoints is suspected: one loss may be an endpoint's own
# crash, two one after the other seldom are.
SUSPECTED_LOSSES = 2
# A task that lost so many starts no more until it is known what became of them. A
# crashed endpoint is back after some seconds; a task is lost anew each second.
MAX_LOSSES = 3
# The same for a job that an earlier holder had: one that is killed within a second
# of a loss has not stored it.
MAX_LOSSES_RESUMED = 2
# It is given up once so many of them have surely crashed.
CONFIRMED_CRASHES_TO_GIVE_UP = 2
# An endpoint that crashed this short a time ago may be one that does so by itself.
RECENT_CRASH_S = 15.0


def record_loss(owner: ownerstate.Owner, record, run: endpointstate.Run):
  """Counts the endpoint as lost under the run's task, if it is its run.

  An endpoint that leaves as planned takes its runs with it, and is no loss.
  """
  job = owner.by_id.get(run.id.task.job_id)
  task = job.tasks.get(run.id.task) if job else None
  if task is None or task.run != run.id or record.info.draining:
    return
  name = record.info.id
  task.lost_endpoints[name] = record.info.address
  _doubt(owner, name, task)
  if job.job.kept:
    _save(owner, job, name)
  losses = _losses(task)
  if losses < SUSPECTED_LOSSES:
    return
  owner.counters["task_suspected"] += 1
  owner.emit(
      ownerstate.run_log(
          "task_suspected",
          record,
          run,
          losses=losses,
          crashes=len(task.crashed),
          lived_ms=int((record.last_answer_at - run.started_at) * 1000),
      )
  )


def _doubt(owner, name: str, task: ownerstate.TaskRecord):
  loss = owner.suspected_crashes.get(name)
  if loss is None:
    loss = ownerstate.SuspectedCrash(task.lost_endpoints[name], owner.now)
    owner.suspected_crashes[name] = loss
  loss.tasks.add(task.task)


def _losses(task: ownerstate.TaskRecord) -> int:
  return len(task.lost_endpoints) + len(task.crashed)


def _most_losses(job: ownerstate.JobRecord) -> int:
  if job.resumed and job.job.kept:
    return MAX_LOSSES_RESUMED
  return MAX_LOSSES


def _save(owner, job: ownerstate.JobRecord, endpoint: str):
  """Has what a job's tasks lost written to the store."""
  unsaved = owner.kept_records.unsaved_results.setdefault(job.job.id, set())
  unsaved.add((endpoint, keptrecords.ENDPOINT_LOST))


def confirm_replaced_endpoints(
    owner: ownerstate.Owner, listed: Iterable[model.Endpoint]
) -> list[ownerstate.JobRecord]:
  """Looks for other lives at the addresses of endpoints in doubt.

  Args:
    owner: the owner.
    listed: the endpoints listed now.

  Returns:
    The jobs that lost an endpoint which has surely crashed.
  """
  if not owner.suspected_crashes:
    return []
  lives = {endpoint.address: endpoint.id for endpoint in listed}
  crashed = [
      (name, loss.address)
      for name, loss in owner.suspected_crashes.items()
      if lives.get(loss.address, name) != name
  ]
  jobs = {
      job.key: job
      for name, address in crashed
      for job in confirm_crash(owner, name, address)
  }
  return list(jobs.values())


def confirm_crash(
    owner: ownerstate.Owner, name: str, address: settings.Address
) -> list[ownerstate.JobRecord]:
  """Takes it that an endpoint surely crashed; returns the jobs that lost it."""
  owner.crashed_at[address] = owner.now
  jobs = {}
  for job, task in _take_losses(owner, name):
    task.lost_endpoints.pop(name, None)
    task.crashed.add(name)
    jobs[job.key] = job
    if job.job.kept:
      _save(owner, job, name)
  return list(jobs.values())


def _take_losses(owner, name: str):
  """Returns the tasks that lost an endpoint, each with its job."""
  loss = owner.suspected_crashes.pop(name, None)
  tasks = loss.tasks if loss is not None else ()
  jobs = [(owner.by_id.get(task.job_id), task) for task in tasks]
  return [(job, job.tasks[task]) for job, task in jobs if job is not None]


def discard_losses(owner: ownerstate.Owner, name: str):
  """Takes it that an endpoint did not crash, or that it can't be told."""
  for _, task in _take_losses(owner, name):
    task.lost_endpoints.pop(name, None)


def resume_losses(owner: ownerstate.Owner, job: ownerstate.JobRecord):
  """Takes up the losses that an earlier holder has counted for a job."""
  for task in job.tasks.values():
    for name in task.lost_endpoints:
      _doubt(owner, name, task)


def blocks_start(
    owner: ownerstate.Owner,
    job: ownerstate.JobRecord,
    task: ownerstate.TaskRecord,
) -> bool:
  """Returns whether a task must not start yet for the endpoints it lost."""
  losses = _losses(task)
  if not losses:
    return False
  if losses >= _most_losses(job):
    return True
  # The next holder must know of them before another endpoint is put at risk; a
  # first loss is no reason to wait for a store that is away.
  wait = losses >= SUSPECTED_LOSSES or not owner.kept_records.stalled(owner.now)
  return (
      wait and job.job.kept and owner.kept_records.has_unsaved_loss(job.job.id)
  )


def is_poison(job: ownerstate.JobRecord, task: ownerstate.TaskRecord) -> bool:
  """Returns whether a task surely crashes the endpoints that start it."""
  sure = len(task.crashed) >= CONFIRMED_CRASHES_TO_GIVE_UP
  return sure and _losses(task) >= _most_losses(job)


def crashed_recently(owner: ownerstate.Owner, record) -> bool:
  """Returns whether an earlier life at the endpoint's address crashed of late."""
  at = owner.crashed_at.get(record.info.address)
  return at is not None and owner.now - at < RECENT_CRASH_S


def forget_old_crashes(owner: ownerstate.Owner):
  """Forgets crashes, and losses in doubt, that say nothing any more."""
  old = [
      a for a, at in owner.crashed_at.items() if owner.now - at > RECENT_CRASH_S
  ]
  for address in old:
    del owner.crashed_at[address]
  untold = [
      name
      for name, loss in owner.suspected_crashes.items()
      if name not in owner.endpoints and owner.now - loss.since > RECENT_CRASH_S
  ]
  for name in untold:
    discard_losses(owner, name)


def give_up_log(job: ownerstate.JobRecord) -> events.Log:
  """Returns the log line of a job given up for the endpoints it crashed."""
  task = next(t for t in job.tasks.values() if is_poison(job, t))
  return events.log(
      "task_given_up",
      job=job.job.id,
      step=task.task.step,
      task=task.task.index,
      starts=task.attempt,
      crashed=",".join(sorted(task.crashed)),
      lost=",".join(sorted(task.lost_endpoints)) or "none",
  )
