"""Reads the settings file that the platform places on each VM."""

from collections.abc import Callable
from collections.abc import Mapping
import os
import pathlib
from typing import TypeVar

from mustardloom import findings
from mustardloom import ids
from mustardloom.deployment import settings
from mustardloom.platform import durations
from mustardloom.platform import numbers

__all__ = ["ENVIRONMENT_VARIABLE", "parse", "read"]

ENVIRONMENT_VARIABLE = "MUSTARDLOOM_CONFIG"

# Limits that are not the platform's; see `settings.ProcessLimits`.
_OWN_LIMITS = (
    "pipelined_requests",
    "pipelined_requests_sum",
    "pipelined_percent",
    "partial_heads_percent",
    "header_fields_percent",
    "small_requests_percent",
)
_ZONE_PREFIX = "zones."
_REQUIRED_KEYS = (
    "node_id",
    "ip",
    "zone",
    "region",
    "listen.outbound",
    "listen.ready",
    "listen.control",
    "internal_ports",
    "app_addr",
    "service",
    "platform.address",
)
_MAX_PORT = 65_535
_Value = TypeVar("_Value")


def read(environment: Mapping[str, str] = os.environ) -> settings.Settings:
    """Reads the settings file whose path is in `MUSTARDLOOM_CONFIG`.

    Raises:
      findings.FindingsError: The file cannot be read or has faults.
    """
    path = environment.get(ENVIRONMENT_VARIABLE, "")
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        place = findings.Place(path or ENVIRONMENT_VARIABLE)
        finding = findings.Finding(place, f"cannot be read: {error}")
        raise findings.FindingsError([finding]) from error
    return parse(text, path)


def parse(text: str, source: str) -> settings.Settings:
    """Returns the settings in `text`; unknown keys are ignored.

    Args:
      text: Lines of `key=value`; those that start with # are comments.
      source: Path of the file, for findings.

    Raises:
      findings.FindingsError: The text has faults; lists all with their lines.
    """
    return _Reader(text, source).build()


def _address(text: str) -> settings.Address:
    host, colon, port = text.rpartition(":")
    if not (colon and host):
        raise ValueError(f"{text!r} is not host:port")
    return host, _port(port)


def _first_port(text: str) -> int:
    return _port(text.partition(",")[0])


def _port(text: str) -> int:
    stripped = text.strip()
    if not (stripped.isascii() and stripped.isdigit()):
        raise ValueError(f"{text!r} is not a port, a whole number")
    port = int(stripped)
    if not 0 < port <= _MAX_PORT:
        raise ValueError(f"port {port} is not between 1 and {_MAX_PORT}")
    return port


def _boolean(text: str) -> bool:
    match text.lower():
        case "true":
            return True
        case "false":
            return False
    raise ValueError(f"{text!r} is neither true nor false")


