"""An emulated fleet: hosts with their real reducers, endpoints and a store.

Tests inject faults through its methods and attributes: a host can be killed,
frozen or partitioned from others, a link between hosts can be reset, the store
can be unavailable, and endpoints can misbehave. The answers to callers are
collected in `answers` and violations of the scheduler's invariants in `broken`.
"""

import collections
import dataclasses
import random
from collections.abc import Callable

from fescueturn import settings
from fescueturn.emulator import clock as clock_lib
from fescueturn.emulator import endpoint as endpoint_lib
from fescueturn.emulator import endpointcalls
from fescueturn.emulator import fleetstore
from fescueturn.emulator import hosts
from fescueturn.emulator import keptstore
from fescueturn.emulator import refusedjobs
from fescueturn.emulator import silence
from fescueturn.scheduler import election
from fescueturn.scheduler import events
from fescueturn.scheduler import keptevents
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import selffencing
from fescueturn.scheduler import timebudget

# One-way network delay between two data centres, as the users' data sheets give
# it.
REMOTE_DELAY_S = 0.0007
# After how long at most (s) a host knows of a caller that has fallen silent.
CALLER_SILENT_S = timebudget.silent_caller(0.0).total_s - timebudget.END_S


@dataclasses.dataclass(frozen=True)
class CallerAnswer:
  """The answer to a caller's request.

  Attributes:
    answer: the answer.
    took_s: the time (s) from the request to the answer.
    beside_room: True if the job was refused although the reachable endpoints
      had room for all of its first tasks at the time of the answer.
  """

  answer: events.Answer
  took_s: float
  beside_room: bool = False


