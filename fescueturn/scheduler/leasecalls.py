"""Sends lease calls: each renews an endpoint's lease and asks for its runs."""

from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import events
from fescueturn.scheduler import ownerstate

# How long a lease call waits at the endpoint for a run to end (a long poll).
# The next call then renews the lease with 500 of its 800 ms left, enough for a
# lost call and its retry.
LEASE_CALL_WAIT_MS = 300
# The same wait while calls are being lost. The ended runs that a lost call
# would have reported become known this much later, and the shortest tasks have
# 96 ms to spare.
LOSSY_CALL_WAIT_MS = 60


def renew_lease(
    owner: ownerstate.Owner,
    record: endpointstate.EndpointRecord,
    now: bool = False,
    is_probe: bool = False,
):
  """Renews the endpoint's lease and asks for its runs.

  Does nothing while a call is pending, nor soon after a call while the ends that
  the endpoint lists are unsaved.

  Args:
    owner: the owner.
    record: the endpoint.
    now: True to get the answer without a long poll. A pending long poll is then
      superseded by a call without a wait, and its answer is ignored.
    is_probe: True to call it although its ends are unsaved.
  """
  if record.call_pending and not (now and record.call_is_long_poll):
    return
  since_call_s = owner.now - record.call_sent_at
  if (
      record.ended.unsaved
      and not is_probe
      and since_call_s < endpointstate.UNSAVED_CALL_INTERVAL_S
  ):
    return
  if record.call_pending:
    record.record_failed_request()  # Its answer, if any, is ignored.
  record.call_number += 1
  record.call_pending = True
  record.call_sent_at = owner.now
  ack_number = record.next_ack()
  wait_ms = 0 if now else _call_wait_ms(owner, record)
  record.call_is_long_poll = wait_ms > 0
  deadline_ms = _new_lease_end(owner, record)
  record.call_extends = deadline_ms is not None
  owner.emit(
      events.RenewLease(
          record.info,
          record.call_number,
          ack_number,
          deadline_ms,
          wait_ms,
          owner.fence,
          owner.now,
      )
  )


def probe(owner: ownerstate.Owner, record: endpointstate.EndpointRecord):
  """Asks an endpoint for its runs, to learn whether it still answers."""
  renew_lease(owner, record, now=True, is_probe=True)


def _call_wait_ms(owner, record: endpointstate.EndpointRecord) -> int:
  """Returns how long a lease call may wait for a run to end (ms).

  It is 0 while the endpoint's runs are unknown or the result of a stop is
  awaited, since those answers are needed at once.
  """
  if not record.runs_known or not record.runs or record.awaits_stop_result:
    return 0
  return (
      LOSSY_CALL_WAIT_MS if owner.call_losses.is_lossy else LEASE_CALL_WAIT_MS
  )


def _new_lease_end(owner, record) -> int | None:
  """Returns the new end of the endpoint's lease, or None to not renew it.

  The lease of a silent endpoint is left to expire, so that its tasks can be run
  elsewhere. So is the lease of an endpoint whose runs are all to be stopped, or
  belong to jobs that are not known here yet, and that of an endpoint with a run
  that must end, or whose coordinator is silent, since it may be dead.
  """
  return record.lease.extend(owner.now) if _extends(owner, record) else None


def _extends(owner, record) -> bool:
  if record.silent_since is not None or owner.must_let_lapse(record):
    return False
  return any(run.wanted for run in record.runs.values())


def extend_lease_left_out(owner: ownerstate.Owner, record):
  """Extends a lease that the long poll under way has left to expire."""
  left_out = record.call_is_long_poll and not record.call_extends
  if left_out and _extends(owner, record):
    renew_lease(owner, record, now=True)
