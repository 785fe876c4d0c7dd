"""Copies of the platform's list of endpoints at the hosts of a data centre.

The holder of a shard sends the shard's part of the list to the other hosts of
its data centre when it changes. The next holder serves from its copy if the
store doesn't answer. It asks each endpoint for its runs first, so an endpoint
that has ended since gets no tasks.
"""

import dataclasses

from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model

# How long a new holder waits for the store's list, which takes 6 ms, before it
# serves from its copy. It accepts jobs without endpoints for twice this time.
STORE_WAIT_S = 0.05
# A copy of this age may be used whatever the store's state: endpoints must get
# no task later than 2 s after the store has accepted that they drain.
SAFE_AGE_S = 1.5
# An older copy is used once the store has left the holder without an answer for
# this long. A healthy store answers in a few ms; with one this slow, no host
# learns of draining endpoints in time anyway.
SLOW_STORE_S = 0.3
# Maximum age of a copy. Few endpoints begin to drain in this time, and those
# serve on for two seconds and more.
MAX_AGE_S = 10.0
# Bounds the traffic of the copies to each host: an endpoint takes some 150
# bytes, so that 60 endpoints are sent every 4.5 s if they change all the time.
BYTES_PER_S = 2000
ENDPOINT_BYTES = 150
# Bounds the traffic of the copies to all hosts. All hosts request a new
# holder's list at once, and its answers to pings would wait behind the lists:
# those of 500 endpoints for 10 hosts fill a link of 10 Mbit/s for 0.6 s. A
# holder that doesn't answer for 0.5 s is taken to have failed.
ALL_BYTES_PER_S = 100_000


@dataclasses.dataclass(frozen=True)
class KnownList:
  """A copy of a shard's list of endpoints.

  Attributes:
    endpoints: the endpoints.
    read_at: when a holder asked the store for the list (s).
  """

  endpoints: tuple[model.Endpoint, ...]
  read_at: float

  def usable(self, now: float, store_silent_s: float) -> bool:
    """Returns whether a holder may serve from this copy.

    Args:
      now: the time (s).
      store_silent_s: how long the store has left the holder without an answer,
        the time that it took to answer the holder's claim included (s).
    """
    age_s = now - self.read_at
    if age_s <= SAFE_AGE_S:
      return True
    return age_s <= MAX_AGE_S and store_silent_s >= SLOW_STORE_S


def _as_sent(endpoint: model.Endpoint) -> model.Endpoint:
  """Returns an endpoint without the fields that are not copied.

  These are the time of its start and the times that count down from one entry
  to the next, which would be out of date in a copy.
  """
  return model.Endpoint(
      endpoint.id,
      endpoint.address,
      endpoint.service,
      endpoint.data_centre,
      endpoint.slots,
      endpoint.draining,
      endpoint.capacity,
      endpoint.labels,
  )


class SharedList:
  """A holder's list of endpoints, in versions that rise with each change.

  Attributes:
    version: the current version; 0 while there is no list.
  """

  def __init__(self):
    self.version = 0
    self._known = KnownList((), 0.0)
    self._sent_at: dict[linkmessages.HostProcess, float] = {}
    # When the next copy may be sent to any host (s).
    self._next_at = 0.0

  def age_s(self, now: float) -> float:
    """Returns how long ago the store was asked for the list (s)."""
    return now - self._known.read_at

  def update(self, endpoints: tuple[model.Endpoint, ...], read_at: float):
    """Records the list that the store was asked for at `read_at`.

    The version doesn't change if only fields that are not copied (`_as_sent`)
    do; each pong then confirms that the copies are still current.
    """
    sent = tuple(_as_sent(endpoint) for endpoint in endpoints)
    if sent != self._known.endpoints or not self.version:
      self.version += 1
    self._known = KnownList(sent, read_at)

  def message_for(
      self, ping: linkmessages.Ping, now: float
  ) -> linkmessages.EndpointList | None:
    """Returns the list for a host that has another version, if one is due."""
    known = ping.list_version
    if known is None or known == self.version or now < self._next_at:
      return None
    size_bytes = ENDPOINT_BYTES * len(self._known.endpoints)
    self._sent_at = {
        process: sent_at
        for process, sent_at in self._sent_at.items()
        if now - sent_at < size_bytes / BYTES_PER_S
    }
    if ping.process in self._sent_at:
      return None
    self._sent_at[ping.process] = now
    self._next_at = now + size_bytes / ALL_BYTES_PER_S
    return linkmessages.EndpointList(
        ping.at, self.version, self.age_s(now), self._known.endpoints
    )
