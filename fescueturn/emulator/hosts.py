"""An emulated host: the real reducer, its ticks, kills and pauses."""

from fescueturn.scheduler import events
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import reducer
from fescueturn.scheduler import state as state_lib

TICK_S = 0.02
POLL_PERIOD_S = 0.7
# How long a kept job that is over stays known.
ENDED_JOB_TTL_S = 120.0


class EmulatedHost:
  """One host: a reducer and the carrying out of its effects.

  Attributes:
    up: False once killed.
    frozen: it stands still; what reaches it waits.
    cut: hosts and endpoints that it can't reach, "store" among them.
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
            self.process, data_centre, shards, ENDED_JOB_TTL_S, cores
        )
    )
    self.up = True
    self.frozen = False
    self.partitioned_from: set[str] = set()
    self.log: list[events.Log] = []
    self._fleet = fleet
    self._held: list[events.Event] = []
    self._lists_at = 0.0

  def apply(self, event: events.Event):
    """Takes one event, unless the host is down; a frozen one takes it later."""
    if not self.up:
      return
    if self.frozen:
      if not isinstance(event, events.Tick):
        self._held.append(event)
      return
    now = self._fleet.clock.now
    for effect in reducer.reduce(self.state, event, now):
      self._fleet.execute(self, effect)

  def thaw(self):
    """Wakes a frozen host: what has waited for it comes in."""
    self.frozen = False
    held, self._held = self._held, []
    for event in held:
      self.apply(event)

  def tick(self):
    """One tick of the host's timer, for as long as it is up."""
    if not self.up:
      return
    self.apply(events.Tick())
    now = self._fleet.clock.now
    owns = bool(self.state.owners)
    if owns and now >= self._lists_at and not self.frozen:
      self._lists_at = now + POLL_PERIOD_S
      self._fleet.poll_endpoints(self)
    if not owns:
      self._lists_at = 0.0
    self._fleet.clock.after(TICK_S, self.tick)
