"""Metrics: a statsd client per process, prefixed with its role and name."""

import statsd

from fescueturn import settings

DEFAULT_STATSD = settings.Address("127.0.0.1", 8125)


def client(
    address: settings.Address | None, role: str, name: str
) -> statsd.StatsClient:
  """Returns a statsd client; UDP packets are lost if no collector listens."""
  address = address or DEFAULT_STATSD
  prefix = f"fescueturn.{role}.{name}"
  return statsd.StatsClient(address.host, address.port, prefix=prefix)
