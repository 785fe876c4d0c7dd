"""Seeded load on an emulated fleet, and a report of the answers to callers.

The mix follows the users' data sheets: short jobs of many tasks (wide), short
jobs of few tasks (narrow) and jobs of long tasks (long), in several data centres
whose endpoints have the resources for two or three tasks each.
"""

import dataclasses

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


@dataclasses.dataclass(frozen=True)
class Kind:
  """A kind of job.

  Attributes:
    name: its name in the report.
    share: its weight in the mix of kinds.
    tasks: the mean number of its tasks.
    run_ms: the mean run time (ms) of a task.
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
  """The answers to one kind of job.

  Attributes:
    kind: the kind's name.
    asked: the number of submitted jobs.
    in_time: jobs done within their objective.
    late: jobs done after their objective, but within `LATE_FACTOR` times it.
    refused: jobs that were refused and have not run.
    failed: all other jobs.
    p50_ms: median latency (ms) of the jobs done.
    p99_ms: 99th percentile of the latency (ms) of the jobs done.
  """

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
    request: its request's number in the fleet.
    objective_s: its latency objective (s).
  """

  kind: Kind
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
  fleet.clock.run_until(STARTUP_S)
  return fleet


def simulate(plan: Plan) -> Report:
  """Simulates a load and returns its report."""
  return simulate_fleet(plan)[1]


def simulate_fleet(plan: Plan) -> tuple[fleet_lib.Fleet, Report]:
  """Simulates a load; returns the fleet at the end and the report."""
  fleet = build_fleet(plan)
  submitted: list[_SubmittedJob] = []
  for number in range(int(plan.seconds * plan.jobs_per_s)):
    when = STARTUP_S + number / plan.jobs_per_s
    fleet.clock.at(when, lambda n=number: submitted.append(_submit(fleet, n)))
  fleet.clock.run_until(STARTUP_S + plan.seconds + MAX_CALLER_WAIT_S + 1.0)
  return fleet, _report(fleet, submitted)


def _submit(fleet: fleet_lib.Fleet, number: int) -> _SubmittedJob:
  rng = fleet.rng
  kind = rng.choices(KINDS, [k.share for k in KINDS])[0]
  count = max(1, round(rng.gauss(kind.tasks, 0.4 * kind.tasks)))
  mean_ms = max(0.2 * kind.run_ms, rng.gauss(kind.run_ms, 0.4 * kind.run_ms))
  run_s = [mean_ms / 1000 * rng.uniform(0.85, 1.15) for _ in range(count)]
  estimate_ms = int(mean_ms * rng.uniform(0.6, 1.4))
  need = model.Resources(rng.randint(24000, 30000), 64, 0)
  job = model.Job(
      f"j{number}",
      SERVICE,
      "spec",
      (model.Step(count, need, estimate_ms),),
      ATTEMPTS,
      STRETCH,
      SLO_MS,
      kind.name,
  )
  wait_s = rng.uniform(MIN_CALLER_WAIT_S, MAX_CALLER_WAIT_S)
  host = rng.choice(list(fleet.hosts))
  request = fleet.submit(host, job, run_s, wait_s)
  return _SubmittedJob(kind, request, STRETCH * max(run_s) + SLO_MS / 1000)


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
  latency = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
  of_kind = [job for job in submitted if job.kind is kind]
  for job in of_kind:
    result = fleet.answers[job.request]
    counts[_classify(result, job.objective_s)] += 1
    if result.answer.outcome is model.Outcome.DONE:
      latency.record_value(int(result.took_s * 1e6))
  return KindReport(
      kind.name,
      len(of_kind),
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
