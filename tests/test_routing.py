import collections

from fescueturn import routing


def hosts(count, racks=0):
  return tuple(
      routing.Host(f"entry-{i}", f"rack-{i % racks}" if racks else "")
      for i in range(count)
  )


def test_partitions_spread_evenly_and_loss_of_a_host_moves_only_its_own():
  before = routing.holder_table(hosts(8))
  load = collections.Counter(name for held in before for name in held)
  mean = routing.PARTITIONS * routing.HOLDERS / 8
  assert all(0.7 * mean < n < 1.3 * mean for n in load.values())
  after = routing.holder_table(hosts(8)[:-1])
  for old, new in zip(before, after, strict=True):
    assert [n for n in old if n != "entry-7"] == [n for n in new if n in old]


def test_holders_are_on_different_racks_where_there_are_any():
  rack_of = {h.name: h.rack for h in hosts(9, racks=3)}
  for held in routing.holder_table(hosts(9, racks=3)):
    assert len({rack_of[n] for n in held}) == routing.HOLDERS
  for held in routing.holder_table(hosts(4, racks=1)):
    assert len(set(held)) == routing.HOLDERS


def test_partitions_have_fewer_holders_with_too_few_hosts():
  assert set(routing.holder_table(())) == {()}
  assert set(routing.holder_table(hosts(1))) == {("entry-0",)}
