"""Cap'n Proto codec for the messages between coordinators and holders.

The schema, `link.capnp`, is loaded at import. A message identifies its job only
by id; the job's coordinator is the process that opened the connection.
"""

import dataclasses
import pathlib

import capnp

from fescueturn import codes
from fescueturn import errors
from fescueturn import settings
from fescueturn.scheduler import keptevents
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler.decisions import room as room_lib

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("link.capnp")))
_Message = _SCHEMA.Message

_OUTCOME_NAMES = {
    model.Outcome.DONE: "done",
    model.Outcome.FAILED: "failed",
    model.Outcome.NOT_RUN: "notRun",
    model.Outcome.UNKNOWN: "unknown",
    model.Outcome.KEPT: "kept",
    model.Outcome.CANCELLED: "cancelled",
}
# Value of `roster` in a ping that requests no roster.
_NO_ROSTER = 2**32 - 1
# The longest time that a field in ms holds: 49 days.
_MAX_MS = 2**32 - 1
# State in a query reply when the holder does not know the job.
_UNKNOWN_JOB_STATE = "unknown"
_OUTCOMES = {name: outcome for outcome, name in _OUTCOME_NAMES.items()}


class MalformedMessageError(errors.FescueError):
  """Data from another host is not a valid message of this version."""

  code = codes.Code.BAD_FIELD


@dataclasses.dataclass(frozen=True)
class Hello:
  """First message on a connection; identifies the process that opened it.

  Attributes:
    process: the process.
    number: counts its connections to the same peer; 0 from a process of an
      earlier version.
  """

  process: linkmessages.HostProcess
  number: int = 0


def encode(shard: model.Shard, message) -> bytes:
  """Returns the message in Cap'n Proto's stream framing."""
  out = _Message.new_message(dataCentre=shard.data_centre, shard=shard.number)
  _ENCODERS[type(message)](out, message)
  return out.to_bytes()


def _encode_hello(out, message: Hello):
  out.number = message.number
  group = out.init("hello")
  group.host = message.process.host
  group.boot = message.process.boot


def _encode_ping(out, message: linkmessages.Ping):
  out.at = message.at
  out.roster = _NO_ROSTER if message.roster is None else message.roster
  group = out.init("ping")
  group.canHold = message.can_hold
  group.draining = message.draining
  group.uptimeMs = _to_ms(message.uptime_s)
  if message.list_version is not None:
    group.listRequest = message.list_version + 1
  group.wantsRoom = message.wants_room
  _encode_suspects(
      group.init("doubts", len(message.suspects)), message.suspects
  )


def _to_ms(seconds: float) -> int:
  return min(_MAX_MS, int(seconds * 1000))


def _encode_suspects(rows, suspects: tuple[linkmessages.SuspectedHolder, ...]):
  for row, suspect in zip(rows, suspects, strict=True):
    row.dataCentre = suspect.shard.data_centre
    row.shard = suspect.shard.number
    row.fence = suspect.fence


def _encode_offered(out, message: linkmessages.Offered):
  out.jobId = message.key.job_id
  out.number = message.number
  group = out.init("offered")
  group.ageS = message.age_s
  group.leftS = max(0.0, message.remaining_s)
  group.resumed = message.resumed
  group.atOnce = message.immediate_only
  group.maxWaitMs = message.max_wait_ms
  job = message.job
  group.job.service = job.service
  group.job.spec = job.spec
  group.job.attempts = job.attempts
  group.job.stretch = job.stretch
  group.job.sloMs = job.slo_ms
  group.job.queue = job.queue
  group.job.kept = job.kept
  group.job.priority = job.priority
  steps = group.job.init("steps", len(job.steps))
  for target, step in zip(steps, job.steps, strict=True):
    _encode_step(target, step)


def _encode_step(target, step: model.Step):
  target.count = step.count
  target.cpu = step.need.cpu
  target.memMb = step.need.mem_mb
  target.gpu = step.need.gpu
  target.estimateMs = step.estimate_ms
  target.after = list(step.after)
  target.requires = step.requires
  target.near = step.near
  target.mostPerEndpoint = step.most_per_endpoint


