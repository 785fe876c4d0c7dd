"""The endpoint stand-in daemon: a back-end host that runs tasks over HTTP.

It stands in for the speller and uplift-orders hosts. It runs at most `slots`
tasks at once, occupies a slot for a task's declared run time, and counts task
starts by their idempotency key, so that tests can check for duplicate starts.
Tests can set a fault: ``fail_all`` (every task that starts fails) or ``refuse``
(every task is refused before it starts).

Paths: POST /v1/task {team, key, kind, payload, run_ms} -> {code, result};
GET /v1/stats; POST /v1/fault {mode}.
"""

import collections

import curio
from loguru import logger

from fescueturn import codes
from fescueturn import errors
from fescueturn import httpio
from fescueturn import kvtypes
from fescueturn import settings
from fescueturn import timer
from fescueturn.standins import taskkinds

ENDPOINT_FAULTS = ("none", "fail_all", "refuse")


class EndpointStandIn:
  """The endpoint's state and HTTP handler."""

  def __init__(
      self,
      process: settings.ProcessSettings,
      config: settings.EndpointSettings,
      clock: timer.TimerService,
      store: kvtypes.Store,
  ):
    self._process = process
    self._config = config
    self._timer = clock
    self._slots = curio.Semaphore(config.slots)
    self._store = store
    self._server = httpio.Server(config.listen, self._handle)
    self._starts: collections.Counter[str] = collections.Counter()
    self._fault = "none"
    self._leaving_since: float | None = None
    self._last_start = 0.0
    self._starts_while_leaving = 0
    self._in_flight = 0

  @property
  def host_record(self) -> kvtypes.HostRecord:
    """The endpoint's entry in the platform's host list."""
    return kvtypes.HostRecord(
        name=self._process.name,
        address=str(self._config.listen),
        data_centre=self._process.data_centre,
        services=self._config.services,
        slots=self._config.slots,
        leaving=self._leaving_since is not None,
    )

  async def start(self):
    """Loads the dictionary, starts the server and joins the host list."""
    taskkinds.warm_up()
    await self._server.start()
    await self._write_host_record()
    logger.info(
        "event=endpoint_started name={} listen={}",
        self._process.name,
        self._config.listen,
    )

  async def _write_host_record(self):
    """Writes the endpoint's entry into the host list."""
    puts = {self.host_record.key: self.host_record.encode()}
    await self._store.transact(kvtypes.Transaction(puts=puts))

  async def leave(self):
    """Marks the endpoint as leaving in the host list; it goes on serving."""
    self._leaving_since = self._timer.now()
    try:
      await self._write_host_record()
    except errors.KvError as exc:  # The platform may be down; leave anyway.
      logger.warning("event=leave_unlisted error={!r}", exc)
    logger.info("event=endpoint_leaving name={}", self._process.name)

  async def close(self):
    """Stops the server, waits for tasks in flight and leaves the host list."""
    await self._server.close()
    while self._in_flight:
      await curio.sleep(0.05)
    try:
      removal = kvtypes.Transaction(removes=(self.host_record.key,))
      await self._store.transact(removal)
    except errors.KvError as exc:
      logger.warning("event=unlist_failed error={!r}", exc)
    await self._store.close()

  def stats(self) -> dict:
    """Returns counts of task starts, for tests and benchmarks."""
    duplicates = sum(n - 1 for n in self._starts.values() if n > 1)
    return {
        "name": self._process.name,
        "starts": sum(self._starts.values()),
        "duplicate_starts": duplicates,
        "starts_by_key": dict(self._starts),
        "leaving_since": self._leaving_since,
        "last_start": self._last_start,
        "starts_while_leaving": self._starts_while_leaving,
        "in_flight": self._in_flight,
    }

  async def _handle(self, request: httpio.Request) -> httpio.Response:
    route = (request.method, request.target)
    if route == ("POST", "/v1/task"):
      return await self._handle_task(request)
    if route == ("GET", "/v1/stats") or route == ("GET", "/dump"):
      return httpio.json_response(200, self.stats())
    if route == ("POST", "/v1/fault"):
      mode = request.json().get("mode", "none")
      if mode not in ENDPOINT_FAULTS:
        return httpio.json_response(
            400, {"error": f"mode one of {ENDPOINT_FAULTS}"}
        )
      self._fault = mode
      return httpio.json_response(200, {"mode": mode})
    return httpio.json_response(404, {"error": "no such path"})

  async def _handle_task(self, request: httpio.Request) -> httpio.Response:
    try:
      body = request.json()
      service, run = taskkinds.KINDS[body["kind"]]
      key, payload, run_ms = body["key"], body["payload"], int(body["run_ms"])
    except (ValueError, KeyError, TypeError) as exc:
      return httpio.json_response(
          400, {"code": int(codes.Code.TASK_NOT_RUN), "error": repr(exc)}
      )
    if service not in self._config.services or self._fault == "refuse":
      return httpio.json_response(
          503, {"code": int(codes.Code.TASK_NOT_RUN_REFUSED)}
      )
    self._in_flight += 1
    try:
      async with self._slots:
        self._count_start(key)
        await curio.sleep(run_ms * self._config.time_scale / 1000)
        if self._fault == "fail_all":
          return httpio.json_response(
              200,
              {"code": int(codes.Code.TASK_FAILED), "result": "worker fault"},
          )
        return httpio.json_response(
            200, {"code": int(codes.Code.TASK_DONE), "result": run(payload)}
        )
    finally:
      self._in_flight -= 1

  def _count_start(self, key: str):
    self._starts[key] += 1
    self._last_start = self._timer.now()
    if self._leaving_since is not None:
      self._starts_while_leaving += 1
    if self._starts[key] > 1:
      logger.error(
          "event=duplicate_start key={} count={}", key, self._starts[key]
      )
