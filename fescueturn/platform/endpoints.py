"""Endpoints of the platform: their entries in the store, and calls to them."""

import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable

import curio
import msgspec
from loguru import logger

from fescueturn import errors
from fescueturn import httpio
from fescueturn import kvtypes
from fescueturn import listener
from fescueturn.platform import storebackoff
from fescueturn.platform import wire
from fescueturn.scheduler import events
from fescueturn.scheduler import hostmetrics
from fescueturn.scheduler import model
from fescueturn.scheduler import timeouts

PREFIX = "servers/"
# An endpoint must get no new task from 2 s after it announces that it is
# draining. A read that times out (1 s) and its retry still fit into this time.
POLL_PERIOD_S = 0.7
# The shortest pause between two reads of a slow store.
MIN_PAUSE_S = 0.1
# Entries that expired during an outage of the store are written again within 2
# s of its end. Until then an unlisted endpoint is kept; if it is dead, its
# missing answers reveal it.
MISSING_GRACE_S = 2.2
CONNECT_TIMEOUT_S = 0.25
# Connections to one endpoint: one for the lease call, the others for orders.
MAX_CONNECTIONS = 6
# A lease call that acknowledges ended runs isn't sent later than this: another
# incarnation might get it. No endpoint restarts and ends a run in this time.
MAX_ACK_DELAY_S = 0.1

_RESULT_BY_REASON = {
    "fence": model.CallResult.FENCED,
    "old": model.CallResult.OLD_ATTEMPT,
    "late": model.CallResult.LATE,
    "room": model.CallResult.NO_ROOM,
}
_RESULT_BY_STATUS = {
    200: model.CallResult.OK,
    421: model.CallResult.GONE,
    429: model.CallResult.BUSY,
    503: model.CallResult.BUSY,
    400: model.CallResult.REJECTED,
}
_OUTCOME_BY_HOW = {
    "done": model.RunOutcome.DONE,
    "failed": model.RunOutcome.FAILED,
}


def decode_entry(item: kvtypes.Item) -> model.Endpoint:
  """Returns the endpoint that a store item describes.

  Raises:
    errors.SettingsError: the value can't be decoded, or a field is missing, of
      another type or out of bounds.
  """
  raw = wire.decode(wire.entries, item.value, item.key, errors.SettingsError)
  try:
    address = wire.parse_endpoint_address(raw.address)
  except ValueError as exc:
    raise errors.SettingsError(f"{item.key}: address: {exc}") from exc
  capacity = raw.capacity
  draining = raw.state != "ready"
  leaves = draining and raw.remaining_ms is not None
  return model.Endpoint(
      id=item.key.removeprefix(PREFIX),
      address=address,
      service=raw.service,
      data_centre=raw.zone,
      slots=raw.slots,
      draining=draining,
      capacity=model.Resources(capacity.cpu, capacity.mem_mb, capacity.gpu),
      labels=raw.labels,
      born_ms=raw.born,
      stays_ms=int(raw.remaining_ms) if leaves else None,
      cold_ms=raw.cold_remaining_ms,
      clock_ms=raw.clock_ms,
  )


def _identity_changed(
    previous: model.Endpoint, current: model.Endpoint
) -> bool:
  """Returns whether the entry differs in a field that can't change.

  A later incarnation under the same id may differ in all of them.
  """
  if current.born_ms > previous.born_ms:
    return False
  return (previous.address, previous.service, previous.data_centre) != (
      current.address,
      current.service,
      current.data_centre,
  )


class EntryReader:
  """Reads endpoints' entries, and logs once why an entry is rejected.

  Entries may come from other writers. A rejected entry yields no endpoint,
  unless it yielded one before: then that endpoint is draining, so that it gets
  no new tasks while its runs still count against its capacity.
  """

  def __init__(
      self, is_configured: Callable[[str], bool] = lambda service: True
  ):
    # Tells whether the operator's configuration names a service.
    self._is_configured = is_configured
    self._rejected: dict[str, str] = {}

  def read(
      self, item: kvtypes.Item, previous: model.Endpoint | None
  ) -> model.Endpoint | None:
    """Returns the endpoint that an entry describes, or None if it is rejected.

    Args:
      item: the entry.
      previous: the endpoint that the entry described until now, if any.
    """
    try:
      endpoint = decode_entry(item)
      if previous is not None and _identity_changed(previous, endpoint):
        raise errors.SettingsError(
            f"{item.key}: address, service or zone changed; the address was"
            f" {previous.address}"
        )
      if previous is None and not self._is_configured(endpoint.service):
        raise errors.SettingsError(
            f"{item.key}: service not in the configuration: {endpoint.service}"
        )
    except errors.SettingsError as exc:
      self._reject(item.key, str(exc), known=previous is not None)
      return previous and dataclasses.replace(previous, draining=True)
    self._rejected.pop(item.key, None)
    return endpoint

  def _reject(self, key: str, why: str, known: bool):
    if self._rejected.get(key) != why:
      self._rejected[key] = why
      logger.error('event=endpoint_rejected known={} error="{}"', known, why)

  def retain(self, keys: set[str]):
    """Drops the errors of entries whose keys are not among these."""
    self._rejected = {k: w for k, w in self._rejected.items() if k in keys}


