"""Jobs that only some endpoints can run, where a data centre loses those.

A label, the resources of a task, or both say which endpoints can run it. Jobs are
handed in before and after the loss; each is done in another data centre, or
refused at once if no endpoint is left that can run it.
"""

import dataclasses

import pytest

from fescueturn.emulator import endpointcalls
from fescueturn.emulator import silence
from fescueturn.scheduler import events
from fescueturn.scheduler import leases
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import offers
from fescueturn.scheduler import ownerstate
from tests import fleets
from tests import test_new_holder

SMALL = model.Resources(1000, 64, 0)
RUN_MS = 800
# The entry of an endpoint lapses this long after its crash (s).
ENTRY_S = 4.5
DEADLINE_S = 8.0
# Longer than an idle job may wait beside idle endpoints that can run it (s).
IDLE_LIMIT_S = 3.0
# The steps that need one of the special endpoints.
SPECIAL = {
    "label": model.Step(1, SMALL, RUN_MS, requires="b"),
    "gpu": model.Step(1, model.Resources(1000, 64, 1), RUN_MS),
    "memory": model.Step(1, model.Resources(1000, 200000, 0), RUN_MS),
    "cpu": model.Step(1, model.Resources(150000, 64, 0), RUN_MS),
    "spread": model.Step(2, SMALL, RUN_MS, requires="b", most_per_endpoint=1),
}
PLAIN = model.Step(1, SMALL, 100)
LOSSES = ["crashed", "refusing", "unlisted", "draining", "shrunk"]


def job(name: str, steps: tuple[model.Step, ...], kept: bool) -> model.Job:
  return model.Job(name, "s", "spec", steps, 3, 1.6, 6000, "q", kept)


def fleet(data_centres: str = "abc"):
  """Returns a fleet with one special endpoint in each of the data centres."""
  emulation = fleets.fleet(endpoints=3)
  for data_centre in data_centres:
    endpoint = emulation.add_endpoint(f"x-{data_centre}", data_centre)
    endpoint.info = dataclasses.replace(
        endpoint.info,
        labels=("b", "rack-1"),
        capacity=model.Resources(200000, 262144, 4),
    )
  emulation.clock.run_until(4.0)
  return emulation


def lose(emulation, how: str, data_centre: str = "a"):
  """Takes the data centre's special endpoint out of service."""
  name = f"x-{data_centre}"
  endpoint = emulation.endpoints[name]
  if how in ("crashed", "refusing"):
    endpoint.crash()
    endpoint.refusing = how == "refusing"
    emulation.clock.after(ENTRY_S, lambda: emulation.unlisted.add(name))
  elif how == "unlisted":
    endpoint.crash()
    emulation.unlisted.add(name)
  elif how == "draining":
    emulation.drain(name)
  else:
    endpoint.resize(fleets.NEED)
    endpoint.info = dataclasses.replace(endpoint.info, labels=("c",))


def submit(emulation, host: str, new_job: model.Job) -> int:
  run_s = [s.estimate_ms / 1000 for s in new_job.steps for _ in range(s.count)]
  return emulation.submit(host, new_job, run_s, DEADLINE_S)


def shape(special: model.Step, place: str) -> tuple[model.Step, ...]:
  """Returns a job's steps, of which one needs a special endpoint."""
  if place == "only":
    return (special,)
  if place == "later":
    return (PLAIN, dataclasses.replace(special, after=(0,)))
  return (special, PLAIN)


def done_at(emulation, name: str, request: int, kept: bool) -> float | None:
  """Returns when a job was done (s), or None if it isn't."""
  if not kept:
    answered = emulation.answers.get(request)
    is_done = answered and answered.answer.outcome is model.Outcome.DONE
    return answered.took_s if is_done else None
  is_done = emulation.kept_store.states.get(name) is model.KeptJobState.DONE
  return 0.0 if is_done else None


def starts(emulation, job_id: str) -> list[tuple[str, model.RunId]]:
  return [
      (e.info.data_centre, run)
      for e in emulation.endpoints.values()
      for run in e.starts
      if run.task.job_id == job_id
  ]


@pytest.mark.parametrize("kept", [True, False])
@pytest.mark.parametrize("place", ["only", "later", "beside"])
@pytest.mark.parametrize("need", SPECIAL)
@pytest.mark.parametrize("how", LOSSES)
def test_jobs_are_done_elsewhere(how, need, place, kept):
  """The only endpoint for them is lost; they arrive before that and after."""
  emulation = fleet()
  steps = shape(SPECIAL[need], place)
  hosts = [h.name for h in fleets.hosts_in(emulation, "a")]
  requests = {}

  def submit_one(number: int):
    name = f"j{number}"
    requests[name] = submit(
        emulation, hosts[number % 3], job(name, steps, kept)
    )

  for number in range(3):
    emulation.clock.at(4.0 + 0.1 * number, lambda n=number: submit_one(n))
  emulation.clock.at(4.35, lambda: lose(emulation, how))
  for number in range(3, 6):
    emulation.clock.at(4.0 + 0.4 * number, lambda n=number: submit_one(n))
  emulation.clock.run_until(12.0)
  assert emulation.broken == []
  late = [
      name
      for name, request in requests.items()
      if done_at(emulation, name, request, kept) is None
  ]
  assert late == []


