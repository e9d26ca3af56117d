"""Deselects the tests that KNOWN-RED.txt lists, and prints their names.

Each line of the file is one entry: node id | command | seed | what was seen |
issue. Lines that start with # are comments.
"""

from collections.abc import Iterator
import pathlib

import pytest

_KNOWN_RED_FILE = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
_SEPARATOR = "|"


def _known_red_node_ids() -> Iterator[str]:
    for line in _KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines():
        if line.strip() and not line.startswith("#"):
            yield line.partition(_SEPARATOR)[0].strip()


def pytest_report_header() -> list[str]:
    """Returns one line per listed test."""
    return [
        f"known red, deselected: {node_id}" for node_id in _known_red_node_ids()
    ]


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselects exactly the listed tests."""
    known = set(_known_red_node_ids())
    red = [item for item in items if item.nodeid in known]
    if red:
        config.hook.pytest_deselected(items=red)
        items[:] = [item for item in items if item.nodeid not in known]
