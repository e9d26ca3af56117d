"""Renews the lease of a member and replaces its witnesses."""

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

_STEP_INTERVAL_MS = 50
_RENEW_INTERVAL_MS = 500
# A renewal without an answer is sent again this early, so that a witness does
# not count as silent because one datagram was lost.
_RESEND_INTERVAL_MS = 250
_MAX_SILENCE_MS = 1_000
_MIN_WRITE_INTERVAL_MS = 1_000
_TRIAL_TIMEOUT_MS = 500
_AVOIDANCE_MS = 30_000


@dataclasses.dataclass(slots=True)
class _Link:
    """Renewals sent to one witness, and its answers.

    Attributes:
      started_ms: Time of the first renewal.
      sent_ms: Time of the last renewal.
      answered_ms: Time of the last acknowledgement, None if there was none.
      open_by_sequence: Send times of the renewals that are not yet answered.
      refused: Whether the witness has refused a renewal, which is final.
    """

    started_ms: int
    sent_ms: int = 0
    answered_ms: int | None = None
    open_by_sequence: dict[int, int] = dataclasses.field(default_factory=dict)
    refused: bool = False

    def silent_ms(self, now_ms: int) -> int:
        """Returns the time without an acknowledgement."""
        since_ms = self.answered_ms
        return now_ms - (self.started_ms if since_ms is None else since_ms)

    def is_due(self, now_ms: int) -> bool:
        """Returns whether to send a renewal now."""
        answered = not self.open_by_sequence
        interval_ms = _RENEW_INTERVAL_MS if answered else _RESEND_INTERVAL_MS
        return now_ms - self.sent_ms >= interval_ms


@dataclasses.dataclass(frozen=True, slots=True)
class _Trial:
    """Proposed witnesses; the new ones must acknowledge before the write.

    A witness in the record that has not yet received a renewal would state
    REFUSED to a fencer.

    Attributes:
      witnesses: The proposed witnesses.
      added: Those of them that are not in the record.
      deadline_ms: Time at which the trial ends.
    """

    witnesses: lease_lib.WitnessSet
    added: lease_lib.WitnessSet
    deadline_ms: int


