"""Starts an owner's waiting tasks on endpoints, and stops their runs."""

import math
from collections.abc import Callable
from collections.abc import Collection

from fescueturn.scheduler import crashes
from fescueturn.scheduler import endpointruns
from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import events
from fescueturn.scheduler import leasecalls
from fescueturn.scheduler import model
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler.decisions import placing

# No task of a job is started with less than this left until the job's deadline.
MIN_TIME_LEFT_S = 0.02
# How many times a start request is sent to the same endpoint before its run is
# stopped. With 30% of the requests lost, three are lost one time in forty.
# Stopping the run after the first loss and starting it elsewhere takes three
# calls that must all be answered. That served 61% of an emulated load in time;
# sending up to three times served 76%.
MAX_SENDS = 3
# How many endpoints are asked at once whether they are up, before tasks of one
# job start there. An answer takes 2 ms, and each endpoint runs several tasks.
MAX_PROBES = 8


def start_waiting_tasks(owner: ownerstate.Owner):
  """Starts waiting tasks on endpoints with capacity, most urgent jobs first."""
  if owner.fenced or not owner.may_start:
    return
  waiting = [job for job in owner.jobs.values() if job.waiting]
  if not waiting:
    return
  waiting.sort(key=lambda job: job.latest_start)
  for job in waiting:
    if job.deadline - owner.now < MIN_TIME_LEFT_S:
      continue
    if owner.must_hold_back(job):
      continue
    _start_tasks(owner, job)


def _start_tasks(owner: ownerstate.Owner, job: ownerstate.JobRecord):
  """Starts as many of a job's waiting tasks as there is capacity for."""
  is_first = not job.begun
  started = []
  # Steps whose tasks can't start anywhere now.
  full_steps: set[int] = set()
  # Endpoints that must answer before a task starts there.
  probed: set[str] = set()
  for task in list(job.waiting):
    if task.task.step in full_steps:
      continue
    if task.previous_runs or crashes.blocks_start(owner, job, task):
      continue
    record = _choose_endpoint(owner, job, task, excluded=probed)
    if record is None:
      full_steps.add(task.task.step)
      continue
    if crashes.needs_answer_first(owner, job, task, record):
      leasecalls.probe(owner, record)
      probed.add(record.info.id)
      if len(probed) == MAX_PROBES:
        break
      continue
    _start_task(owner, job, task, record)
    started.append(task)
  if started:
    owner.emit(_start_log(owner, job, started, is_first))


def _start_log(owner, job, started: list[ownerstate.TaskRecord], is_first):
  """Returns the log line of started tasks: each with attempt and endpoint."""
  heard_at = owner.last_contact.get(job.key.process)
  heard_ms = "unknown"
  if heard_at is not None:
    heard_ms = int((owner.now - heard_at) * 1000)
  return events.log(
      "job_begun" if is_first else "tasks_started",
      job=job.job.id,
      coordinator=job.key.process.host,
      waited_ms=int((owner.now - job.arrived) * 1000),
      fence=owner.fence,
      coordinator_heard_ms_ago=heard_ms,
      runs=",".join(
          f"{t.task.step}.{t.task.index}:{t.attempt}@{t.endpoint}"
          for t in started
      ),
  )


def _choose_endpoint(
    owner,
    job,
    task: ownerstate.TaskRecord,
    accepts: Callable[[endpointstate.EndpointRecord], bool] | None = None,
    excluded: Collection[str] = (),
):
  """Returns the best endpoint on which the task may start now, or None.

  Args:
    owner: the owner.
    job: the task's job.
    task: the task.
    accepts: a further condition on the endpoint; with one, it may be slow.
    excluded: ids of endpoints that are left out.
  """

  def allows(record: endpointstate.EndpointRecord) -> bool:
    # A start request extends the lease of all runs at its endpoint.
    accepted = accepts is None or accepts(record)
    accepted = accepted and record.info.id not in excluded
    return accepted and not owner.must_let_lapse(record)

  slowness = math.inf
  # While calls are lost, run times tell little of the endpoints' speed.
  if accepts is None and not owner.call_losses.is_lossy:
    slowness = placing.max_slowness(
        task.estimate_s,
        job.latest_start - owner.now,
        owner.endpoints.fastest(job.job.service, owner.now),
    )
  wanted = placing.Wanted(
      job.job.service, task.task, task.step, task.moved_from, slowness
  )
  if not crashes.has_losses(task):
    return owner.endpoints.choose(wanted, owner.now, allows)
  # A task that may crash its endpoint is placed where it puts the fewest other
  # runs at risk. Such tasks are few.
  return placing.choose_by_scan(
      [r for r in owner.endpoints.values() if allows(r)],
      wanted,
      owner.now,
      lambda record: (
          crashes.crashed_recently(owner, record),
          len(record.runs),
      ),
  )


