"""Operators' access to the team settings stored in the platform.

A team's settings are INI text at ``/teams/<team>/settings``. `put` is a
compare-and-swap on the revision that it replaces (0 for a new team), so
concurrent writes by two operators cannot overwrite each other: the second one
gets a conflict. If a reply is lost, `put` retries; a conflict with its own text
as the stored value then means that the first attempt took effect.
"""

import dataclasses

from fescueturn import codes
from fescueturn import errors
from fescueturn import kvtypes
from fescueturn import membership
from fescueturn import settings

MAX_PUT_ATTEMPTS = 5


@dataclasses.dataclass(frozen=True)
class TeamConfig:
  """A team's stored settings text and the revision that wrote it."""

  team: str
  text: str
  revision: int


def check(text: str, team: str = "<team>") -> settings.TeamSettings:
  """Validates settings text; raises `errors.SettingsError` if it is invalid."""
  return settings.loads_team(text, source=membership.team_key(team))


async def get(kv: kvtypes.Store, team: str) -> TeamConfig:
  """Returns a team's stored settings.

  Raises:
    errors.KvNotFoundError: the team has no settings (code 302).
  """
  stored = await kv.get(membership.team_key(team))
  if not stored.items:
    raise errors.KvNotFoundError(f"no settings for team {team!r}")
  (item,) = stored.items
  return TeamConfig(team, item.value.decode(), item.revision)


async def put(kv: kvtypes.Store, team: str, text: str, expect: int) -> int:
  """Validates a team's settings and writes them if at revision `expect`.

  Args:
    kv: the platform client.
    team: the team's name.
    text: the INI text; validated before it is written.
    expect: the revision being replaced, 0 for a new team.

  Returns:
    The revision of the write.

  Raises:
    errors.SettingsError: the text is invalid; nothing is written.
    errors.KvConflictError: the key is at another revision, and nothing was
      written (code 300).
    errors.KvError: the write may have taken effect: all attempts failed, or one
      got no reply and a later one found another text (code 301).
  """
  check(text, team)
  key = membership.team_key(team)
  wanted = kvtypes.Transaction({key: expect}, {key: text.encode()})
  last_error = None
  for _ in range(MAX_PUT_ATTEMPTS):
    try:
      return await kv.transact(wanted)
    except kvtypes.ConflictError as exc:
      if last_error is None:
        raise
      stored = exc.items.get(key)
      if stored and stored.value == text.encode():
        # An earlier attempt took effect, but its reply was lost.
        return stored.revision
      # An earlier attempt may have taken effect, and been replaced since.
      last_error = exc
      break
    except errors.KvError as exc:
      last_error = exc
  raise errors.KvError(f"{key}: {last_error}", codes.Code.KV_UNAVAILABLE)
