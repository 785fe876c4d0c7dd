"""What a coordinator knows of the room at one shard's holder."""

import dataclasses

from fescueturn.scheduler import model
from fescueturn.scheduler.decisions import room as room_lib
from fescueturn.scheduler.decisions import shardchoice


@dataclasses.dataclass(frozen=True)
class SentOffer:
  """An offer that the last report may not include.

  Attributes:
    at: when it was sent (s).
    service: the service that its tasks need.
    tasks: the number of its first tasks.
    work_ms: the sum of their estimated run times (ms).
  """

  at: float
  service: str
  tasks: int
  work_ms: int


class ShardRoom:
  """The last room report of a shard's holder, and what happened since.

  Attributes:
    report: the last report; None if there was none.
    sent_at: when the message that the report answers was sent (s). The report
      includes all offers that were sent before.
  """

  def __init__(self):
    self.report: room_lib.RoomReport | None = None
    self.sent_at = 0.0
    # Own offers by the job's id.
    self._offers: dict[str, SentOffer] = {}
    # By queue, until when the report isn't believed to show room for it (s).
    self._contradicted_until: dict[str, float] = {}

  def update(self, report: room_lib.RoomReport | None, sent_at: float):
    """Takes over a report, unless a newer one is known.

    Args:
      report: the report; None from a holder that can't tell its room.
      sent_at: when the message was sent that it answers (s).
    """
    if report is None or sent_at < self.sent_at:
      return
    self.report = report
    self.sent_at = sent_at
    self._offers = {k: o for k, o in self._offers.items() if o.at > sent_at}

  def record_offer(self, job: model.Job, now: float):
    """Records that a job was offered to the holder."""
    self._forget_old(now)
    steps = _first_steps(job)
    self._offers[job.id] = SentOffer(
        now,
        job.service,
        sum(s.count for s in steps),
        sum(s.count * s.estimate_ms for s in steps),
    )

  def record_decline(self, job: model.Job, was_likely: bool, now: float):
    """Records that the holder declined a job.

    Args:
      job: the job.
      was_likely: True if the report showed room to start it at once.
      now: the time (s).
    """
    self._offers.pop(job.id, None)
    if was_likely:
      until = now + shardchoice.CONTRADICTED_S
      self._contradicted_until[job.queue] = until

  def view(
      self, job: model.Job, shard: model.Shard, local: bool, now: float
  ) -> shardchoice.ShardView:
    """Returns what is known of the shard's room for a job."""
    offers = [o for o in self._offers.values() if o.service == job.service]
    return shardchoice.ShardView(
        shard,
        local,
        self.report.of(job.service) if self.report is not None else None,
        now - self.sent_at,
        sum(o.tasks for o in offers),
        sum(o.work_ms for o in offers),
        self._contradicted_until.get(job.queue, 0.0) > now,
    )

  def snapshot(self, now: float) -> dict:
    """Returns a JSON-ready dump."""
    if self.report is None:
      return {}
    return {
        "age_s": round(now - self.sent_at, 3),
        "offered_since": sum(o.tasks for o in self._offers.values()),
        "put_off_despite_room": [
            queue
            for queue, until in self._contradicted_until.items()
            if until > now
        ],
        "services": {
            s.service: dataclasses.asdict(s) for s in self.report.services
        },
    }

  def _forget_old(self, now: float):
    """Drops offers and times that are out of date, which bounds the state."""
    oldest = now - shardchoice.FREE_REPORT_S
    self._offers = {k: o for k, o in self._offers.items() if o.at > oldest}
    self._contradicted_until = {
        queue: until
        for queue, until in self._contradicted_until.items()
        if until > now
    }


def demand(job: model.Job) -> shardchoice.Demand:
  """Returns what a job's first tasks need."""
  steps = _first_steps(job)
  longest = max(steps, key=lambda s: s.estimate_ms)
  return shardchoice.Demand(
      job.id,
      job.service,
      longest.need.cpu,
      sum(s.count for s in steps),
      job.priority,
  )


def _first_steps(job: model.Job) -> list[model.Step]:
  return [s for s in job.steps if not s.after]
