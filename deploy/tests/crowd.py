"""Crowds of callers that send the same bytes and read no answer."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
import resource
import socket

__all__ = ["connected_callers"]

# The system drops few opening packets at this pace.
_CONNECTS_AT_ONCE = 100
_CONNECT_PAUSE_S = 0.03
# So that these callers leave the system's memory for TCP to others.
_SEND_BUFFER_BYTES = 65_536
_OTHER_DESCRIPTORS = 200


async def _send(
    connection: socket.socket, pieces: Sequence[bytes], pause_s: float
) -> None:
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):
        for piece in pieces:
            await loop.sock_sendall(connection, piece)
            await asyncio.sleep(pause_s)


@contextlib.asynccontextmanager
async def connected_callers(
    address: tuple[str, int],
    count: int,
    pieces: Sequence[bytes],
    pause_s: float = 0.0,
) -> AsyncIterator[None]:
    """Connects callers that send, and stay open until the end of the context.

    Args:
      address: Where they connect.
      count: Number of callers.
      pieces: What each of them sends.
      pause_s: Time between two pieces.
    """
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    assert hard >= count + _OTHER_DESCRIPTORS
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    loop = asyncio.get_running_loop()
    sending = []
    with contextlib.ExitStack() as stack:
        for index in range(count):
            if index % _CONNECTS_AT_ONCE == 0:
                await asyncio.sleep(_CONNECT_PAUSE_S)
            caller = stack.enter_context(socket.socket())
            caller.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES
            )
            caller.setblocking(False)
            with contextlib.suppress(OSError):
                await loop.sock_connect(caller, address)
            sending.append(asyncio.create_task(_send(caller, pieces, pause_s)))
        try:
            yield
        finally:
            for task in sending:
                task.cancel()
            await asyncio.gather(*sending, return_exceptions=True)
