"""A host's scheduler at work: the I/O shell around `reducer`.

It turns messages, answers and the timer's ticks into events, feeds them to
the reducer one at a time and carries out the effects. What it needs of the
outside world comes in as `Ports`, so that an adapter or a stand-in can serve.
"""

import collections
import dataclasses
import json
import traceback
from collections.abc import Awaitable
from collections.abc import Callable

import curio
from loguru import logger

from fescueturn import settings
from fescueturn import timer
from fescueturn.scheduler import events
from fescueturn.scheduler import keptevents
from fescueturn.scheduler import link
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import reducer
from fescueturn.scheduler import state as state_lib

# How often the scheduler's timer ticks (s): what waits for a time is late by
# half of this, against waits of 60 ms and more.
TICK_S = 0.02
# Ticks of a host that holds nothing and has no job that waits for a time soon:
# it pings and looks for free shards. An idle host of this period takes 1.1% of a
# core, one that ticks every 20 ms 2.2% (20 s each, on loopback).
IDLE_TICK_S = 0.1


@dataclasses.dataclass(frozen=True)
class Ports:
  """What a host's scheduler calls in the outside world.

  Attributes:
    start: carries out a `StartRun`.
    stop: carries out a `StopRun`.
    renew: carries out a `RenewLease`.
    claim: carries out a `ClaimShard`; returns the change of holder, or None if
      this host isn't the holder, or can't tell (the claims' watch will).
    release: carries out a `ReleaseShard`.
    owning: told whether this host owns a shard, whenever that changes.
    load_kept: carries out a `LoadKeptJobs`.
    write_kept: carries out a `WriteKeptJobs`.
    list_ended: carries out a `ListEndedJobs`.
    list_open: carries out a `ListOpenJobs`.
  """

  start: Callable[[events.StartRun], Awaitable[events.StartAnswered]]
  stop: Callable[[events.StopRun], Awaitable[events.StopAnswered]]
  renew: Callable[[events.RenewLease], Awaitable[events.LeaseAnswered]]
  claim: Callable[[events.ClaimShard], Awaitable[events.HolderChanged | None]]
  release: Callable[[events.ReleaseShard], Awaitable[None]]
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


class _Waiter:
  """A caller's request that waits for its answer."""

  def __init__(self):
    self.done = curio.Event()
    self.answer: events.Answer | None = None


