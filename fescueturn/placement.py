"""Placement of tasks: endpoint selection, and the queue of waiting tasks.

`EndpointTable` picks the endpoint with the lowest expected delay among those
with a free slot in this entry host's share. It excludes endpoints that are
leaving, unreachable, or fail the tasks they start: an endpoint that fails fast
would otherwise look idle and attract every task. `TaskQueue` holds the tasks
that wait for a slot and serves the teams in turn by their weights (`shares`),
so a burst of one team does not delay the tasks of another.
"""

import collections
import heapq
import itertools
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from typing import Any

from fescueturn import events
from fescueturn import routing
from fescueturn import shares

UNREACHABLE_PAUSE_S = 2.0
# Number of consecutive failures, each in a different job, after which an
# endpoint is ejected.
FAILURES_TO_EJECT = 2
EJECT_MIN_S = 2.0
EJECT_MAX_S = 60.0
# Weight of the newest task in the moving average of an endpoint's slowness.
SLOWNESS_WEIGHT = 0.2
SLOWNESS_FLOOR = 1.0
# Declared run times below this are too short to measure an endpoint's speed;
# they count as this long.
SLOWNESS_MIN_MS = 50.0


class _Health:
  """This entry host's load and health data for one endpoint.

  Attributes:
    busy: how many of its slots this entry host fills.
    share: how many of its slots this entry host may fill.
    excluded_until: until when it gets no tasks.
    failed_jobs: keys of the jobs with failures since its last success.
    ejections: consecutive ejections; each doubles the next one's duration.
    slowness: moving average of actual to declared run time, at least 1.
    stamp: stamp of its latest heap entry; older entries are stale.
  """

  def __init__(self):
    self.busy = 0
    self.share = 0
    self.excluded_until = 0.0
    self.failed_jobs: set[str] = set()
    self.ejections = 0
    self.slowness = SLOWNESS_FLOOR
    self.stamp = 0


class EndpointTable:
  """The data centre's endpoints, ordered by load for each service."""

  def __init__(self, me: str):
    self._me = me
    self._names: tuple[str, ...] = (me,)
    self._endpoints: dict[str, events.EndpointInfo] = {}
    self._services: frozenset[str] = frozenset()
    self._health: dict[str, _Health] = collections.defaultdict(_Health)
    self._heaps: dict[str, list] = collections.defaultdict(list)
    self._excluded: list[tuple[float, str]] = []
    self._stamps = itertools.count(1)

  def update(self, endpoints: Iterable[events.EndpointInfo]):
    """Replaces the endpoints by those in the current host list."""
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
    """Sets the entry hosts that share the endpoints' slots."""
    self._names = names if self._me in names else (*names, self._me)
    self._rebuild()

  def _rebuild(self):
    self._heaps.clear()
    for name, info in self._endpoints.items():
      health = self._health[name]
      health.share = routing.slot_share(name, info.slots, self._names, self._me)
      self._push(name)

  def _push(self, name: str):
    """Adds an endpoint to its services' heaps, if it can take a task."""
    info = self._endpoints.get(name)
    health = self._health[name]
    health.stamp = next(self._stamps)
    if info is None or info.leaving or health.busy >= health.share:
      return
    load = (health.busy + 1) / health.share * health.slowness
    for service in info.services:
      heapq.heappush(self._heaps[service], (load, name, health.stamp))

  def listed(self) -> list[events.EndpointInfo]:
    """Returns every endpoint in the current host list."""
    return list(self._endpoints.values())

  def has_service(self, service: str) -> bool:
    """Returns True if an endpoint of `service` is listed and not leaving."""
    return service in self._services

  def pick(self, service: str, now: float) -> events.EndpointInfo | None:
    """Returns the endpoint for the next task of `service`, or None."""
    while self._excluded and self._excluded[0][0] <= now:
      self._push(heapq.heappop(self._excluded)[1])
    heap = self._heaps[service]
    while heap:
      _, name, stamp = heap[0]
      health = self._health[name]
      if health.stamp != stamp:
        heapq.heappop(heap)
      elif health.excluded_until > now:
        heapq.heappop(heap)
        heapq.heappush(self._excluded, (health.excluded_until, name))
      else:
        return self._endpoints[name]
    return None

  def record_start(self, name: str):
    """Records that a task was sent to an endpoint."""
    self._health[name].busy += 1
    self._push(name)

  def record_finish(self, name: str):
    """Records that a task no longer fills a slot of an endpoint."""
    self._health[name].busy -= 1
    self._push(name)

  def mark_unreachable(self, name: str, now: float):
    """Excludes an unreachable or stalled endpoint for `UNREACHABLE_PAUSE_S`."""
    self._health[name].excluded_until = now + UNREACHABLE_PAUSE_S

  def record_failure(self, name: str, key: str, now: float):
    """Records a failed task of the job `key`; may eject the endpoint.

    Repeated failures of the same job count once, so that a job that fails
    everywhere ejects no endpoint.
    """
    health = self._health[name]
    health.failed_jobs.add(key)
    if len(health.failed_jobs) >= FAILURES_TO_EJECT:
      pause = min(EJECT_MAX_S, EJECT_MIN_S * 2**health.ejections)
      health.excluded_until = now + pause
      health.ejections += 1
      health.failed_jobs.clear()

  def record_success(self, name: str, elapsed_ms: float, declared_ms: float):
    """Records a finished task, and its actual and declared run times."""
    health = self._health[name]
    health.failed_jobs.clear()
    health.ejections = 0
    ratio = max(SLOWNESS_FLOOR, elapsed_ms / max(SLOWNESS_MIN_MS, declared_ms))
    health.slowness += SLOWNESS_WEIGHT * (ratio - health.slowness)

  def snapshot(self, now: float) -> dict:
    """Returns a JSON-serialisable dump."""
    return {
        name: {
            "leaving": info.leaving,
            "busy": self._health[name].busy,
            "share": self._health[name].share,
            "left_out": self._health[name].excluded_until > now,
            "slowness": round(self._health[name].slowness, 2),
        }
        for name, info in sorted(self._endpoints.items())
    }

  def usable_count(self) -> int:
    """Returns how many endpoints are listed and not leaving."""
    return sum(not e.leaving for e in self._endpoints.values())


