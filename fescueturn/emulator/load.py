"""Seeded load on an emulated fleet, and a report of the answers to callers.

The mix follows the users' data sheets: short jobs of many tasks (wide), short
jobs of few tasks (narrow) and jobs of long tasks (long), in several data
centres whose endpoints have the resources for two or three tasks each.
"""

import dataclasses
import random

from hdrh import histogram

from fescueturn.emulator import fleet as fleet_lib
from fescueturn.scheduler import model

SERVICE = "s"
# Time (s) until all shards are owned, before the load begins.
STARTUP_S = 1.0
# On the users' data sheets, callers wait between 1.9 and 3.5 s for an answer.
MIN_CALLER_WAIT_S = 1.9
MAX_CALLER_WAIT_S = 3.5
# The latency objective on the users' data sheets: STRETCH times the job's
# longest run plus SLO_MS.
STRETCH = 1.6
SLO_MS = 60
ATTEMPTS = 3
# An answer that takes longer than this many times the objective is useless to
# its caller and counts as failed.
LATE_FACTOR = 3.0
# The upper end of the latency histogram: one minute, in microseconds.
MAX_LATENCY_US = 60_000_000
# How many times as long as usual a long task (`Plan.long_tasks`) takes.
LONG_TASK_FACTOR = 7.0


@dataclasses.dataclass(frozen=True)
class Kind:
  """A kind of job.

  Attributes:
    name: its name in the report.
    share: its weight in the mix of kinds.
    tasks: the mean number of its tasks.
    run_ms: the mean run time (ms) of a task.
    priority: its queue's priority; 0 is the most urgent.
  """

  name: str
  share: float
  tasks: int
  run_ms: int
  priority: int = 0


KINDS = (
    Kind("wide", 34.4, 8, 60, 0),
    Kind("long", 6.25, 4, 900, 2),
    Kind("narrow", 100.0, 2, 200, 1),
)


@dataclasses.dataclass(frozen=True)
class Burst:
  """A time with more jobs than usual.

  Attributes:
    start_s: when it begins, in seconds from the start of the load.
    seconds: how long it lasts.
    factor: how many times the usual number of jobs are submitted.
    kind: the kind of job that it concerns; "" for all.
    data_centre: the data centre whose callers it concerns; "" for all.
  """

  start_s: float
  seconds: float
  factor: float
  kind: str = ""
  data_centre: str = ""

  def concerns(self, kind: Kind, data_centre: str, at_s: float) -> bool:
    """Returns whether it raises the number of such jobs at a time (s)."""
    return (
        self.start_s <= at_s < self.start_s + self.seconds
        and self.kind in ("", kind.name)
        and self.data_centre in ("", data_centre)
    )


@dataclasses.dataclass(frozen=True)
class Plan:
  """A load and the size of the fleet that serves it.

  Attributes:
    seed: the seed of all random choices.
    seconds: the time (s) during which jobs are submitted.
    jobs_per_s: the rate of jobs in the whole fleet.
    data_centres: the number of data centres.
    hosts: entry hosts per data centre.
    endpoints: endpoints per data centre; every third one has the resources for
      three tasks, the others for two.
    lost_orders: share of the calls to endpoints that get no answer; start and
      stop orders among them are executed seconds later.
    bursts: the times with more jobs.
    task_cpu: the least and the most CPU that a task needs, in thousandths of a
      core.
    run_time_factors: how many times its nominal time a task takes on the first,
      second, ... endpoint of a data centre, in turn.
    urgencies: True if the kinds' priorities count; False if all jobs are
      equally urgent.
    long_tasks: share of the tasks that take `LONG_TASK_FACTOR` times as long as
      the others of their job.
  """

  seed: int = 1
  seconds: float = 30.0
  jobs_per_s: float = 70.0
  data_centres: int = 3
  hosts: int = 2
  endpoints: int = 8
  lost_orders: float = 0.0
  bursts: tuple[Burst, ...] = ()
  task_cpu: tuple[int, int] = (24000, 30000)
  run_time_factors: tuple[float, ...] = (1.0,)
  urgencies: bool = False
  long_tasks: float = 0.0


