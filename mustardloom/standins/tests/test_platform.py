"""Tests of the stand-in for the object API, over HTTP on loopback."""

import asyncio

import pytest

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import objects
from mustardloom.standins import platform
from mustardloom.store import http_client
from mustardloom.store import memory
from mustardloom.store import raw


def _with_server(scenario):
    async def run():
        server = platform.PlatformServer(clock_lib.SystemClock())
        server.start()
        try:
            return await scenario(server)
        finally:
            await server.stop()

    return asyncio.run(run())


def _with_client(scenario):
    async def run(server):
        client = http_client.HttpPlatformClient(
            f"http://127.0.0.1:{server.port}",
            clock_lib.SystemClock(),
            metrics_lib.Metrics(),
        )
        try:
            return await scenario(server.store, client)
        finally:
            client.close()

    return _with_server(run)


def test_objects_keep_their_keys_and_values_over_http():
    """Guards against keys that are altered by their encoding in a path."""
    key = "slots/salio@pwani+ziwa/0 %~"

    async def scenario(store, client):
        del store
        written = await client.update(key, b'{"a": "\xc3\xa9"}', ids.NO_VERSION)
        listing = await client.list_objects("slots/salio@pwani+")
        found = await client.get(key)
        batch = await client.watch(ids.NO_VERSION, 1_000)
        deleted = await client.delete(key, written.version)
        return listing, found, batch, deleted, await client.get(key)

    listing, found, batch, deleted, gone = _with_client(scenario)
    assert listing == objects.Listing((found,), ids.Version(1))
    assert (found.key, found.value) == (key, b'{"a": "\xc3\xa9"}')
    event = objects.Event(key, ids.Version(1), found.value)
    assert batch == objects.WatchBatch((event,), ids.Version(1))
    assert deleted == objects.Written(ids.Version(2))
    assert gone is None


def test_lost_answer_is_recovered_over_http():
    """Guards against a write that conflicts with its own first attempt."""

    async def scenario(store, client):
        store.set_faults(memory.Faults(lose_answers=1))
        return await client.update("a", b"1", ids.NO_VERSION), store.calls

    written, calls = _with_client(scenario)
    assert written == objects.Written(ids.Version(1))
    assert calls == {"update": 1, "get": 1}


def test_conflict_names_the_current_object_over_http():
    """Guards against overwriting a change that the writer has not read."""

    async def scenario(store, client):
        del store
        await client.update("a", b"1", ids.NO_VERSION)
        return await client.update("a", b"2", ids.NO_VERSION)

    conflict = _with_client(scenario)
    assert isinstance(conflict, objects.Conflict)
    assert conflict.current is not None
    assert conflict.current.value == b"1"


def test_too_large_value_is_refused_by_the_server():
    """Guards against a stand-in that accepts more than the platform does."""

    async def scenario(server):
        store = http_client.HttpStore(f"http://127.0.0.1:{server.port}")
        write = objects.Write(
            "a",
            b"x" * (raw.MAX_VALUE_BYTES + 1),
            ids.NO_VERSION,
            ids.new_operation_id(),
        )
        try:
            with pytest.raises(raw.ValueTooLarge):
                await store.write(write)
        finally:
            store.close()
        return server.store.version

    assert _with_server(scenario) == ids.NO_VERSION


def test_store_that_is_down_is_reported_as_unavailable():
    """Guards against an outage that looks like an empty store."""

    async def scenario(store, client):
        store.set_faults(memory.Faults(down=True))
        await client.get("a")

    with pytest.raises(objects.PlatformUnavailable):
        _with_client(scenario)
