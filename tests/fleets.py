"""Fleets of emulated hosts and endpoints, and their load, for tests."""

from fescueturn.emulator import fleet as fleet_lib
from fescueturn.emulator import hosts as hosts_lib
from fescueturn.scheduler import model

NEED = model.Resources(27000, 64, 0)
ZONES = ("a", "b", "c")


def job(name: str, count: int, run_ms: int, slo_ms: int = 60) -> model.Job:
  steps = (model.Step(count, NEED, run_ms),)
  return model.Job(name, "s", "spec", steps, 3, 1.6, slo_ms)


def fleet(hosts: int = 3, endpoints: int = 8, seed: int = 0) -> fleet_lib.Fleet:
  made = fleet_lib.Fleet(seed)
  for zone in ZONES:
    for number in range(hosts):
      made.add_host(f"{zone}{number}", zone)
    for number in range(endpoints):
      cpu = 96000 if number % 3 == 2 else 64000
      made.add_endpoint(f"e-{zone}{number}", zone, cpu)
  made.clock.run_until(1.0)
  return made


def owner_of(made: fleet_lib.Fleet, zone: str) -> hosts_lib.EmulatedHost:
  owners = [
      h
      for h in made.hosts.values()
      if h.up and not h.frozen and h.data_centre == zone and h.state.owners
  ]
  assert len(owners) == 1
  return owners[0]


def other_host(made, owner) -> hosts_lib.EmulatedHost:
  return next(
      h
      for h in made.hosts.values()
      if h is not owner and h.data_centre == owner.data_centre
  )


def submit_load(made, hosts, seconds: float, per_s: float, prefix: str = "j"):
  """Hands in the sheets' mix of jobs at `hosts`, `per_s` in all."""
  kinds = ((17, 8, 60), (3, 4, 900), (50, 2, 200))
  requests = []
  start = made.clock.now
  count = int(seconds * per_s)
  for number in range(count):
    when = start + number / per_s
    _, tasks, run_ms = made.rng.choices(kinds, [k[0] for k in kinds])[0]
    real = [run_ms / 1000 * made.rng.uniform(0.7, 1.4) for _ in range(tasks)]

    def hand_in(number=number, tasks=tasks, run_ms=run_ms, real=real):
      host = made.rng.choice([h for h in hosts if h.up and not h.frozen])
      wanted = job(f"{prefix}{number}", tasks, run_ms)
      requests.append(made.submit(host.name, wanted, real))

    made.clock.at(when, hand_in)
  return requests


def count_outcomes(made, requests) -> dict[model.Outcome, int]:
  found = {}
  for request in requests:
    outcome = made.answers[request].answer.outcome
    found[outcome] = found.get(outcome, 0) + 1
  return found


def zone_hosts(made, zone):
  return [h for h in made.hosts.values() if h.data_centre == zone]
