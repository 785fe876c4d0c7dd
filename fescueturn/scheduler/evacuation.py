"""Data centres that the operator has evacuated: nothing new starts there.

What runs there may end there. A job that has tasks left to start is handed back
to its coordinator, which has it run in another data centre.
"""

import dataclasses

from fescueturn.scheduler import events
from fescueturn.scheduler import model

# Jobs that were moved are looked for until so long after the last request ended:
# a move that a slow store carries out late is found as well.
RECENT_S = 10.0


@dataclasses.dataclass(frozen=True)
class _Evacuation:
  """A request in force: the store's revision of it, and since when (s)."""

  revision: int
  since: float


class Evacuations:
  """What this host knows of the operator's requests.

  Attributes:
    known: False until they were read once. A host that doesn't know yet starts
      nothing: a request may be there since before it began.
  """

  def __init__(self, loaded: bool = False):
    self.loaded = loaded
    self._in_force: dict[str, _Evacuation] = {}
    self._ended_at = -RECENT_S

  def any_recent(self, now: float) -> bool:
    """Returns whether a data centre is evacuated, or was a moment ago."""
    return bool(self._in_force) or now < self._ended_at + RECENT_S

  def evacuated(self, data_centre: str) -> bool:
    """Returns whether a data centre is known to be evacuated."""
    return data_centre in self._in_force

  def may_start(self, data_centre: str) -> bool:
    """Returns whether tasks may start in a data centre."""
    return self.loaded and not self.evacuated(data_centre)

  def update(
      self, wanted: tuple[model.Evacuation, ...], now: float
  ) -> list[events.Log]:
    """Takes all requests in force; returns a line for each that changed."""
    before, self._in_force = self._in_force, {}
    self.loaded = True
    lines = []
    for request in wanted:
      name = request.data_centre
      if name in before:
        self._in_force[name] = before.pop(name)
        continue
      self._in_force[name] = _Evacuation(request.revision, now)
      lines.append(
          events.log(
              "evacuation_began", data_centre=name, revision=request.revision
          )
      )
    if before:
      self._ended_at = now
    for name, ended in before.items():
      lines.append(
          events.log(
              "evacuation_ended",
              data_centre=name,
              revision=ended.revision,
              after_s=round(now - ended.since, 3),
          )
      )
    return lines

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
