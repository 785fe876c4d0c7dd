"""What an owner knows of each of its endpoints: runs, room, lease, health.

A run takes room from the moment it is ordered until the endpoint surely no
longer runs it and never will: an order whose answer is lost may be carried
out seconds later, and endpoints don't guard their capacity.
"""

import enum

from fescueturn.scheduler import model

# Of the 1,000 ms that the platform allows. A run may outlive its coordinator by
# the holder's patience (400 ms) and one lease, and must be over when the caller
# comes back after 1,300 ms; a renewal every 300 ms leaves room for a lost one.
LEASE_MS = 800
# A lease is taken as over this long after its end on the estimated clock,
# which never runs ahead of the endpoint's own: 2% of the longest lease that a
# slow clock may add, and ten times a call's usual 2 ms.
LEASE_EXPIRY_MARGIN_MS = 40
# A run that takes this many times its estimate without getting anywhere is
# stuck: estimates are off by 40% at most, and an endpoint that is only slow
# shows progress all the while.
STUCK_FACTOR = 3.0
# Nothing is called stuck sooner: progress is told with each lease call, at
# least every 300 ms, and one such call may be lost (150 ms).
STUCK_MIN_S = 0.5
# Jobs in a row whose runs failed on one endpoint that take it out of use. One
# run in five hundred fails by its own fault, and a job that can never be done
# fails on every endpoint, so failures of three jobs in a row are its own.
FAILED_JOBS_TO_EJECT = 3
# How long an endpoint stays out: doubles while failures go on, since trouble
# of an endpoint lasts 4 to 7 s.
EJECT_MIN_S = 1.0
EJECT_MAX_S = 8.0
# An endpoint that refuses or can't be reached is tried again after this: as
# long as five of its usual tasks, short against the length of such trouble.
BACK_OFF_S = 0.25
# A lease call that failed is repeated after this: six tries in a lease.
CALL_RETRY_S = 0.15
# The longest pause between calls to an endpoint that never answered: an entry
# may name an address where nothing is, and a connection there hangs for 0.25 s.
FIRST_CALL_MAX_BACKOFF_S = 1.0
# An endpoint lists ends that it may not forget yet with each lease call, at
# once: calls are this far apart until the ends are in the store, some 25 ms.
UNSAVED_CALL_INTERVAL_S = 0.15
# An endpoint off the list and silent for this long is forgotten with all that
# was ordered there: a lost order is carried out at most 12 s later.
FORGET_S = 15.0
# Weight of the newest run in an endpoint's slowness: some eight runs, one
# to two seconds of work, settle it.
SLOWNESS_GAIN = 0.25


# A run that shows so many times its estimate is slowed by its endpoint: estimates
# are off by 40% at most and endpoints differ by a quarter, 2.1 times in all.
SLOW_RATIO = 2.5
# Jobs whose runs must show it: a single job may be one that takes long anywhere.
SLOW_JOBS = 2
# A run is looked at no sooner: its progress is told in hundredths.
PROGRESS_MIN_S = 0.05


class RunState(enum.Enum):
  """How sure the owner is of a run."""

  # Ordered; no answer yet.
  ORDERED = "ordered"
  # Ordered; the answer is lost, so it may run now, later or never.
  UNSURE = "unsure"
  RUNNING = "running"
  STOPPING = "stopping"


class Run:
  """One run at an endpoint, as its owner sees it.

  Attributes:
    id: the task and attempt.
    need: the room it takes; None for a run whose job is not known yet.
    state: how sure the owner is of it.
    since: when it was ordered, or found (s).
    estimate_ms: how long it is expected to take.
    listed_from_call: number of the first lease call that surely shows it, 0 while
      an order is unanswered.
    percent: how much of it is done, as last listed.
    moved_at: when `percent` last rose (s).
    deadline_ms: the end of the lease that its order carried.
  """

  def __init__(self, run_id, need, state, now, estimate_ms=0, deadline_ms=0):
    self.id: model.RunId = run_id
    self.need: model.Resources | None = need
    self.state: RunState = state
    self.started_at: float = now
    self.estimate_ms: int = estimate_ms
    self.listed_from_call = 0
    self.percent = 0
    self.progressed_at: float = now
    self.deadline_ms: int = deadline_ms
    # When its order was last sent, and how often.
    self.sent_at: float = now
    self.sends = 1
    self.stop_sent_at: float | None = None
    # True once its lease was over and its task was given to another run.
    self.abandoned = False

  def expected_end(self, slowness: float) -> float:
    """Returns when it will probably end (s)."""
    return self.started_at + self.estimate_ms * slowness / 1000

  def predicted_duration_s(self, now: float) -> float | None:
    """Returns how long it takes in all, by its progress; None if unknown."""
    took_s = now - self.started_at
    if self.need is None or not self.percent or took_s < PROGRESS_MIN_S:
      return None
    return took_s * 100 / self.percent

  def observed_slowdown(self, now: float) -> float:
    """Returns how many times its estimate it takes, by its progress; 0: none."""
    total_s = self.predicted_duration_s(now)
    if total_s is None or not self.estimate_ms:
      return 0.0
    ratio = total_s * 1000 / self.estimate_ms
    return ratio if ratio > SLOW_RATIO else 0.0

  def stuck(self, now: float) -> bool:
    """Returns whether the run gets nowhere."""
    limit_s = max(STUCK_MIN_S, STUCK_FACTOR * self.estimate_ms / 1000)
    return (
        self.state is RunState.RUNNING
        and self.need is not None
        and now - self.progressed_at > limit_s
    )


