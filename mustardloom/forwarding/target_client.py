"""HTTP client of the local target."""

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
_UNAVAILABLE = 503


def _headers(
    request: requests.Request, dispatch: dispatch_lib.Dispatch
) -> tuple[outcomes.Header, ...]:
    control: list[outcomes.Header] = [
        (_DISPATCH_HEADER, dispatch.dispatch_id),
        ("X-Mustardloom-Deadline-Ms", str(dispatch.deadline_ms)),
    ]
    if dispatch.placement is not None:
        control.append(("X-Mustardloom-Group", dispatch.placement.group))
        control.append(("X-Mustardloom-Slot", str(dispatch.placement.slot)))
        control.append(("X-Mustardloom-Epoch", str(dispatch.epoch)))
    if request.key is not None:
        key = urllib.parse.quote(request.key)
        control.append(("X-Mustardloom-Key", key))
    if request.request_id is not None:
        control.append(("Idempotency-Key", request.request_id))
    forwarded = (
        (name, value)
        for name, value in request.headers
        if not _is_reserved(name)
    )
    return (*forwarded, *control)


def _is_reserved(name: str) -> bool:
    """Returns whether only this client may set the header."""
    lower = name.lower()
    return lower.startswith(_RESERVED_PREFIX) or lower in (
        "idempotency-key",
        "content-length",
    )


def _outcome(response: connections.Response) -> outcomes.Outcome:
    run = response.headers.get(_RUN_HEADER, "").lower()
    if response.status == _UNAVAILABLE and run == "no":
        return outcomes.Refused(
            outcomes.RefusalReason.TARGET_REFUSED,
            response.body[:200].decode(errors="replace"),
        )
    return outcomes.Answered(
        response.status, response.end_to_end_headers(), response.body
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
            "the connection to the target was lost before its answer",
        ),
        crashed=crashed,
    )


def _truncated(error: Exception) -> dispatch_lib.DispatchResult:
    return dispatch_lib.DispatchResult(
        outcomes.Unknown(outcomes.UnknownReason.TRUNCATED, str(error))
    )


class Grant(msgspec.Struct, frozen=True):
    """Permission for the target to run the requests of one slot.

    Attributes:
      group: Placement group.
      slot: Slot of the group.
      epoch: Fencing token of the slot.
    """

    group: ids.GroupId
    slot: ids.SlotIndex
    epoch: ids.Epoch


class TargetLoad(msgspec.Struct, frozen=True):
    """Load as reported by the target, which may be out of date.

    Attributes:
      running: Requests that run.
      queued: Requests that wait inside the target.
    """

    running: int
    queued: int


class _GrantsMessage(msgspec.Struct, frozen=True):
    """JSON body of `/_target/grants`; its field names are on the wire."""

    expires_ms: int
    grants: tuple[Grant, ...] = ()
    released: tuple[Grant, ...] = ()


