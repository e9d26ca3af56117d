"""What the gate needs from its target, its lease and its callers."""

from collections.abc import Callable
import dataclasses
from typing import Protocol

from mustardloom import ids
from mustardloom import outcomes
from mustardloom import requests

__all__ = [
    "Cancellation",
    "Dispatch",
    "DispatchResult",
    "Dispatcher",
    "LeaseView",
    "NoSlotPermit",
    "Probe",
    "SlotId",
    "SlotPermit",
]


class LeaseView(Protocol):
    """The lease of this member, on the local clock."""

    def is_held(self) -> bool:
        """Returns whether the lease is held now."""
        ...

    def expires_ms(self) -> int:
        """Returns when the lease lapses unless it is renewed."""
        ...


class SlotPermit(Protocol):
    """Right to run one request in its slot, asked for right before dispatch."""

    def acquire(self) -> ids.Epoch | outcomes.Refused:
        """Returns the epoch to dispatch with, or why the request must not run.

        Each call that returns an epoch is followed by one `release`.
        """
        ...

    def release(self) -> None:
        """Reports that the target no longer runs the request."""
        ...


class Dispatcher(Protocol):
    """Sends requests to the one target of this gate."""

    async def dispatch(
        self, request: requests.Request, dispatch: "Dispatch"
    ) -> "DispatchResult":
        """Runs one request; returns by `dispatch.deadline_ms` at the latest."""
        ...

    async def cancel(self, dispatch_id: str) -> bool:
        """Returns whether the target has certainly stopped the dispatch."""
        ...

    async def probe(self) -> "Probe":
        """Asks the target for a sign of life."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class SlotId:
    """The slot in which a request runs."""

    group: ids.GroupId
    slot: ids.SlotIndex


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """One sending of a request to the target.

    Attributes:
      dispatch_id: Names the dispatch for cancellation.
      placement: Slot of the request, None if no slot was entered.
      epoch: Fencing token of the slot.
      deadline_ms: Minimum of request deadline and lease expiry, local clock.
    """

    dispatch_id: str
    placement: SlotId | None
    epoch: ids.Epoch
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchResult:
    """Outcome of a dispatch and what it shows about the target.

    Attributes:
      outcome: The outcome for the caller.
      instance: Run of the target process that answered, if known.
      crashed: The connection was lost with the request in flight, and the
        target was not shown to have survived.
    """

    outcome: outcomes.Outcome
    instance: str | None = None
    crashed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Sign of life of the target.

    Attributes:
      answered: The target answered in time.
      connected: A connection could be opened.
      instance: Run of the target process, if it answered with one.
    """

    answered: bool
    connected: bool
    instance: str | None = None


class NoSlotPermit:
    """Entry of requests that are not bound to a slot."""

    def acquire(self) -> ids.Epoch:
        """See Entry."""
        return ids.Epoch(0)

    def release(self) -> None:
        """See Entry."""


class Cancellation:
    """Lets the sender of a request take it back.

    Example:
      >>> cancellation = Cancellation()
      >>> cancellation.cancel()
      >>> cancellation.cancelled
      True
    """

    def __init__(self) -> None:
        self.cancelled = False
        self._callback: Callable[[], None] | None = None

    def cancel(self) -> None:
        """Cancels the request; has no effect once it is finished."""
        self.cancelled = True
        if self._callback is not None:
            self._callback()

    def on_cancel(self, callback: Callable[[], None] | None) -> None:
        """Sets the function that `cancel` calls."""
        self._callback = callback
