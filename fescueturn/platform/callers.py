"""HTTP interface for callers: submits, queries and cancels jobs."""

import math
import re
from collections.abc import Callable

import curio
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
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import routes

# How long a caller is assumed to wait if its request has no deadline.
DEFAULT_DEADLINE_S = 10.0
# Time to read a body after its headers: 262,144 bytes at 30 KB/s.
BODY_TIMEOUT_S = 9.0
# How long a holder may take to cancel a kept job before the store is asked again
# who has the job, and the pause before that.
CANCEL_RETRY_S = 1.0
CANCEL_PAUSE_S = 0.1
# Default Retry-After (s) of refusals, such as by a host that cannot accept jobs
# yet.
RETRY_AFTER_S = 1
_STATE_NAMES = {
    model.KeptJobState.OPEN: "running",
    model.KeptJobState.DONE: "succeeded",
    model.KeptJobState.FAILED: "failed",
    model.KeptJobState.CANCELLED: "cancelled",
}
# The HTTP status and code by the reason why a job was not run.
_NOT_RUN_RESPONSES = {
    "no_room": (429, codes.Code.NO_ROOM),
    "no_room_in_time": (429, codes.Code.NO_ROOM),
    linkmessages.NO_ENDPOINT_FITS: (429, codes.Code.NO_ENDPOINT_FITS),
    "store_away": (503, codes.Code.KV_UNAVAILABLE),
    "store_busy": (503, codes.Code.KV_UNAVAILABLE),
}
_STATE_BY_OUTCOME = {
    model.Outcome.DONE: model.KeptJobState.DONE,
    model.Outcome.FAILED: model.KeptJobState.FAILED,
    model.Outcome.CANCELLED: model.KeptJobState.CANCELLED,
}
_JOB_ID = re.compile(r"[0-9a-fA-F]{16}")
_UNSUPPORTED_FIELDS = ("gang", "long_running", "fills", "may_miss", "target_ms")


def decode_job(job_id: str, body: bytes, queue: model.Queue) -> model.Job:
  """Returns the job in a request's body, with the settings of its queue.

  Raises:
    errors.BadRequestError: the body is malformed.
    errors.UnservedError: the job uses a feature that is not supported yet.
  """
  raw = wire.decode(wire.jobs, body, "job", errors.BadRequestError)
  _check_supported(raw, queue)
  return model.Job(
      id=job_id,
      service=queue.service,
      spec=raw.spec,
      steps=tuple(_step(n, phase) for n, phase in enumerate(raw.phases)),
      attempts=queue.attempts,
      stretch=queue.stretch,
      slo_ms=queue.slo_ms,
      queue=queue.name,
      # A job that isn't best-effort must survive its caller and any host.
      kept=not raw.best_effort,
      priority=queue.priority,
  )


