"""Logging setup: loguru, one line of key=value pairs per event.

`BoundedSink` is for daemons under load: it writes to standard output without
ever waiting for its reader, and leaves lines out above a rate, saying how many
of which event.
"""

import collections
import json
import logging
import os
import sys
import time
from collections.abc import Callable

from loguru import logger

LINE_FORMAT = "ts={time:YYYY-MM-DDTHH:mm:ss.SSSSSSZ} level={level} proc={extra[proc]} {message}"
# Four lines a job at 75 jobs a second, twice today's busiest host; at 40 us a
# line (measured with loguru 0.7) it is 1.2% of a core.
LINES_PER_S = 300
# A burst after a quiet second: a takeover writes some 40 lines at once.
BURST_LINES = 600
# Warnings and worse have as much again of their own.
SEVERE_NO = 30
# What waits for a reader that has stopped reading; a pipe holds 64 KB more.
MAX_WAITING_BYTES = 256 * 1024
REPORT_PERIOD_S = 1.0


class _Budget:
  """Lines that may be written: refilled at a steady rate."""

  def __init__(self, now: float):
    self._left = float(BURST_LINES)
    self._at = now

  def take(self, now: float) -> bool:
    """Takes one line's worth; returns False if there is none."""
    refilled = self._left + (now - self._at) * LINES_PER_S
    self._left = min(float(BURST_LINES), refilled)
    self._at = now
    if self._left < 1:
      return False
    self._left -= 1
    return True


class BoundedSink:
  """A loguru sink on a file descriptor that it never blocks on."""

  def __init__(self, fd: int, now: Callable[[], float] = time.monotonic):
    self._fd = fd
    self._now = now
    self._usual = _Budget(now())
    self._severe = _Budget(now())
    self._waiting = bytearray()
    self._left_out: collections.Counter[str] = collections.Counter()
    self._reported_at = now()
    os.set_blocking(fd, False)

  @property
  def dropped_lines(self) -> int:
    """Lines left out since the last report of them."""
    return self._left_out.total()

  def write(self, message):
    """Takes one formatted line from loguru."""
    now = self._now()
    record = message.record
    budget = self._severe if record["level"].no >= SEVERE_NO else self._usual
    if budget.take(now) and len(self._waiting) < MAX_WAITING_BYTES:
      self._waiting += str(message).encode()
    else:
      self._left_out[_event_of(record["message"])] += 1
    self._flush()

  def tick(self, now: float):
    """Writes what waits, and once a second what was left out."""
    self._flush()
    if not self._left_out or now - self._reported_at < REPORT_PERIOD_S:
      return
    self._reported_at = now
    counts = ",".join(f"{k}:{n}" for k, n in sorted(self._left_out.items()))
    line = f"event=log_left_out lines={self.dropped_lines} by_event={counts}\n"
    if len(self._waiting) < MAX_WAITING_BYTES:
      self._left_out.clear()
      self._waiting += line.encode()
      self._flush()

  def _flush(self):
    try:
      while self._waiting:
        del self._waiting[: os.write(self._fd, self._waiting)]
    except BlockingIOError:
      return  # Nobody reads now; the rest waits, up to its limit.
    except OSError:
      # The reader is gone for good: there is nowhere left to say so.
      self._waiting.clear()


def _event_of(message: str) -> str:
  first = message.split(" ", 1)[0]
  return first.removeprefix("event=")


class _LibraryLines(logging.Handler):
  """Has what libraries log written by loguru: one line, bounded like ours.

  curio warns of each timeout that it noticed late, up to a hundred in a second
  on a host that lacks processor.
  """

  def emit(self, record: logging.LogRecord):
    """Writes one record."""
    said = json.dumps(record.getMessage())
    severe = record.levelno >= logging.ERROR
    logger.log(
        "ERROR" if severe else "INFO",
        "event=library_said library={} said={}",
        record.name,
        said,
    )


def setup(process_name: str, level: str = "INFO") -> None:
  """Sends this process's log lines to stderr, each tagged with its name."""
  replace_sink(sys.stderr, process_name, level)


def setup_bounded(process_name: str, level: str = "INFO") -> BoundedSink:
  """Sends log lines to standard output, bounded; call the sink's `tick`."""
  sink = BoundedSink(sys.stdout.fileno())
  replace_sink(sink.write, process_name, level)
  return sink


def replace_sink(sink, process_name: str, level: str):
  """Sends log lines to `sink` alone, each tagged with the process's name."""
  logger.remove()
  logger.configure(extra={"proc": process_name})
  logger.add(
      sink, level=level, format=LINE_FORMAT, backtrace=False, diagnose=False
  )
  logging.root.handlers = [_LibraryLines()]
