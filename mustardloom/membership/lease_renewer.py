"""The task of a member that keeps its lease and its witnesses."""

import asyncio
from collections.abc import Callable
import dataclasses

from loguru import logger
import msgspec

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.membership import datagrams
from mustardloom.membership import lease as lease_lib
from mustardloom.membership import own_record
from mustardloom.membership import records
from mustardloom.membership import witness_choice

__all__ = ["LeaseRenewer"]

_STEP_MS = 50
_RENEW_INTERVAL_MS = 500
# Sent again this early, so that one lost datagram does not make a witness
# silent.
_RESEND_INTERVAL_MS = 250
_SILENCE_LIMIT_MS = 1_000
_WRITE_INTERVAL_MS = 1_000
_TRIAL_MS = 500
_AVOIDANCE_MS = 30_000


@dataclasses.dataclass(slots=True)
class _Link:
    """Renewals sent to one member.

    Attributes:
      started_ms: Time of the first renewal.
      sent_ms: Time of the last renewal.
      answered_ms: Time of the last acknowledgement, None if there was none.
      open_by_sequence: Send times of renewals without an answer.
      refused: Whether the member refuses for good.
    """

    started_ms: int
    sent_ms: int = 0
    answered_ms: int | None = None
    open_by_sequence: dict[int, int] = dataclasses.field(default_factory=dict)
    refused: bool = False

    def silent_ms(self, now_ms: int) -> int:
        """Returns the time since the last acknowledgement."""
        since_ms = self.answered_ms
        return now_ms - (self.started_ms if since_ms is None else since_ms)

    def is_due(self, now_ms: int) -> bool:
        """Tells whether to send a renewal."""
        answered = not self.open_by_sequence
        interval_ms = _RENEW_INTERVAL_MS if answered else _RESEND_INTERVAL_MS
        return now_ms - self.sent_ms >= interval_ms


@dataclasses.dataclass(frozen=True, slots=True)
class _Trial:
    """A witness set whose new members have to acknowledge before it is named.

    A witness that was named before it has seen the member would state
    REFUSED to a fencer.
    """

    witnesses: lease_lib.WitnessSet
    added: lease_lib.WitnessSet
    deadline_ms: int


