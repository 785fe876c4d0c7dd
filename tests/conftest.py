import pytest

from fescueturn import events
from fescueturn import messages
from fescueturn import reducer
from fescueturn import settings
from tests import deployments

SPELLER = settings.TeamSettings(
    service="speller", max_tasks_per_job=5, deadline_ms=1000
)


def make_job(
    key="k1", tasks=2, team="altamaha", idempotent=True, payload="hello"
):
  task_list = tuple(
      messages.Task(f"t{i}", "spell", payload, 100, idempotent)
      for i in range(tasks)
  )
  draft = messages.Job(team, f"job-{key}", key, task_list, "")
  body = messages.job_to_json(draft)
  return messages.Job(
      team, draft.job_id, key, task_list, messages.fingerprint(body)
  )


def endpoint(name="e1", slots=2, leaving=False, services=("speller",)):
  return events.EndpointInfo(
      name, settings.Address("127.0.0.1", 1), services, slots, leaving
  )


def member(name, boot="", lease=1, leaving=False):
  address = settings.Address("127.0.0.1", 2)
  return events.Member(name, address, boot or f"boot-{name}", lease, leaving)


@pytest.fixture
def state():
  """State of a single entry host in its data centre, one team, 2 endpoints."""
  s = reducer.new_state("entry-1", "boot-1")
  reducer.reduce(s, events.LeaseRenewed(1, until=1000.0))
  reducer.reduce(s, events.MembersChanged((member("entry-1", "boot-1"),)))
  reducer.reduce(s, events.TeamChanged("altamaha", 5, SPELLER))
  reducer.reduce(s, events.EndpointsChanged((endpoint("e1"), endpoint("e2"))))
  return s


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
  """Entry hosts as processes, connected to a stand-in of the platform."""
  running = deployments.Deployment(tmp_path_factory.mktemp("role"))
  yield running
  running.close()
