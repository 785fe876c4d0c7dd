"""Seeded workloads of both teams' jobs, for the demo and the fault benchmark.

Altamaha's jobs check the spelling of pupils' sentences. The Consortium's jobs
are a mix of quote checks, fuel releases (not idempotent) and cancellations.
Most declared run times are between 50 ms and 1 s, a few are several seconds, as
the teams have specified.
"""

import random

from fescueturn import messages

ALTAMAHA = "altamaha"
CONSORTIUM = "consortium"

SENTENCES = (
    "the quick brown fox jumps over the lazy dog",
    "my teacher said we will have a quizz on friday",
    "we walked along the river untill the sun went down",
    "her favorite subject at school is sceince",
    "the library has many books about anciant history",
    "please remember to bring your homework tommorow",
    "the weather in savannah is warm and humid in summer",
    "our class planted a garden behind the gymnasium",
    "he wrote a leter to his grandmother in macon",
    "the orchestra played beautifull music at the concert",
)

SHORT_RUN_MS = (50, 1000)
LONG_RUN_MS = (2000, 5000)
LONG_SHARE = 0.03


def run_ms(rng: random.Random, scale: float = 1.0) -> int:
  """Returns a random declared run time (ms), multiplied by `scale`."""
  low, high = LONG_RUN_MS if rng.random() < LONG_SHARE else SHORT_RUN_MS
  return max(1, int(rng.uniform(low, high) * scale))


def _with_typo(rng: random.Random, sentence: str) -> str:
  words = sentence.split()
  index = rng.randrange(len(words))
  word = words[index]
  if len(word) > 3:
    dropped = rng.randrange(1, len(word) - 1)
    words[index] = word[:dropped] + word[dropped + 1 :]
  return " ".join(words)


def _spelling_task(rng, index: int, scale: float) -> messages.Task:
  sentence = _with_typo(rng, rng.choice(SENTENCES))
  return messages.Task(f"t{index}", "spell", sentence, run_ms(rng, scale))


def _uplift_task(rng, index: int, scale: float) -> messages.Task:
  kind = rng.choices(("quote_check", "fuel_release", "cancel"), (6, 2, 2))[0]
  payload = f"tail=B-{rng.randrange(1000, 9999)} stand={rng.randrange(1, 40)}"
  idempotent = kind != "fuel_release"
  return messages.Task(
      f"t{index}", kind, payload, run_ms(rng, scale), idempotent
  )


def make_job(
    rng: random.Random,
    team: str,
    number: str,
    max_tasks: int,
    scale: float = 1.0,
) -> messages.Job:
  """Returns a random job for `team` with 1 to `max_tasks` tasks."""
  count = rng.randint(1, max_tasks)
  make_task = _spelling_task if team == ALTAMAHA else _uplift_task
  tasks = tuple(make_task(rng, i, scale) for i in range(count))
  job_id = f"{team}-{number}"
  draft = messages.Job(team, job_id, f"key-{job_id}", tasks, "")
  body = messages.job_to_json(draft)
  return messages.Job(
      team, job_id, draft.key, tasks, messages.fingerprint(body)
  )


def make_jobs(
    seed: int, per_team: int, max_tasks: int, scale: float = 1.0
) -> list[messages.Job]:
  """Returns `per_team` jobs for each team, alternating between the teams."""
  rng = random.Random(seed)
  jobs = []
  for number in range(per_team):
    for team in (ALTAMAHA, CONSORTIUM):
      jobs.append(make_job(rng, team, f"{seed}-{number}", max_tasks, scale))
  return jobs


def ideal_ms(job: messages.Job, round_trip_ms: float) -> float:
  """Returns the ideal response time (ms): the longest task and a round trip."""
  return max(t.run_ms for t in job.tasks) + round_trip_ms
