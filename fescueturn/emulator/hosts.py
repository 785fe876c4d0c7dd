"""An emulated host: the real reducer, driven by a virtual timer."""

import dataclasses
import random

from fescueturn import settings
from fescueturn.scheduler import events
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import reducer
from fescueturn.scheduler import state as state_lib
from fescueturn.scheduler import timebudget

POLL_PERIOD_S = 0.7
# The period of a quota of processor time, and the least time that a process
# runs in it.
QUOTA_PERIOD_S = 0.1
MIN_QUOTA_S = 0.002


@dataclasses.dataclass(frozen=True)
class Quota:
  """A quota of processor time that a process uses up in each tenth of a second.

  Attributes:
    runs_s: for how long it runs then (s), `MIN_QUOTA_S` or more.
    phase_s: when in a tenth of a second its own begins (s).
  """

  runs_s: float
  phase_s: float = 0.0

  def used_s(self, now: float) -> float:
    """Returns the time since its current tenth of a second began (s)."""
    return (now - self.phase_s) % QUOTA_PERIOD_S


# Time (s) for which a finished kept job stays known.
ENDED_JOB_TTL_S = 120.0


def _connection(event: events.Event):
  """Returns what identifies the connection on which an event arrived."""
  if isinstance(event, linkmessages.Offered | linkmessages.Withdrawn):
    return event.key.process
  if isinstance(event, linkmessages.Ping):
    return event.process
  if isinstance(event, events.HolderMessageReceived):
    return event.shard, event.process
  if isinstance(
      event, events.JobArrived | events.CallerGone | events.CallerSilent
  ):
    return event.request_id
  return type(event)


def _read_order(
    deferred: list[events.Event], rng: random.Random
) -> list[events.Event]:
  by_connection: dict[object, list[events.Event]] = {}
  for event in deferred:
    by_connection.setdefault(_connection(event), []).append(event)
  ticks = rng.choice((0, 1, 3))
  by_connection[events.Tick] = [events.Tick()] * ticks
  connections = [
      connection for connection, queued in by_connection.items() for _ in queued
  ]
  rng.shuffle(connections)
  queues = {c: iter(queued) for c, queued in by_connection.items()}
  return [next(queues[connection]) for connection in connections]


class EmulatedHost:
  """One host: a reducer whose effects the fleet executes.

  Attributes:
    name: the host's name.
    data_centre: the host's data centre.
    process: the host's process, identified by name and boot.
    state: the reducer's state.
    up: False after the host was killed.
    frozen: True while the process is suspended; events to it are deferred.
    clock_lag_s: by how much its clock is behind, as it was suspended (s).
    partitioned_from: hosts and endpoints that it can't reach; "store" stands
      for the store.
    deaf_to: hosts and endpoints whose packets don't reach it, while its own
      reach them.
    watch_lag_s: by how much later than usual it is notified of claims (s).
    request_lag_s: by how much later than usual it reads callers' requests (s).
    quota: its process's quota of processor time, if any.
    log: the log lines that its reducer has written.
  """

  def __init__(
      self, fleet, name: str, data_centre: str, boot: int, cores: float
  ):
    self.name = name
    self.data_centre = data_centre
    self.process = linkmessages.HostProcess(name, f"{name}.{boot}")
    shards = (model.Shard(data_centre),)
    self.state = state_lib.HostState(
        state_lib.HostIdentity(
            self.process,
            data_centre,
            shards,
            ENDED_JOB_TTL_S,
            cores,
            settings.Address(name, 1),
        )
    )
    self.up = True
    self.frozen = False
    self.clock_lag_s = 0.0
    self.partitioned_from: set[str] = set()
    self.deaf_to: set[str] = set()
    self.watch_lag_s = 0.0
    self.request_lag_s = 0.0
    self.quota: Quota | None = None
    self.log: list[events.Log] = []
    self._fleet = fleet
    self._deferred: list[events.Event] = []
    # What happened since it used up its share of this tenth of a second.
    self._throttled: list[events.Event] = []
    self._next_poll_at = 0.0

  def apply(self, event: events.Event):
    """Applies one event and executes its effects.

    A killed host drops the event. A frozen one drops ticks and defers all other
    events.
    """
    if not self.up:
      return
    if self.frozen:
      if not isinstance(event, events.Tick):
        self._deferred.append(event)
      return
    if self._is_throttled:
      self._throttle(event)
      return
    self._carry_out(event)

  def _carry_out(self, event: events.Event):
    now = self._fleet.clock.now - self.clock_lag_s
    for effect in reducer.reduce(self.state, event, now):
      self._fleet.execute(self, effect)

  @property
  def _is_throttled(self) -> bool:
    """True while its process waits for the next tenth of a second."""
    quota = self.quota
    return quota is not None and (
        quota.used_s(self._fleet.clock.now) >= quota.runs_s
    )

  def _throttle(self, event: events.Event):
    """Defers an event to the next tenth of a second."""
    if not self._throttled:
      used_s = self.quota.used_s(self._fleet.clock.now)
      self._fleet.clock.after(
          QUOTA_PERIOD_S - used_s + MIN_QUOTA_S / 2, self._handle_throttled
      )
    if not (isinstance(event, events.Tick) and event in self._throttled):
      self._throttled.append(event)

  def _handle_throttled(self):
    """Applies what has happened meanwhile.

    The process looks at its callers' connections before it ticks, and before it
    handles a request.
    """
    throttled, self._throttled = self._throttled, []
    gone = [e for e in throttled if isinstance(e, events.CallerGone)]
    left = {e.request_id for e in gone}
    for event in gone + throttled:
      is_read = isinstance(event, events.JobArrived)
      if not (is_read and event.request_id in left):
        self.apply(event)

  def thaw(self, rng: random.Random | None = None):
    """Resumes a frozen host and applies the deferred events.

    Args:
      rng: if given, the connections are read in a random order, each of them
        from its start, and the timer ticks at random times in between.
    """
    self.frozen = False
    deferred, self._deferred = self._deferred, []
    for event in _read_order(deferred, rng) if rng else deferred:
      self.apply(event)

  def tick(self):
    """Handles a tick of the host's timer and schedules the next one."""
    if not self.up:
      return
    self.apply(events.Tick())
    now = self._fleet.clock.now
    owns = bool(self.state.owners)
    runs = not (self.frozen or self._is_throttled)
    if owns and now >= self._next_poll_at and runs:
      self._next_poll_at = now + POLL_PERIOD_S
      self._fleet.poll_endpoints(self)
    if not owns:
      self._next_poll_at = 0.0
    self._fleet.clock.after(timebudget.TICK_S, self.tick)
