"""Witness of leases: confirms renewals and states that leases lapsed."""

from collections.abc import Callable
import dataclasses

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.membership import datagrams
from mustardloom.membership import lease as lease_lib
from mustardloom.membership import records

__all__ = ["WITNESS_LEASE_MS", "LapseCallback", "WitnessTable"]

# Upper bound of how far the clocks of two VMs drift apart during one lease.
_DRIFT_MARGIN_MS = 50
WITNESS_LEASE_MS = lease_lib.LEASE_MS + _DRIFT_MARGIN_MS
# The next sweep is due when the first lease can lapse, within these limits.
_MIN_SWEEP_INTERVAL_MS = 10
_MAX_SWEEP_INTERVAL_MS = 500
# A sweep this late shows that the process was paused. It reports no lapse, so
# that the renewals that wait in the socket are read first.
_LATE_SWEEP_MS = 200
# A lapse is reported again while the record of the member stays live, since
# candidates may be lost and notices may be dropped.
_FIRST_NOTICE_INTERVAL_MS = 2_000
_MAX_NOTICE_INTERVAL_MS = 30_000
# An entry may be dropped at any time: a renewal of the dropped member says that
# it was acknowledged before, and is refused. Retention only avoids needless
# refusals.
_RETENTION_MS = 24 * 3_600 * 1_000
_NO_RECORD_RETENTION_MS = 60 * 1_000

# Receives the member and the number of the notice, from 0.
LapseCallback = Callable[[ids.MemberId, int], None]


@dataclasses.dataclass(slots=True)
class _WitnessedLease:
    """State of the lease of one member at this witness.

    Attributes:
      received_ms: Local time of the last accepted renewal, or of the refusal
        if there was none.
      refused: Whether all renewals are refused from now on.
      notices: Number of lapse callbacks since the last renewal.
      next_notice_ms: Local time of the next lapse callback.
    """

    received_ms: int
    refused: bool = False
    notices: int = 0
    next_notice_ms: int = 0


