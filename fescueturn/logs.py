"""Logging setup: loguru, one line of key=value pairs per event."""

import sys

from loguru import logger

LINE_FORMAT = "ts={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} proc={extra[proc]} {message}"


def setup(process_name: str, level: str = "INFO") -> None:
  """Sends this process's log lines to stderr, each tagged with its name."""
  logger.remove()
  logger.configure(extra={"proc": process_name})
  logger.add(
      sys.stderr,
      level=level,
      format=LINE_FORMAT,
      backtrace=False,
      diagnose=False,
  )
