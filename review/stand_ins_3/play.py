"""Plays a case and turns its outcome into the exit code of its script."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import sys
import tempfile
from typing import NoReturn

from review.stand_ins_3 import fleet as fleet_lib
from review.stand_ins_3 import record as record_lib

__all__ = ["run"]

_LIMIT_S = 110.0
_HELD = 0
_BROKEN = 1
_COULD_NOT_RUN = 2

# Plays the case with or without the disruption; returns what broke the rule.
Case = Callable[[pathlib.Path, record_lib.Record, bool], Awaitable[list[str]]]


def run(case: Case, folder: pathlib.Path) -> NoReturn:
    """Plays a case, writes `record.txt` in its folder and ends the process."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = record_lib.Record(folder / "record.txt")
    with tempfile.TemporaryDirectory() as temporary:
        try:
            broken = asyncio.run(
                asyncio.wait_for(
                    case(pathlib.Path(temporary), record, has_trouble), _LIMIT_S
                )
            )
        except (fleet_lib.CannotRun, TimeoutError, OSError) as error:
            print(f"could not run: {error!r}")
            sys.exit(_COULD_NOT_RUN)
        if os.environ.get("KEEP_LOGS"):
            for log in pathlib.Path(temporary).glob("*.log"):
                print(log.name, log.read_text(), sep="\n")
    for each in broken:
        print(f"broken: {each}")
    if not broken:
        print("held")
    sys.exit(_BROKEN if broken else _HELD)
