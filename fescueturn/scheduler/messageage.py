"""How long ago the messages of another host were sent.

A host that stood still, or whose link was stalled, reads messages late, maybe
after their sender has died. They are told by the sender's steady clock, whose
difference from the own one isn't known: the message that was on its way for the
shortest time shows it. Senders that have read a message of this host tell a time
on its clock that had passed, which bounds the age of theirs.
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
    self._first_read_at = 0.0
    self._age_s = 0.0
    # True once a message came with a bound of its age.
    self._is_bounded = False

  def record(
      self, sent_at: float, now: float, max_age_s: float | None = None
  ) -> float:
    """Returns the age (s) of a message that is read now.

    The difference between the clocks changes when the sender's doesn't count
    the time for which its host was suspended. That shows in the bound of a
    message's age; with a sender that tells none, by two messages in a row of
    the same age that are not read together.

    Args:
      sent_at: when it was sent, on the sender's clock (s).
      now: the time on this host's clock (s).
      max_age_s: the longest time since then (s); None if it isn't known.
    """
    difference = now - sent_at
    if self._base is None:
      self._base = difference
      self._first_read_at = now
    is_single = now - self._read_at >= BURST_S
    if is_single:
      self._base_before = self._base
    # The first messages may have been waiting together, all of them late.
    if now - self._first_read_at >= BURST_S:
      self.clock_gain_s = max(0.0, self._base_before - difference)
    if max_age_s is not None:
      lowest = difference - max_age_s
      # All messages before the first bounded one may have been late.
      self._base = max(self._base, lowest) if self._is_bounded else lowest
      self._is_bounded = True
    self._base = min(self._base, difference)
    age_s = difference - self._base
    is_same = abs(age_s - self._age_s) < JITTER_S
    if is_single and is_same and not self._is_bounded:
      self._base, age_s = difference, 0.0
    self._read_at, self._age_s = now, age_s
    return age_s
