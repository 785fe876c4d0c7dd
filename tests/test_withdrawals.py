"""Jobs that their coordinator gives up while their holder goes on.

Their callers send them again to other hosts, which may offer them to other data
centres: by then no task of the first submission may still run.
"""

import pytest

from fescueturn.scheduler import model
from tests import fleets

# How long after a broken connection a caller sends its job again.
RETURN_S = 1.3


def active_runs(emulation, data_centre: str) -> int:
  return sum(
      len(e.running)
      for e in emulation.endpoints.values()
      if e.info.data_centre == data_centre
  )


def submit_long_job(emulation, host_name: str, deadline_s: float = 6.0):
  """Submits a job that runs to its caller's deadline."""
  job = fleets.job("long", 2, int(1000 * deadline_s))
  return job, emulation.submit(
      host_name, job, [deadline_s] * 2, 1.2 * deadline_s
  )


@pytest.mark.parametrize("resets", [1, 3])
def test_withdrawal_lost_with_its_link_does_not_let_a_job_run_on(resets):
  emulation = fleets.fleet()
  owner = fleets.owner_of(emulation, "a")
  first = fleets.other_host(emulation, owner)
  job, request = submit_long_job(emulation, first.name)
  emulation.clock.run_until(1.2)
  assert active_runs(emulation, "a") == 2
  emulation.disconnect_caller(first.name, request)
  for number in range(resets):
    emulation.clock.at(
        1.2 + 0.1 * number,
        lambda: emulation.reset_link(first.name, owner.name),
    )
  emulation.clock.run_until(1.2 + RETURN_S)
  assert active_runs(emulation, "a") == 0
  emulation.submit("b0", job, [6.0] * 2, 7.0)
  emulation.clock.run_until(4.0)
  assert active_runs(emulation, "b") == 2
  assert emulation.broken == []


def test_job_given_up_while_its_holder_is_frozen_does_not_run_on_when_it_wakes():
  emulation = fleets.fleet()
  owner = fleets.owner_of(emulation, "a")
  first = fleets.other_host(emulation, owner)
  job, request = submit_long_job(emulation, first.name)
  emulation.clock.run_until(1.2)
  # Nobody can claim the shard meanwhile.
  emulation.store_up = False
  owner.frozen = True
  while request not in emulation.answers:
    emulation.clock.run_until(emulation.clock.now + 0.01)
  assert emulation.answers[request].answer.outcome is model.Outcome.UNKNOWN
  given_up_at = emulation.clock.now
  owner.thaw()
  emulation.clock.run_until(given_up_at + RETURN_S)
  assert active_runs(emulation, "a") == 0
  emulation.submit("b0", job, [6.0] * 2, 7.0)
  emulation.clock.run_until(given_up_at + RETURN_S + 1.0)
  assert active_runs(emulation, "b") == 2
  assert emulation.broken == []
