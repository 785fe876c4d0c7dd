"""Records of kept jobs in the platform's key-value store.

A kept job is stored so that it survives its caller and any host. Keys under
`ROOT`:

  ``jobs/ID``: the job's status, until the job is deleted.
  ``open/SHARD/ID``: the job itself, until it ends.
  ``ends/SHARD/ID``: the progress of the job's tasks, until the job ends.
  ``heads/SHARD``: the head record, which identifies the last write to the
    shard's records.
  ``heads/SHARD/arrivals``: names the last write of another shard's holder that
    has moved a job to the shard.
  ``taken/SHARD/REVISION``: the ids of jobs that the holder of another shard has
    taken over, while no host claimed the shard.

Each write is conditional on the shard's claim and on the previous write.
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
# The kinds of a shard's records.
OPEN = "open"
ENDS = "ends"
HEADS = "heads"
TAKEN = "taken"


def shard_key(kind: str, shard: model.Shard) -> str:
  """Returns the key of a shard's records of a kind, or the start of their keys."""
  return f"{ROOT}{kind}/{shard.data_centre}/{shard.number}"


def arrivals_key(shard: model.Shard) -> str:
  """Returns the key that changes when a job is moved to a shard."""
  return shard_key(HEADS, shard) + "/arrivals"


@dataclasses.dataclass(frozen=True)
class JobStatus:
  """The status of a kept job as stored.

  Attributes:
    state: the job's state.
    shard: the shard that the job belongs to, also after it has ended.
  """

  state: model.KeptJobState
  shard: model.Shard


def encode_status(status: JobStatus) -> bytes:
  """Returns a job's status as it is stored."""
  shard = status.shard
  row = wire.JobStatusRow(status.state.value, shard.data_centre, shard.number)
  return msgspec.json.encode(row)


def _decode_status(item: kvtypes.Item) -> JobStatus:
  """Returns the status in a job's record.

  Raises:
    errors.KvError: the record can't be decoded.
  """
  row = wire.decode(wire.job_status_rows, item.value, item.key, errors.KvError)
  shard = model.Shard(row.data_centre, row.number)
  return JobStatus(model.KeptJobState(row.state), shard)


def encode_head(head: wire.HeadRow) -> bytes:
  """Returns a head record as it is stored.

  Without jobs moved away it is the one that earlier versions write.
  """
  fields = msgspec.structs.astuple(head)
  return msgspec.json.encode(fields if head.moved else fields[:-1])


def decode_head(item: kvtypes.Item | None) -> wire.HeadRow | None:
  """Returns a shard's head record; None if it has none.

  Raises:
    errors.KvError: the record can't be decoded.
  """
  if item is None:
    return None
  return wire.decode(wire.head_rows, item.value, item.key, errors.KvError)


