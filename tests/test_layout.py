"""Checks the dependency rule between the package's layers.

Decision code must not import adapters, stand-ins or tools.
"""

import ast
import pathlib
import re

import pytest

PACKAGE = pathlib.Path(__file__).resolve().parent.parent / "fescueturn"
# The layers, each with the others that it may import besides the base modules,
# which are the layer "".
LAYERS = {
    "": set(),
    "scheduler": set(),
    "platform": {"scheduler"},
    "emulator": {"scheduler"},
    # The platform's stand-in implements the platform's HTTP interface.
    "standins": {"platform"},
    "lab": {"standins", "emulator", "scheduler", "platform"},
}
# The command line may import every layer.
UNRESTRICTED = {"cli.py", "__main__.py"}


def layer_of(module: str) -> str:
  parts = module.split(".")
  return parts[1] if len(parts) > 1 and parts[1] in LAYERS else ""


def imported(path: pathlib.Path) -> set[str]:
  modules = set()
  for node in ast.walk(ast.parse(path.read_text())):
    if isinstance(node, ast.ImportFrom) and node.module:
      modules.add(node.module)
      modules.update(f"{node.module}.{alias.name}" for alias in node.names)
    elif isinstance(node, ast.Import):
      modules.update(alias.name for alias in node.names)
  return {name for name in modules if name.startswith("fescueturn")}


def test_layers_import_only_allowed_layers():
  violations = []
  for path in PACKAGE.rglob("*.py"):
    relative = path.relative_to(PACKAGE)
    if str(relative) in UNRESTRICTED:
      continue
    layer = relative.parts[0] if len(relative.parts) > 1 else ""
    for module in imported(path):
      other = layer_of(module)
      if other and other != layer and other not in LAYERS[layer]:
        violations.append(f"{relative} imports {module}")
  assert violations == []


def test_every_layer_is_packaged():
  listed = (PACKAGE.parent / "pyproject.toml").read_text()
  for layer in LAYERS:
    name = f"fescueturn.{layer}" if layer else "fescueturn"
    assert f'"{name}"' in listed


def test_only_the_adapter_contains_names_of_the_platform():
  platform_names = ("minion", "phases", "bestEffort", "fencingToken", "kv-txn")
  for path in PACKAGE.rglob("*.py"):
    if "platform" in path.relative_to(PACKAGE).parts[:1]:
      continue
    text = path.read_text()
    assert not [name for name in platform_names if name in text], path


@pytest.mark.parametrize("folder", ["scheduler", "scheduler/decisions"])
def test_developers_page_names_every_module_of_the_scheduler(folder):
  page = (PACKAGE.parent / "docs" / "DEVELOPERS.md").read_text()
  (row,) = re.findall(rf"^\| `{folder}/` \|.*$", page, re.MULTILINE)
  modules = {path.stem for path in (PACKAGE / folder).glob("*.py")}
  assert set(re.findall(r"`(\w+)`", row)) == modules - {"__init__"}
