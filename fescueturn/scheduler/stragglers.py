"""Detects slow endpoints by the progress of their runs, and moves runs.

Runs are moved from slow endpoints, and from endpoints that leave before the
runs end.

Each lease call reports how much of a run is done, from which its end is
predicted. This guards against endpoints that are several times slower for some
seconds. Progress shows such an endpoint within 0.3 s, ends of runs only after
seconds. A run of 0.9 s that is restarted elsewhere after 0.3 s still ends in
time.
"""

from fescueturn.scheduler import endpointruns
from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler import runcontrol
from fescueturn.scheduler import runpace
from fescueturn.scheduler.decisions import leaving

# A run is moved only if its remaining time is this many times the time of a new
# run, whose estimate may be too low by 40%.
MOVE_GAIN = 1.5
# The cost of a move (s): stopping the run and starting the new one take at most
# 50 ms and two calls.
MOVE_S = 0.06


def handle_progress(
    owner: ownerstate.Owner,
    record: endpointstate.EndpointRecord,
    run: endpointruns.Run,
):
  """Handles progress of a run: it may be moved away from a slow endpoint.

  A long task isn't moved: it takes as long elsewhere. Nor is one that is slowed
  by being far from its data, unless there is room near it.
  """
  if run.state is not endpointruns.RunState.RUNNING:
    return
  if not runpace.slowdown(owner, run):
    return
  if runpace.runs_away(owner, record, run):
    if _near_endpoint_has_room(owner, run):
      _move_if_faster(owner, record, run)
    return
  if runpace.endpoint_is_cause(owner, record, run):
    _move_if_faster(owner, record, run)


def _near_endpoint_has_room(owner, run: endpointruns.Run) -> bool:
  """Returns whether a task that runs far from its data could start near it."""
  step = owner.by_id[run.id.task.job_id].tasks[run.id.task].step
  return any(
      step.near in other.info.labels
      and not other.slow
      and other.usable(owner.now)
      and other.fits(step.need)
      for other in owner.endpoints.values()
  )


def move_from_leaving(
    owner: ownerstate.Owner, record: endpointstate.EndpointRecord
):
  """Moves the runs that won't end before their endpoint leaves.

  Everything that runs there then is lost, which is only noticed by the lack of
  answers and the end of the lease.
  """
  if record.leaves_at is None:
    return
  for run in list(record.runs.values()):
    if run.state is endpointruns.RunState.RUNNING and leaving.ends_too_late(
        record, run, owner.now
    ):
      _move(owner, record, run, "leaving")


def _move_if_faster(owner, record, run: endpointruns.Run):
  """Stops a run that would end sooner if it was restarted elsewhere."""
  left_s = run.predicted_end(record.speed_factor) - owner.now
  if left_s >= MOVE_GAIN * run.estimate_ms / 1000 + MOVE_S:
    _move(owner, record, run, "slow")


def _move(owner, record, run: endpointruns.Run, why: str):
  """Stops a run whose task can start elsewhere now; a task is moved once."""
  job = owner.by_id.get(run.id.task.job_id)
  task = job.tasks.get(run.id.task) if job else None
  if task is None or not task.is_current(run):
    return
  if task.moved_from or job.returning:
    return
  if not owner.may_start or not runcontrol.can_start_elsewhere(
      owner, job, task, record
  ):
    return
  left_s = run.predicted_end(record.speed_factor) - owner.now
  task.moved_from = record.info.id
  owner.counters["run_moved"] += 1
  owner.counters[f"run_moved_{why}"] += 1
  owner.emit(
      ownerstate.run_log(
          "run_moved",
          record,
          run,
          why=why,
          percent=run.percent,
          left_ms=int(1000 * left_s),
          estimate_ms=run.estimate_ms,
      )
  )
  runcontrol.stop_run(owner, record, run)
