"""The record of a case: what was sent, answered and run."""

import asyncio
import pathlib
from typing import Any

__all__ = ["Record"]


class Record:
    """Writes one line for each event, with the time since the start.

    Attributes:
      events: Time in seconds, name and fields of each event so far.
    """

    def __init__(self, path: pathlib.Path):
        self.events: list[tuple[float, str, dict[str, Any]]] = []
        self._file = path.open("w")
        self._began: float | None = None

    def now(self) -> float:
        """Returns the time since the start in seconds."""
        now = asyncio.get_running_loop().time()
        if self._began is None:
            self._began = now
        return now - self._began

    def write(self, event: str, **fields: Any) -> float:
        """Adds an event; returns its time."""
        at = self.now()
        self.events.append((at, event, fields))
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        print(f"{at:8.3f} {event} {text}", file=self._file, flush=True)
        return at
