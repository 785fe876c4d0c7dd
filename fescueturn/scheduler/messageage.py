"""How long ago the messages of another host were sent.

A host that stood still, or whose link was stalled, reads messages late, maybe
after their sender has died. They are told by the sender's steady clock, whose
difference from the own one isn't known: the message that was on its way for the
shortest time shows it.
"""

# Messages that are read within this time were waiting together: a coordinator
# pings at most every 0.1 s.
BURST_S = 0.05
# By how much the delays of two messages on the same path may differ.
JITTER_S = 0.03


class MessageAges:
  """The ages of the messages of one host, as they are read.

  Attributes:
    clock_gain_s: what the sender's clock has gained on the own one at the last
      message, which shows that this host was suspended (s).
  """

  def __init__(self):
    self.clock_gain_s = 0.0
    # The lowest difference between the clocks at which one was read (s).
    self._base: float | None = None
    # The same before the first of the messages that were waiting together (s).
    self._base_before = 0.0
    self._read_at = 0.0
    self._age_s = 0.0

  def record(self, sent_at: float, now: float) -> float:
    """Returns the age (s) of a message that is read now.

    Two in a row of the same age, not read together, show that the difference
    between the clocks has changed: the sender's doesn't count the time for
    which its host was suspended.

    Args:
      sent_at: when it was sent, on the sender's clock (s).
      now: the time on this host's clock (s).
    """
    difference = now - sent_at
    if self._base is None:
      self._base = difference
    is_single = now - self._read_at >= BURST_S
    if is_single:
      self._base_before = self._base
    self.clock_gain_s = max(0.0, self._base_before - difference)
    self._base = min(self._base, difference)
    age_s = difference - self._base
    if is_single and abs(age_s - self._age_s) < JITTER_S:
      self._base, age_s = difference, 0.0
    self._read_at, self._age_s = now, age_s
    return age_s
