"""Shards' claims in the platform's store: made, kept alive and watched.

A claim is a key under `PREFIX` held by this host's lease; the revision of its
write is its holder's fence number.
"""

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
# By shard, the last claim there was; no lease holds it.
FENCES_PREFIX = "fescueturn/fences/"
# How long a holder that stands still keeps its claim: its endpoints' leases
# last 0.8 s, so that nothing of it runs when the claim lapses.
LEASE_MS = 1500
# Three renewals in a lease's time.
RENEW_PERIOD_S = 0.5
_LEASE_GONE = "lease_gone"
# What the messages between hosts carry: 16 bits.
MAX_SHARD_NUMBER = 2**16 - 1


def claim_key(shard: model.Shard) -> str:
  """Returns the key of a shard's claim."""
  return f"{PREFIX}{shard.data_centre}/{shard.number}"


def _fence_key(shard: model.Shard) -> str:
  return f"{FENCES_PREFIX}{shard.data_centre}/{shard.number}"


def _parse_shard(key: str) -> model.Shard | None:
  """Returns the shard whose claim has this key, or None for no such key."""
  data_centre, _, number = key.removeprefix(PREFIX).rpartition("/")
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
  """This host's claims; `start` keeps their lease alive, `close` ends it."""

  def __init__(
      self,
      client: kvtypes.Store,
      process: linkmessages.HostProcess,
      peer: settings.Address,
      lease_ms: int = LEASE_MS,
  ):
    self._client = client
    self._party = process
    self._peer = peer
    self._lease_ms = lease_ms
    value = {"host": process.host, "boot": process.boot, "peer": str(peer)}
    self._value = msgspec.json.encode(value)
    self._lease: int | None = None
    self._owning = curio.Event()
    self._keeper = None

  async def start(self):
    """Starts to keep the lease alive while a shard is owned."""
    self._keeper = await curio.spawn(self._keep, daemon=True)

  async def owning(self, owning: bool):
    """Takes whether this host owns a shard now."""
    if owning:
      await self._owning.set()
    else:
      self._owning.clear()

  async def claim(
      self, effect: events.ClaimShard
  ) -> events.HolderChanged | None:
    """Tries to write a claim.

    Returns:
      That this host is the holder, or None if the claim wasn't made, or may
      have been: the watch tells.
    """
    won, outcome = await self._try_claim(effect)
    if outcome == _LEASE_GONE:  # It ended unnoticed; a new one may do.
      won, outcome = await self._try_claim(effect)
    logger.info(
        "event=shard_claim data_centre={} replaces={} outcome={}",
        effect.shard.data_centre,
        effect.replaces,
        outcome,
    )
    return won

  async def _try_claim(
      self, effect: events.ClaimShard
  ) -> tuple[events.HolderChanged | None, str]:
    try:
      if self._lease is None:
        self._lease = await self._client.grant(self._lease_ms)
      fence, follows = await self._write_claim(effect)
    except kvtypes.LeaseGoneError:
      self._lease = None
      return None, _LEASE_GONE
    except kvtypes.ConflictError:
      return None, "taken"
    except errors.KvError as exc:
      return None, f'unknown error="{exc}"'
    process = self._party
    holder = model.Holder(process.host, process.boot, self._peer, fence)
    won = events.HolderChanged(effect.shard, holder, follows=follows)
    return won, f"won fence={fence} follows={follows}"

  async def _write_claim(self, effect: events.ClaimShard) -> tuple[int, int]:
    """Returns the new claim's fence number, and that of the claim before it.

    The number of the shard's last claim stays in the store when that claim is
    gone, as the revision of a key written along with it.
    """
    follows = effect.follows
    try:
      return await self._transact_claim(effect, follows), follows
    except kvtypes.ConflictError as exc:
      claim = exc.items.get(claim_key(effect.shard))
      last = exc.items.get(_fence_key(effect.shard))
      if (claim.revision if claim else 0) != effect.replaces:
        raise
      # Another host held the shard since, unknown to this one.
      follows = last.revision if last else 0
      return await self._transact_claim(effect, follows), follows

  async def _transact_claim(
      self, effect: events.ClaimShard, follows: int
  ) -> int:
    key, last = claim_key(effect.shard), _fence_key(effect.shard)
    return await self._client.transact(
        kvtypes.Transaction(
            {key: effect.replaces, last: follows},
            {key: self._value},
            lease=self._lease,
            lasting={last: self._value},
        )
    )

  async def release(self, effect: events.ReleaseShard):
    """Removes a claim, so that another host makes its own at once."""
    try:
      key = claim_key(effect.shard)
      await self._client.transact(
          kvtypes.Transaction({key: effect.fence}, removes=(key,))
      )
    except errors.KvError as exc:
      # The lease is not renewed any more, so it ends the claim soon.
      logger.warning('event=release_failed error="{}"', exc)

  async def _keep(self):
    while True:
      await self._owning.wait()
      await curio.sleep(RENEW_PERIOD_S)
      if self._lease is None or not self._owning.is_set():
        continue
      try:
        await self._client.keep_alive(self._lease)
      except kvtypes.LeaseGoneError:
        logger.warning("event=lease_gone lease={}", self._lease)
        self._lease = None
      except errors.KvError as exc:
        logger.warning('event=lease_unkept error="{}"', exc)

  async def close(self):
    """Stops keeping the lease."""
    if self._keeper is not None:
      await self._keeper.cancel()


OnHolder = Callable[[events.HolderChanged], Awaitable[None]]


async def watch_loop(
    client: kvtypes.Store,
    now: Callable[[], float],
    convergence_s: float,
    shards: tuple[model.Shard, ...],
    on_holder: OnHolder,
):
  """Tells `on_holder` of every change of a shard's holder, for ever.

  Args:
    client: the store.
    now: returns the time (s).
    convergence_s: how soon after a silence of the store its holders must be known.
    shards: this host's shards, which are told of even while nobody holds them.
    on_holder: takes the changes.
  """
  store_reach = storebackoff.StoreBackoff("holders", now)
  watch_wait_ms = storebackoff.watch_wait_ms(convergence_s)
  known: set[model.Shard] = set(shards)
  revision = None
  while True:
    anew = revision is None
    try:
      if anew:
        revision = await _read_all(client, known, on_holder)
      else:
        changes = await client.watch(PREFIX, revision, watch_wait_ms)
        revision = changes.revision
        for item in changes.items:
          await _tell(item, known, on_holder)
      store_reach.record_success(revision, anew)
    except kvtypes.HistoryGoneError:
      await store_reach.handle_history_gone(revision)
      revision = None
    except errors.KvError as exc:
      await store_reach.handle_failure(exc)


async def _read_all(client, known: set[model.Shard], on_holder) -> int:
  changes = await client.range(PREFIX)
  held = {_parse_shard(item.key) for item in changes.items}
  for item in changes.items:
    await _tell(item, known, on_holder)
  for shard in known - held:
    await on_holder(events.HolderChanged(shard, None))
  return changes.revision


async def _tell(item: kvtypes.Item, known: set[model.Shard], on_holder):
  """Tells of one claim's change."""
  shard = _parse_shard(item.key)
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
    # Whoever claims the shard replaces it.
    logger.error('event=claim_rejected error="{}"', exc)
    return events.HolderChanged(shard, None, item.revision)
