"""Attempts at one request, and which of their outcomes the caller gets.

Load pattern: a target that cannot queue a request never answers it, but a slow
request looks the same for as long as it runs. An attempt that was ended on that
presumption would lose the only answer if no other target has a place. So it
goes on beside the next attempt, and ends once one of them is answered.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
from typing import Any

from mustardloom.sidecar import work

__all__ = ["Attempts"]

_FIRST_ERROR_STATUS = 500

# Begins an attempt.
_Start = Callable[[], Coroutine[Any, Any, work.Attempt]]


class Attempts:
    """Attempts at one request so far.

    Attributes:
      offered: Targets that the request was offered to.
      merged: What the caller gets if no other outcome follows; None before the
        first one.
    """

    def __init__(self, on_fault: Callable[[BaseException], None]):
        """Creates an object without attempts.

        Args:
          on_fault: Called with the error of an attempt that is open.
        """
        self.offered = 0
        self.merged: work.Outcome | None = None
        self._on_fault = on_fault
        # Attempts that may stay unanswered.
        self._open: set[asyncio.Future[work.Outcome]] = set()
        self._is_merged_taken = False

    async def begin(self, start: _Start) -> work.Attempt:
        """Begins an attempt; returns what is known of it.

        If an earlier one is answered first, that is returned, and the attempt
        is ended.
        """
        if not self._open:
            return self._note(await start())
        self._merge_done()
        if self.merged is not None and is_served(self.merged):
            return self.merged
        latest = asyncio.ensure_future(start())
        try:
            served = await self._served_before(latest)
        except BaseException:
            _end(latest)
            raise
        if served is not None:
            _end(latest)
            return served
        return self._note(latest.result())

    async def _served_before(
        self, latest: "asyncio.Future[work.Attempt]"
    ) -> work.Outcome | None:
        """Returns the first answer to an earlier attempt.

        Returns None once something is known of the latest attempt.
        """
        while not latest.done():
            waited: set[asyncio.Future[Any]] = {latest, *self._open}
            await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
            self._merge_done()
            if is_served(self.merged):
                return self.merged
        return None

    async def final_outcome(self, limit_s: float) -> work.Outcome | None:
        """Returns the answer to an attempt, else what all have come to.

        Args:
          limit_s: Time after which the error of a target is returned, although
            another attempt is open.
        """
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + limit_s
        while self._open and not is_served(self.merged):
            timeout_s = None
            if isinstance(self.merged, work.Answered):
                timeout_s = max(0.0, ends_s - loop.time())
            done, _ = await asyncio.wait(
                self._open,
                timeout=timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                break
            self._merge_done()
        self._is_merged_taken = True
        return self.merged

    def merge(self, outcome: work.Outcome) -> None:
        """Adds an outcome."""
        self.merged = _merge(self.merged, outcome)

    def end(self) -> None:
        """Ends the attempts that are open; drops what was not returned."""
        for rest in self._open:
            _end(rest)
        self._open.clear()
        if not self._is_merged_taken:
            work.discard(self.merged)

    def _note(self, attempt: work.Attempt) -> work.Attempt:
        if isinstance(attempt, work.Unanswered):
            self._open.add(attempt.rest)
        else:
            self.merge(attempt)
        return attempt

    def _merge_done(self) -> None:
        """Merges the outcomes of attempts that were open and have ended."""
        for rest in [each for each in self._open if each.done()]:
            self._open.discard(rest)
            self.merge(self._outcome_of(rest))

    def _outcome_of(self, rest: "asyncio.Future[work.Outcome]") -> work.Outcome:
        error = None if rest.cancelled() else rest.exception()
        if error is not None:
            self._on_fault(error)
        if rest.cancelled() or error is not None:
            return work.Failed(work.FailureReason.INTERNAL)
        return rest.result()


def is_served(outcome: work.Outcome | None) -> bool:
    """Returns whether an outcome is an answer other than a server error."""
    return (
        isinstance(outcome, work.Answered)
        and outcome.response.status < _FIRST_ERROR_STATUS
    )


def _end(attempt: "asyncio.Future[Any]") -> None:
    """Ends an attempt, or drops what has come of it."""
    if not attempt.done():
        attempt.cancel()
        return
    if attempt.cancelled() or attempt.exception() is not None:
        return
    outcome = attempt.result()
    if isinstance(outcome, work.Unanswered):
        _end(outcome.rest)
    else:
        work.discard(outcome)


def _merge(before: work.Outcome | None, latest: work.Outcome) -> work.Outcome:
    """Returns which of two outcomes the caller gets.

    A refusal promises that the request was not run, so it must not replace an
    answer or a failure, after which the request may have run.
    """
    match before, latest:
        case None, _:
            return latest
        case work.Answered(), _ if is_served(before):
            work.discard(latest)
            return before
        case _, work.Answered():
            work.discard(before)
            return latest
        case ((work.Answered() | work.Failed()), _):
            return before
        case work.Refused(reason=work.RefusalReason.NOT_OWNER), _:
            return latest
        case work.Refused(), work.Refused():
            retry_ms = min(before.retry_after_ms, latest.retry_after_ms)
            return dataclasses.replace(latest, retry_after_ms=retry_ms)
        case _:
            return latest
