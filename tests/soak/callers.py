"""Callers of a soak: submit jobs as the users' clients do, and keep a record.

A caller keeps its connection until it breaks. After a broken connection, a 502
or a 504 it sends the same job to another host 1.3 s later. Some leave before
they have an answer, and come back like this as well.
"""

import contextlib
import dataclasses
import json
import random
import socket
import time

import curio

from fescueturn import httpio
from fescueturn import listener
from fescueturn import settings
from tests import deployments
from tests.soak import cluster as cluster_lib
from tests.soak import proxy

CALLERS = 10
# The users' clients send a job again this long after its connection broke.
RESEND_S = 1.3
MAX_TRIES = 4
# A refusal tells its caller to wait for at least this long.
MIN_RETRY_S = 1
POLL_S = 0.25
# A request that was pending for longer must be answered by a stopping host.
PENDING_S = 0.1
# How long after a job's deadline its caller gives up.
PATIENCE_S = 4.0
REFUSED = (429, 503)
_EXPECTED = (200, 429, 502, 503, 504)
_BROKEN, _NOT_CONNECTED, LEFT = 0, -1, -2
# Share of the jobs whose callers leave, and in soaks of leaving callers.
_LEAVING_SHARE, _MANY_LEAVING_SHARE = 0.05, 0.4
_LEAVES_AFTER_S = (0.05, 0.5)
_AT_ONCE_S = 0.002
_WAYS = _CLOSE, _RESET, _UNREAD = "close", "reset", "unread"
# A request that its host has not read when the caller leaves.
_NEXT_REQUEST = b"GET /next HTTP/1.1\r\nhost: next\r\n\r\n"


@dataclasses.dataclass
class Job:
  """A job and what its caller saw of it.

  It has one status a try: 0 for a broken connection, -1 for none, and -2 if its
  caller left. `tried` tells that its caller sends it no more, `abandoned` that it
  leaves soon, `left` when it did (s) and how. Until `refused_until` (s) every try
  was refused.
  """

  id: str
  kept: bool
  tasks: int
  fails: bool
  abandoned: bool
  statuses: list[int] = dataclasses.field(default_factory=list)
  state: str | None = None
  accepted: bool = False
  tried: bool = False
  queue: str = deployments.PREFIX
  refused_until: float = 0.0
  left: list[tuple[float, str]] = dataclasses.field(default_factory=list)

  @property
  def refused(self) -> bool:
    return self.tried and set(self.statuses) <= set(REFUSED)

  @property
  def open(self) -> bool:
    return self.accepted and self.state in ("queued", "running")


@dataclasses.dataclass
class Record:
  """What all callers saw; answers to requests in flight at a SIGTERM count.

  Refusals count once each.
  """

  jobs: dict[str, Job] = dataclasses.field(default_factory=dict)
  violations: list[str] = dataclasses.field(default_factory=list)
  answered_at_stop: int = 0
  refusals: int = 0