def _encode_withdrawn(out, message: linkmessages.Withdrawn):
  out.jobId = message.key.job_id
  out.number = message.number
  out.withdrawn = None


def _encode_pong(out, message: linkmessages.Pong):
  out.at = message.at
  out.roster = message.roster
  group = out.init("pong")
  group.holding = message.holding
  group.listVersion = message.list_version
  group.listAgeMs = _to_ms(message.list_age_s)
  group.successor = message.successor
  if message.endpoints is not None:
    group.hasEndpoints = True
    group.endpoints = list(message.endpoints)
  _encode_suspects(
      group.init("agreed", len(message.confirmed_suspects)),
      message.confirmed_suspects,
  )
  rows = group.init("pending", len(message.pending))
  for row, (queue, jobs) in zip(rows, message.pending, strict=True):
    row.queue = queue
    row.jobs = jobs


def _encode_query(out, message: keptevents.KeptJobQuery):
  out.jobId = message.job_id
  out.init("asked").cancel = message.cancel


def _encode_query_reply(out, message: keptevents.KeptJobReply):
  out.jobId = message.job_id
  group = out.init("told")
  group.cancel = message.cancel
  group.state = message.state.value if message.state else _UNKNOWN_JOB_STATE


def _encode_accepted(out, message: linkmessages.Accepted):
  out.jobId = message.key.job_id
  out.number = message.number
  out.accepted = None


def _encode_declined(out, message: linkmessages.Declined):
  out.jobId = message.key.job_id
  out.number = message.number
  group = out.init("declined")
  group.waitMs = message.wait_ms
  group.inTime = message.in_time
  group.why = message.reason
  if message.room is not None:
    _encode_room(group.init("room"), message.room)


def _encode_room_reported(out, message: linkmessages.RoomReported):
  out.at = message.at
  _encode_room(out.init("room"), message.report)


def _encode_room(target, report: room_lib.RoomReport):
  rows = target.init("services", len(report.services))
  for row, service in zip(rows, report.services, strict=True):
    row.service = service.service
    row.stepCpu = service.step_cpu
    row.endpointsByRoom = list(service.endpoints_by_room)
    row.freeSlots = service.free_slots
    row.running = service.running
    row.remainingMs = service.remaining_ms
    row.waitingMs = list(service.waiting_ms)
    row.slownessPercent = service.slowness_percent


def _encode_ended(out, message: linkmessages.JobEnded):
  out.jobId = message.key.job_id
  out.number = message.number
  group = out.init("ended")
  group.outcome = _OUTCOME_NAMES[message.outcome]
  group.reason = message.reason


def _encode_returned(out, message: linkmessages.Returned):
  out.jobId = message.key.job_id
  out.number = message.number
  out.init("returned").ran = message.may_have_run


def _encode_granted(out, message: linkmessages.ShardGranted):
  group = out.init("granted")
  group.fence = message.fence
  group.limit = message.limit


def _encode_taken(out, message: linkmessages.GrantTaken):
  _encode_holder(out.init("taken"), message.holder)


def _encode_moved(out, message: linkmessages.HolderMoved):
  _encode_holder(out.init("moved"), message.holder)


def _encode_holder(group, holder: model.Holder):
  group.host = holder.host
  group.boot = holder.boot
  group.peer = str(holder.peer)
  group.fence = holder.fence


def _encode_endpoint_list(out, message: linkmessages.EndpointList):
  out.at = message.at
  group = out.init("listed")
  group.version = message.version
  group.ageMs = _to_ms(message.age_s)
  rows = group.init("rows", len(message.endpoints))
  for row, endpoint in zip(rows, message.endpoints, strict=True):
    row.id = endpoint.id
    row.host = endpoint.address.host
    row.port = endpoint.address.port
    row.service = endpoint.service
    row.dataCentre = endpoint.data_centre
    row.slots = endpoint.slots
    row.draining = endpoint.draining
    row.cpu = endpoint.capacity.cpu
    row.memMb = endpoint.capacity.mem_mb
    row.gpu = endpoint.capacity.gpu
    row.labels = list(endpoint.labels)


