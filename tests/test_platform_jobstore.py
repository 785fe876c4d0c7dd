"""Tests of the job store: lost and late writes, and replaced holders."""

import time

import curio
import pytest

from fescueturn import errors
from fescueturn import kvtypes
from fescueturn.platform import claims
from fescueturn.platform import jobstore
from fescueturn.scheduler import keptevents
from fescueturn.scheduler import model
from fescueturn.standins import kvstore

SHARD = model.Shard("north")
REQUIREMENT = model.Resources(27000, 64, 0)


class MemoryStore:
  """A store client on an in-memory store.

  Attributes:
    faults: what happens to the next writes, one each: "refused", "late" (not
      carried out, but noted in `late`) or "lost" (carried out, unanswered).
    late: the transactions of late writes.
  """

  def __init__(self):
    self.store = kvstore.KvStore()
    self.faults: list[str] = []
    self.late: list[kvtypes.Transaction] = []

  async def get(self, key):
    item = self.store.get(key)
    items = (item,) if item is not None else ()
    return kvtypes.Changes(self.store.revision, items)

  async def range(self, prefix):
    return kvtypes.Changes(self.store.revision, tuple(self.store.range(prefix)))

  async def transact(self, wanted):
    fault = self.faults.pop(0) if self.faults else ""
    if fault == "refused":
      raise errors.KvError("busy")
    if fault == "late":
      self.late.append(wanted)
      raise errors.KvError("no answer")
    revision = self.store.transact(wanted)
    if fault == "lost":
      raise errors.KvError("no answer")
    return revision

  def claim(self) -> int:
    return self.store.put(claims.claim_key(SHARD), b"holder")

  def keys(self) -> list[str]:
    return [item.key for item in self.store.range("")]


def job(name: str) -> model.Job:
  steps = (
      model.Step(2, REQUIREMENT, 200, (), "a", "r1", 1),
      model.Step(1, REQUIREMENT, 50, (0,)),
  )
  return model.Job(name, "speller", "spec", steps, 3, 1.6, 60, "q", True)


class Holder:
  """A shard's holder, which makes its writes one after the other."""

  def __init__(self, memory: MemoryStore):
    self.job_store = jobstore.JobStore(memory, time.monotonic)
    self.fence = memory.claim()
    self.loaded = curio.run(
        self.job_store.load, keptevents.LoadKeptJobs(SHARD, self.fence)
    )
    self.after = self.loaded.revision
    self.number = 0

  def write(self, *changes) -> keptevents.KeptJobsWritten:
    self.number += 1
    effect = keptevents.WriteKeptJobs(
        SHARD, self.fence, self.number, self.after, changes
    )
    written = curio.run(self.job_store.write, effect)
    self.after = written.revision
    return written

  def status(self, job_id) -> jobstore.JobStatus | None:
    return curio.run(self.job_store.get_status, job_id)


DONE = keptevents.WriteResult.DONE
TASK = model.Task("k", 0, 1)


def test_next_holder_reads_the_previous_holders_records():
  memory = MemoryStore()
  first = Holder(memory)
  progress = model.Progress((TASK,), (model.RunId(model.Task("k", 0, 0), 2),))
  assert first.write(keptevents.StoreJob(job("k"))).result is DONE
  assert first.write(keptevents.StoreProgress("k", progress)).result is DONE
  second = Holder(memory)
  assert second.loaded.takeovers == 1
  assert second.loaded.jobs == (model.KeptJob(job("k"), progress),)
  assert second.status("k") == jobstore.JobStatus(
      model.KeptJobState.OPEN, SHARD
  )


def test_ended_job_leaves_only_its_status_until_it_is_deleted():
  memory = MemoryStore()
  holder = Holder(memory)
  holder.write(keptevents.StoreJob(job("k")))
  holder.write(keptevents.StoreProgress("k", model.Progress((TASK,))))
  holder.write(keptevents.StoreEnd("k", model.KeptJobState.DONE))
  assert not [k for k in memory.keys() if "open/" in k or "ends/" in k]
  assert holder.status("k").state is model.KeptJobState.DONE
  effect = keptevents.ListEndedJobs(SHARD, holder.fence, SHARD)
  assert curio.run(holder.job_store.list_ended, effect).job_ids == ("k",)
  holder.write(keptevents.DeleteJob("k"))
  assert holder.status("k") is None