class _Reader:
    """Parses one file and collects its faults."""

    def __init__(self, text: str, source: str):
        self._source = source
        self._findings: list[findings.Finding] = []
        self._value_by_key: dict[str, str] = {}
        self._line_by_key: dict[str, int] = {}
        for number, line in enumerate(text.splitlines(), start=1):
            self._add_line(number, line)

    def build(self) -> settings.Settings:
        """Returns the settings.

        Raises:
          findings.FindingsError: The file has faults; lists all of them.
        """
        for key in _REQUIRED_KEYS:
            if not self._value_by_key.get(key):
                self._report(key, "is missing")
        no_address = ("", 0)
        result = settings.Settings(
            vm=ids.VmId(self._text("node_id")),
            ip=self._text("ip"),
            availability_zone=ids.AvailabilityZoneId(self._text("zone")),
            region=ids.RegionId(self._text("region")),
            region_by_zone=self._regions(),
            caller_address=self._get("listen.outbound", _address, no_address),
            readiness_address=self._get("listen.ready", _address, no_address),
            announcement_address=self._get(
                "listen.control", _address, no_address
            ),
            target_address=self._get("app_addr", _address, no_address),
            service=ids.ServiceId(self._text("service")),
            peer_port=self._get("internal_ports", _first_port, 0),
            store=self._store(),
            heartbeat_ms=self._get("heartbeat", durations.parse_ms, 1_000),
            bounds=self._bounds(),
            limits=self._limits(),
            is_first_start=self._get("bootstrap", _boolean, True),
        )
        findings.raise_if_any(self._findings)
        return result

    def _add_line(self, number: int, line: str) -> None:
        key, equals_sign, value = line.strip().partition("=")
        if not key or key.startswith("#"):
            return
        if not equals_sign:
            place = findings.Place(self._source, number)
            finding = findings.Finding(place, f"{key!r} has no value")
            self._findings.append(finding)
            return
        self._value_by_key[key.strip()] = value.strip()
        self._line_by_key[key.strip()] = number

    def _report(self, key: str, message: str) -> None:
        place = findings.Place(self._source, self._line_by_key.get(key, 0))
        self._findings.append(findings.Finding(place, f"{key}: {message}"))

    def _text(self, key: str) -> str:
        return self._value_by_key.get(key, "")

    def _get(
        self, key: str, convert: Callable[[str], _Value], default: _Value
    ) -> _Value:
        text = self._value_by_key.get(key)
        if not text:
            return default
        try:
            return convert(text)
        except ValueError as error:
            self._report(key, str(error))
            return default

    def _regions(self) -> dict[ids.AvailabilityZoneId, ids.RegionId]:
        return {
            ids.AvailabilityZoneId(key.removeprefix(_ZONE_PREFIX)): (
                ids.RegionId(value)
            )
            for key, value in self._value_by_key.items()
            if key.startswith(_ZONE_PREFIX)
        }

    def _store(self) -> settings.StoreSettings:
        return settings.StoreSettings(
            self._get("platform.address", _address, ("", 0)),
            self._get("platform.value_bytes", numbers.parse_count, 1_048_576),
        )

    def _limits(self) -> settings.ProcessLimits:
        defaults = settings.ProcessLimits()
        return settings.ProcessLimits(
            self._get(
                "limits.max_fds", numbers.parse_count, defaults.max_descriptors
            ),
            self._get(
                "limits.memory_mb", numbers.parse_count, defaults.memory_mb
            ),
            **{
                name: self._get(
                    f"limits.{name}",
                    numbers.parse_count,
                    getattr(defaults, name),
                )
                for name in _OWN_LIMITS
            },
        )

    def _bounds(self) -> settings.Bounds:
        defaults = settings.Bounds()
        for part in self._text("bounds").split(","):
            name, equals_sign, value = part.partition("=")
            if equals_sign:
                key = f"bounds.{name.strip()}"
                self._value_by_key[key] = value.strip()
                self._line_by_key[key] = self._line_by_key["bounds"]
        ms = durations.parse_ms
        return settings.Bounds(
            drain_ms=self._get("bounds.drain", ms, defaults.drain_ms),
            grace_ms=self._get("bounds.grace", ms, defaults.grace_ms),
            retry_ratio=self._get(
                "bounds.retry_budget_ratio",
                numbers.parse_number,
                defaults.retry_ratio,
            ),
            retry_window_ms=self._get(
                "bounds.budget_window", ms, defaults.retry_window_ms
            ),
            retry_minimum=self._get(
                "bounds.budget_min_retries",
                numbers.parse_number,
                defaults.retry_minimum,
            ),
            cold_factor=self._get(
                "bounds.cold_over", numbers.parse_number, defaults.cold_factor
            ),
            cold_slack=self._get(
                "bounds.cold_slack", numbers.parse_number, defaults.cold_slack
            ),
            hold_limit_ms=self._get(
                "bounds.hold_max", ms, defaults.hold_limit_ms
            ),
            quota_window_ms=self._get(
                "bounds.quota_window", ms, defaults.quota_window_ms
            ),
            quota_overage=self._get(
                "bounds.quota_overage",
                numbers.parse_number,
                defaults.quota_overage,
            ),
            quota_slack=self._get(
                "bounds.quota_slack", numbers.parse_number, defaults.quota_slack
            ),
        )
