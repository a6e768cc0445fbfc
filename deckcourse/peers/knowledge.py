"""The replicas of store tables and the loads of upstreams that processes share."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import trio
from msgspec.structs import replace

from deckcourse.peers.frames import Frame
from deckcourse.peers.loads import LoadBoard, LoadRow
from deckcourse.peers.replica import TableReplica

__all__ = ["SharedState", "Subscriber"]


@dataclass
class Subscriber:
    """A process that receives frames, and what was sent to it so far.

    Attributes:
      origin: the time that the times in its frames are relative to.
      versions: the version of each table that it holds.
      as_of: the `as_of` last sent to it for each table.
      last_load_sequence: the sequence number of the newest load sent to it.
    """

    origin: float
    versions: dict[str, int | None]
    as_of: dict[str, float] = field(default_factory=dict)
    last_load_sequence: int = 0


class SharedState:
    """The replicas of all tables and the known loads, with a way to wait for updates.

    Args:
      tables: the names of the tables.
      on_store_recovered: called with the time at which the store recovered, before the deletion of
        rows that may have lapsed during the outage is merged.
    """

    def __init__(self, tables: Sequence[str], on_store_recovered: Callable[[float], None]) -> None:
        self._replicas = {name: TableReplica(name) for name in tables}
        self._on_store_recovered = on_store_recovered
        self._recovered_at = float("-inf")
        self._relayed_as_of = dict.fromkeys(tables, float("-inf"))
        self._updated = trio.Event()
        self._loads = LoadBoard(trio.current_time)

    @property
    def loads(self) -> LoadBoard:
        """The known loads of upstreams."""
        return self._loads

    def replica(self, table: str) -> TableReplica:
        """Return the replica of a table."""
        return self._replicas[table]

    @property
    def latest_as_of(self) -> float:
        """The latest time before which the replica of some table includes every change.

        It is recent while this process or its source can reach the store.
        """
        return max(each.as_of for each in self._replicas.values())

    def relayed_as_of(self, table: str) -> float:
        """Return the latest time as of which another process has confirmed the replica of a table.

        It is on this process's clock; that of own reads of the store may be later.
        """
        return self._relayed_as_of[table]

    @property
    def versions(self) -> dict[str, int | None]:
        """The version of each replica."""
        return {name: each.version for name, each in self._replicas.items()}

    @property
    def changed_versions(self) -> dict[str, int]:
        """The version of the newest change of each table that holds any."""
        return {
            name: each.changed_version
            for name, each in self._replicas.items()
            if each.changed_version
        }

    def notify_waiters(self) -> None:
        """Wake all tasks in `wait_for_update`."""
        self._updated.set()
        self._updated = trio.Event()

    async def wait_for_update(self) -> None:
        """Wait for the next call of `notify_waiters`."""
        await self._updated.wait()

    def note_store_recovered(self, moment: float) -> None:
        """Record that the store recovered at a time, unless a later recovery is known."""
        if moment > self._recovered_at:
            self._recovered_at = moment
            self._on_store_recovered(moment)

    def next_frame(self, subscriber: Subscriber, is_cut_off: bool = False) -> Frame:
        """Return what a subscriber lacks, and record it as sent; empty if it lacks nothing.

        Args:
          subscriber: the recipient.
          is_cut_off: see `Frame`.
        """
        updates = []
        as_of = {}
        for name, replica in self._replicas.items():
            if replica.version is None:
                continue
            update = replica.since(subscriber.versions.get(name))
            is_changed = update is not None and update.version != subscriber.versions.get(name)
            if is_changed:
                updates.append(update)
                subscriber.versions[name] = update.version
            sent_as_of = subscriber.as_of.get(name, float("-inf"))
            if replica.as_of > sent_as_of or (is_changed and replica.as_of > float("-inf")):
                as_of[name] = replica.version, replica.as_of - subscriber.origin
                subscriber.as_of[name] = replica.as_of
        has_recovered = self._recovered_at > float("-inf")
        recovered = self._recovered_at - subscriber.origin if has_recovered else None
        return Frame(tuple(updates), as_of, recovered, self._new_loads(subscriber), is_cut_off)

    def _new_loads(self, subscriber: Subscriber) -> tuple[LoadRow, ...]:
        rows, subscriber.last_load_sequence = self._loads.since(subscriber.last_load_sequence)
        return tuple(replace(each, at=each.at - subscriber.origin) for each in rows)

    def merge(self, frame: Frame, origin: float) -> None:
        """Merge a frame whose times are relative to `origin`, limiting each time to now.

        A time in the future would make the state count as fresh when nobody can reach the store.
        """
        now = trio.current_time()
        if frame.recovered is not None:
            self.note_store_recovered(min(now, origin + frame.recovered))
        for update in frame.updates:
            if update.table in self._replicas:
                self._replicas[update.table].merge(update)
        for name, (version, seconds) in frame.as_of.items():
            if name in self._replicas:
                as_of = min(now, origin + seconds)
                self._replicas[name].confirm(version, as_of)
                self._relayed_as_of[name] = max(self._relayed_as_of[name], as_of)
        for row in frame.loads:
            self._loads.record(replace(row, at=min(now, origin + row.at)))
        self.notify_waiters()
