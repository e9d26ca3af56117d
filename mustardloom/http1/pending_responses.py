"""Requests whose responses are not written yet."""

import asyncio

from mustardloom import memory_budget
from mustardloom.http1 import bodies
from mustardloom.http1 import messages

__all__ = ["PendingResponse"]


class PendingResponse:
    """A request whose response is not written yet.

    Attributes:
      is_head: Whether its response has no body.
      is_chunk_known: Whether the client understands a body in chunks.
      task: Result of the handler.
      hold: Room for the request and its response.
      fields_hold: Room for an unusual number of header fields.
      upload: Its body, if that passes in pieces.
    """

    def __init__(
        self,
        method: str,
        task: "asyncio.Future[messages.Response]",
        hold: memory_budget.Hold | None = None,
        fields_hold: memory_budget.Hold | None = None,
        is_chunk_known: bool = True,
        upload: bodies.Body | None = None,
    ):
        self.is_head = method == "HEAD"
        self.is_chunk_known = is_chunk_known
        self.task = task
        self.hold = hold
        self.fields_hold = fields_hold
        self.upload = upload

    def release(self) -> None:
        """Gives back the room; drops what is left of the body."""
        if self.hold is not None:
            self.hold.release()
        if self.fields_hold is not None:
            self.fields_hold.release()
        if self.upload is not None:
            self.upload.close()

    def drop(self) -> None:
        """Cancels the handler; nobody awaits its result any more."""
        if not self.task.done():
            self.task.cancel()
        elif not self.task.cancelled() and self.task.exception() is None:
            rest = self.task.result().rest
            if rest is not None:
                rest.close()
        self.release()
