"""Runs the command line: ``python -m fescueturn``."""

from fescueturn import cli

cli.main()
