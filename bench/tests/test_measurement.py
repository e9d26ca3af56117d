"""Tests of the files that store figures."""

import msgspec

from bench import measurement


def test_breaches_of_all_scenarios_are_summed(tmp_path):
    """Guards against a clean scenario that hides another one's breaches."""
    for name, breaches in (("a", 2), ("b", 0), ("a", 1)):
        figures = {"double_runs": breaches, f"{name}_ms": 5}
        saved = measurement.Measurement(
            name=name, definition="", figures=figures, table=()
        )
        measurement.save(saved, tmp_path)
    summary = msgspec.json.decode((tmp_path / "summary.json").read_bytes())
    assert summary == {"a_ms": 5, "b_ms": 5, "double_runs": 1}
