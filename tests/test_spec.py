"""Model-checks spec/*.pml with spin.

Each protocol must hold, and each mutant, which lacks one of its rules, must
violate a given assertion.
"""

import math
import pathlib
import shutil
import subprocess

import pytest

from fescueturn.scheduler import timebudget
from tests import test_timebudget

SPECS = pathlib.Path(__file__).parent.parent / "spec"
# Assertions of the models, as spin prints them when they are violated.
ONE_RUN = "!(running["
NONE_LEFT = "( !(running[0])&& !(running[1]))"
ONE_DATA_CENTRE = "!(running[(1-s)])"
MORE_STARTS = "((starts<5)||sound)"
ONE_ENDPOINT = "]==255)"
ONE_TOKEN = "((user[granted[me]]==0)||(user[granted[me]]==(me+1)))"
NO_COPY = "( !(has)&&(coming==0))"
WANTED = "(open||withdrawing)"
SERVED = "((serving[0]||serving[1])||serving[2])"
STARTS_TWICE = "assertion violated (starts<=1)"
OUTLIVED = "( !(running)||(now<"
RUNS_OVERLAP = "assertion violated  !(run"
# A step of time of `takeover.pml` (s).
TAKEOVER_STEP_S = 0.5
# A step of time of `lifetime.pml` (s).
STEP_S = 0.1


def check(tmp_path, spec, *defines):
  """Verifies one model, built with `defines`; returns spin's output."""
  assert shutil.which("spin"), "spin is not installed (.ci/run installs it)"
  shutil.copy(SPECS / spec, tmp_path / spec)

  def run(*command):
    return subprocess.run(
        command, cwd=tmp_path, check=True, capture_output=True, text=True
    ).stdout

  run("spin", "-a", *defines, spec)
  run("gcc", "-w", "-O2", "-DSAFETY", "-DCOLLAPSE", "-o", "pan", "pan.c")
  return run("./pan", "-m1000000", "-n")


@pytest.mark.parametrize(
    ("spec", "defines"),
    [
        ("claims.pml", ["-DJOINS=0"]),  # With a failing host.
        ("claims.pml", ["-DFAILURES=0"]),  # With a joining host.
        ("answer.pml", []),
        ("settings.pml", []),
        ("shards.pml", []),
        ("kept.pml", []),
        ("moves.pml", []),
        ("losses.pml", []),
        ("starts.pml", []),
        ("succession.pml", []),
        ("offers.pml", []),
        ("steps.pml", []),
    ],
)
def test_protocol_holds(tmp_path, spec, defines):
  out = check(tmp_path, spec, *defines)
  assert "errors: 0" in out
  assert "Full statespace search" in out
  assert "max search depth too small" not in out


def lifetime_delays() -> dict[str, int]:
  """Returns the delays of `lifetime.pml`, in steps of time."""
  chain = timebudget.abandoned_run(test_timebudget.CALLERS_RETURN_S)
  silence, *lease = (link.seconds for link in chain.links)
  return {
      "SILENCE": math.ceil(silence / STEP_S),
      "LEASE": math.ceil(sum(lease) / STEP_S),
      "RETURN": math.floor(chain.limit_s / STEP_S),
  }


def define_lifetime(**changes: int) -> list[str]:
  delays = lifetime_delays() | changes
  return [f"-D{name}={steps}" for name, steps in delays.items()]


def test_no_run_is_active_when_its_caller_is_back(tmp_path):
  out = check(tmp_path, "lifetime.pml", *define_lifetime())
  assert "errors: 0" in out
  assert "max search depth too small" not in out


@pytest.mark.parametrize("name", ["SILENCE", "LEASE", "RETURN"])
def test_longer_delay_lets_a_run_outlive_its_callers_return(tmp_path, name):
  change = -1 if name == "RETURN" else 1
  delays = define_lifetime(**{name: lifetime_delays()[name] + change})
  out = check(tmp_path, "lifetime.pml", *delays)
  assert "errors: 1" in out
  assert OUTLIVED in out


@pytest.mark.parametrize(
    "mutant",
    [
        "UNREAD_CLOSE",
        "PING_WITHOUT_LOOK",
        "AGE_FROM_READING",
        "FIRST_AGE",
        "OFFER_UNSERVED",
        "RENEW_SILENT",
        "RENEW_BESIDE",
        "RENEW_UNKNOWN",
        "NO_START_DEADLINE",
        "NO_RENEWAL_END",
        "NO_FENCE",
        "SUSPENDED",
    ],
)
def test_rule_of_lifetimes_is_needed(tmp_path, mutant):
  out = check(tmp_path, "lifetime.pml", f"-D{mutant}", *define_lifetime())
  assert "errors: 1" in out
  assert OUTLIVED in out


def takeover_delays() -> dict[str, int]:
  """Returns the delays of `takeover.pml`, in steps of time."""
  chain = timebudget.cut_off_kept_run()
  confirm, *rest = (link.seconds for link in chain.links)
  return {
      "CONFIRM": math.ceil(confirm / TAKEOVER_STEP_S),
      "LEASE": math.ceil(sum(rest) / TAKEOVER_STEP_S),
      "WAIT": math.floor(chain.limit_s / TAKEOVER_STEP_S),
  }


def define_takeover(**changes: int) -> list[str]:
  delays = takeover_delays() | changes
  return [f"-D{name}={steps}" for name, steps in delays.items()]


def test_no_task_runs_twice_when_another_data_centre_takes_over(tmp_path):
  out = check(tmp_path, "takeover.pml", *define_takeover())
  assert "errors: 0" in out
  assert "max search depth too small" not in out


