"""What a process knows of the store's tables and of loads, of its own or from another process."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import trio
from msgspec.structs import replace

from deckcourse.peers.frames import Frame
from deckcourse.peers.loads import LoadBoard, LoadRow
from deckcourse.peers.replica import TableReplica

__all__ = ["Knowledge", "Listener"]


@dataclass
class Listener:
    """Somebody who asks: what it was told up to now.

    Attributes:
      origin: the moment from which its frames count.
      versions: what it knows of each table.
      as_of: up to when it was told that it knows each.
      last_load: the number of the newest load that it was told.
    """

    origin: float
    versions: dict[str, int | None]
    as_of: dict[str, float] = field(default_factory=dict)
    last_load: int = 0


class Knowledge:
    """The copies of all tables, and a way to wait for news of them.

    Args:
      tables: their names.
      on_returned: told the moment at which the store came back, before rows that may have lapsed
        meanwhile are taken in.
    """

    def __init__(self, tables: Sequence[str], on_returned: Callable[[float], None]) -> None:
        self._replicas = {name: TableReplica(name) for name in tables}
        self._on_returned = on_returned
        self._returned_at = float("-inf")
        self._progress = trio.Event()
        self._loads = LoadBoard(trio.current_time)

    @property
    def loads(self) -> LoadBoard:
        """What is known of how much upstreams have to do."""
        return self._loads

    def replica(self, table: str) -> TableReplica:
        """Return the copy of a table."""
        return self._replicas[table]

    @property
    def contact_at(self) -> float:
        """The latest moment before which every change of some table is in.

        It is recent where the store is in reach, of this process or of one that it asks.
        """
        return max(each.as_of for each in self._replicas.values())

    @property
    def versions(self) -> dict[str, int | None]:
        """The version up to which each table is known."""
        return {name: each.version for name, each in self._replicas.items()}

    def note_progress(self) -> None:
        """Wake everybody who waits for news."""
        self._progress.set()
        self._progress = trio.Event()

    async def wait(self) -> None:
        """Wait for news."""
        await self._progress.wait()

    def note_returned(self, moment: float) -> None:
        """Note that the store came back at a moment, where that is news."""
        if moment > self._returned_at:
            self._returned_at = moment
            self._on_returned(moment)

    def frame(self, listener: Listener, lost: bool = False) -> Frame:
        """Return what somebody lacks, and count it as told; empty where it lacks nothing.

        Args:
          listener: who asks.
          lost: see `Frame`.
        """
        updates = []
        as_of = {}
        for name, replica in self._replicas.items():
            if replica.version is None:
                continue
            update = replica.since(listener.versions.get(name))
            has_news = update is not None and update.version != listener.versions.get(name)
            if has_news:
                updates.append(update)
                listener.versions[name] = update.version
            told = listener.as_of.get(name, float("-inf"))
            if replica.as_of > told or (has_news and replica.as_of > float("-inf")):
                as_of[name] = replica.version, replica.as_of - listener.origin
                listener.as_of[name] = replica.as_of
        known = self._returned_at > float("-inf")
        returned = self._returned_at - listener.origin if known else None
        return Frame(tuple(updates), as_of, returned, self._new_loads(listener), lost)

    def _new_loads(self, listener: Listener) -> tuple[LoadRow, ...]:
        rows, listener.last_load = self._loads.since(listener.last_load)
        return tuple(replace(each, at=each.at - listener.origin) for each in rows)

    def take(self, frame: Frame, origin: float) -> None:
        """Take in a frame; its moments count from `origin`, and none is later than now.

        What counted as known for later would count as fresh when nobody sees the store any more.
        """
        now = trio.current_time()
        if frame.returned is not None:
            self.note_returned(min(now, origin + frame.returned))
        for update in frame.updates:
            if update.table in self._replicas:
                self._replicas[update.table].take(update)
        for name, (version, seconds) in frame.as_of.items():
            if name in self._replicas:
                self._replicas[name].confirm(version, min(now, origin + seconds))
        for row in frame.loads:
            self._loads.note(replace(row, at=min(now, origin + row.at)))
        self.note_progress()
