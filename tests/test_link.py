"""Links between hosts over real connections that are lost or replaced."""

import contextlib
import socket

import curio
import pytest

from fescueturn.lab import ports
from fescueturn.scheduler import link
from fescueturn.scheduler import linkcodec
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model

ME = linkmessages.HostProcess("host-1", "boot-1")
SHARD = model.Shard("north")
PING = linkmessages.Ping(SHARD, ME)
WITHDRAWN = linkmessages.Withdrawn(
    SHARD, linkmessages.JobKey(ME, "00000000000000a1"), 3
)


@pytest.fixture(autouse=True)
def patient_connections(monkeypatch):
  """Lets a connection take as long as it does on a busy machine."""
  monkeypatch.setattr(link, "CONNECT_TIMEOUT_S", 10.0)


class Peer:
  """A link server that records messages, and answers pings if asked to."""

  def __init__(self, answers: bool = True):
    self.address = ports.free_address()
    self.received = []
    self._answers = answers
    self._server = link.LinkServer(self.address, self._on_message)

  async def _on_message(self, process, shard, message):
    self.received.append(message)
    if self._answers and isinstance(message, linkmessages.Ping):
      await self._server.send(process, shard, linkmessages.Pong())

  @contextlib.asynccontextmanager
  async def serving(self):
    await self._server.start()
    try:
      yield self
    finally:
      await self._server.close()

  @property
  def connection_number(self) -> int:
    """The number of the only open connection."""
    (outbox,) = self._server._outboxes.values()
    return outbox.number

  async def has_received(self, count: int):
    """Waits until that many messages have arrived."""
    while len(self.received) < count:
      await curio.sleep(0.005)


class Coordinator:
  """A link with a clock that the test moves."""

  def __init__(self, peer: Peer):
    self.now = 100.0
    self.pongs = 0
    self.losses = 0
    self.link = link.Link(
        peer.address, ME, lambda: self.now, self._on_message, self._on_lost
    )

  async def _on_message(self, shard, message):
    del shard, message
    self.pongs += 1

  async def _on_lost(self, refused: bool):
    assert not refused
    self.losses += 1

  async def has_pongs(self, count: int):
    """Waits until that many pongs have arrived."""
    while self.pongs < count:
      await curio.sleep(0.005)


def run(test, *args):
  async def limited():
    await curio.timeout_after(20.0, test, *args)

  curio.run(limited)


async def connect(peer: Peer, number: int = 0):
  sock = await curio.open_connection(peer.address.host, peer.address.port)
  await sock.sendall(linkcodec.encode(SHARD, linkcodec.Hello(ME, number)))
  return sock


async def is_closed(sock) -> bool:
  """Waits for data; returns whether the connection was closed instead."""
  try:
    return not await sock.recv(4096)
  except ConnectionError:
    return True


@pytest.mark.parametrize("numbers", [(0, 0), (1, 2), (1, 0)])
def test_message_on_a_connection_that_was_replaced_is_ignored(numbers):
  """An offer that arrives after its withdrawal would run for nobody."""

  async def play():
    async with Peer().serving() as peer:
      earlier = await connect(peer, numbers[0])
      await earlier.sendall(linkcodec.encode(SHARD, PING))
      assert not await is_closed(earlier)
      later = await connect(peer, numbers[1])
      await later.sendall(linkcodec.encode(SHARD, WITHDRAWN))
      await peer.has_received(2)
      await earlier.sendall(linkcodec.encode(SHARD, PING))
      assert await is_closed(earlier)
      assert peer.received == [PING, WITHDRAWN]
      await later.close()

  run(play)


def test_late_connection_does_not_replace_a_later_one():
  async def play():
    async with Peer().serving() as peer:
      later = await connect(peer, 2)
      await later.sendall(linkcodec.encode(SHARD, WITHDRAWN))
      await peer.has_received(1)
      earlier = await connect(peer, 1)
      await earlier.sendall(linkcodec.encode(SHARD, PING))
      assert await is_closed(earlier)
      await later.sendall(linkcodec.encode(SHARD, PING))
      assert not await is_closed(later)
      assert peer.received == [WITHDRAWN, PING]
      await later.close()

  run(play)


