"""The program that the platform runs on each entry host.

Started as ``python3 -m fescueturn.platform.role``; its settings file is named
by the platform (see `nodefile`).
"""

import secrets
import signal
import sys

import curio
import prometheus_client
import statsd
from loguru import logger

from fescueturn import errors
from fescueturn import httpio
from fescueturn import logs
from fescueturn import metrics
from fescueturn import settings
from fescueturn import timer
from fescueturn.platform import callers
from fescueturn.platform import claims
from fescueturn.platform import configuration
from fescueturn.platform import endpoints
from fescueturn.platform import jobstore
from fescueturn.platform import nodefile
from fescueturn.platform import store
from fescueturn.scheduler import events
from fescueturn.scheduler import host as host_lib
from fescueturn.scheduler import hostmetrics
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import state as state_lib

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
READY_PATH = "/-/readyz"
METRICS_PATH = "/metrics"
# The balancer asks once a second and needs two misses; connections that it
# still opens in this time are served.
ROTATION_S = 2.3
# After this, jobs are refused: those taken before have 2.3 s more, longer than
# nineteen in twenty take, and the balancer has had time to send them elsewhere.
TAKING_S = 3.0
# What is left of the grace period when the process ends whatever happens.
EXIT_MARGIN_S = 0.7
# For the last requests on open connections to be read and answered.
FLUSH_S = 0.15
POLL_S = 0.1
# How often the settings file is read again: it may change without a signal.
RELOAD_S = 5.0


