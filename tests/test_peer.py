import io

import curio
import pytest

from fescueturn import codes
from fescueturn import errors
from fescueturn import peer
from tests import conftest


class _Stream:

  def __init__(self, data):
    self._data = io.BytesIO(data)

  async def read_exactly(self, size):
    chunk = self._data.read(size)
    if len(chunk) < size:
      raise EOFError()
    return chunk


def test_job_and_replies_round_trip():
  job = conftest.make_job(tasks=3, idempotent=False)
  assert peer.decode_job(peer.encode_job(9, job)) == (9, job)
  refusal = peer.Outcome(
      error=errors.BadRequestError("x", codes.Code.KEY_REUSED), retry_after_s=3
  )
  request_id, outcome = peer.decode_reply(peer.encode_reply(4, refusal))
  assert (
      request_id == 4
      and outcome.error.code == codes.Code.KEY_REUSED
      and outcome.retry_after_s == 3
  )


def test_framing_reads_messages_back_to_back_and_refuses_truncation():
  job = conftest.make_job(tasks=2)
  data = peer.encode_job(1, job) + peer.encode_job(2, job)

  async def read_two():
    stream = _Stream(data)
    return [
        peer.decode_job(await peer.read_message(stream))[0] for _ in range(2)
    ]

  assert curio.run(read_two) == [1, 2]
  with pytest.raises(ConnectionError):
    curio.run(peer.read_message, _Stream(peer.encode_job(3, job)[:-3]))
