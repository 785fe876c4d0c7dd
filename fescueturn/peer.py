"""Entry host to entry host: jobs forwarded to their owner, over pycapnp.

A non-owner passes a caller's job to the owner of its key as a `ForwardJob`
message and waits for the `ForwardReply` with the same request id. Messages
use Cap'n Proto's standard stream framing (a segment table, then segments),
so a reader learns each message's length from its first words. Many
requests share one TCP connection per peer.
"""

import dataclasses
import os
import struct

import capnp
import curio
import curio.network
from loguru import logger

from fescueturn import codes
from fescueturn import errors
from fescueturn import messages
from fescueturn import settings

schema = capnp.load(os.path.join(os.path.dirname(__file__), "peer.capnp"))

WORD = 8
MAX_SEGMENTS = 512
MAX_MESSAGE_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class Outcome:
  """The owner's reply: an answer, or a refusal with its code."""

  answer: messages.JobAnswer | None = None
  error: errors.FescueError | None = None
  retry_after_s: int = 0


def encode_job(request_id: int, job: messages.Job) -> bytes:
  """Returns the framed `ForwardJob` for `job`."""
  msg = schema.ForwardJob.new_message(
      requestId=request_id,
      team=job.team,
      jobId=job.job_id,
      key=job.key,
      fingerprint=job.fingerprint,
      deadlineMs=job.deadline_ms,
  )
  tasks = msg.init("tasks", len(job.tasks))
  for slot, task in zip(tasks, job.tasks, strict=True):
    slot.taskId = task.task_id
    slot.kind = task.kind
    slot.payload = task.payload
    slot.runMs = task.run_ms
    slot.idempotent = task.idempotent
  return msg.to_bytes()


def decode_job(data: bytes) -> tuple[int, messages.Job]:
  """Reads a framed `ForwardJob`; returns its request id and job."""
  with schema.ForwardJob.from_bytes(data) as msg:
    tasks = tuple(
        messages.Task(t.taskId, t.kind, t.payload, t.runMs, t.idempotent)
        for t in msg.tasks
    )
    job = messages.Job(
        team=msg.team,
        job_id=msg.jobId,
        key=msg.key,
        tasks=tasks,
        fingerprint=msg.fingerprint,
        deadline_ms=msg.deadlineMs,
    )
    return msg.requestId, job


def encode_reply(request_id: int, outcome: Outcome) -> bytes:
  """Returns the framed `ForwardReply` carrying `outcome`."""
  msg = schema.ForwardReply.new_message(requestId=request_id)
  if outcome.answer is not None:
    answer = outcome.answer
    out = msg.init("answer")
    out.key = answer.key
    out.jobId = answer.job_id
    out.code = int(answer.code)
    out.retryAfterS = answer.retry_after_s
    tasks = out.init("tasks", len(answer.tasks))
    for slot, task in zip(tasks, answer.tasks, strict=True):
      slot.taskId = task.task_id
      slot.code = int(task.code)
      slot.result = task.result
  else:
    refusal = msg.init("refusal")
    refusal.code = int(outcome.error.code)
    refusal.message = str(outcome.error.args[0])
    refusal.retryAfterS = outcome.retry_after_s
  return msg.to_bytes()


def decode_reply(data: bytes) -> tuple[int, Outcome]:
  """Reads a framed `ForwardReply`; returns its request id and outcome."""
  with schema.ForwardReply.from_bytes(data) as msg:
    if msg.which() == "answer":
      a = msg.answer
      answer = messages.JobAnswer(
          key=a.key,
          job_id=a.jobId,
          code=codes.Code(a.code),
          retry_after_s=a.retryAfterS,
          tasks=tuple(
              messages.TaskAnswer(t.taskId, codes.Code(t.code), t.result)
              for t in a.tasks
          ),
      )
      return msg.requestId, Outcome(answer=answer)
    r = msg.refusal
    error = errors.FescueError(r.message, codes.Code(r.code))
    return msg.requestId, Outcome(error=error, retry_after_s=r.retryAfterS)


async def _read_exactly(stream, size: int) -> bytes:
  try:
    return await stream.read_exactly(size)
  except EOFError as exc:
    raise ConnectionError("peer closed the connection") from exc


