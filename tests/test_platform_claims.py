import json
import time

import curio
import pytest

from fescueturn import errors
from fescueturn import kvtypes
from fescueturn import settings
from fescueturn.platform import claims
from fescueturn.platform import endpoints
from fescueturn.platform import store
from fescueturn.platform import storebackoff
from fescueturn.scheduler import events
from fescueturn.scheduler import leases
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler import ownerstate

SHARD = model.Shard("north", 2)
KEY = claims.claim_key(SHARD)
CLAIM = {"host": "h", "boot": "b", "peer": "10.0.0.1:7720"}


def holder_change(value: bytes | None) -> events.HolderChanged:
  return claims._holder_change(SHARD, kvtypes.Item(KEY, 7, value))


def test_claim_is_decoded_into_its_holder():
  peer = settings.Address("10.0.0.1", 7720)
  holder = model.Holder("h", "b", peer, 7)
  assert holder_change(json.dumps(CLAIM).encode()) == events.HolderChanged(
      SHARD, holder
  )
  assert holder_change(None) == events.HolderChanged(SHARD, None)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[]",
        b"{}",
        b"\xff",
        json.dumps({**CLAIM, "peer": "x"}).encode(),
        json.dumps({**CLAIM, "host": 3}).encode(),
    ],
)
def test_malformed_claim_has_no_holder_and_can_be_replaced(value):
  assert holder_change(value) == events.HolderChanged(SHARD, None, 7)


@pytest.mark.parametrize(
    ("rest", "shard"),
    [
        ("north/2", SHARD),
        ("a/b/0", model.Shard("a/b", 0)),
        ("north", None),
        ("north/x", None),
        ("north/-1", None),
        ("north/65536", None),
        ("/1", None),
    ],
)
def test_claim_key_is_parsed_into_a_shard_or_none(rest, shard):
  assert claims.parse_shard(claims.PREFIX + rest) == shard


class IdleClient:
  """A store in which nothing changes; records how long watches may wait."""

  def __init__(self):
    self.waits_ms = []

  async def range(self, prefix):
    del prefix
    return kvtypes.Changes(1, ())

  async def watch(self, prefix, after, wait_ms):
    del prefix
    self.waits_ms.append(wait_ms)
    await curio.sleep(0.01)
    return kvtypes.Changes(after, ())


@pytest.mark.parametrize("convergence_s", [3.0, 4.0, 5.0])
def test_unanswered_watch_of_holders_is_retried_within_the_convergence_time(
    convergence_s,
):
  client = IdleClient()

  async def ignore(event):
    del event

  curio.run(
      curio.ignore_after,
      0.1,
      claims.watch_loop,
      client,
      time.monotonic,
      convergence_s,
      (SHARD,),
      ignore,
  )
  timed_out_s = max(client.waits_ms) / 1000 + store.WATCH_SLACK_S
  assert timed_out_s + storebackoff.RETRY_MAX_S < convergence_s


class ReadStore:
  """A store with the claims of two shards, one of them gone, and no endpoints.

  Its watches are silent.
  """

  def __init__(self):
    self.reads = []

  async def range(self, prefix):
    self.reads.append(prefix)
    if prefix != claims.PREFIX:
      return kvtypes.Changes(9, ())
    gone = claims.claim_key(model.Shard("south", 0))
    items = (
        kvtypes.Item(KEY, 7, json.dumps(CLAIM).encode()),
        kvtypes.Item(gone, 8, None),
        kvtypes.Item(claims.PREFIX + "malformed", 9, b""),
    )
    return kvtypes.Changes(9, items)


def poll_once(client) -> list:
  """Returns what a poller of the list of endpoints reports in 0.1 s."""
  reported = []

  async def report(event):
    reported.append(event)

  async def play():
    poller = endpoints.EndpointPoller(
        client,
        time.monotonic,
        report,
        read_claims=lambda: claims.report_held(client, report),
    )
    await poller.start()
    await poller.set_owning(True)
    await curio.sleep(0.1)
    await poller.close()

  curio.run(play)
  return reported


