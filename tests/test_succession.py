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
  others = [h for h in fleets.hosts_in(emulation, "a") if h is not earlier]
  while not any(h.state.owners for h in others):
    emulation.clock.run_until(emulation.clock.now + 0.0005)
  cut_off(emulation, "a")
  (holder,) = [h for h in others if h.state.owners]
  return holder


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
  emulation.clock.run_until(6.0)
  holder = fleets.owner_of(emulation, "a")
  other = fleets.other_host(emulation, holder)
  holder.apply(events.DrainStarted())
  requests = []
  for number in range(20):
    emulation.clock.run_until(6.2 + number * 0.1)
    requests.append(submit(emulation, other, f"j{number}"))
  emulation.clock.run_until(9.5)
  assert {outcome(emulation, r) for r in requests} == {model.Outcome.DONE}
  assert not holder.state.idle
  assert len(lines(emulation, "release_put_off")) == 1
  assert not lines(emulation, "shard_released"), "a late release frees it"
  cut_off(emulation, "a", restored=True)
  emulation.clock.run_until(12.0)
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


# Grants of shards while the store is away.


def stop_in_outage(emulation, holder, at: float, end: bool = True):
  """Stops a holder as the platform does, while the store doesn't answer."""
  emulation.clock.at(at, lambda: holder.apply(events.DrainStarted()))
  emulation.clock.at(at + 4.6, lambda: holder.apply(events.DrainEnding()))
  if end:
    emulation.clock.at(at + 5.3, lambda: holder.apply(events.ProcessEnding()))
    emulation.clock.at(at + 5.45, lambda: emulation.kill(holder.name))


def submit_until(emulation, host, until: float) -> list[int]:
  requests = []
  while emulation.clock.now < until:
    requests.append(submit(emulation, host, f"g{emulation.clock.now}"))
    emulation.clock.run_until(emulation.clock.now + 0.1)
  return requests


@pytest.mark.parametrize("seed", range(3))
def test_stops_in_turn_while_the_store_is_away_keep_the_shard_served(seed):
  emulation = fleets.fleet(hosts=5, seed=seed)
  emulation.clock.run_until(4.0)
  emulation.store_up = False
  emulation.clock.run_until(6.0)
  first = fleets.owner_of(emulation, "a")
  stop_in_outage(emulation, first, 6.0)
  emulation.clock.run_until(11.0)
  second = fleets.owner_of(emulation, "a")
  assert second is not first
  stop_in_outage(emulation, second, 12.0)
  caller_host = next(
      h
      for h in fleets.hosts_in(emulation, "a")
      if h.up and not h.state.owners and not h.state.draining
  )
  requests = submit_until(emulation, caller_host, 18.0)
  third = fleets.owner_of(emulation, "a")
  assert third not in (first, second)
  emulation.store_up = True
  requests += submit_until(emulation, caller_host, 22.0)
  emulation.clock.run_until(24.0)
  outcomes = [outcome(emulation, r) for r in requests]
  assert outcomes.count(model.Outcome.DONE) > 0.97 * len(requests)
  (owner,) = fleets.owner_of(emulation, "a").state.owners.values()
  assert not owner.by_grant
  assert owner.kept_records.loaded
  assert emulation.broken == []


def test_hosts_of_other_data_centres_turn_to_the_host_that_got_the_grant():
  emulation = fleets.fleet()
  emulation.clock.run_until(4.0)
  emulation.store_up = False
  emulation.clock.run_until(6.0)
  stop_in_outage(emulation, fleets.owner_of(emulation, "a"), 6.0)
  emulation.clock.run_until(12.0)
  holder = fleets.owner_of(emulation, "a")
  for host in emulation.hosts.values():
    if host.up:
      record = host.state.coordinator.holders[SHARD]
      assert record.holder.host == holder.name
      assert not record.lost


