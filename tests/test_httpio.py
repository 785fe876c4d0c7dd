import contextlib
import socket
import threading
import time

import curio
import pytest

from fescueturn import httpio
from fescueturn import settings
from fescueturn.lab import ports


async def hello(request):
  del request
  return httpio.json_response(200, {"hello": 1})


def test_idle_connection_that_the_server_closed_is_not_reused():
  address = ports.free_address()

  async def closing(request):
    return httpio.with_connection_close(await hello(request))

  async def scenario():
    server = httpio.Server(address, closing)
    await server.start()
    pool = httpio.Pool(address)
    statuses = [
        (await pool.request("GET", "/", timeout_s=5)).status for _ in range(3)
    ]
    # A server that stops closes its idle connections. A request sent on one of
    # these would have an unknown outcome, so the pool must not reuse it.
    client = httpio._ClientConnection(
        await curio.open_connection(address.host, address.port), "x"
    )
    pool._idle.append(client)
    await server.close()
    await client.sock.shutdown(2)
    with pytest.raises(httpio.NotSentError):
      await pool.request("GET", "/", timeout_s=5)
    return statuses

  assert curio.run(scenario) == [200, 200, 200]


def test_body_over_the_limit_is_refused():
  address = ports.free_address()

  async def scenario():
    server = httpio.Server(address, hello, max_body=10)
    await server.start()
    pool = httpio.Pool(address)
    response = await pool.request("POST", "/", b"x" * 11, timeout_s=5)
    await server.close()
    return response.status

  assert curio.run(scenario) == 413


def test_response_that_arrived_in_time_counts_even_if_read_late():
  """Guards against counting a response as lost because this host was busy.

  The event loop is blocked past the timeout while the response is in the
  socket's buffer.
  """
  listening = socket.create_server(("127.0.0.1", 0))
  port = listening.getsockname()[1]

  def answer_once():
    sock, _ = listening.accept()
    sock.recv(65536)
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
    time.sleep(0.5)
    sock.close()

  threading.Thread(target=answer_once, daemon=True).start()

  async def block_event_loop():
    time.sleep(0.2)

  async def scenario():
    pool = httpio.Pool(settings.Address("127.0.0.1", port))
    pending = await curio.spawn(pool.request, "GET", "/", b"", (), 0.1)
    await curio.sleep(0)
    await curio.spawn(block_event_loop)
    return (await pending.join()).status

  assert curio.run(scenario) == 200


def test_missing_response_counts_as_lost_after_the_timeout():
  listening = socket.create_server(("127.0.0.1", 0))
  port = listening.getsockname()[1]

  async def scenario():
    pool = httpio.Pool(settings.Address("127.0.0.1", port))
    with pytest.raises(httpio.LostReplyError):
      await pool.request("GET", "/", timeout_s=0.05)

  curio.run(scenario)


def test_requests_that_wait_to_be_accepted_are_answered_at_close():
  address = ports.free_address()
  request = b"GET /1 HTTP/1.1\r\nhost: a\r\n\r\n"

  async def run() -> list[bytes]:
    server = httpio.Server(address, hello)
    await server.start()
    await curio.sleep(0.01)
    clients = [
        socket.create_connection((address.host, address.port)) for _ in range(5)
    ]
    for client in clients:
      client.sendall(request)
    await server.close()
    await curio.sleep(0.2)
    answers = []
    for client in clients:
      client.settimeout(1.0)
      with contextlib.closing(client), contextlib.suppress(ConnectionError):
        answers.append(client.recv(12))
    return answers

  assert curio.run(run) == [b"HTTP/1.1 200"] * 5
