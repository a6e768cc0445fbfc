"""Where the configuration is kept: a head row, a row for each change, and snapshots."""

from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success

from deckcourse.configuration import Change, Configuration, apply_change
from deckcourse.errors import InvariantError
from deckcourse.object_store import ObjectStore
from deckcourse.table import ABSENT, Committed, Row, TableFailure, TableService, Write

__all__ = [
    "ChangeAccepted",
    "ChangeConflict",
    "ConfigurationStore",
    "Head",
    "change_key",
]

HEAD_KEY = "configuration/head"
# A reader that is further behind than this takes a snapshot first.
CHANGES_PER_READ = 100
SNAPSHOT_EVERY = 50


@dataclass(frozen=True)
class Head:
    """The head row: the newest version, and the newest snapshot's."""

    version: int = 0
    snapshot: int = 0


@dataclass(frozen=True)
class ChangeAccepted:
    """The change is in the table service and can't be lost."""

    version: int


@dataclass(frozen=True)
class ChangeConflict:
    """Another change was accepted first, or another write of the transaction did not match."""

    keys: tuple[str, ...]


class ConfigurationStore:
    """Reads and commits the configuration by the platform's services."""

    def __init__(self, table: TableService, objects: ObjectStore) -> None:
        self._table = table
        self._objects = objects

    async def head(self) -> Result[tuple[Head, int], TableFailure]:
        """Return the head and the version of its row."""
        match await self._table.read([HEAD_KEY]):
            case Success((row,)):
                return Success(_decode_head(row))
            case Failure(failure):
                return Failure(failure)
        raise InvariantError("a read of one row gave another number of rows")

    async def catch_up(self, base: Configuration) -> Result[Configuration, TableFailure]:
        """Return the newest configuration, read on from `base`."""
        head = await self.head()
        if not isinstance(head, Success):
            return Failure(head.failure())
        newest, _ = head.unwrap()
        if newest.version > base.version + CHANGES_PER_READ and newest.snapshot > base.version:
            base = await self._snapshot(newest.snapshot, base)
        return await self._read_on(base, newest.version)

    async def _snapshot(self, version: int, base: Configuration) -> Configuration:
        stored = (await self._objects.get(_snapshot_name(version))).value_or(None)
        if stored is None:
            return base
        return msgspec.json.decode(stored, type=Configuration)

    async def _read_on(self, base: Configuration, end: int) -> Result[Configuration, TableFailure]:
        while base.version < end:
            last = min(end, base.version + CHANGES_PER_READ)
            keys = [change_key(version) for version in range(base.version + 1, last + 1)]
            rows = await self._table.read(keys)
            if not isinstance(rows, Success):
                return Failure(rows.failure())
            for row in rows.unwrap():
                base = apply_change(base, _decode_change(row))
        return Success(base)

    async def commit(
        self, change: Change, writes: tuple[Write, ...] = ()
    ) -> Result[ChangeAccepted | ChangeConflict, TableFailure]:
        """Accept a change on the version before it, with further writes in one transaction.

        After UNKNOWN the caller asks `accepted` before it says anything.
        """
        head = await self.head()
        if not isinstance(head, Success):
            return Failure(TableFailure.UNAVAILABLE)
        newest, row_version = head.unwrap()
        if newest.version != change.version - 1:
            return Success(ChangeConflict((HEAD_KEY,)))
        head_value = msgspec.json.encode(Head(change.version, newest.snapshot))
        transaction = (
            Write(HEAD_KEY, head_value, row_version),
            Write(change_key(change.version), msgspec.json.encode(change), ABSENT),
            *writes,
        )
        match await self._table.transact(transaction):
            case Success(Committed()):
                return Success(ChangeAccepted(change.version))
            case Success(conflict):
                return Success(ChangeConflict(conflict.keys))
            case Failure(failure):
                return Failure(failure)
        raise InvariantError("a transaction neither committed, conflicted nor failed")

    async def change(self, version: int) -> Result[Change | None, TableFailure]:
        """Return the change that made a version, None where there is none yet."""
        rows = await self._table.read([change_key(version)])
        return rows.map(lambda found: None if found[0] is None else _decode_change(found[0]))

    async def write_snapshot(self, configuration: Configuration) -> None:
        """Keep a snapshot when the newest one is old; a failure only costs a later reader time."""
        head = await self.head()
        if not isinstance(head, Success):
            return
        newest, row_version = head.unwrap()
        if configuration.version < newest.snapshot + SNAPSHOT_EVERY:
            return
        name = _snapshot_name(configuration.version)
        stored = await self._objects.put(name, msgspec.json.encode(configuration))
        if isinstance(stored, Success):
            value = msgspec.json.encode(Head(newest.version, configuration.version))
            await self._table.transact([Write(HEAD_KEY, value, row_version)])


def change_key(version: int) -> str:
    """Return the key of the row of one change."""
    return f"configuration/change/{version}"


def _snapshot_name(version: int) -> str:
    return f"configuration/snapshot/{version}"


def _decode_head(row: Row | None) -> tuple[Head, int]:
    if row is None:
        return Head(), ABSENT
    return msgspec.json.decode(row.value, type=Head), row.version


def _decode_change(row: Row | None) -> Change:
    if row is None:
        raise InvariantError("a change that the head row names is not in the table")
    return msgspec.json.decode(row.value, type=Change)
