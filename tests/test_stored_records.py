"""Compatibility of stored records and messages with the previous build.

The bytes were recorded with the previous build. During a rolling upgrade a new
host reads records that an old one stored, and the two exchange messages, so a
change of either format breaks the upgrade.
"""

import base64
import pathlib

import pytest

from fescueturn import events as entry_events
from fescueturn import kvtypes
from fescueturn import membership
from fescueturn import peercodec
from fescueturn import settings
from fescueturn.platform import claims
from fescueturn.scheduler import keptevents
from fescueturn.scheduler import linkcodec
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from tests import test_linkcodec
from tests import test_peer
from tests import test_platform_jobstore

JOB_RECORD = (
    b'{"service":"speller","spec":"spec","steps":[[2,[27000,64,0],200,[],"a",'
    b'"r1",1],[1,[27000,64,0],50,[0],"","",0]],"attempts":3,"stretch":1.6,'
    b'"slo_ms":60,"queue":"q"}'
)
STORED = {
    "fescueturn/ends/north/0/k": (
        b'{"done":[[0,1]],"failed":[[0,0,2]],"crashed":[[0,0,"i-3"]],'
        b'"lost":[[0,0,"i-4","10.0.0.4:8161"]]}'
    ),
    "fescueturn/heads/north/0": b"[1,3,0]",
    "fescueturn/jobs/k": b'["open","north",0]',
    "fescueturn/jobs/over": b'["failed","north",0]',
    "fescueturn/open/north/0/k": JOB_RECORD,
}
PROGRESS = model.Progress(
    (model.Task("k", 0, 1),),
    (model.RunId(model.Task("k", 0, 0), 2),),
    ((model.Task("k", 0, 0), "i-3"),),
    (
        model.LostEndpoint(
            model.Task("k", 0, 0), "i-4", settings.Address("10.0.0.4", 8161)
        ),
    ),
)
CLAIM_KEY = "fescueturn/holders/north/0"
CLAIM = b'{"host":"h","boot":"b","peer":"10.0.0.1:7720"}'
MEMBER = (
    b'{"peer": "10.0.0.1:7720", "boot": "b", "lease": 4, "leaving": true,'
    b' "rack": "r1"}'
)
ENDPOINT = (
    b'{"name": "e1", "address": "10.0.0.9:80", "data_centre": "north",'
    b' "services": ["speller"], "slots": 8, "leaving": false}'
)
# One base64-encoded message a line, in the order of the lists of messages that
# the tests compare them with.
RECORDED_MESSAGES = pathlib.Path(__file__).with_name("recorded_messages.txt")


def read_recorded(section: str) -> list[bytes]:
  lines = RECORDED_MESSAGES.read_text().splitlines()
  begin = lines.index(f"[{section}]") + 1
  messages = []
  for line in lines[begin:]:
    if line.startswith("["):
      break
    messages.append(base64.b64decode(line))
  return messages


def test_kept_jobs_of_the_previous_build_are_readable():
  memory = test_platform_jobstore.MemoryStore()
  for key, value in STORED.items():
    memory.store.put(key, value)
  holder = test_platform_jobstore.Holder(memory)
  job = test_platform_jobstore.job("k")
  assert holder.loaded.takeovers == 1
  assert holder.loaded.jobs == (model.KeptJob(job, PROGRESS),)
  assert holder.status("k").state is model.KeptJobState.OPEN
  assert holder.status("over").state is model.KeptJobState.FAILED


def test_kept_jobs_are_written_as_the_previous_build_writes_them():
  memory = test_platform_jobstore.MemoryStore()
  holder = test_platform_jobstore.Holder(memory)
  job = test_platform_jobstore.job("k")
  holder.write(keptevents.StoreJob(job))
  holder.write(keptevents.StoreProgress("k", PROGRESS))
  stored = {item.key: item.value for item in memory.store.range("")}
  del stored[CLAIM_KEY]
  assert stored == {
      **{k: v for k, v in STORED.items() if k != "fescueturn/jobs/over"},
      "fescueturn/heads/north/0": b"[1,2,0]",
  }


def test_claim_of_the_previous_build_is_readable_and_written_unchanged():
  shard = claims.parse_shard(CLAIM_KEY)
  holder = claims._decode_holder(kvtypes.Item(CLAIM_KEY, 7, CLAIM))
  peer = settings.Address("10.0.0.1", 7720)
  assert shard == model.Shard("north", 0)
  assert holder == model.Holder("h", "b", peer, 7)
  process = linkmessages.HostProcess("h", "b")
  assert claims.Claims(None, process, peer)._value == CLAIM


def test_member_and_endpoint_records_match_the_previous_build():
  member = membership.parse_member("/members/entry-1", MEMBER)
  peer = settings.Address("10.0.0.1", 7720)
  assert member == entry_events.Member("entry-1", peer, "b", 4, True, "r1")
  assert membership.member_value(member) == MEMBER
  endpoint = kvtypes.decode_host(ENDPOINT)
  assert endpoint == kvtypes.HostRecord(
      "e1", "10.0.0.9:80", "north", ("speller",), 8
  )
  assert endpoint.encode() == ENDPOINT
  assert endpoint.key == "/hosts/e1"


@pytest.mark.parametrize(
    ("message", "data"),
    zip(test_linkcodec.MESSAGES, read_recorded("link"), strict=True),
)
def test_link_messages_match_the_previous_build(message, data):
  assert linkcodec.encode(test_linkcodec.SHARD, message) == data
  assert linkcodec.decode(data, test_linkcodec.PROCESS) == (
      test_linkcodec.SHARD,
      message,
  )


@pytest.mark.parametrize(
    ("request_", "data"),
    zip(test_peer.REQUESTS, read_recorded("requests"), strict=True),
)
def test_peer_requests_match_the_previous_build(request_, data):
  assert peercodec.encode_request(9, request_) == data
  assert peercodec.decode_request(data) == (9, request_)


@pytest.mark.parametrize(
    ("reply", "data"),
    zip(test_peer.REPLIES, read_recorded("replies"), strict=True),
)
def test_peer_replies_match_the_previous_build(reply, data):
  assert peercodec.encode_reply(4, "boot-2", reply) == data
  assert peercodec.decode_reply(data) == (4, "boot-2", reply)
