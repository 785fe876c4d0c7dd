"""What a holder tells of its decisions on offered jobs."""

from fescueturn.emulator import load


def overloaded_fleet():
  plan = load.Plan(seed=1, seconds=4, jobs_per_s=200, urgencies=True)
  return load.simulate_fleet(plan)[0]


def test_dump_counts_what_became_of_each_queues_jobs():
  fleet = overloaded_fleet()
  owners = [
      owner
      for host in fleet.hosts.values()
      for owner in host.state.owners.values()
  ]
  queues = [owner.snapshot()["queues"] for owner in owners]
  total = {}
  for counts in queues:
    for queue, counters in counts.items():
      for what, count in counters.items():
        total[queue, what] = total.get((queue, what), 0) + count
  for kind in load.KINDS:
    accepted = total[kind.name, "accepted"]
    assert total[kind.name, "asked"] >= accepted
    ended = ("done", "no_room_in_time", "withdrawn", "deadline", "handed_back")
    assert accepted == sum(total.get((kind.name, how), 0) for how in ended)
    assert total[kind.name, "declined_no_room"]


def test_declined_and_dropped_jobs_are_logged_with_what_decided():
  fleet = overloaded_fleet()
  lines = [line for host in fleet.hosts.values() for line in host.log]
  declined = [dict(x.fields) for x in lines if x.event == "job_declined"]
  dropped = [
      dict(x.fields)
      for x in lines
      if x.event == "job_over" and dict(x.fields)["why"] == "no_room_in_time"
  ]
  assert declined
  assert dropped
  expected = {"queue", "priority", "chance", "wait_ms", "free_slots"}
  assert all(expected <= set(line) for line in declined)
  expected = {"queue", "priority", "chance", "age_ms", "free_endpoints"}
  assert all(expected <= set(line) for line in dropped)
