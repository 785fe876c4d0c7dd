"""Kept jobs, and one zone is lost for good: its entry hosts and its minions."""

import json
import pathlib
import random
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness

ZONES = ("z1", "z2", "z3")
LOST_ZONE = "z1"
ENTRIES_A_ZONE = 2
MINIONS_A_ZONE = 2
MINION_CPU = 16000
TASKS, TASK_CPU, TASK_S = 1, 1000, 3.0
JOBS_PER_S = 8.0
TRAFFIC_S = 8.0
LOSS_AT_S = 5.0
DEADLINE_MS = 3000
RESEND_S = 1.3


def job_body():
  phase = {
      "taskCount": TASKS,
      "cpu": TASK_CPU,
      "memMb": 64,
      "estimateMs": int(TASK_S * 1000),
  }
  return {"spec": json.dumps({"run_s": TASK_S}), "phases": [phase]}


class Client:
  """Hands in one job after the other and notes which were accepted."""

  def __init__(self, case):
    self.case = case
    self.accepted = {}
    self.lost = False

  def choose(self):
    entries = self.case.entries
    if self.lost:
      entries = [entry for entry in entries if entry.zone != LOST_ZONE]
    return random.choice(entries)

  def hand_in(self, job_id):
    entry = self.case.hand_in(
        self.choose, job_id, job_body(), DEADLINE_MS, RESEND_S
    )
    if entry is not None:
      self.accepted[job_id] = entry


def lose_zone(case, client):
  case.note("zone_lost", zone=LOST_ZONE)
  client.lost = True
  for entry in case.entries:
    if entry.zone == LOST_ZONE:
      entry.process.kill()
  for minion in case.minions:
    if minion.zone == LOST_ZONE:
      minion.crash()
  for entry in case.entries:
    if entry.zone == LOST_ZONE:
      entry.process.wait()


def play(case):
  case.start(ZONES, ENTRIES_A_ZONE, MINIONS_A_ZONE, cpu=MINION_CPU)
  time.sleep(2.0)
  client = Client(case)
  threads = []
  began = time.monotonic()
  number = 0
  while (elapsed := time.monotonic() - began) < TRAFFIC_S:
    if case.trouble and elapsed >= LOSS_AT_S and not client.lost:
      lose_zone(case, client)
    number += 1
    job_id = f"{random.getrandbits(32):08x}{number:08x}"
    thread = threading.Thread(target=client.hand_in, args=(job_id,))
    thread.start()
    threads.append(thread)
    time.sleep(1 / JOBS_PER_S)
  for thread in threads:
    thread.join()
  case.note("traffic_ends", accepted=len(client.accepted))
  time.sleep(harness.BOUNDS["finish_s"])
  return harness.judge_lost(
      case, client.accepted, TASK_CPU, TASKS * TASK_CPU, lambda minion: True
  )


if __name__ == "__main__":
  sys.exit(harness.main("2", play))
