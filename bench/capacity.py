"""Computes docs/CAPACITY.md from the measured figures."""

from collections.abc import Iterator
import dataclasses
import pathlib

import msgspec

from bench import measurement

__all__ = ["main"]

_PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"
_TEMPLATE = pathlib.Path(__file__).parent / "capacity.template.md"

_DAEMONS = 2_700
_MEASURED_DAEMONS = 120
_ZONES = 16
_KEY_COUNT = 1.9e9
_REQUESTS_PER_S = 15e6
_CHANGES_PER_DAY = 1_400
_RESTARTS_PER_DAY = 603
_SLOT_COUNT = 65_440
_DAY_S = 86_400
_IP_UDP_HEADER_BYTES = 28
_DATAGRAM_BYTES = 80
_WITNESSES = 3
_RENEWALS_PER_S = 2
# Writes of member records per restart: its own four (created, active, leaving,
# deleted), and one by each of three members that replace it as a witness.
_RECORD_WRITES = 7
# Each change is pushed by the two watchers of the zone and by its writer.
_PUSHED_COPIES = 3
_WATCH_WAIT_S = 10
_WATCHERS_PER_ZONE = 2
_STORE_WRITES_PER_S = 400
_LEASE_S = 1.55
_FENCING_QUERY_S = 0.1
_ID_BYTES = 98
_RETENTION_S = 120
_NON_IDEMPOTENT_SHARE = 0.2
_BYTES_PER_MB = 1e6
_MS_PER_S = 1_000
_US_PER_S = 1e6


def main() -> None:
    """Fills the template with figures and writes the page.

    Raises:
      ValueError: The template does not use one of the figures.
    """
    path = measurement.DIRECTORY / "summary.json"
    figures: dict[str, float] = msgspec.json.decode(path.read_bytes())
    text = _TEMPLATE.read_text(encoding="utf-8")
    for value in _values(figures):
        marker = "{" + value.name + "}"
        if marker not in text:
            raise ValueError(f"{_TEMPLATE} does not use {marker}")
        text = text.replace(marker, value.text)
    _PAGE.write_text(text, encoding="utf-8")


@dataclasses.dataclass(frozen=True, slots=True)
class _Value:
    """A number that replaces the marker `{name}` in the template."""

    name: str
    number: float
    format_spec: str = ",.0f"

    @property
    def text(self) -> str:
        """The number as it is printed in the page."""
        return format(self.number, self.format_spec)


def _values(figures: dict[str, float]) -> Iterator[_Value]:
    yield from _measured_values(figures)
    yield from _control_values(figures)
    yield from _store_values(figures)
    yield from _request_values(figures)


def _measured_values(figures: dict[str, float]) -> Iterator[_Value]:
    format_specs = {
        "control_cpu_share_of_core": ".2%",
        "control_cpu_slope_per_daemon": ".6f",
        "control_rss_mb": ".1f",
        "control_rss_slope_mb_per_daemon": ".3f",
        "control_bytes_per_s": ",.0f",
        "control_bytes_slope_per_daemon": ".2f",
        "control_store_calls_per_s": ".1f",
        "control_store_calls_az_lost_per_s": ".1f",
        "config_in_force_120_daemons_s": ".2f",
        "scale_state_mb": ".1f",
        "scale_datagram_round_ms": ".4f",
        "scale_apply_member_ms": ".3f",
        "scale_apply_chunk_ms": ".2f",
        "scale_chunk_bytes": ",.0f",
        "scale_member_record_bytes": ",.0f",
        "scale_chunk_count": ",.0f",
        "scale_reconcile_idle_ms": ".3f",
        "scale_reconcile_idle_candidate_ms": ".1f",
        "scale_reconcile_after_change_ms": ".1f",
        "scale_plan_after_zone_loss_ms": ",.0f",
        "loss_vm_served_again_worst_s": ".2f",
        "loss_az_served_again_worst_s": ".2f",
        "request_cpu_us": ",.0f",
        "ingress_cpu_us": ",.0f",
        "gate_cpu_us": ",.0f",
    }
    for name, format_spec in format_specs.items():
        yield _Value(name, figures[name], format_spec)


