"""The settings file that the platform gives each process (JSON).

The file is decoded once into `NodeSettings`; fields that are not used are
ignored, and a missing or malformed one is a numbered settings error.
"""

import dataclasses
import os
import pathlib

from fescueturn import errors
from fescueturn import settings
from fescueturn.platform import wire
from fescueturn.scheduler import election

PATH_VARIABLE = "FESCUETURN_NODE_FILE"
# Where statsd metrics go, as host:port; the settings file has no place for it.
STATSD_VARIABLE = "FESCUETURN_STATSD"
DEFAULT_PATH = "/etc/fescueturn/node.json"


@dataclasses.dataclass(frozen=True)
class NodeSettings:
  """What a process is told of itself and its surroundings.

  Attributes:
    host: its machine's name.
    data_centre: where it stands.
    callers: where it takes callers' requests.
    readiness: where the balancer asks whether it is ready.
    links: where it takes other hosts' messages.
    metrics: where it serves metrics.
    store: the platform's key-value store.
    min_lease_ms: the shortest lease of the store.
    convergence_s: how soon a host must act on what the store says, once a fault
      of the store, of the host or of the way between them has passed.
    grace_s: from SIGTERM to SIGKILL.
    ended_job_retention_s: how long a kept job that is over must stay known.
    cores: how much processor it gets, in cores of the usual speed.
  """

  host: str
  data_centre: str
  callers_address: settings.Address
  readiness_address: settings.Address
  peer_address: settings.Address
  metrics_address: settings.Address
  store_address: settings.Address
  min_lease_ms: int
  convergence_s: float
  grace_s: float
  ended_job_retention_s: float
  cores: float


def path() -> pathlib.Path:
  """Returns where the settings file lies."""
  return pathlib.Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def statsd_address() -> settings.Address | None:
  """Returns where statsd metrics go, or None for nowhere.

  Raises:
    errors.SettingsError: the variable is no address.
  """
  text = os.environ.get(STATSD_VARIABLE, "")
  try:
    return settings.parse_address(text) if text else None
  except ValueError as exc:
    raise errors.SettingsError(f"{STATSD_VARIABLE}: {exc}") from exc


def decode(text: str) -> NodeSettings:
  """Returns the settings in a file's text.

  Raises:
    errors.SettingsError: a field is missing or malformed.
  """
  raw = wire.decode(wire.nodes, text, "settings file", errors.SettingsError)
  try:
    return _settings(raw)
  except ValueError as exc:
    raise errors.SettingsError(f"settings file: {exc}") from exc


def _settings(raw: wire.Node) -> NodeSettings:
  first_port, _ = raw.internal_ports
  return NodeSettings(
      host=raw.node,
      data_centre=raw.zone,
      callers_address=settings.parse_address(raw.listen.frontend),
      readiness_address=settings.parse_address(raw.listen.readiness),
      peer_address=settings.Address(raw.ip, first_port),
      metrics_address=settings.Address(raw.ip, first_port + 1),
      store_address=settings.parse_address(raw.platform.address),
      min_lease_ms=raw.platform.min_ttl_ms,
      convergence_s=raw.bounds.convergence_ms / 1000,
      grace_s=raw.bounds.grace_s,
      ended_job_retention_s=raw.bounds.status_s,
      cores=_cores(raw.limits or wire.MachineLimits()),
  )


def _cores(limits: wire.MachineLimits) -> float:
  """Returns the processor's size; a host that isn't told is taken as roomy."""
  if limits.cpu_share is None or limits.cores is None:
    return election.HOLDER_CORES
  return limits.cpu_share * limits.cores


def load() -> NodeSettings:
  """Reads and decodes the settings file.

  Raises:
    errors.SettingsError: the file can't be read or is malformed.
  """
  try:
    text = path().read_text(encoding="utf-8")
  except OSError as exc:
    raise errors.SettingsError(f"settings file: {exc}") from exc
  return decode(text)