class JobStore:
  """Reads and writes the records of kept jobs.

  It keeps only the number of takeovers per shard, which `load` reads again from
  the store.
  """

  def __init__(self, client: kvtypes.Store, now: Callable[[], float]):
    self._client = client
    self._now = now
    self._takeovers: dict[model.Shard, int] = {}

  async def get_status(self, job_id: str) -> JobStatus | None:
    """Returns a job's status, or None if the store has no such job.

    Raises:
      errors.KvError: the store did not answer, or the record can't be decoded.
    """
    answer = await self._client.get(JOBS + job_id)
    return _decode_status(answer.items[0]) if answer.items else None

  async def load(
      self, effect: keptevents.LoadKeptJobs
  ) -> keptevents.KeptJobsLoaded:
    """Takes over a shard's records and reads them, with retries.

    Returns:
      The shard's open jobs; `replaced` is set instead if another host has
      replaced this holder.
    """
    backoff = storebackoff.StoreBackoff("kept_load", self._now)
    while True:
      try:
        loaded = await self._try_load(effect)
      except errors.KvError as exc:
        await backoff.handle_failure(exc)
        continue
      backoff.record_success(loaded.revision)
      return loaded

  async def _try_load(self, effect: keptevents.LoadKeptJobs):
    key = shard_key(HEADS, effect.shard)
    answer = await self._client.get(key)
    item = answer.items[0] if answer.items else None
    last_head = decode_head(item)
    if last_head is not None and last_head.fence > effect.fence:
      return keptevents.KeptJobsLoaded(
          effect.shard, effect.fence, replaced=True
      )
    if last_head is not None and last_head.fence == effect.fence:
      # An earlier attempt succeeded and its answer was lost.
      takeovers, revision = last_head.takeovers, item.revision
    else:
      takeovers = last_head.takeovers + 1 if last_head else 0
      head = wire.HeadRow(effect.fence, 0, takeovers)
      try:
        revision = await self._client.transact(
            kvtypes.Transaction(
                {
                    claims.claim_key(effect.shard): effect.fence,
                    key: item.revision if item else 0,
                },
                {key: encode_head(head)},
            )
        )
      except kvtypes.ConflictError as exc:
        if _holds_claim(exc, effect.shard, effect.fence):
          raise
        return keptevents.KeptJobsLoaded(
            effect.shard, effect.fence, replaced=True
        )
    self._takeovers[effect.shard] = takeovers
    jobs = await self._read_jobs(effect.shard)
    taken = await self._read_records(shard_key(TAKEN, effect.shard))
    return keptevents.KeptJobsLoaded(
        effect.shard,
        effect.fence,
        False,
        takeovers,
        revision,
        jobs,
        _decode_taken(taken),
    )

  async def _read_jobs(self, shard: model.Shard) -> tuple[model.KeptJob, ...]:
    job_records = await self._read_records(shard_key(OPEN, shard))
    progress_records = await self._read_records(shard_key(ENDS, shard))
    jobs = [
        _decode_kept(job_id, value, progress_records.get(job_id))
        for job_id, value in job_records.items()
    ]
    return tuple(job for job in jobs if job is not None)

  async def _read_records(self, shard_key: str) -> dict[str, bytes]:
    prefix = shard_key + "/"
    answer = await self._client.range(prefix)
    return {item.key.removeprefix(prefix): item.value for item in answer.items}

  async def write(
      self, effect: keptevents.WriteKeptJobs
  ) -> keptevents.KeptJobsWritten:
    """Makes a write, with retries until its result is known."""
    backoff = storebackoff.StoreBackoff("kept_write", self._now)
    while True:
      try:
        revision = await self._client.transact(self._transaction(effect))
        result, existing = keptevents.WriteResult.DONE, ()
      except kvtypes.ConflictError as exc:
        result, revision, existing = _resolve_conflict(effect, exc)
      except errors.KvError as exc:
        await backoff.handle_failure(exc)
        continue
      backoff.record_success(revision)
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
    head_key = shard_key(HEADS, shard)
    takeovers = self._takeovers[shard]
    expected = {claims.claim_key(shard): effect.fence, head_key: effect.after}
    head = wire.HeadRow(effect.fence, effect.number, takeovers)
    puts = {head_key: encode_head(head)}
    removes: list[str] = []
    for change in effect.changes:
      if isinstance(change, keptevents.StoreJob):
        job = change.job
        expected[JOBS + job.id] = 0
        status = JobStatus(model.KeptJobState.OPEN, shard)
        puts[JOBS + job.id] = encode_status(status)
        puts[f"{shard_key(OPEN, shard)}/{job.id}"] = keptcodec.encode_job(job)
      elif isinstance(change, keptevents.StoreProgress):
        ends_key = f"{shard_key(ENDS, shard)}/{change.job_id}"
        puts[ends_key] = keptcodec.encode_progress(change.progress)
      elif isinstance(change, keptevents.StoreEnd):
        status = JobStatus(change.state, shard)
        puts[JOBS + change.job_id] = encode_status(status)
        for kind in (OPEN, ENDS):
          removes.append(f"{shard_key(kind, shard)}/{change.job_id}")
      elif isinstance(change, keptevents.MoveJob):
        puts |= _moved_records(change)
        puts[arrivals_key(change.to)] = puts[head_key]
        for kind in (OPEN, ENDS):
          removes.append(f"{shard_key(kind, shard)}/{change.kept.job.id}")
      elif isinstance(change, keptevents.ForgetTakenJobs):
        taken = shard_key(TAKEN, shard)
        removes += [f"{taken}/{revision}" for revision in change.records]
      else:
        removes.append(JOBS + change.job_id)
    return kvtypes.Transaction(expected, puts, tuple(removes))

  async def list_open(
      self, effect: keptevents.ListOpenJobs
  ) -> keptevents.OpenJobsListed:
    """Reads a shard's open jobs; returns none if the store is unavailable."""
    jobs: tuple[model.KeptJob, ...] = ()
    failed = False
    try:
      jobs = await self._read_jobs(effect.shard)
    except errors.KvError as exc:
      # The shard's holder lists them again a second later.
      logger.warning('event=open_not_listed error="{}"', exc)
      failed = True
    return keptevents.OpenJobsListed(effect.shard, effect.fence, jobs, failed)

  async def list_ended(
      self, effect: keptevents.ListEndedJobs
  ) -> keptevents.EndedJobsListed:
    """Finds a shard's ended jobs; returns none if the store is unavailable."""
    job_ids: tuple[str, ...] = ()
    try:
      answer = await self._client.range(JOBS)
      job_ids = tuple(
          item.key.removeprefix(JOBS)
          for item in answer.items
          if _has_ended(item, effect.of)
      )
    except errors.KvError as exc:
      # The records stay in the store until the shard's next holder lists them.
      logger.warning('event=ended_not_listed error="{}"', exc)
    return keptevents.EndedJobsListed(effect.shard, effect.fence, job_ids)