_ENCODERS = {
    Hello: _encode_hello,
    linkmessages.Ping: _encode_ping,
    linkmessages.Offered: _encode_offered,
    linkmessages.Withdrawn: _encode_withdrawn,
    linkmessages.Pong: _encode_pong,
    linkmessages.Accepted: _encode_accepted,
    linkmessages.Declined: _encode_declined,
    linkmessages.JobEnded: _encode_ended,
    linkmessages.Returned: _encode_returned,
    linkmessages.EndpointList: _encode_endpoint_list,
    linkmessages.ShardGranted: _encode_granted,
    linkmessages.GrantTaken: _encode_taken,
    linkmessages.HolderMoved: _encode_moved,
    linkmessages.RoomReported: _encode_room_reported,
    keptevents.KeptJobQuery: _encode_query,
    keptevents.KeptJobReply: _encode_query_reply,
}


def decode(data: bytes, coordinator: linkmessages.HostProcess | None):
  """Returns the shard and the message that `data` encodes.

  Args:
    data: one framed message.
    coordinator: the coordinator at one end of the connection, whose jobs the
      messages refer to; None before the hello.

  Raises:
    MalformedMessageError: `data` is not a valid message.
  """
  try:
    with _Message.from_bytes(data) as message:
      shard = model.Shard(str(message.dataCentre), message.shard)
      kind = message.which()
      return shard, _DECODERS[str(kind)](message, shard, coordinator)
  except (capnp.KjException, ValueError, KeyError) as exc:
    raise MalformedMessageError(f"malformed link message: {exc!r}") from exc


def _decode_hello(message, shard, coordinator) -> Hello:
  del shard, coordinator
  process = linkmessages.HostProcess(message.hello.host, message.hello.boot)
  return Hello(process, message.number)


def _decode_offered(message, shard, coordinator) -> linkmessages.Offered:
  group = message.offered
  job = group.job
  decoded = model.Job(
      message.jobId,
      job.service,
      job.spec,
      tuple(_decode_step(s) for s in job.steps),
      job.attempts,
      job.stretch,
      job.sloMs,
      job.queue,
      job.kept,
      job.priority,
  )
  key = linkmessages.JobKey(coordinator, message.jobId)
  return linkmessages.Offered(
      shard,
      key,
      decoded,
      group.ageS,
      group.leftS,
      group.resumed,
      message.number,
      group.atOnce,
      group.maxWaitMs,
  )


def _decode_step(step) -> model.Step:
  return model.Step(
      step.count,
      model.Resources(step.cpu, step.memMb, step.gpu),
      step.estimateMs,
      tuple(step.after),
      step.requires,
      step.near,
      step.mostPerEndpoint,
  )


def _decode_ping(message, shard, coordinator) -> linkmessages.Ping:
  roster = None if message.roster == _NO_ROSTER else message.roster
  return linkmessages.Ping(
      shard,
      coordinator,
      message.at,
      roster,
      message.ping.canHold,
      _decode_suspects(message.ping.doubts),
      message.ping.draining,
      message.ping.uptimeMs / 1000,
      message.ping.listRequest - 1 if message.ping.listRequest else None,
      message.ping.wantsRoom,
  )


def _decode_suspects(rows) -> tuple[linkmessages.SuspectedHolder, ...]:
  return tuple(
      linkmessages.SuspectedHolder(
          model.Shard(row.dataCentre, row.shard), row.fence
      )
      for row in rows
  )


