"""Decodes bytes from outside: one typed error for all that can be wrong.

Other writers may leave anything where a value is expected. A decoder that
raises one error for all of it lets its caller ignore that value alone.
"""

from collections.abc import Iterator
import re
from typing import TypeVar

import msgspec

__all__ = [
    "Undecodable",
    "decode_json",
    "decode_msgpack",
    "json_items",
    "json_list_parts",
    "json_members",
    "parse_digits",
]

_Value = TypeVar("_Value")
_Item = TypeVar("_Item")
# Of a long list of arrays, about this much is decoded in one step.
_PART_BYTES = 64 * 1_024
_ITEM_END = b"],"
# Whole numbers with more digits are taken for a mistake.
_MAX_DIGITS = 15
# What separates the parts of a JSON text, and its strings.
_TOKEN = re.compile(
    rb'"[^"\\]*(?:\\.[^"\\]*)*"|["\[\]{},:]', re.DOTALL | re.ASCII
)
_UNENDED_STRING = b'"'
_OPENING = b"[{"
_CLOSING = b"]}"


class Undecodable(ValueError):
    """The bytes are not a value of the expected type."""


def decode_json(data: bytes, type_: type[_Value]) -> _Value:
    """Returns the value of a JSON text.

    Raises:
      Undecodable: It is not JSON of this type, or is nested too deeply.

    Example:
      >>> decode_json(b"[1, 2]", list[int])
      [1, 2]
    """
    try:
        return msgspec.json.decode(data, type=type_)
    except (ValueError, RecursionError) as error:
        raise Undecodable(str(error)) from error


def decode_msgpack(
    data: bytes | bytearray | memoryview,
    decoder: "msgspec.msgpack.Decoder[_Value]",
) -> _Value:
    """Returns the value of a MessagePack text.

    Raises:
      Undecodable: It is not MessagePack of this type, or nested too deeply.
    """
    try:
        return decoder.decode(data)
    except (ValueError, RecursionError) as error:
        raise Undecodable(str(error)) from error


def parse_digits(text: bytes) -> int:
    """Returns a whole number of 0 or more, written in digits only.

    Raises:
      Undecodable: It is not such a number, or has too many digits.

    Example:
      >>> parse_digits(b"1200")
      1200
    """
    if not text.isdigit() or len(text) > _MAX_DIGITS:
        raise Undecodable(f"not a number of at most {_MAX_DIGITS} digits")
    return int(text)


def json_members(data: bytes) -> dict[str, bytes]:
    """Returns the members of a JSON object by name, not decoded.

    Their values may be nested to any depth.

    Raises:
      Undecodable: The text is not an object.

    Example:
      >>> json_members(b'{"a": [1], "b": {"c": 2}}')
      {'a': b'[1]', 'b': b'{"c": 2}'}
    """
    found: dict[str, bytes] = {}
    for part in _split(data, b"{"):
        name = _TOKEN.match(part)
        if name is None or part[name.end() :].lstrip()[:1] != b":":
            raise Undecodable("a member of an object has no name")
        value = part[name.end() :].lstrip()[1:].strip()
        found[decode_json(name[0], str)] = value
    return found


def json_items(data: bytes) -> Iterator[bytes]:
    """Yields the items of a JSON array, not decoded.

    They may be nested to any depth.

    Raises:
      Undecodable: The text is not an array.

    Example:
      >>> list(json_items(b'[1, [2, 3], "a,b"]'))
      [b'1', b'[2, 3]', b'"a,b"']
    """
    return _split(data, b"[")


def json_list_parts(
    data: bytes, decoder: "msgspec.json.Decoder[list[_Item]]", most_items: int
) -> Iterator[list[_Item]]:
    """Yields the items of a JSON array of arrays in parts.

    A long text takes far longer to decode than to split, so that its reader
    may do other work after each part.

    Args:
      data: The text.
      decoder: Decodes an array of items.
      most_items: Number of items above which the text is refused.

    Raises:
      Undecodable: The text is not an array of such items, or has too many.

    Example:
      >>> decoder = msgspec.json.Decoder(list[list[int]])
      >>> list(json_list_parts(b"[[1, 2], [3]]", decoder, 2))
      [[[1, 2], [3]]]
    """
    # Each item opens an array, so that a list that is far too long is refused
    # before memory is taken for its items.
    if data.count(b"[") - 1 > most_items:
        raise Undecodable(f"the list has more than {most_items} items")
    start = 0
    while (end := data.find(_ITEM_END, start + _PART_BYTES)) >= 0:
        part = data[start : end + 1] + b"]"
        try:
            yield _decode_list(part if start == 0 else b"[" + part, decoder)
        except Undecodable:
            # Perhaps inside a string, which then has no end in this part.
            break
        start = end + len(_ITEM_END)
    rest = data[start:]
    yield _decode_list(rest if start == 0 else b"[" + rest, decoder)


def _decode_list(
    data: bytes, decoder: "msgspec.json.Decoder[list[_Item]]"
) -> list[_Item]:
    try:
        return decoder.decode(data)
    except (ValueError, RecursionError) as error:
        raise Undecodable(str(error)) from error


def _split(data: bytes, opening: bytes) -> Iterator[bytes]:
    """Yields what stands between the commas of an object or array."""
    data = data.strip()
    if data[:1] != opening:
        raise Undecodable(f"the text does not begin with {opening.decode()}")
    depth = 0
    start = 1
    for token in _TOKEN.finditer(data):
        if token[0] == _UNENDED_STRING:
            raise Undecodable("the text has a string without an end")
        if token[0] in _OPENING:
            depth += 1
        elif token[0] in _CLOSING:
            depth -= 1
        is_end = depth == 0
        if is_end or (depth == 1 and token[0] == b","):
            part = data[start : token.start()].strip()
            if part:
                yield part
            start = token.end()
        if is_end:
            break
    if depth or start != len(data):
        raise Undecodable("the text has an incomplete value")
