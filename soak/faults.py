"""Plans of faults, drawn from a seed."""

import dataclasses
import enum
import random

from soak import proxy as proxy_lib

__all__ = [
    "LINKS",
    "Kind",
    "PlannedFault",
    "plan_faults",
    "plan_losses",
    "plan_silences",
    "plan_statements",
    "plan_work",
]

LINKS = ("caller", "peer", "store", "target")


class Kind(enum.Enum):
    """Kinds of faults, and of changes by operators and callers."""

    DAEMON_PAUSE = "daemon-pause"
    DAEMON_KILL = "daemon-kill"
    DAEMON_RESTART = "daemon-restart"
    DAEMON_RELOAD = "daemon-reload"
    ALL_DAEMONS_KILL = "all-daemons-kill"
    TARGET_PAUSE = "target-pause"
    TARGET_KILL = "target-kill"
    TARGET_LEAVE = "target-leave"
    LINK = "link"
    STORE_REFUSES = "store-refuses"
    STORE_AWAY = "store-away"
    STORE_FORGETS = "store-forgets"
    EVACUATE = "evacuate"
    CONFIGURE = "configure"
    BURST = "burst"
    STORE_RESTORED = "store-restored"
    STORE_SILENT = "store-silent"
    TARGET_LIMITED = "target-limited"
    TARGET_LEAVES_QUIETLY = "target-leaves-quietly"
    VM_LOST = "vm-lost"


# Relative frequency of each kind.
_WEIGHT_BY_KIND = {
    Kind.DAEMON_PAUSE: 3,
    Kind.DAEMON_KILL: 3,
    Kind.DAEMON_RESTART: 3,
    Kind.DAEMON_RELOAD: 1,
    Kind.ALL_DAEMONS_KILL: 1,
    Kind.TARGET_PAUSE: 3,
    Kind.TARGET_KILL: 3,
    Kind.TARGET_LEAVE: 3,
    Kind.LINK: 8,
    Kind.STORE_REFUSES: 1,
    Kind.STORE_AWAY: 2,
    Kind.STORE_FORGETS: 1,
    Kind.EVACUATE: 2,
    Kind.CONFIGURE: 3,
    Kind.BURST: 2,
}
_MODES = tuple(
    mode for mode in proxy_lib.Mode if mode is not proxy_lib.Mode.PASS
)
_MIN_DURATION_MS = 300
_MAX_DURATION_MS = 6_000
_MAX_DELAY_MS = 1_500
# Pause between the stops of two VMs; a stop takes longer, so they overlap.
_MIN_STOP_PAUSE_MS = 100
_MAX_STOP_PAUSE_MS = 1_500
# Grace period that a reload of planned work sets.
_GRACE_MS = 5_900
# VMs that join during a run, and are lost for good.
_LOSSES = 3
# Times in a run at which all open connections to the store fall silent.
_SILENCES = 2
# Changes of settings or configuration for each stop.
_CHANGES_PER_STOP = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedFault:
    """One fault of a plan; fields that its kind does not use are ignored.

    Attributes:
      at_ms: When it begins, relative to the start of the plan.
      for_ms: Duration, for kinds that have one; grace period for
        `Kind.DAEMON_RELOAD`.
      vm: Index of the VM, for kinds that affect one VM.
      link: Link that `Kind.LINK` affects.
      mode: Mode of the proxies on affected links.
      delay_ms: Delay of each chunk of bytes in the mode `DELAY`.
    """

    kind: Kind
    at_ms: int
    for_ms: int
    vm: int
    link: str
    mode: proxy_lib.Mode
    delay_ms: int


