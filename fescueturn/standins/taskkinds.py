"""What the endpoint stand-ins compute: spelling checks and uplift orders.

The speller checks and corrects English words with pyspellchecker's
dictionary. Uplift-orders answers quote checks, fuel releases and
cancellations. Each kind is a plain function from payload to result.
"""

import hashlib
from collections.abc import Callable

import spellchecker

SPELLER = "speller"
UPLIFT = "uplift-orders"
# Corrections two edits away cost the one-threaded stand-in about 50 times as much.
EDIT_DISTANCE = 1

_checker = None


def _speller() -> spellchecker.SpellChecker:
  global _checker
  if _checker is None:
    _checker = spellchecker.SpellChecker(distance=EDIT_DISTANCE)
  return _checker


def warm_up() -> None:
  """Loads the dictionary now, so the first check does not pay for it."""
  _speller()


def check_spelling(payload: str) -> str:
  """Returns ``word->correction`` for each misspelt word, space-separated."""
  checker = _speller()
  words = [w.strip(".,;:!?\"'()").lower() for w in payload.split()]
  words = [w for w in words if w.isalpha()]
  fixes = []
  for word in sorted(checker.unknown(words)):
    fixes.append(f"{word}->{checker.correction(word) or '?'}")
  return " ".join(fixes) if fixes else "ok"


def _digest(payload: str) -> str:
  return hashlib.blake2b(payload.encode(), digest_size=6).hexdigest()


def quote_check(payload: str) -> str:
  """Returns a quote reference for an uplift request."""
  return f"quote:{_digest(payload)}"


def fuel_release(payload: str) -> str:
  """Returns a fuel release confirmation (a non-idempotent action)."""
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
