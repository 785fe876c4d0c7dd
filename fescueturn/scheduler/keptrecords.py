"""What an owner has in the store of its kept jobs, and writes next.

A job counts as accepted, a task as done, and a job as over only once that is
written; an endpoint is told to forget an end no sooner.
"""

import dataclasses
from collections.abc import Callable

from fescueturn.scheduler import keptevents
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model

# Whose jobs the kept ones are: no host's, so that no host's silence ends them.
KEPT = linkmessages.HostProcess("", "")
# Writes to the store follow each other no sooner. An answer takes 4 to 6 ms;
# three holders at 83 writes a second use 250 of the 400 that the store takes.
WRITE_PERIOD_S = 0.012
# A write of the store has 32 rows at most: a change takes up to three, a move five,
# the claim and the write before take three more.
MAX_CHANGES = 9
MAX_ROWS = 29
_CHANGE_ROWS = 3
_MOVE_ROWS = 5
# New jobs that wait to be written, at most: four writes' worth. The last is
# accepted within some 60 ms.
MAX_ARRIVING = 4 * MAX_CHANGES
# A write without an answer for this long: the store is away. No new jobs are
# taken until it is back; one call may be lost and tried again meanwhile.
STALLED_S = 1.2
# When the jobs over that earlier holders have left are looked for: not while
# a takeover is under way.
LIST_ENDED_DELAY_S = 30.0

# While data centres are evacuated, jobs that were moved here are looked for this
# often: they wait no longer, against a bound of 3 s for a task that could run.
LIST_OPEN_PERIOD_S = 1.0

# An end that an endpoint lists: its endpoint and its number there, from 1.
EndName = tuple[str, int]
# In the place of such a number: the endpoint was lost under a task.
ENDPOINT_LOST = 0


def job_key(job_id: str) -> linkmessages.JobKey:
  """Returns the key of a kept job."""
  return linkmessages.JobKey(KEPT, job_id)


@dataclasses.dataclass(frozen=True)
class FinishedJob:
  """A job that is over: how it ended, if that is known, and when to forget it.

  Attributes:
    state: how it ended; None if only an earlier holder knew.
    until: when to forget it (s).
  """

  state: model.KeptJobState | None
  until: float


def _count_fitting(changes: list[keptevents.Change]) -> int:
  """Returns how many of the changes go into one write."""
  rows = 0
  for count, change in enumerate(changes):
    move = isinstance(change, keptevents.MoveJob)
    rows += _MOVE_ROWS if move else _CHANGE_ROWS
    if count == MAX_CHANGES or rows > MAX_ROWS:
      return count
  return len(changes)


