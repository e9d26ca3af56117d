"""Grants of one VM's keys to its target, and what the target may still hold.

Load pattern: a grant can only be sent in the answer to a heartbeat, and those
are rare. A target that has to release a key sends its next heartbeat soon, so
while keys move, one idle key is left out of each grant.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

import msgspec

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import slices
from mustardloom.deployment import targets
from mustardloom.keys import claims as claims_lib
from mustardloom.keys import key_map
from mustardloom.keys import ledger as ledger_lib

__all__ = ["HOLD_MS", "MAX_TOKENS", "Grants"]

# How long the target may hold granted keys: long enough to outlast a few lost
# heartbeats or a short restart of the daemon.
HOLD_MS = 4_000
# Of the 4 KiB that an answer to a heartbeat has, what its rows may take.
_MAX_RANGES_BYTES = 3_840
# Brackets, commas and quotes around the values of a range.
_RANGE_FRAME_BYTES = len('[,,,""],')
# Far more than one answer to a heartbeat can pass on.
MAX_TOKENS = 1_024


@dataclasses.dataclass(frozen=True, slots=True)
class _WithheldKey:
    """A key that was left out of a grant.

    Attributes:
      fence: Fencing token under which this VM owned it.
    """

    key: int
    fence: int


class Grants:
    """Grants to the instance of the target that sent the latest heartbeat.

    Args:
      vm: The VM.

    Attributes:
      claims: Which keys this VM owns and which of them are free to grant.
    """

    def __init__(self, vm: ids.VmId):
        self.claims = claims_lib.Claims(vm)
        self._vm = vm
        self._ledger: ledger_lib.GrantLedger | None = None
        # Local time at which all grants of an earlier process of this daemon
        # have expired; None before the first heartbeat.
        self._earlier_grants_expire_ms: int | None = None
        self._withheld: _WithheldKey | None = None
        # No key is left out twice in a row.
        self._last_withheld_key: int | None = None

    @property
    def instance(self) -> targets.TargetInstance | None:
        """Returns the instance of the latest heartbeat, None before it."""
        return None if self._ledger is None else self._ledger.instance

    def is_granted(self, key: int, now_ms: int) -> bool:
        """Returns whether the latest grant lists a key and has not expired."""
        return self._ledger is not None and self._ledger.is_granted(key, now_ms)

    async def observe_paced(
        self, announcement: targets.Announcement, clock: clock_lib.Clock
    ) -> None:
        """Records what a heartbeat reports, while other work runs in between.

        The heartbeat must be the newest one until this returns.
        """
        freed = announcement.freed
        if len(freed) > slices.ITEMS_IN_SLICE:
            ledger = self._ledger_of(announcement.instance, clock.now_ms())
            async for part in slices.paced(slices.split(freed)):
                ledger.record_freed(part)
            announcement = dataclasses.replace(announcement, freed=())
        self.observe(announcement, clock.now_ms())

    def observe(self, announcement: targets.Announcement, now_ms: int) -> None:
        """Records what a heartbeat reports as held and released."""
        ledger = self._ledger_of(announcement.instance, now_ms)
        ledger.observe(announcement, now_ms)
        self.claims.expire(now_ms)
        if self._is_known_to_map(ledger):
            self.claims.record_held(announcement.held)
        self._keep_handover_of_withheld(ledger)

    def grant(
        self,
        hold_ms: int,
        now_ms: int,
        withholds: bool,
        is_idle: Callable[[int], bool],
    ) -> tuple[targets.GrantedRange, ...]:
        """Records a new grant, which replaces all earlier ones.

        Args:
          hold_ms: For how long the target may hold the keys.
          now_ms: Local time.
          withholds: Whether to leave out an idle key, so that the target
            reports soon.
          is_idle: Returns whether nobody asks for a key.

        Returns:
          All keys that the target is to hold.

        Raises:
          ValueError: There was no heartbeat.
        """
        ledger = self._ledger
        if ledger is None:
            raise ValueError("no target has sent a heartbeat")
        rows: list[key_map.Row] = []
        if self._is_known_to_map(ledger):
            rows = list(self.claims.grantable())
        if withholds:
            rows = self._without_idle_key(rows, is_idle)
        rows = self._fitting(rows, ledger)
        ledger.grant(rows, hold_ms, now_ms)
        return tuple(self._with_tokens(rows))

    def released(
        self,
        first: int,
        last: int,
        fence: int,
        now_ms: int,
        is_target_gone: bool,
        most_tokens: int = MAX_TOKENS,
    ) -> Iterator[ledger_lib.ReleasedRange]:
        """Yields a range in parts with handover tokens if it is released.

        Yields nothing if the target may hold some of the keys, or if it cannot
        be known who held them.

        Args:
          first: First key.
          last: Last key.
          fence: Fencing token under which this VM owned the range.
          now_ms: Local time.
          is_target_gone: Whether the target's process has ended.
          most_tokens: Number of tokens after which the rest is one part.
        """
        ledger = self._ledger
        if ledger is None or self.claims.owns_some(first, last):
            return
        if not self.claims.can_confirm_release(first, last, fence):
            return
        if is_target_gone or ledger.holds_none(first, last, now_ms):
            yield from ledger.handovers(first, last, most_tokens)

    def _fitting(
        self, rows: list[key_map.Row], ledger: ledger_lib.GrantLedger
    ) -> list[key_map.Row]:
        """Returns the rows that an answer can list, first those listed before.

        A target drops an answer that is too long, and loses all its keys.
        """
        if sum(map(_row_bytes, rows)) <= _MAX_RANGES_BYTES:
            return rows
        left_bytes = _MAX_RANGES_BYTES
        fitting: list[key_map.Row] = []
        for row in sorted(rows, key=lambda row: not ledger.lists(row)):
            size = _row_bytes(row)
            if size <= left_bytes:
                left_bytes -= size
                fitting.append(row)
        return sorted(fitting, key=lambda row: row.first)

    def _with_tokens(
        self, rows: list[key_map.Row]
    ) -> Iterator[targets.GrantedRange]:
        """Yields the grants of rows, with as many tokens as an answer can list.

        The target serves keys without a token, too, if more slowly at first.
        """
        if not self.claims.has_handovers:
            yield from (_plain(row, row.first) for row in rows)
            return
        left_bytes = _MAX_RANGES_BYTES - sum(map(_row_bytes, rows))
        for row in rows:
            rest: targets.GrantedRange | None = _plain(row, row.first)
            for each in self.claims.handovers(row):
                if rest is None or not each.handover:
                    continue
                parts = list(_parts_around(each, rest))
                size = sum(map(_range_bytes, parts)) - _range_bytes(rest)
                if size > left_bytes:
                    break
                left_bytes -= size
                rest = None if parts[-1] is each else parts.pop()
                yield from parts
            if rest is not None:
                yield rest

    def _ledger_of(
        self, instance: targets.TargetInstance, now_ms: int
    ) -> ledger_lib.GrantLedger:
        """Returns the ledger of the instance that sent the latest heartbeat."""
        ledger = self._ledger
        if ledger is None or ledger.instance != instance:
            ledger = self._new_ledger(instance, now_ms)
        return ledger

    def _new_ledger(
        self, instance: targets.TargetInstance, now_ms: int
    ) -> ledger_lib.GrantLedger:
        ledger = ledger_lib.GrantLedger(instance)
        if self._earlier_grants_expire_ms is None:
            # This process may have been restarted while the target kept
            # running with grants that the previous process made.
            hold_ms = round(HOLD_MS * ledger_lib.CLOCK_FACTOR)
            self._earlier_grants_expire_ms = now_ms + hold_ms
        # Delayed heartbeats of instances that have ended may come first.
        ledger.assume_held_until(self._earlier_grants_expire_ms)
        self._ledger = ledger
        self._withheld = None
        self.claims.drop_handovers()
        return ledger

    def _is_known_to_map(self, ledger: ledger_lib.GrantLedger) -> bool:
        instance = self.claims.map.instance_by_vm.get(self._vm)
        return instance == ledger.instance

    def _keep_handover_of_withheld(
        self, ledger: ledger_lib.GrantLedger
    ) -> None:
        """Keeps the token of the key that the target had to release."""
        withheld, self._withheld = self._withheld, None
        if withheld is not None:
            parts = ledger.handovers(withheld.key, withheld.key, 1)
            self.claims.keep_handovers(parts, withheld.fence)

    def _without_idle_key(
        self, rows: list[key_map.Row], is_idle: Callable[[int], bool]
    ) -> list[key_map.Row]:
        """Returns the rows, one of them a key shorter if a key is idle."""
        for index, row in enumerate(rows):
            if row.width == 1 or not is_idle(row.last):
                continue
            if row.last == self._last_withheld_key:
                continue
            self._withheld = _WithheldKey(row.last, row.fence)
            self._last_withheld_key = row.last
            shorter = msgspec.structs.replace(row, last=row.last - 1)
            return [*rows[:index], shorter, *rows[index + 1 :]]
        return rows


def _plain(row: key_map.Row, first: int) -> targets.GrantedRange:
    """Returns the grant of a row from a key on, without a token."""
    return targets.GrantedRange(first, row.last, row.fence)


def _parts_around(
    part: targets.GrantedRange, whole: targets.GrantedRange
) -> Iterator[targets.GrantedRange]:
    """Yields a part of a range, and what lies before and after it."""
    if whole.first < part.first:
        yield dataclasses.replace(whole, last=part.first - 1)
    yield part
    if part.last < whole.last:
        yield dataclasses.replace(whole, first=part.last + 1)


def _row_bytes(row: key_map.Row) -> int:
    """Returns the size of a row without a token in an answer."""
    return _range_bytes(_plain(row, row.first))


def _range_bytes(granted: targets.GrantedRange) -> int:
    fields = f"{granted.first}{granted.last}{granted.fence}{granted.handover}"
    return _RANGE_FRAME_BYTES + len(fields)