class LeaseRenewer:
    """Renews the lease of one life and replaces silent witnesses.

    Attributes:
      ended: Reason for the end of the life, None while it goes on.
    """

    def __init__(
        self,
        own: own_record.OwnRecord,
        lease: lease_lib.Lease,
        members: records.Members,
        endpoint: datagrams.DatagramEndpoint,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        on_ended: Callable[[own_record.EndReason], None],
    ):
        """Prepares the life of `own.record.member`.

        Args:
          own: Writer of the record of this life.
          lease: Lease of this life.
          members: View of all members.
          endpoint: Endpoint of the process.
          clock: Clock of the process.
          metrics: Receives counters.
          on_ended: Called once; the process then starts a new life.
        """
        self.ended: own_record.EndReason | None = None
        self._own = own
        self._lease = lease
        self._members = members
        self._endpoint = endpoint
        self._clock = clock
        self._metrics = metrics
        self._on_ended = on_ended
        self._links: dict[ids.MemberId, _Link] = {}
        self._avoided_until_ms: dict[ids.MemberId, int] = {}
        self._trial: _Trial | None = None
        self._next_write_ms = 0
        self._writing: asyncio.Task[None] | None = None
        self._seen_in_view = False
        endpoint.start_incarnation(own.record.member)
        endpoint.handle(datagrams.Renewed, self._on_renewed)

    async def run(self) -> None:
        """Renews until the life ends or the task is cancelled."""
        try:
            while self.ended is None:
                self._step()
                await self._clock.sleep_ms(self._pause_ms())
        finally:
            if self._writing is not None:
                self._writing.cancel()

    async def find_initial_witnesses(self) -> lease_lib.WitnessSet:
        """Returns witnesses for a new record; all have acknowledged.

        Waits for a limited time, so that a fleet whose other members are all
        gone can start. `run` has to be active.
        """
        self._plan()
        while self._trial is not None and not self._has_trial_ended():
            await self._clock.sleep_ms(_STEP_MS)
        return self._accepted()

    def is_only_vm(self) -> bool:
        """Tells whether no other VM has a live member."""
        own_vm = self._own.record.vm
        return all(record.vm == own_vm for record in self._members.live())

    def _step(self) -> None:
        reason = self._find_end()
        if reason is not None:
            self.end(reason)
            return
        self._send_renewals()
        if self._own.is_created and not self._own.is_deleted:
            self._review_witnesses()

    def end(self, reason: own_record.EndReason) -> None:
        """Ends this life; the lease is never held again.

        A life that ends by its own removal is not reported.
        """
        if self.ended is not None:
            return
        self.ended = reason
        self._lease.end()
        if reason is own_record.EndReason.REMOVED:
            return
        self._metrics.increment("membership.lives_ended")
        logger.warning(f"{self._own.record.member} ended: {reason.value}")
        self._on_ended(reason)

    def _pause_ms(self) -> int:
        """Returns the time to the next renewal, or a step if more is due."""
        links = self._links.values()
        is_idle = self._own.is_created and self._trial is None
        if not is_idle or any(link.open_by_sequence for link in links):
            return _STEP_MS
        now_ms = self._clock.now_ms()
        due_ms = (link.sent_ms + _RENEW_INTERVAL_MS - now_ms for link in links)
        return max(_STEP_MS, min(due_ms, default=_RENEW_INTERVAL_MS))

    def _find_end(self) -> own_record.EndReason | None:
        if self._own.is_deleted:
            return None
        known = self._members.by_id.get(self._own.record.member)
        if known is None:
            return (
                own_record.EndReason.RECORD_GONE if self._seen_in_view else None
            )
        self._seen_in_view = True
        if known.state is records.MemberState.FENCED:
            return own_record.EndReason.FENCED
        recorded = self._lease.recorded_witnesses
        refusals = sum(self._is_refused(member) for member in recorded)
        if recorded and refusals >= lease_lib.quorum(len(recorded)):
            return own_record.EndReason.REFUSED
        return None

    def _is_refused(self, member: ids.MemberId) -> bool:
        link = self._links.get(member)
        return link is not None and link.refused

    def _send_renewals(self) -> None:
        now_ms = self._clock.now_ms()
        wanted = self._lease.witnesses()
        if self._trial is not None:
            wanted.update(self._trial.added)
        for member in list(self._links):
            if member not in wanted:
                del self._links[member]
        for member in sorted(wanted):
            link = self._links.setdefault(member, _Link(now_ms))
            if not link.refused and link.is_due(now_ms):
                self._send_renewal(member, link, now_ms)

    def _send_renewal(
        self, member: ids.MemberId, link: _Link, now_ms: int
    ) -> None:
        record = self._members.by_id.get(member)
        if record is None:
            return
        message = datagrams.Renew(
            sender=self._own.record.member,
            receiver=member,
            acknowledged=self._lease.acknowledged_ms(member) is not None,
        )
        sequence = self._endpoint.send(record.peer_address, message)
        oldest_ms = now_ms - lease_lib.LEASE_MS
        link.open_by_sequence = {
            number: sent_ms
            for number, sent_ms in link.open_by_sequence.items()
            if sent_ms > oldest_ms
        }
        link.open_by_sequence[sequence] = now_ms
        link.sent_ms = now_ms

    def _on_renewed(
        self,
        message: datagrams.Renewed,
        sequence: int,
        source: records.Address,
    ) -> None:
        link = self._links.get(message.sender)
        sent_ms = None
        if link is not None and message.receiver == self._own.record.member:
            sent_ms = link.open_by_sequence.get(message.renewal)
        if link is None or sent_ms is None:
            self._metrics.increment("membership.renewed_unexpected")
            return
        link.open_by_sequence = {
            number: open_ms
            for number, open_ms in link.open_by_sequence.items()
            if number > message.renewal
        }
        if message.refused:
            link.refused = True
            return
        link.answered_ms = self._clock.now_ms()
        self._lease.acknowledge(message.sender, sent_ms)

    def _review_witnesses(self) -> None:
        if self._writing is not None and not self._writing.done():
            return
        if self._trial is None:
            if self._clock.now_ms() >= self._next_write_ms:
                self._plan()
            return
        if not self._has_trial_ended():
            return
        target = self._accepted()
        self._trial = None
        self._next_write_ms = self._clock.now_ms() + _WRITE_INTERVAL_MS
        if set(target) != set(self._own.record.witnesses):
            self._writing = asyncio.create_task(self._name(target))

    def _plan(self) -> None:
        now_ms = self._clock.now_ms()
        recorded = self._own.record.witnesses
        kept = tuple(m for m in recorded if self._is_good(m, now_ms))
        target = witness_choice.choose_witnesses(
            self._own.record,
            self._members.live(),
            kept,
            self._avoided(now_ms) | (set(recorded) - set(kept)),
        )
        if set(target) == set(recorded):
            return
        added = tuple(m for m in target if m not in recorded)
        self._trial = _Trial(target, added, now_ms + _TRIAL_MS)

    def _avoided(self, now_ms: int) -> set[ids.MemberId]:
        self._avoided_until_ms = {
            member: until_ms
            for member, until_ms in self._avoided_until_ms.items()
            if until_ms > now_ms
        }
        return set(self._avoided_until_ms)

    def _is_good(self, member: ids.MemberId, now_ms: int) -> bool:
        link = self._links.get(member)
        if link is None or link.refused:
            return False
        if link.silent_ms(now_ms) >= _SILENCE_LIMIT_MS:
            return False
        return self._is_staying(member)

    def _is_staying(self, member: ids.MemberId) -> bool:
        record = self._members.by_id.get(member)
        leaving = (records.MemberState.LEAVING, records.MemberState.FENCED)
        return record is not None and record.state not in leaving

    def _is_gone(self, member: ids.MemberId) -> bool:
        record = self._members.by_id.get(member)
        return record is None or record.state is records.MemberState.FENCED

    def _acknowledges(self, member: ids.MemberId) -> bool:
        link = self._links.get(member)
        if link is None or link.refused or link.answered_ms is None:
            return False
        return link.silent_ms(self._clock.now_ms()) < _SILENCE_LIMIT_MS

    def _has_trial_ended(self) -> bool:
        trial = self._trial
        if trial is None or self._clock.now_ms() >= trial.deadline_ms:
            return True
        return all(self._acknowledges(member) for member in trial.added)

    def _accepted(self) -> lease_lib.WitnessSet:
        """Returns the witnesses of the trial without those that failed it.

        Failed ones are avoided for a while. Former witnesses fill their
        places, unless they are gone or the lease would then depend on them.
        """
        trial = self._trial
        recorded = self._own.record.witnesses
        if trial is None:
            return recorded
        failed = [m for m in trial.added if not self._acknowledges(m)]
        until_ms = self._clock.now_ms() + _AVOIDANCE_MS
        for member in failed:
            self._avoided_until_ms[member] = until_ms
        chosen = tuple(
            member
            for member in trial.witnesses
            if member not in failed and self._acknowledges(member)
        )
        if not chosen and not self.is_only_vm():
            return recorded
        spare = tuple(
            member
            for member in recorded
            if member not in chosen and not self._is_gone(member)
        )
        filled = (chosen + spare)[: witness_choice.MAX_WITNESSES]
        is_safe = len(chosen) >= lease_lib.quorum(len(filled))
        return filled if is_safe else chosen

    async def _name(self, witnesses: lease_lib.WitnessSet) -> None:
        try:
            await self._own.write(
                lambda record: msgspec.structs.replace(
                    record, witnesses=witnesses
                )
            )
        except own_record.IncarnationEnded as error:
            self.end(error.reason)
