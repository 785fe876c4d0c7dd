"""The state of a coordinator: its callers' jobs, and the shards' holders."""

import collections
import dataclasses
import enum
import math

from fescueturn.scheduler import endpointlist
from fescueturn.scheduler import evacuation
from fescueturn.scheduler import events
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import shardroom
from fescueturn.scheduler.decisions import retrydelay
from fescueturn.scheduler.decisions import shardchoice


class Phase(enum.Enum):
  """The phase of a job at its coordinator."""

  # No holder is available for the job, and none of its tasks has started.
  HELD = "held"
  OFFERED = "offered"
  ACCEPTED = "accepted"
  # The job's holder is lost; the job waits for the shard's next holder.
  ORPHANED = "orphaned"


AT_HOLDER = (Phase.OFFERED, Phase.ACCEPTED)
# The host ticks fast from this long before a caller's deadline: more than two
# of the slow ticks (0.1 s) of an idle host.
DEADLINE_NEAR_S = 0.25
# How long the number of an answered job's last offer is kept. The offer and its
# answer may each be in flight for 1.5 s, and wait 3 s for a host that stands
# still.
LAST_OFFER_TTL_S = 10.0
# A host that has had no usable holder for this long refuses jobs at once and
# reports that it isn't ready, so that the load balancer sends callers to other
# hosts. This is longer than most changes of holder take (0.1 to 0.8 s) and
# short compared with a network partition of 5 s.
UNSERVED_S = 1.0
# After a pause of this process no job is offered for at least this long, in
# which it reads some hundred requests that arrived meanwhile, and which of their
# callers have disconnected since and may have sent their jobs elsewhere.
PAUSE_GRACE_S = 0.02


class JobRecord:
  """A caller's job that has not been answered yet.

  Attributes:
    request_id: the caller's request.
    key: the job's id together with this host, its coordinator.
    job: what to run.
    arrived: when the job arrived (s).
    deadline: when its caller stops waiting (s).
    trace_id: the caller's own id for the request, for the logs.
    phase: the job's phase.
    shard: the shard to whose holder the job was last offered, if any.
    process: that holder's process.
    offer_count: how often the job was offered.
    offer_number: the number of its last offer; 0 if it was never offered. The
      numbers of a job that is submitted again go on.
    accepted_offer: the number of the last offer that was accepted; 0 if none
      was.
    offered_at: when it was last offered (s).
    choice: why it was offered there; None if it had to be that shard.
    orphaned_at: when its holder was lost (s).
    declined_by: shards that declined the job outright or handed it back.
    wait_ms_by_shard: the expected wait (ms) at each shard that declined to
      start the job at once but can finish it in time.
    may_be_running: True while a task of the job may be running at a holder.
    may_have_run: True once a task may have run, whether or not it still does.
    reason: why a holder declined the job outright, for the logs.
    wait_ms: the longest wait that such a holder reported (ms).
    best_wait_ms: the shortest wait that such a holder reported (ms); None if
      none reported any.
  """

  def __init__(self, request_id, key, job, now, deadline_s, trace_id):
    self.request_id: int = request_id
    self.key: linkmessages.JobKey = key
    self.job: model.Job = job
    self.arrived: float = now
    self.deadline: float = now + deadline_s
    self.trace_id: str = trace_id
    self.phase = Phase.OFFERED
    self.shard: model.Shard | None = None
    self.process: linkmessages.HostProcess | None = None
    self.offer_count = 0
    self.offer_number = 0
    self.accepted_offer = 0
    self.offered_at = 0.0
    self.choice: shardchoice.Choice | None = None
    self.orphaned_at = 0.0
    self.declined_by: set[model.Shard] = set()
    self.wait_ms_by_shard: dict[model.Shard, int] = {}
    self.may_be_running = False
    self.may_have_run = False
    self.reason = ""
    self.wait_ms = 0
    self.best_wait_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class Withdrawal:
  """A withdrawal that the job's holder has not confirmed yet.

  Attributes:
    message: the message to the holder.
    process: the holder's process.
    until: by when the holder has ended the job in any case (s).
  """

  message: linkmessages.Withdrawn
  process: linkmessages.HostProcess
  until: float


