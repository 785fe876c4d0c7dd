"""The operator's configuration in the platform's store: decoded and watched."""

import json
from collections.abc import Awaitable
from collections.abc import Callable

from loguru import logger

from fescueturn import errors
from fescueturn import kvtypes
from fescueturn.platform import reach
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
  try:
    raw = json.loads(value)
    return model.Config(
        int(raw["version"]),
        tuple(_queue(route) for route in raw["routes"]),
        _limits(raw.get("limits", {})),
    )
  except (KeyError, TypeError, ValueError) as exc:
    raise errors.SettingsError(f"{KEY}: {exc!r}") from exc


def _queue(raw: dict) -> model.Queue:
  # A route is a queue of jobs: `host` and `prefix` say which requests are its.
  return model.Queue(
      name=raw["name"],
      host=raw["host"].lower(),
      prefix=raw["prefix"],
      service=raw["service"],
      attempts=max(1, raw.get("attempts", 1)),
      stretch=raw.get("stretch", 1.0),
      slo_ms=raw.get("sloMs", 0),
      timeout_ms=raw.get("timeoutMs", 0),
      priority=raw.get("priority", 0),
      needs_advice=bool(raw.get("advice")),
  )


def _limits(raw: dict) -> model.RequestLimits:
  usual = model.RequestLimits()
  return model.RequestLimits(
      header_bytes=raw.get("maxHeaderBytes", usual.header_bytes),
      body_bytes=raw.get("maxBodyBytes", usual.body_bytes),
      header_ms=raw.get("headerTimeoutMs", usual.header_ms),
      idle_ms=raw.get("idleTimeoutMs", usual.idle_ms),
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
