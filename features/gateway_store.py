"""An in-memory stand-in for the platform's store."""

import json

import trio
from returns.result import Failure, Success

from deckcourse.change_feed import Changes, Snapshot
from deckcourse.table import MemoryTable, Row, TableFailure


class StandinStore(MemoryTable):
    """The store's tables with a feed of changes.

    While `away` is set the store is unavailable. With `has_no_change_feed` it has no change feed,
    so that all rows are read each time. Changes up to version `forgotten` are no longer available.
    """

    def __init__(self):
        super().__init__()
        self.away = False
        self.has_no_change_feed = False
        self.changed = trio.Event()
        self.log = []
        self.forgotten = 0

    def put(self, table, key, value):
        """Write a row as the operator or a runner does; None deletes it."""
        self.put_bytes(table, key, None if value is None else json.dumps(value).encode())

    def put_bytes(self, table, key, data):
        """Write a row's bytes, valid or not; None deletes it."""
        self._clock += 1
        name = f"{table}/{key}"
        if data is None:
            self._rows.pop(name, None)
        else:
            self._rows[name] = Row(name, self._clock, data)
        self.log.append((self._clock, table, key, data))
        self.changed.set()
        self.changed = trio.Event()

    def _apply(self, write):
        version = super()._apply(write)
        table, _, key = write.key.partition("/")
        self.log.append((self._clock, table, key, write.value))
        self.changed.set()
        self.changed = trio.Event()
        return version

    def forget_history(self):
        """Make every follower read all tables again."""
        self.log.clear()
        self.forgotten = self._clock

    async def snapshot(self, table):
        if self.away:
            return Failure(TableFailure.UNAVAILABLE)
        found = tuple(row for name, row in self._rows.items() if name.startswith(table + "/"))
        return Success(Snapshot(found, self._clock))

    async def changes(self, table, after, seconds):
        if self.away:
            return Failure(TableFailure.UNAVAILABLE)
        with trio.move_on_after(seconds):
            while not self._changes_after(table, after):
                await self.changed.wait()
        if self.away:
            return Failure(TableFailure.UNAVAILABLE)
        if self.has_no_change_feed or after < self.forgotten:
            return Success(Changes((), after, complete=False))
        return Success(Changes(tuple(self._changes_after(table, after)), self._clock))

    def renew_connections(self):
        """Do nothing: there are no connections."""

    def _changes_after(self, table, after):
        return [(key, data, at) for at, name, key, data in self.log if name == table and at > after]

    async def read(self, keys):
        return Failure(TableFailure.UNAVAILABLE) if self.away else await super().read(keys)

    async def transact(self, writes):
        return Failure(TableFailure.UNAVAILABLE) if self.away else await super().transact(writes)
