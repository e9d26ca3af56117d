"""Tests that claims and ledger answer as their plain forms do.

Guards against a key that counts as free, granted or released because a lookup
or a result that was kept skips a range: two targets could hold the key.
"""

import itertools

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from mustardloom import ids
from mustardloom.deployment import targets
from mustardloom.keys import claims
from mustardloom.keys import grants
from mustardloom.keys import key_map
from mustardloom.keys import ledger
from mustardloom.keys import ranges
from mustardloom.keys.tests import heartbeats
from mustardloom.keys.tests import plain_claims

_VMS = [ids.VmId(f"vm-{number}") for number in range(3)]
_OWN = _VMS[0]
_STEP = key_map.KEY_COUNT // 16
# Few bounds, so that ranges often overlap, touch or are equal.
_BOUNDS = strategies.integers(0, 15)
_VM = strategies.sampled_from(_VMS)
_SPANS = strategies.tuples(_BOUNDS, _BOUNDS).map(sorted)
_TOKENS = strategies.sampled_from(["", "a", "b"])


def _keys(span):
    first, last = span
    return first * _STEP, (last + 1) * _STEP - 1


class Lookups(stateful.RuleBasedStateMachine):
    """Maps, releases and heartbeats in any order."""

    def __init__(self):
        super().__init__()
        self.plain = plain_claims.PlainClaims(_OWN)
        self.fast = claims.Claims(_OWN)
        self.now_ms = 1
        self.sequence = 0
        self.plain_ledger = plain_claims.PlainLedger()
        self.ledger = ledger.GrantLedger(heartbeats.INSTANCE)

    def both(self, call):
        for each in (self.plain, self.fast):
            call(each)

    @stateful.rule(
        cells=strategies.lists(
            strategies.tuples(
                _VM,
                strategies.sampled_from([ids.VmId(""), *_VMS]),
                strategies.integers(0, 3),
            ),
            min_size=16,
            max_size=16,
        ),
        moved=strategies.lists(strategies.booleans(), min_size=16, max_size=16),
        is_merged=strategies.booleans(),
    )
    def adopt(self, cells, moved, is_merged):
        old = self.fast.map
        version = old.version + 1
        rows = []
        for index, (owner, previous, fence) in enumerate(cells):
            first, last = _keys((index, index))
            known = old.row_of(first)
            row = key_map.Row(
                first,
                last,
                known.owner,
                known.fence,
                known.previous,
                known.previous_fence,
            )
            if moved[index] or not old.version:
                row = key_map.Row(first, last, owner, version, previous, fence)
            rows.append(row)
        if is_merged:
            rows = list(key_map.merge_adjacent(rows))
        new = key_map.KeyMap(version, tuple(rows), {_OWN: heartbeats.INSTANCE})
        self.both(lambda each: each.adopt(new))

    @stateful.rule(
        previous=_VM,
        spans=strategies.lists(strategies.tuples(_SPANS, _TOKENS), max_size=4),
        is_late=strategies.booleans(),
    )
    def record_release(self, previous, spans, is_late):
        release = claims.Release(
            previous,
            self.fast.map.version - is_late,
            tuple(
                ledger.ReleasedRange(first, last, token)
                for (first, last), token in (
                    (_keys(span), token) for span, token in spans
                )
            ),
        )
        self.both(lambda each: each.record_release(release))

    @stateful.rule(
        spans=strategies.lists(
            strategies.tuples(_SPANS, strategies.integers(-1, 1)), max_size=6
        ),
        is_reversed=strategies.booleans(),
    )
    def record_held(self, spans, is_reversed):
        held = []
        for span, ahead in spans:
            first, last = _keys(span)
            fence = max(0, self.fast.map.row_of(first).fence + ahead)
            if is_reversed:
                first, last = last, first
            held.append(targets.HeldRange(first, last, fence))
        if is_reversed:
            # A target that reports ranges without a key holds nothing.
            before = self.fast.pending_ranges
            self.fast.record_held(held)
            self.plain.record_held([])
            assert self.fast.pending_ranges == before
            return
        self.both(lambda each: each.record_held(held))
        self.plain_ledger.held = tuple(held)
        self.sequence += 1
        self.ledger.observe(
            heartbeats.heartbeat(self.sequence, held), self.now_ms
        )

    @stateful.rule(passed_ms=strategies.integers(0, 3_000))
    def expire(self, passed_ms):
        self.now_ms += passed_ms
        self.both(lambda each: each.expire(self.now_ms))

    @stateful.rule(lag=strategies.integers(0, 2))
    def start_countdowns(self, lag):
        known = self.fast.map.version - lag
        self.both(
            lambda each: each.start_countdowns(
                lambda version: version <= known, self.now_ms
            )
        )

    @stateful.rule(span=_SPANS, token=_TOKENS)
    def keep_handovers(self, span, token):
        first, last = _keys(span)
        fence = self.fast.map.row_of(first).fence
        parts = [ledger.ReleasedRange(first, last, token)]
        self.both(lambda each: each.keep_handovers(parts, fence))

    @stateful.rule()
    def drop_handovers(self):
        self.both(lambda each: each.drop_handovers())

    @stateful.rule(index=strategies.integers(0, 20))
    def grant(self, index):
        rows = list(self.fast.grantable())
        # As `grants.Grants` leaves out an idle key.
        if index < len(rows) and rows[index].width > 1:
            row = rows[index]
            rows[index] = key_map.Row(
                row.first, row.last - 1, row.owner, row.fence
            )
        self.plain_ledger.grant(rows, grants.HOLD_MS, self.now_ms)
        self.ledger.grant(rows, grants.HOLD_MS, self.now_ms)

    @stateful.invariant()
    def answers_are_equal(self):
        assert list(self.fast.pending_ranges) == self.plain.pending_ranges
        rows = list(self.plain.grantable())
        assert list(self.fast.grantable()) == rows
        for row in rows:
            assert list(self.fast.handovers(row)) == list(
                self.plain.handovers(row)
            )
        for index in range(16):
            first, last = _keys((index, index))
            for fence in {0, self.plain.free_fence[first]}:
                assert self.fast.can_confirm_release(
                    first, last, fence
                ) == self.plain.can_confirm_release(first, last, fence)
            for key in (first, last - 1, last):
                assert self.ledger.is_granted(
                    key, self.now_ms
                ) == self.plain_ledger.is_granted(key, self.now_ms)
            if self.now_ms < self.plain_ledger.until_ms:
                assert self.ledger.holds_none(
                    first, last, self.now_ms
                ) == self.plain_ledger.holds_none(first, last)


TestLookups = Lookups.TestCase
TestLookups.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=25, deadline=None
)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 20), strategies.integers(0, 20)
        )
    ),
    strategies.tuples(strategies.integers(0, 20), strategies.integers(0, 20)),
)
def test_key_ranges_answer_as_a_scan_does(found, asked):
    """Guards against ranges that overlap or contain each other."""
    found = [(low, high) for low, high in found if low <= high]
    first, last = min(asked), max(asked)
    looked_up = ranges.KeyRanges(found)
    assert looked_up.overlap(first, last) == any(
        low <= last and first <= high for low, high in found
    )
    assert looked_up.cover(first, last) == any(
        low <= first and last <= high for low, high in found
    )
    outside = {
        key
        for key in range(first, last + 1)
        if not any(low <= key <= high for low, high in found)
    }
    gaps = list(looked_up.gaps(first, last))
    assert {k for low, high in gaps for k in range(low, high + 1)} == outside
    # They are whole: none is empty, and none follows directly on another.
    bounds = [bound for gap in gaps for bound in gap]
    assert bounds == sorted(bounds)
    assert all(
        low > high + 1 for (_, high), (low, _) in itertools.pairwise(gaps)
    )
