"""Runs a daemon's main task in an event loop of its own."""

import curio
import curio.traps


def run(main, *args):
  """Runs `main(*args)` to its end, cancels all other tasks, returns its result.

  A task that is cancelled may start others, such as a connection for its last
  message. `curio.run` cancels only those that exist when `main` ends, and
  raises AssertionError for any that are left.
  """
  return curio.run(_run_alone, main, args)


async def _run_alone(main, args):
  kernel = await curio.traps._get_kernel()
  own = set(kernel._tasks)
  try:
    return await main(*args)
  finally:
    while others := [t for i, t in kernel._tasks.items() if i not in own]:
      for task in reversed(others):
        await task.cancel()
