"""An owner and its kept jobs: taken over, stored, begun, cancelled, forgotten."""

import math

from fescueturn.scheduler import crashes
from fescueturn.scheduler import events
from fescueturn.scheduler import keeping
from fescueturn.scheduler import keptevents
from fescueturn.scheduler import leases
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import offers
from fescueturn.scheduler import orders
from fescueturn.scheduler import outcomes
from fescueturn.scheduler import ownerstate

# When to come back to a holder that can't reach the store.
STORE_AWAY_WAIT_MS = 1000
# An offer that waits longer than this for the records to be read is declined.
LOAD_PATIENCE_S = 0.5


def offered(owner: ownerstate.Owner, offer: linkmessages.Offered):
  """Takes a job on its way into the store, or declines it."""
  keeper = owner.keeper
  if not keeper.loaded:
    keeper.early_offers.append(offer)
  elif offer.job.id in owner.by_id or keeper.knows(offer.job.id):
    _tell_accepted(owner, offer)
  elif offer.job.id in keeper.arriving:
    keeper.arriving[offer.job.id].append(offer)
  elif not keeper.takes_new(owner.now):
    _decline_store_away(owner, offer)
  elif offers.fits(owner, offer):
    keeper.arriving[offer.job.id] = [offer]


def _tell_accepted(owner, offer: linkmessages.Offered):
  owner.tell(offer.key.party, linkmessages.Accepted(offer.key, offer.number))


def _decline_store_away(owner, offer: linkmessages.Offered):
  reason = "store_away" if owner.keeper.stalled(owner.now) else "store_busy"
  owner.counters[reason] += 1
  arriving = len(owner.keeper.arriving)
  offers.refuse(owner, offer, reason, STORE_AWAY_WAIT_MS, arriving=arriving)


def loaded(owner: ownerstate.Owner, event: keptevents.KeptLoaded):
  """Takes over the jobs that earlier holders have stored."""
  if event.fence != owner.fence:
    return
  if event.replaced:
    owner.out(events.log("kept_not_loaded", fence=owner.fence))
    return
  keeper = owner.keeper
  keeper.begin(event)
  owner.out(
      events.log(
          "kept_loaded",
          data_centre=owner.shard.data_centre,
          fence=owner.fence,
          takeovers=event.takeovers,
          jobs=len(event.jobs),
      )
  )
  for kept in event.jobs:
    _begin(owner, kept.job, kept.progress, resumed=True)
  _settle_early_ends(owner)
  early, keeper.early_offers = keeper.early_offers, []
  for offer in early:
    offered(owner, offer)
  for job_id in list(keeper.questions):
    _answer_questions(owner, job_id)
  orders.place(owner)


def _settle_early_ends(owner):
  """Ends listed before the records were read: kept jobs' own are written."""
  keeper = owner.keeper
  for job_id, ends in keeper.early_ends.items():
    job = owner.by_id.get(job_id)
    if job_id in keeper.over or (job is not None and job.job.kept):
      keeper.unsaved.setdefault(job_id, set()).update(ends)
    else:
      _forget_ends(owner, ends)
  keeper.early_ends.clear()


def _begin(
    owner, job: model.Job, progress: model.Progress, resumed: bool, age_s=0.0
):
  """Has a stored job's tasks run."""
  key = keeping.job_key(job.id)
  offer = linkmessages.Offered(owner.shard, key, job, age_s, math.inf, resumed)
  record = offers.new_record(owner, offer)
  first_attempt = owner.keeper.takeovers * ownerstate.ATTEMPTS_PER_HOLDER
  for task in record.tasks.values():
    task.attempt = first_attempt
  for run in progress.failed:
    task = record.tasks[run.task]
    task.failed.add(run.attempt)
    # Another shard may have counted further: no number stands for two runs.
    task.attempt = max(task.attempt, run.attempt)
  for task, endpoint in progress.crashed:
    record.tasks[task].crashed.add(endpoint)
  for task, endpoint, address in progress.lost:
    record.tasks[task].lost_with[endpoint] = address
  crashes.resume(owner, record)
  for task in progress.done:
    record.task_done(record.tasks[task])
  offers.find_runs(owner, record)