def can_start_elsewhere(
    owner, job, task: ownerstate.TaskRecord, record
) -> bool:
  """Returns whether the task could start now on another, fast endpoint.

  Args:
    owner: the owner.
    job: the task's job.
    task: the task.
    record: the endpoint that it runs on.
  """

  def accepts(other: endpointstate.EndpointRecord) -> bool:
    return other is not record and other.speed_factor < endpointruns.SLOW_RATIO

  return _choose_endpoint(owner, job, task, accepts) is not None


def _start_task(
    owner, job: ownerstate.JobRecord, task: ownerstate.TaskRecord, record
):
  deadline_ms = record.lease.extend(owner.now)
  task.attempt += 1
  run_id = model.RunId(task.task, task.attempt)
  run = endpointruns.Run(
      run_id,
      task.step.need,
      endpointruns.RunState.ORDERED,
      owner.now,
      task.step.estimate_ms,
      deadline_ms,
  )
  run.endpoint_was_up = record.answered_recently(owner.now)
  record.add(run)
  job.waiting.remove(task)
  task.state = ownerstate.TaskState.ACTIVE
  task.run = run_id
  task.endpoint = record.info.id
  job.begun = True
  owner.counters["starts"] += 1
  owner.emit(
      events.StartRun(
          record.info,
          run_id,
          job.job.spec,
          deadline_ms,
          owner.fence,
          record.born_ms,
      )
  )


def resend_start(owner, record, run: endpointruns.Run) -> bool:
  """Sends a start request that got no answer again, if that is allowed.

  Start requests are idempotent: an endpoint starts a run only once.

  Returns:
    Whether the request was sent.
  """
  job = owner.by_id.get(run.id.task.job_id)
  wanted = job is not None and run.state is endpointruns.RunState.ORDERED
  if not wanted or owner.must_hold_back(job) or not owner.may_start:
    return False
  if run.sends >= MAX_SENDS or record.silent_since is not None:
    return False
  if owner.must_let_lapse(record):
    return False
  run.sends += 1
  run.sent_at = owner.now
  run.deadline_ms = record.lease.extend(owner.now)
  owner.emit(
      events.StartRun(
          record.info,
          run.id,
          job.job.spec,
          run.deadline_ms,
          owner.fence,
          record.born_ms,
      )
  )
  return True


def stop_run(owner, record, run: endpointruns.Run):
  """Asks an endpoint to stop a run; the run's end frees its resources."""
  if run.state is not endpointruns.RunState.UNSURE:
    run.state = endpointruns.RunState.STOPPING
  run.listed_from_call = 0
  run.stop_sent_at = owner.now
  owner.counters["stops"] += 1
  owner.emit(events.StopRun(record.info, run.id, owner.fence))


def stop_possible_run(owner, record, run: endpointruns.Run):
  """Stops a run that may have begun, or may begin when a request arrives late."""
  if run.state is endpointruns.RunState.ORDERED:
    run.state = endpointruns.RunState.UNSURE
  stop_run(owner, record, run)


def stop_task(owner, task: ownerstate.TaskRecord):
  """Stops the run of a task, unless it is stopping already."""
  run = owner.current_run(task)
  if run is not None and run.state is not endpointruns.RunState.STOPPING:
    stop_run(owner, owner.endpoints[task.endpoint], run)
