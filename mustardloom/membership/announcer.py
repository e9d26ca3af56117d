"""Writes the state of a member and of its target to the store."""

from collections.abc import Callable

import msgspec

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom.membership import lease_renewer as lease_renewer_lib
from mustardloom.membership import own_record
from mustardloom.membership import records

__all__ = ["Announcer", "TargetAnnouncement"]

_RETRY_MS = 500
_POLL_INTERVAL_MS = 50


class TargetAnnouncement(msgspec.Struct, frozen=True, kw_only=True):
    """What a target announces to the daemon on its VM.

    Attributes:
      service: Its service.
      capacity: Concurrent requests that it can handle when warm.
      instance: Id of its running process.
      checks_fencing: Whether it checks fencing tokens.
    """

    service: ids.ServiceId
    capacity: int
    instance: str
    checks_fencing: bool = False


class Announcer:
    """Writes changes of state to the member's own record.

    Each method waits until the store has confirmed the change, also through
    an outage of the store, and raises `own_record.LifeEnded` if the
    member was fenced.
    """

    def __init__(
        self,
        own: own_record.OwnRecord,
        renewer: lease_renewer_lib.LeaseRenewer,
        clock: clock_lib.Clock,
    ):
        self._own = own
        self._renewer = renewer
        self._clock = clock

    async def create(self) -> None:
        """Creates the record, in state JOINING, with its initial witnesses.

        `LeaseRenewer.run` must be active.
        """
        witnesses = await self._renewer.find_initial_witnesses()
        await self._write(
            lambda record: msgspec.structs.replace(record, witnesses=witnesses)
        )

    async def register_target(self, target: TargetAnnouncement) -> None:
        """Records a target or its changed properties.

        Sets state ACTIVE unless the member is leaving. Waits for a witness
        first, unless no other VM has a daemon: a member without witnesses
        cannot be fenced, so it must not get slots.
        """
        while not self._own.record.witnesses and not self._renewer.is_only_vm():
            await self._clock.sleep_ms(_POLL_INTERVAL_MS)
        await self._write(
            lambda record: msgspec.structs.replace(
                record,
                state=_keep_leaving(record, records.MemberState.ACTIVE),
                service=target.service,
                capacity=target.capacity,
                target_instance=target.instance,
                checks_fencing=target.checks_fencing,
            )
        )

    async def set_target_down(self) -> None:
        """Records that the target does not answer."""
        await self._set_state(records.MemberState.TARGET_DOWN)

    async def set_target_up(self) -> None:
        """Records that the target answers again."""
        await self._set_state(records.MemberState.ACTIVE)

    async def leave(self) -> None:
        """Records that this member stops; it gets no new slots."""
        await self._set_state(records.MemberState.LEAVING)

    async def remove(self, is_empty: Callable[[], bool]) -> None:
        """Deletes the record once `is_empty` says that no slots are left.

        The lease ends before the deletion.
        """
        while not is_empty():
            await self._clock.sleep_ms(_POLL_INTERVAL_MS)
        while await self._own.delete() is own_record.WriteResult.UNDECIDED:
            await self._clock.sleep_ms(_RETRY_MS)

    async def _set_state(self, state: records.MemberState) -> None:
        await self._write(
            lambda record: msgspec.structs.replace(
                record, state=_keep_leaving(record, state)
            )
        )

    async def _write(self, change: own_record.Change) -> None:
        undecided = own_record.WriteResult.UNDECIDED
        try:
            while await self._own.write(change) is undecided:
                await self._clock.sleep_ms(_RETRY_MS)
        except own_record.LifeEnded as error:
            self._renewer.end(error.reason)
            raise


def _keep_leaving(
    record: records.MemberRecord, state: records.MemberState
) -> records.MemberState:
    if record.state is records.MemberState.LEAVING:
        return record.state
    return state