def _check_supported(raw: wire.Job, queue: model.Queue):
  if queue.needs_advice:
    raise errors.UnservedError("job: queues under a policy are not served")
  if raw.repeat_count:
    raise errors.UnservedError("job: schedules are not served")
  if raw.long_running:
    raise errors.UnservedError("job: lasting tasks are not served")
  for step in raw.phases:
    for name in _UNSUPPORTED_FIELDS:
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
  """HTTP handler that turns requests into jobs, and answers into responses."""

  def __init__(
      self,
      host: host_lib.SchedulerHost,
      now: Callable[[], float],
      host_metrics: hostmetrics.HostMetrics,
      job_store: jobstore.JobStore,
  ):
    self._host = host
    self._now = now
    self._metrics = host_metrics
    self._job_store = job_store
    self._routes: routes.RouteTable | None = None
    self._config_confirmed_at: float | None = None
    self._closing = False

  @property
  def ready(self) -> bool:
    """True if this host accepts jobs."""
    state = self._host.state
    ready = self._routes is not None and not state.draining
    return ready and state.coordinator.serves

  @property
  def config_age_s(self) -> float:
    """Seconds since the store last confirmed the configuration.

    Infinite before the first confirmation.
    """
    if self._config_confirmed_at is None:
      return math.inf
    return self._now() - self._config_confirmed_at

  def confirm_config(self):
    """Records that the configuration in force is the store's latest."""
    self._config_confirmed_at = self._now()

  def refuse_new_jobs(self):
    """Refuses jobs from now on, because the process is about to exit."""
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
        read_s=limits.header_ms / 1000 + BODY_TIMEOUT_S,
        answer_to_leavers=_ANSWER_TO_LEAVERS,
    )

  async def handle(self, request: httpio.Request) -> httpio.Response:
    """Answers one request.

    If this host is stopping or has no holder to send jobs to, it closes the
    connection after the response, so that the balancer sends the caller's next
    connection to another host.
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
    suffix = path[len(queue.prefix) :]
    if request.method == "GET" and not suffix:
      return httpio.json_response(200, {"pending": self._pending(queue)})
    if not _JOB_ID.fullmatch(suffix):
      return _error(404, codes.Code.NOT_FOUND, "no such job id")
    if request.method == "POST":
      return await self._submit(request, queue, suffix)
    if request.method == "DELETE":
      return await self._cancel(request, suffix)
    if request.method == "GET":
      return await self._get_state(request, suffix)
    return _error(405, codes.Code.NOT_FOUND, "method not allowed")

  def _pending(self, queue: model.Queue) -> int:
    return coordinator.pending(self._host.state.coordinator, queue.name)

  async def _submit(
      self, request: httpio.Request, queue: model.Queue, job_id: str
  ) -> httpio.Response:
    if self._closing:
      return _refusal(503, codes.Code.DRAINING, "this host is stopping")
    request_id = request.headers.get("request-id", "")
    try:
      job = decode_job(job_id, request.body, queue)
    except errors.UnservedError as exc:
      logger.info(
          'event=job_unserved job={} request={} why="{}"',
          job_id,
          request_id,
          exc,
      )
      return _refusal(503, exc.code, str(exc))
    except errors.BadRequestError as exc:
      logger.info(
          'event=job_malformed job={} request={} why="{}"',
          job_id,
          request_id,
          exc,
      )
      return _error(400, exc.code, str(exc))
    began = self._now()
    try:
      answer = await self._host.submit(
          job, _deadline_s(request), request_id, request.fileno
      )
    except host_lib.CallerGoneError as exc:
      self._metrics.observe_job(queue.name, "abandoned", 0.0)
      logger.info(
          "event=request_abandoned job={} request={}", job_id, request_id
      )
      return _refusal(503, exc.code, str(exc))
    self._metrics.observe_job(
        queue.name, answer.outcome.value, self._now() - began
    )
    return _answer_to_http(answer)

  async def _get_state(
      self, request: httpio.Request, job_id: str
  ) -> httpio.Response:
    """Answers with a kept job's state.

    The state is read from the store, so any host can answer, whichever host
    accepted the job.
    """
    try:
      job_status = await self._job_store.get_status(job_id)
    except errors.KvError as exc:
      logger.info('event=state_unknown job={} error="{}"', job_id, exc)
      return _refusal(503, codes.Code.KV_UNAVAILABLE, "the store is away")
    if job_status is None:
      logger.info("event=state_told job={} state=none", job_id)
      return _error(410, codes.Code.NO_JOB, "no such job")
    state = job_status.state
    if state is model.KeptJobState.OPEN:
      state = await self._newest_state(request, job_id, job_status)
    logger.info("event=state_told job={} state={}", job_id, state.value)
    return httpio.json_response(200, {"state": _STATE_NAMES[state]})

  async def _newest_state(
      self, request: httpio.Request, job_id: str, job_status: jobstore.JobStatus
  ) -> model.KeptJobState:
    """Returns the state of a job that the store has as open.

    Asks the shard's holder: if the job is just ending, the holder answers once
    its end is stored, which takes 15 to 30 ms. Callers poll some 20 ms after a
    job's last task and then only 250 ms later, so an answer from the store
    alone would often be one poll late.
    """
    answer = await self._host.query_kept_job(
        job_id, job_status.shard, False, _deadline_s(request)
    )
    return _STATE_BY_OUTCOME.get(answer.outcome, job_status.state)

  async def _cancel(
      self, request: httpio.Request, job_id: str
  ) -> httpio.Response:
    record = self._host.state.coordinator.jobs.get(job_id)
    if record is not None and not record.job.kept:
      await self._host.cancel(job_id)
      return httpio.json_response(200, {})
    deadline = self._now() + _deadline_s(request)
    response = await self._try_to_cancel(request, job_id, deadline)
    while response is None:
      await curio.sleep(CANCEL_PAUSE_S)
      response = await self._try_to_cancel(request, job_id, deadline)
    return response

  async def _try_to_cancel(
      self, request: httpio.Request, job_id: str, deadline: float
  ) -> httpio.Response | None:
    """Has a kept job cancelled by the holder that the store names for it now.

    Returns:
      The response; None if there is time to try again: the holder may be lost,
      and the job be taken over by that of another shard.
    """
    try:
      job_status = await self._job_store.get_status(job_id)
    except errors.KvError as exc:
      logger.info('event=cancel_refused job={} error="{}"', job_id, exc)
      return _refusal(503, codes.Code.KV_UNAVAILABLE, "the store is away")
    if job_status is None:
      return _error(410, codes.Code.NO_JOB, "no such job")
    if job_status.state is not model.KeptJobState.OPEN:
      return _ended_response(job_status.state)
    remaining_s = deadline - self._now()
    answer = await self._host.query_kept_job(
        job_id,
        job_status.shard,
        True,
        min(remaining_s, CANCEL_RETRY_S),
        request.headers.get("request-id", ""),
    )
    is_last = self._closing or remaining_s <= CANCEL_RETRY_S + CANCEL_PAUSE_S
    if answer.outcome in _STATE_BY_OUTCOME or is_last:
      return _cancel_to_http(answer)
    return None


def _ended_response(state: model.KeptJobState) -> httpio.Response:
  """Returns the response to the cancellation of a job that has ended."""
  if state is model.KeptJobState.CANCELLED:
    return httpio.json_response(200, {"state": _STATE_NAMES[state]})
  return _error(410, codes.Code.NO_JOB, f"the job is over: {state.value}")


def _cancel_to_http(answer: events.Answer) -> httpio.Response:
  state = _STATE_BY_OUTCOME.get(answer.outcome)
  if state is not None and state is not model.KeptJobState.OPEN:
    return _ended_response(state)
  return _refusal(503, codes.Code.NO_HOLDER, answer.reason)


def _deadline_s(request: httpio.Request) -> float:
  text = request.headers.get("deadline-ms", "")
  try:
    deadline_s = float(text) / 1000
  except ValueError:
    return DEFAULT_DEADLINE_S
  return deadline_s if math.isfinite(deadline_s) else DEFAULT_DEADLINE_S


def _error(status: int, code: codes.Code, message: str, headers=()):
  body = {"code": int(code), "error": message}
  return httpio.json_response(status, body, headers)


def _refusal(
    status: int, code: codes.Code, message: str, retry_s=RETRY_AFTER_S
):
  """Returns the response to a request of which nothing has run or will run."""
  return _error(status, code, message, (("retry-after", str(retry_s)),))


# Its job is withdrawn, since a caller that closed both sides looks the same and
# may send it to another host.
_ANSWER_TO_LEAVERS = _error(
    504, codes.Code.MAYBE_RAN, "the caller closed its side of the connection"
)


def _failed_body(reason: str) -> dict[str, object]:
  body: dict[str, object] = {"state": _STATE_NAMES[model.KeptJobState.FAILED]}
  if reason == crashes.REASON:
    body["code"] = int(codes.Code.ENDPOINTS_CRASHED)
  return body


def _answer_to_http(answer: events.Answer) -> httpio.Response:
  if answer.outcome is model.Outcome.KEPT:
    return httpio.json_response(200, {"state": "queued"})
  if answer.outcome is model.Outcome.DONE:
    return httpio.json_response(200, {"state": "succeeded"})
  if answer.outcome is model.Outcome.FAILED:
    return httpio.json_response(200, _failed_body(answer.reason))
  retry_s = answer.retry_after_s
  if answer.outcome is not model.Outcome.NOT_RUN:
    # The job may have run: if the caller retries, it may run a second time.
    return _error(504, codes.Code.MAYBE_RAN, answer.reason)
  status, code = _NOT_RUN_RESPONSES.get(
      answer.reason, (503, codes.Code.NO_HOLDER)
  )
  return _refusal(status, code, answer.reason, retry_s)
