"""The program that the platform runs on each entry host.

Started as ``python3 -m fescueturn.platform.role``. The platform names its
settings file in an environment variable (see `nodefile`).
"""

from fescueturn import daemonsignals

if __name__ == "__main__":
  daemonsignals.begin_start(reloads=True)

import secrets
import signal
import sys

import curio
import prometheus_client
import statsd
from loguru import logger

from fescueturn import errors
from fescueturn import eventloop
from fescueturn import httpio
from fescueturn import logs
from fescueturn import metrics
from fescueturn import pauses
from fescueturn import settings
from fescueturn import timer
from fescueturn.platform import callers
from fescueturn.platform import claims
from fescueturn.platform import configuration
from fescueturn.platform import endpoints
from fescueturn.platform import jobstore
from fescueturn.platform import nodefile
from fescueturn.platform import store
from fescueturn.platform import unclaimedjobs
from fescueturn.scheduler import events
from fescueturn.scheduler import host as host_lib
from fescueturn.scheduler import hostmetrics
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import selffencing
from fescueturn.scheduler import state as state_lib

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
READY_PATH = "/-/readyz"
METRICS_PATH = "/metrics"
# The shortest time for which a stopping process serves new connections: the
# balancer probes once a second and opens no more after two failed probes.
ROTATION_DELAY_S = 2.3
# How long a stopping process still accepts jobs. The last accepted ones have
# 2.3 s left to run, which is enough for 95% of the jobs, and by then the
# balancer has had time to send new jobs to other hosts.
ACCEPT_JOBS_S = 3.0
# A planned stop ends in this order, counted back from the end of the grace
# period: the process grants a shard that it still holds (1.65 s before the
# end), it stops waiting for open jobs (0.95 s), and in what is left it answers
# the last requests, closes its connections and exits.

# How long before the end of its grace period the process stops waiting for open
# jobs. On a busy host it may take over 0.7 s from then until it has exited.
EXIT_MARGIN_S = 0.95
# How long before that (`EXIT_MARGIN_S`), not before the end of the grace
# period, a process that could not release its shard grants it to another host.
# Three tries of 0.2 s (`grants.RETRY_S`) fit.
GRANT_BEFORE_EXIT_S = 0.7
# Time to read and answer the last requests on open connections.
FLUSH_S = 0.15
POLL_S = 0.1
# How often the settings file is reloaded; it may change without a signal.
RELOAD_PERIOD_S = 5.0


