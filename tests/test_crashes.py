"""Tests tasks that crash their endpoints, in an emulated fleet."""

import collections
import dataclasses

import pytest

from fescueturn import settings
from fescueturn.emulator import fleet as fleet_lib
from fescueturn.scheduler import crashes as crashes_lib
from fescueturn.scheduler import keptcodec
from fescueturn.scheduler import model
from tests import fleets
from tests import test_kept_jobs as kept

# A task loses three endpoints at most before it waits for the confirmation of a
# crash; two more starts are allowed after that.
MAX_STARTS = 5
CRASH_S = (0.0, 0.001, 0.05, 0.3)


def count_starts(
    emulation: fleet_lib.Fleet, job_id: str, index: int = 0
) -> int:
  return sum(
      run.task == model.Task(job_id, 0, index)
      for endpoint in emulation.endpoints.values()
      for run in endpoint.starts
  )


def count_crashes(emulation: fleet_lib.Fleet) -> int:
  return sum(endpoint.superseded for endpoint in emulation.endpoints.values())


def submit_job(
    emulation, host: str, name: str, crash_s: float | None, kept_job=True
):
  make_job = kept.job if kept_job else fleets.job
  new_job = make_job(name, 2, 400)
  return emulation.submit(host, new_job, [0.4] * 2, 20.0, crash_s)


@pytest.mark.parametrize("crash_s", CRASH_S)
def test_kept_job_that_crashes_its_endpoints_fails(crash_s):
  emulation = fleets.fleet()
  submit_job(emulation, "a0", "bad", crash_s)
  emulation.clock.run_until(20)
  assert emulation.kept_store.states["bad"] is model.KeptJobState.FAILED
  assert count_starts(emulation, "bad") <= MAX_STARTS
  assert count_crashes(emulation) <= MAX_STARTS
  assert emulation.broken == []


@pytest.mark.parametrize("crash_s", CRASH_S)
def test_caller_gets_failure_early_if_its_task_crashes_endpoints(crash_s):
  emulation = fleets.fleet()
  request = submit_job(emulation, "a0", "bad", crash_s, kept_job=False)
  emulation.clock.run_until(20)
  response = emulation.answers[request].answer
  assert response.outcome is model.Outcome.FAILED
  assert response.reason == crashes_lib.REASON
  assert count_starts(emulation, "bad") <= 3
  assert emulation.answers[request].took_s < 10


def restart_under_their_ids(emulation, back_s: float):
  """Endpoints that crash are back as later incarnations under their ids."""

  def restart_later(endpoint):
    born_ms = int(1000 + emulation.clock.now * 1000)
    emulation.clock.after(back_s, lambda: endpoint.restart(born_ms))

  for endpoint in emulation.endpoints.values():
    endpoint.info = dataclasses.replace(endpoint.info, born_ms=1000)
    endpoint.on_crash = restart_later
    emulation.unexpired.add(endpoint.info.id)
  emulation.clock.run_until(3.0)


@pytest.mark.parametrize("keeps_id", [False, True])
@pytest.mark.parametrize("crash_s", [0.0, 0.05])
@pytest.mark.parametrize("seed", range(6))
def test_losses_are_counted_across_holder_failovers(seed, crash_s, keeps_id):
  emulation = fleets.fleet(seed=seed)
  if keeps_id:
    restart_under_their_ids(emulation, 3.0)
  begin_s = emulation.clock.now
  submit_job(emulation, "a0", "bad", crash_s)
  for number in range(4):
    delay_s = emulation.rng.uniform(0.3, 1.5) * (number + 1)

    def kill():
      holders = [h for h in fleets.hosts_in(emulation, "a") if h.state.owners]
      for host in holders:
        emulation.kill(host.name)
        emulation.clock.after(
            0.5, lambda h=host: emulation.add_host(h.name, "a")
        )

    emulation.clock.at(begin_s + 0.2 + delay_s, kill)
  emulation.clock.run_until(40)
  assert count_starts(emulation, "bad") <= MAX_STARTS
  assert emulation.broken == []


def test_job_whose_endpoints_were_unreachable_is_not_failed():
  emulation = fleets.fleet()
  submit_job(emulation, "a0", "good", None)
  for _ in range(4):
    emulation.clock.run_until(emulation.clock.now + 0.1)
    for endpoint in emulation.endpoints.values():
      if any(run.task.job_id == "good" for run in endpoint.running):
        endpoint.unreachable = True
        emulation.clock.after(
            4.0, lambda e=endpoint: setattr(e, "unreachable", False)
        )
    emulation.clock.run_until(emulation.clock.now + 1.2)
  emulation.clock.run_until(30)
  assert emulation.kept_store.states["good"] is model.KeptJobState.DONE
  assert emulation.broken == []


