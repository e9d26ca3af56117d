"""Connections to the local target and the outcomes of its responses."""

import asyncio
from collections.abc import Callable
import dataclasses

from mustardloom import clock as clock_lib
from mustardloom import descriptor_budget
from mustardloom import metrics as metrics_lib
from mustardloom.deployment import settings
from mustardloom.deployment import targets
from mustardloom.http1 import bodies
from mustardloom.http1 import client
from mustardloom.http1 import messages
from mustardloom.http1 import sockets
from mustardloom.platform import headers
from mustardloom.sidecar import work

__all__ = ["OnStatement", "SendResult", "TargetConnections"]

_MS_PER_S = 1_000
_CONNECT_TIMEOUT_MS = 400
# A target answers at the deadline at the latest. If it has not done so this
# long afterwards, it counts as silent.
_ANSWER_SLACK_MS = 250
_DEFAULT_IDLE_MS = 8_000
# An idle connection is reused within this share of the idle time that the
# target announces, as later the target may close it under a new request.
_IDLE_SHARE = 0.8
# Ids on one connection before those that were sent too long ago are dropped.
_MAX_SENT_IDS = 32
# Responses with this status or a higher one need no signature.
_SERVER_ERROR = 500


# Called with what the target states in the head of its response.
OnStatement = Callable[[targets.Statement], None]


@dataclasses.dataclass(frozen=True, slots=True)
class SendResult:
    """Result of sending one request to the target.

    Attributes:
      outcome: Outcome of the request.
      load: Load that the target reported with its response, if any.
      is_connection_refused: Whether no process listens on the target's address.
      is_connection_lost: Whether the connection ended while the target had the
        request.
    """

    outcome: work.Outcome
    load: targets.TargetLoad | None = None
    is_connection_refused: bool = False
    is_connection_lost: bool = False

    async def after_body(self) -> "SendResult":
        """Returns the result once a body in pieces has arrived or broken off.

        The target is busy with the request until then.
        """
        if not isinstance(self.outcome, work.Answered):
            return self
        rest = self.outcome.response.rest
        if not isinstance(rest, bodies.Body) or await rest.ended:
            return self
        if rest.is_dropped():
            # The caller has left, or the deadline has passed.
            return self
        return SendResult(work.Failed(work.FailureReason.INCOMPLETE), self.load)


class _KeptConnection:
    """A connection, and the requests that were sent on it.

    A target may write an earlier response once more, where that to the next
    request is due. The id of the request tells them apart, unless the same one
    was sent again, after the target had refused it.

    Attributes:
      until_ms: Local time until which it may be used again.
    """

    def __init__(self, connection: client.Connection):
        self.connection = connection
        self.until_ms = 0
        self._deadline_by_id: dict[str, int] = {}

    def is_usable(self, now_ms: int) -> bool:
        """Returns whether another request can be sent."""
        return now_ms < self.until_ms and self.connection.is_usable()

    def has_sent(self, request_id: str) -> bool:
        """Returns whether this request was sent here before."""
        return request_id in self._deadline_by_id

    def note(self, request: work.Work, now_ms: int) -> None:
        """Records that a request is sent; it is not sent after its deadline."""
        if len(self._deadline_by_id) >= _MAX_SENT_IDS:
            self._deadline_by_id = {
                request_id: deadline_ms
                for request_id, deadline_ms in self._deadline_by_id.items()
                if deadline_ms >= now_ms
            }
        self._deadline_by_id[request.request_id] = request.deadline_ms


