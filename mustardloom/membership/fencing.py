"""Fences lost members, based on the statements of their witnesses."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from loguru import logger
import msgspec

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import store as store_lib
from mustardloom.membership import datagrams
from mustardloom.membership import lease as lease_lib
from mustardloom.membership import records
from mustardloom.membership import witness_choice
from mustardloom.relay import replica as replica_lib

__all__ = [
    "RANK_DELAY_MS",
    "FenceResult",
    "Fenced",
    "Fencer",
    "FencingUndecided",
    "NoWitnesses",
    "NotEnoughStatements",
    "RecordGone",
    "SeenTooRecently",
    "StillHeld",
    "fencing_candidates",
    "statements_needed",
]

# The candidate of rank r waits r times this delay, so that usually only one
# candidate writes.
RANK_DELAY_MS = 300
_QUERY_INTERVAL_MS = 100
_POLL_INTERVAL_MS = 10
_ATTEMPT_TIMEOUT_MS = 2_000
_MIN_RECORD_AGE_MS = 5_000
_TOP_NEAR_CANDIDATES = 2
_TOP_FAR_CANDIDATES = 1


def statements_needed(witness_count: int) -> int:
    """Returns how many witnesses must state that a lease has ended.

    Together with the quorum that confirms a lease this exceeds the number of
    witnesses, so that any two such sets have a witness in common.

    Example:
      >>> [statements_needed(n) for n in (1, 2, 3)]
      [1, 1, 2]
    """
    return witness_count - lease_lib.quorum(witness_count) + 1


def fencing_candidates(
    members: Iterable[records.MemberRecord], lost: records.MemberRecord
) -> list[records.MemberRecord]:
    """Returns the members that may fence `lost`, best rank first.

    The first two are in its region but not in its zone, the third is in
    another region. All others follow, those in its own zone last.
    """
    near: list[records.MemberRecord] = []
    far: list[records.MemberRecord] = []
    own_zone: list[records.MemberRecord] = []
    by_role = {
        witness_choice.WitnessRole.OTHER_ZONE: near,
        witness_choice.WitnessRole.OTHER_REGION: far,
        witness_choice.WitnessRole.OWN_ZONE: own_zone,
    }
    for record in sorted(
        _eligible(members, lost),
        key=lambda r: witness_choice.rendezvous_weight(lost.member, r.member),
        reverse=True,
    ):
        by_role[witness_choice.role_of(lost, record)].append(record)
    return [
        *near[:_TOP_NEAR_CANDIDATES],
        *far[:_TOP_FAR_CANDIDATES],
        *near[_TOP_NEAR_CANDIDATES:],
        *far[_TOP_FAR_CANDIDATES:],
        *own_zone,
    ]


def _eligible(
    members: Iterable[records.MemberRecord], lost: records.MemberRecord
) -> Iterator[records.MemberRecord]:
    ineligible = (records.MemberState.FENCED, records.MemberState.LEAVING)
    for record in members:
        if record.vm != lost.vm and record.state not in ineligible:
            yield record


@dataclasses.dataclass(frozen=True, slots=True)
class Fenced:
    """The member is fenced, by this fencer or another one."""

    record: records.MemberRecord
    version: ids.Version


@dataclasses.dataclass(frozen=True, slots=True)
class StillHeld:
    """A quorum of the witnesses still confirms the lease."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotEnoughStatements:
    """Too few witnesses state that the lease has ended."""

    stated: int
    needed: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordGone:
    """The member has no record."""


