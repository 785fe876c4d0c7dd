"""Ends of runs of kept jobs that another data centre has taken over.

The data centre was cut off, and such an end couldn't be stored. The task may
have been started elsewhere since, and no task may start after its end was
acknowledged. An end that is acknowledged only once the endpoint's lease has
expired counts as one of a run that was lost. So the endpoint gets no new tasks
until its runs have ended and its lease has expired.
"""

from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import events
from fescueturn.scheduler import ownerstate


def hold(owner: ownerstate.Owner, endpoint: str, number: int):
  """Delays the acknowledgement of an end until the lease has expired."""
  record = owner.endpoints.get(endpoint)
  if record is None:
    return
  record.ended.unsaved.add(number)
  record.awaits_lapse = True
  held = owner.kept_records.unlapsed_ends.setdefault(endpoint, set())
  held.add(number)
  owner.counters["end_held"] += 1
  owner.emit(
      events.log(
          "kept_end_held",
          endpoint=endpoint,
          number=number,
          fence=owner.fence,
      )
  )


def release_lapsed(
    owner: ownerstate.Owner,
) -> list[endpointstate.EndpointRecord]:
  """Lets endpoints whose lease has expired forget their ends.

  Returns:
    The endpoints, which are to be told.
  """
  unlapsed = owner.kept_records.unlapsed_ends
  lapsed = []
  for endpoint in list(unlapsed):
    record = owner.endpoints.get(endpoint)
    if record is None:
      del unlapsed[endpoint]
    elif record.lease.expired(owner.now):
      for number in unlapsed.pop(endpoint):
        record.ended.record_saved(number)
      record.awaits_lapse = False
      lapsed.append(record)
  return lapsed
