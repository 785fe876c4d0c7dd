import json

import pytest

from fescueturn import codes
from fescueturn import errors
from fescueturn.platform import nodefile
from fescueturn.scheduler import timebudget
from tests import test_nodefile

CALLERS_RETURN_S = 1.3


def test_every_chain_ends_before_what_must_come_after_it():
  timebudget.check(CALLERS_RETURN_S)
  assert timebudget.abandoned_run(CALLERS_RETURN_S).total_s < 1.17


def test_callers_that_return_too_soon_are_refused_with_all_links():
  with pytest.raises(errors.TimeBudgetError) as caught:
    timebudget.check(1.16)
  assert caught.value.code is codes.Code.SETTINGS_TIME_BUDGET
  for link in timebudget.abandoned_run(1.16).links:
    assert f"{link.name} {link.seconds:.3f}" in str(caught.value)
  assert "= 1.166 s, callers return 1.160 s" in str(caught.value)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("COORDINATOR_TIMEOUT_S", 0.5),
        ("LEASE_MS", 950),
        ("MIN_CLOCK_RATE", 0.8),
        ("LEASE_EXPIRY_MARGIN_MS", 200),
        ("STORE_SILENT_S", 1.2),
        ("KEPT_RECOVERY_TIMEOUT_S", 1.9),
        ("ORPHAN_TIMEOUT_S", 1.1),
        ("CLAIM_UNCONFIRMED_S", 6.6),
        ("UNCLAIMED_TIMEOUT_S", 6.9),
    ],
)
def test_longer_link_breaks_a_chain(monkeypatch, name, value):
  monkeypatch.setattr(timebudget, name, value)
  with pytest.raises(errors.TimeBudgetError):
    timebudget.check(CALLERS_RETURN_S)


@pytest.mark.parametrize("return_ms", [1, 1000, 1166])
def test_settings_of_callers_that_return_too_soon_are_refused(return_ms):
  bounds = {**test_nodefile.RAW["bounds"], "resendMs": return_ms}
  text = json.dumps({**test_nodefile.RAW, "bounds": bounds})
  with pytest.raises(errors.TimeBudgetError, match="E403 .* coordinator"):
    nodefile.decode(text)


def test_callers_return_is_read_from_the_bounds():
  assert nodefile.decode(json.dumps(test_nodefile.RAW)).callers_return_s == 1.3
  bounds = {**test_nodefile.RAW["bounds"], "resendMs": 2000}
  node = nodefile.decode(json.dumps({**test_nodefile.RAW, "bounds": bounds}))
  assert node.callers_return_s == 2.0
