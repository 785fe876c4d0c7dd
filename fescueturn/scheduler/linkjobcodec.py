"""Codec of the messages about jobs: offers, their answers, room and queries.

`ENCODERS` fill in a message of the schema, by the type of what they encode;
`DECODERS` read one, by the schema's name for it.
"""

from fescueturn.scheduler import keptevents
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler.decisions import room as room_lib

_OUTCOME_NAMES = {
    model.Outcome.DONE: "done",
    model.Outcome.FAILED: "failed",
    model.Outcome.NOT_RUN: "notRun",
    model.Outcome.UNKNOWN: "unknown",
    model.Outcome.KEPT: "kept",
    model.Outcome.CANCELLED: "cancelled",
}
_OUTCOMES = {name: outcome for outcome, name in _OUTCOME_NAMES.items()}
# State in a query reply when the holder does not know the job.
_UNKNOWN_JOB_STATE = "unknown"


def _encode_offered(out, message: linkmessages.Offered):
  out.jobId = message.key.job_id
  out.number = message.number
  out.at = message.at
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
      message.at,
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


def _encode_withdrawn(out, message: linkmessages.Withdrawn):
  out.jobId = message.key.job_id
  out.number = message.number
  out.withdrawn = None


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


def _encode_room_reported(out, message: linkmessages.RoomReported):
  out.at = message.at
  _encode_room(out.init("room"), message.report)


def _decode_room_reported(
    message, shard, coordinator
) -> linkmessages.RoomReported:
  del shard, coordinator
  return linkmessages.RoomReported(_decode_room(message.room), message.at)


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


def _encode_ended(out, message: linkmessages.JobEnded):
  out.jobId = message.key.job_id
  out.number = message.number
  group = out.init("ended")
  group.outcome = _OUTCOME_NAMES[message.outcome]
  group.reason = message.reason


def _decode_ended(message, shard, coordinator) -> linkmessages.JobEnded:
  del shard
  return linkmessages.JobEnded(
      linkmessages.JobKey(coordinator, message.jobId),
      _OUTCOMES[str(message.ended.outcome)],
      message.ended.reason,
      message.number,
  )


def _encode_returned(out, message: linkmessages.Returned):
  out.jobId = message.key.job_id
  out.number = message.number
  out.init("returned").ran = message.may_have_run


def _encode_query(out, message: keptevents.KeptJobQuery):
  out.jobId = message.job_id
  out.init("asked").cancel = message.cancel


def _encode_query_reply(out, message: keptevents.KeptJobReply):
  out.jobId = message.job_id
  group = out.init("told")
  group.cancel = message.cancel
  group.state = message.state.value if message.state else _UNKNOWN_JOB_STATE


def _decode_query_reply(message, shard, coordinator) -> keptevents.KeptJobReply:
  del shard, coordinator
  name = str(message.told.state)
  state = None if name == _UNKNOWN_JOB_STATE else model.KeptJobState(name)
  return keptevents.KeptJobReply(message.jobId, message.told.cancel, state)


ENCODERS = {
    linkmessages.Offered: _encode_offered,
    linkmessages.Withdrawn: _encode_withdrawn,
    linkmessages.Accepted: _encode_accepted,
    linkmessages.Declined: _encode_declined,
    linkmessages.JobEnded: _encode_ended,
    linkmessages.Returned: _encode_returned,
    linkmessages.RoomReported: _encode_room_reported,
    keptevents.KeptJobQuery: _encode_query,
    keptevents.KeptJobReply: _encode_query_reply,
}
DECODERS = {
    "offered": _decode_offered,
    "withdrawn": lambda m, shard, process: linkmessages.Withdrawn(
        shard, linkmessages.JobKey(process, m.jobId), m.number
    ),
    "accepted": lambda m, shard, process: linkmessages.Accepted(
        linkmessages.JobKey(process, m.jobId), m.number
    ),
    "declined": _decode_declined,
    "ended": _decode_ended,
    "returned": lambda m, shard, process: linkmessages.Returned(
        linkmessages.JobKey(process, m.jobId), m.number, m.returned.ran
    ),
    "asked": lambda m, shard, process: keptevents.KeptJobQuery(
        shard, process, m.jobId, m.asked.cancel
    ),
    "told": _decode_query_reply,
    "room": _decode_room_reported,
}
