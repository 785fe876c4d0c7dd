"""Claims of shards in the platform's store: writes, renewals and watches.

A claim is a key under `PREFIX` that is bound to this host's lease. The revision
of its write is its holder's fencing token.
"""

import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable

import curio
import msgspec
from loguru import logger

from fescueturn import errors
from fescueturn import kvtypes
from fescueturn import settings
from fescueturn.platform import storebackoff
from fescueturn.platform import wire
from fescueturn.scheduler import events
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model

PREFIX = "fescueturn/holders/"
# Keys, one per shard, that record the shard's last claim. No lease is bound to
# them, so they outlive the claim.
FENCES_PREFIX = "fescueturn/fences/"
# How long a frozen holder keeps its claim. The leases of its endpoints last
# 0.8 s, so none of its runs is left when the claim expires.
LEASE_MS = 1500
# Three renewals within the lease's duration.
RENEW_PERIOD_S = 0.5
_LEASE_GONE = "lease_gone"
# Messages between hosts carry shard numbers as 16 bits.
MAX_SHARD_NUMBER = 2**16 - 1


def claim_key(shard: model.Shard) -> str:
  """Returns the key of a shard's claim."""
  return f"{PREFIX}{shard.data_centre}/{shard.number}"


def _last_claim_key(shard: model.Shard) -> str:
  return f"{FENCES_PREFIX}{shard.data_centre}/{shard.number}"


def parse_shard(key: str, prefix: str = PREFIX) -> model.Shard | None:
  """Returns the shard that a key under a prefix names, or None if malformed."""
  data_centre, _, number = key.removeprefix(prefix).rpartition("/")
  if not data_centre or not number.isascii() or not number.isdigit():
    return None
  if int(number) > MAX_SHARD_NUMBER:
    return None
  return model.Shard(data_centre, int(number))


def _decode_holder(item: kvtypes.Item) -> model.Holder:
  raw = wire.decode(wire.claims, item.value, item.key, errors.SettingsError)
  try:
    peer = settings.parse_address(raw.peer)
  except ValueError as exc:
    raise errors.SettingsError(f"{item.key}: {exc}") from exc
  return model.Holder(raw.host, raw.boot, peer, item.revision)


class Claims:
  """This host's claims and the lease that they are bound to.

  `start` begins to renew the lease, `close` stops it.
  """

  def __init__(
      self,
      client: kvtypes.Store,
      process: linkmessages.HostProcess,
      peer: settings.Address,
      lease_ms: int = LEASE_MS,
  ):
    self._client = client
    self._process = process
    self._peer = peer
    self._lease_ms = lease_ms
    value = {"host": process.host, "boot": process.boot, "peer": str(peer)}
    self._value = msgspec.json.encode(value)
    self._lease: int | None = None
    self._owning = curio.Event()
    self._renewal_task = None

  async def start(self):
    """Starts to renew the lease while this host owns a shard."""
    self._renewal_task = await curio.spawn(self._renew_loop, daemon=True)

  async def set_owning(self, owns_shard: bool):
    """Sets whether this host owns a shard, and so renews its lease."""
    if owns_shard:
      await self._owning.set()
    else:
      self._owning.clear()

  async def claim(
      self, effect: events.ClaimShard
  ) -> events.HolderChanged | None:
    """Tries to write a claim.

    Returns:
      The change that makes this host the holder. None if the claim was not
      written or if that is unknown: then the watch reports the holder.
    """
    change, outcome = await self._try_claim(effect)
    if outcome == _LEASE_GONE:  # It expired unnoticed: retry with a new one.
      change, outcome = await self._try_claim(effect)
    logger.info(
        "event=shard_claim data_centre={} replaces={} outcome={}",
        effect.shard.data_centre,
        effect.replaces,
        outcome,
    )
    return change

  async def _try_claim(
      self, effect: events.ClaimShard
  ) -> tuple[events.HolderChanged | None, str]:
    lease = None
    try:
      if self._lease is None:
        self._lease = await self._client.grant(self._lease_ms)
      lease = self._lease
      fence, follows = await self._write_claim(effect)
    except kvtypes.LeaseGoneError:
      self._forget_lease(lease)
      return None, _LEASE_GONE
    except kvtypes.ConflictError:
      return None, "taken"
    except errors.KvError as exc:
      return None, f'unknown error="{exc}"'
    process = self._process
    holder = model.Holder(process.host, process.boot, self._peer, fence)
    change = events.HolderChanged(effect.shard, holder, follows=follows)
    return change, f"won fence={fence} follows={follows}"

  async def _write_claim(self, effect: events.ClaimShard) -> tuple[int, int]:
    """Writes a claim.

    The fencing token of the shard's last claim stays in the store after that
    claim is removed, as the revision of a key that is written along with it.

    A claim that was to be replaced may have been removed already: a holder
    tells the other hosts that it stood down, and they may hear of it before the
    store reports that its claim is gone. The shard is then free.

    Returns:
      The fencing tokens of the new claim and of the previous one.
    """
    follows = effect.follows
    try:
      return await self._transact_claim(effect, follows), follows
    except kvtypes.ConflictError as exc:
      claim = exc.items.get(claim_key(effect.shard))
      last_claim = exc.items.get(_last_claim_key(effect.shard))
      if claim is not None and claim.revision != effect.replaces:
        raise
      # Another host may have held the shard since this host last read its
      # claim.
      follows = last_claim.revision if last_claim else 0
      replaces = claim.revision if claim else 0
      effect = dataclasses.replace(effect, replaces=replaces)
      return await self._transact_claim(effect, follows), follows

  async def _transact_claim(
      self, effect: events.ClaimShard, follows: int
  ) -> int:
    key, last_claim_key = claim_key(effect.shard), _last_claim_key(effect.shard)
    return await self._client.transact(
        kvtypes.Transaction(
            {key: effect.replaces, last_claim_key: follows},
            {key: self._value},
            lease=self._lease,
            lasting={last_claim_key: self._value},
        )
    )

  async def release(
      self, effect: events.ReleaseShard
  ) -> events.ShardReleased | None:
    """Removes a claim, so that another host can claim the shard at once.

    Returns:
      The event that the claim was removed; None if it wasn't, as another host
      had replaced it already, or if that is unknown.
    """
    try:
      key = claim_key(effect.shard)
      await self._client.transact(
          kvtypes.Transaction({key: effect.fence}, removes=(key,))
      )
    except kvtypes.ConflictError:
      logger.info("event=release_superseded fence={}", effect.fence)
      return None
    except errors.KvError as exc:
      # The lease is no longer renewed, so the claim expires soon.
      logger.warning('event=release_failed error="{}"', exc)
      return None
    return events.ShardReleased(effect.shard, effect.fence)

  async def _renew_loop(self):
    while True:
      await self._owning.wait()
      await curio.sleep(RENEW_PERIOD_S)
      if self._lease is None or not self._owning.is_set():
        continue
      lease = self._lease
      try:
        await self._client.keep_alive(lease)
      except kvtypes.LeaseGoneError:
        logger.warning("event=lease_gone lease={}", lease)
        self._forget_lease(lease)
      except errors.KvError as exc:
        logger.warning('event=lease_unkept error="{}"', exc)

  def _forget_lease(self, lease: int | None):
    """Forgets a lease that has expired, unless a claim has a new one by now."""
    if self._lease == lease:
      self._lease = None

  async def close(self):
    """Stops renewing the lease."""
    if self._renewal_task is not None:
      await self._renewal_task.cancel()