@pytest.mark.parametrize("kept", [True, False])
@pytest.mark.parametrize("place", ["only", "later", "beside"])
@pytest.mark.parametrize("need", SPECIAL)
def test_job_that_no_endpoint_can_run_is_refused_at_once(need, place, kept):
  emulation = fleet("")
  new_job = job("j", shape(SPECIAL[need], place), kept)
  request = submit(emulation, "a0", new_job)
  emulation.clock.run_until(4.2)
  answered = emulation.answers[request]
  assert answered.answer.outcome is model.Outcome.NOT_RUN
  assert answered.answer.retry_after_s >= 1
  assert answered.took_s < 0.1
  emulation.clock.run_until(8.0)
  assert starts(emulation, "j") == []


@pytest.mark.parametrize("kept", [True, False])
def test_job_whose_last_endpoint_is_lost_is_refused_before_its_deadline(kept):
  emulation = fleet("a")
  request = submit(emulation, "a0", job("j", (SPECIAL["label"],), kept))
  emulation.clock.run_until(4.3)
  lose(emulation, "unlisted")
  emulation.clock.run_until(8.5)
  if kept:
    assert emulation.kept_store.states["j"] is model.KeptJobState.OPEN
  else:
    assert emulation.answers[request].answer.outcome is model.Outcome.UNKNOWN


def test_kept_job_waits_for_an_endpoint_and_goes_where_one_joins():
  emulation = fleet("a")
  submit(emulation, "a0", job("j", (SPECIAL["label"],), True))
  emulation.clock.run_until(4.3)
  lose(emulation, "unlisted")
  emulation.clock.run_until(9.0)
  late = emulation.add_endpoint("x-late", "c")
  late.info = dataclasses.replace(late.info, labels=("b",))
  emulation.clock.run_until(9.0 + IDLE_LIMIT_S + RUN_MS / 1000 + 1.0)
  assert emulation.kept_store.states["j"] is model.KeptJobState.DONE
  assert emulation.broken == []


def test_kept_job_whose_steps_need_different_data_centres_visits_them():
  emulation = fleet("ab")
  other = emulation.endpoints["x-b"]
  other.info = dataclasses.replace(other.info, labels=("d",))
  emulation.clock.run_until(6.0)
  first = dataclasses.replace(SPECIAL["label"], estimate_ms=200)
  second = dataclasses.replace(first, requires="d", after=(0,))
  submit(emulation, "c0", job("j", (first, second), True))
  emulation.clock.run_until(10.0)
  assert emulation.kept_store.states["j"] is model.KeptJobState.DONE
  assert [zone for zone, _ in starts(emulation, "j")] == ["a", "b"]


def test_waiting_jobs_that_no_endpoint_can_run_let_others_be_accepted():
  emulation = fleet("a")
  for number in range(60):
    submit(emulation, "a0", job(f"k{number}", (SPECIAL["label"],), True))
  emulation.clock.run_until(4.1)
  lose(emulation, "unlisted")
  emulation.clock.run_until(8.0)
  requests = [
      emulation.submit(f"{d}0", fleets.job(f"j{d}{n}", 2, 200), [0.2] * 2)
      for d in "abc"
      for n in range(2)
  ]
  emulation.clock.run_until(10.0)
  assert fleets.count_outcomes(emulation, requests) == {model.Outcome.DONE: 6}


def test_holder_learns_of_a_moved_job_although_messages_are_lost():
  """The first queries that tell the next holder of its job get lost."""
  emulation = fleet("ab")
  submit(emulation, "a0", job("j", (SPECIAL["label"],), True))
  emulation.clock.run_until(4.3)
  lose(emulation, "refusing")
  source = fleets.owner_of(emulation, "a")
  target = fleets.owner_of(emulation, "b")
  emulation.clock.run_until(4.6)
  emulation.silence_link(source.name, target.name, silence.BOTH_WAYS)
  emulation.clock.run_until(12.0)
  assert emulation.kept_store.states["j"] is model.KeptJobState.DONE


@pytest.mark.parametrize("cut_s", [0.0, 0.1, 0.25])
def test_kept_run_at_an_endpoint_that_is_cut_off_with_its_holder_runs_once(
    monkeypatch, cut_s
):
  """The next holder can't tell whether the job still runs there.

  The earlier holder's stops are lost, so that the run ends with its lease.
  """
  handlers = endpointcalls.EFFECT_HANDLERS
  monkeypatch.setitem(handlers, events.StopRun, lambda *_: None)
  emulation = fleet("ab")
  emulation.clock.run_until(6.0)
  holder = fleets.owner_of(emulation, "a")
  long_step = dataclasses.replace(SPECIAL["label"], estimate_ms=5000)
  submit(emulation, holder.name, job("j", (long_step,), True))
  emulation.clock.run_until(6.15 + cut_s)
  test_new_holder.cut_off_rack(emulation, {holder.name, "x-a"})
  emulation.clock.run_until(16.0)
  assert emulation.broken == []
  assert emulation.kept_store.states["j"] is model.KeptJobState.DONE


@pytest.mark.parametrize("is_listed", [True, False])
def test_new_holder_says_that_no_endpoint_fits_only_if_it_knows_them(is_listed):
  """The store is slow to answer with the list of endpoints."""
  owner = ownerstate.Owner(model.Shard("a"), 7, 0.0)
  owner.now = 0.5
  if is_listed:
    leases.handle_endpoint_list(owner, ())
  key = linkmessages.JobKey(linkmessages.HostProcess("a0", "1"), "j")
  new_job = job("j", (PLAIN,), False)
  offers.handle_offer(
      owner, linkmessages.Offered(owner.shard, key, new_job, 0.0, 2.0)
  )
  sent = [
      effect.message
      for effect in owner.take_effects()
      if isinstance(effect, events.SendToCoordinator)
  ]
  reason = linkmessages.NO_ENDPOINT_FITS if is_listed else "no_room"
  assert [message.reason for message in sent] == [reason]