class KeptRecords:
  """An owner's side of the store.

  Attributes:
    loaded: True once the records of earlier holders are read.
    takeovers: how often they were taken over before.
    arriving: offers of new jobs that are not in the store yet, by id.
    over: jobs that are over, but not yet so in the store.
    ended: jobs that are over, by id; those longest over first.
    unsaved: ends of tasks that are not in the store yet, by job.
    early_results: ends listed before the records were read, by job.
    early_offers: offers made before that.
    questions: what was asked of a job and waits for word, by id.
    in_flight: the write under way.
    ended_list_requested: True once jobs over that earlier holders left are looked for.
    moving: jobs on their way to other shards, as they will be written there.
    moved: jobs moved away since jobs moved here were last looked for.
    open_list_pending: True while those are looked for.
    open_list_requested_at: when that was last begun (s).
  """

  def __init__(self):
    self.loaded = False
    self.takeovers = 0
    self.unsaved_offers: dict[str, list[linkmessages.Offered]] = {}
    self.unsaved_states: dict[str, model.KeptJobState] = {}
    self.finished_jobs: dict[str, FinishedJob] = {}
    self.unsaved_results: dict[str, set[EndName]] = {}
    self.early_results: dict[str, set[EndName]] = {}
    self.early_offers: list[linkmessages.Offered] = []
    self.pending_queries: dict[str, list[keptevents.KeptJobQuery]] = {}
    self.in_flight: keptevents.WriteKeptJobs | None = None
    self.ended_list_requested = False
    self.moving: dict[str, keptevents.MoveJob] = {}
    self.moved: set[str] = set()
    self.open_list_pending = False
    self.open_list_requested_at = 0.0
    self._ends_in_flight: dict[str, frozenset[EndName]] = {}
    self._number = 0
    self._revision = 0
    self._sent_at = 0.0

  @property
  def has_unsaved_changes(self) -> bool:
    """True while something is to be written, or its outcome not known."""
    return bool(
        self.in_flight
        or self.unsaved_offers
        or self.unsaved_states
        or self.unsaved_results
        or self.moving
    )

  def mark_loaded(self, loaded: keptevents.KeptJobsLoaded):
    """Takes it that the records are read."""
    self.loaded = True
    self.takeovers = loaded.takeovers
    self._revision = loaded.revision

  def stalled(self, now: float) -> bool:
    """Returns whether the store leaves a write unanswered."""
    return self.in_flight is not None and now - self._sent_at > STALLED_S

  def accepts_new(self, now: float) -> bool:
    """Returns whether another new job would be written soon."""
    return len(self.unsaved_offers) < MAX_ARRIVING and not self.stalled(now)

  def is_finished(self, job_id: str) -> bool:
    """Returns whether the job is over, as far as is known here."""
    return job_id in self.unsaved_states or job_id in self.finished_jobs

  def next_write(
      self,
      shard: model.Shard,
      fence: int,
      now: float,
      progress_of: Callable[[str], model.Progress],
  ) -> keptevents.WriteKeptJobs | None:
    """Returns the write to make now, if any.

    Args:
      shard: whose records.
      fence: the owner's fence number.
      now: the time (s).
      progress_of: returns what is over of a job, given its id.
    """
    if not self.loaded or self.in_flight is not None:
      return None
    if not (self.has_unsaved_changes or self.finished_jobs):
      return None
    if now - self._sent_at < WRITE_PERIOD_S:
      return None
    changes = self._next_changes(now, progress_of)
    if not changes:
      return None
    self._number += 1
    self._sent_at = now
    self.in_flight = keptevents.WriteKeptJobs(
        shard, fence, self._number, self._revision, changes
    )
    return self.in_flight

  def _next_changes(self, now: float, progress_of):
    """Returns what to write: what is over first, since endpoints keep it."""
    changes: list[keptevents.Change] = [
        keptevents.StoreEnd(job_id, state)
        for job_id, state in self.unsaved_states.items()
    ]
    changes += [
        keptevents.StoreProgress(job_id, progress_of(job_id))
        for job_id in self.unsaved_results
        if job_id not in self.unsaved_states and job_id not in self.moving
    ]
    changes += self.moving.values()
    changes += [
        keptevents.StoreJob(offers[0].job)
        for offers in self.unsaved_offers.values()
    ]
    changes += [
        keptevents.DeleteJob(job_id)
        for job_id, ended in self.finished_jobs.items()
        if ended.until <= now
    ]
    del changes[_count_fitting(changes) :]
    self._ends_in_flight = {
        change.job_id: frozenset(self.unsaved_results.get(change.job_id, ()))
        for change in changes
        if isinstance(change, (keptevents.StoreEnd, keptevents.StoreProgress))
    }
    return tuple(changes)

  def may_move(self, job_id: str) -> bool:
    """Returns whether all that is over of a job is in the store."""
    ends = job_id in self.unsaved_results or job_id in self._ends_in_flight
    return self.loaded and not ends and job_id not in self.moving

  def complete_write(
      self, written: keptevents.KeptJobsWritten
  ) -> tuple[keptevents.Change, ...]:
    """Notes the answer to the write under way; returns its changes."""
    changes = self.in_flight.changes
    self.in_flight = None
    self._revision = written.revision
    return changes

  def has_unsaved_loss(self, job_id: str) -> bool:
    """Returns whether endpoints that a job lost are not in the store yet."""
    ends = self.unsaved_results.get(job_id, ())
    return any(number == ENDPOINT_LOST for _, number in ends)

  def pop_saved_results(self, job_id: str) -> frozenset[EndName]:
    """Returns the ends of a job that the write has put into the store."""
    saved = self._ends_in_flight.pop(job_id, frozenset())
    left = self.unsaved_results.get(job_id, set()) - saved
    if left:
      self.unsaved_results[job_id] = left
    else:
      self.unsaved_results.pop(job_id, None)
    return saved

  def pop_all_results(self, job_id: str) -> set[EndName]:
    """Returns all ends of a job that is over: none is needed any more."""
    self._ends_in_flight.pop(job_id, None)
    return self.unsaved_results.pop(job_id, set())

  def snapshot(self) -> dict:
    """Returns a JSON-ready dump."""
    return {
        "loaded": self.loaded,
        "takeovers": self.takeovers,
        "arriving": len(self.unsaved_offers),
        "unsaved": len(self.unsaved_results),
        "over": len(self.unsaved_states),
        "moving": len(self.moving),
        "ended": len(self.finished_jobs),
        "writes": self._number,
        "write_waits": self.in_flight is not None,
    }