OnHolder = Callable[[events.HolderChanged], Awaitable[None]]
OnRead = Callable[[events.ClaimsRead], Awaitable[None]]


async def _ignore_read(event: events.ClaimsRead):
  del event


async def watch_loop(
    client: kvtypes.Store,
    now: Callable[[], float],
    convergence_s: float,
    shards: tuple[model.Shard, ...],
    on_holder: OnHolder,
    on_read: OnRead = _ignore_read,
):
  """Watches the shards' holders forever and reports every change.

  Args:
    client: the store.
    now: returns the time (s).
    convergence_s: how soon after an outage of the store the holders must be
      known.
    shards: this host's shards, which are reported even if nobody holds them.
    on_holder: called with each change.
    on_read: called once all changes up to a revision were reported.
  """
  backoff = storebackoff.StoreBackoff("holders", now)
  watch_wait_ms = storebackoff.watch_wait_ms(convergence_s)
  known: set[model.Shard] = set(shards)
  revision = None
  while True:
    full_read = revision is None
    asked_at = now()
    try:
      if full_read:
        revision = await _report_all(client, known, on_holder)
      else:
        changes = await client.watch(PREFIX, revision, watch_wait_ms)
        revision = changes.revision
        for item in changes.items:
          await _report_change(item, known, on_holder)
      await on_read(events.ClaimsRead(revision, now() - asked_at))
      backoff.record_success(revision, full_read)
    except kvtypes.HistoryGoneError:
      await backoff.handle_history_gone(revision)
      revision = None
    except errors.KvError as exc:
      await backoff.handle_failure(exc)


async def report_held(client: kvtypes.Store, on_holder: OnHolder):
  """Reports the holders that the store names now.

  Shards without one are left to the watch, which may have reported a claim
  since this read was answered.
  """
  changes = await client.range(PREFIX)
  for item in changes.items:
    shard = parse_shard(item.key)
    change = _holder_change(shard, item) if shard is not None else None
    if change is not None and change.holder is not None:
      await on_holder(change)


async def _report_all(client, known: set[model.Shard], on_holder) -> int:
  changes = await client.range(PREFIX)
  held = {parse_shard(item.key) for item in changes.items}
  for item in changes.items:
    await _report_change(item, known, on_holder)
  for shard in known - held:
    await on_holder(events.HolderChanged(shard, None))
  return changes.revision


async def _report_change(
    item: kvtypes.Item, known: set[model.Shard], on_holder
):
  """Reports the change of one claim to `on_holder`."""
  shard = parse_shard(item.key)
  if shard is None:
    logger.error("event=claim_rejected key={}", item.key)
    return
  known.add(shard)
  await on_holder(_holder_change(shard, item))


def _holder_change(
    shard: model.Shard, item: kvtypes.Item
) -> events.HolderChanged:
  if item.value is None:
    return events.HolderChanged(shard, None)
  try:
    return events.HolderChanged(shard, _decode_holder(item))
  except errors.SettingsError as exc:
    # The next holder of the shard replaces the unreadable claim.
    logger.error('event=claim_rejected error="{}"', exc)
    return events.HolderChanged(shard, None, item.revision)
