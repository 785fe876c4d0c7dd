"""JSON codec for the store's records of kept (durable) jobs."""

import json

from fescueturn import codes
from fescueturn import errors
from fescueturn import settings
from fescueturn.scheduler import model


class MalformedRecordError(errors.FescueError):
  """A record in the store is not valid for this version."""

  code = codes.Code.BAD_FIELD


def encode_job(job: model.Job) -> bytes:
  """Returns a kept job's record, which does not contain the job's id."""
  record = {
      "service": job.service,
      "spec": job.spec,
      "steps": [_encode_step(step) for step in job.steps],
      "attempts": job.attempts,
      "stretch": job.stretch,
      "slo_ms": job.slo_ms,
      "queue": job.queue,
  }
  if job.priority:
    record["priority"] = job.priority
  return _dump(record)


def _encode_step(step: model.Step) -> list:
  need = step.need
  return [
      step.count,
      [need.cpu, need.mem_mb, need.gpu],
      step.estimate_ms,
      list(step.after),
      step.requires,
      step.near,
      step.most_per_endpoint,
  ]


def decode_job(job_id: str, value: bytes) -> model.Job:
  """Returns the kept job that a record encodes.

  Raises:
    MalformedRecordError: the record is not valid.
  """
  try:
    raw = json.loads(value)
    return model.Job(
        id=job_id,
        service=raw["service"],
        spec=raw["spec"],
        steps=tuple(_decode_step(row) for row in raw["steps"]),
        attempts=raw["attempts"],
        stretch=raw["stretch"],
        slo_ms=raw["slo_ms"],
        queue=raw["queue"],
        kept=True,
        # Priority 0, the most urgent, isn't written.
        priority=raw.get("priority", 0),
    )
  except (KeyError, TypeError, ValueError) as exc:
    raise MalformedRecordError(
        f"malformed record of kept job {job_id}: {exc!r}"
    ) from exc


def _decode_step(row: list) -> model.Step:
  count, need, estimate_ms, after, requires, near, most = row
  return model.Step(
      count,
      model.Resources(*need),
      estimate_ms,
      tuple(after),
      requires,
      near,
      most,
  )


def encode_progress(progress: model.Progress) -> bytes:
  """Returns the record of a job's progress.

  Each row identifies a task by its step and index; the fields are as in
  `model.Progress`.
  """
  attempts = {"attempts": progress.attempts} if progress.attempts else {}
  born = {lost.endpoint: lost.born_ms for lost in progress.lost if lost.born_ms}
  lost_born = {"lost_born": born} if born else {}
  return _dump(
      {
          "done": [[t.step, t.index] for t in progress.done],
          "failed": [
              [r.task.step, r.task.index, r.attempt] for r in progress.failed
          ],
          "crashed": [[t.step, t.index, name] for t, name in progress.crashed],
          "lost": [
              [
                  lost.task.step,
                  lost.task.index,
                  lost.endpoint,
                  str(lost.address),
              ]
              for lost in progress.lost
          ],
          # Earlier versions write no such fields.
          **lost_born,
          **attempts,
      }
  )


def decode_progress(job_id: str, value: bytes) -> model.Progress:
  """Returns the progress that a record of a job encodes.

  Raises:
    MalformedRecordError: the record is not valid.
  """
  try:
    raw = json.loads(value)
    born = raw.get("lost_born", {})
    return model.Progress(
        tuple(model.Task(job_id, step, i) for step, i in raw["done"]),
        tuple(
            model.RunId(model.Task(job_id, step, i), attempt)
            for step, i, attempt in raw["failed"]
        ),
        # Records of earlier versions lack `crashed` and `lost`.
        tuple(
            (model.Task(job_id, step, i), name)
            for step, i, name in raw.get("crashed", ())
        ),
        tuple(
            model.LostEndpoint(
                model.Task(job_id, step, i),
                name,
                settings.parse_address(address),
                born.get(name, 0),
            )
            for step, i, name, address in raw.get("lost", ())
        ),
        raw.get("attempts", 0),
    )
  except (AttributeError, KeyError, TypeError, ValueError) as exc:
    raise MalformedRecordError(
        f"malformed progress record of kept job {job_id}: {exc!r}"
    ) from exc


def _dump(record: dict) -> bytes:
  return json.dumps(record, separators=(",", ":")).encode()