@pytest.mark.parametrize("restarted_s_ago", [0.0, 0.05, 0.3])
def test_job_sent_to_endpoints_that_had_crashed_before_is_not_failed(
    restarted_s_ago,
):
  emulation = fleets.fleet()
  for endpoint in list(emulation.endpoints.values()):
    endpoint.crash()
    emulation.restart_endpoint(endpoint)
    emulation.unlisted.add(endpoint.info.id)
  emulation.clock.run_until(emulation.clock.now + restarted_s_ago)
  request = emulation.submit("a0", fleets.job("good", 4, 400), [0.4] * 4, 20.0)
  emulation.clock.run_until(25)
  assert emulation.answers[request].answer.outcome is model.Outcome.DONE
  assert emulation.broken == []


def current_endpoints(emulation, data_centre: str = "a"):
  return [
      endpoint
      for endpoint in emulation.endpoints.values()
      if endpoint.info.data_centre == data_centre and not endpoint.superseded
  ]


def cut_power(emulation, endpoints, dark_s: float):
  """Ends all runs; the entries stay, as entries expire late."""
  for endpoint in endpoints:
    emulation.unexpired.add(endpoint.info.id)
    endpoint.crash()
    emulation.clock.after(
        dark_s, lambda e=endpoint: emulation.restart_endpoint(e)
    )


def replace_holder(emulation):
  holder = fleets.owner_of(emulation, "a")
  emulation.kill(holder.name)
  emulation.clock.after(0.5, lambda: emulation.add_host(holder.name, "a"))
  emulation.clock.run_until(emulation.clock.now + 3.0)


def submit_long_job(emulation, run_s: float = 5.0, kept_job=True):
  make_job = kept.job if kept_job else fleets.job
  new_job = make_job("good", 1, int(run_s * 1000))
  request = emulation.submit("a0", new_job, [run_s], 40.0)
  emulation.clock.run_until(emulation.clock.now + 0.5)
  return request


# Guards against a loss that counts although its endpoint was down before the
# run was requested.
@pytest.mark.parametrize("idle_s", [0.0, 0.3, 1.0])
@pytest.mark.parametrize("dark_s", [1.5, 3.0, 4.5])
def test_kept_job_of_a_former_holder_survives_a_rack_without_power(
    dark_s, idle_s
):
  emulation = fleets.fleet()
  submit_long_job(emulation)
  replace_holder(emulation)
  emulation.clock.run_until(emulation.clock.now + idle_s)
  cut_power(emulation, current_endpoints(emulation), dark_s)
  emulation.clock.run_until(40)
  assert emulation.kept_store.states["good"] is model.KeptJobState.DONE
  assert emulation.broken == []


@pytest.mark.parametrize("kept_job", [True, False])
@pytest.mark.parametrize("dark_s", [1.5, 3.0, 4.5])
def test_job_that_begins_in_a_rack_without_power_is_not_failed(
    dark_s, kept_job
):
  emulation = fleets.fleet()
  cut_power(emulation, current_endpoints(emulation), dark_s)
  emulation.clock.run_until(emulation.clock.now + 0.01)
  request = submit_long_job(emulation, 2.0, kept_job)
  emulation.clock.run_until(40)
  if kept_job:
    assert emulation.kept_store.states["good"] is model.KeptJobState.DONE
  else:
    # Without any room left, its outcome may be unknown.
    answer = emulation.answers[request].answer
    assert answer.outcome is not model.Outcome.FAILED
  assert emulation.broken == []


# Guards against a loss that counts although its endpoint went on after it.
def test_endpoint_that_drains_after_a_cut_is_not_taken_for_crashed():
  emulation = fleets.fleet()
  submit_long_job(emulation)
  replace_holder(emulation)
  for _ in range(2):
    (endpoint,) = [e for e in current_endpoints(emulation) if e.running]
    emulation.unexpired.add(endpoint.info.id)
    endpoint.unreachable = True
    emulation.clock.run_until(emulation.clock.now + 2.0)
    emulation.drain(endpoint.info.id)
    emulation.clock.run_until(emulation.clock.now + 1.0)
    endpoint.crash()
    emulation.restart_endpoint(endpoint)
    emulation.clock.run_until(emulation.clock.now + 0.5)
  emulation.clock.run_until(40)
  assert emulation.kept_store.states["good"] is model.KeptJobState.DONE
  assert emulation.broken == []


def test_job_succeeds_although_another_job_crashes_its_endpoints():
  emulation = fleets.fleet(seed=3)
  requests = fleets.submit_load(
      emulation, fleets.hosts_in(emulation, "a"), 8, 10
  )
  for number in range(3):
    emulation.clock.at(
        2.0 + number,
        lambda n=number: submit_job(emulation, "a0", f"bad{n}", 0.05),
    )
  emulation.clock.run_until(25)
  outcomes = fleets.count_outcomes(emulation, requests)
  assert outcomes.get(model.Outcome.FAILED, 0) == 0
  assert outcomes[model.Outcome.DONE] > 0.9 * len(requests)
  for number in range(3):
    assert (
        emulation.kept_store.states[f"bad{number}"] is model.KeptJobState.FAILED
    )
    assert count_starts(emulation, f"bad{number}") <= MAX_STARTS
  assert emulation.broken == []


