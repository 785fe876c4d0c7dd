"""Tests that any bytes yield a value of the declared type or one error."""

import json

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from fescueturn import errors
from fescueturn.platform import wire

DECODERS = {
    name: value
    for name, value in vars(wire).items()
    if isinstance(value, msgspec.json.Decoder)
}
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=4)
    | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=4),
    max_leaves=12,
)


def test_decoders_are_found():
  assert len(DECODERS) >= 10


@pytest.mark.parametrize("name", sorted(DECODERS))
@hypothesis.given(
    data=strategies.binary() | JSON.map(lambda v: json.dumps(v).encode())
)
def test_any_bytes_give_a_value_or_the_given_error(name, data):
  decoder = DECODERS[name]
  try:
    value = wire.decode(decoder, data, name, errors.SettingsError)
  except errors.SettingsError as exc:
    assert name in str(exc)
    return
  assert isinstance(value, decoder.type)


@pytest.mark.parametrize(
    "data", [b"[" * 100_000, b'{"a":' * 100_000, b"\xff", b"", None]
)
@pytest.mark.parametrize("name", sorted(DECODERS))
def test_deeply_nested_and_empty_data_give_the_given_error(name, data):
  with pytest.raises(errors.SettingsError):
    wire.decode(DECODERS[name], data, name, errors.SettingsError)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "10.0.0.1",
        "10.0.0.1:",
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1: 80",
        "10.0.0.1:8_0",
        "10.0.0.256:80",
        "host:80",
        "[::1]:80",
        "10.0.0.1:80\n",
    ],
)
def test_malformed_address_is_rejected(text):
  with pytest.raises(ValueError):
    wire.parse_endpoint_address(text)


def test_address_is_parsed():
  address = wire.parse_endpoint_address("10.128.0.9:8080")
  assert (address.host, address.port) == ("10.128.0.9", 8080)
