"""An owner's state of each endpoint: its runs, free capacity, lease and health.

A run takes up capacity from its start request on until it surely doesn't run
and never will. A start request whose answer is lost may be carried out seconds
later, and endpoints don't enforce their capacity themselves.
"""

import collections
import dataclasses
import enum
import math
from collections.abc import Callable

from fescueturn.scheduler import model
from fescueturn.scheduler.decisions import speeds

# The longest lease that the platform allows.
MAX_LEASE_MS = 1000
# The length of a lease. A run may outlive its coordinator by the time in which
# the holder detects the failure (400 ms) and one lease, and must have ended
# when the caller retries after 1,300 ms. Leases are renewed every 300 ms, so
# that one renewal may be lost.
LEASE_MS = 800
# A lease counts as expired this long after its end on the estimated clock of
# the endpoint, which never runs ahead of the real one.
LEASE_EXPIRY_MARGIN_MS = 40
# The lowest rate of an endpoint's clock: it may be 2% slow.
MIN_CLOCK_RATE = 0.98
# The longest time without a call to an endpoint. The estimate of its clock is
# then 200 ms behind, and a lease that is requested by it 600 ms long.
IDLE_CALL_PERIOD_S = 10.0
# A run is stuck once it has made no progress for this many times its estimate.
# Estimates are off by 40% at most, and a run on a slow endpoint still makes
# progress.
STUCK_FACTOR = 3.0
# No run counts as stuck sooner than this. Progress is reported with each lease
# call, at least every 300 ms, and one such call may be lost (150 ms).
STUCK_MIN_S = 0.5
# An endpoint is ejected after failed runs of this many jobs without a
# successful run. One run in 500 fails by its own fault and a bad job fails on
# every endpoint, so three such jobs mean that the endpoint is at fault.
FAILED_JOBS_TO_EJECT = 3
# How long an endpoint stays ejected. The time doubles while failures go on,
# since endpoint failures last 4 to 7 s.
EJECT_MIN_S = 1.0
EJECT_MAX_S = 8.0
# An endpoint that refuses a request or can't be reached gets no tasks for this
# long. That is the time of five usual tasks, and short compared to such a
# failure.
BACK_OFF_S = 0.25
# A failed lease call is retried after this, about six times within a lease.
CALL_RETRY_S = 0.15
# The longest pause between calls to an endpoint that has never answered. Its
# entry may have an address where nothing listens, and a connection there hangs
# for 0.25 s.
FIRST_CALL_MAX_BACKOFF_S = 1.0
# The minimum interval of lease calls to an endpoint with ended runs that are
# not in the store yet; a write takes some 25 ms. The endpoint answers such
# calls at once, without a long poll, since it lists these runs each time.
UNSAVED_CALL_INTERVAL_S = 0.15
# An unlisted endpoint that has been silent for this long is forgotten with all
# its runs. A lost start request is carried out at most 12 s late.
FORGET_S = 15.0
# A run that takes more than this many times its estimate is slowed, by its
# endpoint or because its task is long. Estimates are too low by 40% at most,
# which makes 1.67 times, and endpoints differ by a quarter: 2.1 times in all.
SLOW_RATIO = 2.5
# An endpoint counts as slow after slowed runs of this many jobs. A single job
# may take longer than its estimate on any endpoint.
SLOW_JOBS = 2
# For how long after it was sent a start request without an answer may still be
# carried out: it is at most 12 s late, and 1 s is added as a margin.
LATE_START_S = 13.0
# How many such requests an endpoint's record keeps, the newest ones. With 30%
# of the calls lost, an endpoint with 20 starts a second has 78.
LATE_STARTS = 100
# How many of an endpoint's last runs in time are remembered: enough for those
# that end while a slowed one goes on.
RUNS_IN_TIME = 8
# A run's slowdown is not computed sooner than this, since its progress is
# reported in whole percents.
PROGRESS_MIN_S = 0.05