def _moved_records(change: keptevents.MoveJob) -> dict[str, bytes]:
  """Returns the records that a moved job has in its new shard."""
  job, shard = change.kept.job, change.to
  return {
      JOBS + job.id: encode_status(JobStatus(model.KeptJobState.OPEN, shard)),
      f"{shard_key(OPEN, shard)}/{job.id}": keptcodec.encode_job(job),
      f"{shard_key(ENDS, shard)}/{job.id}": keptcodec.encode_progress(
          change.kept.progress
      ),
  }


def _decode_kept(
    job_id: str, job: bytes, progress_record: bytes | None
) -> model.KeptJob | None:
  """Returns a job from its records, or None if they can't be decoded."""
  try:
    progress = model.Progress()
    if progress_record is not None:
      progress = keptcodec.decode_progress(job_id, progress_record)
    return model.KeptJob(keptcodec.decode_job(job_id, job), progress)
  except keptcodec.MalformedRecordError as exc:
    # The record stays in the store, for a version that can decode it.
    logger.error('event=kept_job_unreadable job={} error="{}"', job_id, exc)
    return None


def _decode_taken(
    records: dict[str, bytes],
) -> tuple[keptevents.TakenJobs, ...]:
  """Returns the jobs that were taken over, from the records that name them."""
  taken = []
  for revision, value in records.items():
    try:
      row = wire.decode(wire.taken_rows, value, TAKEN, errors.KvError)
      taken.append(keptevents.TakenJobs(int(revision), row.job_ids))
    except (errors.KvError, ValueError) as exc:
      logger.error('event=taken_jobs_unreadable error="{}"', exc)
  return tuple(taken)


def _has_ended(item: kvtypes.Item, shard: model.Shard) -> bool:
  try:
    status = _decode_status(item)
  except errors.KvError as exc:
    logger.error('event=kept_job_unreadable error="{}"', exc)
    return False
  return status.shard == shard and status.state is not model.KeptJobState.OPEN


def _holds_claim(
    conflict: kvtypes.ConflictError, shard: model.Shard, fence: int
) -> bool:
  claim = conflict.items.get(claims.claim_key(shard))
  return claim is not None and claim.revision == fence


def _resolve_conflict(
    effect: keptevents.WriteKeptJobs, conflict: kvtypes.ConflictError
) -> tuple[keptevents.WriteResult, int, tuple[str, ...]]:
  """Determines the result of a write from the conflict that it met.

  Returns:
    The write's result, the revision of the shard's head record, and the ids of
    the jobs that the write should have created but which exist already.
  """
  item = conflict.items.get(shard_key(HEADS, effect.shard))
  head = decode_head(item)
  if head is None:
    return keptevents.WriteResult.REPLACED, effect.after, ()
  if (head.fence, head.number) == (effect.fence, effect.number):
    # An earlier attempt succeeded and its answer was lost.
    return keptevents.WriteResult.DONE, item.revision, ()
  if item.revision != effect.after:
    return keptevents.WriteResult.REPLACED, item.revision, ()
  if not _holds_claim(conflict, effect.shard, effect.fence):
    return keptevents.WriteResult.REPLACED, item.revision, ()
  existing = tuple(
      change.job.id
      for change in effect.changes
      if isinstance(change, keptevents.StoreJob)
      and JOBS + change.job.id in conflict.items
  )
  return keptevents.WriteResult.EXISTS, item.revision, existing
