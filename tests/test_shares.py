"""Tests the turns between names that share room, and their bounds."""

import collections
import dataclasses

import hypothesis
import pytest
from hypothesis import strategies

from fescueturn import shares

WEIGHTS = {"a": 1.0, "b": 4.0, "c": 0.25, "d": 1.0}
NAMES = sorted(WEIGHTS)
COSTS = strategies.floats(0.01, 2.0)
MAX_COST = 2.0
# A name with new work, a name that can use no room for a while or again can, or
# a turn with its cost.
STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("work"),
            strategies.sampled_from(NAMES),
            strategies.integers(1, 9),
        ),
        strategies.tuples(
            strategies.just("block"),
            strategies.sampled_from(NAMES),
            strategies.booleans(),
        ),
        strategies.tuples(strategies.just("turn"), strategies.just(""), COSTS),
    ),
    max_size=120,
)


def test_room_is_shared_by_weight():
  turns = shares.Turns(WEIGHTS.__getitem__)
  room = collections.Counter()
  for _ in range(2100):
    name = min(("a", "b"), key=turns.key)
    turns.take(name, 0.5)
    room[name] += 0.5
  assert room["b"] / room["a"] == pytest.approx(4.0, rel=0.01)


def test_costly_turns_count_for_the_room_that_they_take():
  turns = shares.Turns()
  room = collections.Counter()
  costs = {"long": 0.9, "short": 0.06}
  for _ in range(2000):
    name = min(costs, key=turns.key)
    turns.take(name, costs[name])
    room[name] += costs[name]
  assert room["long"] == pytest.approx(room["short"], rel=0.05)


def test_idle_name_saves_up_no_room():
  turns = shares.Turns()
  for _ in range(100):
    turns.key("a")
    turns.take("a", 1.0)
  turns.key("b")
  order = []
  for _ in range(6):
    order.append(min(("a", "b"), key=turns.key))
    turns.take(order[-1], 1.0)
  assert order.count("a") == 3


def test_name_that_could_use_no_room_has_no_lead():
  turns = shares.Turns()
  turns.take("blocked", 1.0)
  for _ in range(100):
    turns.take("a", 1.0)
  order = []
  for _ in range(20):
    order.append(min(("blocked", "a"), key=turns.key))
    turns.take(order[-1], 1.0)
  assert order[0] == "blocked"
  assert abs(order.count("a") - order.count("blocked")) <= 2


def test_idle_names_are_forgotten():
  turns = shares.Turns()
  for number in range(1000):
    turns.take(f"n{number}", 1.0)
    turns.take("stays", 1.0)
  assert len(turns._ends) <= shares.CLEANUP_NAMES


@dataclasses.dataclass
class Wait:
  """A waiting name, and the room that the others got meanwhile.

  Attributes:
    last_cost: the cost of its last turn.
    room: the room by name.
  """

  last_cost: float
  room: collections.Counter = dataclasses.field(
      default_factory=collections.Counter
  )


def check_bound(name: str, wait: Wait):
  for other, room in wait.room.items():
    own_debt = wait.last_cost / WEIGHTS[name]
    assert room <= WEIGHTS[other] * own_debt + MAX_COST + 1e-6


@hypothesis.given(STEPS)
def test_wait_for_a_turn_is_bounded(steps):
  """Each other name gets only a bounded room while one could use a turn."""
  turns = shares.Turns(WEIGHTS.__getitem__)
  tasks: collections.Counter[str] = collections.Counter()
  blocked: set[str] = set()
  waits: dict[str, Wait] = {}
  last_cost = collections.Counter()
  for action, name, amount in [*steps, *[("turn", "", MAX_COST)] * 60]:
    if action == "work":
      tasks[name] += amount
    elif action == "block":
      (blocked.add if amount else blocked.discard)(name)
    ready = [n for n in NAMES if tasks[n] and n not in blocked]
    waits = {n: waits.get(n) or Wait(last_cost[n]) for n in ready}
    if action != "turn" or not ready:
      continue
    chosen = min(ready, key=turns.key)
    turns.take(chosen, amount)
    tasks[chosen] -= 1
    last_cost[chosen] = amount
    del waits[chosen]
    for other, wait in waits.items():
      wait.room[chosen] += amount
      check_bound(other, wait)


@hypothesis.given(
    strategies.lists(COSTS, min_size=50, max_size=200),
    strategies.sampled_from([("a", "b"), ("a", "c"), ("b", "c")]),
)
def test_waiting_names_share_room_by_weight(costs, pair):
  """The difference per weight is at most one turn of each."""
  turns = shares.Turns(WEIGHTS.__getitem__)
  room = dict.fromkeys(pair, 0.0)
  for cost in costs:
    name = min(pair, key=turns.key)
    turns.take(name, cost)
    room[name] += cost / WEIGHTS[name]
    difference = abs(room[pair[0]] - room[pair[1]])
    assert difference <= sum(MAX_COST / WEIGHTS[n] for n in pair)


@pytest.mark.parametrize("text", ["0", "-1", "nan", "inf", "1e9", "much", ""])
def test_weights_out_of_range_are_rejected(text):
  with pytest.raises(ValueError, match="."):
    shares.parse_weight(text)


def test_weight_is_parsed():
  assert shares.parse_weight(" 2.5 ") == 2.5
