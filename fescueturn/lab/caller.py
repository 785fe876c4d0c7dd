"""The caller's side: submit a job to an entry host and read its answer."""

import dataclasses
import json
import urllib.parse

from fescueturn import codes
from fescueturn import httpio
from fescueturn import messages


@dataclasses.dataclass(frozen=True)
class Result:
  """What a caller got back: the HTTP status, an answer or a refusal."""

  status: int
  answer: messages.JobAnswer | None
  error_code: codes.Code | None
  retry_after_s: int
  body: dict


async def submit(
    pool: httpio.Pool, job: messages.Job, timeout_s: float = 60.0
) -> Result:
  """Posts `job` under its idempotency key; returns what came back.

  Raises:
    httpio.NotSentError, httpio.LostReplyError: the entry host could not be reached
      or gave no whole reply; the job may then be resubmitted with its key.
  """
  body = json.dumps(messages.job_to_json(job)).encode()
  headers = (("idempotency-key", job.key), ("content-type", "application/json"))
  response = await pool.request("POST", "/v1/jobs", body, headers, timeout_s)
  return _result(response)


async def cancel(
    pool: httpio.Pool, team: str, key: str, timeout_s: float = 60.0
) -> Result:
  """Cancels the job under `key`; returns its answer, or why not.

  Raises:
    httpio.NotSentError, httpio.LostReplyError: as `submit`; cancel again.
  """
  query = urllib.parse.urlencode({"team": team})
  target = f"/v1/jobs/{urllib.parse.quote(key, safe='')}?{query}"
  return _result(await pool.request("DELETE", target, timeout_s=timeout_s))


def _result(response: httpio.Response) -> Result:
  body = response.json()
  retry = int(dict(response.headers).get("retry-after", 0))
  if response.status == 200:
    return Result(200, messages.answer_from_json(body), None, retry, body)
  return Result(response.status, None, codes.Code(body["code"]), retry, body)
