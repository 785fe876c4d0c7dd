"""Events that the entry host's reducer takes, and effects it returns.

Every input to an entry host's decisions (a caller's job, an endpoint's
answer, a change of membership, endpoints or a team's settings, the passing
of time) is an event. The reducer answers each with effects: data that the
I/O shell in `fescueturn.entry` carries out.
"""

import dataclasses

from fescueturn import codes
from fescueturn import errors
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
  """A live entry host of this data centre, from its lease in the KV."""

  name: str
  peer: settings.Address


# Events.


@dataclasses.dataclass(frozen=True)
class JobArrived:
  """A caller's job, arriving direct (forwarded=False) or from a peer."""

  request_id: int
  job: messages.Job
  forwarded: bool = False


@dataclasses.dataclass(frozen=True)
class TaskFinished:
  """An endpoint exchange ended with a task code (see `codes.task_ran`)."""

  key: str
  task_id: str
  endpoint: str
  code: codes.Code
  result: str = ""


@dataclasses.dataclass(frozen=True)
class EndpointsChanged:
  """The host list's view of the endpoints changed."""

  endpoints: tuple[EndpointInfo, ...]


@dataclasses.dataclass(frozen=True)
class MembersChanged:
  """The set of live entry hosts in this data centre changed."""

  members: tuple[Member, ...]


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
    | TaskFinished
    | EndpointsChanged
    | MembersChanged
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
class Reply:
  """Give a waiting caller its job's whole answer."""

  request_id: int
  answer: messages.JobAnswer


@dataclasses.dataclass(frozen=True)
class Refuse:
  """Refuse a caller's request; nothing of it was started."""

  request_id: int
  error: errors.FescueError
  retry_after_s: int = 0


@dataclasses.dataclass(frozen=True)
class Forward:
  """Pass a job to the entry host that owns its key."""

  request_id: int
  job: messages.Job
  owner: Member


@dataclasses.dataclass(frozen=True)
class Drained:
  """Nothing is in flight any more; the shell may stop."""


Effect = SendTask | Reply | Refuse | Forward | Drained
