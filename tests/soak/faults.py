"""The faults of a soak: a schedule drawn from the seed.

Faults of one kind come in series of their own, so that those of different
kinds overlap.
"""

import dataclasses
import random

from tests.soak import cluster as cluster_lib

# No fault begins sooner.
FIRST_S = 1.0
_PATH_KINDS = "delay reset silence cut_up cut_down refuse hang".split()
HOST_KINDS = (
    "terminate terminate kill kill pause terminate_kill pause_kill"
    " pause_terminate reload"
).split()
_STORE_KINDS = (
    "store_down store_delay store_cut_down store_late store_silence store_reset"
    " config config config config_old"
).split()


_STORE_TROUBLES = "store_down store_delay store_cut_down store_silence".split()
PARTITION = "store_partition"
UPGRADE = "upgrade"
_MUTE_KINDS = "mute mute peers_mute store_mute".split()
# Within this time hosts give a silent connection up, and open another one.
_GIVEN_UP_S = 3.0
# Jobs a second with which a burst asks for about as much as all endpoints of the
# smallest fleet have.
FULL_JOBS_PER_S = 45
# Pauses that outlast the silence after which a holder counts as lost, not its lease.
_SHORT_PAUSE_S = (0.3, 0.8)
_LONG_PAUSE_S = (1.0, 3.0)
_PAUSE_GAP_S = (0.05, 0.6)


@dataclasses.dataclass(frozen=True)
class Fault:
  """One entry of a schedule, which begins `at` seconds after the start.

  It concerns the numbered hosts and endpoints; the amount is a share, a delay
  (s), a clock (ms) or a number of jobs, by kind.
  """

  at: float
  kind: str
  hosts: tuple[int, ...] = ()
  slots: tuple[int, ...] = ()
  for_s: float = 0.0
  amount: float = 0.0

  def disturbs_reads(self, site: cluster_lib.Site, slot: int) -> bool:
    """Returns whether hosts of an endpoint may not read the store in time."""
    near = any(site.are_near(host, slot) for host in self.hosts)
    disturbs = near and self.kind.startswith(("store", "pause"))
    return disturbs or self.kind == "store_down"


def schedule(
    seed: int,
    length_s: float,
    lossy_only: bool,
    partitions: bool = False,
    pauses: bool = False,
    size: int = 1,
    silent: bool = False,
    upgrade: bool = False,
    centres: bool = False,
) -> list[Fault]:
  site = cluster_lib.Site(size)
  draws = [(0.8, _path_fault), (2.5, _host_fault)]
  draws += [(3.5, _slot_fault), (3.0, _store_fault)]
  later = [(4.0, _burst)]
  if lossy_only:
    draws = [(2.0, _lossy)]
  elif partitions:
    draws = [(2.5, _partition), (6.0, _host_fault)]
  elif centres:
    draws = [(5.0, _centre), (6.0, _host_fault)]
  elif pauses:
    draws, later = [(3.0, _host_fault)], [(6.0, _restart)]
  else:
    later += [(3.0, _restart), (3.0, _leave), (5.0, _stops)]
  faults = _series(random.Random(f"{seed}/faults"), draws, site, length_s)
  # With numbers of their own, so that the kept seeds have their faults as well.
  faults += _series(random.Random(f"{seed}/hard load"), later, site, length_s)
  if pauses:
    faults += _pauses(random.Random(f"{seed}/pauses"), site, length_s)
  if silent:
    rng = random.Random(f"{seed}/silent")
    faults += _series(rng, [(1.5, _mute)], site, length_s)
  if upgrade:
    faults.append(_upgrade(random.Random(f"{seed}/upgrade"), site, length_s))
  return sorted(faults, key=lambda fault: fault.at)


def _series(rng, draws, site, length_s: float) -> list[Fault]:
  faults = []
  for mean_s, draw in draws:
    at = FIRST_S
    while (at := at + rng.expovariate(1 / mean_s)) < length_s:
      faults.append(Fault(round(at, 3), *draw(rng, site)))
  return faults


def _pauses(rng, site, length_s: float) -> list[Fault]:
  """Pauses of several hosts in pairs and series, beside a lasting overload."""
  load_s = length_s - FIRST_S
  jobs = int(rng.uniform(1.5, 2.0) * _full_jobs_per_s(site) * load_s)
  faults = [Fault(FIRST_S, "burst", for_s=load_s, amount=jobs)]
  at = FIRST_S
  while (at := at + rng.expovariate(1 / 1.5)) < length_s:
    faults += _paused_group(rng, site, at)
  return faults


def _paused_group(rng, site, at: float) -> list[Fault]:
  hosts = rng.sample(site.hosts, rng.choice((2, 2, 3, len(site.hosts))))
  again = rng.random() < 0.3
  faults = []
  for host in hosts[:1] * 2 if again else hosts:
    bounds = _LONG_PAUSE_S if rng.random() < 0.1 else _SHORT_PAUSE_S
    for_s = rng.uniform(*bounds)
    faults.append(Fault(round(at, 3), "pause", (host,), (), for_s))
    at += rng.uniform(*_PAUSE_GAP_S) + (for_s if again else 0.0)
  return faults


