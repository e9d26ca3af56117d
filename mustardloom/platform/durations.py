"""Durations as the platform writes them: a number with the unit ms or s."""

import re

from mustardloom.platform import numbers

__all__ = ["format_ms", "parse_ms"]

_MS_BY_UNIT = {"ms": 1, "s": 1_000}
_PATTERN = re.compile(r"(.+?)(ms|s)")


def parse_ms(text: object) -> int:
    """Returns a duration in milliseconds.

    Raises:
      ValueError: `text` is not a string, or not a number with a unit.

    Example:
      >>> parse_ms("2.5s"), parse_ms("870ms")
      (2500, 870)
    """
    found = _PATTERN.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError(
            f"{text!r} is not a duration, a number with the unit ms or s"
        )
    return round(numbers.parse_number(found[1]) * _MS_BY_UNIT[found[2]])


def format_ms(duration_ms: int) -> str:
    """Returns a duration in the platform's notation, in milliseconds."""
    return f"{duration_ms}ms"
