"""Calls from emulated hosts to endpoints: delays, lost packets and timeouts.

A call uses an open connection if there is one. A call that times out closes its
connection, so the next one has to open another; what was sent on the closed
connection may still arrive.
"""

from fescueturn.emulator import endpoint as endpoint_lib
from fescueturn.emulator import hosts
from fescueturn.emulator import silence
from fescueturn.scheduler import events
from fescueturn.scheduler import model
from fescueturn.scheduler import timeouts

# One-way network delay within a data centre, as the users' data sheets give it.
LOCAL_DELAY_S = 0.0002
# TCP sends a lost packet again after this, the usual minimum. The packet that
# opens a connection is sent again only after a second.
RETRANSMIT_S = 0.2
# A connection that isn't open after this counts as failed.
CONNECT_TIMEOUT_S = 0.25


class EndpointCalls:
  """Executes the calls of a fleet's hosts to its endpoints."""

  def __init__(self, fleet):
    self._fleet = fleet
    self._clock = fleet.clock
    self._rng = fleet.rng
    # Hosts and endpoints whose last call timed out, and with it the connection.
    self._disconnected: set[tuple[str, str]] = set()
    self._silent = silence.SilentPools(fleet.clock)

  def silence_calls(
      self, host: hosts.EmulatedHost, name: str, idle: int, loss: silence.Loss
  ):
    """Silences a host's open connections to an endpoint."""
    self._silent.silence((host.process, name), idle, loss)

  def start_run(self, host: hosts.EmulatedHost, effect: events.StartRun):
    """Orders an endpoint to start a run."""
    self._send_order(
        host,
        effect,
        lambda endpoint: endpoint.start(effect),
        events.StartAnswered,
    )

  def stop_run(self, host: hosts.EmulatedHost, effect: events.StopRun):
    """Orders an endpoint to stop a run."""
    self._send_order(
        host,
        effect,
        lambda endpoint: endpoint.stop(effect),
        events.StopAnswered,
    )

  def _send_order(self, host, effect, execute, answer_type):
    endpoint = self._fleet.endpoints[effect.endpoint.id]
    name, run = effect.endpoint.id, effect.run
    born_ms = endpoint.info.born_ms
    call = self._silent.begin((host.process, name))

    def end(result, clock_ms=None):
      is_answer = clock_ms is not None
      lost = is_answer and (
          name in host.deaf_to or self._silent.loss(call).answers
      )
      if not (call.over or lost):
        call.over = True
        answered_by = 0 if clock_ms is None else born_ms
        host.apply(
            answer_type(name, run, result, clock_ms, effect.fence, answered_by)
        )

    def time_out():
      if not call.over:
        self._disconnected.add((host.name, name))
        end(model.CallResult.NO_ANSWER)

    def execute_late():
      # What an incarnation has received ends with it.
      if endpoint.info.born_ms == born_ms:
        execute(endpoint)

    def arrive():
      if not self._arrives(host, endpoint, born_ms, call):
        return
      delay_s = endpoint.order_delay_s
      if self._rng.random() < endpoint.loss_rate:
        delay_s = self._rng.uniform(2.0, 12.0)
      if delay_s:
        self._clock.after(delay_s, execute_late)
        return
      result = model.CallResult.NOT_SENT
      if not self._is_found_restarted(endpoint, effect):
        result = execute(endpoint)
      if endpoint.unreachable:
        return  # The run has crashed it.
      clock_ms = endpoint.clock_ms
      self._clock.after(
          self._path_delay_s(endpoint), lambda: end(result, clock_ms)
      )

    if endpoint.refusing and not call.silent:
      self._clock.after(LOCAL_DELAY_S, lambda: end(model.CallResult.NOT_SENT))
      return
    if not call.silent and self._connection_fails(host, endpoint):
      self._clock.after(
          CONNECT_TIMEOUT_S, lambda: end(model.CallResult.NOT_SENT)
      )
      return
    self._clock.after(self._path_delay_s(endpoint), arrive)
    self._clock.after(timeouts.MIN_S, time_out)

  def renew_lease(self, host: hosts.EmulatedHost, effect: events.RenewLease):
    """Renews an endpoint's lease and reads its runs."""
    endpoint = self._fleet.endpoints[effect.endpoint.id]
    name = effect.endpoint.id
    born_ms = endpoint.info.born_ms
    call = self._silent.begin((host.process, name))

    def end(answer: events.LeaseAnswered):
      if not call.over:
        call.over = True
        host.apply(answer)

    def fail(result: model.CallResult):
      end(
          events.LeaseAnswered(
              name, effect.number, result, None, fence=effect.fence
          )
      )

    def time_out():
      if not call.over:
        self._disconnected.add((host.name, name))
        fail(model.CallResult.NO_ANSWER)

    def answer(result: events.LeaseAnswered):
      lost = self._silent.loss(call).answers
      if not (endpoint.unreachable or lost) and self._fleet.hears(host, name):
        self._clock.after(self._path_delay_s(endpoint), lambda: end(result))

    lost = self._rng.random() < endpoint.loss_rate

    def arrive():
      if self._arrives(host, endpoint, born_ms, call) and not lost:
        endpoint.renew(effect, answer)

    if endpoint.refusing and not call.silent:
      self._clock.after(LOCAL_DELAY_S, lambda: fail(model.CallResult.NOT_SENT))
      return
    if not call.silent and self._connection_fails(host, endpoint):
      self._clock.after(
          CONNECT_TIMEOUT_S, lambda: fail(model.CallResult.NOT_SENT)
      )
      return
    self._clock.after(self._path_delay_s(endpoint), arrive)
    self._clock.after(effect.wait_ms / 1000 + timeouts.MIN_S, time_out)

  def _arrives(self, host, endpoint, born_ms: int, call: silence.Call) -> bool:
    """Returns whether the data of a call arrive.

    A connection to an earlier incarnation than the current one is reset.
    """
    return (
        endpoint.info.born_ms == born_ms
        and not endpoint.unreachable
        and not self._silent.loss(call).requests
        and self._fleet.can_reach(host, endpoint.info.id)
    )

  def _is_found_restarted(self, endpoint, effect) -> bool:
    """Returns whether a host asks first, and finds another incarnation."""
    is_start = isinstance(effect, events.StartRun)
    if not (is_start and effect.born_ms and endpoint.closes_connections):
      return False
    return endpoint.info.born_ms != effect.born_ms

  def _packet_lost(self, endpoint: endpoint_lib.EmulatedEndpoint) -> bool:
    rate = endpoint.packet_loss_rate
    return rate > 0 and self._rng.random() < rate

  def _path_delay_s(self, endpoint: endpoint_lib.EmulatedEndpoint) -> float:
    """Returns the time that data takes one way, retransmissions included (s)."""
    delay_s, pause_s = LOCAL_DELAY_S, RETRANSMIT_S
    while self._packet_lost(endpoint):
      delay_s += pause_s
      pause_s *= 2
    return delay_s

  def _connection_fails(
      self,
      host: hosts.EmulatedHost,
      endpoint: endpoint_lib.EmulatedEndpoint,
  ) -> bool:
    """Returns whether a call needs a new connection that can't be opened."""
    path = (host.name, endpoint.info.id)
    if path in self._disconnected and self._packet_lost(endpoint):
      return True
    self._disconnected.discard(path)
    return False


EFFECT_HANDLERS = {
    events.StartRun: EndpointCalls.start_run,
    events.StopRun: EndpointCalls.stop_run,
    events.RenewLease: EndpointCalls.renew_lease,
}