@dataclasses.dataclass(frozen=True)
class KindReport:
  """The answers to one kind of job.

  Attributes:
    kind: the kind's name.
    asked: the number of submitted jobs.
    in_time: jobs done within their objective.
    late: jobs done after their objective, but within `LATE_FACTOR` times it.
    refused: jobs that were refused and have not run.
    refused_beside_room: those of them whose tasks the endpoints could all have
      started when they were refused.
    failed: all other jobs.
    p50_ms: median latency (ms) of the jobs done.
    p99_ms: 99th percentile of the latency (ms) of the jobs done.
  """

  kind: str
  asked: int
  in_time: int
  late: int
  refused: int
  refused_beside_room: int
  failed: int
  p50_ms: float
  p99_ms: float


@dataclasses.dataclass(frozen=True)
class Report:
  """The result of a simulated load.

  Attributes:
    kinds: the answers by kind of job.
    starts: runs started on all endpoints.
    stops: stop orders accepted by all endpoints.
    broken: a line for each violation of the scheduler's invariants.
  """

  kinds: tuple[KindReport, ...]
  starts: int
  stops: int
  broken: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class _SubmittedJob:
  """A submitted job.

  Attributes:
    kind: its kind.
    data_centre: the data centre of its caller.
    submitted_at_s: when it was submitted, in seconds from the load's start.
    request: its request's number in the fleet.
    objective_s: its latency objective (s).
  """

  kind: Kind
  data_centre: str
  submitted_at_s: float
  request: int
  objective_s: float


def build_fleet(plan: Plan) -> fleet_lib.Fleet:
  """Returns a fleet of the plan's size whose shards are all owned."""
  fleet = fleet_lib.Fleet(plan.seed)
  for index in range(plan.data_centres):
    name = f"dc{index}"
    for number in range(plan.hosts):
      fleet.add_host(f"{name}-host{number}", name)
    for number in range(plan.endpoints):
      cpu = 96000 if number % 3 == 2 else 64000
      endpoint = fleet.add_endpoint(f"{name}-endpoint{number}", name, cpu)
      endpoint.loss_rate = plan.lost_orders
      factors = plan.run_time_factors
      endpoint.slowdown = factors[number % len(factors)]
  fleet.clock.run_until(STARTUP_S)
  return fleet


def simulate(plan: Plan) -> Report:
  """Simulates a load and returns its report."""
  return simulate_fleet(plan)[1]


def simulate_fleet(plan: Plan) -> tuple[fleet_lib.Fleet, Report]:
  """Simulates a load; returns the fleet at the end and the report."""
  fleet, submitted = _submit_all(plan)
  return fleet, _report(fleet, submitted)


def simulate_between(plan: Plan, start_s: float, end_s: float) -> Report:
  """Simulates a load; reports the jobs submitted between two times (s)."""
  fleet, submitted = _submit_all(plan)
  chosen = [j for j in submitted if start_s <= j.submitted_at_s < end_s]
  return _report(fleet, chosen)


def _submit_all(plan: Plan) -> tuple[fleet_lib.Fleet, list[_SubmittedJob]]:
  """Runs a plan's whole load; returns the fleet at the end and the jobs."""
  fleet = build_fleet(plan)
  submitted: list[_SubmittedJob] = []
  for number in range(int(plan.seconds * plan.jobs_per_s)):
    at_s = number / plan.jobs_per_s
    fleet.clock.at(
        STARTUP_S + at_s,
        lambda n=number, t=at_s: _submit(fleet, plan, n, t, submitted),
    )
  fleet.clock.run_until(STARTUP_S + plan.seconds + MAX_CALLER_WAIT_S + 1.0)
  return fleet, submitted


