import contextlib
import socket

import curio
import pytest

from fescueturn import eventloop
from fescueturn import settings
from fescueturn.scheduler import events
from fescueturn.scheduler import model
from tests import test_scheduler_host


def test_request_that_waits_as_a_host_exits_is_no_crash():
  """Its withdrawal opens a connection that the host has closed before."""
  scheduler = test_scheduler_host.new_host()
  withdrawn = []

  async def run(peer: settings.Address):
    shard = model.Shard("north")
    holder = model.Holder("host-2", "b", peer, 5)
    await scheduler.apply(events.HolderChanged(shard, holder))
    await curio.spawn(scheduler.submit, test_scheduler_host.JOB, 5.0)
    await curio.sleep(0.05)
    withdrawn.append(scheduler.dump()["waiting_requests"])
    await scheduler.close()

  with contextlib.closing(socket.create_server(("127.0.0.1", 0))) as listener:
    eventloop.run(run, settings.Address(*listener.getsockname()))
  assert withdrawn == [1]
  assert scheduler.dump()["waiting_requests"] == 0


def test_exit_code_of_the_main_task_stays():
  async def spawn_when_cancelled():
    try:
      await curio.sleep(10.0)
    finally:
      await curio.spawn(curio.sleep, 10.0, daemon=True)

  async def run():
    await curio.spawn(spawn_when_cancelled, daemon=True)
    await curio.sleep(0)
    raise SystemExit(3)

  with pytest.raises(SystemExit) as raised:
    eventloop.run(run)
  assert raised.value.code == 3
