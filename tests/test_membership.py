"""Tests the loops that follow the platform against a fake client."""

import random

import curio

from fescueturn import entry
from fescueturn import errors
from fescueturn import events
from fescueturn import kvtypes
from fescueturn import membership
from fescueturn import settings
from fescueturn import timer
from fescueturn.lab import ports
from fescueturn.platform import store
from fescueturn.standins import kvstore

ME = events.Member("entry-1", settings.Address("127.0.0.1", 1), "boot-1")
PEER = events.Member("entry-2", settings.Address("127.0.0.1", 2), "boot-2", 7)
TEAM_TEXT = b"[team]\nservice = speller\n"


class _FakeKv:
  """A platform client over an in-memory `KvStore`, with injected faults.

  Attributes:
    replies_to_lose: number of following transactions that lose their reply.
    apply_lost_writes: whether transactions that lose their reply take effect.
    during_outage: callbacks that the next watches run before they fail, one
      each.
  """

  def __init__(self):
    self.store = kvstore.KvStore()
    self.replies_to_lose = 0
    self.apply_lost_writes = True
    self.during_outage = []

  async def grant(self, ttl_ms):
    return self.store.grant(ttl_ms / 1000, now=0.0)

  async def keep_alive(self, lease):
    if not self.store.keep_alive(lease, now=0.0):
      raise kvtypes.LeaseGoneError("gone")

  async def transact(self, wanted):
    if self.replies_to_lose:
      self.replies_to_lose -= 1
      if self.apply_lost_writes:
        self.store.transact(wanted)
      raise errors.KvError("reply lost")
    return self.store.transact(wanted)

  async def range(self, prefix):
    return kvtypes.Changes(self.store.revision, tuple(self.store.range(prefix)))

  async def watch(self, prefix, after, wait_ms):
    del wait_ms
    if self.during_outage:
      self.during_outage.pop()()
      raise kvtypes.HistoryGoneError("compacted")
    while not (changes := self.store.changes(prefix, after)):
      await curio.sleep(0.005)
    return kvtypes.Changes(self.store.revision, tuple(changes))

  async def close(self):
    pass


class _AppliedEvents(list):

  async def apply(self, event):
    self.append(event)


def backoff():
  return membership.Backoff(random.Random(1), max_s=0.01)


def until(check):
  async def wait():
    while not check():
      await curio.sleep(0.005)

  return curio.timeout_after(10, wait)


def test_failed_member_write_is_retried():
  kv, applied = _FakeKv(), _AppliedEvents()
  kv.replies_to_lose, kv.apply_lost_writes = 2, False
  keeper = membership.LeaseKeeper(kv, "dc", ME, 0.06, lambda: 100.0)

  async def scenario():
    task = await curio.spawn(keeper.run, applied.apply, backoff())
    await until(lambda: kv.store.get("/members/dc/entry-1"))
    await task.cancel()

  curio.run(scenario)
  item = kv.store.get("/members/dc/entry-1")
  member = membership.parse_member(item.key, item.value)
  assert (member.boot, member.lease) == ("boot-1", keeper.lease)
  assert applied[0] == events.LeaseRenewed(keeper.lease, 100.06)


def test_member_changes_are_applied_one_by_one_without_invalid_ones():
  kv, applied = _FakeKv(), _AppliedEvents()

  async def scenario():
    task = await curio.spawn(
        membership.members_loop, kv, "dc", applied.apply, backoff()
    )
    await until(lambda: applied)
    key = membership.member_key("dc", PEER.name)
    kv.store.put(key, membership.member_value(PEER))
    kv.store.put("/members/dc/odd", b"not json")
    kv.store.transact(kvtypes.Transaction(removes=(key,)))
    await until(lambda: len(applied) == 4)
    await task.cancel()

  curio.run(scenario)
  assert applied[0] == events.MembersChanged((), gap=True)
  assert [e.members for e in applied[1:]] == [(PEER,), (PEER,), ()]
  assert not any(e.gap for e in applied[1:])


def test_team_removed_while_the_watch_failed_is_removed():
  kv, applied = _FakeKv(), _AppliedEvents()
  key = membership.team_key("altamaha")
  kv.store.put(key, TEAM_TEXT)
  removal = kvtypes.Transaction(removes=(key,))
  kv.during_outage.append(lambda: kv.store.transact(removal))

  async def scenario():
    task = await curio.spawn(
        membership.teams_loop, kv, applied.apply, backoff(), 0.0
    )
    await until(lambda: len(applied) == 2)
    await task.cancel()

  curio.run(scenario)
  assert applied[0].team_settings.service == "speller"
  assert applied[1].team_settings is None
  assert applied[1].revision > applied[0].revision


def test_member_key_that_a_late_write_replaced_is_written_again():
  kv = _FakeKv()
  host = entry.EntryHost(
      settings.ProcessSettings(ME.name, "dc"),
      settings.EntrySettings(
          listen=ports.free_address(),
          peer_listen=ports.free_address(),
          platform=ports.free_address(),
          lease_ttl_s=0.3,
      ),
      timer.TimerService(0.05),
      kv,
  )

  def is_member():
    return host.state.membership.is_member

  async def scenario():
    await host.start()
    await until(is_member)
    kv.store.put("/members/dc/entry-1", membership.member_value(ME))
    await until(lambda: not is_member())
    await until(is_member)
    await host.close()

  curio.run(scenario)


def test_settings_take_effect_within_five_seconds_if_a_watch_goes_unanswered():
  waits_ms = []

  class Silent(_FakeKv):

    async def watch(self, prefix, after, wait_ms):
      del prefix, after
      waits_ms.append(wait_ms)
      raise errors.KvError("no answer")

  async def scenario():
    task = await curio.spawn(
        membership.teams_loop, Silent(), _AppliedEvents().apply, backoff(), 0.0
    )
    await until(lambda: waits_ms)
    await task.cancel()

  curio.run(scenario)
  longest_pause_s = 1.5 * membership.SETTINGS_BACKOFF_MAX_S
  settings_pause_s = settings.EntrySettings.settings_pause_s
  watch_timeout_s = max(waits_ms) / 1000 + store.WATCH_SLACK_S
  assert watch_timeout_s + longest_pause_s + settings_pause_s < 5.0
