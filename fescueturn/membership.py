"""Loops that keep an entry host's view of the platform up to date.

* `LeaseKeeper` holds this entry host's member key under a lease and renews
  it, so peers see it while it lives and stop seeing it when it dies.
* `watch_loop` reads members and team settings, then watches for changes
  from that revision on; a single waiting watch covers both prefixes.
* `hosts_loop` polls the platform's host list for this data centre's
  endpoints.

Every loop survives platform outages: it keeps the last view, backs off and
tries again. A data centre cut off from the platform goes on with what it
knew.
"""

import random

import curio
from loguru import logger

from fescueturn import errors
from fescueturn import events
from fescueturn import kvclient
from fescueturn import kvstore
from fescueturn import settings

MEMBERS_PREFIX = "/members/"
TEAMS_PREFIX = "/teams/"
TEAM_SETTINGS_LEAF = "/settings"
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 2.0
HOSTS_POLL_S = 0.5


def member_key(data_centre: str, name: str) -> str:
  """Returns the KV key that holds an entry host's membership."""
  return f"{MEMBERS_PREFIX}{data_centre}/{name}"


def team_key(team: str) -> str:
  """Returns the KV key that holds a team's settings."""
  return f"{TEAMS_PREFIX}{team}{TEAM_SETTINGS_LEAF}"


def team_of(key: str) -> str | None:
  """Returns the team whose settings `key` holds, or None."""
  if not (key.startswith(TEAMS_PREFIX) and key.endswith(TEAM_SETTINGS_LEAF)):
    return None
  team = key[len(TEAMS_PREFIX) : -len(TEAM_SETTINGS_LEAF)]
  return team if team and "/" not in team else None


class Backoff:
  """Jittered exponential back-off between failed platform calls."""

  def __init__(self, rng: random.Random):
    self._rng = rng
    self._delay = BACKOFF_MIN_S

  async def wait(self):
    """Sleeps for the next delay, with jitter, and doubles it."""
    await curio.sleep(self._delay * (0.5 + self._rng.random()))
    self._delay = min(BACKOFF_MAX_S, self._delay * 2)

  def reset(self):
    """Goes back to the shortest delay after a success."""
    self._delay = BACKOFF_MIN_S


class LeaseKeeper:
  """Keeps this entry host's member key alive under a lease."""

  def __init__(self, kv: kvclient.KvClient, key: str, value: str, ttl_s: float):
    self._kv = kv
    self._key = key
    self._value = value
    self._ttl_s = ttl_s
    self._lease = 0
    self._stopped = False

  @property
  def lease(self) -> int:
    """The lease id now held, or 0."""
    return self._lease

  async def run(self, backoff: Backoff):
    """Grants, writes and renews until `withdraw`; never raises KvError."""
    while not self._stopped:
      try:
        if not self._lease or not await self._kv.keep_alive(self._lease):
          await self._join()
        backoff.reset()
        await curio.sleep(self._ttl_s / 3)
      except errors.KvError as exc:
        logger.warning(
            "event=lease_renew_failed key={} error={!r}", self._key, exc
        )
        await backoff.wait()

  async def _join(self):
    self._lease = await self._kv.grant(self._ttl_s)
    await self._kv.put(self._key, self._value, lease=self._lease)
    logger.info("event=member_joined key={} lease={}", self._key, self._lease)

  async def withdraw(self):
    """Stops renewing and revokes the lease, so peers route elsewhere."""
    self._stopped = True
    if self._lease:
      try:
        await self._kv.revoke(self._lease)
      except errors.KvError as exc:
        logger.warning("event=lease_revoke_failed error={!r}", exc)


def _member(item: kvstore.Item) -> events.Member:
  name = item.key.rsplit("/", 1)[-1]
  return events.Member(name, settings.parse_address(item.value))


def _team_event(
    key: str, value: str | None, revision: int
) -> events.TeamChanged | None:
  team = team_of(key)
  if team is None:
    return None
  if value is None:
    return events.TeamChanged(team, revision, None)
  try:
    parsed = settings.loads_team(value, source=key)
  except errors.SettingsError as exc:
    logger.error(
        "event=team_settings_refused team={} revision={} error={}",
        team,
        revision,
        exc,
    )
    return None
  return events.TeamChanged(team, revision, parsed)


async def _read_all(kv, data_centre: str, apply) -> int:
  """Reads members and teams whole; returns the revision to watch after."""
  prefix = f"{MEMBERS_PREFIX}{data_centre}/"
  revision, items = await kv.prefix(prefix)
  await apply(events.MembersChanged(tuple(_member(i) for i in items)))
  _, teams = await kv.prefix(TEAMS_PREFIX)
  for item in teams:
    event = _team_event(item.key, item.value, item.revision)
    if event is not None:
      await apply(event)
  return revision


async def watch_loop(
    kv: kvclient.KvClient, data_centre: str, apply, backoff: Backoff
):
  """Feeds `MembersChanged` and `TeamChanged` events to `apply` forever."""
  members_prefix = f"{MEMBERS_PREFIX}{data_centre}/"
  revision = None
  while True:
    try:
      if revision is None:
        revision = await _read_all(kv, data_centre, apply)
      revision, changes = await kv.watch("/", revision)
      backoff.reset()
    except errors.KvError as exc:
      logger.warning("event=watch_failed error={!r}", exc)
      revision = None
      await backoff.wait()
      continue
    if any(c.key.startswith(members_prefix) for c in changes):
      try:
        _, items = await kv.prefix(members_prefix)
        await apply(events.MembersChanged(tuple(_member(i) for i in items)))
      except errors.KvError:
        revision = None
    for change in changes:
      event = _team_event(change.key, change.value, change.revision)
      if event is not None:
        await apply(event)


def _endpoint(record: kvstore.HostRecord) -> events.EndpointInfo:
  return events.EndpointInfo(
      name=record.name,
      address=settings.parse_address(record.address),
      services=record.services,
      slots=record.slots,
      leaving=record.leaving,
  )


async def hosts_loop(
    kv: kvclient.KvClient, data_centre: str, apply, backoff: Backoff
):
  """Polls the host list; feeds `EndpointsChanged` when the view changes."""
  last = None
  while True:
    try:
      hosts = await kv.hosts()
      backoff.reset()
    except errors.KvError as exc:
      logger.warning("event=hosts_poll_failed error={!r}", exc)
      await backoff.wait()
      continue
    mine = tuple(
        _endpoint(h)
        for h in hosts
        if h.role == "endpoint" and h.data_centre == data_centre
    )
    if mine != last:
      await apply(events.EndpointsChanged(mine))
      last = mine
    await curio.sleep(HOSTS_POLL_S)
