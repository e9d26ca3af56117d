"""Interfaces of the admission gate to its target, lease and callers."""

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
        """Returns the time at which the lease lapses unless it is renewed."""
        ...


class SlotPermit(Protocol):
    """Permit to run one request in its slot, taken just before dispatch."""

    def acquire(self) -> ids.Epoch | outcomes.Refused:
        """Returns the epoch to dispatch with, or why the request must not run.

        Each call that returns an epoch is followed by one `release`.
        """
        ...

    def release(self) -> None:
        """Releases the permit: the target no longer runs the request."""
        ...


class Dispatcher(Protocol):
    """Sends requests to the one target of this gate."""

    async def dispatch(
        self, request: requests.Request, dispatch: "Dispatch"
    ) -> "DispatchResult":
        """Runs one request; returns by `dispatch.deadline_ms` at the latest."""
        ...

    async def cancel(self, dispatch_id: str) -> bool:
        """Cancels a dispatch; returns whether it has certainly stopped."""
        ...

    async def probe(self) -> "Probe":
        """Checks whether the target answers."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class SlotId:
    """The slot in which a request runs.

    Attributes:
      group: Placement group of the slot.
      slot: Index of the slot in the group.
    """

    group: ids.GroupId
    slot: ids.SlotIndex


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """One attempt to run a request on the target.

    Attributes:
      dispatch_id: Identifies the dispatch for cancellation.
      placement: Slot of the request, None if it needs no slot.
      epoch: Fencing token of the slot.
      deadline_ms: Earlier of request deadline and lease expiry, local clock.
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
      instance: Id of the target process that answered, if known.
      crashed: Whether the connection was lost with the request in flight,
        without evidence that the target still runs.
    """

    outcome: outcomes.Outcome
    instance: str | None = None
    crashed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Result of a health check of the target.

    Attributes:
      answered: Whether the target answered in time.
      connected: Whether a connection could be opened.
      instance: Id of the target process, if the answer had one.
    """

    answered: bool
    connected: bool
    instance: str | None = None


class NoSlotPermit:
    """Permit of requests that need no slot; it is always granted."""

    def acquire(self) -> ids.Epoch:
        """Returns epoch 0, which stands for no slot."""
        return ids.Epoch(0)

    def release(self) -> None:
        """Does nothing, since no slot is held."""


class Cancellation:
    """Lets the sender of a request cancel it.

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
        """Sets the function that `cancel` calls, None for none."""
        self._callback = callback
