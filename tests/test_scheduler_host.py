import socket
import time

import curio
import pytest

from fescueturn import settings
from fescueturn import timer
from fescueturn.scheduler import events
from fescueturn.scheduler import host
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import state

PROCESS = linkmessages.HostProcess("host-1", "boot-1")
JOB = model.Job(
    "j", "s", "spec", (model.Step(1, model.Resources(1, 1, 0), 50),), 1, 1.6, 60
)


def new_host(now=time.monotonic) -> host.SchedulerHost:
  async def call(effect):
    raise AssertionError(effect)

  async def on_ownership_change(owns_shard):
    del owns_shard

  ports = host.Ports(
      call, call, call, call, call, on_ownership_change, *[call] * 6
  )
  me = state.HostIdentity(PROCESS, "north", (model.Shard("north"),))
  address = settings.Address("127.0.0.1", 0)
  return host.SchedulerHost(me, address, ports, timer.TimerService(1.0, now))


def test_reducer_exception_is_raised_and_marks_the_host_as_failed():
  scheduler = new_host()
  with pytest.raises(KeyError):
    curio.run(scheduler.apply, "no event")
  assert scheduler.failed


def test_job_of_a_disconnected_caller_is_dropped():
  scheduler = new_host()

  async def run():
    submission = await curio.spawn(scheduler.submit, JOB, 5.0)
    await curio.sleep(0.01)
    assert list(scheduler.state.coordinator.jobs) == ["j"]
    await submission.cancel()

  curio.run(run)
  assert not scheduler.state.coordinator.jobs
  assert scheduler.dump()["waiting_requests"] == 0


def test_idle_host_ticks_slowly_until_a_shard_is_free():
  scheduler = new_host()
  holder = model.Holder("host-2", "b", settings.Address("127.0.0.1", 9), 5)
  shard = model.Shard("north")

  async def run():
    await scheduler.apply(events.HolderChanged(shard, holder))
    assert scheduler.tick_period_s == host.IDLE_TICK_S
    dead_process = linkmessages.HostProcess("host-2", "b")
    await scheduler.apply(events.LinkLost(shard, dead_process, refused=True))
    assert scheduler.tick_period_s == host.TICK_S

  curio.run(run)


def test_host_with_waiting_callers_ticks_slowly_until_a_deadline_is_near():
  """Guards against ticking fast whenever a caller waits.

  A hundred hosts with a few jobs each would tick 5,000 times a second.
  """
  now_s = [100.0]
  scheduler = new_host(lambda: now_s[0])
  listener = socket.create_server(("127.0.0.1", 0))
  peer = settings.Address(*listener.getsockname())
  holder = model.Holder("host-2", "b", peer, 5)
  shard = model.Shard("north")

  async def run():
    await scheduler.apply(events.HolderChanged(shard, holder))
    submission = await curio.spawn(scheduler.submit, JOB, 0.4)
    await curio.sleep(0.02)
    assert scheduler.tick_period_s == host.IDLE_TICK_S
    now_s[0] += 0.2
    await scheduler.apply(events.Tick())
    assert scheduler.tick_period_s == host.TICK_S
    await submission.cancel()

  curio.run(run)
  listener.close()


def test_job_without_any_holder_is_refused_after_the_time_out():
  scheduler = new_host()

  async def run():
    submission = await curio.spawn(scheduler.submit, JOB, 5.0)
    for _ in range(40):
      await curio.sleep(0.01)
      await scheduler.apply(events.Tick())
    return await submission.join()

  answer = curio.run(run)
  assert answer.outcome is model.Outcome.NOT_RUN
  assert answer.reason == "no_holder"
  assert answer.retry_after_s > 0


def test_closed_host_opens_no_connection_for_a_request_that_still_waits():
  scheduler = new_host()
  listener = socket.create_server(("127.0.0.1", 0))
  peer = settings.Address(*listener.getsockname())
  shard = model.Shard("north")

  async def run():
    holder = model.Holder("host-2", "b", peer, 5)
    await scheduler.apply(events.HolderChanged(shard, holder))
    submission = await curio.spawn(scheduler.submit, JOB, 5.0)
    await curio.sleep(0.05)
    await scheduler.close()
    listener.accept()[0].close()
    await submission.cancel()
    await curio.sleep(0.05)
    listener.setblocking(False)
    with pytest.raises(BlockingIOError):
      listener.accept()

  curio.run(run)
  listener.close()
