"""Tests of the links between daemons, on loopback.

The daemon "near" dials the links; "far" accepts them and handles the frames.
"""

import asyncio
import contextlib
import gc
import os
import socket
import time
import warnings

import pytest

from mustardloom import clock as clock_lib
from mustardloom import descriptor_budget
from mustardloom import ids
from mustardloom.deployment import stored
from mustardloom.sidecar import compression
from mustardloom.sidecar import frames
from mustardloom.sidecar import links as links_lib
from mustardloom.sidecar import outgoing_link

_HOST = "127.0.0.1"
_REPLIES_MS = 100


def _record(name, port=0):
    return stored.DaemonRecord(
        ids.VmId(name),
        _HOST,
        port,
        ids.AvailabilityZoneId("z"),
        ids.RegionId("r"),
        ids.ServiceId("s"),
    )


def _run(scenario, handler):
    async def run():
        clock = clock_lib.SystemClock()
        near = links_lib.Links(_record("near"), clock, lambda *_: None)
        far = links_lib.Links(_record("far"), clock, handler)
        port = far.listen(_HOST, 0)
        try:
            async with asyncio.timeout(10):
                return await scenario(near, far, port)
        finally:
            near.close()
            far.close()

    return asyncio.run(run())


async def _connected(links, vm):
    while not links.is_up(vm):
        await asyncio.sleep(0.01)


def _fetch(number):
    return frames.Fetch(number, "configuration")


def test_calls_get_their_own_replies_in_any_order():
    """Guards against replies that are matched to another call of the stream."""

    async def reply(frame):
        await asyncio.sleep(0.02 if frame.number == 1 else 0)
        return frames.Fetched(frame.number, frame.kind, frame.number, ())

    def handler(vm, frame):
        return reply(frame) if isinstance(frame, frames.Fetch) else None

    async def scenario(near, far, port):
        vm = ids.VmId("far")
        near.set_peers({vm: (_HOST, port)})
        await _connected(near, vm)
        calls = [near.call(vm, _fetch) for _ in range(3)]
        return [reply.version for reply in await asyncio.gather(*calls)]

    assert _run(scenario, handler) == [1, 2, 3]


def test_cancelled_call_is_cancelled_at_the_peer():
    """Guards against requests that go on although their callers are gone."""
    cancelled = asyncio.Event()

    async def reply():
        try:
            await asyncio.sleep(30)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    def handler(vm, frame):
        return reply() if isinstance(frame, frames.Fetch) else None

    async def scenario(near, far, port):
        vm = ids.VmId("far")
        near.set_peers({vm: (_HOST, port)})
        await _connected(near, vm)
        task = asyncio.ensure_future(near.call(vm, _fetch))
        await asyncio.sleep(0.05)
        task.cancel()
        await cancelled.wait()

    _run(scenario, handler)


def test_call_that_is_cancelled_at_once_leaves_no_coroutine():
    """Guards against a handler's coroutine that is created but never awaited.

    The frame of the call and its cancellation arrive together.
    """

    async def reply():
        await asyncio.sleep(30)

    def handler(vm, frame):
        return reply() if isinstance(frame, frames.Fetch) else None

    async def scenario(near, far, port):
        _, writer = await asyncio.open_connection(_HOST, port)
        sent = (near.hello(ids.VmId("far")), _fetch(1), frames.Cancel(1))
        data = b"".join(frames.encode(frame) for frame in sent)
        writer.write(compression.Compressor().compress(data))
        await asyncio.sleep(0.05)
        writer.close()

    with warnings.catch_warnings(record=True) as seen:
        warnings.simplefilter("always")
        _run(scenario, handler)
        gc.collect()
    own_warnings = [
        each for each in seen if reply.__qualname__ in str(each.message)
    ]
    assert own_warnings == []