class Caller:
  """One caller, with keep-alive connections to the hosts."""

  def __init__(
      self,
      cluster,
      record: Record,
      seed: int,
      number: int,
      leaving=False,
      run_factor: int = 1,
  ):
    self._hosts = cluster.hosts
    self._run_factor = run_factor
    self._leaving = leaving
    self._record = record
    self._rng = random.Random(f"{seed}/caller/{number}")
    self._prefix = f"{seed & 0xFFFFFF:06x}{number:02x}"
    self._count = 0
    self._host = self._rng.choice(self._hosts)
    self._pools: dict[str, httpio.Pool] = {}

  async def run(self, stopped: curio.Event):
    while not stopped.is_set():
      await curio.sleep(self._rng.expovariate(4.0))
      if self._rng.random() < 0.05:
        self._host = self._rng.choice(self._hosts)
      await self._run_job()

  async def burst(self, count: int, for_s: float):
    """Submits jobs to all hosts at a steady rate, whatever the answers."""
    jobs = []
    for _ in range(count):
      self._host = self._rng.choice(self._hosts)
      jobs.append(await curio.spawn(self._run_job, daemon=True))
      await curio.sleep(for_s / count)
    for job in jobs:
      await job.join()

  async def _run_job(self):
    rng = self._rng
    self._count += 1
    kept = rng.random() < 0.3
    share = _MANY_LEAVING_SHARE if self._leaving else _LEAVING_SHARE
    abandoned = (self._leaving or not kept) and rng.random() < share
    tasks, fails = rng.choice((1, 1, 2, 3)), rng.random() < 0.04
    job = Job(f"{self._prefix}{self._count:08x}", kept, tasks, fails, abandoned)
    job.queue = rng.choice(cluster_lib.QUEUES)
    self._record.jobs[job.id] = job
    body, deadline_ms = self._body(job), rng.choice((1500, 3000, 5000))
    patience_s = deadline_ms / 1000 + PATIENCE_S
    for _ in range(MAX_TRIES):
      if abandoned:
        # Some leave right after they have sent the job.
        late_s = rng.uniform(*_LEAVES_AFTER_S)
        patience_s = rng.choice((_AT_ONCE_S, late_s, late_s, late_s))
      status = await self._submit(job, body, deadline_ms, patience_s)
      job.statuses.append(status)
      if status == 200:
        break
      if status in REFUSED and rng.random() < 0.5:
        break
      await curio.sleep(1.0 if status in REFUSED else RESEND_S)
      self._host = rng.choice([h for h in self._hosts if h is not self._host])
    job.tried = True
    if job.accepted:
      await curio.spawn(self._follow, job, rng.random() < 0.1, daemon=True)

  def _body(self, job: Job) -> bytes:
    run_s = self._rng.choice((0.05, 0.15, 0.3, 0.6)) * self._run_factor
    cpu = self._rng.choice((8000, 16000, 27000))
    spec = {"run_s": run_s, "cpu": cpu, "fails": job.fails, "kept": job.kept}
    phase = {"taskCount": job.tasks, "cpu": cpu, "memMb": 64}
    phase["estimateMs"] = int(run_s * 1000)
    body = {"bestEffort": not job.kept, "phases": [phase]}
    return json.dumps({**body, "spec": json.dumps(spec)}).encode()

  async def _submit(
      self, job, body, deadline_ms: int, patience_s: float
  ) -> int:
    headers = (
        ("deadline-ms", str(deadline_ms)),
        ("request-id", f"q-{job.id}-{len(job.statuses)}"),
    )
    host, life, sent_at = self._host, self._host.life, time.monotonic()
    if job.statuses and set(job.statuses) <= set(REFUSED):
      # A refusal stays true until its caller sends the job again.
      job.refused_until = sent_at
    call = (host, "POST", job, body, headers, patience_s)
    if job.abandoned:
      way = self._rng.choice(_WAYS)
      status, answer = await self._send_and_leave(way, *call)
    else:
      status, answer = await self._request(*call)
    pending_s = time.monotonic() - sent_at
    if status == LEFT:
      job.left.append((sent_at + pending_s, way))
    stopped_at = life.terminated_at
    if status == _BROKEN and pending_s > PENDING_S:
      # Only a host that was killed or paused may cut a request off.
      gave_up = stopped_at is None and pending_s >= patience_s
      if not gave_up and not life.disturbed:
        how = "running" if stopped_at is None else "stopped by SIGTERM"
        self._record.violations.append(
            f"{host.name} process {life.number}, {how}, left job"
            f" {job.id} unanswered after {pending_s:.3f} s"
        )
    elif status > 0 and stopped_at is not None and sent_at < stopped_at:
      self._record.answered_at_stop += 1
    if status in REFUSED and set(job.statuses) <= set(REFUSED):
      job.refused_until = time.monotonic()
    if status == 200:
      job.state = answer.get("state")
      job.accepted = job.kept
    elif status > 0 and status not in _EXPECTED:
      self._record.violations.append(f"job {job.id}: {host.name}: {status}")
    return status

  async def _send_and_leave(
      self, way: str, host, method, job, body, headers, patience_s
  ) -> tuple[int, dict]:
    """Sends a job, and leaves if no answer comes."""
    sent_at, socks = time.monotonic(), []
    call = (host, method, job, body, headers)
    if way == _CLOSE:
      status, answer = await self._request(*call, patience_s)
      gave_up = time.monotonic() - sent_at >= patience_s
      return LEFT if status == _BROKEN and gave_up else status, answer
    pool = self._new_pool(host, socks.append)
    request = await curio.spawn(self._request, *call, 60.0, pool, daemon=True)
    while not socks and not request.terminated:
      await curio.sleep(0.001)
    await curio.ignore_after(patience_s, request.wait)
    if request.terminated:
      await pool.close()
      return await request.join()
    await request.cancel()
    with contextlib.suppress(OSError):
      if way == _UNREAD:
        await socks[0].sendall(_NEXT_REQUEST)
      else:
        socks[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, proxy.RESET)
    await socks[0].close()
    return LEFT, {}

  def _new_pool(self, host, prepare=listener.no_delay) -> httpio.Pool:
    address = settings.Address(host.ip, host.files.callers_port)
    return httpio.Pool(address, connect_s=1.0, prepare=prepare)

  async def _request(
      self, host, method, job, body=b"", headers=(), timeout_s=3.0, pool=None
  ) -> tuple[int, dict]:
    if host.name not in self._pools:
      self._pools[host.name] = self._new_pool(host)
    pool = pool or self._pools[host.name]
    try:
      response = await pool.request(
          method, job.queue + job.id, body, headers, timeout_s
      )
    except httpio.NotSentError:
      return _NOT_CONNECTED, {}
    except httpio.LostReplyError:
      return _BROKEN, {}
    return response.status, self._read_answer(host, job, response)

  def _read_answer(self, host, job: Job, response: httpio.Response) -> dict:
    violations = self._record.violations
    if response.status in REFUSED:
      self._record.refusals += 1
      retry_s = dict(response.headers).get("retry-after", "none")
      if not retry_s.isdecimal() or int(retry_s) < MIN_RETRY_S:
        violations.append(
            f"job {job.id}: {host.name}: {response.status} with Retry-After"
            f" {retry_s}"
        )
    try:
      return response.json()
    except ValueError:
      violations.append(f"job {job.id}: {host.name}: body {response.body!r}")
      return {}

  async def _follow(self, job: Job, cancels: bool):
    """Polls a kept job, or cancels it first, until it ends."""
    await curio.sleep(self._rng.uniform(0.0, 0.5))
    method = "DELETE" if cancels else "GET"
    while job.open:
      host = self._rng.choice(self._hosts)
      status, answer = await self._request(host, method, job)
      if status == 200:
        job.state = answer.get("state", job.state)
      elif status == 410 and method == "GET":
        self._record.violations.append(
            f"accepted kept job {job.id}: {host.name} answers 410"
        )
      method = "GET"
      await curio.sleep(POLL_S)
