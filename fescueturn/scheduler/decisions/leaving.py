"""How long an endpoint surely stays, and how much of a cold one is used.

An endpoint that is being emptied announces the least time that it stays, and
everything on it ends when it leaves. One that has just started announces how
much longer it remains slow. Both times count from when the endpoint wrote its
entry, which is some time before the entry is read.
"""

from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import model

# The assumed age of an entry that doesn't tell when it was written: the list is
# read every 0.7 s, and the read itself may take a few hundred milliseconds.
ENTRY_AGE_S = 1.0
# A run must end this long before its endpoint leaves, so that its end is still
# reported: the answer to a call takes up to 20 ms.
REPORT_S = 0.02
# The part of a cold endpoint's CPU that is used when it is listed first. It
# rises to the whole in the time that the endpoint announced. A cold endpoint's
# tasks are slow, but refused jobs aren't served at all.
COLD_SHARE = 0.5


def is_same_statement(before: model.Endpoint, info: model.Endpoint) -> bool:
  """Returns whether two entries were written at the same time, or may be."""
  return (before.stays_ms, before.cold_ms, before.clock_ms) == (
      info.stays_ms,
      info.cold_ms,
      info.clock_ms,
  )


def entry_age_s(
    record: endpointstate.EndpointRecord, info: model.Endpoint, now: float
) -> float:
  """Returns the greatest age (s) that an entry just read may have."""
  clock_ms = record.latest_clock_ms(now)
  if clock_ms is None or info.clock_ms is None or clock_ms < info.clock_ms:
    return ENTRY_AGE_S
  return (clock_ms - info.clock_ms) / 1000


def record_entry(
    record: endpointstate.EndpointRecord, info: model.Endpoint, now: float
):
  """Records the times that an endpoint's entry announces.

  Args:
    record: the endpoint, with its previous entry if it has one.
    info: the entry just read.
    now: the time.
  """
  if is_same_statement(record.info, info) and record.entry_recorded:
    return
  record.entry_recorded = True
  record.leaves_at = None
  if info.stays_ms is not None:
    age_s = entry_age_s(record, info, now)
    record.leaves_at = now + info.stays_ms / 1000 - age_s
  cold_s = info.cold_ms / 1000
  record.cold_until = now + cold_s
  record.cold_s = max(record.cold_s, cold_s) if cold_s else 0.0


def is_cold(record: endpointstate.EndpointRecord, now: float) -> bool:
  """Returns whether an endpoint is still slow after its start."""
  return record.cold_until > now


def has_warm_room(
    record: endpointstate.EndpointRecord, need: model.Resources, now: float
) -> bool:
  """Returns whether a task fits into the part of a cold endpoint in use.

  One task is always allowed. It is true for an endpoint that isn't cold.
  """
  if not is_cold(record, now) or not record.runs:
    return True
  cold_part = min(1.0, (record.cold_until - now) / record.cold_s)
  share = 1.0 - (1.0 - COLD_SHARE) * cold_part
  capacity = record.info.capacity.cpu
  return capacity - record.free.cpu + need.cpu <= share * capacity


def ends_too_late(
    record: endpointstate.EndpointRecord, run: endpointstate.Run, now: float
) -> bool:
  """Returns whether a run will probably not end before its endpoint leaves."""
  if record.leaves_at is None or run.need is None:
    return False
  end = predicted_end(run, record.slowness)
  return max(end, now) + REPORT_S > record.leaves_at


def predicted_end(run: endpointstate.Run, slowness: float) -> float:
  """Returns when a run will end (s), from its last progress or its estimate.

  The progress counts at the time it was reported, since it is reported only
  with each lease call.
  """
  took_s = run.predicted_duration_s(run.progressed_at)
  if took_s is None:
    return run.expected_end(slowness)
  return run.started_at + took_s
