"""Callers that close their side of the connection and still read an answer."""

import json
import socket

import curio

from tests import test_departed_callers


class SlowJobStore:
  """A store that knows no job and says so after a while."""

  async def get_status(self, job_id: str):
    del job_id
    await curio.sleep(0.3)


async def read_all(connection: socket.socket) -> tuple[int, dict]:
  """Returns the status and the body of what the host sends until it closes."""
  connection.shutdown(socket.SHUT_WR)
  raw = await curio.run_in_thread(_receive_all, connection)
  head, _, body = raw.partition(b"\r\n\r\n")
  assert head, "no answer"
  return int(head.split()[1]), json.loads(body)


def _receive_all(connection: socket.socket) -> bytes:
  with connection:
    connection.settimeout(10.0)
    return b"".join(iter(lambda: connection.recv(65536), b""))


def test_half_closed_caller_of_an_offered_job_is_answered_and_it_is_withdrawn():
  async def scenario(host):
    connection = host.send("1" * 16)
    await curio.sleep(0.1)
    assert host.state.jobs
    status, body = await read_all(connection)
    assert (status, body["code"]) == (504, 213)
    assert not host.state.jobs

  test_departed_callers.run_with_host(scenario)


def test_half_closed_caller_of_an_unread_job_is_told_that_nothing_ran():
  async def scenario(host):
    connection = host.send("1" * 16)
    status, body = await read_all(connection)
    assert (status, body["code"]) == (503, 503)
    assert not host.state.counters["offers"]

  test_departed_callers.run_with_host(scenario)


def test_half_closed_caller_of_a_query_gets_its_answer():
  async def scenario(host):
    connection = socket.create_connection(host.address)
    connection.sendall(b"GET /a/" + b"1" * 16 + b" HTTP/1.1\r\nhost: h\r\n\r\n")
    assert (await read_all(connection))[0] == 410

  test_departed_callers.run_with_host(scenario, SlowJobStore())
