"""Settings of daemons and teams: all keys, their defaults and validation.

A daemon reads one INI file; a team's settings are INI text in the platform's
key-value store at ``/teams/<team>/settings``. Loading validates them into
frozen dataclasses; an invalid field raises an `errors.SettingsError` that names
the section and key and has a numbered code.
"""

import configparser
import dataclasses
from collections.abc import Callable
from typing import Any

from fescueturn import codes
from fescueturn import errors
from fescueturn import shares

_REQUIRED = object()


@dataclasses.dataclass(frozen=True)
class Address:
  """A host and a TCP or UDP port, written ``host:port`` in settings."""

  host: str
  port: int

  def __str__(self) -> str:
    return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
  """Parses ``host:port``; raises ValueError if the text is invalid."""
  host, sep, port = text.strip().rpartition(":")
  if not sep or not host:
    raise ValueError(f"expected host:port, got {text!r}")
  number = int(port)
  if not 0 <= number <= 65535:
    raise ValueError(f"port out of range: {number}")
  return Address(host, number)


def _positive_int(text: str) -> int:
  value = int(text)
  if value <= 0:
    raise ValueError(f"must be positive, got {value}")
  return value


def _non_negative_float(text: str) -> float:
  value = float(text)
  if value < 0:
    raise ValueError(f"must not be negative, got {value}")
  return value


def _name_list(text: str) -> tuple[str, ...]:
  names = tuple(part.strip() for part in text.split(",") if part.strip())
  if not names:
    raise ValueError("expected a comma-separated list of names")
  return names


def _name(text: str) -> str:
  name = text.strip()
  if not name or not all(c.isalnum() or c in "-_." for c in name):
    raise ValueError(f"expected a name of letters, digits, '-_.': {text!r}")
  return name


def _flag(text: str) -> bool:
  value = configparser.ConfigParser.BOOLEAN_STATES.get(text.strip().lower())
  if value is None:
    raise ValueError(f"expected true or false, got {text!r}")
  return value


def _level(text: str) -> str:
  level = text.strip().upper()
  if level not in {"TRACE", "DEBUG", "INFO", "WARNING", "ERROR"}:
    raise ValueError(f"unknown log level {text!r}")
  return level


@dataclasses.dataclass(frozen=True)
class ProcessSettings:
  """Settings of every daemon: its name, location, metrics and logs."""

  name: str
  data_centre: str
  rack: str = ""
  statsd: Address | None = None
  log_level: str = "INFO"


@dataclasses.dataclass(frozen=True)
class EntrySettings:
  """Settings of an entry host."""

  listen: Address
  peer_listen: Address
  platform: Address
  lease_ttl_s: float = 3.0
  max_body_bytes: int = 4 * 1024 * 1024
  retry_after_s: int = 1
  tick_ms: int = 50
  answer_keep_s: float = 600.0
  hosts_poll_s: float = 1.0
  settings_pause_s: float = 1.0
  naive: bool = False


@dataclasses.dataclass(frozen=True)
class EndpointSettings:
  """Settings of an endpoint stand-in."""

  listen: Address
  platform: Address
  services: tuple[str, ...] = ("speller", "uplift-orders")
  slots: int = 8
  connections: int = 64
  time_scale: float = 1.0
  drain_s: float = 3.0


@dataclasses.dataclass(frozen=True)
class PlatformSettings:
  """Settings of the platform stand-in; its host list lags by a set time."""

  listen: Address
  host_list_lag_s: float = 1.0


@dataclasses.dataclass(frozen=True)
class TeamSettings:
  """One team's settings, stored at ``/teams/<team>/settings``."""

  service: str
  max_tasks_per_job: int = 190
  max_tasks_in_flight: int = 2000
  deadline_ms: int = 10000
  weight: float = shares.DEFAULT_WEIGHT


@dataclasses.dataclass(frozen=True)
class Settings:
  """A daemon's settings file; absent role sections are None."""

  process: ProcessSettings
  entry: EntrySettings | None = None
  endpoint: EndpointSettings | None = None
  platform: PlatformSettings | None = None


