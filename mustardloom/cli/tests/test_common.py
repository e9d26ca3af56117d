"""Tests of the pieces that all binaries share."""

import json

from loguru import logger
import pytest

from mustardloom import findings
from mustardloom.cli import common


def _refuse(message):
    def check():
        raise ValueError(message)

    return check


def test_all_faults_of_settings_are_reported_together():
    """Guards against fixing the settings of a binary one at a time."""
    checks = [_refuse("one"), lambda: None, _refuse("two")]
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
