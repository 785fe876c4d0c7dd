"""Tests what an entry host makes of endpoints' replies to tasks."""

import curio
import pytest

from fescueturn import codes
from fescueturn import endpointclient
from fescueturn import events
from fescueturn import httpio
from fescueturn import metrics
from fescueturn.lab import ports
from tests import conftest

KEY = "k/t0"


@pytest.mark.parametrize(
    "reply", [[], "text", 7, {}, {"code": 999}, {"code": None}, {"code": []}]
)
def test_unreadable_reply_ends_the_task_as_unknown(reply):
  address = ports.free_address()

  async def answer(request):
    del request
    return httpio.json_response(200, reply)

  async def scenario():
    server = httpio.Server(address, answer)
    await server.start()
    client = endpointclient.EndpointClient(
        lambda: 0.0, metrics.client(None, "entry", "entry-1")
    )
    info = events.EndpointInfo("e1", address, ("speller",), 1)
    (task,) = conftest.make_job(tasks=1).tasks
    send = events.SendTask("k", "altamaha", task, info, KEY)
    finished = await curio.timeout_after(5, client.send, send)
    await client.close()
    await server.close()
    return finished

  assert curio.run(scenario).code == codes.Code.TASK_UNKNOWN_LOST
