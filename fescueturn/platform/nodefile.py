"""The JSON settings file that the platform provides to each process.

The file is decoded into `NodeSettings`. Unused fields are ignored; a missing or
malformed field is a settings error with a number.
"""

import dataclasses
import os
import pathlib

from fescueturn import errors
from fescueturn import settings
from fescueturn.platform import wire
from fescueturn.scheduler import election
from fescueturn.scheduler import timebudget

PATH_VARIABLE = "FESCUETURN_NODE_FILE"
# Address of the statsd server as host:port; the settings file has no field for
# it.
STATSD_VARIABLE = "FESCUETURN_STATSD"
DEFAULT_PATH = "/etc/fescueturn/node.json"


@dataclasses.dataclass(frozen=True)
class NodeSettings:
  """Settings of a process.

  Attributes:
    host: name of its host.
    data_centre: its data centre.
    callers_address: where it listens for callers' requests.
    readiness_address: where it listens for the balancer's readiness probes.
    peer_address: where it listens for messages of other hosts.
    metrics_address: where it serves metrics.
    store_address: address of the platform's key-value store.
    min_lease_ms: the shortest lease that the store grants.
    convergence_s: how soon a host must act on the content of the store after a
      fault of the store, of the host or of the network between them has ended.
    grace_s: time from SIGTERM to SIGKILL.
    ended_job_retention_s: how long the status of an ended kept job must stay
      available.
    callers_return_s: how soon callers send a job again that got no answer.
    cores: its share of processor time, in cores of the usual speed.
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
  callers_return_s: float
  cores: float


def path() -> pathlib.Path:
  """Returns the path of the settings file."""
  return pathlib.Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def statsd_address() -> settings.Address | None:
  """Returns the address of the statsd server, or None if there is none.

  Raises:
    errors.SettingsError: the variable does not hold an address.
  """
  text = os.environ.get(STATSD_VARIABLE, "")
  try:
    return settings.parse_address(text) if text else None
  except ValueError as exc:
    raise errors.SettingsError(f"{STATSD_VARIABLE}: {exc}") from exc


def decode(text: str) -> NodeSettings:
  """Decodes the settings in a file's text.

  Raises:
    errors.SettingsError: a field is missing or malformed, or callers return
      too soon (`errors.TimeBudgetError`).
  """
  raw = wire.decode(wire.nodes, text, "settings file", errors.SettingsError)
  try:
    node = _node_settings(raw)
  except ValueError as exc:
    raise errors.SettingsError(f"settings file: {exc}") from exc
  timebudget.check(node.callers_return_s)
  return node


def _node_settings(raw: wire.Node) -> NodeSettings:
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
      callers_return_s=raw.bounds.callers_return_ms / 1000,
      cores=_cores(raw.limits or wire.MachineLimits()),
  )


def _cores(limits: wire.MachineLimits) -> float:
  """Returns the processor's size; without limits, that of a large host."""
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