def test_holder_fenced_off_before_it_hears_of_its_grant_still_tells_others():
  emulation = fleets.fleet()
  emulation.clock.run_until(4.0)
  emulation.store_up = False
  holder = fleets.owner_of(emulation, "a")
  stop_in_outage(emulation, holder, 6.0, end=False)
  emulation.clock.run_until(10.599)
  holder.state.owners[SHARD].fenced = True
  emulation.clock.run_until(12.0)
  heir = fleets.owner_of(emulation, "a")
  assert heir is not holder
  for host in emulation.hosts.values():
    assert host.state.coordinator.holders[SHARD].holder.host == heir.name


def test_claim_in_the_store_wins_over_a_grant():
  """The granting host and the one that gets the grant are cut off together."""
  emulation = fleets.fleet(hosts=5)
  emulation.clock.run_until(4.0)
  hosts = fleets.hosts_in(emulation, "a")
  holder = fleets.owner_of(emulation, "a")
  heir = fleets.other_host(emulation, holder)
  for host in (holder, heir):
    host.partitioned_from |= {"store", *emulation.hosts} - {
        holder.name,
        heir.name,
    }
  holder.apply(events.DrainStarted())
  emulation.clock.run_until(5.7)  # The others have claimed the shard by now.
  assert [h for h in hosts if h.state.owners and h not in (holder, heir)]
  holder.apply(events.DrainEnding())
  emulation.clock.run_until(7.0)
  fences = {h.state.owners[SHARD].fence for h in hosts if h.state.owners}
  assert len(fences) == sum(bool(h.state.owners) for h in hosts)
  for host in (holder, heir):
    host.partitioned_from.clear()
  emulation.clock.run_until(9.0)
  assert fleets.owner_of(emulation, "a") not in (holder, heir)
  assert emulation.broken == []


def test_host_with_a_grant_claims_the_shard_once_the_store_answers():
  emulation = fleets.fleet()
  emulation.clock.run_until(4.0)
  emulation.store_up = False
  stop_in_outage(emulation, fleets.owner_of(emulation, "a"), 6.0, end=False)
  emulation.clock.run_until(11.0)
  holder = fleets.owner_of(emulation, "a")
  assert holder.state.owners[SHARD].by_grant
  holder._next_poll_at = 13.0  # It has just failed to read the list.
  emulation.store_up = True
  while holder.state.owners[SHARD].by_grant:
    emulation.clock.run_until(emulation.clock.now + 0.01)
    assert emulation.clock.now < 11.6
  emulation.clock.run_until(emulation.clock.now + 0.12)
  request = submit(emulation, holder, "after")
  emulation.clock.run_until(emulation.clock.now + 0.5)
  assert outcome(emulation, request) is model.Outcome.DONE
  ran_in = {
      endpoint.info.data_centre
      for endpoint in emulation.endpoints.values()
      for run in endpoint.starts
      if run.task.job_id == "after"
  }
  assert ran_in == {"a"}
  emulation.clock.run_until(12.0)
  (owner,) = fleets.owner_of(emulation, "a").state.owners.values()
  assert not owner.by_grant


@pytest.mark.parametrize("seed", range(5))
def test_second_of_two_grants_lets_no_task_run_twice(seed):
  """The first host with a grant is cut off, and claims the shard afterwards."""
  emulation = fleets.fleet(hosts=5, seed=seed)
  emulation.clock.run_until(4.0)
  emulation.store_up = False
  holder = fleets.owner_of(emulation, "a")
  emulation.clock.run_until(6.0)
  holder.apply(events.DrainStarted())
  holder.apply(events.DrainEnding())
  (granted,) = lines(emulation, "shard_granted")
  first = emulation.hosts[dict(granted.fields)["to"]]
  first.partitioned_from = {"store", *emulation.hosts, *emulation.endpoints}
  first.partitioned_from.discard(first.name)
  emulation.clock.run_until(7.0)
  assert first.state.owners
  (second,) = (
      h
      for h in fleets.hosts_in(emulation, "a")
      if h.state.owners and h not in (first, holder)
  )
  caller_host = next(
      h
      for h in fleets.hosts_in(emulation, "a")
      if h not in (first, second, holder)
  )
  emulation.submit(
      caller_host.name, fleets.job("j", 3, 4000), [4.0] * 3, deadline_s=9.0
  )
  emulation.clock.run_until(8.0)
  assert sum(len(e.running) for e in emulation.endpoints.values()) == 3
  for host in fleets.hosts_in(emulation, "a"):
    is_first = host is first  # No endpoint fences it off before its claim.
    host.partitioned_from = set(emulation.endpoints) if is_first else {"store"}
  emulation.store_up = True
  fence = first.state.owners[SHARD].fence
  while first.state.owners[SHARD].fence == fence:
    emulation.clock.run_until(emulation.clock.now + 0.01)
    assert emulation.clock.now < 9.0
  for host in fleets.hosts_in(emulation, "a"):
    host.partitioned_from.clear()
  emulation.clock.run_until(8.5)
  assert not first.state.owners[SHARD].by_grant
  emulation.clock.run_until(16.0)
  assert emulation.broken == []
  assert outcome(emulation, 1) is model.Outcome.DONE


