"""Kept jobs that require a kind of minion, of which one zone loses its only one."""

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
# One of 8 minions is lost: a share of 0.125.
MINIONS_A_ZONE = 4
MINION_CPU = 16000
KIND = "b"
TASK_CPU, TASK_S = 1000, 1.0
JOBS_PER_S = 2.0
TRAFFIC_S = 12.0
LOSS_AT_S = 4.0
DEADLINE_MS = 3000
RESEND_S = 1.3


def job_body():
  phase = {
      "taskCount": 1,
      "cpu": TASK_CPU,
      "memMb": 64,
      "estimateMs": int(TASK_S * 1000),
      "requires": KIND,
  }
  return {"spec": json.dumps({"run_s": TASK_S}), "phases": [phase]}


def is_of_kind(minion):
  return KIND in minion.entry["labels"]


def hand_in(case, accepted, job_id):
  entry = case.hand_in(
      lambda: random.choice(case.entries),
      job_id,
      job_body(),
      DEADLINE_MS,
      RESEND_S,
  )
  if entry is not None:
    accepted[job_id] = entry


def play(case):
  # The last minion of each zone is of another kind than the others.
  case.kind_of = lambda number: KIND if number == MINIONS_A_ZONE - 1 else "a"
  case.start(ZONES, ENTRIES_A_ZONE, MINIONS_A_ZONE, cpu=MINION_CPU)
  time.sleep(2.0)
  lost = next(m for m in case.minions if m.zone == ZONES[0] and is_of_kind(m))
  accepted = {}
  threads = []
  began = time.monotonic()
  while (elapsed := time.monotonic() - began) < TRAFFIC_S:
    is_up = lost.process.poll() is None
    if case.trouble and elapsed >= LOSS_AT_S and is_up:
      lost.crash()
    job_id = f"{random.getrandbits(32):08x}{len(threads):08x}"
    thread = threading.Thread(target=hand_in, args=(case, accepted, job_id))
    thread.start()
    threads.append(thread)
    time.sleep(1 / JOBS_PER_S)
  for thread in threads:
    thread.join()
  case.note("traffic_ends", accepted=len(accepted))
  time.sleep(harness.BOUNDS["finish_s"])
  return harness.judge_lost(case, accepted, TASK_CPU, TASK_CPU, is_of_kind)


if __name__ == "__main__":
  sys.exit(harness.main("3", play))
