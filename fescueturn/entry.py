"""The entry host daemon: serves callers over HTTP and peers over Cap'n Proto.

This is the I/O shell around `fescueturn.reducer`: it turns callers' requests,
peer messages, endpoint replies, platform watches and timer ticks into events,
feeds them to the reducer one at a time, and executes the effects that the
reducer returns.
"""

import json
import random
import secrets
from collections.abc import Callable

import curio
from loguru import logger

from fescueturn import callerhttp
from fescueturn import claims
from fescueturn import endpointclient
from fescueturn import errors
from fescueturn import events
from fescueturn import httpio
from fescueturn import kvtypes
from fescueturn import membership
from fescueturn import metrics
from fescueturn import peer
from fescueturn import reducer
from fescueturn import settings
from fescueturn import state as state_lib
from fescueturn import timer

DRAIN_TIMEOUT_S = 60.0


class _PendingRequest:
  """The completion event and the result of a pending request."""

  def __init__(self):
    self.done = curio.Event()
    self.result: claims.Reply | None = None


class EntryHost:
  """One entry host process.

  `start` joins the data centre and serves; `drain` stops gracefully.
  """

  def __init__(
      self,
      process: settings.ProcessSettings,
      config: settings.EntrySettings,
      clock: timer.TimerService,
      store: kvtypes.Store,
  ):
    self._process = process
    self._config = config
    self._timer = clock
    boot = secrets.token_hex(8)
    limits = state_lib.Limits(
        config.retry_after_s, config.answer_keep_s, config.lease_ttl_s
    )
    self._state = reducer.new_state(process.name, boot, limits, config.naive)
    self._stats = metrics.client(process.statsd, "entry", process.name)
    self._kv = store
    self._rng = random.Random(boot)
    self._caller_http = callerhttp.CallerHttp(self, clock, self._stats)
    self._server = httpio.Server(
        config.listen, self._caller_http.handle, config.max_body_bytes
    )
    self._peers_server = peer.PeerServer(
        config.peer_listen, boot, self._handle_peer_message
    )
    self._lease = membership.LeaseKeeper(
        self._kv,
        process.data_centre,
        events.Member(
            process.name, config.peer_listen, boot, rack=process.rack
        ),
        config.lease_ttl_s,
        clock.now,
    )
    self._pending: dict[int, _PendingRequest] = {}
    self._endpoints = endpointclient.EndpointClient(clock.now, self._stats)
    self._peers: dict[settings.Address, peer.PeerClient] = {}
    self._loops = []
    self._next_request = 1
    self._drained = curio.Event()
    self._effect_handlers = {
        events.SendTask: self._in_background(self._send_task),
        events.SendOutcome: self._send_outcome,
        events.SendPeerRequest: self._in_background(self._send_peer_request),
        events.SendPeerNotice: self._in_background(self._send_peer_notice),
        events.SendPeerReply: self._send_peer_reply,
        events.StoreClaim: self._in_background(self._store_claim),
        events.Drained: self._handle_drained,
    }

  @property
  def state(self) -> state_lib.EntryState:
    """The reducer's state; read-only for all code but the reducer."""
    return self._state

  def _backoff(self) -> membership.Backoff:
    longest_s = self._config.lease_ttl_s / membership.RENEWALS_PER_TTL
    return membership.Backoff(self._rng, longest_s)

  async def start(self):
    """Registers with the platform, starts its watches, and begins to serve."""
    self._state.now = self._timer.now()
    self._timer.subscribe(self._tick)
    dc = self._process.data_centre
    config = self._config
    await self._peers_server.start()
    loops = [
        (self._lease.run, self._apply, self._backoff()),
        (
            membership.members_loop,
            self._kv,
            dc,
            self._apply_members,
            self._backoff(),
        ),
        (
            membership.teams_loop,
            self._kv,
            self._apply,
            membership.Backoff(self._rng, membership.SETTINGS_BACKOFF_MAX_S),
            config.settings_pause_s,
        ),
        (
            membership.hosts_loop,
            self._kv,
            dc,
            self._apply,
            self._backoff(),
            config.hosts_poll_s,
        ),
    ]
    self._loops = [await curio.spawn(*loop, daemon=True) for loop in loops]
    await self._server.start()
    logger.info(
        "event=entry_started name={} boot={} listen={} peer={}",
        self._process.name,
        self._state.me.boot,
        config.listen,
        config.peer_listen,
    )

  async def drain(self, limit_s: float = DRAIN_TIMEOUT_S):
    """Stops gracefully: forwards new keys, finishes work in flight, leaves.

    Args:
      limit_s: how long to wait for the work in flight, in seconds.
    """
    logger.info("event=drain_started name={}", self._process.name)
    await self._apply(events.DrainStarted())
    await self._lease.leave()
    await curio.ignore_after(limit_s, self._drained.wait)
    while self._server.open_connections and self._pending:
      await curio.sleep(0.05)
    await self._lease.withdraw()
    logger.info(
        "event=drained name={} counters={}",
        self._process.name,
        json.dumps(dict(self._state.counters)),
    )

  async def close(self):
    """Stops all background loops and closes all connections."""
    await self._server.close()
    await self._peers_server.close()
    for task in self._loops:
      await task.cancel()
    await self._endpoints.close()
    for client in self._peers.values():
      await client.close()
    await self._kv.close()

  def dump(self) -> dict:
    """Returns the complete state as JSON-serialisable data."""
    peer_in, peer_out = self._peers_server.bytes_in_out
    shell = {
        "waiting_requests": len(self._pending),
        "open_connections": self._server.open_connections,
        "peer_bytes_in": peer_in,
        "peer_bytes_out": peer_out,
        "lease": self._lease.lease,
    }
    return {"role": "entry", "state": self._state.snapshot(), "shell": shell}

  def health(self) -> dict:
    """Returns this host's health and its view of the data centre, for JSON."""
    state = self._state
    view = state.membership.view
    return {
        "ok": not state.draining,
        "draining": state.draining,
        "members": len(state.membership.members),
        "view": view.digest if view else 0,
        "ready": state.membership.may_accept_claims(self._timer.now())
        and state.membership.sync is None,
        "endpoints": state.endpoints.usable_count(),
        "teams": sum(1 for t in state.teams.values() if t.team_settings),
    }

  async def _tick(self, now: float):
    await self._apply(events.Tick(now))

  async def _apply_members(self, event: events.MembersChanged):
    self._lease.check_written(event.members)
    await self._apply(event)

  async def _apply(self, event: events.Event):
    """Passes one event to the reducer and executes the effects it returns."""
    for effect in reducer.reduce(self._state, event, self._timer.now()):
      await self._effect_handlers[type(effect)](effect)

  def _in_background(self, method):
    async def spawn_handler(effect: events.Effect):
      await curio.spawn(method, effect, daemon=True)

    return spawn_handler

  async def _send_outcome(self, effect: events.SendOutcome):
    await self._complete_request(effect.request_id, effect.outcome)

  async def _send_peer_reply(self, effect: events.SendPeerReply):
    await self._complete_request(effect.request_id, effect.reply)

  async def _complete_request(self, request_id: int, result: claims.Reply):
    pending = self._pending.get(request_id)
    if pending is not None:
      pending.result = result
      await pending.done.set()

  async def _handle_drained(self, effect: events.Drained):
    del effect
    await self._drained.set()

  async def submit(
      self, make_event: Callable[[int], events.Event]
  ) -> claims.Reply:
    """Passes one request to the reducer and waits for its result.

    Args:
      make_event: returns the request's event, given the request id.

    Returns:
      The outcome for a caller, or the reply to a peer's message.
    """
    request_id = self._next_request
    self._next_request += 1
    pending = _PendingRequest()
    self._pending[request_id] = pending
    try:
      await self._apply(make_event(request_id))
      await pending.done.wait()
    finally:
      del self._pending[request_id]
    return pending.result

  def _peer_client(self, member: events.Member) -> peer.PeerClient:
    client = self._peers.get(member.peer)
    if client is None:
      client = self._peers[member.peer] = peer.PeerClient(member.peer)
    return client

  async def _send_peer_request(self, effect: events.SendPeerRequest):
    member = effect.member
    reply, dead = None, False
    try:
      boot, reply = await self._peer_client(member).send_request(
          effect.message, effect.timeout_s
      )
      if boot != member.boot:  # Another process now has the address.
        reply, dead = None, True
    except peer.PeerRefusedError:
      dead = True
    except peer.PeerLostError as exc:
      logger.warning("event=peer_lost peer={} error={}", member.name, exc)
      self._stats.incr("peer_lost")
    await self._apply(events.PeerReplyReceived(effect, reply, dead))

  async def _send_peer_notice(self, effect: events.SendPeerNotice):
    await self._peer_client(effect.member).send_notice(effect.message)

  async def _store_claim(self, effect: events.StoreClaim):
    key = effect.claim.key
    store_key = f"/jobs/{self._process.data_centre}/{key}"
    try:
      value = effect.claim.fingerprint.encode()
      await self._kv.transact(
          kvtypes.Transaction({store_key: 0}, {store_key: value})
      )
      claimed = True
    except errors.KvConflictError:
      claimed = False
    except errors.KvError:
      claimed = None
    await self._apply(events.StoreClaimed(key, claimed))

  async def _send_task(self, effect: events.SendTask):
    await self._apply(await self._endpoints.send(effect))

  async def _handle_peer_message(
      self, message: claims.Request
  ) -> claims.Reply | None:
    if isinstance(message, claims.ONE_WAY):
      await self._apply(events.PeerRequestReceived(0, message))
      return None
    return await self.submit(lambda i: events.PeerRequestReceived(i, message))
