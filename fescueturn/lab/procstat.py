"""Processor time and memory of a process, read from Linux's /proc."""

import dataclasses
import os

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_KB = 1


@dataclasses.dataclass(frozen=True)
class Sample:
  """A process's processor seconds used so far and its resident memory."""

  cpu_s: float
  rss_kb: int


def sample(pid: int) -> Sample:
  """Reads /proc/<pid>/stat (utime+stime) and /proc/<pid>/status (VmRSS)."""
  with open(f"/proc/{pid}/stat", encoding="ascii") as file:
    fields = file.read().rsplit(")", 1)[1].split()
  cpu_s = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS
  rss_kb = 0
  with open(f"/proc/{pid}/status", encoding="ascii") as file:
    for line in file:
      if line.startswith("VmRSS:"):
        rss_kb = int(line.split()[1])
  return Sample(cpu_s, rss_kb)
