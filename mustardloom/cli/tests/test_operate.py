"""Tests of `mustardloomctl` do and ask against an operator endpoint."""

import asyncio
import contextlib
import socket
import threading
from typing import Any

import pytest
from tornado import httpserver
from tornado import web
import typer
from typer import testing

from mustardloom import ids
from mustardloom import operators
from mustardloom.cli import operate
from mustardloom.operators import results

_APPLIED = results.Applied(
    message="done",
    key="k",
    version=ids.Version(3),
    operation=ids.OperationId("o"),
)
_FAULTS = (results.LineFinding(1, "unknown"),)


class _FakeOperator(operators.Operator):
    """Answers each line with `answer` and records the calls."""

    def __init__(self):
        self.answer: results.Result = _APPLIED
        self.calls: list[tuple[str, str, str]] = []

    async def execute(self, line, who, operation=None):
        self.calls.append((line, who, operation))
        return self.answer


@contextlib.contextmanager
def _served(handlers):
    """Serves the handlers in another thread; yields HOST:PORT."""
    loop = asyncio.new_event_loop()
    sock = socket.create_server(("127.0.0.1", 0))
    sock.setblocking(False)
    ready = threading.Event()

    async def serve():
        server = httpserver.HTTPServer(web.Application(handlers))
        server.add_sockets([sock])
        ready.set()

    def run():
        loop.run_until_complete(serve())
        loop.run_forever()

    thread = threading.Thread(target=run)
    thread.start()
    ready.wait()
    try:
        yield f"127.0.0.1:{sock.getsockname()[1]}"
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        sock.close()


def _closed_address():
    with socket.create_server(("127.0.0.1", 0)) as probe:
        return f"127.0.0.1:{probe.getsockname()[1]}"


def _run(*arguments):
    app = typer.Typer()
    app.command()(operate.do)
    app.command()(operate.ask)
    return testing.CliRunner().invoke(
        app, [arguments[0], "--who", "amina", *arguments[1:]]
    )


@pytest.mark.parametrize(
    ("answer", "code"),
    [
        (_APPLIED, 0),
        (results.AlreadyInForce(message="already"), 0),
        (results.Malformed(message="m", findings=_FAULTS), 2),
        (results.Findings(message="m", findings=_FAULTS), 3),
        (results.Refused(message="m"), 3),
        (results.Unavailable(message="m"), 4),
        (results.Undecided(message="m", operation=ids.OperationId("o")), 4),
        (results.Conflict(message="m", key="k"), 5),
    ],
)
def test_exit_code_follows_the_answer(answer, code):
    """Guards against scripts that take a refusal or conflict for success."""
    operator = _FakeOperator()
    operator.answer = answer
    with _served(operators.handlers(operator)) as address:
        done = _run("do", "stops", "--daemon", address)
    assert done.exit_code == code
    assert answer.message in done.output


def test_next_daemon_is_tried_if_one_accepts_no_connection():
    """Guards against giving up at the first daemon that is down."""
    operator = _FakeOperator()
    with _served(operators.handlers(operator)) as address:
        closed = _closed_address()
        done = _run("do", "x", "--daemon", closed, "--daemon", address)
    assert done.exit_code == 0
    assert len(operator.calls) == 1


def test_nothing_is_sent_again_after_a_lost_answer():
    """Guards against a command that is carried out by two daemons."""

    class _ClosingHandler(web.RequestHandler):
        def post(self):
            connection: Any = self.request.connection
            connection.stream.close()

    operator = _FakeOperator()
    with (
        _served([("/operator", _ClosingHandler)]) as lost,
        _served(operators.handlers(operator)) as other,
    ):
        done = _run("do", "x", "--daemon", lost, "--daemon", other)
    assert done.exit_code == 4
    assert "--operation" in done.output
    assert not operator.calls


def test_ask_does_not_carry_out_commands():
    """Guards against changes by a subcommand that is meant for queries."""
    operator = _FakeOperator()
    with _served(operators.handlers(operator)) as address:
        done = _run("ask", "stop target vm-1", "--daemon", address)
    assert done.exit_code == 2
    assert not operator.calls


def test_given_operation_id_is_sent():
    """Guards against a repeated command that counts as a new one."""
    operator = _FakeOperator()
    with _served(operators.handlers(operator)) as address:
        _run("do", "x", "--daemon", address, "--operation", "earlier")
    assert operator.calls == [("x", "amina", "earlier")]


def test_operator_name_with_line_break_is_rejected():
    """Guards against operator names that forge lines of the log."""
    operator = _FakeOperator()
    with _served(operators.handlers(operator)) as address:
        done = _run("do", "x", "--daemon", address, "--who", "a\nb")
    assert done.exit_code == 2
    assert not operator.calls
