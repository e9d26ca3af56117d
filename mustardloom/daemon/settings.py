"""Settings of the daemon, checked together before the start."""

from collections.abc import Iterator
import dataclasses
import ipaddress
import urllib.parse

from mustardloom import findings
from mustardloom import ids
from mustardloom.membership import records

__all__ = ["DaemonSettings", "RawSettings", "check"]

_MAX_PORT = 65_535
_MIN_KEY_BYTES = 8
# Separators in member ids, group ids, store keys and lines of operators.
_NAME_SEPARATORS = "~/@+ "


def check(raw: "RawSettings") -> "DaemonSettings":
    """Returns the checked settings.

    Raises:
      findings.FindingsError: Settings are not valid; there is a finding for
        each fault, with the flag as its place.
    """
    findings.raise_if_any(_find_faults(raw))
    return DaemonSettings(
        vm=ids.VmId(raw.vm),
        region=ids.RegionId(raw.region),
        availability_zone=ids.AvailabilityZoneId(raw.availability_zone),
        platform_url=raw.platform,
        caller_address=_parse_address(raw.caller_address),
        peer_address=_parse_address(raw.peer_address),
        admin_address=_parse_address(raw.admin_address),
        fleet_key=raw.fleet_key.encode(),
        seeds=tuple(map(_parse_address, raw.seeds)),
        statsd=_parse_address(raw.statsd) if raw.statsd else None,
        drain_timeout_ms=raw.drain_timeout_ms,
        log_intervals=raw.log_intervals,
    )


def _find_faults(raw: "RawSettings") -> Iterator[findings.Finding]:
    yield from _name_faults("--vm", raw.vm)
    yield from _name_faults("--region", raw.region)
    yield from _name_faults("--availability-zone", raw.availability_zone)
    yield from _url_faults("--platform", raw.platform)
    yield from _address_faults("--caller-address", raw.caller_address)
    yield from _address_faults("--peer-address", raw.peer_address)
    yield from _address_faults("--admin-address", raw.admin_address)
    for seed in raw.seeds:
        yield from _address_faults("--seed", seed)
    if raw.statsd:
        yield from _address_faults("--statsd", raw.statsd)
    yield from _same_address_faults(raw)
    if len(raw.fleet_key.encode()) < _MIN_KEY_BYTES:
        message = f"needs at least {_MIN_KEY_BYTES} bytes"
        yield _finding("--fleet-key", message)
    if raw.drain_timeout_ms < 0:
        yield _finding("--drain-timeout-ms", "must not be negative")


def _finding(flag: str, message: str) -> findings.Finding:
    return findings.Finding(findings.Place(flag), message)


def _name_faults(flag: str, name: str) -> Iterator[findings.Finding]:
    if not name:
        yield _finding(flag, "is missing")
    used = sorted(set(name) & set(_NAME_SEPARATORS))
    if used:
        yield _finding(flag, f"{name!r} must not contain {''.join(used)!r}")


def _url_faults(flag: str, url: str) -> Iterator[findings.Finding]:
    parsed = urllib.parse.urlsplit(url)
    if parsed.scheme not in ("http", "https") or not parsed.netloc:
        yield _finding(flag, f"{url!r} is not an HTTP address")


def _address_faults(flag: str, text: str) -> Iterator[findings.Finding]:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        yield _finding(flag, f"{text!r} has no IP address before the port")
    if not port.isdecimal() or not 0 < int(port) <= _MAX_PORT:
        yield _finding(flag, f"{text!r} has no port from 1 to {_MAX_PORT}")


def _same_address_faults(raw: "RawSettings") -> Iterator[findings.Finding]:
    flag_by_address: dict[str, str] = {}
    for flag, address in (
        ("--caller-address", raw.caller_address),
        ("--peer-address", raw.peer_address),
        ("--admin-address", raw.admin_address),
    ):
        other = flag_by_address.setdefault(address, flag)
        if other != flag:
            yield _finding(flag, f"{address!r} is also given to {other}")


def _parse_address(text: str) -> records.Address:
    host, _, port = text.rpartition(":")
    return records.Address(host.strip("[]"), int(port))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RawSettings:
    """Settings as given by flags and environment variables, not checked."""

    vm: str
    region: str
    availability_zone: str
    platform: str
    caller_address: str
    peer_address: str
    admin_address: str
    fleet_key: str
    seeds: tuple[str, ...] = ()
    statsd: str = ""
    drain_timeout_ms: int = 30_000
    log_intervals: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DaemonSettings:
    """Checked settings.

    Attributes:
      vm: Name of the VM.
      region: Region of the availability zone.
      availability_zone: Availability zone of the VM.
      platform_url: Base address of the platform's object API.
      caller_address: Where the ingress listens.
      peer_address: Where other daemons connect, TCP and UDP.
      admin_address: Where the target and operators connect.
      fleet_key: Key shared by all daemons.
      seeds: Peers to load the replica from if the store is down at the start.
      statsd: Where metrics are sent, None to send none.
      drain_timeout_ms: Longest duration of a drain, which SIGTERM starts.
      log_intervals: Whether to keep the log of owner intervals.
    """

    vm: ids.VmId
    region: ids.RegionId
    availability_zone: ids.AvailabilityZoneId
    platform_url: str
    caller_address: records.Address
    peer_address: records.Address
    admin_address: records.Address
    fleet_key: bytes
    seeds: tuple[records.Address, ...]
    statsd: records.Address | None
    drain_timeout_ms: int
    log_intervals: bool
