"""A proxy whose open connections can go silent while new ones work."""

import asyncio
import contextlib

__all__ = ["SilentProxy"]

_PIECE_BYTES = 65_536


class SilentProxy:
    """Passes on bytes between loopback connections.

    Attributes:
      port: Port on 127.0.0.1.
    """

    def __init__(self, target_port: int):
        self.port = 0
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        # Increases with each silence; connections opened before are silent.
        self._silences = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> None:
        """Starts to accept connections."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def silence(self) -> None:
        """Passes nothing more on the connections that are open now."""
        self._silences += 1

    def close(self) -> None:
        """Ends all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
            with contextlib.closing(writer), contextlib.closing(target_writer):
                await asyncio.gather(
                    self._pass_on(reader, target_writer, self._silences),
                    self._pass_on(target_reader, writer, self._silences),
                )

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        silences: int,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_PIECE_BYTES):
                if self._silences > silences:
                    # Nothing arrives any more, not even an end.
                    await asyncio.Event().wait()
                writer.write(data)
                await writer.drain()
        if self._silences > silences:
            await asyncio.Event().wait()
        writer.close()
