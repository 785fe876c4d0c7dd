import json

import pytest

from fescueturn import kvtypes
from fescueturn import settings
from fescueturn.platform import claims
from fescueturn.scheduler import events
from fescueturn.scheduler import model

SHARD = model.Shard("north", 2)
KEY = claims.claim_key(SHARD)
CLAIM = {"host": "h", "boot": "b", "peer": "10.0.0.1:7720"}


def change(value: bytes | None) -> events.HolderChanged:
  return claims._change(SHARD, kvtypes.Item(KEY, 7, value))


def test_claim_names_its_holder():
  peer = settings.Address("10.0.0.1", 7720)
  holder = model.Holder("h", "b", peer, 7)
  assert change(json.dumps(CLAIM).encode()) == events.HolderChanged(
      SHARD, holder
  )
  assert change(None) == events.HolderChanged(SHARD, None)


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
def test_claim_of_another_writer_names_nobody_and_can_be_replaced(value):
  assert change(value) == events.HolderChanged(SHARD, None, 7)


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
def test_key_names_a_shard_or_none(rest, shard):
  assert claims._shard(claims.PREFIX + rest) == shard
