"""Tells which connections their other side has closed.

The kernel knows of a close as soon as it arrives. A busy process reads it much
later, after the requests and behind the input that arrived before it.
"""

import select

_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def is_closed(fileno: int) -> bool:
  """Returns whether the other side has closed a socket or reset it."""
  poller = select.poll()
  poller.register(fileno, select.POLLRDHUP)
  return any(mask & _CLOSED for _, mask in poller.poll(0))


class CloseWatch:
  """The connections of requests that wait for an answer."""

  def __init__(self):
    self._poller = select.poll()
    # The request of each socket.
    self._requests: dict[int, int] = {}

  def add(self, fileno: int, request_id: int):
    """Watches the socket that a request has arrived on."""
    self._requests[fileno] = request_id
    self._poller.register(fileno, select.POLLRDHUP)

  def remove(self, fileno: int):
    """Stops to watch a socket, before it is closed here."""
    if self._requests.pop(fileno, None) is not None:
      self._poller.unregister(fileno)

  def closed_requests(self) -> list[int]:
    """Returns the requests whose connections the other side has closed."""
    if not self._requests:
      return []
    closed = [fd for fd, mask in self._poller.poll(0) if mask & _CLOSED]
    return [self._requests[fileno] for fileno in closed]