def _full_jobs_per_s(site) -> float:
  return site.size * FULL_JOBS_PER_S / site.run_factor


def _some(rng, numbers) -> tuple[int, ...]:
  count = rng.choice((1, 1, 2, len(numbers)))
  return tuple(sorted(rng.sample(numbers, count)))


def _lossy(rng, site) -> tuple:
  some_hosts = rng.random() < 0.5
  hosts = _some(rng, site.hosts) if some_hosts else site.hosts
  slots = site.slots if some_hosts else _some(rng, site.slots)
  return "lossy", hosts, slots, rng.uniform(1.0, 5.0), rng.uniform(0.1, 0.4)


def _partition(rng, site) -> tuple:
  """A host and an endpoint of its data centre are cut off from all others."""
  host = rng.choice(site.hosts)
  near = [slot for slot in site.slots if site.are_near(host, slot)]
  return PARTITION, (host,), (rng.choice(near),), rng.uniform(1.0, 6.0)


def _centre(rng, site) -> tuple:
  """A data centre is cut off as a whole, or its hosts are lost or stand still."""
  half = site.hosts_per_centre
  hosts = rng.choice((site.hosts[:half], site.hosts[half:]))
  near = [slot for slot in site.slots if site.are_near(hosts[0], slot)]
  # Shorter and longer than until its kept jobs are taken over.
  for_s = rng.choice((rng.uniform(2.0, 8.0), rng.uniform(8.0, 14.0)))
  kind = rng.choice((PARTITION, PARTITION, "kill", "pause"))
  if kind == "kill":
    for_s *= 2  # They are started again after half of the time.
  return kind, tuple(hosts), tuple(near), for_s


def _mute(rng, site) -> tuple:
  """Some open connections are silent for good; new ones work."""
  kind, share = rng.choice(_MUTE_KINDS), rng.choice((1.0, rng.random()))
  return (
      kind,
      _some(rng, site.hosts),
      _some(rng, site.slots),
      _GIVEN_UP_S,
      share,
  )


def _upgrade(rng, site, length_s: float) -> Fault:
  """Each host in turn is stopped, and started from the next checkout."""
  at = rng.uniform(FIRST_S, length_s / 3)
  hosts = tuple(rng.sample(site.hosts, len(site.hosts)))
  return Fault(round(at, 3), UPGRADE, hosts, (), rng.uniform(0.2, 2.0))


def _path_fault(rng, site) -> tuple:
  if rng.random() < 0.4:
    return _lossy(rng, site)
  kind, slots = rng.choice(_PATH_KINDS), _some(rng, site.slots)
  if rng.random() < 0.33:
    kind, slots = f"peers_{kind}", ()
  for_s = rng.uniform(0.1, rng.choice((0.8, 4.0)))
  return kind, _some(rng, site.hosts), slots, for_s, rng.uniform(0.01, 0.3)


def _host_fault(rng, site) -> tuple:
  kind, hosts = rng.choice(HOST_KINDS), (rng.choice(site.hosts),)
  if rng.random() < 0.07:
    hosts, kind = site.hosts, rng.choice(("kill", "terminate"))
  return kind, hosts, (), rng.uniform(0.2, 3.0), rng.uniform(0.0, 2.0)


def _slot_fault(rng, site) -> tuple:
  kind = rng.choice(("drain", "drain", "crash", "late"))
  for_s = rng.uniform(3.0, 6.0) if kind == "drain" else rng.uniform(0.2, 4.0)
  if kind == "late":
    return kind, (), _some(rng, site.slots), for_s, rng.uniform(0.05, 0.3)
  clock_ms = rng.randrange(cluster_lib.MAX_CLOCK_MS)
  return kind, (), (rng.choice(site.slots),), for_s, clock_ms


def _burst(rng, site) -> tuple:
  for_s = rng.uniform(0.5, 1.5)
  jobs = int(rng.uniform(2.0, 4.0) * _full_jobs_per_s(site) * for_s)
  return "burst", (), (), for_s, jobs


def _restart(rng, site) -> tuple:
  return "restart", (), (rng.choice(site.slots),), rng.uniform(0.05, 1.5)


def _leave(rng, site) -> tuple:
  """An endpoint leaves at or after the end of its notice (ms)."""
  for_s = rng.choice((0.0, rng.uniform(0.0, 2.0)))
  return "leave", (), (rng.choice(site.slots),), for_s, rng.randint(1700, 2000)


def _stops(rng, site) -> tuple:
  """Stops in series while the store is away, of a data centre or of all."""
  hosts, half = site.hosts, site.hosts_per_centre
  centre = rng.choice((hosts[:half], hosts[half:], hosts))
  hosts = tuple(rng.sample(centre, len(centre)))
  kind = f"stops_{rng.choice(_STORE_TROUBLES)}"
  return kind, hosts, (), rng.uniform(2.0, 7.0), rng.uniform(0.2, 0.6)


def _store_fault(rng, site) -> tuple:
  kind = rng.choice(_STORE_KINDS)
  late = kind == "store_late"
  amount = rng.uniform(1.0, 4.0) if late else rng.uniform(0.02, 0.6)
  return kind, _some(rng, site.hosts), (), rng.uniform(0.3, 3.0), amount
