"""Client of the platform stand-in's test paths: faults, counters and writes."""

import json

from fescueturn import httpio
from fescueturn import settings


class PlatformControl:
  """Controls a platform stand-in over HTTP."""

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
    """Sets the stand-in's fault, which lasts until the next one is set.

    Args:
      mode: one of `standin_platform.FAULT_MODES`; "none" ends a fault.
      slow_ms: the delay (ms) of each call in the mode "slow".
    """
    await self._post("/test/fault", {"mode": mode, "slow_ms": slow_ms})

  async def put(self, key: str, text: str):
    """Writes a key, as other components of the platform do."""
    await self._post("/test/put", {"key": key, "text": text})

  async def stats(self) -> dict:
    """Returns call counts by name, their total, and bytes in and out."""
    response = await self._pool.request("GET", "/test/stats")
    return response.json()
