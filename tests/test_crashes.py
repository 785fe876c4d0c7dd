"""Tests tasks that crash their endpoints, in an emulated fleet."""

import pytest

from fescueturn import settings
from fescueturn.emulator import fleet as fleet_lib
from fescueturn.scheduler import crashes as crashes_lib
from fescueturn.scheduler import keptcodec
from fescueturn.scheduler import model
from tests import fleets
from tests import test_kept_jobs as kept

# A task loses three endpoints at most before it waits for the confirmation of a
# crash, and two starts more are allowed after that.
MAX_STARTS = 5
CRASH_S = (0.001, 0.05, 0.3)


def count_starts(made: fleet_lib.Fleet, job_id: str, index: int = 0) -> int:
  return sum(
      run.task == model.Task(job_id, 0, index)
      for endpoint in made.endpoints.values()
      for run in endpoint.starts
  )


def count_crashes(made: fleet_lib.Fleet) -> int:
  return sum(endpoint.superseded for endpoint in made.endpoints.values())


def submit_job(
    made, host: str, name: str, crash_s: float | None, kept_job=True
):
  make_job = kept.job if kept_job else fleets.job
  new_job = make_job(name, 2, 400)
  return made.submit(host, new_job, [0.4] * 2, 20.0, crash_s)


@pytest.mark.parametrize("crash_s", CRASH_S)
def test_kept_job_that_crashes_its_endpoints_fails(crash_s):
  made = fleets.fleet()
  submit_job(made, "a0", "bad", crash_s)
  made.clock.run_until(20)
  assert made.kept_store.states["bad"] is model.KeptJobState.FAILED
  assert count_starts(made, "bad") <= MAX_STARTS
  assert count_crashes(made) <= MAX_STARTS
  assert made.broken == []


@pytest.mark.parametrize("crash_s", CRASH_S)
def test_caller_gets_failure_early_if_its_task_crashes_endpoints(crash_s):
  made = fleets.fleet()
  request = submit_job(made, "a0", "bad", crash_s, kept_job=False)
  made.clock.run_until(20)
  answered = made.answers[request].answer
  assert answered.outcome is model.Outcome.FAILED
  assert answered.reason == crashes_lib.REASON
  assert count_starts(made, "bad") <= 3
  assert made.answers[request].took_s < 10


@pytest.mark.parametrize("seed", range(6))
def test_losses_are_counted_across_holder_failovers(seed):
  made = fleets.fleet(seed=seed)
  submit_job(made, "a0", "bad", 0.05)
  for number in range(4):
    when = made.rng.uniform(0.3, 1.5) * (number + 1)

    def kill():
      holders = [h for h in fleets.hosts_in(made, "a") if h.state.owners]
      for host in holders:
        made.kill(host.name)
        made.clock.after(0.5, lambda h=host: made.add_host(h.name, "a"))

    made.clock.at(1.2 + when, kill)
  made.clock.run_until(40)
  assert count_starts(made, "bad") <= MAX_STARTS
  assert made.broken == []


def test_job_whose_endpoints_were_unreachable_is_not_failed():
  made = fleets.fleet()
  submit_job(made, "a0", "good", None)
  for _ in range(4):
    made.clock.run_until(made.clock.now + 0.1)
    for endpoint in made.endpoints.values():
      if any(run.task.job_id == "good" for run in endpoint.running):
        endpoint.dark = True
        made.clock.after(4.0, lambda e=endpoint: setattr(e, "dark", False))
    made.clock.run_until(made.clock.now + 1.2)
  made.clock.run_until(30)
  assert made.kept_store.states["good"] is model.KeptJobState.DONE
  assert made.broken == []


def test_job_succeeds_although_another_job_crashes_its_endpoints():
  made = fleets.fleet(seed=3)
  requests = fleets.submit_load(made, fleets.hosts_in(made, "a"), 8, 10)
  for number in range(3):
    made.clock.at(
        2.0 + number,
        lambda n=number: submit_job(made, "a0", f"bad{n}", 0.05),
    )
  made.clock.run_until(25)
  found = fleets.count_outcomes(made, requests)
  assert found.get(model.Outcome.FAILED, 0) == 0
  assert found[model.Outcome.DONE] > 0.9 * len(requests)
  for number in range(3):
    assert made.kept_store.states[f"bad{number}"] is model.KeptJobState.FAILED
    assert count_starts(made, f"bad{number}") <= MAX_STARTS
  assert made.broken == []


def test_draining_endpoints_do_not_count_as_losses():
  made = fleets.fleet()
  submit_job(made, "a0", "good", None)
  made.clock.run_until(1.1)
  (owner,) = fleets.owner_of(made, "a").state.owners.values()
  (record,) = [r for r in owner.endpoints.values() if r.runs][:1]
  made.drain(record.info.id)
  made.clock.run_until(2.2)
  assert not owner.suspected_crashes


def test_losses_survive_encoding_for_the_store():
  task = model.Task("k", 0, 1)
  address = settings.Address("10.1.0.7", 8120)
  progress = model.Progress(
      (), (), ((task, "e1"), (task, "e2")), ((task, "e3", address),)
  )
  stored = keptcodec.encode_progress(progress)
  assert keptcodec.decode_progress("k", stored) == progress
  earlier = b'{"done":[[0,1]],"failed":[]}'
  assert keptcodec.decode_progress("k", earlier) == model.Progress((task,))
