import subprocess
import sys

from fescueturn.lab import ports


def test_each_port_is_returned_only_once():
  addresses = [ports.free_address() for _ in range(1000)]
  assert len(set(addresses)) == len(addresses)


def test_consecutive_ports_are_free():
  allocated = ports.free_ports(5)
  assert allocated == list(range(allocated[0], allocated[0] + 5))
  assert all(ports.is_free(port) for port in allocated)


def test_processes_get_ports_of_their_own(monkeypatch):
  first, count = 20_000, 20
  monkeypatch.setattr(ports, "FIRST_PORT", first)
  monkeypatch.setattr(ports, "LAST_PORT", first + 200)
  program = (
      "from fescueturn.lab import ports\n"
      f"ports.FIRST_PORT, ports.LAST_PORT = {first}, {first + 200}\n"
      f"print(*[p for _ in range({count}) for p in ports.free_ports(1)])\n"
      "input()"
  )
  other = subprocess.Popen(
      [sys.executable, "-c", program],
      stdin=subprocess.PIPE,
      stdout=subprocess.PIPE,
      text=True,
  )
  try:
    others = {int(port) for port in other.stdout.readline().split()}
    own = {port for _ in range(count) for port in ports.free_ports(1)}
  finally:
    other.communicate("\n")
  assert len(others) == len(own) == count
  assert own.isdisjoint(others)
