"""Whether the target holds the key of a request."""

import dataclasses
from typing import Protocol

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom.sidecar import work
from mustardloom.sidecar.gate import timing

__all__ = ["KeyCheck", "KeyOwnership", "await_key", "refusal_if_not_held"]

# Longest wait for a key that is being handed over to the target.
_KEY_WAIT_MS = 700
_KEY_POLL_MS = 15


@dataclasses.dataclass(frozen=True, slots=True)
class KeyCheck:
    """Whether the target holds a key.

    Attributes:
      is_held: The target may run requests for the key.
      is_pending: The key is about to be granted to the target.
      owner: VM to ask instead, empty if none is known.
    """

    is_held: bool
    is_pending: bool = False
    owner: ids.VmId = work.NO_VM


class KeyOwnership(Protocol):
    """Knows which keys the target holds."""

    def check(self, key: int) -> KeyCheck:
        """Returns whether the target holds a key."""

    def count_request(self, key: int) -> None:
        """Counts a request for a key that the target holds."""


def refusal_if_not_held(
    keys: KeyOwnership, request: work.Work
) -> work.Refused | None:
    """Returns the refusal of a request whose key the target does not hold."""
    if request.key is None:
        return None
    check = keys.check(request.key)
    return None if check.is_held else _not_owner(check)


async def await_key(
    keys: KeyOwnership,
    request: work.Work,
    may_wait: bool,
    clock: clock_lib.Clock,
) -> work.Refused | None:
    """Counts a request for its key, after a wait for the key if needed.

    Args:
      keys: Keys of the target.
      request: The request, with a key or without.
      may_wait: Whether to wait for a key that is being handed over.
      clock: Clock of this daemon.

    Returns:
      None if the target may run the request, else its refusal.
    """
    if request.key is None:
        return None
    check = keys.check(request.key)
    limit_ms = min(
        clock.now_ms() + _KEY_WAIT_MS,
        request.deadline_ms - timing.REFUSAL_DELAY_MS,
    )
    while may_wait and check.is_pending and not check.is_held:
        if clock.now_ms() >= limit_ms:
            break
        await clock.sleep_ms(_KEY_POLL_MS)
        check = keys.check(request.key)
    if check.is_held:
        keys.count_request(request.key)
        return None
    return _not_owner(check)


def _not_owner(check: KeyCheck) -> work.Refused:
    return work.Refused(
        work.RefusalReason.NOT_OWNER, timing.RETRY_AFTER_MS, owner=check.owner
    )
