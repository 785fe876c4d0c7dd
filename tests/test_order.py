"""The order in which waiting jobs get room, and what no urgency is denied."""

import collections

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from fescueturn.scheduler.decisions import order


def waiting_job(
    key, priority: int, latest_start: float = 0.0, tasks: int = 1, begun=False
) -> order.WaitingJob:
  return order.WaitingJob(key, priority, begun, latest_start, (0.1,) * tasks)


def turns(waiting, in_use=None, guaranteed=None) -> list:
  return [j.key for j in order.in_turn(waiting, in_use or {}, guaranteed or {})]


def test_more_urgent_jobs_go_first_then_those_with_less_slack():
  waiting = [
      waiting_job("late", 1, 1.0),
      waiting_job("urgent", 0, 9.0),
      waiting_job("early", 1, 0.5),
  ]
  assert turns(waiting) == ["urgent", "early", "late"]


def test_begun_job_is_finished_before_a_more_urgent_one_begins():
  waiting = [waiting_job("urgent", 0), waiting_job("begun", 2, begun=True)]
  assert turns(waiting) == ["begun", "urgent"]


def test_urgency_below_its_guarantee_goes_before_a_more_urgent_one():
  waiting = [waiting_job("urgent", 0), waiting_job("other", 1)]
  in_use = {0: 9, 1: 1}
  guaranteed = order.guaranteed_slots((0, 1), 10)
  assert turns(waiting, in_use, guaranteed) == ["other", "urgent"]
  assert turns(waiting, {0: 7, 1: 3}, guaranteed) == ["urgent", "other"]


def test_tasks_of_an_urgency_below_its_guarantee_are_ahead_of_urgent_ones():
  waiting = [waiting_job("other", 1, tasks=4)]
  ahead = order.tasks_ahead(waiting, 0, 0.0, {0: 9, 1: 1}, {0: 3.0, 1: 3.0})
  assert ahead == [0.1, 0.1]


@given(
    st.lists(st.tuples(st.integers(0, 4), st.integers(1, 8)), max_size=20),
    st.lists(st.integers(0, 20), min_size=5, max_size=5),
    st.integers(1, 60),
)
def test_no_job_begins_before_one_of_an_urgency_below_its_guarantee(
    jobs, used, slots
):
  """Unless its own urgency is below its guarantee, too, and is more urgent."""
  in_use = dict(enumerate(used))
  guaranteed = order.guaranteed_slots(range(5), slots)
  waiting = [waiting_job(n, p, n, w) for n, (p, w) in enumerate(jobs)]
  left = collections.Counter(job.priority for job in waiting)
  for job in order.in_turn(waiting, in_use, guaranteed):
    below = [p for p in left if left[p] and in_use[p] + 1 <= guaranteed[p]]
    first = min(below or [p for p in left if left[p]])
    assert job.priority == first
    left[job.priority] -= 1
    in_use[job.priority] += len(job.run_s)
  assert not any(left.values())


@st.composite
def overloads(draw):
  """Draws a number of slots, and the width and run time of each urgency.

  No job is wider than half of an equal part of the slots.
  """
  urgencies = draw(st.integers(2, 5))
  slots = draw(st.integers(2 * urgencies, 60))
  widest = slots // (2 * urgencies)
  widths = draw(
      st.lists(st.integers(1, widest), min_size=urgencies, max_size=urgencies)
  )
  run_times = draw(
      st.lists(st.integers(1, 30), min_size=urgencies, max_size=urgencies)
  )
  return slots, widths, run_times


@settings(deadline=None, max_examples=60)
@given(overloads())
def test_no_urgency_is_starved_while_all_have_more_jobs_than_fit(overload):
  """Each has its guaranteed slots, less those of the widest job.

  A job that has begun is finished first, whatever its urgency is.
  """
  slots, widths, run_times = overload
  running: list[tuple[int, int]] = []
  begun: dict[int, int] = {}
  used = collections.Counter()
  steps, settled = 200, 50
  for step in range(steps):
    running = [(end, p) for end, p in running if end > step]
    _start_all(running, begun, slots, widths, run_times, step)
    if step >= settled:
      used.update(p for _, p in running)
  guaranteed = order.guaranteed_slots(range(len(widths)), slots)
  for priority, slots_guaranteed in guaranteed.items():
    bound = int(slots_guaranteed) - max(widths)
    assert used[priority] / (steps - settled) >= bound
    assert used[priority]


def _start_all(running, begun, slots, widths, run_times, step):
  """Fills the free slots; every urgency always has jobs that wait."""
  in_use = collections.Counter(p for _, p in running)
  guaranteed = order.guaranteed_slots(range(len(widths)), slots)
  while len(running) < slots:
    waiting = [waiting_job(p, p, tasks=w) for p, w in enumerate(widths)]
    waiting += [
        waiting_job(p, p, tasks=left, begun=True) for p, left in begun.items()
    ]
    job = next(order.in_turn(waiting, in_use, guaranteed))
    started = min(len(job.run_s), slots - len(running))
    running += [(step + run_times[job.priority], job.priority)] * started
    in_use[job.priority] += started
    begun.pop(job.priority, None)
    if started < len(job.run_s):
      begun[job.priority] = len(job.run_s) - started
