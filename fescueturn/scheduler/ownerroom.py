"""Makes an owner's room reports from its endpoints and waiting jobs."""

from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler.decisions import room

# A report is used again for this long: the time of a few offers, short compared
# with the shortest tasks (60 ms).
REUSE_S = 0.01
# It is used longer where there are many endpoints: a report takes 15 us for
# each of them, and may take up to a quarter of the holder's time. From 167
# endpoints on, this is longer than `REUSE_S`.
REUSE_S_PER_ENDPOINT = 6e-5


def report(owner: ownerstate.Owner) -> room.RoomReport | None:
  """Returns the owner's room; None before it knows an endpoint's runs."""
  if owner.evacuated or owner.awaiting_endpoints:
    return None
  made_at, last = owner.room_report
  reuse_s = max(REUSE_S, REUSE_S_PER_ENDPOINT * len(owner.endpoints))
  if last is not None and owner.now - made_at < reuse_s:
    return last
  made = room.report(
      [
          _endpoint_room(owner, record)
          for record in owner.endpoints.values()
          if record.usable(owner.now)
      ],
      [
          room.WaitingWork(
              job.job.service,
              job.job.priority,
              sum(task.step.estimate_ms for task in job.waiting),
          )
          for job in owner.jobs.values()
          if job.waiting and job.stranded_since is None
      ],
  )
  owner.room_report = (owner.now, made)
  return made


def _endpoint_room(
    owner: ownerstate.Owner, record: endpointstate.EndpointRecord
) -> room.EndpointRoom:
  runs = record.runs.values()
  return room.EndpointRoom(
      record.info.service,
      record.info.capacity.cpu,
      record.free.cpu,
      record.info.slots - len(record.runs),
      tuple(
          max(0, int(1000 * (r.expected_end(record.speed_factor) - owner.now)))
          for r in runs
      ),
      record.speed_factor,
  )
