"""The kinds of tasks that endpoint stand-ins run, with their services.

The speller service checks English words against pyspellchecker's dictionary.
The uplift-orders service answers quote checks, fuel releases and cancellations.
Each kind is a function from a task's payload to its result.
"""

import hashlib
from collections.abc import Callable

import spellchecker

SPELLER = "speller"
UPLIFT = "uplift-orders"
# With an edit distance of 2, a correction would take about 50 times as long and
# block the single-threaded stand-in.
EDIT_DISTANCE = 1

_checker = None


def _speller() -> spellchecker.SpellChecker:
  global _checker
  if _checker is None:
    _checker = spellchecker.SpellChecker(distance=EDIT_DISTANCE)
  return _checker


def warm_up() -> None:
  """Loads the dictionary, so that the first check is not delayed by it."""
  _speller()


def check_spelling(payload: str) -> str:
  """Returns ``word->correction`` for each misspelt word, or "ok"."""
  checker = _speller()
  words = [w.strip(".,;:!?\"'()").lower() for w in payload.split()]
  words = [w for w in words if w.isalpha()]
  corrections = []
  for word in sorted(checker.unknown(words)):
    corrections.append(f"{word}->{checker.correction(word) or '?'}")
  return " ".join(corrections) if corrections else "ok"


def _digest(payload: str) -> str:
  return hashlib.blake2b(payload.encode(), digest_size=6).hexdigest()


def quote_check(payload: str) -> str:
  """Returns a quote reference for an uplift request."""
  return f"quote:{_digest(payload)}"


def fuel_release(payload: str) -> str:
  """Returns a confirmation of a fuel release, which is not idempotent."""
  return f"released:{_digest(payload)}"


def cancel(payload: str) -> str:
  """Returns a cancellation notice."""
  return f"cancelled:{_digest(payload)}"


KINDS: dict[str, tuple[str, Callable[[str], str]]] = {
    "spell": (SPELLER, check_spelling),
    "quote_check": (UPLIFT, quote_check),
    "fuel_release": (UPLIFT, fuel_release),
    "cancel": (UPLIFT, cancel),
}