class EndpointRecord:
  """One endpoint: its runs and what is known of its clock and health."""

  def __init__(self, info: model.Endpoint, now: float):
    self.info = info
    self.listed = True
    self.runs_known = False
    self.runs: dict[model.RunId, Run] = {}
    self.last_end_number = 0
    # Numbers of the ends that must be in the store before it forgets them.
    self.unsaved_ends: set[int] = set()
    self.last_sent_ack = 0
    self.last_saved_end = 0
    self.call_number = 0
    self.call_pending = False
    self.call_sent_at = now
    # True while the call that is out may wait for an end.
    self.call_is_long_poll = False
    self.lease_end_ms = 0
    self.next_call_at = now
    # Lease calls that failed before the first that was answered.
    self._calls_in_vain = 0
    self.excluded_until = 0.0
    self.ejections = 0
    self.failed_jobs: set[str] = set()
    self.slowness = 1.0
    # Jobs whose runs showed that they are slowed here, since one ended in time.
    self._slow_jobs: set[str] = set()
    self.silent_since: float | None = None
    # Since when it is asked whether it is there, after an order without answer.
    self.suspected_since: float | None = None
    # Lease calls without an answer since it was last heard from.
    self.calls_unanswered = 0
    self.last_answer_at = now
    self._clock_ms: int | None = None
    self._clock_at = now
    self._free = info.capacity

  @property
  def free(self) -> model.Resources:
    """Room that nothing takes now."""
    return self._free

  @property
  def ack_number(self) -> int:
    """The number up to which it may forget ends."""
    return (
        min(self.unsaved_ends) - 1
        if self.unsaved_ends
        else self.last_end_number
    )

  @property
  def has_unsent_ack(self) -> bool:
    """True when ends of kept jobs are in the store and it doesn't know."""
    return self.last_saved_end > self.last_sent_ack

  def record_saved_end(self, number: int):
    """Notes that an end is in the store."""
    self.unsaved_ends.discard(number)
    self.last_saved_end = max(self.last_saved_end, number)

  def update(self, info: model.Endpoint):
    """Takes what the platform lists of the endpoint now."""
    self.info = info
    self.listed = True
    self._count_free()

  def usable(self, now: float) -> bool:
    """Returns whether new tasks may go there."""
    if self.slowness > SLOW_RATIO and self.runs:
      return False  # One run at a time shows whether it still is slow.
    return (
        self.runs_known
        and self.listed
        and not self.info.draining
        and self.excluded_until <= now
        and self.silent_since is None
        and self.suspected_since is None
    )

  @property
  def may_have_capacity(self) -> bool:
    """True of a listed endpoint that has not told what runs there."""
    return not self.runs_known and self.listed and not self.info.draining

  @property
  def awaits_stop_result(self) -> bool:
    """True while the next call is to show what became of a stopped run."""
    return any(
        run.state is RunState.STOPPING
        and run.listed_from_call > self.call_number
        for run in self.runs.values()
    )

  def fits(self, need: model.Resources) -> bool:
    """Returns whether a task of `need` has room there now."""
    return len(self.runs) < self.info.slots and self._free.fits(need)

  def update_clock(self, clock_ms: int | None, now: float):
    """Takes the endpoint's clock from an answer: it was reached."""
    if clock_ms is None:
      return
    self._clock_ms = clock_ms
    self._clock_at = now
    self.last_answer_at = now
    self.silent_since = None
    self.suspected_since = None
    self.calls_unanswered = 0

  def clock_ms(self, now: float) -> int | None:
    """Returns the endpoint's clock, never ahead of it; None if unknown."""
    if self._clock_ms is None:
      return None
    return self._clock_ms + int((now - self._clock_at) * 1000)

  def leases_expired(self, now: float) -> bool:
    """Returns whether every lease ever asked for there is surely over."""
    clock = self.clock_ms(now)
    return (
        clock is not None and clock > self.lease_end_ms + LEASE_EXPIRY_MARGIN_MS
    )

  def extend_lease(self, now: float) -> int | None:
    """Returns the end of a full lease from now, and notes it as asked for."""
    clock = self.clock_ms(now)
    if clock is None:
      return None
    end = clock + LEASE_MS
    self.lease_end_ms = max(self.lease_end_ms, end)
    return end

  def add(self, run: Run):
    """Notes a run ordered or found there."""
    self.runs[run.id] = run
    self._count_free()

  def adopt(self, run: Run, need: model.Resources, estimate_ms: int):
    """Notes whose run it is that was found there."""
    run.need = need
    run.estimate_ms = estimate_ms
    self._count_free()

  def remove(self, run_id: model.RunId) -> Run | None:
    """Frees a run's room."""
    run = self.runs.pop(run_id, None)
    if run is not None:
      self._count_free()
    return run

  def _count_free(self):
    free = self.info.capacity
    for run in self.runs.values():
      # A run of unknown size may fill the endpoint.
      free = free.minus(run.need or self.info.capacity)
    self._free = free

  def mark_silent(self, now: float):
    """Notes a call that went unanswered."""
    self.suspected_since = None
    if self.silent_since is None:
      self.silent_since = now

  def back_off(self, now: float):
    """Keeps new tasks away for a short while."""
    self.exclude_until(now + BACK_OFF_S)

  def exclude_until(self, until: float):
    """Keeps new tasks away until a time (s)."""
    self.excluded_until = max(self.excluded_until, until)

  def delay_next_call(self, now: float):
    """Has the next lease call wait a little after one that failed."""
    pause_s = CALL_RETRY_S
    if not self.runs_known:
      pause_s = min(FIRST_CALL_MAX_BACKOFF_S, pause_s * 2**self._calls_in_vain)
      self._calls_in_vain += 1
    self.next_call_at = now + pause_s

  def can_be_forgotten(self, now: float) -> bool:
    """Returns whether an endpoint off the list has been silent for good."""
    return (
        not self.listed
        and self.silent_since is not None
        and now - self.silent_since > FORGET_S
    )

  def record_failed_run(self, job_id: str, now: float) -> bool:
    """Notes a run that failed there; returns whether it is now ejected."""
    self.failed_jobs.add(job_id)
    if len(self.failed_jobs) < FAILED_JOBS_TO_EJECT:
      return False
    self.eject(now)
    # One more failed job after the pause ejects it again.
    self.failed_jobs.pop()
    return True

  def eject(self, now: float):
    """Keeps new tasks away for a while that doubles from time to time."""
    pause_s = min(EJECT_MAX_S, EJECT_MIN_S * 2**self.ejections)
    self.excluded_until = max(self.excluded_until, now + pause_s)
    self.ejections += 1

  def record_done_run(self, run: Run, now: float):
    """Notes a run that was done there, and how its time compares."""
    self.failed_jobs.clear()
    self.ejections = 0
    if run.estimate_ms:
      took = max(1.0, (now - run.started_at) * 1000)
      ratio = took / run.estimate_ms
      if ratio < SLOW_RATIO:
        self._slow_jobs.clear()
      self.slowness += SLOWNESS_GAIN * (ratio - self.slowness)

  def record_slow_run(self, run: Run, ratio: float) -> bool:
    """Notes a run that is slowed; returns whether that is new of the endpoint."""
    self._slow_jobs.add(run.id.task.job_id)
    if len(self._slow_jobs) < SLOW_JOBS or self.slowness > ratio:
      return False
    new = self.slowness <= SLOW_RATIO
    self.slowness = ratio
    return new

  def snapshot(self, now: float) -> dict:
    """Returns a JSON-ready dump."""
    return {
        "listed": self.listed,
        "known": self.runs_known,
        "draining": self.info.draining,
        "runs": {
            state.value: sum(r.state is state for r in self.runs.values())
            for state in RunState
        },
        "free_cpu": self._free.cpu,
        "slowness": round(self.slowness, 2),
        "out_for_s": round(max(0.0, self.excluded_until - now), 3),
        "silent_s": round(now - self.silent_since, 3)
        if self.silent_since is not None
        else 0,
    }
