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
    """What a target announces to the daemon beside it."""

    service: ids.ServiceId
    address: str
    capacity: int
    instance: str
    checks_fencing: bool = False


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """State of a daemon for operators and tests.

    Attributes:
      member: Member id of the present life.
      state: State of its member record.
      lease_held: Whether its lease is held.
      slots_served: Slots that it serves.
      settled: Whether no slot that it knows of lacks an owner or is moving, and
        its lease has all its witnesses.
      replica_version: Changes up to this version are known here.
      config_versions: Version in force by declaration set.
      running: Requests at the target.
      queued: Requests that wait at the gate.
      limit: Concurrency limit of the gate.
      counters: Totals since the start.
    """

    member: ids.MemberId
    state: records.MemberState
    lease_held: bool
    slots_served: int
    settled: bool
    replica_version: int
    config_versions: dict[ids.SetId, ids.Version]
    running: int = 0
    queued: int = 0
    limit: int = 0
    counters: dict[str, int] = {}


class _JsonHandler(web.RequestHandler):
    """Answers with JSON; faults of the input are answered together."""

    def answer(self, value: Any, status: int = 200) -> None:
        """Writes a JSON answer."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))


class _TargetHandler(_JsonHandler):
    def initialize(
        self, on_notice: Callable[[TargetNotice], Awaitable[None]]
    ) -> None:
        """Sets the receiver of notices."""
        self._on_notice = on_notice

    async def post(self) -> None:
        """Accepts the announcement of a target."""
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
        """Sets the source of the report."""
        self._report = report

    def get(self) -> None:
        """Answers with the report."""
        self.answer(self._report())


class AdminServer:
    """Serves `/targets`, `/status`, `/intervals` and further paths."""

    def __init__(
        self,
        on_notice: Callable[[TargetNotice], Awaitable[None]],
        status: Callable[[], Status],
        intervals: Callable[[], Any],
        more: list[Any] | None = None,
    ):
        application = web.Application(
            [
                (r"/targets", _TargetHandler, {"on_notice": on_notice}),
                (r"/status", _ReportHandler, {"report": status}),
                (r"/intervals", _ReportHandler, {"report": intervals}),
                *(more or []),
            ],
            # Counters take the place of one log line per request.
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
