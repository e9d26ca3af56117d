"""An admitted request and the future of its outcome."""

import asyncio
import dataclasses

from mustardloom.sidecar import work

__all__ = ["Ticket"]

_NOT_STARTED_MS = 0


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """An admitted request, waiting or running.

    Attributes:
      request: The request.
      outcome: Its outcome; cancelled if the caller has left.
      arrived_ms: Local time of its admission.
      started_ms: Local time at which it was sent to the target.
      running_at_start: Requests that ran at the target then, including it.
    """

    request: work.Work
    outcome: "asyncio.Future[work.Outcome]"
    arrived_ms: int
    started_ms: int = _NOT_STARTED_MS
    running_at_start: int = 0

    def resolve(self, outcome: work.Outcome) -> None:
        """Sets the outcome, unless there is one or the caller has left."""
        if self.outcome.done():
            work.discard(outcome)
        else:
            self.outcome.set_result(outcome)