class TargetConnections:
    """Keep-alive connections to the local target.

    Attributes:
      opened: Connections opened so far.
    """

    def __init__(
        self,
        address: settings.Address,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        passage: client.Passage | None = None,
        share: descriptor_budget.Share | None = None,
    ):
        self.opened = 0
        self._address = address
        self._clock = clock
        self._metrics = metrics
        self._passage = passage
        self._share = share
        self._idle: list[_KeptConnection] = []

    def close(self) -> None:
        """Closes the idle connections; those with a request stay open."""
        while self._idle:
            self._idle.pop().connection.close()

    async def is_refused(self) -> bool:
        """Returns whether no process listens on the target's address.

        If one does, the next request uses the connection.
        """
        try:
            kept = await self._open()
        except client.ConnectFailed as error:
            return error.refused
        self._release(kept, None)
        return False

    async def send(
        self,
        request: work.Work,
        target: targets.TargetId,
        on_statement: OnStatement,
    ) -> SendResult:
        """Sends a request; awaits the response until just after its deadline.

        Cancelling the call closes the connection.

        Args:
          request: The request.
          target: Name of the target that is to get it; another one refuses it.
          on_statement: Called once the head of the response has arrived, also
            if the target refuses the request or the response breaks off.

        Returns:
          The result, also if the connection fails.
        """
        left_ms = request.deadline_ms - self._clock.now_ms()
        limit_ms = max(0, left_ms) + _ANSWER_SLACK_MS
        try:
            async with asyncio.timeout(limit_ms / _MS_PER_S):
                return await self._send(request, target, on_statement)
        except TimeoutError:
            reason = work.FailureReason.DEADLINE
            return SendResult(work.Failed(reason))

    async def _send(
        self,
        request: work.Work,
        target: targets.TargetId,
        on_statement: OnStatement,
    ) -> SendResult:
        try:
            kept = await self._acquire(request.request_id)
        except client.ConnectFailed as error:
            self._metrics.increment("target.connect_failed")
            refusal = work.Refused(work.RefusalReason.TARGET_DOWN)
            return SendResult(refusal, is_connection_refused=error.refused)
        connection = kept.connection
        kept.note(request, self._clock.now_ms())
        skipped_before = connection.skipped
        try:
            response = await connection.exchange(
                self._encode(request, target),
                request.method == "HEAD",
                headers.request_id_header(request.request_id),
                lambda head: on_statement(headers.read_statement(head)),
                request.rest,
                self._passage,
            )
        except bodies.BodyBroken:
            # Nothing was sent.
            self._release(kept, None)
            return SendResult(work.Refused(work.RefusalReason.BROKEN_OFF))
        except client.ClosedEarly:
            self._metrics.increment("target.closed_early")
            reason = work.FailureReason.TARGET_LOST
            return SendResult(work.Failed(reason), is_connection_lost=True)
        except client.UploadBroken:
            self._metrics.increment("target.uploads_broken")
            return SendResult(work.Failed(work.FailureReason.UPLOAD_BROKEN))
        except client.Incomplete:
            self._metrics.increment("target.incomplete")
            return SendResult(work.Failed(work.FailureReason.INCOMPLETE))
        except BaseException:
            connection.close()
            raise
        finally:
            skipped = connection.skipped - skipped_before
            self._metrics.increment("target.responses_skipped", skipped)
        fields = headers.read_response(response)
        if isinstance(response.rest, bodies.Body):
            self._release_after(kept, response.rest, fields, request)
        else:
            self._release(kept, fields.idle_ms)
        outcome = self._outcome(response, fields)
        if not isinstance(outcome, work.Answered):
            work.discard(work.Answered(response))
        return SendResult(outcome, fields.load)

    def _release_after(
        self,
        kept: _KeptConnection,
        rest: bodies.Body,
        fields: headers.ResponseFields,
        request: work.Work,
    ) -> None:
        """Keeps the connection once a body in pieces has arrived.

        The body is broken off just after the deadline.
        """
        left_ms = request.deadline_ms + _ANSWER_SLACK_MS - self._clock.now_ms()
        timer = asyncio.get_running_loop().call_later(
            max(0, left_ms) / _MS_PER_S, rest.close
        )

        def on_ended(ended: "asyncio.Future[bool]") -> None:
            if ended.result():
                self._release(kept, fields.idle_ms)

        rest.ended.add_done_callback(on_ended)
        rest.released.add_done_callback(lambda _: timer.cancel())

    def _encode(self, request: work.Work, target: targets.TargetId) -> bytes:
        left_ms = max(1, request.deadline_ms - self._clock.now_ms())
        sent = headers.to_target(
            request.headers,
            request.caller_service,
            left_ms,
            target,
            request.organisation,
        )
        return messages.encode_request(
            messages.Request(
                request.method,
                request.target,
                sent,
                request.body,
                rest=request.rest,
            )
        )

    def _outcome(
        self, response: messages.Response, fields: headers.ResponseFields
    ) -> work.Outcome:
        if fields.is_not_run:
            reason = work.RefusalReason.TARGET_REFUSED
            if fields.is_misdirected:
                reason = work.RefusalReason.NOT_OWNER
            return work.Refused(reason, was_offered=True)
        if not fields.is_signed and response.status < _SERVER_ERROR:
            return work.Failed(work.FailureReason.NOT_SIGNED)
        if fields.is_encoded:
            return work.Failed(work.FailureReason.ENCODED)
        return work.Answered(
            messages.Response(
                response.status,
                headers.to_caller(response.headers),
                response.body,
                response.rest,
            )
        )

    async def _acquire(self, request_id: str) -> _KeptConnection:
        """Returns a connection on which this request was not sent before."""
        now_ms = self._clock.now_ms()
        for kept in reversed(self._idle):
            if kept.has_sent(request_id):
                continue
            self._idle.remove(kept)
            if kept.is_usable(now_ms):
                return kept
            kept.connection.close()
        return await self._open()

    async def _open(self) -> _KeptConnection:
        self.opened += 1
        self._metrics.increment("target.connections_opened")
        connection = await client.connect(
            self._address,
            _CONNECT_TIMEOUT_MS,
            sockets.WIDE_UNREAD_BYTES,
            self._share,
        )
        return _KeptConnection(connection)

    def _release(self, kept: _KeptConnection, idle_ms: int | None) -> None:
        if not kept.connection.is_reusable:
            return
        usable_ms = round((idle_ms or _DEFAULT_IDLE_MS) * _IDLE_SHARE)
        kept.until_ms = self._clock.now_ms() + usable_ms
        self._idle.append(kept)
