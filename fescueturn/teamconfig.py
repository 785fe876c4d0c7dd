"""Operators' team settings in the platform: check, get and put with CAS.

A team's settings are INI text at ``/teams/<team>/settings``. A put names the
revision it replaces (0 for a new team), so two operators racing cannot
silently overwrite each other: the second gets a conflict. A reply lost after
the write took effect is resolved by reading the key back.
"""

import dataclasses

from fescueturn import codes
from fescueturn import errors
from fescueturn import kvtypes
from fescueturn import membership
from fescueturn import settings

PUT_TRIES = 5


@dataclasses.dataclass(frozen=True)
class TeamConfig:
  """A team's settings text as stored, with the revision that wrote it."""

  team: str
  text: str
  revision: int


def check(text: str, team: str = "<team>") -> settings.TeamSettings:
  """Checks team settings text; raises `errors.SettingsError` if bad."""
  return settings.loads_team(text, source=membership.team_key(team))


async def get(kv: kvtypes.Store, team: str) -> TeamConfig:
  """Returns a team's stored settings.

  Raises:
    errors.KvNotFoundError: the team has no settings (code 302).
  """
  found = await kv.get(membership.team_key(team))
  if not found.items:
    raise errors.KvNotFoundError(f"no settings for team {team!r}")
  (item,) = found.items
  return TeamConfig(team, item.value.decode(), item.revision)


async def put(kv: kvtypes.Store, team: str, text: str, expect: int) -> int:
  """Checks, then writes a team's settings if its revision is `expect`.

  Args:
    kv: the platform client.
    team: the team's name.
    text: the INI text; checked before anything is written.
    expect: the revision being replaced, 0 for a new team.

  Returns:
    The revision of the write.

  Raises:
    errors.SettingsError: the text fails its checks; nothing is written.
    errors.KvConflictError: another write came first (code 300).
    errors.KvError: the platform stayed unavailable.
  """
  check(text, team)
  key = membership.team_key(team)
  wanted = kvtypes.Transaction({key: expect}, {key: text.encode()})
  last_error = None
  for _ in range(PUT_TRIES):
    try:
      return await kv.transact(wanted)
    except kvtypes.ConflictError as exc:
      applied = exc.items.get(key)
      if last_error and applied and applied.value == text.encode():
        # Our own write took effect, and its reply was lost.
        return applied.revision
      raise
    except errors.KvError as exc:
      last_error = exc
  raise errors.KvError(f"{key}: {last_error}", codes.Code.KV_UNAVAILABLE)
