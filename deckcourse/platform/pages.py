"""The store's answers with rows, each row read for itself: an odd one hides none of the others."""

from base64 import b64decode
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta, Raw, Struct

__all__ = ["Page", "StoredRow", "page_of"]

# The value of a row that can't be read: nothing is decoded from it, so that it says nothing. The
# row is there all the same, and what its key said before holds no longer.
UNREADABLE = b""
# The version of a row that names none.
NO_VERSION = 0
# The largest number that peers' frames carry.
LARGEST_VERSION = 2**63 - 1

_Version = Annotated[int, Meta(ge=0, le=LARGEST_VERSION)]


@dataclass(frozen=True)
class StoredRow:
    """A row of the store; `gone` says that it was removed."""

    key: str
    version: int
    value: bytes
    gone: bool
    table: str


@dataclass(frozen=True)
class Page:
    """An answer with rows.

    Attributes:
      rows: those that have a key, one that can't be read with no value.
      version: the newest version of the whole store.
      more: whether further rows follow.
      malformed: how many rows lack something.
      empty: whether the answer holds no rows at all.
    """

    rows: tuple[StoredRow, ...]
    version: int
    more: bool
    malformed: int
    empty: bool


class _Rows(Struct):
    """An answer; `ver` is the newest version of the whole store."""

    rows: list[Raw] = []
    ver: _Version = NO_VERSION
    more: bool = False


class _Place(Struct, kw_only=True):
    """What of a row says which one it is; `tlsKey` is its key."""

    tlsKey: str  # noqa: N815
    table: str = ""


class _Numbered(_Place, kw_only=True):
    """The version of a row beside that."""

    ver: _Version


class _Row(_Numbered, kw_only=True):
    """A whole row; a removed one and one of a conflict have no value."""

    value: str | None = None
    gone: bool = False
    part: str = ""


def page_of(body: bytes) -> Page | None:
    """Return an answer's rows, None where it is no such answer."""
    try:
        answer = msgspec.json.decode(body, type=_Rows)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    found = [_stored(each) for each in answer.rows]
    rows = tuple(row for row, _ in found if row is not None)
    malformed = sum(not whole for _, whole in found)
    return Page(rows, answer.ver, answer.more, malformed, not found)


def _stored(data: Raw) -> tuple[StoredRow | None, bool]:
    """Return a row, None without a key; and whether it is whole."""
    try:
        row = msgspec.json.decode(data, type=_Row)
        value = b64decode(row.value or "", validate=True)
        return StoredRow(row.tlsKey, row.ver, value, row.gone, row.table), True
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return _unreadable(data), False


def _unreadable(data: Raw) -> StoredRow | None:
    """Return a row of which only the key, or that and the version, can be read."""
    for kind in (_Numbered, _Place):
        try:
            place = msgspec.json.decode(data, type=kind)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            continue
        version = getattr(place, "ver", NO_VERSION)
        return StoredRow(place.tlsKey, version, UNREADABLE, False, place.table)
    return None
