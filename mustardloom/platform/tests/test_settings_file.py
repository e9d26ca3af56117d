"""Numbers of the settings file: all forms that can be used start the daemon."""

import hypothesis
from hypothesis import strategies
import pytest

from mustardloom import findings
from mustardloom.deployment import settings
from mustardloom.platform import settings_file

_LINES = (
    "node_id=vm1",
    "ip=127.0.0.1",
    "zone=z1",
    "region=r1",
    "listen.outbound=127.0.0.1:8304",
    "listen.ready=127.0.0.1:8302",
    "listen.control=127.0.0.1:8306",
    "internal_ports=7620,7635",
    "app_addr=127.0.0.1:8301",
    "service=s1",
    "platform.address=10.200.1.7:8309",
)
_NUMBER_BY_KEY = {
    "retry_budget_ratio": "retry_ratio",
    "budget_min_retries": "retry_minimum",
    "cold_over": "cold_factor",
    "cold_slack": "cold_slack",
    "quota_overage": "quota_overage",
    "quota_slack": "quota_slack",
}
_DURATION_BY_KEY = {
    "drain": "drain_ms",
    "grace": "grace_ms",
    "budget_window": "retry_window_ms",
    "hold_max": "hold_limit_ms",
    "quota_window": "quota_window_ms",
}
_values = strategies.floats(min_value=0, max_value=1e9)
_formats = strategies.sampled_from(("{:.0f}", "{:.3f}", "{!r}", "{:e}", "{:E}"))
_broken_numbers = strategies.one_of(
    strategies.sampled_from(("nan", "inf", "-1", "1_000", "0x10", "1e99", "-")),
    strategies.text("abcxyz-:/;", min_size=1),
)


def _parse(*lines: str) -> settings.Settings:
    return settings_file.parse("\n".join((*_LINES, *lines)), "node.conf")


def _message(*lines: str) -> str:
    with pytest.raises(findings.FindingsError) as caught:
        _parse(*lines)
    return str(caught.value)


def test_fraction_of_a_count_does_not_end_the_daemon():
    """A bound shared by a fleet of another size is rarely a whole number."""
    read = _parse("bounds=budget_min_retries=30.714285714285715,cold_slack=5.5")
    assert read.bounds.retry_minimum == pytest.approx(30.714285714285715)
    assert read.bounds.cold_slack == 5.5


@hypothesis.given(
    strategies.sampled_from(sorted(_NUMBER_BY_KEY)), _values, _formats
)
def test_every_form_of_a_number_is_read(key, value, form):
    """Guards against a number that is valid in one key and fatal in another."""
    text = form.format(value)
    read = _parse(f"bounds={key}={text}")
    assert getattr(read.bounds, _NUMBER_BY_KEY[key]) == float(text)


@hypothesis.given(
    strategies.sampled_from(sorted(_DURATION_BY_KEY)),
    _values,
    _formats,
    strategies.sampled_from((("ms", 1), ("s", 1_000))),
)
def test_every_form_of_a_duration_is_read(key, value, form, unit):
    """Guards against durations that are read only as whole numbers."""
    name, ms = unit
    text = form.format(value)
    read = _parse(f"bounds={key}={text}{name}")
    expected_ms = round(float(text) * ms)
    assert getattr(read.bounds, _DURATION_BY_KEY[key]) == expected_ms


@hypothesis.given(
    strategies.sampled_from(
        (
            "limits.max_fds",
            "limits.memory_mb",
            "limits.pipelined_requests",
            "limits.pipelined_requests_sum",
            "limits.pipelined_percent",
            "limits.partial_heads_percent",
            "limits.header_fields_percent",
            "limits.small_requests_percent",
            "platform.value_bytes",
        )
    ),
    _values,
    _formats,
)
def test_every_form_of_a_limit_is_read(key, value, form):
    """Guards against a limit such as `memory_mb=552.0` that ends the daemon."""
    text = form.format(value)
    read = _parse(f"{key}={text}")
    by_key = {
        "limits.max_fds": read.limits.max_descriptors,
        "limits.memory_mb": read.limits.memory_mb,
        "limits.pipelined_requests": read.limits.pipelined_requests,
        "limits.pipelined_requests_sum": read.limits.pipelined_requests_sum,
        "limits.pipelined_percent": read.limits.pipelined_percent,
        "limits.partial_heads_percent": read.limits.partial_heads_percent,
        "limits.header_fields_percent": read.limits.header_fields_percent,
        "limits.small_requests_percent": read.limits.small_requests_percent,
        "platform.value_bytes": read.store.value_bytes,
    }
    assert by_key[key] == int(float(text))


@hypothesis.given(
    strategies.sampled_from(sorted((*_NUMBER_BY_KEY, *_DURATION_BY_KEY))),
    _broken_numbers,
)
def test_broken_bound_is_one_error_with_file_line_and_key(key, text):
    """Guards against a wrong value that is read as something else."""
    message = _message(f"bounds={key}={text}")
    line = len(_LINES) + 1
    assert message.count("\n") == 0
    assert message.startswith(f"node.conf:{line}: bounds.{key}: ")
    assert "number" in message or "larger" in message


@pytest.mark.parametrize("port", ["0", "65536", "8301.5", "-1", "x", "1e3"])
def test_port_that_cannot_be_bound_is_rejected(port):
    """A port is a name, not a quantity: fractions and exponents are faults."""
    assert "app_addr" in _message(f"app_addr=127.0.0.1:{port}")


@pytest.mark.parametrize(
    ("line", "is_first"),
    [("bootstrap=true", True), ("bootstrap=false", False), ("", True)],
)
def test_start_after_the_first_one_is_told_apart(line, is_first):
    """Guards against a new first map granted while a lost one is in use."""
    assert _parse(line).is_first_start is is_first