def test_exception_of_a_handler_is_reported():
    """Guards against exceptions that are dropped with the handler's task."""

    async def reply():
        raise KeyError("k")

    def handler(vm, frame):
        return reply() if isinstance(frame, frames.Fetch) else None

    async def scenario(near, far, port):
        faults = []
        far.on_fault = lambda vm, error: faults.append((vm, repr(error)))
        vm = ids.VmId("far")
        near.set_peers({vm: (_HOST, port)})
        await _connected(near, vm)
        task = asyncio.ensure_future(near.call(vm, _fetch))
        while not faults:
            await asyncio.sleep(0.01)
        task.cancel()
        return faults

    assert _run(scenario, handler) == [("near", "KeyError('k')")]


def test_unsent_frame_and_lost_reply_raise_different_errors():
    """Guards against "not run" for a request that the peer may have run."""

    def handler(vm, frame):
        if not isinstance(frame, frames.Fetch):
            return None
        return asyncio.sleep(30)

    async def scenario(near, far, port):
        vm = ids.VmId("far")
        with pytest.raises(links_lib.PeerUnreachable):
            await near.call(vm, _fetch)
        near.set_peers({vm: (_HOST, port)})
        await _connected(near, vm)
        task = asyncio.ensure_future(near.call(vm, _fetch))
        await asyncio.sleep(0.05)
        far.close()
        with pytest.raises(links_lib.PeerLost):
            await task

    _run(scenario, handler)


def test_peer_that_accepts_but_sends_nothing_stays_down():
    """Guards against requests and keys that wait for a paused daemon.

    The kernel accepts connections for a paused process, too.
    """

    async def scenario(near, far, port):
        silent = socket.create_server((_HOST, 0))
        vm = ids.VmId("silent")
        changes = []
        near.on_change = lambda vm, is_up: changes.append(is_up)
        near.set_peers({vm: silent.getsockname()})
        watch = asyncio.ensure_future(near.check_links())
        began_s = time.monotonic()
        while (
            near.unreachable_ms(vm) < 1_500 and time.monotonic() - began_s < 5
        ):
            await asyncio.sleep(0.05)
        watch.cancel()
        silent.close()
        return changes, near.unreachable_ms(vm) >= 1_500

    assert _run(scenario, lambda *_: None) == ([], True)


def test_link_meant_for_another_vm_is_refused():
    """Guards against requests to a VM that took over another's address."""
    seen = []

    def handler(vm, frame):
        seen.append(frame)

    async def scenario(near, far, port):
        faults = []
        far.on_fault = lambda vm, error: faults.append(str(error))
        near.set_peers({ids.VmId("gone"): (_HOST, port)})
        while not faults:
            await asyncio.sleep(0.01)
        return faults[0]

    assert _run(scenario, handler) == "link meant for gone"
    assert seen == []


@pytest.mark.parametrize("sent", [b"\xff" * 64, b"GET / HTTP/1.1\r\n\r\n"])
def test_bytes_that_are_not_frames_close_the_link(sent):
    """Guards against crashes caused by foreign clients of the internal port."""

    async def scenario(near, far, port):
        reader, writer = await asyncio.open_connection(_HOST, port)
        writer.write(sent)
        writer.write_eof()
        assert await reader.read() == b""
        writer.close()

    _run(scenario, lambda *_: None)


class _Proxy:
    """Forwards connections to a port; holds all bytes while it is paused."""

    def __init__(self, port):
        self.may_pass = asyncio.Event()
        self.may_pass.set()
        self._port = port
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, _HOST, 0)
        return self._server.sockets[0].getsockname()[1]

    def stop_listening(self):
        self._server.close()

    async def close(self):
        self.stop_listening()
        for task in self._tasks:
            task.cancel()
        # Each one closes its writer.
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        onward = await asyncio.open_connection(_HOST, self._port)
        for source, sink in ((reader, onward[1]), (onward[0], writer)):
            task = asyncio.ensure_future(self._copy(source, sink))
            self._tasks.add(task)

    async def _copy(self, source, sink):
        try:
            while data := await source.read(65_536):
                await self.may_pass.wait()
                sink.write(data)
        except ConnectionError:
            pass
        finally:
            sink.close()


