"""Tests of a start on addresses that an earlier process may still use."""

import asyncio
import errno

import pytest

from mustardloom import clock as clock_lib
from mustardloom.sidecar import events
from mustardloom.sidecar import listening

_ADDRESS = ("10.0.0.1", 8304)
_GRACE_MS = 6_000


class _Start:
    """A start of a daemon whose address the test takes and releases."""

    def __init__(self):
        self.clock = clock_lib.FakeClock()
        self.errno = errno.EADDRINUSE
        self.is_stopping = False
        self.lines = []
        self._wait = listening.AddressWait(
            _GRACE_MS, self.clock, self, lambda: self.is_stopping
        )

    def write(self, event, **fields):
        self.lines.append((event, fields))

    def listen(self):
        return asyncio.ensure_future(self._wait.listen(self._try, _ADDRESS))

    def _try(self, host, port):
        if self.errno:
            raise OSError(self.errno, "as the system says")
        return port


def _run(scenario):
    asyncio.run(scenario(_Start()))


def test_address_of_a_process_in_its_grace_ends_the_start():
    """Guards against a start that fails before its predecessor has ended."""

    async def scenario(start):
        listens = start.listen()
        await start.clock.advance(_GRACE_MS)
        assert not listens.done()
        start.errno = 0
        await start.clock.advance(100)
        assert listens.result()
        assert start.lines == [
            (events.Event.ADDRESS_IN_USE, {"address": "10.0.0.1:8304"}),
            (
                events.Event.ADDRESS_FREE,
                {"address": "10.0.0.1:8304", "waited_ms": _GRACE_MS + 50},
            ),
        ]

    _run(scenario)


def test_address_in_use_for_good_is_awaited_for_ever():
    """Guards against a process that neither serves nor ends."""

    async def scenario(start):
        listens = start.listen()
        await start.clock.advance(2 * _GRACE_MS)
        assert isinstance(listens.exception(), listening.AddressInUse)
        assert "10.0.0.1:8304" in str(listens.exception())

    _run(scenario)


def test_stop_waits_for_an_address():
    """Guards against a start that cannot be stopped."""

    async def scenario(start):
        listens = start.listen()
        await start.clock.advance(100)
        start.is_stopping = True
        await start.clock.advance(100)
        assert not listens.result()

    _run(scenario)


def test_address_that_is_not_available_is_awaited():
    """Guards against a wait for what does not come, and a nameless error."""

    async def scenario(start):
        start.errno = errno.EADDRNOTAVAIL
        listens = start.listen()
        await start.clock.advance(0)
        with pytest.raises(OSError, match=r"10\.0\.0\.1:8304") as caught:
            listens.result()
        assert caught.value.errno == errno.EADDRNOTAVAIL

    _run(scenario)
