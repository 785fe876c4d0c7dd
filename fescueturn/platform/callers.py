"""Callers' HTTP requests on the platform: jobs, their state, queues."""

import math
import re
from collections.abc import Callable

from loguru import logger

from fescueturn import codes
from fescueturn import errors
from fescueturn import httpio
from fescueturn.platform import jobstore
from fescueturn.platform import wire
from fescueturn.scheduler import coordinator
from fescueturn.scheduler import crashes
from fescueturn.scheduler import events
from fescueturn.scheduler import host as host_lib
from fescueturn.scheduler import hostmetrics
from fescueturn.scheduler import model
from fescueturn.scheduler import routes

# A caller that doesn't say how long it waits is taken to wait this long.
DEFAULT_DEADLINE_S = 10.0
# What a body may take beyond its headers: 262,144 bytes at 30 KB/s.
BODY_S = 9.0
# When to come back to a host that can't take a job at all yet.
RETRY_AFTER_S = 1
_STATE_NAMES = {
    model.KeptJobState.OPEN: "running",
    model.KeptJobState.DONE: "succeeded",
    model.KeptJobState.FAILED: "failed",
    model.KeptJobState.CANCELLED: "cancelled",
}
# Why a job was not run: the status and code that say so.
_NOT_RUN = {
    "no_room": (429, codes.Code.NO_ROOM),
    "no_room_in_time": (429, codes.Code.NO_ROOM),
    "store_away": (503, codes.Code.KV_UNAVAILABLE),
    "store_busy": (503, codes.Code.KV_UNAVAILABLE),
}
_STATES = {
    model.Outcome.DONE: model.KeptJobState.DONE,
    model.Outcome.FAILED: model.KeptJobState.FAILED,
    model.Outcome.CANCELLED: model.KeptJobState.CANCELLED,
}
_JOB_ID = re.compile(r"[0-9a-fA-F]{16}")
_UNSERVED_FIELDS = ("gang", "long_running", "fills", "may_miss", "target_ms")


def decode_job(job_id: str, body: bytes, queue: model.Queue) -> model.Job:
  """Returns the job in a request's body, on its queue's terms.

  Raises:
    errors.BadRequestError: the body is malformed.
    errors.UnservedError: the job asks for something that is not served yet.
  """
  raw = wire.decode(wire.jobs, body, "job", errors.BadRequestError)
  _check_served(raw, queue)
  return model.Job(
      id=job_id,
      service=queue.service,
      spec=raw.spec,
      steps=tuple(_step(n, phase) for n, phase in enumerate(raw.phases)),
      attempts=queue.attempts,
      stretch=queue.stretch,
      slo_ms=queue.slo_ms,
      queue=queue.name,
      # A job that isn't best-effort outlives its caller and every host.
      kept=not raw.best_effort,
  )


def _check_served(raw: wire.Job, queue: model.Queue):
  if queue.needs_advice:
    raise errors.UnservedError("job: queues under a policy are not served")
  if raw.repeat_count:
    raise errors.UnservedError("job: schedules are not served")
  if raw.long_running:
    raise errors.UnservedError("job: lasting tasks are not served")
  for step in raw.phases:
    for name in _UNSERVED_FIELDS:
      if getattr(step, name):
        raise errors.UnservedError(f"job: {name} is not served")


def _step(number: int, raw: wire.Phase) -> model.Step:
  if not all(a < number for a in raw.after):
    raise errors.BadRequestError(f"job: after: {raw.after} names a later step")
  return model.Step(
      count=raw.task_count,
      need=model.Resources(int(raw.cpu), int(raw.mem_mb), int(raw.gpu)),
      estimate_ms=int(raw.estimate_ms),
      after=raw.after,
      requires=raw.requires,
      near=raw.affinity,
      most_per_endpoint=raw.anti_affinity,
  )


