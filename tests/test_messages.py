import json

import pytest

from fescueturn import codes
from fescueturn import errors
from fescueturn import messages

BODY = {
    "team": "altamaha",
    "job_id": "j1",
    "tasks": [{"id": "a", "kind": "spell", "payload": "teh cat", "run_ms": 80}],
}


def test_job_parses_and_fingerprint_ignores_key_order():
  job = messages.parse_job(json.dumps(BODY).encode(), "key-1")
  assert job.tasks[0] == messages.Task("a", "spell", "teh cat", 80, True)
  shuffled = json.dumps(dict(reversed(list(BODY.items())))).encode()
  assert messages.parse_job(shuffled, "key-1").fingerprint == job.fingerprint
  assert messages.job_to_json(job) == {
      **BODY,
      "tasks": [{**BODY["tasks"][0], "idempotent": True}],
  }


@pytest.mark.parametrize(
    ("mutate", "code"),
    [
        (lambda b: b.update(tasks=[]), codes.Code.BAD_FIELD),
        (lambda b: b["tasks"][0].update(run_ms=-1), codes.Code.BAD_FIELD),
        (lambda b: b["tasks"][0].update(run_ms=True), codes.Code.BAD_FIELD),
        (
            lambda b: b["tasks"].append(dict(b["tasks"][0])),
            codes.Code.BAD_FIELD,
        ),
        (lambda b: b.pop("team"), codes.Code.BAD_FIELD),
    ],
)
def test_invalid_jobs_are_rejected_with_a_code(mutate, code):
  body = json.loads(json.dumps(BODY))
  mutate(body)
  with pytest.raises(errors.BadRequestError) as caught:
    messages.parse_job(json.dumps(body).encode(), "k")
  assert caught.value.code == code


def test_invalid_json_and_missing_key_are_rejected():
  with pytest.raises(errors.BadRequestError) as caught:
    messages.parse_job(b"\xff", "k")
  assert caught.value.code == codes.Code.BAD_JSON
  with pytest.raises(errors.BadRequestError):
    messages.parse_job(json.dumps(BODY).encode(), "")


def test_answer_round_trips_through_json():
  answer = messages.JobAnswer(
      "k",
      "j",
      codes.Code.JOB_FAILED,
      (messages.TaskAnswer("a", codes.Code.TASK_UNKNOWN),),
      2,
  )
  assert messages.answer_from_json(messages.answer_to_json(answer)) == answer
  assert messages.answer_to_json(answer)["tasks"][0]["ran"] == "unknown"
