"""Runs whose caller leaves around a change of their shard's holder.

The caller sends its job again 1.3 s after its coordinator last saw it. By then no
run of the first submission may be active, whatever the next holder knows of it.
"""

import pytest

from fescueturn.emulator import endpointcalls
from fescueturn.scheduler import events
from tests import fleets

RETURN_S = 1.3
RUN_S = 5.0
# When the caller leaves (s), and moments at which the holder is lost, from that.
LEFT_AT = 4.6
HOLDER_LOST_S = [step / 100 for step in range(-25, 25, 5)]


def fleet_with_shared_endpoint(clock_rate: float):
  """Returns a fleet, and the holder and a coordinator of data centre a.

  Each data centre has one endpoint. In a it runs a job of that coordinator, and
  one of each of two others.
  """
  emulation = fleets.fleet(hosts=4, endpoints=0)
  for data_centre in fleets.DATA_CENTRES:
    endpoint = emulation.add_endpoint(f"z{data_centre}", data_centre, 200000)
    endpoint.clock_rate = clock_rate
  emulation.clock.run_until(4.0)
  holder = fleets.owner_of(emulation, "a")
  coordinator, *others = [
      h for h in fleets.hosts_in(emulation, "a") if h is not holder
  ]
  coordinator.state.coordinator.can_hold = False
  job = fleets.job("left", 1, int(1000 * RUN_S))
  request = emulation.submit(coordinator.name, job, [RUN_S], 8.0)
  for host in others:
    beside = fleets.job(f"beside-{host.name}", 1, int(1000 * RUN_S))
    emulation.submit(host.name, beside, [RUN_S], 8.0)
  emulation.clock.run_until(4.3)
  assert len(emulation.endpoints["za"].running) == 3
  return emulation, holder, coordinator, job, request


def lose_holder(emulation, holder, how: str):
  if how == "killed":
    emulation.kill(holder.name)
  else:
    holder.frozen = True


def lose_stops_of_others(monkeypatch, holder):
  """Loses the stop requests of all hosts but one."""
  stop_run = endpointcalls.EFFECT_HANDLERS[events.StopRun]

  def stop(calls, host, effect):
    if host is holder:
      stop_run(calls, host, effect)

  monkeypatch.setitem(endpointcalls.EFFECT_HANDLERS, events.StopRun, stop)


@pytest.mark.parametrize("leaves", ["closes", "killed"])
@pytest.mark.parametrize("how", ["killed", "frozen"])
def test_unknown_run_at_a_takeover_ends_before_its_caller_comes_back(
    monkeypatch, how, leaves
):
  """The endpoint's clock is slow, and no stop of the next holder arrives."""
  broken = []
  for lost_s in HOLDER_LOST_S:
    emulation, holder, coordinator, job, request = fleet_with_shared_endpoint(
        clock_rate=0.98
    )
    with monkeypatch.context() as patch:
      lose_stops_of_others(patch, holder)
      clock = emulation.clock
      clock.at(
          LEFT_AT + lost_s,
          lambda e=emulation, h=holder: lose_holder(e, h, how),
      )
      clock.run_until(LEFT_AT)
      if leaves == "killed":
        emulation.kill(coordinator.name)
      else:
        emulation.disconnect_caller(coordinator.name, request)
      clock.run_until(LEFT_AT + RETURN_S)
      emulation.submit("b0", job, [RUN_S], 6.0)
      clock.run_until(LEFT_AT + RETURN_S + 0.1)
    broken += [(lost_s, line) for line in emulation.broken]
  assert broken == []


@pytest.mark.parametrize("leaves", ["closes", "killed"])
@pytest.mark.parametrize("stalled_s", [0.1, 0.2, 0.3, 0.5])
def test_first_messages_over_a_stalled_link_extend_no_lease_of_adopted_runs(
    monkeypatch, stalled_s, leaves
):
  """The next holder reads a coordinator's offer after its caller has left."""
  broken = []
  for lost_s in (-0.25, -0.1, -0.05):
    emulation, holder, coordinator, job, request = fleet_with_shared_endpoint(
        clock_rate=0.98
    )
    clock = emulation.clock
    with monkeypatch.context() as patch:
      lose_stops_of_others(patch, holder)
      clock.run_until(LEFT_AT + lost_s)
      emulation.kill(holder.name)
      for host in fleets.hosts_in(emulation, "a"):
        emulation.stall_link(coordinator.name, host.name, stalled_s)
      clock.run_until(LEFT_AT)
      if leaves == "killed":
        emulation.kill(coordinator.name)
      else:
        emulation.disconnect_caller(coordinator.name, request)
      clock.run_until(LEFT_AT + RETURN_S)
      emulation.submit("b0", job, [RUN_S], 6.0)
      clock.run_until(LEFT_AT + RETURN_S + 0.1)
    broken += [(lost_s, line) for line in emulation.broken]
  assert broken == []
