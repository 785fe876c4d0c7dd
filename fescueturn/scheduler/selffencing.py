"""Self-fencing: a holder that may have been replaced stops its kept jobs.

A holder that the store doesn't answer keeps its shard, as the store may be away
for all hosts. But if a host of its data centre has fallen silent as well, that
host may be on the store's side of a network partition. It then claims the shard
and starts the tasks of kept jobs, which it reads from the store, and can't
fence off the endpoints on the other side. Best-effort jobs need no such guard,
as their coordinator offers them to one holder at a time.

A data centre that is cut off as a whole misses none of its own hosts. Its kept
jobs are stopped once the store hasn't shown its holder's claim for
`timebudget.CLAIM_UNCONFIRMED_S`: after that, other data centres take them over
(see `unclaimed`).
"""

from fescueturn.scheduler import endpointruns
from fescueturn.scheduler import events
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler import runcontrol
from fescueturn.scheduler import timebudget

# By then every host of the data centre has pinged a new holder: it hears of it
# within 50 ms and pings it every 0.19 s.
ALL_HEARD_S = 1.0
# A host that misses a ping, which it sends every 0.19 s, may be about to claim
# the shard, which it does 0.45 s after it last heard from the holder.
MISSED_PING_S = 0.25


def may_be_replaced(owner: ownerstate.Owner) -> bool:
  """Returns whether another host may run the kept jobs unknown to this one."""
  if owner.claim_is_doubtful:
    return True
  if _store_answers(owner):
    return False
  # The store fell silent before it was known which hosts may claim the shard.
  if owner.store_answered_at - owner.taken_at < ALL_HEARD_S:
    return True
  return bool(owner.claimants.silent(owner.now))


def must_read_claims(owner: ownerstate.Owner, now: float) -> bool:
  """Returns whether a list of endpoints doesn't show that the store answers.

  The watch of the claims may be silent while the store answers all else, and
  another host have claimed the shard meanwhile.
  """
  may_have_kept = not owner.kept_records.loaded or any(
      job.job.kept for job in owner.jobs.values()
  )
  return may_have_kept and bool(owner.claimants.silent(now, MISSED_PING_S))


def tick(owner: ownerstate.Owner):
  """Stops the runs of kept jobs while the holder may have been replaced."""
  if not owner.self_fenced:
    if not may_be_replaced(owner):
      return
    owner.self_fenced = True
    owner.counters["self_fenced"] += 1
    silent = ",".join(owner.claimants.silent(owner.now))
    claim_age_ms = int((owner.now - owner.claim_confirmed_at) * 1000)
    owner.emit(
        _log(owner, "self_fenced", silent=silent, claim_age_ms=claim_age_ms)
    )
  for record in owner.endpoints.values():
    kept_runs = [r for r in record.runs.values() if _may_be_kept(owner, r)]
    record.must_lapse = bool(kept_runs)
    for run in kept_runs:
      if run.active:
        runcontrol.stop_possible_run(owner, record, run)


def handle_claims_read(owner: ownerstate.Owner):
  """Resumes kept jobs once the store has reported all claims up to now."""
  if not owner.self_fenced:
    return
  if may_be_replaced(owner):
    return
  owner.self_fenced = False
  for record in owner.endpoints.values():
    record.must_lapse = False
  owner.emit(_log(owner, "self_fence_ended"))


def _store_answers(owner) -> bool:
  return owner.now - owner.store_answered_at <= timebudget.STORE_SILENT_S


def _may_be_kept(owner, run: endpointruns.Run) -> bool:
  """Returns whether a run may be a kept job's, whose records may be unread."""
  job = owner.by_id.get(run.id.task.job_id)
  if job is None:
    return not owner.kept_records.loaded
  return job.job.kept


def _log(owner, event: str, **fields) -> events.Log:
  return events.log(
      event,
      data_centre=owner.shard.data_centre,
      fence=owner.fence,
      **fields,
  )
