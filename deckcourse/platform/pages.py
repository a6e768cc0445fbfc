"""Parsing of the store's replies. A malformed row doesn't prevent reading the others."""

from base64 import b64decode
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta, Raw, Struct

__all__ = ["Page", "StoredRow", "parse_page"]

# The value of a malformed row, which decodes to nothing valid. The row itself still supersedes an
# earlier one with the same key.
UNREADABLE_VALUE = b""
# The version of a row without a version.
NO_VERSION = 0
# The largest number that messages between peers can hold.
MAX_VERSION = 2**63 - 1

_Version = Annotated[int, Meta(ge=0, le=MAX_VERSION)]


@dataclass(frozen=True)
class StoredRow:
    """A row of the store; `gone` is true for a deleted one."""

    key: str
    version: int
    value: bytes
    gone: bool
    table: str


@dataclass(frozen=True)
class Page:
    """The rows of one reply of the store.

    Attributes:
      rows: the rows that have a key; a malformed one has an empty value.
      version: the newest version of the whole store.
      more: whether further pages follow.
      malformed: the number of malformed rows, with and without a key.
      empty: whether the reply contains no rows at all, malformed ones included.
    """

    rows: tuple[StoredRow, ...]
    version: int
    more: bool
    malformed: int
    empty: bool


class _Rows(Struct):
    """A reply; `ver` is the newest version of the whole store."""

    rows: list[Raw] = []
    ver: _Version = NO_VERSION
    more: bool = False


class _Key(Struct, kw_only=True):
    """The table and the key (`tlsKey`) of a row."""

    tlsKey: str  # noqa: N815
    table: str = ""


class _KeyAndVersion(_Key, kw_only=True):
    """The table, key and version of a row."""

    ver: _Version


class _Row(_KeyAndVersion, kw_only=True):
    """A complete row; deleted rows and the rows of a conflict have no value."""

    value: str | None = None
    gone: bool = False
    part: str = ""


def parse_page(body: bytes) -> Page | None:
    """Return the rows of a reply, None if the reply is malformed."""
    try:
        reply = msgspec.json.decode(body, type=_Rows)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    parsed = [_parse_row(each) for each in reply.rows]
    rows = tuple(row for row, _ in parsed if row is not None)
    malformed = sum(not is_valid for _, is_valid in parsed)
    return Page(rows, reply.ver, reply.more, malformed, not parsed)


def _parse_row(data: Raw) -> tuple[StoredRow | None, bool]:
    """Return a row, None if it has no key, and whether it is well-formed."""
    try:
        row = msgspec.json.decode(data, type=_Row)
        value = b64decode(row.value or "", validate=True)
        return StoredRow(row.tlsKey, row.ver, value, row.gone, row.table), True
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return _unreadable(data), False


def _unreadable(data: Raw) -> StoredRow | None:
    """Return a malformed row with its key and, if readable, its version; None without a key."""
    for row_type in (_KeyAndVersion, _Key):
        try:
            row_key = msgspec.json.decode(data, type=row_type)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            continue
        version = getattr(row_key, "ver", NO_VERSION)
        return StoredRow(row_key.tlsKey, version, UNREADABLE_VALUE, False, row_key.table)
    return None
