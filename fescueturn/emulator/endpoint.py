"""An emulated endpoint: runs tasks under one lease, and doesn't guard itself.

It notes what must never happen (`broken`): more runs than its capacity, or
two runs of a task alive in the fleet.
"""

import dataclasses
from collections.abc import Callable

from fescueturn.emulator import clock as clock_lib
from fescueturn.scheduler import events
from fescueturn.scheduler import model

MAX_LEASE_MS = 1000
STOP_DELAY_S = 0.03
# Holders must heed a smaller capacity so long after it was told.
RESIZE_GRACE_S = 4.5


@dataclasses.dataclass
class _Run:
  """A run at work."""

  id: model.RunId
  need: model.Resources
  began: float
  ends: float
  how: model.RunOutcome
  stopping: bool = False


@dataclasses.dataclass
class TaskProfile:
  """What a task really takes, as opposed to what its caller guessed.

  Attributes:
    need: the room it takes.
    run_s: how long it runs on a usual endpoint.
    fails: True if it fails wherever it runs.
    once: True if it must not start again once it was noted as done.
    crash_after_s: how long after its start it crashes its endpoint; None: never.
  """

  need: model.Resources
  run_s: float
  fails: bool = False
  no_rerun: bool = False
  crash_after_s: float | None = None


class EmulatedEndpoint:
  """One endpoint; faults are set on its public attributes.

  Attributes:
    dark: it is cut off: calls to it are neither answered nor carried out.
    slow: how many times as long its runs take.
    failing: every run that it starts fails.
    hanging: its runs make no progress.
    busy: it refuses every order.
    loses: share of the calls that get no answer; orders are carried out late.
    late_s: orders are carried out this much later and never answered.
    reborn: another life answers at its address.
    on_crash: called when a task has crashed it.
  """

  def __init__(
      self,
      info: model.Endpoint,
      clock: clock_lib.VirtualClock,
      work: Callable[[model.Task], TaskProfile],
      broken: list[str],
      running_on: dict[model.Task, set[str]],
      acknowledged_done: set[model.Task],
      clock_offset_ms: int = 500_000,
  ):
    self.info = info
    self.dark = False
    self.slowdown = 1.0
    self.failing = False
    self.hanging = False
    self.busy = False
    self.loss_rate = 0.0
    self.late_s = 0.0
    self.superseded = False
    self.on_crash: Callable[[EmulatedEndpoint], None] = lambda endpoint: None
    self.starts: list[model.RunId] = []
    self.stops = 0
    self._clock = clock
    self._work = work
    self._broken = broken
    self._alive = running_on
    # Tasks whose end as done was noted by a holder.
    self._noted = acknowledged_done
    self._offset_ms = clock_offset_ms
    # Capacities told before, and until when they may be used.
    self._capacities: list[tuple[float, model.Resources]] = []
    self._fence = 0
    self._lease_end_ms = 0
    self._runs: dict[model.RunId, _Run] = {}
    self._ended: list[model.EndedRun] = []
    self._ended_count = 0
    self._barred: dict[model.Task, int] = {}
    self._waiting: list[Callable[[], None]] = []

  @property
  def clock_ms(self) -> int:
    """The endpoint's own steady clock."""
    return int(self._clock.now * 1000) + self._offset_ms

  @property
  def running(self) -> list[model.RunId]:
    """The runs at work there."""
    return list(self._runs)

  def start(self, order: events.StartRun) -> model.CallResult:
    """Carries out an order to start a run."""
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
    self._extend(order.deadline_ms)
    if run_id in self._runs:
      return model.CallResult.OK
    if run_id.attempt <= self._barred.get(run_id.task, 0):
      return model.CallResult.OLD_ATTEMPT
    self._begin(run_id)
    return model.CallResult.OK

  def _begin(self, run_id: model.RunId):
    work = self._work(run_id.task)
    now = self._clock.now
    how = model.RunOutcome.DONE
    if self.failing or work.fails:
      how = model.RunOutcome.FAILED
    ends = now + (1e9 if self.hanging else work.run_s * self.slowdown)
    self._runs[run_id] = _Run(run_id, work.need, now, ends, how)
    self.starts.append(run_id)
    self._check(run_id)
    self._clock.at(ends, lambda: self._finish(run_id, how))
    if work.crash_after_s is not None:
      self._clock.after(work.crash_after_s, lambda: self._crash_under(run_id))

  def _crash_under(self, run_id: model.RunId):
    if run_id in self._runs and not self.dark:
      self.crash()
      self.on_crash(self)

  def resize(self, capacity: model.Resources):
    """Has the endpoint say another capacity from now on."""
    before = (self._clock.now + RESIZE_GRACE_S, self.info.capacity)
    self._capacities.append(before)
    self.info = dataclasses.replace(self.info, capacity=capacity)

  def _allowed(self) -> model.Resources:
    """Returns the most that may be at work there now."""
    now = self._clock.now
    told = [room for until, room in self._capacities if until > now]
    told.append(self.info.capacity)
    return max(told, key=lambda room: room.cpu)

  def _check(self, run_id: model.RunId):
    free = self._allowed()
    for run in self._runs.values():
      free = free.minus(run.need)
    if min(free.cpu, free.mem_mb, free.gpu) < 0:
      self._broken.append(f"{self._clock.now:.3f} {self.info.id} overfull")
    others = self._alive.setdefault(run_id.task, set())
    if others:
      self._broken.append(
          f"{self._clock.now:.3f} {run_id} on {self.info.id} beside {others}"
      )
    others.add(self.info.id)
    if run_id.task in self._noted and self._work(run_id.task).no_rerun:
      self._broken.append(f"{self._clock.now:.3f} {run_id} was done before")

  def _finish(self, run_id: model.RunId, how: model.RunOutcome):
    run = self._runs.get(run_id)
    if run is None or (how is not model.RunOutcome.LOST and run.stopping):
      return
    self._expire()
    if run_id in self._runs:
      self._end(run_id, how)

  def _end(self, run_id: model.RunId, how: model.RunOutcome):
    del self._runs[run_id]
    self._alive[run_id.task].discard(self.info.id)
    self._bar(run_id)
    self._ended_count += 1
    self._ended.append(model.EndedRun(self._ended_count, run_id, how))
    waiting, self._waiting = self._waiting, []
    for answer in waiting:
      answer()

  def _bar(self, run_id: model.RunId):
    before = self._barred.get(run_id.task, 0)
    self._barred[run_id.task] = max(before, run_id.attempt)

  def _extend(self, deadline_ms: int):
    longest = self.clock_ms + MAX_LEASE_MS
    self._lease_end_ms = max(self._lease_end_ms, min(deadline_ms, longest))
    end_s = (self._lease_end_ms - self._offset_ms) / 1000
    # Half a millisecond more, as the clock's milliseconds are rounded down.
    self._clock.at(end_s + 0.0015, self._expire)

  def _expire(self):
    if self.clock_ms <= self._lease_end_ms:
      return
    for run_id in list(self._runs):
      self._end(run_id, model.RunOutcome.LOST)

  def crash(self):
    """Ends everything that runs there; nothing is listed of it."""
    for run_id in list(self._runs):
      del self._runs[run_id]
      self._alive[run_id.task].discard(self.info.id)
    self.dark = True

  def stop(self, order: events.StopRun) -> model.CallResult:
    """Carries out an order to stop a run."""
    if self.superseded:
      return model.CallResult.GONE
    if order.fence < self._fence:
      return model.CallResult.FENCED
    self._fence = order.fence
    self.stops += 1
    self._bar(order.run)
    run = self._runs.get(order.run)
    if run is not None and not run.stopping:
      run.stopping = True
      self._clock.after(
          STOP_DELAY_S, lambda: self._finish(order.run, model.RunOutcome.LOST)
      )
    return model.CallResult.OK

  def renew(
      self,
      call: events.RenewLease,
      answer: Callable[[events.LeaseAnswered], None],
  ):
    """Renews the lease; calls `answer` at once, or at the next end."""
    if self.superseded:
      answer(self._lists(call, model.CallResult.GONE))
      return
    if call.fence < self._fence:
      answer(self._lists(call, model.CallResult.FENCED))
      return
    self._fence = call.fence
    self._expire()
    if call.deadline_ms is not None:
      self._extend(call.deadline_ms)
    self._note_ends(call.last_seen)
    if self._ended or not call.wait_ms:
      answer(self._lists(call, model.CallResult.OK))
      return
    answered = []

    def no_rerun():
      if not answered:
        answered.append(True)
        answer(self._lists(call, model.CallResult.OK))

    self._waiting.append(no_rerun)
    self._clock.after(call.wait_ms / 1000, no_rerun)

  def _note_ends(self, last_seen: int):
    for ended in self._ended:
      if ended.number <= last_seen and ended.how is model.RunOutcome.DONE:
        self._noted.add(ended.run.task)
    self._ended = [e for e in self._ended if e.number > last_seen]

  def _lists(self, call, result) -> events.LeaseAnswered:
    now = self._clock.now
    running = tuple(
        model.ActiveRun(
            run.id,
            min(99, int(100 * (now - run.began) / (run.ends - run.began))),
        )
        for run in self._runs.values()
    )
    return events.LeaseAnswered(
        self.info.id,
        call.number,
        result,
        self.clock_ms,
        running,
        tuple(self._ended),
    )