@pytest.mark.parametrize("name", ["CONFIRM", "LEASE", "WAIT"])
def test_longer_delay_lets_a_run_overlap_a_takeover(tmp_path, name):
  delays = takeover_delays()
  spare = delays["WAIT"] - delays["CONFIRM"] - delays["LEASE"]
  assert spare >= 0
  change = spare + 1
  steps = delays[name] + (-change if name == "WAIT" else change)
  out = check(tmp_path, "takeover.pml", *define_takeover(**{name: steps}))
  assert "errors: 1" in out
  assert RUNS_OVERLAP in out


@pytest.mark.parametrize(
    ("mutant", "broken"),
    [
        ("NO_STOP", RUNS_OVERLAP),
        ("ANY_ANSWER", RUNS_OVERLAP),
        ("NO_WAIT", RUNS_OVERLAP),
        ("NO_HEAD", RUNS_OVERLAP),
        ("CLAIMS_FIRST", RUNS_OVERLAP),
        ("KEEP_JOB", RUNS_OVERLAP),
        ("FROZEN_OLD", RUNS_OVERLAP),
        ("RENEW_BESIDE", RUNS_OVERLAP),
        ("NO_LAPSE", "!((again&& !(lapsed)))"),
    ],
)
def test_rule_of_takeovers_is_needed(tmp_path, mutant, broken):
  out = check(tmp_path, "takeover.pml", f"-D{mutant}", *define_takeover())
  assert "errors: 1" in out
  assert broken in out


@pytest.mark.parametrize(
    ("spec", "mutant", "broken"),
    [
        ("claims.pml", "-DNO_CLAIM", STARTS_TWICE),
        ("claims.pml", "-DNO_SYNC", STARTS_TWICE),
        ("claims.pml", "-DONE_HOLDER", STARTS_TWICE),
        ("answer.pml", "-DRETRY_LOST", "(starts[t]<=1)"),
        ("answer.pml", "-DGUESS", "(starts[t]==0)"),
        ("answer.pml", "-DPARTIAL", "!(complete)"),
        ("shards.pml", "-DNO_FENCE", ONE_RUN),
        ("shards.pml", "-DNO_SETTLE", ONE_RUN),
        ("shards.pml", "-DNO_SILENCE", NONE_LEFT),
        ("shards.pml", "-DNO_STOP", ONE_RUN),
        ("shards.pml", "-DLONG_LEASE", NONE_LEFT),
        ("shards.pml", "-DANY_TOLD", ONE_RUN),
        ("kept.pml", "-DNO_HEAD", "!(forgotten["),
        ("kept.pml", "-DREAD_FIRST", "( !(accepted)||(seen!=0))"),
        ("kept.pml", "-DFORGET_FIRST", "!(forgotten["),
        ("kept.pml", "-DACCEPT_FIRST", "( !(accepted)||(seen!=0))"),
        ("moves.pml", "-DNO_HEAD", ONE_DATA_CENTRE),
        ("moves.pml", "-DMOVE_RUNNING", ONE_DATA_CENTRE),
        ("moves.pml", "-DMOVE_UNREPORTED", ONE_DATA_CENTRE),
        ("moves.pml", "-DSTALE_LIST", ONE_DATA_CENTRE),
        ("moves.pml", "-DGUESS", ONE_DATA_CENTRE),
        ("losses.pml", "-DNO_STORE", MORE_STARTS),
        ("losses.pml", "-DNO_HOLD", MORE_STARTS),
        ("losses.pml", "-DSAME_LIMIT", MORE_STARTS),
        ("losses.pml", "-DCOUNT_CUTS", "!(sound)"),
        ("losses.pml", "-DNO_PROBE", "!(sound)"),
        ("losses.pml", "-DSURE_ONLY", MORE_STARTS),
        ("starts.pml", "-DLAST_COPY", ONE_ENDPOINT),
        ("starts.pml", "-DNO_STOP", ONE_ENDPOINT),
        ("starts.pml", "-DNO_EXPIRY", ONE_ENDPOINT),
        ("succession.pml", "-DANY_NUMBER", "(revision>highest)"),
        ("succession.pml", "-DSTALE_CLAIM", ONE_TOKEN),
        ("succession.pml", "-DSAME_NUMBER", ONE_TOKEN),
        ("succession.pml", "-DREREAD", ONE_TOKEN),
        ("succession.pml", "-DDROP_RELEASED", SERVED),
        ("succession.pml", "-DNO_HOST", SERVED),
        ("offers.pml", "-DNO_NUMBER", NO_COPY),
        ("offers.pml", "-DPER_JOB", NO_COPY),
        ("offers.pml", "-DKEEP", WANTED),
        ("offers.pml", "-DONCE", WANTED),
        ("offers.pml", "-DOLD_LINK", WANTED),
        ("steps.pml", "-DADOPT_WAITING", ONE_RUN),
        ("steps.pml", "-DNO_REPORT", ONE_RUN),
        ("steps.pml", "-DNO_STORE", "!((kept&&acknowledged["),
        ("settings.pml", "-DNO_CAS", "base_of[revision]==(revision-1)"),
        ("settings.pml", "-DNO_MONOTONIC", "applied[h]>=highest[h]"),
    ],
)
def test_mutant_is_refuted(tmp_path, spec, mutant, broken):
  out = check(tmp_path, spec, mutant)
  assert "errors: 1" in out
  violated = next(x for x in out.splitlines() if "assertion violated" in x)
  assert broken in violated
