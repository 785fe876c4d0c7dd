"""Types of the platform's JSON, and the only place that decodes it.

Each body, entry and file that the adapter reads has a `msgspec.Struct` here.
Its fields have the platform's names, in snake case. `decode` returns a value of
the declared types, or raises one error with a number, which names the field.
"""

import ipaddress
import re
from typing import Annotated
from typing import Literal

import msgspec

from fescueturn import errors
from fescueturn import settings

# Messages between hosts carry amounts as 32 bits.
MAX_AMOUNT = 2**32 - 1
# Clocks, revisions, leases and fencing tokens are signed 64-bit numbers.
MAX_COUNTER = 2**63 - 1

Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
# An amount that a caller requests; its fraction is truncated.
Quantity = Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
Counter = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNTER)]
Name = Annotated[str, msgspec.Meta(min_length=1)]

_ADDRESS = re.compile(r"([0-9.]{7,15}):([0-9]{1,5})")
_MAX_PORT = 65535


class _Body(msgspec.Struct, frozen=True, rename="camel"):
  """A JSON object with keys in camel case; undeclared keys are ignored."""


class _Row(msgspec.Struct, frozen=True, array_like=True):
  """A JSON array whose elements are fields; additional ones are ignored."""


# Entries of endpoints.


class Capacity(_Body):
  """Resources of an endpoint.

  Attributes:
    cpu: processor time in thousandths of a core.
    mem_mb: memory.
    gpu: number of accelerators.
  """

  cpu: Amount
  mem_mb: Amount
  gpu: Amount


class Entry(_Body):
  """The entry that an endpoint writes in the store.

  Fields without a default are required.

  Attributes:
    zone: its data centre.
    cold_remaining_ms: how much longer it remains slow after its start.
    sequence: unused.
    labels: its kind and its rack.
    born: when it started (Unix time, ms); 0 if it doesn't say.
    remaining_ms: the least time that it stays; only while it is draining.
    clock_ms: its clock when it wrote the entry, if it tells.
  """

  service: Name
  address: str
  zone: Name
  version: str
  slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_AMOUNT)]
  state: Literal["ready", "draining"]
  cold_remaining_ms: Counter
  sequence: Counter
  capacity: Capacity
  labels: tuple[str, ...]
  born: Counter = 0
  remaining_ms: Quantity | None = None
  clock_ms: Counter | None = None


# The operator's configuration.


class Route(_Body):
  """A queue of jobs.

  Attributes:
    host: the Host header of the queue's requests.
    prefix: the path prefix of the queue's requests.
    advice: the queue's policy in any form; only its presence matters.
  """

  name: str
  host: str
  prefix: str
  service: str
  attempts: Amount = 1
  stretch: Annotated[float, msgspec.Meta(ge=0)] = 1.0
  slo_ms: Amount = 0
  timeout_ms: Amount = 0
  priority: int = 0
  advice: object = None


class Service(_Body):
  """A pool of endpoints."""

  name: str


class Limits(_Body):
  """Limits of callers' requests; None stands for the default."""

  max_header_bytes: Amount | None = None
  max_body_bytes: Amount | None = None
  header_timeout_ms: Amount | None = None
  idle_timeout_ms: Amount | None = None


class Config(_Body):
  """The operator's whole configuration."""

  version: int
  routes: tuple[Route, ...]
  services: tuple[Service, ...] = ()
  limits: Limits = Limits()


# Answers of the store.


class KeyItem(_Body):
  """An item; its value is base64 text, or None if the key was removed."""

  key: str
  revision: Counter
  value: str | None = None
  tombstone: bool = False


class KeyReply(_Body):
  """The answer to a read of one key; `key` is None if there is no item."""

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
  """The changes that a watch reports.

  Attributes:
    events: the changed items; removed ones have a tombstone.
  """

  current_rev: Counter
  events: tuple[KeyItem, ...] = ()


class TransactReply(_Body):
  """The store's revision after a transaction."""

  revision: Counter


class ConflictReply(_Body):
  """The items that differ from a transaction's expected revisions.

  An item with `revision` 0 does not exist.
  """

  items: tuple[KeyItem, ...] = ()


class LeaseReply(_Body):
  """A new lease."""

  lease: Counter


class JobStatusRow(_Row):
  """The status of a kept job.

  Attributes:
    state: the job's state.
    data_centre: the data centre of the shard that the job belongs to.
    number: the shard's number in its data centre.
  """

  state: Literal["open", "done", "failed", "cancelled"]
  data_centre: str
  number: Amount


class TakenRow(_Row):
  """Jobs that the holder of another shard has taken over in one write.

  Attributes:
    job_ids: the jobs.
  """

  job_ids: tuple[str, ...]


class HeadRow(_Row):
  """The head record of a shard, which identifies the last write to its records.

  Attributes:
    fence: the fencing token of the holder that made the write.
    number: the write's number among those of its holder.
    takeovers: how many times the shard has passed to another holder.
    moved: how many writes of other shards' holders have moved jobs away while
      no host claimed the shard.
  """

  fence: Counter
  number: Counter
  takeovers: Counter
  moved: Counter = 0


class Claim(_Body):
  """The value of a shard's claim.

  Attributes:
    host: the name of the holder's host.
    boot: the id of the holder's process, new at each start.
    peer: the address where the holder listens for messages of other hosts.
  """

  host: Name
  boot: Name
  peer: str


# Answers of endpoints.