class LeaseRenewer:
    """Renews the lease of one incarnation and replaces silent witnesses.

    Attributes:
      ended: Why the incarnation has ended, None while it runs.
    """

    def __init__(
        self,
        own: own_record.OwnRecord,
        lease: lease_lib.Lease,
        members: records.MemberView,
        endpoint: datagrams.DatagramEndpoint,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        on_ended: Callable[[own_record.EndReason], None],
    ):
        """Prepares the incarnation `own.record.member`.

        Args:
          own: Writer of the record of this incarnation.
          lease: Lease of this incarnation.
          members: View of all members.
          endpoint: Endpoint of the process.
          clock: Clock of the process.
          metrics: Receives counters.
          on_ended: Called once, at the end of the incarnation, to start the
            next one; not called if the member removed its record.
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
        self._write_task: asyncio.Task[None] | None = None
        self._record_was_seen = False
        endpoint.start_incarnation(own.record.member)
        endpoint.handle(datagrams.Renewed, self._on_renewed)

    async def run(self) -> None:
        """Renews until the incarnation ends or the task is cancelled."""
        try:
            while self.ended is None:
                self._step()
                await self._clock.sleep_ms(self._next_step_in_ms())
        finally:
            if self._write_task is not None:
                self._write_task.cancel()

    async def find_initial_witnesses(self) -> lease_lib.WitnessSet:
        """Returns witnesses for a new record; all have acknowledged.

        Waits for a limited time, so that the member can start although all
        other members are gone. `run` must be active.
        """
        self._start_trial()
        while self._trial is not None and not self._has_trial_ended():
            await self._clock.sleep_ms(_STEP_INTERVAL_MS)
        return self._accepted_witnesses()

    def is_only_vm(self) -> bool:
        """Returns whether no other VM has a live member."""
        own_vm = self._own.record.vm
        return all(record.vm == own_vm for record in self._members.live())

    def _step(self) -> None:
        reason = self._find_end_reason()
        if reason is not None:
            self.end(reason)
            return
        self._send_renewals()
        if self._own.is_created and not self._own.is_deleted:
            self._review_witnesses()

    def end(self, reason: own_record.EndReason) -> None:
        """Ends this incarnation; its lease is never held again.

        `on_ended` is not called if the member removed its record.
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

    def _next_step_in_ms(self) -> int:
        """Returns the time until the next step.

        That is the step interval while an answer, the creation of the record or
        the end of a trial is awaited, else the time to the next renewal.
        """
        links = self._links.values()
        is_idle = self._own.is_created and self._trial is None
        if not is_idle or any(link.open_by_sequence for link in links):
            return _STEP_INTERVAL_MS
        now_ms = self._clock.now_ms()
        due_ms = (link.sent_ms + _RENEW_INTERVAL_MS - now_ms for link in links)
        return max(_STEP_INTERVAL_MS, min(due_ms, default=_RENEW_INTERVAL_MS))

    def _find_end_reason(self) -> own_record.EndReason | None:
        if self._own.is_deleted:
            return None
        known = self._members.by_id.get(self._own.record.member)
        if known is None:
            return (
                own_record.EndReason.RECORD_GONE
                if self._record_was_seen
                else None
            )
        self._record_was_seen = True
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
        if self._write_task is not None and not self._write_task.done():
            return
        if self._trial is None:
            if self._clock.now_ms() >= self._next_write_ms:
                self._start_trial()
            return
        if not self._has_trial_ended():
            return
        accepted = self._accepted_witnesses()
        self._trial = None
        self._next_write_ms = self._clock.now_ms() + _MIN_WRITE_INTERVAL_MS
        if set(accepted) != set(self._own.record.witnesses):
            self._write_task = asyncio.create_task(
                self._write_witnesses(accepted)
            )

    def _start_trial(self) -> None:
        now_ms = self._clock.now_ms()
        recorded = self._own.record.witnesses
        kept = tuple(m for m in recorded if self._is_reliable(m, now_ms))
        proposed = witness_choice.choose_witnesses(
            self._own.record,
            self._members.live(),
            kept,
            self._find_avoided(now_ms) | (set(recorded) - set(kept)),
        )
        if set(proposed) == set(recorded):
            return
        added = tuple(m for m in proposed if m not in recorded)
        self._trial = _Trial(proposed, added, now_ms + _TRIAL_TIMEOUT_MS)

    def _find_avoided(self, now_ms: int) -> set[ids.MemberId]:
        self._avoided_until_ms = {
            member: until_ms
            for member, until_ms in self._avoided_until_ms.items()
            if until_ms > now_ms
        }
        return set(self._avoided_until_ms)

    def _is_reliable(self, member: ids.MemberId, now_ms: int) -> bool:
        link = self._links.get(member)
        if link is None or link.refused:
            return False
        if link.silent_ms(now_ms) >= _MAX_SILENCE_MS:
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
        return link.silent_ms(self._clock.now_ms()) < _MAX_SILENCE_MS

    def _has_trial_ended(self) -> bool:
        trial = self._trial
        if trial is None or self._clock.now_ms() >= trial.deadline_ms:
            return True
        return all(self._acknowledges(member) for member in trial.added)

    def _accepted_witnesses(self) -> lease_lib.WitnessSet:
        """Evaluates the trial; returns the witnesses to write.

        These are the proposed ones that acknowledged; new ones that did not are
        avoided for 30 s. Other recorded witnesses fill the free places, unless
        they are gone or those that acknowledged would not be a quorum by
        themselves. If none acknowledged, the recorded witnesses stay, unless no
        other VM has a member.
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
        other_recorded = tuple(
            member
            for member in recorded
            if member not in chosen and not self._is_gone(member)
        )
        filled = (chosen + other_recorded)[: witness_choice.MAX_WITNESSES]
        is_safe = len(chosen) >= lease_lib.quorum(len(filled))
        return filled if is_safe else chosen

    async def _write_witnesses(self, witnesses: lease_lib.WitnessSet) -> None:
        try:
            await self._own.write(
                lambda record: msgspec.structs.replace(
                    record, witnesses=witnesses
                )
            )
        except own_record.LifeEnded as error:
            self.end(error.reason)
