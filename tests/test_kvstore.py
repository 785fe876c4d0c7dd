from fescueturn import kvtypes
from fescueturn.standins import kvstore


def test_compare_and_swap_and_history():
  store = kvstore.KvStore()
  first = store.put("/a", "1", expect=0, lease=0)
  assert store.put("/a", "2", expect=0, lease=0) is None
  second = store.put("/a", "2", expect=first, lease=0)
  assert second == first + 1
  assert [c.value for c in store.changes("/a", 0)] == ["1", "2"]


def test_lapsed_lease_deletes_its_keys():
  store = kvstore.KvStore()
  lease = store.grant(1.0, now=10.0)
  store.put("/m/x", "addr", expect=None, lease=lease)
  assert store.keep_alive(lease, now=10.5)
  assert store.expire(now=11.4) == 0
  assert store.expire(now=11.6) == 1
  assert store.get("/m/x") is None
  assert not store.keep_alive(lease, now=11.7)
  assert store.put("/m/y", "addr", expect=None, lease=lease) is None


def test_host_list_lags():
  hosts = kvstore.HostList(lag_s=2.0)
  hosts.set(0.0, "e1", kvtypes.HostRecord("e1", "a:1", "endpoint", "dc"))
  hosts.set(
      5.0, "e1", kvtypes.HostRecord("e1", "a:1", "endpoint", "dc", leaving=True)
  )
  assert hosts.view(1.0) == []
  assert not hosts.view(6.0)[0].leaving
  assert hosts.view(7.0)[0].leaving
