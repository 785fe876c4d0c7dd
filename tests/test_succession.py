"""A data centre whose holder stops while the store is slow or away."""

import hypothesis
import pytest
from hypothesis import strategies as st

from fescueturn import settings
from fescueturn.scheduler import endpointlist
from fescueturn.scheduler import events
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import succession
from tests import fleets
from tests import test_kept_jobs

SHARD = model.Shard("a")


def cut_off(emulation, data_centre: str, restored: bool = False):
  """Cuts a data centre off from the store and the others, or ends the cut."""
  hosts = fleets.hosts_in(emulation, data_centre)
  others = {"store", *emulation.hosts, *emulation.endpoints}
  others -= {h.name for h in hosts}
  others -= {
      name
      for name, e in emulation.endpoints.items()
      if e.info.data_centre == data_centre
  }
  for host in hosts:
    host.partitioned_from = set() if restored else set(others)


def new_holder_without_store(emulation):
  """Replaces the holder of a; the next one loses the store with its claim."""
  earlier = fleets.owner_of(emulation, "a")
  earlier.apply(events.DrainStarted())
  while fleets.owner_of(emulation, "a") is earlier or earlier.state.owners:
    emulation.clock.run_until(emulation.clock.now + 0.0005)
    if not any(h.state.owners for h in fleets.hosts_in(emulation, "a")):
      cut_off_after_claim(emulation)
  return fleets.owner_of(emulation, "a")


def cut_off_after_claim(emulation):
  while not any(h.state.owners for h in fleets.hosts_in(emulation, "a")):
    emulation.clock.run_until(emulation.clock.now + 0.0005)
  cut_off(emulation, "a")


def submit(emulation, host, name: str, run_s: float = 0.1):
  job = fleets.job(name, 2, int(run_s * 1000))
  return emulation.submit(host.name, job, [run_s] * 2)


def outcome(emulation, request) -> model.Outcome | None:
  answer = emulation.answers.get(request)
  return answer.answer.outcome if answer else None


def lines(emulation, event: str, data_centre: str = "a"):
  return [
      line
      for host in fleets.hosts_in(emulation, data_centre)
      for line in host.log
      if line.event == event
  ]


def test_new_holder_that_loses_the_store_serves_from_the_list_it_inherited():
  emulation = fleets.fleet()
  emulation.clock.run_until(4.0)
  holder = new_holder_without_store(emulation)
  (owner,) = holder.state.owners.values()
  assert owner.listed_at is None
  emulation.clock.run_until(emulation.clock.now + 0.2)
  other = fleets.other_host(emulation, holder)
  requests = [submit(emulation, h, f"j-{h.name}") for h in (holder, other)]
  emulation.clock.run_until(emulation.clock.now + 0.5)
  assert [outcome(emulation, r) for r in requests] == [model.Outcome.DONE] * 2
  emulation.clock.run_until(emulation.clock.now + 3.0)
  request = submit(emulation, other, "later")
  cut_off(emulation, "a", restored=True)
  emulation.clock.run_until(emulation.clock.now + 1.5)
  assert outcome(emulation, request) is model.Outcome.DONE
  assert owner.listed_at is not None
  assert emulation.broken == []


def test_new_holder_starts_no_kept_job_before_it_has_read_the_store():
  emulation = fleets.fleet()
  emulation.clock.run_until(4.0)
  kept_job = test_kept_jobs.job("k", 2, 4000)
  submitter = fleets.other_host(emulation, fleets.owner_of(emulation, "a"))
  test_kept_jobs.submit(emulation, submitter.name, kept_job)
  emulation.clock.run_until(4.1)
  emulation.kept_load_delay_s = 9.0
  new_holder_without_store(emulation)
  cut_at = emulation.clock.now
  emulation.clock.run_until(cut_at + 5.0)
  assert lines(emulation, "list_inherited")
  assert not any(e.running for e in emulation.endpoints.values())
  emulation.kept_load_delay_s = 0.01
  cut_off(emulation, "a", restored=True)
  emulation.clock.run_until(cut_at + 16.0)
  assert emulation.broken == []
  assert {t for t in emulation.acknowledged_done if t.job_id == "k"}


@pytest.mark.parametrize("seed", range(3))
def test_planned_stop_of_a_cut_off_holder_keeps_the_data_centre_served(seed):
  emulation = fleets.fleet(seed=seed)
  emulation.clock.run_until(4.0)
  cut_off(emulation, "a")
  emulation.clock.run_until(4.5)
  holder = fleets.owner_of(emulation, "a")
  other = fleets.other_host(emulation, holder)
  holder.apply(events.DrainStarted())
  requests = []
  for number in range(20):
    emulation.clock.run_until(4.7 + number * 0.1)
    requests.append(submit(emulation, other, f"j{number}"))
  emulation.clock.run_until(8.0)
  assert {outcome(emulation, r) for r in requests} == {model.Outcome.DONE}
  assert not holder.state.idle
  cut_off(emulation, "a", restored=True)
  emulation.clock.run_until(10.5)
  assert fleets.owner_of(emulation, "a") is not holder
  assert holder.state.idle
  assert emulation.broken == []


