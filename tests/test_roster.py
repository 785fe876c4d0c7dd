"""Tests the roster, from which a new holder knows the endpoints in use."""

import dataclasses

import pytest

from fescueturn import settings
from fescueturn.scheduler import coordinatorstate
from fescueturn.scheduler import events
from fescueturn.scheduler import leases
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import ownerstate
from fescueturn.scheduler import reducer
from fescueturn.scheduler import roster
from tests import fleets
from tests import test_leases

HOLDER = model.Holder("h", "b", settings.Address("10.0.0.1", 1), 7)


def holder_record(at: float = 10.0) -> coordinatorstate.HolderRecord:
  record = coordinatorstate.HolderRecord(HOLDER, at)
  record.update_roster(
      linkmessages.Pong(at=at, roster=3, endpoints=("i-1", "i-2"))
  )
  return record


def test_roster_of_the_previous_holder_is_used():
  assert roster.inherited_endpoints(holder_record(), 7, 11.0) == {"i-1", "i-2"}


def test_roster_is_not_used_if_it_may_lack_an_endpoint():
  assert roster.inherited_endpoints(None, 7, 11.0) is None
  # Another host has held the shard since, or may have.
  assert roster.inherited_endpoints(holder_record(), 9, 11.0) is None
  assert roster.inherited_endpoints(holder_record(), 0, 11.0) is None
  # The roster is too old: an endpoint may have joined since.
  assert (
      roster.inherited_endpoints(
          holder_record(), 7, 10.0 + roster.MAX_AGE_S + 0.1
      )
      is None
  )
  without_roster = coordinatorstate.HolderRecord(HOLDER, 10.0)
  assert roster.inherited_endpoints(without_roster, 7, 10.1) is None


def test_answer_with_the_same_version_refreshes_the_roster():
  record = holder_record(10.0)
  record.update_roster(linkmessages.Pong(at=11.0, roster=3))
  assert record.roster_valid_at == 11.0
  # An answer with another version doesn't confirm the one that is known here.
  record.update_roster(linkmessages.Pong(at=12.0, roster=4))
  assert record.roster_valid_at == 11.0


def owner_with_roster() -> ownerstate.Owner:
  """Returns an owner that has sent a roster with one endpoint, i-0."""
  owner = ownerstate.Owner(test_leases.SHARD, 7, 0.0)
  first = dataclasses.replace(test_leases.ENDPOINT, id="i-0")
  leases.handle_endpoint_list(owner, (first,))
  assert owner.endpoints["i-0"].exclusion.until <= owner.now
  assert roster_update(owner).endpoints == ("i-0",)
  owner.now = 10.0
  return owner


def roster_update(
    owner: ownerstate.Owner, known: int = 0
) -> roster.RosterUpdate:
  return owner.roster.update_for(known, owner.endpoints, owner.now)


def ping(emulation, holder, known: int = 0) -> linkmessages.Pong:
  """Returns the answer of the holding host to another host's ping."""
  shard = model.Shard(holder.data_centre)
  coordinator = fleets.other_host(emulation, holder).process
  effects = reducer.reduce(
      holder.state,
      linkmessages.Ping(shard, coordinator, 3.5, known),
      emulation.clock.now,
  )
  (pong,) = [
      e.message for e in effects if isinstance(e, events.SendToCoordinator)
  ]
  return pong


def test_holder_sends_no_roster_before_it_has_recovered():
  emulation = fleets.fleet()
  holder = fleets.owner_of(emulation, "a")
  assert ping(emulation, holder).roster == 0
  emulation.clock.run_until(4.0)
  pong = ping(emulation, holder)
  assert pong.at == 3.5
  assert pong.roster == 1
  assert pong.endpoints == tuple(f"e-a{number}" for number in range(8))
  assert ping(emulation, holder, known=1).endpoints is None


def test_holder_without_a_list_of_endpoints_sends_no_roster():
  assert roster.Roster().update_for(0, (), 1.0) == roster.NO_UPDATE


def test_joining_endpoint_waits_until_rosters_without_it_expire():
  owner = owner_with_roster()
  leases.handle_endpoint_list(owner, (test_leases.ENDPOINT,))
  record = owner.endpoints["i-1"]
  assert record.exclusion.until == owner.now + roster.JOIN_DELAY_S
  assert roster.JOIN_DELAY_S > roster.MAX_AGE_S
  assert "i-1" in roster_update(owner).endpoints


def test_endpoint_is_usable_at_once_after_its_entry_expired_briefly():
  owner = owner_with_roster()
  leases.handle_endpoint_list(owner, (test_leases.ENDPOINT,))
  owner.endpoints["i-1"].call_pending = False
  leases.handle_endpoint_list(owner, ())
  assert "i-1" not in owner.endpoints
  assert "i-1" in roster_update(owner).endpoints
  owner.now += roster.REMOVED_RETENTION_S - 1
  leases.handle_endpoint_list(owner, (test_leases.ENDPOINT,))
  assert owner.endpoints["i-1"].exclusion.until <= owner.now


def test_drained_endpoint_is_not_in_the_roster():
  owner = owner_with_roster()
  draining_endpoint = dataclasses.replace(test_leases.ENDPOINT, draining=True)
  leases.handle_endpoint_list(owner, (draining_endpoint,))
  assert "i-1" in roster_update(owner).endpoints
  owner.endpoints["i-1"].call_pending = False
  leases.handle_endpoint_list(owner, ())
  assert "i-1" not in roster_update(owner).endpoints


def test_holder_recovers_once_all_endpoints_of_the_roster_answered():
  owner = ownerstate.Owner(
      test_leases.SHARD, 8, 0.0, previous_roster=frozenset(("i-1", "i-2"))
  )
  other = dataclasses.replace(test_leases.ENDPOINT, id="i-2")
  leases.handle_endpoint_list(owner, (test_leases.ENDPOINT, other))
  answers = {
      "i-1": model.CallResult.OK,
      # Another incarnation answers: the listed one has no runs left.
      "i-2": model.CallResult.GONE,
  }
  for name, result in answers.items():
    assert not owner.recovered
    leases.handle_lease_answer(owner, events.LeaseAnswered(name, 1, result, 5))
  assert owner.recovered


@pytest.mark.parametrize("seed", range(4))
def test_jobs_of_a_killed_holder_restart_at_once(seed):
  """Guards against tasks waiting 1.5 s for the leases of the killed holder."""
  emulation = fleets.fleet(seed=seed)
  emulation.clock.run_until(4.0)  # The first holders have recovered.
  holder = fleets.owner_of(emulation, "a")
  others = [h for h in fleets.hosts_in(emulation, "a") if h is not holder]
  requests = fleets.submit_load(emulation, others, 4, 40)
  emulation.clock.at(6.0, lambda: emulation.kill(holder.name))
  emulation.clock.run_until(12)
  assert emulation.broken == []
  slow = [r for r in requests if emulation.answers[r].took_s > 1.6]
  done = fleets.count_outcomes(emulation, requests)[model.Outcome.DONE]
  assert done > 0.95 * len(requests)
  # A task of 0.9 s may take 1.4 times as long, and may run twice.
  assert len(slow) <= 1
