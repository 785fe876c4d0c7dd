"""Codec of the messages about hosts: pings, endpoint lists, who holds a shard.

`ENCODERS` fill in a message of the schema, by the type of what they encode;
`DECODERS` read one, by the schema's name for it.
"""

from fescueturn import settings
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model

# Value of `roster` in a ping that requests no roster.
_NO_ROSTER = 2**32 - 1
# The longest time that a field in ms holds: 49 days.
_MAX_MS = 2**32 - 1


def _encode_ping(out, message: linkmessages.Ping):
  out.at = message.at
  out.roster = _NO_ROSTER if message.roster is None else message.roster
  group = out.init("ping")
  group.canHold = message.can_hold
  group.draining = message.draining
  group.uptimeMs = _to_ms(message.uptime_s)
  if message.list_version is not None:
    group.listRequest = message.list_version + 1
  group.wantsRoom = message.wants_room
  group.holderMs = _to_clock_ms(message.holder_at)
  group.tellsHolderMs = message.tells_holder_at
  _encode_suspects(
      group.init("doubts", len(message.suspects)), message.suspects
  )


def _decode_ping(message, shard, coordinator) -> linkmessages.Ping:
  roster = None if message.roster == _NO_ROSTER else message.roster
  return linkmessages.Ping(
      shard,
      coordinator,
      message.at,
      roster,
      message.ping.canHold,
      _decode_suspects(message.ping.doubts),
      message.ping.draining,
      message.ping.uptimeMs / 1000,
      message.ping.listRequest - 1 if message.ping.listRequest else None,
      message.ping.wantsRoom,
      message.ping.holderMs / 1000,
      message.ping.tellsHolderMs,
  )


def _encode_pong(out, message: linkmessages.Pong):
  out.at = message.at
  out.roster = message.roster
  group = out.init("pong")
  group.holding = message.holding
  group.listVersion = message.list_version
  group.listAgeMs = _to_ms(message.list_age_s)
  group.successor = message.successor
  group.sentMs = _to_clock_ms(message.sent_at)
  if message.endpoints is not None:
    group.hasEndpoints = True
    group.endpoints = list(message.endpoints)
  _encode_suspects(
      group.init("agreed", len(message.confirmed_suspects)),
      message.confirmed_suspects,
  )
  group.pendingUnknown = message.pending is None
  pending = message.pending or ()
  rows = group.init("pending", len(pending))
  for row, (queue, jobs) in zip(rows, pending, strict=True):
    row.queue = queue
    row.jobs = jobs


def _decode_pong(message, shard, coordinator) -> linkmessages.Pong:
  del shard, coordinator
  pong = message.pong
  pending = tuple((row.queue, row.jobs) for row in pong.pending)
  return linkmessages.Pong(
      pong.holding,
      None if pong.pendingUnknown else pending,
      message.at,
      message.roster,
      tuple(pong.endpoints) if pong.hasEndpoints else None,
      _decode_suspects(pong.agreed),
      pong.listVersion,
      pong.listAgeMs / 1000,
      pong.successor,
      pong.sentMs / 1000,
  )


def _to_ms(seconds: float) -> int:
  return min(_MAX_MS, int(seconds * 1000))


def _to_clock_ms(clock_s: float) -> int:
  return int(clock_s * 1000) % linkmessages.CLOCK_PERIOD_MS


def _encode_suspects(rows, suspects: tuple[linkmessages.SuspectedHolder, ...]):
  for row, suspect in zip(rows, suspects, strict=True):
    row.dataCentre = suspect.shard.data_centre
    row.shard = suspect.shard.number
    row.fence = suspect.fence


def _decode_suspects(rows) -> tuple[linkmessages.SuspectedHolder, ...]:
  return tuple(
      linkmessages.SuspectedHolder(
          model.Shard(row.dataCentre, row.shard), row.fence
      )
      for row in rows
  )


def _encode_endpoint_list(out, message: linkmessages.EndpointList):
  out.at = message.at
  group = out.init("listed")
  group.version = message.version
  group.ageMs = _to_ms(message.age_s)
  rows = group.init("rows", len(message.endpoints))
  for row, endpoint in zip(rows, message.endpoints, strict=True):
    row.id = endpoint.id
    row.host = endpoint.address.host
    row.port = endpoint.address.port
    row.service = endpoint.service
    row.dataCentre = endpoint.data_centre
    row.slots = endpoint.slots
    row.draining = endpoint.draining
    row.cpu = endpoint.capacity.cpu
    row.memMb = endpoint.capacity.mem_mb
    row.gpu = endpoint.capacity.gpu
    row.labels = list(endpoint.labels)


def _decode_endpoint_list(
    message, shard, coordinator
) -> linkmessages.EndpointList:
  del shard, coordinator
  group = message.listed
  return linkmessages.EndpointList(
      message.at,
      group.version,
      group.ageMs / 1000,
      tuple(_decode_endpoint(row) for row in group.rows),
  )


def _decode_endpoint(row) -> model.Endpoint:
  return model.Endpoint(
      row.id,
      settings.Address(row.host, row.port),
      row.service,
      row.dataCentre,
      row.slots,
      row.draining,
      model.Resources(row.cpu, row.memMb, row.gpu),
      tuple(row.labels),
  )


def _encode_granted(out, message: linkmessages.ShardGranted):
  group = out.init("granted")
  group.fence = message.fence
  group.limit = message.limit


def _encode_taken(out, message: linkmessages.GrantTaken):
  _encode_holder(out.init("taken"), message.holder)


def _encode_moved(out, message: linkmessages.HolderMoved):
  _encode_holder(out.init("moved"), message.holder)


def _encode_holder(group, holder: model.Holder):
  group.host = holder.host
  group.boot = holder.boot
  group.peer = str(holder.peer)
  group.fence = holder.fence


def _decode_holder(group) -> model.Holder:
  peer = settings.parse_address(group.peer)
  return model.Holder(group.host, group.boot, peer, group.fence)


ENCODERS = {
    linkmessages.Ping: _encode_ping,
    linkmessages.Pong: _encode_pong,
    linkmessages.EndpointList: _encode_endpoint_list,
    linkmessages.ShardGranted: _encode_granted,
    linkmessages.GrantTaken: _encode_taken,
    linkmessages.HolderMoved: _encode_moved,
}
DECODERS = {
    "ping": _decode_ping,
    "pong": _decode_pong,
    "listed": _decode_endpoint_list,
    "granted": lambda m, shard, process: linkmessages.ShardGranted(
        m.granted.fence, m.granted.limit
    ),
    "taken": lambda m, shard, process: linkmessages.GrantTaken(
        shard, _decode_holder(m.taken)
    ),
    "moved": lambda m, shard, process: linkmessages.HolderMoved(
        _decode_holder(m.moved)
    ),
}
