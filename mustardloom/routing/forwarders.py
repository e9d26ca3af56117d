"""Interface between the router and the transport between daemons."""

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
    """Load of a gate when it answered, in numbers of requests."""

    running: int
    queued: int
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class Forwarded:
    """Outcome of a forwarded request, and the load of the gate if known."""

    outcome: outcomes.Outcome
    load: GateLoad | None = None


class Forwarder(Protocol):
    """Sends requests to members, including the local one."""

    async def forward(
        self,
        member: ids.MemberId,
        destination: Destination,
        request: requests.Request,
        group: ids.GroupId,
        slot: ids.SlotIndex,
    ) -> Forwarded:
        """Runs a request at `member` and returns its outcome.

        Returns by the deadline of the request. Cancelling the call cancels the
        request at the member.
        """
        ...
