"""Events that a host's scheduler takes, and the effects it returns.

Every input to a decision is an event; `reducer.reduce` answers each with
effects, which the I/O shell in `host` carries out.
"""

import dataclasses

from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model

CoordinatorMessage = (
    linkmessages.Offered | linkmessages.Withdrawn | linkmessages.Ping
)
HolderMessage = (
    linkmessages.Accepted
    | linkmessages.Declined
    | linkmessages.JobEnded
    | linkmessages.Returned
    | linkmessages.Pong
)

# Events of the coordinator.


@dataclasses.dataclass(frozen=True)
class JobArrived:
  """A caller's job; `deadline_s` is how long the caller waits from now.

  Attributes:
    request_id: the shell's number for the request.
    job: what to run.
    deadline_s: how long the caller waits.
    trace: the caller's own id for the request, for the logs.
  """

  request_id: int
  job: model.Job
  deadline_s: float
  trace_id: str = ""


@dataclasses.dataclass(frozen=True)
class CallerGone:
  """The caller of a request closed its connection before the answer."""

  request_id: int


@dataclasses.dataclass(frozen=True)
class JobCancelled:
  """A caller asked to cancel a job that this host coordinates."""

  job_id: str


@dataclasses.dataclass(frozen=True)
class HolderChanged:
  """The store names another holder of a shard, or none.

  Attributes:
    shard: which shard.
    holder: its holder; None if there is none.
    blank: the revision of a claim that is there and names no holder, or 0.
    follows: the fence number of the holder just before, where that is sure;
      else 0.
  """

  shard: model.Shard
  holder: model.Holder | None
  unreadable_revision: int = 0
  follows: int = 0


@dataclasses.dataclass(frozen=True)
class HolderMessageReceived:
  """A message came in from a shard's holder."""

  shard: model.Shard
  process: linkmessages.HostProcess
  message: HolderMessage


@dataclasses.dataclass(frozen=True)
class LinkLost:
  """A link to a holder broke; `refused` when nothing listens there."""

  shard: model.Shard
  process: linkmessages.HostProcess
  refused: bool


# Events of the owner.


@dataclasses.dataclass(frozen=True)
class EndpointsListed:
  """The endpoints that the platform lists now."""

  endpoints: tuple[model.Endpoint, ...]


@dataclasses.dataclass(frozen=True)
class StartAnswered:
  """What came of a `StartRun`; `clock_ms` is None without an answer."""

  endpoint: str
  run: model.RunId
  result: model.CallResult
  clock_ms: int | None


@dataclasses.dataclass(frozen=True)
class StopAnswered:
  """What came of a `StopRun`."""

  endpoint: str
  run: model.RunId
  result: model.CallResult
  clock_ms: int | None


@dataclasses.dataclass(frozen=True)
class LeaseAnswered:
  """What came of a `RenewLease`.

  Attributes:
    endpoint: its id.
    number: the number of the `RenewLease`.
    result: what came of it.
    clock_ms: the endpoint's clock; None without an answer.
    running: the runs that go on there.
    ended: the runs that ended, those acknowledged left out.
  """

  endpoint: str
  number: int
  result: model.CallResult
  clock_ms: int | None
  running: tuple[model.ActiveRun, ...] = ()
  ended: tuple[model.EndedRun, ...] = ()


# Events of the host.


@dataclasses.dataclass(frozen=True)
class Tick:
  """The timer service's tick."""


@dataclasses.dataclass(frozen=True)
class ClaimAnswered:
  """A try to claim a shard ended; the watch tells who holds it."""

  shard: model.Shard


@dataclasses.dataclass(frozen=True)
class EvacuationsChanged:
  """The operator's requests to evacuate data centres: all in force now."""

  evacuations: tuple[model.Evacuation, ...]


@dataclasses.dataclass(frozen=True)
class DrainStarted:
  """A planned stop began."""


@dataclasses.dataclass(frozen=True)
class ProcessEnding:
  """The planned stop's time is over: whoever still waits is answered now."""


Event = (
    JobArrived
    | CallerGone
    | JobCancelled
    | HolderChanged
    | HolderMessageReceived
    | LinkLost
    | EndpointsListed
    | CoordinatorMessage
    | StartAnswered
    | StopAnswered
    | LeaseAnswered
    | Tick
    | ClaimAnswered
    | EvacuationsChanged
    | DrainStarted
    | ProcessEnding
)

# Effects.


@dataclasses.dataclass(frozen=True)
class StartRun:
  """Start a run; report back with `StartAnswered`.

  Attributes:
    endpoint: where.
    run: the task and attempt.
    spec: what it runs.
    deadline_ms: until when, on the endpoint's clock, the order and the lease
      on all that runs there are good.
    fence: the owner's fence number.
  """

  endpoint: model.Endpoint
  run: model.RunId
  spec: str
  deadline_ms: int
  fence: int


@dataclasses.dataclass(frozen=True)
class StopRun:
  """Stop a run, or bar it if it is not there yet; see `StopAnswered`."""

  endpoint: model.Endpoint
  run: model.RunId
  fence: int


@dataclasses.dataclass(frozen=True)
class RenewLease:
  """Renew an endpoint's lease and list its runs; see `LeaseAnswered`.

  Attributes:
    endpoint: where.
    number: rises with each call to the endpoint.
    last_seen: ends up to this number are known and may be forgotten.
    deadline_ms: the lease's new end on the endpoint's clock, or None to let
      it be (the first call, when that clock isn't known yet).
    wait_ms: how long the endpoint may wait for an end before it answers.
    fence: the owner's fence number.
  """

  endpoint: model.Endpoint
  number: int
  last_seen: int
  deadline_ms: int | None
  wait_ms: int
  fence: int


@dataclasses.dataclass(frozen=True)
class SendToHolder:
  """Send a message to the holder of a shard."""

  shard: model.Shard
  holder: model.Holder
  message: CoordinatorMessage


@dataclasses.dataclass(frozen=True)
class SendToCoordinator:
  """Send a message to a coordinator."""

  process: linkmessages.HostProcess
  shard: model.Shard
  message: HolderMessage


@dataclasses.dataclass(frozen=True)
class Answer:
  """Give a caller its final answer.

  Attributes:
    request_id: the caller's request.
    outcome: how its job ended.
    retry_after_s: when to come back, for a job that did not run.
    reason: why, in one word, for the logs.
  """

  request_id: int
  outcome: model.Outcome
  retry_after_s: int = 0
  reason: str = ""


@dataclasses.dataclass(frozen=True)
class ClaimShard:
  """Claim a shard in the store in place of the holder of `replaces`.

  Attributes:
    shard: which shard.
    replaces: the revision of the claim that is there; 0 for none.
    follows: the last fence number known of the shard; 0 for none.
  """

  shard: model.Shard
  replaces: int
  follows: int = 0


@dataclasses.dataclass(frozen=True)
class ReleaseShard:
  """Give a shard up in the store, so that another host claims it at once."""

  shard: model.Shard
  fence: int


@dataclasses.dataclass(frozen=True)
class Log:
  """A line for the log: what was decided, on which inputs."""

  event: str
  fields: tuple[tuple[str, object], ...]


Effect = (
    StartRun
    | StopRun
    | RenewLease
    | SendToHolder
    | SendToCoordinator
    | Answer
    | ClaimShard
    | ReleaseShard
    | Log
)


def log(event: str, **fields) -> Log:
  """Returns the effect that logs one event with its fields."""
  return Log(event, tuple(fields.items()))