class EntryProcess:
  """The process of an entry host on the platform.

  `start` starts it, `run` serves until a signal stops it, and `close` closes
  its connections.
  """

  def __init__(
      self,
      node: nodefile.NodeSettings,
      clock: timer.TimerService,
      stats: statsd.StatsClient | None = None,
  ):
    self._node = node
    self._timer = clock
    self._process = linkmessages.HostProcess(node.host, secrets.token_hex(6))
    self._store = store.StoreClient(
        node.store_address, clock.now, self._observe
    )
    self._claims = claims.Claims(
        self._store,
        self._process,
        node.peer_address,
        max(claims.LEASE_MS, node.min_lease_ms),
    )
    self._job_store = jobstore.JobStore(self._store, clock.now)
    self._unclaimed_jobs = unclaimedjobs.UnclaimedJobs(self._store, clock.now)
    self._endpoint_calls = endpoints.EndpointCalls(clock.now, self._observe)
    # Services named by any configuration so far; None before the first one.
    self._services: frozenset[str] | None = None
    self._endpoint_poller = endpoints.EndpointPoller(
        self._store,
        clock.now,
        self._on_list,
        self._is_configured_service,
        self._read_claims,
    )
    shards = (model.Shard(node.data_centre),)
    self._host = host_lib.SchedulerHost(
        state_lib.HostIdentity(
            self._process,
            node.data_centre,
            shards,
            node.ended_job_retention_s,
            node.cores,
            node.peer_address,
        ),
        node.peer_address,
        host_lib.Ports(
            self._endpoint_calls.start,
            self._endpoint_calls.stop,
            self._endpoint_calls.renew,
            self._claims.claim,
            self._claims.release,
            self._on_ownership,
            self._job_store.load,
            self._job_store.write,
            self._job_store.list_ended,
            self._job_store.list_open,
            self._unclaimed_jobs.find,
            self._unclaimed_jobs.take_over,
        ),
        clock,
    )
    self._metrics = hostmetrics.HostMetrics(self._host.state, stats)
    self._callers = callers.CallerHttp(
        self._host, clock.now, self._metrics, self._job_store
    )
    self._metrics.set_config_age(lambda: self._callers.config_age_s)
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
    # When a signal told the process to stop, which begins its grace period.
    self._stopping_since: float | None = None
    self._reload_requested = False

  async def start(self):
    """Connects to the other hosts and starts to serve requests."""
    signal.signal(signal.SIGTERM, self._on_signal)
    signal.signal(signal.SIGINT, self._on_signal)
    signal.signal(signal.SIGHUP, self._on_signal)
    await self._host.start()
    await self._claims.start()
    await self._endpoint_poller.start()
    shards = self._host.state.me.shards
    loops = [
        (
            claims.watch_loop,
            self._store,
            self._timer.now,
            self._node.convergence_s,
            shards,
            self._host.apply,
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
        self._process.boot,
        self._node.data_centre,
        self._node.callers_address,
        self._node.peer_address,
    )

  async def run(self):
    """Serves until SIGTERM or SIGINT, then drains the open jobs."""
    # Settings that changed during the start are loaded at once.
    reload_at = self._timer.now()
    while self._stopping_since is None:
      await curio.sleep(POLL_S)
      if self._host.failed:
        # The platform restarts the process; meanwhile other hosts take over.
        sys.exit(EXIT_FAILED)
      if self._reload_requested or self._timer.now() >= reload_at:
        self._reload_settings(signalled=self._reload_requested)
        self._reload_requested = False
        reload_at = self._timer.now() + RELOAD_PERIOD_S
    await self._drain(self._stopping_since)

  async def _drain(self, began: float):
    logger.info(
        "event=stopping waiting={}", len(self._host.state.coordinator.jobs)
    )
    await self._host.drain()
    deadline = began + max(0.0, self._node.grace_s - EXIT_MARGIN_S)
    while self._timer.now() < deadline:
      elapsed_s = self._timer.now() - began
      if elapsed_s > ACCEPT_JOBS_S:
        self._callers.refuse_new_jobs()
      if elapsed_s > ROTATION_DELAY_S and self._host.state.idle:
        break
      if self._timer.now() > deadline - GRANT_BEFORE_EXIT_S:
        await self._host.prepare_exit()
      await curio.sleep(POLL_S)
    self._callers.refuse_new_jobs()
    await self._host.finish_drain()
    for server in self._servers:
      await server.close()
    # Connections accepted earlier are still read and answered.
    await curio.sleep(FLUSH_S)
    logger.info(
        "event=stopped waiting={} took_ms={}",
        len(self._host.state.coordinator.jobs),
        int((self._timer.now() - began) * 1000),
    )

  async def close(self):
    """Closes every connection."""
    daemonsignals.begin_exit()
    for loop in self._loops:
      await loop.cancel()
    await self._endpoint_poller.close()
    await self._claims.close()
    await self._host.close()
    await self._endpoint_calls.close()
    await self._store.close()
    await self._timer.close()

  def _on_signal(self, number, frame):
    del frame
    if number == signal.SIGHUP:
      self._reload_requested = True
    elif self._stopping_since is None:
      self._stopping_since = self._timer.now()

  def _reload_settings(self, signalled: bool):
    """Reloads the settings file.

    Logs whether it has changed. If it is invalid, the previous settings stay.
    """
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
    self._metrics.observe_call(dependency, result, took_s)

  async def _read_claims(self):
    owners = self._host.state.owners.values()
    now = self._timer.now()
    if any(selffencing.must_read_claims(owner, now) for owner in owners):
      await claims.report_held(self._store, self._host.apply)

  async def _on_list(self, event: events.EndpointsListed):
    await self._host.apply(event)
    await self._endpoint_calls.close_unlisted(event.endpoints)

  async def _on_ownership(self, owns_shard: bool):
    await self._claims.set_owning(owns_shard)
    await self._endpoint_poller.set_owning(owns_shard)

  def _is_configured_service(self, service: str) -> bool:
    return self._services is None or service in self._services

  async def _on_config(self, config: model.Config):
    self._services = (self._services or frozenset()) | config.services
    if self._callers.set_config(config):
      self._metrics.set_config_version(config.version)
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
      return httpio.Response(200, self._metrics.render(), headers)
    if request.target == "/dump":
      return httpio.json_response(200, self._host.dump())
    return httpio.json_response(404, {"error": "no such page"})


async def _main(
    node: nodefile.NodeSettings,
    log: logs.BoundedSink,
    statsd_server: settings.Address | None,
):
  clock = timer.TimerService(host_lib.TICK_S)
  clock.subscribe(log.tick)
  pauses.watch(clock)
  stats = (
      metrics.client(statsd_server, "role", node.host)
      if statsd_server
      else None
  )
  process = EntryProcess(node, clock, stats)
  await process.start()
  await process.run()
  await process.close()


def main():
  """Runs the entry host; exits with status 2 if its settings are invalid."""
  try:
    node = nodefile.load()
    statsd_server = nodefile.statsd_address()
  except errors.SettingsError as exc:
    print(f"event=settings_rejected error={exc}", file=sys.stderr)
    sys.exit(EXIT_BAD_SETTINGS)
  eventloop.run(_main, node, logs.setup_bounded(node.host), statsd_server)


if __name__ == "__main__":
  main()
