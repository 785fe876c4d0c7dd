"""Jobs whose callers have left, and may have sent them to another host."""

from fescueturn.scheduler import events
from fescueturn.scheduler import model
from fescueturn.scheduler import runcontrol
from tests import fleets


def test_log_of_started_tasks_names_endpoints_and_the_coordinators_silence():
  emulation = fleets.fleet()
  owner = fleets.owner_of(emulation, "a").state.owners[model.Shard("a")]
  emulation.submit("a1", fleets.job("j1", 2, 900), [0.9] * 2, 3.0)
  emulation.clock.run_until(1.2)
  (job,) = owner.jobs.values()
  for task in job.tasks.values():
    job.requeue_task(task)
  runcontrol.start_waiting_tasks(owner)
  (line,) = [
      effect
      for effect in owner.take_effects()
      if isinstance(effect, events.Log) and effect.event == "tasks_started"
  ]
  fields = dict(line.fields)
  assert 0 <= fields["coordinator_heard_ms_ago"] <= 150
  runs = [f"0.{t.task.index}:2@{t.endpoint}" for t in job.tasks.values()]
  assert sorted(fields["runs"].split(",")) == sorted(runs)
