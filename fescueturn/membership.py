"""Loops that keep an entry host's view of the platform up to date.

* `LeaseKeeper` writes this entry host's member key under a lease and renews the
  lease. When the process dies the lease expires, and peers see it leave.
* `members_loop` watches the data centre's member keys and applies each change
  in the platform's order.
* `teams_loop` watches the team settings; a series of changes costs one call
  every `pause_s`.
* `hosts_loop` polls the platform's host list for this data centre's endpoints.

All loops survive outages of the platform: they keep the last view and retry
with backoff. A data centre that is partitioned from the platform continues with
its last view.
"""

import dataclasses
import json
import random
from collections.abc import Awaitable
from collections.abc import Callable

import curio
from loguru import logger

from fescueturn import errors
from fescueturn import events
from fescueturn import kvtypes
from fescueturn import settings

MEMBERS_PREFIX = "/members/"
TEAMS_PREFIX = "/teams/"
TEAM_SETTINGS_LEAF = "/settings"
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 2.0
RENEWALS_PER_TTL = 3
# Long-poll duration: 0.1 calls per second while nothing changes.
WATCH_MS = 10_000
# Settings must take effect everywhere within 5 s, also when the platform never
# answers a watch: these two, the client's 1 s of slack and the pause of 1 s
# after a change must add up to less.
SETTINGS_WATCH_MS = 2000
SETTINGS_BACKOFF_MAX_S = 0.3

Apply = Callable[[events.Event], Awaitable[None]]


def members_prefix(data_centre: str) -> str:
  """Returns the key prefix of a data centre's member keys."""
  return f"{MEMBERS_PREFIX}{data_centre}/"


def member_key(data_centre: str, name: str) -> str:
  """Returns the member key of an entry host."""
  return members_prefix(data_centre) + name


def team_key(team: str) -> str:
  """Returns the key that holds a team's settings."""
  return f"{TEAMS_PREFIX}{team}{TEAM_SETTINGS_LEAF}"


def team_of(key: str) -> str | None:
  """Returns the team whose settings are at `key`, or None for other keys."""
  if not (key.startswith(TEAMS_PREFIX) and key.endswith(TEAM_SETTINGS_LEAF)):
    return None
  team = key[len(TEAMS_PREFIX) : -len(TEAM_SETTINGS_LEAF)]
  return team if team and "/" not in team else None


def member_value(member: events.Member) -> bytes:
  """Returns the value that is stored at an entry host's member key."""
  return json.dumps(
      {
          "peer": str(member.peer),
          "boot": member.boot,
          "lease": member.lease,
          "leaving": member.leaving,
          "rack": member.rack,
      }
  ).encode()


def parse_member(key: str, value: bytes) -> events.Member | None:
  """Parses a member key's value; logs an invalid one and returns None."""
  try:
    body = json.loads(value)
    return events.Member(
        name=key.rsplit("/", 1)[-1],
        peer=settings.parse_address(body["peer"]),
        boot=str(body["boot"]),
        lease=int(body["lease"]),
        leaving=bool(body["leaving"]),
        rack=str(body["rack"]),
    )
  except (ValueError, KeyError, TypeError) as exc:
    logger.error("event=member_bad key={} error={!r}", key, exc)
    return None


class Backoff:
  """Exponential backoff with jitter between failed platform calls."""

  def __init__(self, rng: random.Random, max_s: float = BACKOFF_MAX_S):
    self._rng = rng
    self._max_s = max_s
    self._delay = BACKOFF_MIN_S

  async def wait(self):
    """Sleeps for the current delay with jitter, then doubles the delay."""
    await curio.sleep(self._delay * (0.5 + self._rng.random()))
    self._delay = min(self._max_s, self._delay * 2)

  def reset(self):
    """Resets the delay to its minimum, after a success."""
    self._delay = BACKOFF_MIN_S


class LeaseKeeper:
  """Keeps this entry host's member key alive under a lease."""

  def __init__(
      self,
      kv: kvtypes.Store,
      data_centre: str,
      member: events.Member,
      ttl_s: float,
      now: Callable[[], float],
  ):
    self._kv = kv
    self._key = member_key(data_centre, member.name)
    self._member = member
    self._ttl_s = ttl_s
    self._now = now
    self._lease = 0
    self._written = False
    self._withdrawn = False

  @property
  def lease(self) -> int:
    """Id of the current lease, or 0."""
    return self._lease

  async def run(self, apply: Apply, backoff: Backoff):
    """Keeps the lease and the member key in place until `withdraw`.

    Retries after `errors.KvError` with `backoff`.
    """
    while not self._withdrawn:
      try:
        await apply(await self._renew_or_grant())
        if not self._written:
          await self._write()
        backoff.reset()
        await curio.sleep(self._ttl_s / RENEWALS_PER_TTL)
      except errors.KvError as exc:
        logger.warning(
            "event=lease_renew_failed key={} error={!r}", self._key, exc
        )
        await backoff.wait()

  async def _renew_or_grant(self) -> events.LeaseRenewed:
    """Renews the lease, or acquires a new one if it has ended.

    The returned expiry is counted from before the call was sent, so it is never
    later than the store's.
    """
    sent_at = self._now()
    if not self._lease or not await self._renew_existing():
      self._written = False
      sent_at = self._now()
      self._lease = await self._kv.grant(int(self._ttl_s * 1000))
    return events.LeaseRenewed(self._lease, sent_at + self._ttl_s)

  async def _renew_existing(self) -> bool:
    """Renews the lease; returns False if it has ended."""
    try:
      await self._kv.keep_alive(self._lease)
    except kvtypes.LeaseGoneError:
      return False
    return True

  async def _write(self):
    """Writes the member key under the lease.

    The write is idempotent; `run` repeats it after a lost reply.
    """
    member = self._current_member()
    puts = {self._key: member_value(member)}
    try:
      await self._kv.transact(kvtypes.Transaction({}, puts, (), self._lease))
    except kvtypes.LeaseGoneError:
      self._lease = 0  # It expired before the write.
      raise
    self._written = True
    logger.info(
        "event=member_written key={} lease={} leaving={}",
        self._key,
        self._lease,
        member.leaving,
    )

  def _current_member(self) -> events.Member:
    return dataclasses.replace(self._member, lease=self._lease)

  def check_written(self, members: tuple[events.Member, ...]):
    """Has the member key written again if the store's `members` lack it.

    A write that got no reply, of this process or of an earlier one of the same
    name, may be carried out late and replace the key.
    """
    if self._current_member() not in members:
      self._written = False

  async def leave(self):
    """Marks this entry host as leaving; peers then place claims elsewhere."""
    self._member = dataclasses.replace(self._member, leaving=True)
    self._written = False
    try:
      if self._lease:
        await self._write()
    except errors.KvError as exc:  # `run` retries.
      logger.warning("event=leave_unwritten error={!r}", exc)

  async def withdraw(self):
    """Stops renewing and revokes the lease, which removes the member key."""
    self._withdrawn = True
    if self._lease:
      try:
        await self._kv.revoke(self._lease)
      except errors.KvError as exc:
        logger.warning("event=lease_revoke_failed error={!r}", exc)


