from click import testing

from fescueturn import cli
from fescueturn.lab import ports


def invoke(*args, stdin=None):
  return testing.CliRunner().invoke(cli.main, args, input=stdin)


def test_every_command_has_help():
  for name in cli.main.commands:
    result = invoke(name, "--help")
    assert result.exit_code == 0 and "Usage" in result.output


def test_config_check_names_the_bad_field():
  good = invoke("config", "check", "-", stdin="[team]\nservice = speller\n")
  assert good.exit_code == 0
  bad = invoke("config", "check", "-", stdin="[team]\nservice = a b\n")
  assert bad.exit_code == cli.EXIT_REFUSED
  assert "E401" in bad.output and "service" in bad.output


def test_unreachable_daemon_and_bad_input_exit_with_an_error():
  unused = str(ports.free_address())
  for args in (
      ("dump", unused),
      ("cancel", "--entry", unused, "--team", "t", "k"),
  ):
    result = invoke(*args)
    assert result.exit_code == cli.EXIT_REFUSED and "E500" in result.output
  assert "host:port" in invoke("dump", "nowhere").output
  result = invoke("submit", "--entry", unused, "-", stdin="{not json")
  assert result.exit_code == 1 and "job_id" in result.output
