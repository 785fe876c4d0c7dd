"""Runs the command line: ``python -m fescueturn``."""

import sys

from fescueturn import daemonsignals

DAEMONS = ("entry", "endpoint", "platform")


def main():
  """Runs the command that the arguments name."""
  if sys.argv[1:] and sys.argv[1] in DAEMONS:
    daemonsignals.begin_start(reloads=False)
  from fescueturn import cli

  cli.main()


if __name__ == "__main__":
  main()