class EndpointList:
  """The endpoints in the store's list.

  An endpoint that disappears from the list is kept for `MISSING_GRACE_S`.
  """

  def __init__(self, reader: EntryReader | None = None):
    self._reader = reader or EntryReader()
    self._listed: dict[str, model.Endpoint] = {}
    self._missing: dict[str, float] = {}

  def update(
      self, items: tuple[kvtypes.Item, ...], now: float
  ) -> tuple[model.Endpoint, ...]:
    """Updates the list from the store's items and returns the endpoints."""
    current = {}
    names = set()
    for item in items:
      name = item.key.removeprefix(PREFIX)
      names.add(name)
      endpoint = self._reader.read(item, self._listed.get(name))
      if endpoint is not None:
        current[name] = endpoint
    for name, endpoint in self._listed.items():
      if name not in names and self._within_grace_period(name, now):
        current[name] = endpoint
    self._missing = {
        n: at for n, at in self._missing.items() if n in self._listed
    }
    for name in names:
      self._missing.pop(name, None)
    self._reader.retain({item.key for item in items})
    self._listed = current
    return tuple(current.values())

  def _within_grace_period(self, name: str, now: float) -> bool:
    since = self._missing.setdefault(name, now)
    return now - since < MISSING_GRACE_S


async def _read_nothing():
  pass


class EndpointPoller:
  """Reads the list of endpoints periodically while this host owns a shard.

  The claims are read along with it, as their watch may be silent while the list
  is answered.
  """

  def __init__(
      self,
      client: kvtypes.Store,
      now: Callable[[], float],
      on_list: Callable[[events.EndpointsListed], Awaitable[None]],
      is_configured: Callable[[str], bool] = lambda service: True,
      read_claims: Callable[[], Awaitable[None]] = _read_nothing,
  ):
    self._client = client
    self._now = now
    self._read_claims = read_claims
    self._on_list = on_list
    self._owning = curio.Event()
    self._list = EndpointList(EntryReader(is_configured))
    self._task = None

  async def start(self):
    """Starts polling."""
    self._task = await curio.spawn(self._run, daemon=True)

  async def set_owning(self, owns_shard: bool):
    """Sets whether this host owns a shard, and so polls the list."""
    if owns_shard:
      await self._owning.set()
    else:
      self._owning.clear()

  async def _run(self):
    backoff = storebackoff.StoreBackoff("endpoints", self._now)
    while True:
      await self._owning.wait()
      asked_at = self._now()
      try:
        changes, shows_claims = await self._read()
      except errors.KvError as exc:
        await backoff.handle_failure(exc)
        continue
      backoff.record_success(changes.revision)
      answered_at = self._now()
      listed = self._list.update(changes.items, answered_at)
      took_s = answered_at - asked_at
      event = events.EndpointsListed(listed, took_s, shows_claims)
      await self._on_list(event)
      await curio.sleep(max(MIN_PAUSE_S, POLL_PERIOD_S - took_s))

  async def _read(self) -> tuple[kvtypes.Changes, bool]:
    """Reads the list, and the claims at the same time: the store may be slow.

    Returns:
      The list, and whether the claims were read or didn't have to be.
    """
    claims_task = await curio.spawn(self._try_to_read_claims, daemon=True)
    try:
      changes = await self._client.range(PREFIX)
    finally:
      are_claims_read = await claims_task.join()
    return changes, are_claims_read

  async def _try_to_read_claims(self) -> bool:
    try:
      await self._read_claims()
    except errors.KvError as exc:
      logger.info('event=claims_unread error="{}"', exc)
      return False
    return True

  async def close(self):
    """Stops polling."""
    if self._task is not None:
      await self._task.cancel()


def format_task_name(task: model.Task) -> str:
  """Returns the platform's name of a task: its job, occurrence, step, index.

  The occurrence follows a dot in the job's id; it is 0 if the id has none.
  """
  job = task.job_id if "." in task.job_id else f"{task.job_id}.0"
  return f"{job}.{task.step}.{task.index}"


def parse_task_name(name: str) -> model.Task:
  """Returns the task that the platform's name stands for."""
  job, step, index = name.rsplit(".", 2)
  return model.Task(job.removesuffix(".0"), int(step), int(index))