_PARSERS: dict[str, Callable[[str], Any]] = {
    "name": _name,
    "data_centre": _name,
    "rack": _name,
    "statsd": parse_address,
    "log_level": _level,
    "listen": parse_address,
    "peer_listen": parse_address,
    "platform": parse_address,
    "lease_ttl_s": _non_negative_float,
    "max_body_bytes": _positive_int,
    "retry_after_s": _positive_int,
    "tick_ms": _positive_int,
    "answer_keep_s": _non_negative_float,
    "hosts_poll_s": _non_negative_float,
    "settings_pause_s": _non_negative_float,
    "naive": _flag,
    "services": _name_list,
    "slots": _positive_int,
    "connections": _positive_int,
    "time_scale": _non_negative_float,
    "drain_s": _non_negative_float,
    "host_list_lag_s": _non_negative_float,
    "service": _name,
    "max_tasks_per_job": _positive_int,
    "max_tasks_in_flight": _positive_int,
    "deadline_ms": _positive_int,
    "weight": shares.parse_weight,
}

_SECTIONS = {
    "process": ProcessSettings,
    "entry": EntrySettings,
    "endpoint": EndpointSettings,
    "platform": PlatformSettings,
}


def _build(section: str, cls: type, items: dict[str, str]) -> Any:
  """Validates an INI section into `cls`; raises at the first invalid field."""
  fields = {f.name: f for f in dataclasses.fields(cls)}
  values = {}
  for key, text in items.items():
    if key not in fields:
      raise errors.SettingsError(
          f"[{section}] {key}: unknown key", codes.Code.SETTINGS_UNKNOWN_KEY
      )
    try:
      values[key] = _PARSERS[key](text)
    except ValueError as exc:
      raise errors.SettingsError(f"[{section}] {key}: {exc}") from exc
  for name, field in fields.items():
    required = field.default is dataclasses.MISSING
    if required and name not in values:
      raise errors.SettingsError(
          f"[{section}] {name}: required", codes.Code.SETTINGS_MISSING
      )
  return cls(**values)


def _read(text: str, source: str) -> configparser.ConfigParser:
  parser = configparser.ConfigParser(interpolation=None)
  try:
    parser.read_string(text, source=source)
  except configparser.Error as exc:
    raise errors.SettingsError(f"{source}: {exc}") from exc
  return parser


def loads(text: str, source: str = "<settings>") -> Settings:
  """Parses and validates a daemon's INI settings text.

  Args:
    text: INI text with a ``[process]`` section and any role sections.
    source: a name for the text, used in error messages.

  Returns:
    The validated `Settings`.

  Raises:
    errors.SettingsError: with code 400 (missing), 401 (invalid value) or 402
      (unknown key or section).
  """
  parser = _read(text, source)
  validated = {}
  for section in parser.sections():
    if section not in _SECTIONS:
      raise errors.SettingsError(
          f"[{section}]: unknown section", codes.Code.SETTINGS_UNKNOWN_KEY
      )
    validated[section] = _build(
        section, _SECTIONS[section], dict(parser[section])
    )
  if "process" not in validated:
    raise errors.SettingsError(
        "[process]: required", codes.Code.SETTINGS_MISSING
    )
  return Settings(**validated)


def load(path: str) -> Settings:
  """Loads and validates a daemon's settings file; see `loads`."""
  with open(path, encoding="utf-8") as file:
    return loads(file.read(), source=path)


def loads_team(text: str, source: str = "<team>") -> TeamSettings:
  """Parses and validates a team's INI settings: one ``[team]`` section.

  Raises:
    errors.SettingsError: with the codes of `loads`.
  """
  parser = _read(text, source)
  extra = [s for s in parser.sections() if s != "team"]
  if extra:
    raise errors.SettingsError(
        f"[{extra[0]}]: unknown section", codes.Code.SETTINGS_UNKNOWN_KEY
    )
  if not parser.has_section("team"):
    raise errors.SettingsError("[team]: required", codes.Code.SETTINGS_MISSING)
  return _build("team", TeamSettings, dict(parser["team"]))
