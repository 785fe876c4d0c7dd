"""Open connections that go silent for good, without a reset.

What is sent on such a connection is lost, in one direction or both, and the side
that opened it believes in it until a time-out of its own. New connections work.
"""

import dataclasses

from fescueturn import listener
from fescueturn.emulator import clock as clock_lib
from fescueturn.scheduler import link
from fescueturn.scheduler import linkmessages

# TCP gives a connection up when data stay unacknowledged for this long, or
# after its second probe of an idle one.
USER_TIMEOUT_S = listener.USER_TIMEOUT_MS / 1000
KEEPALIVE_S = 3.0 * listener.KEEPALIVE_S


@dataclasses.dataclass(frozen=True)
class Loss:
  """What is lost on a connection.

  Attributes:
    requests: whether what is sent by the side that opened it is.
    answers: whether what is sent to that side is.
  """

  requests: bool = True
  answers: bool = True


NO_LOSS = Loss(False, False)
BOTH_WAYS = Loss()


class _SilentLink:
  """A silent link.

  Attributes:
    loss: what is lost on it.
    unanswered_since: when the first message was sent that nothing was received
      after (s).
  """

  def __init__(self, loss: Loss):
    self.loss = loss
    self.unanswered_since: float | None = None


class SilentLinks:
  """The silent links between a fleet's hosts."""

  def __init__(self, fleet):
    self._fleet = fleet
    # By the coordinator's process and the holder's host.
    self._links: dict[tuple[linkmessages.HostProcess, str], _SilentLink] = {}

  def silence(self, coordinator, holder: str, loss: Loss):
    """Silences the link from a coordinator to a holder."""
    silent = _SilentLink(loss)
    self._links[coordinator.process, holder] = silent
    self._give_up_later(coordinator, holder, silent, KEEPALIVE_S)

  def carries_to_holder(self, coordinator, holder: str) -> bool:
    """Records a message to a holder; returns whether it arrives."""
    silent = self._links.get((coordinator.process, holder))
    if silent is None:
      return True
    now = self._fleet.clock.now
    since = silent.unanswered_since
    if since is None:
      silent.unanswered_since = now
      self._give_up_later(coordinator, holder, silent, USER_TIMEOUT_S)
    elif now - since > link.RECEIVE_TIMEOUT_S:
      self._give_up(coordinator, holder, silent)
      return True
    return not silent.loss.requests

  def carries_to_coordinator(self, coordinator, holder: str) -> bool:
    """Records a message of a holder; returns whether it arrives."""
    silent = self._links.get((coordinator.process, holder))
    if silent is None:
      return True
    if not silent.loss.answers:
      silent.unanswered_since = None
    return not silent.loss.answers

  def _give_up_later(self, coordinator, holder: str, silent, seconds: float):
    self._fleet.clock.after(
        seconds, lambda: self._give_up(coordinator, holder, silent)
    )

  def _give_up(self, coordinator, holder: str, silent: _SilentLink):
    key = (coordinator.process, holder)
    if self._links.get(key) is silent:
      del self._links[key]
      self._fleet.close_link(coordinator, holder)


@dataclasses.dataclass
class _SilentPool:
  """A client's connections to one server that went silent together.

  Attributes:
    loss: what is lost on them.
    since: when they went silent (s).
    until: when TCP has given up those that are idle (s).
    idle: how many of them no call has used since.
  """

  loss: Loss
  since: float
  until: float
  idle: int


@dataclasses.dataclass
class Call:
  """One call over a connection of a pool.

  Attributes:
    pool: what identifies the pool.
    began_at: when it began (s).
    silent: the silent connections of which it uses one.
    over: whether it was answered or timed out, whichever came first.
  """

  pool: object
  began_at: float
  silent: _SilentPool | None = None
  over: bool = False


class SilentPools:
  """The silent connections of pools: those in use and the idle ones.

  A call uses an idle connection if there is one, silent or not; if it times out,
  its connection is closed.
  """

  def __init__(self, clock: clock_lib.VirtualClock):
    self._clock = clock
    self._pools: dict[object, _SilentPool] = {}

  def silence(self, pool, idle: int, loss: Loss, idle_s: float = KEEPALIVE_S):
    """Silences a pool's connections.

    Args:
      pool: what identifies the pool.
      idle: how many of its connections are idle.
      loss: what is lost on them.
      idle_s: for how long calls may use the idle ones (s).
    """
    now = self._clock.now
    self._pools[pool] = _SilentPool(loss, now, now + idle_s, idle)

  def begin(self, pool) -> Call:
    """Returns a new call over a connection of a pool."""
    call = Call(pool, self._clock.now)
    silent = self._pools.get(pool)
    if silent is not None and silent.idle and self._clock.now < silent.until:
      silent.idle -= 1
      call.silent = silent
    return call

  def loss(self, call: Call) -> Loss:
    """Returns what is lost now on the connection of a call."""
    if call.silent is not None:
      return call.silent.loss
    silent = self._pools.get(call.pool)
    was_open = silent is not None and call.began_at < silent.since
    return silent.loss if was_open else NO_LOSS
