"""Local HTTP endpoint for the target and for operators."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import msgspec
from tornado import httpserver
from tornado import web

from mustardloom import findings
from mustardloom import ids
from mustardloom.membership import records

__all__ = ["AdminServer", "Status", "TargetNotice"]

_BAD_REQUEST = 400
_CONFLICT = 409


class TargetNotice(msgspec.Struct, frozen=True, kw_only=True):
    """Announcement of a target to the daemon on its VM.

    Attributes:
      service: Service that the target runs.
      address: Address of the target as HOST:PORT.
      capacity: Concurrent requests that it can handle when warm.
      instance: Id of this run of the target process.
      checks_fencing: Whether it checks fencing tokens.
    """

    service: ids.ServiceId
    address: str
    capacity: int
    instance: str
    checks_fencing: bool = False


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """State of a daemon for operators and tests.

    Attributes:
      member: Member id of the current incarnation.
      state: State of its member record.
      lease_held: Whether its lease is held.
      slots_served: Number of slots that it owns.
      settled: Whether all slots have an owner, none is moving, and its lease
        has all its witnesses.
      replica_version: Store version up to which the replica has all changes.
      config_versions: Version in force by declaration set.
      running: Number of requests that run at the target.
      queued: Number of requests that wait at the gate.
      limit: Concurrency limit of the gate.
      counters: Totals since the start of the process.
    """

    member: ids.MemberId
    state: records.MemberState
    lease_held: bool
    slots_served: int
    settled: bool
    replica_version: int
    config_versions: dict[ids.DeclarationSetId, ids.Version]
    running: int = 0
    queued: int = 0
    limit: int = 0
    counters: dict[str, int] = {}


class _JsonHandler(web.RequestHandler):
    """Base of the handlers that answer with JSON."""

    def answer(self, value: Any, status: int = 200) -> None:
        """Ends the response with `value` encoded as JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))


class _TargetHandler(_JsonHandler):
    def initialize(
        self, on_notice: Callable[[TargetNotice], Awaitable[None]]
    ) -> None:
        """Sets the function that applies announcements."""
        self._on_notice = on_notice

    async def post(self) -> None:
        """Applies the announcement of a target.

        Answers 400 if the body cannot be decoded, and 409 with all findings if
        the announcement is not valid.
        """
        try:
            notice = msgspec.json.decode(self.request.body, type=TargetNotice)
            await self._on_notice(notice)
        except msgspec.DecodeError as error:
            self.answer({"error": str(error)}, _BAD_REQUEST)
        except findings.FindingsError as error:
            self.answer({"error": str(error)}, _CONFLICT)
        else:
            self.answer({})


class _ReportHandler(_JsonHandler):
    def initialize(self, report: Callable[[], Any]) -> None:
        """Sets the function that returns the report."""
        self._report = report

    def get(self) -> None:
        """Answers with the current report."""
        self.answer(self._report())


class AdminServer:
    """Serves `/targets`, `/status`, `/intervals` and further paths.

    Args:
      on_notice: Applies the announcement of a target.
      status: Returns the state of the daemon.
      intervals: Returns the log of owner intervals.
      extra_handlers: Further tornado handlers.
    """

    def __init__(
        self,
        on_notice: Callable[[TargetNotice], Awaitable[None]],
        status: Callable[[], Status],
        intervals: Callable[[], Any],
        extra_handlers: list[Any] | None = None,
    ):
        application = web.Application(
            [
                (r"/targets", _TargetHandler, {"on_notice": on_notice}),
                (r"/status", _ReportHandler, {"report": status}),
                (r"/intervals", _ReportHandler, {"report": intervals}),
                *(extra_handlers or []),
            ],
            # Metrics take the place of one log line per request.
            log_function=lambda handler: None,
        )
        self._server = httpserver.HTTPServer(application)

    def listen(self, address: records.Address) -> None:
        """Starts to accept connections.

        Raises:
          OSError: The address is in use or not available.
        """
        self._server.listen(address.port, address.host)

    async def stop(self) -> None:
        """Closes all connections."""
        self._server.stop()
        await self._server.close_all_connections()