def test_connection_that_arrives_after_a_later_one_was_lost_is_refused():
  """Its offers may have been withdrawn on the later one."""

  async def play():
    async with Peer().serving() as peer:
      later = await connect(peer, 2)
      await later.sendall(linkcodec.encode(SHARD, WITHDRAWN))
      await peer.has_received(1)
      await later.close()
      while peer._server._outboxes:
        await curio.sleep(0.005)
      earlier = await connect(peer, 1)
      await earlier.sendall(linkcodec.encode(SHARD, PING))
      assert await is_closed(earlier)
      assert peer.received == [WITHDRAWN]

  run(play)


@pytest.mark.parametrize("is_overfull", [False, True])
def test_socket_that_a_task_reads_is_not_closed_for_another_to_get_its_number(
    monkeypatch, is_overfull
):
  """The event loop would end as it registers the number again."""

  async def play():
    async with Peer().serving() as peer:
      connection = await connect(peer, 1)
      await connection.sendall(linkcodec.encode(SHARD, WITHDRAWN))
      await peer.has_received(1)
      if is_overfull:
        monkeypatch.setattr(link, "MAX_QUEUED_BYTES", 0)
        await peer._server.send(ME, SHARD, linkmessages.Pong())
      else:
        await peer._server.close()
      pairs = [curio.socket.socketpair() for _ in range(5)]
      for one, other in pairs:
        reader = await curio.spawn(one.recv, 1)
        await curio.sleep(0)
        await other.send(b"x")
        assert await reader.join() == b"x"
      assert await is_closed(connection)

  run(play)


@pytest.mark.parametrize("is_overfull", [False, True])
def test_event_loop_goes_on_when_a_new_connection_gets_an_ended_links_number(
    monkeypatch, is_overfull
):
  other = socket.create_server(("127.0.0.1", 0))

  async def play():
    async with Peer().serving() as peer:
      connection = await connect(peer, 1)
      await connection.sendall(linkcodec.encode(SHARD, WITHDRAWN))
      await peer.has_received(1)
      if is_overfull:
        monkeypatch.setattr(link, "MAX_QUEUED_BYTES", 0)
        await peer._server.send(ME, SHARD, linkmessages.Pong())
      else:
        await peer._server.close()
      socks = [
          await curio.open_connection(*other.getsockname()) for _ in range(5)
      ]
      assert await is_closed(connection)
      for sock in socks:
        await sock.close()

  with other:
    run(play)


def test_connections_are_accepted_after_their_numbers_began_anew():
  async def play():
    async with Peer().serving() as peer:
      for count, number in enumerate((65534, 65535, 0, 1, 3), 1):
        connection = await connect(peer, number)
        await connection.sendall(linkcodec.encode(SHARD, WITHDRAWN))
        await peer.has_received(count)
        await connection.close()

  run(play)


def test_link_numbers_its_connections():
  async def play():
    async with Peer().serving() as peer:
      coordinator = Coordinator(peer)
      for number in (1, 2):
        await coordinator.link.send(SHARD, PING)
        await coordinator.has_pongs(number)
        assert peer.connection_number == number
        await coordinator.link.close()

  run(play)


def test_connection_without_answers_is_reported_as_lost():
  async def play():
    async with Peer(answers=False).serving() as peer:
      coordinator = Coordinator(peer)
      await coordinator.link.send(SHARD, PING)
      await peer.has_received(1)
      coordinator.now += link.RECEIVE_TIMEOUT_S + 0.01
      await coordinator.link.send(SHARD, WITHDRAWN)
      await peer.has_received(2)
      assert coordinator.losses == 1
      await coordinator.link.close()

  run(play)


@pytest.mark.parametrize("pause_s", [0.1, 1.0, 30.0])
def test_connection_with_nothing_to_answer_is_kept(pause_s):
  """Holders of other data centres are pinged once a second."""

  async def play():
    async with Peer().serving() as peer:
      coordinator = Coordinator(peer)
      for number in range(1, 4):
        await coordinator.link.send(SHARD, PING)
        await coordinator.has_pongs(number)
        if number == 1:
          connection = coordinator.link._outbox
        assert coordinator.link._outbox is connection
        coordinator.now += pause_s
      assert coordinator.losses == 0
      await coordinator.link.close()

  run(play)


def test_message_that_a_full_queue_drops_is_reported_as_lost(monkeypatch):
  async def play():
    async with Peer().serving() as peer:
      coordinator = Coordinator(peer)
      await coordinator.link.send(SHARD, PING)
      await coordinator.has_pongs(1)
      monkeypatch.setattr(link, "MAX_QUEUED_BYTES", 8)
      await coordinator.link.send(SHARD, WITHDRAWN)
      assert coordinator.losses == 1
      await coordinator.link.close()

  run(play)
