"""The emulated fleet's store: claims, evacuation requests and kept jobs."""

from fescueturn import settings
from fescueturn.emulator import hosts
from fescueturn.emulator import silence
from fescueturn.scheduler import events
from fescueturn.scheduler import keptevents
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model

# One-way network delay to the store, as the users' data sheets give it.
STORE_DELAY_S = 0.002
# Notifications take between one and this many times the network delay, as busy
# hosts handle them late.
MAX_WATCH_DELAY_FACTOR = 6.0
CLAIM_LEASE_S = 1.5
# How many writes of other keys are assumed between two reports of the store's
# revision; they use up revisions, which holders may grant as fencing tokens.
OTHER_WRITES = 5
# Time (s) after which an unanswered write is repeated.
STORE_TIMEOUT_S = 1.0
STORE_RETRY_S = 0.1
# How long a host waits after one renewal of its claims' lease for the next (s).
RENEW_PERIOD_S = 0.5


class FleetStore:
  """The store; its faults are set by attributes of the fleet (`store_...`).

  Attributes:
    evacuated: the operator's evacuation requests, by data centre.
  """

  def __init__(self, fleet):
    self._fleet = fleet
    self.evacuated: dict[str, model.Evacuation] = {}
    self._revision = 10
    self._claims: dict[model.Shard, model.Holder] = {}
    self._last_fences: dict[model.Shard, int] = {}
    # Hosts that have missed notifications of claims.
    self._behind: set[str] = set()
    self._silent = silence.SilentPools(fleet.clock)
    # Until when the watches of hosts are silent (s).
    self._silent_watches: dict[linkmessages.HostProcess, float] = {}

  def evacuate(self, data_centre: str, wanted: bool):
    """Stores a request to evacuate a data centre, or deletes it."""
    self._revision += 1
    if wanted:
      request = model.Evacuation(data_centre, self._revision)
      self.evacuated[data_centre] = request
    else:
      self.evacuated.pop(data_centre, None)
    for host in self._fleet.hosts.values():
      self.notify_evacuations(host)

  def can_reach_store(self, host: hosts.EmulatedHost) -> bool:
    """Returns True if the host can reach the store."""
    return self._fleet.store_up and "store" not in host.partitioned_from

  def silence_connections(
      self,
      host: hosts.EmulatedHost,
      idle: int,
      watch_s: float,
      loss: silence.Loss,
  ):
    """Silences a host's open connections to the store, its watch among them.

    A call that times out closes all that are idle.
    """
    now = self._fleet.clock.now
    self._silent.silence(host.process, idle, loss, STORE_TIMEOUT_S)
    self._silent_watches[host.process] = now + watch_s
    self._behind.add(host.name)
    self.read_claims(host)

  def _hears_watch(self, host: hosts.EmulatedHost) -> bool:
    until = self._silent_watches.get(host.process, 0.0)
    return self.can_reach_store(host) and self._fleet.clock.now >= until

  def call_loss(self, host: hosts.EmulatedHost) -> silence.Loss:
    """Returns what is lost of a call that begins now."""
    return self._silent.loss(self._silent.begin(host.process))

  def read_claims(self, host: hosts.EmulatedHost):
    """Sends a host all claims and evacuation requests.

    Retries until the host can reach the store.
    """
    if not self._hears_watch(host):
      self._fleet.clock.after(0.1, lambda: self.read_claims(host))
      return
    self._behind.discard(host.name)
    self.notify_evacuations(host)
    # In the order of the hosts, as a set's order differs between processes and
    # runs would not be repeatable.
    data_centres = dict.fromkeys(
        h.data_centre for h in self._fleet.hosts.values()
    )
    for shard in map(model.Shard, data_centres):
      holder = self._claims.get(shard)
      host.apply(events.HolderChanged(shard, holder))

  def held(self) -> list[events.HolderChanged]:
    """Returns the holders that the claims name now."""
    return [events.HolderChanged(s, h) for s, h in self._claims.items()]

  def claim(self, host, effect: events.ClaimShard):
    """Executes a claim; it fails if another host has claimed the shard."""
    delay_s = self._fleet.store_delay_s
    loss = self.call_loss(host)
    answer_delay_s = STORE_TIMEOUT_S if loss.answers else delay_s

    def arrive(replaces: int):
      current = self._claims.get(effect.shard)
      fence = current.fence if current else 0
      reaches = self.can_reach_store(host) and not loss.requests
      if reaches and replaces and not fence:
        # The store tells that the claim to be replaced is gone.
        self._fleet.clock.after(2 * delay_s, lambda: arrive(0))
        return
      if reaches and fence == replaces:
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
        if not loss.answers:
          self._fleet.clock.after(delay_s, lambda: host.apply(won))
      answered = events.ClaimAnswered(effect.shard)
      self._fleet.clock.after(answer_delay_s, lambda: host.apply(answered))

    self._fleet.clock.after(delay_s, lambda: arrive(effect.replaces))

  def _watch_lease(self, shard, holder: model.Holder, host: hosts.EmulatedHost):
    """Deletes a claim whose holder has not renewed its lease in time."""
    renewed_at = [self._fleet.clock.now]
    lost_until = [0.0]

    def is_renewed():
      now = self._fleet.clock.now
      if now < lost_until[0] or not self.can_reach_store(host):
        return False
      loss = self.call_loss(host)
      if loss.requests or loss.answers:
        # Its next renewal follows the time-out.
        lost_until[0] = now + STORE_TIMEOUT_S + RENEW_PERIOD_S
      return not loss.requests

    def check():
      if self._claims.get(shard) != holder:
        return
      if host.up and not host.frozen and is_renewed():
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
    """Stores or deletes a shard's claim and notifies every host."""
    if holder is None:
      self._claims.pop(shard, None)
    else:
      self._claims[shard] = holder
    changed = events.HolderChanged(shard, holder)
    for host in self._fleet.hosts.values():
      self._notify(host, changed)

  def _notify(self, host: hosts.EmulatedHost, changed: events.HolderChanged):
    if self._hears_watch(host):
      delay_s = self._fleet.store_delay_s * self._fleet.rng.uniform(
          1.0, MAX_WATCH_DELAY_FACTOR
      )
      self._fleet.clock.after(
          delay_s + host.watch_lag_s, lambda: host.apply(changed)
      )
    else:
      self._behind.add(host.name)
      self._fleet.clock.after(0.2, lambda: self.read_claims(host))

  def report_revision(self, host: hosts.EmulatedHost):
    """Reports a revision up to which a host has been notified of claims."""
    self._revision += OTHER_WRITES
    read = events.ClaimsRead(self._revision)

    def arrive():
      if host.name not in self._behind:
        host.apply(read)

    if host.name not in self._behind:
      delay_s = self._fleet.store_delay_s * MAX_WATCH_DELAY_FACTOR
      self._fleet.clock.after(delay_s, arrive)

  def notify_evacuations(self, host: hosts.EmulatedHost):
    """Sends a host the evacuation requests once it can reach the store."""
    if not self._hears_watch(host):
      self._fleet.clock.after(0.2, lambda: self.notify_evacuations(host))
      return

    def notify():
      wanted = tuple(self.evacuated.values())
      host.apply(events.EvacuationsChanged(wanted))

    self._fleet.clock.after(
        STORE_DELAY_S * self._fleet.rng.uniform(1.0, MAX_WATCH_DELAY_FACTOR),
        notify,
    )

  def load_kept(self, host, effect: keptevents.LoadKeptJobs):
    """Takes over a shard's records of kept jobs for its new holder."""
    if not self.can_reach_store(host):
      self._fleet.clock.after(
          STORE_RETRY_S, lambda: self.load_kept(host, effect)
      )
      return
    loss = self.call_loss(host)
    if loss.requests or loss.answers:
      self._fleet.clock.after(
          STORE_TIMEOUT_S, lambda: self.load_kept(host, effect)
      )
      return
    loaded = self._fleet.kept_store.load(effect, self._claims.get(effect.shard))
    self._fleet.clock.after(
        self._fleet.kept_load_delay_s, lambda: host.apply(loaded)
    )

  def write_kept(self, host, effect: keptevents.WriteKeptJobs):
    """Executes a write of kept jobs, repeating it until it is answered."""

    def retry():
      if host.up:
        self.write_kept(host, effect)

    def arrive():
      return self._fleet.kept_store.write(
          effect, self._claims.get(effect.shard)
      )

    loss = self.call_loss(host)
    if not self.can_reach_store(host):
      self._fleet.clock.after(STORE_RETRY_S, retry)
    elif loss.requests or loss.answers:
      if not loss.requests:
        arrive()
      self._fleet.clock.after(STORE_TIMEOUT_S, retry)
    elif self._fleet.rng.random() < self._fleet.store_late_write_rate:
      self._fleet.clock.after(self._fleet.rng.uniform(1.0, 6.0), arrive)
      self._fleet.clock.after(STORE_TIMEOUT_S, retry)
    elif self._fleet.rng.random() < self._fleet.store_reply_loss_rate:
      arrive()
      self._fleet.clock.after(STORE_TIMEOUT_S, retry)
    else:
      written = arrive()
      self._fleet.clock.after(2 * STORE_DELAY_S, lambda: host.apply(written))

  def list_ended(self, host, effect: keptevents.ListEndedJobs):
    """Lists a shard's finished kept jobs."""
    host.apply(self._fleet.kept_store.get_finished_jobs(effect))

  def list_open(self, host, effect: keptevents.ListOpenJobs):
    """Lists a shard's unfinished kept jobs."""
    answer = keptevents.OpenJobsListed(
        effect.shard, effect.fence, (), failed=True
    )
    if self.can_reach_store(host):
      answer = self._fleet.kept_store.get_open_jobs(effect)
    self._fleet.clock.after(2 * STORE_DELAY_S, lambda: host.apply(answer))

  def find_unclaimed(self, host, effect: keptevents.FindUnclaimedRecords):
    """Finds the records of kept jobs that no host claims."""
    answer = keptevents.UnclaimedFound(effect.shard, effect.fence, None)
    delay_s = STORE_TIMEOUT_S
    if self.can_reach_store(host) and self.call_loss(host) == silence.NO_LOSS:
      answer = self._fleet.kept_store.find_unclaimed(effect, self._claims)
      delay_s = 4 * self._fleet.store_delay_s
    self._fleet.clock.after(delay_s, lambda: host.apply(answer))

  def take_over(self, host, effect: keptevents.TakeOverJobs):
    """Moves the jobs in unclaimed records, or loses the call or its answer."""
    unknown = keptevents.JobsTakenOver(
        effect.shard, effect.fence, effect.records, 0, False
    )
    loss = self.call_loss(host)

    def arrive():
      answer = unknown
      if self.can_reach_store(host) and not loss.requests:
        answer = self._fleet.kept_store.take_over(effect, self._claims)
      is_lost = loss.answers or (
          self._fleet.rng.random() < self._fleet.store_reply_loss_rate
      )
      answer = unknown if is_lost else answer
      delay_s = STORE_TIMEOUT_S if is_lost else self._fleet.store_delay_s
      self._fleet.clock.after(delay_s, lambda: host.apply(answer))

    self._fleet.clock.after(self._fleet.store_delay_s, arrive)

  def release(self, host, effect: events.ReleaseShard):
    """Executes the release of a claim, unless another holder has it by now."""
    delay_s = self._fleet.store_delay_s
    released = events.ShardReleased(effect.shard, effect.fence)
    loss = self.call_loss(host)

    def arrive():
      current = self._claims.get(effect.shard)
      if (
          self.can_reach_store(host)
          and not loss.requests
          and current
          and current.fence == effect.fence
      ):
        self.set_claim(effect.shard, None)
        if not loss.answers:
          self._fleet.clock.after(delay_s, lambda: host.apply(released))

    self._fleet.clock.after(delay_s, arrive)


EFFECT_HANDLERS = {
    events.ClaimShard: FleetStore.claim,
    events.ReleaseShard: FleetStore.release,
    keptevents.LoadKeptJobs: FleetStore.load_kept,
    keptevents.WriteKeptJobs: FleetStore.write_kept,
    keptevents.ListEndedJobs: FleetStore.list_ended,
    keptevents.ListOpenJobs: FleetStore.list_open,
    keptevents.FindUnclaimedRecords: FleetStore.find_unclaimed,
    keptevents.TakeOverJobs: FleetStore.take_over,
}
