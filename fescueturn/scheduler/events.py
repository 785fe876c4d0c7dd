"""Events that a host's scheduler handles, and the effects it returns.

Every input to a scheduling decision is an event. `reducer.reduce` maps each
event to effects, which the I/O shell in `host` executes.
"""

import dataclasses

from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model

CoordinatorMessage = (
    linkmessages.Offered
    | linkmessages.Withdrawn
    | linkmessages.Ping
    | linkmessages.GrantTaken
)
HolderMessage = (
    linkmessages.Accepted
    | linkmessages.Declined
    | linkmessages.JobEnded
    | linkmessages.Returned
    | linkmessages.Pong
    | linkmessages.EndpointList
    | linkmessages.ShardGranted
    | linkmessages.HolderMoved
    | linkmessages.RoomReported
)

# Events for the coordinator.


@dataclasses.dataclass(frozen=True)
class JobArrived:
  """A caller submitted a job.

  Attributes:
    request_id: number that the I/O shell assigned to the request.
    job: the job to run.
    deadline_s: how long the caller waits, in seconds from now.
    trace_id: the caller's own id for the request, for the logs.
  """

  request_id: int
  job: model.Job
  deadline_s: float
  trace_id: str = ""


@dataclasses.dataclass(frozen=True)
class CallerGone:
  """A caller closed its connection before it got a response."""

  request_id: int


@dataclasses.dataclass(frozen=True)
class CallerSilent:
  """A waiting caller's machine no longer answers probes of its connection."""

  request_id: int


@dataclasses.dataclass(frozen=True)
class JobCancelled:
  """A caller requested cancellation of a job that this host coordinates."""

  job_id: str


@dataclasses.dataclass(frozen=True)
class HolderChanged:
  """The store records a new holder of a shard, or none.

  Attributes:
    shard: the shard.
    holder: its holder; None if it has none.
    unreadable_revision: the revision of a claim that exists but cannot be
      parsed; 0 if there is no such claim.
    follows: the fencing token of the immediately preceding holder if that is
      certain; else 0.
  """

  shard: model.Shard
  holder: model.Holder | None
  unreadable_revision: int = 0
  follows: int = 0


@dataclasses.dataclass(frozen=True)
class HolderMessageReceived:
  """A shard's holder sent this host's coordinator a message."""

  shard: model.Shard
  process: linkmessages.HostProcess
  message: HolderMessage


@dataclasses.dataclass(frozen=True)
class LinkLost:
  """The link to a holder failed.

  Attributes:
    shard: the holder's shard.
    process: the holder's process.
    refused: True if the connection was refused, so the process has ended.
  """

  shard: model.Shard
  process: linkmessages.HostProcess
  refused: bool


# Events for the owner.


@dataclasses.dataclass(frozen=True)
class EndpointsListed:
  """The platform's current list of endpoints was read.

  Attributes:
    endpoints: the endpoints.
    took_s: how long it took from the request until the answer was read (s).
    shows_claims: False if the claims had to be read as well, and couldn't be:
      the store may not tell this host of another one's claim.
  """

  endpoints: tuple[model.Endpoint, ...]
  took_s: float = 0.0
  shows_claims: bool = True


@dataclasses.dataclass(frozen=True)
class StartAnswered:
  """A `StartRun` call completed.

  Attributes:
    endpoint: the endpoint's id.
    run: the task and attempt.
    result: the call's result.
    clock_ms: the endpoint's clock; None without a response.
    fence: the fencing token of the `StartRun`.
    born_ms: when the incarnation that answered started (see `model.Endpoint`);
      0 if it isn't known.
  """

  endpoint: str
  run: model.RunId
  result: model.CallResult
  clock_ms: int | None
  fence: int = 0
  born_ms: int = 0


@dataclasses.dataclass(frozen=True)
class StopAnswered:
  """A `StopRun` call completed; the attributes are those of `StartAnswered`."""

  endpoint: str
  run: model.RunId
  result: model.CallResult
  clock_ms: int | None
  fence: int = 0
  born_ms: int = 0


@dataclasses.dataclass(frozen=True)
class LeaseAnswered:
  """A `RenewLease` call completed.

  Attributes:
    endpoint: the endpoint's id.
    number: the number of the `RenewLease`.
    result: the call's result.
    clock_ms: the endpoint's clock; None without a response.
    running: the endpoint's current runs.
    ended: runs that ended and whose end has not been acknowledged.
    fence: the fencing token of the `RenewLease`.
    born_ms: when the incarnation that answered started (see `model.Endpoint`);
      0 if it isn't known.
  """

  endpoint: str
  number: int
  result: model.CallResult
  clock_ms: int | None
  running: tuple[model.ActiveRun, ...] = ()
  ended: tuple[model.EndedRun, ...] = ()
  fence: int = 0
  born_ms: int = 0