async def _pause(proxy, links, vm, also_ms=0):
    """Pauses the proxy until the link is down and `also_ms` longer."""
    proxy.may_pass.clear()
    while links.is_up(vm):
        await asyncio.sleep(0.01)
    await asyncio.sleep(also_ms / 1_000)
    proxy.may_pass.set()


def _never_answers(vm, frame):
    if not isinstance(frame, frames.Fetch):
        return None
    return asyncio.sleep(30)


_OnSilence = links_lib.OnSilence


@contextlib.asynccontextmanager
async def _through_proxy(near, port):
    """Links "near" to "far" through a proxy and watches the link."""
    proxy = _Proxy(port)
    vm = ids.VmId("far")
    near.set_peers({vm: (_HOST, await proxy.start())})
    watch = asyncio.ensure_future(near.check_links())
    await _connected(near, vm)
    try:
        yield proxy, vm
    finally:
        watch.cancel()
        await proxy.close()


async def _start_call(links, vm, on_silence):
    call = links.begin_call(vm, _fetch, on_silence)
    await asyncio.sleep(0.05)
    return call


def test_answer_of_a_peer_that_was_only_silent_for_a_while_arrives():
    """Guards against work that is given up or repeated after a pause.

    A daemon that was paused for a second has run the request and answers.
    """

    def handler(vm, frame):
        if not isinstance(frame, frames.Fetch):
            return None

        async def answer():
            await asyncio.sleep(0.2)
            return frames.Failure(frame.number, "late")

        return answer()

    async def scenario(near, far, port):
        async with _through_proxy(near, port) as (proxy, vm):
            waiting = await _start_call(near, vm, _OnSilence.WAIT)
            query = await _start_call(near, vm, _OnSilence.FAIL)
            await _pause(proxy, near, vm, also_ms=300)
            with pytest.raises(links_lib.PeerLost):
                await query.result()
            reply = await waiting.result()
            await _connected(near, vm)
            return reply.reason

    assert _run(scenario, handler) == "late"


def test_answer_of_a_silent_peer_arrives_although_another_was_asked():
    """Guards against work that is given up for a place that nobody has (LOST).

    Who waits learns of the silence, and may ask another peer meanwhile.
    """

    def handler(vm, frame):
        if not isinstance(frame, frames.Fetch):
            return None

        async def answer():
            await asyncio.sleep(0.2)
            return frames.Failure(frame.number, "late")

        return answer()

    async def scenario(near, far, port):
        async with _through_proxy(near, port) as (proxy, vm):
            call = await _start_call(near, vm, _OnSilence.TELL)
            waiting = asyncio.ensure_future(call.result())
            await _pause(proxy, near, vm, also_ms=300)
            assert waiting.done()
            return type(await waiting), (await call.result()).reason

    assert _run(scenario, handler) == (frames.Overdue, "late")


def test_calls_on_a_silent_stream_end_when_it_is_closed():
    """Guards against callers that wait for a peer that was restarted."""

    async def scenario(near, far, port):
        async with _through_proxy(near, port) as (proxy, vm):
            waiting = await _start_call(near, vm, _OnSilence.WAIT)
            await _pause(proxy, near, vm)
            far.close()
            with pytest.raises(links_lib.PeerLost):
                await waiting.result()

    _run(scenario, _never_answers)


def test_calls_on_a_silent_stream_end_when_the_peer_refuses_connections(
    monkeypatch,
):
    """Guards against callers that wait for a process that has ended.

    Its VM lost power, so it sent no end of the stream.
    """

    async def scenario(near, far, port):
        async with _through_proxy(near, port) as (proxy, vm):
            waiting = await _start_call(near, vm, _OnSilence.WAIT)
            proxy.may_pass.clear()
            proxy.stop_listening()
            with pytest.raises(links_lib.PeerLost):
                await waiting.result()

    # Without the refusal the call would wait for longer than the test may take.
    monkeypatch.setattr(outgoing_link, "_SILENT_STREAM_MS", 60_000)
    _run(scenario, _never_answers)


