"""Tests of the code that the binaries share."""

import json

from loguru import logger
import pytest

from mustardloom import findings
from mustardloom.cli import common


def _failing_check(message):
    def check():
        raise ValueError(message)

    return check


def test_all_faults_of_settings_are_reported_together():
    """Guards against reporting only the first fault of a binary's settings."""
    checks = [_failing_check("one"), lambda: None, _failing_check("two")]
    with pytest.raises(findings.FindingsError) as caught:
        common.check_settings(checks)
    assert str(caught.value) == "settings: one\nsettings: two"


def test_json_log_lines_can_be_parsed(capsys):
    """Guards against log lines that a collector cannot read."""
    common.set_up_logs(common.LogFormat.JSON)
    logger.info("state is {}", "ACTIVE")
    line = json.loads(capsys.readouterr().err)
    assert line["record"]["message"] == "state is ACTIVE"
    logger.remove()
