"""Data centres that the operator has evacuated: no new task starts there.

Running tasks may finish there. A job with tasks left to start is handed back to
its coordinator, which runs it in another data centre.
"""

import dataclasses

from fescueturn.scheduler import events
from fescueturn.scheduler import model

# How long holders still look for jobs that were moved to them after the last
# evacuation has ended, so that a move which a slow store completes late is
# found.
RECENT_S = 10.0


@dataclasses.dataclass(frozen=True)
class _Evacuation:
  """An evacuation request in force.

  Attributes:
    revision: the request's revision in the store.
    since: when this host first read it (s).
  """

  revision: int
  since: float


class Evacuations:
  """The operator's evacuation requests, as this host last read them.

  Attributes:
    loaded: False until the requests were read once. Until then a host starts no
      task, since a request may be older than its process.
  """

  def __init__(self, loaded: bool = False):
    self.loaded = loaded
    self._in_force: dict[str, _Evacuation] = {}
    self._ended_at = -RECENT_S

  def any_recent(self, now: float) -> bool:
    """Returns whether a data centre is evacuated or was within `RECENT_S`."""
    return bool(self._in_force) or now < self._ended_at + RECENT_S

  def evacuated(self, data_centre: str) -> bool:
    """Returns whether a data centre is known to be evacuated."""
    return data_centre in self._in_force

  def may_start(self, data_centre: str) -> bool:
    """Returns whether tasks may start in a data centre."""
    return self.loaded and not self.evacuated(data_centre)

  def update(
      self, requests: tuple[model.Evacuation, ...], now: float
  ) -> list[events.Log]:
    """Replaces the requests by those now in force.

    Args:
      requests: all requests in force.
      now: the current time (s).

    Returns:
      A log line for each evacuation that began or ended.
    """
    previous, self._in_force = self._in_force, {}
    self.loaded = True
    log_lines = []
    for request in requests:
      name = request.data_centre
      if name in previous:
        self._in_force[name] = previous.pop(name)
        continue
      self._in_force[name] = _Evacuation(request.revision, now)
      log_lines.append(
          events.log(
              "evacuation_began", data_centre=name, revision=request.revision
          )
      )
    if previous:
      self._ended_at = now
    for name, ended in previous.items():
      log_lines.append(
          events.log(
              "evacuation_ended",
              data_centre=name,
              revision=ended.revision,
              after_s=round(now - ended.since, 3),
          )
      )
    return log_lines

  def snapshot(self, now: float) -> dict:
    """Returns a JSON-ready dump."""
    return {
        "known": self.loaded,
        "data_centres": {
            name: {
                "revision": request.revision,
                "for_s": round(now - request.since, 3),
            }
            for name, request in sorted(self._in_force.items())
        },
    }
