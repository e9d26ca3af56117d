"""Tests of the choice of connections that are closed for others."""

import dataclasses

from mustardloom import clock as clock_lib
from mustardloom.http1 import idle_eviction

_REASONS = idle_eviction.Standstill


@dataclasses.dataclass(eq=False)
class _Connection:
    reason: _REASONS | None
    since_ms: int = 0
    has_request: bool = False
    is_closed: bool = False

    def standstill(self) -> tuple[_REASONS, int] | None:
        return None if self.reason is None else (self.reason, self.since_ms)

    def evict(self) -> bool:
        self.is_closed = not self.has_request
        return self.is_closed


def _evict(connections: list[_Connection], now_ms: int) -> list[bool]:
    clock = clock_lib.FakeClock()
    clock.jump(now_ms - clock.now_ms())
    evictor = idle_eviction.IdleEvictor(
        connections, clock, idle_eviction.Patience(500, 1_000)
    )
    closed = evictor.evict()
    found = [each.is_closed for each in connections]
    assert closed == sum(found)
    return found


def test_connection_in_use_is_closed():
    """Guards against closing what runs, or what has just come."""
    connections = [
        _Connection(None),
        _Connection(_REASONS.UNUSED, 600),
        _Connection(_REASONS.IDLE, 600),
        _Connection(_REASONS.SLOW, 100),
    ]
    assert not any(_evict(connections, 1_000))


def test_kept_connection_goes_before_unused_ones():
    """Guards against a flood that ends the connections of other callers."""
    connections = [
        _Connection(_REASONS.IDLE, 0),
        _Connection(_REASONS.UNUSED, 900),
        _Connection(_REASONS.UNUSED, 100),
    ]
    assert _evict(connections, 1_000) == [False, False, True]


def test_slow_heads_keep_their_descriptors():
    """Guards against heads that never end while new callers wait."""
    connections = [
        _Connection(_REASONS.SLOW, 0),
        _Connection(_REASONS.SLOW, 500),
        _Connection(_REASONS.IDLE, 900),
    ]
    assert _evict(connections, 1_000) == [True, False, False]


def test_request_that_has_arrived_is_dropped():
    """Guards against counting as closed what goes on."""
    connections = [_Connection(_REASONS.IDLE, 0, has_request=True)]
    assert _evict(connections, 1_000) == [False]


def test_each_accept_looks_at_all_connections():
    """Guards against a scan for each connection that waits."""
    clock = clock_lib.FakeClock()
    scans = []

    class _Counting(_Connection):
        def standstill(self) -> tuple[_REASONS, int] | None:
            scans.append(self)
            return super().standstill()

    connections = [_Counting(None) for _ in range(100)]
    evictor = idle_eviction.IdleEvictor(
        connections, clock, idle_eviction.Patience()
    )
    for _ in range(50):
        evictor.evict()
    assert len(scans) == 100
