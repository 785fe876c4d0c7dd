"""An emulated endpoint, which runs tasks for as long as its lease is valid.

It doesn't refuse runs that break the scheduler's invariants, but records each
violation in `broken`: runs that exceed its capacity, two active runs of one
task in the fleet, or a run of a kept job's task that is started after the task
was done. An end counts if it is acknowledged, then or later, before the
endpoint's lease has expired.
"""

import bisect
import dataclasses
import math
from collections.abc import Callable

from fescueturn.emulator import clock as clock_lib
from fescueturn.scheduler import events
from fescueturn.scheduler import model

MAX_LEASE_MS = 1000
STOP_DELAY_S = 0.03
# Time (s) for which runs may still use an earlier, larger capacity: until then
# holders must have learnt of the reduction and respect it.
RESIZE_GRACE_S = 4.5


@dataclasses.dataclass
class _Run:
  """An active run.

  Attributes:
    id: the task and attempt.
    need: the resources that it uses.
    started_at: the virtual time (s) at which it was started.
    ends_at: the virtual time (s) at which it ends by itself.
    how: its outcome if it ends by itself.
    stopping: True once a stop order was accepted.
  """

  id: model.RunId
  need: model.Resources
  started_at: float
  ends_at: float
  how: model.RunOutcome
  stopping: bool = False


@dataclasses.dataclass
class TaskProfile:
  """A task's actual behaviour, which may differ from its caller's estimates.

  Attributes:
    need: the resources it uses.
    run_s: its run time (s) on an endpoint without a slowdown.
    fails: True if it fails on every endpoint.
    no_rerun: True if it must not be started again after a holder has
      acknowledged that it is done.
    crash_after_s: time (s) from its start until it crashes its endpoint, or
      None if it doesn't crash it; 0 crashes it before it answers.
    attempts: after this many failed runs that a holder has acknowledged it must
      not be started again; None for any number.
    started_at: when a run of it was last started (s).
    failed_at: when its failed runs ended that a holder has acknowledged (s), in
      ascending order.
  """

  need: model.Resources
  run_s: float
  fails: bool = False
  no_rerun: bool = False
  crash_after_s: float | None = None
  attempts: int | None = None
  started_at: float = -math.inf
  failed_at: list[float] = dataclasses.field(default_factory=list)

  @property
  def exhausted_at(self) -> float:
    """When its last attempt failed (s); infinity if it has attempts left."""
    if self.attempts is None or len(self.failed_at) < self.attempts:
      return math.inf
    return self.failed_at[self.attempts - 1]


@dataclasses.dataclass(frozen=True)
class _UnheardEnd:
  """An end that no holder has acknowledged yet.

  Attributes:
    ended: the end.
    at: the virtual time (s) of the end.
    expiries: how often the lease had expired until then.
  """

  ended: model.EndedRun
  at: float
  expiries: int


