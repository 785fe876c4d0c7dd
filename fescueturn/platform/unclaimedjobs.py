"""Kept jobs in the records of shards that no host claims.

Another shard's holder finds such records and moves their open jobs to its own
shard. Each move is conditional on three things: that the shard still has no
claim, that nobody has written its records, and that the mover holds its own
shard.
"""

import collections
import dataclasses
from collections.abc import Callable

import msgspec
from loguru import logger

from fescueturn import errors
from fescueturn import kvtypes
from fescueturn.platform import claims
from fescueturn.platform import jobstore
from fescueturn.platform import storebackoff
from fescueturn.platform import wire
from fescueturn.scheduler import keptcodec
from fescueturn.scheduler import keptevents
from fescueturn.scheduler import keptjobs
from fescueturn.scheduler import model

_HEADS_PREFIX = f"{jobstore.ROOT}{jobstore.HEADS}/"
# A transaction of the store has at most 32 rows: five of each job, three
# conditions, the head record, and the one that names the jobs.
JOBS_PER_WRITE = 5
# A takeover is given up after this many failed calls or conflicts in a row. The
# records are found again a second later.
MAX_FAILURES = 5


@dataclasses.dataclass(frozen=True)
class _Head:
  """A shard's head record with its revision."""

  row: wire.HeadRow
  revision: int


@dataclasses.dataclass
class _Progress:
  """How far a takeover has come.

  Attributes:
    count: how many jobs were moved.
    failures: how many calls have failed since the last successful move.
  """

  count: int = 0
  failures: int = 0


class _ChangedError(errors.FescueError):
  """The records have been written by a holder since they were found."""


def _identify(
    shard: model.Shard, head: wire.HeadRow
) -> keptevents.UnclaimedRecords:
  return keptevents.UnclaimedRecords(
      shard, head.fence, head.number, head.takeovers
  )


class UnclaimedJobs:
  """Finds unclaimed records of kept jobs and takes over the jobs in them."""

  def __init__(self, client: kvtypes.Store, now: Callable[[], float]):
    self._client = client
    self._now = now

  async def find(
      self, effect: keptevents.FindUnclaimedRecords
  ) -> keptevents.UnclaimedFound:
    """Returns the records of shards that no host claims."""
    records, arrivals = None, 0
    try:
      # In this order: a holder that claims its shard in between writes the head
      # record, so that the one that was read no longer counts.
      heads = await self._client.range(_HEADS_PREFIX)
      held = await self._client.range(claims.PREFIX)
      records = _find_unclaimed(heads.items, held.items)
      arrivals_key = jobstore.arrivals_key(effect.shard)
      arrivals = max(
          (i.revision for i in heads.items if i.key == arrivals_key), default=0
      )
    except errors.KvError as exc:
      logger.warning('event=unclaimed_not_listed error="{}"', exc)
    return keptevents.UnclaimedFound(
        effect.shard, effect.fence, records, arrivals
    )

  async def take_over(
      self, effect: keptevents.TakeOverJobs
  ) -> keptevents.JobsTakenOver:
    """Moves the open jobs of unclaimed records, with retries."""
    progress = _Progress()
    backoff = storebackoff.StoreBackoff("kept_take_over", self._now)
    complete = False
    while not complete and progress.failures < MAX_FAILURES:
      try:
        complete = await self._move_listed(effect, progress)
      except (kvtypes.ConflictError, _ChangedError) as exc:
        logger.info('event=take_over_superseded error="{}"', exc)
        break
      except errors.KvError as exc:
        progress.failures += 1
        await backoff.handle_failure(exc)
    return keptevents.JobsTakenOver(
        effect.shard, effect.fence, effect.records, progress.count, complete
    )

  async def _move_listed(
      self, effect: keptevents.TakeOverJobs, progress: _Progress
  ) -> bool:
    """Moves the jobs that are listed now; returns True if there are none.

    Raises:
      errors.KvError: the store didn't answer, or has turned a move down.
      _ChangedError: a holder has written the records.
    """
    head = await self._read_head(effect.records)
    jobs = await self._read_jobs(effect.records.shard)
    job_ids = list(jobs)
    for first in range(0, len(job_ids), JOBS_PER_WRITE):
      some = {i: jobs[i] for i in job_ids[first : first + JOBS_PER_WRITE]}
      row = msgspec.structs.replace(head.row, moved=head.row.moved + 1)
      wanted = _move(effect, head, row, some)
      head = _Head(row, await self._client.transact(wanted))
      progress.count += len(some)
      progress.failures = 0
    return not job_ids

  async def _read_head(self, records: keptevents.UnclaimedRecords) -> _Head:
    key = jobstore.shard_key(jobstore.HEADS, records.shard)
    answer = await self._client.get(key)
    item = answer.items[0] if answer.items else None
    row = jobstore.decode_head(item)
    if row is None or _identify(records.shard, row) != records:
      raise _ChangedError(f"{key}: expected {records}, found {row}")
    return _Head(row, item.revision)

  async def _read_jobs(self, shard: model.Shard) -> dict[str, dict[str, bytes]]:
    """Returns the records of a shard's open jobs, by job id and kind."""
    jobs: dict[str, dict[str, bytes]] = collections.defaultdict(dict)
    for kind in (jobstore.OPEN, jobstore.ENDS):
      prefix = jobstore.shard_key(kind, shard) + "/"
      answer = await self._client.range(prefix)
      for item in answer.items:
        jobs[item.key.removeprefix(prefix)][kind] = item.value
    return {i: kinds for i, kinds in jobs.items() if jobstore.OPEN in kinds}


