"""The entry host daemon: HTTP for callers, pycapnp for peers, effects out.

This is the I/O shell around `fescueturn.reducer`: it turns requests, peer
messages, endpoint replies, platform watches and timer ticks into events,
feeds them to the reducer one at a time, and carries out the effects.

Caller paths: ``POST /v1/jobs`` (a job; header ``Idempotency-Key``),
``GET /dump`` (the state), ``GET /health``.
"""

import json
import random

import curio
from loguru import logger

from fescueturn import codes
from fescueturn import errors
from fescueturn import events
from fescueturn import httpio
from fescueturn import kvclient
from fescueturn import membership
from fescueturn import messages
from fescueturn import metrics
from fescueturn import peer
from fescueturn import reducer
from fescueturn import settings
from fescueturn import timer

FORWARD_MARGIN_S = 5.0
TASK_TIMEOUT_MARGIN_S = 30.0
DRAIN_LIMIT_S = 60.0

_STATUS = {
    codes.Code.BAD_JSON: 400,
    codes.Code.BAD_FIELD: 400,
    codes.Code.UNKNOWN_TEAM: 404,
    codes.Code.JOB_TOO_LARGE: 413,
    codes.Code.KEY_REUSED: 409,
    codes.Code.OVER_QUOTA: 429,
    codes.Code.DRAINING: 503,
    codes.Code.NO_OWNER: 503,
}


class _Waiter:
  """A caller waiting for its job's outcome."""

  def __init__(self):
    self.done = curio.Event()
    self.outcome: peer.Outcome | None = None


def _http_outcome(outcome: peer.Outcome) -> httpio.Response:
  if outcome.answer is not None:
    headers = ()
    if outcome.answer.retry_after_s:
      headers = (("retry-after", str(outcome.answer.retry_after_s)),)
    return httpio.json_response(
        200, messages.answer_to_json(outcome.answer), headers
    )
  error = outcome.error
  headers = ()
  if outcome.retry_after_s:
    headers = (("retry-after", str(outcome.retry_after_s)),)
  status = _STATUS.get(error.code, 400)
  return httpio.json_response(status, messages.error_to_json(error), headers)


