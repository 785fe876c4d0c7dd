"""Events that the entry host's reducer handles, and effects it returns.

Every input of the reducer is an event: a caller's job, an endpoint's answer, a
peer's message, a change of membership, endpoints or a team's settings, a timer
tick. The reducer returns effects, which are data; the I/O shell in
`fescueturn.entry` executes them.
"""

import dataclasses

from fescueturn import claims
from fescueturn import codes
from fescueturn import messages
from fescueturn import settings


@dataclasses.dataclass(frozen=True)
class EndpointInfo:
  """An endpoint as the host list describes it.

  Attributes:
    name: the endpoint's host name.
    address: the address at which it accepts tasks over HTTP.
    services: the back end services it runs (``speller``, ...).
    slots: the number of tasks it runs concurrently.
    leaving: True once the host list marks it as leaving; it then gets no new
      tasks.
  """

  name: str
  address: settings.Address
  services: tuple[str, ...]
  slots: int
  leaving: bool = False


@dataclasses.dataclass(frozen=True)
class Member:
  """An entry host of this data centre, from its key in the platform's store.

  The key is bound to the host's lease and disappears when the lease ends.

  Attributes:
    name: the entry host's name.
    peer: the address at which it accepts messages from other entry hosts.
    boot: id of its process (see `claims.Token`).
    lease: id of the lease its key is bound to; a new one at each join.
    leaving: True once it is draining: it finishes its jobs, and no longer
      holds claims.
    rack: the rack it is in; "" if its settings name none.
  """

  name: str
  peer: settings.Address
  boot: str = ""
  lease: int = 0
  leaving: bool = False
  rack: str = ""

  @property
  def token(self) -> claims.Token:
    """The token of the member's process."""
    return claims.Token(self.name, self.boot)


# Events.


@dataclasses.dataclass(frozen=True)
class JobArrived:
  """A job arrived from a caller (hops=0) or forwarded by a peer."""

  request_id: int
  job: messages.Job
  hops: int = 0


@dataclasses.dataclass(frozen=True)
class CancelArrived:
  """A cancellation arrived from a caller (hops=0) or forwarded by a peer."""

  request_id: int
  cancel: messages.Cancel
  hops: int = 0


@dataclasses.dataclass(frozen=True)
class PeerRequestReceived:
  """A message arrived from a peer; needs a `SendPeerReply` unless one-way."""

  request_id: int
  message: claims.Request


@dataclasses.dataclass(frozen=True)
class PeerReplyReceived:
  """A `SendPeerRequest` ended, with or without a reply.

  Attributes:
    peer_request: the effect that sent the request.
    reply: the peer's reply; None if there was none.
    dead: True when the peer's process has certainly ended (its port refuses
      connections, or another process answers there).
  """

  peer_request: "SendPeerRequest"
  reply: claims.Reply | None
  dead: bool = False


@dataclasses.dataclass(frozen=True)
class StoreClaimed:
  """A `StoreClaim` ended.

  Attributes:
    key: the job's idempotency key.
    claimed: True if the key was free, False if it existed already, None if
      the store did not answer.
  """

  key: str
  claimed: bool | None


@dataclasses.dataclass(frozen=True)
class TaskFinished:
  """A request to an endpoint ended with a task code (see `codes.task_ran`)."""

  key: str
  task_id: str
  endpoint: str
  code: codes.Code
  result: str = ""
  elapsed_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class EndpointsChanged:
  """The endpoints in the host list changed; carries all of them."""

  endpoints: tuple[EndpointInfo, ...]


@dataclasses.dataclass(frozen=True)
class MembersChanged:
  """The next view of this data centre's entry hosts, in store revision order.

  Attributes:
    members: every entry host of the view.
    gap: True when this view was read afresh, so that changes before it may
      have been missed.
  """

  members: tuple[Member, ...]
  gap: bool = False


@dataclasses.dataclass(frozen=True)
class LeaseRenewed:
  """This entry host's lease is valid until `until`, by its own clock."""

  lease: int
  until: float


@dataclasses.dataclass(frozen=True)
class TeamChanged:
  """A team's settings changed; `team_settings` is None for a removed team."""

  team: str
  revision: int
  team_settings: settings.TeamSettings | None


@dataclasses.dataclass(frozen=True)
class Tick:
  """A tick of the timer service."""

  now: float


@dataclasses.dataclass(frozen=True)
class DrainStarted:
  """A graceful stop began: new keys are no longer accepted here."""


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
  """Complete a pending request with its outcome: an answer or a refusal."""

  request_id: int
  outcome: claims.Outcome


@dataclasses.dataclass(frozen=True)
class SendPeerRequest:
  """Send a message to a peer; report back with `PeerReplyReceived`.

  Attributes:
    member: the peer.
    message: the message to send.
    timeout_s: how long to wait for the reply, in seconds.
    request_id: id of the caller's request that is forwarded; 0 otherwise.
    round_number: number of the claim, sync or probe round that the message
      belongs to; its reply counts for no other round.
  """

  member: Member
  message: claims.Request
  timeout_s: float
  request_id: int = 0
  round_number: int = 0


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
  """Claim a key in the platform's store (one write per job; baseline only)."""

  claim: claims.Claim


@dataclasses.dataclass(frozen=True)
class Drained:
  """All work in flight has ended; the shell may stop."""


Effect = (
    SendTask
    | SendOutcome
    | SendPeerRequest
    | SendPeerNotice
    | SendPeerReply
    | StoreClaim
    | Drained
)
