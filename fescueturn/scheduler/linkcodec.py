"""Cap'n Proto codec for the messages between coordinators and holders.

The schema, `link.capnp`, is loaded at import. A message identifies its job only
by id; the job's coordinator is the process that opened the connection.
"""

import dataclasses
import pathlib

import capnp

from fescueturn import codes
from fescueturn import errors
from fescueturn.scheduler import linkholdercodec
from fescueturn.scheduler import linkjobcodec
from fescueturn.scheduler import linkmessages
from fescueturn.scheduler import model

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("link.capnp")))
_Message = _SCHEMA.Message


class MalformedMessageError(errors.FescueError):
  """Data from another host is not a valid message of this version."""

  code = codes.Code.BAD_FIELD


@dataclasses.dataclass(frozen=True)
class Hello:
  """First message on a connection; identifies the process that opened it.

  Attributes:
    process: the process.
    number: counts its connections to the same peer; 0 from a process of an
      earlier version.
  """

  process: linkmessages.HostProcess
  number: int = 0


def encode(shard: model.Shard, message) -> bytes:
  """Returns the message in Cap'n Proto's stream framing."""
  out = _Message.new_message(dataCentre=shard.data_centre, shard=shard.number)
  _ENCODERS[type(message)](out, message)
  return out.to_bytes()


def _encode_hello(out, message: Hello):
  out.number = message.number
  group = out.init("hello")
  group.host = message.process.host
  group.boot = message.process.boot


_ENCODERS = {
    Hello: _encode_hello,
    **linkholdercodec.ENCODERS,
    **linkjobcodec.ENCODERS,
}


def decode(data: bytes, coordinator: linkmessages.HostProcess | None):
  """Returns the shard and the message that `data` encodes.

  Args:
    data: one framed message.
    coordinator: the coordinator at one end of the connection, whose jobs the
      messages refer to; None before the hello.

  Raises:
    MalformedMessageError: `data` is not a valid message.
  """
  try:
    with _Message.from_bytes(data) as message:
      shard = model.Shard(str(message.dataCentre), message.shard)
      kind = message.which()
      return shard, _DECODERS[str(kind)](message, shard, coordinator)
  except (capnp.KjException, ValueError, KeyError) as exc:
    raise MalformedMessageError(f"malformed link message: {exc!r}") from exc


def _decode_hello(message, shard, coordinator) -> Hello:
  del shard, coordinator
  process = linkmessages.HostProcess(message.hello.host, message.hello.boot)
  return Hello(process, message.number)


_DECODERS = {
    "hello": _decode_hello,
    **linkholdercodec.DECODERS,
    **linkjobcodec.DECODERS,
}
