"""Tests that the longest accepted lists stop no other work of a daemon."""

import os
import random
import time

import msgspec
import pytest

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom.http1 import messages
from mustardloom.keys import claims
from mustardloom.keys import grants
from mustardloom.keys import key_map
from mustardloom.keys import ledger
from mustardloom.keys.tests import heartbeats
from mustardloom.platform import announcements
from mustardloom.sidecar.tests import test_departures

# Longest time for which one step may occupy the event loop.
_LONGEST_STEP_S = 0.02
# A target sends a heartbeat again that is not acknowledged in this time.
_HEARTBEAT_LIMIT_S = 1.0
_LAST = key_map.KEY_COUNT - 1
_OWN, _NEXT = ids.VmId("vm"), ids.VmId("next")
_MAX_ANSWER_BYTES = 4_096


def _map(version, owner, previous="", previous_fence=0):
    row = key_map.Row(0, _LAST, owner, version, previous, previous_fence)
    return key_map.KeyMap(
        version, (row,), {_OWN: heartbeats.INSTANCE, _NEXT: heartbeats.INSTANCE}
    )


def _token(key):
    return f"{key:016x}"


def _heartbeat(sequence, held=(), freed=()):
    body = {
        "service": "s",
        "address": "127.0.0.1:4",
        "zone": "z",
        "slots": 4,
        "state": "draining",
        "sequence": sequence,
        "born": heartbeats.INSTANCE.born_ms,
        "holds": held,
        "freed": freed,
    }
    path = f"/rpc?call=instances.heartbeat&of={heartbeats.INSTANCE.target}"
    return messages.Request("POST", path, (), msgspec.json.encode(body), 0)


class _Daemon:
    """The part of a daemon that answers the heartbeats of its target."""

    def __init__(self):
        self.grants = grants.Grants(_OWN)
        self.grants.claims.adopt(_map(1, _OWN))
        self.clock = clock_lib.FakeClock(now_ms=0)
        self.target, _ = test_departures._make_local_target(
            self.clock, os.open(os.devnull, os.O_WRONLY)
        )
        self.target._grant_keys = self._grant

    async def _grant(self, announcement):
        await self.grants.observe_paced(announcement, self.clock)
        granted = self.grants.grant(4_000, 0, False, lambda _: True)
        return announcements.Grant(granted, 4_000)

    def step_times(self, request, status=200):
        """Answers a heartbeat; returns the processor time of each step."""
        answering = self.target.handle(request)
        times = []
        while True:
            began = time.thread_time()
            try:
                answering.send(None)
            except StopIteration as ended:
                times.append(time.thread_time() - began)
                assert ended.value.status == status
                return times
            times.append(time.thread_time() - began)


def _rows(order, value):
    rows = [(key, key, value(key)) for key in range(key_map.KEY_COUNT)]
    if order == "shuffled":
        random.Random(1).shuffle(rows)
    return rows


@pytest.mark.parametrize("order", ["ordered", "shuffled"])
@pytest.mark.parametrize("field", ["held", "freed"])
def test_heartbeat_with_a_row_for_each_key_is_processed_in_short_steps(
    field, order
):
    """Guards against a daemon that answers nobody while it reads a list.

    The target sends the list again and again, as it is not acknowledged.
    """
    value = _token if field == "freed" else lambda _: 1
    rows = _rows(order, value)
    daemon = _Daemon()
    repeated = [
        daemon.step_times(_heartbeat(sequence, **{field: rows}))
        for sequence in range(1, 5)
    ]
    assert min(sum(times) for times in repeated) < _HEARTBEAT_LIMIT_S
    # Other programs on this machine may disturb some of them.
    assert min(max(times) for times in repeated) < _LONGEST_STEP_S


def test_heartbeat_with_more_rows_than_keys_is_refused():
    """Guards against lists of any length in a body of the accepted size."""
    daemon = _Daemon()
    rows = [(0, 0, 1)] * (key_map.KEY_COUNT + 1)
    daemon.step_times(_heartbeat(1, rows), status=400)


def _next_owner(parts):
    """Returns the grants of the next owner after a release in these parts."""
    own = grants.Grants(_NEXT)
    own.claims.adopt(_map(2, _NEXT, _OWN, 1))
    own.observe(heartbeats.heartbeat(1), 0)
    own.claims.record_release(claims.Release(_OWN, 2, tuple(parts)))
    return own


def test_release_with_a_token_for_each_key_is_told_in_short_steps():
    """Guards against a square of the tokens between two owners."""
    daemon = _Daemon()
    daemon.step_times(_heartbeat(1))
    daemon.grants.claims.adopt(_map(2, _NEXT, _OWN, 1))
    daemon.step_times(_heartbeat(2, freed=_rows("ordered", _token)))
    times = []
    for _ in range(3):
        began = time.thread_time()
        parts = [
            part
            for first in range(0, key_map.KEY_COUNT, 32)
            for part in daemon.grants.released(first, first + 31, 1, 0, True)
        ]
        told = time.thread_time()
        own = _next_owner(parts[: grants.MAX_TOKENS])
        own.claims.record_held([])
        times.append((told - began, time.thread_time() - told))
    assert len(parts) == key_map.KEY_COUNT
    # All that a target releases is told in as many answers as need be.
    answers = len(parts) / grants.MAX_TOKENS
    assert min(told for told, _ in times) < _LONGEST_STEP_S * answers
    assert min(taken for _, taken in times) < _LONGEST_STEP_S


def test_keys_are_granted_without_the_tokens_that_an_answer_cannot_list():
    """Guards against keys that no target gets as their tokens are too long."""
    parts = [
        ledger.ReleasedRange(key, key, _token(key))
        for key in range(key_map.KEY_COUNT)
    ]
    granted = _next_owner(parts).grant(4_000, 0, False, lambda _: True)
    assert granted[0].handover == _token(0)
    assert granted[-1].last == _LAST
    assert [each.first for each in granted[1:]] == [
        each.last + 1 for each in granted[:-1]
    ]
    answer = announcements.answer_heartbeat(announcements.Grant(granted, 4_000))
    assert len(answer.body) <= _MAX_ANSWER_BYTES
