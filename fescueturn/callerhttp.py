"""The entry host's HTTP interface for callers and operators.

Paths: ``POST /v1/jobs`` (a job; header ``Idempotency-Key``),
``DELETE /v1/jobs/<key>?team=<team>`` (cancel a job), ``GET /dump`` (the
state), ``GET /health``.
"""

import urllib.parse

from loguru import logger

from fescueturn import claims
from fescueturn import codes
from fescueturn import errors
from fescueturn import events
from fescueturn import httpio
from fescueturn import messages

JOBS_PATH = "/v1/jobs"

_STATUS = {
    codes.Code.BAD_JSON: 400,
    codes.Code.BAD_FIELD: 400,
    codes.Code.UNKNOWN_TEAM: 404,
    codes.Code.JOB_TOO_LARGE: 413,
    codes.Code.KEY_REUSED: 409,
    codes.Code.OVER_QUOTA: 429,
    codes.Code.DRAINING: 503,
    codes.Code.NO_OWNER: 503,
    codes.Code.OWNER_LOST: 503,
    codes.Code.KV_UNAVAILABLE: 503,
}


def _to_response(outcome: claims.Outcome) -> httpio.Response:
  answer, error = outcome.answer, outcome.error
  retry_after_s = answer.retry_after_s if answer else outcome.retry_after_s
  headers = (("retry-after", str(retry_after_s)),) if retry_after_s else ()
  if answer is not None:
    return httpio.json_response(200, messages.answer_to_json(answer), headers)
  status = _STATUS.get(error.code, 400)
  return httpio.json_response(status, messages.error_to_json(error), headers)


class CallerHttp:
  """Converts HTTP requests to the entry host's events, and outcomes back."""

  def __init__(self, host, clock, stats):
    self._host = host
    self._timer = clock
    self._stats = stats

  async def handle(self, request: httpio.Request) -> httpio.Response:
    """Handles one request; a draining host closes the connection after it."""
    response = await self._route(request)
    if self._host.state.draining:
      return httpio.with_connection_close(response)
    return response

  async def _route(self, request: httpio.Request) -> httpio.Response:
    route = (request.method, request.target)
    if route == ("POST", JOBS_PATH):
      return await self._submit_job(request)
    if request.method == "DELETE" and request.target.startswith(JOBS_PATH):
      return await self._cancel_job(request)
    if route == ("GET", "/dump"):
      return httpio.json_response(200, self._host.dump())
    if route == ("GET", "/health"):
      return httpio.json_response(200, self._host.health())
    return httpio.json_response(
        404, {"code": int(codes.Code.NOT_FOUND), "error": "NOT_FOUND"}
    )

  async def _submit_job(self, request: httpio.Request) -> httpio.Response:
    started = self._timer.now()
    try:
      job = messages.parse_job(
          request.body, request.headers.get("idempotency-key", "")
      )
    except errors.BadRequestError as exc:
      self._stats.incr("refused.bad_input")
      return _to_response(claims.Outcome(error=exc))
    outcome = await self._host.submit(lambda i: events.JobArrived(i, job))
    elapsed_ms = (self._timer.now() - started) * 1000
    self._stats.timing("job_ms", elapsed_ms)
    code = outcome.answer.code if outcome.answer else outcome.error.code
    logger.info(
        "event=job_answered key={} team={} code={} ms={:.1f}",
        job.key,
        job.team,
        int(code),
        elapsed_ms,
    )
    return _to_response(outcome)

  async def _cancel_job(self, request: httpio.Request) -> httpio.Response:
    try:
      cancel = _parse_cancel(request.target)
    except errors.BadRequestError as exc:
      return _to_response(claims.Outcome(error=exc))
    outcome = await self._host.submit(lambda i: events.CancelArrived(i, cancel))
    code = outcome.answer.code if outcome.answer else outcome.error.code
    logger.info(
        "event=cancel_answered key={} team={} code={}",
        cancel.key,
        cancel.team,
        int(code),
    )
    return _to_response(outcome)


def _parse_cancel(target: str) -> messages.Cancel:
  """Parses the target ``/v1/jobs/<key>?team=<team>``.

  Raises:
    BadRequestError: the key or the team is missing, or the key is too long.
  """
  url = urllib.parse.urlsplit(target)
  key = urllib.parse.unquote(url.path[len(JOBS_PATH) :].lstrip("/"))
  team = dict(urllib.parse.parse_qsl(url.query)).get("team", "")
  if not key or len(key) > messages.MAX_ID_LENGTH:
    raise errors.BadRequestError(f"key: 1 to {messages.MAX_ID_LENGTH} chars")
  if not team:
    raise errors.BadRequestError("team: required")
  return messages.Cancel(team, key)