class SchedulerHost:
  """One host's scheduler; `start` serves, `drain` ends, `close` cleans up."""

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
    self._server = link.LinkServer(link_address, self._from_coordinator)
    self._links: dict[settings.Address, link.Link] = {}
    self._waiters: dict[int, _Waiter] = {}
    self._next_request = 1
    self._owning = False
    self._effects: collections.deque[events.Effect] = collections.deque()
    self._carrying = False
    self._failed = False
    self._carry = {
        events.StartRun: self._spawn(ports.start),
        events.StopRun: self._spawn(ports.stop),
        events.RenewLease: self._spawn(ports.renew),
        events.SendToHolder: self._tell_holder,
        events.SendToCoordinator: self._tell_coordinator,
        events.Answer: self._answer,
        events.ClaimShard: self._claim,
        events.ReleaseShard: self._release,
        events.Log: write_log,
        keptevents.LoadKeptJobs: self._spawn(ports.load_kept),
        keptevents.WriteKeptJobs: self._spawn(ports.write_kept),
        keptevents.ListEndedJobs: self._spawn(ports.list_ended),
        keptevents.ListOpenJobs: self._spawn(ports.list_open),
    }

  @property
  def state(self) -> state_lib.HostState:
    """The reducer's state (read it; never change it from outside)."""
    return self._state

  @property
  def failed(self) -> bool:
    """True once a decision failed by a fault of ours; the process must end."""
    return self._failed

  @property
  def tick_period_s(self) -> float:
    """Seconds between ticks now."""
    return self._timer.period_s

  async def start(self):
    """Listens for other hosts and begins to tick."""
    await self._server.start()
    self._timer.subscribe(self._tick)

  async def apply(self, event: events.Event):
    """Runs one event through the reducer and carries out its effects."""
    try:
      effects = reducer.reduce(self._state, event, self._timer.now())
    except Exception:
      # The state may be half changed: nothing that it says can be relied on.
      self._failed = True
      where = traceback.format_exc().replace("\n", " | ")
      logger.error(
          "event=reducer_failed input={} error={}",
          type(event).__name__,
          json.dumps(where),
      )
      raise
    self._effects += effects
    if self._carrying:
      return  # Whoever carries out effects now carries out these as well.
    self._carrying = True
    # A task that is cancelled here would leave other tasks' effects undone.
    async with curio.disable_cancellation():
      try:
        while self._effects:
          effect = self._effects.popleft()
          await self._carry[type(effect)](effect)
      finally:
        self._carrying = False
    await self._note_owning()
    period_s = TICK_S if self._state.needs_fast_ticks else IDLE_TICK_S
    if self._timer.period_s != period_s:
      await self._timer.set_period(period_s)

  async def _note_owning(self):
    if self._owning != bool(self._state.owners):
      self._owning = not self._owning
      await self._ports.on_ownership_change(self._owning)

  async def submit(
      self, job: model.Job, deadline_s: float, trace_id: str = ""
  ) -> events.Answer:
    """Runs a job and returns its answer.

    Cancelling the task that waits here gives the job up: its caller is gone.

    Args:
      job: what to run.
      deadline_s: how long the caller waits, in seconds from now.
      trace: the caller's own id for the request.
    """
    return await self._ask(
        lambda i: events.JobArrived(i, job, deadline_s, trace_id)
    )

  async def query_kept_job(
      self,
      job_id: str,
      shard: model.Shard,
      cancel: bool,
      deadline_s: float,
      trace_id: str = "",
  ) -> events.Answer:
    """Asks a kept job's holder for its state, or to cancel it.

    Args:
      job_id: the job.
      shard: whose holder has it.
      cancel: True to cancel it.
      deadline_s: how long the caller waits, in seconds from now.
      trace: the caller's own id for the request.

    Returns:
      An answer of KEPT (the job goes on), DONE, FAILED, CANCELLED, or UNKNOWN
      if the holder didn't say, or doesn't know the job.
    """
    return await self._ask(
        lambda i: keptevents.KeptJobQueryArrived(
            i, job_id, shard, cancel, deadline_s, trace_id
        )
    )

  async def _ask(
      self, make_event: Callable[[int], events.Event]
  ) -> events.Answer:
    """Applies a request's event, given its number; returns its answer."""
    request_id = self._next_request
    self._next_request += 1
    waiter = self._waiters[request_id] = _Waiter()
    try:
      await self.apply(make_event(request_id))
      await waiter.done.wait()
    except curio.CancelledError:
      await self.apply(events.CallerGone(request_id))
      raise
    finally:
      del self._waiters[request_id]
    return waiter.answer

  async def cancel(self, job_id: str):
    """Cancels a job that this host coordinates."""
    await self.apply(events.JobCancelled(job_id))

  async def drain(self):
    """Begins a planned stop: owned shards are given up at once."""
    await self.apply(events.DrainStarted())

  async def finish_drain(self):
    """Ends a planned stop: whoever still waits is answered now."""
    await self.apply(events.ProcessEnding())

  async def close(self):
    """Closes every connection."""
    await self._server.close()
    for peer in self._links.values():
      await peer.close()

  def dump(self) -> dict:
    """Returns the whole state as JSON-ready data."""
    return {
        "waiting_requests": len(self._waiters),
        "scheduler": self._state.snapshot(),
    }

  async def _tick(self, now: float):
    del now
    await self.apply(events.Tick())

  def _spawn(self, call):
    async def run(effect):
      await self.apply(await call(effect))

    async def carry(effect):
      await curio.spawn(run, effect, daemon=True)

    return carry

  async def _claim(self, effect: events.ClaimShard):
    async def run():
      won = await self._ports.claim(effect)
      if won is not None:
        await self.apply(won)
      await self.apply(events.ClaimAnswered(effect.shard))

    await curio.spawn(run, daemon=True)

  async def _release(self, effect: events.ReleaseShard):
    await curio.spawn(self._ports.release, effect, daemon=True)

  async def _answer(self, effect: events.Answer):
    waiter = self._waiters.get(effect.request_id)
    if waiter is not None:
      waiter.answer = effect
      await waiter.done.set()

  async def _tell_holder(self, effect: events.SendToHolder):
    holder = effect.holder
    if holder.boot == self._state.me.process.boot:
      await self.apply(effect.message)
      return
    peer = self._links.get(holder.peer)
    if peer is None:
      peer = self._links[holder.peer] = self._new_link(holder)
    await peer.send(effect.shard, effect.message)

  def _new_link(self, holder: model.Holder) -> link.Link:
    async def on_message(shard, message):
      await self.apply(
          events.HolderMessageReceived(shard, self._party_at(holder), message)
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

  def _party_at(self, holder: model.Holder) -> linkmessages.HostProcess:
    """Returns which process the holder's address is known to belong to."""
    for record in self._state.coordinator.holders.values():
      if record.holder.peer == holder.peer:
        return record.process
    return linkmessages.HostProcess(holder.host, holder.boot)

  async def _tell_coordinator(self, effect: events.SendToCoordinator):
    if effect.process == self._state.me.process:
      await self.apply(
          events.HolderMessageReceived(
              effect.shard, self._state.me.process, effect.message
          )
      )
      return
    await self._server.send(effect.process, effect.shard, effect.message)

  async def _from_coordinator(self, process, shard, message):
    del process, shard
    await self.apply(message)


async def write_log(effect: events.Log):
  """Writes one line of key=value pairs."""
  fields = " ".join(f"{k}={_plain(v)}" for k, v in effect.fields)
  logger.info("event={} {}", effect.event, fields)


def _plain(value) -> str:
  text = str(value)
  return json.dumps(text) if " " in text or not text else text
