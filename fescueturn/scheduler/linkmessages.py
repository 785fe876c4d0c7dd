"""Messages between coordinators and holders, and the ids that they contain.

`linkcodec` encodes them for a link. At the holder, a coordinator's message is
itself an event; at the coordinator, a holder's message arrives wrapped in an
`events.HolderMessageReceived`.
"""

import dataclasses

from fescueturn.scheduler import model
from fescueturn.scheduler.decisions import room as room_lib

# A holder's clock is told in milliseconds, modulo this: 49 days.
CLOCK_PERIOD_MS = 2**32
CLOCK_PERIOD_S = CLOCK_PERIOD_MS / 1000


def clock_difference(now: float, earlier: float) -> float:
  """Returns the time from a holder's time to another on the same clock (s).

  Both are modulo `CLOCK_PERIOD_S`. It is negative if the first is the later.
  """
  half_s = CLOCK_PERIOD_S / 2
  return (now - earlier + half_s) % CLOCK_PERIOD_S - half_s


@dataclasses.dataclass(frozen=True)
class HostProcess:
  """Identifies one process of a host; `boot` changes when it restarts."""

  host: str
  boot: str


@dataclasses.dataclass(frozen=True)
class JobKey:
  """Identifies a job at one coordinator.

  The coordinator is part of the key because two hosts may get the same job id
  when a caller submits a job again.
  """

  process: HostProcess
  job_id: str


@dataclasses.dataclass(frozen=True)
class Offered:
  """A coordinator offers a job to a shard's holder.

  Attributes:
    shard: the shard whose holder gets the offer.
    key: the job and its coordinator.
    job: the job to run.
    age_s: time since the job reached its coordinator.
    remaining_s: how much longer the caller waits.
    resumed: True if another holder had the job before; its runs that are
      still active then belong to the job.
    number: distinguishes the offers of one job, also if it is submitted again;
      1 for the first.
    immediate_only: True if the holder should accept the job only if none of
      its tasks has to wait for capacity longer than `max_wait_ms`.
    max_wait_ms: the shortest wait known elsewhere (ms); 0 while the job may
      start at once elsewhere. A holder of an earlier version takes it for 0.
    at: when the coordinator last checked that its callers were connected, on
      its clock (s); 0 if it doesn't say.
  """

  shard: model.Shard
  key: JobKey
  job: model.Job
  age_s: float
  remaining_s: float
  resumed: bool = False
  number: int = 0
  immediate_only: bool = False
  max_wait_ms: int = 0
  at: float = 0.0


@dataclasses.dataclass(frozen=True)
class Withdrawn:
  """A coordinator abandons a job, whose runs are to be stopped.

  The holder sends the message back to confirm it.

  Attributes:
    shard: the shard whose holder may have the job.
    key: the job and its coordinator.
    number: distinguishes the coordinator's withdrawals; 0 from a coordinator
      of an earlier version, which knows no confirmation.
  """

  shard: model.Shard
  key: JobKey
  number: int = 0


@dataclasses.dataclass(frozen=True)
class SuspectedHolder:
  """A holder that a host of its data centre suspects to have failed.

  Attributes:
    shard: the holder's shard.
    fence: the fencing token of the holder's claim.
  """

  shard: model.Shard
  fence: int


@dataclasses.dataclass(frozen=True)
class Ping:
  """A coordinator's heartbeat to a shard's holder.

  Attributes:
    shard: the shard whose holder gets the heartbeat.
    process: the coordinator.
    at: when the coordinator last checked that its callers were connected, on
      its clock (s); echoed in the `Pong`.
    roster: the version of the holder's roster that the coordinator has; 0 for
      none; None to request no roster.
    can_hold: True if the coordinator's host could own the shard: it is in the
      shard's data centre, has enough CPU, and is not shutting down.
    suspects: holders in the coordinator's data centre from which it gets no
      messages.
    draining: True if the coordinator's host is being shut down.
    uptime_s: how long its process has run (s); 0 if it doesn't say.
    list_version: the version of the holder's list of endpoints that the
      coordinator has; 0 for none; None to request no list.
    wants_room: True to get a `RoomReported`. Coordinators of an earlier version
      don't ask, as they couldn't read it.
    holder_at: a time on the holder's clock (s) that had passed at `at`, modulo
      `CLOCK_PERIOD_S`; 0 if it isn't known.
    tells_holder_at: True if `holder_at` is told as soon as it is known.
  """

  shard: model.Shard
  process: HostProcess
  at: float = 0.0
  roster: int | None = None
  can_hold: bool = False
  suspects: tuple[SuspectedHolder, ...] = ()
  draining: bool = False
  uptime_s: float = 0.0
  list_version: int | None = None
  wants_room: bool = False
  holder_at: float = 0.0
  tells_holder_at: bool = False