class EntryHost:
  """One entry host: `start` joins and serves, `drain` stops gracefully."""

  def __init__(
      self,
      process: settings.ProcessSettings,
      config: settings.EntrySettings,
      clock: timer.TimerService,
  ):
    self._process = process
    self._config = config
    self._timer = clock
    self._state = reducer.EntryState(
        process.name, config.retry_after_s, config.answer_keep_s
    )
    self._stats = metrics.client(process, "entry")
    self._kv = kvclient.KvClient(config.platform)
    self._rng = random.Random(process.name)
    self._server = httpio.Server(
        config.listen, self._handle, config.max_body_bytes
    )
    self._peers_server = peer.PeerServer(config.peer_listen, self._from_peer)
    self._lease = membership.LeaseKeeper(
        self._kv,
        membership.member_key(process.data_centre, process.name),
        str(config.peer_listen),
        config.lease_ttl_s,
    )
    self._waiters: dict[int, _Waiter] = {}
    self._pools: dict[str, httpio.Pool] = {}
    self._peers: dict[str, peer.PeerClient] = {}
    self._loops = []
    self._next_request = 1
    self._drained = curio.Event()

  @property
  def state(self) -> reducer.EntryState:
    """The reducer's state (read it; never change it from outside)."""
    return self._state

  async def start(self):
    """Joins the platform, starts the loops and serves callers and peers."""
    self._state.now = self._timer.now()
    self._timer.subscribe(self._tick)
    dc = self._process.data_centre
    self._loops = [
        await curio.spawn(
            self._lease.run, membership.Backoff(self._rng), daemon=True
        ),
        await curio.spawn(
            membership.watch_loop,
            self._kv,
            dc,
            self._apply,
            membership.Backoff(self._rng),
            daemon=True,
        ),
        await curio.spawn(
            membership.hosts_loop,
            self._kv,
            dc,
            self._apply,
            membership.Backoff(self._rng),
            daemon=True,
        ),
    ]
    await self._peers_server.start()
    await self._server.start()
    logger.info(
        "event=entry_started name={} listen={} peer={}",
        self._process.name,
        self._config.listen,
        self._config.peer_listen,
    )

  async def drain(self, limit_s: float = DRAIN_LIMIT_S):
    """A planned stop: leave membership, refuse new keys, finish in flight."""
    logger.info("event=drain_started name={}", self._process.name)
    await self._lease.withdraw()
    await self._apply(events.DrainStarted())
    await curio.ignore_after(limit_s, self._drained.wait)
    while self._server.open_connections and self._waiters:
      await curio.sleep(0.05)
    logger.info(
        "event=drained name={} counters={}",
        self._process.name,
        json.dumps(dict(self._state.counters)),
    )

  async def close(self):
    """Stops every loop and closes every connection."""
    await self._server.close()
    await self._peers_server.close()
    for task in self._loops:
      await task.cancel()
    for pool in self._pools.values():
      await pool.close()
    for client in self._peers.values():
      await client.close()
    await self._kv.close()

  def dump(self) -> dict:
    """Returns the whole state as JSON-ready data."""
    shell = {
        "waiting_callers": len(self._waiters),
        "open_connections": self._server.open_connections,
        "lease": self._lease.lease,
    }
    return {"role": "entry", "state": self._state.snapshot(), "shell": shell}

  def _health(self) -> dict:
    state = self._state
    return {
        "ok": not state.draining,
        "draining": state.draining,
        "members": len(state.members),
        "endpoints": sum(1 for e in state.endpoints.values() if not e.leaving),
        "teams": sum(1 for t in state.teams.values() if t.team_settings),
    }

  async def _tick(self, now: float):
    await self._apply(events.Tick(now))

  async def _apply(self, event: events.Event):
    """Runs one event through the reducer and carries out its effects."""
    for effect in reducer.reduce(self._state, event):
      await self._carry_out(effect)

  async def _carry_out(self, effect: events.Effect):
    if isinstance(effect, events.SendTask):
      await curio.spawn(self._send_task, effect, daemon=True)
    elif isinstance(effect, events.Reply):
      await self._settle(effect.request_id, peer.Outcome(answer=effect.answer))
    elif isinstance(effect, events.Refuse):
      outcome = peer.Outcome(
          error=effect.error, retry_after_s=effect.retry_after_s
      )
      await self._settle(effect.request_id, outcome)
    elif isinstance(effect, events.Forward):
      await curio.spawn(self._forward, effect, daemon=True)
    elif isinstance(effect, events.Drained):
      await self._drained.set()

  async def _settle(self, request_id: int, outcome: peer.Outcome):
    waiter = self._waiters.get(request_id)
    if waiter is not None:
      waiter.outcome = outcome
      await waiter.done.set()

  async def _submit(self, job: messages.Job, forwarded: bool) -> peer.Outcome:
    """Runs a job through the reducer and waits for its outcome."""
    request_id = self._next_request
    self._next_request += 1
    waiter = _Waiter()
    self._waiters[request_id] = waiter
    try:
      await self._apply(events.JobArrived(request_id, job, forwarded))
      await waiter.done.wait()
    finally:
      del self._waiters[request_id]
    return waiter.outcome

  async def _forward(self, effect: events.Forward):
    client = self._peers.get(effect.owner.name)
    if client is None:
      client = peer.PeerClient(effect.owner.peer)
      self._peers[effect.owner.name] = client
    timeout_s = self._deadline_s(effect.job) + FORWARD_MARGIN_S
    try:
      outcome = await client.forward(effect.job, timeout_s)
    except errors.FescueError as exc:
      logger.warning(
          "event=forward_failed key={} owner={} error={}",
          effect.job.key,
          effect.owner.name,
          exc,
      )
      self._stats.incr("forward_failed")
      outcome = peer.Outcome(
          error=exc, retry_after_s=self._config.retry_after_s
      )
    await self._settle(effect.request_id, outcome)

  def _deadline_s(self, job: messages.Job) -> float:
    if job.deadline_ms:
      return job.deadline_ms / 1000
    team = self._state.teams.get(job.team)
    if team is None or team.team_settings is None:
      return 0.0
    return team.team_settings.deadline_ms / 1000

  async def _send_task(self, effect: events.SendTask):
    endpoint = effect.endpoint
    pool = self._pools.get(endpoint.name)
    if pool is None:
      pool = httpio.Pool(endpoint.address, limit=endpoint.slots)
      self._pools[endpoint.name] = pool
    task = effect.task
    body = json.dumps(
        {
            "team": effect.team,
            "key": effect.downstream_key,
            "kind": task.kind,
            "payload": task.payload,
            "run_ms": task.run_ms,
            "idempotent": task.idempotent,
        }
    ).encode()
    headers = (
        ("idempotency-key", effect.downstream_key),
        ("content-type", "application/json"),
    )
    timeout_s = task.run_ms / 1000 + TASK_TIMEOUT_MARGIN_S
    code, result = codes.Code.TASK_UNKNOWN_LOST, ""
    try:
      response = await pool.request(
          "POST", "/v1/task", body, headers, timeout_s
      )
      reply = response.json()
      code, result = codes.Code(reply["code"]), reply.get("result", "")
    except httpio.NotSentError:
      code = codes.Code.TASK_NOT_RUN
    except httpio.LostReplyError as exc:
      logger.warning(
          "event=task_reply_lost key={} endpoint={} error={}",
          effect.downstream_key,
          endpoint.name,
          exc,
      )
    except (ValueError, KeyError) as exc:
      logger.error(
          "event=task_reply_bad key={} endpoint={} error={!r}",
          effect.downstream_key,
          endpoint.name,
          exc,
      )
    self._stats.incr(f"task.{code.name.lower()}")
    await self._apply(
        events.TaskFinished(
            effect.key, task.task_id, endpoint.name, code, result
        )
    )

  async def _from_peer(self, job: messages.Job) -> peer.Outcome:
    return await self._submit(job, forwarded=True)

  async def _handle(self, request: httpio.Request) -> httpio.Response:
    route = (request.method, request.target)
    if route == ("POST", "/v1/jobs"):
      return await self._job(request)
    if route == ("GET", "/dump"):
      return httpio.json_response(200, self.dump())
    if route == ("GET", "/health"):
      return httpio.json_response(200, self._health())
    return httpio.json_response(
        404, {"code": int(codes.Code.NOT_FOUND), "error": "NOT_FOUND"}
    )

  async def _job(self, request: httpio.Request) -> httpio.Response:
    started = self._timer.now()
    try:
      job = messages.parse_job(
          request.body, request.headers.get("idempotency-key", "")
      )
    except errors.BadRequestError as exc:
      self._stats.incr("refused.bad_input")
      return _http_outcome(peer.Outcome(error=exc))
    outcome = await self._submit(job, forwarded=False)
    elapsed_ms = (self._timer.now() - started) * 1000
    self._stats.timing("job_ms", elapsed_ms)
    code = outcome.answer.code if outcome.answer else outcome.error.code
    logger.info(
        "event=job_answered key={} team={} code={} ms={:.1f}",
        job.key,
        job.team,
        int(code),
        elapsed_ms,
    )
    return _http_outcome(outcome)
