"""Errors of client connections."""

__all__ = ["ClosedEarly", "ConnectFailed", "Incomplete", "UploadBroken"]


class ConnectFailed(Exception):
    """The connection could not be opened; nothing was sent.

    Attributes:
      refused: Whether the connection was refused: no process listens there.
    """

    def __init__(self, error: BaseException):
        super().__init__(repr(error))
        cause = getattr(error, "real_error", None) or error
        self.refused = isinstance(cause, ConnectionRefusedError)


class ClosedEarly(Exception):
    """The connection closed before the first byte of the response."""


class Incomplete(Exception):
    """The response is truncated, too large or not valid HTTP."""


class UploadBroken(Incomplete):
    """The body of the request broke off after a part of it was sent."""
