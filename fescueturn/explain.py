"""One request's story, read from the log lines of any number of hosts.

The lines are those of `logs`: ``key=value`` pairs, one event a line. A request
is named by the caller's own id for it or by its job's id.
"""

import dataclasses
import shlex
from collections.abc import Iterable

# What each event says in words; a field in braces is the line's own.
_WORDS = {
    "job_offered": (
        "offered to {holder}, which holds {data_centre} with fence {fence} and"
        " was heard from {holder_heard_ms_ago} ms before; the job was {age_ms}"
        " ms old, its caller waits {left_ms} ms more"
    ),
    "job_declined": (
        "declined: no room expected in time (short by {wait_ms} ms, behind"
        " {waiting_jobs} waiting jobs)"
    ),
    "job_put_off": (
        "not begun there at once: it would wait {wait_ms} ms, behind"
        " {waiting_jobs} waiting jobs, {kept_for_wider} places being kept for"
        " wider ones"
    ),
    "job_begun": "its first task was ordered, {waited_ms} ms after it came",
    "job_answered": (
        "its caller was answered '{outcome}' after {age_ms} ms: {reason}"
    ),
    "job_over": "its holder ended it after {age_ms} ms: {why}",
    "kept_job_over": "the store has it as {state}, written under fence {fence}",
    "state_told": "a caller was told its state: {state}",
    "cancel_asked": "a caller asked to cancel it, at the holder of {data_centre}",
    "cancel_answered": "the cancellation was answered '{outcome}': {reason}",
    "job_unserved": "refused: {why}",
    "job_malformed": "rejected as malformed: {why}",
    "caller_gone": "its caller hung up after {age_ms} ms",
    "run_adopted": (
        "task {step}.{task} was found running on {endpoint} and taken over"
    ),
    "run_ended": (
        "task {step}.{task} (attempt {attempt}) on {endpoint} ended '{how}':"
        " {why}"
    ),
    "run_stuck": (
        "task {step}.{task} on {endpoint} got nowhere ({percent}% after"
        " {age_ms} ms) and was stopped"
    ),
    "start_failed": (
        "the order to start task {step}.{task} on {endpoint} failed: {result}"
    ),
    "task_suspected": (
        "task {step}.{task} lost {endpoint} on its start {attempt}, its"
        " endpoint number {losses}; {crashes} of them surely crashed"
    ),
    "task_given_up": (
        "task {step}.{task} was given up: it crashed {crashed}; in doubt: {lost}"
    ),
    "no_route": (
        "no queue for {method} {path} in configuration version {config}, last"
        " confirmed by the store {unheard_ms} ms before"
    ),
    "holder_lost": (
        "the holder of {data_centre}, {holder}, was lost: {why}; last heard"
        " from {heard_ms_ago} ms before"
    ),
    "holder_changed": "{data_centre} is held by {holder} now, fence {fence}",
    "kept_loaded": (
        "the holder of {data_centre} read {jobs} kept jobs from the store, fence"
        " {fence}"
    ),
    "kept_write_replaced": "its write to the store came too late, fence {fence}",
    "shard_lost": "it gave up {data_centre}: {why}",
    "config_in_force": "configuration version {version} came into force",
    "endpoint_silent": "{endpoint} stopped answering",
    "endpoint_ejected": "{endpoint} was left out for {for_s} s",
}
# Events that name no job, but may explain one that they happened beside.
_BESIDE = (
    "holder_lost",
    "holder_changed",
    "shard_lost",
    "kept_loaded",
    "config_in_force",
    "endpoint_silent",
    "endpoint_ejected",
)


@dataclasses.dataclass(frozen=True)
class Line:
  """One log line: when, by which host, and its fields."""

  at: str
  host: str
  fields: dict[str, str]

  @property
  def event(self) -> str:
    """The event's name."""
    return self.fields.get("event", "")

  def describe(self) -> str:
    """Returns the line in words."""
    template = _WORDS.get(self.event)
    if template is None:
      return " ".join(f"{k}={v}" for k, v in self.fields.items())
    return template.format_map(_Fields(self.fields))


class _Fields(dict):
  """A line's fields; one that is missing is shown as such."""

  def __missing__(self, key: str) -> str:
    return "?"


def parse(text: str) -> Line | None:
  """Returns the line in `text`, or None if it is none of ours.

  Whatever stands before ``ts=`` on the line is passed over.
  """
  start = text.find("ts=")
  if start < 0 or "event=" not in text:
    return None
  try:
    words = shlex.split(text[start:])
  except ValueError:
    words = text[start:].split()
  fields = dict(word.split("=", 1) for word in words if "=" in word)
  at, host = fields.pop("ts", ""), fields.pop("proc", "")
  fields.pop("level", None)
  return Line(at, host, fields)


def request_timeline(lines: Iterable[str], wanted: str) -> list[Line]:
  """Returns the lines that tell of a request, in order of time.

  Args:
    lines: log lines of any number of hosts, in any order.
    wanted: the request's id or its job's.
  """
  parsed = [line for line in map(parse, lines) if line is not None]
  jobs = {wanted}
  for line in parsed:
    if line.fields.get("request") == wanted and "job" in line.fields:
      jobs.add(line.fields["job"])
  own = [line for line in parsed if _tells_of(line, wanted, jobs)]
  if not own:
    return []
  first, last = min(x.at for x in own), max(x.at for x in own)
  named = {value for line in own for value in line.fields.values()}
  beside = [
      line
      for line in parsed
      if line.event in _BESIDE
      and first <= line.at <= last
      and _shares_a_name(line, named)
  ]
  return sorted(own + beside, key=lambda line: line.at)


def _tells_of(line: Line, wanted: str, jobs: set[str]) -> bool:
  return line.fields.get("job") in jobs or line.fields.get("request") == wanted


def _shares_a_name(line: Line, named: set[str]) -> bool:
  names = ("endpoint", "holder", "data_centre")
  return line.event == "config_in_force" or any(
      line.fields.get(name) in named for name in names
  )
