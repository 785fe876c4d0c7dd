import contextlib
import io
import socket

import capnp
import curio
import pytest

from fescueturn import claims
from fescueturn import codes
from fescueturn import errors
from fescueturn import framing
from fescueturn import messages
from fescueturn import peer
from fescueturn import peercodec
from fescueturn import settings
from fescueturn.lab import ports
from tests import conftest


class _Stream:

  def __init__(self, data):
    self._data = io.BytesIO(data)

  async def read_exactly(self, size):
    chunk = self._data.read(size)
    if len(chunk) < size:
      raise EOFError()
    return chunk


ANSWER = messages.JobAnswer(
    "k",
    "j",
    codes.Code.JOB_FAILED,
    (messages.TaskAnswer("t0", codes.Code.TASK_UNKNOWN, "r"),),
    retry_after_s=2,
)
TOKEN = claims.Token("entry-1", "boot-1")
CLAIM = claims.Claim("k", "f", TOKEN, 7, keep_s=1.5, answer=ANSWER)
HIGH_VIEW = 2**64 - 1


REQUESTS = [
    claims.ForwardJob(conftest.make_job(tasks=3, idempotent=False), 2),
    claims.ForwardCancel(messages.Cancel("altamaha", "k"), 1),
    claims.ClaimRequest(HIGH_VIEW, CLAIM),
    claims.Release("k", TOKEN, 7),
    claims.AnswerCopy(CLAIM),
    claims.SyncRequest(HIGH_VIEW, TOKEN, 5, (0, 1023)),
    claims.ProbeRequest(HIGH_VIEW, TOKEN),
]


@pytest.mark.parametrize("request_", REQUESTS)
def test_requests_round_trip(request_):
  data = peercodec.encode_request(9, request_)
  assert peercodec.decode_request(data) == (9, request_)


REPLIES = [
    claims.ClaimReply(claims.Verdict.HELD, True, (CLAIM, CLAIM)),
    claims.ClaimReply(claims.Verdict.NOT_READY),
    claims.SyncReply(True, (CLAIM,)),
    claims.SyncReply(False),
    claims.ProbeReply(True),
    claims.Outcome(answer=ANSWER),
]


@pytest.mark.parametrize("reply", REPLIES)
def test_replies_round_trip(reply):
  data = peercodec.encode_reply(4, "boot-2", reply)
  assert peercodec.decode_reply(data) == (4, "boot-2", reply)


def test_refusal_round_trips():
  refusal = claims.Outcome(
      error=errors.BadRequestError("x", codes.Code.KEY_REUSED), retry_after_s=3
  )
  _, _, outcome = peercodec.decode_reply(peercodec.encode_reply(4, "", refusal))
  assert outcome.error.code == codes.Code.KEY_REUSED
  assert outcome.retry_after_s == 3


def test_framing_reads_consecutive_messages_and_rejects_truncation():
  requests = [claims.ProbeRequest(n, TOKEN) for n in (1, 2)]
  data = b"".join(
      peercodec.encode_request(n, r) for n, r in enumerate(requests)
  )

  async def read_two():
    stream = _Stream(data)
    return [
        peercodec.decode_request(await framing.read_message(stream))[1]
        for _ in range(2)
    ]

  assert curio.run(read_two) == requests
  with pytest.raises(ConnectionError):
    curio.run(framing.read_message, _Stream(data[: len(data) // 2 - 3]))


def test_client_distinguishes_a_dead_peer_from_a_silent_one():
  address = ports.free_address()
  probe = claims.ProbeRequest(1, TOKEN)

  async def silent(request):
    del request
    await curio.sleep(10)

  async def scenario():
    client = peer.PeerClient(address)
    with pytest.raises(peer.PeerRefusedError):
      await client.send_request(probe, timeout_s=5)
    server = peer.PeerServer(address, "boot-2", silent)
    await server.start()
    with pytest.raises(peer.PeerLostError):
      await client.send_request(probe, timeout_s=0.2)
    await client.close()
    await server.close()

  curio.run(scenario)


def test_message_cut_off_by_a_timeout_is_not_completed_by_the_next_one():
  listening = socket.create_server(("127.0.0.1", 0))
  host, port = listening.getsockname()
  jobs = [
      conftest.make_job(
          key=key, tasks=160, payload=key * messages.MAX_PAYLOAD_CHARS
      )
      for key in "ab"
  ]
  received = []

  async def read_requests(sock):
    stream = sock.as_stream()
    async with sock:
      with contextlib.suppress(ConnectionError, capnp.KjException):
        while True:
          data = await framing.read_message(stream)
          received.append(peercodec.decode_request(data)[1])

  async def serve():
    server = curio.io.Socket(listening)
    while True:
      sock, _ = await server.accept()
      await curio.spawn(read_requests, sock, daemon=True)

  async def scenario():
    client = peer.PeerClient(settings.Address(host, port))
    with pytest.raises(peer.PeerLostError):
      await client.send_request(claims.ForwardJob(jobs[0], 1), timeout_s=0.3)
    await curio.spawn(serve, daemon=True)  # The frozen peer resumes.
    with pytest.raises(peer.PeerLostError):
      await client.send_request(claims.ForwardJob(jobs[1], 1), timeout_s=2)
    await client.close()

  curio.run(scenario)
  assert [r.job == jobs[1] for r in received] == [True]
