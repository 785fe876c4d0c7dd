import logging
import os

import curio
from loguru import logger

from fescueturn import logs


def sink_on_pipe(clock):
  reader, writer = os.pipe()
  sink = logs.BoundedSink(writer, lambda: clock[0])
  logger.remove()
  logger.configure(extra={"proc": "test"})
  logger.add(sink.write, format="{message}")
  return reader, sink


def read_all(reader) -> list[str]:
  os.set_blocking(reader, False)
  data = b""
  while True:
    try:
      data += os.read(reader, 1 << 20)
    except BlockingIOError:
      return data.decode().splitlines()


def test_lines_above_the_rate_are_dropped_and_counted_by_event():
  clock = [100.0]
  reader, sink = sink_on_pipe(clock)
  for number in range(1000):
    logger.info("event=job_begun job={}", number)
  logger.warning("event=store_lost what=config")
  clock[0] += 1.0
  sink.tick(clock[0])
  lines = read_all(reader)
  assert sum("job_begun job" in line for line in lines) == logs.BURST_LINES
  assert "event=store_lost what=config" in lines
  assert lines[-1] == "event=log_left_out lines=400 by_event=job_begun:400"
  assert sink.dropped_lines == 0


def test_reader_that_stops_reading_does_not_block_the_sink():
  clock = [100.0]
  reader, sink = sink_on_pipe(clock)
  for number in range(20_000):
    clock[0] += 1 / logs.LINES_PER_S
    logger.info("event=job_answered job={} {}", number, "x" * 100)
    sink.tick(clock[0])
  assert sink.dropped_lines > 0
  for _ in range(20):
    read_all(reader)
    clock[0] += 0.1
    sink.tick(clock[0])
  assert sink.dropped_lines == 0


def test_closed_pipe_does_not_block_the_sink():
  clock = [100.0]
  reader, sink = sink_on_pipe(clock)
  os.close(reader)
  logger.info("event=started")
  sink.tick(200.0)


def test_library_log_record_becomes_one_line_of_our_format():
  clock = [100.0]
  reader, writer = os.pipe()
  sink = logs.BoundedSink(writer, lambda: clock[0])
  logs.replace_sink(sink.write, "test", "INFO")
  logging.getLogger("curio.time").warning("took %s\nlonger", 3)
  (line,) = read_all(reader)
  assert 'event=library_said library=curio.time said="took 3\\nlonger"' in line


def test_late_timeouts_are_counted_by_task_in_one_line_a_second(monkeypatch):
  """Guards against dozens of lines a second that name no cause."""
  clock = [100.0]
  reader, sink = sink_on_pipe(clock)
  library = logging.getLogger(logs.LateTimeouts.LOGGER)
  handler = logs._LibraryLogHandler(sink.late_timeouts)
  monkeypatch.setattr(library, "handlers", [handler])
  monkeypatch.setattr(library, "propagate", False)

  async def call():
    for late_s in (0.002, 0.047, 0.011):
      task = await curio.current_task()
      library.warning("%r. Badness delta=%r.", task, late_s)

  curio.run(call)
  sink.tick(clock[0])
  assert read_all(reader) == []
  for _ in range(2):
    clock[0] += 1.0
    sink.tick(clock[0])
  (line,) = read_all(reader)
  name = "test_late_timeouts_are_counted_by_task_in_one_line_a_second"
  assert line == (
      "event=timeouts_late count=3 worst_ms=47"
      f" by_task={name}.<locals>.call:3"
  )