def _decode_active_run(row: wire.RunningRow) -> model.ActiveRun:
  run = model.RunId(parse_task_name(row.task), row.attempt)
  return model.ActiveRun(run, int(row.percent))


def _decode_ended_run(row: wire.FinishedRow) -> model.EndedRun:
  run = model.RunId(parse_task_name(row.task), row.attempt)
  return model.EndedRun(
      row.number, run, _OUTCOME_BY_HOW.get(row.how, model.RunOutcome.LOST)
  )


def _decode_reply(
    endpoint: model.Endpoint, response: httpio.Response
) -> wire.OrderReply:
  """Returns the decoded body of an endpoint's answer.

  Raises:
    httpio.LostReplyError: the body is malformed; it counts as no answer.
  """
  if not response.body:
    return wire.OrderReply()
  try:
    return wire.decode(
        wire.order_replies, response.body, endpoint.id, httpio.LostReplyError
    )
  except httpio.LostReplyError as exc:
    logger.error(
        'event=reply_malformed endpoint={} error="{}"', endpoint.id, exc
    )
    raise


@dataclasses.dataclass(frozen=True)
class _Reply:
  """The result of a call and the decoded body of its answer, if any."""

  result: model.CallResult
  body: wire.OrderReply = wire.OrderReply()

  @property
  def clock_ms(self) -> int | None:
    return self.body.clock_ms


def _decode_run_lists(
    reply: _Reply,
) -> tuple[tuple[model.ActiveRun, ...], tuple[model.EndedRun, ...]]:
  """Returns the active and the ended runs that a lease call's answer lists.

  Raises:
    ValueError: the answer has no clock, and so no lists either; or a run's name
      is malformed.
  """
  if reply.result is model.CallResult.OK and reply.clock_ms is None:
    raise ValueError("the answer to a lease call has no clock")
  running = tuple(_decode_active_run(row) for row in reply.body.running)
  ended = tuple(_decode_ended_run(row) for row in reply.body.finished)
  return running, ended