# Events for the host as a whole.


@dataclasses.dataclass(frozen=True)
class Tick:
  """The timer service ticked.

  Attributes:
    callers_seen_at: when the callers' connections were last checked (s); those
      that were closed have been reported. None if that is now.
  """

  callers_seen_at: float | None = None


@dataclasses.dataclass(frozen=True)
class ClaimAnswered:
  """An attempt to claim a shard completed.

  The watch on the claims reports who holds the shard.
  """

  shard: model.Shard


@dataclasses.dataclass(frozen=True)
class ShardReleased:
  """The store has deleted this host's claim; the watch reports it later.

  Attributes:
    shard: the shard.
    fence: the fencing token of the deleted claim.
  """

  shard: model.Shard
  fence: int


@dataclasses.dataclass(frozen=True)
class EvacuationsChanged:
  """The operator's evacuation requests changed; lists all that are active."""

  evacuations: tuple[model.Evacuation, ...]


@dataclasses.dataclass(frozen=True)
class DrainStarted:
  """A planned shutdown began."""


@dataclasses.dataclass(frozen=True)
class ClaimsRead:
  """All changes of claims up to a revision of the store were reported.

  Attributes:
    revision: the revision.
    took_s: how long it took from the request until the answer was read (s).
  """

  revision: int
  took_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class DrainEnding:
  """The grace period of a planned shutdown is nearly over."""


@dataclasses.dataclass(frozen=True)
class ProcessEnding:
  """The grace period of a planned shutdown is over.

  Callers that still wait get their response now.
  """


Event = (
    JobArrived
    | CallerGone
    | CallerSilent
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
    | ShardReleased
    | EvacuationsChanged
    | DrainStarted
    | ClaimsRead
    | DrainEnding
    | ProcessEnding
)

# Effects.


@dataclasses.dataclass(frozen=True)
class StartRun:
  """Start a run on an endpoint; the result arrives as `StartAnswered`.

  Attributes:
    endpoint: the endpoint to call.
    run: the task and attempt.
    spec: what the task runs.
    deadline_ms: when this call and the lease that covers all of the endpoint's
      runs expire, on the endpoint's clock.
    fence: the owner's fencing token.
    born_ms: when the incarnation started that it is meant for (Unix time, ms);
      0 if it isn't known.
  """

  endpoint: model.Endpoint
  run: model.RunId
  spec: str
  deadline_ms: int
  fence: int
  born_ms: int = 0


@dataclasses.dataclass(frozen=True)
class StopRun:
  """Stop a run on an endpoint; the result arrives as `StopAnswered`.

  If the run has not arrived there yet, the endpoint will reject it.
  """

  endpoint: model.Endpoint
  run: model.RunId
  fence: int


@dataclasses.dataclass(frozen=True)
class RenewLease:
  """Renew an endpoint's lease and list its runs.

  The result arrives as `LeaseAnswered`.

  Attributes:
    endpoint: the endpoint to call.
    number: rises with each call to the endpoint.
    last_seen: acknowledges all ended runs up to this sequence number, which
      the endpoint may then discard.
    deadline_ms: when the renewed lease expires, on the endpoint's clock; None
      to leave the lease unchanged, as in the first call, when that clock is
      not known yet.
    wait_ms: how long the endpoint may wait for a run to end before it
      responds.
    fence: the owner's fencing token.
    at: when the call was requested (s).
  """

  endpoint: model.Endpoint
  number: int
  last_seen: int
  deadline_ms: int | None
  wait_ms: int
  fence: int
  at: float = 0.0


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
  """Send a caller its final response.

  Attributes:
    request_id: the caller's request.
    outcome: the outcome of its job.
    retry_after_s: when the caller should retry a job that did not run.
    reason: one-word reason, for the logs.
  """

  request_id: int
  outcome: model.Outcome
  retry_after_s: int = 0
  reason: str = ""


@dataclasses.dataclass(frozen=True)
class ClaimShard:
  """Claim a shard in the store by compare-and-swap.

  Attributes:
    shard: the shard to claim.
    replaces: the revision of the existing claim to replace; 0 for none. The
      shard is claimed as well if that claim is gone.
    follows: the shard's last known fencing token; 0 for none.
  """

  shard: model.Shard
  replaces: int
  follows: int = 0


@dataclasses.dataclass(frozen=True)
class ReleaseShard:
  """Delete a shard's claim so that another host can claim it at once."""

  shard: model.Shard
  fence: int


@dataclasses.dataclass(frozen=True)
class Log:
  """Write a log line about a decision and its inputs."""

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
  """Returns a `Log` effect for an event and its fields."""
  return Log(event, tuple(fields.items()))
