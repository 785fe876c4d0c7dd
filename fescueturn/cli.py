"""Command line: daemons and operator tools, both thin wrappers of the library.

Daemons: ``entry``, ``endpoint``, ``platform`` (each with ``--settings``).
Tools: ``submit``, ``cancel``, ``config get|put|check``, ``dump``, ``explain``,
``emulate``, ``demo``, ``bench``.

A command that fails with a numbered error prints its code (docs/ERRORS.md) and
exits with `EXIT_REFUSED`.
"""

import dataclasses
import json
import signal
import sys

import click
import curio

from fescueturn import daemonsignals
from fescueturn import entry
from fescueturn import errors
from fescueturn import eventloop
from fescueturn import explain
from fescueturn import hostclock
from fescueturn import httpio
from fescueturn import logs
from fescueturn import pauses
from fescueturn import settings
from fescueturn import teamconfig
from fescueturn import timer
from fescueturn.emulator import load
from fescueturn.lab import caller
from fescueturn.lab import demo
from fescueturn.lab import faultbench
from fescueturn.lab import hotpath
from fescueturn.lab import placingbench
from fescueturn.platform import store
from fescueturn.standins import standin_endpoint
from fescueturn.standins import standin_platform

EXIT_REFUSED = 2
PLATFORM_TICK_S = 0.1
SUBMIT_TIMEOUT_S = 120.0


def _load(path: str) -> settings.Settings:
  try:
    return settings.load(path)
  except (errors.SettingsError, OSError) as exc:
    raise click.ClickException(str(exc)) from exc


def _refuse(exc: errors.FescueError):
  click.echo(str(exc), err=True)
  sys.exit(EXIT_REFUSED)


def _run_closing(client, call):
  """Runs `call(client)` and closes the client.

  On a numbered error, prints it and exits with `EXIT_REFUSED`.
  """

  async def run():
    try:
      return await call(client)
    finally:
      await client.close()

  try:
    return curio.run(run)
  except errors.FescueError as exc:
    return _refuse(exc)


def _address(text: str) -> settings.Address:
  try:
    return settings.parse_address(text)
  except ValueError as exc:
    raise click.ClickException(str(exc)) from exc


def _with_platform(address: str, call):
  return _run_closing(_store(_address(address)), call)


def _store(address: settings.Address) -> store.StoreClient:
  return store.StoreClient(address, hostclock.now)


def _with_daemon(address: str, call):
  return _run_closing(httpio.Pool(_address(address), limit=1), call)


async def _until_signal():
  """Waits for SIGTERM or SIGINT, which request a graceful shutdown."""
  stop = curio.UniversalEvent()

  def handler(signum, frame):
    del signum, frame
    stop.set()

  signal.signal(signal.SIGTERM, handler)
  signal.signal(signal.SIGINT, handler)
  await stop.wait()


async def _run_entry(conf: settings.Settings):
  clock = timer.TimerService(conf.entry.tick_ms / 1000)
  pauses.watch(clock)
  client = _store(conf.entry.platform)
  host = entry.EntryHost(conf.process, conf.entry, clock, client)
  await clock.start()
  await host.start()
  await _until_signal()
  await host.drain()
  await host.close()
  await clock.close()


async def _run_endpoint(conf: settings.Settings):
  clock = timer.TimerService(1.0)
  client = _store(conf.endpoint.platform)
  host = standin_endpoint.EndpointStandIn(
      conf.process, conf.endpoint, clock, client
  )
  await host.start()
  await _until_signal()
  await host.leave()
  await curio.sleep(conf.endpoint.drain_s)
  await host.close()


async def _run_platform(conf: settings.Settings):
  clock = timer.TimerService(PLATFORM_TICK_S)
  stand_in = standin_platform.PlatformStandIn(conf.platform, clock)
  await clock.start()
  await stand_in.start()
  await _until_signal()
  await stand_in.close()
  await clock.close()


