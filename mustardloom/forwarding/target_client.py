"""Client of the one local target."""

import asyncio
from collections.abc import Iterable
import urllib.parse

import msgspec

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import outcomes
from mustardloom import requests
from mustardloom.admission import dispatch as dispatch_lib
from mustardloom.forwarding import connections

__all__ = [
    "DEFAULT_MAX_BODY_BYTES",
    "Grant",
    "TargetClient",
    "TargetLoad",
]

DEFAULT_MAX_BODY_BYTES = 8 * 1024 * 1024
_MAX_IDLE_CONNECTIONS = 128
_CONTROL_TIMEOUT_MS = 200
_MS_PER_S = 1_000
_RESERVED_PREFIX = "x-mustardloom-"
_DISPATCH_HEADER = "X-Mustardloom-Dispatch"
_INSTANCE_HEADER = "X-Target-Instance"
_RUN_HEADER = "X-Target-Run"
_OK = 200
_REFUSED = 503


def _headers(
    request: requests.Request, dispatch: dispatch_lib.Dispatch
) -> tuple[outcomes.Header, ...]:
    own: list[outcomes.Header] = [
        (_DISPATCH_HEADER, dispatch.dispatch_id),
        ("X-Mustardloom-Deadline-Ms", str(dispatch.deadline_ms)),
    ]
    if dispatch.placement is not None:
        own.append(("X-Mustardloom-Group", dispatch.placement.group))
        own.append(("X-Mustardloom-Slot", str(dispatch.placement.slot)))
        own.append(("X-Mustardloom-Epoch", str(dispatch.epoch)))
    if request.key is not None:
        key = urllib.parse.quote(request.key)
        own.append(("X-Mustardloom-Key", key))
    if request.request_id is not None:
        own.append(("Idempotency-Key", request.request_id))
    passed = (
        (name, value)
        for name, value in request.headers
        if not _is_reserved(name)
    )
    return (*passed, *own)


def _is_reserved(name: str) -> bool:
    """Returns whether only this client may set the header."""
    lower = name.lower()
    return lower.startswith(_RESERVED_PREFIX) or lower in (
        "idempotency-key",
        "content-length",
    )


def _outcome(message: connections.Message) -> outcomes.Outcome:
    run = message.headers.get(_RUN_HEADER, "").lower()
    if message.status == _REFUSED and run == "no":
        return outcomes.Refused(
            outcomes.RefusalReason.TARGET_REFUSED,
            message.body[:200].decode(errors="replace"),
        )
    return outcomes.Answered(
        message.status, message.end_to_end_headers(), message.body
    )


def _target_down(error: Exception) -> dispatch_lib.DispatchResult:
    return dispatch_lib.DispatchResult(
        outcomes.Refused(outcomes.RefusalReason.TARGET_DOWN, str(error))
    )


def _malformed(error: Exception) -> dispatch_lib.DispatchResult:
    return dispatch_lib.DispatchResult(
        outcomes.Refused(outcomes.RefusalReason.MALFORMED, str(error))
    )


def _target_lost(crashed: bool) -> dispatch_lib.DispatchResult:
    return dispatch_lib.DispatchResult(
        outcomes.Unknown(
            outcomes.UnknownReason.TARGET_LOST,
            "the connection to the target was lost before the answer",
        ),
        crashed=crashed,
    )


def _truncated(error: Exception) -> dispatch_lib.DispatchResult:
    return dispatch_lib.DispatchResult(
        outcomes.Unknown(outcomes.UnknownReason.TRUNCATED, str(error))
    )


class Grant(msgspec.Struct, frozen=True):
    """Right of the target to run the requests of one slot."""

    group: ids.GroupId
    slot: ids.SlotIndex
    epoch: ids.Epoch


class TargetLoad(msgspec.Struct, frozen=True):
    """Load as the target reports it, possibly late."""

    running: int
    queued: int


class _Grants(msgspec.Struct, frozen=True):
    expires_ms: int
    grants: tuple[Grant, ...] = ()
    released: tuple[Grant, ...] = ()