@dataclasses.dataclass(frozen=True, slots=True)
class SeenTooRecently:
    """This process first saw the record less than 5 s ago."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoWitnesses:
    """The member has no witnesses; only an operator can fence it."""


@dataclasses.dataclass(frozen=True, slots=True)
class FencingUndecided:
    """The store did not answer; the member may or may not be fenced."""


FenceResult = (
    Fenced
    | StillHeld
    | NotEnoughStatements
    | RecordGone
    | SeenTooRecently
    | NoWitnesses
    | FencingUndecided
)


@dataclasses.dataclass(slots=True)
class _Poll:
    """Latest statements of the witnesses named in one version of a record."""

    record: records.MemberRecord
    latest_by_witness: dict[ids.MemberId, datagrams.Statement] = (
        dataclasses.field(default_factory=dict)
    )

    def count(self, *statements: datagrams.Statement) -> int:
        """Returns how many witnesses made one of `statements` last."""
        latest = self.latest_by_witness.values()
        return sum(statement in statements for statement in latest)

    def ended_count(self) -> int:
        """Returns how many witnesses state that the lease has ended."""
        return self.count(datagrams.Statement.REFUSED, datagrams.Statement.GONE)

    def is_complete(self) -> bool:
        """Returns whether there are enough statements to fence."""
        return self.ended_count() >= statements_needed(
            len(self.record.witnesses)
        )


class Fencer:
    """Fences members; any number of fencers may act at the same time."""

    def __init__(
        self,
        store: store_lib.PlatformClient,
        replica: replica_lib.Replica,
        members: records.MemberView,
        endpoint: datagrams.DatagramEndpoint,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        publish: records.PublishEvent,
    ):
        """Subscribes to records, to know when each was first seen."""
        self._store = store
        self._members = members
        self._endpoint = endpoint
        self._clock = clock
        self._metrics = metrics
        self._publish = publish
        self._first_seen_ms_by_key: dict[str, int] = {}
        self._poll_by_query: dict[int, tuple[_Poll, ids.MemberId]] = {}
        replica.subscribe(records.MEMBERS_PREFIX, self._on_event)
        endpoint.handle(datagrams.FenceStatement, self._on_statement)

    async def fence(self, member: ids.MemberId) -> FenceResult:
        """Fences `member` if enough witnesses state that its lease has ended.

        Takes at most 2 s for the statements, plus the time of the write to the
        store.
        """
        record = self._members.by_id.get(member)
        version = self._members.version_by_id.get(member)
        deadline_ms = self._clock.now_ms() + _ATTEMPT_TIMEOUT_MS
        if record is None or version is None:
            return RecordGone()
        if self._was_seen_too_recently(member):
            return SeenTooRecently()
        while True:
            if record.state is records.MemberState.FENCED:
                return Fenced(record, version)
            if not record.witnesses:
                return NoWitnesses()
            failure = await self._collect_statements(record, deadline_ms)
            if failure is not None:
                return failure
            result = await self._write(record, version, deadline_ms)
            if not isinstance(result, store_lib.Versioned):
                return result
            record = records.decode(result.value)
            version = result.version

    async def fence_lost_vm(self, vm: ids.VmId) -> list[FenceResult]:
        """Fences all members of a VM that an operator reports as lost.

        No witness is asked: the operator confirms that no process of the VM
        is running any more.
        """
        lost = [r.member for r in self._members.live() if r.vm == vm]
        return [await self._fence_lost(member) for member in lost]

    async def _fence_lost(self, member: ids.MemberId) -> FenceResult:
        deadline_ms = self._clock.now_ms() + _ATTEMPT_TIMEOUT_MS
        try:
            found = await self._store.get(records.member_key(member))
        except store_lib.PlatformUnavailable:
            return FencingUndecided()
        if found is None:
            return RecordGone()
        while True:
            record = records.decode(found.value)
            if record.state is records.MemberState.FENCED:
                return Fenced(record, found.version)
            result = await self._write(record, found.version, deadline_ms)
            if not isinstance(result, store_lib.Versioned):
                return result
            found = result

    def _was_seen_too_recently(self, member: ids.MemberId) -> bool:
        now_ms = self._clock.now_ms()
        seen_ms = self._first_seen_ms_by_key.get(
            records.member_key(member), now_ms
        )
        return now_ms - seen_ms < _MIN_RECORD_AGE_MS

    async def _collect_statements(
        self, record: records.MemberRecord, deadline_ms: int
    ) -> FenceResult | None:
        """Queries the witnesses; returns None if enough state the lapse."""
        poll = _Poll(record)
        queries: list[int] = []
        try:
            while self._clock.now_ms() < deadline_ms:
                queries.extend(self._send_queries(poll))
                if await self._wait_for_statements(poll):
                    return None
        finally:
            for query in queries:
                del self._poll_by_query[query]
        needed = statements_needed(len(record.witnesses))
        held = poll.count(datagrams.Statement.HELD)
        if held > len(record.witnesses) - needed:
            return StillHeld()
        return NotEnoughStatements(poll.ended_count(), needed)

    def _send_queries(self, poll: _Poll) -> Iterator[int]:
        ended = (datagrams.Statement.REFUSED, datagrams.Statement.GONE)
        for witness in poll.record.witnesses:
            known = self._members.by_id.get(witness)
            if known is None or poll.latest_by_witness.get(witness) in ended:
                continue
            message = datagrams.FenceQuery(
                sender=self._endpoint.member,
                receiver=witness,
                member=poll.record.member,
            )
            query = self._endpoint.send(known.peer_address, message)
            self._poll_by_query[query] = (poll, witness)
            yield query

    async def _wait_for_statements(self, poll: _Poll) -> bool:
        for _ in range(_QUERY_INTERVAL_MS // _POLL_INTERVAL_MS):
            await self._clock.sleep_ms(_POLL_INTERVAL_MS)
            if poll.is_complete():
                return True
        return False

    def _on_statement(
        self,
        message: datagrams.FenceStatement,
        sequence: int,
        source: records.Address,
    ) -> None:
        poll, witness = self._poll_by_query.get(message.query, (None, None))
        if (
            poll is None
            or message.witness != witness
            or message.member != poll.record.member
        ):
            self._metrics.increment("membership.statements_unexpected")
            return
        poll.latest_by_witness[message.witness] = message.statement

    async def _write(
        self,
        record: records.MemberRecord,
        version: ids.Version,
        deadline_ms: int,
    ) -> FenceResult | store_lib.Versioned:
        """Writes state FENCED if the record still has `version`.

        Returns the stored object instead if it has another version.
        """
        fenced = msgspec.structs.replace(
            record,
            state=records.MemberState.FENCED,
            fenced_wall_ms=self._clock.wall_ms(),
        )
        key = records.member_key(record.member)
        while True:
            result = await self._update(key, records.encode(fenced), version)
            match result:
                case store_lib.Written(written):
                    return self._publish_fenced(key, fenced, written)
                case store_lib.Conflict(None):
                    return RecordGone()
                case store_lib.Conflict(store_lib.Versioned() as current):
                    return current
            match await self._read_back(key):
                case None:
                    return RecordGone()
                case store_lib.Versioned() as found if found.version != version:
                    return found
            if self._clock.now_ms() >= deadline_ms:
                return FencingUndecided()
            await self._clock.sleep_ms(_QUERY_INTERVAL_MS)

    async def _update(
        self, key: str, value: bytes, version: ids.Version
    ) -> store_lib.WriteResult:
        try:
            return await self._store.update(key, value, version)
        except store_lib.PlatformUnavailable:
            return store_lib.Undecided(ids.new_operation_id())

    async def _read_back(
        self, key: str
    ) -> store_lib.Versioned | FencingUndecided | None:
        try:
            return await self._store.get(key)
        except store_lib.PlatformUnavailable:
            return FencingUndecided()

    def _publish_fenced(
        self, key: str, fenced: records.MemberRecord, version: ids.Version
    ) -> Fenced:
        self._metrics.increment("membership.members_fenced")
        logger.warning(f"{fenced.member} is fenced")
        self._publish(store_lib.Event(key, version, records.encode(fenced)))
        return Fenced(fenced, version)

    def _on_event(self, event: store_lib.Event) -> None:
        if event.value is None:
            self._first_seen_ms_by_key.pop(event.key, None)
            return
        self._first_seen_ms_by_key.setdefault(event.key, self._clock.now_ms())
