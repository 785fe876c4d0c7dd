"""Benchmark of the choice of an endpoint, at any number of endpoints.

It simulates a busy holder: each task that is placed takes the place of one that
has ended, on endpoints of different sizes and speeds that are nearly full. It
measures the index and, for comparison, a scan of all endpoints.
"""

import dataclasses
import itertools
import random
import time
from collections.abc import Callable

from fescueturn import settings
from fescueturn.scheduler import endpointruns
from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import model
from fescueturn.scheduler.decisions import placing

SERVICE = "s"
# The least and the most CPU of a task, in thousandths of a core.
TASK_CPU = (25600, 38400)
# The speed factors of the endpoints; above 1 is slower.
SPEEDS = (0.8, 1.0, 1.2)
# The number of endpoints that all measured scans together look at, which bounds
# the benchmark's time.
SCANNED_ENDPOINTS = 500_000


@dataclasses.dataclass(frozen=True)
class Costs:
  """The measured costs.

  Attributes:
    endpoints: the number of endpoints.
    us_per_task: processor time (us) to choose an endpoint, add the run there
      and remove another run.
    us_per_refusal: the same to find that no endpoint has room.
    us_per_scan: the same to choose an endpoint by a scan of all.
  """

  endpoints: int
  us_per_task: float
  us_per_refusal: float
  us_per_scan: float


def measure(endpoints: int, tasks: int) -> Costs:
  """Places tasks on a nearly full table of endpoints, without any I/O."""
  rng = random.Random(endpoints)
  table = _filled_table(rng, endpoints)
  numbers = itertools.count()
  running: list[tuple[endpointstate.EndpointRecord, model.RunId]] = []

  def start(choose) -> bool:
    wanted = _wanted(rng, next(numbers))
    record = choose(wanted)
    if record is None:
      return False
    run = model.RunId(wanted.task, 1)
    state = endpointruns.RunState.RUNNING
    record.add(endpointruns.Run(run, wanted.step.need, state, 0.0, 100))
    running.append((record, run))
    return True

  def by_index(wanted):
    return table.choose(wanted, 1.0)

  def by_scan(wanted):
    return placing.choose_by_scan(table.values(), wanted, 1.0, lambda _: ())

  while start(by_index):
    pass

  def turn_over(choose):
    for _ in range(2):
      number = rng.randrange(len(running))
      running[number], running[-1] = running[-1], running[number]
      record, run = running.pop()
      record.remove(run)
    while len(running) < full and start(choose):
      pass

  full = len(running)
  too_large = dataclasses.replace(
      _wanted(rng, 0), step=model.Step(1, model.Resources(95_000, 64, 0), 100)
  )
  scans = max(1, min(tasks, SCANNED_ENDPOINTS // endpoints))
  return Costs(
      endpoints,
      _us_per_call(lambda: turn_over(by_index), tasks) / 2,
      _us_per_call(lambda: by_index(too_large), tasks),
      _us_per_call(lambda: turn_over(by_scan), scans) / 2,
  )


def _us_per_call(call: Callable[[], object], times: int) -> float:
  started_at = time.process_time()
  for _ in range(times):
    call()
  return 1e6 * (time.process_time() - started_at) / times


def _filled_table(rng: random.Random, endpoints: int) -> placing.EndpointTable:
  table = placing.EndpointTable()
  for number in range(endpoints):
    info = model.Endpoint(
        f"e{number}",
        settings.Address("127.0.0.1", 1),
        SERVICE,
        "dc",
        8,
        False,
        model.Resources(96000 if number % 3 == 2 else 64000, 131072, 0),
        ("a", f"r{number // 20}"),
    )
    record = endpointstate.EndpointRecord(info, 0.0)
    record.runs_known = True
    record.speed.set_faulty(rng.choice(SPEEDS) * rng.uniform(0.9, 1.1))
    table[info.id] = record
  return table


def _wanted(rng: random.Random, number: int) -> placing.Wanted:
  need = model.Resources(rng.randint(*TASK_CPU), 64, 0)
  task = model.Task(f"j{number}", 0, 0)
  return placing.Wanted(SERVICE, task, model.Step(1, need, 100))
