"""Jobs that the endpoints of a holder's data centre can't run, or no longer.

An offered one is declined. An accepted one is handed back to its coordinator,
which offers it to other data centres; a kept one moves there with its records.
Which endpoints can run a job depends on its service, its tasks' resources and
the label that a step requires.
"""

from fescueturn.scheduler import events
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import outcomes
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler.decisions import suitability

# How often accepted jobs are checked (s).
CHECK_PERIOD_S = 0.1
# A job leaves for a data centre that can run it after this long (s): an endpoint
# counts as silent after three lost calls in a row, and often answers the next.
LEAVE_AFTER_S = 0.3
# A job that no listed endpoint can run is given up after this long (s). Entries
# that expire while the store is unavailable return within two seconds.
GIVE_UP_AFTER_S = 2.5


def accepts(owner: ownerstate.Owner, job: model.Job) -> bool:
  """Returns whether an offered job can be run here.

  The steps of a kept job may be run in several data centres, as it moves with
  its progress. All other jobs start again elsewhere.
  """
  if owner.awaiting_endpoints and not owner.endpoints:
    return True
  missing = [s for s in job.steps if not _can_run_here(owner, job, s)]
  if not missing:
    return True
  if not job.kept or not runnable_first_steps(owner, job):
    return False
  return all(_data_centres_for(owner, job, [step]) for step in missing)


def may_be_back(owner: ownerstate.Owner, job: model.Job) -> bool:
  """Returns whether endpoints that can run a job may be there, but silent.

  That is also so before the list of endpoints was read.
  """
  if owner.listed_at is None:
    return True
  listed = [r.info for r in owner.endpoints.values() if r.listed]
  return all(
      any(suitability.can_run(info, job.service, step) for info in listed)
      for step in job.steps
  )


def runnable_first_steps(
    owner: ownerstate.Owner, job: model.Job
) -> list[model.Step]:
  """Returns the steps that can start first, and can be run here."""
  return [s for s in job.steps if not s.after and _can_run_here(owner, job, s)]


def _can_run_here(owner, job: model.Job, step: model.Step) -> bool:
  return any(
      record.listed
      and record.silent_since is None
      and suitability.can_run(record.info, job.service, step)
      for record in owner.endpoints.values()
  )


def _data_centres_for(
    owner, job: model.Job, steps: list[model.Step]
) -> set[str]:
  """Returns the other data centres whose endpoints can run all the steps."""
  found = [
      {
          endpoint.data_centre
          for endpoint in owner.listed_elsewhere
          if suitability.can_run(endpoint, job.service, step)
      }
      for step in steps
  ]
  return set.intersection(*found) if found else set()


def destinations(
    owner: ownerstate.Owner, job: ownerstate.JobRecord
) -> set[str]:
  """Returns the data centres where a kept job could go on with a step."""
  return set().union(
      *(
          _data_centres_for(owner, job.job, [step])
          for step in _waiting_steps(job)
      )
  )


def _waiting_steps(job: ownerstate.JobRecord) -> list[model.Step]:
  numbers = dict.fromkeys(task.task.step for task in job.waiting)
  return [job.job.steps[number] for number in numbers]


def cant_go_on(owner: ownerstate.Owner, job: ownerstate.JobRecord) -> bool:
  """Returns whether an accepted job can't be finished here.

  A kept job goes on while one of its tasks runs or can start here.
  """
  if job.job.kept:
    if job.active or not job.waiting:
      return False
    can_start = any(
        _can_run_here(owner, job.job, s) for s in _waiting_steps(job)
    )
    return not (can_start or _has_unheard_end(owner, job))
  return any(
      not _can_run_here(owner, job.job, job.job.steps[number])
      for number in job.steps_to_start()
  )


def _has_unheard_end(owner, job: ownerstate.JobRecord) -> bool:
  """Returns whether the end of one of a job's runs may still be listed here.

  A run whose lease has expired may have been done before that.
  """
  return any(
      run.id.task.job_id == job.job.id
      for record in owner.endpoints.values()
      if record.listed
      for run in record.runs.values()
  )


def tick(owner: ownerstate.Owner):
  """Checks which jobs can't be run here any more, and hands them back.

  Kept jobs are only marked: where they go depends on the other holders.
  """
  if owner.now - owner.jobs_checked_at < CHECK_PERIOD_S:
    return
  if owner.awaiting_endpoints or owner.evacuated:
    return
  owner.jobs_checked_at = owner.now
  for job in list(owner.jobs.values()):
    if not job.returning:
      _check(owner, job)


def _check(owner, job: ownerstate.JobRecord):
  # A run of it that isn't known here may be active at an endpoint that is away.
  if owner.may_have_unknown_runs(job) or not cant_go_on(owner, job):
    job.stranded_since = None
    return
  if job.stranded_since is None:
    job.stranded_since = owner.now
  if job.job.kept:
    return  # It is moved with its records.
  others = _data_centres_for(owner, job.job, list(job.job.steps))
  waited_s = owner.now - job.stranded_since
  if (others and must_leave(owner, job)) or waited_s >= GIVE_UP_AFTER_S:
    leave(owner, job, others)


def must_leave(owner: ownerstate.Owner, job: ownerstate.JobRecord) -> bool:
  """Returns whether a job had better go on elsewhere."""
  since = job.stranded_since
  return since is not None and owner.now - since >= LEAVE_AFTER_S


def leave(owner: ownerstate.Owner, job: ownerstate.JobRecord, others: set[str]):
  """Hands a job back, or has it moved once none of its tasks runs.

  Args:
    owner: the owner.
    job: the job.
    others: the data centres that can run it.
  """
  owner.counters["job_leaves"] += 1
  owner.emit(
      events.log(
          "job_leaves",
          job=job.job.id,
          coordinator=job.key.process.host,
          why=linkmessages.NO_ENDPOINT_FITS,
          begun=job.begun,
          waited_ms=int(1000 * (owner.now - job.stranded_since)),
          others=",".join(sorted(others)),
          fence=owner.fence,
      )
  )
  outcomes.hand_back(owner, job)
