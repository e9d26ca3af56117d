"""Tests of `mustardloomctl` against a stand-in platform on loopback."""

import asyncio
import pathlib
import threading
from typing import Any

import pytest
from typer import testing

from mustardloom import clock as clock_lib
from mustardloom import declarations
from mustardloom.cli import ctl
from mustardloom.standins import platform

EXAMPLES = pathlib.Path(declarations.__file__).parent / "examples"


@pytest.fixture(name="server")
def _server():
    """Runs the stand-in in a thread, since the command has its own loop."""
    ready = threading.Event()
    found: dict[str, Any] = {}

    async def serve():
        server = platform.PlatformServer(clock_lib.SystemClock())
        server.start()
        found["server"] = server
        found["loop"] = asyncio.get_running_loop()
        found["stop"] = asyncio.Event()
        ready.set()
        await found["stop"].wait()
        await server.stop()

    thread = threading.Thread(target=lambda: asyncio.run(serve()))
    thread.start()
    ready.wait()
    yield found["server"]
    found["loop"].call_soon_threadsafe(found["stop"].set)
    thread.join()


def _invoke(server, *arguments, who="amina"):
    environment = {
        "MUSTARDLOOM_PLATFORM": f"http://127.0.0.1:{server.port}",
        "MUSTARDLOOM_WHO": who,
    }
    texts = [str(argument) for argument in arguments]
    return testing.CliRunner().invoke(ctl.app, texts, env=environment)


def _write_variant(directory, before, after):
    """Writes the example set with one text replaced; returns its path."""
    path = pathlib.Path(directory, "kibanda.yaml")
    text = (EXAMPLES / "kibanda.yaml").read_text()
    assert before in text
    path.write_text(text.replace(before, after))
    return path


def test_apply_puts_a_set_in_force_once(server):
    """Guards against a repeated apply that writes a new version."""
    path = EXAMPLES / "kibanda.yaml"
    first = _invoke(server, "apply", path)
    second = _invoke(server, "apply", path)
    assert (first.exit_code, second.exit_code) == (0, 0), first.output
    assert "in force at version 1" in first.output
    assert "already in force at version 1" in second.output
    assert server.store.version == 1


def test_lost_answer_still_leaves_one_change(server):
    """Guards against a change that is applied or audited twice."""
    server.store.faults.lose_answers = 1
    result = _invoke(server, "apply", EXAMPLES / "kibanda.yaml")
    assert result.exit_code == 0, result.output
    assert server.store.version == 1


def test_conflict_names_the_other_change(server, tmp_path):
    """Guards against silently overwriting another operator's change."""
    _invoke(server, "apply", EXAMPLES / "kibanda.yaml", who="amina")
    path = _write_variant(tmp_path, "capacity: 6", "capacity: 8")
    _invoke(server, "apply", path, who="baraka")
    original = EXAMPLES / "kibanda.yaml"
    result = _invoke(server, "apply", original, "--if-version", 1)
    assert result.exit_code == 5, result.output
    assert "now at version 2" in result.output
    assert f"changed by baraka with 'apply {path}'" in result.output


def test_diff_shows_changes_and_writes_nothing(server, tmp_path):
    """Guards against a diff that changes the store."""
    _invoke(server, "apply", EXAMPLES / "kibanda.yaml")
    path = _write_variant(tmp_path, "prefix: /bidhaa", "prefix: /bidhaa2")
    result = _invoke(server, "diff", path)
    assert result.exit_code == 0, result.output
    change = '~ route bidhaa: prefix "/bidhaa" -> "/bidhaa2"'
    assert change in result.output
    assert server.store.version == 1


def test_slot_count_in_force_is_checked_by_apply(server, tmp_path):
    """Guards against keys that move to another slot while they have owners."""
    _invoke(server, "apply", EXAMPLES / "kibanda.yaml")
    path = _write_variant(tmp_path, "slot_count: 64", "slot_count: 128")
    result = _invoke(server, "apply", path)
    assert result.exit_code == 3, result.output
    assert f"{path}:17:17: slot_count of service 'salio'" in result.output
    assert server.store.version == 1


def test_two_sets_cannot_declare_the_same_names(server, tmp_path):
    """Guards against accepting a route that another set hides."""
    _invoke(server, "apply", EXAMPLES / "kibanda.yaml")
    path = _write_variant(tmp_path, "set: kibanda", "set: other")
    moved = path.read_text().replace(
        "ziwa-1, region: ziwa", "ziwa-1, region: pwani"
    )
    path.write_text(moved)
    result = _invoke(server, "apply", path)
    assert result.exit_code == 3, result.output
    assert "service 'salio' belongs to set 'kibanda'" in result.output
    assert "prefix '/malipo' belongs to set 'kibanda'" in result.output
    assert "has availability zone 'ziwa-1' in region 'ziwa'" in result.output
    assert server.store.version == 1


def test_platform_that_is_down_has_its_own_exit_code(server):
    """Guards against an outage that scripts take for a fault in the files."""
    server.store.faults.down = True
    result = _invoke(server, "apply", EXAMPLES / "kibanda.yaml")
    assert result.exit_code == 4, result.output


def test_old_audit_entries_are_archived(server, tmp_path):
    """Guards against an audit trail that loses its oldest entries."""
    paths = [
        EXAMPLES / "kibanda.yaml",
        _write_variant(tmp_path, "capacity: 6", "capacity: 8"),
    ]
    for number in range(52):
        result = _invoke(server, "apply", paths[number % 2])
        assert result.exit_code == 0, result.output
    listing = asyncio.run(server.store.list_objects("audit/"))
    assert [item.key for item in listing.objects] == [
        "audit/config/kibanda/1",
        "audit/config/kibanda/2",
    ]
    stored = asyncio.run(server.store.read("config/kibanda"))
    audit = declarations.decode_set(stored.value).audit
    assert [entry.sequence for entry in audit] == list(range(3, 53))


def test_validate_reports_findings_with_their_exit_code(tmp_path):
    """Guards against exit code 0 for files with faults."""
    path = _write_variant(tmp_path, "region: ziwa", "region: zwia")
    result = testing.CliRunner().invoke(ctl.app, ["validate", str(path)])
    assert result.exit_code == 3
    assert result.output.count("unknown region 'zwia'") == 2


def test_version_and_usage():
    """Guards against exit codes that differ from the documented ones."""
    runner = testing.CliRunner()
    assert runner.invoke(ctl.app, ["--version"]).exit_code == 0
    assert runner.invoke(ctl.app, ["unknown"]).exit_code == 2
