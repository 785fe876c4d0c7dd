"""Faults that a review of the chains of delays found."""

import curio
import pytest

from fescueturn import errors
from fescueturn import kvtypes
from fescueturn.emulator import endpointcalls
from fescueturn.lab import ports
from fescueturn.platform import endpoints
from fescueturn.scheduler import events
from fescueturn.scheduler import model
from tests import fleets
from tests import test_kept_jobs
from tests import test_new_holder
from tests import test_platform_endpoints
from tests import test_selffencing


@pytest.mark.parametrize("cut_at", [6.3, 6.36, 6.42])
def test_kept_task_runs_once_if_the_store_is_lost_later_than_the_hosts(
    monkeypatch, cut_at
):
  """The store answers until the claim, 0.46 s after the hosts are cut off."""
  emulation = fleets.fleet()
  emulation.add_endpoint("z", "a", cpu=200000)
  emulation.clock.run_until(6.15)
  holder = fleets.owner_of(emulation, "a")
  kept_job = test_kept_jobs.job("k", 1, 9000)
  test_kept_jobs.submit(emulation, holder.name, kept_job)
  emulation.clock.run_until(cut_at)
  handlers = endpointcalls.EFFECT_HANDLERS
  monkeypatch.setitem(handlers, events.StopRun, lambda *_: None)
  test_new_holder.cut_off_rack(emulation, {holder.name, "z"})
  holder.partitioned_from.discard("store")
  emulation.clock.run_until(cut_at + 0.46)
  holder.partitioned_from.add("store")
  emulation.clock.run_until(cut_at + 5.0)
  assert emulation.broken == []


@pytest.mark.parametrize("stalled_s", [0.9, 1.2, 2.0])
def test_stalled_link_of_a_restarted_host_stops_no_kept_run(stalled_s):
  """Its first messages are read together, late; no host was suspended."""
  emulation, holder = test_selffencing.fleet_with_kept_job()
  other = fleets.other_host(emulation, holder)
  emulation.kill(other.name)
  emulation.clock.run_until(6.65)
  emulation.add_host(other.name, "a")
  emulation.stall_link(other.name, holder.name, stalled_s)
  emulation.clock.run_until(10.0)
  assert len(test_selffencing.starts_of(emulation, "k")) == 1


@pytest.mark.parametrize("load_s", [0.6, 1.0])
def test_runs_go_on_while_the_records_of_kept_jobs_are_read_slowly(load_s):
  """A holder is killed, which has a job of its own beside others'."""
  emulation = fleets.fleet()
  emulation.add_endpoint("z", "a", cpu=200000)
  emulation.clock.run_until(6.0)
  holder = fleets.owner_of(emulation, "a")
  emulation.submit(holder.name, fleets.job("own", 1, 5000), [5.0], 8.0)
  other = fleets.other_host(emulation, holder)
  emulation.submit(other.name, fleets.job("beside", 1, 4000), [4.0], 8.0)
  emulation.kept_load_delay_s = load_s
  emulation.clock.run_until(6.4)
  emulation.kill(holder.name)
  emulation.clock.run_until(12.0)
  assert len(test_selffencing.starts_of(emulation, "beside")) == 1


@pytest.mark.parametrize("load_s", [1.0, 2.0])
def test_kept_run_goes_on_while_its_record_is_read_slowly(load_s):
  emulation, holder = test_selffencing.fleet_with_kept_job(6000)
  emulation.kept_load_delay_s = load_s
  emulation.clock.run_until(6.4)
  emulation.kill(holder.name)
  emulation.clock.run_until(14.0)
  assert len(test_selffencing.starts_of(emulation, "k")) == 1


def test_endpoint_list_is_applied_although_the_claims_are_not_read():
  """Best-effort jobs need the list, and no claims."""
  listed = []

  class Store:

    async def range(self, prefix):
      del prefix
      return kvtypes.Changes(7, ())

  async def fail():
    raise errors.KvError("no answer")

  async def play():
    async def on_list(event):
      listed.append(event)

    poller = endpoints.EndpointPoller(
        Store(), lambda: 0.0, on_list, read_claims=fail
    )
    await poller.start()
    await poller.set_owning(True)
    await curio.sleep(0.2)
    await poller.close()

  curio.run(play)
  assert listed


def test_start_is_not_sent_to_another_incarnation_after_a_call_broke():
  """A connection in use closes with its endpoint too, and leaves none idle."""
  seen = []

  async def play():
    address = ports.free_address()
    call = test_platform_endpoints.lease_call(address)
    run = model.RunId(model.Task("j", 0, 0), 1)
    calls = endpoints.EndpointCalls(lambda: 0.0)
    first = await curio.spawn(answer_one_of_two, address)
    await curio.sleep(0.05)
    await calls.renew(call)
    broken = await calls.renew(call)
    await first.join()
    third = await curio.spawn(
        test_platform_endpoints.answer_few, address, 6, seen, 2
    )
    await curio.sleep(0.05)
    answer = await calls.start(
        events.StartRun(call.endpoint, run, "spec", 809, 7, born_ms=5)
    )
    await calls.close()
    await third.join()
    return broken.result, answer.result

  assert curio.run(play)[0] is model.CallResult.NO_ANSWER
  assert "j.0.0.0" not in seen


async def answer_one_of_two(address):
  """Answers a call, reads another one and ends."""
  server = curio.socket.socket()
  server.setsockopt(curio.socket.SOL_SOCKET, curio.socket.SO_REUSEADDR, 1)
  server.bind((address.host, address.port))
  server.listen(1)
  client, _ = await server.accept()
  body = b'{"clockMs": 9, "born": 5}'
  await client.recv(10_000)
  await client.sendall(
      b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body
  )
  await client.recv(10_000)
  await client.close()
  await server.close()
