"""Kept jobs' records in the platform's store.

Keys under `ROOT`: ``jobs/ID`` says how far a job is, for as long as it is
known; ``open/SHARD/ID`` is the job itself and ``ends/SHARD/ID`` what is over of
it, until it is over; ``heads/SHARD`` is the last write to a shard's records.
Each write depends on the shard's claim and on the write before.
"""

import dataclasses
from collections.abc import Callable

import msgspec
from loguru import logger

from fescueturn import errors
from fescueturn import kvtypes
from fescueturn.platform import claims
from fescueturn.platform import storebackoff
from fescueturn.platform import wire
from fescueturn.scheduler import keptcodec
from fescueturn.scheduler import keptevents
from fescueturn.scheduler import model

ROOT = "fescueturn/"
JOBS = ROOT + "jobs/"
_OPEN = "open"
_ENDS = "ends"
_HEADS = "heads"


def _place(kind: str, shard: model.Shard) -> str:
  return f"{ROOT}{kind}/{shard.data_centre}/{shard.number}"


@dataclasses.dataclass(frozen=True)
class JobStatus:
  """What the store says of a job.

  Attributes:
    state: how far it is.
    shard: whose holder has or had it.
  """

  state: model.KeptJobState
  shard: model.Shard


def _encode_known(known: JobStatus) -> bytes:
  shard = known.shard
  row = wire.JobStatusRow(known.state.value, shard.data_centre, shard.number)
  return msgspec.json.encode(row)


def _decode_known(item: kvtypes.Item) -> JobStatus:
  """Returns how far a job is.

  Raises:
    errors.KvError: the record can't be read.
  """
  row = wire.decode(wire.job_status_rows, item.value, item.key, errors.KvError)
  shard = model.Shard(row.data_centre, row.number)
  return JobStatus(model.KeptJobState(row.state), shard)


def _decode_head(item: kvtypes.Item | None) -> wire.HeadRow | None:
  if item is None:
    return None
  return wire.decode(wire.head_rows, item.value, item.key, errors.KvError)


class JobStore:
  """Writes and reads the records; has no state that must last."""

  def __init__(self, client: kvtypes.Store, now: Callable[[], float]):
    self._client = client
    self._now = now
    self._takeovers: dict[model.Shard, int] = {}

  async def state(self, job_id: str) -> JobStatus | None:
    """Returns how far a job is, or None if it is not known.

    Raises:
      errors.KvError: the store did not answer.
    """
    found = await self._client.get(JOBS + job_id)
    return _decode_known(found.items[0]) if found.items else None

  async def load(
      self, effect: keptevents.LoadKeptJobs
  ) -> keptevents.KeptJobsLoaded:
    """Takes a shard's records over and reads them; tries until it is known."""
    store_reach = storebackoff.StoreBackoff("kept_load", self._now)
    while True:
      try:
        loaded = await self._try_load(effect)
      except errors.KvError as exc:
        await store_reach.handle_failure(exc)
        continue
      store_reach.record_success(loaded.revision)
      return loaded

  async def _try_load(self, effect: keptevents.LoadKeptJobs):
    key = _place(_HEADS, effect.shard)
    found = await self._client.get(key)
    item = found.items[0] if found.items else None
    before = _decode_head(item)
    if before is not None and before.fence > effect.fence:
      return keptevents.KeptJobsLoaded(
          effect.shard, effect.fence, replaced=True
      )
    if before is not None and before.fence == effect.fence:
      # An earlier try, whose answer was lost.
      takeovers, revision = before.takeovers, item.revision
    else:
      takeovers = before.takeovers + 1 if before else 0
      head = wire.HeadRow(effect.fence, 0, takeovers)
      try:
        revision = await self._client.transact(
            kvtypes.Transaction(
                {
                    claims.claim_key(effect.shard): effect.fence,
                    key: item.revision if item else 0,
                },
                {key: msgspec.json.encode(head)},
            )
        )
      except kvtypes.ConflictError as exc:
        if _claim_holds(exc, effect.shard, effect.fence):
          raise
        return keptevents.KeptJobsLoaded(
            effect.shard, effect.fence, replaced=True
        )
    self._takeovers[effect.shard] = takeovers
    jobs = await self._read_jobs(effect.shard)
    return keptevents.KeptJobsLoaded(
        effect.shard, effect.fence, False, takeovers, revision, jobs
    )

  async def _read_jobs(self, shard: model.Shard) -> tuple[model.KeptJob, ...]:
    open_jobs = await self._read(_place(_OPEN, shard))
    ends = await self._read(_place(_ENDS, shard))
    jobs = [
        _decode_kept(job_id, value, ends.get(job_id))
        for job_id, value in open_jobs.items()
    ]
    return tuple(job for job in jobs if job is not None)

  async def _read(self, place: str) -> dict[str, bytes]:
    prefix = place + "/"
    found = await self._client.range(prefix)
    return {item.key.removeprefix(prefix): item.value for item in found.items}

  async def write(
      self, effect: keptevents.WriteKeptJobs
  ) -> keptevents.KeptJobsWritten:
    """Makes a write; tries until it is known what came of it."""
    store_reach = storebackoff.StoreBackoff("kept_write", self._now)
    while True:
      try:
        revision = await self._client.transact(self._transaction(effect))
        result, existing = keptevents.WriteResult.DONE, ()
      except kvtypes.ConflictError as exc:
        result, revision, existing = _conflict(effect, exc)
      except errors.KvError as exc:
        await store_reach.handle_failure(exc)
        continue
      store_reach.record_success(revision)
      return keptevents.KeptJobsWritten(
          effect.shard,
          effect.fence,
          effect.number,
          result,
          revision,
          existing,
      )

  def _transaction(
      self, effect: keptevents.WriteKeptJobs
  ) -> kvtypes.Transaction:
    shard = effect.shard
    head_key = _place(_HEADS, shard)
    takeovers = self._takeovers[shard]
    expected = {claims.claim_key(shard): effect.fence, head_key: effect.after}
    head = wire.HeadRow(effect.fence, effect.number, takeovers)
    puts = {head_key: msgspec.json.encode(head)}
    removes: list[str] = []
    for change in effect.changes:
      if isinstance(change, keptevents.StoreJob):
        job = change.job
        expected[JOBS + job.id] = 0
        known = JobStatus(model.KeptJobState.OPEN, shard)
        puts[JOBS + job.id] = _encode_known(known)
        puts[f"{_place(_OPEN, shard)}/{job.id}"] = keptcodec.encode_job(job)
      elif isinstance(change, keptevents.StoreProgress):
        ends_key = f"{_place(_ENDS, shard)}/{change.job_id}"
        puts[ends_key] = keptcodec.encode_progress(change.progress)
      elif isinstance(change, keptevents.StoreEnd):
        known = JobStatus(change.state, shard)
        puts[JOBS + change.job_id] = _encode_known(known)
        for kind in (_OPEN, _ENDS):
          removes.append(f"{_place(kind, shard)}/{change.job_id}")
      elif isinstance(change, keptevents.MoveJob):
        puts |= _moved_records(change)
        for kind in (_OPEN, _ENDS):
          removes.append(f"{_place(kind, shard)}/{change.kept.job.id}")
      else:
        removes.append(JOBS + change.job_id)
    return kvtypes.Transaction(expected, puts, tuple(removes))

  async def open_jobs(
      self, effect: keptevents.ListOpenJobs
  ) -> keptevents.OpenJobsListed:
    """Reads a shard's jobs that are not over; none if the store is away."""
    jobs: tuple[model.KeptJob, ...] = ()
    try:
      jobs = await self._read_jobs(effect.shard)
    except errors.KvError as exc:
      # They are looked for again a second later.
      logger.warning('event=open_not_listed error="{}"', exc)
    return keptevents.OpenJobsListed(effect.shard, effect.fence, jobs)

  async def ended(
      self, effect: keptevents.ListEndedJobs
  ) -> keptevents.EndedJobsListed:
    """Finds a shard's jobs that are over; none if the store is away."""
    job_ids: tuple[str, ...] = ()
    try:
      found = await self._client.range(JOBS)
      job_ids = tuple(
          item.key.removeprefix(JOBS)
          for item in found.items
          if _is_over(item, effect.shard)
      )
    except errors.KvError as exc:
      # They stay in the store until the next holder looks for them.
      logger.warning('event=ended_not_listed error="{}"', exc)
    return keptevents.EndedJobsListed(effect.shard, effect.fence, job_ids)