class EmulatedEndpoint:
  """One endpoint; tests inject faults by setting its public attributes.

  Attributes:
    info: the endpoint as the store's endpoint list shows it.
    unreachable: True if calls to it are neither executed nor answered.
    refusing: True if nothing listens at its address, so that calls can't be
      sent.
    slowdown: the factor by which its runs take longer.
    failing: True if every run that it starts fails.
    hanging: True if its runs make no progress.
    busy: True if it rejects every start order.
    loss_rate: share of the calls that get no answer; start and stop orders
      among them are executed seconds later.
    packet_loss_rate: share of the packets on its paths that are lost; TCP sends
      them again, so that calls are late and connections may not be opened.
    order_delay_s: delay (s) after which start and stop orders are executed;
      they get no answer. 0 executes them at once.
    clock_rate: how fast its own clock runs, in seconds per second.
    closes_connections: True if hosts see that its connections end with it.
    superseded: True if a new incarnation of the endpoint has its address.
    on_crash: called after a task has crashed the endpoint.
    on_start: called with each run that is started.
    starts: the runs that were started, in order.
    stops: the number of stop orders that were accepted.
  """

  def __init__(
      self,
      info: model.Endpoint,
      clock: clock_lib.VirtualClock,
      profile_of: Callable[[model.Task], TaskProfile],
      broken: list[str],
      running_on: dict[model.Task, set[str]],
      acknowledged_done: set[model.Task],
      clock_offset_ms: int = 500_000,
  ):
    """Creates a reachable endpoint without faults.

    Args:
      info: the endpoint as the store's endpoint list shows it.
      clock: the virtual clock.
      profile_of: returns a task's actual behaviour.
      broken: the list to which violations of invariants are added.
      running_on: by task, the endpoints on which a run of it is active; all
        endpoints of a fleet share it.
      acknowledged_done: tasks that a holder has acknowledged as done; all
        endpoints of a fleet share it.
      clock_offset_ms: the time (ms) by which the endpoint's own clock is ahead
        of the virtual one.
    """
    self.info = info
    self.unreachable = False
    self.refusing = False
    self.slowdown = 1.0
    self.failing = False
    self.hanging = False
    self.busy = False
    self.loss_rate = 0.0
    self.packet_loss_rate = 0.0
    self.order_delay_s = 0.0
    self.clock_rate = 1.0
    self.closes_connections = False
    self.superseded = False
    self.on_crash: Callable[[EmulatedEndpoint], None] = lambda endpoint: None
    self.on_start: Callable[[model.RunId], None] = lambda run: None
    self.starts: list[model.RunId] = []
    self.stops = 0
    self._clock = clock
    self._profile_of = profile_of
    self._broken = broken
    self._running_on = running_on
    self._acknowledged_done = acknowledged_done
    self._offset_ms = clock_offset_ms
    # Earlier capacities, each with the time until which it may still be used.
    self._previous_capacities: list[tuple[float, model.Resources]] = []
    self._fence = 0
    self._lease_end_ms = 0
    self._runs: dict[model.RunId, _Run] = {}
    self._unheard: list[_UnheardEnd] = []
    # How often the lease has expired, and the end of the last one that did (ms).
    self._expiries = 0
    self._expired_ms = 0
    self._ended_count = 0
    # The highest number of an ended run that an answer has listed.
    self._listed_count = 0
    # By task, the highest attempt that was ended or stopped; neither it nor an
    # earlier one may start any more.
    self._revoked: dict[model.Task, int] = {}
    self._pending_replies: list[Callable[[], None]] = []

  @property
  def clock_ms(self) -> int:
    """The endpoint's own monotonic clock (ms)."""
    return int(self._clock.now * 1000 * self.clock_rate) + self._offset_ms

  @property
  def running(self) -> list[model.RunId]:
    """The active runs."""
    return list(self._runs)

  def room_for(self, need: model.Resources) -> int:
    """Returns how many more tasks of `need` the endpoint could run now."""
    free = self.info.capacity
    for run in self._runs.values():
      free = free.minus(run.need)
    return max(0, min(free.count(need), self.info.slots - len(self._runs)))

  def start(self, order: events.StartRun) -> model.CallResult:
    """Executes an order to start a run."""
    run_id = order.run
    if self.superseded:
      return model.CallResult.GONE
    if self.busy:
      return model.CallResult.BUSY
    if order.fence < self._fence:
      return model.CallResult.FENCED
    self._fence = order.fence
    if order.deadline_ms <= self.clock_ms:
      return model.CallResult.LATE
    self._extend_lease(order.deadline_ms)
    if run_id in self._runs:
      return model.CallResult.OK
    if run_id.attempt <= self._revoked.get(run_id.task, 0):
      return model.CallResult.OLD_ATTEMPT
    self._start_run(run_id)
    return model.CallResult.OK

  def _start_run(self, run_id: model.RunId):
    profile = self._profile_of(run_id.task)
    now = self._clock.now
    how = model.RunOutcome.DONE
    if self.failing or profile.fails:
      how = model.RunOutcome.FAILED
    ends_at = now + (1e9 if self.hanging else profile.run_s * self.slowdown)
    self._runs[run_id] = _Run(run_id, profile.need, now, ends_at, how)
    self.starts.append(run_id)
    self.on_start(run_id)
    self._check_invariants(run_id)
    self._clock.at(ends_at, lambda: self._finish_run(run_id, how))
    if profile.crash_after_s == 0:
      self._crash_during(run_id)
    elif profile.crash_after_s is not None:
      self._clock.after(
          profile.crash_after_s, lambda: self._crash_during(run_id)
      )

  def _crash_during(self, run_id: model.RunId):
    if run_id in self._runs and not self.unreachable:
      self.crash()
      self.on_crash(self)

  def resize(self, capacity: model.Resources):
    """Changes the capacity that the endpoint advertises."""
    previous = (self._clock.now + RESIZE_GRACE_S, self.info.capacity)
    self._previous_capacities.append(previous)
    self.info = dataclasses.replace(self.info, capacity=capacity)

  def _max_usable_capacity(self) -> model.Resources:
    """Returns the largest capacity that may be in use now."""
    now = self._clock.now
    usable = [
        resources
        for until, resources in self._previous_capacities
        if until > now
    ]
    usable.append(self.info.capacity)
    return max(usable, key=lambda resources: resources.cpu)

  def _check_invariants(self, run_id: model.RunId):
    free = self._max_usable_capacity()
    for run in self._runs.values():
      free = free.minus(run.need)
    if min(free.cpu, free.mem_mb, free.gpu) < 0:
      self._broken.append(f"{self._clock.now:.3f} {self.info.id} over capacity")
    others = self._running_on.setdefault(run_id.task, set())
    if others:
      self._broken.append(
          f"{self._clock.now:.3f} {run_id} on {self.info.id}, active on {others}"
      )
    others.add(self.info.id)
    if (
        run_id.task in self._acknowledged_done
        and self._profile_of(run_id.task).no_rerun
    ):
      self._broken.append(
          f"{self._clock.now:.3f} {run_id} started after its task was done"
      )
    profile = self._profile_of(run_id.task)
    profile.started_at = self._clock.now
    self._check_attempts(run_id, profile)

  def _check_attempts(self, run_id: model.RunId, profile: TaskProfile):
    if profile.started_at > profile.exhausted_at:
      self._broken.append(
          f"{self._clock.now:.3f} {self.info.id} {run_id}: the task was started"
          f" at {profile.started_at:.3f}, after its last attempt had failed"
      )

  def _finish_run(self, run_id: model.RunId, how: model.RunOutcome):
    run = self._runs.get(run_id)
    if run is None or (how is not model.RunOutcome.LOST and run.stopping):
      return
    self._expire_lease()
    if run_id in self._runs:
      self._end_run(run_id, how)

  def _end_run(self, run_id: model.RunId, how: model.RunOutcome):
    del self._runs[run_id]
    self._running_on[run_id.task].discard(self.info.id)
    self._revoke_attempt(run_id)
    self._ended_count += 1
    ended = model.EndedRun(self._ended_count, run_id, how)
    self._unheard.append(_UnheardEnd(ended, self._clock.now, self._expiries))
    pending, self._pending_replies = self._pending_replies, []
    for reply in pending:
      reply()

  def _revoke_attempt(self, run_id: model.RunId):
    revoked = self._revoked.get(run_id.task, 0)
    self._revoked[run_id.task] = max(revoked, run_id.attempt)

  def _extend_lease(self, deadline_ms: int):
    latest = self.clock_ms + MAX_LEASE_MS
    self._lease_end_ms = max(self._lease_end_ms, min(deadline_ms, latest))
    end_s = (self._lease_end_ms - self._offset_ms) / 1000 / self.clock_rate
    # The lease is still valid in its last millisecond, so it is checked 1 ms
    # later; 0.5 ms are added because `clock_ms` is rounded down.
    self._clock.at(end_s + 0.0015, self._expire_lease)

  def _expire_lease(self):
    if self.clock_ms <= self._lease_end_ms:
      return
    if self._expired_ms != self._lease_end_ms:
      self._expired_ms = self._lease_end_ms
      self._expiries += 1
    for run_id in list(self._runs):
      self._end_run(run_id, model.RunOutcome.LOST)

  def crash(self):
    """Drops all runs without reporting them and becomes unreachable."""
    for run_id in list(self._runs):
      del self._runs[run_id]
      self._running_on[run_id.task].discard(self.info.id)
    self.unreachable = True

  def restart(self, born_ms: int, clock_offset_ms: int = 0):
    """Starts another incarnation under the same id, without any state.

    Args:
      born_ms: when it starts (Unix time, ms).
      clock_offset_ms: the time (ms) by which its clock is ahead of the virtual
        one.
    """
    self.crash()
    self.unreachable = self.refusing = False
    self.info = dataclasses.replace(self.info, born_ms=born_ms)
    self._offset_ms = clock_offset_ms
    self._fence = 0
    self._lease_end_ms = self._expired_ms = 0
    self._unheard = []
    self._ended_count = 0
    self._listed_count = 0
    self._revoked = {}
    self._pending_replies = []

  def stop(self, order: events.StopRun) -> model.CallResult:
    """Executes an order to stop a run."""
    if self.superseded:
      return model.CallResult.GONE
    if order.fence < self._fence:
      return model.CallResult.FENCED
    self._fence = order.fence
    self.stops += 1
    self._revoke_attempt(order.run)
    run = self._runs.get(order.run)
    if run is not None and not run.stopping:
      run.stopping = True
      self._clock.after(
          STOP_DELAY_S,
          lambda: self._finish_run(order.run, model.RunOutcome.LOST),
      )
    return model.CallResult.OK

  def renew(
      self,
      call: events.RenewLease,
      answer: Callable[[events.LeaseAnswered], None],
  ):
    """Renews the lease and answers the call.

    Args:
      call: the lease call.
      answer: called with the answer: at once if runs have ended or the call
        doesn't wait, else when a run ends or `call.wait_ms` have passed.
    """
    if self.superseded:
      answer(self._lease_answer(call, model.CallResult.GONE))
      return
    if call.fence < self._fence:
      answer(self._lease_answer(call, model.CallResult.FENCED))
      return
    self._fence = call.fence
    self._expire_lease()
    if call.deadline_ms is not None:
      self._extend_lease(call.deadline_ms)
    self._acknowledge_results(call.last_seen)
    if self._unheard or not call.wait_ms:
      answer(self._lease_answer(call, model.CallResult.OK))
      return
    answered = []

    def answer_once():
      if not answered:
        answered.append(True)
        answer(self._lease_answer(call, model.CallResult.OK))

    self._pending_replies.append(answer_once)
    self._clock.after(call.wait_ms / 1000, answer_once)

  def _acknowledge_results(self, last_seen: int):
    for unheard in self._unheard:
      ended = unheard.ended
      if ended.number <= last_seen and ended.how is model.RunOutcome.DONE:
        self._acknowledged_done.add(ended.run.task)
        self._check_acknowledged(unheard)
      if ended.number <= last_seen and ended.how is model.RunOutcome.FAILED:
        self._acknowledge_failure(unheard)
      if self._listed_count < ended.number <= last_seen:
        self._broken.append(
            f"{self._clock.now:.3f} {self.info.id} forgets the end of"
            f" {ended.run}, which it has never listed"
        )
    self._unheard = [u for u in self._unheard if u.ended.number > last_seen]

  def _acknowledge_failure(self, unheard: _UnheardEnd):
    if unheard.expiries != self._expiries:
      return
    run_id = unheard.ended.run
    profile = self._profile_of(run_id.task)
    bisect.insort(profile.failed_at, unheard.at)
    self._check_attempts(run_id, profile)

  def _check_acknowledged(self, unheard: _UnheardEnd):
    """Checks that no run was started between an end and now."""
    run_id = unheard.ended.run
    profile = self._profile_of(run_id.task)
    counts = profile.no_rerun and unheard.expiries == self._expiries
    if counts and profile.started_at > unheard.at:
      self._broken.append(
          f"{self._clock.now:.3f} {self.info.id} forgets the end of {run_id},"
          f" whose task was started after it at {profile.started_at:.3f}"
      )

  def _lease_answer(self, call, result) -> events.LeaseAnswered:
    now = self._clock.now
    if result is model.CallResult.OK:
      self._listed_count = self._ended_count
    running = tuple(
        model.ActiveRun(
            run.id,
            min(
                99,
                int(
                    100
                    * (now - run.started_at)
                    / (run.ends_at - run.started_at)
                ),
            ),
        )
        for run in self._runs.values()
    )
    return events.LeaseAnswered(
        self.info.id,
        call.number,
        result,
        self.clock_ms,
        running,
        tuple(unheard.ended for unheard in self._unheard),
        call.fence,
        self.info.born_ms,
    )
