"""The operator's configuration in the platform's store: decoded and watched."""

from collections.abc import Awaitable
from collections.abc import Callable

from loguru import logger

from fescueturn import errors
from fescueturn import kvtypes
from fescueturn.platform import reach
from fescueturn.platform import wire
from fescueturn.scheduler import model

KEY = "op/config"
# A change must be in force 2 s after it was written, also by a host whose
# watch has gone silent more than 3 s before: the watch is over by then.
WATCH_MS = 2500


def decode(value: bytes) -> model.Config:
  """Returns the configuration in an item's value.

  Raises:
    errors.SettingsError: a field is missing or malformed.
  """
  raw = wire.decode(wire.configs, value, KEY, errors.SettingsError)
  routes = tuple(_queue(route) for route in raw.routes)
  services = {service.name for service in raw.services}
  services |= {queue.service for queue in routes}
  return model.Config(
      raw.version, routes, _limits(raw.limits), frozenset(services)
  )


def _queue(raw: wire.Route) -> model.Queue:
  return model.Queue(
      name=raw.name,
      host=raw.host.lower(),
      prefix=raw.prefix,
      service=raw.service,
      attempts=max(1, raw.attempts),
      stretch=raw.stretch,
      slo_ms=raw.slo_ms,
      timeout_ms=raw.timeout_ms,
      priority=raw.priority,
      needs_advice=bool(raw.advice),
  )


def _limits(raw: wire.Limits) -> model.RequestLimits:
  told = {
      "header_bytes": raw.max_header_bytes,
      "body_bytes": raw.max_body_bytes,
      "header_ms": raw.header_timeout_ms,
      "idle_ms": raw.idle_timeout_ms,
  }
  return model.RequestLimits(
      **{name: limit for name, limit in told.items() if limit is not None}
  )


async def watch_loop(
    client: kvtypes.Store,
    on_config: Callable[[model.Config], Awaitable[None]],
):
  """Tells `on_config` of each configuration, for ever; none is told twice."""
  store_reach = reach.Reach("config")
  revision = None
  while True:
    anew = revision is None
    try:
      if anew:
        found = await client.get(KEY)
        if not found.items:
          await store_reach.pause()
          continue
      else:
        found = await client.watch(KEY, revision, WATCH_MS)
      revision = found.revision
      if found.items:
        await _tell(found.items[-1], on_config)
      store_reach.found(revision, anew)
    except kvtypes.HistoryGoneError:
      await store_reach.history_gone(revision)
      revision = None
    except errors.KvError as exc:
      await store_reach.lost(exc)


async def _tell(item: kvtypes.Item, on_config):
  if item.key != KEY or item.value is None:
    return
  try:
    config = decode(item.value)
  except errors.SettingsError as exc:
    # The configuration before stays in force.
    logger.error(
        'event=config_rejected revision={} error="{}"', item.revision, exc
    )
    return
  await on_config(config)
