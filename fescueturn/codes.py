"""Numbered result codes shared by all roles; docs/ERRORS.md has the table.

Codes 0-99 describe a task, 100-199 a job, 200-299 a rejected or failed request,
300-399 the platform's key-value store, 400-499 settings and 500-599
connections. Each task code states whether the task ran; `task_ran` maps it to
`Ran.RAN`, `Ran.NOT_RUN` or `Ran.UNKNOWN`.
"""

import enum


class Code(enum.IntEnum):
  """A numbered result code. Callers rely on the values: never renumber."""

  OK = 0
  # Task codes: each states whether the task ran.
  TASK_DONE = 1
  TASK_FAILED = 2
  TASK_NOT_RUN = 10
  TASK_NOT_RUN_NO_ENDPOINT = 11
  TASK_NOT_RUN_DEADLINE = 12
  TASK_NOT_RUN_REFUSED = 13
  TASK_NOT_RUN_CANCELLED = 14
  TASK_NOT_RUN_JOB_FAILED = 15
  TASK_UNKNOWN = 20
  TASK_UNKNOWN_LOST = 21
  TASK_UNKNOWN_OWNER_LOST = 22
  # Job codes.
  JOB_COMPLETE = 100
  JOB_FAILED = 101
  JOB_IN_FLIGHT = 102
  JOB_CANCELLED = 103
  # Rejected requests: no task of the job is started, except that OWNER_LOST
  # leaves this unknown.
  BAD_JSON = 200
  BAD_FIELD = 201
  UNKNOWN_TEAM = 202
  JOB_TOO_LARGE = 203
  KEY_REUSED = 204
  OVER_QUOTA = 205
  NOT_FOUND = 206
  DRAINING = 207
  NO_OWNER = 208
  OWNER_LOST = 209
  # Jobs of leased runs (`fescueturn.scheduler`).
  UNSERVED = 210
  NO_ROOM = 211
  NO_HOLDER = 212
  MAYBE_RAN = 213
  NO_CONFIG = 214
  NO_QUEUE = 215
  NO_JOB = 216
  ENDPOINTS_CRASHED = 217
  NO_ENDPOINT_FITS = 218
  # The platform's key-value store.
  KV_CONFLICT = 300
  KV_UNAVAILABLE = 301
  KV_NOT_FOUND = 302
  # Settings.
  SETTINGS_MISSING = 400
  SETTINGS_BAD_VALUE = 401
  SETTINGS_UNKNOWN_KEY = 402
  SETTINGS_TIME_BUDGET = 403
  # Connections to other daemons, and log searches.
  UNREACHABLE = 500
  REPLY_LOST = 501
  NOT_LOGGED = 502
  CALLER_GONE = 503


class Ran(enum.Enum):
  """The entry host's knowledge of whether a task ran."""

  RAN = "ran"
  NOT_RUN = "not_run"
  UNKNOWN = "unknown"


_RAN_CODES = frozenset({Code.TASK_DONE, Code.TASK_FAILED})
_NOT_RUN_CODES = frozenset(
    {
        Code.TASK_NOT_RUN,
        Code.TASK_NOT_RUN_NO_ENDPOINT,
        Code.TASK_NOT_RUN_DEADLINE,
        Code.TASK_NOT_RUN_REFUSED,
        Code.TASK_NOT_RUN_CANCELLED,
        Code.TASK_NOT_RUN_JOB_FAILED,
    }
)


def task_ran(code: Code) -> Ran:
  """Returns whether a task with this final code ran.

  Args:
    code: a task code (1-99).

  Returns:
    `Ran.RAN` or `Ran.NOT_RUN` if the code proves it, else `Ran.UNKNOWN`.
  """
  if code in _RAN_CODES:
    return Ran.RAN
  if code in _NOT_RUN_CODES:
    return Ran.NOT_RUN
  return Ran.UNKNOWN