@dataclasses.dataclass(frozen=True)
class Accepted:
  """The holder accepted the job; its tasks may start from now on."""

  key: JobKey
  number: int


# Reason of a declined job that no endpoint of the holder can run.
NO_ENDPOINT_FITS = "no_endpoint_fits"


@dataclasses.dataclass(frozen=True)
class Declined:
  """The holder declined the job; none of its tasks has run or will run.

  Attributes:
    key: the job.
    number: the number of the declined offer.
    wait_ms: if `in_time`, the estimated time until the holder has capacity for
      the job (ms). Otherwise by how much that time is too long, or for another
      reason than a lack of room the time after which to retry (ms). 0 from a
      host that does not own the shard.
    in_time: True if the job would still complete in time after that wait, so
      it was declined only because the offer was `immediate_only`.
    reason: one-word reason, for the logs.
    room: the holder's room; None from a holder of an earlier version.
  """

  key: JobKey
  number: int
  wait_ms: int
  in_time: bool = False
  reason: str = "no_room"
  room: room_lib.RoomReport | None = None


@dataclasses.dataclass(frozen=True)
class JobEnded:
  """The holder reports the job's final outcome.

  Attributes:
    key: the job.
    outcome: how it ended.
    reason: why, in one word.
    number: the number of the last offer of the job that the holder got; 0 from
      a holder of an earlier version.
  """

  key: JobKey
  outcome: model.Outcome
  reason: str = ""
  number: int = 0


@dataclasses.dataclass(frozen=True)
class Returned:
  """The holder returns a job: none of its tasks runs there or will run there.

  Attributes:
    key: the job.
    number: the number of the last offer of the job that the holder got.
    may_have_run: True if any of the job's tasks may have run.
  """

  key: JobKey
  number: int
  may_have_run: bool


@dataclasses.dataclass(frozen=True)
class Pong:
  """A holder's response to a `Ping`.

  Attributes:
    holding: False if the process does not own the shard (any more).
    pending: number of kept jobs that have not started, by queue; None if the
      holder hasn't read them from the store yet.
    at: the `at` of the ping.
    roster: the current version of the holder's roster; 0 while it has none.
    endpoints: the roster, if the ping had another version: every endpoint that
      may have runs that this holder started.
    confirmed_suspects: holders that enough hosts suspect to have failed.
    list_version: the current version of the holder's list of endpoints; 0
      while it has none.
    list_age_s: how long ago that list was read from the store (s).
    successor: True if the receiver should claim the shard as soon as it is
      free, because the holder is about to release it.
    sent_at: the holder's clock (s) at sending, modulo `CLOCK_PERIOD_S`; 0 if it
      doesn't say.
  """

  holding: bool = True
  pending: tuple[tuple[str, int], ...] | None = ()
  at: float = 0.0
  roster: int = 0
  endpoints: tuple[str, ...] | None = None
  confirmed_suspects: tuple[SuspectedHolder, ...] = ()
  list_version: int = 0
  list_age_s: float = 0.0
  successor: bool = False
  sent_at: float = 0.0


@dataclasses.dataclass(frozen=True)
class ShardGranted:
  """A holder that is shut down hands its shard over without the store.

  Attributes:
    fence: the receiver's fencing token, higher than the holder's and lower than
      that of any later claim in the store.
    limit: the highest number that the receiver may grant in turn.
  """

  fence: int
  limit: int


@dataclasses.dataclass(frozen=True)
class GrantTaken:
  """A host tells the earlier holder that it has taken a granted shard over.

  Attributes:
    shard: the shard.
    holder: the new holder.
  """

  shard: model.Shard
  holder: model.Holder


@dataclasses.dataclass(frozen=True)
class HolderMoved:
  """A holder tells a coordinator that another host has taken its shard over.

  Attributes:
    holder: the new holder.
  """

  holder: model.Holder


@dataclasses.dataclass(frozen=True)
class EndpointList:
  """A holder's list of its shard's endpoints, sent to hosts that may follow it.

  Attributes:
    at: the `at` of the ping that requested it.
    version: the list's version.
    age_s: how long ago it was read from the store (s).
    endpoints: the endpoints.
  """

  at: float
  version: int
  age_s: float
  endpoints: tuple[model.Endpoint, ...]


@dataclasses.dataclass(frozen=True)
class RoomReported:
  """A holder's room, sent after a `Pong` whose `Ping` asked for it.

  Attributes:
    report: the room.
    at: the `at` of the ping.
  """

  report: room_lib.RoomReport
  at: float