class CallerHttp:
  """Turns callers' requests into jobs, and the answers back into HTTP."""

  def __init__(
      self,
      host: host_lib.SchedulerHost,
      now: Callable[[], float],
      page: hostmetrics.HostMetrics,
      kept: jobstore.JobStore,
  ):
    self._host = host
    self._now = now
    self._figures = page
    self._kept = kept
    self._routes: routes.RouteTable | None = None
    self._config_heard_at: float | None = None
    self._closing = False

  @property
  def ready(self) -> bool:
    """Whether jobs can be taken."""
    state = self._host.state
    ready = self._routes is not None and not state.draining
    return ready and state.coordinator.serves

  @property
  def config_age_s(self) -> float:
    """Seconds since the store last told what is in force; infinite at first."""
    if self._config_heard_at is None:
      return math.inf
    return self._now() - self._config_heard_at

  def confirm_config(self):
    """Takes that all that the store knows of the configuration is in force."""
    self._config_heard_at = self._now()

  def refuse_new_jobs(self):
    """Has jobs refused from now on, as the process ends soon."""
    self._closing = True

  def set_config(self, config: model.Config) -> bool:
    """Puts a configuration in force; returns False for an older one."""
    current = self._routes.config.version if self._routes else -1
    if config.version <= current:
      return False
    self._routes = routes.RouteTable(config)
    return True

  def limits(self) -> httpio.Limits:
    """Returns the limits in force for callers' connections."""
    limits = (
        self._routes.config.limits if self._routes else (model.RequestLimits())
    )
    return httpio.Limits(
        max_body=limits.body_bytes,
        idle_s=limits.idle_ms / 1000,
        read_s=limits.header_ms / 1000 + BODY_S,
        cancel_on_disconnect=True,
    )

  async def handle(self, request: httpio.Request) -> httpio.Response:
    """Answers one request.

    A host that is stopping, or can have no job run, ends the connection with it:
    the balancer brings the caller's next one to another host.
    """
    response = await self._route(request)
    state = self._host.state
    if state.draining or not state.coordinator.serves:
      return httpio.with_connection_close(response)
    return response

  async def _route(self, request: httpio.Request) -> httpio.Response:
    if self._routes is None:
      return _refusal(503, codes.Code.NO_CONFIG, "no configuration yet")
    path = request.target.partition("?")[0]
    queue = self._routes.find(request.headers.get("host", ""), path)
    if queue is None:
      logger.info(
          "event=no_route request={} method={} path={} config={}"
          " unheard_ms={:.0f}",
          request.headers.get("request-id", ""),
          request.method,
          path,
          self._routes.config.version,
          self.config_age_s * 1000,
      )
      return _error(404, codes.Code.NO_QUEUE, "no such queue")
    rest = path[len(queue.prefix) :]
    if request.method == "GET" and not rest:
      return httpio.json_response(200, {"pending": self._pending(queue)})
    if not _JOB_ID.fullmatch(rest):
      return _error(404, codes.Code.NOT_FOUND, "no such job id")
    if request.method == "POST":
      return await self._submit(request, queue, rest)
    if request.method == "DELETE":
      return await self._cancel(request, rest)
    if request.method == "GET":
      return await self._state(request, rest)
    return _error(405, codes.Code.NOT_FOUND, "method not allowed")

  def _pending(self, queue: model.Queue) -> int:
    return coordinator.pending(self._host.state.coordinator, queue.name)

  async def _submit(
      self, request: httpio.Request, queue: model.Queue, job_id: str
  ) -> httpio.Response:
    if self._closing:
      return _refusal(503, codes.Code.DRAINING, "this host is stopping")
    trace = request.headers.get("request-id", "")
    try:
      job = decode_job(job_id, request.body, queue)
    except errors.UnservedError as exc:
      logger.info(
          'event=job_unserved job={} request={} why="{}"', job_id, trace, exc
      )
      return _refusal(503, exc.code, str(exc))
    except errors.BadRequestError as exc:
      logger.info(
          'event=job_malformed job={} request={} why="{}"', job_id, trace, exc
      )
      return _error(400, exc.code, str(exc))
    began = self._now()
    answer = await self._host.submit(job, _deadline_s(request), trace)
    self._figures.observe_job(
        queue.name, answer.outcome.value, self._now() - began
    )
    return _to_http(answer)

  async def _state(
      self, request: httpio.Request, job_id: str
  ) -> httpio.Response:
    """Answers how far a kept job is; the store knows, whoever took it."""
    try:
      known = await self._kept.get_status(job_id)
    except errors.KvError as exc:
      logger.info('event=state_unknown job={} error="{}"', job_id, exc)
      return _refusal(503, codes.Code.KV_UNAVAILABLE, "the store is away")
    if known is None:
      logger.info("event=state_told job={} state=none", job_id)
      return _error(410, codes.Code.NO_JOB, "no such job")
    state = known.state
    if state is model.KeptJobState.OPEN:
      state = await self._newest_state(request, job_id, known)
    logger.info("event=state_told job={} state={}", job_id, state.value)
    return httpio.json_response(200, {"state": _STATE_NAMES[state]})

  async def _newest_state(
      self, request: httpio.Request, job_id: str, known: jobstore.JobStatus
  ) -> model.KeptJobState:
    """Returns a job's state; one just over is waited for to be stored as such.

    Callers ask some 20 ms after a job's last task and next 250 ms later, while
    it takes 15 to 30 ms to be stored.
    """
    answer = await self._host.query_kept_job(
        job_id, known.shard, False, _deadline_s(request)
    )
    return _STATES.get(answer.outcome, known.state)

  async def _cancel(
      self, request: httpio.Request, job_id: str
  ) -> httpio.Response:
    record = self._host.state.coordinator.jobs.get(job_id)
    if record is not None and not record.job.kept:
      await self._host.cancel(job_id)
      return httpio.json_response(200, {})
    try:
      known = await self._kept.get_status(job_id)
    except errors.KvError as exc:
      logger.info('event=cancel_refused job={} error="{}"', job_id, exc)
      return _refusal(503, codes.Code.KV_UNAVAILABLE, "the store is away")
    if known is None:
      return _error(410, codes.Code.NO_JOB, "no such job")
    if known.state is not model.KeptJobState.OPEN:
      return _over(known.state)
    answer = await self._host.query_kept_job(
        job_id,
        known.shard,
        True,
        _deadline_s(request),
        request.headers.get("request-id", ""),
    )
    return _cancel_to_http(answer)