# Guards against endpoints that are crashed again and again since the loss of an
# unanswered run isn't counted when its endpoint restarts under its id, or since
# an endpoint's second crash isn't counted.
@pytest.mark.parametrize("endpoints", [8, 1])
@pytest.mark.parametrize("back_s", [0.3, 0.6, 1.0, 1.5, 3.0])
@pytest.mark.parametrize("crash_s", CRASH_S)
def test_job_that_crashes_endpoints_that_keep_their_ids_fails(
    crash_s, back_s, endpoints
):
  emulation = fleets.fleet(endpoints=endpoints)
  restart_under_their_ids(emulation, back_s)
  submit_job(emulation, "a0", "bad", crash_s)
  emulation.clock.run_until(40)
  assert emulation.kept_store.states["bad"] is model.KeptJobState.FAILED
  assert count_starts(emulation, "bad") <= MAX_STARTS
  assert emulation.broken == []


class RandomTrouble:
  """Disturbs one data centre at random; counts the crashes under each task."""

  def __init__(self, emulation: fleet_lib.Fleet, keeps_id: bool):
    self.crashes: collections.Counter[model.Task] = collections.Counter()
    self._emulation = emulation
    self._keeps_id = keeps_id

  def _crash(self, endpoint):
    self.crashes.update({run.task for run in endpoint.running})
    self._emulation.unexpired.add(endpoint.info.id)
    endpoint.crash()
    back_s = self._emulation.rng.choice([0.3, 1.0, 2.0, 4.5])
    self._emulation.clock.after(back_s, lambda: self._restart(endpoint))

  def _restart(self, endpoint):
    if self._keeps_id:
      endpoint.restart(int(1000 + self._emulation.clock.now * 1000))
    else:
      self._emulation.restart_endpoint(endpoint)

  def crash_some(self):
    """A rack, or a single endpoint, loses power."""
    up = [e for e in current_endpoints(self._emulation) if not e.unreachable]
    share = self._emulation.rng.choice([0.0, 0.5, 1.0])
    for endpoint in up[: max(1, round(share * len(up)))]:
      self._crash(endpoint)

  def cut_off_some(self):
    """Endpoints are cut off for a while, and go on."""
    up = [e for e in current_endpoints(self._emulation) if not e.unreachable]
    for endpoint in up[: self._emulation.rng.randint(0, len(up))]:
      self._emulation.unexpired.add(endpoint.info.id)
      endpoint.unreachable = True
      self._emulation.clock.after(
          self._emulation.rng.uniform(0.2, 3.0),
          lambda e=endpoint: setattr(e, "unreachable", False),
      )

  def replace_holder(self):
    """The holder is killed, and its host restarted."""
    for host in fleets.hosts_in(self._emulation, "a"):
      if host.up and host.state.owners:
        self._emulation.kill(host.name)
        self._emulation.clock.after(
            0.5, lambda h=host: self._emulation.add_host(h.name, "a")
        )


# Guards against all that lets a loss count against a task that can't have
# caused it.
@pytest.mark.parametrize("keeps_id", [False, True])
@pytest.mark.parametrize("seed", [*range(12), 15, 84, 132])
def test_job_is_given_up_only_after_two_crashes_under_a_task(seed, keeps_id):
  emulation = fleets.fleet(seed=seed)
  if keeps_id:
    restart_under_their_ids(emulation, 3.0)
  trouble = RandomTrouble(emulation, keeps_id)
  names = [f"good{number}" for number in range(6)]
  for name in names:
    emulation.submit("a0", kept.job(name, 1, 3000), [3.0], 60.0)
  kinds = [trouble.crash_some, trouble.cut_off_some, trouble.replace_holder]
  for number in range(6):
    begin_s = emulation.clock.now + 0.5 + 2.5 * number
    at_s = begin_s + emulation.rng.uniform(0.0, 2.0)
    emulation.clock.at(at_s, emulation.rng.choice(kinds))
  emulation.clock.run_until(80)
  for name in names:
    if emulation.kept_store.states[name] is not model.KeptJobState.DONE:
      assert trouble.crashes[model.Task(name, 0, 0)] >= 2
  assert emulation.broken == []


def test_draining_endpoints_do_not_count_as_losses():
  emulation = fleets.fleet()
  submit_job(emulation, "a0", "good", None)
  emulation.clock.run_until(1.1)
  (owner,) = fleets.owner_of(emulation, "a").state.owners.values()
  (record,) = [r for r in owner.endpoints.values() if r.runs][:1]
  emulation.drain(record.info.id)
  emulation.clock.run_until(2.2)
  assert not owner.suspected_crashes


def test_losses_survive_encoding_for_the_store():
  task = model.Task("k", 0, 1)
  address = settings.Address("10.1.0.7", 8120)
  progress = model.Progress(
      (),
      (),
      ((task, "e1"), (task, "e2/1780000000123")),
      (
          model.LostEndpoint(task, "e3", address, 1780000000456),
          model.LostEndpoint(task, "e4", address),
      ),
  )
  stored = keptcodec.encode_progress(progress)
  assert keptcodec.decode_progress("k", stored) == progress
  earlier_record = b'{"done":[[0,1]],"failed":[]}'
  assert keptcodec.decode_progress("k", earlier_record) == model.Progress(
      (task,)
  )
