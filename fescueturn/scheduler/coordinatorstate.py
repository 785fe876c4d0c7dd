"""What a coordinator knows: its callers' jobs, and the shards' holders."""

import collections
import enum

from fescueturn.scheduler import evacuation
from fescueturn.scheduler import events
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model


class Phase(enum.Enum):
  """How far a coordinator is with a job."""

  # No holder is there to take it; nothing of it has begun.
  HELD = "held"
  OFFERED = "offered"
  ACCEPTED = "accepted"
  # Its holder is lost; the job waits for the shard's next one.
  ORPHANED = "orphaned"


AT_HOLDER = (Phase.OFFERED, Phase.ACCEPTED)
# A caller's deadline is looked at closely from so long before it: two of the
# slow ticks (0.1 s) of a host that waits for nothing else.
DEADLINE_NEAR_S = 0.25
# A host that can have no job run for so long refuses at once and says that it
# isn't ready, so that the balancer brings callers to others: longer than most
# changes of holder take (0.1 to 0.8 s), short against a partition of 5 s.
UNSERVED_S = 1.0


class JobRecord:
  """A caller's job on its way to an answer.

  Attributes:
    request_id: the caller's request.
    key: the job, in this host's hands.
    arrived: when it came (s).
    deadline: when its caller stops waiting (s).
    phase: how far it is.
    shard: whose holder has or had it.
    party: which process that was.
    offers: how often it was offered.
    orphaned_at: when its holder was lost (s).
    tried: shards that declined it for good.
    waits: shards that would have it done in time after a wait (ms).
    may_be_running: True while a run of a task may go on at a holder.
    ran: True once a task may have run, whether or not it still does.
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
    self.orphaned_at = 0.0
    self.declined_by: set[model.Shard] = set()
    self.wait_ms_by_shard: dict[model.Shard, int] = {}
    self.may_be_running = False
    self.may_have_run = False
    self.reason = ""
    self.wait_ms = 0


class JobQuery:
  """What callers want of a kept job; by request, until when they wait (s).

  Attributes:
    job_id: the job.
    shard: whose holder is asked.
    cancel: True to have it cancelled, False to be told its state.
    requests: who waits, and until when (s).
    asked_at: when the holder was last asked (s).
  """

  def __init__(self, job_id: str, shard: model.Shard, cancel: bool):
    self.job_id = job_id
    self.shard = shard
    self.cancel = cancel
    self.requests: dict[int, float] = {}
    self.last_sent_at = 0.0


class HolderRecord:
  """What is known of a shard's holder, from the store and its messages."""

  def __init__(self, holder: model.Holder, now: float):
    self.holder = holder
    self.last_contact_at = now
    self.pinged_at = 0.0
    self.lost = False
    # Kept jobs that wait to begin there, by queue, as last told.
    self.pending: dict[str, int] = {}
    # Every endpoint where something may run by its orders: the version told
    # (0: none), and since when at least it was so (s).
    self.roster: frozenset[str] = frozenset()
    self.roster_version = 0
    self.roster_valid_at = 0.0

  @property
  def process(self) -> linkmessages.HostProcess:
    """The holder's process."""
    return linkmessages.HostProcess(self.holder.host, self.holder.boot)

  def update_roster(self, pong: linkmessages.Pong):
    """Takes what an answer to a ping says of the holder's roster."""
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
    # True while this host could carry a shard of its data centre.
    self.can_hold = False
    # Since when no holder could be offered a job (s); None while one can.
    self.unserved_since: float | None = None
    self.holders: dict[model.Shard, HolderRecord] = {}
    self.jobs: dict[str, JobRecord] = {}
    self.by_request: dict[int, JobRecord] = {}
    self.queries: dict[tuple[str, bool], JobQuery] = {}
    self.pinged_at = 0.0
    self.remote_pinged_at = 0.0
    self.counters: collections.Counter[str] = collections.Counter()
    self.effects: list[events.Effect] = []

  @property
  def serves(self) -> bool:
    """True unless no holder could be offered a job for a while."""
    since = self.unserved_since
    return since is None or self.now - since < UNSERVED_S

  @property
  def has_timeout_soon(self) -> bool:
    """True while something here waits for a time shorter than a ping's."""
    return bool(self.queries) or any(
        job.phase not in AT_HOLDER or job.deadline - self.now < DEADLINE_NEAR_S
        for job in self.jobs.values()
    )

  def emit(self, *effects: events.Effect):
    """Adds effects to carry out."""
    self.effects += effects

  def take_effects(self) -> list[events.Effect]:
    """Returns the effects gathered since the last call."""
    effects, self.effects = self.effects, []
    return effects

  def send_to_holder(self, shard: model.Shard, message):
    """Has a message sent to a shard's holder."""
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
            }
            for shard, record in self.holders.items()
        },
        "counters": dict(self.counters),
    }
