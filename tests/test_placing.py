"""Tests the choice of endpoints from the index by speed and free CPU."""

import dataclasses
import math

import hypothesis
from hypothesis import strategies

from fescueturn import settings
from fescueturn.scheduler import endpointhealth
from fescueturn.scheduler import endpointruns
from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import model
from fescueturn.scheduler.decisions import placing
from tests import fleets

RACKS = ("r0", "r1")
SLOTS = 3


def endpoint(
    name: str, cpu: int = 64000, labels=("a", "r0"), service: str = "s"
) -> model.Endpoint:
  return model.Endpoint(
      name,
      settings.Address(name, 1),
      service,
      "dc",
      SLOTS,
      False,
      model.Resources(cpu, 4096, 0),
      labels,
  )


def known_record(info: model.Endpoint) -> endpointstate.EndpointRecord:
  record = endpointstate.EndpointRecord(info, 0.0)
  record.runs_known = True
  return record


def table_of(*infos: model.Endpoint) -> placing.EndpointTable:
  table = placing.EndpointTable()
  for info in infos:
    table[info.id] = known_record(info)
  return table


def add_run(record, cpu: int, number: int, mem_mb: int = 64):
  run = model.RunId(model.Task(f"j{number % 3}", 0, number), 1)
  need = model.Resources(cpu, mem_mb, 0)
  state = endpointruns.RunState.RUNNING
  record.add(endpointruns.Run(run, need, state, 0.0, 100))


def wanted(cpu: int, moved_from: str = "", **step) -> placing.Wanted:
  need = model.Resources(cpu, 64, 0)
  task = model.Task("j0", 0, 99)
  return placing.Wanted("s", task, model.Step(1, need, 100, **step), moved_from)


def set_slowness(record: endpointstate.EndpointRecord, slowness: float):
  record.speed.set_faulty(slowness)
  record.on_change()


def name_of(record: endpointstate.EndpointRecord | None) -> str:
  return record.info.id if record is not None else ""


def test_fastest_endpoint_with_room_is_chosen_then_the_emptiest():
  table = table_of(endpoint("e0"), endpoint("e1", 96000), endpoint("e2"))
  assert name_of(table.choose(wanted(32000), 1.0)) == "e1"
  add_run(table["e1"], 40000, 0)
  assert name_of(table.choose(wanted(32000), 1.0)) == "e0"
  table["e2"].speed.set_faulty(0.5)
  table["e2"].on_change()
  assert name_of(table.choose(wanted(32000), 1.0)) == "e2", "it is faster"
  assert table.choose(wanted(97000), 1.0) is None


def test_task_returns_to_the_endpoint_it_was_moved_from_only_if_no_other_fits():
  table = table_of(endpoint("e0"), endpoint("e1"))
  assert name_of(table.choose(wanted(32000, "e0"), 1.0)) == "e1"
  add_run(table["e1"], 40000, 0)
  assert name_of(table.choose(wanted(32000, "e0"), 1.0)) == "e0"


def test_endpoint_is_chosen_again_once_its_exclusion_is_over():
  table = table_of(endpoint("e0"))
  table["e0"].exclusion.back_off(1.0)
  assert table.choose(wanted(32000), 1.1) is None
  later = 1.0 + endpointhealth.BACK_OFF_S
  assert name_of(table.choose(wanted(32000), later)) == "e0"


def test_silent_endpoint_is_chosen_again_once_it_answers():
  table = table_of(endpoint("e0"))
  table["e0"].mark_silent(1.0)
  assert table.choose(wanted(32000), 1.1) is None
  table["e0"].update_clock(500, 1.2)
  assert name_of(table.choose(wanted(32000), 1.2)) == "e0"


def test_cold_endpoint_comes_last_until_it_is_warm():
  table = table_of(endpoint("e0", 96000), endpoint("e1"))
  table["e0"].cold_until = 5.0
  assert name_of(table.choose(wanted(32000), 1.0)) == "e1"
  assert name_of(table.choose(wanted(70000), 1.0)) == "e0"
  assert name_of(table.choose(wanted(32000), 5.0)) == "e0"


def test_replaced_and_removed_endpoints_are_not_chosen():
  table = table_of(endpoint("e0"), endpoint("e1"))
  table["e0"] = known_record(endpoint("e0", 10000))
  assert name_of(table.choose(wanted(32000), 1.0)) == "e1"
  table.pop("e1")
  assert table.choose(wanted(32000), 1.0) is None


ENDPOINTS = 4


def test_task_waits_for_a_faster_endpoint_that_would_still_end_it_in_time():
  table = table_of(endpoint("e0"), endpoint("e1"))
  set_slowness(table["e0"], 0.6)
  set_slowness(table["e1"], 1.6)
  add_run(table["e0"], 60000, 0)
  assert table.fastest("s", 1.0) == 0.6, "also while it is busy"

  def chosen_with(slack_s: float) -> str:
    limit = placing.max_slowness(0.9, slack_s, table.fastest("s", 1.0))
    task = dataclasses.replace(wanted(32000), max_slowness=limit)
    return name_of(table.choose(task, 1.0))

  assert chosen_with(0.6) == "e1", "it ends in time there"
  assert chosen_with(0.3) == ""
  assert chosen_with(-0.3) == ""
  assert chosen_with(-0.32) == "e1", "it is late anywhere"


