"""The state of an entry host; only the reducer changes it."""

import collections
import dataclasses
import enum
import heapq
import itertools
from collections.abc import Callable

from fescueturn import claims
from fescueturn import events
from fescueturn import messages
from fescueturn import placement
from fescueturn import settings
from fescueturn import shares
from fescueturn import views


@dataclasses.dataclass(frozen=True)
class TeamEntry:
  """A team's settings (None: removed) and their revision in the store."""

  revision: int
  team_settings: settings.TeamSettings | None


@dataclasses.dataclass(frozen=True)
class Waiter:
  """A pending request of a caller.

  Attributes:
    request_id: the I/O shell's id of the request.
    request: the submitted job, or the cancellation.
    hops: how many times entry hosts have forwarded the request.
    forward_lost: True once this host forwarded the request and got no reply;
      that copy may have been acted on, or may be later.
  """

  request_id: int
  request: messages.Job | messages.Cancel
  hops: int = 0
  forward_lost: bool = False

  @property
  def key(self) -> str:
    """The request's idempotency key."""
    return self.request.key


@dataclasses.dataclass(frozen=True)
class ForwardedRequest:
  """A request forwarded to another entry host, which has not replied yet."""

  waiter: Waiter
  member: events.Member


class Phase(enum.Enum):
  """Phase of a job at its coordinator."""

  CLAIMING = "claiming"
  RUNNING = "running"
  DONE = "done"


class ClaimRound:
  """One attempt at claiming a key.

  Attributes:
    number: the round's number.
    view: the membership view in which the claim was made.
    holders: names of the holders to which the claim was sent.
    replies: replies by holder name; None for a request without a reply.
    dead: holders whose process has certainly ended.
  """

  def __init__(self, number: int, view: views.View, holders: tuple[str, ...]):
    self.number = number
    self.view = view
    self.holders = holders
    self.replies: dict[str, claims.ClaimReply | None] = {}
    self.dead: set[str] = set()

  @property
  def complete(self) -> bool:
    """True when every holder has replied, timed out or is known dead."""
    return len(self.replies) == len(self.holders)


@dataclasses.dataclass(frozen=True)
class InFlightTask:
  """A task sent to an endpoint, and the time at which it was sent."""

  endpoint: str
  sent_at: float


class JobRecord:
  """A coordinator's record of one job, kept for a time after the job ends.

  Attributes:
    number: sequence number of its current claim (see `claims.Claim`).
    claim_deadline: until when the coordinator tries to claim the key.
    round: the current attempt at claiming the key.
    retry_pending: True while another attempt is scheduled.
    conflicts: retries because the holders accepted different claimants.
    answers: the answers of finished tasks, by task id.
    retries: number of sends that the endpoints did not start, for all tasks.
  """

  def __init__(self, job: messages.Job, deadline: float, number: int):
    self.job = job
    self.deadline = deadline
    self.number = number
    self.phase = Phase.CLAIMING
    self.cancelled = False
    self.waiters: list[Waiter] = []
    self.claim_deadline = 0.0
    self.round: ClaimRound | None = None
    self.retry_pending = False
    self.conflicts = 0
    self.tasks = {t.task_id: t for t in job.tasks}
    self.answers: dict[str, messages.TaskAnswer] = {}
    self.in_flight: dict[str, InFlightTask] = {}
    self.retries = 0
    self.final_answer: messages.JobAnswer | None = None

  @property
  def done(self) -> bool:
    """True once the job has its final answer."""
    return self.phase is Phase.DONE


@dataclasses.dataclass(frozen=True)
class Limits:
  """The settings that the reducer uses; times in seconds."""

  retry_after_s: int = 1
  answer_keep_s: float = 600.0
  lease_ttl_s: float = 3.0


TimerCallback = Callable[["EntryState"], list]


class EntryState:
  """The complete state of an entry host; changed only by `reducer.reduce`.

  Attributes:
    me: this process.
    limits: the settings that the reducer uses.
    admit: starts to claim the key of a new job; returns the effects.
    now: the time of the current event, in seconds.
    forwarded_requests: requests without a reply yet, by request id.
    dead: processes that have certainly ended but are still in the view.
    counters: counts of events for operators, by name.
  """

  def __init__(
      self,
      name: str,
      boot: str,
      limits: Limits,
      admit: Callable[["EntryState", JobRecord], list],
      endpoints: placement.EndpointTable | None = None,
  ):
    self.me = claims.Token(name, boot)
    self.limits = limits
    self.admit = admit
    self.now = 0.0
    self.draining = False
    self.membership = views.Membership(self.me)
    self.claims = claims.ClaimTable()
    self.endpoints = endpoints or placement.EndpointTable(name)
    self.queue = placement.TaskQueue(self.team_weight)
    self.teams: dict[str, TeamEntry] = {}
    self.jobs: dict[str, JobRecord] = {}
    self.forwarded_requests: dict[int, ForwardedRequest] = {}
    self.dead: set[claims.Token] = set()
    self.counters: collections.Counter[str] = collections.Counter()
    self._numbers = itertools.count(1)
    self._timers: list[tuple[float, int, TimerCallback]] = []

  @property
  def name(self) -> str:
    """This entry host's name."""
    return self.me.name

  def next_number(self) -> int:
    """Returns the next number of an increasing sequence."""
    return next(self._numbers)

  def schedule(self, when: float, callback: TimerCallback):
    """Schedules `callback` for the first tick at or after `when`."""
    heapq.heappush(self._timers, (when, self.next_number(), callback))

  def pop_due_timer(self) -> TimerCallback | None:
    """Removes and returns the next callback that is due, or None."""
    if self._timers and self._timers[0][0] <= self.now:
      return heapq.heappop(self._timers)[2]
    return None

  def team_settings(self, team: str) -> settings.TeamSettings | None:
    """Returns the team's current settings, or None."""
    entry = self.teams.get(team)
    return entry.team_settings if entry else None

  def team_weight(self, team: str) -> float:
    """Returns the team's weight in the turns for free slots."""
    team_settings = self.team_settings(team)
    return team_settings.weight if team_settings else shares.DEFAULT_WEIGHT

  def member(self, name: str) -> events.Member | None:
    """Returns the member of the current view with this name, or None."""
    view = self.membership.view
    return view.member(name) if view else None

  def snapshot(self) -> dict:
    """Returns a JSON-serialisable dump of the state, for `fescueturn dump`."""
    in_flight = [r for r in self.jobs.values() if not r.done]
    return {
        "name": self.name,
        "boot": self.me.boot,
        "now": self.now,
        "draining": self.draining,
        "membership": self.membership.snapshot(self.now),
        "members": [m.name for m in self.membership.members],
        "endpoints": self.endpoints.snapshot(self.now),
        "teams": {t: e.revision for t, e in sorted(self.teams.items())},
        "jobs_in_flight": len(in_flight),
        "jobs_claiming": sum(r.phase is Phase.CLAIMING for r in in_flight),
        "jobs_kept": len(self.jobs),
        "claims_held": len(self.claims),
        "parked_requests": len(self.forwarded_requests),
        "queued_tasks": len(self.queue),
        "shares": self.queue.snapshot(),
        "counters": dict(self.counters),
    }
