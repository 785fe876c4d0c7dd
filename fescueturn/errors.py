"""Exception hierarchy; each error carries a numbered `codes.Code`."""

from fescueturn import codes


class FescueError(Exception):
  """Base class of all errors that this package defines.

  Attributes:
    code: the numbered result code (see docs/ERRORS.md).
  """

  code = codes.Code.BAD_FIELD

  def __init__(self, message: str, code: codes.Code | None = None):
    super().__init__(message)
    if code is not None:
      self.code = code

  def __str__(self) -> str:
    return f"E{int(self.code)} {self.code.name}: {self.args[0]}"


class BadRequestError(FescueError):
  """A caller's request is malformed or not allowed; nothing was started."""

  code = codes.Code.BAD_FIELD


class SettingsError(FescueError):
  """A settings file or a team's configuration fails its checks."""

  code = codes.Code.SETTINGS_BAD_VALUE


class TimeBudgetError(SettingsError):
  """With these settings, a run may go on beside one that replaces it."""

  code = codes.Code.SETTINGS_TIME_BUDGET


class KvError(FescueError):
  """The platform's key-value store failed or refused a call."""

  code = codes.Code.KV_UNAVAILABLE


class KvConflictError(KvError):
  """A compare-and-swap found a revision other than the expected one."""

  code = codes.Code.KV_CONFLICT


class KvNotFoundError(KvError):
  """The key is not in the platform's key-value store."""

  code = codes.Code.KV_NOT_FOUND


class UnservedError(BadRequestError):
  """The job needs a feature that this version lacks; no task was started."""

  code = codes.Code.UNSERVED


class NotLoggedError(FescueError):
  """No log line mentions the given request or job."""

  code = codes.Code.NOT_LOGGED
