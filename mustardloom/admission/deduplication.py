"""At-most-once execution: the ids of non-idempotent requests, by slot."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum

import msgspec

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import outcomes
from mustardloom import request_ids
from mustardloom import requests
from mustardloom.admission import dispatch as dispatch_lib
from mustardloom.relay.wire import peer_pb2

__all__ = [
    "DeduplicationTable",
    "SlotRecords",
]

DEFAULT_RETENTION_MS = 120_000
# How far the stamp of an id may be ahead of the wall clock.
_MAX_STAMP_LEAD_MS = 500
_MAX_IDS = 500_000
_MAX_ANSWER_BYTES = 16_384
_MAX_TOTAL_ANSWER_BYTES = 16 * 1024 * 1024
_BUCKET_MS = 1_000
# A UUIDv7 has its stamp, in ms since the Unix epoch, above the low 80 bits.
_STAMP_SHIFT_BITS = 80


def _encode_answer(answer: outcomes.Answered) -> bytes:
    """Returns an answer in the encoded form in which it is kept."""
    return msgspec.msgpack.encode(answer)


def _decode_answer(encoded: bytes) -> outcomes.Answered:
    return msgspec.msgpack.decode(encoded, type=outcomes.Answered)


def _to_record(number: int, state: "_State") -> peer_pb2.RequestRecord:
    record = peer_pb2.RequestRecord(request_id=request_ids.from_int(number))
    if isinstance(state, bytes):
        answer = _decode_answer(state)
        answered = record.outcome.answered
        answered.status = answer.status
        answered.body = answer.body
        for header in answer.headers:
            answered.headers.extend(header)
    return record


def _from_record(record: peer_pb2.RequestRecord) -> "_State":
    if record.outcome.WhichOneof("outcome") != "answered":
        return _Sentinel.UNRESOLVED
    answered = record.outcome.answered
    names = answered.headers[::2]
    values = answered.headers[1::2]
    headers = tuple(zip(names, values, strict=True))
    return _encode_answer(
        outcomes.Answered(answered.status, headers, answered.body)
    )


def _refused_id(detail: str) -> outcomes.Refused:
    return outcomes.Refused(outcomes.RefusalReason.REQUEST_ID, detail)


def _bucket_of(number: int) -> int:
    return (number >> _STAMP_SHIFT_BITS) // _BUCKET_MS


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Running:
    """State of an id whose first send is still running.

    Attributes:
      outcome: Outcome of the first send.
      may_have_run: Returns whether it was dispatched.
    """

    outcome: asyncio.Future[outcomes.Outcome]
    may_have_run: Callable[[], bool]


class _Sentinel(enum.Enum):
    """State of an id that neither runs nor has a kept answer."""

    UNRESOLVED = "unresolved"


# State of an id: running, answered (the encoded answer) or unresolved, if the
# outcome of its first send is not known or its answer was dropped.
_State = _Running | bytes | _Sentinel


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRecords:
    """Deduplication state of a slot, handed over to its next owner.

    Attributes:
      unknown_before_wall_ms: Ids stamped up to then may have run.
      requests: One record per id, without an outcome if it is not known.
    """

    unknown_before_wall_ms: int
    requests: tuple[peer_pb2.RequestRecord, ...]


class _Slot:
    """Ids of one slot, in buckets of one second by their stamp."""

    def __init__(self, unknown_before_wall_ms: int):
        self.unknown_before_wall_ms = unknown_before_wall_ms
        # Ids stamped earlier were dropped. This never decreases, so that a
        # dropped id is not accepted again when the wall clock is set back.
        self.dropped_before_wall_ms = 0
        self.by_bucket: dict[int, dict[int, _State]] = {}

    def find(self, number: int) -> "_State | None":
        """Returns the state of an id, None if it is not known."""
        bucket = self.by_bucket.get(_bucket_of(number))
        return None if bucket is None else bucket.get(number)

    def put(self, number: int, state: "_State") -> None:
        """Sets the state of an id."""
        self.by_bucket.setdefault(_bucket_of(number), {})[number] = state

    def remove(self, number: int) -> None:
        """Removes an id, if it is known."""
        self.by_bucket.get(_bucket_of(number), {}).pop(number, None)

    def states(self) -> "Iterable[tuple[int, _State]]":
        """Yields all ids with their states."""
        for bucket in self.by_bucket.values():
            yield from bucket.items()


class DeduplicationTable:
    """Prevents the request of an id from being dispatched twice.

    Keeps the state of each id, by slot, for the retention.

    Example:
      table = DeduplicationTable(clock, metrics)
      table.open_slot(placement, unknown_before_wall_ms=0)
      outcome = await table.run(placement, request, dispatch)

    Attributes:
      count: Number of ids that are kept.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        retention_ms: int = DEFAULT_RETENTION_MS,
        max_ids: int = _MAX_IDS,
        max_total_answer_bytes: int = _MAX_TOTAL_ANSWER_BYTES,
    ):
        self.count = 0
        self._clock = clock
        self._metrics = metrics
        self._retention_ms = retention_ms
        self._max_ids = max_ids
        self._max_total_answer_bytes = max_total_answer_bytes
        self._answer_bytes = 0
        self._slots: dict[dispatch_lib.SlotId, _Slot] = {}

    def open_slot(
        self,
        placement: dispatch_lib.SlotId,
        unknown_before_wall_ms: int,
        records: Iterable[peer_pb2.RequestRecord] = (),
    ) -> None:
        """Starts to serve a slot.

        Args:
          placement: The slot.
          unknown_before_wall_ms: Ids stamped up to then may have run.
          records: Records of the earlier owner, if the slot moved as planned.
        """
        self.close_slot(placement)
        slot = _Slot(unknown_before_wall_ms)
        self._slots[placement] = slot
        for record in records:
            number = request_ids.to_int(ids.RequestId(record.request_id))
            if number is not None:
                self._put(slot, number, _from_record(record))

    def ensure_slot(
        self, placement: dispatch_lib.SlotId, unknown_before_wall_ms: int
    ) -> None:
        """Opens a slot that is served without records of an earlier owner.

        If it is open already, its ids stay and the cut-off is only raised.
        """
        slot = self._slots.get(placement)
        if slot is None:
            self.open_slot(placement, unknown_before_wall_ms)
        elif slot.unknown_before_wall_ms < unknown_before_wall_ms:
            slot.unknown_before_wall_ms = unknown_before_wall_ms

    def open_slots(self) -> tuple[dispatch_lib.SlotId, ...]:
        """Returns the slots that are open."""
        return tuple(self._slots)

    def export_slot(self, placement: dispatch_lib.SlotId) -> SlotRecords:
        """Returns the records for the next owner of a slot.

        An id that still waits for its first dispatch is left out: it was not
        run, and the slot refuses it from now on.
        """
        slot = self._slots.get(placement)
        if slot is None:
            return SlotRecords(0, ())
        self._drop_expired_in(slot)
        records = tuple(
            _to_record(number, state)
            for number, state in slot.states()
            if not (isinstance(state, _Running) and not state.may_have_run())
        )
        return SlotRecords(self.unknown_before_wall_ms(placement), records)

    def unknown_before_wall_ms(self, placement: dispatch_lib.SlotId) -> int:
        """Returns the stamp before which the ids of a slot are not known."""
        slot = self._slots.get(placement)
        if slot is None:
            return 0
        return max(slot.unknown_before_wall_ms, slot.dropped_before_wall_ms)

    def close_slot(self, placement: dispatch_lib.SlotId) -> None:
        """Stops serving a slot and forgets its ids."""
        slot = self._slots.pop(placement, None)
        if slot is None:
            return
        for _, state in slot.states():
            self._uncount(state)

    def set_retention(self, retention_ms: int) -> None:
        """Adopts the declared retention; dropped ids stay refused."""
        self._retention_ms = retention_ms

    def drop_expired(self) -> None:
        """Drops all ids older than the retention; to be called each second."""
        for slot in self._slots.values():
            self._drop_expired_in(slot)

    async def run(
        self,
        placement: dispatch_lib.SlotId,
        request: requests.Request,
        dispatch: Callable[[], Awaitable[outcomes.Outcome]],
        may_have_run: Callable[[], bool] = lambda: True,
    ) -> outcomes.Outcome:
        """Calls `dispatch` unless the id may have been dispatched before.

        Args:
          placement: Slot of the request.
          request: The request.
          dispatch: Runs the request.
          may_have_run: Returns whether `dispatch` has sent the request to a
            target; called if the slot moves meanwhile.

        Returns:
          The outcome of `dispatch`. A resend gets the outcome of the first
          send, or an Unknown if that is not known by its deadline.
        """
        if request.request_id is None:
            return await dispatch()
        number = request_ids.to_int(request.request_id)
        if number is None:
            return _refused_id("the request id is not a UUIDv7")
        slot = self._slots.get(placement)
        if slot is None:
            return outcomes.Refused(
                outcomes.RefusalReason.NOT_OWNER,
                "this member does not serve the slot",
            )
        self._drop_expired_in(slot)
        known = slot.find(number)
        if known is not None:
            return await self._answer_resend(known, request.deadline_ms)
        rejected = self._check_stamp(slot, number >> _STAMP_SHIFT_BITS)
        if rejected is not None:
            return rejected
        return await self._run_first(
            placement, slot, number, dispatch, may_have_run
        )

    def _check_stamp(
        self, slot: _Slot, stamp_ms: int
    ) -> outcomes.Outcome | None:
        now_ms = self._clock.wall_ms()
        if stamp_ms > now_ms + _MAX_STAMP_LEAD_MS:
            return _refused_id("the request id is stamped in the future")
        if stamp_ms < max(
            now_ms - self._retention_ms, slot.dropped_before_wall_ms
        ):
            return outcomes.Unknown(
                outcomes.UnknownReason.ID_TOO_OLD,
                "the request id is older than the retention",
            )
        # An earlier owner accepted stamps up to 500 ms ahead of its clock, and
        # its clock may be 250 ms ahead of the fencer's. The fencer adds exactly
        # the sum, 750 ms, to its time as margin.
        if stamp_ms <= slot.unknown_before_wall_ms:
            return outcomes.Unknown(
                outcomes.UnknownReason.OWNER_LOST,
                "an earlier owner may have run the request id",
            )
        if self.count >= self._max_ids:
            return outcomes.Refused(
                outcomes.RefusalReason.OVERLOADED,
                "too many request ids are kept",
            )
        return None

    async def _run_first(
        self,
        placement: dispatch_lib.SlotId,
        slot: _Slot,
        number: int,
        dispatch: Callable[[], Awaitable[outcomes.Outcome]],
        may_have_run: Callable[[], bool],
    ) -> outcomes.Outcome:
        running: asyncio.Future[outcomes.Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        self._put(slot, number, _Running(running, may_have_run))
        outcome: outcomes.Outcome = outcomes.Unknown(
            outcomes.UnknownReason.CANCELLED, "the first send was cancelled"
        )
        try:
            outcome = await dispatch()
        finally:
            if self._slots.get(placement) is slot:
                self._resolve(slot, number, outcome)
            running.set_result(outcome)
        return outcome

    def _resolve(
        self, slot: _Slot, number: int, outcome: outcomes.Outcome
    ) -> None:
        if slot.find(number) is None:
            return  # It was dropped, as its stamp became too old meanwhile.
        slot.remove(number)
        self.count -= 1
        match outcome:
            case outcomes.Refused():
                return
            case outcomes.Answered():
                self._put(slot, number, _encode_answer(outcome))
            case outcomes.Unknown():
                self._put(slot, number, _Sentinel.UNRESOLVED)

    async def _answer_resend(
        self, state: _State, deadline_ms: int
    ) -> outcomes.Outcome:
        match state:
            case bytes():
                self._metrics.increment("deduplication.repeated")
                return _decode_answer(state)
            case _Sentinel.UNRESOLVED:
                return outcomes.Unknown(
                    outcomes.UnknownReason.ID_UNRESOLVED,
                    "the outcome of the first send is not known",
                )
            case _Running(outcome=outcome):
                return await self._wait_for_first(outcome, deadline_ms)

    async def _wait_for_first(
        self, outcome: asyncio.Future[outcomes.Outcome], deadline_ms: int
    ) -> outcomes.Outcome:
        remaining_ms = deadline_ms - self._clock.now_ms()
        sleep = asyncio.ensure_future(self._clock.sleep_ms(remaining_ms))
        try:
            await asyncio.wait(
                (outcome, sleep), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            sleep.cancel()
        if outcome.done():
            return outcome.result()
        return outcomes.Unknown(
            outcomes.UnknownReason.ID_RUNNING,
            "the first send is still running",
        )

    def _put(self, slot: _Slot, number: int, state: _State) -> None:
        if isinstance(state, bytes) and not self._make_room(slot, len(state)):
            self._metrics.increment("deduplication.answers_not_kept")
            state = _Sentinel.UNRESOLVED
        if isinstance(state, bytes):
            self._answer_bytes += len(state)
        slot.put(number, state)
        self.count += 1

    def _make_room(self, slot: _Slot, size: int) -> bool:
        """Drops old answers of the slot if a new one needs room.

        Returns:
          Whether the new answer can be kept.
        """
        if size > min(_MAX_ANSWER_BYTES, self._max_total_answer_bytes):
            return False
        free = self._max_total_answer_bytes - self._answer_bytes
        for bucket in sorted(slot.by_bucket):
            if free >= size:
                break
            free += self._drop_answers(slot.by_bucket[bucket])
        return free >= size

    def _drop_answers(self, states: dict[int, _State]) -> int:
        """Drops answers but keeps their ids; returns the bytes freed."""
        freed = 0
        for number, state in states.items():
            if isinstance(state, bytes):
                freed += len(state)
                states[number] = _Sentinel.UNRESOLVED
        self._answer_bytes -= freed
        return freed

    def _uncount(self, state: _State) -> None:
        self.count -= 1
        if isinstance(state, bytes):
            self._answer_bytes -= len(state)

    def _drop_expired_in(self, slot: _Slot) -> None:
        cutoff_ms = self._clock.wall_ms() - self._retention_ms
        first_kept = cutoff_ms // _BUCKET_MS
        if first_kept * _BUCKET_MS <= slot.dropped_before_wall_ms:
            return
        expired = [bucket for bucket in slot.by_bucket if bucket < first_kept]
        for bucket in expired:
            for state in slot.by_bucket.pop(bucket).values():
                self._uncount(state)
        slot.dropped_before_wall_ms = first_kept * _BUCKET_MS