def test_holder_reads_the_claims_with_each_list_as_its_watch_may_be_silent():
  client = ReadStore()
  change, listed = poll_once(client)
  assert sorted(client.reads) == [claims.PREFIX, endpoints.PREFIX]
  assert change == holder_change(json.dumps(CLAIM).encode())
  assert isinstance(listed, events.EndpointsListed)


class ClaimsUnread(ReadStore):
  """A store that answers only the reads of the list."""

  async def range(self, prefix):
    if prefix == claims.PREFIX:
      raise errors.KvError("no answer")
    return await super().range(prefix)


def test_list_without_the_claims_does_not_count_as_an_answer_of_the_store():
  (listed,) = poll_once(ClaimsUnread())
  assert not listed.shows_claims
  owner = ownerstate.Owner(SHARD, 4, 0.0)
  owner.now = 0.7
  leases.handle_endpoint_list(
      owner, listed.endpoints, listed.took_s, listed.shows_claims
  )
  assert owner.store_answered_at == 0.0


class ClaimStore:
  """A store with the keys of one shard; applies transactions to them."""

  def __init__(self, revisions: dict[str, int]):
    self.revisions = revisions
    self.revision = 20

  async def grant(self, ttl_ms):
    del ttl_ms
    return 1

  async def transact(self, wanted: kvtypes.Transaction) -> int:
    found = {key: self.revisions.get(key, 0) for key in wanted.expected}
    if found != wanted.expected:
      items = [kvtypes.Item(k, r, b"") for k, r in found.items() if r]
      raise kvtypes.ConflictError("expected", tuple(items))
    self.revision += 1
    for key in (*wanted.puts, *wanted.lasting):
      self.revisions[key] = self.revision
    return self.revision


@pytest.mark.parametrize(
    ("claim", "last", "won"),
    [
        (4, 4, True),
        (0, 4, True),  # Released; this host has not heard of it yet.
        (0, 9, True),  # Another host has held the shard since.
        (9, 9, False),  # Another host holds the shard.
    ],
)
def test_claim_to_be_replaced_counts_as_free_once_it_is_gone(claim, last, won):
  """A successor that hears of a release early must not lose its claim."""
  last_claim = claims._last_claim_key(SHARD)
  held = {KEY: claim} if claim else {}
  client = ClaimStore({**held, last_claim: last})
  peer = settings.Address("10.0.0.1", 7720)
  mine = claims.Claims(client, linkmessages.HostProcess("h", "b"), peer)
  change = curio.run(mine.claim, events.ClaimShard(SHARD, 4, 4))
  if not won:
    assert change is None and client.revision == 20
    return
  assert (change.holder.fence, change.follows) == (21, last)
  assert client.revisions == {KEY: 21, last_claim: 21}


class ExpiredLeaseStore(ClaimStore):
  """A store whose first lease has expired, and says so late to a renewal."""

  def __init__(self):
    super().__init__({})
    self.renewed = []
    self._granted = 0

  async def grant(self, ttl_ms):
    del ttl_ms
    self._granted += 1
    return self._granted

  async def transact(self, wanted: kvtypes.Transaction) -> int:
    if self.renewed and wanted.lease == 1:
      raise kvtypes.LeaseGoneError("1")
    return await super().transact(wanted)

  async def keep_alive(self, lease):
    self.renewed.append(lease)
    if lease == 1:
      await curio.sleep(0.1)
      raise kvtypes.LeaseGoneError("1")


def test_lease_of_a_new_claim_is_renewed_although_the_old_one_ended(
    monkeypatch,
):
  monkeypatch.setattr(claims, "RENEW_PERIOD_S", 0.01)
  client = ExpiredLeaseStore()
  process = linkmessages.HostProcess("h", "b")
  host = claims.Claims(client, process, settings.Address("10.0.0.1", 7720))

  async def play():
    first = await host.claim(events.ClaimShard(SHARD, 0, 0))
    await host.start()
    await host.set_owning(True)
    while not client.renewed:
      await curio.sleep(0.005)
    fence = first.holder.fence
    assert await host.claim(events.ClaimShard(SHARD, fence, fence))
    await curio.sleep(0.3)
    await host.close()
    assert 2 in client.renewed

  curio.run(play)
