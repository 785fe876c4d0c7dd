import curio
import pytest

from fescueturn import httpio
from fescueturn import settings
from fescueturn.lab import launcher


async def hello(request):
  del request
  return httpio.json_response(200, {"hello": 1})


def test_idle_connection_that_the_server_closed_is_not_used_again():
  address = settings.Address("127.0.0.1", launcher.free_port())

  async def closing(request):
    return httpio.closing(await hello(request))

  async def go():
    server = httpio.Server(address, closing)
    await server.start()
    pool = httpio.Pool(address)
    statuses = [
        (await pool.request("GET", "/", timeout_s=5)).status for _ in range(3)
    ]
    # A server that goes away closes what is idle; the next request must not
    # be sent into the closed connection, where its fate would be unknown.
    client = httpio._ClientConnection(
        await curio.open_connection(address.host, address.port), "x"
    )
    pool._idle.append(client)
    await server.close()
    await client.sock.shutdown(2)
    with pytest.raises(httpio.NotSentError):
      await pool.request("GET", "/", timeout_s=5)
    return statuses

  assert curio.run(go) == [200, 200, 200]


def test_body_over_the_limit_is_refused():
  address = settings.Address("127.0.0.1", launcher.free_port())

  async def go():
    server = httpio.Server(address, hello, max_body=10)
    await server.start()
    pool = httpio.Pool(address)
    response = await pool.request("POST", "/", b"x" * 11, timeout_s=5)
    await server.close()
    return response.status

  assert curio.run(go) == 413
