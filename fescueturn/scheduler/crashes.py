"""Detects tasks that crash their endpoints, and gives them up.

The endpoints lost while they ran a task are counted. An endpoint that falls
silent may have crashed or be cut off: the loss is confirmed as a crash once
another incarnation answers at its address, and discarded if the same
incarnation answers.

A crash is attributed to a task only if the endpoint had confirmed its run, or
was up when the run was requested. Otherwise it may have crashed before.
"""

from collections.abc import Iterable

from fescueturn import settings
from fescueturn.scheduler import endpointruns
from fescueturn.scheduler import events
from fescueturn.scheduler import keptrecords
from fescueturn.scheduler import model
from fescueturn.scheduler import ownerstate

# The reason of a job that failed because one of its tasks was given up.
REASON = "endpoints_crashed"
# A task is suspected once it has lost this many endpoints. A single endpoint
# may crash by its own fault; two in a row seldom do.
SUSPECTED_LOSSES = 2
# A task that has lost this many endpoints isn't started until it is known
# whether they crashed. A crashed endpoint takes some seconds to return, while
# the task could take down another one each second.
MAX_LOSSES = 3
# The same for a kept job taken over from an earlier holder, which may not have
# stored its last loss if it was killed within a second of it.
MAX_LOSSES_RESUMED = 2
# A task is given up once this many of its lost endpoints have surely crashed.
# Crashes that may have come before the request of the run don't count here.
CONFIRMED_CRASHES_TO_GIVE_UP = 2
# A crashed endpoint isn't back sooner than this. If another incarnation answers
# earlier after the request to start a task, the crash came before the request.
MIN_RESTART_S = 0.2
# An endpoint that crashed within this time may do so again by its own fault.
RECENT_CRASH_S = 15.0


def record_loss(owner: ownerstate.Owner, record, run: endpointruns.Run):
  """Counts an endpoint as lost by the task whose current run was there.

  A draining endpoint ends its runs as planned and is not counted, nor is one
  that was already lost when the run was requested.
  """
  job = owner.by_id.get(run.id.task.job_id)
  task = job.tasks.get(run.id.task) if job else None
  if task is None or not task.is_current(run) or run.loss_recorded:
    return
  run.loss_recorded = True
  if record.info.draining or _crash_came_first(owner, run):
    why = "draining" if record.info.draining else "crash_came_first"
    owner.emit(ownerstate.run_log("loss_ignored", record, run, why=why))
    return
  name = record.info.id
  was_up = run.is_confirmed or run.endpoint_was_up
  lost = model.LostEndpoint(
      task.task, name, record.info.address, record.born_ms, was_up
  )
  task.lost_endpoints[name] = lost
  _add_suspected_crash(owner, lost)
  if job.job.kept:
    _save_losses(owner, job, name)
  losses = _count_losses(task)
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
          was_up=was_up,
          lived_ms=int((record.last_answer_at - run.started_at) * 1000),
      )
  )


def _crash_came_first(owner, run: endpointruns.Run) -> bool:
  """Returns whether the run's endpoint had crashed before it was requested."""
  is_ordered = run.state is endpointruns.RunState.ORDERED
  return is_ordered and owner.now - run.started_at < MIN_RESTART_S


def _add_suspected_crash(owner, lost: model.LostEndpoint):
  loss = owner.suspected_crashes.get(lost.endpoint)
  if loss is None:
    loss = ownerstate.SuspectedCrash(lost.address, owner.now, lost.born_ms)
    owner.suspected_crashes[lost.endpoint] = loss
  loss.tasks.add(lost.task)


def _count_losses(task: ownerstate.TaskRecord) -> int:
  return (
      len(task.lost_endpoints)
      + len(task.crashed)
      + len(task.maybe_crashed_before)
  )


def has_losses(task: ownerstate.TaskRecord) -> bool:
  """Returns whether a task has lost endpoints, which it may have crashed."""
  return _count_losses(task) > 0


def _max_losses(job: ownerstate.JobRecord) -> int:
  if job.resumed and job.job.kept:
    return MAX_LOSSES_RESUMED
  return MAX_LOSSES


def _save_losses(owner, job: ownerstate.JobRecord, endpoint: str):
  """Schedules a write of a job's losses to the store."""
  unsaved = owner.kept_records.unsaved_results.setdefault(job.job.id, set())
  unsaved.add((endpoint, keptrecords.ENDPOINT_LOST))


def confirm_replaced_endpoints(
    owner: ownerstate.Owner, listed: Iterable[model.Endpoint]
) -> list[ownerstate.JobRecord]:
  """Confirms the crash of lost endpoints that another incarnation has replaced.

  The losses of those that drain are discarded: they went on after they were
  lost, and leave as planned.

  Args:
    owner: the owner.
    listed: the endpoints listed now.

  Returns:
    The jobs that lost an endpoint whose crash is confirmed now.
  """
  if not owner.suspected_crashes:
    return []
  listed = list(listed)
  for endpoint in listed:
    if endpoint.draining and not _is_restarted(owner, endpoint):
      discard_losses(owner, endpoint.id)
  incarnations = {endpoint.address: endpoint.id for endpoint in listed}
  crashed = [
      (name, loss.address)
      for name, loss in owner.suspected_crashes.items()
      if incarnations.get(loss.address, name) != name
  ]
  jobs = {
      job.key: job
      for name, address in crashed
      for job in confirm_crash(owner, name, address)
  }
  return list(jobs.values())


