import dataclasses

import pytest

from fescueturn.scheduler.decisions import slowruns

UNKNOWN = slowruns.SlowedRun(
    endpoint_slow=False,
    in_time_beside=0.0,
    siblings_slowed=False,
    slowed_jobs=1,
    long_share=0.0,
    slow_share=0.0,
)


@pytest.mark.parametrize(
    ("known", "expected"),
    [
        ({}, True),
        ({"in_time_beside": 0.9}, False),
        ({"in_time_beside": 0.9, "endpoint_slow": True}, False),
        ({"siblings_slowed": True}, False),
        ({"siblings_slowed": True, "endpoint_slow": True}, True),
        ({"long_share": 0.03}, False),
        ({"long_share": 0.03, "slowed_jobs": 2}, True),
        ({"long_share": 0.3, "slowed_jobs": 2}, False),
        ({"long_share": 0.03, "endpoint_slow": True}, True),
        ({"long_share": 0.03, "slow_share": 0.15}, True),
    ],
)
def test_cause_of_a_slowed_run(known, expected):
  run = dataclasses.replace(UNKNOWN, **known)
  assert slowruns.endpoint_is_cause(run) is expected
