"""Builds the timeline of one request from the log lines of any hosts.

The lines have the format of `logs`: ``key=value`` pairs, one event per line. A
request is identified by the caller's request id or by its job's id.
"""

import dataclasses
import shlex
from collections.abc import Iterable

# The template's key for a `job_answered` line of a refusal, which also has the
# room at the holders.
_REFUSAL = "job_answered refused"
# The description of each event; names in braces are fields of its log line.
_TEMPLATES = {
    "job_offered": (
        "offered to {holder}, which holds {data_centre} with fencing token"
        " {fence} and last sent a message {holder_heard_ms_ago} ms before; the"
        " job was {age_ms} ms old, its caller waits for another {left_ms} ms;"
        " chosen by: {chosen}, expected wait {expected_wait_ms} ms by a report"
        " {room_ms_ago} ms old"
    ),
    "job_declined": (
        "declined: no room expected in time ({wait_ms} ms too late, behind"
        " {waiting_jobs} waiting jobs)"
    ),
    "job_put_off": (
        "not started there at once: it would wait {wait_ms} ms, behind"
        " {waiting_jobs} waiting jobs, with {kept_for_wider} slots reserved for"
        " wider jobs"
    ),
    "job_begun": (
        "its first tasks were started (task:attempt@endpoint): {runs},"
        " {waited_ms} ms after the job arrived and {coordinator_heard_ms_ago} ms"
        " after its coordinator's last message"
    ),
    "tasks_started": (
        "further tasks were started (task:attempt@endpoint): {runs},"
        " {coordinator_heard_ms_ago} ms after its coordinator's last message"
    ),
    "job_answered": (
        "its caller was answered '{outcome}' after {age_ms} ms: {reason}"
    ),
    _REFUSAL: (
        "its caller was answered '{outcome}' after {age_ms} ms: {reason};"
        " {offers} offers, least late by {best_wait_ms} ms, told to return"
        " after {retry_after_s} s; room as reported (data centre:free/wanted"
        " tasks:wait:age): {room}"
    ),
    "job_over": "its holder finished it after {age_ms} ms: {why}",
    "job_leaves": (
        "no endpoint of its data centre could run it for {waited_ms} ms; can be"
        " run in: {others}"
    ),
    "job_resumed": (
        "accepted with offer {offer} as a job that may have run before, with"
        " fencing token {fence}: {waiting} tasks wait, {at_work} run,"
        " {stopping} are being stopped"
    ),
    "job_end_outdated": (
        "its holder had ended it as '{outcome}' ({reason}) before it got the"
        " last offer"
    ),
    "kept_job_over": "stored as {state}, with fencing token {fence}",
    "state_told": "its state was reported to a caller: {state}",
    "cancel_asked": (
        "a caller requested its cancellation by the holder of {data_centre}"
    ),
    "cancel_answered": "the cancellation was answered '{outcome}': {reason}",
    "job_unserved": "refused: {why}",
    "job_malformed": "rejected as malformed: {why}",
    "request_abandoned": (
        "its caller had disconnected before the request was read"
    ),
    "caller_gone": "its caller disconnected after {age_ms} ms",
    "run_adopted": (
        "task {step}.{task} was found running on {endpoint} and taken over"
    ),
    "steps_found_done": (
        "the run of task {step}.{task} that was found shows that the steps"
        " before it are done ({tasks} tasks)"
    ),
    "run_ended": (
        "task {step}.{task} (attempt {attempt}) on {endpoint} ended '{how}':"
        " {why}"
    ),
    "run_stuck": (
        "task {step}.{task} on {endpoint} made no progress ({percent}% after"
        " {age_ms} ms) and was stopped"
    ),
    "start_failed": (
        "the request to start task {step}.{task} on {endpoint} failed: {result}"
        " (sent {sends} times, first {age_ms} ms before)"
    ),
    "stop_failed": (
        "the first request to stop task {step}.{task} (attempt {attempt}) on"
        " {endpoint} failed: {result}; it is retried"
    ),
    "run_duplicate": (
        "{endpoint} runs task {step}.{task} as attempt {attempt}, but attempt"
        " {current_attempt} on {current_endpoint} is its current run"
    ),
    "task_suspected": (
        "task {step}.{task} lost {endpoint} on attempt {attempt}; endpoints it"
        " has lost so far: {losses}, of these confirmed crashes: {crashes}"
    ),
    "task_given_up": (
        "task {step}.{task} was abandoned: it crashed {crashed}; suspected of"
        " crashing: {lost}"
    ),
    "no_route": (
        "no queue for {method} {path} in configuration version {config}, last"
        " confirmed by the store {unheard_ms} ms before"
    ),
    "holder_lost": (
        "the holder of {data_centre}, {holder}, was lost: {why}; its last"
        " message came {heard_ms_ago} ms before"
    ),
    "holder_changed": (
        "{data_centre} is now held by {holder}, fencing token {fence}"
    ),
    "kept_loaded": (
        "the holder of {data_centre} loaded {jobs} jobs from the store, fencing"
        " token {fence}"
    ),
    "kept_write_replaced": (
        "its write to the store was rejected: fencing token {fence} is stale"
    ),
    "shard_lost": "it lost ownership of {data_centre}: {why}",
    "config_in_force": "configuration version {version} took effect",
    "endpoint_silent": "{endpoint} stopped responding",
    "endpoint_ejected": "{endpoint} was excluded for {for_s} s",
}
# Events that name no job or request but may explain what happened to one.
_CONTEXT_EVENTS = (
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
  """A parsed log line: its timestamp, its host and its fields."""

  at: str
  host: str
  fields: dict[str, str]

  @property
  def event(self) -> str:
    """The event's name."""
    return self.fields.get("event", "")

  def describe(self) -> str:
    """Returns a description of the event, or all fields if it has none."""
    is_refusal = self.event == "job_answered" and "room" in self.fields
    template = _TEMPLATES.get(_REFUSAL if is_refusal else self.event)
    if template is None:
      return " ".join(f"{k}={v}" for k, v in self.fields.items())
    return template.format_map(_Fields(self.fields))


class _Fields(dict):
  """A line's fields; a missing field is shown as ``?``."""

  def __missing__(self, key: str) -> str:
    return "?"


def parse(text: str) -> Line | None:
  """Parses a log line; returns None if it is not in the format of `logs`.

  Text before ``ts=``, such as a log collector's prefix, is ignored.
  """
  start = text.find("ts=")
  if start < 0 or "event=" not in text:
    return None
  try:
    parts = shlex.split(text[start:])
  except ValueError:
    parts = text[start:].split()
  fields = dict(part.split("=", 1) for part in parts if "=" in part)
  at, host = fields.pop("ts", ""), fields.pop("proc", "")
  fields.pop("level", None)
  return Line(at, host, fields)


def request_timeline(lines: Iterable[str], wanted_id: str) -> list[Line]:
  """Returns the lines about a request, and their context, in order of time.

  The context is the `_CONTEXT_EVENTS` between the request's first and last line
  that have an endpoint, holder or data centre in common with its lines, and all
  configuration changes in that time.

  Args:
    lines: log lines of any number of hosts, in any order.
    wanted_id: the request's id or its job's id.
  """
  parsed = [line for line in map(parse, lines) if line is not None]
  jobs = {wanted_id}
  for line in parsed:
    if line.fields.get("request") == wanted_id and "job" in line.fields:
      jobs.add(line.fields["job"])
  own = [line for line in parsed if _is_about(line, wanted_id, jobs)]
  if not own:
    return []
  first, last = min(x.at for x in own), max(x.at for x in own)
  own_values = {value for line in own for value in line.fields.values()}
  context = [
      line
      for line in parsed
      if line.event in _CONTEXT_EVENTS
      and first <= line.at <= last
      and _shares_value(line, own_values)
  ]
  return sorted(own + context, key=lambda line: line.at)


def _is_about(line: Line, wanted_id: str, jobs: set[str]) -> bool:
  return (
      line.fields.get("job") in jobs or line.fields.get("request") == wanted_id
  )


def _shares_value(line: Line, own_values: set[str]) -> bool:
  names = ("endpoint", "holder", "data_centre")
  return line.event == "config_in_force" or any(
      line.fields.get(name) in own_values for name in names
  )