def _is_restarted(owner, endpoint: model.Endpoint) -> bool:
  """Returns whether a lost endpoint is listed with a later start."""
  loss = owner.suspected_crashes.get(endpoint.id)
  return loss is not None and 0 < loss.born_ms < endpoint.born_ms


def confirm_crash(
    owner: ownerstate.Owner, name: str, address: settings.Address
) -> list[ownerstate.JobRecord]:
  """Records that an endpoint surely crashed; returns the jobs that lost it."""
  owner.crashed_at[address] = owner.now
  jobs = {}
  for job, task in _pop_losses(owner, name):
    lost = task.lost_endpoints.pop(name, None)
    if lost is None:
      continue  # The job was submitted again since.
    crashed = task.crashed if lost.was_up else task.maybe_crashed_before
    crashed.add(lost.incarnation)
    jobs[job.key] = job
    if job.job.kept:
      _save_losses(owner, job, name)
  return list(jobs.values())


def _pop_losses(owner, name: str):
  """Removes a suspected crash; returns the jobs and tasks that it concerned."""
  loss = owner.suspected_crashes.pop(name, None)
  tasks = loss.tasks if loss is not None else ()
  jobs = [(owner.by_id.get(task.job_id), task) for task in tasks]
  return [(job, job.tasks[task]) for job, task in jobs if job is not None]


def settle_losses(
    owner: ownerstate.Owner, record
) -> list[ownerstate.JobRecord]:
  """Decides on the losses of an endpoint that answers.

  Another incarnation under the same id confirms the crash; the same one
  discards it.

  Returns:
    The jobs that lost it, if its crash is confirmed.
  """
  loss = owner.suspected_crashes.get(record.info.id)
  if loss is not None and loss.born_ms and record.born_ms > loss.born_ms:
    return confirm_crash(owner, record.info.id, loss.address)
  discard_losses(owner, record.info.id)
  return []


def discard_losses(owner: ownerstate.Owner, name: str):
  """Discards the losses of an endpoint that did not crash, or may not have."""
  for _, task in _pop_losses(owner, name):
    task.lost_endpoints.pop(name, None)


def resume_losses(owner: ownerstate.Owner, job: ownerstate.JobRecord):
  """Restores the unconfirmed losses of a job of an earlier holder."""
  for task in job.tasks.values():
    for lost in task.lost_endpoints.values():
      _add_suspected_crash(owner, lost)


def blocks_start(
    owner: ownerstate.Owner,
    job: ownerstate.JobRecord,
    task: ownerstate.TaskRecord,
) -> bool:
  """Returns whether a task must not start yet because it lost endpoints."""
  losses = _count_losses(task)
  if not losses:
    return False
  if losses >= _max_losses(job) and (
      task.lost_endpoints or is_poison(job, task)
  ):
    return True
  # The losses must be in the store, for the next holder, before another
  # endpoint is put at risk. A first loss doesn't have to wait for a store that
  # is unavailable.
  must_save_first = (
      losses >= SUSPECTED_LOSSES or not owner.kept_records.stalled(owner.now)
  )
  return (
      must_save_first
      and job.job.kept
      and owner.kept_records.has_unsaved_loss(job.job.id)
  )


def needs_answer_first(
    owner: ownerstate.Owner,
    job: ownerstate.JobRecord,
    task: ownerstate.TaskRecord,
    record,
) -> bool:
  """Returns whether an endpoint must answer a call before a task starts there.

  If the endpoint is lost then, it was up when the run was requested. Kept jobs
  and tasks that have lost endpoints need that; all others start without the
  delay.
  """
  must_be_up = job.job.kept or has_losses(task)
  return must_be_up and not record.answered_recently(owner.now)


def is_poison(job: ownerstate.JobRecord, task: ownerstate.TaskRecord) -> bool:
  """Returns whether a task surely crashes the endpoints that start it."""
  confirmed = len(task.crashed) >= CONFIRMED_CRASHES_TO_GIVE_UP
  return confirmed and _count_losses(task) >= _max_losses(job)


def crashed_recently(owner: ownerstate.Owner, record) -> bool:
  """Returns whether an earlier incarnation of the endpoint crashed recently."""
  at = owner.crashed_at.get(record.info.address)
  return at is not None and owner.now - at < RECENT_CRASH_S


def forget_old_crashes(owner: ownerstate.Owner):
  """Removes crashes and unconfirmed losses that are too old to be relevant."""
  old_addresses = [
      a for a, at in owner.crashed_at.items() if owner.now - at > RECENT_CRASH_S
  ]
  for address in old_addresses:
    del owner.crashed_at[address]
  unconfirmed = [
      name
      for name, loss in owner.suspected_crashes.items()
      if name not in owner.endpoints and owner.now - loss.since > RECENT_CRASH_S
  ]
  for name in unconfirmed:
    discard_losses(owner, name)


def give_up_log(job: ownerstate.JobRecord) -> events.Log:
  """Returns the log line of a job given up because it crashed endpoints."""
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
