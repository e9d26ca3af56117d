"""Tests that a connection to the store that falls silent is noticed soon."""

import asyncio
import contextlib
import time

import pytest

from mustardloom import ids
from mustardloom import objects
from mustardloom.deployment import stored
from mustardloom.platform import object_api
from mustardloom.platform.tests import standins

# A configuration must be in force this long after it was acknowledged.
_CONFIGURATION_BOUND_S = 2.5
_WAIT_MS = 300
_KIND = stored.Kind.CONFIGURATION


class _Proxy:
    """Passes bytes on to the store until its open connections fall silent."""

    def __init__(self, store_port):
        self._store_port = store_port
        self._silences = 0
        self._tasks = set()

    async def listen(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    def silence(self):
        self._silences += 1

    def close(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        silences = self._silences
        store_reader, store_writer = await asyncio.open_connection(
            "127.0.0.1", self._store_port
        )

        async def pass_on(source, sink):
            while data := await source.read(65_536):
                if self._silences > silences:
                    await asyncio.Event().wait()
                sink.write(data)
            sink.close()

        with contextlib.suppress(OSError, asyncio.CancelledError):
            await asyncio.gather(
                pass_on(reader, store_writer), pass_on(store_reader, writer)
            )


def _run(scenario):
    async def run():
        store = standins.Store()
        proxy = _Proxy(store.listen())
        api = object_api.ObjectApi(("127.0.0.1", await proxy.listen()))
        try:
            return await asyncio.wait_for(scenario(api, store, proxy), 20)
        finally:
            api.close()
            proxy.close()
            store.close()

    return asyncio.run(run())


async def _open_idle_connections(api):
    await asyncio.gather(api.list_objects(_KIND), api.list_objects(_KIND))


def test_read_on_a_silent_connection_is_answered_in_time():
    """Guards against reads that wait for an answer that never comes.

    Each idle connection may be silent, one after the other.
    """

    async def scenario(api, store, proxy):
        await _open_idle_connections(api)
        proxy.silence()
        store.put("config", "main", b"{}")
        began = time.monotonic()
        listing = await api.list_objects(_KIND)
        assert listing.objects
        assert time.monotonic() - began < _CONFIGURATION_BOUND_S

    _run(scenario)


def test_watches_on_silent_connections_end_soon_after_their_time():
    """Guards against watches that hear of no change and do not know it.

    The one that ends first ends the others, as they may be silent, too.
    """

    async def scenario(api, store, proxy):
        listing = await api.list_objects(_KIND)
        first = asyncio.ensure_future(
            api.watch(_KIND, listing.version, _WAIT_MS)
        )
        second = asyncio.ensure_future(
            api.watch(stored.Kind.EVACUATION, listing.version, 60_000)
        )
        await asyncio.sleep(_WAIT_MS / 3_000)
        proxy.silence()
        began = time.monotonic()
        for watch in (first, second):
            with pytest.raises(objects.PlatformUnavailable):
                await watch
        assert time.monotonic() - began < _CONFIGURATION_BOUND_S
        store.put("config", "main", b"{}")
        batch = await api.watch(_KIND, listing.version, 0)
        assert batch.events

    _run(scenario)


def test_write_is_sent_once_and_not_on_a_silent_connection():
    """Guards against a move of keys that waits, and a write that runs twice."""

    async def scenario(api, store, proxy):
        await _open_idle_connections(api)
        proxy.silence()
        calls = api.calls
        key = stored.key(stored.Kind.DAEMON, "vm")
        began = time.monotonic()
        written = await api.write(key, b"{}", ids.NO_VERSION)
        assert isinstance(written, objects.Written)
        assert time.monotonic() - began < _CONFIGURATION_BOUND_S / 2
        assert api.calls == calls + 1

    _run(scenario)
