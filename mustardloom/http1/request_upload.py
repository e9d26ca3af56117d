"""Sends the body of a request in pieces."""

import asyncio

from tornado import iostream

from mustardloom.http1 import bodies
from mustardloom.http1 import sockets

__all__ = ["Upload", "encode_piece"]


def encode_piece(body: bodies.BodySource, piece: bytes) -> bytes:
    """Returns a piece of a body as it is sent, the end if it is empty."""
    if body.length is not None:
        return piece
    return bodies.encode_chunk(piece) if piece else bodies.encode_last_chunk()


class Upload:
    """Sends a body that passes in pieces, while the response is awaited.

    Attributes:
      is_complete: Whether all of it has been sent.
      is_broken: Whether it broke off.
    """

    def __init__(
        self,
        stream: iostream.IOStream,
        body: bodies.BodySource | None,
        written: "asyncio.Future[None]",
    ):
        """Creates an upload that has not begun.

        Args:
          stream: Connection on which it goes.
          body: Body of the request, None if it does not pass in pieces.
          written: Done once the head and the first piece have been sent.
        """
        self.is_complete = body is None
        self.is_broken = False
        self._stream = stream
        self._body = body
        self._written = written

    async def run(self) -> None:
        """Sends the pieces that follow the first one.

        A body that breaks off takes the connection with it, so that the server
        does not take it for a whole one.
        """
        body = self._body
        assert body is not None
        try:
            await self._written
            while not self.is_complete:
                piece = await body.read()
                await self._stream.write(encode_piece(body, piece))
                self.is_complete = not piece
        except bodies.BodyBroken:
            self.is_broken = True
            sockets.reset(self._stream)
        except iostream.StreamClosedError:
            body.close()

    def stop(self) -> None:
        """Sends no more; what is left of the body is dropped."""
        if self._body is not None:
            self._body.close()
