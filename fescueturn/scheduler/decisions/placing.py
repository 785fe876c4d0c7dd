"""Chooses the endpoint for a task, from an index by speed and free CPU.

The index is kept up as runs begin and end, so that a choice looks at few
endpoints however many there are. An endpoint that gets no tasks now is taken
out of the index when a choice comes across it, and put back when its state has
changed or its exclusion is over.
"""

import bisect
import dataclasses
import heapq
import math
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple

from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import model
from fescueturn.scheduler.decisions import leaving
from fescueturn.scheduler.decisions import suitability

# Decimal digits to which slowness is rounded: endpoints that round to the same
# value count as equally fast. Slowness is learnt from run times whose estimates
# are off by up to 40%, so finer differences mean little.
SPEED_DIGITS = 1
# A task waits for a faster endpoint only while the fastest, if it were free
# now, would end the task more than this (s) before its objective. Twenty busy
# endpoints end a run every few milliseconds, so many become free in this time.
WAIT_MARGIN_S = 0.05
# Added to the slowness that a task accepts, since the learnt slowness may be
# off by this much. Otherwise tasks would wait for endpoints that only seem
# faster.
SLOWNESS_ERROR = 0.15
# Stands for the free CPU of an endpoint without a free slot; no task fits
# there.
_NO_SLOT = -1


@dataclasses.dataclass(frozen=True)
class Wanted:
  """What a task asks of its endpoint.

  Attributes:
    service: the service of its job.
    task: the task.
    step: its step.
    moved_from: the endpoint that it was moved from; "" if none.
    max_slowness: the slowness that the endpoint must stay below.
  """

  service: str
  task: model.Task
  step: model.Step
  moved_from: str = ""
  max_slowness: float = math.inf


def max_slowness(estimate_s: float, slack_s: float, fastest: float) -> float:
  """Returns how slow an endpoint may be for a task to start there now.

  A task that would end too late there waits for a faster endpoint, while the
  fastest would still end it in time. Tasks with more slack may use slower ones.

  Args:
    estimate_s: the task's estimated run time (s).
    slack_s: by how much longer than its estimate it may take, if it starts now,
      to end in time (s).
    fastest: the slowness of the fastest endpoint, busy or not.
  """
  spare_s = slack_s - estimate_s * (fastest - 1)
  if spare_s <= WAIT_MARGIN_S or not estimate_s:
    return math.inf
  return 1 + slack_s / estimate_s + SLOWNESS_ERROR


def allows(
    record: endpointstate.EndpointRecord, wanted: Wanted, now: float
) -> bool:
  """Returns whether a task may start now on an endpoint, and fits there."""
  step = wanted.step
  return (
      record.info.service == wanted.service
      and record.fits(step.need)
      and speed_of(record, now).slowness < wanted.max_slowness
      and suitability.has_label(record.info, step)
      and record.usable(now)
      # A task is moved only once, so it would stay there.
      and not (record.slow and record.info.id == wanted.moved_from)
      and not _has_most_runs(record, wanted)
  )


def _has_most_runs(record, wanted: Wanted) -> bool:
  """Returns whether an endpoint has as many runs of the step as it may have."""
  most = wanted.step.most_per_endpoint
  if not most:
    return False
  step_key = (wanted.task.job_id, wanted.task.step)
  runs = sum((r.task.job_id, r.task.step) == step_key for r in record.runs)
  return runs >= most


class Speed(NamedTuple):
  """How fast an endpoint is, the fastest first.

  Attributes:
    cold: True while it is slow after its start.
    slowness: the ratio of its run times to their estimates, rounded.
  """

  cold: bool
  slowness: float


def speed_of(record: endpointstate.EndpointRecord, now: float) -> Speed:
  """Returns how fast an endpoint is."""
  slowness = round(record.speed_factor, SPEED_DIGITS)
  return Speed(leaving.is_cold(record, now), slowness)


def rank(
    record: endpointstate.EndpointRecord, wanted: Wanted, now: float
) -> tuple[object, ...]:
  """Returns the key by which endpoints are compared; the least is the best.

  Avoids the endpoint that the task was moved from, then prefers the task's
  rack, a warm endpoint, the fastest one and the one with the most free CPU, in
  this order.
  """
  step = wanted.step
  return (
      record.info.id == wanted.moved_from,
      bool(step.near) and step.near not in record.info.labels,
      speed_of(record, now),
      -record.free.cpu,
      record.info.id,
  )


def choose_by_scan(
    records: Iterable[endpointstate.EndpointRecord],
    wanted: Wanted,
    now: float,
    risk: Callable[[endpointstate.EndpointRecord], tuple[object, ...]],
) -> endpointstate.EndpointRecord | None:
  """Returns the best endpoint for a task that may crash it; looks at all.

  Args:
    records: the endpoints.
    wanted: what the task asks of its endpoint.
    now: the time (s).
    risk: returns what the task would put at risk on an endpoint; the least is
      the best.
  """

  def key(record):
    moved_away, *others = rank(record, wanted, now)
    return (moved_away, risk(record), *others)

  allowed = [r for r in records if allows(r, wanted, now)]
  return min(allowed, key=key, default=None)


