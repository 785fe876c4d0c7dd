from fescueturn import placement
from fescueturn import routing
from tests import conftest


def table(*endpoints, me="entry-1", hosts=("entry-1",)):
  t = placement.EndpointTable(me)
  t.set_entry_hosts(hosts)
  t.update(endpoints)
  return t


def picks(t, count, now=0.0):
  names = []
  for _ in range(count):
    info = t.pick("speller", now)
    names.append(info and info.name)
    if info:
      t.record_start(info.name)
  return names


def test_least_loaded_first_and_none_when_full():
  t = table(conftest.endpoint("e1"), conftest.endpoint("e2"))
  assert sorted(picks(t, 4)) == ["e1", "e1", "e2", "e2"]
  assert t.pick("speller", 0.0) is None
  t.record_finish("e2")
  assert t.pick("speller", 0.0).name == "e2"


def test_shares_of_all_entry_hosts_add_up_to_the_slots():
  for hosts in (1, 2, 3, 5, 8, 20):
    names = tuple(f"entry-{i}" for i in range(hosts))
    for endpoint in ("e1", "e2", "e3"):
      shares = [routing.slot_share(endpoint, 8, names, n) for n in names]
      assert sum(shares) == 8


def test_endpoint_that_fails_fast_does_not_attract_tasks():
  t = table(conftest.endpoint("bad", slots=4), conftest.endpoint("good", 4))
  for n in range(placement.FAILURES_TO_EJECT):
    t.record_start("bad")
    t.record_finish("bad")
    t.record_failure("bad", f"job-{n}", now=0.0)
  assert picks(t, 5, now=1.0) == ["good"] * 4 + [None]
  later = placement.EJECT_MIN_S + 0.1
  assert t.pick("speller", later).name == "bad"
  for n in range(placement.FAILURES_TO_EJECT):
    t.record_failure("bad", f"job-{n}", now=later)
  assert t.pick("speller", later + placement.EJECT_MIN_S + 0.1) is None


def test_one_job_that_fails_everywhere_ejects_no_endpoint():
  t = table(conftest.endpoint("e1"))
  for _ in range(10):
    t.record_failure("e1", "poison", now=0.0)
  assert t.pick("speller", 0.0).name == "e1"


def test_slow_endpoint_gets_fewer_tasks():
  t = table(conftest.endpoint("slow", slots=8), conftest.endpoint("quick", 8))
  for _ in range(20):
    t.record_success("slow", elapsed_ms=400.0, declared_ms=100.0)
    t.record_success("quick", elapsed_ms=100.0, declared_ms=100.0)
  first = picks(t, 8)
  assert first.count("quick") >= 6


def test_team_with_a_long_queue_does_not_delay_another():
  queue = placement.TaskQueue()
  queue.add("big", "k1", [f"t{i}" for i in range(100)])
  queue.add("small", "k2", ["t0"])
  order = []
  for _ in range(3):
    team = queue.teams[0]
    order.append(team)
    queue.take(team)
  assert order == ["big", "small", "big"]
  assert len(queue) == 98


def test_teams_get_slots_by_weight():
  weights = {"heavy": 3.0, "light": 1.0}
  queue = placement.TaskQueue(weights.__getitem__)
  for team in weights:
    queue.add(team, "k", [f"t{i}" for i in range(100)])
  taken = []
  for _ in range(40):
    taken.append(queue.next_team(()))
    queue.take(taken[-1], 0.2)
  assert taken.count("heavy") == 30
  assert queue.snapshot()["heavy"] == {
      "weight": 3.0,
      "waiting": 70,
      "running": 0,
      "share": 0.0,
  }


def test_blocked_team_is_next_but_saves_up_no_turns():
  queue = placement.TaskQueue()
  for team in ("blocked", "other"):
    queue.add(team, "k", [f"t{i}" for i in range(100)])
  for _ in range(20):
    assert queue.next_team({"blocked"}) == "other"
    queue.take("other")
  order = []
  for _ in range(10):
    order.append(queue.next_team(()))
    queue.take(order[-1])
  assert order[0] == "blocked"
  assert order.count("blocked") == 5
