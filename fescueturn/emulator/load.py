"""Seeded load on an emulated fleet, and what its callers get.

The shape is the users' sheets': wide short jobs, narrow short ones, and jobs
of long tasks, on endpoints of two and three places in several data centres.
"""

import dataclasses

from hdrh import histogram

from fescueturn.emulator import fleet as fleet_lib
from fescueturn.scheduler import model

SERVICE = "s"
STARTUP_S = 1.0
# Callers of the sheets wait between 1.9 and 3.5 s.
MIN_CALLER_WAIT_S = 1.9
MAX_CALLER_WAIT_S = 3.5
# The objective's terms on the sheets.
STRETCH = 1.6
SLO_MS = 60
ATTEMPTS = 3
# An answer later than this many objectives is worth nothing to its caller.
LATE_FACTOR = 3.0
# Latencies up to a minute, in microseconds, to three digits.
MAX_LATENCY_US = 60_000_000


@dataclasses.dataclass(frozen=True)
class Kind:
  """A kind of job.

  Attributes:
    name: its name in the report.
    share: how often it comes, against the others.
    tasks: the mean count of its tasks.
    run_ms: the mean run time of a task.
  """

  name: str
  share: float
  tasks: int
  run_ms: int


KINDS = (
    Kind("wide", 34.4, 8, 60),
    Kind("long", 6.25, 4, 900),
    Kind("narrow", 100.0, 2, 200),
)


@dataclasses.dataclass(frozen=True)
class Plan:
  """A load to play.

  Attributes:
    seed: what the draws depend on.
    seconds: how long jobs come.
    jobs_per_s: how many, in the whole fleet.
    data_centres: how many.
    hosts: entry hosts a data centre.
    endpoints: endpoints a data centre; one in three has three places.
    lost_orders: share of the calls to endpoints that get no answer; orders are
      carried out seconds later.
  """

  seed: int = 1
  seconds: float = 30.0
  jobs_per_s: float = 70.0
  data_centres: int = 3
  hosts: int = 2
  endpoints: int = 8
  lost_orders: float = 0.0


@dataclasses.dataclass(frozen=True)
class KindReport:
  """What the callers of one kind of job got; times in ms."""

  kind: str
  asked: int
  in_time: int
  late: int
  refused: int
  failed: int
  p50_ms: float
  p99_ms: float


@dataclasses.dataclass(frozen=True)
class Report:
  """What a load's callers got, and what must never happen."""

  kinds: tuple[KindReport, ...]
  starts: int
  stops: int
  broken: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class _Asked:
  """A job handed in."""

  kind: Kind
  request: int
  objective_s: float


def build_fleet(plan: Plan) -> fleet_lib.Fleet:
  """Returns a fleet of the plan's size whose shards are all owned."""
  made = fleet_lib.Fleet(plan.seed)
  for centre in range(plan.data_centres):
    name = f"dc{centre}"
    for number in range(plan.hosts):
      made.add_host(f"{name}-host{number}", name)
    for number in range(plan.endpoints):
      cpu = 96000 if number % 3 == 2 else 64000
      endpoint = made.add_endpoint(f"{name}-endpoint{number}", name, cpu)
      endpoint.loss_rate = plan.lost_orders
  made.clock.run_until(STARTUP_S)
  return made


def simulate(plan: Plan) -> Report:
  """Plays a load and reports what its callers got."""
  return simulate_fleet(plan)[1]


def simulate_fleet(plan: Plan) -> tuple[fleet_lib.Fleet, Report]:
  """Plays a load; returns the fleet as it is then, too."""
  made = build_fleet(plan)
  asked: list[_Asked] = []
  for number in range(int(plan.seconds * plan.jobs_per_s)):
    when = STARTUP_S + number / plan.jobs_per_s
    made.clock.at(when, lambda n=number: asked.append(_hand_in(made, n)))
  made.clock.run_until(STARTUP_S + plan.seconds + MAX_CALLER_WAIT_S + 1.0)
  return made, _report(made, asked)


def _hand_in(made: fleet_lib.Fleet, number: int) -> _Asked:
  rng = made.rng
  kind = rng.choices(KINDS, [k.share for k in KINDS])[0]
  count = max(1, round(rng.gauss(kind.tasks, 0.4 * kind.tasks)))
  mean_ms = max(0.2 * kind.run_ms, rng.gauss(kind.run_ms, 0.4 * kind.run_ms))
  run_s = [mean_ms / 1000 * rng.uniform(0.85, 1.15) for _ in range(count)]
  guess_ms = int(mean_ms * rng.uniform(0.6, 1.4))
  need = model.Resources(rng.randint(24000, 30000), 64, 0)
  job = model.Job(
      f"j{number}",
      SERVICE,
      "spec",
      (model.Step(count, need, guess_ms),),
      ATTEMPTS,
      STRETCH,
      SLO_MS,
      kind.name,
  )
  wait_s = rng.uniform(MIN_CALLER_WAIT_S, MAX_CALLER_WAIT_S)
  host = rng.choice(list(made.hosts))
  request = made.submit(host, job, run_s, wait_s)
  return _Asked(kind, request, STRETCH * max(run_s) + SLO_MS / 1000)


def _report(made: fleet_lib.Fleet, asked: list[_Asked]) -> Report:
  endpoints = made.endpoints.values()
  return Report(
      tuple(_kind_report(made, kind, asked) for kind in KINDS),
      sum(len(e.starts) for e in endpoints),
      sum(e.stops for e in endpoints),
      tuple(made.broken),
  )


def _kind_report(made, kind: Kind, asked: list[_Asked]) -> KindReport:
  counts = dict.fromkeys(("in_time", "late", "refused", "failed"), 0)
  latency = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
  of_kind = [one for one in asked if one.kind is kind]
  for one in of_kind:
    got = made.answers[one.request]
    counts[_class_of(got, one.objective_s)] += 1
    if got.answer.outcome is model.Outcome.DONE:
      latency.record_value(int(got.took_s * 1e6))
  return KindReport(
      kind.name,
      len(of_kind),
      p50_ms=latency.get_value_at_percentile(50) / 1000,
      p99_ms=latency.get_value_at_percentile(99) / 1000,
      **counts,
  )


def _class_of(got: fleet_lib.CallerAnswer, objective_s: float) -> str:
  if got.answer.outcome is model.Outcome.NOT_RUN:
    return "refused"
  if got.answer.outcome is not model.Outcome.DONE:
    return "failed"
  if got.took_s <= objective_s:
    return "in_time"
  return "late" if got.took_s <= LATE_FACTOR * objective_s else "failed"
