import socket

import curio
import pytest

from fescueturn import settings
from fescueturn import timer
from fescueturn.scheduler import events
from fescueturn.scheduler import host
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import state

PARTY = linkmessages.HostProcess("host-1", "boot-1")
JOB = model.Job(
    "j", "s", "spec", (model.Step(1, model.Resources(1, 1, 0), 50),), 1, 1.6, 60
)


def new_host() -> host.SchedulerHost:
  async def call(effect):
    raise AssertionError(effect)

  async def owning(owns):
    del owns

  ports = host.Ports(call, call, call, call, call, owning, *[call] * 4)
  me = state.HostIdentity(PARTY, "north", (model.Shard("north"),))
  address = settings.Address("127.0.0.1", 0)
  return host.SchedulerHost(me, address, ports, timer.TimerService(1.0))


def test_fault_in_a_decision_is_told_and_marks_the_host():
  made = new_host()
  with pytest.raises(KeyError):
    curio.run(made.apply, "no event")
  assert made.failed


def test_caller_that_leaves_gives_its_job_up():
  made = new_host()

  async def run():
    waiting = await curio.spawn(made.submit, JOB, 5.0)
    await curio.sleep(0.01)
    assert list(made.state.coordinator.jobs) == ["j"]
    await waiting.cancel()

  curio.run(run)
  assert not made.state.coordinator.jobs
  assert made.dump()["waiting_requests"] == 0


def test_idle_host_ticks_slowly_and_a_free_shard_hurries_it():
  made = new_host()
  holder = model.Holder("host-2", "b", settings.Address("127.0.0.1", 9), 5)
  shard = model.Shard("north")

  async def run():
    await made.apply(events.HolderChanged(shard, holder))
    assert made.tick_period_s == host.IDLE_TICK_S
    gone = linkmessages.HostProcess("host-2", "b")
    await made.apply(events.LinkLost(shard, gone, refused=True))
    assert made.tick_period_s == host.TICK_S

  curio.run(run)


def test_host_whose_callers_only_wait_ticks_slowly_until_a_deadline_is_near():
  """A hundred hosts with a few jobs each would tick 5,000 times a second."""
  made = new_host()
  listening = socket.create_server(("127.0.0.1", 0))
  peer = settings.Address(*listening.getsockname())
  holder = model.Holder("host-2", "b", peer, 5)
  shard = model.Shard("north")

  async def run():
    await made.apply(events.HolderChanged(shard, holder))
    waiting = await curio.spawn(made.submit, JOB, 0.4)
    await curio.sleep(0.02)
    assert made.tick_period_s == host.IDLE_TICK_S
    await curio.sleep(0.2)
    await made.apply(events.Tick())
    assert made.tick_period_s == host.TICK_S
    await waiting.cancel()

  curio.run(run)
  listening.close()


def test_job_without_any_holder_is_refused_after_a_moment():
  made = new_host()

  async def run():
    waiting = await curio.spawn(made.submit, JOB, 5.0)
    for _ in range(40):
      await curio.sleep(0.01)
      await made.apply(events.Tick())
    return await waiting.join()

  answer = curio.run(run)
  assert answer.outcome is model.Outcome.NOT_RUN
  assert answer.reason == "no_holder"
  assert answer.retry_after_s > 0
