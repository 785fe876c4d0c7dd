"""Events that the entry host's reducer takes, and effects it returns.

Every input to an entry host's decisions (a caller's job, an endpoint's
answer, a peer's message, a change of membership, endpoints or a team's
settings, the passing of time) is an event. The reducer answers each with effects: data that the
I/O shell in `fescueturn.entry` carries out.
"""

import dataclasses

from fescueturn import claims
from fescueturn import codes
from fescueturn import messages
from fescueturn import settings


@dataclasses.dataclass(frozen=True)
class EndpointInfo:
  """An endpoint as the host list shows it.

  Attributes:
    name: the endpoint's host name.
    address: where it takes tasks over HTTP.
    services: the back end services it runs (``speller``, ...).
    slots: how many tasks it runs at once.
    leaving: True once the host list marks it as leaving.
  """

  name: str
  address: settings.Address
  services: tuple[str, ...]
  slots: int
  leaving: bool = False


@dataclasses.dataclass(frozen=True)
class Member:
  """An entry host of this data centre, from its lease-held key in the KV.

  Attributes:
    name: the entry host's name.
    peer: where it takes messages from other entry hosts.
    boot: its process (see `claims.Token`).
    lease: the lease that holds its key; a new one each time it joins.
    leaving: True once it stops: it finishes its jobs and holds no claims.
    rack: the rack it is in; "" when its settings name none.
  """

  name: str
  peer: settings.Address
  boot: str = ""
  lease: int = 0
  leaving: bool = False
  rack: str = ""

  @property
  def token(self) -> claims.Token:
    """The member's process."""
    return claims.Token(self.name, self.boot)


# Events.


@dataclasses.dataclass(frozen=True)
class JobArrived:
  """A caller's job, arriving direct (hops=0) or forwarded by a peer."""

  request_id: int
  job: messages.Job
  hops: int = 0


@dataclasses.dataclass(frozen=True)
class CancelArrived:
  """A caller's cancellation of a job, direct (hops=0) or forwarded."""

  request_id: int
  cancel: messages.Cancel
  hops: int = 0


@dataclasses.dataclass(frozen=True)
class PeerRequestReceived:
  """A peer's message came in; answered with `SendPeerReply` unless one-way."""

  request_id: int
  message: claims.Request


@dataclasses.dataclass(frozen=True)
class PeerReplyReceived:
  """What came of an `SendPeerRequest`.

  Attributes:
    ask: the effect that asked.
    reply: the peer's reply; None when none came.
    dead: True when the asked process surely no longer runs (its port
      refuses connections, or another process answers there).
  """

  peer_request: "Ask"
  reply: claims.Reply | None
  dead: bool = False


@dataclasses.dataclass(frozen=True)
class StoreClaimed:
  """The platform answered a `StoreClaim`; None when no answer came."""

  key: str
  claimed: bool | None


@dataclasses.dataclass(frozen=True)
class TaskFinished:
  """An endpoint exchange ended with a task code (see `codes.task_ran`)."""

  key: str
  task_id: str
  endpoint: str
  code: codes.Code
  result: str = ""
  elapsed_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class EndpointsChanged:
  """The host list's view of the endpoints changed."""

  endpoints: tuple[EndpointInfo, ...]


@dataclasses.dataclass(frozen=True)
class MembersChanged:
  """The next view of this data centre's entry hosts, in the KV's order.

  Attributes:
    members: every entry host of the view.
    gap: True when changes before this view were missed (a fresh read).
  """

  members: tuple[Member, ...]
  gap: bool = False


@dataclasses.dataclass(frozen=True)
class LeaseRenewed:
  """This entry host's lease is good until `until` by its own clock."""

  lease: int
  until: float


@dataclasses.dataclass(frozen=True)
class TeamChanged:
  """A team's settings at a KV revision; None once the team is removed."""

  team: str
  revision: int
  team_settings: settings.TeamSettings | None


@dataclasses.dataclass(frozen=True)
class Tick:
  """The timer service's tick; the reducer's only source of time."""

  now: float


@dataclasses.dataclass(frozen=True)
class DrainStarted:
  """A planned stop began: refuse new keys, finish what is in flight."""


Event = (
    JobArrived
    | CancelArrived
    | PeerRequestReceived
    | PeerReplyReceived
    | StoreClaimed
    | TaskFinished
    | EndpointsChanged
    | MembersChanged
    | LeaseRenewed
    | TeamChanged
    | Tick
    | DrainStarted
)

# Effects.


@dataclasses.dataclass(frozen=True)
class SendTask:
  """Send one task to an endpoint; report back with `TaskFinished`."""

  key: str
  team: str
  task: messages.Task
  endpoint: EndpointInfo
  downstream_key: str


@dataclasses.dataclass(frozen=True)
class SendOutcome:
  """Give a waiting request its outcome: a whole answer or a refusal."""

  request_id: int
  outcome: claims.Outcome


@dataclasses.dataclass(frozen=True)
class SendPeerRequest:
  """Send a message to a peer; report back with `PeerReplyReceived`.

  Attributes:
    member: the peer.
    message: what to send.
    timeout_s: how long to wait for the reply.
    request_id: the caller's request, for a forwarded job or cancellation.
  """

  member: Member
  message: claims.Request
  timeout_s: float
  request_id: int = 0


@dataclasses.dataclass(frozen=True)
class SendPeerNotice:
  """Send a one-way message to a peer."""

  member: Member
  message: claims.Request


@dataclasses.dataclass(frozen=True)
class SendPeerReply:
  """Answer a peer's message (`PeerRequestReceived`)."""

  request_id: int
  reply: claims.Reply


@dataclasses.dataclass(frozen=True)
class StoreClaim:
  """Claim a key in the platform's service (the baseline's write per job)."""

  claim: claims.Claim


@dataclasses.dataclass(frozen=True)
class Drained:
  """Nothing is in flight any more; the shell may stop."""


Effect = (
    SendTask
    | SendOutcome
    | SendPeerRequest
    | SendPeerNotice
    | SendPeerReply
    | StoreClaim
    | Drained
)