@hypothesis.given(
    strategies.floats(0.01, 10),
    strategies.floats(-10, 10),
    strategies.floats(0.2, 8),
)
def test_fastest_endpoint_is_never_too_slow(estimate_s, slack_s, fastest):
  """Guards against tasks that wait although nothing faster can come free."""
  assert placing.max_slowness(estimate_s, slack_s, fastest) > fastest


def test_job_with_slack_runs_on_a_slow_endpoint_at_once():
  emulation = fleets.fleet(endpoints=1)
  for one in emulation.endpoints.values():
    one.slowdown = 1.25
  request = emulation.submit("a0", fleets.job("j", 2, 200), [0.2] * 2)
  emulation.clock.run_until(2.0)
  assert emulation.answers[request].took_s < 0.2 * 1.25 + 0.05


NUMBERS = strategies.integers(0, ENDPOINTS - 1)
CPU = strategies.integers(1, 8).map(lambda n: n * 8000)
CHANGES = strategies.one_of(
    strategies.tuples(strategies.just("run"), NUMBERS, CPU),
    strategies.tuples(
        strategies.sampled_from(
            (
                "end",
                "done",
                "silent",
                "suspect",
                "answer",
                "back_off",
                "eject",
                "drain",
                "unlist",
                "list",
                "cold",
                "forget",
                "known",
                "slow",
                "full",
            )
        ),
        NUMBERS,
        CPU,
    ),
)
STEPS = strategies.fixed_dictionaries(
    {},
    optional={
        "requires": strategies.sampled_from(("a", "r1")),
        "near": strategies.sampled_from(RACKS),
        "most_per_endpoint": strategies.integers(1, 2),
    },
)


def apply_change(table, infos, change: str, number: int, cpu: int, now: float):
  """Changes one endpoint as the holder's other modules do."""
  info = infos[number]
  record = table.get(info.id)
  if record is None:
    table[info.id] = endpointstate.EndpointRecord(info, now)
    return
  if change == "run":
    add_run(record, cpu, int(now * 10))
  elif change == "full":
    add_run(record, 1000, int(now * 10), mem_mb=4096)
  elif change in ("end", "done") and record.runs:
    run = record.remove(next(iter(record.runs)))
    if change == "done":
      record.speed.set_faulty(0.7)
      record.on_change()
  elif change == "silent":
    record.mark_silent(now)
  elif change == "suspect":
    record.suspected_since = now
  elif change == "answer":
    record.update_clock(int(now * 1000), now)
  elif change == "back_off":
    record.exclusion.back_off(now)
  elif change == "eject":
    record.exclusion.eject(now)
  elif change == "drain":
    draining = not record.info.draining
    record.update(dataclasses.replace(record.info, draining=draining))
  elif change == "unlist":
    record.listed = False
  elif change == "list":
    record.update(record.info)
  elif change == "cold":
    record.cold_until = now + 0.5
    record.update(record.info)
  elif change == "forget":
    del table[info.id]
  elif change == "known":
    record.runs_known = True
  elif change == "slow":
    for job in ("k", "l"):
      run = model.RunId(model.Task(job, 0, 0), 1)
      record.record_slow_run(endpointruns.Run(run, None, None, now), 3.0)


@hypothesis.settings(max_examples=400, deadline=None)
@hypothesis.given(
    strategies.lists(CHANGES, max_size=40),
    STEPS,
    strategies.sampled_from(("", "e0")),
    strategies.sampled_from((math.inf, 1.2, 0.9)),
)
def test_index_chooses_as_a_scan_of_all_endpoints_would(
    changes, step, moved_from, max_slowness
):
  infos = [
      endpoint(
          f"e{n}",
          64000 if n % 3 else 96000,
          ("a" if n < 2 else "b", RACKS[n % 2]),
          "s" if n < 3 else "other",
      )
      for n in range(ENDPOINTS)
  ]
  table = table_of(*infos)
  for tick, (change, number, cpu) in enumerate(changes):
    now = 1.0 + 0.1 * tick
    apply_change(table, infos, change, number, cpu, now)
    task = dataclasses.replace(
        wanted(cpu, moved_from, **step), max_slowness=max_slowness
    )
    chosen = table.choose(task, now)
    scanned = placing.choose_by_scan(table.values(), task, now, lambda _: ())
    assert name_of(chosen) == name_of(scanned)
    if chosen is not None:
      assert chosen.usable(now)
      assert chosen.fits(task.step.need)
      assert not task.step.requires or (
          task.step.requires in chosen.info.labels
      )
