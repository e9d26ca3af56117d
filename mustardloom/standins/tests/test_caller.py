"""Tests of the load generator against small servers."""

import asyncio
import io
import json
import random

import pytest
from tornado import httpserver
from tornado import httputil
from tornado import netutil

from mustardloom.standins import caller as caller_lib

OUTCOME_HEADER = "X-Mustardloom-Outcome"


class Server(httputil.HTTPServerConnectionDelegate):
    """Answers each request with the outcome and body of `reply(headers)`.

    Closes the connection if `reply` returns None. `ids` are the idempotency
    keys of the requests that arrived.
    """

    def __init__(self, reply):
        self.reply = reply
        self.ids = []
        self._server = httpserver.HTTPServer(self)
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        self._server.add_sockets(sockets)
        self.address = sockets[0].getsockname()

    def start_request(self, server_conn, request_conn):
        return Exchange(self, request_conn)

    async def stop(self):
        self._server.stop()
        await self._server.close_all_connections()


class Exchange(httputil.HTTPMessageDelegate):
    def __init__(self, server, connection):
        self._server = server
        self._connection = connection

    def headers_received(self, start_line, headers):
        self._headers = headers

    def data_received(self, chunk):
        pass

    def finish(self):
        self._server.ids.append(self._headers.get("Idempotency-Key"))
        reply = self._server.reply(self._headers)
        if reply is None:
            self._connection.close()
            return
        outcome, body = reply
        headers = httputil.HTTPHeaders({OUTCOME_HEADER: outcome})
        headers["Content-Length"] = str(len(body))
        line = httputil.ResponseStartLine("HTTP/1.1", 200, "OK")
        self._connection.write_headers(line, headers, body)
        self._connection.finish()


def echo(headers):
    """Returns the reply of a correct target, which repeats the nonce."""
    return "answered", headers["X-Echo"].encode()


def run(reply, log=None, **options):
    """Runs a load; returns its report and the ids that the server got."""

    async def main():
        server = Server(reply)
        load = caller_lib.LoadSpec(
            ingresses=(server.address,),
            traffic=(caller_lib.Traffic(service="s", path="/s/{key}"),),
            **{"count": 50, "callers": 4, "post_share": 1.0, **options},
        )
        try:
            return await caller_lib.Caller(load, log).run(), server.ids
        finally:
            await server.stop()

    return asyncio.run(asyncio.wait_for(main(), 30))


@pytest.mark.parametrize("rate", [0.0, 2_000.0])
def test_all_requests_are_counted_once(rate):
    """Guards against a load that loses requests or exceeds its count."""
    log = io.BytesIO()
    report, ids = run(echo, log, rate=rate)
    assert (report.counts["answered"], report.sends) == (50, 50)
    assert report.latencies["s"]["answered.once"].count == 50
    assert sum(second.answered for second in report.seconds) == 50
    lines = list(map(json.loads, log.getvalue().splitlines()))
    assert {line["id"] for line in lines} == set(ids)
    assert {line["outcome"] for line in lines} == {"answered"}


def test_answer_to_another_request_is_crossed():
    """Guards against counting swapped answers as answered (invariant I6)."""
    bodies = ["first"]

    def swap(headers):
        bodies.append(headers["X-Echo"])
        return "answered", bodies[-2].encode()

    report, _ = run(swap)
    assert report.counts["crossed"] == 50


def test_refused_resend_leaves_an_unknown_request_unknown():
    """Guards against reporting as not run what may have run (invariant I7)."""
    replies = iter(["unknown", "refused"] * 50)
    report, ids = run(lambda _: (next(replies), b""), resends=1, callers=1)
    assert report.counts["unknown"] == 50
    # Both sends carry the same id.
    assert len(ids) == 100
    assert len(set(ids)) == 50


def test_connection_that_closes_is_unknown_and_not_reused():
    """Guards against counting a request that may have run as refused."""
    report, _ = run(lambda _: None)
    assert report.counts["unknown"] == 50
    assert report.reasons == {"unknown.connection": 50}


def test_refused_connection_counts_as_a_refusal():
    """Guards against a load generator that ends when an ingress is down."""

    async def main():
        server = Server(echo)
        await server.stop()
        load = caller_lib.LoadSpec(
            ingresses=(server.address,),
            traffic=(caller_lib.Traffic(service="s", path="/"),),
            count=5,
        )
        return await caller_lib.Caller(load).run()

    assert asyncio.run(main()).reasons == {"refused.connect": 5}


def test_hot_keys_change_at_the_interval():
    """Guards against hot keys that never change or change at each request."""
    keys = caller_lib.ZipfKeys(1_000, 1.2, 10.0, random.Random(1))

    def hot(elapsed_s):
        drawn = [keys.draw(elapsed_s) for _ in range(2_000)]
        return max(set(drawn), key=drawn.count)

    assert hot(0.0) == hot(9.9)
    assert len({hot(0.0), hot(10.0), hot(20.0)}) == 3


def test_direct_requests_carry_no_relative_deadline():
    """Guards against targets that read a duration as a time on their clock."""
    seen = []

    def note(headers):
        seen.append("X-Mustardloom-Deadline-Ms" in headers)
        return echo(headers)

    run(note, direct=True)
    run(note)
    assert seen == [False] * 50 + [True] * 50
