import pathlib

from fescueturn import codes

DOC = pathlib.Path(__file__).parent.parent / "docs" / "ERRORS.md"


def test_every_code_is_in_the_table():
  table = DOC.read_text()
  for code in codes.Code:
    assert f"| {int(code)} | {code.name} |" in table


def test_every_task_code_states_whether_the_task_ran():
  for code in codes.Code:
    if 1 <= code < 100:
      ran = codes.task_ran(code)
      assert ran.value in {"ran", "not_run", "unknown"}
  assert codes.task_ran(codes.Code.TASK_UNKNOWN_LOST) == codes.Ran.UNKNOWN