async def members_loop(
    kv: kvtypes.Store, data_centre: str, apply: Apply, backoff: Backoff
):
  """Watches member keys; passes `MembersChanged` to `apply` for each change."""
  prefix = members_prefix(data_centre)
  members: dict[str, events.Member] = {}
  revision = None
  while True:
    try:
      if revision is None:
        current = await kv.range(prefix)
        revision = current.revision
        members = {i.key: parse_member(i.key, i.value) for i in current.items}
        await apply(_members_event(members, gap=True))
      changes = await kv.watch(prefix, revision, WATCH_MS)
      revision = changes.revision
      backoff.reset()
    except errors.KvError as exc:
      logger.warning("event=members_watch_failed error={!r}", exc)
      if isinstance(exc, kvtypes.HistoryGoneError):
        revision = None  # Read all keys again.
      await backoff.wait()
      continue
    for change in changes.items:
      members.pop(change.key, None)
      if change.value is not None:
        members[change.key] = parse_member(change.key, change.value)
      await apply(_members_event(members))


def _members_event(members, gap: bool = False) -> events.MembersChanged:
  valid = tuple(m for m in members.values() if m is not None)
  return events.MembersChanged(valid, gap)


def _team_event(item: kvtypes.Item) -> events.TeamChanged | None:
  team, revision = team_of(item.key), item.revision
  if team is None:
    return None
  if item.value is None:
    return events.TeamChanged(team, revision, None)
  try:
    parsed = settings.loads_team(item.value.decode(), source=item.key)
  except (errors.SettingsError, UnicodeDecodeError) as exc:
    logger.error(
        "event=team_settings_refused team={} revision={} error={}",
        team,
        revision,
        exc,
    )
    return None
  return events.TeamChanged(team, revision, parsed)


async def teams_loop(
    kv: kvtypes.Store, apply: Apply, backoff: Backoff, pause_s: float
):
  """Watches team settings; passes `TeamChanged` to `apply` for each change."""
  known: set[str] = set()
  revision = None
  while True:
    try:
      if revision is None:
        changes = await _read_teams(kv, known)
      else:
        changes = await kv.watch(TEAMS_PREFIX, revision, SETTINGS_WATCH_MS)
      revision = changes.revision
      backoff.reset()
    except errors.KvError as exc:
      logger.warning("event=teams_watch_failed error={!r}", exc)
      if isinstance(exc, kvtypes.HistoryGoneError):
        revision = None
      await backoff.wait()
      continue
    for item in changes.items:
      known.add(item.key)
      event = _team_event(item)
      if event is not None:
        await apply(event)
    if changes.items:
      await curio.sleep(pause_s)


async def _read_teams(kv, known: set[str]) -> kvtypes.Changes:
  """Reads all teams; adds a removal for each of `known` that is now missing."""
  current = await kv.range(TEAMS_PREFIX)
  removed = known - {item.key for item in current.items}
  removals = [
      kvtypes.Item(key, current.revision, None) for key in sorted(removed)
  ]
  return kvtypes.Changes(current.revision, (*current.items, *removals))


def _endpoint(record: kvtypes.HostRecord) -> events.EndpointInfo:
  return events.EndpointInfo(
      name=record.name,
      address=settings.parse_address(record.address),
      services=record.services,
      slots=record.slots,
      leaving=record.leaving,
  )


async def hosts_loop(
    kv: kvtypes.Store,
    data_centre: str,
    apply: Apply,
    backoff: Backoff,
    poll_s: float,
):
  """Polls the host list; passes `EndpointsChanged` to `apply` if it changed."""
  last = None
  while True:
    try:
      listed = await kv.range(kvtypes.HOSTS_PREFIX)
      backoff.reset()
    except errors.KvError as exc:
      logger.warning("event=hosts_poll_failed error={!r}", exc)
      await backoff.wait()
      continue
    hosts = [kvtypes.decode_host(item.value) for item in listed.items]
    local = tuple(_endpoint(h) for h in hosts if h.data_centre == data_centre)
    if local != last:
      await apply(events.EndpointsChanged(local))
      last = local
    await curio.sleep(poll_s)
