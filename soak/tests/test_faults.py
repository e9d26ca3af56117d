"""Tests of the planned faults and of the proxy."""

import asyncio

import pytest

from soak import faults
from soak import proxy as proxy_lib


def test_every_kind_of_fault_is_drawn():
    """Guards against kinds of faults that no seed ever plans."""
    drawn = [
        planned
        for seed in range(40)
        for planned in (
            *faults.plan_faults(seed, 14, 20_000, 8),
            *faults.plan_statements(seed, 20_000, 8),
            *faults.plan_losses(seed, 20_000, 8),
            *faults.plan_silences(seed, 20_000, 8),
        )
    ]
    assert {planned.kind for planned in drawn} == set(faults.Kind)
    link_faults = {
        (planned.link, planned.mode)
        for planned in drawn
        if planned.kind is faults.Kind.LINK
    }
    modes = set(proxy_lib.Mode) - {proxy_lib.Mode.PASS}
    assert link_faults == {
        (link, mode) for link in faults.LINKS for mode in modes
    }


def test_planned_work_overlaps_and_has_no_fault():
    """Guards against stops that come one after the other only."""
    planned = faults.plan_work(1, 20_000, 8)
    assert {each.kind for each in planned} == {
        faults.Kind.DAEMON_RESTART,
        faults.Kind.DAEMON_RELOAD,
        faults.Kind.CONFIGURE,
    }
    stops = [
        each for each in planned if each.kind is faults.Kind.DAEMON_RESTART
    ]
    assert len(stops) > 10
    assert {each.vm for each in stops} > {0}


async def _echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


def _through_proxy(scenario):
    async def run():
        upstream = await asyncio.start_server(_echo, "127.0.0.1", 0)
        address = upstream.sockets[0].getsockname()
        proxy = proxy_lib.Proxy("127.0.0.1", 0, address)
        await proxy.listen()
        try:
            reader, writer = await asyncio.open_connection(*proxy.address())
            writer.write(b"a")
            assert await reader.read(1) == b"a"
            await scenario(proxy, reader, writer)
            writer.close()
        finally:
            proxy.close()
            upstream.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    "mode", [proxy_lib.Mode.CUT_INWARD, proxy_lib.Mode.CUT_OUTWARD]
)
def test_cut_holds_bytes_until_it_ends(mode):
    """Guards against cuts that lose bytes of a connection that stays open."""

    async def scenario(proxy, reader, writer):
        proxy.set_mode(mode)
        writer.write(b"b")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await reader.read(1)
        proxy.set_mode(proxy_lib.Mode.PASS)
        assert await reader.read(1) == b"b"

    _through_proxy(scenario)


def test_silence_affects_open_connections_permanently_but_no_new_ones():
    """Guards against silenced connections that work again after the fault."""

    async def scenario(proxy, reader, writer):
        proxy.set_mode(proxy_lib.Mode.SILENCE)
        proxy.set_mode(proxy_lib.Mode.PASS)
        writer.write(b"b")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await reader.read(1)
        new_reader, new_writer = await asyncio.open_connection(*proxy.address())
        new_writer.write(b"c")
        assert await new_reader.read(1) == b"c"
        new_writer.close()

    _through_proxy(scenario)


def test_reset_ends_open_connections():
    """Guards against resets that look like an orderly close."""

    async def scenario(proxy, reader, writer):
        proxy.set_mode(proxy_lib.Mode.RESET)
        with pytest.raises(ConnectionResetError):
            await reader.read(1)

    _through_proxy(scenario)
