"""Decodes what the store returns of many objects, each by itself.

Another writer may have left an object that cannot be decoded among the others.
"""

from collections.abc import Iterator
import dataclasses
from typing import Annotated

import msgspec

from mustardloom import decoding

__all__ = [
    "Changes",
    "Metadata",
    "Page",
    "StoredObject",
    "decode_changes",
    "decode_object",
    "decode_page",
]

# Versions keep the revision in this many bits.
_Revision = Annotated[int, msgspec.Meta(ge=0, le=(1 << 40) - 1)]


class Metadata(msgspec.Struct, omit_defaults=True):
    """What the store says of an object.

    Attributes:
      deleting: Set on a deleted object that is kept until its finalizers are
        removed.
    """

    name: str
    revision: _Revision = 0
    finalizers: list[str] = []
    deleting: bool = False


class StoredObject(msgspec.Struct):
    """An object; its value is decoded by whoever uses it."""

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class Page(msgspec.Struct):
    """A page of a listing.

    Attributes:
      truncated: Whether more objects follow.
      unreadable: Objects that were left out, as their metadata is not valid.
    """

    items: list[StoredObject]
    current_rev: _Revision
    truncated: bool = False
    unreadable: int = 0


class _Change(msgspec.Struct):
    object: StoredObject
    deleted: bool = False


class Changes(msgspec.Struct):
    """Answer to a watch.

    Attributes:
      unreadable: Changes that were left out.
    """

    events: list[_Change]
    current_rev: _Revision
    unreadable: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Entries:
    """The entries of an answer, each not decoded, and its other members."""

    items: list[bytes]
    member_by_name: dict[str, bytes]


def decode_page(data: bytes) -> Page:
    """Returns a page of a listing; leaves out objects that are not valid.

    Raises:
      decoding.Undecodable: The page itself is not valid.
    """
    try:
        page = decoding.decode_json(data, Page)
    except decoding.Undecodable:
        return _page_by_entry(_entries(data, "items"))
    page.unreadable = 0
    return page


def decode_changes(data: bytes) -> Changes:
    """Returns the answer to a watch; leaves out changes that are not valid.

    Raises:
      decoding.Undecodable: The answer itself is not valid.
    """
    try:
        changes = decoding.decode_json(data, Changes)
    except decoding.Undecodable:
        return _changes_by_entry(_entries(data, "events"))
    changes.unreadable = 0
    return changes


def decode_object(data: bytes) -> StoredObject:
    """Returns one object, whatever its value is.

    Raises:
      decoding.Undecodable: Its metadata is not valid.
    """
    try:
        return decoding.decode_json(data, StoredObject)
    except decoding.Undecodable:
        member_by_name = decoding.json_members(data)
        metadata = decoding.json_members(member_by_name.get("metadata", b""))
        return StoredObject(
            Metadata(
                decoding.decode_json(metadata.get("name", b""), str),
                decoding.decode_json(metadata.get("revision", b"0"), _Revision),
            ),
            msgspec.Raw(member_by_name.get("spec", b"null")),
        )


def _entries(data: bytes, name: str) -> _Entries:
    member_by_name = decoding.json_members(data)
    items = list(decoding.json_items(member_by_name.get(name, b"")))
    return _Entries(items, member_by_name)


def _page_by_entry(entries: _Entries) -> Page:
    items = list(_readable_objects(entries.items))
    return Page(
        items,
        _revision(entries),
        entries.member_by_name.get("truncated") == b"true",
        len(entries.items) - len(items),
    )


def _changes_by_entry(entries: _Entries) -> Changes:
    events = list(_readable_changes(entries.items))
    return Changes(events, _revision(entries), len(entries.items) - len(events))


def _revision(entries: _Entries) -> int:
    data = entries.member_by_name.get("current_rev", b"")
    return decoding.decode_json(data, _Revision)


def _readable_objects(items: list[bytes]) -> Iterator[StoredObject]:
    for item in items:
        try:
            yield decode_object(item)
        except decoding.Undecodable:
            continue


def _readable_changes(items: list[bytes]) -> Iterator[_Change]:
    for item in items:
        try:
            member_by_name = decoding.json_members(item)
            found = decode_object(member_by_name.get("object", b""))
        except decoding.Undecodable:
            continue
        yield _Change(found, member_by_name.get("deleted") == b"true")