def _daemon(path: str, section: str, runner):
  conf = _load(path)
  if getattr(conf, section) is None:
    raise click.ClickException(
        f"E{400} SETTINGS_MISSING: [{section}] is required in {path}"
    )
  logs.setup(conf.process.name, conf.process.log_level)
  eventloop.run(runner, conf)
  daemonsignals.begin_exit()


@click.group()
def main():
  """fescueturn: a dispatcher of sub-second tasks."""


@main.command("entry")
@click.option("--settings", "path", required=True, help="INI settings file.")
def entry_command(path):
  """Run an entry host, which serves callers (HTTP) and peers (Cap'n Proto)."""
  _daemon(path, "entry", _run_entry)


@main.command("endpoint")
@click.option("--settings", "path", required=True, help="INI settings file.")
def endpoint_command(path):
  """Run an endpoint stand-in (speller, uplift-orders)."""
  _daemon(path, "endpoint", _run_endpoint)


@main.command("platform")
@click.option("--settings", "path", required=True, help="INI settings file.")
def platform_command(path):
  """Run the platform stand-in: key-value store and host list."""
  _daemon(path, "platform", _run_platform)


@main.group()
def config():
  """Read, check and write the team settings stored in the platform."""


@config.command("check")
@click.argument("file", type=click.File())
def config_check(file):
  """Check a team's INI settings without writing them."""
  try:
    checked = teamconfig.check(file.read())
  except errors.SettingsError as exc:
    _refuse(exc)
  click.echo(f"ok {checked}")


@config.command("get")
@click.option("--platform", required=True, help="host:port of the platform.")
@click.argument("team")
def config_get(platform, team):
  """Print a team's settings and their revision."""
  stored = _with_platform(platform, lambda kv: teamconfig.get(kv, team))
  click.echo(f"# revision {stored.revision}")
  click.echo(stored.text, nl=False)


@config.command("put")
@click.option("--platform", required=True, help="host:port of the platform.")
@click.option(
    "--expect",
    type=int,
    default=0,
    show_default=True,
    help="Revision to replace; 0 for a new team.",
)
@click.argument("team")
@click.argument("file", type=click.File())
def config_put(platform, expect, team, file):
  """Check a team's settings and write them if still at revision --expect."""
  text = file.read()

  revision = _with_platform(
      platform, lambda kv: teamconfig.put(kv, team, text, expect)
  )
  click.echo(f"ok revision {revision}")


@main.command("dump")
@click.argument("address")
def dump_command(address):
  """Print the state of a running daemon at host:port."""
  response = _with_daemon(
      address, lambda pool: pool.request("GET", "/dump", timeout_s=5)
  )
  click.echo(json.dumps(response.json(), indent=2, sort_keys=True))


@main.command("emulate")
@click.option("--seed", default=1, show_default=True, help="Random seed.")
@click.option(
    "--seconds", default=30.0, show_default=True, help="Duration of the load."
)
@click.option(
    "--jobs-per-s", default=70.0, show_default=True, help="Overall rate."
)
@click.option("--data-centres", default=3, show_default=True)
@click.option("--hosts", default=2, show_default=True, help="Per data centre.")
@click.option(
    "--endpoints", default=8, show_default=True, help="Per data centre."
)
def emulate_command(**options):
  """Simulate a seeded load on an emulated fleet, in virtual time."""
  report = load.simulate(load.Plan(**options))
  click.echo("kind    asked in_time  late refused failed  p50_ms  p99_ms")
  for kind in report.kinds:
    click.echo(
        f"{kind.kind:7s} {kind.asked:5d} {kind.in_time:7d} {kind.late:5d}"
        f" {kind.refused:7d} {kind.failed:6d} {kind.p50_ms:7.1f}"
        f" {kind.p99_ms:7.1f}"
    )
  click.echo(f"starts={report.starts} stops={report.stops}")
  for line in report.broken:
    click.echo(f"broken: {line}")


@main.command("explain")
@click.argument("request_id")
@click.argument("files", nargs=-1, type=click.File())
def explain_command(request_id, files):
  """Print a request's timeline from hosts' log FILES (or standard input)."""
  sources = files or (click.get_text_stream("stdin"),)
  lines = [line for source in sources for line in source]
  timeline = explain.request_timeline(lines, request_id)
  if not timeline:
    _refuse(errors.NotLoggedError(f"no log line mentions {request_id}"))
  for line in timeline:
    click.echo(f"{line.at} {line.host}: {line.describe()}")


