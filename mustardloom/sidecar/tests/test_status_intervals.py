"""Tests of how often daemons send statuses in fleets of different sizes."""

import pytest

from mustardloom.sidecar import status_intervals

_MS_PER_S = 1_000


def _statuses_per_s(same_region, other_regions):
    return same_region * _MS_PER_S / status_intervals.same_region_interval_ms(
        same_region
    ) + other_regions * _MS_PER_S / status_intervals.other_region_interval_ms(
        other_regions
    )


@pytest.mark.parametrize("region_size", [30, 60, 100])
def test_daemon_sends_no_more_statuses_in_a_larger_fleet(region_size):
    """Guards against traffic that grows with the fleet.

    Compares fleets of 90 to 300 VMs in three regions.
    """
    most = _statuses_per_s(30, 60)
    assert _statuses_per_s(region_size, 2 * region_size) <= most * 1.05


def test_daemons_of_small_fleets_send_statuses_often():
    """Guards against placement by outdated figures in a small fleet."""
    assert status_intervals.same_region_interval_ms(5) <= 500
    assert status_intervals.other_region_interval_ms(12) <= 1_200


def test_peers_of_a_very_large_fleet_still_get_statuses():
    """Guards against intervals that grow without a limit."""
    assert status_intervals.other_region_interval_ms(2_700) <= 20_000
