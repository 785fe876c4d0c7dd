"""The stored records of an owner's kept jobs, and the changes still to write.

Kept jobs are durable: they survive the loss of every host. A job is reported as
accepted, a task as done and a job as finished only after that has been written
to the store. The results that endpoints list are acknowledged no earlier.
"""

import dataclasses
from collections.abc import Callable

from fescueturn.scheduler import keptevents
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model

# Stands for the coordinator in the keys of kept jobs. It is no host's process,
# so that no coordinator's heartbeat timeout ends them.
NO_COORDINATOR = linkmessages.HostProcess("", "")
# Shortest interval between writes to the store. An answer takes 4 to 6 ms;
# three holders with 83 writes a second each use 250 of the 400 that the store
# allows.
WRITE_PERIOD_S = 0.012
# A transaction of the store has at most 32 rows. A change takes up to three, a
# move five and one more for each shard that jobs move to, and the checks of the
# claim and of the previous write three.
MAX_CHANGES = 9
MAX_ROWS = 29
_CHANGE_ROWS = 3
_MOVE_ROWS = 5
# Maximum number of new jobs that wait to be written: those of four writes. The
# last one is accepted within about 60 ms.
MAX_UNSAVED_OFFERS = 4 * MAX_CHANGES
# The store counts as unavailable when a write has had no answer for this long,
# which leaves time for one lost call and its retry. No new jobs are accepted
# until it answers.
STORE_TIMEOUT_S = 1.2
# Time from a takeover to the search for finished jobs that previous holders
# left in the store, so that it doesn't slow the takeover down.
LIST_ENDED_DELAY_S = 30.0
# Interval at which jobs that were moved here are looked for while data centres
# are evacuated. They wait at most this long, well below the limit of 3 s for
# the delay of a task that could run.
LIST_OPEN_PERIOD_S = 1.0

# Identifies the result of a run: the endpoint that lists it and its number
# there, counted from 1.
ResultKey = tuple[str, int]
# Used instead of a result's number: the endpoint was lost while it ran the
# task.
ENDPOINT_LOST = 0


def job_key(job_id: str) -> linkmessages.JobKey:
  """Returns the key of a kept job."""
  return linkmessages.JobKey(NO_COORDINATOR, job_id)


@dataclasses.dataclass(frozen=True)
class FinishedJob:
  """A job that is stored as finished.

  Attributes:
    state: how it ended; None if only a previous holder knew.
    until: when to delete its record (s).
  """

  state: model.KeptJobState | None
  until: float


def _count_fitting(changes: list[keptevents.Change]) -> int:
  """Returns how many of the changes fit into one write."""
  rows = 0
  targets = set()
  for count, change in enumerate(changes):
    move = isinstance(change, keptevents.MoveJob)
    rows += _MOVE_ROWS if move else _CHANGE_ROWS
    if move:
      targets.add(change.to)
    if count == MAX_CHANGES or rows + len(targets) > MAX_ROWS:
      return count
  return len(changes)