async def read_message(stream) -> bytes:
  """Reads one framed Cap'n Proto message from a curio socket stream.

  Raises:
    ConnectionError: the stream ended or the framing is out of bounds.
  """
  head = await _read_exactly(stream, 4)
  (count_less_one,) = struct.unpack("<I", head)
  count = count_less_one + 1
  if count > MAX_SEGMENTS:
    raise ConnectionError(f"{count} segments is too many")
  table_size = 4 * count + (4 if count % 2 == 0 else 0)
  table = await _read_exactly(stream, table_size)
  sizes = struct.unpack(f"<{count}I", table[: 4 * count])
  body_size = sum(sizes) * WORD
  if body_size > MAX_MESSAGE_BYTES:
    raise ConnectionError(f"message of {body_size} bytes is too large")
  body = await _read_exactly(stream, body_size)
  return head + table + body


class PeerServer:
  """Takes forwarded jobs from other entry hosts and answers each."""

  def __init__(self, address: settings.Address, handler):
    self._address = address
    self._handler = handler
    self._sock = None
    self._accepter = None

  async def start(self):
    """Listens for peers."""
    self._sock = curio.network.tcp_server_socket(
        self._address.host, self._address.port, reuse_address=True
    )
    self._accepter = await curio.spawn(self._accept_loop, daemon=True)

  async def _accept_loop(self):
    while True:
      client, _ = await self._sock.accept()
      await curio.spawn(self._serve, client, daemon=True)

  async def _serve(self, client):
    lock = curio.Lock()
    stream = client.as_stream()
    async with client:
      try:
        while True:
          data = await read_message(stream)
          await curio.spawn(self._answer, client, lock, data, daemon=True)
      except (ConnectionError, OSError, capnp.KjException) as exc:
        logger.debug("event=peer_closed error={!r}", exc)

  async def _answer(self, client, lock, data: bytes):
    request_id, job = decode_job(data)
    outcome = await self._handler(job)
    reply = encode_reply(request_id, outcome)
    async with lock:
      try:
        await client.sendall(reply)
      except OSError as exc:
        logger.warning("event=peer_reply_lost key={} error={!r}", job.key, exc)

  async def close(self):
    """Stops taking new peer connections."""
    if self._accepter is not None:
      await self._accepter.cancel()
    if self._sock is not None:
      await self._sock.close()


class PeerClient:
  """One multiplexed connection to one peer entry host."""

  def __init__(self, address: settings.Address):
    self._address = address
    self._sock = None
    self._reader = None
    self._waiting: dict[int, curio.Queue] = {}
    self._next_id = 1
    self._lock = curio.Lock()

  async def forward(self, job: messages.Job, timeout_s: float) -> Outcome:
    """Sends `job` to the peer and waits up to `timeout_s` for its outcome.

    Raises:
      errors.FescueError: code 208 (NO_OWNER) when the peer cannot be
        reached or its reply is lost; the job may then have started there.
    """
    request_id = self._next_id
    self._next_id += 1
    box = curio.Queue()
    self._waiting[request_id] = box
    try:
      await self._send(encode_job(request_id, job))
      outcome = await curio.timeout_after(timeout_s, box.get)
    except (OSError, ConnectionError, curio.TaskTimeout) as exc:
      raise errors.FescueError(
          f"owner {self._address}: {exc!r}", codes.Code.NO_OWNER
      ) from exc
    finally:
      self._waiting.pop(request_id, None)
    if isinstance(outcome, Exception):
      raise outcome
    return outcome

  async def _send(self, data: bytes):
    async with self._lock:
      if self._sock is None:
        self._sock = await curio.open_connection(
            self._address.host, self._address.port
        )
        self._reader = await curio.spawn(
            self._read_loop, self._sock, daemon=True
        )
      await self._sock.sendall(data)

  async def _read_loop(self, sock):
    stream = sock.as_stream()
    try:
      while True:
        request_id, outcome = decode_reply(await read_message(stream))
        box = self._waiting.get(request_id)
        if box is not None:
          await box.put(outcome)
    except (ConnectionError, OSError, capnp.KjException) as exc:
      lost = errors.FescueError(
          f"owner {self._address}: {exc!r}", codes.Code.NO_OWNER
      )
      if self._sock is sock:
        self._sock = None
      for box in list(self._waiting.values()):
        await box.put(lost)

  async def close(self):
    """Closes the connection."""
    if self._reader is not None:
      await self._reader.cancel()
    if self._sock is not None:
      await self._sock.close()
      self._sock = None
