from fescueturn.scheduler import reservations

TOTAL = 18


def make_demand(now: float = 0.0) -> reservations.Demand:
  """Returns a demand of wide jobs for 4 slots and of narrow ones for 20."""
  demand = reservations.Demand()
  demand.add("wide", 8, 4 * reservations.WINDOW_S, now)
  demand.add("narrow", 2, 20 * reservations.WINDOW_S, now)
  return demand


def test_nothing_is_reserved_below_capacity():
  assert make_demand().reserved_for_wider("narrow", 2, {}, 25) == 0


def test_narrow_job_leaves_slots_to_wide_ones_and_not_vice_versa():
  demand = make_demand()
  assert demand.reserved_for_wider("narrow", 2, {}, TOTAL) == 6
  assert demand.reserved_for_wider("wide", 8, {}, TOTAL) == 0


def test_slots_that_wide_jobs_occupy_are_not_reserved_again():
  demand = make_demand()
  assert demand.reserved_for_wider("narrow", 2, {"wide": 5}, TOTAL) == 1
  assert demand.reserved_for_wider("narrow", 2, {"wide": 8}, TOTAL) == 0


def test_reservation_is_limited_to_a_part_of_all_slots():
  demand = make_demand()
  demand.add("wide", 8, 100 * reservations.WINDOW_S, 0.0)
  assert demand.reserved_for_wider("narrow", 2, {}, 10) == 6


def test_job_of_an_unknown_queue_is_judged_by_its_own_width():
  demand = make_demand()
  assert demand.reserved_for_wider("other", 4, {}, TOTAL) == 6
  assert demand.reserved_for_wider("other", 8, {}, TOTAL) == 0


def test_demand_decays_and_is_dropped():
  demand = make_demand()
  demand.add("narrow", 2, 20 * reservations.WINDOW_S, reservations.WINDOW_S)
  assert demand.reserved_for_wider("narrow", 2, {}, TOTAL) == 2
  demand.add("narrow", 2, 20 * reservations.WINDOW_S, 100.0)
  assert demand.reserved_for_wider("narrow", 2, {}, TOTAL) == 0
  assert demand.reserved_for_wider("other", 1, {}, TOTAL) == 10
