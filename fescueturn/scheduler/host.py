"""A host's scheduler: the I/O shell around `reducer`.

It turns messages, answers and the timer's ticks into events, passes them to
the reducer one at a time and executes the effects. It reaches the outside
world only through `Ports`, which a platform adapter or a test double
implements.
"""

import collections
import dataclasses
import json
import traceback
from collections.abc import Awaitable
from collections.abc import Callable

import curio
from loguru import logger

from fescueturn import closewatch
from fescueturn import codes
from fescueturn import errors
from fescueturn import settings
from fescueturn import silencewatch
from fescueturn import timer
from fescueturn.scheduler import events
from fescueturn.scheduler import keptevents
from fescueturn.scheduler import link
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import reducer
from fescueturn.scheduler import slowevents
from fescueturn.scheduler import state as state_lib
from fescueturn.scheduler import timebudget

TICK_S = timebudget.TICK_S
IDLE_TICK_S = timebudget.IDLE_TICK_S


@dataclasses.dataclass(frozen=True)
class Ports:
  """The calls of a host's scheduler to the outside world.

  Attributes:
    start: executes a `StartRun`.
    stop: executes a `StopRun`.
    renew: executes a `RenewLease`.
    claim: executes a `ClaimShard`; returns the change of holder, or None if
      this host isn't the holder or the outcome is unknown (the watch on the
      claims reports it).
    release: executes a `ReleaseShard`; returns None if the claim was not
      deleted or if that is unknown (the watch on the claims reports it).
    on_ownership_change: called with whether this host owns a shard, whenever
      that changes.
    load_kept: executes a `LoadKeptJobs`.
    write_kept: executes a `WriteKeptJobs`.
    list_ended: executes a `ListEndedJobs`.
    list_open: executes a `ListOpenJobs`.
    find_unclaimed: executes a `FindUnclaimedRecords`.
    take_over: executes a `TakeOverJobs`.
  """

  start: Callable[[events.StartRun], Awaitable[events.StartAnswered]]
  stop: Callable[[events.StopRun], Awaitable[events.StopAnswered]]
  renew: Callable[[events.RenewLease], Awaitable[events.LeaseAnswered]]
  claim: Callable[[events.ClaimShard], Awaitable[events.HolderChanged | None]]
  release: Callable[
      [events.ReleaseShard], Awaitable[events.ShardReleased | None]
  ]
  on_ownership_change: Callable[[bool], Awaitable[None]]
  load_kept: Callable[
      [keptevents.LoadKeptJobs], Awaitable[keptevents.KeptJobsLoaded]
  ]
  write_kept: Callable[
      [keptevents.WriteKeptJobs], Awaitable[keptevents.KeptJobsWritten]
  ]
  list_ended: Callable[
      [keptevents.ListEndedJobs], Awaitable[keptevents.EndedJobsListed]
  ]
  list_open: Callable[
      [keptevents.ListOpenJobs], Awaitable[keptevents.OpenJobsListed]
  ]
  find_unclaimed: Callable[
      [keptevents.FindUnclaimedRecords], Awaitable[keptevents.UnclaimedFound]
  ]
  take_over: Callable[
      [keptevents.TakeOverJobs], Awaitable[keptevents.JobsTakenOver]
  ]


class CallerGoneError(errors.FescueError):
  """The caller has closed its connection; nothing of its job was started."""

  code = codes.Code.CALLER_GONE


class _Waiter:
  """A caller's request that waits for an answer."""

  def __init__(self):
    self.done = curio.Event()
    self.answer: events.Answer | None = None


