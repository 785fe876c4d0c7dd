"""Metrics: a statsd client per process, prefixed with its role and name."""

import statsd

from fescueturn import settings

DEFAULT_STATSD = settings.Address("127.0.0.1", 8125)


def client(process: settings.ProcessSettings, role: str) -> statsd.StatsClient:
  """Returns a statsd UDP client; a missing collector costs nothing."""
  address = process.statsd or DEFAULT_STATSD
  prefix = f"fescueturn.{role}.{process.name}"
  return statsd.StatsClient(address.host, address.port, prefix=prefix)
