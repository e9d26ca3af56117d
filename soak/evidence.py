"""What callers and targets saw during a run."""

import bisect
import dataclasses

__all__ = [
    "Attempt",
    "Change",
    "Evidence",
    "Fault",
    "Holding",
    "Run",
    "TargetInstance",
    "in_force",
]

Row = tuple[int, int, int]


@dataclasses.dataclass(slots=True)
class Attempt:
    """One request of a caller.

    Attributes:
      route: Name of the route.
      deadline_ms: How long the caller waits.
      ended_ms: When it was over, None while it is not.
      status: Status of the answer, None if the connection broke.
      signer: Target that the answer names, empty for other answers.
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
    status: int | None = None
    signer: str = ""
    answer: str = ""


@dataclasses.dataclass(slots=True)
class Run:
    """One request that a target began.

    Attributes:
      deadline_ms: Time left that the target was told, None if none.
      ended_ms: When it was done, None if the target was killed before.
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
    """Rows of first key, last key, fence that a target held for a time."""

    life: str
    rows: list[Row]
    began_ms: int
    until_ms: int


@dataclasses.dataclass(slots=True)
class TargetInstance:
    """One run of a target.

    Attributes:
      leaving_ms: When its leave was acknowledged, None if it did not leave.
      ended_ms: When its process ended, None if it did not.
    """

    name: str
    vm: str
    service: str
    availability_zone: str
    region: str
    leaving_ms: int | None = None
    ended_ms: int | None = None


@dataclasses.dataclass(slots=True)
class Fault:
    """Something done to one VM, or to all if `vm` is empty."""

    kind: str
    vm: str
    began_ms: int
    ended_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """An order of the operator; `value` holds from `at_ms` on."""

    at_ms: int
    value: str


@dataclasses.dataclass(slots=True)
class Evidence:
    """All of a run.

    Attributes:
      service_by_vm: Service of each VM's target.
      moves: Services of the route that moves.
      evacuations: Evacuated zone, empty for none, in order of time.
      calm_ms: When the last fault was over.
      ended_ms: When the callers were stopped.
      ends: Daemons that ended by themselves, and faults that they logged.
    """

    service_by_vm: dict[str, str]
    attempt_by_id: dict[str, Attempt] = dataclasses.field(default_factory=dict)
    life_by_name: dict[str, TargetInstance] = dataclasses.field(
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
    ends: list[str] = dataclasses.field(default_factory=list)

    def is_calm(self, vm: str, first_ms: int, last_ms: int) -> bool:
        """Returns whether nothing was done to a VM between two times."""
        return not any(
            fault.vm in ("", vm)
            and fault.began_ms <= last_ms
            and (fault.ended_ms is None or fault.ended_ms >= first_ms)
            for fault in self.faults
        )

    def holdings_by_life(self) -> dict[str, list[Holding]]:
        """Returns the holdings of each run of a target, in order of time."""
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
    """Returns the values that held at some time between two times."""
    begin = bisect.bisect_right(changes, first_ms, key=lambda c: c.at_ms)
    held = changes[max(0, begin - 1) :]
    return {change.value for change in held if change.at_ms <= last_ms}
