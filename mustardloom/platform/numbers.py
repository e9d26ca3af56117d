"""Numbers of the platform: whole, with a fraction or with an exponent."""

import re

__all__ = ["parse_count", "parse_number"]

_PATTERN = re.compile(r"\+?(?:\d+\.?\d*|\.\d+)(?:[eE][+-]?\d+)?", re.ASCII)
# Larger numbers are taken for a mistake, and would not fit a float or a timer.
_MAX = 1e15


def parse_number(text: str) -> float:
    """Returns a number that is not negative.

    Raises:
      ValueError: `text` is not such a number, or is too large.

    Example:
      >>> parse_number("30.7"), parse_number("1.5e3")
      (30.7, 1500.0)
    """
    if _PATTERN.fullmatch(text) is None:
        raise ValueError(f"{text!r} is not a number of 0 or more")
    value = float(text)
    if value > _MAX:
        raise ValueError(f"{text!r} is larger than {_MAX:.0e}")
    return value


def parse_count(text: str) -> int:
    """Returns a number without its fraction, for limits on whole things.

    Raises:
      ValueError: `text` is not a number, or is too large.

    Example:
      >>> parse_count("552.9")
      552
    """
    return int(parse_number(text))
