"""A caller: submits jobs to an entry host or cancels them."""

import dataclasses
import json
import urllib.parse

from fescueturn import codes
from fescueturn import httpio
from fescueturn import messages


@dataclasses.dataclass(frozen=True)
class Result:
  """An entry host's reply to a caller.

  Attributes:
    status: the HTTP status.
    answer: the job's answer, or None if the request was refused.
    error_code: why the request was refused, or None if it was answered.
    retry_after_s: time (s) after which to try again; 0 if not given.
    body: the reply's JSON body.
  """

  status: int
  answer: messages.JobAnswer | None
  error_code: codes.Code | None
  retry_after_s: int
  body: dict


async def submit(
    pool: httpio.Pool, job: messages.Job, timeout_s: float = 60.0
) -> Result:
  """Submits `job` under its idempotency key.

  Raises:
    httpio.NotSentError, httpio.LostReplyError: the entry host could not be
      reached or its reply was incomplete; the job may be submitted again under
      its key.
  """
  body = json.dumps(messages.job_to_json(job)).encode()
  headers = (("idempotency-key", job.key), ("content-type", "application/json"))
  response = await pool.request("POST", "/v1/jobs", body, headers, timeout_s)
  return _result(response)


async def cancel(
    pool: httpio.Pool, team: str, key: str, timeout_s: float = 60.0
) -> Result:
  """Cancels the job under `key`; returns its answer or a refusal.

  Raises:
    httpio.NotSentError, httpio.LostReplyError: as for `submit`; the request may
      be sent again.
  """
  query = urllib.parse.urlencode({"team": team})
  target = f"/v1/jobs/{urllib.parse.quote(key, safe='')}?{query}"
  return _result(await pool.request("DELETE", target, timeout_s=timeout_s))


def _result(response: httpio.Response) -> Result:
  body = response.json()
  retry_after_s = int(dict(response.headers).get("retry-after", 0))
  if response.status == 200:
    return Result(
        200, messages.answer_from_json(body), None, retry_after_s, body
    )
  return Result(
      response.status, None, codes.Code(body["code"]), retry_after_s, body
  )
