"""Validates the HTTP requests of callers and matches them to routes."""

from collections.abc import Iterable
import re
from urllib import parse as url_parse

from tornado import httputil

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import outcomes
from mustardloom import request_ids
from mustardloom import requests
from mustardloom.declarations import model
from mustardloom.routing import home_regions
from mustardloom.routing import routes

__all__ = [
    "DEADLINE_HEADER",
    "ORGANISATION_HEADER",
    "REQUEST_ID_HEADER",
    "Rejection",
    "parse_request",
    "strip_hop_by_hop",
]

ORGANISATION_HEADER = "X-Mustardloom-Organisation"
DEADLINE_HEADER = "X-Mustardloom-Deadline-Ms"
REQUEST_ID_HEADER = "Idempotency-Key"

_RESERVED_PREFIX = "x-mustardloom-"
_MAX_DEADLINE_DIGITS = 9
_DIGITS = re.compile(r"[0-9]+")
_DOT_SEGMENTS = frozenset({".", ".."})
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# `target_client` sets these itself.
_SET_BY_TARGET_CLIENT = frozenset({"host", "content-length"})


class Rejection(Exception):
    """The request is malformed or may not be served by this ingress.

    Attributes:
      refused: Outcome for the caller.
    """

    def __init__(self, reason: outcomes.RefusalReason, detail: str):
        super().__init__(detail)
        self.refused = outcomes.Refused(reason, detail)


def strip_hop_by_hop(
    headers: Iterable[outcomes.Header],
) -> tuple[outcomes.Header, ...]:
    """Returns the headers without the hop-by-hop ones.

    Headers that `Connection` lists are hop-by-hop too.

    Example:
      >>> strip_hop_by_hop([("Connection", "X-A"), ("X-A", "1"), ("X-B", "2")])
      (('X-B', '2'),)
    """
    all_headers = tuple(headers)
    dropped = set(_HOP_BY_HOP)
    for name, value in all_headers:
        if name.lower() == "connection":
            dropped.update(part.strip().lower() for part in value.split(","))
    return tuple(
        (name, value)
        for name, value in all_headers
        if name.lower() not in dropped
    )


def parse_request(
    table: routes.RouteTable,
    clock: clock_lib.Clock,
    start_line: httputil.RequestStartLine,
    headers: httputil.HTTPHeaders,
    body: bytes,
    started_ms: int,
) -> requests.Request:
    """Returns the validated request, with its route, key and deadline.

    Args:
      table: Routes of the configuration in force.
      clock: Source of the time stamp of a new request id.
      start_line: Method and path.
      headers: All headers.
      body: Complete body.
      started_ms: When the headers arrived; the deadline counts from here.

    Raises:
      Rejection: The request is malformed or may not be served here.
    """
    method, path = start_line.method, start_line.path
    _check_path(path)
    route = table.match(path)
    if route is None:
        raise Rejection(
            outcomes.RefusalReason.NO_ROUTE, "no route matches the path"
        )
    organisation = _organisation(table, route, headers)
    regions = home_regions.permitted_regions(route, organisation)
    if regions is None:
        raise Rejection(
            outcomes.RefusalReason.HOME_REGION,
            "the route and the organisation have no home region in common",
        )
    idempotent = method in route.idempotent_methods
    request_id = _request_id(headers, idempotent, clock)
    organisation_id = organisation.id if organisation else None
    key = _key(route, path, headers)
    return requests.Request(
        method=method,
        path=path,
        headers=_target_headers(headers, request_id),
        body=body,
        route=route.id,
        service=route.service,
        organisation=organisation_id,
        regions=regions,
        key=key,
        request_id=request_id,
        idempotent=idempotent,
        deadline_ms=started_ms + _deadline_ms(route, headers),
        fingerprint=requests.fingerprint(
            route.id, method, path, organisation_id, key, body
        ),
    )


