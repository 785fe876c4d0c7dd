"""Room reports between an emulated fleet's hosts, under load and failure."""

import collections

import pytest

from fescueturn.emulator import load
from fescueturn.scheduler import events
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import ownerroom
from tests import fleets

# Jobs a second that the endpoints of a plan's fleet can serve.
CAPACITY_PER_S = 100
SHARD_B, SHARD_C = model.Shard("b"), model.Shard("c")


def plan(factor: float, seed: int, **fields) -> load.Plan:
  rate = factor * CAPACITY_PER_S
  return load.Plan(
      seed=seed, seconds=8, jobs_per_s=rate, urgencies=True, **fields
  )


def lines(fleet, event: str) -> list[dict]:
  return [
      dict(line.fields)
      for host in fleet.hosts.values()
      for line in host.log
      if line.event == event
  ]


def offers_by_job(fleet) -> dict[str, list[dict]]:
  offers = collections.defaultdict(list)
  for line in lines(fleet, "job_offered"):
    offers[line["job"]].append(line)
  return offers


def count(fleet, name: str) -> int:
  return sum(h.state.coordinator.counters[name] for h in fleet.hosts.values())


def fill(fleet, data_centre: str, run_s: float = 0.5, name: str = "fill"):
  """Occupies all endpoints of a data centre."""
  for half in range(2):
    job = fleets.job(f"{name}-{data_centre}{half}", 9, int(1000 * run_s))
    fleet.submit(f"{data_centre}0", job, [run_s] * 9, 3.5)


def started_in(fleet, job_id: str) -> set[str]:
  return {
      endpoint.info.data_centre
      for endpoint in fleet.endpoints.values()
      for run in endpoint.starts
      if run.task.job_id == job_id
  }


@pytest.mark.parametrize("factor", (0.8, 1.0, 1.3, 2.0, 3.0))
def test_no_job_is_refused_before_each_holder_has_declined_it(factor):
  fleet, report = load.simulate_fleet(plan(factor, seed=1))
  assert report.broken == ()
  offers = offers_by_job(fleet)
  declined = collections.defaultdict(set)
  for host in fleet.hosts.values():
    for line in host.log:
      fields = dict(line.fields)
      if line.event == "job_declined":
        declined[fields["job"]].add(host.data_centre)
  for answered in lines(fleet, "job_answered"):
    if answered["reason"] == "no_room":
      assert len(declined[answered["job"]]) == 3, offers[answered["job"]]
      assert answered["room"] != "unknown" and answered["retry_after_s"] >= 1


@pytest.mark.parametrize("factor", (2.0, 3.0))
def test_reports_save_offers_when_all_data_centres_are_full(factor):
  """Asking each holder in turn takes 3.4 to 3.5 offers a job."""
  fleet, _ = load.simulate_fleet(plan(factor, seed=2))
  assert count(fleet, "offers") < 3.0 * count(fleet, "jobs")


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_burst_in_one_data_centre_is_served_by_the_others(seed):
  burst = load.Burst(2.0, 4.0, 3.0, data_centre="dc0")
  fleet, report = load.simulate_fleet(plan(0.45, seed, bursts=(burst,)))
  asked = sum(kind.asked for kind in report.kinds)
  # Some long tasks are estimated to take longer than their callers wait.
  shorter = [kind for kind in report.kinds if kind.kind != "long"]
  assert sum(kind.refused_beside_room for kind in shorter) == 0
  assert sum(kind.in_time for kind in report.kinds) > 0.95 * asked
  assert count(fleet, "offers") < 1.7 * count(fleet, "jobs")


def test_holders_are_not_asked_for_their_room_while_jobs_start_at_once():
  fleet = fleets.fleet()
  for number in range(5):
    job = fleets.job(f"j{number}", 2, 100)
    fleet.submit("a0", job, [0.1] * 2)
    fleet.clock.run_until(fleet.clock.now + 0.5)
  for host in fleet.hosts.values():
    for holder in host.state.coordinator.holders.values():
      assert holder.room.report is None
  assert count(fleet, "offers") == count(fleet, "jobs")


