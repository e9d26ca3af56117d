"""Outcomes of a request."""

import dataclasses
import enum

from mustardloom import ids

__all__ = [
    "Answered",
    "Header",
    "Outcome",
    "RefusalReason",
    "Refused",
    "Unknown",
    "UnknownReason",
]

Header = tuple[str, str]


class RefusalReason(enum.Enum):
    """Why a request was refused; it has certainly not run."""

    MALFORMED = "malformed"
    NO_ROUTE = "no-route"
    TOO_LARGE = "too-large"
    HOME_REGION = "home-region"
    ORGANISATION = "organisation"
    REQUEST_ID = "request-id"
    QUARANTINED = "quarantined"
    NO_OWNER = "no-owner"
    NOT_OWNER = "not-owner"
    MOVED = "moved"
    LEASE_LAPSED = "lease-lapsed"
    STOPPED = "stopped"
    NO_TARGET = "no-target"
    TARGET_DOWN = "target-down"
    TARGET_REFUSED = "target-refused"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    PEER_UNREACHABLE = "peer-unreachable"
    RETRY_BUDGET = "retry-budget"
    SHUTTING_DOWN = "shutting-down"


class UnknownReason(enum.Enum):
    """Why it is unknown whether a request ran."""

    DEADLINE = "deadline"
    PEER_LOST = "peer-lost"
    TARGET_LOST = "target-lost"
    TRUNCATED = "truncated"
    CANCELLED = "cancelled"
    ID_RUNNING = "id-running"
    ID_UNRESOLVED = "id-unresolved"
    ID_TOO_OLD = "id-too-old"
    OWNER_LOST = "owner-lost"
    INTERNAL = "internal"


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The target's complete response."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request has certainly not run.

    Attributes:
      reason: Why it was refused.
      detail: One sentence for the caller.
      regions: Regions in which the request may be served, for HOME_REGION.
      owner: The member to send it to instead, for NOT_OWNER and MOVED.
    """

    reason: RefusalReason
    detail: str
    regions: tuple[ids.RegionId, ...] = ()
    owner: ids.MemberId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may or may not have run."""

    reason: UnknownReason
    detail: str


Outcome = Answered | Refused | Unknown