class KeptRecords:
  """The kept jobs' records of one owner: what is stored and what is not yet.

  Attributes:
    loaded: True once the records of previous holders have been read.
    takeovers: how often previous holders took the records over.
    inherited: ids of the jobs that were found in the records. Start requests of
      the previous holder for them may still be carried out.
    unsaved_offers: offers of new jobs that are not stored yet, by job id.
    unsaved_states: the final states of finished jobs that are not stored yet,
      by job id.
    finished_jobs: the jobs stored as finished, by id; earliest first.
    unsaved_results: the results of runs that are not stored yet, by job id.
    early_results: the results listed before the records were read, by job id.
    held_results: the stored results that may not be acknowledged while another
      run of their job's tasks may start, by job id.
    duplicate_runs: runs of tasks that another run has done, by job id; their
      start requests may still be carried out.
    early_offers: the offers received before the records were read.
    pending_queries: the queries that wait for an answer, by job id.
    in_flight: the write that waits for the store's answer.
    ended_list_requested: True once the list of the finished jobs that previous
      holders left has been requested.
    moving: the moves of jobs to other shards that are to be written, by job id.
    moved: the jobs moved away since the open jobs were last requested.
    open_list_pending: True while the list of open jobs is being read, to find
      those moved here.
    open_list_requested_at: when that list was last requested (s).
    open_list_wanted: True if it has to be read, as jobs were moved here.
    taken: ids of the jobs that holders of other shards have taken over.
    taken_records: the records that name them, until they are deleted.
    forget_taken: True once these records are to be deleted.
    unlapsed_ends: the ends of runs of such jobs that wait for the lease of their
      endpoint to expire, by endpoint; see `keptends`.
  """

  def __init__(self):
    self.loaded = False
    self.takeovers = 0
    self.inherited: frozenset[str] = frozenset()
    self.unsaved_offers: dict[str, list[linkmessages.Offered]] = {}
    self.unsaved_states: dict[str, model.KeptJobState] = {}
    self.finished_jobs: dict[str, FinishedJob] = {}
    self.unsaved_results: dict[str, set[ResultKey]] = {}
    self.early_results: dict[str, set[ResultKey]] = {}
    self.held_results: dict[str, set[ResultKey]] = {}
    self.duplicate_runs: dict[str, set[model.RunId]] = {}
    self.early_offers: list[linkmessages.Offered] = []
    self.pending_queries: dict[str, list[keptevents.KeptJobQuery]] = {}
    self.in_flight: keptevents.WriteKeptJobs | None = None
    self.ended_list_requested = False
    self.moving: dict[str, keptevents.MoveJob] = {}
    self.moved: set[str] = set()
    self.open_list_pending = False
    self.open_list_requested_at = 0.0
    self.open_list_wanted = False
    self.taken: frozenset[str] = frozenset()
    self.taken_records: set[int] = set()
    self.forget_taken = False
    self.unlapsed_ends: dict[str, set[int]] = {}
    self._results_in_flight: dict[str, frozenset[ResultKey]] = {}
    self._number = 0
    self._revision = 0
    self._sent_at = 0.0

  @property
  def has_unsaved_changes(self) -> bool:
    """True while changes are to be written, or a write is unanswered."""
    return bool(
        self.in_flight
        or self.unsaved_offers
        or self.unsaved_states
        or self.unsaved_results
        or self.moving
    )

  def mark_loaded(self, loaded: keptevents.KeptJobsLoaded):
    """Marks the records of previous holders as read."""
    self.loaded = True
    self.takeovers = loaded.takeovers
    self.inherited = frozenset(kept.job.id for kept in loaded.jobs)
    self._revision = loaded.revision
    self.taken = frozenset().union(*(t.job_ids for t in loaded.taken))
    self.taken_records = {t.revision for t in loaded.taken}
    self.forget_taken = False

  def stalled(self, now: float) -> bool:
    """Returns whether a write has been unanswered for too long."""
    return self.in_flight is not None and now - self._sent_at > STORE_TIMEOUT_S

  def accepts_new(self, now: float) -> bool:
    """Returns whether another new job can be written without much delay."""
    return len(self.unsaved_offers) < MAX_UNSAVED_OFFERS and not self.stalled(
        now
    )

  def is_finished(self, job_id: str) -> bool:
    """Returns whether the job is known to be finished, stored or not."""
    return job_id in self.unsaved_states or job_id in self.finished_jobs

  def next_write(
      self,
      shard: model.Shard,
      fence: int,
      now: float,
      progress_of: Callable[[str], model.Progress],
      is_held: Callable[[str], bool],
  ) -> keptevents.WriteKeptJobs | None:
    """Returns the write to make now, if any.

    Args:
      shard: the shard of the records.
      fence: the owner's fencing token.
      now: the time (s).
      progress_of: returns the progress of the job with the given id.
      is_held: returns whether the end of the job with the given id is not to be
        stored yet.
    """
    if not self.loaded or self.in_flight is not None:
      return None
    is_idle = not (self.finished_jobs or self._records_to_forget)
    if is_idle and not self.has_unsaved_changes:
      return None
    if now - self._sent_at < WRITE_PERIOD_S:
      return None
    changes = self._next_changes(now, progress_of, is_held)
    if not changes:
      return None
    self._number += 1
    self._sent_at = now
    self.in_flight = keptevents.WriteKeptJobs(
        shard, fence, self._number, self._revision, changes
    )
    return self.in_flight

  def _next_changes(self, now: float, progress_of, is_held):
    """Returns the changes to write next.

    Ends and progress come first, because endpoints list the results until then.
    """
    changes: list[keptevents.Change] = [
        keptevents.StoreEnd(job_id, state)
        for job_id, state in self.unsaved_states.items()
        if not is_held(job_id)
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
    if self._records_to_forget:
      changes.append(keptevents.ForgetTakenJobs(self._records_to_forget))
    del changes[_count_fitting(changes) :]
    self._results_in_flight = {
        change.job_id: frozenset(self.unsaved_results.get(change.job_id, ()))
        for change in changes
        if isinstance(change, (keptevents.StoreEnd, keptevents.StoreProgress))
    }
    return tuple(changes)

  @property
  def _records_to_forget(self) -> tuple[int, ...]:
    records = sorted(self.taken_records) if self.forget_taken else ()
    return tuple(records[:_CHANGE_ROWS])

  def may_move(self, job_id: str) -> bool:
    """Returns whether a job's progress is stored and no move has begun."""
    unsaved = (
        job_id in self.unsaved_results or job_id in self._results_in_flight
    )
    return self.loaded and not unsaved and job_id not in self.moving

  def complete_write(
      self, written: keptevents.KeptJobsWritten
  ) -> tuple[keptevents.Change, ...]:
    """Records the answer to the write in flight; returns its changes."""
    changes = self.in_flight.changes
    self.in_flight = None
    self._revision = written.revision
    return changes

  def has_unsaved_loss(self, job_id: str) -> bool:
    """Returns whether an endpoint loss of a job is not stored yet."""
    results = self.unsaved_results.get(job_id, ())
    return any(number == ENDPOINT_LOST for _, number in results)

  def forget_result_numbers(self, endpoint: str):
    """Forgets which ends an endpoint waits for, as it was restarted.

    Their jobs' progress is stored nevertheless. The numbers of its ends start
    anew, so an acknowledgement would concern other ends.
    """

    def is_valid(result: ResultKey) -> bool:
      return result[0] != endpoint or result[1] == ENDPOINT_LOST

    self.unlapsed_ends.pop(endpoint, None)
    every = (self.unsaved_results, self.early_results, self.held_results)
    for results in every:
      for job_id, keys in results.items():
        results[job_id] = {key for key in keys if is_valid(key)}
    self._results_in_flight = {
        job_id: frozenset(filter(is_valid, keys))
        for job_id, keys in self._results_in_flight.items()
    }

  def pop_saved_results(self, job_id: str) -> frozenset[ResultKey]:
    """Removes and returns the results of a job that the write has stored."""
    saved = self._results_in_flight.pop(job_id, frozenset())
    left = self.unsaved_results.get(job_id, set()) - saved
    if left:
      self.unsaved_results[job_id] = left
    else:
      self.unsaved_results.pop(job_id, None)
    return saved

  def pop_all_results(self, job_id: str) -> set[ResultKey]:
    """Removes and returns all results of a job that needs none any more."""
    self._results_in_flight.pop(job_id, None)
    return self.unsaved_results.pop(job_id, set())

  def snapshot(self) -> dict:
    """Returns a JSON-ready dump."""
    return {
        "loaded": self.loaded,
        "takeovers": self.takeovers,
        "arriving": len(self.unsaved_offers),
        "unsaved": len(self.unsaved_results),
        "held": len(self.held_results),
        "over": len(self.unsaved_states),
        "moving": len(self.moving),
        "ended": len(self.finished_jobs),
        "writes": self._number,
        "write_waits": self.in_flight is not None,
    }
