import dataclasses

from fescueturn import settings
from fescueturn.scheduler import election
from fescueturn.scheduler import events
from fescueturn.scheduler import model

SHARD = model.Shard("north")
PEER = settings.Address("h", 1)
HOLDER = model.Holder("host-2", "boot-2", PEER, 7)


def candidate(holder=HOLDER):
  made = election.Candidate(SHARD, "host-1")
  election.handle_holder_change(made, holder, 0.0)
  return made


def decide(made, now, is_owner=False, draining=False, holder_alive=False):
  return election.decide(made, now, is_owner, draining, holder_alive)


def test_held_shard_is_left_alone():
  assert decide(candidate(), 100.0) is None


def test_shard_whose_claim_ended_is_claimed_anew():
  made = candidate()
  election.handle_holder_change(made, None, 10.0)
  assert decide(made, 10.1) == events.ClaimShard(SHARD, 0, 7)
  assert decide(made, 10.2) is None, "one claim at a time"
  election.handle_claim_answer(made, 10.2)
  assert decide(made, 10.3) is None
  assert decide(made, 10.6) is not None


def test_claim_of_a_gone_process_is_replaced_by_its_fence():
  made = candidate()
  election.mark_holder_stale(made, 10.0)
  assert decide(made, 10.1) == events.ClaimShard(SHARD, 7, 7)


def test_claim_that_names_no_holder_is_replaced():
  made = candidate()
  election.handle_holder_change(made, None, 10.0, unreadable_revision=9)
  assert decide(made, 10.1) == events.ClaimShard(SHARD, 9, 7)


def test_holder_heard_from_again_is_not_replaced():
  made = candidate()
  election.mark_holder_stale(made, 10.0, grace_s=0.1)
  assert decide(made, 10.05) is None
  election.mark_holder_alive(made)
  assert decide(made, 20.0) is None


def test_living_holder_claims_first_and_a_stopping_host_last():
  made = candidate()
  election.handle_holder_change(made, None, 10.0)
  assert decide(made, 10.5, holder_alive=True) is None
  assert decide(made, 10.5, draining=True) is None
  assert decide(made, 10.0, is_owner=True) is not None


def test_nothing_is_claimed_before_the_store_was_read():
  made = election.Candidate(SHARD, "host-1")
  assert decide(made, 100.0) is None


def test_newcomer_waits_longer():
  made = election.Candidate(SHARD, "host-1")
  election.handle_holder_change(made, None, 10.0)
  assert decide(made, 10.2) is None
  assert decide(made, 10.4) is not None


def claim_delay(cores: float, host: str) -> float:
  made = election.Candidate(SHARD, host, cores)
  election.handle_holder_change(made, HOLDER, 0.0)
  election.handle_holder_change(made, None, 0.0)
  return made.delay_s(is_owner=False, draining=False, holder_alive=False)


def test_small_host_claims_after_every_host_that_can_carry_the_shard():
  """Three roomy hosts among sixteen small ones, as one data centre has them."""
  for number in range(200):
    roomy = [claim_delay(2.15, f"big-{number}-{i}") for i in range(3)]
    small = [claim_delay(0.516, f"small-{number}-{i}") for i in range(16)]
    # The store's answer takes 5 ms, its watch as long.
    assert min(small) > min(roomy)
    assert min(small) >= 0.048


def test_hosts_that_can_carry_the_shard_wait_alike():
  assert claim_delay(1.07, "h") == claim_delay(2.15, "h") <= election.STAGGER_S


def test_young_claim_is_not_doubted_and_less_so_the_more_changes_there_were():
  """A holder that takes over a thousand endpoints must not lose them half way."""
  made = election.Candidate(SHARD, "host-1")
  election.handle_holder_change(made, HOLDER, 100.0)
  assert not election.may_suspect(made, 102.9)
  assert election.may_suspect(made, 103.1)
  for number in range(1, 6):
    holder = dataclasses.replace(HOLDER, fence=HOLDER.fence + number)
    election.handle_holder_change(made, holder, 100.0 + number)
  assert not election.may_suspect(made, 128.9)
  assert election.may_suspect(made, 129.1)
  quiet = dataclasses.replace(HOLDER, fence=HOLDER.fence + 9)
  election.handle_holder_change(made, quiet, 200.0)
  assert election.may_suspect(made, 203.1)
