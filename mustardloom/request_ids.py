"""Ids of non-idempotent requests: UUIDs of version 7 (RFC 9562)."""

from collections.abc import Callable
import re
import secrets

from mustardloom import ids

__all__ = ["from_int", "new_request_id", "parse", "timestamp_ms", "to_int"]

_VERSION = 7
_VARIANT = 0b10
_TIME_BITS = 48
_RANDOM_A_BITS = 12
_RANDOM_B_BITS = 62
_PATTERN = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)


def new_request_id(
    wall_ms: int, random_bits: Callable[[int], int] = secrets.randbits
) -> ids.RequestId:
    """Returns a new id with the timestamp `wall_ms`.

    Args:
      wall_ms: Time in ms since the Unix epoch.
      random_bits: Returns an integer of the given number of random bits.

    Example:
      >>> timestamp_ms(new_request_id(1_700_000_000_000))
      1700000000000
    """
    number = wall_ms & ((1 << _TIME_BITS) - 1)
    number = number << 4 | _VERSION
    number = number << _RANDOM_A_BITS | random_bits(_RANDOM_A_BITS)
    number = number << 2 | _VARIANT
    number = number << _RANDOM_B_BITS | random_bits(_RANDOM_B_BITS)
    return from_int(number)


def from_int(number: int) -> ids.RequestId:
    """Returns the id whose 128 bits are `number`."""
    text = f"{number:032x}"
    parts = (text[:8], text[8:12], text[12:16], text[16:20], text[20:])
    return ids.RequestId("-".join(parts))


def to_int(request_id: ids.RequestId) -> int | None:
    """Returns the 128 bits of an id as an integer, None if it is not valid.

    Example:
      >>> to_int(ids.RequestId("7")) is None
      True
    """
    try:
        return int(parse(request_id).replace("-", ""), 16)
    except ValueError:
        return None


def parse(text: str) -> ids.RequestId:
    """Returns the id in lower case, so that equal ids have one spelling.

    Raises:
      ValueError: `text` is not a UUID of version 7.
    """
    lowered = text.strip().lower()
    if not _PATTERN.fullmatch(lowered):
        raise ValueError(f"not a UUID of version 7: {text[:64]!r}")
    return ids.RequestId(lowered)


def timestamp_ms(request_id: ids.RequestId) -> int:
    """Returns when the id was created, in ms since the Unix epoch."""
    return int(request_id[:8] + request_id[9:13], 16)
