"""Kept tasks whose later start is on its way as an earlier run's end is read."""

from fescueturn.scheduler import model
from tests import fleets
from tests import test_kept_jobs


def emulation_job(emulation, data_centre="a"):
  owner = fleets.owner_of(emulation, data_centre)
  return next(iter(owner.state.owners.values())).by_id.get("k")


def delay_orders(emulation, first):
  for endpoint in emulation.endpoints.values():
    if endpoint is not first:
      endpoint.order_delay_s = 0.4


def wait_for_start(emulation, data_centre: str, attempt: int):
  """Waits until a start of this attempt or a later one has been ordered."""
  limit = emulation.clock.now + 10.0
  while emulation.clock.now < limit:
    emulation.clock.run_until(emulation.clock.now + 0.01)
    hosts = fleets.hosts_in(emulation, data_centre)
    if not any(host.up and host.state.owners for host in hosts):
      continue
    job = emulation_job(emulation, data_centre)
    tasks = job.tasks.values() if job else ()
    if any(task.run and task.attempt >= attempt for task in tasks):
      return
  raise AssertionError("no start")


def run_again_elsewhere(emulation):
  """Orders the task again as its endpoint, which is returned, is away."""
  emulation.clock.run_until(1.2)
  first = next(e for e in emulation.endpoints.values() if e.starts)
  first.unreachable = True
  delay_orders(emulation, first)
  wait_for_start(emulation, "a", 2)
  return first


def test_start_on_its_way_does_not_run_a_task_whose_lapsed_run_was_done():
  emulation = fleets.fleet()
  test_kept_jobs.submit(emulation, "a0", test_kept_jobs.job("k", 1, 300))
  first = run_again_elsewhere(emulation)
  first.unreachable = False
  emulation.clock.run_until(5.0)
  assert emulation.kept_store.states["k"] is model.KeptJobState.DONE
  assert emulation.broken == []


def test_end_is_acknowledged_although_the_ordered_endpoint_stays_away():
  emulation = fleets.fleet()
  test_kept_jobs.submit(emulation, "a0", test_kept_jobs.job("k", 1, 300))
  first = run_again_elsewhere(emulation)
  job = emulation_job(emulation)
  second = emulation.endpoints[next(iter(job.tasks.values())).endpoint]
  second.unreachable = True
  first.unreachable = False
  emulation.clock.run_until(emulation.clock.now + 2.0)
  assert len(emulation.acknowledged_done) == 1
  assert emulation.broken == []


def test_next_holder_s_start_on_its_way_does_not_run_a_task_that_was_done():
  emulation = fleets.fleet()
  test_kept_jobs.submit(emulation, "b0", test_kept_jobs.job("k", 1, 300))
  emulation.clock.run_until(1.2)
  first = next(e for e in emulation.endpoints.values() if e.starts)
  first.unreachable = True
  emulation.kill(fleets.owner_of(emulation, first.info.data_centre).name)
  delay_orders(emulation, first)
  wait_for_start(emulation, first.info.data_centre, 1001)
  first.unreachable = False
  emulation.clock.run_until(8.0)
  assert emulation.kept_store.states["k"] is model.KeptJobState.DONE
  assert emulation.broken == []
