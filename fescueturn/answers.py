"""Builds job answers: complete, ended early, cancelled, or coordinator lost."""

from fescueturn import claims
from fescueturn import codes
from fescueturn import messages
from fescueturn import state as state_lib


def completed(record: state_lib.JobRecord) -> messages.JobAnswer:
  """Returns the answer of a job all of whose tasks returned a result."""
  job = record.job
  return messages.JobAnswer(
      key=job.key,
      job_id=job.job_id,
      code=codes.Code.JOB_COMPLETE,
      tasks=tuple(record.answers[t.task_id] for t in job.tasks),
  )


def incomplete(
    record: state_lib.JobRecord, unsent: codes.Code, retry_after_s: int
) -> messages.JobAnswer:
  """Returns the answer of a job that ends before all its tasks are done.

  Args:
    record: the job; answered tasks keep their answers, and tasks in flight get
      TASK_UNKNOWN.
    unsent: the code for tasks that were never sent.
    retry_after_s: how long the caller should wait before a retry, in seconds.
  """

  def answer(task: messages.Task) -> messages.TaskAnswer:
    known = record.answers.get(task.task_id)
    if known is not None:
      return known
    if task.task_id in record.in_flight:
      return messages.TaskAnswer(task.task_id, codes.Code.TASK_UNKNOWN)
    return messages.TaskAnswer(task.task_id, unsent)

  tasks = tuple(answer(t) for t in record.job.tasks)
  return _failed(record.job, tasks, retry_after_s)


def owner_lost(job: messages.Job, retry_after_s: int) -> messages.JobAnswer:
  """Returns the answer of a job whose coordinator was lost.

  The coordinator may have run any of its tasks.
  """
  code = codes.Code.TASK_UNKNOWN_OWNER_LOST
  tasks = tuple(messages.TaskAnswer(t.task_id, code) for t in job.tasks)
  return _failed(job, tasks, retry_after_s)


def leaves_key_free(outcome: claims.Outcome) -> bool:
  """Returns True if a job may be run after this outcome, under the same key.

  That is so after a refusal, and after a failed job that sent no task.
  """
  if outcome.answer is None:
    return True
  return outcome.answer.code == codes.Code.JOB_FAILED and all(
      t.ran == codes.Ran.NOT_RUN for t in outcome.answer.tasks
  )


def cancelled(job: messages.Job) -> messages.JobAnswer:
  """Returns the answer of a job cancelled before any task was sent."""
  code = codes.Code.TASK_NOT_RUN_CANCELLED
  return messages.JobAnswer(
      key=job.key,
      job_id=job.job_id,
      code=codes.Code.JOB_CANCELLED,
      tasks=tuple(messages.TaskAnswer(t.task_id, code) for t in job.tasks),
  )


def _failed(job: messages.Job, tasks, retry_after_s: int):
  return messages.JobAnswer(
      key=job.key,
      job_id=job.job_id,
      code=codes.Code.JOB_FAILED,
      tasks=tasks,
      retry_after_s=retry_after_s,
  )
