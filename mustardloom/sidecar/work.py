"""A request that is routed through the fleet, and its possible outcomes."""

import asyncio
import dataclasses
import enum

from mustardloom import ids
from mustardloom.http1 import bodies
from mustardloom.http1 import messages

__all__ = [
    "NO_VM",
    "Answered",
    "Attempt",
    "Failed",
    "FailureReason",
    "Outcome",
    "Progress",
    "RefusalReason",
    "Refused",
    "Unanswered",
    "Work",
    "discard",
]


NO_VM = ids.VmId("")


class RefusalReason(enum.Enum):
    """Why a request was certainly not run.

    Attributes:
      NO_TARGET: No target was asked: none is available or time has run out.
      NO_OWNER: The key has no owner that may run the request.
      NOT_OWNER: The target that was asked does not hold the key, or is not the
        expected one.
      NO_KEY: The service is keyed, but the request has no key.
      UNREACHABLE: The daemon beside the target cannot be reached.
      OTHER_SERVICE: The target that was asked serves another service.
      NO_ROOM: A process has no room for more bytes.
      STOPPING: The daemon beside the target ends before the request would.
      ENDING: The daemon at which the request entered the fleet ends before it.
      NO_REGION: No region is allowed by both the route and the organisation.
      BROKEN_OFF: The body of the request broke off before the target got any
        of it.
    """

    NO_TARGET = "no-target"
    TARGET_DOWN = "target-down"
    TARGET_REFUSED = "target-refused"
    LEAVING = "leaving"
    EVACUATED = "evacuated"
    COLD = "cold"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    QUARANTINED = "quarantined"
    NO_OWNER = "no-owner"
    NOT_OWNER = "not-owner"
    NO_KEY = "no-key"
    UNREACHABLE = "unreachable"
    STOPPING = "stopping"
    NO_CONFIGURATION = "no-configuration"
    OTHER_SERVICE = "other-service"
    NO_ROOM = "no-room"
    BROKEN_OFF = "broken-off"
    ENDING = "ending"
    NO_REGION = "no-region"


class FailureReason(enum.Enum):
    """Why a request failed that may have run.

    Attributes:
      INCOMPLETE: The response is truncated or not valid HTTP.
      NOT_SIGNED: The response lacks the target's signature.
      UPLOAD_BROKEN: The body of the request broke off after the target had got
        a part of it.
      ENCODED: The body of the response has a content coding, such as gzip.
    """

    PEER_LOST = "peer-lost"
    TARGET_LOST = "target-lost"
    INCOMPLETE = "incomplete"
    NOT_SIGNED = "not-signed"
    UPLOAD_BROKEN = "upload-broken"
    ENCODED = "encoded"
    DEADLINE = "deadline"
    INTERNAL = "internal"


@dataclasses.dataclass(slots=True)
class Progress:
    """How far a request has come at this daemon.

    Attributes:
      gates: Gates that have had the request and have not refused it.
    """

    gates: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """One request, matched to a route and a service.

    Attributes:
      service: Service whose targets may run it.
      target: Request target, path and query.
      headers: End-to-end headers of the caller.
      body: The whole body, empty if it passes in pieces.
      caller_service: Service of the VM at which the request entered the fleet.
      priority: Rank, 0 is the most urgent.
      objective_ms: Local time by which an answer meets the latency objective.
      deadline_ms: Local time after which an answer is useless.
      key: Key that decides the owner, None if any target may run it.
      fingerprint: Equal for repetitions of the same request.
      is_call: Whether a running request waits for the answer.
      rest: The body if it passes in pieces, else None.
      organisation: Organisation of the caller, None if it has none.
      progress: How far it has come.
    """

    service: ids.ServiceId
    method: str
    target: str
    headers: tuple[messages.Header, ...]
    body: bytes
    request_id: str
    route: ids.RouteId
    caller_service: ids.ServiceId
    is_idempotent: bool
    priority: int
    objective_ms: int
    deadline_ms: int
    key: int | None
    fingerprint: int
    is_call: bool
    rest: bodies.BodySource | None = None
    organisation: ids.OrganisationId | None = None
    progress: Progress = dataclasses.field(
        default_factory=Progress, compare=False
    )

    def is_whole(self) -> bool:
        """Returns whether it can still be sent from its first byte."""
        return self.rest is None or not self.rest.is_taken


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The target ran the request; its response.

    A long body follows in pieces, and may still break off.
    """

    response: messages.Response


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request was certainly not run.

    Attributes:
      retry_after_ms: Time after which a retry may succeed.
      was_offered: Whether a target got the request and refused it itself.
      owner: VM to ask instead, empty if none is known.
    """

    reason: RefusalReason
    retry_after_ms: int = 0
    was_offered: bool = False
    owner: ids.VmId = NO_VM


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The request failed and may have run."""

    reason: FailureReason


Outcome = Answered | Refused | Failed


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """An attempt that may stay without an answer, and goes on.

    Nobody knows whether the target is at work on it. So another attempt may
    begin beside it, and it ends once one of them is answered.

    Attributes:
      rest: Awaited for the outcome; cancelling it ends the attempt.
    """

    rest: "asyncio.Future[Outcome]"


# What is known of an attempt: its outcome, or that there may be none.
Attempt = Outcome | Unanswered


def discard(outcome: Outcome | None) -> None:
    """Ends the body of an answer that nobody is going to read."""
    if isinstance(outcome, Answered) and outcome.response.rest is not None:
        outcome.response.rest.close()