def learn_rooms(fleet):
  """Lets a0 learn the rooms of all data centres while a is full."""
  fill(fleet, "a", 3.0)
  fleet.clock.run_until(fleet.clock.now + 0.05)
  fleet.submit("a0", fleets.job("probe", 1, 200), [0.2])
  fleet.clock.run_until(fleet.clock.now + 0.4)
  holders = fleet.hosts["a0"].state.coordinator.holders
  assert all(holder.room.report is not None for holder in holders.values())


def test_job_is_offered_at_first_where_the_reports_show_room():
  fleet = fleets.fleet()
  learn_rooms(fleet)
  fill(fleet, "b", 2.0)
  fleet.clock.run_until(fleet.clock.now + 0.6)
  # The first job is declined with a new report that shows that a is full.
  fleet.submit("a0", fleets.job("first", 1, 100), [0.1])
  fleet.clock.run_until(fleet.clock.now + 0.02)
  fleet.submit("a0", fleets.job("second", 1, 100), [0.1])
  fleet.clock.run_until(fleet.clock.now + 0.4)
  (only,) = offers_by_job(fleet)["second"]
  assert only["data_centre"] == "c" and only["chosen"] == "room"
  assert started_in(fleet, "second") == {"c"}


def test_link_that_falls_silent_while_room_is_told_delays_no_other_job():
  fleet = fleets.fleet()
  learn_rooms(fleet)
  b_hosts = {h.name for h in fleets.hosts_in(fleet, "b")}
  fleet.hosts["a0"].partitioned_from |= b_hosts
  fleet.clock.run_until(fleet.clock.now + 0.2)
  request = fleet.submit("a0", fleets.job("j", 2, 100), [0.1] * 2)
  fleet.clock.run_until(fleet.clock.now + 1.5)
  # If b was chosen before its silence was noticed, nothing may start twice.
  outcome = fleet.answers[request].answer.outcome
  assert outcome in (model.Outcome.DONE, model.Outcome.UNKNOWN)
  later = fleet.submit("a0", fleets.job("later", 2, 100), [0.1] * 2)
  fleet.clock.run_until(fleet.clock.now + 0.5)
  assert fleet.answers[later].answer.outcome is model.Outcome.DONE
  assert started_in(fleet, "later") <= {"a", "c"}
  assert fleet.broken == []


def test_holder_whose_report_promises_too_much_is_passed_over(monkeypatch):
  fleet = fleets.fleet()
  learn_rooms(fleet)
  fill(fleet, "b", 2.0)
  fleet.clock.run_until(fleet.clock.now + 0.05)
  (owner,) = fleets.owner_of(fleet, "b").state.owners.values()
  idle = fleets.owner_of(fleet, "c").state.owners[SHARD_C]
  true_report, promised = ownerroom.report, ownerroom.report(idle)
  monkeypatch.setattr(
      ownerroom,
      "report",
      lambda o: promised if o is owner else true_report(o),
  )
  coordinator = fleet.hosts["a0"].state.coordinator
  coordinator.holders[SHARD_B].room.update(promised, fleet.clock.now)
  coordinator.holders[SHARD_C].room.report = None
  for name in ("j1", "j2"):
    request = fleet.submit("a0", fleets.job(name, 2, 100), [0.1] * 2)
    fleet.clock.run_until(fleet.clock.now + 0.02)
    assert started_in(fleet, name) == {"c"}
  asked = [line["data_centre"] for line in offers_by_job(fleet)["j2"]]
  assert "b" not in asked
  fleet.clock.run_until(fleet.clock.now + 0.3)
  assert fleet.answers[request].answer.outcome is model.Outcome.DONE


