"""Draws days for the users' bench: troubles of any kind, many at once, under load.

Hunts give a deployment its own troubles at its own load. These days take a few
kinds each, in any form, in pairs 0.03 to 0.7 s apart, beside a load above the usual.

    python3 -m tests.drawdays --first 9000 --days 40 --out DIR
"""

import pathlib
import random

import click

LENGTH_S = 30.0
# When the first trouble begins, and how long before the end the last one may (s).
FIRST_S = 2.0
QUIET_END_S = 4.0
# A tuple is a range to draw from, a list holds the values to choose from.
FAULTS = {
    "burst": {"x": (1.2, 2.2), "for_s": (2, 10)},
    "give_up": {
        "share": (0.1, 0.6),
        "x": (100, 600),
        "for_s": (2, 8),
        "how": ["", "once", "prompt"],
    },
    "srv_crash": {
        "share": (0.1, 0.4),
        "for_s": (1, 6),
        "how": ["", "dark", "gone", "domain", "rack"],
    },
    "srv_slow": {"share": (0.1, 0.5), "x": (2, 8), "for_s": (2, 8)},
    "srv_grey": {
        "share": (0.1, 0.4),
        "x": (0.1, 0.7),
        "for_s": (2, 8),
        "how": ["errors", "shed", "busy", "hang", "reset", "mute", "slow"],
    },
    "answer_lost": {"share": (0.2, 0.8), "x": (0.02, 0.3), "for_s": (2, 8)},
    "node_kill": {
        "share": (0.1, 0.5),
        "for_s": (0.5, 3),
        "how": ["", "power", "leader", "giver", "renewed"],
    },
    "node_freeze": {
        "share": (0.2, 0.8),
        "for_s": (0.2, 2.5),
        "how": ["", "renewed", "giver", "leader", "giver race", "renewed race"],
    },
    "node_slow": {"share": (0.2, 0.6), "x": (3, 10), "for_s": (2, 6)},
    "herd_kill": {
        "share": (0.3, 0.9),
        "for_s": (0.5, 2.0),
        "how": ["", "power"],
    },
    "replace_core": {"x": (0.3, 2.0), "how": ["", "planned"]},
    "zone_cut": {"for_s": (0.4, 5.0)},
    "core_cut": {
        "count": (1, 4),
        "for_s": (0.4, 5.0),
        "how": ["", "leader race", "split", "all", "near", "one_way", "both"],
    },
    "node_cut": {
        "share": (0.1, 0.5),
        "for_s": (0.4, 5.0),
        "how": ["", "all", "servers", "servers reborn", "one_way", "reset"],
    },
    "srv_cut": {
        "share": (0.2, 0.5),
        "x": (0.2, 0.6),
        "for_s": (0.6, 6.0),
        "how": ["", "fronts", "some", "some lossy", "one_way", "reborn"],
    },
    "platform_down": {
        "share": (0.2, 0.6),
        "for_s": (0.4, 5.0),
        "how": ["silent", "busy", "reset", "nodes", "nodes revoke", "lapse"],
    },
    "platform_slow": {"x": (10, 120), "for_s": (1, 5)},
    "platform_lost": {"x": (0.1, 0.7), "for_s": (1, 5), "how": ["", "late"]},
    "platform_compact": {"x": (0.5, 4.0), "how": ["", "drain"]},
    "applied_late": {
        "x": (0.05, 0.4),
        "for_s": (1, 6),
        "how": ["orders", "grants", "all"],
    },
    "clock_step": {
        "share": (0.2, 0.7),
        "x": (500, 5000),
        "for_s": (2, 6),
        "how": ["", "back", "ahead"],
    },
    "reset_conns": {"share": (0.2, 0.9), "x": (0.3, 1.0), "for_s": (1, 3)},
    "hup": {"share": (0.2, 0.8)},
    "poison": {"share": (0.02, 0.1), "for_s": (2, 6)},
    "config_storm": {"gap_s": (0.3, 1.0), "for_s": (2, 6)},
}
PLANNED = {
    "release": {"share": (0.1, 0.4), "gap_s": (0.3, 1.0)},
    "scale_in": {"share": (0.1, 0.3), "how": ["", "spot", "reclaim"]},
    "roll_term": {
        "share": (0.4, 1.0),
        "x": (1, 2),
        "gap_s": (0.4, 1.5),
        "how": ["", "busy", "leader", "starter"],
    },
    "config_change": {"how": ["route", "timeout"]},
}
# Each day has some of these.
FREQUENT = (
    "applied_late",
    "burst",
    "core_cut",
    "node_cut",
    "node_freeze",
    "node_kill",
    "node_slow",
    "platform_down",
    "reset_conns",
    "srv_cut",
)
# Kinds that take hosts of the system rather than endpoints.
OF_HOSTS = ("node_freeze", "node_kill")


def _value(rng: random.Random, choices):
  if isinstance(choices, list):
    return rng.choice(choices)
  low, high = choices
  if isinstance(low, int) and isinstance(high, int):
    return rng.randint(low, high)
  return round(rng.uniform(low, high), 2)


def _entry(rng: random.Random, kind: str, at: float, fields) -> dict:
  entry = {"kind": kind, "at": round(at, 3)}
  entry |= {name: _value(rng, choices) for name, choices in fields.items()}
  if kind in OF_HOSTS:
    entry["on"] = "core"
  return {name: value for name, value in entry.items() if value != ""}


def _line(entry: dict) -> str:
  pairs = (
      f'{name} = "{value}"' if isinstance(value, str) else f"{name} = {value}"
      for name, value in entry.items()
  )
  return "  { " + ", ".join(pairs) + " },\n"


def draw(seed: int) -> str:
  """Returns a day file as text; the same seed gives the same day."""
  rng = random.Random(seed)
  load = round(rng.uniform(1.0, 2.0), 2)
  faults = [
      {"kind": "burst", "at": 1.0, "x": load, "for_s": LENGTH_S - QUIET_END_S}
  ]
  plan = []
  kinds = rng.sample(sorted(FAULTS), rng.randint(3, 6))
  kinds += [kind for kind in rng.sample(FREQUENT, 2) if kind not in kinds]
  at = FIRST_S
  while at < LENGTH_S - QUIET_END_S:
    for _ in range(rng.choice((1, 2, 2, 3))):
      kind = rng.choice(kinds)
      faults.append(_entry(rng, kind, at, FAULTS[kind]))
      at += rng.uniform(0.03, 0.7)
    if rng.random() < 0.3:
      kind = rng.choice(sorted(PLANNED))
      plan.append(_entry(rng, kind, at, PLANNED[kind]))
    at += rng.uniform(0.8, 4.0)
  return (
      f'name = "drawn-{seed}"\nlength_s = {LENGTH_S}\n'
      f"faults = [\n{''.join(map(_line, faults))}]\n"
      f"plan = [\n{''.join(map(_line, plan))}]\n"
  )


@click.command()
@click.option("--first", default=1, help="seed of the first day")
@click.option("--days", default=40, help="how many days")
@click.option("--out", required=True, type=click.Path(path_type=pathlib.Path))
def main(first: int, days: int, out: pathlib.Path):
  """Writes day files for the bench, one a seed."""
  out.mkdir(parents=True, exist_ok=True)
  for seed in range(first, first + days):
    (out / f"drawn-{seed}.toml").write_text(draw(seed))


if __name__ == "__main__":
  main()
