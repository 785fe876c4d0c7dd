"""What the platform's JSON holds, by type; the one place that decodes it.

Each body, entry and file that the adapter reads has a `msgspec.Struct` here,
whose fields are called as on the wire, in this language's case. `decode` gives
a value of the declared types or one numbered error that names the field.
"""

import ipaddress
import re
from typing import Annotated
from typing import Literal

import msgspec

from fescueturn import errors
from fescueturn import settings

# The messages between hosts carry amounts in 32 bits.
MAX_AMOUNT = 2**32 - 1
# Clocks, revisions, leases and fence numbers are 64-bit numbers.
MAX_COUNTER = 2**63 - 1

Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
# What a caller asks for; a fraction is cut off.
Quantity = Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
Counter = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNTER)]
Name = Annotated[str, msgspec.Meta(min_length=1)]

_ADDRESS = re.compile(r"([0-9.]{7,15}):([0-9]{1,5})")
_HIGHEST_PORT = 65535


class _Body(msgspec.Struct, frozen=True, rename="camel"):
  """Fields in camel case; those not declared are ignored."""


class _Row(msgspec.Struct, frozen=True, array_like=True):
  """A list with a meaning by position; what follows is ignored."""


# Entries of endpoints.


class Capacity(_Body):
  """Resources of an endpoint: thousandths of a core, MB, accelerators."""

  cpu: Amount
  mem_mb: Amount
  gpu: Amount


class Entry(_Body):
  """What an endpoint writes of itself; an entry without all of it is none."""

  service: Name
  address: str
  zone: Name
  version: str
  slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_AMOUNT)]
  state: Literal["ready", "draining"]
  cold_remaining_ms: Counter
  sequence: Counter
  capacity: Capacity
  # Its kind and its rack.
  labels: tuple[str, ...]


# The operator's configuration.


class Route(_Body):
  """A queue of jobs: `host` and `prefix` say which requests are its."""

  name: str
  host: str
  prefix: str
  service: str
  attempts: Amount = 1
  stretch: Annotated[float, msgspec.Meta(ge=0)] = 1.0
  slo_ms: Amount = 0
  timeout_ms: Amount = 0
  priority: int = 0
  # A policy of the queue's; there or not is all that is asked for.
  advice: object = None


class Service(_Body):
  """A pool of endpoints."""

  name: str


class Limits(_Body):
  """Limits of callers' requests; None for the usual one."""

  max_header_bytes: Amount | None = None
  max_body_bytes: Amount | None = None
  header_timeout_ms: Amount | None = None
  idle_timeout_ms: Amount | None = None


class Config(_Body):
  """The configuration in full."""

  version: int
  routes: tuple[Route, ...]
  services: tuple[Service, ...] = ()
  limits: Limits = Limits()


# Answers of the store.


class KeyItem(_Body):
  """An item; its value is base64 text, None where it was removed."""

  key: str
  revision: Counter
  value: str | None = None
  tombstone: bool = False


class KeyReply(_Body):
  """The answer to a reading of one key; without `key` there is no item."""

  current_rev: Counter = 0
  key: str | None = None
  revision: Counter = 0
  value: str | None = None


class RangeReply(_Body):
  """A page of the items under a prefix."""

  current_rev: Counter
  items: tuple[KeyItem, ...]
  has_more: bool = False


class WatchReply(_Body):
  """What changed."""

  current_rev: Counter
  events: tuple[KeyItem, ...] = ()


class TransactReply(_Body):
  """The revision of a change."""

  revision: Counter


class ConflictReply(_Body):
  """Items that are not as a change expected; `revision` 0: there is none."""

  items: tuple[KeyItem, ...] = ()


class LeaseReply(_Body):
  """A new lease."""

  lease: Counter


class JobStatusRow(_Row):
  """How far a kept job is, and the shard whose holder has or had it."""

  state: Literal["open", "done", "failed", "cancelled"]
  data_centre: str
  number: Amount


class HeadRow(_Row):
  """The last write to a shard's records: by which holder, and its number."""

  fence: Counter
  number: Counter
  takeovers: Counter


class Claim(_Body):
  """The value of a shard's claim: which process, and where it is reached."""

  host: Name
  boot: Name
  peer: str


# Answers of endpoints.


class RunningRow(_Row):
  """A run at work: its name, attempt, checkpoint and percent done."""

  task: str
  attempt: Counter
  saved: str
  percent: float


class FinishedRow(_Row):
  """A run that ended: its number, name, attempt, how and checkpoint."""

  number: Counter
  task: str
  attempt: Counter
  how: str