def _moved_progress(job_id: str, record: bytes | None, takeovers: int) -> bytes:
  """Returns the record of a job's progress for its new shard.

  A record that can't be decoded stays as it is, for a version that can.
  """
  try:
    progress = model.Progress()
    if record is not None:
      progress = keptcodec.decode_progress(job_id, record)
  except keptcodec.MalformedRecordError as exc:
    logger.error('event=kept_job_unreadable job={} error="{}"', job_id, exc)
    return record
  return keptcodec.encode_progress(keptjobs.after_shard(progress, takeovers))


def _find_unclaimed(
    heads: tuple[kvtypes.Item, ...], held: tuple[kvtypes.Item, ...]
) -> tuple[keptevents.UnclaimedRecords, ...]:
  claimed = {claims.parse_shard(item.key) for item in held}
  found = []
  for item in heads:
    shard = claims.parse_shard(item.key, _HEADS_PREFIX)
    if shard is None or shard in claimed:
      continue
    try:
      found.append(_identify(shard, jobstore.decode_head(item)))
    except errors.KvError as exc:
      # The holders of that shard cannot read it either.
      logger.error('event=head_unreadable error="{}"', exc)
  return tuple(found)


def _move(
    effect: keptevents.TakeOverJobs,
    head: _Head,
    row: wire.HeadRow,
    jobs: dict[str, dict[str, bytes]],
) -> kvtypes.Transaction:
  """Returns the transaction that moves some jobs' records to another shard."""
  lost, shard = effect.records.shard, effect.shard
  head_key = jobstore.shard_key(jobstore.HEADS, lost)
  status = jobstore.JobStatus(model.KeptJobState.OPEN, shard)
  taken_key = f"{jobstore.shard_key(jobstore.TAKEN, lost)}/{head.revision}"
  puts = {
      head_key: jobstore.encode_head(row),
      taken_key: msgspec.json.encode(wire.TakenRow(tuple(jobs))),
  }
  removes = []
  for job_id, kinds in jobs.items():
    puts[jobstore.JOBS + job_id] = jobstore.encode_status(status)
    moved = dict(kinds)
    moved[jobstore.ENDS] = _moved_progress(
        job_id, kinds.get(jobstore.ENDS), effect.records.takeovers
    )
    for kind, value in moved.items():
      puts[f"{jobstore.shard_key(kind, shard)}/{job_id}"] = value
    for kind in kinds:
      removes.append(f"{jobstore.shard_key(kind, lost)}/{job_id}")
  expected = {
      claims.claim_key(lost): 0,
      claims.claim_key(shard): effect.fence,
      head_key: head.revision,
  }
  return kvtypes.Transaction(expected, puts, tuple(removes))
