"""Runs whose caller may have left, at endpoints that other jobs' runs need.

A caller sends its job again 1.3 s after its connection broke. By then no run of
the first submission may be active, whether or not its stop has reached it.
"""

import pytest

from fescueturn.scheduler import endpointruns
from fescueturn.scheduler import events
from fescueturn.scheduler import leasecalls
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import offers
from fescueturn.scheduler import owner as owner_lib
from fescueturn.scheduler import runanswers
from tests import fleets
from tests import test_leases

RETURN_S = 1.3
ALL_RUNS = 12


class Scene:
  """A long job on each endpoint of data centre a, and another one beside it."""

  def __init__(self):
    self.fleet = fleets.fleet()
    self.owner = fleets.owner_of(self.fleet, "a")
    others = [
        h for h in fleets.hosts_in(self.fleet, "a") if h is not self.owner
    ]
    self.coordinator, self.other = others
    self.submit(self.other.name, "beside", ALL_RUNS)
    self.wait(0.2)
    self.job = None
    self.request = 0

  @property
  def endpoints(self):
    return [e for n, e in self.fleet.endpoints.items() if n.startswith("e-a")]

  def submit(self, host: str, name: str, count: int):
    job = fleets.job(name, count, 4000)
    return self.fleet.submit(host, job, [4.0] * count, 8.0)

  def wait(self, seconds: float):
    self.fleet.clock.run_until(self.fleet.clock.now + seconds)

  def submit_left(self):
    """Submits the job whose caller is going to leave."""
    self.request = self.submit(self.coordinator.name, "left", 4)

  def return_elsewhere(self):
    """Sends it again, through a host of another data centre."""
    self.fleet.clock.after(RETURN_S, lambda: self.submit("b0", "left", 4))

  def lose_orders(self, delay_s: float):
    """Start and stop requests are carried out late and get no answer."""
    for endpoint in self.endpoints:
      endpoint.order_delay_s = delay_s


@pytest.mark.parametrize("ran_s", [0.03, 0.25, 0.4])
def test_run_whose_stop_is_lost_ends_before_its_caller_returns(ran_s):
  scene = Scene()
  scene.submit_left()
  scene.wait(ran_s)
  scene.lose_orders(5.0)
  scene.fleet.disconnect_caller(scene.coordinator.name, scene.request)
  scene.return_elsewhere()
  scene.wait(4.0)
  assert scene.fleet.broken == []


@pytest.mark.parametrize("ran_s", [0.03, 0.25])
def test_run_of_a_dead_coordinator_whose_stop_is_lost_ends_in_time(ran_s):
  scene = Scene()
  scene.submit_left()
  scene.wait(ran_s)
  scene.lose_orders(5.0)
  scene.fleet.kill(scene.coordinator.name)
  scene.return_elsewhere()
  scene.wait(4.0)
  assert scene.fleet.broken == []


@pytest.mark.parametrize("late_s", [0.3, 0.6, 0.75])
def test_start_carried_out_late_ends_before_its_caller_returns(late_s):
  scene = Scene()
  scene.lose_orders(late_s)
  scene.submit_left()
  scene.wait(0.02)
  scene.lose_orders(5.0)
  scene.fleet.disconnect_caller(scene.coordinator.name, scene.request)
  scene.return_elsewhere()
  scene.wait(4.0)
  assert scene.fleet.broken == []


def test_lost_stop_costs_no_run_beside_it_once_its_endpoint_answers():
  scene = Scene()
  scene.submit_left()
  scene.wait(0.3)
  scene.lose_orders(5.0)
  scene.fleet.disconnect_caller(scene.coordinator.name, scene.request)
  scene.wait(0.45)
  scene.lose_orders(0.0)
  scene.wait(3.5)
  outcomes = {a.answer.outcome for a in scene.fleet.answers.values()}
  assert outcomes == {model.Outcome.DONE}


