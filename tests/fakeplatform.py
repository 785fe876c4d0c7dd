"""A stand-in of the users' platform as a process: its store and endpoints.

Run as ``python3 -m tests.fakeplatform STORE_PORT ENDPOINT_PORT COUNT DC...``,
where DC are names of data centres. It serves the platform's HTTP API. The
endpoints are emulated in real time. ``POST /test/put`` writes a key as the
platform's operator would, and ``GET /test/report`` lists the starts and the
violations seen so far. ``POST /test/store`` sets whether the store answers.
"""

import functools
import json
import sys
import time

import curio

from fescueturn import httpio
from fescueturn import settings
from fescueturn.emulator import endpoint as endpoint_lib
from fescueturn.platform import endpoints as platform_endpoints
from fescueturn.platform import wireserver
from fescueturn.scheduler import events
from fescueturn.scheduler import model
from fescueturn.standins import kvstore

SERVICE = "speller"
RACK = "r1"
SLOTS = 8


class RealClock:
  """The interface of the virtual clock in real time, with curio tasks."""

  @property
  def now(self) -> float:
    return time.monotonic()

  def at(self, when, action):
    self.after(max(0.0, when - self.now), action)

  def after(self, delay_s, action):
    self.pending.append((delay_s, action))

  def __init__(self):
    self.pending = []

  async def run(self):
    async def run_later(delay_s, action):
      await curio.sleep(delay_s)
      action()

    while True:
      pending, self.pending = self.pending, []
      for delay_s, action in pending:
        await curio.spawn(run_later, min(delay_s, 60.0), action, daemon=True)
      await curio.sleep(0.002)


_REASON_BY_RESULT = {
    model.CallResult.FENCED: "fence",
    model.CallResult.OLD_ATTEMPT: "old",
    model.CallResult.LATE: "late",
}
_HOW_BY_OUTCOME = {
    model.RunOutcome.DONE: "done",
    model.RunOutcome.FAILED: "failed",
    model.RunOutcome.LOST: "stopped",
}


class FakeEndpoint:
  """The HTTP server of an emulated endpoint.

  The spec of a task is JSON: its run time ``run_s``, and ``fails`` if all its
  runs fail.
  """

  def __init__(self, emulated, specs):
    self.emulated = emulated
    self.specs = specs

  async def handle(self, request):
    if request.headers.get("expect-instance") != self.emulated.info.id:
      return httpio.Response(421)
    body = json.loads(request.body)
    if request.target == "/-/hold":
      return await self._hold(body)
    task = platform_endpoints.parse_task_name(body["task"])
    run = model.RunId(task, body["attempt"])
    fence = body["fencingToken"]
    if request.target == "/-/run-start":
      self.specs[task] = json.loads(body["spec"])
      order = events.StartRun(
          self.emulated.info, run, body["spec"], body["deadlineMs"], fence
      )
      return self._answer(self.emulated.start(order))
    stop = events.StopRun(self.emulated.info, run, fence)
    return self._answer(self.emulated.stop(stop))

  def _answer(self, result):
    body = {"clockMs": self.emulated.clock_ms}
    if result is model.CallResult.OK:
      return httpio.json_response(200, body)
    return httpio.json_response(
        409, {**body, "reason": _REASON_BY_RESULT[result]}
    )

  async def _hold(self, body):
    replies = []
    call = events.RenewLease(
        self.emulated.info,
        1,
        body["lastSeen"],
        body.get("deadlineMs"),
        body.get("waitMs", 0),
        body["fencingToken"],
    )
    self.emulated.renew(call, replies.append)
    while not replies:
      await curio.sleep(0.002)
    answer = replies[0]
    if answer.result is not model.CallResult.OK:
      return self._answer(answer.result)
    running = [
        [
            platform_endpoints.format_task_name(r.run.task),
            r.run.attempt,
            "",
            r.percent,
        ]
        for r in answer.running
    ]
    finished = [
        [
            e.number,
            platform_endpoints.format_task_name(e.run.task),
            e.run.attempt,
            _HOW_BY_OUTCOME[e.how],
            "",
        ]
        for e in answer.ended
    ]
    return httpio.json_response(
        200,
        {
            "clockMs": self.emulated.clock_ms,
            "running": running,
            "finished": finished,
        },
    )


def _task_profile(specs, task):
  spec = specs[task]
  need = model.Resources(spec.get("cpu", 27000), 64, 0)
  return endpoint_lib.TaskProfile(need, spec["run_s"], spec.get("fails", False))


def entry(info: model.Endpoint, state: str) -> dict:
  """Returns the entry that an endpoint writes in the store."""
  capacity = info.capacity
  return {
      "service": info.service,
      "address": str(info.address),
      "zone": info.data_centre,
      "version": "v1",
      "slots": info.slots,
      "state": state,
      "capacity": {
          "cpu": capacity.cpu,
          "memMb": capacity.mem_mb,
          "gpu": capacity.gpu,
      },
      "labels": ["a", RACK],
      "coldRemainingMs": 0,
      "sequence": 1,
  }


async def main(
    store_port: int, endpoint_port: int, count: int, data_centres: list
):
  clock = RealClock()
  store = kvstore.KvStore()
  wire = wireserver.WireServer(store, time.monotonic)
  store_answers = True
  specs, violations, running_on, acknowledged_done, emulated = (
      {},
      [],
      {},
      set(),
      [],
  )

  async def report(request):
    del request
    starts = [
        [platform_endpoints.format_task_name(r.task), r.attempt, e.info.id]
        for e in emulated
        for r in e.starts
    ]
    running = sum(len(e.running) for e in emulated)
    return httpio.json_response(
        200, {"broken": violations, "starts": starts, "running": running}
    )

  async def handle(request):
    if request.target == "/test/report":
      return await report(request)
    if request.target == "/test/put":
      body = request.json()
      store.put(body["key"], json.dumps(body["value"]).encode())
      await wire.notify_watches()
      return httpio.json_response(200, {})
    if request.target == "/test/store":
      nonlocal store_answers
      store_answers = request.json()["answers"]
      return httpio.json_response(200, {})
    if not store_answers:
      return httpio.Response(503)
    return await wire.handle(request)

  await httpio.Server(settings.Address("127.0.0.1", store_port), handle).start()
  for number in range(count):
    data_centre = data_centres[number % len(data_centres)]
    address = settings.Address("127.0.0.1", endpoint_port + number)
    info = model.Endpoint(
        f"i-{number}",
        address,
        SERVICE,
        data_centre,
        SLOTS,
        False,
        model.Resources(64000, 131072, 0),
    )
    endpoint = endpoint_lib.EmulatedEndpoint(
        info,
        clock,
        functools.partial(_task_profile, specs),
        violations,
        running_on,
        acknowledged_done,
    )
    emulated.append(endpoint)
    fake = FakeEndpoint(endpoint, specs)
    await httpio.Server(address, fake.handle).start()
    store.put(f"servers/{info.id}", json.dumps(entry(info, "ready")).encode())
  await curio.spawn(clock.run, daemon=True)
  while True:
    await curio.sleep(0.05)
    if store.expire(time.monotonic()):
      await wire.notify_watches()


if __name__ == "__main__":
  curio.run(
      main, int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), sys.argv[4:]
  )
