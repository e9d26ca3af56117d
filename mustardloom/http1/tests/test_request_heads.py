"""Tests of the raw heads of requests."""

import httptools
import hypothesis
from hypothesis import strategies as st

from mustardloom.http1 import request_heads

_NAMES = st.text("abC-_1", min_size=1, max_size=4).map(str.encode)
_VALUES = st.binary(max_size=8)


class _Reported:
    """What the parser reports of a head."""

    def __init__(self):
        self.headers = []
        self.is_complete = False

    def on_header(self, name, value):
        self.headers.append((name, value))

    def on_headers_complete(self):
        self.is_complete = True


@hypothesis.given(
    st.lists(st.tuples(_NAMES, st.sampled_from([b"", b" ", b" \t"]), _VALUES))
)
def test_fields_differ_from_those_of_the_parser(items):
    """Guards against two readings of one head, as request smuggling needs."""
    lines = [name + b":" + space + value for name, space, value in items]
    head = b"\r\n".join([b"GET / HTTP/1.1", *lines, b"", b""])
    # A value may contain the end of a head, which ends it there.
    head = head[: head.index(request_heads.END) + len(request_heads.END)]
    reported = _Reported()
    try:
        httptools.HttpRequestParser(reported).feed_data(head)
    except (httptools.HttpParserError, httptools.HttpParserUpgrade):
        return
    assert reported.is_complete
    assert request_heads.fields(head) == reported.headers


@hypothesis.given(
    st.lists(st.sampled_from([b"\r", b"\n", b"\r\n\r\n", b"a", b"1\r\n"])),
    st.lists(st.integers(1, 6)),
)
def test_end_of_chunks_is_missed(parts, sizes):
    """Guards against bytes of the next request parsed with a body in chunks."""
    data = b"".join(parts)
    end = request_heads.MessageEnd()
    stops = []
    start = 0
    for size in [*sizes, len(data)]:
        piece = data[start : start + size]
        position = 0
        while position < len(piece):
            position += end.next_size(piece, position)
            stops.append(start + position)
        start += len(piece)
    ends = [
        index + 4
        for index in range(len(data))
        if data[index:].startswith(request_heads.END)
    ]
    assert set(ends) <= set(stops)


def test_fields_of_usual_heads_are_charged():
    """Guards against ordinary requests that need a share for large heads."""
    headers = [(b"name", b"value")] * 64
    assert request_heads.extra_fields_bytes(headers) == 0
    assert request_heads.extra_fields_bytes([*headers, (b"a", b"")]) > 0


def test_size_differs_by_the_parts_in_which_a_head_arrives():
    """Guards against an end that is missed because it arrived in two parts."""
    data = b"ab\r\n\r\nc"
    for cut in range(1, 6):
        tail = data[max(0, cut - 3) : cut]
        size = request_heads.size_to_end(tail, data[cut:], 0)
        assert size == 6 - cut