class TargetClient:
    """Sends requests and control calls to the local target over HTTP/1.

    Example:
      client = TargetClient(("127.0.0.1", 9000), clock, metrics)
      result = await client.dispatch(request, dispatch)
    """

    def __init__(
        self,
        address: connections.Address,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
    ):
        self._clock = clock
        self._metrics = metrics
        self._pool = connections.ConnectionPool(
            address, _MAX_IDLE_CONNECTIONS, max_body_bytes
        )
        self._instance: str | None = None

    @property
    def connections_opened(self) -> int:
        """Returns how many connections were opened so far."""
        return self._pool.opened

    def close(self) -> None:
        """Closes the idle connections."""
        self._pool.close()

    async def dispatch(
        self, request: requests.Request, dispatch: dispatch_lib.Dispatch
    ) -> dispatch_lib.DispatchResult:
        """Runs one request on the target.

        Returns:
          Answered for every complete answer, TARGET_REFUSED and TARGET_DOWN
          for requests that certainly did not run, otherwise Unknown.
        """
        remaining_ms = dispatch.deadline_ms - self._clock.now_ms()
        if remaining_ms <= 0:
            return dispatch_lib.DispatchResult(
                outcomes.Refused(
                    outcomes.RefusalReason.DEADLINE, "the deadline has passed"
                )
            )
        call = connections.Call(
            request.method,
            request.path,
            _headers(request, dispatch),
            request.body,
        )
        try:
            async with asyncio.timeout(remaining_ms / _MS_PER_S):
                result = await self._send(call, request.idempotent)
        except TimeoutError:
            return dispatch_lib.DispatchResult(
                outcomes.Unknown(
                    outcomes.UnknownReason.DEADLINE,
                    "the target did not answer before the deadline",
                )
            )
        if result.instance is not None:
            self._instance = result.instance
        if result.crashed:
            # Idle connections died with the process. Sending on them would
            # show the same crash a second time.
            self._pool.close()
        return result

    async def cancel(self, dispatch_id: str) -> bool:
        """Returns whether the target has certainly stopped the dispatch."""
        call = connections.Call(
            "POST", "/_target/cancel", ((_DISPATCH_HEADER, dispatch_id),), b""
        )
        try:
            message = await self._control(call)
        except connections.ConnectError as error:
            return error.refused  # The process is gone and nothing runs.
        return message is not None and message.status == _OK

    async def grant(self, grants: Iterable[Grant], expires_ms: int) -> bool:
        """Renews the grants of slots; returns whether the target took them."""
        return await self._grants(_Grants(expires_ms, grants=tuple(grants)))

    async def release(self, released: Iterable[Grant]) -> bool:
        """Takes back grants; returns whether the target confirmed it."""
        return await self._grants(_Grants(0, released=tuple(released)))

    async def drain(self) -> bool:
        """Tells the target to take no new work; returns its confirmation."""
        message = await self._control_or_none("POST", "/_target/drain", b"")
        return message is not None and message.status == _OK

    async def probe(self) -> dispatch_lib.Probe:
        """Asks the target for a sign of life on a health endpoint.

        What the endpoint says about health is ignored, since it can mislead.
        """
        call = connections.Call("GET", "/_target/health", (), b"")
        try:
            message = await self._control(call)
        except connections.ConnectError as error:
            return dispatch_lib.Probe(False, connected=not error.refused)
        if message is None:
            return dispatch_lib.Probe(answered=False, connected=True)
        instance = message.headers.get(_INSTANCE_HEADER)
        return dispatch_lib.Probe(True, True, instance)

    async def load(self) -> TargetLoad | None:
        """Returns the load that the target reports, None if it does not."""
        message = await self._control_or_none("GET", "/_target/load", b"")
        if message is None or message.status != _OK:
            return None
        try:
            return msgspec.json.decode(message.body, type=TargetLoad)
        except msgspec.DecodeError:
            return None

    async def _send(
        self, call: connections.Call, idempotent: bool
    ) -> dispatch_lib.DispatchResult:
        try:
            return self._received(call, await self._pool.call(call))
        except connections.ConnectError as error:
            return _target_down(error)
        except connections.UnsendableError as error:
            return _malformed(error)
        except connections.TruncatedError as error:
            return _truncated(error)
        except connections.ConnectionLost as error:
            if not error.reused:
                return _target_lost(crashed=True)
        # An idle connection may be closed for its age just when we send. Only
        # a probe that meets the same process tells this from a crash.
        self._metrics.increment("target_client.stale_connections")
        probe = await self.probe()
        survived = probe.answered and probe.instance == self._instance
        if not (survived and idempotent and self._instance is not None):
            return _target_lost(crashed=not survived)
        return await self._send_again(call)

    async def _send_again(
        self, call: connections.Call
    ) -> dispatch_lib.DispatchResult:
        """Repeats an idempotent request; it may have run already."""
        try:
            result = self._received(
                call, await self._pool.call(call, fresh=True)
            )
        except connections.ConnectError:
            return _target_lost(crashed=True)
        except connections.TruncatedError as error:
            return _truncated(error)
        except connections.ConnectionLost:
            return _target_lost(crashed=True)
        if isinstance(result.outcome, outcomes.Refused):
            return _target_lost(crashed=False)
        return result

    def _received(
        self, call: connections.Call, message: connections.Message
    ) -> dispatch_lib.DispatchResult:
        instance = message.headers.get(_INSTANCE_HEADER)
        sent_id = dict(call.headers).get(_DISPATCH_HEADER)
        answered_id = message.headers.get(_DISPATCH_HEADER, sent_id)
        if answered_id != sent_id:
            self._metrics.increment("target_client.crossed_answers")
            self._pool.close()
            return dispatch_lib.DispatchResult(
                outcomes.Unknown(
                    outcomes.UnknownReason.INTERNAL,
                    "the answer belongs to another request",
                ),
                instance,
            )
        return dispatch_lib.DispatchResult(_outcome(message), instance)

    async def _grants(self, body: _Grants) -> bool:
        message = await self._control_or_none(
            "POST", "/_target/grants", msgspec.json.encode(body)
        )
        return message is not None and message.status == _OK

    async def _control_or_none(
        self, method: str, path: str, body: bytes
    ) -> connections.Message | None:
        try:
            return await self._control(connections.Call(method, path, (), body))
        except connections.ConnectError:
            return None

    async def _control(
        self, call: connections.Call
    ) -> connections.Message | None:
        """Makes a control call, which is idempotent, with one repetition."""
        try:
            async with asyncio.timeout(_CONTROL_TIMEOUT_MS / _MS_PER_S):
                try:
                    return await self._pool.call(call)
                except connections.ConnectionLost:
                    return await self._pool.call(call, fresh=True)
        except (
            TimeoutError,
            connections.ConnectionLost,
            connections.TruncatedError,
        ):
            return None
