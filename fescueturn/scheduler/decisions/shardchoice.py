"""Chooses the shard to whose holder a job is offered next.

The inputs are the holders' room reports with their ages, and what they have
answered to earlier offers of the job. A report only orders the holders: a job
is refused only after each of them has declined it. The last holder asked to
start a job at once is told the shortest wait elsewhere, and queues the job if
its own is no longer: it would only be offered the job again.
"""

import dataclasses
import enum
import zlib

from fescueturn.scheduler import model
from fescueturn.scheduler.decisions import room as room_lib

# A report that shows no room counts for this long: a quarter of the usual tasks
# (200 ms) end within it. A longer time saves offers, but leaves jobs waiting
# while room has become free.
FULL_REPORT_S = 0.05
# A report that shows room counts for this long: a holder of another data centre
# that has none of this host's jobs reports once a second.
FREE_REPORT_S = 1.5
# A holder that puts a job off although its report showed room may be keeping
# the room for other jobs. For this long it isn't expected to start jobs of the
# same queue at once: the time between two reports of a holder in use.
CONTRADICTED_S = 0.1
# The longest wait that an offer can name: the only holder that is left queues
# the job if it can end in time.
ANY_WAIT_MS = 2**32 - 1


class Chance(enum.Enum):
  """Whether a holder could start all first tasks of a job at once."""

  NONE = 0
  UNKNOWN = 1
  LIKELY = 2


@dataclasses.dataclass(frozen=True)
class Demand:
  """What a job needs for its first tasks.

  Attributes:
    job_id: the job's id, which decides between shards of equal rank.
    service: the service that it needs.
    cpu: the CPU of one task, in thousandths of a core.
    tasks: the number of its first tasks.
    priority: the job's priority.
  """

  job_id: str
  service: str
  cpu: int
  tasks: int
  priority: int


@dataclasses.dataclass(frozen=True)
class ShardView:
  """What a coordinator knows of one shard that may be offered a job.

  Attributes:
    shard: the shard.
    local: True if it is in the coordinator's data centre.
    room: the room of the job's service, as last reported; None if unknown.
    age_s: the age of that report (s).
    taken: the number of tasks that the coordinator has offered there since.
    taken_ms: the sum of their estimated run times (ms).
    contradicted: True if the holder lately put off a job of the queue although
      its report showed room.
    put_off_ms: the wait (ms) that the holder gave when it put this job off;
      None if it didn't.
  """

  shard: model.Shard
  local: bool
  room: room_lib.ServiceRoom | None = None
  age_s: float = 0.0
  taken: int = 0
  taken_ms: int = 0
  contradicted: bool = False
  put_off_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class Choice:
  """The shard that a job is offered to next.

  Attributes:
    shard: the shard.
    immediate_only: True if the job is to be accepted only if it can start
      within `max_wait_ms`.
    why: the reason in one word, for the logs.
    wait_ms: the expected wait there (ms); None if unknown.
    age_s: the age (s) of the report that it was chosen by; None without one.
    likely: True if that report shows room to start the job at once.
    max_wait_ms: the shortest wait elsewhere (ms); 0 while another holder may
      start the job at once.
  """

  shard: model.Shard
  immediate_only: bool
  why: str
  wait_ms: int | None
  age_s: float | None
  likely: bool = False
  max_wait_ms: int = 0


def choose(demand: Demand, views: list[ShardView]) -> Choice | None:
  """Returns where to offer a job; None if every holder has declined it.

  Args:
    demand: what the job needs.
    views: the shards that haven't declined the job outright.
  """
  if not views:
    return None
  untried = [v for v in views if v.put_off_ms is None]
  chances = {v.shard: chance_at_once(demand, v) for v in untried}
  possible = [v for v in untried if chances[v.shard] is not Chance.NONE]
  if not possible:
    shortest = _shortest_wait(demand, views)
    return _choice(demand, shortest, False, "shortest_wait")
  view, why = _most_likely(demand, possible, chances)
  choice = _choice(demand, view, True, why)
  if len(possible) > 1:
    return choice
  others = [v for v in views if v.shard != view.shard]
  return dataclasses.replace(choice, max_wait_ms=_wait_to_beat(demand, others))


def _most_likely(
    demand: Demand,
    possible: list[ShardView],
    chances: dict[model.Shard, Chance],
) -> tuple[ShardView, str]:
  """Returns the shard to ask for an immediate start, and the reason."""
  for view in possible:
    if view.local:
      return view, "own_data_centre"
  likely = [v for v in possible if chances[v.shard] is Chance.LIKELY]
  if likely:
    return _better_of_two(demand, likely), "room"
  return min(possible, key=lambda v: _draw(demand, v)), "untried"


def _wait_to_beat(demand: Demand, others: list[ShardView]) -> int:
  """Returns the shortest wait (ms) at shards that can't start the job now."""
  waits_ms = [expected_wait_ms(demand, view) for view in others]
  return min([ANY_WAIT_MS, *waits_ms])


def chance_at_once(demand: Demand, view: ShardView) -> Chance:
  """Returns whether the holder could start the job at once."""
  room = view.room
  if room is None or view.age_s > FREE_REPORT_S:
    return Chance.UNKNOWN
  free = room.at_most_free(demand.cpu) - view.taken
  queued = room.work_ahead_ms(demand.priority) > 0
  if free >= demand.tasks and not queued and not view.contradicted:
    return Chance.LIKELY
  return Chance.NONE if view.age_s <= FULL_REPORT_S else Chance.UNKNOWN


def expected_wait_ms(demand: Demand, view: ShardView) -> int | None:
  """Returns the wait that the holder gave or that its report shows (ms)."""
  if view.put_off_ms is not None:
    return view.put_off_ms
  if view.room is None or view.age_s > FREE_REPORT_S:
    return None
  return view.room.expected_wait_ms(
      demand.cpu, demand.tasks, demand.priority, view.taken, view.taken_ms
  )


def _better_of_two(demand: Demand, views: list[ShardView]) -> ShardView:
  """Returns the one with more room of two shards drawn by the job's id.

  Hosts that have the same reports thus don't all choose the same shard.
  """
  drawn = sorted(views, key=lambda v: _draw(demand, v))[:2]
  return max(drawn, key=lambda v: _room_left(demand, v))


def _room_left(demand: Demand, view: ShardView) -> float:
  """Returns the free room, of which less counts the older the report is."""
  free = view.room.at_least_free(demand.cpu) - view.taken
  return free * (1 - view.age_s / (2 * FREE_REPORT_S))


def _shortest_wait(demand: Demand, views: list[ShardView]) -> ShardView:
  """Returns the shard with the shortest wait, an unknown one last."""

  def rank(view: ShardView):
    wait_ms = expected_wait_ms(demand, view)
    unknown = wait_ms is None
    return unknown, wait_ms or 0, not view.local, _draw(demand, view)

  return min(views, key=rank)


def _choice(demand: Demand, view: ShardView, at_once: bool, why: str) -> Choice:
  return Choice(
      view.shard,
      at_once,
      why,
      expected_wait_ms(demand, view),
      None if view.room is None else view.age_s,
      at_once and chance_at_once(demand, view) is Chance.LIKELY,
  )


def _draw(demand: Demand, view: ShardView) -> int:
  """Returns a number that orders the shards differently for each job."""
  shard = view.shard
  text = f"{demand.job_id}{shard.data_centre}{shard.number}"
  return zlib.crc32(text.encode())