class OrderReply(_Body):
  """The answer to any call of an endpoint."""

  clock_ms: Counter | None = None
  reason: str | None = None
  running: tuple[RunningRow, ...] = ()
  finished: tuple[FinishedRow, ...] = ()


# Callers' jobs.


class Phase(_Body):
  """A step of a job; fields that are 0, false or empty are left out."""

  task_count: Annotated[int, msgspec.Meta(ge=1, le=MAX_AMOUNT)]
  cpu: Quantity = 0
  mem_mb: Quantity = 0
  gpu: Quantity = 0
  # A rough guess of one task's run time.
  estimate_ms: Quantity = 0
  after: tuple[Amount, ...] = ()
  requires: str = ""
  # The rack where its data is.
  affinity: str = ""
  # At most this many tasks of the step on one endpoint.
  anti_affinity: Amount = 0
  gang: object = None
  long_running: object = None
  fills: object = None
  may_miss: object = None
  target_ms: object = None


class Job(_Body):
  """A job as its caller submits it; what the wire calls phases are steps."""

  phases: Annotated[tuple[Phase, ...], msgspec.Meta(min_length=1)]
  spec: str = ""
  best_effort: bool = False
  repeat_count: object = None
  long_running: object = None


# The settings file.


class Listen(_Body):
  """Addresses for what the program serves."""

  frontend: str
  readiness: str


class MachineLimits(_Body):
  """The processor that a program gets: a share of a core, so many times."""

  cpu_share: Annotated[float, msgspec.Meta(gt=0)] | None = None
  cores: Annotated[float, msgspec.Meta(gt=0)] | None = None


class Platform(_Body):
  """Where the store is, and its shortest lease."""

  address: str
  min_ttl_ms: Amount = 1000


class Bounds(msgspec.Struct, frozen=True):
  """Bounds in force; they are written in two different cases."""

  convergence_ms: Annotated[float, msgspec.Meta(gt=0)] = msgspec.field(
      default=3000.0, name="contactMs"
  )
  grace_s: Annotated[float, msgspec.Meta(ge=0)] = msgspec.field(
      default=6.0, name="graceS"
  )
  status_s: Annotated[float, msgspec.Meta(ge=0)] = 120.0


class Node(_Body):
  """The settings of a process."""

  node: Name
  ip: Name
  zone: Name
  listen: Listen
  # The first and the last port for messages between hosts.
  internal_ports: Annotated[
      tuple[int, ...], msgspec.Meta(min_length=2, max_length=2)
  ]
  platform: Platform
  bounds: Bounds
  limits: MachineLimits | None = None


entries = msgspec.json.Decoder(Entry)
configs = msgspec.json.Decoder(Config)
key_replies = msgspec.json.Decoder(KeyReply)
range_replies = msgspec.json.Decoder(RangeReply)
watch_replies = msgspec.json.Decoder(WatchReply)
transact_replies = msgspec.json.Decoder(TransactReply)
conflict_replies = msgspec.json.Decoder(ConflictReply)
lease_replies = msgspec.json.Decoder(LeaseReply)
claims = msgspec.json.Decoder(Claim)
job_status_rows = msgspec.json.Decoder(JobStatusRow)
head_rows = msgspec.json.Decoder(HeadRow)
order_replies = msgspec.json.Decoder(OrderReply)
jobs = msgspec.json.Decoder(Job)
nodes = msgspec.json.Decoder(Node)


def decode(
    decoder: msgspec.json.Decoder,
    data: bytes | str | None,
    what: str,
    error: type[errors.FescueError],
):
  """Returns the value that `data` holds.

  Args:
    decoder: one of this module's.
    data: JSON; None where there is none, which is an error as well.
    what: names the data in the error.
    error: the error to raise.

  Raises:
    errors.FescueError: an `error`; the data is no JSON, lacks a field, or has
      one of another type or out of bounds.
  """
  try:
    return decoder.decode(data or b"")
  except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
    raise error(f"{what}: {exc}") from exc


def parse_endpoint_address(text: str) -> settings.Address:
  """Returns the address in ``a.b.c.d:port``.

  Raises:
    ValueError: it is none; there are no name lookups on the platform.
  """
  match = _ADDRESS.fullmatch(text)
  if match is None:
    raise ValueError(f"no address by numbers: {text[:40]!r}")
  port = int(match[2])
  if not 0 < port <= _HIGHEST_PORT:
    raise ValueError(f"no port: {port}")
  return settings.Address(str(ipaddress.IPv4Address(match[1])), port)
