"""Callers that send their jobs again, while several hosts stand still at once.

The endpoints have room for half of the load.
"""

import random

import pytest

from tests import fleets
from tests import returningcallers


def play(seed: int, end_s: float = 16.0):
  """Plays a load of returning callers with faults up to a time (s).

  Returns:
    The fleet and the callers.
  """
  load_s, per_s = 8.0, 85.0
  rng = random.Random(seed)
  emulation = fleets.fleet(hosts=rng.choice((2, 3)), seed=seed)
  callers: list[returningcallers.Caller] = []
  for number in range(int(load_s * per_s)):
    tasks, run_ms = rng.choice(returningcallers.KINDS)
    run_s = [run_ms / 1000 * rng.uniform(0.7, 1.4)] * tasks
    job = fleets.job(f"j{number}", tasks, run_ms, rng.choice((60, 600, 2000)))
    caller = returningcallers.Caller(emulation, rng, job, run_s)
    callers.append(caller)
    emulation.clock.at(1.0 + number / per_s, caller.submit)
  returningcallers.Faults(emulation, seed, callers).plan(load_s)
  emulation.clock.run_until(end_s)
  return emulation, callers


@pytest.mark.parametrize("seed", [104, 114])
def test_no_task_runs_twice_while_several_hosts_stand_still(seed):
  emulation, _ = play(seed, end_s=8.0)
  assert emulation.broken == []
