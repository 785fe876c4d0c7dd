import dataclasses

import pytest

from fescueturn import settings
from fescueturn.scheduler import keptevents
from fescueturn.scheduler import linkcodec
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model
from fescueturn.scheduler.decisions import room

PROCESS = linkmessages.HostProcess("host-1", "boot-1")
SHARD = model.Shard("north", 2)
KEY = linkmessages.JobKey(PROCESS, "00000000000000a1")
NEED = model.Resources(27000, 64, 1)
JOB = model.Job(
    KEY.job_id,
    "speller",
    "spec",
    (
        model.Step(2, NEED, 50, (), "kind-a", "r1", 1),
        model.Step(1, NEED, 900, (0,)),
    ),
    3,
    1.6,
    60,
    "queue-1",
)

ENDPOINT = model.Endpoint(
    "i-1",
    settings.Address("10.0.0.4", 8161),
    "speller",
    "north",
    8,
    False,
    NEED,
    ("kind-a", "r1"),
)
HOLDER = model.Holder("h", "b", settings.Address("10.0.0.4", 7720), 2**40)
DRAINING_ENDPOINT = dataclasses.replace(ENDPOINT, id="i-2", draining=True)

MESSAGES = [
    linkcodec.Hello(PROCESS),
    linkmessages.Ping(SHARD, PROCESS),
    linkmessages.Ping(SHARD, PROCESS, 12.5, 0),
    linkmessages.Ping(SHARD, PROCESS, 12.5, 7),
    linkmessages.Ping(SHARD, PROCESS, 12.5, 7, can_hold=True),
    linkmessages.Ping(
        SHARD,
        PROCESS,
        12.5,
        suspects=(linkmessages.SuspectedHolder(SHARD, 2**40),),
    ),
    linkmessages.Pong(
        confirmed_suspects=(linkmessages.SuspectedHolder(SHARD, 7),)
    ),
    linkmessages.Returned(KEY, 4, True),
    linkmessages.Returned(KEY, 5, False),
    linkmessages.Offered(SHARD, KEY, JOB, 0.25, 1.5, True, 7),
    linkmessages.Offered(SHARD, KEY, JOB, 0.25, 1.5, False, 8, True),
    linkmessages.Withdrawn(SHARD, KEY),
    linkmessages.Pong(),
    linkmessages.Pong(holding=False),
    linkmessages.Pong(at=12.5, roster=7),
    linkmessages.Pong(at=12.5, roster=8, endpoints=("i-1", "i-2")),
    linkmessages.Accepted(KEY, 3),
    linkmessages.Declined(KEY, 4, 95),
    linkmessages.Declined(KEY, 4, 95, in_time=True),
    linkmessages.Pong(pending=(("q1", 3), ("q2", 1))),
    linkmessages.Declined(KEY, 4, 95, reason="store_away"),
    keptevents.KeptJobQuery(SHARD, PROCESS, KEY.job_id, True),
    keptevents.KeptJobReply(KEY.job_id, True, None),
    *(
        keptevents.KeptJobReply(KEY.job_id, False, s)
        for s in model.KeptJobState
    ),
    *(linkmessages.JobEnded(KEY, o, "why") for o in model.Outcome),
]

ROOM = room.RoomReport(
    (
        room.ServiceRoom(
            "speller", 6000, (2, 0, 65535), 7, 3, 900, (0, 5, 0, 1)
        ),
        room.ServiceRoom("other", 1, (0,), 0, slowness_percent=250),
    )
)

# Messages that the previous build neither sends nor expects.
NEW_MESSAGES = [
    linkmessages.Offered(SHARD, KEY, JOB, 0.25, 1.5, at=12.5),
    linkcodec.Hello(PROCESS, 3),
    linkmessages.Withdrawn(SHARD, KEY, 65535),
    linkmessages.JobEnded(KEY, model.Outcome.NOT_RUN, "why", 7),
    linkmessages.Ping(
        SHARD, PROCESS, 12.5, 7, draining=True, uptime_s=4.5, list_version=0
    ),
    linkmessages.Pong(list_version=3, list_age_s=0.75, successor=True),
    linkmessages.ShardGranted(2**40, 2**40 + 7),
    linkmessages.GrantTaken(SHARD, HOLDER),
    linkmessages.HolderMoved(HOLDER),
    linkmessages.EndpointList(12.5, 3, 0.75, (ENDPOINT, DRAINING_ENDPOINT)),
    linkmessages.Ping(SHARD, PROCESS, 12.5, 7, wants_room=True),
    linkmessages.Ping(SHARD, PROCESS, 12.5, 7, holder_at=2000.25),
    linkmessages.Ping(SHARD, PROCESS, 12.5, 7, tells_holder_at=True),
    linkmessages.Pong(sent_at=2000.25),
    linkmessages.RoomReported(ROOM, 12.5),
    linkmessages.RoomReported(room.RoomReport(), 0.0),
    linkmessages.Declined(KEY, 4, 95, in_time=True, room=ROOM),
    linkmessages.JobEnded(KEY, model.Outcome.NOT_RUN, "why", 7),
    linkmessages.Offered(SHARD, KEY, JOB, 0.25, 1.5, False, 9, True, 2**32 - 1),
]


@pytest.mark.parametrize("message", MESSAGES + NEW_MESSAGES)
def test_decoding_an_encoded_message_returns_it(message):
  data = linkcodec.encode(SHARD, message)
  assert linkcodec.decode(data, PROCESS) == (SHARD, message)


@pytest.mark.parametrize("data", [b"", b"\x00" * 4, b"\xff" * 64])
def test_malformed_bytes_are_rejected(data):
  with pytest.raises(linkcodec.MalformedMessageError):
    linkcodec.decode(data, PROCESS)


def test_pong_without_a_count_of_pending_jobs_round_trips():
  message = linkmessages.Pong(pending=None)
  data = linkcodec.encode(SHARD, message)
  assert linkcodec.decode(data, PROCESS) == (SHARD, message)


def test_priority_of_a_job_round_trips():
  job = dataclasses.replace(JOB, priority=2)
  offered = linkmessages.Offered(SHARD, KEY, job, 0.25, 1.5)
  encoded = linkcodec.encode(SHARD, offered)
  assert linkcodec.decode(encoded, PROCESS)[1] == offered
