"""Cancellations of kept jobs whose holder is lost, at a host's HTTP interface.

Guards against a cancellation that waits for a lost holder until its caller's
deadline, although another shard has taken the job over meanwhile.
"""

import curio
import pytest

from fescueturn import errors
from fescueturn import httpio
from fescueturn.platform import callers
from fescueturn.platform import jobstore
from fescueturn.scheduler import events
from fescueturn.scheduler import model

LOST = model.Shard("north")
NEXT = model.Shard("south")
JOB_ID = "00000000000000a1"
OPEN = model.KeptJobState.OPEN


class JobStore:
  """Names a job's shard or state; each is read once, the last for ever."""

  def __init__(self, *found):
    self._found = list(found)

  async def get_status(self, job_id):
    found = self._found[0] if len(self._found) == 1 else self._found.pop(0)
    if isinstance(found, Exception):
      raise found
    if isinstance(found, model.Shard):
      return jobstore.JobStatus(OPEN, found)
    return found and jobstore.JobStatus(found, LOST)


class Host:
  """A host at which only the holder of `NEXT` answers."""

  def __init__(self):
    self.now = 0.0
    self.asked = []

  async def query_kept_job(self, job_id, shard, cancel, deadline_s, trace_id):
    self.asked.append((shard, round(deadline_s, 3)))
    if shard == NEXT:
      return events.Answer(1, model.Outcome.CANCELLED)
    self.now += deadline_s
    return events.Answer(1, model.Outcome.UNKNOWN, reason="deadline")


def cancel(monkeypatch, job_store, deadline_ms="3000"):
  host = Host()

  async def sleep(seconds):
    host.now += seconds

  monkeypatch.setattr(curio, "sleep", sleep)
  http = callers.CallerHttp.__new__(callers.CallerHttp)
  http._host, http._job_store, http._closing = host, job_store, False
  http._now = lambda: host.now
  host.state = type("State", (), {"coordinator": type("C", (), {"jobs": {}})})
  headers = {"deadline-ms": deadline_ms}
  request = httpio.Request("DELETE", f"/q/{JOB_ID}", headers, b"")
  response = curio.run(http._cancel, request, JOB_ID)
  return response.status, host


def test_cancellation_goes_to_the_shard_that_takes_the_job_over(monkeypatch):
  status, host = cancel(monkeypatch, JobStore(LOST, LOST, NEXT))
  assert status == 200
  assert host.asked == [(LOST, 1.0), (LOST, 1.0), (NEXT, 0.8)]


def test_cancellation_of_a_lost_holders_job_ends_by_its_deadline(monkeypatch):
  status, host = cancel(monkeypatch, JobStore(LOST), "2500")
  assert status == 503
  assert host.now <= 2.5


@pytest.mark.parametrize(
    ("found", "status"),
    [
        (model.KeptJobState.DONE, 410),
        (model.KeptJobState.CANCELLED, 200),
        (None, 410),
        (errors.KvError("away"), 503),
    ],
)
def test_what_the_store_says_later_is_answered(monkeypatch, found, status):
  assert cancel(monkeypatch, JobStore(LOST, found))[0] == status