@main.command("submit")
@click.option(
    "--entry", "address", required=True, help="host:port of an entry host."
)
@click.option(
    "--key", default=None, help="Idempotency-Key; default: the job id."
)
@click.argument("file", type=click.File())
def submit_command(address, key, file):
  """Submit a JSON job and print its answer."""
  data = file.read().encode()
  try:
    job_key = key or str(json.loads(data)["job_id"])
  except (ValueError, KeyError, TypeError) as exc:
    raise click.ClickException(f"{file.name}: no job_id: {exc!r}") from exc
  headers = (
      ("content-type", "application/json"),
      ("idempotency-key", job_key),
  )
  response = _with_daemon(
      address,
      lambda pool: pool.request(
          "POST", "/v1/jobs", data, headers, timeout_s=SUBMIT_TIMEOUT_S
      ),
  )
  click.echo(json.dumps(response.json(), indent=2))
  if response.status != 200:
    sys.exit(EXIT_REFUSED)


@main.command("cancel")
@click.option(
    "--entry", "address", required=True, help="host:port of an entry host."
)
@click.option("--team", required=True, help="The job's team.")
@click.argument("key")
def cancel_command(address, team, key):
  """Cancel the job that has this Idempotency-Key and print its answer."""
  result = _with_daemon(address, lambda pool: caller.cancel(pool, team, key))
  click.echo(json.dumps(result.body, indent=2))
  if result.answer is None:
    sys.exit(EXIT_REFUSED)


@main.command("demo")
@click.option(
    "--jobs", "per_team", default=20, show_default=True, help="Jobs per team."
)
@click.option(
    "--max-tasks", default=30, show_default=True, help="Maximum tasks per job."
)
@click.option("--seed", default=1, show_default=True, help="Workload seed.")
def demo_command(per_team, max_tasks, seed):
  """Start one data centre on loopback, run both teams' jobs and report."""
  logs.setup("demo", "WARNING")
  sys.exit(demo.main(per_team, max_tasks, seed))


@main.group("bench")
def bench_group():
  """Benchmarks, not tests: jobs under faults, and the cost of decisions."""


@bench_group.command("faults")
@click.option(
    "--out",
    default="bench-faults.json",
    show_default=True,
    help="File that the result rows are written to.",
)
@click.argument("names", nargs=-1)
def bench_faults(out, names):
  """Run jobs under injected faults (all scenarios, or those in NAMES)."""
  unknown = [n for n in names if n not in faultbench.SCENARIOS]
  if unknown:
    raise click.ClickException(
        f"unknown scenario {unknown[0]!r}; choose from"
        f" {', '.join(faultbench.SCENARIOS)}"
    )
  logs.setup("bench", "WARNING")
  chosen = list(names or faultbench.SCENARIOS)
  click.echo(faultbench.report(faultbench.run(out, chosen)))


@bench_group.command("placing")
@click.option("--endpoints", default=59, show_default=True)
@click.option("--tasks", default=20_000, show_default=True)
def bench_placing(endpoints, tasks):
  """Measure the cost of choosing an endpoint for a task, without I/O."""
  costs = placingbench.measure(endpoints, tasks)
  for field, value in dataclasses.asdict(costs).items():
    click.echo(f"{field}={value:.1f}")


@bench_group.command("hotpath")
@click.option("--seconds", default=4.0, show_default=True)
@click.option("--jobs-per-s", default=430.0, show_default=True)
@click.option("--hosts", default=13, show_default=True, help="Per data centre.")
@click.option(
    "--endpoints", default=59, show_default=True, help="Per data centre."
)
def bench_hotpath(**options):
  """Measure the cost per job of decisions and log lines, in virtual time."""
  costs = hotpath.measure(load.Plan(**options))
  for field, value in dataclasses.asdict(costs).items():
    click.echo(f"{field}={value:.1f}")
