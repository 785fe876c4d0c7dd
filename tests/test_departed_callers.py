"""Jobs whose callers have left, and may have sent them to another host."""

import collections
import json
import math
import socket
import time

import curio

from fescueturn import httpio
from fescueturn import settings
from fescueturn import timer
from fescueturn.platform import callers
from fescueturn.scheduler import events
from fescueturn.scheduler import host as host_lib
from fescueturn.scheduler import hostmetrics
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import reducer
from fescueturn.scheduler import runcontrol
from fescueturn.scheduler import state as state_lib
from tests import fleets
from tests import test_kept_jobs

SHARD = model.Shard("a")
ME = linkmessages.HostProcess("host-1", "boot-1")
HOLDER = model.Holder("host-2", "b", settings.Address("127.0.0.1", 9), 5)
QUEUE = model.Queue("r0", "h", "/a/", "s", 3, 1.6, 60, 1500)
BODY = json.dumps(
    {
        "bestEffort": True,
        "spec": "x",
        "phases": [{"taskCount": 1, "cpu": 1, "memMb": 1, "estimateMs": 900}],
    }
).encode()


class Host:
  """A host with its interface for callers, and a holder that never answers."""

  def __init__(self, job_store=None):
    self.clock = timer.TimerService(3600.0)
    ports = host_lib.Ports(*[self._ignore] * 12)
    me = state_lib.HostIdentity(ME, "a", (SHARD,))
    address = settings.Address("127.0.0.1", 0)
    self.scheduler = host_lib.SchedulerHost(me, address, ports, self.clock)
    self.state = self.scheduler.state.coordinator
    self.metrics = hostmetrics.HostMetrics(self.scheduler.state)
    self._callers = callers.CallerHttp(
        self.scheduler, self.clock.now, self.metrics, job_store
    )
    self._callers.set_config(model.Config(1, (QUEUE,)))
    self._listener = socket.create_server(("127.0.0.1", 0))
    self.address = self._listener.getsockname()
    self._listener.close()
    self._server = httpio.Server(
        settings.Address(*self.address),
        self._callers.handle,
        limits=self._callers.limits,
    )

  async def _ignore(self, *args):
    del args

  async def start(self):
    self.clock.subscribe(self.scheduler._tick)
    await self._server.start()
    await self.scheduler.apply(events.HolderChanged(SHARD, HOLDER))

  async def close(self):
    await self._server.close()
    await self.scheduler.close()

  def send(self, job_id: str, deadline_ms: int = 3000) -> socket.socket:
    """Sends a job from a caller; returns its connection."""
    head = (
        f"POST /a/{job_id} HTTP/1.1\r\nhost: h\r\n"
        f"deadline-ms: {deadline_ms}\r\n"
        f"content-length: {len(BODY)}\r\n\r\n"
    )
    connection = socket.create_connection(self.address)
    connection.sendall(head.encode() + BODY)
    return connection


def run_with_host(scenario, job_store=None):
  async def run():
    host = Host(job_store)
    await host.start()
    try:
      await scenario(host)
    finally:
      await host.close()

  curio.run(run)


def test_requests_read_after_their_callers_have_left_are_not_offered():
  async def scenario(host):
    for number in range(20):
      host.send(f"{number:016x}").close()
    time.sleep(0.1)  # The process waits for a processor.
    abandoned = b'count{outcome="abandoned",queue="r0"} 20.0'
    while abandoned not in host.metrics.render():
      await curio.sleep(0.1)
    await curio.sleep(0.3)
    assert not host.state.counters["offers"]
    assert not host.state.jobs

  run_with_host(scenario)


def test_callers_that_left_during_a_pause_are_not_vouched_for_after_it():
  async def scenario(host):
    connections = [host.send(f"{number:016x}") for number in range(5)]
    await curio.sleep(0.2)
    assert len(host.state.jobs) == 5
    for connection in connections[1:]:
      connection.close()
    time.sleep(0.1)  # The process waits for a processor.
    await host.clock.fire()
    assert list(host.state.jobs) == ["0" * 16]

  run_with_host(scenario)


def test_input_behind_a_request_does_not_hide_that_its_caller_left():
  async def scenario(host):
    connection = host.send("1" * 16)
    await curio.sleep(0.1)
    assert host.state.jobs
    connection.sendall(b"GET /a/ HTTP/1.1\r\n")
    connection.close()
    await curio.sleep(0.5)
    assert not host.state.jobs
    assert not host.scheduler.dump()["waiting_requests"]

  run_with_host(scenario)


