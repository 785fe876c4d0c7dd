"""Work that waiting jobs make for a holder of many endpoints."""

from fescueturn.scheduler import endpointstate
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import offers
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler import runcontrol
from tests import test_placing


def test_waiting_jobs_do_not_look_at_all_endpoints_while_all_are_busy(
    monkeypatch,
):
  owner = ownerstate.Owner(model.Shard("dc"), 1, 0.0, 0.0, frozenset())
  owner.now = 5.0
  for number in range(300):
    info = test_placing.endpoint(f"e{number}")
    owner.endpoints[info.id] = test_placing.known_record(info)
    test_placing.add_run(owner.endpoints[info.id], 64000, number)
  step = model.Step(4, model.Resources(1000, 64, 0), 100)
  for number in range(3):
    job = model.Job(f"w{number}", "s", "", (step,), 1, 3.0, 1000, "q")
    key = linkmessages.JobKey(linkmessages.HostProcess("h", "b"), job.id)
    offer = linkmessages.Offered(
        owner.shard, key, job, 0.0, 3.0, False, 1, False
    )
    offers.add_job(owner, offer)
  looked_at = []
  usable = endpointstate.EndpointRecord.usable
  monkeypatch.setattr(
      endpointstate.EndpointRecord,
      "usable",
      lambda record, now: looked_at.append(record) or usable(record, now),
  )
  runcontrol.start_waiting_tasks(owner)
  assert not looked_at