def _decode_pong(message, shard, coordinator) -> linkmessages.Pong:
  del shard, coordinator
  pong = message.pong
  return linkmessages.Pong(
      pong.holding,
      tuple((row.queue, row.jobs) for row in pong.pending),
      message.at,
      message.roster,
      tuple(pong.endpoints) if pong.hasEndpoints else None,
      _decode_suspects(pong.agreed),
      pong.listVersion,
      pong.listAgeMs / 1000,
      pong.successor,
  )


def _decode_endpoint_list(
    message, shard, coordinator
) -> linkmessages.EndpointList:
  del shard, coordinator
  group = message.listed
  return linkmessages.EndpointList(
      message.at,
      group.version,
      group.ageMs / 1000,
      tuple(_decode_endpoint(row) for row in group.rows),
  )


def _decode_holder(group) -> model.Holder:
  peer = settings.parse_address(group.peer)
  return model.Holder(group.host, group.boot, peer, group.fence)


def _decode_endpoint(row) -> model.Endpoint:
  return model.Endpoint(
      row.id,
      settings.Address(row.host, row.port),
      row.service,
      row.dataCentre,
      row.slots,
      row.draining,
      model.Resources(row.cpu, row.memMb, row.gpu),
      tuple(row.labels),
  )


def _decode_room_reported(
    message, shard, coordinator
) -> linkmessages.RoomReported:
  del shard, coordinator
  return linkmessages.RoomReported(_decode_room(message.room), message.at)


def _decode_room(report) -> room_lib.RoomReport:
  return room_lib.RoomReport(
      tuple(
          room_lib.ServiceRoom(
              row.service,
              max(1, row.stepCpu),
              tuple(row.endpointsByRoom),
              row.freeSlots,
              row.running,
              row.remainingMs,
              tuple(row.waitingMs),
              row.slownessPercent,
          )
          for row in report.services
      )
  )


def _decode_declined(message, shard, coordinator) -> linkmessages.Declined:
  del shard
  group = message.declined
  return linkmessages.Declined(
      linkmessages.JobKey(coordinator, message.jobId),
      message.number,
      group.waitMs,
      group.inTime,
      group.why,
      _decode_room(group.room) if group._has("room") else None,
  )


def _decode_ended(message, shard, coordinator) -> linkmessages.JobEnded:
  del shard
  return linkmessages.JobEnded(
      linkmessages.JobKey(coordinator, message.jobId),
      _OUTCOMES[str(message.ended.outcome)],
      message.ended.reason,
      message.number,
  )


def _decode_query_reply(message, shard, coordinator) -> keptevents.KeptJobReply:
  del shard, coordinator
  name = str(message.told.state)
  state = None if name == _UNKNOWN_JOB_STATE else model.KeptJobState(name)
  return keptevents.KeptJobReply(message.jobId, message.told.cancel, state)


_DECODERS = {
    "hello": _decode_hello,
    "ping": _decode_ping,
    "offered": _decode_offered,
    "withdrawn": lambda m, shard, process: linkmessages.Withdrawn(
        shard, linkmessages.JobKey(process, m.jobId), m.number
    ),
    "pong": _decode_pong,
    "accepted": lambda m, shard, process: linkmessages.Accepted(
        linkmessages.JobKey(process, m.jobId), m.number
    ),
    "declined": _decode_declined,
    "ended": _decode_ended,
    "returned": lambda m, shard, process: linkmessages.Returned(
        linkmessages.JobKey(process, m.jobId), m.number, m.returned.ran
    ),
    "listed": _decode_endpoint_list,
    "granted": lambda m, shard, process: linkmessages.ShardGranted(
        m.granted.fence, m.granted.limit
    ),
    "taken": lambda m, shard, process: linkmessages.GrantTaken(
        shard, _decode_holder(m.taken)
    ),
    "moved": lambda m, shard, process: linkmessages.HolderMoved(
        _decode_holder(m.moved)
    ),
    "asked": lambda m, shard, process: keptevents.KeptJobQuery(
        shard, process, m.jobId, m.asked.cancel
    ),
    "told": _decode_query_reply,
    "room": _decode_room_reported,
}
