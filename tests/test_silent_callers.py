"""Callers whose connections fall silent without a close.

They may have lost only the connection, and send their jobs to another host 1.3 s
later; by then no run of the first submission may be active.
"""

import contextlib
import ctypes
import random
import socket
import time

import curio
import pytest

from fescueturn import silencewatch
from fescueturn.scheduler import model
from fescueturn.scheduler import timebudget
from tests import fleets
from tests import test_departed_callers

RETURN_S = 1.3
WAIT_S = 3.0
JOBS = 60
# In `linux/filter.h`: a socket's filter of incoming packets, and the
# instruction that drops them all.
SO_ATTACH_FILTER = 26
BPF_RETURN = 6


class _Instruction(ctypes.Structure):
  _fields_ = [
      ("code", ctypes.c_uint16),
      ("jt", ctypes.c_uint8),
      ("jf", ctypes.c_uint8),
      ("k", ctypes.c_uint32),
  ]


class _Program(ctypes.Structure):
  _fields_ = [
      ("length", ctypes.c_ushort),
      ("instructions", ctypes.POINTER(_Instruction)),
  ]


def cut_off(connection: socket.socket):
  """Has the kernel drop what arrives, so that it acknowledges nothing."""
  instructions = (_Instruction * 1)(_Instruction(BPF_RETURN, 0, 0, 0))
  program = bytes(_Program(1, instructions))
  connection.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


@contextlib.contextmanager
def connected():
  with socket.create_server(("127.0.0.1", 0)) as listening:
    caller = socket.create_connection(listening.getsockname())
    accepted, _ = listening.accept()
  with caller, accepted:
    caller.sendall(b"request")
    accepted.recv(100)
    yield caller, accepted


async def looks_until(
    watch: silencewatch.SilenceWatch, end_s: float
) -> list[int]:
  """Returns the first silent requests, or [] if there are none in time."""
  silent = []
  while time.monotonic() < end_s and not silent:
    await curio.sleep(0.02)
    silent = watch.silent_requests(time.monotonic())
  return silent


@pytest.mark.parametrize("seed", range(6))
def test_caller_cut_off_without_a_close_has_no_two_runs(seed):
  emulation = fleets.fleet(seed=seed)
  rng = random.Random(seed)

  def submit(job, run_s):
    host = rng.choice(list(emulation.hosts))
    request = emulation.submit(host, job, run_s, WAIT_S)
    emulation.clock.after(rng.uniform(0.0, 1.2), lambda: lose(job, run_s))
    return host, request

  def lose(job, run_s):
    host, request = waiting[job.id]
    if request not in emulation.answers:
      emulation.cut_off_caller(host, request)
      emulation.clock.after(
          RETURN_S, lambda: emulation.submit(elsewhere(host), job, run_s, 2.0)
      )

  def elsewhere(host: str) -> str:
    data_centre = emulation.hosts[host].data_centre
    return rng.choice(
        [
            h.name
            for h in emulation.hosts.values()
            if h.data_centre != data_centre
        ]
    )

  waiting = {}
  for number in range(JOBS):
    run_s = [rng.uniform(0.5, 2.5) for _ in range(2)]
    job = fleets.job(f"j{number}", 2, 1500, 600)

    def begin(job=job, run_s=run_s):
      waiting[job.id] = submit(job, run_s)

    emulation.clock.at(1.0 + number / 4, begin)
  emulation.clock.run_until(25.0)
  assert emulation.broken == []
  outcomes = [a.answer.outcome for a in emulation.answers.values()]
  assert outcomes.count(model.Outcome.DONE) > JOBS / 2


def test_silent_callers_jobs_end_before_they_return():
  assert timebudget.silent_caller(RETURN_S).holds


def test_job_of_a_caller_cut_off_without_a_close_is_given_up():
  async def scenario(host):
    sound, silent = (host.send(f"{n:016x}", 60_000) for n in range(2))
    await host.clock.start()
    cut_off(silent)
    async with curio.timeout_after(20.0):
      while not host.state.counters["caller_silent"]:
        await curio.sleep(0.01)
    assert list(host.state.jobs) == ["0" * 16]
    assert host.state.counters["caller_silent"] == 1
    await host.clock.close()
    sound.close()
    silent.close()

  test_departed_callers.run_with_host(scenario)


def test_caller_cut_off_after_an_answered_probe_is_found_and_no_other():
  async def scenario():
    with connected() as (caller, accepted), connected() as (_, sound):
      watch = silencewatch.SilenceWatch()
      began = time.monotonic()
      watch.add(accepted.fileno(), 1, began)
      watch.add(sound.fileno(), 2, began)
      assert not await looks_until(watch, began + 1.3)
      cut_off(caller)
      assert await looks_until(watch, began + 10.0) == [1]

  curio.run(scenario)


def test_sound_caller_that_is_looked_at_late_is_asked_before_it_is_judged():
  async def scenario():
    with connected() as (_, accepted):
      await curio.sleep(1.5)
      watch = silencewatch.SilenceWatch()
      began = time.monotonic()
      watch.add(accepted.fileno(), 1, began - 1.5)
      assert not watch.silent_requests(began)
      assert watch.in_doubt
      assert not await looks_until(watch, began + 0.5)
      assert not watch.in_doubt

  curio.run(scenario)


def test_connections_whose_state_is_unknown_are_not_taken_for_silent():
  async def scenario():
    caller, accepted = socket.socketpair()
    with caller, accepted:
      watch = silencewatch.SilenceWatch()
      watch.add(accepted.fileno(), 1, time.monotonic())
      assert not await looks_until(watch, time.monotonic() + 2.0)

  curio.run(scenario)
