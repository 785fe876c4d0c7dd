"""Jobs of two steps while the entry hosts are restarted in turn (SIGTERM)."""

import json
import pathlib
import random
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness

ZONES = ("z1", "z2")
ENTRIES_A_ZONE = 2
MINIONS_A_ZONE = 8
# Tasks of 0.06 s and of 0.9 s, as those of the sheets.
STEP_S = (0.06, 0.9)
JOBS_PER_S = 8.0
TRAFFIC_S = 30.0
# When the first entry host is stopped, after the traffic's begin.
WARM_UP_S = 3.0
DEADLINE_MS = 6000
RESEND_S = 1.3
GAP_S = 2.0


def job_body():
  phases = [
      {"taskCount": 2, "cpu": 1000, "memMb": 64, "estimateMs": 60},
      {
          "taskCount": 1,
          "cpu": 1000,
          "memMb": 64,
          "estimateMs": 900,
          "after": [0],
      },
  ]
  spec = json.dumps({"run_s": STEP_S})
  return {"spec": spec, "phases": phases, "bestEffort": True}


class Balancer:
  """Chooses among the entry hosts that are ready, as the platform does."""

  def __init__(self, entries):
    self.entries = entries
    self.ready = set(entries)
    self.misses = {entry: 0 for entry in entries}
    self.stopped = threading.Event()

  def run(self):
    while not self.stopped.wait(1.0):
      for entry in self.entries:
        try:
          is_ready = entry.ready()
        except OSError:
          is_ready = False
        self.misses[entry] = 0 if is_ready else self.misses[entry] + 1
        if is_ready:
          self.ready.add(entry)
        elif self.misses[entry] >= 2:
          self.ready.discard(entry)

  def choose(self):
    return random.choice(sorted(self.ready or self.entries, key=id))


def send_job(case, balancer, job_id):
  for _ in range(3):
    status, _ = case.submit(balancer.choose(), job_id, job_body(), DEADLINE_MS)
    if status not in (0, 502, 504):
      return
    time.sleep(RESEND_S)


def send_jobs(case, balancer, began):
  threads = []
  while time.monotonic() - began < TRAFFIC_S:
    number = len(threads) + 1
    job_id = f"{random.getrandbits(32):08x}{number:08x}"
    thread = threading.Thread(target=send_job, args=(case, balancer, job_id))
    thread.start()
    threads.append(thread)
    time.sleep(1 / JOBS_PER_S)
  for thread in threads:
    thread.join()


def restart_in_turn(case):
  """Restarts the entry hosts one after the other."""
  for entry in case.entries:
    case.note("sigterm", entry=entry.name, holds=entry.holds())
    entry.terminate()
    if not ended_in_time(entry):
      entry.kill()
    case.note("exited", entry=entry.name)
    entry.start()
    harness.wait_for(entry.ready, f"{entry.name} ready again")
    case.note("ready", entry=entry.name)
    time.sleep(GAP_S)


def ended_in_time(entry):
  end = time.monotonic() + harness.GRACE_S
  while time.monotonic() < end:
    if entry.process.poll() is not None:
      return True
    time.sleep(0.02)
  return False


def play(case):
  case.start(ZONES, ENTRIES_A_ZONE, MINIONS_A_ZONE)
  time.sleep(3.0)
  balancer = Balancer(case.entries)
  threads = [threading.Thread(target=balancer.run)]
  threads[0].start()
  began = time.monotonic()
  threads.append(
      threading.Thread(target=send_jobs, args=(case, balancer, began))
  )
  threads[-1].start()
  try:
    time.sleep(WARM_UP_S)
    if case.trouble:
      restart_in_turn(case)
  finally:
    balancer.stopped.set()
    for thread in threads:
      thread.join()
  time.sleep(1.0)
  return [
      f"TWICE {first[0]}: run {first[1]} at {first[2]} from"
      f" {first[3] - case.began:.3f} to {first[4] - case.began:.3f} ({first[5]}),"
      f" run {second[1]} at {second[2]} from {second[3] - case.began:.3f}"
      f" to {second[4] - case.began:.3f} ({second[5]})"
      for first, second in harness.overlaps(case.runs())
  ]


if __name__ == "__main__":
  sys.exit(harness.main("1", play))