def _moved_records(change: keptevents.MoveJob) -> dict[str, bytes]:
  """Returns a job's records as its next shard has them."""
  job, shard = change.kept.job, change.to
  return {
      JOBS + job.id: _encode_known(JobStatus(model.KeptJobState.OPEN, shard)),
      f"{_place(_OPEN, shard)}/{job.id}": keptcodec.encode_job(job),
      f"{_place(_ENDS, shard)}/{job.id}": keptcodec.encode_progress(
          change.kept.progress
      ),
  }


def _decode_kept(
    job_id: str, job: bytes, ends: bytes | None
) -> model.KeptJob | None:
  """Returns a job from its records, or None if they can't be read."""
  try:
    progress = model.Progress()
    if ends is not None:
      progress = keptcodec.decode_progress(job_id, ends)
    return model.KeptJob(keptcodec.decode_job(job_id, job), progress)
  except keptcodec.MalformedRecordError as exc:
    # It stays in the store, for a version that can read it.
    logger.error('event=kept_job_unreadable job={} error="{}"', job_id, exc)
    return None


def _is_over(item: kvtypes.Item, shard: model.Shard) -> bool:
  try:
    known = _decode_known(item)
  except errors.KvError as exc:
    logger.error('event=kept_job_unreadable error="{}"', exc)
    return False
  return known.shard == shard and known.state is not model.KeptJobState.OPEN


def _claim_holds(
    conflict: kvtypes.ConflictError, shard: model.Shard, fence: int
) -> bool:
  claim = conflict.items.get(claims.claim_key(shard))
  return claim is not None and claim.revision == fence


def _conflict(
    effect: keptevents.WriteKeptJobs, conflict: kvtypes.ConflictError
) -> tuple[keptevents.WriteResult, int, tuple[str, ...]]:
  """Returns what a write's conflict means, the revision, and jobs that exist."""
  item = conflict.items.get(_place(_HEADS, effect.shard))
  head = _decode_head(item)
  if head is None:
    return keptevents.WriteResult.REPLACED, effect.after, ()
  if (head.fence, head.number) == (effect.fence, effect.number):
    # An earlier try took effect, and its answer was lost.
    return keptevents.WriteResult.DONE, item.revision, ()
  if item.revision != effect.after:
    return keptevents.WriteResult.REPLACED, item.revision, ()
  if not _claim_holds(conflict, effect.shard, effect.fence):
    return keptevents.WriteResult.REPLACED, item.revision, ()
  existing = tuple(
      change.job.id
      for change in effect.changes
      if isinstance(change, keptevents.StoreJob)
      and JOBS + change.job.id in conflict.items
  )
  return keptevents.WriteResult.EXISTS, item.revision, existing
