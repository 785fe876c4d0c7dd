"""Jobs, tasks and answers, and their JSON forms in the callers' interface.

Callers send JSON over HTTP. This module validates it and converts it to frozen
dataclasses, and converts answers back to JSON. Invalid input raises
`errors.BadRequestError` with a numbered code before any task is started.
"""

import dataclasses
import hashlib
import json
from typing import Any

from fescueturn import codes
from fescueturn import errors

MAX_ID_LENGTH = 128
MAX_PAYLOAD_CHARS = 64 * 1024
MAX_RUN_MS = 600_000


@dataclasses.dataclass(frozen=True)
class Task:
  """One short task of a job.

  Attributes:
    task_id: unique within the job.
    kind: the operation that the endpoint runs (``spell``, ``fuel_release``,
      ...).
    payload: the task's input text.
    run_ms: the run time that the caller declares, in milliseconds.
    idempotent: False for tasks that must run at most once.
  """

  task_id: str
  kind: str
  payload: str
  run_ms: int
  idempotent: bool = True


@dataclasses.dataclass(frozen=True)
class Job:
  """A caller's job: a team's set of tasks under one idempotency key.

  Attributes:
    team: the team that owns the job; must have settings in the platform.
    job_id: the caller's identifier of the job.
    key: the caller's idempotency key; retries of the job reuse it.
    tasks: the tasks, in the caller's order.
    fingerprint: hex SHA-256 of the job's canonical JSON; detects that a key is
      reused for another job.
    deadline_ms: how long the caller waits, in milliseconds; 0 for the team's
      default.
  """

  team: str
  job_id: str
  key: str
  tasks: tuple[Task, ...]
  fingerprint: str
  deadline_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Cancel:
  """A caller's cancellation of the job with an idempotency key."""

  team: str
  key: str


@dataclasses.dataclass(frozen=True)
class TaskAnswer:
  """The final outcome of one task: its code and result."""

  task_id: str
  code: codes.Code
  result: str = ""

  @property
  def ran(self) -> codes.Ran:
    """What the code proves: the task ran, did not run, or this is unknown."""
    return codes.task_ran(self.code)


@dataclasses.dataclass(frozen=True)
class JobAnswer:
  """The answer to a job: complete, or failed with a code for each task.

  Attributes:
    key: the idempotency key the answer belongs to.
    job_id: the caller's job id.
    code: `Code.JOB_COMPLETE`, `Code.JOB_FAILED`, or `Code.JOB_CANCELLED`.
    tasks: one answer per task of the job, in the job's order.
    retry_after_s: for a failed job, seconds after which the caller may retry.
  """

  key: str
  job_id: str
  code: codes.Code
  tasks: tuple[TaskAnswer, ...]
  retry_after_s: int = 0

  @property
  def complete(self) -> bool:
    """True if every task ran and returned its result."""
    return self.code == codes.Code.JOB_COMPLETE


def _field(obj: dict[str, Any], name: str, kind: type, where: str) -> Any:
  if name not in obj:
    raise errors.BadRequestError(f"{where}.{name}: required")
  value = obj[name]
  if kind is int and isinstance(value, bool):
    raise errors.BadRequestError(f"{where}.{name}: expected int")
  if not isinstance(value, kind):
    raise errors.BadRequestError(f"{where}.{name}: expected {kind.__name__}")
  return value


def _identifier(obj: dict[str, Any], name: str, where: str) -> str:
  value = _field(obj, name, str, where)
  if not value or len(value) > MAX_ID_LENGTH:
    raise errors.BadRequestError(f"{where}.{name}: 1 to {MAX_ID_LENGTH} chars")
  return value


def _parse_task(obj: Any, index: int) -> Task:
  where = f"tasks[{index}]"
  if not isinstance(obj, dict):
    raise errors.BadRequestError(f"{where}: expected object")
  payload = _field(obj, "payload", str, where)
  if len(payload) > MAX_PAYLOAD_CHARS:
    raise errors.BadRequestError(f"{where}.payload: over {MAX_PAYLOAD_CHARS}")
  run_ms = _field(obj, "run_ms", int, where)
  if not 0 <= run_ms <= MAX_RUN_MS:
    raise errors.BadRequestError(f"{where}.run_ms: 0 to {MAX_RUN_MS}")
  idempotent = obj.get("idempotent", True)
  if not isinstance(idempotent, bool):
    raise errors.BadRequestError(f"{where}.idempotent: expected bool")
  return Task(
      task_id=_identifier(obj, "id", where),
      kind=_identifier(obj, "kind", where),
      payload=payload,
      run_ms=run_ms,
      idempotent=idempotent,
  )


