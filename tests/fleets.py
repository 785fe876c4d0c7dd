"""Builds emulated fleets and their load for tests."""

from fescueturn.emulator import fleet as fleet_lib
from fescueturn.emulator import hosts as hosts_lib
from fescueturn.scheduler import model

NEED = model.Resources(27000, 64, 0)
DATA_CENTRES = ("a", "b", "c")


def job(name: str, count: int, run_ms: int, slo_ms: int = 60) -> model.Job:
  steps = (model.Step(count, NEED, run_ms),)
  return model.Job(name, "s", "spec", steps, 3, 1.6, slo_ms)


def fleet(hosts: int = 3, endpoints: int = 8, seed: int = 0) -> fleet_lib.Fleet:
  """Returns a fleet of three data centres whose shards are all owned.

  Args:
    hosts: hosts per data centre.
    endpoints: endpoints per data centre.
    seed: the seed of all random choices.
  """
  new_fleet = fleet_lib.Fleet(seed)
  for data_centre in DATA_CENTRES:
    for number in range(hosts):
      new_fleet.add_host(f"{data_centre}{number}", data_centre)
    for number in range(endpoints):
      cpu = 96000 if number % 3 == 2 else 64000
      new_fleet.add_endpoint(f"e-{data_centre}{number}", data_centre, cpu)
  new_fleet.clock.run_until(1.0)
  return new_fleet


def owner_of(
    fleet: fleet_lib.Fleet, data_centre_name: str
) -> hosts_lib.EmulatedHost:
  """Returns the running host that owns a data centre's shard."""
  owners = [
      h
      for h in fleet.hosts.values()
      if h.up
      and not h.frozen
      and h.data_centre == data_centre_name
      and h.state.owners
  ]
  assert len(owners) == 1
  return owners[0]


def other_host(fleet, owner) -> hosts_lib.EmulatedHost:
  """Returns a host of the same data centre as `owner`, but not `owner`."""
  return next(
      h
      for h in fleet.hosts.values()
      if h is not owner and h.data_centre == owner.data_centre
  )


def submit_load(fleet, hosts, seconds: float, per_s: float, prefix: str = "j"):
  """Submits jobs to `hosts` in the mix of the users' data sheets.

  Args:
    fleet: the fleet.
    hosts: the hosts; each job goes to a running one, chosen at random.
    seconds: the time (s) during which jobs are submitted.
    per_s: the rate of jobs over all hosts.
    prefix: the start of the jobs' ids.

  Returns:
    The list to which the request numbers are added as the jobs are submitted.
  """
  kinds = ((17, 8, 60), (3, 4, 900), (50, 2, 200))
  requests = []
  start = fleet.clock.now
  count = int(seconds * per_s)
  for number in range(count):
    when = start + number / per_s
    _, tasks, run_ms = fleet.rng.choices(kinds, [k[0] for k in kinds])[0]
    run_s = [run_ms / 1000 * fleet.rng.uniform(0.7, 1.4) for _ in range(tasks)]

    def submit_job(number=number, tasks=tasks, run_ms=run_ms, run_s=run_s):
      host = fleet.rng.choice([h for h in hosts if h.up and not h.frozen])
      new_job = job(f"{prefix}{number}", tasks, run_ms)
      requests.append(fleet.submit(host.name, new_job, run_s))

    fleet.clock.at(when, submit_job)
  return requests


def count_outcomes(fleet, requests) -> dict[model.Outcome, int]:
  """Returns the number of requests by their outcome."""
  counts = {}
  for request in requests:
    outcome = fleet.answers[request].answer.outcome
    counts[outcome] = counts.get(outcome, 0) + 1
  return counts


def hosts_in(fleet, data_centre_name):
  return [h for h in fleet.hosts.values() if h.data_centre == data_centre_name]
