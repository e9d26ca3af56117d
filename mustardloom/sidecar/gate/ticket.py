"""An admitted request and the future of its outcome."""

import asyncio
import dataclasses
from typing import cast

from mustardloom.sidecar import work

__all__ = ["Ticket"]

_NOT_STARTED_MS = 0


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """An admitted request, waiting or running.

    Attributes:
      request: The request.
      outcome: Its outcome; cancelled if nobody waits for it any more.
      arrived_ms: Local time of its admission.
      started_ms: Local time at which it was sent to the target.
      running_at_start: Requests that ran at the target then, including it.
      is_overdue: Whether the target is presumed to leave it unanswered.
    """

    request: work.Work
    outcome: "asyncio.Future[work.Attempt]"
    arrived_ms: int
    started_ms: int = _NOT_STARTED_MS
    running_at_start: int = 0
    is_overdue: bool = False

    def mark_overdue(self) -> None:
        """Tells that there may be no answer; `outcome` is that of the rest."""
        self.is_overdue = True
        waiting = self.outcome
        rest: asyncio.Future[work.Outcome] = asyncio.Future()
        self.outcome = cast("asyncio.Future[work.Attempt]", rest)
        waiting.set_result(work.Unanswered(rest))

    def resolve(self, outcome: work.Outcome) -> None:
        """Sets the outcome, unless there is one or the caller has left."""
        if self.outcome.done():
            work.discard(outcome)
        else:
            self.outcome.set_result(outcome)
