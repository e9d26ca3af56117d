"""Decides which requests still start while a daemon stops.

Fault: a request that starts late in the grace period is run and cut off at its
end, and its caller cannot tell whether to repeat it. So a request starts only
if it will end before the daemon does: until some time into the grace period any
one, and later only one whose own deadline comes first. All others are refused
at once, which tells the callers that nothing was run.
"""

import dataclasses
import enum

from mustardloom import clock as clock_lib

__all__ = ["Step", "StopAdmission", "StopPlan"]

# Callers notice within this time that the daemon is no longer ready, and go to
# other daemons.
_NOTICE_MS = 2_300
# The notice takes at most this share of the grace period; most of the rest is
# left to the requests that started last.
_NOTICE_SHARE = 0.4
# Share of the grace period that is kept free at its end.
_MARGIN_SHARE = 1 / 12
# Share of the grace period in which other daemons close links that have ended.
_LINK_END_SHARE = 1 / 20


class Step(enum.Enum):
    """Steps of a daemon's life, those of its stop in order.

    Attributes:
      SERVING: No stop has begun.
      NOTICE: Callers learn of the stop; any request may still start.
      CALLERS: Requests of callers that have arrived are answered.
      OTHER_DAEMONS: Requests of other daemons are answered.
      REPLIES: The last replies to other daemons are written.
      LINKS: Other daemons close their links.
    """

    SERVING = "serving"
    NOTICE = "notice"
    CALLERS = "callers"
    OTHER_DAEMONS = "other-daemons"
    REPLIES = "replies"
    LINKS = "links"


@dataclasses.dataclass(frozen=True, slots=True)
class StopPlan:
    """Times of one stop, all by the local clock.

    Attributes:
      admission_ends_ms: Until then any request may start.
      ends_ms: The daemon has ended by then.
      link_end_ms: How long other daemons may take to close their links.
    """

    admission_ends_ms: int
    ends_ms: int
    link_end_ms: int

    @classmethod
    def within(cls, grace_ms: int, now_ms: int) -> "StopPlan":
        """Returns the times of a stop that begins now.

        Example:
          >>> StopPlan.within(6_000, 0)
          StopPlan(admission_ends_ms=2300, ends_ms=5500, link_end_ms=300)
          >>> StopPlan.within(2_000, 0)
          StopPlan(admission_ends_ms=800, ends_ms=1833, link_end_ms=100)
        """
        notice_ms = min(_NOTICE_MS, round(grace_ms * _NOTICE_SHARE))
        return cls(
            now_ms + notice_ms,
            now_ms + round(grace_ms * (1 - _MARGIN_SHARE)),
            round(grace_ms * _LINK_END_SHARE),
        )


class StopAdmission:
    """The one place that decides on the last request of a stop.

    Whoever is about to hand a request to a target or to another daemon asks it:
    for requests that arrive, that waited in a queue, for a key or for the rest
    of their bytes, that other daemons forward, and for retries.

    Example:
      >>> clock = clock_lib.FakeClock(now_ms=0)
      >>> admission = StopAdmission(clock)
      >>> admission.may_start(60_000)
      True
      >>> _ = admission.begin(6_000)
      >>> clock.jump(2_500)
      >>> admission.may_start(5_000), admission.may_start(60_000)
      (True, False)

    Attributes:
      step: What the daemon does at present.
    """

    def __init__(self, clock: clock_lib.Clock):
        self.step = Step.SERVING
        self._clock = clock
        self._plan: StopPlan | None = None
        self._is_closed = False

    def begin(self, grace_ms: int) -> StopPlan:
        """Begins a stop; the grace period does not change any more."""
        self.step = Step.NOTICE
        self._plan = StopPlan.within(grace_ms, self._clock.now_ms())
        return self._plan

    def close(self) -> None:
        """Lets no request start any more."""
        self._is_closed = True

    def is_stopping(self) -> bool:
        """Returns whether a stop has begun."""
        return self._is_closed or self._plan is not None

    def is_limited(self) -> bool:
        """Returns whether some requests are refused because of a stop."""
        if self._is_closed:
            return True
        if self._plan is None:
            return False
        return self._clock.now_ms() >= self._plan.admission_ends_ms

    def may_start(self, deadline_ms: int, expected_ms: float = 0.0) -> bool:
        """Returns whether a request may start now.

        Args:
          deadline_ms: Local time after which nobody waits for its answer.
          expected_ms: Time that it is expected to take.
        """
        if self._is_closed:
            return False
        if self._plan is None or deadline_ms <= self._plan.ends_ms:
            return True
        now_ms = self._clock.now_ms()
        if now_ms >= self._plan.admission_ends_ms:
            return False
        return now_ms + expected_ms <= self._plan.ends_ms
