"""Free TCP ports on loopback, for processes that are started later."""

import contextlib
import random
import socket

from fescueturn import settings

LOOPBACK = "127.0.0.1"
# Below the range from which the system gives outgoing connections their ports, so
# that none of these takes one before its server is started.
FIRST_PORT, LAST_PORT = 20_000, 32_000

_taken: set[int] = set()


def is_free(port: int) -> bool:
  """Returns whether nothing listens on a port now."""
  with contextlib.closing(socket.socket()) as sock:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
      sock.bind((LOOPBACK, port))
    except OSError:
      return False
  return True


def free_ports(count: int) -> list[int]:
  """Returns ports in a row that are free and were never returned before."""
  while True:
    first = random.randrange(FIRST_PORT, LAST_PORT - count)
    ports = list(range(first, first + count))
    if _taken.isdisjoint(ports) and all(is_free(port) for port in ports):
      _taken.update(ports)
      return ports


def free_address() -> settings.Address:
  """Returns an address on loopback with a port of its own."""
  (port,) = free_ports(1)
  return settings.Address(LOOPBACK, port)
