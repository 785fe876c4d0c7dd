"""How long an order's answer is waited for, learnt from earlier answers.

The load this answers: a call that is lost has its task wait, and tasks of 60 ms
have 96 ms to spare. With a fixed wait of 150 ms beyond what a call asks for, and
endpoints left alone as silent after one lost call, an emulated load with a tenth
of its calls lost was served 0.53 in time; 0.97 with the waits below, and calls
that are made again at once (mean of three seeds).
"""

# An answer usually takes 2 ms; a host that is busy with a takeover reads it up to
# 20 ms later.
MIN_S = 0.025
# Nothing is waited for longer: a lease is renewed with 500 ms left.
MAX_S = 0.15
# The weights of the newest answer and the deviations waited for, as in TCP's
# retransmission timer (RFC 6298).
_MEAN_GAIN = 1 / 8
_DEVIATION_GAIN = 1 / 4
_DEVIATIONS = 4
# After so many calls in a row without an answer the wait doubles: that isn't loss,
# since with three in ten calls lost it happens once in 15,000.
_MISSES_TO_DOUBLE = 8


class AnswerTimeout:
  """The mean time that answers take, and how far they stray from it (s)."""

  def __init__(self):
    self._mean_s = 0.0
    self._deviation_s = MIN_S / _DEVIATIONS
    self._missed = 0

  @property
  def call_timeout_s(self) -> float:
    """How long to wait for an answer (s)."""
    wanted = max(MIN_S, self._mean_s + _DEVIATIONS * self._deviation_s)
    doubled = min(self._missed // _MISSES_TO_DOUBLE, 8)
    return min(MAX_S, wanted * 2**doubled)

  def record_miss(self):
    """Notes a call without an answer.

    How long it was waited for says nothing of how long answers take: counted as
    such, three in ten calls lost stretched the wait to its bound.
    """
    self._missed += 1

  def record_answer(self, seconds: float):
    """Notes how long an answer took."""
    self._missed = 0
    stray = abs(seconds - self._mean_s)
    self._deviation_s += _DEVIATION_GAIN * (stray - self._deviation_s)
    self._mean_s += _MEAN_GAIN * (seconds - self._mean_s)


# A share of lost calls from which on lease calls wait for less: one lost call in
# the last thirty counts as much.
LOSSY_SHARE = 0.01
_LOSS_GAIN = 1 / 64


class CallLossRate:
  """Which share of an owner's calls to endpoints is lost, of late."""

  def __init__(self):
    self._share = 0.0

  @property
  def is_lossy(self) -> bool:
    """True while so many calls are lost that each must be missed soon."""
    return self._share > LOSSY_SHARE

  def record_call(self, lost: bool):
    """Notes what became of a call."""
    self._share += _LOSS_GAIN * (lost - self._share)