@dataclasses.dataclass(frozen=True)
class _Place:
  """Where an endpoint is in the index.

  Attributes:
    groups: the services and labels under which it is found.
    order: how fast it is.
    entry: its free CPU, negative so that the most comes first, and its id. One
      without a free slot counts as having less than none.
  """

  groups: tuple[tuple[str, str], ...]
  order: Speed
  entry: tuple[int, str]


def _place_of(record: endpointstate.EndpointRecord, now: float) -> _Place:
  service = record.info.service
  labels = ("", *dict.fromkeys(label for label in record.info.labels if label))
  groups = tuple((service, label) for label in labels)
  free_cpu = record.free.cpu if record.has_free_slot else _NO_SLOT
  entry = (-free_cpu, record.info.id)
  return _Place(groups, speed_of(record, now), entry)


class EndpointTable(dict[str, endpointstate.EndpointRecord]):
  """A holder's endpoints by id, with the index from which they are chosen.

  Each record reports its changes to the table that it is in.
  """

  def __init__(self):
    super().__init__()
    # By service and label, by speed: the entries in ascending order.
    self._groups: dict[tuple[str, str], dict[Speed, list[tuple[int, str]]]] = {}
    self._places: dict[str, _Place] = {}
    # Endpoints whose place in the index may be another one by now.
    self._changed: set[str] = set()
    # When endpoints change by themselves: exclusions end, cold ones are warm.
    self._due: list[tuple[float, str]] = []
    # Endpoints that the current choice has found unusable.
    self._met_unusable: list[str] = []

  def __setitem__(self, name: str, record: endpointstate.EndpointRecord):
    super().__setitem__(name, record)
    record.on_change = lambda: self._changed.add(name)
    self._changed.add(name)

  def __delitem__(self, name: str):
    super().__delitem__(name)
    self._changed.add(name)

  def pop(self, name: str, *default):
    """Removes an endpoint and returns its record."""
    self._changed.add(name)
    return super().pop(name, *default)

  def choose(
      self,
      wanted: Wanted,
      now: float,
      accepts: Callable[[endpointstate.EndpointRecord], bool] | None = None,
  ) -> endpointstate.EndpointRecord | None:
    """Returns the endpoint on which a task should start now, or None.

    Args:
      wanted: what the task asks of its endpoint.
      now: the time (s).
      accepts: a further condition on the endpoint.
    """
    self._update_index(now)
    chosen = self._first_allowed(wanted, now, accepts)
    for name in self._met_unusable:
      self._take_out(name, now)
    self._met_unusable.clear()
    return chosen

  def fastest(self, service: str, now: float) -> float:
    """Returns the slowness of the service's fastest warm endpoint, or 1."""
    self._update_index(now)
    speeds = self._groups.get((service, ""), {})
    return min((s.slowness for s in speeds if not s.cold), default=1.0)

  def _first_allowed(self, wanted: Wanted, now: float, accepts):
    moved_from = None
    for record in self._in_order(wanted, now):
      if not allows(record, wanted, now) or (accepts and not accepts(record)):
        continue
      if record.info.id != wanted.moved_from:
        return record
      moved_from = moved_from or record
    return moved_from

  def _in_order(
      self, wanted: Wanted, now: float
  ) -> Iterator[endpointstate.EndpointRecord]:
    """Yields the usable endpoints with enough free CPU, the best first."""
    step = wanted.step
    if step.near:
      yield from self._in_group((wanted.service, step.near), wanted, now)
    group = (wanted.service, step.requires)
    for record in self._in_group(group, wanted, now):
      if not step.near or step.near not in record.info.labels:
        yield record

  def _in_group(
      self, group: tuple[str, str], wanted: Wanted, now: float
  ) -> Iterator[endpointstate.EndpointRecord]:
    classes = self._groups.get(group, {})
    for speed in sorted(classes):
      if speed.slowness >= wanted.max_slowness:
        continue
      for free, name in classes[speed]:
        if -free < wanted.step.need.cpu:
          break
        record = self[name]
        if record.usable(now):
          yield record
        else:
          self._met_unusable.append(name)

  def _take_out(self, name: str, now: float):
    """Takes an endpoint out of the index until it may be usable again."""
    self._remove_place(name)
    excluded_until = self[name].exclusion.until
    if excluded_until > now:
      heapq.heappush(self._due, (excluded_until, name))

  def _update_index(self, now: float):
    while self._due and self._due[0][0] <= now:
      self._changed.add(heapq.heappop(self._due)[1])
    for name in self._changed:
      place = _place_of(self[name], now) if name in self else None
      is_cold = place is not None and place.order.cold
      if place == self._places.get(name) and not is_cold:
        continue  # A cold one's time may have been extended.
      self._remove_place(name)
      if place is not None:
        self._add_place(name, place)
    self._changed.clear()

  def _add_place(self, name: str, place: _Place):
    record = self[name]
    self._places[name] = place
    if place.order.cold:
      heapq.heappush(self._due, (record.cold_until, name))
    for group in place.groups:
      classes = self._groups.setdefault(group, {})
      bisect.insort(classes.setdefault(place.order, []), place.entry)

  def _remove_place(self, name: str):
    place = self._places.pop(name, None)
    if place is None:
      return
    for group in place.groups:
      classes = self._groups[group]
      entries = classes[place.order]
      del entries[bisect.bisect_left(entries, place.entry)]
      if not entries:
        del classes[place.order]
