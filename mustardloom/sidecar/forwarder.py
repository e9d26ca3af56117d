"""Forwards requests to gates of other daemons and runs those they forward."""

import asyncio
import collections
from collections.abc import Callable
import functools

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import memory_budget
from mustardloom.http1 import bodies
from mustardloom.http1 import messages
from mustardloom.load_control import stop_admission
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import frames
from mustardloom.sidecar import gate as gate_lib
from mustardloom.sidecar import links as links_lib
from mustardloom.sidecar import transfers as transfers_lib
from mustardloom.sidecar import work

__all__ = ["Forwarder"]

_NO_KEY = -1
_UNREACHABLE_RETRY_MS = 300
_NO_ROOM_RETRY_MS = 500
_ENDING_RETRY_MS = 300


_UNREACHABLE = work.Refused(
    work.RefusalReason.UNREACHABLE, _UNREACHABLE_RETRY_MS
)


class Forwarder:
    """Forwards requests between daemons.

    Attributes:
      open_by_vm: Number of open requests at the local gate by the VM that
        forwarded them.
    """

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        links: links_lib.Links,
        gate: gate_lib.Gate,
        clock: clock_lib.Clock,
        transfers: transfers_lib.Transfers,
        budget: memory_budget.MemoryBudget,
        stop: stop_admission.StopAdmission,
    ):
        self.open_by_vm: collections.Counter[ids.VmId] = collections.Counter()
        self._fleet = fleet
        self._links = links
        self._gate = gate
        self._clock = clock
        self._transfers = transfers
        self._budget = budget
        self._stop = stop

    def is_serving(self) -> bool:
        """Returns whether requests or answers of other daemons are open here.

        An answer is open until the other daemon has fetched its body.
        """
        return self.open_by_vm.total() > 0 or self._transfers.is_busy()

    async def send(
        self, vm: ids.VmId, request: work.Work, may_wait: bool
    ) -> work.Attempt:
        """Runs a request at the gate of a VM, local or not.

        Args:
          vm: The VM.
          request: The request.
          may_wait: Whether the gate waits for a key that is being handed over.

        Returns:
          The outcome; a refusal if the VM cannot be reached, a failure if the
          link is lost while the gate has the request. Of a request that the
          target may leave unanswered, the rest of the attempt.
        """
        if vm == self._fleet.own_record.vm:
            return await self._gate.run(request, may_wait)
        peer = self._fleet.by_vm.get(vm)
        if peer is None:
            return _UNREACHABLE
        refusal = self._refusal_by_stop(peer, request)
        if refusal is not None:
            return refusal
        return await self._forward(peer, request, may_wait)

    def _refusal_by_stop(
        self, peer: fleet_lib.Peer, request: work.Work
    ) -> work.Refused | None:
        """Returns why a stop keeps a request from a peer, None if none does."""
        if not self._stop.may_start(request.deadline_ms):
            return work.Refused(work.RefusalReason.ENDING, _ENDING_RETRY_MS)
        if self._stop.is_stopping() and peer.is_stopping:
            # The peer may end before the request, and this daemon soon after.
            return work.Refused(work.RefusalReason.STOPPING, _ENDING_RETRY_MS)
        return None

    async def _forward(
        self, peer: fleet_lib.Peer, request: work.Work, may_wait: bool
    ) -> work.Attempt:
        """Runs a request at the gate of a peer; see `send`."""
        transfer = None
        if request.rest is not None:
            transfer = self._transfers.offer(request.rest)
        make_frame = self._frame_factory(peer.vm, request, may_wait, transfer)
        end = functools.partial(self._end, peer, transfer)
        peer.view.in_flight += 1
        is_open = False
        try:
            call = self._links.begin_call(
                peer.vm, make_frame, _on_silence(request)
            )
            outcome = await self._outcome_of(call, peer, request)
            if outcome is None:
                is_open = True
                return self._rest_of(call, peer, request, end)
            return outcome
        except links_lib.PeerUnreachable:
            return _UNREACHABLE
        finally:
            if not is_open:
                end()

    def _end(
        self, peer: fleet_lib.Peer, transfer: frames.Transfer | None
    ) -> None:
        peer.view.in_flight -= 1
        if transfer is not None:
            self._transfers.withdraw(transfer)

    def _rest_of(
        self,
        call: links_lib.OpenCall,
        peer: fleet_lib.Peer,
        request: work.Work,
        end: Callable[[], None],
    ) -> work.Unanswered:
        """Returns the rest of an attempt that is overdue.

        Args:
          call: The call to the gate.
          peer: The VM of the gate.
          request: The request.
          end: Called once the attempt has ended.
        """

        async def rest() -> work.Outcome:
            # The gate tells only once that a request is overdue.
            outcome = await self._outcome_of(call, peer, request)
            return outcome or work.Failed(work.FailureReason.INTERNAL)

        def on_done(_: "asyncio.Future[work.Outcome]") -> None:
            # Also if it was cancelled before it began.
            call.end()
            end()

        task = asyncio.ensure_future(rest())
        task.add_done_callback(on_done)
        return work.Unanswered(task)

    async def _outcome_of(
        self, call: links_lib.OpenCall, peer: fleet_lib.Peer, request: work.Work
    ) -> work.Outcome | None:
        """Returns the outcome of a call, None once it is overdue."""
        try:
            reply = await call.result()
        except links_lib.PeerUnreachable:
            return _UNREACHABLE
        except links_lib.PeerLost:
            return work.Failed(work.FailureReason.PEER_LOST)
        if isinstance(reply, frames.Overdue):
            return None
        if isinstance(reply, frames.Answer):
            if not messages.is_final_status(reply.status):
                return work.Failed(work.FailureReason.INCOMPLETE)
            peer.view.running = reply.running
            peer.view.waiting = reply.waiting
            peer.view.reported_in_flight = peer.view.in_flight
            peer.view.rate_limit_per_s = reply.rate_limit_per_s
            if reply.transfer is not None:
                return await self._open_answer(
                    peer.vm, reply, reply.transfer, request.deadline_ms
                )
        return _decode_outcome(reply)

    def on_overdue(self, vm: ids.VmId, frame: frames.Overdue) -> None:
        """Processes that the target of a VM may leave a request unanswered."""
        self._links.mark_overdue(vm, frame)

    async def receive(
        self, vm: ids.VmId, frame: frames.Forward
    ) -> frames.Frame:
        """Runs a request of another daemon and returns the reply to it."""
        hold = self._hold_for(frame)
        if hold is None:
            outcome: work.Outcome = work.Refused(
                work.RefusalReason.NO_ROOM, _NO_ROOM_RETRY_MS
            )
            return self._encode_outcome(frame.number, outcome)
        self.open_by_vm[vm] += 1
        try:
            request = self._decode(vm, frame)
            outcome = await self._run(vm, request, frame)
        finally:
            self.open_by_vm[vm] -= 1
            hold.release()
        return self._encode_outcome(frame.number, outcome)

    async def _run(
        self, vm: ids.VmId, request: work.Work, frame: frames.Forward
    ) -> work.Outcome:
        """Runs a request at the local gate; tells if it becomes overdue."""
        attempt = await self._gate.run(request, frame.may_wait)
        if not isinstance(attempt, work.Unanswered):
            return attempt
        if frame.hears_overdue:
            self._links.notify(vm, frames.Overdue(frame.number))
        return await attempt.rest

    def _hold_for(self, frame: frames.Forward) -> memory_budget.Hold | None:
        """Returns room for a request and a short answer, None without room.

        A body that is fetched takes its room while the target reads it.
        """
        size = sum(len(name) + len(value) for name, value in frame.headers)
        return self._budget.try_hold(
            size + len(frame.body) + bodies.INLINE_BYTES
        )

    async def _open_answer(
        self,
        vm: ids.VmId,
        answer: frames.Answer,
        transfer: frames.Transfer,
        deadline_ms: int,
    ) -> work.Outcome:
        """Returns an answer whose body the other daemon offers."""
        address = self._links.address_of(vm)
        if address is None:
            return work.Failed(work.FailureReason.PEER_LOST)
        body = self._transfers.fetch(vm, address, transfer, deadline_ms)
        try:
            await body.open()
        except bodies.BodyBroken:
            return work.Failed(work.FailureReason.PEER_LOST)
        return work.Answered(
            messages.Response(answer.status, answer.headers, rest=body)
        )

    def _frame_factory(
        self,
        vm: ids.VmId,
        request: work.Work,
        may_wait: bool,
        transfer: frames.Transfer | None,
    ) -> Callable[[int], frames.Forward]:
        now_ms = self._clock.now_ms()
        offset_ms = self._links.clock_offset_ms(vm)
        expires_ms = 0 if offset_ms is None else request.deadline_ms + offset_ms
        return lambda number: frames.Forward(
            number,
            request.service,
            request.method,
            request.target,
            request.headers,
            request.body,
            request.request_id,
            request.route,
            request.caller_service,
            request.is_idempotent,
            request.priority,
            request.objective_ms - now_ms,
            request.deadline_ms - now_ms,
            _NO_KEY if request.key is None else request.key,
            may_wait,
            request.fingerprint,
            request.is_call,
            expires_ms,
            transfer,
            request.organisation or "",
            hears_overdue=True,
        )

    def _decode(self, vm: ids.VmId, frame: frames.Forward) -> work.Work:
        deadline_ms = self._clock.now_ms() + frame.deadline_ms
        if frame.expires_ms:
            deadline_ms = min(deadline_ms, frame.expires_ms)
        objective_ms = deadline_ms - frame.deadline_ms + frame.objective_ms
        return work.Work(
            ids.ServiceId(frame.service),
            frame.method,
            frame.target,
            frame.headers,
            frame.body,
            frame.request_id,
            ids.RouteId(frame.route),
            ids.ServiceId(frame.caller_service),
            frame.is_idempotent,
            frame.priority,
            objective_ms,
            deadline_ms,
            None if frame.key == _NO_KEY else frame.key,
            frame.fingerprint,
            frame.is_call,
            self._body_of(vm, frame, deadline_ms),
            ids.OrganisationId(frame.organisation) or None,
        )

    def _body_of(
        self, vm: ids.VmId, frame: frames.Forward, deadline_ms: int
    ) -> bodies.BodySource | None:
        if frame.transfer is None:
            return None
        address = self._links.address_of(vm)
        if address is None:
            return bodies.BrokenBody()
        return self._transfers.fetch(vm, address, frame.transfer, deadline_ms)

    def _encode_outcome(
        self, number: int, outcome: work.Outcome
    ) -> frames.Frame:
        match outcome:
            case work.Answered(response):
                load = self._gate.load()
                transfer = None
                if response.rest is not None:
                    transfer = self._transfers.offer(response.rest)
                return frames.Answer(
                    number,
                    response.status,
                    response.headers,
                    response.body,
                    load.running,
                    load.waiting,
                    load.rate_limit_per_s,
                    transfer,
                )
            case work.Refused(reason, retry_after_ms, was_offered, owner):
                return frames.Refusal(
                    number, reason.value, retry_after_ms, was_offered, owner
                )
            case work.Failed(reason):
                return frames.Failure(number, reason.value)


def _on_silence(request: work.Work) -> links_lib.OnSilence:
    """Returns what becomes of a request whose peer falls silent.

    Another target cannot run a request with a key, and must not run one that is
    not idempotent, so the late reply is the only one.
    """
    if request.is_idempotent and request.key is None:
        return links_lib.OnSilence.TELL
    return links_lib.OnSilence.WAIT


def _decode_outcome(frame: frames.Frame) -> work.Outcome:
    match frame:
        case frames.Answer():
            return work.Answered(
                messages.Response(frame.status, frame.headers, frame.body)
            )
        case frames.Refusal():
            return work.Refused(
                work.RefusalReason(frame.reason),
                frame.retry_after_ms,
                frame.was_offered,
                ids.VmId(frame.owner),
            )
        case frames.Failure():
            return work.Failed(work.FailureReason(frame.reason))
        case _:
            return work.Failed(work.FailureReason.INTERNAL)