def plan_faults(
    seed: int, count: int, length_ms: int, vms: int
) -> list[PlannedFault]:
    """Returns random faults, sorted by the time at which they begin.

    Args:
      seed: The same seed and arguments give the same plan.
      count: Number of faults.
      length_ms: Time over which they begin.
      vms: Number of VMs.

    Example:
      >>> plan_faults(1, 5, 10_000, 4) == plan_faults(1, 5, 10_000, 4)
      True
    """
    source = random.Random(seed)
    kinds = list(_WEIGHT_BY_KIND)
    weights = list(_WEIGHT_BY_KIND.values())
    planned = [
        _draw(source, source.choices(kinds, weights)[0], length_ms, vms)
        for _ in range(count)
    ]
    return sorted(planned, key=lambda each: each.at_ms)


def plan_statements(seed: int, length_ms: int, vms: int) -> list[PlannedFault]:
    """Returns faults that targets or the store state in their answers.

    They are drawn apart from the others, so that a seed keeps its plan.

    Args:
      seed: The same seed and arguments give the same plan.
      length_ms: Time over which they begin.
      vms: Number of VMs.
    """
    source = random.Random(f"statements {seed}")
    planned = [
        _draw(source, kind, length_ms, vms)
        for kind in (
            Kind.STORE_RESTORED,
            Kind.TARGET_LIMITED,
            Kind.TARGET_LIMITED,
            Kind.TARGET_LEAVES_QUIETLY,
        )
    ]
    return sorted(planned, key=lambda each: each.at_ms)


def plan_losses(seed: int, length_ms: int, vms: int) -> list[PlannedFault]:
    """Returns VMs that join beside one of the others and are lost for good.

    They are drawn apart from the other faults, so that a seed keeps its plan.

    Args:
      seed: The same seed and arguments give the same plan.
      length_ms: Time over which they join.
      vms: Number of VMs.
    """
    source = random.Random(f"losses {seed}")
    return _draw_repeated(source, Kind.VM_LOST, _LOSSES, length_ms, vms)


def plan_silences(seed: int, length_ms: int, vms: int) -> list[PlannedFault]:
    """Returns silences of the store, each with a configuration after it.

    They are drawn apart from the other faults, so that a seed keeps its plan.

    Args:
      seed: The same seed and arguments give the same plan.
      length_ms: Time over which they begin.
      vms: Number of VMs.
    """
    source = random.Random(f"silences {seed}")
    return _draw_repeated(source, Kind.STORE_SILENT, _SILENCES, length_ms, vms)


def plan_work(seed: int, length_ms: int, vms: int) -> list[PlannedFault]:
    """Returns planned work only: stops in turn, reloads and configurations.

    Args:
      seed: The same seed and arguments give the same plan.
      length_ms: Time over which it begins.
      vms: Number of VMs.
    """
    source = random.Random(f"work {seed}")
    at_ms = 0
    planned = []
    while at_ms < length_ms:
        stop = _draw(source, Kind.DAEMON_RESTART, length_ms, vms)
        planned.append(dataclasses.replace(stop, at_ms=at_ms))
        if source.random() < _CHANGES_PER_STOP:
            kind = source.choice((Kind.DAEMON_RELOAD, Kind.CONFIGURE))
            change = _draw(source, kind, length_ms, vms)
            planned.append(dataclasses.replace(change, for_ms=_GRACE_MS))
        at_ms += source.randint(_MIN_STOP_PAUSE_MS, _MAX_STOP_PAUSE_MS)
    return sorted(planned, key=lambda each: each.at_ms)


def _draw_repeated(
    source: random.Random, kind: Kind, count: int, length_ms: int, vms: int
) -> list[PlannedFault]:
    planned = [_draw(source, kind, length_ms, vms) for _ in range(count)]
    return sorted(planned, key=lambda each: each.at_ms)


def _draw(
    source: random.Random, kind: Kind, length_ms: int, vms: int
) -> PlannedFault:
    return PlannedFault(
        kind=kind,
        at_ms=source.randrange(length_ms),
        for_ms=source.randint(_MIN_DURATION_MS, _MAX_DURATION_MS),
        vm=source.randrange(vms),
        link=source.choice(LINKS),
        mode=source.choice(_MODES),
        delay_ms=source.randint(1, _MAX_DELAY_MS),
    )
