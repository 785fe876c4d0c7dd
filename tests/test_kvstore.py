import pytest

from fescueturn import kvtypes
from fescueturn.standins import kvstore


def compare_and_swap(store, key, expected, value, lease=0):
  transaction = kvtypes.Transaction({key: expected}, {key: value}, lease=lease)
  return store.transact(transaction)


def test_compare_and_swap_and_history():
  store = kvstore.KvStore()
  first = compare_and_swap(store, "/a", 0, b"1")
  with pytest.raises(kvtypes.ConflictError) as caught:
    compare_and_swap(store, "/a", 0, b"2")
  assert caught.value.items["/a"].value == b"1"
  second = compare_and_swap(store, "/a", first, b"2")
  assert second == first + 1
  assert [item.value for item in store.changes("/a", 0)] == [b"1", b"2"]


def test_transaction_is_atomic():
  store = kvstore.KvStore()
  store.put("/a", b"1")
  with pytest.raises(kvtypes.ConflictError):
    store.transact(
        kvtypes.Transaction({"/a": 1, "/b": 7}, {"/c": b"3"}, ("/a",))
    )
  assert store.get("/a") is not None and store.get("/c") is None
  revision = store.transact(
      kvtypes.Transaction({"/a": 1, "/b": 0}, {"/c": b"3"}, ("/a",))
  )
  assert store.get("/a") is None
  assert store.get("/c") == kvtypes.Item("/c", revision, b"3")


def test_expired_lease_deletes_its_keys():
  store = kvstore.KvStore()
  lease = store.grant(1.0, now=10.0)
  store.put("/m/x", b"addr", lease)
  assert store.keep_alive(lease, now=10.5)
  assert store.expire(now=11.4) == 0
  assert store.expire(now=11.6) == 1
  assert store.get("/m/x") is None
  assert store.changes("/m/", 0)[-1].value is None
  assert not store.keep_alive(lease, now=11.7)
  with pytest.raises(kvtypes.LeaseGoneError):
    store.put("/m/y", b"addr", lease)


def test_key_rewritten_without_a_lease_survives_the_lease():
  store = kvstore.KvStore()
  lease = store.grant(1.0, now=10.0)
  store.put("/m/x", b"1", lease)
  store.put("/m/x", b"2")
  store.expire(now=11.6)
  assert store.get("/m/x").value == b"2"


def test_host_list_lags_behind():
  hosts = kvstore.LaggingList(lag_s=2.0)
  serving = kvtypes.HostRecord("e1", "a:1", "dc")
  leaving = kvtypes.HostRecord("e1", "a:1", "dc", leaving=True)
  hosts.record_change(0.0, kvtypes.Item(serving.key, 1, serving.encode()))
  hosts.record_change(5.0, kvtypes.Item(serving.key, 2, leaving.encode()))
  hosts.record_change(9.0, kvtypes.Item(serving.key, 3, None))

  def view_at(now):
    return [kvtypes.decode_host(item.value) for item in hosts.view(now)]

  assert view_at(1.0) == []
  assert view_at(6.0) == [serving]
  assert view_at(7.0) == [leaving]
  assert view_at(11.0) == []