def written(owner: ownerstate.Owner, event: keptevents.KeptWritten):
  """Takes the store's answer to a write."""
  keeper = owner.keeper
  write = keeper.in_flight
  if write is None or (write.fence, write.number) != (
      event.fence,
      event.number,
  ):
    return
  if event.result is keptevents.WriteResult.REPLACED:
    owner.out(events.log("kept_write_replaced", fence=event.fence))
    owner.fenced = True
    return
  changes = keeper.write_answered(event)
  if event.result is keptevents.WriteResult.EXISTS:
    for job_id in event.existing:
      for offer in keeper.arriving.pop(job_id, ()):
        _tell_accepted(owner, offer)
    return
  for change in changes:
    _ON_WRITTEN[type(change)](owner, change)
  orders.place(owner)


def _job_written(owner, change: keptevents.KeepJob):
  waiting = owner.keeper.arriving.pop(change.job.id, [])
  first = waiting[0]
  for offer in waiting:
    _tell_accepted(owner, offer)
  owner.counters["accepted"] += 1
  _begin(owner, change.job, model.Progress(), first.resumed, first.age_s)
  if change.job.id in owner.keeper.questions:
    _answer_questions(owner, change.job.id)


def _progress_written(owner, change: keptevents.KeepProgress):
  _forget_ends(owner, owner.keeper.take_saved(change.job_id))


def _end_written(owner, change: keptevents.KeepEnd):
  keeper = owner.keeper
  _forget_ends(owner, keeper.take_all(change.job_id))
  state = keeper.over.pop(change.job_id)
  until = owner.now + owner.ended_kept_s
  keeper.ended[change.job_id] = keeping.Ended(state, until)
  owner.out(
      events.log(
          "kept_job_over",
          job=change.job_id,
          state=state.value,
          fence=owner.fence,
      )
  )
  _tell_askers(owner, change.job_id, state)


def move(owner: ownerstate.Owner, job: ownerstate.JobRecord, to: model.Shard):
  """Has a job of which nothing runs go over to another shard's records."""
  keeper = owner.keeper
  if not keeper.may_move(job.job.id) or job.job.id in keeper.over:
    return
  kept = model.KeptJob(job.job, _progress(owner, job.job.id))
  keeper.moving[job.job.id] = keptevents.MoveJob(kept, to)


def _job_moved(owner, change: keptevents.MoveJob):
  job_id = change.kept.job.id
  owner.keeper.moving.pop(job_id)
  owner.keeper.moved.add(job_id)
  _forget_ends(owner, owner.keeper.take_all(job_id))
  job = owner.by_id.pop(job_id)
  owner.jobs.pop(job.key)
  owner.out(
      events.log(
          "kept_job_moved",
          job=job_id,
          to=change.to.data_centre,
          done=len(change.kept.progress.done),
          fence=owner.fence,
      )
  )
  # Nothing is known of it here any more; the store says whose it is now.
  _tell_askers(owner, job_id, None)


def _job_forgotten(owner, change: keptevents.ForgetJob):
  owner.keeper.ended.pop(change.job_id, None)


_ON_WRITTEN = {
    keptevents.KeepJob: _job_written,
    keptevents.KeepProgress: _progress_written,
    keptevents.KeepEnd: _end_written,
    keptevents.ForgetJob: _job_forgotten,
    keptevents.MoveJob: _job_moved,
}


def _forget_ends(owner, ends):
  """Endpoints may forget these ends: they are in the store, or not needed."""
  for endpoint, number in ends:
    record = owner.endpoints.get(endpoint)
    if record is not None and number != keeping.LOSS:
      record.end_saved(number)
      if not record.unsaved:
        leases.call_lease(owner, record)


def asked(owner: ownerstate.Owner, event: keptevents.Asked):
  """Answers a question, once what it says is in the store."""
  owner.keeper.questions.setdefault(event.job_id, []).append(event)
  if owner.keeper.loaded:
    _answer_questions(owner, event.job_id)


def _answer_questions(owner, job_id: str):
  keeper = owner.keeper
  if job_id in keeper.moving:
    return  # Answered when it has moved.
  job = owner.by_id.get(job_id)
  cancel = any(question.cancel for question in keeper.questions[job_id])
  if cancel and job is not None and job.job.kept:
    outcomes.end_job(owner, job, model.Outcome.CANCELLED, "cancelled")
    orders.place(owner)
  if job_id in keeper.over or (cancel and job_id in keeper.arriving):
    return  # Answered when it is written.
  _tell_askers(owner, job_id, _state_of(owner, job_id))


