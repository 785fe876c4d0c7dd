"""Messages that a host reads late: it stood still, or its link was stalled.

A caller sends its job again 1.3 s after its connection broke. By then no run of
the first submission may be active, whatever old messages are still read.
"""

import pytest

from fescueturn.scheduler import events
from fescueturn.scheduler import linkcodec
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import messageage
from fescueturn.scheduler import model
from tests import fleets

RETURN_S = 1.3
SHARD = model.Shard("a")
PROCESS = linkmessages.HostProcess("a1", "boot")


def submit_long_job(emulation):
  """Submits a job that runs for seconds; returns it, its host and its holder."""
  owner = fleets.owner_of(emulation, "a")
  coordinator = fleets.other_host(emulation, owner)
  job = fleets.job("long", 2, 3000)
  emulation.submit(coordinator.name, job, [3.0] * 2, 6.0)
  emulation.clock.run_until(emulation.clock.now + 0.2)
  return job, coordinator, owner


def return_elsewhere(emulation, job, at: float):
  """Sends a job again, to a host of another data centre."""
  run_s = [job.steps[0].estimate_ms / 1000] * job.steps[0].count
  emulation.clock.at(at, lambda: emulation.submit("b0", job, run_s, 6.0))


def suspend(emulation, host, seconds: float):
  """Suspends a host now, whose clock doesn't count the time."""
  host.frozen = True

  def wake():
    host.clock_lag_s += seconds
    host.thaw()

  emulation.clock.after(seconds, wake)


@pytest.mark.parametrize("store_up", [True, False])
@pytest.mark.parametrize("frozen_s", [1.4, 2.0, 2.9])
@pytest.mark.parametrize("killed_after_s", [0.01, 0.15, 0.4, 1.0])
def test_holder_that_wakes_starts_no_task_for_old_pings_of_a_dead_coordinator(
    killed_after_s, frozen_s, store_up
):
  emulation = fleets.fleet()
  job, coordinator, owner = submit_long_job(emulation)
  emulation.store_up = store_up
  start = emulation.clock.now
  owner.frozen = True
  emulation.clock.at(start + frozen_s, owner.thaw)
  emulation.clock.run_until(start + killed_after_s)
  emulation.kill(coordinator.name)
  return_elsewhere(emulation, job, emulation.clock.now + RETURN_S)
  emulation.clock.run_until(start + 5.0)
  assert emulation.broken == []


@pytest.mark.parametrize("cut_after_s", [0.02, 0.3])
@pytest.mark.parametrize("frozen_s", [0.3, 0.5, 0.6, 0.7])
def test_holder_that_wakes_renews_no_lease_for_a_dead_coordinator(
    frozen_s, cut_after_s
):
  """No stop reaches the runs, which must end with their lease."""
  emulation = fleets.fleet()
  job, coordinator, owner = submit_long_job(emulation)
  start = emulation.clock.now
  owner.frozen = True
  emulation.clock.at(start + frozen_s, owner.thaw)
  at_work = [e.info.id for e in emulation.endpoints.values() if e.running]
  emulation.clock.at(
      start + frozen_s + cut_after_s,
      lambda: owner.partitioned_from.update(at_work),
  )
  emulation.clock.run_until(start + 0.05)
  emulation.kill(coordinator.name)
  return_elsewhere(emulation, job, emulation.clock.now + RETURN_S)
  emulation.clock.run_until(start + 5.0)
  assert emulation.broken == []


@pytest.mark.parametrize("frozen_s", [1.4, 1.9])
def test_holder_that_wakes_serves_no_dead_coordinator_it_never_heard_before(
    frozen_s,
):
  emulation = fleets.fleet()
  emulation.clock.run_until(4.0)
  emulation.store_up = False
  owner = fleets.owner_of(emulation, "a")
  start = emulation.clock.now
  owner.frozen = True
  emulation.clock.at(start + frozen_s, owner.thaw)
  emulation.kill("a2" if owner.name != "a2" else "a1")
  coordinator = emulation.add_host("a3", "a")
  shard = model.Shard("a")
  holder = emulation.hosts["b0"].state.coordinator.holders[shard].holder
  coordinator.apply(events.HolderChanged(shard, holder))
  job = fleets.job("long", 2, 3000)
  emulation.submit(coordinator.name, job, [3.0] * 2, 6.0)
  emulation.clock.run_until(start + 0.05)
  emulation.kill(coordinator.name)
  return_elsewhere(emulation, job, emulation.clock.now + RETURN_S)
  emulation.clock.run_until(start + 5.0)
  assert emulation.broken == []