def test_pings_and_offers_tell_when_callers_were_last_seen():
  """The process may wait for a processor after it has checked them."""
  state = state_lib.HostState(state_lib.HostIdentity(ME, "a", (SHARD,)))
  job = fleets.job("j", 1, 900)
  reducer.reduce(state, events.HolderChanged(SHARD, HOLDER), 5.0)
  effects = reducer.reduce(state, events.Tick(5.0), 5.4)
  effects += reducer.reduce(state, events.JobArrived(1, job, 3.0), 5.41)
  effects += reducer.reduce(state, events.Tick(5.45), 5.85)
  sent = [e.message for e in effects if isinstance(e, events.SendToHolder)]
  assert [(type(m), m.at) for m in sent] == [
      (linkmessages.Ping, 5.0),
      (linkmessages.Offered, 5.0),
      (linkmessages.Ping, 5.45),
  ]


def test_jobs_read_after_a_pause_are_offered_once_callers_were_checked():
  state = state_lib.HostState(state_lib.HostIdentity(ME, "a", (SHARD,)))
  reducer.reduce(state, events.HolderChanged(SHARD, HOLDER), 5.0)
  reducer.reduce(state, events.Tick(5.0), 5.0)
  effects = []
  for number, at in enumerate((5.4, 5.43)):
    job = fleets.job(f"j{number}", 1, 900)
    effects += reducer.reduce(state, events.JobArrived(number, job, 3.0), at)
  effects += reducer.reduce(state, events.Tick(5.45), 5.45)
  sent = [e.message for e in effects if isinstance(e, events.SendToHolder)]
  offers = [m for m in sent if isinstance(m, linkmessages.Offered)]
  assert [(o.key.job_id, o.at) for o in offers] == [("j0", 5.45), ("j1", 5.45)]


def test_offers_before_the_first_tick_tell_when_callers_were_last_seen():
  state = state_lib.HostState(state_lib.HostIdentity(ME, "a", (SHARD,)))
  reducer.reduce(state, events.HolderChanged(SHARD, HOLDER), 5.0)
  job = fleets.job("j", 1, 900)
  effects = reducer.reduce(state, events.JobArrived(1, job, 3.0), 5.01)
  sent = [e.message for e in effects if isinstance(e, events.SendToHolder)]
  assert [(type(m), m.at) for m in sent] == [(linkmessages.Offered, 5.0)]


def test_log_of_started_tasks_names_endpoints_and_the_coordinators_silence():
  emulation = fleets.fleet()
  owner = fleets.owner_of(emulation, "a").state.owners[SHARD]
  emulation.submit("a1", fleets.job("j1", 2, 900), [0.9] * 2, 3.0)
  emulation.clock.run_until(1.2)
  (job,) = owner.jobs.values()
  for task in job.tasks.values():
    job.requeue_task(task)
  runcontrol.start_waiting_tasks(owner)
  (line,) = [
      effect
      for effect in owner.take_effects()
      if isinstance(effect, events.Log) and effect.event == "tasks_started"
  ]
  fields = dict(line.fields)
  assert 0 <= fields["coordinator_heard_ms_ago"] <= 150
  runs = [f"0.{t.task.index}:2@{t.endpoint}" for t in job.tasks.values()]
  assert sorted(fields["runs"].split(",")) == sorted(runs)


def queried_fleet(cancel_from: float):
  """Plays kept jobs with queries whose callers leave as soon as they sent them.

  Args:
    cancel_from: from when the queries cancel the jobs (s).

  Returns:
    The fleet and the starts by task.
  """
  emulation = fleets.fleet()
  hosts = test_kept_jobs.all_hosts(emulation)
  submitted = test_kept_jobs.load(emulation, hosts, 3.0, 8)

  def query(host):
    for name in list(submitted):
      for data_centre in fleets.DATA_CENTRES:
        cancel = emulation.clock.now >= cancel_from
        request = emulation.query_kept_job(host, name, data_centre, cancel)
        emulation.disconnect_caller(host, request)

  for number, host in enumerate(4 * list(emulation.hosts)):
    emulation.clock.at(1.0 + number / 10, lambda h=host: query(h))
  emulation.clock.run_until(8.0)
  assert emulation.broken == []
  assert not any(h.state.coordinator.queries for h in emulation.hosts.values())
  starts = [run.task for e in emulation.endpoints.values() for run in e.starts]
  return emulation, collections.Counter(starts)


def test_state_queries_whose_callers_left_start_nothing():
  emulation, starts = queried_fleet(cancel_from=math.inf)
  assert starts == dict.fromkeys(emulation.task_profiles, 1)


def test_cancellations_whose_callers_left_take_effect_and_start_nothing():
  emulation, starts = queried_fleet(cancel_from=2.0)
  assert set(starts.values()) == {1}
  assert set(starts) < set(emulation.task_profiles)
  states = list(emulation.kept_store.states.values())
  assert states.count(model.KeptJobState.CANCELLED) > len(states) / 4
