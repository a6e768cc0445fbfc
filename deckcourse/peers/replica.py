"""A copy of one of the store's tables: rows, the changes of late, and up to when it is true."""

from collections import deque
from typing import Annotated

import msgspec
from msgspec import Meta

from deckcourse.table import Row

__all__ = ["TableReplica", "TableUpdate", "Version"]

# The changes that are kept for others who are a little behind, bytes; whoever is further behind
# gets all rows.
LARGEST_LOG = 512 * 1024
# Rows that an update holds at the most: small ones take 50 times as much memory as bytes.
MOST_ROWS = 65_536
# What a change takes beside its value, bytes.
CHANGE_BYTES = 100


Version = Annotated[int, Meta(ge=0)]


class TableUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What changed in a table after version `after` and up to `version`; all rows where it is None.

    A row is its key, its value and the version of its last change; no value where it is gone.
    """

    table: str
    after: Version | None
    version: Version
    rows: Annotated[tuple[tuple[str, bytes | None, Version], ...], Meta(max_length=MOST_ROWS)] = ()


def _size(update: TableUpdate) -> int:
    return sum(CHANGE_BYTES + len(value or b"") for _, value, _ in update.rows)


class TableReplica:
    """A table as one process knows it."""

    def __init__(self, table: str) -> None:
        self._table = table
        self._version: int | None = None
        self._rows: dict[str, tuple[bytes, int]] = {}
        self._log: deque[TableUpdate] = deque()
        self._log_bytes = 0
        self._as_of = float("-inf")

    @property
    def version(self) -> int | None:
        """The version up to which every change is in, None before the first reading."""
        return self._version

    @property
    def as_of(self) -> float:
        """Every change before this moment of this process's clock is in."""
        return self._as_of

    @property
    def rows(self) -> tuple[Row, ...]:
        """All rows, the one that changed last at the end."""
        return tuple(
            Row(f"{self._table}/{key}", version, value)
            for key, (value, version) in self._rows.items()
        )

    def confirm(self, version: int, as_of: float) -> None:
        """Note that nothing after `version` changed before a moment; it counts once that is in."""
        if self._version is not None and self._version >= version:
            self._as_of = max(self._as_of, as_of)

    def take(self, update: TableUpdate) -> bool:
        """Take in what changed; return whether it follows on what is known and is newer."""
        if self._version is not None and update.version <= self._version:
            return False
        if update.after is None:
            self._rows.clear()
            self._log.clear()
            self._log_bytes = 0
        elif self._version is None or update.after > self._version:
            return False
        else:
            self._keep(update)
        for key, value, version in update.rows:
            # What changed last stands last.
            self._rows.pop(key, None)
            if value is not None:
                self._rows[key] = value, version
        self._version = update.version
        return True

    def _keep(self, update: TableUpdate) -> None:
        self._log.append(update)
        self._log_bytes += _size(update)
        while self._log_bytes > LARGEST_LOG:
            self._log_bytes -= _size(self._log.popleft())

    def since(self, version: int | None) -> TableUpdate | None:
        """Return what changed after a version, all rows where that is no longer known.

        Returns:
          None before the first reading.
        """
        if self._version is None:
            return None
        if version is not None and version >= self._version:
            return TableUpdate(self._table, version, version)
        later = [each for each in self._log if version is not None and each.version > version]
        if later and later[0].after <= version:
            rows = tuple(row for each in later for row in each.rows)
            return TableUpdate(self._table, version, self._version, rows)
        everything = tuple((key, value, at) for key, (value, at) in self._rows.items())
        return TableUpdate(self._table, None, self._version, everything)
