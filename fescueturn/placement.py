"""Placement: which endpoint takes the next task, and whose task goes next.

`EndpointTable` picks the endpoint expected to be the quickest among those
with a free slot in this entry host's share. It leaves out endpoints that
are leaving, cannot be reached, or fail what they start: failing fast would
otherwise make a broken endpoint look idle and draw every task to it.
`TaskQueue` holds tasks waiting for a slot and takes them team by team, so
one team's burst does not hold up another's tasks.
"""

import collections
import heapq
import itertools
from collections.abc import Iterable

from fescueturn import events
from fescueturn import routing

UNREACHABLE_PAUSE_S = 2.0
# Failures in a row, each in another job, after which an endpoint is left out.
FAILURES_TO_EJECT = 2
EJECT_MIN_S = 2.0
EJECT_MAX_S = 60.0
# Weight of the newest task in an endpoint's slowness average.
SLOWNESS_WEIGHT = 0.2
SLOWNESS_FLOOR = 1.0
# Shorter declared run times say nothing about an endpoint's speed.
SLOWNESS_MIN_MS = 50.0


class _Health:
  """What this entry host has seen of one endpoint."""

  def __init__(self):
    self.busy = 0
    self.share = 0
    self.out_until = 0.0
    self.failed_jobs: set[str] = set()
    self.ejections = 0
    self.slowness = SLOWNESS_FLOOR
    self.stamp = 0


class EndpointTable:
  """The data centre's endpoints, least loaded first, per service."""

  def __init__(self, me: str):
    self._me = me
    self._names: tuple[str, ...] = (me,)
    self._endpoints: dict[str, events.EndpointInfo] = {}
    self._services: frozenset[str] = frozenset()
    self._health: dict[str, _Health] = collections.defaultdict(_Health)
    self._heaps: dict[str, list] = collections.defaultdict(list)
    self._out: list[tuple[float, str]] = []
    self._stamps = itertools.count(1)

  def update(self, endpoints: Iterable[events.EndpointInfo]):
    """Takes the host list's present view of the endpoints."""
    self._endpoints = {e.name: e for e in endpoints}
    self._services = frozenset(
        service
        for info in self._endpoints.values()
        if not info.leaving
        for service in info.services
    )
    for name in [n for n in self._health if n not in self._endpoints]:
      if not self._health[name].busy:
        del self._health[name]
    self._rebuild()

  def set_entry_hosts(self, names: tuple[str, ...]):
    """Takes the entry hosts that share the endpoints' slots."""
    self._names = names if self._me in names else (*names, self._me)
    self._rebuild()

  def _rebuild(self):
    self._heaps.clear()
    for name, info in self._endpoints.items():
      health = self._health[name]
      health.share = routing.slot_share(name, info.slots, self._names, self._me)
      self._push(name)

  def _push(self, name: str):
    """Puts an endpoint where its load places it, if it can take a task."""
    info = self._endpoints.get(name)
    health = self._health[name]
    health.stamp = next(self._stamps)
    if info is None or info.leaving or health.busy >= health.share:
      return
    load = (health.busy + 1) / health.share * health.slowness
    for service in info.services:
      heapq.heappush(self._heaps[service], (load, name, health.stamp))

  def listed(self) -> list[events.EndpointInfo]:
    """Returns every endpoint of the host list's present view."""
    return list(self._endpoints.values())

  def has_service(self, service: str) -> bool:
    """True when some endpoint of `service` is listed and not leaving."""
    return service in self._services

  def pick(self, service: str, now: float) -> events.EndpointInfo | None:
    """Returns the endpoint of `service` to send the next task to, or None."""
    while self._out and self._out[0][0] <= now:
      self._push(heapq.heappop(self._out)[1])
    heap = self._heaps[service]
    while heap:
      _, name, stamp = heap[0]
      health = self._health[name]
      if health.stamp != stamp:
        heapq.heappop(heap)
      elif health.out_until > now:
        heapq.heappop(heap)
        heapq.heappush(self._out, (health.out_until, name))
      else:
        return self._endpoints[name]
    return None

  def record_start(self, name: str):
    """Notes a task sent to an endpoint."""
    self._health[name].busy += 1
    self._push(name)

  def record_finish(self, name: str):
    """Notes that a task sent to an endpoint no longer fills a slot."""
    self._health[name].busy -= 1
    self._push(name)

  def mark_unreachable(self, name: str, now: float):
    """Leaves out an endpoint that could not be connected to."""
    self._health[name].out_until = now + UNREACHABLE_PAUSE_S

  def record_failure(self, name: str, key: str, now: float):
    """Notes a task of the job `key` that the endpoint started and failed."""
    health = self._health[name]
    health.failed_jobs.add(key)
    if len(health.failed_jobs) >= FAILURES_TO_EJECT:
      pause = min(EJECT_MAX_S, EJECT_MIN_S * 2**health.ejections)
      health.out_until = now + pause
      health.ejections += 1
      health.failed_jobs.clear()

  def record_success(self, name: str, elapsed_ms: float, declared_ms: float):
    """Notes a task done, and how its time compares with the one declared."""
    health = self._health[name]
    health.failed_jobs.clear()
    health.ejections = 0
    ratio = max(SLOWNESS_FLOOR, elapsed_ms / max(SLOWNESS_MIN_MS, declared_ms))
    health.slowness += SLOWNESS_WEIGHT * (ratio - health.slowness)

  def snapshot(self, now: float) -> dict:
    """Returns a JSON-ready dump."""
    return {
        name: {
            "leaving": info.leaving,
            "busy": self._health[name].busy,
            "share": self._health[name].share,
            "left_out": self._health[name].out_until > now,
            "slowness": round(self._health[name].slowness, 2),
        }
        for name, info in sorted(self._endpoints.items())
    }

  def usable_count(self) -> int:
    """Returns how many endpoints are listed and not leaving."""
    return sum(not e.leaving for e in self._endpoints.values())


class TaskQueue:
  """Tasks waiting for a slot, in order within each team."""

  def __init__(self):
    self._teams: dict[str, collections.deque[tuple[str, str]]] = {}
    self.busy: collections.Counter[str] = collections.Counter()

  def __len__(self) -> int:
    return sum(len(q) for q in self._teams.values())

  @property
  def teams(self) -> list[str]:
    """Teams with waiting tasks, the one longest unserved first."""
    return list(self._teams)

  def add(self, team: str, key: str, task_ids: Iterable[str]):
    """Adds a job's tasks behind the team's others."""
    queue = self._teams.setdefault(team, collections.deque())
    queue.extend((key, task_id) for task_id in task_ids)

  def requeue(self, team: str, key: str, task_id: str):
    """Puts a task back in front of the team's others."""
    self._teams.setdefault(team, collections.deque()).appendleft((key, task_id))

  def peek(self, team: str) -> tuple[str, str]:
    """Returns the team's next (key, task id)."""
    return self._teams[team][0]

  def take(self, team: str):
    """Removes the team's next task; the team goes behind the others."""
    queue = self._teams.pop(team)
    queue.popleft()
    if queue:
      self._teams[team] = queue
