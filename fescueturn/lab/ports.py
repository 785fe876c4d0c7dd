"""Allocates TCP ports on loopback for processes that are started later."""

import contextlib
import fcntl
import functools
import os
import pathlib
import random
import socket
import tempfile

from fescueturn import settings

LOOPBACK = "127.0.0.1"
# The range lies below the system's ephemeral ports, so that no outgoing
# connection can take a port before the server for it has started.
FIRST_PORT, LAST_PORT = 20_000, 32_000

_allocated: set[int] = set()


@functools.cache
def _lock_file() -> int:
  """Opens the file in which a process locks the bytes of its ports."""
  name = f"fescueturn-ports-{os.getuid()}.lock"
  path = pathlib.Path(tempfile.gettempdir()) / name
  return os.open(path, os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW, 0o600)


def _reserve(port: int) -> bool:
  """Reserves a port until this process ends; False if another one has it."""
  try:
    fcntl.lockf(_lock_file(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
  except OSError:
    return False
  return True


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
  """Returns `count` consecutive free ports.

  No running process of this user has got them from this function.
  """
  while True:
    first = random.randrange(FIRST_PORT, LAST_PORT - count)
    ports = list(range(first, first + count))
    if _allocated.isdisjoint(ports) and all(
        is_free(port) and _reserve(port) for port in ports
    ):
      _allocated.update(ports)
      return ports


def free_address() -> settings.Address:
  """Returns a loopback address with a free port of its own."""
  (port,) = free_ports(1)
  return settings.Address(LOOPBACK, port)