def _state_of(owner, job_id: str) -> model.KeptState | None:
  ended = owner.keeper.ended.get(job_id)
  if ended is not None:
    return ended.state
  return model.KeptState.OPEN if job_id in owner.by_id else None


def _tell_askers(owner, job_id: str, state: model.KeptState | None):
  for question in dict.fromkeys(owner.keeper.questions.pop(job_id, ())):
    told = keptevents.Told(job_id, question.cancel, state)
    owner.tell(question.party, told)


def ended_listed(owner: ownerstate.Owner, event: keptevents.EndedListed):
  """Has jobs over that earlier holders left forgotten in their time."""
  for job_id in event.job_ids:
    keeper = owner.keeper
    if job_id not in owner.by_id and not keeper.knows(job_id):
      until = owner.now + owner.ended_kept_s
      keeper.ended[job_id] = keeping.Ended(None, until)


def list_open(owner: ownerstate.Owner):
  """Looks for jobs that another shard's holder has moved here."""
  keeper = owner.keeper
  due = owner.now - keeper.listed_open_at >= keeping.LIST_OPEN_S
  if keeper.lists_open or not keeper.loaded or not due:
    return
  keeper.lists_open = True
  keeper.listed_open_at = owner.now
  keeper.moved.clear()
  owner.out(keptevents.ListOpen(owner.shard, owner.fence))


def open_listed(owner: ownerstate.Owner, event: keptevents.OpenListed):
  """Takes jobs up that were moved here."""
  keeper = owner.keeper
  keeper.lists_open = False
  if event.fence != owner.fence:
    return
  for kept in event.jobs:
    job_id = kept.job.id
    mine = job_id in owner.by_id or job_id in keeper.arriving
    if mine or keeper.knows(job_id) or job_id in keeper.moved:
      continue
    owner.out(events.log("kept_job_taken_up", job=job_id, fence=owner.fence))
    _begin(owner, kept.job, kept.progress, resumed=False)
  orders.place(owner)


def tick(owner: ownerstate.Owner):
  """Looks after what waits for a time."""
  keeper = owner.keeper
  if keeper.early_offers and not keeper.loaded:
    _decline_overdue(owner)
  aged = owner.now - owner.taken_at > keeping.LIST_ENDED_S
  if keeper.loaded and aged and not keeper.listed_ended:
    keeper.listed_ended = True
    owner.out(keptevents.ListEnded(owner.shard, owner.fence))


def _decline_overdue(owner):
  if owner.now - owner.taken_at < LOAD_PATIENCE_S:
    return
  early, owner.keeper.early_offers = owner.keeper.early_offers, []
  for offer in early:
    _decline_store_away(owner, offer)


def flush(owner: ownerstate.Owner):
  """Writes what has changed, if a write may go out now."""
  write = owner.keeper.next_write(
      owner.shard, owner.fence, owner.now, lambda j: _progress(owner, j)
  )
  if write is not None:
    owner.out(write)


def _progress(owner, job_id: str) -> model.Progress:
  job = owner.by_id[job_id]
  done = [
      task.task
      for task in job.tasks.values()
      if task.state is ownerstate.TaskState.DONE
  ]
  failed = [
      model.RunId(task.task, attempt)
      for task in job.tasks.values()
      for attempt in sorted(task.failed)
  ]
  tasks = job.tasks.values()
  return model.Progress(
      tuple(done),
      tuple(failed),
      tuple((t.task, name) for t in tasks for name in sorted(t.crashed)),
      tuple(
          (t.task, name, address)
          for t in tasks
          for name, address in sorted(t.lost_with.items())
      ),
  )


def pending(owner: ownerstate.Owner) -> dict[str, int]:
  """Returns how many kept jobs of each queue no task has begun of."""
  found: dict[str, int] = {}
  for job in owner.jobs.values():
    if job.job.kept and not job.started:
      found[job.job.queue] = found.get(job.job.queue, 0) + 1
  return found


def replace_fence(owner: ownerstate.Owner, fence: int):
  """The owner's claim was made anew, with nobody else's in between."""
  owner.fence = fence
  owner.keeper.loaded = False
  owner.out(keptevents.LoadKept(owner.shard, fence))


def holds_kept(owner: ownerstate.Owner) -> bool:
  """Returns whether the owner has kept jobs, or some on their way."""
  return owner.keeper.busy or any(job.job.kept for job in owner.jobs.values())
