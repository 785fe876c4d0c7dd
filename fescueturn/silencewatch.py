"""Tells which connections' other sides no longer acknowledge anything.

A machine that loses its power or its network closes no connection, but its
kernel no longer answers keep-alive probes. The kernel sends these whether or
not this process gets a processor, and the other side's kernel answers them
whether or not the process there reads.
"""

import contextlib
import dataclasses
import math
import socket
import struct

# After how long without a packet from the other side a probe is sent: the
# shortest that TCP allows.
PROBE_AFTER_S = 1
# How long a probe may stay unanswered. Round trips take some ms. A caller comes
# back 1.3 s after its connection broke, and its job's end takes 0.05 s.
ANSWER_S = 0.08
# How long a request waits before probes are requested: most are answered by
# then. More than a slow tick (0.1 s) before the first probe is due.
_PREPARE_AFTER_S = 0.85
# The fields of `struct tcp_info` that are needed: unanswered probes,
# unacknowledged segments, and the times (ms) since data and an acknowledgement
# arrived.
_TCP_INFO = struct.Struct("=3xB20xI24xII")


@dataclasses.dataclass
class _Watched:
  """A connection whose caller waits.

  Attributes:
    request_id: the request that waits.
    look_at: when to look at the connection next (s).
    probed: whether the kernel has been told to send probes.
    unanswered_since: since when the answer of a probe is awaited (s).
  """

  request_id: int
  look_at: float
  probed: bool = False
  unanswered_since: float | None = None


class SilenceWatch:
  """The connections of requests that wait for an answer."""

  def __init__(self):
    # By socket.
    self._watched: dict[int, _Watched] = {}
    self._in_doubt = False

  def add(self, fileno: int, request_id: int, now: float):
    """Watches the socket that a request has arrived on."""
    self._watched[fileno] = _Watched(request_id, now + _PREPARE_AFTER_S)

  def remove(self, fileno: int):
    """Stops to watch a socket, before it is closed here."""
    self._watched.pop(fileno, None)

  @property
  def in_doubt(self) -> bool:
    """True while a probe is unanswered, so that looks are due soon."""
    return self._in_doubt

  def silent_requests(self, now: float) -> list[int]:
    """Returns the requests whose callers' kernels don't answer probes."""
    due = [(f, w) for f, w in self._watched.items() if now >= w.look_at]
    silent = [w.request_id for f, w in due if _is_silent(f, w, now)]
    self._in_doubt = any(w.unanswered_since is not None for _, w in due)
    return silent


def _is_silent(fileno: int, watched: _Watched, now: float) -> bool:
  try:
    with _borrowed_socket(fileno) as sock:
      if not watched.probed:
        _send_probes(sock)
        watched.probed = True
      unheard_s, is_asked = _look(sock)
      if unheard_s >= PROBE_AFTER_S:
        _set_idle_time(sock)  # Sends another probe at once, as one may be lost.
  except OSError:
    watched.look_at = math.inf  # Not supported, or reset: a close shows that.
    return False
  if unheard_s < PROBE_AFTER_S:
    watched.unanswered_since = None
    watched.look_at = now + PROBE_AFTER_S - unheard_s
    return False
  if watched.unanswered_since is None:
    watched.unanswered_since = now
  return is_asked and now - watched.unanswered_since >= ANSWER_S


@contextlib.contextmanager
def _borrowed_socket(fileno: int):
  sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno)
  try:
    yield sock
  finally:
    sock.detach()


def _send_probes(sock: socket.socket):
  """Has the kernel send probes on a connection on which nothing arrives."""
  sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
  sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_AFTER_S)
  # The last, as it counts from when something last arrived.
  _set_idle_time(sock)


def _set_idle_time(sock: socket.socket):
  sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)


def _look(sock: socket.socket) -> tuple[float, bool]:
  """Returns the time without a packet (s) and whether an answer is due."""
  raw = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
  probes, unacknowledged, data_ms, ack_ms = _TCP_INFO.unpack(raw)
  return min(data_ms, ack_ms) / 1000, bool(probes or unacknowledged)