def test_late_grant_is_ignored_once_another_host_holds_the_shard():
  emulation = fleets.fleet()
  emulation.clock.run_until(4.0)
  earlier = fleets.owner_of(emulation, "a")
  fence = earlier.state.owners[SHARD].fence
  earlier.apply(events.DrainStarted())
  emulation.clock.run_until(5.0)
  holder = fleets.owner_of(emulation, "a")
  other = next(
      h for h in fleets.hosts_in(emulation, "a") if h not in (earlier, holder)
  )
  grant = linkmessages.ShardGranted(fence + 1, fence + 3)
  other.apply(events.HolderMessageReceived(SHARD, earlier.process, grant))
  assert not other.state.owners


@hypothesis.given(st.integers(1, 50), st.integers(0, 60), st.integers(1, 8))
def test_ranges_of_grants_never_overlap(first, count, times):
  rest = succession.FenceRange(first, first + count - 1)
  used = []
  for _ in range(times):
    if not rest:
      break
    granted, rest = rest.split()
    assert granted
    used += range(granted.first, granted.limit + 1)
  used += range(rest.first, rest.limit + 1)
  assert sorted(used) == list(range(first, first + count))


@pytest.mark.parametrize("lag_s", [0.0, 0.02, 0.2, 0.6])
@pytest.mark.parametrize("seed", range(3))
def test_named_successor_wins_whatever_it_hears_first(seed, lag_s):
  """The holder's word that it stood down may come before the store's report."""
  emulation = fleets.fleet(seed=seed)
  emulation.clock.run_until(4.0)
  earlier = fleets.owner_of(emulation, "a")
  for host in fleets.hosts_in(emulation, "a"):
    host.watch_lag_s = lag_s
  earlier.watch_lag_s = 0.0
  earlier.apply(events.DrainStarted())
  (owner,) = earlier.state.owners.values()
  named = owner.successor
  stopped_at = emulation.clock.now
  others = [h for h in fleets.hosts_in(emulation, "a") if h is not earlier]
  while not any(h.state.owners for h in others):
    emulation.clock.run_until(emulation.clock.now + 0.001)
  assert emulation.clock.now - stopped_at < 0.1
  assert [h.process for h in others if h.state.owners] == [named]


@pytest.mark.parametrize("after_s", [k / 1000 for k in range(0, 20, 2)])
@pytest.mark.parametrize("is_cut", [True, False])
def test_data_centre_has_a_holder_at_each_moment_of_a_planned_stop(
    after_s, is_cut
):
  """The store is cut off, or turns slow, while the shard is handed over."""
  emulation = fleets.fleet(seed=2)
  emulation.clock.run_until(4.0)
  hosts = fleets.hosts_in(emulation, "a")
  fleets.owner_of(emulation, "a").apply(events.DrainStarted())
  emulation.clock.run_until(4.0 + after_s)
  if is_cut:
    cut_off(emulation, "a")
  else:
    emulation.store_delay_s = 0.18
  while emulation.clock.now < 7.0:
    assert any(h.state.owners for h in hosts), emulation.clock.now
    emulation.clock.run_until(emulation.clock.now + 0.002)
  cut_off(emulation, "a", restored=True)
  emulation.clock.run_until(12.0)
  assert emulation.broken == []
