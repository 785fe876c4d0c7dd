"""The ended runs that an endpoint lists, and which of them it may forget."""


class EndedRuns:
  """The ended runs of one incarnation of an endpoint, by sequence number.

  Attributes:
    last_number: the highest number that the endpoint has listed.
    unsaved: numbers of ended runs that must be in the store before the endpoint
      may forget them.
    last_saved: the highest number of an ended run that was written to the
      store.
    last_sent_ack: the number up to which the endpoint was last allowed to
      forget ended runs.
    call_ack: the number in the last lease call; 0 if it had none.
    last_heard_ack: the highest such number in a call that was answered.
  """

  def __init__(self):
    self.last_number = 0
    self.unsaved: set[int] = set()
    self.last_saved = 0
    self.last_sent_ack = 0
    self.call_ack = 0
    self.last_heard_ack = 0

  @property
  def ack_number(self) -> int:
    """The number up to which the endpoint may forget ended runs."""
    return min(self.unsaved) - 1 if self.unsaved else self.last_number

  def has_unsent_ack(self, born_known: bool) -> bool:
    """Returns whether ended runs were saved that it doesn't know to be.

    Args:
      born_known: True if it is known when the incarnation started.
    """
    told = self.last_heard_ack if born_known else self.last_sent_ack
    return self.last_saved > told

  def next_ack(self, born_known: bool, may_be_restarted: bool) -> int:
    """Returns up to which number the next call allows it to forget ended runs.

    It is 0 where the number may be taken for one of another incarnation, whose
    ends would then be forgotten unseen: once the endpoint has heard the number,
    and after a failed request.

    Args:
      born_known: True if it is known when the incarnation started.
      may_be_restarted: True if another incarnation may get the call.
    """
    heard = self.ack_number <= self.last_heard_ack
    self.call_ack = 0
    if not (born_known and (heard or may_be_restarted)):
      self.call_ack = self.last_sent_ack = self.ack_number
    return self.call_ack

  def record_heard_ack(self):
    """Records that the last lease call was answered."""
    self.last_heard_ack = max(self.last_heard_ack, self.call_ack)

  def record_saved(self, number: int):
    """Records that an ended run is in the store."""
    self.unsaved.discard(number)
    self.last_saved = max(self.last_saved, number)