class RunState(enum.Enum):
  """The state of a run, as far as the owner knows."""

  # A start request was sent; there is no answer yet.
  ORDERED = "ordered"
  # The answer to the start request was lost: it may run now, later or never.
  UNSURE = "unsure"
  RUNNING = "running"
  STOPPING = "stopping"


class Run:
  """One run at an endpoint, as its owner sees it.

  Attributes:
    id: the task and attempt.
    need: the resources it takes; None for a run whose job is not known yet.
    state: its state, as far as the owner knows.
    started_at: when its start was requested, or when it was found there (s).
    estimate_ms: how long it is expected to take.
    listed_from_call: number of the first lease call whose answer lists the run
      or its end; 0 while a start or stop request is unanswered.
    percent: how much of it is done, as last listed.
    progressed_at: when `percent` last rose (s).
    deadline_ms: the end of the lease that its start request carried.
    sent_at: when its start request was last sent (s).
    sends: how often its start request was sent.
    stop_sent_at: when an unanswered stop request was last sent (s), if any.
    stop_failures: how many of its stop requests failed.
    duplicate_logged: True once it was logged that its task has another run.
    abandoned: True once its lease has expired and its task may run elsewhere.
    adopted: True if it was found at its endpoint, so that its start is unknown.
    observed_share: the part of its work that has counted for its endpoint's
      speed.
    observed_at: when that part was done (s).
    in_time_until: until when its progress has shown no slowdown (s).
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
    self.sent_at: float = now
    self.sends = 1
    self.stop_sent_at: float | None = None
    self.stop_failures = 0
    self.duplicate_logged = False
    self.abandoned = False
    self.adopted = False
    self.observed_share = 0.0
    self.observed_at: float = now
    self.in_time_until: float = now

  @property
  def was_resent(self) -> bool:
    """True if its start request was sent again, as the first got no answer."""
    return self.sends > 1

  @property
  def wanted(self) -> bool:
    """True if its job is known and its stop has not been requested."""
    states = (RunState.ORDERED, RunState.RUNNING)
    return self.need is not None and self.state in states

  def expected_end(self, slowness: float) -> float:
    """Returns when the run will probably end (s)."""
    return self.started_at + self.estimate_ms * slowness / 1000

  def predicted_duration_s(self, now: float) -> float | None:
    """Returns its total time predicted from its progress; None if unknown."""
    took_s = now - self.started_at
    if self.need is None or not self.percent or took_s < PROGRESS_MIN_S:
      return None
    return took_s * 100 / self.percent

  def observed_slowdown(self, now: float) -> float:
    """Returns the ratio of predicted to estimated time; 0 if not slowed."""
    total_s = self.predicted_duration_s(now)
    if total_s is None or not self.estimate_ms:
      return 0.0
    ratio = total_s * 1000 / self.estimate_ms
    return ratio if ratio > SLOW_RATIO else 0.0

  def stuck(self, now: float) -> bool:
    """Returns whether the run makes no progress."""
    limit_s = max(STUCK_MIN_S, STUCK_FACTOR * self.estimate_ms / 1000)
    return (
        self.state is RunState.RUNNING
        and self.need is not None
        and now - self.progressed_at > limit_s
    )


@dataclasses.dataclass(frozen=True)
class LateStart:
  """A start request that got no answer.

  Attributes:
    run: the run.
    need: the resources that it would take.
    sent_at: when the request was sent (s).
  """

  run: model.RunId
  need: model.Resources
  sent_at: float


class EndpointRecord:
  """One endpoint as its owner sees it.

  Attributes:
    info: the endpoint as the platform lists it.
    born_ms: when the incarnation started whose runs are recorded here (Unix
      time, ms); 0 if it isn't known.
    listed: True while the platform lists it.
    runs: its runs, of which some may not have started.
    last_end_number: the highest sequence number of an ended run that it has
      listed.
    unsaved_ends: numbers of ended runs that must be in the store before it may
      forget them.
    last_sent_ack: the number up to which it was last allowed to forget ended
      runs.
    call_ack: the number in the last lease call; 0 if it had none.
    last_heard_ack: the highest such number in a call that it answered.
    call_lost: True once a lease call got no answer, until one gets one.
    last_saved_end: the highest number of an ended run that was written to the
      store.
    call_number: the number of the last lease call.
    call_pending: True while that call has no answer.
    call_sent_at: when it was sent (s).
    call_is_long_poll: True if it may wait for a run to end.
    call_extends: True if it extends the lease.
    lease_end_ms: the latest end that its lease may have, on the endpoint's
      clock.
    must_lapse: True while one of its runs must end, even if its stop is lost,
      so that its lease may not be extended.
    next_call_at: when a failed lease call may be retried (s).
    excluded_until: until when it gets no new tasks (s).
    ejections: how often it was ejected without a successful run in between.
    failed_jobs: jobs whose runs have failed there since the last success.
    speed: how fast work is done there.
    silent_since: since when it has been silent (s); None if it answers.
    suspected_since: since when it has been probed after a lost call (s); None
      if it isn't.
    calls_unanswered: lease calls without an answer since its last answer.
    last_answer_at: when it last answered any call (s).
    leaves_at: the earliest time at which it leaves (s); None if it hasn't
      announced that.
    cold_until: until when it is slow after its start (s).
    entry_recorded: True once the times that its entry announces are recorded.
    on_change: called when its capacity, speed or health may have changed.
  """

  def __init__(self, info: model.Endpoint, now: float):
    self.info = info
    self.born_ms = info.born_ms
    self.listed = True
    self._runs_known = False
    self.runs: dict[model.RunId, Run] = {}
    self.last_end_number = 0
    self.unsaved_ends: set[int] = set()
    self.last_sent_ack = 0
    self.call_ack = 0
    self.last_heard_ack = 0
    self.call_lost = False
    self.last_saved_end = 0
    self.call_number = 0
    self.call_pending = False
    self.call_sent_at = now
    self.call_is_long_poll = False
    self.call_extends = False
    self.lease_end_ms = 0
    self._must_lapse = False
    self.next_call_at = now
    # Failed lease calls before the first one that was answered.
    self._failed_first_calls = 0
    self.excluded_until = 0.0
    self.ejections = 0
    self.failed_jobs: set[str] = set()
    self.speed = speeds.Speed(now)
    # Jobs with slowed runs here since a run last ended in time.
    self._slow_jobs: set[str] = set()
    # When the last runs in time began and ended (s).
    self._in_time: collections.deque[tuple[float, float]] = collections.deque(
        maxlen=RUNS_IN_TIME
    )
    # Start requests without an answer, and when they were sent (s).
    self._late_starts: collections.deque[LateStart] = collections.deque(
        maxlen=LATE_STARTS
    )
    self.silent_since: float | None = None
    self.suspected_since: float | None = None
    self.calls_unanswered = 0
    self.last_answer_at = now
    self.leaves_at: float | None = None
    self.cold_until = 0.0
    self.entry_recorded = False
    self.on_change: Callable[[], None] = lambda: None
    self._clock_ms: int | None = None
    self._clock_at = now
    self._free = info.capacity

  @property
  def runs_known(self) -> bool:
    """True once it has listed its runs."""
    return self._runs_known

  @runs_known.setter
  def runs_known(self, known: bool):
    self._runs_known = known
    self.on_change()

  @property
  def must_lapse(self) -> bool:
    """True while its lease may not be extended."""
    return self._must_lapse

  @must_lapse.setter
  def must_lapse(self, must_lapse: bool):
    if must_lapse != self._must_lapse:
      self._must_lapse = must_lapse
      self.on_change()

  @property
  def free(self) -> model.Resources:
    """The resources that no run takes up."""
    return self._free

  @property
  def speed_factor(self) -> float:
    """Time that work takes there against a mean endpoint; above 1 is slower."""
    return self.speed.factor

  @property
  def slowness(self) -> float:
    """The speed factor."""
    return self.speed.factor

  @property
  def slow(self) -> bool:
    """True if it is slow for a while, so that its runs are moved."""
    return self.speed.factor > SLOW_RATIO

  def slowed_jobs(self, run: Run) -> int:
    """Returns how many jobs had slowed runs since one was in time.

    Args:
      run: a slowed run, whose job is counted too.
    """
    return len(self._slow_jobs | {run.id.task.job_id})

  @property
  def ack_number(self) -> int:
    """The number up to which the endpoint may forget ended runs."""
    return (
        min(self.unsaved_ends) - 1
        if self.unsaved_ends
        else self.last_end_number
    )

  @property
  def has_unsent_ack(self) -> bool:
    """True if ended runs that were saved haven't been acknowledged yet."""
    told = self.last_heard_ack if self.born_ms else self.last_sent_ack
    return self.last_saved_end > told

  def next_ack(self) -> int:
    """Returns up to which number the next call allows it to forget ended runs.

    It is 0 where the number may be taken for one of another incarnation, whose
    ends would then be forgotten unseen: once the endpoint has heard the number,
    and after a call without an answer.
    """
    may_be_restarted = self.call_lost or self.restart_listed
    heard = self.ack_number <= self.last_heard_ack
    self.call_ack = 0
    if not (self.born_ms and (heard or may_be_restarted)):
      self.call_ack = self.last_sent_ack = self.ack_number
    return self.call_ack

  def record_heard_ack(self):
    """Records that the last lease call was answered."""
    self.last_heard_ack = max(self.last_heard_ack, self.call_ack)

  def record_saved_end(self, number: int):
    """Records that an ended run is in the store."""
    self.unsaved_ends.discard(number)
    self.last_saved_end = max(self.last_saved_end, number)

  def update(self, info: model.Endpoint):
    """Applies what the platform lists of the endpoint now."""
    self.info = info
    self.listed = True
    self._update_free()

  def record_late_start(self, run: Run):
    """Records that the start request of a run got no answer."""
    self._late_starts.append(LateStart(run.id, run.need, run.sent_at))

  def late_starts(self, now: float) -> list["LateStart"]:
    """Returns the start requests that may still be carried out late."""
    return [s for s in self._late_starts if now - s.sent_at < LATE_START_S]

  @property
  def restart_listed(self) -> bool:
    """True while a later incarnation is listed, which hasn't answered yet."""
    return self.info.born_ms > self.born_ms

  def begin_incarnation(self, born_ms: int, now: float):
    """Forgets all that only concerns the incarnation before.

    Its runs are kept: requests for them without an answer may be carried out by
    the new incarnation, and its lists show which of the others are gone.

    Args:
      born_ms: when the new incarnation started (Unix time, ms).
      now: the time (s).
    """
    self.born_ms = born_ms
    self.runs_known = False
    self.last_end_number = 0
    self.unsaved_ends.clear()
    self.last_sent_ack = 0
    self.call_ack = 0
    self.last_heard_ack = 0
    self.last_saved_end = 0
    self.lease_end_ms = 0
    self._clock_ms = None
    self.ejections = 0
    self.failed_jobs.clear()
    self.speed = speeds.Speed(now)
    self._slow_jobs.clear()
    self._in_time.clear()

  def usable(self, now: float) -> bool:
    """Returns whether the endpoint may get new tasks."""
    if self.slow and self._has_run_from_before(now):
      return False  # A few runs are enough to see whether it is still slow.
    return (
        self.runs_known
        and self.listed
        and not self.restart_listed
        and not self.must_lapse
        and not self.info.draining
        and self.excluded_until <= now
        and self.silent_since is None
        and self.suspected_since is None
    )

  def _has_run_from_before(self, now: float) -> bool:
    return any(run.started_at < now for run in self.runs.values())

  @property
  def may_have_capacity(self) -> bool:
    """True if it may have free capacity, but hasn't listed its runs yet."""
    return not self.runs_known and self.listed and not self.info.draining

  @property
  def awaits_stop_result(self) -> bool:
    """True while the next lease call is to show whether a run was stopped."""
    return any(
        run.state is RunState.STOPPING
        and run.listed_from_call > self.call_number
        for run in self.runs.values()
    )

  @property
  def has_free_slot(self) -> bool:
    """True if it has fewer runs than it may run at once."""
    return len(self.runs) < self.info.slots

  def fits(self, need: model.Resources) -> bool:
    """Returns whether the endpoint has a slot and the resources for `need`."""
    return self.has_free_slot and self._free.fits(need)

  def update_clock(self, clock_ms: int | None, now: float):
    """Records the endpoint's clock from an answer, and marks it as not silent.

    Args:
      clock_ms: the endpoint's clock; None if there was no answer.
      now: the time (s).
    """
    if clock_ms is None:
      return
    self._clock_ms = clock_ms
    self._clock_at = now
    self.last_answer_at = now
    if self.silent_since is not None or self.suspected_since is not None:
      self.on_change()
    self.silent_since = None
    self.suspected_since = None
    self.calls_unanswered = 0

  def clock_ms(self, now: float) -> int | None:
    """Returns the endpoint's clock, estimated from below; None if unknown."""
    if self._clock_ms is None:
      return None
    elapsed_ms = (now - self._clock_at) * 1000
    return self._clock_ms + int(elapsed_ms * MIN_CLOCK_RATE)

  def latest_clock_ms(self, now: float) -> int | None:
    """Returns the endpoint's clock, estimated from above; None if unknown."""
    if self._clock_ms is None:
      return None
    elapsed_ms = (now - self._clock_at) * 1000
    return self._clock_ms + math.ceil(elapsed_ms * (2 - MIN_CLOCK_RATE))

  def clock_gain_ms(self, clock_ms: int | None, now: float) -> float:
    """Returns by how much an answer's clock exceeds any that is possible."""
    if clock_ms is None or self._clock_ms is None:
      return 0.0
    elapsed_ms = (now - self._clock_at) * 1000
    return clock_ms - self._clock_ms - elapsed_ms * (2 - MIN_CLOCK_RATE)

  def is_idle(self, now: float) -> bool:
    """Returns whether it is to be called because its last answer is old."""
    return now - self.last_answer_at > IDLE_CALL_PERIOD_S

  def leases_expired(self, now: float) -> bool:
    """Returns whether the endpoint's lease has surely expired."""
    clock = self.clock_ms(now)
    return (
        clock is not None and clock > self.lease_end_ms + LEASE_EXPIRY_MARGIN_MS
    )

  def cover_earlier_leases(self, clock_ms: int):
    """Takes into account that earlier holders may have extended the lease.

    Args:
      clock_ms: the endpoint's clock when it answered this holder's first call;
        it has refused the calls of earlier holders since.
    """
    self.lease_end_ms = max(self.lease_end_ms, clock_ms + MAX_LEASE_MS)

  def extend_lease(self, now: float) -> int | None:
    """Extends the lease by its full length from now.

    Returns:
      The end of the lease on the endpoint's clock, to be requested from the
      endpoint; None if the clock is unknown.
    """
    clock = self.clock_ms(now)
    if clock is None:
      return None
    end = clock + LEASE_MS
    self.lease_end_ms = max(self.lease_end_ms, end)
    return end

  def add(self, run: Run):
    """Adds a run whose start was requested, or that was found there."""
    self.runs[run.id] = run
    self._update_free()

  def adopt(self, run: Run, need: model.Resources, estimate_ms: int):
    """Sets the need and estimate of a run that was found there."""
    run.need = need
    run.estimate_ms = estimate_ms
    run.adopted = True
    self._update_free()

  def remove(self, run_id: model.RunId) -> Run | None:
    """Removes a run and frees its resources; returns it if it was there."""
    run = self.runs.pop(run_id, None)
    if run is not None:
      self._update_free()
    return run

  def _update_free(self):
    free = self.info.capacity
    for run in self.runs.values():
      # A run of unknown size may take up the whole endpoint.
      free = free.minus(run.need or self.info.capacity)
    self._free = free
    self.on_change()

  def mark_silent(self, now: float):
    """Marks the endpoint as silent."""
    self.suspected_since = None
    if self.silent_since is None:
      self.silent_since = now

  def back_off(self, now: float):
    """Excludes the endpoint from new tasks for the backoff time."""
    self.exclude_until(now + BACK_OFF_S)

  def exclude_until(self, until: float):
    """Excludes the endpoint from new tasks until a time (s)."""
    self.excluded_until = max(self.excluded_until, until)

  def delay_next_call(self, now: float):
    """Delays the next lease call after a failed one.

    The delay grows exponentially while the endpoint has never answered.
    """
    pause_s = CALL_RETRY_S
    if not self.runs_known:
      pause_s = min(
          FIRST_CALL_MAX_BACKOFF_S, pause_s * 2**self._failed_first_calls
      )
      self._failed_first_calls += 1
    self.next_call_at = now + pause_s

  def can_be_forgotten(self, now: float) -> bool:
    """Returns whether it is unlisted and has been silent for too long."""
    return (
        not self.listed
        and self.silent_since is not None
        and now - self.silent_since > FORGET_S
    )

  def record_failed_run(self, job_id: str, now: float) -> bool:
    """Records a failed run; returns whether that ejects the endpoint."""
    self.failed_jobs.add(job_id)
    if len(self.failed_jobs) < FAILED_JOBS_TO_EJECT:
      return False
    self.eject(now)
    # One more failed job after the ejection ejects it again.
    self.failed_jobs.pop()
    return True

  def eject(self, now: float):
    """Excludes the endpoint from new tasks, for longer with each ejection."""
    pause_s = min(EJECT_MAX_S, EJECT_MIN_S * 2**self.ejections)
    self.excluded_until = max(self.excluded_until, now + pause_s)
    self.ejections += 1

  def record_done_run(self):
    """Records a successful run: the endpoint isn't failing."""
    self.failed_jobs.clear()
    self.ejections = 0

  def record_run_in_time(self, run: Run, now: float):
    """Records a run that took no longer than expected."""
    self._slow_jobs.clear()
    self._in_time.append((run.started_at, now))

  def share_in_time(self, run: Run, now: float) -> float:
    """Returns for which part of a run's time others there were in time."""
    spans = list(self._in_time)
    spans += [
        (other.started_at, other.in_time_until)
        for other in self.runs.values()
        if other is not run
    ]
    covered_s = sum(
        max(0.0, end - max(start, run.started_at)) for start, end in spans
    )
    return covered_s / max(PROGRESS_MIN_S, now - run.started_at)

  def suspect(self, run: Run):
    """Counts the endpoint as somewhat slower at the first slowed run."""
    if not self._slow_jobs:
      self.speed.suspect()
      self.on_change()
    self._slow_jobs.add(run.id.task.job_id)

  def record_slow_run(self, run: Run, times: float) -> bool:
    """Records a run that its endpoint has probably slowed.

    Args:
      run: the run.
      times: how many times its expected time it takes.

    Returns:
      Whether the endpoint counts as slow from now on, and didn't before.
    """
    self._slow_jobs.add(run.id.task.job_id)
    if len(self._slow_jobs) < SLOW_JOBS or self.speed_factor > times:
      return False
    newly_slow = not self.slow
    self.speed.set_faulty(times)
    self.on_change()
    return newly_slow

  def snapshot(self, now: float) -> dict:
    """Returns a JSON-ready dump."""
    return {
        "listed": self.listed,
        "known": self.runs_known,
        "draining": self.info.draining,
        "leaves_in_s": round(self.leaves_at - now, 3)
        if self.leaves_at is not None
        else None,
        "cold_s": round(max(0.0, self.cold_until - now), 3),
        "runs": {
            state.value: sum(r.state is state for r in self.runs.values())
            for state in RunState
        },
        "free_cpu": self._free.cpu,
        "slowness": round(self.speed_factor, 2),
        "speed_evidence": round(self.speed.evidence, 1),
        "out_for_s": round(max(0.0, self.excluded_until - now), 3),
        "silent_s": round(now - self.silent_since, 3)
        if self.silent_since is not None
        else 0,
    }
