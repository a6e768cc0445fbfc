"""The newest changes in the store that other processes have reported.

Load pattern: a read waits for seconds at the store until something changes, over a connection that
may have gone silent meanwhile. Shorter waits would cost calls at each process, though another one
usually reads the same table and knows that there is something new.
"""

from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["MIN_CONTACT_SECONDS", "ReportedChanges"]

# Reports count for this long, seconds: they come each second, and a datagram may be lost.
REPORT_TTL_SECONDS = 2.5
# What other processes know is reported and acted on within this time, seconds.
MIN_CONTACT_SECONDS = 2.5


@dataclass(frozen=True)
class _Report:
    """A change that this process doesn't know, reported at a time on the clock."""

    version: int
    reported_at: float


class ReportedChanges:
    """The reports that one process has received.

    Args:
      clock: monotonic clock, seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._reported_at = float("-inf")
        # The oldest report of each table that is not known here yet.
        self._unknown: dict[str, _Report] = {}

    @property
    def is_recent(self) -> bool:
        """Whether a process that reads the store has reported what it knows lately."""
        return self._clock() < self._reported_at + REPORT_TTL_SECONDS

    def note(self, table: str, version: int, known_version: int | None) -> None:
        """Record that another process knows a change.

        Args:
          table: the table.
          version: the version of the change.
          known_version: the version up to which this process knows the table, None if it doesn't.
        """
        self._reported_at = self._clock()
        is_known = known_version is None or version <= known_version
        if not is_known and table not in self._unknown:
            self._unknown[table] = _Report(version, self._reported_at)

    def note_read(self, table: str, as_of: float) -> None:
        """Record that the store was read.

        A report from before then of a change that this process doesn't know is wrong.

        Args:
          table: the table that was read.
          as_of: the time on the clock before which this process knows every change of it.
        """
        report = self._unknown.get(table)
        if report is not None and as_of > report.reported_at:
            del self._unknown[table]

    def behind_seconds(self, table: str, known_version: int | None) -> float:
        """Return for how long another process has known more of a table, 0 if none does.

        Args:
          table: the table.
          known_version: see `note`.
        """
        report = self._unknown.get(table)
        if report is None:
            return 0.0
        if known_version is None or known_version >= report.version:
            del self._unknown[table]
            return 0.0
        return self._clock() - report.reported_at