def test_clock_of_a_peer_is_known_with_the_link():
    """A deadline by the receiver's clock grants no time to a delayed frame."""

    async def scenario(near, far, port):
        vm = ids.VmId("far")
        far.make_pong = lambda: frames.Pong((), 1, near.clock.now_ms() + 5_000)
        assert near.clock_offset_ms(vm) is None
        near.set_peers({vm: (_HOST, port)})
        await _connected(near, vm)
        while near.clock_offset_ms(vm) is None:
            await asyncio.sleep(0.01)
        return near.clock_offset_ms(vm)

    assert 4_900 <= _run(scenario, lambda *_: None) <= 5_000


def test_calls_that_cross_the_end_of_a_link_are_known_not_to_have_run():
    """Guards against a failure of a request that may be sent elsewhere.

    The near side sends calls after the far side has ended the link and before
    it learns of that; one call was read earlier and has no reply.
    """
    seen = []

    def handler(vm, frame):
        del vm
        if not isinstance(frame, frames.Fetch):
            return None
        seen.append(frame.number)
        return asyncio.sleep(30)

    async def scenario(near, far, port):
        vm = ids.VmId("far")
        near.set_peers({vm: (_HOST, port)})
        await _connected(near, vm)
        read = asyncio.ensure_future(near.call(vm, _fetch))
        while not seen:
            await asyncio.sleep(0.01)
        crossing = [
            asyncio.ensure_future(near.call(vm, _fetch)) for _ in range(3)
        ]
        # They are on their way when the far side ends the link.
        await asyncio.sleep(0)
        far.end_incoming(_REPLIES_MS)
        outcomes = await asyncio.gather(*crossing, read, return_exceptions=True)
        return [type(each) for each in outcomes]

    assert _run(scenario, handler) == [
        *[links_lib.PeerUnreachable] * 3,
        links_lib.PeerLost,
    ]
    assert len(seen) == 1


def test_calls_that_were_read_before_the_end_of_a_link_are_answered():
    """Guards against a refusal that is lost because a stop ends the link.

    A request that arrives last is refused by then. Without the refusal the
    other daemon must take it for one that may have run.
    """

    async def scenario(near, far, port):
        async def refuse(frame):
            # The link ends between the arrival of the call and its reply.
            far.end_incoming(_REPLIES_MS)
            await asyncio.sleep(0.02)
            return frames.Refusal(frame.number, "stopping", 300, False, "")

        far.handler = lambda vm, frame: (
            refuse(frame) if isinstance(frame, frames.Fetch) else None
        )
        vm = ids.VmId("far")
        near.set_peers({vm: (_HOST, port)})
        await _connected(near, vm)
        reply = await near.call(vm, _fetch)
        while far.has_incoming():
            await asyncio.sleep(0)
        return reply.reason

    assert _run(scenario, lambda *_: None) == "stopping"


def test_links_end_only_after_what_was_written_on_them():
    """Guards against replies that a stop drops on their way.

    The far side writes faster than the near side reads, and has bytes of the
    near side that it has not read.
    """
    size = 6_000_000

    def handler(vm, frame):
        del vm
        if not isinstance(frame, frames.Fetch):
            return None
        value = os.urandom(size)
        item = frames.StoredItem("k", 1, value)
        return frames.Fetched(frame.number, frame.kind, 1, (item,))

    async def scenario(near, far, port):
        vm = ids.VmId("far")
        near.set_peers({vm: (_HOST, port)})
        await _connected(near, vm)
        call = asyncio.ensure_future(near.call(vm, _fetch))
        while not far.is_writing():
            await asyncio.sleep(0)
        while far.is_writing():
            near.notify(vm, frames.Ping())
            await asyncio.sleep(0)
        near.notify(vm, frames.Ping())
        far.end_incoming(_REPLIES_MS)
        reply = await call
        while far.has_incoming():
            await asyncio.sleep(0)
        return len(reply.items[0].value)

    assert _run(scenario, handler) == size


