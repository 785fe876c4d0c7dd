"""Tests operators' writes of team settings whose replies are lost."""

import curio
import pytest

from fescueturn import errors
from fescueturn import kvtypes
from fescueturn import membership
from fescueturn import teamconfig
from fescueturn.standins import kvstore

KEY = membership.team_key("altamaha")
MINE = "[team]\nservice = speller\n"
OTHERS = "[team]\nservice = uplift-orders\n"


class _LosingStore:
  """A store whose first write takes effect but gets no reply.

  Attributes:
    before_retry: called after the write, before its reply is lost.
  """

  def __init__(self, before_retry):
    self.store = kvstore.KvStore()
    self._before_retry = before_retry

  async def transact(self, wanted):
    revision = self.store.transact(wanted)
    if self._before_retry is None:
      return revision
    before_retry, self._before_retry = self._before_retry, None
    before_retry(self.store)
    raise errors.KvError("reply lost")


def test_conflict_of_a_retry_is_its_own_earlier_write():
  kv = _LosingStore(lambda store: None)
  revision = curio.run(teamconfig.put, kv, "altamaha", MINE, 0)
  assert revision == kv.store.get(KEY).revision


def test_conflict_of_a_retry_does_not_deny_a_write_that_was_replaced_since():
  def replace(store):
    expected = {KEY: store.get(KEY).revision}
    store.transact(kvtypes.Transaction(expected, {KEY: OTHERS.encode()}))

  kv = _LosingStore(replace)
  with pytest.raises(errors.KvError) as failure:
    curio.run(teamconfig.put, kv, "altamaha", MINE, 0)
  assert not isinstance(failure.value, errors.KvConflictError)