class MovedJob:
  """A kept job that was moved to another shard.

  Attributes:
    shard: the shard.
    until: until when its holder is told of the job (s).
    told_at: when it was last told (s).
  """

  def __init__(self, shard: model.Shard, until: float):
    self.shard = shard
    self.until = until
    self.told_at = -math.inf


class JobQuery:
  """A query about a kept job, shared by all callers that make the same one.

  Attributes:
    job_id: the job.
    shard: the shard whose holder is queried, as last read from the store.
    cancel: True to cancel the job, False to get its state.
    requests: by request, until when its caller waits (s).
    last_sent_at: when the query was last sent to the holder (s).
  """

  def __init__(self, job_id: str, shard: model.Shard, cancel: bool):
    self.job_id = job_id
    self.shard = shard
    self.cancel = cancel
    self.requests: dict[int, float] = {}
    self.last_sent_at = 0.0


class HolderRecord:
  """A shard's holder, as known from the store and from its messages.

  Attributes:
    holder: the holder as the store names it.
    last_contact_at: when its last message arrived (s).
    pinged_at: when it was last pinged (s).
    lost: True while the holder is presumed lost.
    unclaimed_since: since when the store has no claim of the shard (s); None
      while it has.
    pending: how many kept jobs wait to start there, by queue, as it last
      reported.
    roster: all endpoints where runs that the holder started may be active.
    roster_version: the version of `roster`; 0 if none was received.
    roster_valid_at: when the ping was sent that last confirmed `roster` (s).
    list_version: the version of the holder's list of endpoints that this host
      has a copy of; 0 for none.
    room: what it last reported of its room.
    clock_ahead_s: what its clock shows more than this host's, estimated from
      below (s); None if it isn't known.
  """

  def __init__(self, holder: model.Holder, now: float):
    self.holder = holder
    self.last_contact_at = now
    self.pinged_at = 0.0
    self.lost = False
    self.unclaimed_since: float | None = None
    self.pending: dict[str, int] = {}
    self.roster: frozenset[str] = frozenset()
    self.roster_version = 0
    self.roster_valid_at = 0.0
    self.list_version = 0
    self.room = shardroom.ShardRoom()
    self.clock_ahead_s: float | None = None

  @property
  def process(self) -> linkmessages.HostProcess:
    """The holder's process."""
    return linkmessages.HostProcess(self.holder.host, self.holder.boot)

  def record_clock(self, pong: linkmessages.Pong, now: float):
    """Records the holder's clock, which showed `sent_at` earlier than now."""
    self.clock_ahead_s = pong.sent_at - now if pong.sent_at else None

  def clock_at(self, at: float) -> float:
    """Returns a time on its clock that has passed at `at`; 0 if unknown."""
    return 0.0 if self.clock_ahead_s is None else at + self.clock_ahead_s

  def update_roster(self, pong: linkmessages.Pong):
    """Updates the holder's roster from its answer to a ping."""
    if pong.endpoints is not None:
      self.roster = frozenset(pong.endpoints)
      self.roster_version = pong.roster
    if pong.roster and pong.roster == self.roster_version:
      self.roster_valid_at = pong.at