def _submit(
    fleet: fleet_lib.Fleet,
    plan: Plan,
    number: int,
    at_s: float,
    submitted: list[_SubmittedJob],
):
  """Submits a job, and during a burst further ones of the same kind.

  Its choices depend on the seed and the job's number only, so that plans and
  versions of the code are compared on the same jobs.
  """
  rng = random.Random(f"{plan.seed}/{number}")
  kind = rng.choices(KINDS, [k.share for k in KINDS])[0]
  host = rng.choice(list(fleet.hosts))
  data_centre = fleet.hosts[host].data_centre
  factor = 1.0
  for burst in plan.bursts:
    if burst.concerns(kind, data_centre, at_s):
      factor *= burst.factor
  copies = int(factor + rng.random())
  for copy in range(copies):
    name = f"j{number}" if not copy else f"j{number}-{copy}"
    submitted.append(_submit_one(fleet, plan, name, kind, host, at_s, rng))


def _submit_one(
    fleet: fleet_lib.Fleet,
    plan: Plan,
    name: str,
    kind: Kind,
    host: str,
    at_s: float,
    rng: random.Random,
) -> _SubmittedJob:
  count = max(1, round(rng.gauss(kind.tasks, 0.4 * kind.tasks)))
  mean_ms = max(0.2 * kind.run_ms, rng.gauss(kind.run_ms, 0.4 * kind.run_ms))
  run_s = [mean_ms / 1000 * rng.uniform(0.85, 1.15) for _ in range(count)]
  if plan.long_tasks:
    run_s = [
        s * LONG_TASK_FACTOR if rng.random() < plan.long_tasks else s
        for s in run_s
    ]
  estimate_ms = int(mean_ms * rng.uniform(0.6, 1.4))
  need = model.Resources(rng.randint(*plan.task_cpu), 64, 0)
  job = model.Job(
      name,
      SERVICE,
      "spec",
      (model.Step(count, need, estimate_ms),),
      ATTEMPTS,
      STRETCH,
      SLO_MS,
      kind.name,
      priority=kind.priority if plan.urgencies else 0,
  )
  wait_s = rng.uniform(MIN_CALLER_WAIT_S, MAX_CALLER_WAIT_S)
  request = fleet.submit(host, job, run_s, wait_s)
  objective_s = STRETCH * max(run_s) + SLO_MS / 1000
  data_centre = fleet.hosts[host].data_centre
  return _SubmittedJob(kind, data_centre, at_s, request, objective_s)


def _report(fleet: fleet_lib.Fleet, submitted: list[_SubmittedJob]) -> Report:
  endpoints = fleet.endpoints.values()
  return Report(
      tuple(_kind_report(fleet, kind, submitted) for kind in KINDS),
      sum(len(e.starts) for e in endpoints),
      sum(e.stops for e in endpoints),
      tuple(fleet.broken),
  )


def _kind_report(
    fleet, kind: Kind, submitted: list[_SubmittedJob]
) -> KindReport:
  counts = dict.fromkeys(("in_time", "late", "refused", "failed"), 0)
  beside_room = 0
  latency = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
  of_kind = [job for job in submitted if job.kind is kind]
  for job in of_kind:
    result = fleet.answers[job.request]
    counts[_classify(result, job.objective_s)] += 1
    beside_room += result.beside_room
    if result.answer.outcome is model.Outcome.DONE:
      latency.record_value(int(result.took_s * 1e6))
  return KindReport(
      kind.name,
      len(of_kind),
      refused_beside_room=beside_room,
      p50_ms=latency.get_value_at_percentile(50) / 1000,
      p99_ms=latency.get_value_at_percentile(99) / 1000,
      **counts,
  )


def _classify(result: fleet_lib.CallerAnswer, objective_s: float) -> str:
  if result.answer.outcome is model.Outcome.NOT_RUN:
    return "refused"
  if result.answer.outcome is not model.Outcome.DONE:
    return "failed"
  if result.took_s <= objective_s:
    return "in_time"
  return "late" if result.took_s <= LATE_FACTOR * objective_s else "failed"