class RunningRow(_Row):
  """A run in progress.

  Attributes:
    task: the platform's name of the task (see `endpoints.format_task_name`).
    attempt: the number of the attempt.
    saved: the checkpoint; unused.
    percent: the progress.
  """

  task: str
  attempt: Counter
  saved: str
  percent: float


class FinishedRow(_Row):
  """An ended run. The checkpoint, which follows the fields, is ignored.

  Attributes:
    number: its number among the ended runs of the endpoint.
    task: the platform's name of the task (see `endpoints.format_task_name`).
    attempt: the number of the attempt.
    how: the outcome.
  """

  number: Counter
  task: str
  attempt: Counter
  how: str


class OrderReply(_Body):
  """The answer of an endpoint to any call.

  Attributes:
    clock_ms: the endpoint's clock.
    reason: why the call was refused.
    running: the runs in progress.
    finished: the runs that have ended.
    born: when the endpoint started (Unix time, ms); 0 if it doesn't say.
  """

  clock_ms: Counter | None = None
  reason: str | None = None
  running: tuple[RunningRow, ...] = ()
  finished: tuple[FinishedRow, ...] = ()
  born: Counter = 0


# Callers' jobs.


class Phase(_Body):
  """A step of a job; callers omit fields that are 0, false or empty.

  Attributes:
    estimate_ms: a rough estimate of the run time of one task.
    after: the numbers of the steps that must be done before this one.
    requires: the kind of endpoint that the tasks need.
    affinity: the rack that holds the data of the step.
    anti_affinity: the highest number of the step's tasks on one endpoint.
  """

  task_count: Annotated[int, msgspec.Meta(ge=1, le=MAX_AMOUNT)]
  cpu: Quantity = 0
  mem_mb: Quantity = 0
  gpu: Quantity = 0
  estimate_ms: Quantity = 0
  after: tuple[Amount, ...] = ()
  requires: str = ""
  affinity: str = ""
  anti_affinity: Amount = 0
  gang: object = None
  long_running: object = None
  fills: object = None
  may_miss: object = None
  target_ms: object = None


class Job(_Body):
  """A job as submitted by its caller.

  Attributes:
    phases: the steps of the job.
  """

  phases: Annotated[tuple[Phase, ...], msgspec.Meta(min_length=1)]
  spec: str = ""
  best_effort: bool = False
  repeat_count: object = None
  long_running: object = None


# The settings file.


class Listen(_Body):
  """Addresses that the program listens on.

  Attributes:
    frontend: for callers' requests.
    readiness: for the balancer's probes.
  """

  frontend: str
  readiness: str


class MachineLimits(_Body):
  """The processor time of a program: a share of each of a number of cores."""

  cpu_share: Annotated[float, msgspec.Meta(gt=0)] | None = None
  cores: Annotated[float, msgspec.Meta(gt=0)] | None = None


class Platform(_Body):
  """The address of the store and the shortest lease that it grants."""

  address: str
  min_ttl_ms: Amount = 1000


class Bounds(msgspec.Struct, frozen=True):
  """Time limits of the deployment; their keys use both camel and snake case.

  Attributes:
    convergence_ms: how soon a host must act on the content of the store after a
      fault has ended.
    grace_s: time from SIGTERM to SIGKILL.
    status_s: how long the status of an ended job must stay available.
    callers_return_ms: how soon callers send a job again that got no answer.
  """

  convergence_ms: Annotated[float, msgspec.Meta(gt=0)] = msgspec.field(
      default=3000.0, name="contactMs"
  )
  grace_s: Annotated[float, msgspec.Meta(ge=0)] = msgspec.field(
      default=6.0, name="graceS"
  )
  status_s: Annotated[float, msgspec.Meta(ge=0)] = 120.0
  callers_return_ms: Annotated[float, msgspec.Meta(gt=0)] = msgspec.field(
      default=1300.0, name="resendMs"
  )


class Node(_Body):
  """The settings file of a process.

  Attributes:
    node: the name of the host.
    ip: the host's address for messages of other hosts and for metrics.
    zone: the host's data centre.
    internal_ports: the first and the last port for messages between hosts.
  """

  node: Name
  ip: Name
  zone: Name
  listen: Listen
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
taken_rows = msgspec.json.Decoder(TakenRow)
head_rows = msgspec.json.Decoder(HeadRow)
order_replies = msgspec.json.Decoder(OrderReply)
jobs = msgspec.json.Decoder(Job)
nodes = msgspec.json.Decoder(Node)


def decode(
    decoder: msgspec.json.Decoder,
    data: bytes | str | None,
    source: str,
    error: type[errors.FescueError],
):
  """Decodes a value from JSON.

  Args:
    decoder: one of this module's decoders.
    data: the JSON text; None raises the error like malformed text.
    source: names the data in the error.
    error: the class of the error to raise.

  Raises:
    errors.FescueError: of class `error`; the data is not JSON, lacks a field,
      or has one of the wrong type or out of bounds.
  """
  try:
    return decoder.decode(data or b"")
  except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
    raise error(f"{source}: {exc}") from exc


def parse_endpoint_address(text: str) -> settings.Address:
  """Parses an address of the form ``a.b.c.d:port``.

  Raises:
    ValueError: the text has another form. Host names are not allowed, because
      the platform has no name lookups.
  """
  match = _ADDRESS.fullmatch(text)
  if match is None:
    raise ValueError(f"not a numeric address (a.b.c.d:port): {text[:40]!r}")
  port = int(match[2])
  if not 0 < port <= _MAX_PORT:
    raise ValueError(f"port out of range: {port}")
  return settings.Address(str(ipaddress.IPv4Address(match[1])), port)
