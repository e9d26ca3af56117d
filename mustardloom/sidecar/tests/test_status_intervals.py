"""Tests of how much daemons tell each other as the fleet grows."""

import pytest

from mustardloom.sidecar import status_intervals

_MS_PER_S = 1_000


def _messages_per_s(near, far):
    return near * _MS_PER_S / status_intervals.same_region_interval_ms(
        near
    ) + far * _MS_PER_S / status_intervals.other_region_interval_ms(far)


@pytest.mark.parametrize("region_size", [30, 60, 100])
def test_one_daemon_tells_no_more_in_a_larger_fleet(region_size):
    """Replays fleets of 90 to 300 VMs in three regions."""
    most = _messages_per_s(30, 60)
    assert _messages_per_s(region_size, 2 * region_size) <= most * 1.05


def test_small_fleets_hear_of_each_other_often():
    """Guards against placement by old figures where messages are few."""
    assert status_intervals.same_region_interval_ms(5) <= 500
    assert status_intervals.other_region_interval_ms(12) <= 1_200


def test_nobody_is_forgotten():
    """Guards against peers of a very large fleet that hear nothing."""
    assert status_intervals.other_region_interval_ms(2_700) <= 20_000
