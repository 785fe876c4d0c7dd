"""Grants of shards: faults found in a review."""

import dataclasses

from fescueturn.scheduler import events
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from tests import fleets

SHARD = model.Shard("a")


def ending_holder(emulation):
  """Returns the holder of a, which ends while the store is away."""
  emulation.clock.run_until(4.0)
  emulation.store_up = False
  emulation.clock.run_until(6.0)
  holder = fleets.owner_of(emulation, "a")
  holder.apply(events.DrainStarted())
  return holder


def test_no_shard_is_granted_to_a_host_of_an_earlier_version():
  emulation = fleets.fleet()
  holder = ending_holder(emulation)
  owner = holder.state.owners[SHARD]
  newest, other = sorted(owner.local_hosts, key=lambda p: p.host)
  # It doesn't tell its uptime, but has the CPU of a holder.
  owner.local_hosts[newest] = dataclasses.replace(
      owner.local_hosts[newest], uptime_s=0.0
  )
  owner.local_hosts[other] = dataclasses.replace(
      owner.local_hosts[other], can_hold=False
  )
  holder.apply(events.DrainEnding())
  (line,) = (e for e in holder.log if e.event == "shard_granted")
  assert dict(line.fields)["to"] == other.host


def test_late_pong_of_the_granting_holder_does_not_put_off_the_claim():
  emulation = fleets.fleet()
  holder = ending_holder(emulation)
  holder.apply(events.DrainEnding())
  emulation.clock.run_until(6.1)
  taker = next(
      h
      for h in fleets.hosts_in(emulation, "a")
      if h.state.owners and h is not holder
  )
  candidate = taker.state.candidates[SHARD]
  assert taker.state.owners[SHARD].by_grant
  assert candidate.holder_stale
  pong = linkmessages.Pong(at=6.0)
  taker.apply(events.HolderMessageReceived(SHARD, holder.process, pong))
  assert candidate.holder_stale


def claimed_again(holder, fence: int) -> events.HolderChanged:
  """Returns the event of a further claim of a holder."""
  claim = model.Holder(
      holder.name, holder.process.boot, holder.state.me.peer, fence
  )
  return events.HolderChanged(SHARD, claim)


def test_granting_holder_that_claims_again_does_not_rely_on_its_own_jobs():
  """Another host may have held the shard and started tasks in between."""
  emulation = fleets.fleet()
  holder = ending_holder(emulation)
  holder.apply(events.DrainEnding())
  before = holder.state.owners[SHARD]
  assert before.last_granted
  holder.apply(claimed_again(holder, before.last_granted + 50))
  assert holder.state.owners.get(SHARD) is not before


def test_numbers_below_a_new_claim_are_not_granted():
  emulation = fleets.fleet()
  emulation.clock.run_until(4.0)
  holder = fleets.owner_of(emulation, "a")
  owner = holder.state.owners[SHARD]
  assert owner.spare_fences
  holder.apply(claimed_again(holder, owner.spare_fences.limit + 50))
  assert holder.state.owners[SHARD] is owner
  assert not owner.spare_fences or owner.spare_fences.first > owner.fence
