"""Tests of how the process of an entry host stops, in virtual time."""

import signal
import types

import curio

from fescueturn import timer
from fescueturn.lab import ports
from fescueturn.platform import nodefile
from fescueturn.platform import role

GRACE_S = 6.0


async def _do_nothing():
  pass


def test_grace_counts_from_the_signal_though_the_event_loop_is_busy(
    monkeypatch,
):
  now_s = [100.0]
  finished_at = []

  async def sleep(for_s: float):
    now_s[0] += for_s

  async def finish_drain():
    finished_at.append(now_s[0])

  address = ports.free_address()
  node = nodefile.NodeSettings(
      "a", "north", *[address] * 5, 1000, 2.0, GRACE_S, 60.0, 1.3, 1.0
  )
  clock = timer.TimerService(1.0, lambda: now_s[0])
  process = role.EntryProcess(node, clock)
  open_jobs = types.SimpleNamespace(jobs={"job": None})
  process._host = types.SimpleNamespace(
      state=types.SimpleNamespace(coordinator=open_jobs, idle=False),
      drain=_do_nothing,
      prepare_exit=_do_nothing,
      finish_drain=finish_drain,
  )
  process._servers = []
  process._on_signal(signal.SIGTERM, None)
  now_s[0] += 1.0
  monkeypatch.setattr(curio, "sleep", sleep)
  curio.run(process.run)
  (at,) = finished_at
  assert at < 100.0 + GRACE_S - role.EXIT_MARGIN_S + 2 * role.POLL_S