@pytest.mark.parametrize("store_up", [True, False])
@pytest.mark.parametrize("suspended_s", [0.7, 1.2, 1.4, 2.0])
@pytest.mark.parametrize("killed_after_s", [0.01, 0.15, 0.4])
def test_holder_whose_clock_shows_no_pause_serves_no_dead_coordinator(
    killed_after_s, suspended_s, store_up
):
  emulation = fleets.fleet()
  job, coordinator, owner = submit_long_job(emulation)
  emulation.store_up = store_up
  start = emulation.clock.now
  suspend(emulation, owner, suspended_s)
  emulation.clock.run_until(start + killed_after_s)
  emulation.kill(coordinator.name)
  return_elsewhere(emulation, job, emulation.clock.now + RETURN_S)
  emulation.clock.run_until(start + 5.0)
  assert emulation.broken == []


@pytest.mark.parametrize("cut_after_s", [0.02, 0.3])
def test_suspended_holder_renews_no_lease_for_a_dead_coordinator(cut_after_s):
  """No stop reaches the runs, which must end with their lease."""
  emulation = fleets.fleet()
  job, coordinator, owner = submit_long_job(emulation)
  start = emulation.clock.now
  suspend(emulation, owner, 0.7)
  at_work = [e.info.id for e in emulation.endpoints.values() if e.running]
  emulation.clock.at(
      start + 0.7 + cut_after_s,
      lambda: owner.partitioned_from.update(at_work),
  )
  emulation.clock.run_until(start + 0.05)
  emulation.kill(coordinator.name)
  return_elsewhere(emulation, job, emulation.clock.now + RETURN_S)
  emulation.clock.run_until(start + 5.0)
  assert emulation.broken == []


def test_suspended_holder_serves_its_live_coordinators_on():
  emulation = fleets.fleet()
  _, _, owner = submit_long_job(emulation)
  suspend(emulation, owner, 0.6)
  emulation.clock.run_until(6.0)
  (answer,) = emulation.answers.values()
  assert answer.answer.outcome is model.Outcome.DONE
  assert not any(o.jobs for o in owner.state.owners.values())


@pytest.mark.parametrize("frozen_s", [0.3, 0.5])
def test_runs_of_live_coordinators_survive_a_pause_of_their_holder(frozen_s):
  emulation = fleets.fleet()
  _, coordinator, owner = submit_long_job(emulation)
  started = sum(len(e.starts) for e in emulation.endpoints.values())
  owner.frozen = True
  emulation.clock.run_until(emulation.clock.now + frozen_s)
  owner.thaw()
  emulation.clock.run_until(6.0)
  (answer,) = emulation.answers.values()
  assert answer.answer.outcome is model.Outcome.DONE
  assert sum(len(e.starts) for e in emulation.endpoints.values()) == started
  assert coordinator.state.coordinator.jobs == {}


@pytest.mark.parametrize(
    ("stalled_s", "killed_after_s"), [(1.45, 0.05), (1.4, 0.02), (1.5, 0.15)]
)
def test_offer_of_a_dead_coordinator_on_a_stalled_link_starts_no_task(
    stalled_s, killed_after_s
):
  emulation = fleets.fleet()
  emulation.clock.run_until(3.0)
  owner = fleets.owner_of(emulation, "a")
  coordinator = fleets.other_host(emulation, owner)
  emulation.stall_link(coordinator.name, owner.name, stalled_s)
  job = fleets.job("j", 2, 900)
  emulation.submit(coordinator.name, job, [0.9] * 2, 3.0)
  emulation.clock.run_until(3.0 + killed_after_s)
  emulation.kill(coordinator.name)
  return_elsewhere(emulation, job, emulation.clock.now + RETURN_S)
  emulation.clock.run_until(8.0)
  assert emulation.broken == []


@pytest.mark.parametrize("frozen_s", [1.7, 2.0, 2.4])
def test_host_that_wakes_offers_no_job_whose_caller_has_disconnected(frozen_s):
  """The request and its end arrived while the host stood still."""
  emulation = fleets.fleet()
  start = emulation.clock.now
  owner = fleets.owner_of(emulation, "c")
  coordinator = fleets.other_host(emulation, owner)
  coordinator.frozen = True
  emulation.clock.at(start + frozen_s, coordinator.thaw)
  job = fleets.job("j", 2, 900)
  request = emulation.submit(coordinator.name, job, [0.9] * 2, 3.0)
  emulation.clock.run_until(start + 0.3)
  emulation.disconnect_caller(coordinator.name, request)
  return_elsewhere(emulation, job, emulation.clock.now + RETURN_S)
  emulation.clock.run_until(start + 5.0)
  assert emulation.broken == []


