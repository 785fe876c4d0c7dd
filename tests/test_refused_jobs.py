"""Jobs that are refused while their offers, ends and withdrawals cross."""

import random

import pytest

from fescueturn.scheduler import events
from fescueturn.scheduler import jobdispatch
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from tests import fleets

LOAD_S = 12
LOAD_PER_S = 190
END_S = 18


def fill(emulation, data_centre: str, declared_s: float, run_s: float):
  """Occupies all endpoints of a data centre."""
  host = fleets.hosts_in(emulation, data_centre)[0]
  job = fleets.job(f"fill-{data_centre}", 18, int(1000 * declared_s), 9000)
  emulation.submit(host.name, job, [run_s] * 18, 3 * run_s)


def queue_job(emulation):
  """Submits a job that has to wait; returns its holder and its request."""
  emulation.clock.run_until(3.0)
  for data_centre in fleets.DATA_CENTRES:
    fill(emulation, data_centre, declared_s=1.0, run_s=1.3)
  emulation.clock.run_until(3.4)
  submitter = fleets.hosts_in(emulation, "b")[0]
  job = fleets.job("j", 2, 200, 600)
  request = emulation.submit(submitter.name, job, [0.2] * 2, 4.0)
  emulation.clock.run_until(3.45)
  holders = [
      host
      for host in emulation.hosts.values()
      for owner in host.state.owners.values()
      if "j" in owner.by_id
  ]
  assert len(holders) == 1
  return holders[0], request


def freeze(emulation, host, seconds: float):
  """Suspends a holder that no host of its data centre can replace.

  A tick follows the messages that arrived meanwhile.
  """
  for other in fleets.hosts_in(emulation, host.data_centre):
    if other is not host:
      other.partitioned_from.add("store")
  host.frozen = True
  emulation.clock.run_until(emulation.clock.now + seconds)
  host.thaw()
  host.apply(events.Tick())


def test_job_refused_by_a_holder_that_stood_still_is_not_started_afterwards():
  emulation = fleets.fleet()
  holder, request = queue_job(emulation)
  freeze(emulation, holder, 0.7)
  emulation.clock.run_until(6.0)
  assert request in emulation.answers
  assert emulation.broken == []
  lines = [
      dict(line.fields) for line in holder.log if line.event == "job_resumed"
  ]
  assert [line["waiting"] for line in lines if line["job"] == "j"] == [2]


@pytest.mark.parametrize("seed", range(4))
def test_no_refused_job_runs_while_hosts_stand_still_under_overload(seed):
  emulation = fleets.fleet(seed=seed)
  hosts = list(emulation.hosts.values())
  requests = fleets.submit_load(emulation, hosts, LOAD_S, LOAD_PER_S)
  rng = random.Random(seed)
  for number in range(10):
    frozen = rng.sample(hosts, rng.choice((2, 3, 5)))
    start = 1.5 + number + rng.random() / 2
    for host in frozen:
      emulation.clock.at(start, lambda host=host: setattr(host, "frozen", True))
      emulation.clock.at(start + rng.uniform(0.3, 0.8), host.thaw)
  emulation.clock.run_until(END_S)
  outcomes = fleets.count_outcomes(
      emulation, [r for r in requests if r in emulation.answers]
  )
  assert outcomes[model.Outcome.NOT_RUN] > 50
  assert emulation.broken == []


def offer_twice(emulation):
  """Offers a job twice to its holder, which answers neither offer."""
  owner = fleets.owner_of(emulation, "a")
  host = fleets.other_host(emulation, owner)
  host.partitioned_from.add(owner.name)
  request = emulation.submit(host.name, fleets.job("j", 2, 200), [0.2] * 2)
  (record,) = host.state.coordinator.jobs.values()
  jobdispatch.offer(host.state.coordinator, record, record.shard, resumed=True)
  return host, record, request


def end_job(host, record, outcome: model.Outcome, number: int):
  """Delivers a holder's message that the job has ended."""
  message = linkmessages.JobEnded(record.key, outcome, "why", number)
  host.apply(
      events.HolderMessageReceived(record.shard, record.process, message)
  )


@pytest.mark.parametrize(
    "outcome", [model.Outcome.NOT_RUN, model.Outcome.UNKNOWN]
)
@pytest.mark.parametrize("number", [0, 1])
def test_end_of_an_earlier_offer_without_a_result_ends_no_job(number, outcome):
  emulation = fleets.fleet()
  host, record, request = offer_twice(emulation)
  end_job(host, record, outcome, number)
  assert request not in emulation.answers
  end_job(host, record, outcome, 2)
  assert emulation.answers[request].answer.outcome is outcome


def test_end_without_a_number_ends_an_accepted_job():
  """A holder of an earlier version numbers no ends."""
  emulation = fleets.fleet()
  host, record, request = offer_twice(emulation)
  accepted = linkmessages.Accepted(record.key, 2)
  host.apply(
      events.HolderMessageReceived(record.shard, record.process, accepted)
  )
  end_job(host, record, model.Outcome.NOT_RUN, 0)
  assert emulation.answers[request].answer.outcome is model.Outcome.NOT_RUN


@pytest.mark.parametrize("number", [0, 1])
def test_result_of_an_earlier_offer_is_delivered_and_the_last_withdrawn(number):
  emulation = fleets.fleet()
  host, record, request = offer_twice(emulation)
  end_job(host, record, model.Outcome.DONE, number)
  assert emulation.answers[request].answer.outcome is model.Outcome.DONE
  (withdrawal,) = host.state.coordinator.withdrawals.values()
  assert withdrawal.message.key == record.key


def test_a_job_counts_for_the_demand_of_the_first_holder_only():
  emulation = fleets.fleet()
  owner = fleets.owner_of(emulation, "a")
  host = fleets.other_host(emulation, owner)
  job = fleets.job("wide", 20, 400, 5000)
  emulation.submit(host.name, job, [0.4] * 20, 8.0)
  emulation.submit(host.name, fleets.job("next", 2, 400), [0.4] * 2, 8.0)
  emulation.clock.run_until(2.0)
  demanded = {
      data_centre: shard_owner.demand.jobs_of(job.queue, emulation.clock.now)
      for data_centre in fleets.DATA_CENTRES
      for shard_owner in fleets.owner_of(
          emulation, data_centre
      ).state.owners.values()
  }
  assert demanded["a"] > 1.0
  assert demanded["b"] == demanded["c"] == 0.0
