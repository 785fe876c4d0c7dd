import dataclasses

from fescueturn import settings
from fescueturn.scheduler import election
from fescueturn.scheduler import events
from fescueturn.scheduler import model

SHARD = model.Shard("north")
PEER = settings.Address("h", 1)
HOLDER = model.Holder("host-2", "boot-2", PEER, 7)


def new_candidate(holder=HOLDER):
  candidate = election.Candidate(SHARD, "host-1")
  election.handle_holder_change(candidate, holder, 0.0)
  return candidate


def decide(candidate, now, is_owner=False, draining=False, holder_alive=False):
  return election.decide(candidate, now, is_owner, draining, holder_alive)


def test_held_shard_is_not_claimed():
  assert decide(new_candidate(), 100.0) is None


def test_shard_whose_claim_ended_is_claimed_again():
  candidate = new_candidate()
  election.handle_holder_change(candidate, None, 10.0)
  assert decide(candidate, 10.1) == events.ClaimShard(SHARD, 0, 7)
  assert decide(candidate, 10.2) is None, "one claim at a time"
  election.handle_claim_answer(candidate, 10.2)
  assert decide(candidate, 10.3) is None
  assert decide(candidate, 10.6) is not None


def test_claim_of_a_dead_process_is_replaced_at_its_revision():
  candidate = new_candidate()
  election.mark_holder_stale(candidate, 10.0)
  assert decide(candidate, 10.1) == events.ClaimShard(SHARD, 7, 7)


def test_claim_that_names_no_holder_is_replaced():
  candidate = new_candidate()
  election.handle_holder_change(candidate, None, 10.0, unreadable_revision=9)
  assert decide(candidate, 10.1) == events.ClaimShard(SHARD, 9, 7)


def test_holder_that_answers_again_is_not_replaced():
  candidate = new_candidate()
  election.mark_holder_stale(candidate, 10.0, grace_s=0.1)
  assert decide(candidate, 10.05) is None
  election.mark_holder_alive(candidate)
  assert decide(candidate, 20.0) is None


def test_live_holder_claims_first_and_a_draining_host_last():
  candidate = new_candidate()
  election.handle_holder_change(candidate, None, 10.0)
  assert decide(candidate, 10.5, holder_alive=True) is None
  assert decide(candidate, 10.5, draining=True) is None
  assert decide(candidate, 10.0, is_owner=True) is not None


def test_nothing_is_claimed_before_the_store_was_read():
  candidate = election.Candidate(SHARD, "host-1")
  assert decide(candidate, 100.0) is None


def test_host_that_has_seen_no_holder_waits_longer():
  candidate = election.Candidate(SHARD, "host-1")
  election.handle_holder_change(candidate, None, 10.0)
  assert decide(candidate, 10.2) is None
  assert decide(candidate, 10.4) is not None


def claim_delay(cores: float, host: str) -> float:
  candidate = election.Candidate(SHARD, host, cores)
  election.handle_holder_change(candidate, HOLDER, 0.0)
  election.handle_holder_change(candidate, None, 0.0)
  return candidate.delay_s(is_owner=False, draining=False, holder_alive=False)


def test_low_cpu_host_claims_after_every_host_with_enough_cpu():
  """A data centre has three hosts with enough CPU and sixteen without."""
  for number in range(200):
    full_cpu = [claim_delay(2.15, f"big-{number}-{i}") for i in range(3)]
    low_cpu = [claim_delay(0.516, f"small-{number}-{i}") for i in range(16)]
    # The store's answer takes 5 ms, and its watch another 5 ms.
    assert min(low_cpu) > min(full_cpu)
    assert min(low_cpu) >= 0.048


def test_hosts_with_enough_cpu_have_the_same_delay():
  assert claim_delay(1.07, "h") == claim_delay(2.15, "h") <= election.STAGGER_S


def test_young_claim_is_not_suspected_and_flapping_raises_the_minimum_age():
  """Guards a takeover of a thousand endpoints against being interrupted.

  The new holder is silent for seconds meanwhile. If it were replaced then, the
  next holder would have to start the takeover again.
  """
  candidate = election.Candidate(SHARD, "host-1")
  election.handle_holder_change(candidate, HOLDER, 100.0)
  assert not election.may_suspect(candidate, 102.9)
  assert election.may_suspect(candidate, 103.1)
  for number in range(1, 6):
    holder = dataclasses.replace(HOLDER, fence=HOLDER.fence + number)
    election.handle_holder_change(candidate, holder, 100.0 + number)
  assert not election.may_suspect(candidate, 128.9)
  assert election.may_suspect(candidate, 129.1)
  later_holder = dataclasses.replace(HOLDER, fence=HOLDER.fence + 9)
  election.handle_holder_change(candidate, later_holder, 200.0)
  assert election.may_suspect(candidate, 203.1)