def test_calls_of_a_peer_that_reads_no_replies_are_read_on():
    """Guards against replies without end for a peer that reads none."""
    body = os.urandom(100_000)
    handled = []

    def handler(vm, frame):
        if not isinstance(frame, frames.Fetch):
            return None
        handled.append(frame.number)
        return frames.Fetched(frame.number, "configuration", (), body.hex())

    async def scenario(near, far, port):
        compressor = compression.Compressor()
        reader, writer = await asyncio.open_connection(_HOST, port)
        hello = frames.Hello(_record("raw"), "far", 1)
        writer.write(compressor.compress(frames.encode(hello)))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(2):
                for number in range(1, 2_000):
                    data = compressor.compress(frames.encode(_fetch(number)))
                    writer.write(data)
                    await writer.drain()
                    await asyncio.sleep(0)
        del reader
        writer.transport.abort()

    _run(scenario, handler)
    assert 0 < len(handled) < 200


@contextlib.contextmanager
def _full_queue():
    """Yields an address whose connects hang, as a machine without power."""
    with contextlib.ExitStack() as stack:
        listening = stack.enter_context(socket.socket())
        listening.bind((_HOST, 0))
        listening.listen(0)
        for _ in range(3):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(listening.getsockname())
        yield listening.getsockname()


def test_links_removed_while_they_connect_keep_their_descriptors():
    """Guards against a connect that is cancelled and leaves its socket open."""
    budget = descriptor_budget.DescriptorBudget(400)
    share = budget.share(descriptor_budget.User.DIALLED_PEERS)

    async def play(address):
        clock = clock_lib.SystemClock()
        links = links_lib.Links(
            _record("near"), clock, lambda *_: None, None, share
        )
        for _ in range(5):
            links.set_peers({ids.VmId("far"): address})
            await asyncio.sleep(0.02)
            assert share.held == 1
            links.set_peers({})
            await asyncio.sleep(0.02)
            assert share.held == 0
        links.close()

    with _full_queue() as address:
        asyncio.run(play(address))


def test_answer_of_a_peer_that_is_back_arrives_however_long_it_takes(
    monkeypatch,
):
    """Guards against calls that end because their peer was silent before.

    The peer was silent for a moment, has answered since on a new stream, and
    is at work on the call.
    """

    def handler(vm, frame):
        if not isinstance(frame, frames.Fetch):
            return None

        async def answer():
            await asyncio.sleep(2.5)
            return frames.Failure(frame.number, "late")

        return answer()

    async def scenario(near, far, port):
        async with _through_proxy(near, port) as (proxy, vm):
            waiting = await _start_call(near, vm, _OnSilence.WAIT)
            await _pause(proxy, near, vm)
            await _connected(near, vm)
            return (await waiting.result()).reason

    monkeypatch.setattr(outgoing_link, "_SILENT_STREAM_MS", 1_000)
    assert _run(scenario, handler) == "late"


def test_reply_on_its_way_arrives_although_its_peer_accepts_no_more_links():
    """Guards against an answer that is dropped because its sender has ended.

    A daemon that stops accepts no more links once it has written its replies;
    these may still be on their way then.
    """

    def handler(vm, frame):
        if not isinstance(frame, frames.Fetch):
            return None

        async def answer():
            await asyncio.sleep(0.2)
            return frames.Failure(frame.number, "late")

        return answer()

    async def scenario(near, far, port):
        async with _through_proxy(near, port) as (proxy, vm):
            waiting = await _start_call(near, vm, _OnSilence.WAIT)
            proxy.may_pass.clear()
            while near.is_up(vm):
                await asyncio.sleep(0.01)
            # The reply has been written by now.
            proxy.stop_listening()
            await asyncio.sleep(0.4)
            proxy.may_pass.set()
            return (await waiting.result()).reason

    assert _run(scenario, handler) == "late"
