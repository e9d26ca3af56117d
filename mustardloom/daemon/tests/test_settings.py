"""Tests of the daemon's settings."""

import dataclasses

import pytest

from mustardloom import findings
from mustardloom.daemon import settings

_VALID = settings.RawSettings(
    vm="salio-1",
    region="pwani",
    availability_zone="pwani-1",
    platform="http://127.0.0.1:6000",
    caller_address="127.0.0.1:7000",
    peer_address="127.0.0.1:7001",
    admin_address="127.0.0.1:7002",
    fleet_key="a fleet key",
)


def _flags_with_faults(raw):
    with pytest.raises(findings.FindingsError) as caught:
        settings.check(raw)
    return [finding.place.source for finding in caught.value.findings]


def test_valid_settings_are_accepted():
    """Guards against a check that rejects valid settings."""
    checked = settings.check(_VALID)
    assert checked.peer_address.port == 7001


def test_all_faults_are_reported_together():
    """Guards against reporting only the first fault."""
    raw = dataclasses.replace(
        _VALID,
        vm="",
        region="pwani+ziwa",
        platform="ftp://x",
        caller_address="localhost:7000",
        admin_address="127.0.0.1:0",
        fleet_key="short",
        drain_timeout_ms=-1,
    )
    assert _flags_with_faults(raw) == [
        "--vm",
        "--region",
        "--platform",
        "--caller-address",
        "--admin-address",
        "--fleet-key",
        "--drain-timeout-ms",
    ]


def test_address_used_twice_is_rejected():
    """Guards against a start that fails after opening some addresses."""
    raw = dataclasses.replace(_VALID, admin_address=_VALID.peer_address)
    assert _flags_with_faults(raw) == ["--admin-address"]
