"""Signals that reach a daemon while it starts or exits.

Loading the modules takes most of a start. Until a daemon handles signals itself
it serves nobody: a stop ends it at once, and changed settings are read later.
This module imports nothing but built-in modules, so that it can run first.
"""

import os
import signal

STDERR_FILENO = 2


def _exit_at_once(number, frame):
  del frame
  line = f"event=stopped_while_starting signal={number}\n"
  os.write(STDERR_FILENO, line.encode())
  # An exception could be caught by the module that is being imported.
  os._exit(os.EX_OK)


def begin_start(reloads: bool):
  """Handles signals until the daemon installs its own handlers.

  Args:
    reloads: whether SIGHUP makes the daemon reload its settings.
  """
  if reloads:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
  signal.signal(signal.SIGTERM, _exit_at_once)
  signal.signal(signal.SIGINT, _exit_at_once)


def begin_exit():
  """Ignores signals from now on.

  On exit, the interpreter restores the default action of those that are
  handled, which would kill the process.
  """
  for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
    signal.signal(number, signal.SIG_IGN)
