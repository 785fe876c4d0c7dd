"""Decodes and watches the operator's configuration in the platform's store.

One watch serves both the configuration and the requests to evacuate data
centres, because each waiting watch counts as a call.
"""

from collections.abc import Awaitable
from collections.abc import Callable

from loguru import logger

from fescueturn import errors
from fescueturn import kvtypes
from fescueturn.platform import storebackoff
from fescueturn.platform import wire
from fescueturn.scheduler import events
from fescueturn.scheduler import model

PREFIX = "op/"
CONFIG_KEY = PREFIX + "config"
# Followed by the data centre's name. The request stands while the key exists,
# whatever its value.
EVACUATE_PREFIX = PREFIX + "evacuate/"


def decode(value: bytes) -> model.Config:
  """Returns the configuration in an item's value.

  Raises:
    errors.SettingsError: a field is missing or malformed.
  """
  raw = wire.decode(wire.configs, value, CONFIG_KEY, errors.SettingsError)
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
      priority=min(max(raw.priority, 0), model.LEAST_URGENT),
      needs_advice=bool(raw.advice),
  )


def _limits(raw: wire.Limits) -> model.RequestLimits:
  configured = {
      "header_bytes": raw.max_header_bytes,
      "body_bytes": raw.max_body_bytes,
      "header_ms": raw.header_timeout_ms,
      "idle_ms": raw.idle_timeout_ms,
  }
  return model.RequestLimits(
      **{name: limit for name, limit in configured.items() if limit is not None}
  )


OnConfig = Callable[[model.Config], Awaitable[None]]
OnEvacuations = Callable[[events.EvacuationsChanged], Awaitable[None]]
OnConfirmed = Callable[[], None]


async def watch_loop(
    client: kvtypes.Store,
    now: Callable[[], float],
    convergence_s: float,
    on_config: OnConfig,
    on_evacuations: OnEvacuations,
    on_confirmed: OnConfirmed,
):
  """Watches the operator's configuration forever and reports every change.

  Args:
    client: the store.
    now: returns the time (s).
    convergence_s: how soon after an outage of the store its configuration must
      be in force.
    on_config: called with each configuration.
    on_evacuations: called with all requests to evacuate data centres, after
      they are first read and whenever they change.
    on_confirmed: called after each answer of the store, once its content is in
      force.
  """
  backoff = storebackoff.StoreBackoff("config", now)
  watch_wait_ms = storebackoff.watch_wait_ms(convergence_s)
  evacuations: dict[str, model.Evacuation] = {}
  revision = None
  while True:
    full_read = revision is None
    try:
      if full_read:
        answer = await client.range(PREFIX)
        # Requests that were withdrawn meanwhile are not among the items.
        evacuations.clear()
      else:
        answer = await client.watch(PREFIX, revision, watch_wait_ms)
      revision = answer.revision
      await _report_newest_config(answer.items, on_config)
      changed = [
          _update_evacuations(item, evacuations) for item in answer.items
      ]
      if full_read or any(changed):
        requests = tuple(evacuations.values())
        await on_evacuations(events.EvacuationsChanged(requests))
      backoff.record_success(revision, full_read)
      on_confirmed()
    except kvtypes.HistoryGoneError:
      await backoff.handle_history_gone(revision)
      revision = None
    except errors.KvError as exc:
      await backoff.handle_failure(exc)


def _update_evacuations(
    item: kvtypes.Item, evacuations: dict[str, model.Evacuation]
) -> bool:
  """Updates `evacuations` from an item.

  Returns:
    True if the item is a request to evacuate a data centre.
  """
  if not item.key.startswith(EVACUATE_PREFIX):
    return False
  name = item.key.removeprefix(EVACUATE_PREFIX)
  if item.value is None:
    evacuations.pop(name, None)
  else:
    evacuations[name] = model.Evacuation(name, item.revision)
  return True


async def _report_newest_config(
    items: tuple[kvtypes.Item, ...], on_config: OnConfig
):
  """Reports the newest readable configuration of one answer, and no other."""
  for item in sorted(items, key=lambda item: -item.revision):
    if item.key != CONFIG_KEY or item.value is None:
      continue
    try:
      config = decode(item.value)
    except errors.SettingsError as exc:
      # The previous configuration stays in force.
      logger.error(
          'event=config_rejected revision={} error="{}"', item.revision, exc
      )
      continue
    await on_config(config)
    return
