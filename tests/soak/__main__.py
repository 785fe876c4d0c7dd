"""Command line of the soak: ``python3 -m tests.soak --help``."""

import contextlib
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
from concurrent import futures

import click
import curio

from tests import deployments
from tests.soak import checks
from tests.soak import run as run_lib

REGRESSIONS = pathlib.Path(__file__).with_name("regressions.txt")
_MODES = ("lossy", "partitions", "pauses", "leaving", "silent", "centres")
_BUSY = """
import os, sys
while os.getppid() == int(sys.argv[1]):
  sum(range(100_000))
"""


@click.command()
@click.option("--seed", type=int, help="First seed; a fresh one by default.")
@click.option("--seconds", default=20.0, help="How long faults begin.")
@click.option("--seeds", default=1, help="Number of consecutive seeds.")
@click.option("--size", default=1, help="Fleet, as a multiple of 4 hosts.")
@click.option("--at-once", default=1, help="Number of soaks at a time.")
@click.option("--lossy", is_flag=True, help="Only lossy paths, and bursts.")
@click.option("--partitions", is_flag=True, help="Only partitions, and kills.")
@click.option("--pauses", is_flag=True, help="Pauses, kills and an overload.")
@click.option(
    "--leaving", is_flag=True, help="Many callers leave, in any mode."
)
@click.option(
    "--silent", is_flag=True, help="Silent connections too, in any mode."
)
@click.option(
    "--centres", is_flag=True, help="Whole data centres are cut off or lost."
)
@click.option("--beside", default="", help="Another checkout that hosts run.")
@click.option("--busy", default=0, help="Number of busy processes beside it.")
@click.option("--regressions", is_flag=True, help="Run the kept seeds.")
@click.option("--quiet", is_flag=True, help="Print the verdict only.")
@click.option(
    "--keep",
    default="soak-findings",
    type=click.Path(path_type=pathlib.Path),
    help="Where the folders of failed seeds go.",
)
def main(
    seed,
    seconds,
    seeds,
    size,
    at_once,
    lossy,
    partitions,
    pauses,
    leaving,
    silent,
    centres,
    beside,
    busy,
    regressions,
    quiet,
    keep,
):
  """Soaks the real programs and prints which promises held."""
  signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))
  if seed is None:
    seed = random.SystemRandom().randrange(1_000_000)
  numbers = range(seed, seed + seeds)
  modes = lossy, partitions, pauses, leaving, size, silent, beside, centres
  plans = [run_lib.Plan(number, seconds, *modes) for number in numbers]
  if regressions:
    plans = read_regressions()
  with _busy_processes(busy):
    if len(plans) == 1:
      sys.exit(_run_here(plans[0], keep, quiet))
    sys.exit(_run_all(plans, keep, at_once))


def read_regressions() -> list[run_lib.Plan]:
  """Returns the plans of the seeds that ever failed."""
  plans = []
  for line in REGRESSIONS.read_text().splitlines():
    if line and not line.startswith("#"):
      seed, seconds, mode, *_ = line.split()
      modes = [name in mode.split("-") for name in _MODES]
      *modes, silent, centres = modes
      plan = run_lib.Plan(
          int(seed), float(seconds), *modes, silent=silent, centres=centres
      )
      plans.append(plan)
  return plans


@contextlib.contextmanager
def _busy_processes(count: int):
  """Runs processes that only compute; they end with this one in any case."""
  command = [sys.executable, "-c", _BUSY, str(os.getpid())]
  processes = []
  try:
    for _ in range(count):
      processes.append(subprocess.Popen(command))
    yield processes
  finally:
    for process in processes:
      process.kill()
      process.wait()


def _run_here(plan: run_lib.Plan, keep: pathlib.Path, quiet: bool) -> int:
  directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{plan.seed}-"))
  echo = (lambda line: None) if quiet else click.echo
  failed = True
  try:
    verdict = curio.run(run_lib.run, plan, directory, echo)
    click.echo(format_verdict(plan, verdict))
    failed = bool(verdict.violations)
  finally:
    if failed:
      keep.mkdir(parents=True, exist_ok=True)
      kept = keep / "-".join([str(plan.seed), *_modes(plan)])
      shutil.rmtree(kept, ignore_errors=True)
      shutil.move(directory, kept)
      click.echo(f"kept {kept}")
    else:
      shutil.rmtree(directory)
  return int(failed)


def _modes(plan: run_lib.Plan) -> list[str]:
  chosen = plan.lossy_only, plan.partitions, plan.pauses, plan.leaving
  chosen += plan.silent, plan.centres
  return [
      mode for mode, is_chosen in zip(_MODES, chosen, strict=True) if is_chosen
  ]


def format_verdict(plan: run_lib.Plan, verdict: checks.Verdict) -> str:
  lines = [f"seed {plan.seed}: {'FAILED' if verdict.violations else 'passed'}"]
  for promise, count in verdict.tested.items():
    risk = f"put to the test {count} times" if count else "never at risk"
    lines.append(f"  {promise}: {risk}")
  lines.append(
      f"  the hosts waited {verdict.waited:.0%} of the time that they wanted a"
      f" processor; load {os.getloadavg()[0]:.0f}"
  )
  lines += [f"  BROKEN {violation}" for violation in verdict.violations]
  return "\n".join(lines)


def _run_all(plans, keep: pathlib.Path, at_once: int) -> int:
  def run(plan):
    command = [sys.executable, "-m", "tests.soak", "--quiet"]
    command += ["--seed", str(plan.seed), "--seconds", str(plan.seconds)]
    command += ["--keep", str(keep.resolve()), "--size", str(plan.size)]
    command += [f"--{mode}" for mode in _modes(plan)]
    command += ["--beside", plan.beside]
    return subprocess.run(command, cwd=deployments.ROOT, check=False).returncode

  with futures.ThreadPoolExecutor(at_once) as pool:
    codes = list(pool.map(run, plans))
  failed = [p.seed for p, code in zip(plans, codes, strict=True) if code]
  click.echo(f"{len(plans)} seeds, {len(failed)} failed: {failed}")
  return int(bool(failed))


if __name__ == "__main__":
  main()
