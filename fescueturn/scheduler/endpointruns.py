"""The runs at an endpoint, as its owner sees them."""

import collections
import dataclasses
import enum
import math

from fescueturn.scheduler import model

# A run is stuck once it has made no progress for this many times its estimate.
# Estimates are off by 40% at most, and a run on a slow endpoint still makes
# progress.
STUCK_FACTOR = 3.0
# No run counts as stuck sooner than this. Progress is reported with each lease
# call, at least every 300 ms, and one such call may be lost (150 ms).
STUCK_MIN_S = 0.5
# A run that takes more than this many times its estimate is slowed, by its
# endpoint or because its task is long. Estimates are too low by 40% at most,
# which makes 1.67 times, and endpoints differ by a quarter: 2.1 times in all.
SLOW_RATIO = 2.5
# A run's slowdown is not computed sooner than this, since its progress is
# reported in whole percents.
PROGRESS_MIN_S = 0.05
# For how long after it was sent a start request without an answer may still be
# carried out: it is at most 12 s late, and 1 s is added as a margin.
LATE_START_S = 13.0
# How many such requests an endpoint's record keeps, the newest ones. With 30%
# of the calls lost, an endpoint with 20 starts a second has 78.
LATE_STARTS = 100


class RunState(enum.Enum):
  """The state of a run, as far as the owner knows."""

  # A start request was sent; there is no answer yet.
  ORDERED = "ordered"
  # The answer to the start request was lost: it may run now, later or never.
  UNSURE = "unsure"
  RUNNING = "running"
  STOPPING = "stopping"


class Run:
  """One run at an endpoint, as its owner sees it.

  Attributes:
    id: the task and attempt.
    endpoint: the endpoint that has it; "" until it is added there. Holders may
      give the same number to attempts at different endpoints.
    need: the resources it takes; None for a run whose job is not known yet.
    state: its state, as far as the owner knows.
    started_at: when its start was requested, or when it was found there (s).
    estimate_ms: how long it is expected to take.
    listed_from_call: number of the first lease call whose answer lists the run
      or its end; 0 while a start or stop request is unanswered.
    percent: how much of it is done, as last listed.
    progressed_at: when `percent` last rose (s).
    deadline_ms: the end of the lease that its start request carried.
    sent_at: when its start request was last sent (s).
    sends: how often its start request was sent.
    is_confirmed: True once the incarnation that it was meant for has it.
    endpoint_was_up: True if its endpoint had just answered a call when its start
      was first requested.
    loss_recorded: True once the loss of its endpoint was counted, or ignored.
    stop_sent_at: when an unanswered stop request was last sent (s), if any.
    stop_failures: how many of its stop requests failed.
    duplicate_logged: True once it was logged that its task has another run.
    abandoned: True once its lease has expired and its task may run elsewhere.
    adopted: True if it was found at its endpoint, so that its start is unknown.
    served_until: until when leases are extended beside it (s), once its job has
      ended here.
    observed_share: the part of its work that has counted for its endpoint's
      speed.
    observed_at: when that part was done (s).
    in_time_until: until when its progress has shown no slowdown (s).
  """

  def __init__(self, run_id, need, state, now, estimate_ms=0, deadline_ms=0):
    self.id: model.RunId = run_id
    self.endpoint = ""
    self.need: model.Resources | None = need
    self.state: RunState = state
    self.started_at: float = now
    self.estimate_ms: int = estimate_ms
    self.listed_from_call = 0
    self.percent = 0
    self.progressed_at: float = now
    self.deadline_ms: int = deadline_ms
    self.sent_at: float = now
    self.sends = 1
    self.is_confirmed = False
    self.endpoint_was_up = False
    self.loss_recorded = False
    self.stop_sent_at: float | None = None
    self.stop_failures = 0
    self.duplicate_logged = False
    self.abandoned = False
    self.adopted = False
    self.served_until = math.inf
    self.observed_share = 0.0
    self.observed_at: float = now
    self.in_time_until: float = now

  @property
  def was_resent(self) -> bool:
    """True if its start request was sent again, as the first got no answer."""
    return self.sends > 1

  @property
  def is_at_later_incarnation(self) -> bool:
    """True if another incarnation than the one it was meant for started it."""
    return self.state is RunState.RUNNING and not self.is_confirmed

  @property
  def active(self) -> bool:
    """True if its start was requested or it runs, and no stop was requested."""
    return self.state in (RunState.ORDERED, RunState.RUNNING)

  @property
  def wanted(self) -> bool:
    """True if its job is known and its stop has not been requested."""
    return self.need is not None and self.active

  def expected_end(self, speed_factor: float) -> float:
    """Returns when the run ends by its estimate (s), whatever its progress."""
    return self.started_at + self.estimate_ms * speed_factor / 1000

  def predicted_end(self, speed_factor: float) -> float:
    """Returns when the run will end (s), by its last progress or its estimate.

    The progress counts at the time it was reported, since it is reported only
    with each lease call.
    """
    took_s = self.predicted_duration_s(self.progressed_at)
    if took_s is None:
      return self.expected_end(speed_factor)
    return self.started_at + took_s

  def predicted_duration_s(self, now: float) -> float | None:
    """Returns its total time predicted from its progress; None if unknown."""
    took_s = now - self.started_at
    if self.need is None or not self.percent or took_s < PROGRESS_MIN_S:
      return None
    return took_s * 100 / self.percent

  def observed_slowdown(self, now: float) -> float:
    """Returns the ratio of predicted to estimated time; 0 if not slowed."""
    total_s = self.predicted_duration_s(now)
    if total_s is None or not self.estimate_ms:
      return 0.0
    ratio = total_s * 1000 / self.estimate_ms
    return ratio if ratio > SLOW_RATIO else 0.0

  def stuck(self, now: float) -> bool:
    """Returns whether the run makes no progress."""
    limit_s = max(STUCK_MIN_S, STUCK_FACTOR * self.estimate_ms / 1000)
    return (
        self.state is RunState.RUNNING
        and self.need is not None
        and now - self.progressed_at > limit_s
    )


@dataclasses.dataclass(frozen=True)
class LateStart:
  """A start request that got no answer.

  Attributes:
    run: the run.
    need: the resources that it would take.
    sent_at: when the request was sent (s).
  """

  run: model.RunId
  need: model.Resources
  sent_at: float


class LateStarts:
  """The start requests to an endpoint that got no answer, the newest ones."""

  def __init__(self):
    self._starts: collections.deque[LateStart] = collections.deque(
        maxlen=LATE_STARTS
    )

  def record(self, run: Run):
    """Records that the start request of a run got no answer."""
    self._starts.append(LateStart(run.id, run.need, run.sent_at))

  def recent(self, now: float) -> list[LateStart]:
    """Returns the requests that may still be carried out late."""
    return [s for s in self._starts if now - s.sent_at < LATE_START_S]
