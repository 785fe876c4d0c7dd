"""The naive dispatcher, a baseline for benchmarks; not for production.

It admits a job by writing its key to the platform's store (one
compare-and-swap per job), and sends each task to a random endpoint, whatever
its load. `[entry] naive = true` in the settings selects it.
"""

import random

from fescueturn import answers
from fescueturn import claims
from fescueturn import codes
from fescueturn import errors
from fescueturn import events
from fescueturn import jobs
from fescueturn import placement
from fescueturn import state as state_lib


class RandomEndpoints(placement.EndpointTable):
  """An endpoint table that picks at random, ignoring load and failures."""

  def __init__(self, me: str):
    super().__init__(me)
    self._rng = random.Random(me)

  def pick(self, service: str, now: float) -> events.EndpointInfo | None:
    """Returns a random listed endpoint of `service` that is not leaving."""
    del now
    names = sorted(
        e.name for e in self.listed() if service in e.services and not e.leaving
    )
    if not names:
      return None
    chosen = self._rng.choice(names)
    return next(e for e in self.listed() if e.name == chosen)


def new_state(name: str, boot: str, limits: state_lib.Limits):
  """Returns the state of an entry host that uses this baseline."""
  return state_lib.EntryState(name, boot, limits, admit, RandomEndpoints(name))


def admit(state: state_lib.EntryState, record: state_lib.JobRecord) -> list:
  """Claims the job's key in the platform's store."""
  del state
  claim = claims.Claim(
      record.job.key, record.job.fingerprint, claims.Token("", ""), 0
  )
  return [events.StoreClaim(claim)]


def store_claimed(
    state: state_lib.EntryState, event: events.StoreClaimed
) -> list:
  """Starts the job if its key was free.

  Refuses it if the store did not answer. If the key existed, answers that the
  outcome is unknown: the entry host that wrote it may have run the job.
  """
  record = state.jobs.get(event.key)
  if record is None or record.phase is not state_lib.Phase.CLAIMING:
    return []
  if event.claimed:
    return jobs.start_tasks(state, record)
  if event.claimed is None:
    error = errors.FescueError("store unavailable", codes.Code.KV_UNAVAILABLE)
    return jobs.refuse_all(state, record, error)
  answer = answers.owner_lost(record.job, state.limits.retry_after_s)
  return jobs.finish_job(state, record, answer)
