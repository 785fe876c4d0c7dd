"""State of a host's scheduler; modified only by `reducer.reduce`."""

import dataclasses

from fescueturn import settings
from fescueturn.scheduler import coordinatorstate
from fescueturn.scheduler import election
from fescueturn.scheduler import evacuation
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import ownerstate


@dataclasses.dataclass(frozen=True)
class HostIdentity:
  """Identity and fixed properties of this host.

  Attributes:
    process: the host's name and this process's boot id.
    data_centre: the data centre that the host is in.
    shards: the shards of that data centre.
    ended_job_retention_s: how long the records of kept jobs are retained after
      the jobs' end.
    cores: CPU capacity, in cores of the usual speed.
    peer: the host's address for messages from other hosts.
  """

  process: linkmessages.HostProcess
  data_centre: str
  shards: tuple[model.Shard, ...]
  ended_job_retention_s: float = 0.0
  cores: float = election.HOLDER_CORES
  peer: settings.Address = settings.Address("", 0)


class HostState:
  """The scheduler's state: coordinator, elections, and the owned shards."""

  def __init__(self, me: HostIdentity):
    self.me = me
    self.now = 0.0
    self.last_tick_at: float | None = None
    self.draining = False
    # True shortly before the process of a draining host ends.
    self.ending = False
    self.evacuations = evacuation.Evacuations()
    self.coordinator = coordinatorstate.Coordinator(
        me.process, me.data_centre, self.evacuations
    )
    self.coordinator.can_hold = me.cores >= election.HOLDER_CORES
    self.candidates = {
        shard: election.Candidate(shard, me.process.host, me.cores)
        for shard in me.shards
    }
    self.owners: dict[model.Shard, ownerstate.Owner] = {}
    # The owners that have granted their shards, until this process ends.
    self.granting: dict[model.Shard, ownerstate.Owner] = {}

  @property
  def idle(self) -> bool:
    """True if no caller is waiting for a response and no shard is held."""
    return not (self.coordinator.jobs or self.owners)

  @property
  def needs_fast_ticks(self) -> bool:
    """True while a timeout shorter than the ping period is pending."""
    shard_is_free = any(
        c.free_since is not None for c in self.candidates.values()
    )
    return bool(
        self.owners
        or self.draining
        or shard_is_free
        or self.coordinator.has_timeout_soon
    )

  def snapshot(self) -> dict:
    """Returns a JSON-ready dump of the state."""
    return {
        "host": self.me.process.host,
        "boot": self.me.process.boot,
        "data_centre": self.me.data_centre,
        "draining": self.draining,
        "evacuations": self.evacuations.snapshot(self.now),
        "coordinator": self.coordinator.snapshot(),
        "owned": [o.snapshot() for o in self.owners.values()],
    }