def fingerprint(body: dict[str, Any]) -> str:
  """Returns the hex SHA-256 of a job body in canonical JSON form."""
  canonical = json.dumps(body, sort_keys=True, separators=(",", ":"))
  return hashlib.sha256(canonical.encode()).hexdigest()


def parse_job(data: bytes, key: str) -> Job:
  """Parses and validates the JSON body of a caller's job.

  Args:
    data: the HTTP body, UTF-8 JSON:
      ``{"team", "job_id", "tasks": [{"id", "kind", "payload", "run_ms",
      "idempotent"?}], "deadline_ms"?}``.
    key: the ``Idempotency-Key`` header's value.

  Returns:
    The validated `Job`.

  Raises:
    errors.BadRequestError: code 200 for invalid JSON, 201 for an invalid
      field.
  """
  try:
    body = json.loads(data)
  except (UnicodeDecodeError, json.JSONDecodeError) as exc:
    raise errors.BadRequestError(f"body: {exc}", codes.Code.BAD_JSON) from exc
  if not isinstance(body, dict):
    raise errors.BadRequestError("body: expected object", codes.Code.BAD_JSON)
  if not key or len(key) > MAX_ID_LENGTH:
    raise errors.BadRequestError(f"Idempotency-Key: 1 to {MAX_ID_LENGTH} chars")
  raw_tasks = _field(body, "tasks", list, "job")
  if not raw_tasks:
    raise errors.BadRequestError("job.tasks: must not be empty")
  tasks = tuple(_parse_task(t, i) for i, t in enumerate(raw_tasks))
  if len({t.task_id for t in tasks}) != len(tasks):
    raise errors.BadRequestError("job.tasks: task ids must be unique")
  deadline_ms = body.get("deadline_ms", 0)
  if not isinstance(deadline_ms, int) or deadline_ms < 0:
    raise errors.BadRequestError("job.deadline_ms: expected int >= 0")
  return Job(
      team=_identifier(body, "team", "job"),
      job_id=_identifier(body, "job_id", "job"),
      key=key,
      tasks=tasks,
      fingerprint=fingerprint(body),
      deadline_ms=deadline_ms,
  )


def job_to_json(job: Job) -> dict[str, Any]:
  """Returns the caller's JSON form of a job (the inverse of `parse_job`)."""
  body: dict[str, Any] = {
      "team": job.team,
      "job_id": job.job_id,
      "tasks": [
          {
              "id": t.task_id,
              "kind": t.kind,
              "payload": t.payload,
              "run_ms": t.run_ms,
              "idempotent": t.idempotent,
          }
          for t in job.tasks
      ],
  }
  if job.deadline_ms:
    body["deadline_ms"] = job.deadline_ms
  return body


def answer_to_json(answer: JobAnswer) -> dict[str, Any]:
  """Returns the JSON form of a job's answer."""
  return {
      "key": answer.key,
      "job_id": answer.job_id,
      "code": int(answer.code),
      "status": "complete" if answer.complete else "failed",
      "retry_after_s": answer.retry_after_s,
      "tasks": [
          {
              "id": t.task_id,
              "code": int(t.code),
              "ran": t.ran.value,
              "result": t.result,
          }
          for t in answer.tasks
      ],
  }


def answer_from_json(obj: dict[str, Any]) -> JobAnswer:
  """Returns the answer in a JSON form (the inverse of `answer_to_json`)."""
  return JobAnswer(
      key=obj["key"],
      job_id=obj["job_id"],
      code=codes.Code(obj["code"]),
      retry_after_s=obj.get("retry_after_s", 0),
      tasks=tuple(
          TaskAnswer(t["id"], codes.Code(t["code"]), t.get("result", ""))
          for t in obj["tasks"]
      ),
  )


def error_to_json(error: errors.FescueError) -> dict[str, Any]:
  """Returns the JSON body of an error: its code, name and message."""
  return {
      "code": int(error.code),
      "error": error.code.name,
      "message": str(error.args[0]),
  }
