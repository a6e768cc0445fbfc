"""The replica of one store table: its rows, its recent changes and the time it is current as of."""

from collections import deque
from typing import Annotated

import msgspec
from msgspec import Meta

from deckcourse.table import Row

__all__ = ["TableReplica", "TableUpdate", "Version"]

# Size of the log of recent changes, kept for processes that are slightly behind; those that are
# further behind get all rows.
MAX_LOG_BYTES = 512 * 1024
# Bounds the memory of an update: small rows take 50 times as much memory as bytes on the wire.
MAX_ROWS_PER_UPDATE = 65_536
# Memory that a change takes in addition to its value.
ROW_OVERHEAD_BYTES = 100


Version = Annotated[int, Meta(ge=0)]


class TableUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The rows of a table that changed after version `after` up to `version`.

    It holds all rows if `after` is None. A row is its key, its value and the version of its last
    change; the value of a deleted row is None.
    """

    table: str
    after: Version | None
    version: Version
    rows: Annotated[
        tuple[tuple[str, bytes | None, Version], ...], Meta(max_length=MAX_ROWS_PER_UPDATE)
    ] = ()


def _update_bytes(update: TableUpdate) -> int:
    return sum(ROW_OVERHEAD_BYTES + len(value or b"") for _, value, _ in update.rows)


class TableReplica:
    """The state of a table that one process has received."""

    def __init__(self, table: str) -> None:
        self._table = table
        self._version: int | None = None
        self._changed_version = 0
        self._rows: dict[str, tuple[bytes, int]] = {}
        self._log: deque[TableUpdate] = deque()
        self._log_bytes = 0
        self._as_of = float("-inf")

    @property
    def version(self) -> int | None:
        """The version up to which it holds every change, None before the first snapshot."""
        return self._version

    @property
    def changed_version(self) -> int:
        """The version of the newest change that it holds, 0 if it holds none.

        `version` also rises with changes of other tables.
        """
        return self._changed_version

    @property
    def as_of(self) -> float:
        """The time on this process's clock before which it holds every change."""
        return self._as_of

    @property
    def rows(self) -> tuple[Row, ...]:
        """All rows, the most recently changed one last."""
        return tuple(
            Row(f"{self._table}/{key}", version, value)
            for key, (value, version) in self._rows.items()
        )

    def confirm(self, version: int, as_of: float) -> None:
        """Record that `version` was current at `as_of`; ignored while the replica is behind it."""
        if self._version is not None and self._version >= version:
            self._as_of = max(self._as_of, as_of)

    def merge(self, update: TableUpdate) -> bool:
        """Apply an update; return whether it is newer and leaves no gap after the known version."""
        if self._version is not None and update.version <= self._version:
            return False
        if update.after is None:
            self._rows.clear()
            self._log.clear()
            self._log_bytes = 0
        elif self._version is None or update.after > self._version:
            return False
        else:
            self._append_to_log(update)
        for key, value, version in update.rows:
            # Keeps the rows in the order of their last change.
            self._rows.pop(key, None)
            self._changed_version = max(self._changed_version, version)
            if value is not None:
                self._rows[key] = value, version
        self._version = update.version
        return True

    def _append_to_log(self, update: TableUpdate) -> None:
        self._log.append(update)
        self._log_bytes += _update_bytes(update)
        while self._log_bytes > MAX_LOG_BYTES:
            self._log_bytes -= _update_bytes(self._log.popleft())

    def since(self, version: int | None) -> TableUpdate | None:
        """Return the changes after a version, or all rows if the log no longer covers it.

        Returns:
          The update, None before the first snapshot.
        """
        if self._version is None:
            return None
        if version is not None and version >= self._version:
            return TableUpdate(self._table, version, version)
        later = [each for each in self._log if version is not None and each.version > version]
        if later and later[0].after <= version:
            rows = tuple(row for each in later for row in each.rows)
            return TableUpdate(self._table, version, self._version, rows)
        all_rows = tuple((key, value, at) for key, (value, at) in self._rows.items())
        return TableUpdate(self._table, None, self._version, all_rows)
