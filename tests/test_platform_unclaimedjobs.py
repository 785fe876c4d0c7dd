"""Tests of the takeover of kept jobs in the store's records.

Guards against a job that two shards have, or none, and against a write of a
holder that comes back, is late, or has lost its claim.
"""

import time

import curio
import pytest

from fescueturn import kvtypes
from fescueturn.platform import claims
from fescueturn.platform import jobstore
from fescueturn.platform import unclaimedjobs
from fescueturn.scheduler import keptevents
from fescueturn.scheduler import model
from tests import test_platform_jobstore

NORTH = test_platform_jobstore.SHARD
SOUTH = model.Shard("south")
EAST = model.Shard("east")
PROGRESS = model.Progress((test_platform_jobstore.TASK,))
DONE = keptevents.WriteResult.DONE
REPLACED = keptevents.WriteResult.REPLACED
MAX_ROWS = 32


class Store(test_platform_jobstore.MemoryStore):
  """A store in which north has lost its claim and south and east have theirs.

  Attributes:
    holder: the last holder of north.
    fences: the fencing tokens of the others.
    rows: how many rows each transaction had.
  """

  def __init__(self, jobs: int = 2):
    super().__init__()
    self.rows: list[int] = []
    self.holder = test_platform_jobstore.Holder(self)
    for number in range(jobs):
      self.holder.write(
          keptevents.StoreJob(test_platform_jobstore.job(f"j{number}"))
      )
    self.holder.write(keptevents.StoreProgress("j0", PROGRESS))
    self.remove_claim()
    self.fences = {
        shard: self.store.put(claims.claim_key(shard), b"holder")
        for shard in (SOUTH, EAST)
    }
    self.rows.clear()

  def remove_claim(self):
    key = claims.claim_key(NORTH)
    self.store.transact(kvtypes.Transaction(removes=(key,)))

  async def transact(self, wanted):
    parts = (wanted.expected, wanted.puts, wanted.removes, wanted.lasting)
    self.rows.append(sum(map(len, parts)))
    return await super().transact(wanted)

  def find(self, shard=SOUTH) -> keptevents.UnclaimedFound:
    effect = keptevents.FindUnclaimedRecords(shard, self.fences[shard])
    return curio.run(self._jobs().find, effect)

  def take(self, records, shard=SOUTH) -> keptevents.JobsTakenOver:
    effect = keptevents.TakeOverJobs(shard, self.fences[shard], records)
    return curio.run(self._jobs().take_over, effect)

  def _jobs(self) -> unclaimedjobs.UnclaimedJobs:
    return unclaimedjobs.UnclaimedJobs(self, time.monotonic)

  def open_in(self, shard) -> dict[str, model.KeptJob]:
    jobs = test_platform_jobstore.list_open_jobs(self, shard.data_centre)
    return {kept.job.id: kept for kept in jobs}


def find_north(store: Store) -> keptevents.UnclaimedRecords:
  (records,) = store.find().records
  assert records.shard == NORTH
  return records


def test_jobs_are_taken_over_with_their_progress():
  store = Store()
  taken = store.take(find_north(store))
  assert (taken.count, taken.complete) == (2, True)
  moved = store.open_in(SOUTH)
  assert set(moved) == {"j0", "j1"}
  assert moved["j0"].progress.done == (model.Task("j0", 0, 1),)
  # One holder of north numbered its attempts from 1, at most to 1,000.
  assert {kept.progress.attempts for kept in moved.values()} == {1000}
  assert not store.open_in(NORTH)
  assert store.holder.status("j1") == jobstore.JobStatus(
      model.KeptJobState.OPEN, SOUTH
  )


def test_claimed_records_are_not_found():
  store = Store()
  store.claim()
  assert store.find().records == ()


def test_records_are_the_same_until_a_holder_reads_or_writes_them():
  store = Store()
  records = find_north(store)
  assert find_north(store) == records
  test_platform_jobstore.Holder(store)
  store.remove_claim()
  assert find_north(store) != records


def test_unavailable_store_finds_nothing():
  store = Store()

  async def fail(prefix):
    raise kvtypes.LeaseGoneError(prefix)

  store.range = fail
  assert store.find().records is None


def test_nothing_is_taken_over_from_a_holder_that_is_back():
  store = Store()
  records = find_north(store)
  store.claim()
  taken = store.take(records)
  assert (taken.count, taken.complete) == (0, False)
  assert len(store.open_in(NORTH)) == 2


def test_nothing_is_taken_over_once_a_holder_has_read_the_records():
  store = Store()
  records = find_north(store)
  test_platform_jobstore.Holder(store)
  store.remove_claim()
  assert store.take(records).count == 0
  assert len(store.open_in(NORTH)) == 2


def test_nothing_is_taken_over_by_a_host_that_has_lost_its_own_claim():
  store = Store()
  records = find_north(store)
  store.store.put(claims.claim_key(SOUTH), b"another")
  taken = store.take(records)
  assert (taken.count, taken.complete) == (0, False)


@pytest.mark.parametrize(
    "faults", (["refused"], ["lost"], ["late"], ["lost", "refused", "late"])
)
def test_jobs_are_taken_over_once_although_answers_are_lost(faults):
  store = Store(jobs=7)
  store.faults = list(faults)
  assert store.take(find_north(store)).complete
  assert len(store.open_in(SOUTH)) == 7 and not store.open_in(NORTH)
  for transaction in store.late:
    with pytest.raises(kvtypes.ConflictError):
      store.store.transact(transaction)


