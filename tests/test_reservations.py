from fescueturn.scheduler import reservations

TOTAL = 18


def demand(now: float = 0.0) -> reservations.Demand:
  """Wide jobs that would keep 4 places at work, narrow ones 20."""
  made = reservations.Demand()
  made.add("wide", 8, 4 * reservations.WINDOW_S, now)
  made.add("narrow", 2, 20 * reservations.WINDOW_S, now)
  return made


def test_nothing_is_kept_while_there_is_room_for_all():
  assert demand().reserved_for_wider("narrow", 2, {}, 25) == 0


def test_narrow_job_leaves_places_to_wide_ones_and_not_the_other_way():
  made = demand()
  assert made.reserved_for_wider("narrow", 2, {}, TOTAL) == 6
  assert made.reserved_for_wider("wide", 8, {}, TOTAL) == 0


def test_places_that_wide_jobs_have_are_not_kept_as_well():
  made = demand()
  assert made.reserved_for_wider("narrow", 2, {"wide": 5}, TOTAL) == 1
  assert made.reserved_for_wider("narrow", 2, {"wide": 8}, TOTAL) == 0


def test_no_more_is_kept_than_a_part_of_all():
  made = demand()
  made.add("wide", 8, 100 * reservations.WINDOW_S, 0.0)
  assert made.reserved_for_wider("narrow", 2, {}, 10) == 6


def test_job_of_a_queue_not_seen_of_late_goes_by_its_own_width():
  made = demand()
  assert made.reserved_for_wider("other", 4, {}, TOTAL) == 6
  assert made.reserved_for_wider("other", 8, {}, TOTAL) == 0


def test_demand_fades_and_is_forgotten():
  made = demand()
  made.add("narrow", 2, 20 * reservations.WINDOW_S, reservations.WINDOW_S)
  assert made.reserved_for_wider("narrow", 2, {}, TOTAL) == 2
  made.add("narrow", 2, 20 * reservations.WINDOW_S, 100.0)
  assert made.reserved_for_wider("narrow", 2, {}, TOTAL) == 0
  assert made.reserved_for_wider("other", 1, {}, TOTAL) == 10
