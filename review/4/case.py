"""A host is restarted as planned; later a rack loses power for some seconds."""

import asyncio
import collections
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import minisite  # noqa: E402

# Hosts and minions by zone; a zone's minions are one rack.
ZONES = {"tpe-hall": (3, 8), "tsa-hall": (3, 8), "rmq-hall": (2, 8)}
ATTEMPTS = 4
RUN_S = 1.5
STEPS = 10
JOBS = 3
DARK_S = 4.5
# A task under which this many minions have crashed may be given up.
CRASHES_TO_GIVE_UP = 2


def _job() -> dict:
  """Returns a job of several steps, one after the other."""
  body = minisite.job(RUN_S)
  first = body["phases"][0]
  later = [{**first, "after": [number]} for number in range(STEPS - 1)]
  body["phases"] = [first, *later]
  return body


async def _hand_in(site) -> str:
  host = random.choice([h for h in site.hosts if h.zone == "tpe-hall"])
  job_id = minisite.new_id()
  status, answer = await minisite.submit(site, host, job_id, _job())
  if status != 200:
    raise RuntimeError(f"job: {status} {answer}")
  return job_id


async def _restart(site, host):
  """Stops a host as planned and starts it again; waits until it is in touch."""
  host.signal(signal.SIGTERM)
  await host.process.wait()
  await host.start()
  await site.wait_for(host.is_ready, 10)
  await asyncio.sleep(minisite.BOUNDS["contactMs"] / 1000)


async def play() -> bool:
  site = minisite.Site(FOLDER, ZONES)
  try:
    await site.start(minisite.config(3, attempts=ATTEMPTS))
    jobs = [await _hand_in(site) for _ in range(JOBS)]
    await asyncio.sleep(0.5)
    if minisite.trouble():
      await _restart(site, site.holder("tpe-hall"))
      rack = [m for m in site.minions if m.zone == "tpe-hall"]
      await asyncio.gather(*(m.lose_power(DARK_S) for m in rack))
    await asyncio.sleep(STEPS * RUN_S + minisite.BOUNDS["finish_s"])
    failed = {task for *_, task, _, how in site.ends if how == "failed"}
    # The runs that were lost with their minion, by task.
    crashes = collections.Counter(site.lost_tasks)
    broken = []
    for job_id in jobs:
      tasks = [f"{job_id}.0.{step}.0" for step in range(STEPS)]
      host = random.choice(site.hosts)
      status, body = await minisite.call(
          host.callers, "GET", minisite.PREFIX + job_id
      )
      site.record(f"GET {job_id} at {host.name}: {status} {body}")
      if status != 200 or body["state"] != "failed":
        continue
      most_crashes = max(crashes[task] for task in tasks)
      if not failed.intersection(tasks) and most_crashes < CRASHES_TO_GIVE_UP:
        broken.append(
            f"{job_id} is shown as failed; none of its runs ended failed, and"
            f" {most_crashes} minion crashed under any task of it"
        )
    for text in broken:
      site.record(f"LOST: {text}")
      print(f"LOST: {text}")
    return bool(broken)
  finally:
    site.save_logs()
    await site.close()


if __name__ == "__main__":
  minisite.main(play)