def test_takeover_is_given_up_while_the_store_turns_it_down():
  store = Store()
  store.faults = ["refused"] * unclaimedjobs.MAX_FAILURES
  taken = store.take(find_north(store))
  assert (taken.count, taken.complete) == (0, False)


def test_late_move_has_no_effect_once_the_holder_is_back():
  store = Store()
  store.faults = ["late"] * unclaimedjobs.MAX_FAILURES
  store.take(find_north(store))
  test_platform_jobstore.Holder(store)
  for transaction in store.late:
    with pytest.raises(kvtypes.ConflictError):
      store.store.transact(transaction)
  assert len(store.open_in(NORTH)) == 2


def test_two_holders_take_over_each_job_once():
  store = Store(jobs=12)
  records = find_north(store)
  south = keptevents.TakeOverJobs(SOUTH, store.fences[SOUTH], records)
  east = keptevents.TakeOverJobs(EAST, store.fences[EAST], records)

  async def both():
    async with curio.TaskGroup() as group:
      await group.spawn(store._jobs().take_over, south)
      await group.spawn(store._jobs().take_over, east)

  while store.open_in(NORTH):
    curio.run(both)
  assert len(store.open_in(SOUTH)) + len(store.open_in(EAST)) == 12
  assert not set(store.open_in(SOUTH)) & set(store.open_in(EAST))


def test_move_has_no_more_rows_than_the_store_allows():
  store = Store(jobs=0)
  store.holder = test_platform_jobstore.Holder(store)
  for number in range(13):
    name = f"k{number}"
    job = test_platform_jobstore.job(name)
    store.holder.write(keptevents.StoreJob(job))
    store.holder.write(keptevents.StoreProgress(name, PROGRESS))
  store.remove_claim()
  store.rows.clear()
  assert store.take(find_north(store)).count == 13
  assert max(store.rows) <= MAX_ROWS


def test_earlier_holders_write_has_no_effect_after_the_takeover():
  store = Store()
  store.take(find_north(store))
  job = test_platform_jobstore.job("late")
  assert store.holder.write(keptevents.StoreJob(job)).result is REPLACED
  store.claim()
  assert store.holder.write(keptevents.StoreJob(job)).result is REPLACED
  assert not store.open_in(NORTH)


def test_earlier_holders_unanswered_write_counts_as_done_after_the_takeover():
  store = Store()
  holder = store.holder
  store.take(find_north(store))
  holder.number -= 1
  written = holder.write(keptevents.StoreProgress("j0", PROGRESS))
  assert written.result is DONE


def test_holder_that_is_back_learns_which_jobs_were_taken_over():
  store = Store(jobs=7)
  store.take(find_north(store))
  holder = test_platform_jobstore.Holder(store)
  assert holder.loaded.jobs == ()
  taken = [name for t in holder.loaded.taken for name in t.job_ids]
  assert sorted(taken) == [f"j{number}" for number in range(7)]
  records = tuple(t.revision for t in holder.loaded.taken)
  holder.write(keptevents.ForgetTakenJobs(records))
  assert test_platform_jobstore.Holder(store).loaded.taken == ()


def test_unreadable_record_of_jobs_that_were_taken_over_is_left_out():
  store = Store()
  store.take(find_north(store))
  taken_key = jobstore.shard_key(jobstore.TAKEN, NORTH)
  store.store.put(f"{taken_key}/x", b"[]")
  store.store.put(f"{taken_key}/1", b"?")
  (taken,) = test_platform_jobstore.Holder(store).loaded.taken
  assert set(taken.job_ids) == {"j0", "j1"}


def test_job_that_is_moved_there_later_is_taken_over_as_well():
  store = Store()
  records = find_north(store)
  store.take(records)
  kept = model.KeptJob(test_platform_jobstore.job("k"), PROGRESS)
  store.store.transact(
      kvtypes.Transaction(puts=jobstore._moved_records(_move(kept)))
  )
  assert find_north(store) == records
  assert store.take(records).count == 1
  assert store.open_in(SOUTH)["k"].job == kept.job


def _move(kept: model.KeptJob) -> keptevents.MoveJob:
  return keptevents.MoveJob(kept, NORTH)


def test_unreadable_job_is_taken_over_unchanged():
  store = Store(jobs=1)
  key = f"{jobstore.shard_key(jobstore.OPEN, NORTH)}/x"
  store.store.put(key, b"of a later version")
  assert store.take(find_north(store)).count == 2
  assert store.store.get(key.replace("north", "south")).value


def test_unreadable_head_record_is_no_record_to_take_over():
  store = Store()
  key = jobstore.shard_key(jobstore.HEADS, NORTH)
  store.store.put(key, b"?")
  assert store.find().records == ()


def test_search_shows_that_a_job_was_moved_to_the_records():
  store = Store()
  assert store.find().arrivals == 0
  holder = test_platform_jobstore.Holder(store)
  kept = model.KeptJob(test_platform_jobstore.job("j0"), PROGRESS)
  holder.write(keptevents.MoveJob(kept, SOUTH))
  first = store.find().arrivals
  assert first > 0 and store.find(EAST).arrivals == 0
  kept = model.KeptJob(test_platform_jobstore.job("j1"), PROGRESS)
  holder.write(keptevents.MoveJob(kept, SOUTH))
  assert store.find().arrivals > first
  assert store.find().records == ()  # Nor is the new key taken for a head.
