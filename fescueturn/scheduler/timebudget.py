"""How long a run may outlive what it is for, link by link.

A caller that leaves sends its job again after a while, to any host. By then no
run of the first submission may be active. What is done for a job is bounded by
when its coordinator last looked at its callers' connections: the holder serves
the job for a while after that look, and the last lease that it requests ends
later still. Each such chain of delays is a function here, and the modules take
their bounds from this one.
"""

import dataclasses

from fescueturn import errors
from fescueturn import silencewatch

# Heartbeat timeout of a coordinator, after which its jobs' runs are stopped: it
# sends a ping every 100 ms, so that two may be lost.
COORDINATOR_TIMEOUT_S = 0.35
# The length of a lease. Leases are renewed every 300 ms, so that one renewal
# may be lost.
LEASE_MS = 800
# The lowest rate of an endpoint's clock: it may be 2% slow.
MIN_CLOCK_RATE = 0.98
# A lease counts as expired this long after its end on the estimated clock of
# the endpoint, which never runs ahead of the real one.
LEASE_EXPIRY_MARGIN_MS = 40
# How long tasks of the previous holder that are not found running wait before
# they are started again. The endpoint list may lack endpoints whose entries
# expired while the store was unavailable.
RECOVERY_TIMEOUT_S = 1.5
# The same for kept jobs, whose runs an earlier holder stops only once the store
# has been silent: it may have reached the store until the shard was claimed.
KEPT_RECOVERY_TIMEOUT_S = 2.0
# The store counts as silent after this long. The list of endpoints alone is
# asked for every 0.7 s.
STORE_SILENT_S = 1.0
# A holder whose claim the store hasn't shown for this long stops the runs of its
# kept jobs, as another data centre may take these jobs over. They go on through
# shorter outages of the store.
CLAIM_UNCONFIRMED_S = 6.0
# A shard's records must have been unclaimed and unchanged for this long before
# another data centre takes over the kept jobs in them.
UNCLAIMED_TIMEOUT_S = 7.5
# How long a job whose holder is lost waits for the shard's next holder: the
# claim in the store expires 1.5 s after its last renewal, and the next holder
# needs some 50 ms.
ORPHAN_TIMEOUT_S = 2.0
# Tick period of the scheduler's timer: timeouts, which are 60 ms and more, are
# late by half of it on average.
TICK_S = 0.02
# Tick period of a host that owns no shard and has no job with a timeout soon:
# it only pings holders and looks for free shards. An idle host uses 1.1% of a
# core with this period and 2.2% with one of 20 ms.
IDLE_TICK_S = 0.1
# How long the withdrawal of a job and the stops of its runs take where no
# message is lost: round trips of some ms, and an endpoint's own time.
END_S = 0.05


@dataclasses.dataclass(frozen=True)
class Link:
  """One delay of a chain.

  Attributes:
    name: what takes the time.
    seconds: the longest time that it takes.
  """

  name: str
  seconds: float


@dataclasses.dataclass(frozen=True)
class Chain:
  """Delays that follow each other, and what has to come after them.

  Attributes:
    links: the delays.
    limit: what must not happen before their end.
    limit_s: its earliest time (s), counted from the beginning of the chain.
  """

  links: tuple[Link, ...]
  limit: str
  limit_s: float

  @property
  def total_s(self) -> float:
    """The sum of the links (s)."""
    return sum(link.seconds for link in self.links)

  @property
  def holds(self) -> bool:
    """True if the limit comes after all links."""
    return self.total_s < self.limit_s

  def __str__(self) -> str:
    links = " + ".join(f"{link.name} {link.seconds:.3f}" for link in self.links)
    return f"{links} = {self.total_s:.3f} s, {self.limit} {self.limit_s:.3f} s"


def _lease_links() -> tuple[Link, ...]:
  lease_s = LEASE_MS / 1000
  return (
      Link("lease", lease_s),
      Link("slow clock of an endpoint", lease_s / MIN_CLOCK_RATE - lease_s),
  )


def abandoned_run(callers_return_s: float) -> Chain:
  """Returns how long a run may outlive its caller's connection.

  Args:
    callers_return_s: how soon a caller sends a job again (s).
  """
  silence = Link("coordinator timeout", COORDINATOR_TIMEOUT_S)
  return Chain((silence, *_lease_links()), "callers return", callers_return_s)


def silent_caller(callers_return_s: float) -> Chain:
  """Returns how long a run goes on after its caller was last heard.

  This chain is for a caller that falls silent without a close, and holds where
  no message is lost; otherwise the links of `abandoned_run` come on top.
  """
  links = (
      Link("idle time before a probe", silencewatch.PROBE_AFTER_S),
      Link("slow tick", IDLE_TICK_S),
      Link("answer of a probe", silencewatch.ANSWER_S),
      Link("tick", TICK_S),
      Link("withdrawal and stop", END_S),
  )
  return Chain(links, "callers return", callers_return_s)


def orphaned_run() -> Chain:
  """Returns how long runs go on whose coordinator doesn't reach their holder."""
  silence = Link("coordinator timeout", COORDINATOR_TIMEOUT_S)
  return Chain(
      (silence, *_lease_links()), "offered to another shard", ORPHAN_TIMEOUT_S
  )


def fenced_kept_run() -> Chain:
  """Returns how long a kept job's run goes on after another host's claim.

  The holder reads that claim in the store, or is cut off from it by then.
  """
  silence = Link("silence of the store", STORE_SILENT_S)
  margin = Link("expiry margin", LEASE_EXPIRY_MARGIN_MS / 1000)
  tick = Link("slow tick", IDLE_TICK_S)
  return Chain(
      (silence, tick, *_lease_links(), margin),
      "started by the next holder",
      KEPT_RECOVERY_TIMEOUT_S,
  )


def cut_off_kept_run() -> Chain:
  """Returns how long a kept job's run goes on in a data centre that is cut off.

  It is counted from the last moment at which the store had the claim of its
  holder; no answer of the store shows that holder a later one.
  """
  unconfirmed = Link("unconfirmed claim", CLAIM_UNCONFIRMED_S)
  margin = Link("expiry margin", LEASE_EXPIRY_MARGIN_MS / 1000)
  tick = Link("slow tick", IDLE_TICK_S)
  return Chain(
      (unconfirmed, tick, *_lease_links(), margin),
      "taken over by another data centre",
      UNCLAIMED_TIMEOUT_S,
  )


def check(callers_return_s: float):
  """Checks that no run outlives its caller's return.

  Raises:
    errors.TimeBudgetError: one may; the message names the links.
  """
  for chain in (
      abandoned_run(callers_return_s),
      orphaned_run(),
      fenced_kept_run(),
      cut_off_kept_run(),
  ):
    if not chain.holds:
      raise errors.TimeBudgetError(f"a run may go on for too long: {chain}")
