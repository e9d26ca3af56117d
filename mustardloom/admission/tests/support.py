"""Requests for tests."""

from typing import Any

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import requests

__all__ = ["make_request"]


def make_request(
    clock: clock_lib.Clock, deadline_ms: int = 100, **changes: Any
) -> requests.Request:
    """Returns a request that is due after `deadline_ms`."""
    fields: dict[str, Any] = {
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
    return requests.Request(**(fields | changes))
