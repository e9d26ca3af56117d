"""Builds requests for tests."""

from typing import Any

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import requests

__all__ = ["make_request"]


def make_request(
    clock: clock_lib.Clock, deadline_ms: int = 100, **changes: Any
) -> requests.Request:
    """Returns a request whose deadline is `deadline_ms` from now.

    `changes` replaces defaults of the request.
    """
    defaults: dict[str, Any] = {
        "method": "POST",
        "path": "/a",
        "headers": (),
        "body": b"body",
        "route": ids.RouteId("r"),
        "service": ids.ServiceId("salio"),
        "organisation": None,
        "regions": frozenset(),
        "key": None,
        "request_id": None,
        "idempotent": False,
        "deadline_ms": clock.now_ms() + deadline_ms,
        "fingerprint": 1,
    }
    return requests.Request(**(defaults | changes))