def test_holder_that_stops_beside_draining_hosts_serves_until_its_end():
  emulation = fleets.fleet()
  emulation.clock.run_until(3.0)
  holder = fleets.owner_of(emulation, "a")
  others = [h for h in fleets.hosts_in(emulation, "a") if h is not holder]
  for host in others:
    host.apply(events.DrainStarted())
  emulation.clock.run_until(3.3)
  holder.apply(events.DrainStarted())
  emulation.clock.run_until(6.0)
  assert fleets.owner_of(emulation, "a") is holder
  assert submit(emulation, others[0], "j")
  emulation.clock.run_until(6.5)
  assert outcome(emulation, 1) is model.Outcome.DONE
  holder.apply(events.ProcessEnding())
  assert not holder.state.owners
  emulation.clock.run_until(8.0)
  assert emulation.broken == []


def test_shard_goes_to_the_host_that_was_started_last():
  emulation = fleets.fleet(hosts=6)
  emulation.clock.run_until(6.0)
  holder = fleets.owner_of(emulation, "a")
  young = fleets.other_host(emulation, holder)
  emulation.kill(young.name)
  emulation.clock.run_until(6.5)
  young = emulation.add_host(young.name, "a")
  emulation.clock.run_until(9.0)
  holder.apply(events.DrainStarted())
  emulation.clock.run_until(9.3)
  assert fleets.owner_of(emulation, "a") is young


@pytest.mark.parametrize("seed", range(3))
def test_slow_store_leaves_no_time_without_a_holder_in_a_planned_stop(seed):
  emulation = fleets.fleet(hosts=8, seed=seed)
  emulation.clock.run_until(4.0)
  emulation.store_delay_s = 0.18
  emulation.clock.run_until(6.0)
  hosts = fleets.hosts_in(emulation, "a")
  holder = fleets.owner_of(emulation, "a")
  other = fleets.other_host(emulation, holder)
  holder.apply(events.DrainStarted())
  claims_before = len(lines(emulation, "shard_taken"))
  while emulation.clock.now < 8.0:
    emulation.clock.run_until(emulation.clock.now + 0.01)
    assert any(h.state.owners for h in hosts), emulation.clock.now
    if int(emulation.clock.now * 100) % 10 == 0:
      submit(emulation, other, f"j{emulation.clock.now}")
  emulation.clock.run_until(10.0)
  assert fleets.owner_of(emulation, "a") is not holder
  assert len(lines(emulation, "shard_taken")) == claims_before + 1
  outcomes = {a.answer.outcome for a in emulation.answers.values()}
  assert outcomes == {model.Outcome.DONE}
  assert emulation.broken == []


# Plain decisions.


def local_host(uptime_s, can_hold=True, draining=False, pinged_at=10.0):
  return succession.LocalHost(pinged_at, can_hold, draining, uptime_s)


def process(name: str) -> linkmessages.HostProcess:
  return linkmessages.HostProcess(name, "boot")


@pytest.mark.parametrize(
    ("hosts", "chosen"),
    [
        ({}, None),
        ({"x": local_host(50, draining=True)}, None),
        ({"x": local_host(50, pinged_at=9.0)}, None),
        ({"x": local_host(50), "y": local_host(9)}, "y"),
        ({"x": local_host(50), "y": local_host(0.3)}, "x"),
        ({"x": local_host(50), "y": local_host(9, can_hold=False)}, "x"),
        ({"x": local_host(50, can_hold=False)}, "x"),
        ({"x": local_host(50), "y": local_host(0.0)}, "x"),
    ],
)
def test_successor_is_live_roomy_and_started_last(hosts, chosen):
  named = {process(name): host for name, host in hosts.items()}
  successor = succession.choose_successor(named, 10.1)
  assert (successor.host if successor else None) == chosen


@pytest.mark.parametrize(
    ("age_s", "store_silent_s", "usable"),
    [(1.4, 0.0, True), (1.6, 0.1, False), (1.6, 0.4, True), (11.0, 5.0, False)],
)
def test_old_copy_is_used_only_while_the_store_does_not_answer(
    age_s, store_silent_s, usable
):
  known = endpointlist.KnownList((), 20.0 - age_s)
  assert known.usable(20.0, store_silent_s) is usable


@hypothesis.given(
    st.lists(st.floats(0.01, 2.0), max_size=60), st.integers(1, 200)
)
def test_traffic_of_a_list_that_always_changes_is_bounded(gaps, count):
  shared = endpointlist.SharedList()
  now = 0.0
  sent = 0
  for number, gap_s in enumerate(gaps):
    now += gap_s
    endpoints = tuple(
        model.Endpoint(
            f"{number}.{index}",
            settings.Address("10.0.0.1", 1),
            "s",
            "a",
            8,
            False,
            fleets.NEED,
        )
        for index in range(count)
    )
    shared.update(endpoints, now)
    ping = linkmessages.Ping(SHARD, process("x"), now, 0, list_version=0)
    sent += shared.message_for(ping, now) is not None
  list_bytes = count * endpointlist.ENDPOINT_BYTES
  spent = sent * list_bytes
  assert spent <= list_bytes + now * endpointlist.BYTES_PER_S + 1e-6
