"""Tests of the replica."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from mustardloom import ids
from mustardloom import store as store_lib
from mustardloom.relay import replica as replica_lib


def _history(length):
    """Returns changes of three keys, one per version; some are deletions."""
    events = []
    for number in range(1, length + 1):
        value = None if number % 5 == 0 else str(number).encode()
        key = f"k/{number % 3}"
        events.append(store_lib.Event(key, ids.Version(number), value))
    return events


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.permutations(_history(12)), st.randoms(use_true_random=False))
def test_any_order_of_delivery_gives_the_newest_state(order, rng):
    """Guards against reverting to an older version after reordering."""
    replica = replica_lib.Replica()
    seen: dict[str, int] = {}
    for event in order:
        replica.apply([event], ids.Version(event.version - 1), event.version)
        if rng.random() < 0.5:
            replica.apply(
                [event], ids.Version(event.version - 1), event.version
            )
        for key in ("k/0", "k/1", "k/2"):
            version = replica.version_of(key)
            assert version >= seen.get(key, 0)
            seen[key] = version
    expected = {event.key: event for event in _history(12)}
    for key, event in expected.items():
        live = replica.get(key)
        assert (live.value if live else None) == event.value


def test_watermark_stops_at_a_gap():
    """Guards against a watermark above changes that were never received."""
    replica = replica_lib.Replica()
    history = _history(4)
    replica.apply(history[:1], ids.NO_VERSION, ids.Version(1))
    result = replica.apply(history[2:], ids.Version(2), ids.Version(4))
    assert result.gap
    assert replica.version == 1
    repaired = replica.apply(history, ids.Version(1), ids.Version(4))
    assert not repaired.gap
    assert replica.version == 4


def test_changes_after_include_deletions():
    """Guards against deleted objects that are kept by a peer."""
    source = replica_lib.Replica()
    source.apply(_history(10), ids.NO_VERSION, ids.Version(10))
    copy = replica_lib.Replica()
    copy.apply(_history(4), ids.NO_VERSION, ids.Version(4))
    copy.apply(source.changes_after(copy.version), copy.version, source.version)
    assert list(copy.select("k/")) != []
    assert sorted(copy.select("k/"), key=str) == sorted(
        source.select("k/"), key=str
    )


def test_listing_removes_objects_that_the_store_no_longer_has():
    """Guards against keeping objects deleted while the daemon was offline."""
    replica = replica_lib.Replica()
    replica.apply(_history(2), ids.NO_VERSION, ids.Version(2))
    remaining = store_lib.Versioned("k/1", ids.Version(1), b"1")
    listing = store_lib.Listing((remaining,), ids.Version(7))
    replica.apply_listing(listing, "k/", listing.version)
    assert replica.get("k/2") is None
    assert replica.get("k/1") is not None
    assert replica.version == 7
