"""Passes over the tests that KNOWN-RED.txt lists, and names them.

Each line of the file is one entry: node id | command | seed | what was seen |
issue. Lines that start with # are comments.
"""

from collections.abc import Iterator
import pathlib

import pytest

_LIST = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
_SEPARATOR = "|"


def _known_red() -> Iterator[str]:
    for line in _LIST.read_text(encoding="utf-8").splitlines():
        if line.strip() and not line.startswith("#"):
            yield line.partition(_SEPARATOR)[0].strip()


def pytest_report_header() -> list[str]:
    """Returns one line per test that is passed over."""
    return [f"known red, passed over: {node_id}" for node_id in _known_red()]


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselects exactly the listed tests."""
    known = set(_known_red())
    red = [item for item in items if item.nodeid in known]
    if red:
        config.hook.pytest_deselected(items=red)
        items[:] = [item for item in items if item.nodeid not in known]
