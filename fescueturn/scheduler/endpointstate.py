"""An owner's state of each endpoint: its runs, free capacity, lease and health.

A run takes up capacity from its start request on until it surely doesn't run
and never will. A start request whose answer is lost may be carried out seconds
later, and endpoints don't enforce their capacity themselves.
"""

from collections.abc import Callable

from fescueturn.scheduler import endpointends
from fescueturn.scheduler import endpointhealth
from fescueturn.scheduler import endpointlease
from fescueturn.scheduler import endpointruns
from fescueturn.scheduler import model
from fescueturn.scheduler.decisions import speeds

# The longest time without a call to an endpoint. The estimate of its clock is
# then 200 ms behind, and a lease that is requested by it 600 ms long.
IDLE_CALL_PERIOD_S = 10.0
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
# An endpoint that answered within this time is presumed to be up. After a pause
# of this process, no task is started until answers from before are older.
ANSWERED_RECENTLY_S = 0.05
# An unlisted endpoint that has been silent for this long is forgotten with all
# its runs. A lost start request is carried out at most 12 s late.
FORGET_S = 15.0


class EndpointRecord:
  """One endpoint as its owner sees it.

  Attributes:
    info: the endpoint as the platform lists it.
    born_ms: when the incarnation started whose runs are recorded here (Unix
      time, ms); 0 if it isn't known.
    listed: True while the platform lists it.
    runs: its runs, of which some may not have started.
    ended: its ended runs, and which of them it may forget.
    call_number: the number of the last lease call.
    call_pending: True while that call has no answer.
    call_sent_at: when it was sent (s).
    call_is_long_poll: True if it may wait for a run to end.
    call_extends: True if it extends the lease.
    confirming_call: number of the first lease call that was sent after a request
      had failed; 0 once such a call was answered.
    lease: its lease, and the estimate of its clock.
    must_lapse: True while one of its runs must end, even if its stop is lost,
      so that its lease may not be extended.
    awaits_lapse: True while it gets no new tasks, so that its lease expires once
      its runs have ended.
    next_call_at: when a failed lease call may be retried (s).
    exclusion: until when it gets no new tasks, and why.
    speed: how fast work is done there.
    slow_evidence: what its runs tell of whether it is slow.
    unanswered_starts: its start requests that got no answer.
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
    self.runs: dict[model.RunId, endpointruns.Run] = {}
    self.ended = endpointends.EndedRuns()
    self.call_number = 0
    self.call_pending = False
    self.call_sent_at = now
    self.call_is_long_poll = False
    self.call_extends = False
    self.confirming_call = 0
    self.lease = endpointlease.Lease()
    self._must_lapse = False
    self._awaits_lapse = False
    self.next_call_at = now
    # Failed lease calls before the first one that was answered.
    self._failed_first_calls = 0
    self.exclusion = endpointhealth.Exclusion()
    self.speed = speeds.Speed(now)
    self.slow_evidence = endpointhealth.SlowEvidence()
    self.unanswered_starts = endpointruns.LateStarts()
    self.silent_since: float | None = None
    self.suspected_since: float | None = None
    self.calls_unanswered = 0
    self.last_answer_at = now
    self.leaves_at: float | None = None
    self.cold_until = 0.0
    self.entry_recorded = False
    self.on_change: Callable[[], None] = lambda: None
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
  def awaits_lapse(self) -> bool:
    """True while it gets no new tasks, so that its lease expires."""
    return self._awaits_lapse

  @awaits_lapse.setter
  def awaits_lapse(self, awaits_lapse: bool):
    if awaits_lapse != self._awaits_lapse:
      self._awaits_lapse = awaits_lapse
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
  def slow(self) -> bool:
    """True if it is slow for a while, so that its runs are moved."""
    return self.speed.factor > endpointruns.SLOW_RATIO

  @property
  def has_unsent_ack(self) -> bool:
    """True if ended runs that were saved haven't been acknowledged yet."""
    return self.ended.has_unsent_ack(bool(self.born_ms))

  def next_ack(self) -> int:
    """Returns up to which number the next call lets it forget ended runs."""
    may_be_restarted = bool(self.confirming_call) or self.restart_listed
    return self.ended.next_ack(bool(self.born_ms), may_be_restarted)

  def record_failed_request(self):
    """Records that a request failed, as those to a restarted endpoint do.

    Whether it was restarted shows in the answer to a lease call sent after that.
    """
    self.confirming_call = self.call_number + 1

  def record_answered_call(self):
    """Records that the last lease call was answered."""
    if self.call_number >= self.confirming_call:
      self.confirming_call = 0

  def update(self, info: model.Endpoint):
    """Applies what the platform lists of the endpoint now."""
    self.info = info
    self.listed = True
    self._update_free()

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
    self.awaits_lapse = False
    self.ended = endpointends.EndedRuns()
    self.lease = endpointlease.Lease()
    self.exclusion.clear_failures()
    self.speed = speeds.Speed(now)
    self.slow_evidence = endpointhealth.SlowEvidence()

  def has_lapsed(self, run: endpointruns.Run, now: float) -> bool:
    """Returns whether a run of the endpoint has surely ended with its lease."""
    since_sent_s = now - run.sent_at
    may_be_elsewhere = bool(self.born_ms) and not run.is_confirmed
    if may_be_elsewhere and since_sent_s <= endpointlease.OTHER_INCARNATION_S:
      return False
    return self.lease.expired(now)

  def usable(self, now: float) -> bool:
    """Returns whether the endpoint may get new tasks."""
    if self.slow and self._has_run_from_before(now):
      return False  # A few runs are enough to see whether it is still slow.
    return (
        self.runs_known
        and self.listed
        and not self.restart_listed
        and not self.must_lapse
        and not self.awaits_lapse
        and not self.info.draining
        and self.exclusion.until <= now
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
        run.state is endpointruns.RunState.STOPPING
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
    self.lease.record_clock(clock_ms, now)
    self.last_answer_at = now
    if self.silent_since is not None or self.suspected_since is not None:
      self.on_change()
    self.silent_since = None
    self.suspected_since = None
    self.calls_unanswered = 0

  def answered_recently(self, now: float) -> bool:
    """Returns whether the endpoint answered so recently that it must be up."""
    return self.runs_known and now - self.last_answer_at <= ANSWERED_RECENTLY_S

  def is_idle(self, now: float) -> bool:
    """Returns whether it is to be called because its last answer is old."""
    return now - self.last_answer_at > IDLE_CALL_PERIOD_S

  def add(self, run: endpointruns.Run):
    """Adds a run whose start was requested, or that was found there."""
    run.endpoint = self.info.id
    self.runs[run.id] = run
    self._update_free()

  def adopt(
      self, run: endpointruns.Run, need: model.Resources, estimate_ms: int
  ):
    """Sets the need and estimate of a run that was found there."""
    run.need = need
    run.estimate_ms = estimate_ms
    run.adopted = True
    self._update_free()

  def remove(self, run_id: model.RunId) -> endpointruns.Run | None:
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

  def suspect(self, run: endpointruns.Run):
    """Counts the endpoint as somewhat slower at the first slowed run."""
    if not self.slow_evidence.jobs:
      self.speed.suspect()
      self.on_change()
    self.slow_evidence.add(run)

  def record_slow_run(self, run: endpointruns.Run, times: float) -> bool:
    """Records a run that its endpoint has probably slowed.

    Args:
      run: the run.
      times: how many times its expected time it takes.

    Returns:
      Whether the endpoint counts as slow from now on, and didn't before.
    """
    self.slow_evidence.add(run)
    enough_jobs = len(self.slow_evidence.jobs) >= endpointhealth.SLOW_JOBS
    if not enough_jobs or self.speed_factor > times:
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
            for state in endpointruns.RunState
        },
        "free_cpu": self._free.cpu,
        "slowness": round(self.speed_factor, 2),
        "speed_evidence": round(self.speed.evidence, 1),
        "out_for_s": round(max(0.0, self.exclusion.until - now), 3),
        "silent_s": round(now - self.silent_since, 3)
        if self.silent_since is not None
        else 0,
    }