def start_beside(owner, record, name: str, host: str):
  """Starts a job of another coordinator at a known endpoint; returns its run."""
  process = linkmessages.HostProcess(host, "boot-1")
  key = linkmessages.JobKey(process, name)
  steps = (model.Step(1, model.Resources(20000, 64, 0), 3000),)
  job = model.Job(name, "speller", "spec", steps, 3, 1.6, 2000)
  before = set(record.runs)
  offers.handle_offer(
      owner,
      linkmessages.Offered(test_leases.SHARD, key, job, 0.0, 5.0),
  )
  (run,) = set(record.runs) - before
  owner.take_effects()
  return record.runs[run], key


def extensions(effects) -> list:
  """Returns the lease ends that effects request of endpoints."""
  calls = [
      e for e in effects if isinstance(e, events.RenewLease | events.StartRun)
  ]
  return [e.deadline_ms for e in calls if e.deadline_ms is not None]


def test_no_task_starts_beside_a_run_that_must_end_with_its_lease():
  """A start request extends the lease of all runs at its endpoint."""
  owner = test_leases.new_owner()
  record = test_leases.known_endpoint(owner)
  test_leases.start_job(owner, record)
  _, key = start_beside(owner, record, "left", "host-2")
  owner.now = 0.3
  owner.last_contact[test_leases.PROCESS] = 0.3
  offers.handle_withdrawal(owner, key)
  owner.take_effects()
  owner.now = owner.last_contact[test_leases.PROCESS] = 0.4
  start = linkmessages.Offered(
      test_leases.SHARD,
      linkmessages.JobKey(test_leases.PROCESS, "new"),
      model.Job(
          "new",
          "speller",
          "spec",
          (model.Step(1, model.Resources(10, 64, 0), 200),),
          3,
          1.6,
          2000,
      ),
      0.0,
      5.0,
  )
  offers.handle_offer(owner, start)
  assert extensions(owner.take_effects()) == []


def tick_until(owner, record, end: float, running=()):
  """Ticks up to a time (s); store, endpoint and a coordinator answer at once."""
  owner.kept_records.loaded = True
  while owner.now < end:
    owner.now += 0.02
    owner.last_contact[test_leases.PROCESS] = owner.now
    owner.store_answered_at = owner.now
    owner_lib.tick(owner)
    for effect in owner.take_effects():
      if isinstance(effect, events.StopRun):
        refused = events.StopAnswered(
            test_leases.ENDPOINT.id, effect.run, model.CallResult.BUSY, None
        )
        runanswers.handle_stop_answer(owner, refused)
    test_leases.answer(owner, record, owner.now, running=running)


def test_run_whose_lease_has_expired_keeps_its_endpoint_from_no_task():
  """Its endpoint answers, but refuses to stop it."""
  owner = test_leases.new_owner()
  record = test_leases.known_endpoint(owner)
  run, key = start_beside(owner, record, "left", "host-2")
  offers.handle_withdrawal(owner, key)
  tick_until(owner, record, 1.5)
  assert run.id in record.runs
  start_beside(owner, record, "new", test_leases.PROCESS.host)
  tick_until(owner, record, 3.0)
  leasecalls.renew_lease(owner, record, now=True)
  assert extensions(owner.take_effects())


def test_unwanted_run_whose_stop_is_lost_ends_with_its_lease():
  """Found after a takeover: its coordinator may have lost its caller since."""
  owner = test_leases.new_owner()
  record = test_leases.known_endpoint(owner)
  test_leases.start_job(owner, record)
  found = model.RunId(model.Task("left", 0, 0), 1)
  running = (model.ActiveRun(found, 10),)
  test_leases.answer(owner, record, 0.02, running=running)
  tick_until(owner, record, 0.4, running)
  assert record.runs[found].state is endpointruns.RunState.STOPPING
  leasecalls.renew_lease(owner, record, now=True)
  assert extensions(owner.take_effects()) == []