class SchedulerHost:
  """One host's scheduler.

  The order of calls is `start`, `drain`, `prepare_exit`, `finish_drain` and
  `close`.
  """

  def __init__(
      self,
      me: state_lib.HostIdentity,
      link_address: settings.Address,
      ports: Ports,
      clock: timer.TimerService,
  ):
    self._state = state_lib.HostState(me)
    self._ports = ports
    self._timer = clock
    self._server = link.LinkServer(link_address, self._on_coordinator_message)
    self._links: dict[settings.Address, link.Link] = {}
    self._waiters: dict[int, _Waiter] = {}
    self._close_watch = closewatch.CloseWatch()
    self._silence_watch = silencewatch.SilenceWatch()
    self._next_request = 1
    self._owns_shard = False
    self._effects: collections.deque[events.Effect] = collections.deque()
    self._executing = False
    self._failed = False
    self._closed = False
    self._slow_events = slowevents.SlowEvents(clock.now)
    self._effect_handlers = {
        events.StartRun: self._in_background(ports.start),
        events.StopRun: self._in_background(ports.stop),
        events.RenewLease: self._in_background(ports.renew),
        events.SendToHolder: self._send_to_holder,
        events.SendToCoordinator: self._send_to_coordinator,
        events.Answer: self._answer,
        events.ClaimShard: self._claim,
        events.ReleaseShard: self._release,
        events.Log: write_log,
        keptevents.LoadKeptJobs: self._in_background(ports.load_kept),
        keptevents.WriteKeptJobs: self._in_background(ports.write_kept),
        keptevents.ListEndedJobs: self._in_background(ports.list_ended),
        keptevents.ListOpenJobs: self._in_background(ports.list_open),
        keptevents.FindUnclaimedRecords: self._in_background(
            ports.find_unclaimed
        ),
        keptevents.TakeOverJobs: self._in_background(ports.take_over),
    }

  @property
  def state(self) -> state_lib.HostState:
    """The reducer's state; read-only for callers."""
    return self._state

  @property
  def failed(self) -> bool:
    """True once the reducer raised an exception; the process must exit."""
    return self._failed

  @property
  def tick_period_s(self) -> float:
    """The current tick period (s)."""
    return self._timer.period_s

  async def start(self):
    """Starts to listen for other hosts and to tick."""
    await self._server.start()
    self._timer.subscribe(self._tick)

  async def apply(self, event: events.Event):
    """Passes one event to the reducer and executes its effects."""
    began_at = self._timer.now()
    try:
      effects = reducer.reduce(self._state, event, began_at)
    except Exception:
      # The state may be partly changed, so that nothing in it can be trusted.
      self._failed = True
      stack = traceback.format_exc().replace("\n", " | ")
      logger.error(
          "event=reducer_failed input={} error={}",
          type(event).__name__,
          json.dumps(stack),
      )
      raise
    self._slow_events.record(event, began_at)
    self._effects += effects
    if self._executing:
      return  # The task that executes effects now executes these as well.
    self._executing = True
    # If this task were cancelled here, other tasks' effects would be lost.
    async with curio.disable_cancellation():
      try:
        while self._effects:
          effect = self._effects.popleft()
          await self._effect_handlers[type(effect)](effect)
      finally:
        self._executing = False
    await self._report_ownership()
    is_urgent = self._state.needs_fast_ticks or self._silence_watch.in_doubt
    period_s = TICK_S if is_urgent else IDLE_TICK_S
    if self._timer.period_s != period_s:
      await self._timer.set_period(period_s)

  async def _report_ownership(self):
    if self._owns_shard != bool(self._state.owners):
      self._owns_shard = not self._owns_shard
      await self._ports.on_ownership_change(self._owns_shard)

  async def submit(
      self,
      job: model.Job,
      deadline_s: float,
      trace_id: str = "",
      fileno: int | None = None,
  ) -> events.Answer:
    """Runs a job and returns its answer.

    Cancelling the awaiting task abandons the job: its caller has disconnected.

    Args:
      job: what to run.
      deadline_s: how long the caller waits, in seconds from now.
      trace_id: the caller's own id for the request.
      fileno: the socket of the caller's connection, if there is one.

    Raises:
      CallerGoneError: the caller has disconnected; nothing of the job ran.
    """
    if fileno is not None and closewatch.is_closed(fileno):
      raise CallerGoneError(f"job {job.id}: its caller has disconnected")
    return await self._request(
        lambda i: events.JobArrived(i, job, deadline_s, trace_id),
        fileno,
    )

  async def query_kept_job(
      self,
      job_id: str,
      shard: model.Shard,
      cancel: bool,
      deadline_s: float,
      trace_id: str = "",
  ) -> events.Answer:
    """Queries a kept job's holder for the job's state, or has it cancelled.

    Args:
      job_id: the job.
      shard: the job's shard.
      cancel: True to cancel the job.
      deadline_s: how long the caller waits, in seconds from now.
      trace_id: the caller's own id for the request.

    Returns:
      An answer of KEPT (the job is still open), DONE, FAILED, CANCELLED, or
      UNKNOWN if the holder didn't reply or doesn't know the job.
    """
    return await self._request(
        lambda i: keptevents.KeptJobQueryArrived(
            i, job_id, shard, cancel, deadline_s, trace_id
        )
    )

  async def _request(
      self,
      make_event: Callable[[int], events.Event],
      fileno: int | None = None,
  ) -> events.Answer:
    """Applies the event of a new request and waits for the answer.

    Args:
      make_event: makes the event, given the request's number.
      fileno: the socket of the caller's connection, if it is to be watched.
    """
    request_id = self._next_request
    self._next_request += 1
    waiter = self._waiters[request_id] = _Waiter()
    if fileno is not None:
      self._close_watch.add(fileno, request_id)
      self._silence_watch.add(fileno, request_id, self._timer.now())
    try:
      await self.apply(make_event(request_id))
      await waiter.done.wait()
    except curio.CancelledError:
      await self.apply(events.CallerGone(request_id))
      raise
    finally:
      del self._waiters[request_id]
      if fileno is not None:
        self._close_watch.remove(fileno)
        self._silence_watch.remove(fileno)
    return waiter.answer

  async def cancel(self, job_id: str):
    """Cancels a job that this host coordinates."""
    await self.apply(events.JobCancelled(job_id))

  async def drain(self):
    """Starts a planned stop: releases owned shards to a successor."""
    await self.apply(events.DrainStarted())

  async def prepare_exit(self):
    """Grants the shards still held to other hosts; may be called repeatedly."""
    if not self._state.ending:
      await self.apply(events.DrainEnding())

  async def finish_drain(self):
    """Ends a planned stop: answers all callers, gives up shards still held."""
    await self.apply(events.ProcessEnding())

  async def close(self):
    """Closes every connection."""
    self._closed = True
    await self._server.close()
    for peer_link in self._links.values():
      await peer_link.close()

  def dump(self) -> dict:
    """Returns the whole state as JSON-ready data."""
    return {
        "waiting_requests": len(self._waiters),
        "scheduler": self._state.snapshot(),
    }

  async def _tick(self, now: float):
    # A ping tells holders that the callers of this host's jobs still wait.
    for request_id in self._close_watch.closed_requests():
      await self.apply(events.CallerGone(request_id))
    for request_id in self._silence_watch.silent_requests(now):
      await self.apply(events.CallerSilent(request_id))
    await self.apply(events.Tick(now))
    slow = self._slow_events.take_report()
    if slow is not None:
      await write_log(slow)

  def _in_background(self, call):
    async def run(effect):
      await self.apply(await call(effect))

    async def execute(effect):
      await curio.spawn(run, effect, daemon=True)

    return execute

  async def _claim(self, effect: events.ClaimShard):
    async def run():
      holder_change = await self._ports.claim(effect)
      if holder_change is not None:
        await self.apply(holder_change)
      await self.apply(events.ClaimAnswered(effect.shard))

    await curio.spawn(run, daemon=True)

  async def _release(self, effect: events.ReleaseShard):
    async def run():
      released = await self._ports.release(effect)
      if released is not None:
        await self.apply(released)

    await curio.spawn(run, daemon=True)

  async def _answer(self, effect: events.Answer):
    waiter = self._waiters.get(effect.request_id)
    if waiter is not None:
      waiter.answer = effect
      await waiter.done.set()

  async def _send_to_holder(self, effect: events.SendToHolder):
    holder = effect.holder
    if holder.boot == self._state.me.process.boot:
      await self.apply(effect.message)
      return
    if self._closed:
      return  # A request that still waits would open a connection again.
    peer_link = self._links.get(holder.peer)
    if peer_link is None:
      peer_link = self._links[holder.peer] = self._new_link(holder)
    await peer_link.send(effect.shard, effect.message)

  def _new_link(self, holder: model.Holder) -> link.Link:
    async def on_message(shard, message):
      await self.apply(
          events.HolderMessageReceived(shard, self._process_at(holder), message)
      )

    async def on_lost(refused: bool):
      for shard, record in list(self._state.coordinator.holders.items()):
        if record.holder.peer == holder.peer:
          await self.apply(events.LinkLost(shard, record.process, refused))

    return link.Link(
        holder.peer,
        self._state.me.process,
        self._timer.now,
        on_message,
        on_lost,
    )

  def _process_at(self, holder: model.Holder) -> linkmessages.HostProcess:
    """Returns the process that is known to listen at the holder's address."""
    for record in self._state.coordinator.holders.values():
      if record.holder.peer == holder.peer:
        return record.process
    return linkmessages.HostProcess(holder.host, holder.boot)

  async def _send_to_coordinator(self, effect: events.SendToCoordinator):
    if effect.process == self._state.me.process:
      await self.apply(
          events.HolderMessageReceived(
              effect.shard, self._state.me.process, effect.message
          )
      )
      return
    await self._server.send(effect.process, effect.shard, effect.message)

  async def _on_coordinator_message(self, process, shard, message):
    del process, shard
    await self.apply(message)


async def write_log(effect: events.Log):
  """Writes a log line of key=value pairs."""
  fields = " ".join(f"{k}={_quoted(v)}" for k, v in effect.fields)
  logger.info("event={} {}", effect.event, fields)


def _quoted(value) -> str:
  text = str(value)
  return json.dumps(text) if " " in text or not text else text
