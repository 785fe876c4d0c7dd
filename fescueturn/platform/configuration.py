"""What the operator writes in the platform's store: decoded and watched.

One watch serves the configuration and the requests to evacuate data centres:
each waiting watch counts as a call.
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
# Followed by the data centre's name; there while the request stands, whatever
# its value.
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
  """Tells what the operator has written, and each change of it, for ever.

  Args:
    client: the store.
    now: returns the time (s).
    convergence_s: how soon after a silence of the store all must be in force.
    on_config: takes each configuration.
    on_evacuations: takes all requests to evacuate data centres, once they were
      read and whenever they change.
    on_confirmed: told after each answer of the store, once all that it says is in
      force.
  """
  store_reach = storebackoff.StoreBackoff("config", now)
  watch_wait_ms = storebackoff.watch_wait_ms(convergence_s)
  evacuations: dict[str, model.Evacuation] = {}
  revision = None
  while True:
    anew = revision is None
    try:
      if anew:
        found = await client.range(PREFIX)
        # What was taken back meanwhile is not among the items.
        evacuations.clear()
      else:
        found = await client.watch(PREFIX, revision, watch_wait_ms)
      revision = found.revision
      await _tell_newest(found.items, on_config)
      changed = [_note(item, evacuations) for item in found.items]
      if anew or any(changed):
        requests = tuple(evacuations.values())
        await on_evacuations(events.EvacuationsChanged(requests))
      store_reach.record_success(revision, anew)
      on_confirmed()
    except kvtypes.HistoryGoneError:
      await store_reach.handle_history_gone(revision)
      revision = None
    except errors.KvError as exc:
      await store_reach.handle_failure(exc)


def _note(item: kvtypes.Item, evacuations: dict[str, model.Evacuation]) -> bool:
  """Takes one item; returns whether it is a request to evacuate."""
  if not item.key.startswith(EVACUATE_PREFIX):
    return False
  name = item.key.removeprefix(EVACUATE_PREFIX)
  if item.value is None:
    evacuations.pop(name, None)
  else:
    evacuations[name] = model.Evacuation(name, item.revision)
  return True


async def _tell_newest(items: tuple[kvtypes.Item, ...], on_config: OnConfig):
  """Tells the newest configuration of one answer; those before it are over."""
  for item in sorted(items, key=lambda item: -item.revision):
    if item.key != CONFIG_KEY or item.value is None:
      continue
    try:
      config = decode(item.value)
    except errors.SettingsError as exc:
      # The configuration before stays in force.
      logger.error(
          'event=config_rejected revision={} error="{}"', item.revision, exc
      )
      continue
    await on_config(config)
    return