class Role:
  """One entry host on the platform: `start`, `run` until told, `close`."""

  def __init__(
      self,
      node: nodefile.NodeSettings,
      clock: timer.TimerService,
      stats: statsd.StatsClient | None = None,
  ):
    self._node = node
    self._timer = clock
    self._party = linkmessages.HostProcess(node.host, secrets.token_hex(6))
    self._store = store.StoreClient(
        node.store_address, clock.now, self._observe
    )
    self._claims = claims.Claims(
        self._store,
        self._party,
        node.peer_address,
        max(claims.LEASE_MS, node.min_lease_ms),
    )
    self._keeper = jobstore.JobStore(self._store, clock.now)
    self._calls = endpoints.EndpointCalls(clock.now, self._observe)
    # Every service that a configuration has named; None before the first.
    self._services: frozenset[str] | None = None
    self._lister = endpoints.EndpointPoller(
        self._store, clock.now, self._on_list, self._names_service
    )
    shards = (model.Shard(node.data_centre),)
    self._host = host_lib.SchedulerHost(
        state_lib.HostIdentity(
            self._party,
            node.data_centre,
            shards,
            node.ended_job_retention_s,
            node.cores,
        ),
        node.peer_address,
        host_lib.Ports(
            self._calls.start,
            self._calls.stop,
            self._calls.renew,
            self._claims.claim,
            self._claims.release,
            self._on_owning,
            self._keeper.load,
            self._keeper.write,
            self._keeper.list_ended,
            self._keeper.list_open,
        ),
        clock,
    )
    self._figures = hostmetrics.HostMetrics(self._host.state, stats)
    self._callers = callers.CallerHttp(
        self._host, clock.now, self._figures, self._keeper
    )
    self._figures.set_config_age(lambda: self._callers.config_age_s)
    self._servers = [
        httpio.Server(
            node.callers_address,
            self._callers.handle,
            limits=self._callers.limits,
        ),
        httpio.Server(node.readiness_address, self._on_ready),
        httpio.Server(node.metrics_address, self._on_metrics),
    ]
    self._loops = []
    self._stopping = False
    self._reload = False

  async def start(self):
    """Joins the other hosts and serves."""
    signal.signal(signal.SIGTERM, self._on_signal)
    signal.signal(signal.SIGINT, self._on_signal)
    signal.signal(signal.SIGHUP, self._on_signal)
    await self._host.start()
    await self._claims.start()
    await self._lister.start()
    shards = self._host.state.me.shards
    loops = [
        (
            claims.watch_loop,
            self._store,
            self._timer.now,
            self._node.convergence_s,
            shards,
            self._host.apply,
        ),
        (
            configuration.watch_loop,
            self._store,
            self._timer.now,
            self._node.convergence_s,
            self._on_config,
            self._host.apply,
            self._callers.confirm_config,
        ),
    ]
    self._loops = [await curio.spawn(*loop, daemon=True) for loop in loops]
    for server in self._servers:
      await server.start()
    await self._timer.start()
    logger.info(
        "event=started host={} boot={} data_centre={} callers={} links={}",
        self._node.host,
        self._party.boot,
        self._node.data_centre,
        self._node.callers_address,
        self._node.peer_address,
    )

  async def run(self):
    """Serves until SIGTERM, then finishes what callers still wait for."""
    reload_at = self._timer.now() + RELOAD_S
    while not self._stopping:
      await curio.sleep(POLL_S)
      if self._host.failed:
        # The platform starts it again; other hosts take over meanwhile.
        sys.exit(EXIT_FAILED)
      if self._reload or self._timer.now() >= reload_at:
        self._read_settings(signalled=self._reload)
        self._reload = False
        reload_at = self._timer.now() + RELOAD_S
    await self._drain()

  async def _drain(self):
    began = self._timer.now()
    logger.info(
        "event=stopping waiting={}", len(self._host.state.coordinator.jobs)
    )
    await self._host.drain()
    finish_drain = began + max(0.0, self._node.grace_s - EXIT_MARGIN_S)
    while self._timer.now() < finish_drain:
      passed_s = self._timer.now() - began
      if passed_s > TAKING_S:
        self._callers.refuse_new_jobs()
      if passed_s > ROTATION_S and self._host.state.idle:
        break
      await curio.sleep(POLL_S)
    self._callers.refuse_new_jobs()
    await self._host.finish_drain()
    for server in self._servers:
      await server.close()
    # Connections taken before are read and answered.
    await curio.sleep(FLUSH_S)
    logger.info(
        "event=stopped waiting={} took_ms={}",
        len(self._host.state.coordinator.jobs),
        int((self._timer.now() - began) * 1000),
    )

  async def close(self):
    """Closes every connection."""
    for loop in self._loops:
      await loop.cancel()
    await self._lister.close()
    await self._claims.close()
    await self._host.close()
    await self._calls.close()
    await self._store.close()
    await self._timer.close()

  def _on_signal(self, number, frame):
    del frame
    if number == signal.SIGHUP:
      self._reload = True
    else:
      self._stopping = True

  def _read_settings(self, signalled: bool):
    """Reads the settings file again; a changed one is said, a bad one kept."""
    try:
      node = nodefile.load()
    except errors.SettingsError as exc:
      logger.error('event=reload_failed error="{}"', exc)
      return
    changed = node != self._node
    if changed or signalled:
      logger.info("event=reloaded changed={} signalled={}", changed, signalled)
    self._node = node

  def _observe(self, dependency: str, result: str, took_s: float):
    self._figures.observe_call(dependency, result, took_s)

  async def _on_list(self, event: events.EndpointsListed):
    await self._host.apply(event)
    await self._calls.close_unlisted(event.endpoints)

  async def _on_owning(self, owning: bool):
    await self._claims.set_owning(owning)
    await self._lister.set_owning(owning)

  def _names_service(self, service: str) -> bool:
    return self._services is None or service in self._services

  async def _on_config(self, config: model.Config):
    self._services = (self._services or frozenset()) | config.services
    if self._callers.set_config(config):
      self._figures.set_config_version(config.version)
      logger.info(
          "event=config_in_force version={} queues={} unheard_ms={:.0f}",
          config.version,
          len(config.queues),
          self._callers.config_age_s * 1000,
      )

  async def _on_ready(self, request: httpio.Request) -> httpio.Response:
    ready = request.target == READY_PATH and self._callers.ready
    return httpio.json_response(200 if ready else 503, {"ready": ready})

  async def _on_metrics(self, request: httpio.Request) -> httpio.Response:
    if request.target == METRICS_PATH:
      headers = (("content-type", prometheus_client.CONTENT_TYPE_LATEST),)
      return httpio.Response(200, self._figures.render(), headers)
    if request.target == "/dump":
      return httpio.json_response(200, self._host.dump())
    return httpio.json_response(404, {"error": "no such page"})


async def _main(
    node: nodefile.NodeSettings,
    log: logs.BoundedSink,
    collector: settings.Address | None,
):
  clock = timer.TimerService(host_lib.TICK_S)
  clock.subscribe(log.tick)
  stats = metrics.client(collector, "role", node.host) if collector else None
  role = Role(node, clock, stats)
  await role.start()
  await role.run()
  await role.close()


def main():
  """Runs the role; exits 2 when the settings file is bad."""
  try:
    node = nodefile.load()
    collector = nodefile.statsd_address()
  except errors.SettingsError as exc:
    print(f"event=settings_rejected error={exc}", file=sys.stderr)
    sys.exit(EXIT_BAD_SETTINGS)
  curio.run(_main, node, logs.setup_bounded(node.host), collector)


if __name__ == "__main__":
  main()
