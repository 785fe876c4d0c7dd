"""Entry hosts' reducers joined by messages that a test holds, drops, delivers.

A small fake at the peer interface: no sockets, no clock but the test's. It
counts the task starts that the reducers ask for.
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
  """A message on its way; `reply` is set on the way back."""

  source: str
  effect: events.SendPeerRequest | events.SendPeerNotice
  reply: claims.Reply | None = None


class Peers:

  def __init__(self, names=(), endpoints=1, finish_tasks=True):
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
        conftest.endpoint(f"e{i}", slots=64) for i in range(endpoints)
    )
    for name in names:
      self.join(name)
    self.run_rounds()

  def join(self, name, lease_s=FOREVER_S, rack=""):
    """Starts a new process of `name`; the store lists it at once."""
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
    self._announce()

  def expire_member(self, name):
    """The store drops a member."""
    if self.store.pop(name, None) is not None:
      self._announce()

  def _announce(self):
    view = tuple(self.store.values())
    for name, state in self.hosts.items():
      fresh = state.membership.view is None and not self.views[name]
      self.views[name].append(events.MembersChanged(view, gap=fresh))

  def crash(self, name):
    """The process dies; what it sent stays on its way."""
    del self.hosts[name]
    self.views.pop(name, None)

  def deliver_view(self, name):
    """Delivers the next view to one host."""
    if name in self.hosts and self.views[name]:
      self._apply(name, self.views[name].pop(0))

  def submit(self, name, key="k", tasks=2):
    """Sends a job to one host; returns the request's id."""
    request_id = next(self._ids)
    job = conftest.make_job(key=key, tasks=tasks, idempotent=False)
    self._apply(name, events.JobArrived(request_id, job))
    return request_id

  def cancel(self, name, key="k"):
    """Sends a cancellation to one host; returns the request's id."""
    request_id = next(self._ids)
    cancel = state_lib.messages.Cancel("altamaha", key)
    self._apply(name, events.CancelArrived(request_id, cancel))
    return request_id

  def answer(self, request_id):
    return self.outcomes[request_id].answer

  def tick(self, seconds=0.05, names=None):
    """Moves the time on and ticks hosts (all, unless named)."""
    self.now += seconds
    for name in list(names or self.hosts):
      if name in self.hosts:
        self._apply(name, events.Tick(self.now))

  def run_rounds(self, rounds=60):
    """Delivers every view and letter, and ticks, until nothing moves."""
    for _ in range(rounds):
      for name in list(self.hosts):
        while self.views[name]:
          self.deliver_view(name)
      while self.in_transit:
        self.deliver(0)
      self.tick()

  def deliver(self, index):
    """Delivers one letter, or its reply, or news that its host is dead."""
    letter = self.in_transit.pop(index)
    target = letter.effect.member.name
    if frozenset((letter.source, target)) in self.broken_links:
      self._lost(letter)
    elif letter.reply is not None:
      self._back(
          letter.source, events.PeerReplyReceived(letter.effect, letter.reply)
      )
    elif self._runs(letter.effect.member):
      self._hand_over(letter)
    elif isinstance(letter.effect, events.SendPeerRequest):
      event = events.PeerReplyReceived(letter.effect, None, dead=True)
      self._back(letter.source, event)

  def finish_task(self, index, code=codes.Code.TASK_DONE):
    """Has an endpoint answer one task that runs (if its sender still does)."""
    state, sent = self.running.pop(index)
    if self.hosts.get(state.name) is state:
      event = events.TaskFinished(
          sent.key, sent.task.task_id, sent.endpoint.name, code
      )
      self._apply(state.name, event)

  def drop(self, index):
    """Loses one letter, or its reply, without a trace."""
    self._lost(self.in_transit.pop(index))

  def _runs(self, member):
    state = self.hosts.get(member.name)
    return state is not None and state.me == member.token

  def _hand_over(self, letter):
    number = next(self._ids)
    name = letter.effect.member.name
    if isinstance(letter.effect, events.SendPeerRequest):
      self.senders[number] = letter
    self._apply(name, events.PeerRequestReceived(number, letter.effect.message))

  def _lost(self, letter):
    if isinstance(letter.effect, events.SendPeerRequest):
      self._back(letter.source, events.PeerReplyReceived(letter.effect, None))

  def _back(self, name, event):
    if name in self.hosts:
      self._apply(name, event)

  def _apply(self, name, event):
    state = self.hosts[name]
    for effect in reducer.reduce(state, event, self.now):
      if isinstance(effect, (events.SendPeerRequest, events.SendPeerNotice)):
        self.in_transit.append(Envelope(name, effect))
      elif isinstance(effect, (events.SendPeerReply, events.SendOutcome)):
        self._answered(effect)
      elif isinstance(effect, events.SendTask):
        self.starts[effect.downstream_key] += 1
        self.running.append((state, effect))
        if self._finish:
          self.finish_task(len(self.running) - 1)

  def _answered(self, effect):
    reply = effect.reply if hasattr(effect, "reply") else effect.outcome
    letter = self.senders.pop(effect.request_id, None)
    if letter is not None:
      self.in_transit.append(dataclasses.replace(letter, reply=reply))
    else:
      self.outcomes[effect.request_id] = reply
      self._check_not_run(reply)

  def _check_not_run(self, outcome):
    """A task said not to have run has not started by then."""
    for task in outcome.answer.tasks if outcome.answer else ():
      if task.ran == codes.Ran.NOT_RUN:
        assert not self.starts[f"{outcome.answer.key}/{task.task_id}"]
