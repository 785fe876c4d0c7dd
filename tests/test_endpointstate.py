"""Tests the free capacity of an endpoint while its total capacity changes."""

import dataclasses

import hypothesis
from hypothesis import strategies

from fescueturn import settings
from fescueturn.scheduler import endpointruns
from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import model

NEED = model.Resources(27000, 64, 0)
SLOTS = 8


def endpoint(cpu: int) -> model.Endpoint:
  address = settings.Address("e", 1)
  capacity = model.Resources(cpu, 131072, 0)
  return model.Endpoint("e", address, "s", "a", SLOTS, False, capacity)


def run(number: int, need=NEED) -> endpointruns.Run:
  task = model.Task("j", 0, number)
  return endpointruns.Run(
      model.RunId(task, 1), need, endpointruns.RunState.ORDERED, 0.0, 100
  )


def test_shrunk_endpoint_gets_no_tasks_until_its_runs_fit():
  record = endpointstate.EndpointRecord(endpoint(96000), 0.0)
  runs = [run(number) for number in range(3)]
  for started in runs:
    record.add(started)
  record.update(endpoint(64000))
  assert not record.fits(NEED)
  record.remove(runs[0].id)
  assert not record.fits(NEED)
  record.remove(runs[1].id)
  assert record.fits(NEED)


def test_grown_endpoint_gets_tasks_up_to_its_new_capacity():
  record = endpointstate.EndpointRecord(endpoint(27000), 0.0)
  record.add(run(0))
  assert not record.fits(NEED)
  record.update(endpoint(108000))
  assert record.free.count(NEED) == 3


STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("listed"), strategies.integers(0, 200_000)
        ),
        strategies.tuples(
            strategies.just("start"), strategies.integers(1, 60_000)
        ),
        strategies.tuples(strategies.just("found"), strategies.just(0)),
        strategies.tuples(strategies.just("ended"), strategies.integers(0, 9)),
        strategies.tuples(strategies.just("stop"), strategies.integers(0, 9)),
        strategies.tuples(strategies.just("unsure"), strategies.integers(0, 9)),
    ),
    max_size=60,
)


@hypothesis.given(STEPS)
def test_no_start_exceeds_the_last_listed_capacity(steps):
  """Stopping runs and unanswered start requests still take up capacity."""
  record = endpointstate.EndpointRecord(endpoint(64000), 0.0)
  cpu_by_run: dict[model.RunId, int] = {}
  for number, (action, amount) in enumerate(steps):
    runs = list(record.runs.values())
    if action == "listed":
      record.update(endpoint(amount))
    elif action == "start":
      need = dataclasses.replace(NEED, cpu=amount)
      if record.fits(need):
        record.add(run(number, need))
        cpu_by_run[run(number).id] = amount
        assert sum(cpu_by_run.values()) <= record.info.capacity.cpu
        assert len(record.runs) <= SLOTS
    elif action == "found":
      found_run = run(number, None)
      record.add(found_run)
      assert not record.fits(NEED)
      record.remove(found_run.id)
    elif runs and action == "ended":
      ended = runs[amount % len(runs)].id
      record.remove(ended)
      cpu_by_run.pop(ended)
    elif runs:
      states = {
          "stop": endpointruns.RunState.STOPPING,
          "unsure": endpointruns.RunState.UNSURE,
      }
      runs[amount % len(runs)].state = states[action]