class WitnessTable:
    """Confirms leases of members, and states when they have lapsed.

    There is one table per process. It is kept through all incarnations (member
    ids) of the process and answers for each of them.
    """

    def __init__(
        self,
        endpoint: datagrams.DatagramEndpoint,
        members: records.MemberView,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        on_lapse: LapseCallback,
    ):
        """Starts to answer; the endpoint must have bound its address.

        Args:
          endpoint: Endpoint of the process.
          members: View of all members.
          clock: Clock of the process.
          metrics: Receives counters.
          on_lapse: Called when a lease has lapsed here, and again at growing
            intervals (2 s to 30 s) while the record of the member is live
            and names this witness.
        """
        self._endpoint = endpoint
        self._members = members
        self._clock = clock
        self._metrics = metrics
        self._on_lapse = on_lapse
        self._bound_ms = clock.now_ms()
        self._sweep_due_ms = clock.now_ms()
        self._lease_by_member: dict[ids.MemberId, _WitnessedLease] = {}
        endpoint.handle(datagrams.Renew, self._on_renew)
        endpoint.handle(datagrams.FenceQuery, self._on_query)

    def __len__(self) -> int:
        return len(self._lease_by_member)

    async def run(self) -> None:
        """Sweeps for lapsed leases until cancelled."""
        while True:
            self._sweep_due_ms = self._next_sweep_ms()
            await self._clock.sleep_ms(
                self._sweep_due_ms - self._clock.now_ms()
            )
            self.sweep()

    def sweep(self) -> None:
        """Reports lapsed leases and drops entries past their retention."""
        now_ms = self._clock.now_ms()
        if now_ms - self._sweep_due_ms >= _LATE_SWEEP_MS:
            self._metrics.increment("membership.witness_pauses")
            return
        for member, entry in list(self._lease_by_member.items()):
            if now_ms - entry.received_ms >= WITNESS_LEASE_MS:
                self._handle_lapse(member, entry, now_ms)

    def make_statement(
        self, witness: ids.MemberId, member: ids.MemberId
    ) -> datagrams.Statement | None:
        """Makes a statement about the lease of `member`.

        After REFUSED this process refuses all renewals of `member`. None means
        that nothing can be stated: `witness` is no member id of this process,
        which has not run for long enough to be sure that the leases confirmed
        by its predecessor have ended.
        """
        now_ms = self._clock.now_ms()
        if witness not in self._endpoint.own_ids:
            if now_ms - self._bound_ms <= WITNESS_LEASE_MS:
                return None
            return datagrams.Statement.GONE
        entry = self._lease_by_member.get(member)
        if entry is None:
            entry = _WitnessedLease(now_ms, refused=True)
            self._lease_by_member[member] = entry
        if entry.refused:
            return datagrams.Statement.REFUSED
        if now_ms - entry.received_ms < WITNESS_LEASE_MS:
            return datagrams.Statement.HELD
        entry.refused = True
        return datagrams.Statement.REFUSED

    def _next_sweep_ms(self) -> int:
        now_ms = self._clock.now_ms()
        entries = self._lease_by_member.values()
        lapses_ms = (e.received_ms + WITNESS_LEASE_MS for e in entries)
        latest_ms = now_ms + _MAX_SWEEP_INTERVAL_MS
        next_ms = min((t for t in lapses_ms if t > now_ms), default=latest_ms)
        return max(now_ms + _MIN_SWEEP_INTERVAL_MS, min(next_ms, latest_ms))

    def _on_renew(
        self, message: datagrams.Renew, sequence: int, source: records.Address
    ) -> None:
        refused = not self._accept_renewal(message)
        if refused:
            self._metrics.increment("membership.renewals_refused")
        reply = datagrams.Renewed(
            sender=message.receiver,
            receiver=message.sender,
            renewal=sequence,
            refused=refused,
        )
        self._endpoint.send(source, reply)

    def _accept_renewal(self, message: datagrams.Renew) -> bool:
        now_ms = self._clock.now_ms()
        entry = self._lease_by_member.get(message.sender)
        if entry is None:
            # An acknowledged member without an entry has lapsed before, and may
            # have been fenced.
            refused = message.acknowledged
            entry = _WitnessedLease(now_ms, refused=refused)
            self._lease_by_member[message.sender] = entry
            return not refused
        if entry.refused:
            return False
        entry.received_ms = now_ms
        entry.notices = 0
        return True

    def _on_query(
        self,
        message: datagrams.FenceQuery,
        sequence: int,
        source: records.Address,
    ) -> None:
        statement = self.make_statement(message.receiver, message.member)
        if statement is None:
            return
        reply = datagrams.FenceStatement(
            sender=self._endpoint.member,
            receiver=message.sender,
            query=sequence,
            witness=message.receiver,
            member=message.member,
            statement=statement,
        )
        self._endpoint.send(source, reply)

    def _handle_lapse(
        self, member: ids.MemberId, entry: _WitnessedLease, now_ms: int
    ) -> None:
        silent_ms = now_ms - entry.received_ms
        has_record = member in self._members.by_id
        if silent_ms >= (
            _RETENTION_MS if has_record else _NO_RECORD_RETENTION_MS
        ):
            del self._lease_by_member[member]
            return
        if entry.notices and now_ms < entry.next_notice_ms:
            return
        if not self._is_witness_of(member):
            return
        number = entry.notices
        interval_ms = _FIRST_NOTICE_INTERVAL_MS * 2**number
        entry.notices += 1
        entry.next_notice_ms = now_ms + min(
            interval_ms, _MAX_NOTICE_INTERVAL_MS
        )
        self._metrics.increment("membership.lapses")
        self._on_lapse(member, number)

    def _is_witness_of(self, member: ids.MemberId) -> bool:
        record = self._members.by_id.get(member)
        if record is None or record.state is records.MemberState.FENCED:
            return False
        return not self._endpoint.own_ids.isdisjoint(record.witnesses)