class EndpointCalls:
  """Client for calls to endpoints over kept-alive connections."""

  def __init__(
      self,
      now: Callable[[], float],
      observe: hostmetrics.CallObserver | None = None,
  ):
    self._now = now
    self._observe = observe or (lambda *_: None)
    # By endpoint id, with the address that it is for.
    self._pools: dict[str, httpio.Pool] = {}
    self._replaced_pools: list[httpio.Pool] = []
    # One for all endpoints, because answer times vary mostly with how late this
    # host reads the answers.
    self._answer_timeout = timeouts.AnswerTimeout()

  async def _call(
      self,
      endpoint: model.Endpoint,
      path: str,
      body: dict,
      timeout_s: float,
      may_send: Callable[[], bool] = lambda: True,
  ) -> _Reply:
    began = self._now()
    reply = await self._exchange(endpoint, path, body, timeout_s, may_send)
    name = "endpoint_" + path.rpartition("/")[2]
    self._observe(name, reply.result.value, self._now() - began)
    return reply

  async def _exchange(
      self,
      endpoint: model.Endpoint,
      path: str,
      body: dict,
      timeout_s: float,
      may_send: Callable[[], bool],
  ) -> _Reply:
    headers = (
        ("content-type", "application/json"),
        # The endpoint refuses the call if it has been replaced by a new
        # instance.
        ("expect-instance", endpoint.id),
    )
    try:
      response = await self._pool(endpoint).request(
          "POST",
          path,
          msgspec.json.encode(body),
          headers,
          timeout_s,
          may_send,
      )
      reply = _decode_reply(endpoint, response)
    except httpio.NotSentError:
      return _Reply(model.CallResult.NOT_SENT)
    except (httpio.ExpiredError, httpio.LostReplyError) as exc:
      logger.debug("event=call_lost endpoint={} error={!r}", endpoint.id, exc)
      return _Reply(model.CallResult.NO_ANSWER)
    if response.status == 409:
      result = _RESULT_BY_REASON.get(reply.reason, model.CallResult.REJECTED)
      return _Reply(result, reply)
    result = _RESULT_BY_STATUS.get(response.status, model.CallResult.NO_ANSWER)
    return _Reply(result, reply)

  async def _call_with_adaptive_timeout(
      self,
      endpoint: model.Endpoint,
      path: str,
      body: dict,
      may_send: Callable[[], bool] = lambda: True,
  ) -> _Reply:
    """Makes a call that the endpoint answers without waiting.

    Its time-out adapts to the times that earlier answers took.
    """
    began = self._now()
    reply = await self._call(
        endpoint, path, body, self._answer_timeout.call_timeout_s, may_send
    )
    if reply.result is model.CallResult.NO_ANSWER:
      self._answer_timeout.record_miss()
    elif reply.result is not model.CallResult.NOT_SENT:
      self._answer_timeout.record_answer(self._now() - began)
    return reply

  def _pool(self, endpoint: model.Endpoint) -> httpio.Pool:
    pool = self._pools.get(endpoint.id)
    if pool is not None and pool.address != endpoint.address:
      # Another incarnation under the same id, at another address.
      self._replaced_pools.append(pool)
      pool = None
    if pool is None:
      pool = self._pools[endpoint.id] = httpio.Pool(
          endpoint.address,
          limit=MAX_CONNECTIONS,
          connect_s=CONNECT_TIMEOUT_S,
          prepare=listener.enable_dead_peer_detection,
      )
    return pool

  async def _find_restart(self, order: events.StartRun) -> _Reply | None:
    """Asks an endpoint that has closed connections whether it was restarted.

    By the clock of another incarnation than the one that a start request is
    meant for, the request may be in time at any later time.

    Returns:
      Why the request may not be sent; None if it may.
    """
    if not (order.born_ms and self._pool(order.endpoint).was_closed):
      return None
    body = {"fencingToken": order.fence, "lastSeen": 0}
    reply = await self._call_with_adaptive_timeout(
        order.endpoint, "/-/hold", body
    )
    is_same = reply.body.born in (0, order.born_ms)
    if reply.result is model.CallResult.OK and is_same:
      return None
    if reply.result in (model.CallResult.OK, model.CallResult.NO_ANSWER):
      return _Reply(model.CallResult.NOT_SENT, reply.body)
    return reply

  async def start(self, order: events.StartRun) -> events.StartAnswered:
    """Orders an endpoint to start a run."""
    body = {
        "task": format_task_name(order.run.task),
        "attempt": order.run.attempt,
        "spec": order.spec,
        "deadlineMs": order.deadline_ms,
        "fencingToken": order.fence,
    }
    reply = await self._find_restart(order)
    if reply is None:
      reply = await self._call_with_adaptive_timeout(
          order.endpoint, "/-/run-start", body
      )
    return events.StartAnswered(
        order.endpoint.id,
        order.run,
        reply.result,
        reply.clock_ms,
        order.fence,
        reply.body.born,
    )

  async def stop(self, order: events.StopRun) -> events.StopAnswered:
    """Orders an endpoint to stop a run."""
    body = {
        "task": format_task_name(order.run.task),
        "attempt": order.run.attempt,
        "fencingToken": order.fence,
    }
    reply = await self._call_with_adaptive_timeout(
        order.endpoint, "/-/run-stop", body
    )
    return events.StopAnswered(
        order.endpoint.id,
        order.run,
        reply.result,
        reply.clock_ms,
        order.fence,
        reply.body.born,
    )

  async def renew(self, order: events.RenewLease) -> events.LeaseAnswered:
    """Renews an endpoint's lease and reads its running and ended runs."""

    def may_send():
      is_late = self._now() - order.at > MAX_ACK_DELAY_S
      may_be_restarted = is_late or self._pool(order.endpoint).was_closed
      return not (order.last_seen and may_be_restarted)

    body = {"fencingToken": order.fence, "lastSeen": order.last_seen}
    if order.deadline_ms is not None:
      body["deadlineMs"] = order.deadline_ms
    if order.wait_ms:
      body["waitMs"] = order.wait_ms
      timeout_s = order.wait_ms / 1000 + self._answer_timeout.call_timeout_s
      reply = await self._call(
          order.endpoint, "/-/hold", body, timeout_s, may_send
      )
    else:
      reply = await self._call_with_adaptive_timeout(
          order.endpoint, "/-/hold", body, may_send
      )
    result, running, ended = reply.result, (), ()
    try:
      running, ended = _decode_run_lists(reply)
    except ValueError as exc:
      name = order.endpoint.id
      logger.error('event=reply_malformed endpoint={} error="{}"', name, exc)
      result = model.CallResult.NO_ANSWER
    return events.LeaseAnswered(
        order.endpoint.id,
        order.number,
        result,
        reply.clock_ms,
        running,
        ended,
        order.fence,
        reply.body.born,
    )

  async def close_unlisted(self, listed: tuple[model.Endpoint, ...]):
    """Closes connections to endpoints that are no longer listed."""
    replaced, self._replaced_pools = self._replaced_pools, []
    for pool in replaced:
      await pool.close()
    names = {endpoint.id for endpoint in listed}
    for name in [n for n in self._pools if n not in names]:
      await self._pools.pop(name).close()

  async def close(self):
    """Closes every idle connection."""
    for pool in (*self._pools.values(), *self._replaced_pools):
      await pool.close()
