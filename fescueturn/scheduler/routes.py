"""Routing of requests to queues by host and longest path prefix."""

from fescueturn.scheduler import model


class RouteTable:
  """Routing table of one configuration's queues; immutable."""

  def __init__(self, config: model.Config):
    self._config = config
    self._by_host: dict[str, list[model.Queue]] = {}
    for queue in config.queues:
      self._by_host.setdefault(queue.host, []).append(queue)
    for queues in self._by_host.values():
      queues.sort(key=lambda q: len(q.prefix), reverse=True)

  @property
  def config(self) -> model.Config:
    """The configuration that the table was built from."""
    return self._config

  def find(self, host: str, path: str) -> model.Queue | None:
    """Returns the queue that a request is routed to, or None.

    Args:
      host: the request's Host header; a port is ignored.
      path: the request's path.
    """
    name = host.lower().partition(":")[0]
    for queue in self._by_host.get(name, ()):
      if path.startswith(queue.prefix):
        return queue
    return None
