"""The platform's transactional table service: its port, its messages and its in-memory twin."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from returns.result import Result, Success

__all__ = [
    "ABSENT",
    "Committed",
    "Conflict",
    "MemoryTable",
    "Row",
    "TableFailure",
    "TableService",
    "Write",
]

# The version of a row that does not exist.
ABSENT = 0


@dataclass(frozen=True)
class Row:
    """A stored value; `version` rises with each write of the row."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True)
class Write:
    """One write of a transaction; `expected` is the row's version before it, None for any.

    A `value` of None deletes the row.
    """

    key: str
    value: bytes | None
    expected: int | None = None


@dataclass(frozen=True)
class Committed:
    """All writes of the transaction are in force; `versions` in the order of the writes."""

    versions: tuple[int, ...]


@dataclass(frozen=True)
class Conflict:
    """No write is in force; the rows whose version was not the expected one, as they stand."""

    keys: tuple[str, ...]


class TableFailure(StrEnum):
    """Why a call has no answer; after UNKNOWN a write may or may not be in force."""

    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


class TableService(Protocol):
    """A transactional table of rows."""

    async def read(self, keys: Sequence[str]) -> Result[tuple[Row | None, ...], TableFailure]:
        """Return the rows of `keys`, None for each that is absent."""

    async def transact(self, writes: Sequence[Write]) -> Result[Committed | Conflict, TableFailure]:
        """Do all writes or none."""


class MemoryTable:
    """The table service in memory: the rules of a transaction and nothing else."""

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self._clock = ABSENT
        self._writes = 0
        self._reads = 0

    @property
    def rows(self) -> dict[str, Row]:
        """All rows, by key."""
        return dict(self._rows)

    @property
    def transactions(self) -> int:
        """How many transactions were asked for."""
        return self._writes

    @property
    def reads(self) -> int:
        """How many reads were asked for."""
        return self._reads

    async def read(self, keys: Sequence[str]) -> Result[tuple[Row | None, ...], TableFailure]:
        """Return the rows of `keys`, None for each that is absent."""
        self._reads += 1
        return Success(tuple(self._rows.get(key) for key in keys))

    async def transact(self, writes: Sequence[Write]) -> Result[Committed | Conflict, TableFailure]:
        """Do all writes or none."""
        self._writes += 1
        conflicts = tuple(write.key for write in writes if not self._matches(write))
        if conflicts:
            return Success(Conflict(conflicts))
        return Success(Committed(tuple(self._apply(write) for write in writes)))

    def _matches(self, write: Write) -> bool:
        if write.expected is None:
            return True
        row = self._rows.get(write.key)
        version = ABSENT if row is None else row.version
        return version == write.expected

    def _apply(self, write: Write) -> int:
        self._clock += 1
        if write.value is None:
            self._rows.pop(write.key, None)
            return ABSENT
        self._rows[write.key] = Row(write.key, self._clock, write.value)
        return self._clock
