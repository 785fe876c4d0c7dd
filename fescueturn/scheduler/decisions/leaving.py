"""How long an endpoint stays at least, and whether it is still cold.

An endpoint that is being emptied announces the least time that it stays, and
everything on it ends when it leaves. One that has just started announces how
much longer it remains slow. Both times count from when the endpoint wrote its
entry, which is some time before the entry is read.
"""

from fescueturn.scheduler import endpointruns
from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import model

# The assumed age (s) of an entry without the time at which it was written: the
# list is read every 0.7 s, and a read may take a few hundred milliseconds.
ENTRY_AGE_S = 1.0
# A run must end this long before its endpoint leaves, so that its end is still
# reported: the answer to a call takes up to 20 ms.
REPORT_S = 0.02
# A run that ends within the time that its stop takes is left alone.
STOP_S = 0.05


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
  clock_ms = record.lease.latest_clock_ms(now)
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
    now: the time (s).
  """
  if is_same_statement(record.info, info) and record.entry_recorded:
    return
  record.entry_recorded = True
  record.leaves_at = None
  if info.stays_ms is not None:
    age_s = entry_age_s(record, info, now)
    record.leaves_at = now + info.stays_ms / 1000 - age_s
  record.cold_until = now + info.cold_ms / 1000


def is_cold(record: endpointstate.EndpointRecord, now: float) -> bool:
  """Returns whether an endpoint is still slow after its start."""
  return record.cold_until > now


def ends_too_late(
    record: endpointstate.EndpointRecord, run: endpointruns.Run, now: float
) -> bool:
  """Returns whether a run will probably not end before its endpoint leaves."""
  if record.leaves_at is None or run.need is None:
    return False
  end = run.predicted_end(record.speed_factor)
  return end + REPORT_S > record.leaves_at and end - now > STOP_S