def test_holders_of_an_earlier_version_are_asked_in_turn(monkeypatch):
  monkeypatch.setattr(ownerroom, "report", lambda owner: None)
  fleet = fleets.fleet()
  for data_centre, run_s in (("a", 0.2), ("b", 0.1), ("c", 0.2)):
    fill(fleet, data_centre, run_s)
  fleet.clock.run_until(fleet.clock.now + 0.05)
  request = fleet.submit("a0", fleets.job("j", 2, 200), [0.2] * 2)
  fleet.clock.run_until(fleet.clock.now + 1.0)
  asked = [line["data_centre"] for line in offers_by_job(fleet)["j"]]
  assert asked[0] == "a" and set(asked[:3]) == {"a", "b", "c"}
  assert asked[3:] == ["b"]
  assert fleet.answers[request].answer.outcome is model.Outcome.DONE


def test_last_holder_asked_is_not_offered_the_job_that_it_queues_again(
    monkeypatch,
):
  monkeypatch.setattr(ownerroom, "report", lambda owner: None)
  fleet = fleets.fleet()
  for data_centre, run_s in (("a", 0.2), ("b", 0.1), ("c", 0.2)):
    fill(fleet, data_centre, run_s)
  fleet.clock.run_until(fleet.clock.now + 0.05)
  request = fleet.submit("a0", fleets.job("last", 2, 200), [0.2] * 2)
  fleet.clock.run_until(fleet.clock.now + 1.0)
  asked = [line["data_centre"] for line in offers_by_job(fleet)["last"]]
  assert asked == ["a", "c", "b"]
  assert started_in(fleet, "last") == {"b"}
  assert fleet.answers[request].answer.outcome is model.Outcome.DONE


@pytest.mark.parametrize("jobs_per_s", (2, 60))
def test_only_holder_is_offered_each_job_once(jobs_per_s):
  """60 jobs a second are 1.8 times what one data centre's endpoints serve."""
  fleet, report = load.simulate_fleet(
      load.Plan(seed=1, seconds=3, jobs_per_s=jobs_per_s, data_centres=1)
  )
  assert report.broken == ()
  assert count(fleet, "offers") == count(fleet, "jobs")


def test_hosts_of_a_single_data_centre_ask_for_no_room_at_light_load():
  fleet, _ = load.simulate_fleet(
      load.Plan(seed=1, seconds=3, jobs_per_s=2, data_centres=1)
  )
  for host in fleet.hosts.values():
    for holder in host.state.coordinator.holders.values():
      assert holder.room.report is None


def test_coordinator_of_an_earlier_version_gets_no_room_message():
  fleet = fleets.fleet()
  holder = fleets.owner_of(fleet, "a")
  sent = []
  execute = fleet.execute
  fleet.execute = lambda host, effect: (
      sent.append(effect),
      execute(host, effect),
  )
  process = fleets.other_host(fleet, holder).process
  holder.apply(linkmessages.Ping(model.Shard("a"), process, 1.0))
  replies = [e for e in sent if isinstance(e, events.SendToCoordinator)]
  assert [type(e.message) for e in replies] == [linkmessages.Pong]


def test_next_holder_is_not_judged_by_the_report_of_the_last():
  fleet = fleets.fleet()
  learn_rooms(fleet)
  holders = fleet.hosts["a0"].state.coordinator.holders
  last = holders[SHARD_B]
  fleet.kill(fleets.owner_of(fleet, "b").name)
  while holders[SHARD_B] is last:
    fleet.clock.run_until(fleet.clock.now + 0.001)
    assert fleet.clock.now < 5
  assert holders[SHARD_B].room.report is None


def test_refused_caller_of_a_cut_off_host_is_told_the_short_delay():
  fleet = fleets.fleet()
  host = fleets.other_host(fleet, fleets.owner_of(fleet, "a"))
  host.partitioned_from |= {*fleet.hosts, "store"} - {host.name}
  fleet.clock.run_until(fleet.clock.now + 4.0)
  request = fleet.submit(host.name, fleets.job("j", 1, 100), [0.1])
  fleet.clock.run_until(fleet.clock.now + 0.5)
  answer = fleet.answers[request].answer
  assert answer.outcome is model.Outcome.NOT_RUN
  assert (answer.reason, answer.retry_after_s) == ("no_holder", 1)
