"""An owner's orders: which waiting task starts where, and what is stopped."""

from fescueturn.scheduler import crashes
from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import events
from fescueturn.scheduler import model
from fescueturn.scheduler import ownerstate

# A task is not started again when its caller waits no longer than this.
MIN_TIME_LEFT_S = 0.02
# An order to start is sent so often to the same endpoint before its run is stopped:
# with three in ten orders lost, three are one time in forty. Weighed against a stop
# and a start elsewhere at once, which takes three calls that must all be answered:
# with that 0.61 of an emulated load were served in time, with this 0.76.
MAX_SENDS = 3


def start_waiting_tasks(owner: ownerstate.Owner):
  """Starts waiting tasks wherever there is room, most urgent jobs first."""
  if owner.fenced or not owner.may_start:
    return
  waiting = [job for job in owner.jobs.values() if job.waiting]
  if not waiting:
    return
  usable = [r for r in owner.endpoints.values() if r.usable(owner.now)]
  if not usable:
    return
  waiting.sort(key=lambda job: job.latest_start)
  for job in waiting:
    if job.deadline - owner.now < MIN_TIME_LEFT_S:
      continue
    if job.returning or (job.resumed and not owner.recovered):
      continue
    for task in list(job.waiting):
      if task.previous_run is not None or crashes.blocks_start(
          owner, job, task
      ):
        continue
      record = _choose(owner, job, task, usable)
      if record is None:
        break
      _start(owner, job, task, record)


def _choose(owner, job, task: ownerstate.TaskRecord, usable):
  """Returns the quickest endpoint with room for the task, or None."""
  step = task.step
  lost = bool(task.lost_endpoints or task.crashed)
  best, best_rank = None, None
  for record in usable:
    if record.info.service != job.job.service or not record.fits(step.need):
      continue
    if step.requires and step.requires not in record.info.labels:
      continue
    if step.most_per_endpoint and _of_step(record, task) >= (
        step.most_per_endpoint
    ):
      continue
    near = not step.near or step.near in record.info.labels
    left = record.info.id == task.moved_from
    # A task that may take its endpoint down puts as few others at risk as can be.
    risk = ()
    if lost:
      risk = (crashes.crashed_recently(owner, record), len(record.runs))
    rank = (
        left,
        risk,
        not near,
        round(record.slowness, 1),
        -record.free.cpu,
    )
    if best is None or rank < best_rank:
      best, best_rank = record, rank
  return best


def can_start_elsewhere(
    owner, job, task: ownerstate.TaskRecord, record
) -> bool:
  """Returns whether the task could start at a quick endpoint now."""
  quick = [
      other
      for other in owner.endpoints.values()
      if other is not record
      and other.slowness < endpointstate.SLOW_RATIO
      and other.usable(owner.now)
  ]
  return _choose(owner, job, task, quick) is not None


def _of_step(record, task: ownerstate.TaskRecord) -> int:
  """Returns how many tasks of the same step the endpoint has."""
  of_step = (task.task.job_id, task.task.step)
  return sum((r.task.job_id, r.task.step) == of_step for r in record.runs)


def _start(
    owner, job: ownerstate.JobRecord, task: ownerstate.TaskRecord, record
):
  deadline_ms = record.extend_lease(owner.now)
  task.attempt += 1
  run_id = model.RunId(task.task, task.attempt)
  run = endpointstate.Run(
      run_id,
      task.step.need,
      endpointstate.RunState.ORDERED,
      owner.now,
      task.step.estimate_ms,
      deadline_ms,
  )
  record.add(run)
  job.waiting.remove(task)
  task.state = ownerstate.TaskState.ACTIVE
  task.run = run_id
  task.endpoint = record.info.id
  if not job.begun:
    job.begun = True
    waited_ms = int((owner.now - job.arrived) * 1000)
    owner.emit(
        events.log(
            "job_begun",
            job=job.job.id,
            coordinator=job.key.process.host,
            waited_ms=waited_ms,
            fence=owner.fence,
        )
    )
  owner.counters["starts"] += 1
  owner.emit(
      events.StartRun(
          record.info, run_id, job.job.spec, deadline_ms, owner.fence
      )
  )


def resend_start(owner, record, run: endpointstate.Run) -> bool:
  """Sends the order of a run again that got no answer; returns whether it did.

  An endpoint begins a run once, however often it is told to.
  """
  job = owner.by_id.get(run.id.task.job_id)
  wanted = job is not None and run.state is endpointstate.RunState.ORDERED
  if not wanted or job.returning or not owner.may_start:
    return False
  if run.sends >= MAX_SENDS or record.silent_since is not None:
    return False
  run.sends += 1
  run.sent_at = owner.now
  run.deadline_ms = record.extend_lease(owner.now)
  owner.emit(
      events.StartRun(
          record.info, run.id, job.job.spec, run.deadline_ms, owner.fence
      )
  )
  return True


def stop_run(owner, record, run: endpointstate.Run):
  """Orders a run to stop; it frees its room once its end is listed."""
  if run.state is not endpointstate.RunState.UNSURE:
    run.state = endpointstate.RunState.STOPPING
  run.listed_from_call = 0
  run.stop_sent_at = owner.now
  owner.counters["stops"] += 1
  owner.emit(events.StopRun(record.info, run.id, owner.fence))


def stop_task(owner, task: ownerstate.TaskRecord):
  """Orders a task's run to stop, unless that was done already."""
  record = owner.endpoints.get(task.endpoint)
  run = record.runs.get(task.run) if record else None
  if run is not None and run.state is not endpointstate.RunState.STOPPING:
    stop_run(owner, record, run)
