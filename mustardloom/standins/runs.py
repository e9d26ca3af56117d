"""Record of the requests that a stand-in target ran or rejected."""

import collections
from collections.abc import Iterator
import enum

import msgspec

__all__ = ["Run", "RunOutcome", "RunPage", "RunRecord"]

_MAX_KEPT_RUNS = 100_000
_MAX_PAGE_RUNS = 10_000


class RunOutcome(enum.Enum):
    """How a run ended.

    NOT_RUN, EXPIRED and CANCELLED had no effect; CRASHED may have had one.
    """

    COMMITTED = "committed"
    NOT_RUN = "not-run"
    EXPIRED = "expired"
    CANCELLED = "cancelled"
    CRASHED = "crashed"


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """One request that reached the target.

    Attributes:
      number: Position in the record, starting at 1.
      request_id: Value of Idempotency-Key, empty if there was none.
      dispatch_id: Value of X-Mustardloom-Dispatch.
      key_hash: 64-bit hash of the key, None if there was none.
      group: Placement group, empty if none was named.
      slot: Slot, None if none was named.
      epoch: Fencing token, None if none was sent.
      path: Path of the request.
      instance: Id of the run of the target process.
      region: Region of the target.
      zone: Availability zone of the target.
      start_wall_ms: When it started or was rejected.
      end_wall_ms: When it ended.
      outcome: How it ended.
    """

    number: int
    request_id: str
    dispatch_id: str
    key_hash: int | None
    group: str
    slot: int | None
    epoch: int | None
    path: str
    instance: str
    region: str
    zone: str
    start_wall_ms: int
    end_wall_ms: int
    outcome: RunOutcome


class RunPage(msgspec.Struct, frozen=True):
    """Part of the record.

    Attributes:
      first: Lowest number that is still kept, 0 if none is.
      last: Highest number assigned so far, 0 if there is none.
      runs: The runs of the page, in order.
    """

    first: int
    last: int
    runs: tuple[Run, ...]


class RunRecord:
    """The most recent runs of a target, in the order in which they ended."""

    def __init__(self) -> None:
        self._runs: collections.deque[Run] = collections.deque(
            maxlen=_MAX_KEPT_RUNS
        )
        self._last = 0

    def next_number(self) -> int:
        """Assigns and returns the number of the next run to be added."""
        self._last += 1
        return self._last

    def add(self, run: Run) -> None:
        """Adds a run that ended; drops the oldest if the record is full."""
        self._runs.append(run)

    def page(self, after: int) -> RunPage:
        """Returns the first `_MAX_PAGE_RUNS` runs numbered above `after`."""
        first = self._runs[0].number if self._runs else 0
        return RunPage(first, self._last, tuple(self._after(after)))

    def _after(self, after: int) -> Iterator[Run]:
        if not self._runs:
            return
        start = max(0, after + 1 - self._runs[0].number)
        stop = min(len(self._runs), start + _MAX_PAGE_RUNS)
        for index in range(start, stop):
            yield self._runs[index]
