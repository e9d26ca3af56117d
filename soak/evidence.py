"""Records of what callers and targets observed during a run."""

import bisect
import dataclasses
import enum

__all__ = [
    "Attempt",
    "Change",
    "Ending",
    "Evidence",
    "Fault",
    "Holding",
    "Run",
    "Statement",
    "TargetInstance",
    "in_force",
]

# First key, last key (inclusive) and fencing token of a granted key range.
Row = tuple[int, int, int]


class Ending(enum.Enum):
    """How a request ended for its caller."""

    OPEN = "open"
    ANSWERED = "answered"
    # The connection ended without a complete answer.
    CUT = "cut"
    # The caller gave up without an answer.
    TIMED_OUT = "timed-out"


@dataclasses.dataclass(slots=True)
class Attempt:
    """One request of a caller.

    Attributes:
      vm: VM of the caller.
      route: Name of the route.
      key: Shard key, None on routes without keys.
      deadline_ms: How long the caller waits for the answer.
      ended_ms: When the caller got an answer or gave up, None before.
      whole_ms: When its last byte was sent, None before.
      ending: How it ended for the caller.
      status: Status of the answer, None if the connection broke.
      signer: Target that the answer names; empty if it names none.
      answer: Body of the answer.
    """

    request_id: str
    vm: str
    route: str
    key: int | None
    path: str
    body: str = dataclasses.field(repr=False)
    sent_ms: int
    deadline_ms: int
    ended_ms: int | None = None
    whole_ms: int | None = None
    ending: Ending = Ending.OPEN
    status: int | None = None
    signer: str = ""
    answer: str = ""


@dataclasses.dataclass(slots=True)
class Run:
    """One request that a target started to run.

    Attributes:
      life: Name of the target instance.
      caller: Service of the caller that the request to the target named.
      deadline_ms: Remaining time that the request to the target stated, None
        if none.
      ended_ms: When the run ended, None if the target was killed before.
    """

    life: str
    request_id: str
    key: int | None
    path: str
    body: str = dataclasses.field(repr=False)
    caller: str
    deadline_ms: int | None
    began_ms: int
    ended_ms: int | None = None


@dataclasses.dataclass(slots=True)
class Holding:
    """Key ranges that a target instance held for a time.

    Attributes:
      life: Name of the target instance.
      until_ms: When the grant expires.
    """

    life: str
    rows: list[Row]
    began_ms: int
    until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """What a target states in its responses from `at_ms` on.

    Attributes:
      limit_per_s: Requests a second that it takes; None for any number.
    """

    at_ms: int
    limit_per_s: float | None
    is_leaving: bool


@dataclasses.dataclass(slots=True)
class TargetInstance:
    """One process of a target, from start to exit.

    Attributes:
      leaving_ms: When the daemon acknowledged that the target leaves, None if
        it never did.
      ended_ms: When the process ended, None if it has not.
      statements: What it stated in its responses, in order of time.
    """

    name: str
    vm: str
    service: str
    availability_zone: str
    region: str
    leaving_ms: int | None = None
    ended_ms: int | None = None
    statements: list[Statement] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Fault:
    """A fault at one VM, or at all VMs if `vm` is empty."""

    kind: str
    vm: str
    began_ms: int
    ended_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change by the operator; `value` is in force from `at_ms` on."""

    at_ms: int
    value: str


@dataclasses.dataclass(slots=True)
class Evidence:
    """All records of a run; times are in milliseconds of one clock.

    Attributes:
      service_by_vm: Service of each VM's target.
      moves: Services to which the route `moving` leads, in order of time.
      evacuations: Evacuated availability zone, empty for none, in order of
        time.
      calm_ms: When the last fault was over.
      ended_ms: When the run ended; requests that were open then are unfinished.
      is_planned_work: Whether nothing but planned work disturbed the run.
      errors: Unexpected exits of daemons, unexpected errors in their logs, and
        failures of the soak itself.
    """

    service_by_vm: dict[str, str]
    attempt_by_id: dict[str, Attempt] = dataclasses.field(default_factory=dict)
    instance_by_name: dict[str, TargetInstance] = dataclasses.field(
        default_factory=dict
    )
    runs: list[Run] = dataclasses.field(default_factory=list)
    holdings: list[Holding] = dataclasses.field(default_factory=list)
    faults: list[Fault] = dataclasses.field(default_factory=list)
    moves: list[Change] = dataclasses.field(default_factory=list)
    evacuations: list[Change] = dataclasses.field(
        default_factory=lambda: [Change(0, "")]
    )
    calm_ms: int = 0
    ended_ms: int = 0
    is_planned_work: bool = False
    errors: list[str] = dataclasses.field(default_factory=list)

    def is_fault_free(
        self, vm: str, first_ms: int, last_ms: int, kinds: tuple[str, ...] = ()
    ) -> bool:
        """Returns whether a VM had no fault between two times, inclusive.

        Args:
          vm: The VM.
          first_ms: Start of the time.
          last_ms: End of the time.
          kinds: Beginnings of the kinds of faults that count; empty for all.
        """
        return not any(
            fault.vm in ("", vm)
            and fault.kind.startswith(kinds or "")
            and fault.began_ms <= last_ms
            and (fault.ended_ms is None or fault.ended_ms >= first_ms)
            for fault in self.faults
        )

    def holdings_by_instance(self) -> dict[str, list[Holding]]:
        """Returns the holdings of each target instance, in order of time."""
        found: dict[str, list[Holding]] = {}
        for holding in self.holdings:
            found.setdefault(holding.life, []).append(holding)
        return found

    def runs_by_id(self) -> dict[str, list[Run]]:
        """Returns the runs of each request."""
        found: dict[str, list[Run]] = {}
        for run in self.runs:
            found.setdefault(run.request_id, []).append(run)
        return found


def in_force(changes: list[Change], first_ms: int, last_ms: int) -> set[str]:
    """Returns the values that were in force at some time between two times."""
    begin = bisect.bisect_right(changes, first_ms, key=lambda c: c.at_ms)
    candidates = changes[max(0, begin - 1) :]
    return {change.value for change in candidates if change.at_ms <= last_ms}
