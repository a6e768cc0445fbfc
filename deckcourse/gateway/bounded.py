"""Dictionaries of bounded size."""

from collections.abc import Hashable
from typing import TypeVar

__all__ = ["put_bounded"]

_Key = TypeVar("_Key", bound=Hashable)
_Value = TypeVar("_Value")


def put_bounded(entries: dict[_Key, _Value], key: _Key, value: _Value, max_entries: int) -> None:
    """Put an entry, and evict the least recently put ones beyond `max_entries`."""
    entries.pop(key, None)
    entries[key] = value
    while len(entries) > max_entries:
        del entries[next(iter(entries))]
