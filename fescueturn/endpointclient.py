"""HTTP client through which an entry host sends tasks to endpoints.

Each task is one HTTP request and response.
"""

import json
from collections.abc import Callable

from loguru import logger

from fescueturn import codes
from fescueturn import events
from fescueturn import httpio
from fescueturn import settings

TASK_PATH = "/v1/task"
TASK_TIMEOUT_MARGIN_S = 30.0
MAX_IDLE_POOLS = 1024


def _encode(effect: events.SendTask) -> bytes:
  task = effect.task
  return json.dumps(
      {
          "team": effect.team,
          "key": effect.downstream_key,
          "kind": task.kind,
          "payload": task.payload,
          "run_ms": task.run_ms,
          "idempotent": task.idempotent,
      }
  ).encode()


class EndpointClient:
  """Sends tasks over pooled keep-alive connections, one pool per endpoint."""

  def __init__(self, now: Callable[[], float], stats):
    self._now = now
    self._stats = stats
    self._pools: dict[settings.Address, httpio.Pool] = {}

  async def _pool(self, endpoint: events.EndpointInfo) -> httpio.Pool:
    pool = self._pools.pop(endpoint.address, None)
    if pool is None:
      pool = httpio.Pool(endpoint.address, limit=endpoint.slots)
    self._pools[endpoint.address] = pool
    # The dictionary is in order of last use: evict the least recently used.
    if len(self._pools) > MAX_IDLE_POOLS:
      await self._pools.pop(next(iter(self._pools))).close()
    return pool

  async def send(self, effect: events.SendTask) -> events.TaskFinished:
    """Sends one task and returns its outcome.

    A failed exchange does not raise: it gives `TASK_NOT_RUN` if the request
    was never sent, else `TASK_UNKNOWN_LOST`.
    """
    pool = await self._pool(effect.endpoint)
    sent_at = self._now()
    code, result = await self._exchange(pool, effect)
    self._stats.incr(f"task.{code.name.lower()}")
    return events.TaskFinished(
        key=effect.key,
        task_id=effect.task.task_id,
        endpoint=effect.endpoint.name,
        code=code,
        result=result,
        elapsed_ms=(self._now() - sent_at) * 1000,
    )

  async def _exchange(
      self, pool: httpio.Pool, effect: events.SendTask
  ) -> tuple[codes.Code, str]:
    headers = (
        ("idempotency-key", effect.downstream_key),
        ("content-type", "application/json"),
    )
    timeout_s = effect.task.run_ms / 1000 + TASK_TIMEOUT_MARGIN_S
    try:
      response = await pool.request(
          "POST", TASK_PATH, _encode(effect), headers, timeout_s
      )
      reply = response.json()
      return codes.Code(reply["code"]), reply.get("result", "")
    except httpio.NotSentError:
      return codes.Code.TASK_NOT_RUN, ""
    except (httpio.LostReplyError, ValueError, KeyError, TypeError) as exc:
      logger.warning(
          "event=task_reply_lost key={} endpoint={} error={!r}",
          effect.downstream_key,
          effect.endpoint.name,
          exc,
      )
      return codes.Code.TASK_UNKNOWN_LOST, ""

  async def close(self):
    """Closes every idle connection."""
    for pool in self._pools.values():
      await pool.close()
