import pytest

from fescueturn import codes
from fescueturn import errors
from fescueturn import settings

GOOD = """
[process]
name = entry-1
data_centre = savannah

[entry]
listen = 127.0.0.1:8101
peer_listen = 127.0.0.1:8201
platform = 127.0.0.1:8001
lease_ttl_s = 2.5
"""


def test_good_settings_load_with_defaults():
  conf = settings.loads(GOOD)
  assert conf.process.data_centre == "savannah"
  assert conf.entry.listen == settings.Address("127.0.0.1", 8101)
  assert conf.entry.lease_ttl_s == 2.5
  assert conf.entry.retry_after_s == 1
  assert conf.endpoint is None


@pytest.mark.parametrize(
    ("text", "code"),
    [
        (
            GOOD.replace("lease_ttl_s = 2.5", "lease_ttl_s = soon"),
            codes.Code.SETTINGS_BAD_VALUE,
        ),
        (
            GOOD.replace("listen = 127.0.0.1:8101", "listen = nowhere"),
            codes.Code.SETTINGS_BAD_VALUE,
        ),
        (
            GOOD.replace("lease_ttl_s = 2.5", "lease_tll_s = 2.5"),
            codes.Code.SETTINGS_UNKNOWN_KEY,
        ),
        (
            GOOD.replace("platform = 127.0.0.1:8001", ""),
            codes.Code.SETTINGS_MISSING,
        ),
        (
            GOOD.replace("[process]", "[proces]"),
            codes.Code.SETTINGS_UNKNOWN_KEY,
        ),
        ("[entry\n", codes.Code.SETTINGS_BAD_VALUE),
    ],
)
def test_invalid_settings_are_rejected_with_a_code(text, code):
  with pytest.raises(errors.SettingsError) as caught:
    settings.loads(text, source="t.ini")
  assert caught.value.code == code
  assert f"E{int(code)}" in str(caught.value)


def test_team_settings_are_checked():
  team = settings.loads_team(
      "[team]\nservice = speller\nmax_tasks_in_flight = 40\n"
  )
  assert team.max_tasks_in_flight == 40 and team.max_tasks_per_job == 190
  with pytest.raises(errors.SettingsError) as caught:
    settings.loads_team("[team]\nservice = speller\nmax_tasks_per_job = 0\n")
  assert caught.value.code == codes.Code.SETTINGS_BAD_VALUE
  with pytest.raises(errors.SettingsError):
    settings.loads_team("[team]\nservice = speller\n[extra]\n")


def test_team_weight_is_checked():
  assert settings.loads_team("[team]\nservice = speller\n").weight == 1.0
  text = "[team]\nservice = speller\nweight = {}\n"
  assert settings.loads_team(text.format("2.5")).weight == 2.5
  for bad in ("0", "-3", "nan", "inf", "1e6", "heavy"):
    with pytest.raises(errors.SettingsError, match="weight") as caught:
      settings.loads_team(text.format(bad))
    assert caught.value.code == codes.Code.SETTINGS_BAD_VALUE
