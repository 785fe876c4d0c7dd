"""Allocates TCP ports on loopback for processes that are started later."""

import contextlib
import random
import socket

from fescueturn import settings

LOOPBACK = "127.0.0.1"
# The range lies below the system's ephemeral ports, so that no outgoing
# connection can take a port before the server for it has started.
FIRST_PORT, LAST_PORT = 20_000, 32_000

_allocated: set[int] = set()


def is_free(port: int) -> bool:
  """Returns True if a server can bind the port now."""
  with contextlib.closing(socket.socket()) as sock:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
      sock.bind((LOOPBACK, port))
    except OSError:
      return False
  return True


def free_ports(count: int) -> list[int]:
  """Returns `count` consecutive free ports that were not returned before."""
  while True:
    first = random.randrange(FIRST_PORT, LAST_PORT - count)
    ports = list(range(first, first + count))
    if _allocated.isdisjoint(ports) and all(is_free(port) for port in ports):
      _allocated.update(ports)
      return ports


def free_address() -> settings.Address:
  """Returns a loopback address with a free port of its own."""
  (port,) = free_ports(1)
  return settings.Address(LOOPBACK, port)
