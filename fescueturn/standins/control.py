"""Client of the platform stand-in's own paths: faults, counts, plain writes."""

import json

from fescueturn import httpio
from fescueturn import settings


class PlatformControl:
  """Steers a platform stand-in; `close` drops its connection."""

  def __init__(self, address: settings.Address):
    self._pool = httpio.Pool(address, limit=1)

  async def close(self):
    """Closes the connection."""
    await self._pool.close()

  async def _post(self, path: str, body: dict):
    data = json.dumps(body).encode()
    response = await self._pool.request("POST", path, data)
    if response.status != 200:
      raise ValueError(f"{path}: {response.body.decode()}")

  async def set_fault(self, mode: str, slow_ms: int = 0):
    """Has a fault last until the next one; "none" ends it."""
    await self._post("/test/fault", {"mode": mode, "slow_ms": slow_ms})

  async def put(self, key: str, text: str):
    """Writes a key as the platform's own parts would."""
    await self._post("/test/put", {"key": key, "text": text})

  async def stats(self) -> dict:
    """Returns calls by name, their total, and bytes in and out."""
    response = await self._pool.request("GET", "/test/stats")
    return response.json()
