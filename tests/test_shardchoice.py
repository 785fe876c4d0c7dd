import collections
import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies

from fescueturn.scheduler import model
from fescueturn.scheduler.decisions import room
from fescueturn.scheduler.decisions import shardchoice

LOCAL, B, C = (model.Shard(name) for name in "abc")
DEMAND = shardchoice.Demand("j1", "s", 32000, 4, 1)


def room_for(tasks: int, waiting_ms: int = 0) -> room.ServiceRoom:
  endpoints = [room.EndpointRoom("s", 96000, 32000, 8)] * tasks
  full = [room.EndpointRoom("s", 96000, 0, 5, (100, 100, 100))] * 4
  waiting = [room.WaitingWork("s", 0, waiting_ms)]
  return room.report(endpoints + full, waiting).of("s")


def view(shard, free=None, age_s=0.02, **fields) -> shardchoice.ShardView:
  told = None if free is None else room_for(free)
  fields.setdefault("room", told)
  return shardchoice.ShardView(shard, shard == LOCAL, age_s=age_s, **fields)


@pytest.mark.parametrize("local_free", [None, 4, 20])
def test_own_data_centre_is_first_unless_it_is_known_to_be_full(local_free):
  views = [view(B, 20), view(LOCAL, local_free), view(C, 20)]
  choice = shardchoice.choose(DEMAND, views)
  assert (choice.shard, choice.immediate_only) == (LOCAL, True)


def test_full_data_centre_is_passed_over_for_one_with_room():
  views = [view(LOCAL, 2), view(B, 0), view(C, 9, age_s=1.0)]
  choice = shardchoice.choose(DEMAND, views)
  assert (choice.shard, choice.immediate_only, choice.likely) == (C, True, True)
  assert choice.age_s == 1.0


def test_own_offers_since_the_report_take_its_room():
  views = [view(LOCAL, 0), view(B, 6, taken=4), view(C, 6)]
  assert shardchoice.choose(DEMAND, views).shard == C


def test_old_report_neither_rules_out_nor_promises_room():
  old = shardchoice.FULL_REPORT_S + 0.01
  chance = shardchoice.chance_at_once
  assert chance(DEMAND, view(B, 0)) is shardchoice.Chance.NONE
  assert chance(DEMAND, view(B, 0, old)) is shardchoice.Chance.UNKNOWN
  assert chance(DEMAND, view(B, 9, old)) is shardchoice.Chance.LIKELY
  assert chance(DEMAND, view(B, 9, 5.0)) is shardchoice.Chance.UNKNOWN


def test_holder_that_put_off_a_job_despite_its_room_is_passed_over():
  views = [view(LOCAL, 0), view(B, 20, contradicted=True), view(C, 5)]
  assert shardchoice.choose(DEMAND, views).shard == C


def test_job_is_queued_where_the_wait_is_shortest():
  views = [
      view(LOCAL, room=room_for(0, waiting_ms=9000)),
      view(B, 0, put_off_ms=300),
      view(C, room=room_for(0, waiting_ms=500)),
  ]
  choice = shardchoice.choose(DEMAND, views)
  assert (choice.shard, choice.immediate_only) == (C, False)
  assert 0 < choice.wait_ms < 300


def test_holders_without_reports_are_asked_in_turn_and_then_by_their_waits():
  views = [view(shard) for shard in (B, LOCAL, C)]
  asked = []
  for wait_ms in (30, 20, 10):
    choice = shardchoice.choose(DEMAND, views)
    assert choice.immediate_only
    asked.append(choice.shard)
    views = [
        dataclasses.replace(v, put_off_ms=wait_ms)
        if v.shard == choice.shard
        else v
        for v in views
    ]
  assert asked[0] == LOCAL and set(asked) == {LOCAL, B, C}
  choice = shardchoice.choose(DEMAND, views)
  assert (choice.shard, choice.immediate_only) == (asked[-1], False)


@pytest.mark.parametrize(
    "others, max_wait_ms",
    [
        ([view(B, put_off_ms=70), view(C, put_off_ms=40)], 40),
        ([view(B, put_off_ms=70), view(C, 0)], 66),
        ([view(B, put_off_ms=70), view(C)], 0),
        ([view(B, put_off_ms=70), view(C, 0, age_s=0.3)], 0),
        ([view(B, put_off_ms=70), view(C, 9)], 0),
        ([], shardchoice.ANY_WAIT_MS),
    ],
)
def test_only_the_last_holder_asked_is_told_the_wait_to_beat(
    others, max_wait_ms
):
  choice = shardchoice.choose(DEMAND, [*others, view(LOCAL)])
  assert (choice.shard, choice.immediate_only) == (LOCAL, True)
  assert choice.max_wait_ms == max_wait_ms


def test_hosts_with_the_same_reports_spread_their_jobs():
  views = [view(model.Shard(f"dc{n}"), 10) for n in range(6)]
  chosen = collections.Counter(
      shardchoice.choose(
          dataclasses.replace(DEMAND, job_id=f"j{n}"), views
      ).shard
      for n in range(600)
  )
  assert len(chosen) == 6
  assert max(chosen.values()) < 200


VIEWS = strategies.lists(
    strategies.builds(
        view,
        strategies.just(B),
        strategies.none() | strategies.integers(0, 10),
        age_s=strategies.floats(0, 3),
        taken=strategies.integers(0, 10),
        contradicted=strategies.booleans(),
        put_off_ms=strategies.none() | strategies.integers(0, 1000),
    ),
    max_size=5,
)


@given(VIEWS, strategies.integers(0, 3))
def test_every_holder_is_asked_before_a_job_is_refused(drawn, priority):
  """Whatever the reports say, no holder is left out."""
  demand = dataclasses.replace(DEMAND, priority=priority)
  left = {
      model.Shard(f"dc{n}"): dataclasses.replace(v, shard=model.Shard(f"dc{n}"))
      for n, v in enumerate(drawn)
  }
  declined = set()
  for _ in range(2 * len(drawn)):
    choice = shardchoice.choose(demand, list(left.values()))
    if choice is None:
      break
    if choice.immediate_only:
      assert left[choice.shard].put_off_ms is None
      left[choice.shard] = dataclasses.replace(
          left[choice.shard], put_off_ms=50
      )
    else:
      del left[choice.shard]
      declined.add(choice.shard)
  assert shardchoice.choose(demand, list(left.values())) is None
  assert len(declined) == len(drawn)
