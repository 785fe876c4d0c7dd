"""Takeover of the kept jobs of data centres that have lost all their hosts.

A shard is claimed only by hosts of its own data centre. When none of them is
left, its kept jobs are still in the store. Holders of other shards look for such
records and move the jobs in them to their own shard.

The same search shows whether jobs were moved to the holder's own records, whose
mover may have been lost before it told.

A data centre that is cut off looks the same. Its holder stops its kept jobs in
time, as the store no longer shows it its claim (see `selffencing`); its
best-effort jobs go on. `timebudget.cut_off_kept_run` is the chain of delays, and
`spec/takeover.pml` a model of both sides.
"""

import zlib

from fescueturn.scheduler import events
from fescueturn.scheduler import keptevents
from fescueturn.scheduler import model
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler import timebudget

# How often records are looked for while some are known to be unclaimed, and
# otherwise, in case the end of a claim was missed.
FIND_PERIOD_S = 1.0
IDLE_FIND_PERIOD_S = 10.0
# The store counts as away if it takes longer to answer. Its claims may have
# expired meanwhile, and their holders claim their shards when it is back.
MAX_ANSWER_S = 1.0
# Upper bound of a holder's fixed delay, so that holders of several shards rarely
# move the same jobs at the same time.
STAGGER_S = 1.0


def tick(owner: ownerstate.Owner):
  """Looks for unclaimed records when that is due."""
  search = owner.unclaimed
  is_urgent = any(r not in search.retry_at for r in search.since)
  period_s = FIND_PERIOD_S if is_urgent else IDLE_FIND_PERIOD_S
  if owner.now - search.asked_at >= period_s:
    _find(owner)


def _find(owner):
  search = owner.unclaimed
  if search.pending or not owner.kept_records.loaded:
    return
  search.pending = True
  search.asked_at = owner.now
  owner.emit(keptevents.FindUnclaimedRecords(owner.shard, owner.fence))


def handle_claim_end(owner: ownerstate.Owner):
  """Handles the end of the claim of another shard."""
  _find(owner)


def handle_found(owner: ownerstate.Owner, event: keptevents.UnclaimedFound):
  """Takes over the jobs in records that have been unclaimed for long."""
  if event.fence < owner.first_fence:
    return
  search = owner.unclaimed
  search.pending = False
  took_s = owner.now - search.asked_at
  if event.records is None or took_s > MAX_ANSWER_S:
    search.forget()
  if event.records is None:
    return
  _record_found(owner, event.records)
  if event.arrivals != search.arrivals:
    search.arrivals = event.arrivals
    owner.kept_records.open_list_wanted = True
  if not (search.taking or owner.evacuated or owner.self_fenced):
    _take_over(owner)


def _record_found(owner, found: tuple[keptevents.UnclaimedRecords, ...]):
  """Records since when each of the found records has been unclaimed."""
  search = owner.unclaimed
  for records in found:
    if records not in search.since:
      owner.emit(_log(owner, "records_unclaimed", records))
  search.since = {r: search.since.get(r, owner.now) for r in found}
  search.retry_at = {r: at for r, at in search.retry_at.items() if r in found}


def _take_over(owner):
  """Has the jobs of the first records moved whose wait is over, if any."""
  due = [r for r in owner.unclaimed.since if _is_due(owner, r)]
  if due:
    owner.unclaimed.taking = due[0]
    owner.emit(keptevents.TakeOverJobs(owner.shard, owner.fence, due[0]))


def _is_due(owner, records: keptevents.UnclaimedRecords) -> bool:
  search = owner.unclaimed
  waited_s = owner.now - search.since[records]
  wait_s = timebudget.UNCLAIMED_TIMEOUT_S + _stagger_s(owner.shard, records)
  return waited_s >= wait_s and owner.now >= search.retry_at.get(records, 0.0)


def _stagger_s(
    shard: model.Shard, records: keptevents.UnclaimedRecords
) -> float:
  lost = records.shard
  name = f"{lost.data_centre}/{lost.number}/{shard.data_centre}/{shard.number}"
  return STAGGER_S * (zlib.crc32(name.encode()) % 1000) / 1000


def handle_taken_over(owner: ownerstate.Owner, event: keptevents.JobsTakenOver):
  """Has the jobs that were taken over started, and ended ones deleted later."""
  if event.fence < owner.first_fence:
    return
  search = owner.unclaimed
  search.taking = None
  if event.complete:
    _handle_emptied(owner, event.records)
  was_in_doubt, search.in_doubt = search.in_doubt, not event.complete
  if not (event.count or search.in_doubt or was_in_doubt):
    return
  owner.kept_records.open_list_wanted = True
  owner.counters["taken_over"] += event.count
  owner.emit(
      _log(
          owner,
          "kept_jobs_taken_over",
          event.records,
          jobs=event.count,
          complete=event.complete,
      )
  )


def _handle_emptied(owner, records: keptevents.UnclaimedRecords):
  """Plans the next look at records that have no open job left."""
  search = owner.unclaimed
  if records not in search.retry_at:
    lost = records.shard
    owner.emit(keptevents.ListEndedJobs(owner.shard, owner.fence, lost))
  search.retry_at[records] = owner.now + IDLE_FIND_PERIOD_S


def _log(
    owner, event: str, records: keptevents.UnclaimedRecords, **fields
) -> events.Log:
  return events.log(
      event,
      lost=records.shard.data_centre,
      last_fence=records.fence,
      data_centre=owner.shard.data_centre,
      **fields,
      fence=owner.fence,
  )