def test_host_that_wakes_offers_the_jobs_that_arrived_meanwhile():
  emulation = fleets.fleet()
  start = emulation.clock.now
  coordinator = fleets.other_host(emulation, fleets.owner_of(emulation, "c"))
  coordinator.frozen = True
  request = emulation.submit(
      coordinator.name, fleets.job("j", 2, 200), [0.2] * 2, 3.0
  )
  emulation.clock.run_until(start + 1.0)
  coordinator.thaw()
  emulation.clock.run_until(start + 1.5)
  answer = emulation.answers[request]
  assert answer.answer.outcome is model.Outcome.DONE


@pytest.mark.parametrize("killed_after_s", [0.0, 0.05, 0.1, 0.15, 0.2, 0.25])
@pytest.mark.parametrize("delays_s", [(0.2, 0.4), (0.2, 0.3), (0.12, 0.25)])
def test_messages_that_are_all_read_late_vouch_for_no_dead_coordinator(
    delays_s, killed_after_s
):
  """The holder's process waits for a processor; no stop reaches the runs."""
  emulation = fleets.fleet()
  job, coordinator, owner = submit_long_job(emulation)
  for delay_s in delays_s:
    emulation.delay_messages(coordinator.name, owner.name, delay_s)
    emulation.clock.run_until(emulation.clock.now + 0.6)
  emulation.clock.run_until(emulation.clock.now + killed_after_s)
  for endpoint in emulation.endpoints.values():
    if endpoint.running:
      endpoint.order_delay_s = 5.0
  emulation.kill(coordinator.name)
  return_elsewhere(emulation, job, emulation.clock.now + RETURN_S)
  emulation.clock.run_until(emulation.clock.now + 3.0)
  assert emulation.broken == []


@pytest.mark.parametrize("killed_after_s", [0.01, 0.05, 0.2])
@pytest.mark.parametrize("delay_s", [1.0, 1.2])
def test_first_messages_that_are_read_late_start_no_task(
    delay_s, killed_after_s
):
  emulation = fleets.fleet()
  emulation.clock.run_until(4.0)
  owner = fleets.owner_of(emulation, "a")
  coordinator = emulation.add_host("a3", "a")
  emulation.delay_messages("a3", owner.name, delay_s)
  emulation.clock.run_until(4.05)
  job = fleets.job("long", 2, 3000)
  emulation.submit("a3", job, [3.0] * 2, 6.0)
  emulation.clock.run_until(4.05 + killed_after_s)
  emulation.kill(coordinator.name)
  return_elsewhere(emulation, job, emulation.clock.now + RETURN_S)
  emulation.clock.run_until(9.0)
  assert emulation.broken == []


@pytest.mark.parametrize("killed_after_s", [0.0, 0.05, 0.1, 0.15, 0.2, 0.25])
def test_messages_that_a_new_holder_reads_late_vouch_for_no_dead_coordinator(
    killed_after_s,
):
  """It has read none of the coordinator's in time; no stop reaches the runs."""
  emulation = fleets.fleet()
  job, coordinator, owner = submit_long_job(emulation)
  for host in fleets.hosts_in(emulation, "a"):
    emulation.delay_messages(coordinator.name, host.name, 0.24)
  coordinator.state.coordinator.can_hold = False
  emulation.kill(owner.name)
  emulation.clock.run_until(emulation.clock.now + 1.0 + killed_after_s)
  new_owner = fleets.owner_of(emulation, "a")
  assert new_owner is not coordinator
  for endpoint in emulation.endpoints.values():
    if endpoint.running:
      endpoint.order_delay_s = 5.0
  emulation.kill(coordinator.name)
  return_elsewhere(emulation, job, emulation.clock.now + RETURN_S)
  emulation.clock.run_until(emulation.clock.now + 3.0)
  assert emulation.broken == []


@pytest.mark.parametrize("data_centre", ["a", "c"])
def test_jobs_of_a_coordinator_that_was_suspended_are_served(data_centre):
  """Its clock is behind, so that its first messages seem to be old."""
  emulation = fleets.fleet()
  emulation.clock.run_until(4.0)
  owner = fleets.owner_of(emulation, data_centre)
  coordinator = fleets.other_host(emulation, owner)
  suspend(emulation, coordinator, 0.8)
  requests = []
  for number in range(12):
    job = fleets.job(f"j{number}", 8, 60, 600)
    submitted = emulation.submit(coordinator.name, job, [0.06] * 8, 3.0)
    requests.append(submitted)
  emulation.clock.run_until(6.0)
  counts = fleets.count_outcomes(emulation, requests)
  assert model.Outcome.UNKNOWN not in counts


