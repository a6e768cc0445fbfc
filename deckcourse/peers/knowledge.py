"""What a process knows of the store's tables, from the store itself or from another process."""

from collections.abc import Callable, Sequence

import trio

from deckcourse.peers.frames import Frame
from deckcourse.peers.replica import TableReplica

__all__ = ["Knowledge"]


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

    def frame(
        self, versions: dict[str, int | None], told: dict[str, float], origin: float
    ) -> Frame | None:
        """Return what somebody lacks, None where it lacks nothing.

        Args:
          versions: what it knows of each table; brought up to date.
          told: the moment that it was last told for each table; brought up to date.
          origin: the moment from which it counts.
        """
        updates = []
        as_of = {}
        for name, replica in self._replicas.items():
            if replica.version is None:
                continue
            update = replica.since(versions.get(name))
            has_news = update is not None and update.version != versions.get(name)
            if has_news:
                updates.append(update)
                versions[name] = update.version
            if has_news or replica.as_of > told.get(name, float("-inf")):
                as_of[name] = replica.version, replica.as_of - origin
                told[name] = replica.as_of
        if not as_of:
            return None
        known = self._returned_at > float("-inf")
        return Frame(tuple(updates), as_of, self._returned_at - origin if known else None)

    def take(self, frame: Frame, origin: float) -> None:
        """Take in a frame; its moments count from `origin`."""
        if frame.returned is not None:
            self.note_returned(origin + frame.returned)
        for update in frame.updates:
            if update.table in self._replicas:
                self._replicas[update.table].take(update)
        for name, (version, seconds) in frame.as_of.items():
            if name in self._replicas:
                self._replicas[name].confirm(version, origin + seconds)
        self.note_progress()