def _control_values(figures: dict[str, float]) -> Iterator[_Value]:
    slope = figures["control_cpu_slope_per_daemon"]
    share = figures["control_cpu_share_of_core"]
    yield _Value("control_cpu_fixed", share - slope * _MEASURED_DAEMONS, ".2%")
    peers_mb = figures["control_rss_slope_mb_per_daemon"] * (
        _DAEMONS - _MEASURED_DAEMONS
    )
    yield _Value("peers_mb", peers_mb)
    datagrams_per_s = 4 * _WITNESSES * _RENEWALS_PER_S
    datagram_bytes = _DATAGRAM_BYTES + _IP_UDP_HEADER_BYTES
    lease_bytes = datagrams_per_s * datagram_bytes / 2
    lease_cpu = datagrams_per_s / 2 * figures["scale_datagram_round_ms"]
    slots_each = _SLOT_COUNT / _DAEMONS
    chunk_writes = 4 * slots_each
    events_per_s = _RESTARTS_PER_DAY * (chunk_writes + _RECORD_WRITES) / _DAY_S
    chunk_bytes = chunk_writes * figures["scale_chunk_bytes"]
    record_bytes = _RECORD_WRITES * figures["scale_member_record_bytes"]
    change_bytes = _RESTARTS_PER_DAY * (chunk_bytes + record_bytes) / _DAY_S
    apply_ms = (
        chunk_writes * figures["scale_apply_chunk_ms"]
        + _RECORD_WRITES * figures["scale_apply_member_ms"]
    )
    change_cpu = _RESTARTS_PER_DAY * apply_ms / _DAY_S
    pass_cpu = events_per_s * figures["scale_reconcile_after_change_ms"]
    total_cpu = lease_cpu + change_cpu + pass_cpu
    yield _Value("lease_bytes_per_s", lease_bytes)
    yield _Value("lease_cpu_share", lease_cpu / _MS_PER_S, ".3%")
    yield _Value("change_events_per_s", events_per_s, ".2f")
    yield _Value("change_bytes_per_s", change_bytes * _PUSHED_COPIES)
    yield _Value("change_bytes_one_copy_per_s", change_bytes)
    yield _Value("change_cpu_share", change_cpu / _MS_PER_S, ".3%")
    yield _Value("pass_cpu_share", pass_cpu / _MS_PER_S, ".3%")
    yield _Value("planned_cpu_share", total_cpu / _MS_PER_S, ".2%")
    yield _Value(
        "planned_bytes_per_s", lease_bytes + change_bytes * _PUSHED_COPIES
    )
    yield _Value("slots_each", slots_each, ".1f")
    yield _Value("keys_per_slot", _KEY_COUNT / _SLOT_COUNT)


def _store_values(figures: dict[str, float]) -> Iterator[_Value]:
    watchers = _ZONES * _WATCHERS_PER_ZONE
    zone_members = _DAEMONS / _ZONES
    zone_writes = zone_members + figures["scale_chunk_count"]
    writes_s = zone_writes / _STORE_WRITES_PER_S
    slots_each = _SLOT_COUNT / _DAEMONS
    writes_per_day = (
        _RESTARTS_PER_DAY * (4 * slots_each + _RECORD_WRITES) + _CHANGES_PER_DAY
    )
    yield _Value("watchers", watchers)
    yield _Value("watch_calls_per_s", watchers / _WATCH_WAIT_S, ".1f")
    yield _Value("zone_members", zone_members)
    yield _Value("zone_writes", zone_writes)
    yield _Value("zone_writes_s", writes_s, ".1f")
    yield _Value(
        "zone_served_s",
        _LEASE_S
        + _FENCING_QUERY_S
        + figures["scale_plan_after_zone_loss_ms"] / _MS_PER_S
        + writes_s,
        ".1f",
    )
    yield _Value("store_writes_per_s", writes_per_day / _DAY_S, ".2f")


def _request_values(figures: dict[str, float]) -> Iterator[_Value]:
    each_per_s = _REQUESTS_PER_S / _DAEMONS
    cores = each_per_s * figures["request_cpu_us"] / _US_PER_S
    ids_each = each_per_s * _NON_IDEMPOTENT_SHARE * _RETENTION_S
    yield _Value("requests_each_per_s", each_per_s)
    yield _Value("requests_per_core_s", _US_PER_S / figures["request_cpu_us"])
    yield _Value("request_cores", cores, ".1f")
    yield _Value("ids_each", ids_each)
    yield _Value("ids_mb", ids_each * _ID_BYTES / _BYTES_PER_MB, ".1f")


if __name__ == "__main__":
    main()
