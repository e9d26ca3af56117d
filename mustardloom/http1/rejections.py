"""Requests that the server answers before it has read them completely."""

from mustardloom.http1 import messages

__all__ = [
    "BAD_REQUEST",
    "BODY_TOO_LARGE",
    "HEADERS_TOO_LARGE",
    "TIMEOUT",
    "RequestRejected",
    "no_room",
]

BAD_REQUEST = 400
TIMEOUT = 408
BODY_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
_UNAVAILABLE = 503
# Told to callers for whose bytes there is no room.
_NO_ROOM_HEADERS = ((b"Retry-After", b"0.50"),)


class RequestRejected(Exception):
    """A request is answered with an error before it is read completely.

    Attributes:
      response: The answer.
    """

    def __init__(self, status: int, headers: tuple[messages.Header, ...] = ()):
        super().__init__(str(status))
        self.response = messages.Response(status, headers)


def no_room() -> RequestRejected:
    """Returns the rejection of a request for whose bytes there is no room."""
    return RequestRejected(_UNAVAILABLE, _NO_ROOM_HEADERS)
