"""Logging setup: loguru, one line of ``key=value`` pairs per event.

`BoundedSink` is for daemons under load: it writes to standard output without
blocking, drops lines above a rate limit and reports how many of each event it
dropped.
"""

import collections
import json
import logging
import os
import sys
from collections.abc import Callable

from loguru import logger

from fescueturn import hostclock

LINE_FORMAT = "ts={time:YYYY-MM-DDTHH:mm:ss.SSSSSSZ} level={level} proc={extra[proc]} {message}"
# Rate limit: four lines per job at 75 jobs per second, twice the load of the
# busiest host. At 40 us per line (loguru 0.7) this takes 1.2% of a core.
LINES_PER_S = 300
# Size of the token bucket; a takeover writes about 40 lines at once.
BURST_LINES = 600
# loguru's number for WARNING. Lines from this level on have a bucket of their
# own, of the same rate and size, so that other lines cannot crowd them out.
WARNING_LEVEL_NO = 30
# Maximum size of the lines buffered while the reader does not read; the pipe
# itself holds another 64 KB.
MAX_BUFFER_BYTES = 256 * 1024
REPORT_PERIOD_S = 1.0


class _TokenBucket:
  """Token bucket of lines: `LINES_PER_S` refilled, `BURST_LINES` at most."""

  def __init__(self, now: float):
    self._tokens = float(BURST_LINES)
    self._updated_at = now

  def take(self, now: float) -> bool:
    """Takes the token of one line; returns False if none is left."""
    refilled = self._tokens + (now - self._updated_at) * LINES_PER_S
    self._tokens = min(float(BURST_LINES), refilled)
    self._updated_at = now
    if self._tokens < 1:
      return False
    self._tokens -= 1
    return True


class LateTimeouts:
  """Timeouts that curio noticed late, since the last report.

  A task that waited with a timeout continues late when the event loop is busy.
  curio says so for each one, up to a hundred times per second on a host short
  of CPU.
  """

  # The logger that curio uses for them, with the task and the delay (s).
  LOGGER = "curio.time"

  def __init__(self):
    self._counts: collections.Counter[str] = collections.Counter()
    self._worst_s = 0.0

  def record(self, task, late_s: float):
    """Records a timeout of a curio task that was noticed late."""
    self._counts[task.name.removesuffix(".<locals>.run")] += 1
    self._worst_s = max(self._worst_s, late_s)

  def report(self):
    """Logs the timeouts recorded since the last call, if any."""
    if not self._counts:
      return
    logger.info(
        "event=timeouts_late count={} worst_ms={:.0f} by_task={}",
        self._counts.total(),
        1000 * self._worst_s,
        ",".join(f"{k}:{n}" for k, n in sorted(self._counts.items())),
    )
    self._counts.clear()
    self._worst_s = 0.0


class BoundedSink:
  """A loguru sink that writes to a file descriptor without blocking.

  Attributes:
    late_timeouts: what curio says of late timeouts, reported once per second.
  """

  def __init__(self, fd: int, now: Callable[[], float] = hostclock.now):
    self.late_timeouts = LateTimeouts()
    self._fd = fd
    self._now = now
    self._normal_bucket = _TokenBucket(now())
    self._warning_bucket = _TokenBucket(now())
    self._buffer = bytearray()
    self._dropped: collections.Counter[str] = collections.Counter()
    self._reported_at = now()
    os.set_blocking(fd, False)

  @property
  def dropped_lines(self) -> int:
    """Number of lines dropped since the last report."""
    return self._dropped.total()

  def write(self, message):
    """Writes, buffers or drops one line that loguru has formatted."""
    now = self._now()
    record = message.record
    bucket = (
        self._warning_bucket
        if record["level"].no >= WARNING_LEVEL_NO
        else self._normal_bucket
    )
    if bucket.take(now) and len(self._buffer) < MAX_BUFFER_BYTES:
      self._buffer += str(message).encode()
    else:
      self._dropped[_event_of(record["message"])] += 1
    self._flush()

  def tick(self, now: float):
    """Writes buffered lines and, once per second, what has been counted."""
    self._flush()
    if now - self._reported_at < REPORT_PERIOD_S:
      return
    self._reported_at = now
    self.late_timeouts.report()
    if not self._dropped:
      return
    counts = ",".join(f"{k}:{n}" for k, n in sorted(self._dropped.items()))
    line = f"event=log_left_out lines={self.dropped_lines} by_event={counts}\n"
    if len(self._buffer) < MAX_BUFFER_BYTES:
      self._dropped.clear()
      self._buffer += line.encode()
      self._flush()

  def _flush(self):
    try:
      while self._buffer:
        del self._buffer[: os.write(self._fd, self._buffer)]
    except BlockingIOError:
      return  # The pipe is full; the rest stays in the buffer.
    except OSError:
      # The reader has closed the pipe, so this cannot be reported anywhere.
      self._buffer.clear()


def _event_of(message: str) -> str:
  first = message.split(" ", 1)[0]
  return first.removeprefix("event=")


class _LibraryLogHandler(logging.Handler):
  """Passes libraries' log records to loguru, as one rate-limited line each.

  Records below ERROR become INFO. Late timeouts are only counted if there is
  something that reports them.
  """

  def __init__(self, late_timeouts: LateTimeouts | None = None):
    super().__init__()
    self._late_timeouts = late_timeouts

  def emit(self, record: logging.LogRecord):
    """Logs one record through loguru."""
    is_late_timeout = (
        record.name == LateTimeouts.LOGGER and len(record.args) == 2
    )
    if self._late_timeouts is not None and is_late_timeout:
      task, late_s = record.args
      self._late_timeouts.record(task, late_s)
      return
    text = json.dumps(record.getMessage())
    severe = record.levelno >= logging.ERROR
    logger.log(
        "ERROR" if severe else "INFO",
        "event=library_said library={} said={}",
        record.name,
        text,
    )


def setup(process_name: str, level: str = "INFO") -> None:
  """Logs to standard error, each line tagged with the process's name."""
  replace_sink(sys.stderr, process_name, level)


def setup_bounded(process_name: str, level: str = "INFO") -> BoundedSink:
  """Logs to standard output through a `BoundedSink`.

  Returns:
    The sink, whose `tick` must be called regularly.
  """
  sink = BoundedSink(sys.stdout.fileno())
  replace_sink(sink.write, process_name, level, sink.late_timeouts)
  return sink


def replace_sink(
    sink,
    process_name: str,
    level: str,
    late_timeouts: LateTimeouts | None = None,
):
  """Makes `sink` the only log sink; lines are tagged with `process_name`.

  Args:
    sink: the sink.
    process_name: the process's name.
    level: the lowest level that is logged.
    late_timeouts: counts late timeouts; None to log each of them.
  """
  logger.remove()
  logger.configure(extra={"proc": process_name})
  logger.add(
      sink, level=level, format=LINE_FORMAT, backtrace=False, diagnose=False
  )
  logging.root.handlers = [_LibraryLogHandler(late_timeouts)]
