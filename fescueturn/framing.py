"""Cap'n Proto's stream framing: one message's bytes off a TCP stream.

A message begins with its segment table, so a reader learns its length from
the first words.
"""

import struct

WORD = 8
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
    ConnectionError: the stream ended or the framing is out of bounds.
  """
  head = await _read_exactly(stream, 4)
  (count_less_one,) = struct.unpack("<I", head)
  count = count_less_one + 1
  if count > MAX_SEGMENTS:
    raise ConnectionError(f"{count} segments is too many")
  table_size = 4 * count + (4 if count % 2 == 0 else 0)
  table = await _read_exactly(stream, table_size)
  sizes = struct.unpack(f"<{count}I", table[: 4 * count])
  body_size = sum(sizes) * WORD
  if body_size > MAX_MESSAGE_BYTES:
    raise ConnectionError(f"message of {body_size} bytes is too large")
  body = await _read_exactly(stream, body_size)
  return head + table + body
