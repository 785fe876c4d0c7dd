from fescueturn.lab import ports


def test_no_port_is_given_to_two_processes():
  addresses = [ports.free_address() for _ in range(1000)]
  assert len(set(addresses)) == len(addresses)


def test_ports_in_a_row_are_free():
  found = ports.free_ports(5)
  assert found == list(range(found[0], found[0] + 5))
  assert all(ports.is_free(port) for port in found)