def _over(state: model.KeptJobState) -> httpio.Response:
  """Returns the answer to a cancellation of a job that is over."""
  if state is model.KeptJobState.CANCELLED:
    return httpio.json_response(200, {"state": _STATE_NAMES[state]})
  return _error(410, codes.Code.NO_JOB, f"the job is over: {state.value}")


def _cancel_to_http(answer: events.Answer) -> httpio.Response:
  state = _STATES.get(answer.outcome)
  if state is not None and state is not model.KeptJobState.OPEN:
    return _over(state)
  return _refusal(503, codes.Code.NO_HOLDER, answer.reason)


def _deadline_s(request: httpio.Request) -> float:
  text = request.headers.get("deadline-ms", "")
  try:
    deadline_s = float(text) / 1000
  except ValueError:
    return DEFAULT_DEADLINE_S
  return deadline_s if math.isfinite(deadline_s) else DEFAULT_DEADLINE_S


def _error(status: int, code: codes.Code, why: str, headers=()):
  body = {"code": int(code), "error": why}
  return httpio.json_response(status, body, headers)


def _refusal(status: int, code: codes.Code, why: str, after_s=RETRY_AFTER_S):
  """Returns the answer to a request of which nothing ran or will."""
  return _error(status, code, why, (("retry-after", str(after_s)),))


def _failed_body(reason: str) -> dict[str, object]:
  body: dict[str, object] = {"state": _STATE_NAMES[model.KeptJobState.FAILED]}
  if reason == crashes.REASON:
    body["code"] = int(codes.Code.ENDPOINTS_CRASHED)
  return body


def _to_http(answer: events.Answer) -> httpio.Response:
  if answer.outcome is model.Outcome.KEPT:
    return httpio.json_response(200, {"state": "queued"})
  if answer.outcome is model.Outcome.DONE:
    return httpio.json_response(200, {"state": "succeeded"})
  if answer.outcome is model.Outcome.FAILED:
    return httpio.json_response(200, _failed_body(answer.reason))
  after_s = answer.retry_after_s
  if answer.outcome is not model.Outcome.NOT_RUN:
    # The caller may send it again, and it may then run again.
    return _error(504, codes.Code.MAYBE_RAN, answer.reason)
  status, code = _NOT_RUN.get(answer.reason, (503, codes.Code.NO_HOLDER))
  return _refusal(status, code, answer.reason, after_s)
