"""One connection of a client to the HTTP server."""

import asyncio
import collections
import dataclasses
import enum

import httptools
from tornado import iostream

from mustardloom.http1 import bodies
from mustardloom.http1 import connection_end
from mustardloom.http1 import connection_owner
from mustardloom.http1 import idle_eviction
from mustardloom.http1 import messages
from mustardloom.http1 import partial_head
from mustardloom.http1 import pending_responses
from mustardloom.http1 import receive_window
from mustardloom.http1 import rejections
from mustardloom.http1 import request_body
from mustardloom.http1 import request_heads
from mustardloom.http1 import request_room
from mustardloom.http1 import response_writer
from mustardloom.http1 import server_limits
from mustardloom.http1 import sockets

__all__ = ["READ_BYTES", "Connection"]

_EndReason = connection_end.EndReason

READ_BYTES = bodies.PIECE_BYTES
# Nothing is held for a request before its head is complete, and all connections
# may become readable at once.
_HEAD_READ_BYTES = 8_192
# A caller closes a connection that has ended within this time.
_END_TIMEOUT_MS = 1_000
# Asks for a tunnel, whose bytes are no requests.
_CONNECT = b"CONNECT"
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_INTERNAL_ERROR = 500
# Its clients know no chunks and no interim responses (RFC 9110, 10.1.1).
_HTTP_1_0 = "1.0"


class _UpgradeOffered(Exception):
    """A request offers another protocol, which is not used.

    The parser would take what follows its head for that protocol.
    """


class _Phase(enum.Enum):
    IDLE = "idle"
    HEAD = "head"
    BODY = "body"