@pytest.mark.parametrize("faults", (["lost"], ["refused"], ["late", "lost"]))
def test_unanswered_write_takes_effect_once(faults):
  memory = MemoryStore()
  holder = Holder(memory)
  memory.faults = faults
  assert holder.write(keptevents.StoreJob(job("k"))).result is DONE
  assert holder.write(keptevents.StoreJob(job("l"))).result is DONE
  for transaction in memory.late:
    with pytest.raises(kvtypes.ConflictError):
      memory.store.transact(transaction)


def test_replaced_holder_cannot_write_and_is_notified():
  memory = MemoryStore()
  first = Holder(memory)
  first.write(keptevents.StoreJob(job("k")))
  second = Holder(memory)
  ended = keptevents.StoreEnd("k", model.KeptJobState.DONE)
  assert first.write(ended).result is keptevents.WriteResult.REPLACED
  assert second.status("k").state is model.KeptJobState.OPEN
  assert second.write(ended).result is DONE


def test_holder_without_its_claim_is_notified():
  memory = MemoryStore()
  holder = Holder(memory)
  key = claims.claim_key(SHARD)
  memory.store.transact(kvtypes.Transaction(removes=(key,)))
  written = holder.write(keptevents.StoreJob(job("k")))
  assert written.result is keptevents.WriteResult.REPLACED
  loaded = curio.run(
      holder.job_store.load, keptevents.LoadKeptJobs(SHARD, holder.fence + 5)
  )
  assert loaded.replaced


def test_existing_job_is_reported_and_nothing_is_written():
  memory = MemoryStore()
  holder = Holder(memory)
  holder.write(keptevents.StoreJob(job("k")))
  changes = [keptevents.StoreJob(job("k")), keptevents.StoreJob(job("l"))]
  written = holder.write(*changes)
  assert written.result is keptevents.WriteResult.EXISTS
  assert written.existing == ("k",)
  assert holder.status("l") is None
  assert holder.write(changes[1]).result is DONE


def test_unanswered_takeover_counts_once():
  memory = MemoryStore()
  Holder(memory)
  memory.faults = ["lost"]
  holder = Holder(memory)
  assert holder.loaded.takeovers == 1
  assert holder.write(keptevents.StoreJob(job("k"))).result is DONE


def test_record_of_another_version_is_skipped_and_kept():
  memory = MemoryStore()
  holder = Holder(memory)
  holder.write(keptevents.StoreJob(job("k")), keptevents.StoreJob(job("l")))
  key = next(k for k in memory.keys() if k.endswith("open/north/0/k"))
  memory.store.put(key, b'{"version": 9}')
  assert [k.job.id for k in Holder(memory).loaded.jobs] == ["l"]
  assert key in memory.keys()


def make_move(name: str) -> keptevents.MoveJob:
  done = (model.Task(name, 0, 1),)
  kept = model.KeptJob(job(name), model.Progress(done))
  return keptevents.MoveJob(kept, model.Shard("south"))


def list_open_jobs(memory: MemoryStore, data_centre: str):
  effect = keptevents.ListOpenJobs(model.Shard(data_centre), 1)
  return curio.run(
      jobstore.JobStore(memory, time.monotonic).list_open, effect
  ).jobs


def test_moved_job_is_in_its_new_shard_with_its_progress():
  memory = MemoryStore()
  holder = Holder(memory)
  holder.write(keptevents.StoreJob(job("j")))
  holder.write(make_move("j"))
  assert list_open_jobs(memory, "north") == ()
  assert list_open_jobs(memory, "south") == (make_move("j").kept,)
  status = curio.run(holder.job_store.get_status, "j")
  assert status == jobstore.JobStatus(
      model.KeptJobState.OPEN, model.Shard("south")
  )


def test_move_executed_after_a_takeover_has_no_effect():
  memory = MemoryStore()
  holder = Holder(memory)
  holder.write(keptevents.StoreJob(job("j")))
  late = holder.job_store._transaction(
      keptevents.WriteKeptJobs(
          SHARD,
          holder.fence,
          holder.number + 1,
          holder.after,
          (make_move("j"),),
      )
  )
  Holder(memory)
  with pytest.raises(kvtypes.ConflictError):
    memory.store.transact(late)
  assert [kept.job.id for kept in list_open_jobs(memory, "north")] == ["j"]
  assert list_open_jobs(memory, "south") == ()


def test_move_executed_twice_takes_effect_once():
  memory = MemoryStore()
  holder = Holder(memory)
  holder.write(keptevents.StoreJob(job("j")))
  memory.faults = ["late"]
  holder.write(make_move("j"))
  (late,) = memory.late
  with pytest.raises(kvtypes.ConflictError):
    memory.store.transact(late)
  assert list_open_jobs(memory, "south") == (make_move("j").kept,)
