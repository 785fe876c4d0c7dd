"""What a refused caller is told, and what the log says of a refusal."""

from fescueturn.scheduler import coordinatorstate
from fescueturn.scheduler import shardroom
from fescueturn.scheduler.decisions import shardchoice

# The reasons of refusals for lack of capacity.
_NO_CAPACITY = ("no_room", "no_room_in_time")


def retry_after_s(
    state: coordinatorstate.Coordinator,
    record: coordinatorstate.JobRecord,
    reason: str,
) -> int | None:
  """Returns the Retry-After (s) for a lack of capacity; None for others."""
  if reason not in _NO_CAPACITY:
    return None
  wait_s = (record.best_wait_ms or 0) / 1000
  job = record.job
  return state.returns.delay_s(job.id, job.priority, wait_s, state.now)


def log_fields(
    state, record: coordinatorstate.JobRecord, retry_after_s: int
) -> dict[str, object]:
  """Returns the log fields that say where room was when a job was refused."""
  demand = shardroom.demand(record.job)
  views = [
      holder.room.view(record.job, shard, False, state.now)
      for shard, holder in state.holders.items()
  ]
  known = [v for v in views if v.room is not None]
  if views and all(
      v.room is not None and v.age_s <= shardchoice.FULL_REPORT_S for v in views
  ):
    state.counters["refused_room_known"] += 1
  return {
      "offers": record.offer_count,
      "best_wait_ms": or_unknown(record.best_wait_ms),
      "room": ",".join(_room_text(demand, v) for v in known) or "unknown",
      "retry_after_s": retry_after_s,
  }


def _room_text(demand: shardchoice.Demand, view: shardchoice.ShardView) -> str:
  """Returns a shard's room for a job: free tasks / tasks wanted, and age."""
  free = max(0, view.room.at_least_free(demand.cpu) - view.taken)
  wait_ms = shardchoice.expected_wait_ms(demand, view)
  return (
      f"{view.shard.data_centre}:{free}/{demand.tasks}"
      f":{or_unknown(wait_ms)}ms:{age_ms(view.age_s)}ms_ago"
  )


def or_unknown(value: int | None) -> int | str:
  """Returns a value for a log line."""
  return "unknown" if value is None else value


def age_ms(age_s: float | None) -> int | str:
  """Returns an age (ms) for a log line."""
  return "unknown" if age_s is None else int(1000 * age_s)
