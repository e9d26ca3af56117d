"""Tests of the settings at the start of the process."""

import asyncio

import pytest

from mustardloom import clock as clock_lib
from mustardloom import findings
from mustardloom.sidecar import first_settings

_SETTINGS = object()


class _File:
    """A settings file that becomes valid at some time."""

    def __init__(self, clock, valid_from_ms):
        self._clock = clock
        self._valid_from_ms = valid_from_ms
        self.waits = []
        self.is_stopping = False

    def read(self):
        if self._clock.now_ms() >= self._valid_from_ms:
            return _SETTINGS
        place = findings.Place("node.conf")
        raise findings.FindingsError([findings.Finding(place, "is empty")])

    def await_settings(self):
        return asyncio.ensure_future(
            first_settings.await_settings(
                self.read,
                self._clock,
                self.waits.append,
                lambda: self.is_stopping,
            )
        )


def test_file_that_is_being_written_ends_the_start():
    """Guards against a process that ends as it starts before its file."""

    async def play():
        clock = clock_lib.FakeClock(now_ms=0)
        file = _File(clock, first_settings.WAIT_LIMIT_MS - 100)
        waiting = file.await_settings()
        await clock.advance(first_settings.WAIT_LIMIT_MS)
        assert waiting.result() is _SETTINGS
        assert len(file.waits) == 1

    asyncio.run(play())


def test_file_with_faults_is_waited_for_without_end():
    """Guards against a wrong file that nobody is told of."""

    async def play():
        clock = clock_lib.FakeClock(now_ms=0)
        file = _File(clock, 10 * first_settings.WAIT_LIMIT_MS)
        waiting = file.await_settings()
        await clock.advance(first_settings.WAIT_LIMIT_MS + 100)
        with pytest.raises(findings.FindingsError):
            waiting.result()

    asyncio.run(play())


def test_stop_waits_for_a_file():
    """Guards against a start that cannot be stopped."""

    async def play():
        clock = clock_lib.FakeClock(now_ms=0)
        file = _File(clock, first_settings.WAIT_LIMIT_MS)
        waiting = file.await_settings()
        await clock.advance(100)
        file.is_stopping = True
        await clock.advance(100)
        assert waiting.result() is None

    asyncio.run(play())


def test_valid_file_is_waited_for():
    """Guards against a start that is slower than it has to be."""

    async def play():
        clock = clock_lib.FakeClock(now_ms=0)
        file = _File(clock, 0)
        assert await file.await_settings() is _SETTINGS
        assert file.waits == []

    asyncio.run(play())
