"""Tests of the daemon's settings."""

import dataclasses

import pytest

from mustardloom import findings
from mustardloom.daemon import settings

_GOOD = settings.RawSettings(
    vm="salio-1",
    region="pwani",
    availability_zone="pwani-1",
    platform="http://127.0.0.1:6000",
    caller_address="127.0.0.1:7000",
    peer_address="127.0.0.1:7001",
    admin_address="127.0.0.1:7002",
    fleet_key="a fleet key",
)


def _places(raw):
    with pytest.raises(findings.FindingsError) as caught:
        settings.check(raw)
    return [finding.place.source for finding in caught.value.findings]


def test_good_settings_are_accepted():
    """Guards against a check that refuses everything."""
    checked = settings.check(_GOOD)
    assert checked.peer_address.port == 7001


def test_all_faults_are_reported_together():
    """Guards against one start attempt per fault."""
    raw = dataclasses.replace(
        _GOOD,
        vm="",
        region="pwani+ziwa",
        platform="ftp://x",
        caller_address="localhost:7000",
        admin_address="127.0.0.1:0",
        fleet_key="short",
        drain_timeout_ms=-1,
    )
    assert _places(raw) == [
        "--vm",
        "--region",
        "--platform",
        "--caller-address",
        "--admin-address",
        "--fleet-key",
        "--drain-timeout-ms",
    ]


def test_two_uses_of_one_address_are_refused():
    """Guards against a daemon that fails halfway through its start."""
    raw = dataclasses.replace(_GOOD, admin_address=_GOOD.peer_address)
    assert _places(raw) == ["--admin-address"]
