"""The emulated fleet's store: claims, what the operator wants, kept jobs."""

from fescueturn import settings
from fescueturn.emulator import hosts
from fescueturn.scheduler import events
from fescueturn.scheduler import keptevents
from fescueturn.scheduler import model

# One way to the store.
STORE_DELAY_S = 0.002
# A busy host takes up to this many times as long to hear of a change.
MAX_WATCH_DELAY_FACTOR = 6.0
CLAIM_LEASE_S = 1.5
# A write without an answer is made again after this.
STORE_TIMEOUT_S = 1.0
STORE_RETRY_S = 0.1


class FleetStore:
  """What the store holds; the fleet says whether and how well it works.

  Attributes:
    evacuated: the operator's requests, by data centre.
  """

  def __init__(self, fleet):
    self._fleet = fleet
    self.evacuated: dict[str, model.Evacuation] = {}
    self._revision = 10
    self._claims: dict[model.Shard, model.Holder] = {}
    self._last_fences: dict[model.Shard, int] = {}

  def evacuate(self, data_centre: str, wanted: bool):
    """Puts a request to evacuate a data centre, or removes it."""
    self._revision += 1
    if wanted:
      request = model.Evacuation(data_centre, self._revision)
      self.evacuated[data_centre] = request
    else:
      self.evacuated.pop(data_centre, None)
    for host in self._fleet.hosts.values():
      self.notify_evacuations(host)

  def can_reach_store(self, host: hosts.EmulatedHost) -> bool:
    """Returns whether a host reaches the store."""
    return self._fleet.store_up and "store" not in host.partitioned_from

  def read_claims(self, host: hosts.EmulatedHost):
    """Has a host told of all claims, and of what the operator wants."""
    if not self.can_reach_store(host):
      self._fleet.clock.after(0.1, lambda: self.read_claims(host))
      return
    self.notify_evacuations(host)
    # In the hosts' order: a set's differs from one process to the next.
    centres = dict.fromkeys(h.data_centre for h in self._fleet.hosts.values())
    for shard in map(model.Shard, centres):
      holder = self._claims.get(shard)
      host.apply(events.HolderChanged(shard, holder))

  def claim(self, host, effect: events.ClaimShard):
    """Carries out a claim."""

    def arrive():
      current = self._claims.get(effect.shard)
      fence = current.fence if current else 0
      if self.can_reach_store(host) and fence == effect.replaces:
        self._revision += 1
        process = host.process
        holder = model.Holder(
            process.host,
            process.boot,
            settings.Address(process.host, 1),
            self._revision,
        )
        self.set_claim(effect.shard, holder)
        self._watch_lease(effect.shard, holder, host)
        follows = self._last_fences.get(effect.shard, 0)
        self._last_fences[effect.shard] = holder.fence
        won = events.HolderChanged(effect.shard, holder, follows=follows)
        self._fleet.clock.after(STORE_DELAY_S, lambda: host.apply(won))
      answered = events.ClaimAnswered(effect.shard)
      self._fleet.clock.after(STORE_DELAY_S, lambda: host.apply(answered))

    self._fleet.clock.after(STORE_DELAY_S, arrive)

  def _watch_lease(self, shard, holder: model.Holder, host: hosts.EmulatedHost):
    """Ends a claim whose holder has not renewed its lease in time."""
    renewed_at = [self._fleet.clock.now]

    def check():
      if self._claims.get(shard) != holder:
        return
      if host.up and not host.frozen and self.can_reach_store(host):
        renewed_at[0] = self._fleet.clock.now
      elif (
          self._fleet.clock.now - renewed_at[0] > CLAIM_LEASE_S
          and self._fleet.store_up
      ):
        self.set_claim(shard, None)
        return
      self._fleet.clock.after(0.25, check)

    check()

  def set_claim(self, shard, holder: model.Holder | None):
    """Puts a claim, or removes it, and has every host told."""
    if holder is None:
      self._claims.pop(shard, None)
    else:
      self._claims[shard] = holder
    changed = events.HolderChanged(shard, holder)
    for host in self._fleet.hosts.values():
      self._notify(host, changed)

  def _notify(self, host: hosts.EmulatedHost, changed: events.HolderChanged):
    if self.can_reach_store(host):
      delay_s = STORE_DELAY_S * self._fleet.rng.uniform(
          1.0, MAX_WATCH_DELAY_FACTOR
      )
      self._fleet.clock.after(delay_s, lambda: host.apply(changed))
    else:
      self._fleet.clock.after(0.2, lambda: self.read_claims(host))

  def notify_evacuations(self, host: hosts.EmulatedHost):
    """Has a host told what the operator wants, as soon as it has the store."""
    if not self.can_reach_store(host):
      self._fleet.clock.after(0.2, lambda: self.notify_evacuations(host))
      return

    def tell():
      wanted = tuple(self.evacuated.values())
      host.apply(events.EvacuationsChanged(wanted))

    self._fleet.clock.after(
        STORE_DELAY_S * self._fleet.rng.uniform(1.0, MAX_WATCH_DELAY_FACTOR),
        tell,
    )

  def load_kept(self, host, effect: keptevents.LoadKeptJobs):
    """Carries out the taking over of kept jobs."""
    if not self.can_reach_store(host):
      self._fleet.clock.after(
          STORE_RETRY_S, lambda: self.load_kept(host, effect)
      )
      return
    loaded = self._fleet.kept_store.load(effect, self._claims.get(effect.shard))
    self._fleet.clock.after(
        self._fleet.kept_load_delay_s, lambda: host.apply(loaded)
    )

  def write_kept(self, host, effect: keptevents.WriteKeptJobs):
    """Carries out a write of kept jobs."""

    def again():
      if host.up:
        self.write_kept(host, effect)

    def arrive():
      return self._fleet.kept_store.write(
          effect, self._claims.get(effect.shard)
      )

    if not self.can_reach_store(host):
      self._fleet.clock.after(STORE_RETRY_S, again)
    elif self._fleet.rng.random() < self._fleet.store_late_write_rate:
      self._fleet.clock.after(self._fleet.rng.uniform(1.0, 6.0), arrive)
      self._fleet.clock.after(STORE_TIMEOUT_S, again)
    elif self._fleet.rng.random() < self._fleet.store_reply_loss_rate:
      arrive()
      self._fleet.clock.after(STORE_TIMEOUT_S, again)
    else:
      written = arrive()
      self._fleet.clock.after(2 * STORE_DELAY_S, lambda: host.apply(written))

  def list_ended(self, host, effect: keptevents.ListEndedJobs):
    """Lists kept jobs that are over."""
    host.apply(self._fleet.kept_store.get_finished_jobs(effect))

  def list_open(self, host, effect: keptevents.ListOpenJobs):
    """Lists kept jobs that are not over."""
    list_open = keptevents.OpenJobsListed(effect.shard, effect.fence, ())
    if self.can_reach_store(host):
      list_open = self._fleet.kept_store.get_open_jobs(effect)
    self._fleet.clock.after(2 * STORE_DELAY_S, lambda: host.apply(list_open))

  def release(self, host, effect: events.ReleaseShard):
    """Carries out the release of a claim."""

    def arrive():
      current = self._claims.get(effect.shard)
      if (
          self.can_reach_store(host)
          and current
          and current.fence == effect.fence
      ):
        self.set_claim(effect.shard, None)

    self._fleet.clock.after(STORE_DELAY_S, arrive)


EFFECT_HANDLERS = {
    events.ClaimShard: FleetStore.claim,
    events.ReleaseShard: FleetStore.release,
    keptevents.LoadKeptJobs: FleetStore.load_kept,
    keptevents.WriteKeptJobs: FleetStore.write_kept,
    keptevents.ListEndedJobs: FleetStore.list_ended,
    keptevents.ListOpenJobs: FleetStore.list_open,
}
