"""Results of the admission of a request to a slot."""

import asyncio
from collections.abc import Callable
import dataclasses

from mustardloom import ids

__all__ = [
    "AdmitResult",
    "Admitted",
    "Incoming",
    "LeaseLapsed",
    "NotOwner",
    "SlotKey",
]

SlotKey = tuple[ids.GroupId, ids.SlotIndex]


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request may run; call `Holdings.end_request` when it has ended."""

    epoch: ids.Epoch


@dataclasses.dataclass(frozen=True, slots=True)
class NotOwner:
    """The slot is not served here.

    Attributes:
      likely_owner: Likely owner, None if unknown.
    """

    likely_owner: ids.MemberId | None


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseLapsed:
    """No slot is served here, because the lease is not held."""


@dataclasses.dataclass(frozen=True, slots=True)
class Incoming:
    """The slot will be served here soon.

    Attributes:
      wait: Called with a deadline in ms on the local clock. Waits for the slot
        and tries again; the result is `Incoming` only if the deadline passed.
    """

    wait: Callable[[int], "asyncio.Future[AdmitResult]"]


AdmitResult = Admitted | NotOwner | Incoming | LeaseLapsed
