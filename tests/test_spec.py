"""Model checking of spec/core.pml with spin; each mutant must be refuted."""

import pathlib
import shutil
import subprocess

import pytest

SPEC = pathlib.Path(__file__).parent.parent / "spec" / "core.pml"


def check(tmp_path, *defines):
  assert shutil.which("spin"), "spin is not installed (.ci/run installs it)"
  spec = tmp_path / "core.pml"
  shutil.copy(SPEC, spec)
  subprocess.run(
      ["spin", "-a", *defines, spec.name],
      cwd=tmp_path,
      check=True,
      capture_output=True,
  )
  subprocess.run(
      ["gcc", "-O2", "-o", "pan", "pan.c"],
      cwd=tmp_path,
      check=True,
      capture_output=True,
  )
  run = subprocess.run(
      ["./pan"], cwd=tmp_path, capture_output=True, text=True, check=False
  )
  trail = ""
  if (tmp_path / "core.pml.trail").exists():
    trail = subprocess.run(
        ["spin", "-t", *defines, spec.name],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        check=False,
    ).stdout
  return run.stdout, trail


def test_protocol_holds(tmp_path):
  out, _ = check(tmp_path)
  assert "errors: 0" in out
  assert "Full statespace search" in out


@pytest.mark.parametrize(
    ("mutant", "broken"),
    [
        ("-DNO_FENCE", "assert((starts[t]<=1))"),
        ("-DNO_REPLICA", "assert((starts[t]<=1))"),
        ("-DNO_MONOTONIC", "assert((applied>=highest))"),
    ],
)
def test_mutant_is_refuted(tmp_path, mutant, broken):
  out, trail = check(tmp_path, mutant)
  assert "errors: 1" in out
  assert broken in trail
