"""Reports lapsed leases to the members that can fence."""

import asyncio
from collections.abc import Callable

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom.membership import datagrams
from mustardloom.membership import fencing
from mustardloom.membership import records

__all__ = ["LapseHandler"]

# The first notice goes to this many candidates, and each further notice to as
# many more, in case the candidates of the best ranks are lost too.
_NOTIFIED_STEP = 3
_MAX_NOTIFIED = 9


class LapseHandler:
    """Notifies the fencing candidates of a lapse; fences if it is one itself.

    An attempt that does not end with `Fenced` is not retried here, since the
    witnesses repeat their notices while the member's record is live.
    """

    def __init__(
        self,
        fencer: fencing.Fencer,
        members: records.MemberView,
        endpoint: datagrams.DatagramEndpoint,
        clock: clock_lib.Clock,
        on_fenced: Callable[[fencing.Fenced], None],
    ):
        """Starts to accept notices; `on_fenced` gets each fenced member."""
        self._fencer = fencer
        self._members = members
        self._endpoint = endpoint
        self._clock = clock
        self._on_fenced = on_fenced
        self._task_by_member: dict[ids.MemberId, asyncio.Task[None]] = {}
        endpoint.handle(datagrams.LapseNotice, self._on_notice)

    def notify_candidates(self, member: ids.MemberId, number: int) -> None:
        """Sends notice `number` (from 0) of a lapse to the candidates."""
        notified = min(_NOTIFIED_STEP * (number + 1), _MAX_NOTIFIED)
        for record in self._candidates_for(member)[:notified]:
            if record.member in self._endpoint.own_ids:
                self.start_fencing(member)
                continue
            notice = datagrams.LapseNotice(
                sender=self._endpoint.member,
                receiver=record.member,
                member=member,
            )
            self._endpoint.send(record.peer_address, notice)

    def start_fencing(self, member: ids.MemberId) -> None:
        """Starts to fence `member`, after a delay that grows with the rank.

        Does nothing if an attempt for the member is under way.
        """
        if member in self._task_by_member:
            return
        task = asyncio.create_task(self._fence(member))
        self._task_by_member[member] = task
        task.add_done_callback(lambda _: self._task_by_member.pop(member))

    async def close(self) -> None:
        """Cancels all attempts to fence."""
        tasks = list(self._task_by_member.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_notice(
        self,
        message: datagrams.LapseNotice,
        sequence: int,
        source: records.Address,
    ) -> None:
        self.start_fencing(message.member)

    async def _fence(self, member: ids.MemberId) -> None:
        await self._clock.sleep_ms(
            self._own_rank_for(member) * fencing.RANK_DELAY_MS
        )
        record = self._members.by_id.get(member)
        if record is None or record.state is records.MemberState.FENCED:
            return
        result = await self._fencer.fence(member)
        if isinstance(result, fencing.Fenced):
            self._on_fenced(result)

    def _own_rank_for(self, member: ids.MemberId) -> int:
        candidates = self._candidates_for(member)
        own = self._endpoint.own_ids
        ranks = (i for i, r in enumerate(candidates) if r.member in own)
        return next(ranks, len(candidates))

    def _candidates_for(
        self, member: ids.MemberId
    ) -> list[records.MemberRecord]:
        lost = self._members.by_id.get(member)
        if lost is None:
            return []
        return fencing.fencing_candidates(self._members.live(), lost)