def _malformed(detail: str) -> Rejection:
    return Rejection(outcomes.RefusalReason.MALFORMED, detail)


def _single(headers: httputil.HTTPHeaders, name: str) -> str | None:
    values = headers.get_list(name)
    if len(values) > 1:
        raise _malformed(f"{name} occurs more than once")
    return values[0] if values else None


def _check_path(path: str) -> None:
    if not path.startswith("/"):
        raise _malformed("the request target must be a path")
    # A target that resolves dot segments would serve a path outside the
    # prefix of the matched route.
    for segment in routes.segments_of(path):
        if url_parse.unquote(segment) in _DOT_SEGMENTS:
            raise _malformed("the path must not have dot segments")


def _organisation(
    table: routes.RouteTable,
    route: model.Route,
    headers: httputil.HTTPHeaders,
) -> model.Organisation | None:
    name = _single(headers, ORGANISATION_HEADER)
    organisation = None
    if name is not None:
        organisation = table.organisations.get(ids.OrganisationId(name))
        if organisation is None:
            raise Rejection(
                outcomes.RefusalReason.ORGANISATION,
                f"organisation {name[:64]!r} is not declared",
            )
    is_open = not route.organisations
    if is_open or (organisation and organisation.id in route.organisations):
        return organisation
    raise Rejection(
        outcomes.RefusalReason.ORGANISATION,
        f"route {route.id} is restricted to other organisations",
    )


def _request_id(
    headers: httputil.HTTPHeaders, idempotent: bool, clock: clock_lib.Clock
) -> ids.RequestId | None:
    text = _single(headers, REQUEST_ID_HEADER)
    if text is None:
        if idempotent:
            return None
        return request_ids.new_request_id(clock.wall_ms())
    try:
        request_id = request_ids.parse(text)
    except ValueError as error:
        raise _malformed(f"{REQUEST_ID_HEADER}: {error}") from None
    return None if idempotent else request_id


def _key(
    route: model.Route, path: str, headers: httputil.HTTPHeaders
) -> str | None:
    if route.key is None:
        return None
    match route.key.kind:
        case model.KeySourceKind.HEADER:
            key = _single(headers, route.key.name)
        case model.KeySourceKind.PATH_SEGMENT:
            key = _path_segment(path, int(route.key.name))
    if not key:
        source = f"{route.key.kind.value}:{route.key.name}"
        raise _malformed(f"the request has no key ({source})")
    return key


def _path_segment(path: str, index: int) -> str | None:
    segments = routes.segments_of(path)
    if index >= len(segments):
        return None
    # Percent-encoded and plain spellings of a key must have the same owner.
    return url_parse.unquote(segments[index])


def _deadline_ms(route: model.Route, headers: httputil.HTTPHeaders) -> int:
    text = _single(headers, DEADLINE_HEADER)
    if text is None:
        return route.deadline_ms
    is_number = _DIGITS.fullmatch(text) is not None
    if not is_number or len(text) > _MAX_DEADLINE_DIGITS:
        raise _malformed(
            f"{DEADLINE_HEADER} must be a whole number of milliseconds"
        )
    if int(text) == 0:
        raise _malformed(f"{DEADLINE_HEADER} must be above 0")
    return min(route.deadline_ms, int(text))


def _target_headers(
    headers: httputil.HTTPHeaders, request_id: ids.RequestId | None
) -> tuple[outcomes.Header, ...]:
    # Callers must not forge the headers that carry fencing tokens and dispatch
    # ids to the target.
    kept = [
        (name, value)
        for name, value in strip_hop_by_hop(headers.get_all())
        if name.lower() not in _SET_BY_TARGET_CLIENT
        and not name.lower().startswith(_RESERVED_PREFIX)
        and name.lower() != REQUEST_ID_HEADER.lower()
    ]
    if request_id is not None:
        kept.append((REQUEST_ID_HEADER, request_id))
    return tuple(kept)