PING_S = 0.1
# The clock of the sender shows this much more than that of the reader (s).
CLOCK_AHEAD_S = 1000.0


def record_pings(ages, until: float, delay_s: float = 0.0, max_age_s=None):
  """Reads a sender's pings up to a time, each when it is due; returns the ages."""
  count = round(until / PING_S)
  return [
      ages.record(CLOCK_AHEAD_S + PING_S * n, PING_S * n + delay_s, max_age_s)
      for n in range(1, count + 1)
  ]


def test_messages_read_at_once_have_no_age():
  assert record_pings(messageage.MessageAges(), 1.0) == pytest.approx(
      [0.0] * 10
  )


def test_messages_read_together_have_the_ages_at_which_they_were_sent():
  ages = messageage.MessageAges()
  record_pings(ages, 1.0)
  read = [
      ages.record(CLOCK_AHEAD_S + 1.0 + PING_S * n, 2.0) for n in range(1, 6)
  ]
  assert read == pytest.approx([0.9, 0.8, 0.7, 0.6, 0.5])


def test_first_messages_are_as_old_as_they_can_be_once_they_are_bounded():
  ages = messageage.MessageAges()
  first = ages.record(CLOCK_AHEAD_S, 0.3)
  rest = record_pings(ages, 0.3, delay_s=0.3, max_age_s=0.31)
  assert [first, *rest] == pytest.approx([0.0, 0.31, 0.31, 0.31])


def test_messages_that_are_equally_late_keep_their_age():
  ages = messageage.MessageAges()
  record_pings(ages, 1.0, max_age_s=0.0)
  read = [
      ages.record(CLOCK_AHEAD_S + 1.0 + PING_S * n, 1.3 + PING_S * n, 0.32)
      for n in range(1, 6)
  ]
  assert read == pytest.approx([0.3] * 5)


def test_messages_after_their_sender_was_suspended_are_as_old_as_they_can_be():
  ages = messageage.MessageAges()
  record_pings(ages, 1.0, max_age_s=0.0)
  first = ages.record(CLOCK_AHEAD_S + 1.1, 3.1, 2.01)
  second = ages.record(CLOCK_AHEAD_S + 1.2, 3.2, 0.02)
  third = ages.record(CLOCK_AHEAD_S + 1.3, 3.35, 0.1)
  assert (first, second, third) == pytest.approx((2.0, 0.02, 0.07))


def test_bound_from_before_this_host_was_suspended_makes_no_message_younger():
  ages = messageage.MessageAges()
  record_pings(ages, 1.0)
  read = [
      ages.record(CLOCK_AHEAD_S + 1.0 + PING_S * n, 1.0 + PING_S * n - 0.5, age)
      for n, age in enumerate((-0.5, -0.5, 0.0), 1)
  ]
  late = ages.record(CLOCK_AHEAD_S + 1.4, 1.15, 0.3)
  assert [*read, late] == pytest.approx([0.0, 0.0, 0.0, 0.25])


@pytest.mark.parametrize("now", [12.5, 2**32 / 1000 + 12.5])
def test_age_is_bounded_by_a_clock_that_starts_again_at_zero(now):
  (sent_at,) = [
      linkcodec.decode(linkcodec.encode(SHARD, pong), PROCESS)[1].sent_at
      for pong in (linkmessages.Pong(sent_at=now),)
  ]
  later = linkmessages.clock_difference(now + 0.25, sent_at)
  earlier = linkmessages.clock_difference(now - 0.25, sent_at)
  assert (later, earlier) == pytest.approx((0.25, -0.25), abs=0.002)


def test_second_message_after_its_sender_was_suspended_has_no_age():
  ages = messageage.MessageAges()
  record_pings(ages, 1.0)
  first = ages.record(CLOCK_AHEAD_S + 1.1, 3.1)
  second = ages.record(CLOCK_AHEAD_S + 1.2, 3.2)
  third = ages.record(CLOCK_AHEAD_S + 1.3, 3.3)
  assert (first, second, third) == pytest.approx((2.0, 0.0, 0.0))


def test_gain_of_the_senders_clock_shows_that_this_host_was_suspended():
  ages = messageage.MessageAges()
  record_pings(ages, 1.0)
  gains = []
  for number in range(11, 16):
    ages.record(CLOCK_AHEAD_S + PING_S * number, 1.05)
    gains.append(ages.clock_gain_s)
  assert gains == pytest.approx([0.05, 0.15, 0.25, 0.35, 0.45])
  ages.record(CLOCK_AHEAD_S + PING_S * 16, 1.15)
  assert ages.clock_gain_s == pytest.approx(0.0)
