"""Accepts the streams of other daemons."""

import asyncio
import contextlib
from typing import Any

from grpclib import server as grpc_server
from loguru import logger

from mustardloom import ids
from mustardloom.relay import frames
from mustardloom.relay import peers as peers_lib
from mustardloom.relay.wire import peer_grpc
from mustardloom.relay.wire import peer_pb2

__all__ = ["PeerServer"]


class PeerServer(peer_grpc.PeerServiceBase):
    """Accepts streams of peers and runs the handlers of `Peers`."""

    def __init__(self, peers: peers_lib.Peers):
        self._peers = peers
        self._server = grpc_server.Server([self], codec=peers.codec)

    async def start(self, host: str, port: int) -> None:
        """Listens on an address.

        Raises:
          OSError: The address is in use or not available.
        """
        await self._server.start(host, port)

    async def stop(self) -> None:
        """Closes all streams."""
        self._server.close()
        await self._server.wait_closed()

    async def Exchange(self, stream: Any) -> None:  # noqa: N802
        """Serves one stream; see peer.proto."""
        sender = self._peers.verify_handshake(stream.metadata)
        if sender is None:
            self._peers.metrics.increment("peer.strangers_refused")
            return
        session = _Session(self._peers, sender, stream)
        try:
            await session.run()
        except asyncio.CancelledError:
            # Without a reset, the peer would notice that this server stopped
            # only when its calls time out. The reset fails if the connection
            # is lost already; then the peer notices without it.
            with contextlib.suppress(Exception):
                await stream.cancel()
            raise


class _Session:
    """One incoming stream and the tasks that handle its messages."""

    def __init__(
        self, peers: peers_lib.Peers, sender: ids.MemberId, stream: Any
    ):
        self._peers = peers
        self._sender = sender
        self._stream = stream
        self._outbox = frames.Outbox()
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._one_way_tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Reads frames until the peer ends the stream."""
        writer = asyncio.create_task(self._write())
        try:
            while True:
                batch = await self._stream.recv_message()
                if batch is None:
                    return
                for frame in batch.frames:
                    self._on_frame(frame)
        finally:
            writer.cancel()
            for task in self._tasks.values():
                task.cancel()
            await asyncio.gather(writer, return_exceptions=True)

    def _on_frame(self, frame: peer_pb2.Frame) -> None:
        kind = frame.WhichOneof("body")
        if kind == "cancel":
            task = self._tasks.get(frame.call)
            if task is not None:
                task.cancel()
            return
        handler = self._peers.handler(kind or "")
        if handler is None:
            self._peers.metrics.increment("peer.frames_unknown")
            self._send_failure(frame.call, f"no handler for {kind}")
            return
        body = getattr(frame, kind)
        task = asyncio.create_task(self._handle(frame.call, handler, body))
        self._track(frame.call, task)

    def _track(self, call: int, task: asyncio.Task[None]) -> None:
        if call == frames.ONE_WAY:
            self._one_way_tasks.add(task)
            task.add_done_callback(self._one_way_tasks.discard)
            return
        self._tasks[call] = task
        task.add_done_callback(lambda _: self._tasks.pop(call, None))

    async def _handle(
        self, call: int, handler: peers_lib.Handler, body: frames.Body
    ) -> None:
        try:
            reply = await handler(self._sender, body)
        except Exception:
            # A failed call must not end the stream, which other calls share.
            logger.exception(
                "handler of a peer's message failed; the stream stays open"
            )
            self._peers.metrics.increment("peer.handlers_failed")
            self._send_failure(call, "the handler failed")
            return
        if call != frames.ONE_WAY and reply is not None:
            self._outbox.put(frames.make_frame(call, reply))

    def _send_failure(self, call: int, detail: str) -> None:
        if call != frames.ONE_WAY:
            self._outbox.put(
                frames.make_frame(call, peer_pb2.Failure(detail=detail))
            )

    async def _write(self) -> None:
        while True:
            batch = await self._outbox.take()
            await self._stream.send_message(peer_pb2.Batch(frames=batch))
