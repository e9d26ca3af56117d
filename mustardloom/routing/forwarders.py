"""What the router needs from the transport between daemons."""

import dataclasses
import enum
from typing import Protocol

from mustardloom import ids
from mustardloom import outcomes
from mustardloom import requests

__all__ = ["Destination", "Forwarded", "Forwarder", "GateLoad"]


class Destination(enum.Enum):
    """Which part of the receiving daemon handles a forwarded request."""

    OWNER = "owner"
    GATE = "gate"


@dataclasses.dataclass(frozen=True, slots=True)
class GateLoad:
    """Load of a gate at the time of its answer, in requests."""

    running: int
    queued: int
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class Forwarded:
    """Outcome of a forwarded request and the load of the gate, if known."""

    outcome: outcomes.Outcome
    load: GateLoad | None = None


class Forwarder(Protocol):
    """Sends requests to members, the own one included."""

    async def forward(
        self,
        member: ids.MemberId,
        destination: Destination,
        request: requests.Request,
        group: ids.GroupId,
        slot: ids.SlotIndex,
    ) -> Forwarded:
        """Returns the outcome at `member`, by the request's deadline.

        Cancelling the call cancels the request at the member.
        """
        ...
