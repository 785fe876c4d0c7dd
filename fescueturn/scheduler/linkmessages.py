"""Messages between coordinators and holders, and what names their parts.

`linkcodec` gives their form on a link. A holder takes those of a coordinator as
events; a coordinator hears those of a holder in an `events.HolderMessageReceived`.
"""

import dataclasses

from fescueturn.scheduler import model


@dataclasses.dataclass(frozen=True)
class HostProcess:
  """A host process at the other end of a link (or this one itself)."""

  host: str
  boot: str


@dataclasses.dataclass(frozen=True)
class JobKey:
  """A job in the hands of one coordinator.

  Two hosts may be given the same id when a caller sends a job again.
  """

  process: HostProcess
  job_id: str


@dataclasses.dataclass(frozen=True)
class Offered:
  """A coordinator offers a job (a message too).

  Attributes:
    shard: whose holder it is offered to.
    key: the job and its coordinator.
    job: what to run.
    age_s: how long ago the job reached its coordinator.
    left_s: how much longer its caller waits.
    resumed: True when another holder had the job before: runs that still
      go on are the job's own.
    number: tells the offers of one job apart.
    immediate_only: True to have it taken only if nothing of it has to wait.
  """

  shard: model.Shard
  key: JobKey
  job: model.Job
  age_s: float
  remaining_s: float
  resumed: bool = False
  number: int = 0
  immediate_only: bool = False


@dataclasses.dataclass(frozen=True)
class Withdrawn:
  """A coordinator gives a job up (a message too): its runs are stopped."""

  shard: model.Shard
  key: JobKey


@dataclasses.dataclass(frozen=True)
class SuspectedHolder:
  """A holder that a host of its data centre doesn't hear any more.

  Attributes:
    shard: which it holds.
    fence: the fence number of its claim.
  """

  shard: model.Shard
  fence: int


@dataclasses.dataclass(frozen=True)
class Ping:
  """A coordinator is alive (a message too).

  Attributes:
    shard: whose holder is told.
    party: the coordinator.
    at: the coordinator's clock (s); the answer returns it.
    roster: the version of the holder's roster that it knows, 0 for none;
      None if it wants none.
    can_hold: True if the coordinator's host could carry the shard: it stands in
      its data centre, has the processor, and isn't stopping.
    doubts: holders of the coordinator's data centre that it doesn't hear.
  """

  shard: model.Shard
  process: HostProcess
  at: float = 0.0
  roster: int | None = None
  can_hold: bool = False
  suspects: tuple[SuspectedHolder, ...] = ()


@dataclasses.dataclass(frozen=True)
class Accepted:
  """The holder took the job; its tasks may start from now on."""

  key: JobKey
  number: int


@dataclasses.dataclass(frozen=True)
class Declined:
  """The holder did not take the job: nothing of it has run or will.

  Attributes:
    key: the job.
    number: which of its offers is declined.
    wait_ms: in how long the holder expects to have room for it; 0 from a
      host that holds no endpoints.
    in_time: True if it would be done in time after that wait: the holder was
      asked to take it only without one.
    reason: why, in one word, for the logs.
  """

  key: JobKey
  number: int
  wait_ms: int
  in_time: bool = False
  reason: str = "no_room"


@dataclasses.dataclass(frozen=True)
class JobEnded:
  """The job ended at its holder."""

  key: JobKey
  outcome: model.Outcome
  reason: str = ""


@dataclasses.dataclass(frozen=True)
class Returned:
  """The holder hands a job back: nothing of it runs there, and nothing will.

  Attributes:
    key: the job.
    number: the last of its offers that the holder has seen.
    ran: True if a task of it may have run.
  """

  key: JobKey
  number: int
  may_have_run: bool


@dataclasses.dataclass(frozen=True)
class Pong:
  """The holder is alive.

  Attributes:
    holding: False once it stood down.
    pending: how many of its kept jobs wait to begin, by queue.
    at: the coordinator's clock when it sent the ping that this answers.
    roster: the version of its roster in force; 0 while it has none.
    endpoints: the roster, if the ping named another version: every endpoint
      where something may run by its orders.
    agreed: holders that enough hosts doubt.
  """

  holding: bool = True
  pending: tuple[tuple[str, int], ...] = ()
  at: float = 0.0
  roster: int = 0
  endpoints: tuple[str, ...] | None = None
  confirmed_suspects: tuple[SuspectedHolder, ...] = ()