class Coordinator:
  """The state of a host's coordinator."""

  def __init__(
      self,
      me: linkmessages.HostProcess,
      data_centre: str,
      evacuations: evacuation.Evacuations,
  ):
    self.me = me
    self.data_centre = data_centre
    self.evacuations = evacuations
    self.now = 0.0
    # When the callers' connections were last checked (s): the callers of this
    # host's jobs waited then.
    self.callers_seen_at = 0.0
    # True while this host has the CPU to hold a shard and isn't draining.
    self.can_hold = False
    # True once this host is being shut down.
    self.draining = False
    # When this host's process started (s); None before its first event.
    self.started_at: float | None = None
    # Copies of the lists of endpoints of this data centre's shards.
    self.endpoint_lists: dict[model.Shard, endpointlist.KnownList] = {}
    # Since when no holder can be offered a job (s); None while one can.
    self.unserved_since: float | None = None
    # After a pause of this process, when the next tick may resume offers (s);
    # None while jobs are offered.
    self.offers_paused_until: float | None = None
    self.holders: dict[model.Shard, HolderRecord] = {}
    self.jobs: dict[str, JobRecord] = {}
    self.by_request: dict[int, JobRecord] = {}
    # Withdrawals by their numbers.
    self.withdrawals: dict[int, Withdrawal] = {}
    self.last_withdrawal = 0
    # The numbers of the last offers of jobs that were answered, each with the
    # time of the answer (s), in the order of these times.
    self._last_offers: dict[str, tuple[int, float]] = {}
    # Kept jobs that this host's shards have moved away, by id, until the holder
    # of their new shard knows them.
    self.moved_jobs: dict[str, MovedJob] = {}
    self.queries: dict[tuple[str, bool], JobQuery] = {}
    self.pinged_at = 0.0
    self.remote_pinged_at = 0.0
    # Until when the holders are asked for their room, and when they last were
    # (s).
    self.room_wanted_until = 0.0
    self.room_asked_at = 0.0
    self.returns = retrydelay.Returns()
    self.counters: collections.Counter[str] = collections.Counter()
    self.effects: list[events.Effect] = []

  @property
  def serves(self) -> bool:
    """False once no holder could be offered a job for `UNSERVED_S`."""
    since = self.unserved_since
    return since is None or self.now - since < UNSERVED_S

  @property
  def offers_paused(self) -> bool:
    """True after a pause until a tick has checked the callers' connections."""
    return self.offers_paused_until is not None

  @property
  def has_timeout_soon(self) -> bool:
    """True while a timeout is due sooner than the idle tick period allows."""
    return bool(self.queries) or any(
        job.phase not in AT_HOLDER or job.deadline - self.now < DEADLINE_NEAR_S
        for job in self.jobs.values()
    )

  def remove_job(self, record: JobRecord):
    """Removes a job whose caller has its answer or no longer waits."""
    job_id = record.job.id
    self.jobs.pop(job_id, None)
    if record.offer_number:
      self._last_offers.pop(job_id, None)
      self._last_offers[job_id] = (record.offer_number, self.now)

  def last_offer_number(self, job_id: str) -> int:
    """Returns the number of the last offer of an answered job, or 0."""
    number, _ = self._last_offers.get(job_id, (0, 0.0))
    return number

  def expire_last_offers(self):
    """Forgets the offers to which no answer can arrive any more."""
    while self._last_offers:
      job_id, (_, answered_at) = next(iter(self._last_offers.items()))
      if self.now - answered_at < LAST_OFFER_TTL_S:
        return
      del self._last_offers[job_id]

  def emit(self, *effects: events.Effect):
    """Adds effects to carry out."""
    self.effects += effects

  def take_effects(self) -> list[events.Effect]:
    """Returns the effects added since the last call."""
    effects, self.effects = self.effects, []
    return effects

  def send_to_holder(self, shard: model.Shard, message):
    """Adds the effect that sends a message to a shard's holder."""
    self.emit(events.SendToHolder(shard, self.holders[shard].holder, message))

  def snapshot(self) -> dict:
    """Returns a JSON-ready dump."""
    return {
        "jobs": {
            phase.value: sum(j.phase is phase for j in self.jobs.values())
            for phase in Phase
        },
        "holders": {
            f"{shard.data_centre}/{shard.number}": {
                "host": record.holder.host,
                "fence": record.holder.fence,
                "heard_s_ago": round(self.now - record.last_contact_at, 3),
                "lost": record.lost,
                "room": record.room.snapshot(self.now),
            }
            for shard, record in self.holders.items()
        },
        "endpoint_lists": {
            f"{shard.data_centre}/{shard.number}": {
                "endpoints": len(known.endpoints),
                "read_s_ago": round(self.now - known.read_at, 3),
            }
            for shard, known in self.endpoint_lists.items()
        },
        "counters": dict(self.counters),
    }
