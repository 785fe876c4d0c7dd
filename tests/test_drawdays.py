import tomllib

from tests import drawdays


def test_drawn_days_are_valid_and_repeat():
  for seed in range(50):
    text = drawdays.draw(seed)
    day = tomllib.loads(text)
    assert text == drawdays.draw(seed)
    entries = day["faults"] + day["plan"]
    assert {e["kind"] for e in entries} <= (
        drawdays.FAULTS.keys() | drawdays.PLANNED.keys()
    )
    assert all(0 < e["at"] < drawdays.LENGTH_S for e in entries)