class Fleet:
  """Hosts, endpoints, a store, and the messages between them.

  Attributes:
    clock: the fleet's virtual clock.
    rng: the source of all random choices; seeded, so that runs are repeatable.
    hosts: hosts by name.
    endpoints: endpoints by name, crashed ones included.
    answers: the answers to callers, by request number.
    broken: a line for each violation of an invariant.
    task_profiles: the actual behaviour of each task.
    store_up: False while the store is unavailable.
    store_delay_s: one-way delay (s) of claims, notifications and lists of
      endpoints.
    store_reply_loss_rate: share of the writes whose answers are lost.
    store_late_write_rate: share of the writes that are executed only seconds
      later and never answered.
    kept_load_delay_s: time (s) to take over and read a shard's records of kept
      jobs.
    kept_store: the store's records of kept jobs.
    unlisted: endpoints whose entries in the store's list have expired.
    unexpired: endpoints whose entries are listed although they are silent.
    running_on: by task, the endpoints on which a run of it is active.
    acknowledged_done: tasks that a holder has acknowledged as done.
    restart_delay_s: time (s) until a crashed endpoint is back.
  """

  def __init__(self, seed: int = 0):
    self.clock = clock_lib.VirtualClock()
    self.rng = random.Random(seed)
    self.hosts: dict[str, hosts.EmulatedHost] = {}
    self.endpoints: dict[str, endpoint_lib.EmulatedEndpoint] = {}
    self.answers: dict[int, CallerAnswer] = {}
    self.broken: list[str] = []
    self.task_profiles: dict[model.Task, endpoint_lib.TaskProfile] = {}
    self.store_up = True
    self.store_delay_s = fleetstore.STORE_DELAY_S
    self.store_reply_loss_rate = 0.0
    self.store_late_write_rate = 0.0
    self.kept_load_delay_s = 4 * fleetstore.STORE_DELAY_S
    self.kept_store = keptstore.KeptStore()
    self.unlisted: set[str] = set()
    self.unexpired: set[str] = set()
    self.running_on: dict[model.Task, set[str]] = {}
    self.acknowledged_done: set[model.Task] = set()
    self._submitted_at: dict[int, float] = {}
    self._submitted_jobs: dict[int, model.Job] = {}
    self._refused_jobs = refusedjobs.RefusedJobs(self.broken)
    self._store = fleetstore.FleetStore(self)
    self._calls = endpointcalls.EndpointCalls(self)
    self._silent_links = silence.SilentLinks(self)
    self.restart_delay_s = 3.0
    self._incarnations = 0
    self._boots = 0
    # How often the link from a coordinator to a holder was reset, by hosts.
    self._link_resets: collections.Counter[tuple[str, str]] = (
        collections.Counter()
    )
    # Until when packets between two hosts are held back (s).
    self._stalled_until: dict[tuple[str, str], float] = {}
    # By how much messages from one host to another are read late (s).
    self._read_delays_s: dict[tuple[str, str], float] = {}
    # Requests whose callers have closed their connections.
    self._abandoned: set[int] = set()
    self._requests = 0
    self._default_profile: (
        Callable[[model.Task], endpoint_lib.TaskProfile] | None
    ) = None

  # Hosts and endpoints.

  def add_host(
      self, name: str, data_centre: str, cores: float = election.HOLDER_CORES
  ) -> hosts.EmulatedHost:
    """Adds a host, or restarts a killed one."""
    self._boots += 1
    host = hosts.EmulatedHost(self, name, data_centre, self._boots, cores)
    self.hosts[name] = host
    self.clock.after(self.rng.random() * timebudget.TICK_S, host.tick)
    self.clock.after(
        fleetstore.STORE_DELAY_S, lambda: self._store.read_claims(host)
    )
    return host

  def add_endpoint(
      self, name: str, data_centre: str, cpu: int = 64000, service: str = "s"
  ) -> endpoint_lib.EmulatedEndpoint:
    """Adds an endpoint of 8 slots."""
    info = model.Endpoint(
        name,
        settings.Address(name, 1),
        service,
        data_centre,
        8,
        False,
        model.Resources(cpu, 131072, 0),
    )
    endpoint = endpoint_lib.EmulatedEndpoint(
        info,
        self.clock,
        self._profile_of,
        self.broken,
        self.running_on,
        self.acknowledged_done,
    )
    endpoint.on_crash = self._schedule_restart
    endpoint.on_start = self._refused_jobs.record_start
    self.endpoints[name] = endpoint
    return endpoint

  def _schedule_restart(self, endpoint: endpoint_lib.EmulatedEndpoint):
    """Schedules the restart of a crashed endpoint."""
    self.clock.after(
        self.restart_delay_s, lambda: self.restart_endpoint(endpoint)
    )

  def restart_endpoint(self, endpoint: endpoint_lib.EmulatedEndpoint):
    """Starts a new incarnation of an endpoint at the same address."""
    info = endpoint.info
    endpoint.superseded, endpoint.unreachable = True, False
    self._incarnations += 1
    name = f"{info.address.host}.{self._incarnations}"
    restarted = self.add_endpoint(name, info.data_centre, info.capacity.cpu)
    restarted.info = dataclasses.replace(restarted.info, address=info.address)

  def _profile_of(self, task: model.Task) -> endpoint_lib.TaskProfile:
    return self.task_profiles[task]

  # Callers.

  def submit(
      self,
      host: str,
      job: model.Job,
      run_s: list[float],
      deadline_s: float = 2.0,
      crash_after_s: float | None = None,
  ) -> int:
    """Submits a job to a host.

    Args:
      host: the host's name.
      job: the job.
      run_s: its tasks' actual run times (s).
      deadline_s: how long (s) its caller waits for an answer.
      crash_after_s: time (s) from the start of the job's first task until the
        task crashes its endpoint, or None if it doesn't crash it.

    Returns:
      The request's number, by which `answers` holds the answer.
    """
    tasks = [
        (model.Task(job.id, number, index), step.need)
        for number, step in enumerate(job.steps)
        for index in range(step.count)
    ]
    for (task, need), seconds in zip(tasks, run_s, strict=True):
      self.task_profiles[task] = endpoint_lib.TaskProfile(
          need,
          seconds,
          no_rerun=job.kept,
          attempts=job.attempts if job.kept else None,
      )
    if crash_after_s is not None:
      self.task_profiles[tasks[0][0]].crash_after_s = crash_after_s
    self._requests += 1
    request = self._requests
    self._submitted_at[request] = self.clock.now
    self._submitted_jobs[request] = job
    self._refused_jobs.record_submission(job.id)
    receiver = self.hosts[host]
    arrived = events.JobArrived(request, job, deadline_s)
    if receiver.request_lag_s:
      self.clock.after(
          receiver.request_lag_s, lambda: self._read_late(receiver, arrived)
      )
    else:
      receiver.apply(arrived)
    return request

  def _read_late(self, host: hosts.EmulatedHost, arrived: events.JobArrived):
    """Has a host read a request, unless its caller has left by then."""
    if arrived.request_id not in self._abandoned:
      host.apply(arrived)

  def query_kept_job(
      self,
      host: str,
      job_id: str,
      data_centre: str,
      cancel: bool,
      deadline_s: float = 2.0,
  ) -> int:
    """Queries a kept job's state at a host, or cancels the job.

    Args:
      host: the host's name.
      job_id: the job's id.
      data_centre: the data centre whose shard has the job.
      cancel: True to cancel the job.
      deadline_s: how long (s) the caller waits for an answer.

    Returns:
      The request's number, by which `answers` holds the answer.
    """
    self._requests += 1
    self._submitted_at[self._requests] = self.clock.now
    shard = model.Shard(data_centre)
    self.hosts[host].apply(
        keptevents.KeptJobQueryArrived(
            self._requests, job_id, shard, cancel, deadline_s
        )
    )
    return self._requests

  def disconnect_caller(self, host: str, request: int):
    """Closes the connection of a request's caller."""
    self._abandoned.add(request)
    self.hosts[host].apply(events.CallerGone(request))

  def cut_off_caller(self, host: str, request: int):
    """Silences a request's caller; its host isn't told of a close."""
    silent = events.CallerSilent(request)
    process = self.hosts[host]
    self.clock.after(CALLER_SILENT_S, lambda: process.apply(silent))

  # Faults.

  def kill(self, name: str):
    """Kills a host's process."""
    self.hosts[name].up = False

  def reset_link(self, coordinator: str, holder: str):
    """Resets the link between two hosts; loses the messages in flight on it."""
    self._link_resets[coordinator, holder] += 1
    host = self.hosts[coordinator]
    for shard, record in list(host.state.coordinator.holders.items()):
      if record.holder.host == holder:
        host.apply(events.LinkLost(shard, record.process, refused=False))

  def close_link(self, coordinator: hosts.EmulatedHost, holder: str):
    """Has a coordinator close its link to a holder's host, and hear of it."""
    self._link_resets[coordinator.name, holder] += 1
    for shard, record in list(coordinator.state.coordinator.holders.items()):
      if record.holder.host == holder:
        lost = events.LinkLost(shard, record.process, refused=False)
        self.clock.after(0.0, lambda lost=lost: coordinator.apply(lost))

  def silence_link(self, coordinator: str, holder: str, loss: silence.Loss):
    """Silences the open link between two hosts for good."""
    if coordinator != holder:
      self._silent_links.silence(self.hosts[coordinator], holder, loss)

  def silence_calls(
      self, host: str, endpoint: str, idle: int, loss: silence.Loss
  ):
    """Silences a host's open connections to an endpoint, some of them idle."""
    self._calls.silence_calls(self.hosts[host], endpoint, idle, loss)

  def silence_store(
      self, host: str, idle: int, watch_s: float, loss: silence.Loss
  ):
    """Silences a host's open connections to the store, some of them idle.

    Args:
      host: the host's name.
      idle: how many of them are idle.
      watch_s: how long its watch of the claims waits for an answer (s).
      loss: what is lost on them.
    """
    self._store.silence_connections(self.hosts[host], idle, watch_s, loss)

  def stall_link(self, coordinator: str, holder: str, seconds: float):
    """Holds back what two hosts send each other as TCP does on a dead path."""
    until = self.clock.now + seconds
    for link in ((coordinator, holder), (holder, coordinator)):
      self._stalled_until[link] = until

  def delay_messages(self, coordinator: str, holder: str, seconds: float):
    """Has a busy holder read each message of a coordinator late."""
    self._read_delays_s[coordinator, holder] = seconds

  def drain(self, name: str, drained: bool = True):
    """Lists an endpoint as draining, or as ready again."""
    endpoint = self.endpoints[name]
    endpoint.info = dataclasses.replace(endpoint.info, draining=drained)

  def announce_leave(self, name: str, stays_s: float):
    """Lists an endpoint as draining; it leaves with its runs after a time."""
    endpoint = self.endpoints[name]
    endpoint.info = dataclasses.replace(
        endpoint.info,
        draining=True,
        stays_ms=int(1000 * stays_s),
        clock_ms=endpoint.clock_ms,
    )

    def leave():
      endpoint.crash()
      self.unlisted.add(name)

    self.clock.after(stays_s, leave)

  def evacuate(self, data_centre: str, wanted: bool = True):
    """Requests a data centre's evacuation, or ends it, as the operator does."""
    self._store.evacuate(data_centre, wanted)

  # Effects.

  def execute(self, host: hosts.EmulatedHost, effect: events.Effect):
    """Executes one effect of a host's reducer."""
    handler = _EFFECT_HANDLERS.get(type(effect))
    call_handler = endpointcalls.EFFECT_HANDLERS.get(type(effect))
    if handler is not None:
      handler(self, host, effect)
    elif call_handler is not None:
      call_handler(self._calls, host, effect)
    else:
      fleetstore.EFFECT_HANDLERS[type(effect)](self._store, host, effect)

  def can_reach(self, host: hosts.EmulatedHost, name: str) -> bool:
    """Returns whether packets pass between a host and a host or endpoint."""
    other = self.hosts.get(name)
    return name not in host.partitioned_from and (
        other is None or host.name not in other.partitioned_from
    )

  def hears(self, host: hosts.EmulatedHost, name: str) -> bool:
    """Returns whether packets of a host or endpoint reach a host."""
    return self.can_reach(host, name) and name not in host.deaf_to

  def _send_to_holder(self, host, effect: events.SendToHolder):
    other = self.hosts[effect.holder.host]
    process = linkmessages.HostProcess(effect.holder.host, effect.holder.boot)
    delay_s = _delay_s(host, other)
    if not self.hears(other, host.name):
      return
    if not self._silent_links.carries_to_holder(host, other.name):
      return
    if not other.up:
      lost = events.LinkLost(effect.shard, process, refused=True)
      self.clock.after(2 * delay_s, lambda: host.apply(lost))
      return
    link = (host.name, other.name)
    delay_s += self._read_delays_s.get(link, 0.0)
    self._deliver(link, other, delay_s, effect.message)

  def _send_to_coordinator(self, host, effect: events.SendToCoordinator):
    other = self.hosts[effect.process.host]
    if other.process != effect.process or not self.hears(other, host.name):
      return
    if not self._silent_links.carries_to_coordinator(other, host.name):
      return
    # A message from the known holder's host is attributed to that holder, even
    # if the host has been restarted since.
    holder = other.state.coordinator.holders.get(effect.shard)
    is_known_holder = holder is not None and holder.holder.host == host.name
    process = holder.process if is_known_holder else host.process
    received = events.HolderMessageReceived(
        effect.shard, process, effect.message
    )
    link = (other.name, host.name)
    self._deliver(link, other, _delay_s(host, other), received)

  def _deliver(
      self,
      link: tuple[str, str],
      receiver: hosts.EmulatedHost,
      delay_s: float,
      event: events.Event,
  ):
    """Delivers a message unless its link is reset before it arrives."""
    resets = self._link_resets[link]

    def arrive():
      if self._link_resets[link] == resets:
        receiver.apply(event)

    until = self._stalled_until.get(link, 0.0)
    self.clock.at(max(self.clock.now, until) + delay_s, arrive)

  def _answer(self, host, effect: events.Answer):
    del host
    took_s = self.clock.now - self._submitted_at[effect.request_id]
    refused = effect.outcome is model.Outcome.NOT_RUN
    job = self._submitted_jobs.get(effect.request_id)
    if job is not None:
      self._refused_jobs.record_answer(job.id, effect.outcome)
    self.answers[effect.request_id] = CallerAnswer(
        effect, took_s, refused and self._has_room(effect.request_id)
    )

  def _has_room(self, request: int) -> bool:
    """Returns whether the endpoints have room for a job's first tasks now."""
    job = self._submitted_jobs.get(request)
    if job is None:
      return False
    first = [step for step in job.steps if not step.after]
    usable = [
        e
        for e in self.endpoints.values()
        if not (e.unreachable or e.superseded or e.info.draining)
        and e.info.service == job.service
    ]
    room = sum(e.room_for(first[0].need) for e in usable)
    return room >= sum(step.count for step in first)

  def _log(self, host, effect: events.Log):
    host.log.append(effect)

  def poll_endpoints(self, host: hosts.EmulatedHost):
    """Sends a host the store's list of endpoints, if it can reach the store."""
    if not self._store.can_reach_store(host):
      return
    if self._store.call_loss(host) != silence.NO_LOSS:
      return
    self._store.report_revision(host)
    listed = tuple(
        e.info
        for name, e in self.endpoints.items()
        if not e.superseded
        and (not e.unreachable or name in self.unexpired)
        and name not in self.unlisted
    )
    took_s = 2 * self.store_delay_s
    answers = [events.EndpointsListed(listed, took_s)]
    now = self.clock.now - host.clock_lag_s
    owners = host.state.owners.values()
    if any(selffencing.must_read_claims(owner, now) for owner in owners):
      answers = [*self._store.held(), *answers]

    def arrive():
      for answer in answers:
        host.apply(answer)

    self.clock.after(took_s, arrive)

  def delete_claim(self, shard: model.Shard):
    """Deletes a shard's claim while its holder is still alive."""
    self._store.set_claim(shard, None)


def _delay_s(host: hosts.EmulatedHost, other: hosts.EmulatedHost) -> float:
  """Returns the one-way network delay between two hosts (s)."""
  if host is other:
    return 0.0
  is_local = host.data_centre == other.data_centre
  return endpointcalls.LOCAL_DELAY_S if is_local else REMOTE_DELAY_S


_EFFECT_HANDLERS = {
    events.SendToHolder: Fleet._send_to_holder,
    events.SendToCoordinator: Fleet._send_to_coordinator,
    events.Answer: Fleet._answer,
    events.Log: Fleet._log,
}
