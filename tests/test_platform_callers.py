import dataclasses
import json

import pytest

from fescueturn import codes
from fescueturn import errors
from fescueturn.platform import callers
from fescueturn.scheduler import model

QUEUE = model.Queue("r0", "h", "/a/", "speller", 3, 1.6, 60, 1500)
STEP = {"taskCount": 2, "cpu": 27000, "memMb": 64, "estimateMs": 900}


def decode(**changed) -> model.Job:
  raw = {"bestEffort": True, "spec": "x", "phases": [STEP], **changed}
  return callers.decode_job("a1", json.dumps(raw).encode(), QUEUE)


def test_job_has_the_settings_of_its_queue():
  job = decode(
      phases=[
          STEP,
          {**STEP, "after": [0], "requires": "a", "affinity": "r1-3"},
      ]
  )
  assert (job.service, job.attempts, job.stretch, job.slo_ms) == (
      "speller",
      3,
      1.6,
      60,
  )
  first, second = job.steps
  assert first == model.Step(2, model.Resources(27000, 64, 0), 900)
  assert (second.after, second.requires, second.near) == ((0,), "a", "r1-3")


def test_fractional_requirements_are_truncated():
  (step,) = decode(phases=[{**STEP, "cpu": 500.5, "estimateMs": 900.0}]).steps
  assert (step.need.cpu, step.estimate_ms) == (500, 900)
  assert type(step.estimate_ms) is int


def test_job_that_is_not_best_effort_is_kept():
  assert not decode().kept
  assert decode(bestEffort=False).kept


def test_job_of_a_queue_with_a_policy_is_rejected_as_unserved():
  queue = dataclasses.replace(QUEUE, needs_advice=True)
  body = json.dumps({"bestEffort": True, "spec": "", "phases": [STEP]})
  with pytest.raises(errors.UnservedError):
    callers.decode_job("a1", body.encode(), queue)


@pytest.mark.parametrize(
    "phases",
    [
        [],
        None,
        "text",
        [3],
        [{}],
        [{**STEP, "taskCount": 0}],
        [{**STEP, "taskCount": "2"}],
        [{**STEP, "taskCount": True}],
        [{**STEP, "cpu": -1}],
        [{**STEP, "estimateMs": 1e300}],
        [{**STEP, "after": [0]}],
        [STEP, {**STEP, "after": [1]}],
        [STEP, {**STEP, "after": ["0"]}],
        [{**STEP, "requires": 5}],
    ],
)
def test_malformed_steps_get_a_numbered_error(phases):
  with pytest.raises(errors.BadRequestError) as caught:
    decode(phases=phases)
  assert caught.value.code is codes.Code.BAD_FIELD


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"3", b"\xff"])
def test_malformed_body_gets_a_numbered_error(body):
  with pytest.raises(errors.BadRequestError):
    callers.decode_job("a1", body, QUEUE)


@pytest.mark.parametrize(
    "changed",
    [
        {"repeatCount": 3},
        {"bestEffort": False, "repeatCount": 3},
        {"phases": [{**STEP, "gang": True}]},
        {"phases": [{**STEP, "longRunning": True}]},
        {"phases": [{**STEP, "fills": True}]},
    ],
)
def test_unsupported_feature_is_rejected_as_unserved(changed):
  with pytest.raises(errors.UnservedError) as caught:
    decode(**changed)
  assert caught.value.code is codes.Code.UNSERVED
