"""Tests of what real daemons write, whatever is done to them.

They need no type of the product and run on earlier versions, too.
"""

import asyncio
import contextlib
import json
import signal

from deploy.tests import daemons
from deploy.tests import raw_http
from deploy.tests import raw_target

_MAX_LOG_BYTES = 50_000
_MAX_LINE_BYTES = 4_096
_NOTICES = 3_000
_INVALID_LINKS = 1_500
_RELOADS = 300
_REPEATS = 5_000


def _assert_bounded(vm: daemons.Vm, before_bytes: int) -> None:
    data = vm.log.read_bytes()
    print(f"{len(data) - before_bytes} bytes of log")
    assert not vm.has_ended()
    assert len(data) - before_bytes <= _MAX_LOG_BYTES
    for line in data.splitlines():
        assert len(line) <= _MAX_LINE_BYTES
        assert json.loads(line)["event"]


def test_invalid_notices_fill_the_log(tmp_path):
    """Guards against a line for each notice that is rejected."""

    async def play() -> None:
        async with daemons.Fleet(tmp_path, ["desk", "archive"]) as fleet:
            vm = fleet.vms[0]
            before_bytes = vm.log.stat().st_size
            caller = await raw_http.Caller.connect(
                (vm.host, raw_target.CONTROL_PORT)
            )
            with contextlib.closing(caller):
                for _ in range(_NOTICES):
                    caller.send_head("POST", "/nothing", 0)
                    assert await caller.read_status() == 400
            _assert_bounded(vm, before_bytes)
            assert await raw_http.upload(vm.caller_address, 1) == 200

    asyncio.run(play())


def test_invalid_settings_fill_the_log(tmp_path):
    """Guards against lines as long as the faults of a file, at each reload."""

    async def play() -> None:
        async with daemons.Fleet(tmp_path, ["desk", "archive"]) as fleet:
            vm = fleet.vms[0]
            before_bytes = vm.log.stat().st_size
            settings = tmp_path / f"{vm.name}.conf"
            valid = settings.read_text()
            settings.write_text(f"limits.max_fds={'many' * _REPEATS}\n")
            for _ in range(_RELOADS):
                vm.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.01)
            _assert_bounded(vm, before_bytes)
            settings.write_text(valid)
            assert await raw_http.upload(vm.caller_address, 1) == 200

    asyncio.run(play())


def test_invalid_bytes_of_peers_fill_the_log(tmp_path):
    """Guards against a line for each link that sends no frames."""

    async def play() -> None:
        async with daemons.Fleet(tmp_path, ["desk", "archive"]) as fleet:
            vm = fleet.vms[0]
            before_bytes = vm.log.stat().st_size
            for _ in range(_INVALID_LINKS):
                reader, writer = await asyncio.open_connection(
                    vm.host, daemons.PEER_PORT
                )
                writer.write(b"\x07 no frame")
                with contextlib.suppress(OSError):
                    await reader.read()
                writer.close()
            _assert_bounded(vm, before_bytes)
            assert await raw_http.upload(vm.caller_address, 1) == 200

    asyncio.run(play())
