"""A loopback TCP proxy for one path between two processes, with faults.

It delivers what its client sent before it closed the connection, as TCP does,
even if the path stalls meanwhile and the client has given up.
"""

import contextlib
import ctypes
import dataclasses
import random
import socket
import struct
import time

import curio
import curio.network

from fescueturn import listener
from fescueturn import settings

READ_SIZE = 65536
BACKLOG = 128
# TCP sends a lost packet again after this, and doubles the time each time.
RETRANSMIT_S = 0.2
# A path whose connections may hang chooses anew whether they do this often.
HANG_SLOT_S = 0.25
# Bytes that can't be delivered for this long end their connection, as the
# TCP user timeout of the programs does.
MAX_HOLD_S = listener.USER_TIMEOUT_MS / 1000
# The value of SO_LINGER with which closing a connection resets it.
RESET = b"\1\0\0\0\0\0\0\0"
# Option of Linux that Python doesn't name, and a filter that drops each packet
# that a socket gets: its peer has nothing acknowledged.
_SO_ATTACH_FILTER = 26
_DROP = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0))
_DROP_FILTER = struct.pack("HL", 1, ctypes.addressof(_DROP))


@dataclasses.dataclass(frozen=True)
class Fault:
  """What is wrong with a path, up to the server and down to the client.

  Attributes:
    stall_share: share of the packets that are lost and sent again.
    hang_share: share of the time in which new connections aren't opened.
    refuse: True if new connections are refused; open ones go on.
  """

  stall_share: float = 0.0
  hang_share: float = 0.0
  refuse: bool = False
  delay_up_s: float = 0.0
  delay_down_s: float = 0.0
  hold_up: bool = False
  hold_down: bool = False


def merge(faults) -> Fault:
  """Returns the fault that has the worst of each attribute."""
  names = [field.name for field in dataclasses.fields(Fault)]
  every = [Fault(), *faults]
  return Fault(**{n: max(getattr(f, n) for f in every) for n in names})


class Path:
  """A proxy from its own address to a server's, which are its `name`.

  It replaces the first of its `texts` by the second on the way up, and the
  second by the first on the way down.
  """

  def __init__(
      self,
      name: tuple[str, str],
      address: settings.Address,
      target: settings.Address,
      rng: random.Random,
  ):
    self.name = name
    self.texts = (b"", b"")
    self._address, self._target = address, target
    self._rng = rng
    self._faults: dict[object, Fault] = {}
    self._fault = Fault()
    self._changed = curio.Event()
    self._changing = curio.Lock()
    self._sock = self._accept_task = self._hang_task = None
    self._fillers: list[socket.socket] = []
    self._connections: dict[curio.Task, list] = {}
    self._silent: set[curio.Task] = set()

  async def start(self):
    await self._listen()

  async def close(self):
    if self._hang_task is not None:
      await self._hang_task.cancel()
    await self._stop_listening()
    self._silent.clear()
    await self.reset()

  async def set_fault(self, key, fault: Fault | None):
    """Adds a fault under a key, or removes it if it is None."""
    if fault is None:
      self._faults.pop(key, None)
    else:
      self._faults[key] = fault
    self._fault = merge(self._faults.values())
    if self._fault.hang_share and self._hang_task is None:
      self._hang_task = await curio.spawn(self._hang_loop, daemon=True)
    changed, self._changed = self._changed, curio.Event()
    await changed.set()
    await self._set_listening()

  async def reset(self):
    for task in self._connections.keys() - self._silent:
      await task.cancel(blocking=False)

  def silence(self, share: float):
    """Makes a share of the open connections silent until the path is closed.

    Neither side gets anything, not even that the other one has closed it.
    """
    for task, socks in self._connections.items():
      if len(socks) == 2 and self._rng.random() < share:
        self._silent.add(task)
        for sock in socks:
          sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, _DROP_FILTER)

  async def _set_listening(self):
    async with self._changing:
      if self._fault.refuse:
        await self._stop_listening()
        return
      if self._sock is None:
        await self._listen()
      hang = self._rng.random() < self._fault.hang_share
      if hang and not self._fillers:
        await self._accept_task.cancel()
        self._fill_backlog()
      elif not hang and self._fillers:
        self._close_fillers()
        self._sock.listen(BACKLOG)
        self._accept_task = await curio.spawn(self._accept_loop, daemon=True)

  def _fill_backlog(self):
    # Linux drops the first packet of a connection if the queue is full.
    self._sock.listen(0)
    for _ in range(2):
      filler = socket.socket()
      filler.setblocking(False)
      with contextlib.suppress(OSError):
        filler.connect((self._address.host, self._address.port))
      self._fillers.append(filler)

  def _close_fillers(self):
    for filler in self._fillers:
      filler.close()
    self._fillers = []

  async def _listen(self):
    host, port = self._address.host, self._address.port
    self._sock = curio.network.tcp_server_socket(host, port, backlog=BACKLOG)
    self._accept_task = await curio.spawn(self._accept_loop, daemon=True)

  async def _stop_listening(self):
    self._close_fillers()
    if self._sock is not None:
      await self._accept_task.cancel()
      await self._sock.close()
      self._sock = None

  async def _hang_loop(self):
    while True:
      await curio.sleep(HANG_SLOT_S)
      if self._fault.hang_share or self._fillers:
        await self._set_listening()

  async def _accept_loop(self):
    while True:
      client, _ = await self._sock.accept()
      await curio.spawn(self._serve, client, daemon=True)

  async def _serve(self, client):
    relays, socks = [], [client]
    task = await curio.current_task()
    self._connections[task] = socks
    try:
      # Looks no name up, which takes a thread.
      server = curio.socket.socket()
      socks.append(server)
      await server.connect((self._target.host, self._target.port))
      for sock in socks:
        listener.no_delay(sock)
      for route in ((client, server, True), (server, client, False)):
        relays.append(await curio.spawn(self._relay, *route, task))
      for relay in relays:
        await relay.join()
    except (OSError, curio.CancelledError):
      for sock in socks:
        with contextlib.suppress(OSError):
          sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    finally:
      del self._connections[task]
      self._silent.discard(task)
      for relay in relays:
        await relay.cancel()
      for sock in socks:
        await sock.close()

  async def _relay(self, source, target, up: bool, connection):
    with contextlib.suppress(OSError):
      while True:
        data = b""
        with contextlib.suppress(ConnectionError):
          data = await source.recv(READ_SIZE)
        if self.texts[0]:
          data = data.replace(*(self.texts if up else self.texts[::-1]))
        delay_s = self._delay_s(up)
        if delay_s:
          await curio.sleep(delay_s)
        passes = await self._wait_while_held(up)
        if connection in self._silent:
          await curio.Event().wait()
        if not passes:
          await connection.cancel(blocking=False)
          return
        if not data:
          await target.shutdown(socket.SHUT_WR)
          return
        await target.sendall(data)

  def _delay_s(self, up: bool) -> float:
    fault = self._fault
    delay_s = fault.delay_up_s if up else fault.delay_down_s
    pause_s = RETRANSMIT_S
    while fault.stall_share and self._rng.random() < fault.stall_share:
      delay_s += pause_s
      pause_s *= 2
    return delay_s

  async def _wait_while_held(self, up: bool) -> bool:
    """Waits until bytes may pass; returns False if that takes too long."""
    end = time.monotonic() + MAX_HOLD_S
    while self._fault.hold_up if up else self._fault.hold_down:
      left_s = end - time.monotonic()
      if left_s <= 0:
        return False
      await curio.ignore_after(left_s, self._changed.wait)
    return True
