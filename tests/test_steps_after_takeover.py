"""Jobs of several steps whose shard's holder changes between or during steps.

The next holder isn't told which tasks are done: their ends were acknowledged to
the holder before, or not stored yet. No task may run at two endpoints at once.
"""

import pytest

from fescueturn.scheduler import events
from fescueturn.scheduler import model
from tests import fleets
from tests import test_kept_jobs

# Run times of a first step and of those that follow it (ms).
SHORT_MS, LONG_MS = 60, 900
DEADLINE_S = 8.0
# Number of tasks, run time (ms), and the earlier steps that must be done.
SHAPES = {
    "two_steps": ((2, SHORT_MS), (1, LONG_MS, 0)),
    "chain": ((1, SHORT_MS), (2, SHORT_MS, 0), (2, LONG_MS, 1)),
    "branches": (
        (2, SHORT_MS),
        (1, LONG_MS, 0),
        (1, SHORT_MS, 0),
        (1, LONG_MS, 2),
    ),
    "joined": ((1, SHORT_MS), (2, 200), (2, LONG_MS, 0, 1)),
    "one_a_host": ((3, SHORT_MS), (3, LONG_MS, 0)),
}
JOBS = 12
# The time between two jobs (s).
JOB_PERIOD_S = 0.08


def job(name: str, shape: str, kept: bool) -> model.Job:
  steps = tuple(
      model.Step(
          count,
          fleets.NEED,
          run_ms,
          tuple(after),
          most_per_endpoint=int(shape == "one_a_host"),
      )
      for count, run_ms, *after in SHAPES[shape]
  )
  return model.Job(name, "s", "spec", steps, 3, 1.6, 5000, "q", kept)


def run_times(new_job: model.Job) -> list[float]:
  return [
      step.estimate_ms / 1000
      for step in new_job.steps
      for _ in range(step.count)
  ]


def submit_jobs(emulation, hosts, shape: str, kept: bool) -> dict[str, int]:
  """Submits jobs one after the other; returns the requests by job id."""
  requests: dict[str, int] = {}
  for number in range(JOBS):

    def submit(number=number):
      new_job = job(f"j{number}", shape, kept)
      host = hosts[number % len(hosts)].name
      requests[new_job.id] = emulation.submit(
          host, new_job, run_times(new_job), DEADLINE_S
      )

    emulation.clock.after(number * JOB_PERIOD_S, submit)
  return requests


def change_holder(emulation, holder, how: str):
  """Has another host of the holder's data centre take its shard over."""
  if how == "stopped":
    holder.apply(events.DrainStarted())
  elif how == "killed":
    emulation.kill(holder.name)
  elif how == "frozen":
    holder.frozen = True
    emulation.clock.after(2.5, holder.thaw)
  elif how == "cut_off":
    others = {h.name for h in emulation.hosts.values() if h is not holder}
    holder.partitioned_from |= others | {"store"}
    emulation.clock.after(3.0, holder.partitioned_from.clear)
  else:
    emulation.delete_claim(model.Shard("a"))


def play(shape: str, how: str, kept: bool, seed: int):
  """Plays jobs of a shape around a change of their shard's holder."""
  emulation = fleets.fleet(endpoints=12, seed=seed)
  emulation.clock.run_until(4.0)
  holder = fleets.owner_of(emulation, "a")
  others = [h for h in fleets.hosts_in(emulation, "a") if h is not holder]
  requests = submit_jobs(emulation, others, shape, kept)
  moment = 4.5 + emulation.rng.uniform(0.0, 0.5)
  emulation.clock.at(moment, lambda: change_holder(emulation, holder, how))
  emulation.clock.run_until(16.0)
  return emulation, requests


def outcomes(emulation, requests) -> set[model.Outcome]:
  return {
      test_kept_jobs.outcome(emulation, request)
      for request in requests.values()
  }


WAYS = ["stopped", "killed", "frozen", "cut_off", "claim_lost"]


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("how", WAYS)
@pytest.mark.parametrize("shape", SHAPES)
def test_best_effort_job_runs_no_task_twice_at_once(shape, how, seed):
  emulation, requests = play(shape, how, False, seed)
  assert emulation.broken == []
  if how in ("stopped", "claim_lost"):
    assert outcomes(emulation, requests) == {model.Outcome.DONE}


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("how", WAYS)
@pytest.mark.parametrize("shape", SHAPES)
def test_kept_job_runs_no_task_twice(shape, how, seed):
  emulation, requests = play(shape, how, True, seed)
  assert emulation.broken == []
  assert all(
      emulation.kept_store.states[name] is model.KeptJobState.DONE
      for name, request in requests.items()
      if test_kept_jobs.outcome(emulation, request) is model.Outcome.KEPT
  )


@pytest.mark.parametrize("delay_ms", [1, 4, 8, 12, 16])
def test_kept_job_whose_steps_end_is_not_stored_runs_no_task_twice(delay_ms):
  """The holder is killed between the end of a step and the write of it."""
  emulation = fleets.fleet()
  emulation.clock.run_until(4.0)
  holder = fleets.owner_of(emulation, "a")
  kept_job = job("k", "two_steps", True)
  emulation.submit(
      fleets.other_host(emulation, holder).name,
      kept_job,
      run_times(kept_job),
      DEADLINE_S,
  )
  later = model.Task("k", 1, 0)
  while not emulation.running_on.get(later):
    emulation.clock.run_until(emulation.clock.now + 0.0005)
  emulation.clock.run_until(emulation.clock.now + delay_ms / 1000)
  emulation.kill(holder.name)
  emulation.clock.run_until(12.0)
  assert emulation.broken == []
  assert emulation.kept_store.states["k"] is model.KeptJobState.DONE
  starts = [r for e in emulation.endpoints.values() for r in e.starts]
  assert len([r for r in starts if r.task == later]) == 1


@pytest.mark.parametrize("how", ["stopped", "killed"])
def test_run_of_a_later_step_goes_on_after_a_takeover(how):
  """It shows that the steps before it are done, so none of them runs again."""
  emulation = fleets.fleet()
  emulation.clock.run_until(4.0)
  holder = fleets.owner_of(emulation, "a")
  new_job = job("j", "chain", False)
  request = emulation.submit(
      fleets.other_host(emulation, holder).name,
      new_job,
      run_times(new_job),
      DEADLINE_S,
  )
  emulation.clock.run_until(4.4)
  change_holder(emulation, holder, how)
  emulation.clock.run_until(8.0)
  assert outcomes(emulation, {"j": request}) == {model.Outcome.DONE}
  starts = [r for e in emulation.endpoints.values() for r in e.starts]
  assert len(starts) == new_job.task_count
  assert emulation.broken == []