class Connection:
    """One connection of a client."""

    def __init__(
        self, owner: connection_owner.ConnectionOwner, stream: iostream.IOStream
    ):
        self.stream = stream
        self.pending: collections.deque[pending_responses.PendingResponse] = (
            collections.deque()
        )
        self._owner = owner
        self._limits = owner.limits()
        self._parser = httptools.HttpRequestParser(self)
        self._phase = _Phase.IDLE
        self._waiting_since_ms = owner.clock.now_ms()
        self._received_ms = self._waiting_since_ms
        self._head = partial_head.PartialHead(
            owner.budget, self._on_head_evicted
        )
        # Raw bytes of requests that wait until earlier ones are answered.
        self._waiting = b""
        # Requests whose answers have not left.
        self._open = 0
        # Whether the last of them was not read, but rejected.
        self._is_rejected = False
        # Bytes that have arrived after the head that is parsed.
        self._arrived_bytes = 0
        # A complete head, while it is parsed.
        self._complete_head = b""
        self._closes_after_pending = False
        self._is_finishing = False
        self._end = connection_end.ConnectionEnd(owner.on_end)
        self._writer = response_writer.ResponseWriter(stream, owner.clock)
        self._has_room = asyncio.Event()
        self._room = request_room.RequestRoom(
            owner.budget, owner.kind, self._on_body_evicted
        )
        self._window = receive_window.ReceiveWindow(stream, owner.budget)
        # The last request, while its body passes in pieces.
        self._uploading: pending_responses.PendingResponse | None = None
        # Writes a body that passes in pieces.
        self._sending: asyncio.Task[None] | None = None
        self._body = request_body.RequestBody()
        # Whether the client waits with the body for an interim response.
        self._expects_continue = False
        self._headers: list[messages.Header] = []
        self._reset()
        stream.set_close_callback(self._on_closed)

    async def run(self) -> None:
        """Reads requests until the connection ends."""
        unyielded_bytes = 0
        try:
            while True:
                await self._await_reader()
                if self._waiting:
                    await self._resume()
                    continue
                # Also reads after the last request, to notice that the client
                # closes the connection.
                unyielded_bytes += await self._read_part()
                if unyielded_bytes >= READ_BYTES:
                    # Reads of bytes that have arrived already do not yield.
                    unyielded_bytes = 0
                    await asyncio.sleep(0)
        except iostream.StreamClosedError:
            pass
        except Exception:
            self.report_end(_EndReason.FAULT)
            raise
        finally:
            self._release_all()

    def report_end(self, reason: _EndReason) -> None:
        """Reports why the connection ends, unless that was reported before."""
        self._end.report(reason, self._open - self._is_rejected)

    async def _read_part(self) -> int:
        """Reads and parses some bytes; returns how many.

        No local variable of the caller may refer to them, as it would keep them
        until the next ones arrive.
        """
        size = READ_BYTES if self._phase is _Phase.BODY else _HEAD_READ_BYTES
        self.stream.read_chunk_size = size
        data = await self.stream.read_bytes(size, partial=True)
        self._on_received()
        self._parse(data)
        return len(data)

    async def _resume(self) -> None:
        """Parses the requests that wait, once there is room for the next."""
        while not (
            self.stream.closed()
            or self._closes_after_pending
            or self._try_hold_pipelined()
        ):
            self._has_room.clear()
            await self._has_room.wait()
        data, self._waiting = self._waiting, b""
        self._head.drop()
        if self.stream.closed():
            # What the stream still holds follows bytes that are not parsed.
            raise iostream.StreamClosedError
        self._parse(data)

    def _try_hold_pipelined(self) -> bool:
        """Takes room for a request that follows one without an answer."""
        if not self._open:
            return True
        if self._open >= self._limits.max_pipelined:
            return False
        return self._room.try_hold_pipelined(
            self._limits.max_header_bytes, self._limits.max_pipelined_sum
        )

    async def _await_reader(self) -> None:
        """Returns once the reader of a body wants more of it."""
        while self._uploading is not None:
            upload = self._uploading.upload
            if upload is None or not upload.is_full():
                return
            await upload.wait_for_room()
            self._waiting_since_ms = self._owner.clock.now_ms()

    def _on_closed(self) -> None:
        """Wakes the reader, which may wait for something else than bytes."""
        self.report_end(_EndReason.CALLER_CLOSED)
        if self._uploading is not None and self._uploading.upload is not None:
            self._uploading.upload.fail()
        self._has_room.set()

    def _release_all(self) -> None:
        self._room.release()
        self._head.release()
        self._window.release()
        if self._uploading is not None and self._uploading.upload is not None:
            self._uploading.upload.fail()
        for pending in self.pending:
            pending.drop()
        if self._sending is not None:
            self._sending.cancel()

    def is_busy(self) -> bool:
        """Returns whether a request is being read, run or answered."""
        if self.stream.closed() or self._writer.ended_ms is not None:
            return False
        is_last_awaited = self._is_finishing and not self._closes_after_pending
        return (
            bool(self.pending or self._waiting)
            or self._phase is not _Phase.IDLE
            or self._sending is not None
            or self.stream.writing()
            or is_last_awaited
        )

    def finish(self) -> None:
        """Closes the connection after the requests that have arrived."""
        self._is_finishing = True
        if self._phase is not _Phase.IDLE or self._waiting:
            return
        if self.pending or self._sending is not None:
            self._closes_after_pending = True
        else:
            self._close_unless_request_waits(_EndReason.IDLE_AT_STOP)

    def _close_unless_request_waits(self, reason: _EndReason) -> None:
        """Closes the connection; bytes that have arrived are read first."""
        if self.stream.closed():
            return
        if sockets.is_open_and_empty(self.stream.socket):
            self._closes_after_pending = True
            if self._writer.is_done:
                self._close(reason)
            else:
                self._writer.after_written(self._end_after_answers)

    def _close(self, reason: _EndReason) -> None:
        self.report_end(reason)
        self.stream.close()

    def _end_after_answers(self) -> None:
        """Ends the connection, whose answers have left unless it is closed."""
        if not self.stream.closed():
            self._end.report_planned()
        self._writer.end()

    def standstill(self) -> tuple[idle_eviction.Standstill, int] | None:
        """See `idle_eviction.Evictable`."""
        if self.stream.closed():
            return None
        if self._writer.ended_ms is not None:
            return idle_eviction.Standstill.ENDED, self._writer.ended_ms
        if self._closes_after_pending or self.pending or self._is_finishing:
            return None
        if self._sending is not None or self.stream.writing():
            return None
        match self._phase:
            case _Phase.IDLE if not self._writer.is_used:
                reason = idle_eviction.Standstill.UNUSED
            case _Phase.IDLE:
                reason = idle_eviction.Standstill.IDLE
            case _Phase.HEAD:
                reason = idle_eviction.Standstill.SLOW
            case _Phase.BODY:
                return None
        return reason, self._waiting_since_ms

    def evict(self) -> bool:
        """See `idle_eviction.Evictable`."""
        if not sockets.is_open_and_empty(self.stream.socket):
            # What has arrived is read first.
            return False
        if self._phase is _Phase.HEAD:
            self._reject_late(_EndReason.EVICTED)
        if not self.stream.writing():
            self._close(_EndReason.EVICTED)
        return self.stream.closed()

    def enforce_time_limits(self, limits: server_limits.ServerLimits) -> None:
        """Adopts new limits; ends a connection that exceeds a time limit."""
        self._limits = limits
        now_ms = self._owner.clock.now_ms()
        if self._writer.ended_ms is not None:
            # A caller that is still sending sees the answer only afterwards.
            is_sending = now_ms - self._received_ms <= _END_TIMEOUT_MS
            limit_ms = limits.idle_timeout_ms if is_sending else _END_TIMEOUT_MS
            if now_ms - self._writer.ended_ms > limit_ms:
                self.stream.close()
            return
        waited_ms = now_ms - self._waiting_since_ms
        if self.stream.writing():
            if self._writer.stuck_ms(now_ms) > limits.idle_timeout_ms:
                self._close(_EndReason.UNREAD)
            return
        if self._uploading is not None:
            upload = self._uploading.upload
            if upload is None or upload.is_full():
                if sockets.has_peer_ended(self.stream.socket):
                    self.stream.close()
                return
            if waited_ms > limits.idle_timeout_ms:
                self._reject_late(_EndReason.SLOW)
            return
        if self.pending or self._closes_after_pending or self._sending:
            return
        match self._phase:
            case _Phase.IDLE:
                if waited_ms > limits.idle_timeout_ms:
                    self._close_unless_request_waits(_EndReason.IDLE)
            case _Phase.HEAD:
                if waited_ms > limits.header_timeout_ms:
                    self._reject_late(_EndReason.SLOW)
            case _Phase.BODY:
                if waited_ms > limits.idle_timeout_ms:
                    self._reject_late(_EndReason.SLOW)

    def _on_received(self) -> None:
        self._received_ms = self._owner.clock.now_ms()
        if self._uploading is not None:
            # A body that passes in pieces may take as long as it moves.
            self._waiting_since_ms = self._received_ms

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._reset()
        self._phase = _Phase.HEAD
        self._waiting_since_ms = self._began_ms

    def on_url(self, url: bytes) -> None:
        """Adds a piece of the request target."""
        self._url += url

    def on_headers_complete(self) -> None:
        """Reads the fields."""
        self._phase = _Phase.BODY
        if self._parser.get_method() == _CONNECT:
            raise rejections.RequestRejected(rejections.BAD_REQUEST)
        if self._parser.should_upgrade():
            raise _UpgradeOffered
        head, self._complete_head = self._complete_head, b""
        if not head:
            # The head has another end than it should have.
            raise rejections.RequestRejected(rejections.BAD_REQUEST)
        self._header_bytes = request_heads.limited_size(head, self._url)
        if self._header_bytes > self._limits.max_header_bytes:
            self._headers = request_heads.partial_fields(head)
            raise rejections.RequestRejected(rejections.HEADERS_TOO_LARGE)
        self._headers = request_heads.fields(head)
        framing = request_heads.framing(self._headers)
        self._body.announce(framing.length)
        if (framing.length or 0) > self._limits.max_body_bytes:
            raise rejections.RequestRejected(rejections.BODY_TOO_LARGE)
        self._hold_for_request()
        is_known = self._parser.get_http_version() != _HTTP_1_0
        self._expects_continue = framing.expects_continue and is_known
        self._continue_if_due()

    def _continue_if_due(self) -> None:
        """Sends `100 Continue` to a client that waits for it with its body.

        Not before the responses to earlier requests are written, so this is
        called again after those.
        """
        if self.pending or self._sending or self._closes_after_pending:
            return
        is_awaited = self._expects_continue and self._phase is _Phase.BODY
        self._expects_continue = False
        if is_awaited and not self._body.has_arrived(self._arrived_bytes):
            self._writer.write(_CONTINUE)

    def on_body(self, data: bytes) -> None:
        """Adds a piece of the body."""
        # The client has not waited.
        self._expects_continue = False
        self._body.count(data)
        if self._body.size > self._limits.max_body_bytes:
            raise rejections.RequestRejected(rejections.BODY_TOO_LARGE)
        if self._uploading is not None:
            upload = self._uploading.upload
            assert upload is not None
            upload.feed(data)
            return
        self._body.keep(data)
        if self._body.size <= bodies.INLINE_BYTES:
            return
        if self._owner.turns is not None:
            self._start_upload(self._owner.turns)
            return
        size = self._header_bytes + self._body.size + bodies.INLINE_BYTES
        if 0 < self._room.size < size:
            # In steps, as a piece may be a single byte.
            self._resize_hold(size + bodies.INLINE_BYTES)

    def on_message_complete(self) -> None:
        """Runs the request, unless it runs already."""
        self._phase = _Phase.IDLE
        if not self._parser.should_keep_alive():
            self._closes_after_pending = True
        if self._uploading is None:
            self._run_request(self._body.take(), None)
            return
        upload = self._uploading.upload
        self._uploading = None
        assert upload is not None
        upload.end()

    def _hold_for_request(self) -> None:
        """Takes room for the rest of a request and for a short answer."""
        length = self._body.length
        announced = bodies.INLINE_BYTES if length is None else length
        size = (
            self._header_bytes
            + min(announced, bodies.INLINE_BYTES)
            + bodies.INLINE_BYTES
        )
        self._resize_hold(size)
        if not self._room.try_hold_fields(self._headers):
            raise rejections.no_room()

    def _resize_hold(self, size: int) -> None:
        has_arrived = self._body.has_arrived(self._arrived_bytes)
        if not self._room.try_hold(size, bool(self._open), has_arrived):
            raise rejections.no_room()

    def _on_body_evicted(self) -> None:
        """Ends a request whose sender was silent while others need its room."""
        self._reject(messages.Response(rejections.TIMEOUT))

    def _start_upload(self, turns: bodies.Turns) -> None:
        """Runs a request whose body passes in pieces."""
        hold = self._owner.budget.try_hold_stream(bodies.STREAM_BYTES)
        if hold is None:
            raise rejections.no_room()
        self._window.widen()
        upload = bodies.Body(self._body.length, turns)
        upload.on_ready = hold.mark_ready
        upload.on_moved = hold.mark_moved
        upload.released.add_done_callback(lambda _: hold.release())
        upload.feed(self._body.take())
        self._resize_hold(self._header_bytes + bodies.INLINE_BYTES)
        pending = self._run_request(b"", upload)
        self._uploading = pending
        self._waiting_since_ms = self._owner.clock.now_ms()
        hold.on_evicted = lambda: self._break_upload(
            pending, messages.Response(rejections.TIMEOUT)
        )

    def _run_request(
        self, body: bytes, upload: bodies.Body | None
    ) -> pending_responses.PendingResponse:
        method = self._parser.get_method().decode("latin1")
        request = messages.Request(
            method,
            self._url.decode("latin1"),
            tuple(self._headers),
            body,
            self._began_ms,
            upload,
        )
        task = asyncio.ensure_future(self._owner.handler(request))
        if upload is None:
            # They would be kept until the next request.
            self._headers = []
        is_chunk_known = self._parser.get_http_version() != _HTTP_1_0
        hold, fields_hold = self._room.hand_on()
        pending = pending_responses.PendingResponse(
            method, task, hold, fields_hold, is_chunk_known, upload
        )
        self.pending.append(pending)
        self._open += 1
        task.add_done_callback(self._on_done)
        return pending

    def _break_upload(
        self,
        broken: pending_responses.PendingResponse,
        response: messages.Response,
        reason: _EndReason = _EndReason.REJECTED,
    ) -> None:
        """Ends a body that will not be read to its end.

        While nobody has begun to read it, the request was not run, and gets
        this response. Otherwise its handler learns that the body is broken.
        """
        assert broken.upload is not None
        if broken is self._uploading:
            self._uploading = None
            self._closes_after_pending = True
            self._end.plan(reason)
        if not broken.upload.is_taken and not broken.task.done():
            self._owner.on_rejected(self._headers, response)
            broken.task.cancel()
            broken.task = asyncio.Future()
            broken.task.set_result(response)
        broken.upload.close()
        self._flush()

    def _reset(self) -> None:
        self._url = b""
        self._headers = []
        self._header_bytes = 0
        self._body = request_body.RequestBody()
        self._expects_continue = False
        self._began_ms = self._owner.clock.now_ms()

    def _feed(self, data: bytes) -> None:
        """Parses bytes; no more of them at a time than belong to one request.

        The parser would create the fields of further ones before there is room
        for them.
        """
        position = 0
        while position < len(data):
            if self._closes_after_pending and self._uploading is None:
                # What follows is not run and gets no response.
                return
            if self._phase is _Phase.BODY:
                position += self._feed_body(data, position)
            elif not self._head.data and data[position] in b"\r\n":
                # Empty lines may come before a request.
                position += request_heads.empty_lines_size(data, position)
            elif self._open and self._must_wait():
                self._defer_requests(data[position:])
                return
            else:
                position += self._feed_head(data, position)
        if self._is_finishing and self._phase is _Phase.IDLE:
            self._closes_after_pending = True

    def _feed_head(self, data: bytes, start: int) -> int:
        """Parses bytes of a head; returns how many they are."""
        if self._head.data:
            return self._feed_rest_of_head(data, start)
        end = data.find(request_heads.END, start) + len(request_heads.END)
        if end < len(request_heads.END):
            self._keep_head(data[start:])
            return len(data) - start
        self._arrived_bytes = len(data) - end
        self._complete_head = data[start:end]
        self._feed_parser(self._complete_head)
        return end - start

    def _feed_parser(self, data: bytes) -> None:
        """Parses bytes of one request, no more than it has."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not isinstance(error.__context__, _UpgradeOffered):
                raise
            self._parser = httptools.HttpRequestParser(self)
            self._parser.feed_data(
                request_heads.without_upgrade(self._complete_head)
            )

    def _must_wait(self) -> bool:
        """Returns whether there is no room for another request yet."""
        return not self._head.data and not self._try_hold_pipelined()

    def _defer_requests(self, data: bytes) -> None:
        self._waiting = data
        self._head.hold(len(data))

    def _feed_rest_of_head(self, data: bytes, start: int) -> int:
        size = self._head.size_to_end(data, start)
        if size is None:
            self._keep_head(data[start:])
            return len(data) - start
        part = data[start : start + size]
        self._complete_head = self._head.complete(part)
        self._arrived_bytes = len(data) - start - size
        self._feed_parser(part)
        return size

    def _keep_head(self, part: bytes) -> None:
        """Keeps bytes of an incomplete head; checks whether they are valid."""
        self._head.add(part, self._limits.max_header_bytes)
        self._feed_parser(part)

    def _on_head_evicted(self) -> None:
        """Ends a connection that stands still while others need its room."""
        if self._waiting:
            # Its answers are not read.
            self._waiting = b""
            self.report_end(_EndReason.UNREAD)
            sockets.reset(self.stream)
            return
        self._reject(messages.Response(rejections.TIMEOUT))

    def _feed_body(self, data: bytes, start: int) -> int:
        """Parses bytes of a body; returns how many they are."""
        part = self._body.next_part(data, start)
        self._feed_parser(part)
        allowed_bytes = self._limits.max_header_bytes + READ_BYTES
        is_read = self._phase is not _Phase.BODY
        if not is_read and self._body.is_mostly_framing(allowed_bytes):
            raise rejections.RequestRejected(rejections.BAD_REQUEST)
        return len(part)

    def _parse(self, data: bytes) -> None:
        if self._closes_after_pending and self._uploading is None:
            return
        try:
            self._feed(data)
        except rejections.RequestRejected as rejected:
            self._reject(rejected.response)
        except httptools.HttpParserError as error:
            # httptools wraps the exceptions of callbacks in its own.
            cause = error.__context__
            if isinstance(cause, rejections.RequestRejected):
                self._reject(cause.response)
            else:
                self._reject(self._answer_malformed())

    def _answer_malformed(self) -> messages.Response:
        """Returns the answer to bytes that are not a valid request."""
        response = None
        if self._phase is _Phase.HEAD:
            head = bytes(self._head.data) or self._complete_head
            response = self._owner.on_malformed(
                messages.Request(
                    "",
                    self._url.decode("latin1"),
                    tuple(request_heads.partial_fields(head)),
                    b"",
                ),
                head,
            )
        return response or messages.Response(rejections.BAD_REQUEST)

    def _reject_late(self, reason: _EndReason) -> None:
        """Rejects a request whose rest did not come in time."""
        self._reject(messages.Response(rejections.TIMEOUT), reason)

    def _reject(
        self,
        response: messages.Response,
        reason: _EndReason = _EndReason.REJECTED,
    ) -> None:
        """Answers a request that cannot be read, after those before it."""
        if self._uploading is not None:
            self._break_upload(self._uploading, response, reason)
            return
        self._closes_after_pending = True
        self._is_rejected = True
        self._end.plan(reason)
        self._body.take()
        if self._head.data:
            self._headers = request_heads.partial_fields(self._head.data)
        self._head.drop()
        self._owner.on_rejected(self._headers, response)
        self._headers = []
        done: asyncio.Future[messages.Response] = asyncio.Future()
        done.set_result(response)
        hold, fields_hold = self._room.hand_on()
        if fields_hold is not None:
            fields_hold.release()
        self.pending.append(pending_responses.PendingResponse("", done, hold))
        self._open += 1
        self._flush()

    def _on_done(self, task: "asyncio.Future[messages.Response]") -> None:
        if not task.cancelled() and task.exception() is not None:
            self._owner.on_fault(task.exception())  # type: ignore[arg-type]
        self._flush()

    def _flush(self) -> None:
        """Writes the responses that are ready, in order of the requests."""
        while (
            self._sending is None
            and not self.stream.closed()
            and self.pending
            and self.pending[0].task.done()
        ):
            pending = self.pending.popleft()
            self._respond(pending)
        self._continue_if_due()
        self._waiting_since_ms = self._owner.clock.now_ms()
        self._has_room.set()

    def _respond(self, pending: pending_responses.PendingResponse) -> None:
        if pending.task.cancelled() or pending.task.exception() is not None:
            response = messages.Response(_INTERNAL_ERROR)
        else:
            response = pending.task.result()
        if len(response.body) > bodies.PIECE_BYTES and not pending.is_head:
            whole = bodies.WholeBody(response.body)
            response = dataclasses.replace(response, body=b"", rest=whole)
        rest = response.rest
        is_early = pending is self._uploading
        if is_early and rest is None:
            self._drop_upload()
        is_unframed = (
            rest is not None
            and rest.length is None
            and not pending.is_chunk_known
        )
        # If later requests were read, the connection closes after the last one.
        is_last = not self.pending
        closes = is_last and (
            is_early
            or is_unframed
            or self._closes_after_pending
            or self._may_close_idle()
        )
        self._closes_after_pending = self._closes_after_pending or closes
        self._writer.write(
            messages.encode_response(
                response, closes, pending.is_head, pending.is_chunk_known
            )
        )
        if rest is not None:
            is_chunked = rest.length is None and pending.is_chunk_known
            self._sending = asyncio.ensure_future(
                self._send_rest(rest, is_chunked, closes, pending)
            )
            # Also if it is cancelled before it begins.
            self._sending.add_done_callback(lambda _: rest.close())
            self._sending.add_done_callback(lambda _: self._release(pending))
            return
        self._writer.after_written(lambda: self._release(pending))
        if closes:
            self._writer.after_written(self._end_after_answers)

    def _may_close_idle(self) -> bool:
        """Returns whether no further request is read because of a stop."""
        is_idle = self._phase is _Phase.IDLE and not self._waiting
        return self._owner.is_draining and is_idle

    def _release(self, answered: pending_responses.PendingResponse) -> None:
        """Gives back the room of a request whose answer has left."""
        if self.stream.closed():
            # Before it counts as answered.
            self.report_end(_EndReason.CALLER_CLOSED)
        answered.release()
        self._open -= 1
        if self._waiting:
            self._has_room.set()

    async def _send_rest(
        self,
        rest: bodies.BodySource,
        is_chunked: bool,
        closes: bool,
        pending: pending_responses.PendingResponse,
    ) -> None:
        """Writes a body in pieces, each one after the last one has left.

        A body that breaks off takes the connection with it, so that the client
        does not take it for a whole one.
        """
        is_complete = False
        try:
            while piece := await rest.read():
                await self._writer.write_piece(
                    bodies.encode_chunk(piece) if is_chunked else piece
                )
            if is_chunked:
                await self._writer.write_piece(bodies.encode_last_chunk())
            is_complete = True
        except (bodies.BodyBroken, iostream.StreamClosedError):
            pass
        finally:
            self._sending = None
            if pending is self._uploading:
                self._drop_upload()
            if not is_complete and not self.stream.closed():
                self.report_end(_EndReason.BROKEN_OFF)
                sockets.reset(self.stream)
        if closes or (self._closes_after_pending and not self.pending):
            self._end_after_answers()
        else:
            self._flush()

    def _drop_upload(self) -> None:
        """Reads no more of a body whose request is answered already."""
        self._uploading = None
        self._phase = _Phase.IDLE