class TargetClient:
    """Sends requests and control calls to the local target over HTTP/1.

    Deadlines and expiry times are sent as times of the VM's monotonic clock,
    which the target reads, too.

    Args:
      address: Host and port of the target.
      clock: Source of time.
      metrics: Receives the counters `target_client.*`.
      max_body_bytes: Largest body of an answer.

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
        """Returns the number of connections opened since the start."""
        return self._pool.opened

    def close(self) -> None:
        """Closes the idle connections."""
        self._pool.close()

    async def dispatch(
        self, request: requests.Request, dispatch: dispatch_lib.Dispatch
    ) -> dispatch_lib.DispatchResult:
        """Runs one request on the target.

        Returns:
          `Answered` for every complete answer; `Refused` (DEADLINE,
          MALFORMED, TARGET_DOWN or TARGET_REFUSED) if the request certainly
          did not run; otherwise `Unknown`.
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
            # The idle connections ended with the process. Sending on them would
            # report the same crash a second time.
            self._pool.close()
        return result

    async def cancel(self, dispatch_id: str) -> bool:
        """Cancels a dispatch; returns whether it certainly no longer runs."""
        call = connections.Call(
            "POST", "/_target/cancel", ((_DISPATCH_HEADER, dispatch_id),), b""
        )
        try:
            response = await self._control(call)
        except connections.ConnectError as error:
            return error.refused  # No process listens, so nothing runs.
        return response is not None and response.status == _OK

    async def grant(self, grants: Iterable[Grant], expires_ms: int) -> bool:
        """Renews grants of slots; returns whether the target confirmed them."""
        return await self._send_grants(
            _GrantsMessage(expires_ms, grants=tuple(grants))
        )

    async def release(self, released: Iterable[Grant]) -> bool:
        """Withdraws grants of slots; returns whether the target confirmed."""
        return await self._send_grants(
            _GrantsMessage(0, released=tuple(released))
        )

    async def drain(self) -> bool:
        """Tells the target to accept no work; returns whether it confirmed."""
        response = await self._control_or_none("POST", "/_target/drain", b"")
        return response is not None and response.status == _OK

    async def probe(self) -> dispatch_lib.Probe:
        """Checks that the target answers on its health endpoint.

        The status and body are ignored, since reported health can mislead.
        """
        call = connections.Call("GET", "/_target/health", (), b"")
        try:
            response = await self._control(call)
        except connections.ConnectError as error:
            return dispatch_lib.Probe(False, connected=not error.refused)
        if response is None:
            return dispatch_lib.Probe(answered=False, connected=True)
        instance = response.headers.get(_INSTANCE_HEADER)
        return dispatch_lib.Probe(True, True, instance)

    async def load(self) -> TargetLoad | None:
        """Returns the target's reported load, None without a valid report."""
        response = await self._control_or_none("GET", "/_target/load", b"")
        if response is None or response.status != _OK:
            return None
        try:
            return msgspec.json.decode(response.body, type=TargetLoad)
        except msgspec.DecodeError:
            return None

    async def _send(
        self, call: connections.Call, idempotent: bool
    ) -> dispatch_lib.DispatchResult:
        try:
            return self._check_response(call, await self._pool.call(call))
        except connections.ConnectError as error:
            return _target_down(error)
        except connections.UnsendableError as error:
            return _malformed(error)
        except connections.TruncatedError as error:
            return _truncated(error)
        except connections.ConnectionLost as error:
            if not error.reused:
                return _target_lost(crashed=True)
        # The target may close an idle connection just as a request is sent.
        # Only a probe answered by the same instance tells this from a crash.
        self._metrics.increment("target_client.stale_connections")
        probe = await self.probe()
        survived = probe.answered and probe.instance == self._instance
        if not (survived and idempotent and self._instance is not None):
            return _target_lost(crashed=not survived)
        return await self._send_again(call)

    async def _send_again(
        self, call: connections.Call
    ) -> dispatch_lib.DispatchResult:
        """Repeats an idempotent request that may have run already.

        A refusal of the repetition says nothing about the first run, so the
        outcome is then unknown.
        """
        try:
            result = self._check_response(
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

    def _check_response(
        self, call: connections.Call, response: connections.Response
    ) -> dispatch_lib.DispatchResult:
        instance = response.headers.get(_INSTANCE_HEADER)
        sent_id = dict(call.headers).get(_DISPATCH_HEADER)
        answered_id = response.headers.get(_DISPATCH_HEADER, sent_id)
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
        return dispatch_lib.DispatchResult(_outcome(response), instance)

    async def _send_grants(self, body: _GrantsMessage) -> bool:
        response = await self._control_or_none(
            "POST", "/_target/grants", msgspec.json.encode(body)
        )
        return response is not None and response.status == _OK

    async def _control_or_none(
        self, method: str, path: str, body: bytes
    ) -> connections.Response | None:
        try:
            return await self._control(connections.Call(method, path, (), body))
        except connections.ConnectError:
            return None

    async def _control(
        self, call: connections.Call
    ) -> connections.Response | None:
        """Makes an idempotent control call, repeated once if it is lost.

        Returns:
          The response, None if none arrived in time or it was truncated.

        Raises:
          connections.ConnectError: No connection could be opened.
        """
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
