import pytest

from fescueturn.scheduler import admission
from fescueturn.scheduler import model
from fescueturn.scheduler import routes

NEED = model.Resources(27000, 64, 0)


def job(*steps: model.Step) -> model.Job:
  return model.Job("j", "s", "", steps, 1, 1.6, 60)


def test_critical_path_follows_the_dependent_steps():
  steps = (
      model.Step(1, NEED, 100),
      model.Step(1, NEED, 300),
      model.Step(1, NEED, 200, (0, 1)),
  )
  assert admission.critical_path_s(job(*steps), 56) == pytest.approx(0.5)


def test_wide_step_is_expected_to_run_in_waves():
  wide = job(model.Step(20, NEED, 60))
  assert admission.critical_path_s(wide, 56) == pytest.approx(0.12)
  assert admission.objective_s(wide, 56) == pytest.approx(0.252)


def test_tasks_ahead_and_own_tasks_fill_slots_in_turn():
  slots = [10.0, 10.0, 10.5]
  finish = admission.expected_finish_s
  assert finish(slots, (), 2, 0.2, 10.0) == pytest.approx(0.2)
  assert finish(slots, (), 4, 0.2, 10.0) == pytest.approx(0.4)
  assert finish(slots, (0.3, 0.3), 1, 0.2, 10.0) == pytest.approx(0.5)
  assert finish([], (), 1, 0.2, 10.0) is None


def test_route_table_finds_the_queue_by_host_and_longest_prefix():
  def queue(name, host, prefix):
    return model.Queue(name, host, prefix, "s", 1, 1.0, 0, 0)

  config = model.Config(
      3,
      (
          queue("short", "a.example", "/x/"),
          queue("long", "a.example", "/x/y/"),
          queue("other", "b.example", "/x/"),
      ),
  )
  table = routes.RouteTable(config)
  assert table.find("A.example:80", "/x/y/1").name == "long"
  assert table.find("a.example", "/x/1").name == "short"
  assert table.find("b.example", "/x/y/1").name == "other"
  assert table.find("c.example", "/x/1") is None
