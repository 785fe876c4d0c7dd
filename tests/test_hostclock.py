import time

import curio
import pytest

from fescueturn import hostclock
from fescueturn import pauses
from fescueturn import timer
from tests import test_logs

SUSPENDED_S = 3.0


def test_time_of_a_process_counts_a_suspension_of_its_host(monkeypatch):
  """Guards against leases and messages that seem younger after one."""
  clock = timer.TimerService(1.0)
  before = clock.now()
  real = time.clock_gettime

  def after_suspension(clock_id):
    counts = clock_id == time.CLOCK_BOOTTIME
    return real(clock_id) + (SUSPENDED_S if counts else 0.0)

  monkeypatch.setattr(time, "clock_gettime", after_suspension)
  assert clock.now() - before >= SUSPENDED_S


class Clocks:
  """Clocks of a process that tests move on."""

  def __init__(self):
    self.at = self.steady = self.cpu_s = 0.0

  def read(self) -> pauses.Reading:
    return pauses.Reading(self.at, self.steady, self.steady, self.cpu_s)

  def run(self, seconds: float):
    self.at += seconds
    self.steady += seconds
    self.cpu_s += seconds

  def wait(self, seconds: float):
    self.at += seconds
    self.steady += seconds

  def suspend(self, seconds: float):
    self.at += seconds


@pytest.fixture(name="lines")
def fixture_lines():
  clock = [100.0]
  reader, _ = test_logs.sink_on_pipe(clock)
  return lambda: test_logs.read_all(reader)


def test_suspension_is_told_from_a_wait_for_a_processor(lines):
  clocks = Clocks()
  log = pauses.PauseLog(lambda: 0.02, clocks.read)
  clocks.wait(0.02)
  clocks.suspend(0.3)
  log.tick(clocks.at)
  assert lines() == [
      "event=process_paused count=1 longest_ms=320 suspended_ms=300"
      " waited_ms=0 cpu_ms=0"
  ]
  clocks.wait(1.02)
  log.tick(clocks.at)
  assert lines() == [
      "event=process_paused count=1 longest_ms=1020 suspended_ms=0"
      " waited_ms=1000 cpu_ms=0"
  ]
  clocks.wait(0.62)
  clocks.run(0.5)
  log.tick(clocks.at)
  assert lines() == [
      "event=process_paused count=1 longest_ms=1120 suspended_ms=0"
      " waited_ms=600 cpu_ms=500"
  ]


def test_pauses_are_logged_at_most_once_a_second(lines):
  clocks = Clocks()
  log = pauses.PauseLog(lambda: 0.02, clocks.read)
  for _ in range(100):
    clocks.wait(0.02)
    clocks.suspend(0.05)
    log.tick(clocks.at)
  assert len(lines()) == 7
  clocks.wait(1.0)
  log.tick(clocks.at)
  assert len(lines()) == 1


def test_ticks_in_time_are_no_pauses(lines):
  clocks = Clocks()
  log = pauses.PauseLog(lambda: 0.1, clocks.read)
  for _ in range(100):
    clocks.wait(0.19)
    log.tick(clocks.at)
  assert lines() == []


@pytest.mark.parametrize("late_reading", [0, 1])
def test_wait_between_the_readings_of_the_clocks_is_no_suspension(
    lines, late_reading
):
  waited_s = 0.05
  readings = []
  at = 0.0
  for number in range(2):
    between_s = waited_s if number == late_reading else 0.0
    readings.append(pauses.Reading(at + between_s, at, at + between_s, 0.0))
    at += 0.02 + between_s
  log = pauses.PauseLog(lambda: 0.02, lambda: readings.pop(0))
  log.tick(at)
  assert lines() == []


def test_daemon_says_at_its_start_that_suspensions_are_not_counted(
    lines, monkeypatch
):
  monkeypatch.setattr(hostclock, "COUNTS_SUSPENSIONS", False)
  pauses.watch(timer.TimerService(1.0))
  assert lines() == ["event=suspensions_uncounted"]


def test_ticks_of_a_timer_log_no_pause(lines):
  clock = timer.TimerService(0.02)
  pauses.watch(clock)
  curio.run(clock.fire)
  assert lines() == []
