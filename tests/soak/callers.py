"""Callers of a soak: submit jobs as the users' clients do, and keep a record.

A caller keeps its connection until it breaks. After a broken connection, a 502
or a 504 it sends the same job to another host 1.3 s later.
"""

import dataclasses
import json
import random
import time

import curio

from fescueturn import httpio
from fescueturn import settings
from tests import deployments

CALLERS = 10
# The users' clients send a job again this long after its connection broke.
RESEND_S = 1.3
MAX_TRIES = 4
POLL_S = 0.25
# A request that was pending for longer must be answered by a stopping host.
PENDING_S = 0.1
REFUSED = (429, 503)
_EXPECTED = (429, 502, 503, 504)
_LATE_S = 4.0


@dataclasses.dataclass
class Job:
  """A job and what its caller saw of it.

  Attributes:
    statuses: by try, the HTTP status; 0 if the connection broke and -1 if none
      was made.
    state: the latest state that the caller was told.
    accepted: True if it is kept and was accepted.
    abandoned: True if its caller closed the connection.
    tried: True once its caller sends it no more.
  """

  id: str
  kept: bool
  tasks: int
  fails: bool
  statuses: list[int] = dataclasses.field(default_factory=list)
  state: str | None = None
  accepted: bool = False
  abandoned: bool = False
  tried: bool = False

  @property
  def refused(self) -> bool:
    """True if every try was refused."""
    return self.tried and set(self.statuses) <= set(REFUSED)

  @property
  def open(self) -> bool:
    return self.accepted and self.state in ("queued", "running")


@dataclasses.dataclass
class Record:
  """What all callers saw.

  Attributes:
    jobs: the jobs by id.
    violations: broken promises.
    in_flight_at_stop: requests that were answered by a stopping host.
  """

  jobs: dict[str, Job] = dataclasses.field(default_factory=dict)
  violations: list[str] = dataclasses.field(default_factory=list)
  in_flight_at_stop: int = 0


class Caller:
  """One caller, with keep-alive connections to the hosts."""

  def __init__(self, cluster, record: Record, seed: int, number: int):
    self._hosts = cluster.hosts
    self._record = record
    self._rng = random.Random(f"{seed}/caller/{number}")
    self._prefix = f"{seed & 0xFFFFFF:06x}{number:02x}"
    self._count = 0
    self._host = self._rng.choice(self._hosts)
    self._pools: dict[str, httpio.Pool] = {}

  async def run(self, stopped: curio.Event):
    """Submits jobs until the event is set."""
    while not stopped.is_set():
      await curio.sleep(self._rng.expovariate(4.0))
      if self._rng.random() < 0.05:
        self._host = self._rng.choice(self._hosts)
      await self._run_job()

  async def _run_job(self):
    rng = self._rng
    self._count += 1
    job = Job(
        f"{self._prefix}{self._count:08x}",
        kept=rng.random() < 0.3,
        tasks=rng.choice((1, 1, 2, 3)),
        fails=rng.random() < 0.04,
    )
    self._record.jobs[job.id] = job
    body = self._body(job)
    deadline_ms = rng.choice((1500, 3000, 5000))
    patience_s = deadline_ms / 1000 + _LATE_S
    if not job.kept and rng.random() < 0.05:
      job.abandoned = True
      patience_s = rng.uniform(0.05, 0.5)
    for _ in range(MAX_TRIES):
      status = await self._submit(job, body, deadline_ms, patience_s)
      job.statuses.append(status)
      if status == 200 or job.abandoned:
        break
      if status in REFUSED:
        if rng.random() < 0.5:
          break
        await curio.sleep(1.0)
      else:
        await curio.sleep(RESEND_S)
      self._host = rng.choice([h for h in self._hosts if h is not self._host])
    job.tried = True
    if job.accepted:
      await curio.spawn(self._follow, job, rng.random() < 0.1, daemon=True)

  def _body(self, job: Job) -> bytes:
    rng = self._rng
    run_s = rng.choice((0.05, 0.15, 0.3, 0.6))
    cpu = rng.choice((8000, 16000, 27000))
    spec = {"run_s": run_s, "cpu": cpu, "fails": job.fails, "kept": job.kept}
    phase = {
        "taskCount": job.tasks,
        "cpu": cpu,
        "memMb": 64,
        "estimateMs": int(run_s * 1000),
    }
    body = {
        "bestEffort": not job.kept,
        "spec": json.dumps(spec),
        "phases": [phase],
    }
    return json.dumps(body).encode()

  async def _submit(
      self, job, body, deadline_ms: int, patience_s: float
  ) -> int:
    headers = (
        ("deadline-ms", str(deadline_ms)),
        ("request-id", f"q-{job.id}-{len(job.statuses)}"),
    )
    host, life, sent_at = self._host, self._host.life, time.monotonic()
    response = await self._request(
        host, "POST", job.id, body, headers, patience_s
    )
    if isinstance(response, int):
      if response == 0 and not job.abandoned:
        self._check_cut_off(host, life, job, sent_at, patience_s)
      return response
    stopped_at = life.terminated_at
    if stopped_at is not None and sent_at < stopped_at:
      self._record.in_flight_at_stop += 1
    if response.status == 200:
      job.state = response.json()["state"]
      job.accepted = job.kept
    elif response.status not in _EXPECTED:
      self._record.violations.append(
          f"job {job.id}: {host.name} answered {response.status}"
      )
    return response.status

  async def _request(
      self, host, method, job_id, body=b"", headers=(), timeout_s=3.0
  ) -> httpio.Response | int:
    """Returns the response, 0 if it is missing, or -1 without a connection."""
    pool = self._pools.get(host.name)
    if pool is None:
      address = settings.Address(host.ip, host.files.callers_port)
      pool = self._pools[host.name] = httpio.Pool(address, connect_s=1.0)
    try:
      return await pool.request(
          method, deployments.PREFIX + job_id, body, headers, timeout_s
      )
    except httpio.NotSentError:
      return -1
    except httpio.LostReplyError:
      return 0

  def _check_cut_off(self, host, life, job, sent_at: float, patience_s: float):
    """Checks that a host that was only asked to stop did not cut this off."""
    pending_s = time.monotonic() - sent_at
    if life.terminated_at is None or life.disturbed or pending_s < PENDING_S:
      return
    how = "unanswered" if pending_s >= patience_s else "cut off"
    self._record.violations.append(
        f"{host.name} process {life.number}, stopped by SIGTERM: request of job"
        f" {job.id} {how} after {pending_s:.3f} s"
    )

  async def _follow(self, job: Job, cancels: bool):
    """Polls a kept job until it ends."""
    await curio.sleep(self._rng.uniform(0.0, 0.5))
    method = "DELETE" if cancels else "GET"
    while job.open:
      host = self._rng.choice(self._hosts)
      sent_at = time.monotonic()
      response = await self._request(host, method, job.id)
      if not isinstance(response, int):
        self._note_state(host, job, method, response, sent_at)
      method = "GET"
      await curio.sleep(POLL_S)

  def _note_state(self, host, job, method, response, sent_at):
    if response.status == 200:
      job.state = response.json().get("state", job.state)
    elif response.status == 410 and method == "GET":
      self._record.violations.append(
          f"accepted kept job {job.id}: 410 from {host.name} to a query sent at"
          f" {sent_at:.3f}"
      )
