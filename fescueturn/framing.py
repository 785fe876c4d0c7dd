"""Reads messages in Cap'n Proto's standard stream framing from a TCP stream.

A message begins with its segment table (segment count, then segment sizes),
which gives the reader the message's length.
"""

import struct

WORD_BYTES = 8
MAX_SEGMENTS = 512
MAX_MESSAGE_BYTES = 16 * 1024 * 1024


async def _read_exactly(stream, size: int) -> bytes:
  try:
    return await stream.read_exactly(size)
  except EOFError as exc:
    raise ConnectionError("peer closed the connection") from exc


async def read_message(stream) -> bytes:
  """Reads one framed Cap'n Proto message from a curio socket stream.

  Raises:
    ConnectionError: the stream ended, or the message has more than
      `MAX_SEGMENTS` segments or `MAX_MESSAGE_BYTES` bytes.
  """
  head = await _read_exactly(stream, 4)
  (last_index,) = struct.unpack("<I", head)
  count = last_index + 1
  if count > MAX_SEGMENTS:
    raise ConnectionError(f"message with {count} segments exceeds the limit")
  table_size = 4 * count + (4 if count % 2 == 0 else 0)
  table = await _read_exactly(stream, table_size)
  sizes = struct.unpack(f"<{count}I", table[: 4 * count])
  body_size = sum(sizes) * WORD_BYTES
  if body_size > MAX_MESSAGE_BYTES:
    raise ConnectionError(f"message of {body_size} bytes exceeds the limit")
  body = await _read_exactly(stream, body_size)
  return head + table + body
