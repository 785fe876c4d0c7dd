"""A fake peer network that connects the reducers of several entry hosts.

The test decides when each message is delivered, delayed or dropped, and
controls the clock; there are no sockets. The fake counts the task starts that
the reducers request.
"""

import collections
import dataclasses

from fescueturn import claims
from fescueturn import codes
from fescueturn import events
from fescueturn import reducer
from fescueturn import settings
from fescueturn import state as state_lib
from tests import conftest

TTL_S = 3.0
FOREVER_S = 1e9


@dataclasses.dataclass(frozen=True)
class Envelope:
  """A message in transit; `reply` is set once it is on the way back.

  Its sender waits for no reply any more if `timed_out` is True.
  """

  source: str
  effect: events.SendPeerRequest | events.SendPeerNotice
  reply: claims.Reply | None = None
  timed_out: bool = False


class Peers:
  """Entry hosts, the platform's member list, and the messages in transit.

  Attributes:
    hosts: the state of each running entry host, by name.
    store: the member keys in the platform's store, by name.
    views: the views that each host has not received yet, in order.
    in_transit: messages and replies that are not delivered yet.
    senders: messages whose receiver has not replied yet, by request id.
    starts: number of starts of each task, by downstream key.
    outcomes: outcomes of callers' requests, by request id.
    broken_links: pairs of hosts that can't reach each other.
    running: tasks that run at an endpoint, with their sender's state.
  """

  def __init__(self, names=(), endpoints=1, finish_tasks=True, slots=64):
    self.now = 0.0
    self.hosts = {}
    self.store = {}
    self.views = collections.defaultdict(list)
    self.in_transit = []
    self.senders = {}
    self.starts = collections.Counter()
    self.outcomes = {}
    self.broken_links = set()
    self.racks = {}
    self._ids = iter(range(1, 10**6))
    self._finish = finish_tasks
    self.running = []
    self._endpoints = tuple(
        conftest.endpoint(f"e{i}", slots) for i in range(endpoints)
    )
    for name in names:
      self.join(name)
    self.run_rounds()

  def join(self, name, lease_s=FOREVER_S, rack=""):
    """Starts a new process of `name` and writes its member key."""
    self.racks[name] = rack
    number = next(self._ids)
    state = reducer.new_state(
        name, f"boot-{number}", state_lib.Limits(lease_ttl_s=TTL_S)
    )
    self.hosts[name] = state
    self.views[name] = []
    self.put_member(name, number, lease_s)
    self._apply(name, events.TeamChanged("altamaha", 5, conftest.SPELLER))
    self._apply(name, events.EndpointsChanged(self._endpoints))

  def set_slots(self, slots):
    """Sets the endpoints' slots, and shows them to all hosts."""
    self._endpoints = tuple(
        dataclasses.replace(e, slots=slots) for e in self._endpoints
    )
    for name in self.hosts:
      self._apply(name, events.EndpointsChanged(self._endpoints))

  def drain(self, name):
    """Starts a graceful stop of one host."""
    self._apply(name, events.DrainStarted())

  def put_member(self, name, lease=None, lease_s=FOREVER_S, leaving=False):
    """Writes the member key of a running process, under a new lease."""
    state = self.hosts[name]
    lease = lease or next(self._ids)
    self._apply(name, events.LeaseRenewed(lease, self.now + lease_s))
    self.store[name] = events.Member(
        name,
        settings.Address(name, 1),
        state.me.boot,
        lease,
        leaving,
        self.racks[name],
    )
    self._publish_view()

  def expire_member(self, name):
    """Expires the lease of a member, so that the store removes its key."""
    if self.store.pop(name, None) is not None:
      self._publish_view()

  def _publish_view(self):
    view = tuple(self.store.values())
    for name, state in self.hosts.items():
      is_first_view = state.membership.view is None and not self.views[name]
      self.views[name].append(events.MembersChanged(view, gap=is_first_view))

  def crash(self, name):
    """Kills a process; the messages it has sent stay in transit."""
    del self.hosts[name]
    self.views.pop(name, None)

  def deliver_view(self, name):
    """Delivers the next membership view to one host."""
    if name in self.hosts and self.views[name]:
      self._apply(name, self.views[name].pop(0))

  def miss_views(self, name):
    """Makes a host read the current view afresh, after a gap."""
    self.views[name].clear()
    view = tuple(self.store.values())
    self._apply(name, events.MembersChanged(view, gap=True))

  def submit(self, name, key="k", tasks=2, deadline_ms=0):
    """Submits a job to one host and returns the request id."""
    request_id = next(self._ids)
    job = conftest.make_job(key=key, tasks=tasks, idempotent=False)
    job = dataclasses.replace(job, deadline_ms=deadline_ms)
    self._apply(name, events.JobArrived(request_id, job))
    return request_id

  def cancel(self, name, key="k"):
    """Sends a cancellation to one host and returns the request id."""
    request_id = next(self._ids)
    cancel = state_lib.messages.Cancel("altamaha", key)
    self._apply(name, events.CancelArrived(request_id, cancel))
    return request_id

  def answer(self, request_id):
    return self.outcomes[request_id].answer

  def tick(self, seconds=0.05, names=None):
    """Advances the clock and ticks the hosts `names` (default: all)."""
    self.now += seconds
    for name in list(names or self.hosts):
      if name in self.hosts:
        self._apply(name, events.Tick(self.now))

  def run_rounds(self, rounds=60):
    """Delivers all views and messages and ticks, `rounds` times."""
    for _ in range(rounds):
      for name in list(self.hosts):
        while self.views[name]:
          self.deliver_view(name)
      while self.in_transit:
        self.deliver(0)
      self.tick()

  def deliver(self, index):
    """Delivers one message or reply, or reports its receiver as dead."""
    envelope = self.in_transit.pop(index)
    target = envelope.effect.member.name
    if frozenset((envelope.source, target)) in self.broken_links:
      self._report_lost(envelope)
    elif envelope.reply is not None:
      self._return_reply(
          envelope,
          events.PeerReplyReceived(envelope.effect, envelope.reply),
      )
    elif self._runs(envelope.effect.member):
      self._receive(envelope)
    elif isinstance(envelope.effect, events.SendPeerRequest):
      event = events.PeerReplyReceived(envelope.effect, None, dead=True)
      self._return_reply(envelope, event)

  def finish_task(self, index, code=codes.Code.TASK_DONE):
    """Finishes one running task; reports it if its sender still runs."""
    state, sent = self.running.pop(index)
    if self.hosts.get(state.name) is state:
      event = events.TaskFinished(
          sent.key, sent.task.task_id, sent.endpoint.name, code
      )
      self._apply(state.name, event)

  def drop(self, index):
    """Drops one message or reply; the sender of a request gets no reply."""
    self._report_lost(self.in_transit.pop(index))

  def time_out(self, index):
    """Ends a sender's wait for its reply; the message arrives later."""
    envelope = self.in_transit[index]
    late = dataclasses.replace(envelope, timed_out=True)
    self.in_transit[index] = late
    self._report_lost(envelope)

  def _runs(self, member):
    state = self.hosts.get(member.name)
    return state is not None and state.me == member.token

  def _receive(self, envelope):
    number = next(self._ids)
    name = envelope.effect.member.name
    if isinstance(envelope.effect, events.SendPeerRequest):
      self.senders[number] = envelope
    self._apply(
        name, events.PeerRequestReceived(number, envelope.effect.message)
    )

  def _report_lost(self, envelope):
    if isinstance(envelope.effect, events.SendPeerRequest):
      self._return_reply(
          envelope, events.PeerReplyReceived(envelope.effect, None)
      )

  def _return_reply(self, envelope, event):
    if envelope.source in self.hosts and not envelope.timed_out:
      self._apply(envelope.source, event)

  def _apply(self, name, event):
    state = self.hosts[name]
    for effect in reducer.reduce(state, event, self.now):
      if isinstance(effect, (events.SendPeerRequest, events.SendPeerNotice)):
        self.in_transit.append(Envelope(name, effect))
      elif isinstance(effect, (events.SendPeerReply, events.SendOutcome)):
        self._record_reply(effect)
      elif isinstance(effect, events.SendTask):
        self.starts[effect.downstream_key] += 1
        self.running.append((state, effect))
        if self._finish:
          self.finish_task(len(self.running) - 1)

  def _record_reply(self, effect):
    reply = effect.reply if hasattr(effect, "reply") else effect.outcome
    envelope = self.senders.pop(effect.request_id, None)
    if envelope is not None:
      self.in_transit.append(dataclasses.replace(envelope, reply=reply))
    else:
      self.outcomes[effect.request_id] = reply
      self._check_not_run(reply)

  def _check_not_run(self, outcome):
    """Asserts that no task reported as not run has been started."""
    for task in outcome.answer.tasks if outcome.answer else ():
      if task.ran == codes.Ran.NOT_RUN:
        assert not self.starts[f"{outcome.answer.key}/{task.task_id}"]
