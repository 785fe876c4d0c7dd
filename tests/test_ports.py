from fescueturn.lab import ports


def test_each_port_is_returned_only_once():
  addresses = [ports.free_address() for _ in range(1000)]
  assert len(set(addresses)) == len(addresses)


def test_consecutive_ports_are_free():
  allocated = ports.free_ports(5)
  assert allocated == list(range(allocated[0], allocated[0] + 5))
  assert all(ports.is_free(port) for port in allocated)