class TaskQueue:
  """Tasks that wait for a slot: a FIFO queue for each team.

  A task is queued with the record of its job, not with the job's key, so that a
  task of a job that has ended is not taken for one of a resubmission.

  Attributes:
    busy: number of tasks in flight, by team.
  """

  def __init__(self, weight_of: Callable[[str], float] | None = None):
    """Creates an empty queue.

    Args:
      weight_of: returns a team's weight; all are equal by default.
    """
    self._teams: dict[str, collections.deque[tuple[Any, str]]] = {}
    self._turns = shares.Turns(weight_of)
    self.busy: collections.Counter[str] = collections.Counter()

  def __len__(self) -> int:
    return sum(len(q) for q in self._teams.values())

  @property
  def teams(self) -> list[str]:
    """The teams with waiting tasks, the one whose turn it is first."""
    return sorted(self._teams, key=self._turns.key)

  def next_team(self, blocked: Collection[str]) -> str | None:
    """Returns the team whose turn it is among those not blocked, if any."""
    teams = (team for team in self._teams if team not in blocked)
    return min(teams, key=self._turns.key, default=None)

  def add(self, team: str, record: Any, task_ids: Iterable[str]):
    """Appends a job's tasks to the team's queue."""
    queue = self._teams.setdefault(team, collections.deque())
    queue.extend((record, task_id) for task_id in task_ids)

  def requeue(self, team: str, record: Any, task_id: str):
    """Puts a task back at the front of the team's queue."""
    queue = self._teams.setdefault(team, collections.deque())
    queue.appendleft((record, task_id))

  def peek(self, team: str) -> tuple[Any, str]:
    """Returns the team's next task as (record, task id); it stays queued."""
    return self._teams[team][0]

  def take(self, team: str, slot_s: float = 1.0):
    """Removes the team's next task; among equal turns the team is then last.

    Args:
      team: the team.
      slot_s: for how long the task takes a slot (s); it counts as the team's
        turn. 0 if the task isn't sent.
    """
    queue = self._teams.pop(team)
    queue.popleft()
    self._turns.take(team, slot_s)
    if queue:
      self._teams[team] = queue

  def snapshot(self) -> dict:
    """Returns a JSON-serialisable dump of the teams and their shares."""
    names = sorted({*self._teams, *(+self.busy)})
    running = sum(self.busy.values())
    return {
        name: {
            "weight": self._turns.weight(name),
            "waiting": len(self._teams.get(name, ())),
            "running": self.busy[name],
            "share": round(self.busy[name] / max(1, running), 3),
        }
        for name in names
    }
